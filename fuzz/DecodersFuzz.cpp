// libFuzzer target for all decoders of untrusted input. The environment variable FUZZ_TARGET selects the decoder; see
// tools/fuzz.

#include "dragonflylane/ClaimWire.h"
#include "dragonflylane/ConfigPayload.h"
#include "dragonflylane/ConfigState.h"
#include "dragonflylane/ConfigWire.h"
#include "dragonflylane/CrashWire.h"
#include "dragonflylane/DepartureWire.h"
#include "dragonflylane/Frame.h"
#include "dragonflylane/FrameSegments.h"
#include "dragonflylane/GossipMessages.h"
#include "dragonflylane/GossipWire.h"
#include "dragonflylane/HttpStatus.h"
#include "dragonflylane/LogMessages.h"
#include "dragonflylane/LogWire.h"
#include "dragonflylane/PlanJson.h"
#include "dragonflylane/PlanStateMachine.h"
#include "dragonflylane/PlanWire.h"
#include "dragonflylane/RelayMessages.h"
#include "dragonflylane/RelayWire.h"
#include "dragonflylane/RequestParser.h"
#include "dragonflylane/RolloutWire.h"
#include "dragonflylane/Settings.h"
#include "dragonflylane/UpstreamResponse.h"
#include "dragonflylane/Wire.h"
#include "gen-cpp/peer_types.h"
#include "platform/OperatorDocument.h"

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflylane {

namespace {

    using Target = void (*)(std::string_view);

    // If a message can be decoded, its encoding must be decodable too.
    template <typename Message> void roundTrip(std::string_view bytes)
    {
        Message message;
        if (decode(bytes, message))
            return;
        Message decoded;
        if (decode(encode(message), decoded))
            std::abort();
    }

    void fuzzFrame(std::string_view bytes)
    {
        FrameView frame;
        if (!decodeFrame(bytes, maxHandshakePayloadBytes, frame) && frame.size > bytes.size())
            std::abort();
    }

    // Splits the input into segments, each preceded by a byte with its length, and adds them to one reassembler.
    void fuzzSegments(std::string_view bytes)
    {
        FrameReassembler reassembler;
        std::string whole;
        size_t added = 0;
        while (!bytes.empty()) {
            size_t size = std::min<size_t>(static_cast<uint8_t>(bytes[0]), bytes.size() - 1);
            added += size;
            if (reassembler.add(bytes.substr(1, size), whole))
                return;
            if (reassembler.bytes() + whole.size() > added)
                std::abort();
            bytes.remove_prefix(1 + size);
        }
    }

    // The first byte sets what the request was; the rest is what the upstream sends.
    void fuzzResponse(std::string_view bytes)
    {
        constexpr uint64_t maxBodyBytes = 1 << 10;
        if (bytes.empty())
            return;
        auto flags = static_cast<uint8_t>(bytes.front());
        ResponseContext context { .echoedHeader = "X-Trace",
            .expectedValue = (flags & 1) != 0 ? "id" : "",
            .isHead = (flags & 2) != 0,
            .isReused = (flags & 4) != 0,
            .acceptsCloseDelimited = (flags & 8) != 0 };
        boost::beast::http::response_parser<boost::beast::http::string_body> parser;
        parser.eager(true);
        parser.skip(context.isHead);
        parser.body_limit(maxBodyBytes);
        boost::beast::error_code error;
        parser.put(boost::asio::buffer(bytes.data() + 1, bytes.size() - 1), error);
        if (error || !parser.is_done())
            return;
        UpstreamMessage message = parser.release();
        bool isAnswer = judgeResponse(message, context) == ResponseVerdict::Answer;
        if (isAnswer && !isFinalStatus(takeResponse(message).status))
            std::abort();
    }

    // Where a chunked body ends, read without any leniency; npos if it isn't whole.
    size_t chunkedEnd(std::string_view body)
    {
        constexpr std::string_view digits = "0123456789abcdefABCDEF";
        constexpr size_t lineEndBytes = 2;
        size_t at = 0;
        for (;;) {
            size_t sizeEnd = std::min(body.find_first_not_of(digits, at), body.size());
            size_t lineEnd = body.find("\r\n", sizeEnd);
            if (sizeEnd == at || lineEnd == std::string_view::npos)
                return std::string_view::npos;
            uint64_t size = 0;
            if (std::from_chars(body.data() + at, body.data() + sizeEnd, size, 16).ec != std::errc())
                return std::string_view::npos;
            at = lineEnd + lineEndBytes;
            if (size == 0)
                break;
            bool isWhole = size <= body.size() - at && body.substr(at + size).starts_with("\r\n");
            if (!isWhole)
                return std::string_view::npos;
            at += size + lineEndBytes;
        }
        // Trailers up to an empty line.
        while (!body.substr(at).starts_with("\r\n")) {
            size_t lineEnd = body.find("\r\n", at);
            if (lineEnd == std::string_view::npos)
                return std::string_view::npos;
            at = lineEnd + lineEndBytes;
        }
        return at + lineEndBytes;
    }

    // Where the first request ends, read without any leniency; npos if that is not clear.
    size_t requestEnd(std::string_view input)
    {
        constexpr std::string_view endOfHead = "\r\n\r\n";
        size_t headEnd = input.find(endOfHead);
        if (headEnd == std::string_view::npos)
            return std::string_view::npos;
        std::string_view lines = input.substr(0, headEnd + 2);
        size_t bodyStart = headEnd + endOfHead.size();
        std::vector<std::string> lengths;
        std::vector<std::string> codings;
        for (size_t start = lines.find("\r\n") + 2; start < lines.size(); start = lines.find("\r\n", start) + 2) {
            std::string line(lines.substr(start, lines.find("\r\n", start) - start));
            std::transform(line.begin(), line.end(), line.begin(), [](unsigned char c) { return std::tolower(c); });
            size_t colon = line.find(':');
            if (colon == std::string::npos || line.find_first_of(" \t\r\n") < colon)
                return std::string_view::npos;
            std::string value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(" \t"));
            value.erase(value.find_last_not_of(" \t") + 1);
            if (line.substr(0, colon) == "content-length")
                lengths.push_back(value);
            if (line.substr(0, colon) == "transfer-encoding")
                codings.push_back(value);
        }
        if (lengths.size() + codings.size() > 1 || (!codings.empty() && codings.front() != "chunked"))
            return std::string_view::npos;
        if (!codings.empty()) {
            size_t length = chunkedEnd(input.substr(bodyStart));
            return length == std::string_view::npos ? length : bodyStart + length;
        }
        uint64_t length = 0;
        if (lengths.empty())
            return bodyStart;
        const std::string& digits = lengths.front();
        auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), length);
        bool isWhole
            = error == std::errc() && end == digits.data() + digits.size() && length <= input.size() - bodyStart;
        return isWhole ? bodyStart + length : std::string_view::npos;
    }

    // Each request that is passed on must end where a strict reader sees its end, whatever the size of the reads. The
    // first byte sets that size.
    void fuzzRequests(std::string_view bytes)
    {
        if (bytes.empty())
            return;
        size_t readBytes = static_cast<uint8_t>(bytes.front()) + size_t { 1 };
        bytes.remove_prefix(1);
        boost::beast::flat_buffer buffer;
        size_t read = 0;
        size_t start = 0;
        for (;;) {
            RequestParser parser({ .maxHeaderBytes = 1 << 10, .maxBodyBytes = 1 << 10 });
            RequestProgress progress = parser.parse(buffer);
            while (progress == RequestProgress::Incomplete && read < bytes.size()) {
                std::string_view part = bytes.substr(read, readBytes);
                buffer.commit(boost::asio::buffer_copy(buffer.prepare(part.size()), boost::asio::buffer(part)));
                read += part.size();
                progress = parser.parse(buffer);
            }
            if (progress != RequestProgress::Complete)
                return;
            if (requestEnd(bytes.substr(start)) != read - buffer.size() - start)
                std::abort();
            start = read - buffer.size();
        }
    }

    void fuzzSettings(std::string_view bytes)
    {
        Settings settings;
        if (parseSettings(std::string(bytes), "fuzz.ini", settings).code != ResultCode::Ok)
            return;
        if (settings.voters.empty() || settings.meshId.empty())
            std::abort();
    }

    void fuzzConfig(std::string_view bytes)
    {
        ConfigPayload payload;
        decodePayload(bytes, &payload);
        ConfigDelta delta;
        decodeDelta(bytes, &delta);
        ConfigState state;
        decodeSnapshot(bytes, &state, false);
    }

    void fuzzPlan(std::string_view bytes)
    {
        PlanCommand command;
        decodeCommand(bytes, &command);
        PlanStateMachineSnapshot image;
        decodePlanSnapshot(bytes, &image);
    }

    void fuzzPlanJson(std::string_view bytes)
    {
        PlanRequest request;
        parsePlanRequest(bytes, &request);
    }

    // A document that is refused must have a reason, and one that is accepted must be checked as a configuration.
    void fuzzOperatorDocument(std::string_view bytes)
    {
        std::string detail;
        auto command = platform::readOperatorDocument(bytes, &detail);
        if (command.has_value() != detail.empty())
            std::abort();
        if (!command)
            return;
        ConfigDelta delta;
        for (const ConfigItem& item : command->items)
            delta.upserts.emplace(keyOf(item), item);
        ConfigState state;
        if (!state.apply(delta, { .base = false, .digest = false }))
            state.validate(&detail);
    }

    void fuzzCall(std::string_view bytes)
    {
        wire::ForwardRequest request;
        decodeThrift(bytes, request);
        wire::ForwardResponse response;
        decodeThrift(bytes, response);
        wire::Hello hello;
        decodeThrift(bytes, hello);
        wire::CallTransfer transfer;
        decodeThrift(bytes, transfer);
    }

    Target selectedTarget()
    {
        static const std::map<std::string_view, Target> targets {
            { "settings", fuzzSettings },
            { "frame", fuzzFrame },
            { "segment", fuzzSegments },
            { "log", roundTrip<LogMessage> },
            { "gossip", roundTrip<GossipMessage> },
            { "relay", roundTrip<RelayMessage> },
            { "claim", roundTrip<ClaimMessage> },
            { "crash", roundTrip<CrashNotice> },
            { "crash-sync", roundTrip<CrashSyncMessage> },
            { "departure", roundTrip<DepartureMessage> },
            { "rollout", roundTrip<RolloutReport> },
            { "config", fuzzConfig },
            { "plan", fuzzPlan },
            { "plan-json", fuzzPlanJson },
            { "operator-document", fuzzOperatorDocument },
            { "call", fuzzCall },
            { "request", fuzzRequests },
            { "response", fuzzResponse },
        };
        const char* name = std::getenv("FUZZ_TARGET");
        auto found = targets.find(name ? name : "");
        if (found != targets.end())
            return found->second;
        std::fputs("FUZZ_TARGET is not the name of a decoder\n", stderr);
        std::exit(2);
    }

} // namespace

} // namespace dragonflylane

// The name is required by libFuzzer.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    static const auto target = dragonflylane::selectedTarget();
    target({ reinterpret_cast<const char*>(data), size });
    return 0;
}
