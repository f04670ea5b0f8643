#include "dragonflylane/DepartureWire.h"

#include "dragonflylane/ConfigItem.h"
#include "dragonflylane/CrashWire.h"
#include "dragonflylane/DepartureList.h"
#include "dragonflylane/ThriftCodec.h"
#include "gen-cpp/departure_types.h"

namespace dragonflylane {

namespace {

    constexpr size_t maxMessageBytes = size_t { 1 } << 20;

    template <typename WireMessage, typename Message> WireMessage partToWire(const Message& message)
    {
        WireMessage result;
        result.host = message.host.value();
        result.life = static_cast<int64_t>(message.bootId.value());
        result.departures = toWire(message.departures);
        return result;
    }

    template <typename Message, typename WireMessage> bool readPart(const WireMessage& in, DepartureMessage& out)
    {
        Message result { .host = HostId(in.host), .bootId = BootId(static_cast<uint64_t>(in.life)) };
        if (!isValidName(in.host) || !readDepartures(in.departures, result.departures))
            return false;
        out = std::move(result);
        return true;
    }

} // namespace

std::vector<wire::DepartedProcess> toWire(const std::vector<DepartedProcess>& departures)
{
    std::vector<wire::DepartedProcess> result;
    for (const DepartedProcess& departed : departures) {
        wire::DepartedProcess& out = result.emplace_back();
        out.upstreamId = departed.upstream.value();
        out.process = static_cast<int64_t>(departed.departure.process.value());
        out.sequence = static_cast<int64_t>(departed.departure.sequence.value());
        out.isFinal = departed.departure.isFinal;
    }
    return result;
}

bool readDepartures(const std::vector<wire::DepartedProcess>& in, std::vector<DepartedProcess>& out)
{
    if (in.size() > DepartureList::maxProcesses)
        return false;
    for (const wire::DepartedProcess& departed : in) {
        if (!isValidName(departed.upstreamId))
            return false;
        out.push_back({ .upstream = UpstreamId(departed.upstreamId),
            .departure = { .process = ProcessId(static_cast<uint64_t>(departed.process)),
                .sequence = Sequence(static_cast<uint64_t>(departed.sequence)),
                .isFinal = departed.isFinal } });
    }
    return true;
}

std::string encode(const DepartureMessage& message)
{
    wire::DepartureMessage result;
    if (const auto* request = std::get_if<DepartureRequest>(&message))
        result.__set_request(partToWire<wire::DepartureRequest>(*request));
    if (const auto* answer = std::get_if<DepartureAnswer>(&message)) {
        result.__set_answer(partToWire<wire::DepartureAnswer>(*answer));
        result.answer.quarantine = toWire(answer->quarantine);
    }
    return encodeThrift(result);
}

std::error_code decode(std::string_view bytes, DepartureMessage& message)
{
    wire::DepartureMessage in;
    if (std::error_code error = decodeThrift(bytes, maxMessageBytes, &in))
        return error;
    if (in.__isset.request == in.__isset.answer)
        return ResultCode::MalformedFrame;
    bool isValid = in.__isset.request ? readPart<DepartureRequest>(in.request, message)
                                      : readPart<DepartureAnswer>(in.answer, message);
    if (!isValid)
        return ResultCode::MalformedFrame;
    if (auto* answer = std::get_if<DepartureAnswer>(&message))
        answer->quarantine = fromWire(in.answer.quarantine);
    return {};
}

} // namespace dragonflylane
