#include "dragonflylane/CrashWire.h"

#include "dragonflylane/Frame.h"
#include "dragonflylane/ResultCode.h"
#include "dragonflylane/ThriftCodec.h"
#include "gen-cpp/crash_types.h"

#include <algorithm>
#include <chrono>
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

    wire::CrashRecord toWire(const CrashRecord& record)
    {
        wire::CrashRecord result;
        result.__set_fingerprint(static_cast<int64_t>(record.fingerprint.value()));
        result.__set_deaths(dragonflylane::toWire(record.deaths));
        result.__set_cleared(dragonflylane::toWire(record.cleared));
        result.__set_remaining(std::chrono::ceil<std::chrono::milliseconds>(record.remaining).count());
        return result;
    }

    CrashRecord fromWire(const wire::CrashRecord& record)
    {
        constexpr int64_t longest = int64_t { 24 } * 3600 * 1000;
        return { .fingerprint = Fingerprint(static_cast<uint64_t>(record.fingerprint)),
            .deaths = dragonflylane::fromWire(record.deaths),
            .cleared = dragonflylane::fromWire(record.cleared),
            .remaining = std::chrono::milliseconds(std::clamp<int64_t>(record.remaining, 0, longest)) };
    }

} // namespace

std::vector<wire::CrashDeath> toWire(const std::vector<CrashDeath>& deaths)
{
    std::vector<wire::CrashDeath> result;
    result.reserve(deaths.size());
    for (const CrashDeath& death : deaths)
        result.push_back(toWire(death));
    return result;
}

std::vector<CrashDeath> fromWire(const std::vector<wire::CrashDeath>& deaths)
{
    std::vector<CrashDeath> result;
    result.reserve(deaths.size());
    for (const wire::CrashDeath& death : deaths)
        result.push_back(fromWire(death));
    return result;
}

std::vector<wire::CrashRecord> toWire(const std::vector<CrashRecord>& records)
{
    std::vector<wire::CrashRecord> result;
    result.reserve(records.size());
    for (const CrashRecord& record : records)
        result.push_back(toWire(record));
    return result;
}

std::vector<CrashRecord> fromWire(const std::vector<wire::CrashRecord>& records)
{
    std::vector<CrashRecord> result;
    result.reserve(records.size());
    for (const wire::CrashRecord& record : records)
        result.push_back(fromWire(record));
    return result;
}

std::string encode(const CrashSyncMessage& message)
{
    wire::CrashSync result;
    if (message.root)
        result.__set_digest(static_cast<int64_t>(*message.root));
    if (message.digest)
        result.__set_buckets({ message.digest->buckets.begin(), message.digest->buckets.end() });
    if (message.records)
        result.__set_records(toWire(*message.records));
    return encodeThrift(result);
}

std::error_code decode(std::string_view bytes, CrashSyncMessage& message)
{
    wire::CrashSync decoded;
    if (std::error_code error
        = decodeThrift(bytes, ThriftLimits { maxFramePayloadBytes, maxIdBytes, maxListItems }, decoded))
        return error;
    if (decoded.__isset.buckets && decoded.buckets.size() != CrashDigest::bucketCount)
        return ResultCode::MalformedFrame;
    message = {};
    if (decoded.__isset.digest)
        message.root = static_cast<uint64_t>(decoded.digest);
    if (decoded.__isset.buckets)
        std::copy(decoded.buckets.begin(), decoded.buckets.end(), message.digest.emplace().buckets.begin());
    if (decoded.__isset.records)
        message.records = fromWire(decoded.records);
    return {};
}

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
