#include "dragonflylane/CrashWire.h"

#include "dragonflylane/Frame.h"
#include "dragonflylane/ResultCode.h"
#include "dragonflylane/ThriftCodec.h"
#include "gen-cpp/crash_types.h"

#include <utility>

namespace dragonflylane {

namespace {

    constexpr int32_t maxIdBytes = 256;
    constexpr int32_t maxListItems = 256;

    wire::CrashDeath toWire(const CrashDeath& death)
    {
        wire::CrashDeath result;
        result.__set_upstreamId(death.upstream.value());
        result.__set_incarnation(static_cast<int64_t>(death.incarnation.value()));
        return result;
    }

    CrashDeath fromWire(const wire::CrashDeath& death)
    {
        return { UpstreamId(death.upstreamId), Incarnation(static_cast<uint64_t>(death.incarnation)) };
    }

    void fill(wire::CrashNotice& notice, const CrashReport& report)
    {
        wire::CrashReport result;
        result.__set_death(toWire(report.death));
        for (Fingerprint fingerprint : report.fingerprints)
            result.fingerprints.push_back(static_cast<int64_t>(fingerprint.value()));
        result.__isset.fingerprints = true;
        notice.__set_report(result);
    }

    void fill(wire::CrashNotice& notice, const CrashClear& clear)
    {
        wire::CrashClear result;
        result.__set_fingerprint(static_cast<int64_t>(clear.fingerprint.value()));
        for (const CrashDeath& death : clear.deaths)
            result.deaths.push_back(toWire(death));
        result.__isset.deaths = true;
        result.__set_isRelease(clear.isRelease);
        notice.__set_clear(result);
    }

} // namespace

std::string encode(const CrashNotice& notice)
{
    wire::CrashNotice result;
    std::visit([&result](const auto& part) { fill(result, part); }, notice);
    return encodeThrift(result);
}

std::error_code decode(std::string_view bytes, CrashNotice& notice)
{
    wire::CrashNotice decoded;
    if (std::error_code error
        = decodeThrift(bytes, ThriftLimits { maxFramePayloadBytes, maxIdBytes, maxListItems }, decoded))
        return error;
    if (decoded.__isset.report == decoded.__isset.clear)
        return ResultCode::MalformedFrame;
    if (decoded.__isset.report) {
        CrashReport report { fromWire(decoded.report.death), {} };
        for (int64_t fingerprint : decoded.report.fingerprints)
            report.fingerprints.emplace_back(static_cast<uint64_t>(fingerprint));
        notice = std::move(report);
        return {};
    }
    CrashClear clear { Fingerprint(static_cast<uint64_t>(decoded.clear.fingerprint)), {}, decoded.clear.isRelease };
    for (const wire::CrashDeath& death : decoded.clear.deaths)
        clear.deaths.push_back(fromWire(death));
    notice = std::move(clear);
    return {};
}

} // namespace dragonflylane
