#include "dragonflylane/RolloutWire.h"

#include "dragonflylane/ResultCode.h"
#include "dragonflylane/ThriftCodec.h"
#include "gen-cpp/rollout_types.h"

namespace dragonflylane {

namespace {

    constexpr size_t maxReportBytes = size_t { 256 } << 10;

    wire::RolloutTally toWire(const RolloutTally& tally)
    {
        wire::RolloutTally result;
        result.serviceName = tally.service.value();
        result.version = tally.version.value();
        result.routeKey = static_cast<int64_t>(tally.routeKey);
        result.sent = static_cast<int64_t>(tally.counts.sent);
        result.ended = static_cast<int64_t>(tally.counts.ended);
        result.unanswered = static_cast<int64_t>(tally.counts.unanswered);
        result.failed = static_cast<int64_t>(tally.counts.failed);
        result.slow = static_cast<int64_t>(tally.counts.slow);
        result.runTimeSum = tally.counts.runTime.count();
        return result;
    }

    bool isConsistent(const wire::RolloutTally& tally)
    {
        bool areNotNegative = tally.ended >= 0 && tally.unanswered >= 0 && tally.failed >= 0 && tally.slow >= 0
            && tally.runTimeSum >= 0;
        return areNotNegative && tally.ended <= tally.sent && tally.unanswered <= tally.ended
            && tally.failed <= tally.ended && tally.slow <= tally.ended;
    }

    RolloutTally fromWire(const wire::RolloutTally& tally)
    {
        return { .service = ServiceName(tally.serviceName),
            .version = UpstreamVersion(tally.version),
            .routeKey = static_cast<uint64_t>(tally.routeKey),
            .counts = { .sent = static_cast<uint64_t>(tally.sent),
                .ended = static_cast<uint64_t>(tally.ended),
                .unanswered = static_cast<uint64_t>(tally.unanswered),
                .failed = static_cast<uint64_t>(tally.failed),
                .slow = static_cast<uint64_t>(tally.slow),
                .runTime = std::chrono::microseconds(tally.runTimeSum) } };
    }

} // namespace

std::string encode(const RolloutReport& report)
{
    wire::RolloutEvidence result;
    result.host = report.host.value();
    result.process = static_cast<int64_t>(report.process);
    result.number = static_cast<int64_t>(report.number);
    for (const RolloutTally& tally : report.tallies)
        result.tallies.push_back(toWire(tally));
    return encodeThrift(result);
}

std::error_code decode(std::string_view bytes, RolloutReport& report)
{
    wire::RolloutEvidence evidence;
    if (std::error_code error = decodeThrift(bytes, maxReportBytes, &evidence))
        return error;
    RolloutReport result { .host = HostId(evidence.host),
        .process = static_cast<uint64_t>(evidence.process),
        .number = static_cast<uint64_t>(evidence.number) };
    for (const wire::RolloutTally& tally : evidence.tallies) {
        if (!isConsistent(tally))
            return ResultCode::MalformedFrame;
        result.tallies.push_back(fromWire(tally));
    }
    report = std::move(result);
    return {};
}

} // namespace dragonflylane
