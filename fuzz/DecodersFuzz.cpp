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
#include "dragonflylane/RolloutWire.h"
#include "dragonflylane/Settings.h"
#include "dragonflylane/UpstreamResponse.h"
#include "dragonflylane/Wire.h"
#include "gen-cpp/peer_types.h"
#include "platform/OperatorDocument.h"

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <string_view>

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
