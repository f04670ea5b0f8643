#include "dragonflylane/QuotaWire.h"

#include "dragonflylane/ConfigItem.h"
#include "dragonflylane/Frame.h"
#include "dragonflylane/ResultCode.h"
#include "dragonflylane/ThriftCodec.h"
#include "gen-cpp/quota_types.h"

#include <chrono>
#include <limits>

namespace dragonflylane {

namespace {

    constexpr size_t maxNameBytes = 256;
    constexpr size_t maxTenants = 100'000;
    constexpr std::chrono::hours maxAge { 24 * 365 * 100 };

    int64_t milliseconds(Duration duration)
    {
        return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
    }

    // Sets `ok` to false if the number is out of range.
    uint32_t readAmount(int64_t number, bool& ok)
    {
        if (number < 0 || number > std::numeric_limits<uint32_t>::max())
            ok = false;
        return static_cast<uint32_t>(number);
    }

    Duration readDuration(int64_t number, bool& ok)
    {
        if (number < 0 || std::chrono::milliseconds(number) > maxAge) {
            ok = false;
            return Duration::zero();
        }
        return std::chrono::milliseconds(number);
    }

    TenantName readTenant(const std::string& name, bool& ok)
    {
        if (!isValidTenantName(name))
            ok = false;
        return TenantName(name);
    }

    void fill(wire::QuotaMessage& message, const QuotaReport& report)
    {
        wire::QuotaReport result;
        result.__set_host(report.host.value());
        result.__set_life(static_cast<int64_t>(report.life.value()));
        result.__set_number(static_cast<int64_t>(report.number.value()));
        // Rounded down: a process must not appear older than it is.
        result.__set_ageMilliseconds(std::chrono::floor<std::chrono::milliseconds>(report.age).count());
        result.__set_isComplete(report.isComplete);
        for (const QuotaDemand& demand : report.demands) {
            wire::QuotaDemand item;
            item.__set_tenant(demand.tenant.value());
            item.__set_held(demand.held);
            item.__set_spent(demand.spent);
            item.__set_wanted(demand.wanted);
            item.__set_waiting(demand.waiting);
            result.demands.push_back(std::move(item));
        }
        result.__isset.demands = true;
        message.__set_report(result);
    }

    void fill(wire::QuotaMessage& message, const QuotaGrant& grant)
    {
        wire::QuotaGrant result;
        result.__set_term(static_cast<int64_t>(grant.term.value()));
        result.__set_life(static_cast<int64_t>(grant.life.value()));
        result.__set_number(static_cast<int64_t>(grant.number.value()));
        result.__set_needsComplete(grant.needsComplete);
        for (const QuotaAllowance& allowance : grant.allowances) {
            wire::QuotaAllowance item;
            item.__set_tenant(allowance.tenant.value());
            item.__set_allowance(allowance.allowance);
            item.__set_retryAfterMilliseconds(milliseconds(allowance.retryAfter));
            result.allowances.push_back(std::move(item));
        }
        result.__isset.allowances = true;
        message.__set_grant(result);
    }

    bool read(const wire::QuotaReport& report, QuotaReport& result)
    {
        bool ok = isValidName(report.host);
        result = { .host = HostId(report.host),
            .life = BootId(static_cast<uint64_t>(report.life)),
            .number = Sequence(static_cast<uint64_t>(report.number)),
            .age = readDuration(report.ageMilliseconds, ok),
            .isComplete = report.isComplete };
        for (const wire::QuotaDemand& demand : report.demands) {
            result.demands.push_back({ .tenant = readTenant(demand.tenant, ok),
                .held = readAmount(demand.held, ok),
                .spent = readAmount(demand.spent, ok),
                .wanted = readAmount(demand.wanted, ok),
                .waiting = readAmount(demand.waiting, ok) });
        }
        return ok;
    }

    bool read(const wire::QuotaGrant& grant, QuotaGrant& result)
    {
        bool ok = true;
        result = { .term = Term(static_cast<uint64_t>(grant.term)),
            .life = BootId(static_cast<uint64_t>(grant.life)),
            .number = Sequence(static_cast<uint64_t>(grant.number)),
            .needsComplete = grant.needsComplete };
        for (const wire::QuotaAllowance& allowance : grant.allowances) {
            result.allowances.push_back({ .tenant = readTenant(allowance.tenant, ok),
                .allowance = readAmount(allowance.allowance, ok),
                .retryAfter = readDuration(allowance.retryAfterMilliseconds, ok) });
        }
        return ok;
    }

} // namespace

std::string encode(const QuotaMessage& message)
{
    wire::QuotaMessage result;
    std::visit([&result](const auto& part) { fill(result, part); }, message);
    return encodeThrift(result);
}

std::error_code decode(std::string_view bytes, QuotaMessage& message)
{
    wire::QuotaMessage decoded;
    ThriftLimits limits { maxFramePayloadBytes, maxNameBytes, maxTenants };
    if (std::error_code error = decodeThrift(bytes, limits, decoded))
        return error;
    if (decoded.__isset.report == decoded.__isset.grant)
        return ResultCode::MalformedFrame;
    bool isValid = decoded.__isset.report ? read(decoded.report, message.emplace<QuotaReport>())
                                          : read(decoded.grant, message.emplace<QuotaGrant>());
    return isValid ? std::error_code() : ResultCode::MalformedFrame;
}

} // namespace dragonflylane
