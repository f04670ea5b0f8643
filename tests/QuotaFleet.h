#pragma once

// Entry daemons and control hosts that exchange quota messages in simulated time, without a network. Records when each
// request was admitted.

#include "dragonflylane/QuotaDivider.h"
#include "dragonflylane/QuotaShare.h"
#include "dragonflylane/RoutingTable.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace dragonflylane {

inline constexpr Duration fleetStep = std::chrono::milliseconds(10);
inline constexpr Duration admissionWait = std::chrono::milliseconds(150);

struct QuotaFleetOptions {
    size_t daemons { 4 };
    size_t controls { 3 };
    Duration window { std::chrono::seconds(2) };
    Duration lease { std::chrono::seconds(4) };
    double loss { 0 };
    double duplication { 0 };
    /// Messages with different delays overtake each other.
    Duration maxDelay { std::chrono::milliseconds(5) };
    uint64_t seed { 1 };
};

/// An entry daemon and its callers.
struct FleetDaemon {
    std::unique_ptr<QuotaShare> share;
    double demandPerSecond { 0 };
    bool isRunning { true };
    bool isFrozen { false };
    bool isCut { false };
    uint64_t processes { 0 };
    std::vector<TimePoint> waiting;
    uint64_t wanted { 0 };
    uint64_t admitted { 0 };
    uint64_t admittedAtOnce { 0 };
    uint64_t refused { 0 };
    uint64_t unavailable { 0 };
};

class QuotaFleet {
public:
    QuotaFleet(QuotaFleetOptions options, TenantEntry tenant)
        : m_options(options)
        , m_random(options.seed)
        , m_tenant(std::move(tenant))
    {
        for (size_t index = 0; index < options.controls; ++index)
            startControl(index);
        m_daemons.resize(options.daemons);
        for (size_t index = 0; index < options.daemons; ++index)
            startDaemon(index);
        setLeader(0);
    }

    TimePoint now() const { return m_now; }
    FleetDaemon& daemon(size_t index) { return m_daemons[index]; }
    size_t size() const { return m_daemons.size(); }
    const std::vector<TimePoint>& admissions() const { return m_admissions; }
    QuotaDivider* leader() { return m_leader ? m_dividers[*m_leader].get() : nullptr; }
    uint32_t limit() const { return quotaLimit(m_tenant, m_options.window); }
    std::mt19937_64& random() { return m_random; }

    void startDaemon(size_t index)
    {
        FleetDaemon& daemon = m_daemons[index];
        ++daemon.processes;
        daemon.share = std::make_unique<QuotaShare>(QuotaShareOptions { .self = hostId(index),
            .life = BootId(daemon.processes),
            .startedAt = m_now,
            .window = m_options.window,
            .lease = m_options.lease });
        daemon.share->setTenants({ m_tenant });
        daemon.isRunning = true;
        for (auto& divider : m_dividers)
            divider->setHost(hostId(index), true, m_now);
    }

    void killDaemon(size_t index)
    {
        m_daemons[index].isRunning = false;
        m_daemons[index].waiting.clear();
        for (auto& divider : m_dividers)
            divider->setHost(hostId(index), false, m_now);
    }

    /// Kills every process and starts it again.
    void restartAll()
    {
        m_leader.reset();
        m_dividers.clear();
        for (size_t index = 0; index < m_options.controls; ++index)
            startControl(index);
        for (size_t index = 0; index < size(); ++index) {
            killDaemon(index);
            startDaemon(index);
        }
    }

    /// The previous leader's log lease has ended.
    void stopLeader()
    {
        if (leader())
            leader()->stopLeading();
        m_leader.reset();
    }

    void setLeader(size_t index)
    {
        stopLeader();
        m_leader = index;
        m_term = m_term.next();
        leader()->lead(m_term, m_now);
    }

    /// All control hosts and reachable daemons apply the limit.
    void setRate(double ratePerSecond)
    {
        m_tenant.ratePerSecond = ratePerSecond;
        for (auto& divider : m_dividers)
            divider->setLimits({ m_tenant }, m_now);
        for (FleetDaemon& daemon : m_daemons) {
            if (daemon.isRunning && !daemon.isCut && !daemon.isFrozen)
                daemon.share->setTenants({ m_tenant });
        }
    }

    void run(Duration duration)
    {
        for (TimePoint end = m_now + duration; m_now < end;)
            step();
    }

    /// Largest number of admissions in any window that ends in [from, to).
    size_t worstWindow(TimePoint from, TimePoint to) const
    {
        size_t worst = 0;
        size_t first = 0;
        for (size_t last = 0; last < m_admissions.size(); ++last) {
            while (m_admissions[last] - m_admissions[first] >= m_options.window)
                ++first;
            if (m_admissions[last] >= from && m_admissions[last] < to)
                worst = std::max(worst, last - first + 1);
        }
        return worst;
    }

    size_t admittedBetween(TimePoint from, TimePoint to) const
    {
        return static_cast<size_t>(std::count_if(
            m_admissions.begin(), m_admissions.end(), [&](TimePoint time) { return time >= from && time < to; }));
    }

    bool chance(double probability) { return std::uniform_real_distribution<double>(0, 1)(m_random) < probability; }

private:
    struct Message {
        size_t daemon { 0 };
        size_t control { 0 };
        std::optional<QuotaReport> report;
        std::optional<QuotaGrant> grant;
    };

    static HostId hostId(size_t index) { return HostId("entry-" + std::to_string(index)); }

    void startControl(size_t)
    {
        m_dividers.push_back(std::make_unique<QuotaDivider>(
            QuotaDividerOptions { .window = m_options.window, .lease = m_options.lease, .startedAt = m_now }));
        m_dividers.back()->setLimits({ m_tenant }, m_now);
        for (size_t index = 0; index < m_daemons.size(); ++index)
            m_dividers.back()->setHost(hostId(index), m_daemons[index].isRunning, m_now);
    }

    void step()
    {
        m_now += fleetStep;
        deliver();
        for (size_t index = 0; index < size(); ++index) {
            FleetDaemon& daemon = m_daemons[index];
            if (!daemon.isRunning || daemon.isFrozen)
                continue;
            serve(daemon);
            if (auto report = daemon.share->takeReport(m_now))
                send({ .daemon = index, .control = m_random() % m_options.controls, .report = std::move(report) });
        }
    }

    void serve(FleetDaemon& daemon)
    {
        TenantName name = m_tenant.name;
        double arrivals = daemon.demandPerSecond * std::chrono::duration<double>(fleetStep).count();
        auto count = std::poisson_distribution<int>(std::max(arrivals, 1e-9))(m_random);
        std::vector<TimePoint> waiting = std::exchange(daemon.waiting, {});
        for (TimePoint since : waiting)
            tryAdmit(daemon, since);
        for (int number = 0; number < count; ++number) {
            ++daemon.wanted;
            daemon.share->recordDemand(name, m_now);
            tryAdmit(daemon, m_now);
        }
    }

    void tryAdmit(FleetDaemon& daemon, TimePoint since)
    {
        QuotaVerdict verdict = daemon.share->trySpend(m_tenant.name, m_now);
        if (verdict == QuotaVerdict::Pending && m_now - since >= admissionWait)
            verdict = daemon.share->finalVerdict(m_tenant.name, m_now);
        if (verdict == QuotaVerdict::Pending)
            return daemon.waiting.push_back(since);
        daemon.refused += verdict == QuotaVerdict::Exceeded ? 1 : 0;
        daemon.unavailable += verdict == QuotaVerdict::Unavailable ? 1 : 0;
        if (verdict != QuotaVerdict::Admitted)
            return;
        ++daemon.admitted;
        daemon.admittedAtOnce += since == m_now ? 1 : 0;
        m_admissions.push_back(m_now);
    }

    void send(const Message& message)
    {
        if (m_daemons[message.daemon].isCut || chance(m_options.loss))
            return;
        int copies = chance(m_options.duplication) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            Duration delay(std::uniform_int_distribution<int64_t>(1, m_options.maxDelay.count())(m_random));
            m_messages.emplace(m_now + delay, message);
        }
    }

    void deliver()
    {
        while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
            Message message = std::move(m_messages.begin()->second);
            m_messages.erase(m_messages.begin());
            if (message.grant)
                deliverGrant(message);
            else
                deliverReport(message);
        }
    }

    void deliverGrant(const Message& message)
    {
        FleetDaemon& daemon = m_daemons[message.daemon];
        if (daemon.isRunning && !daemon.isFrozen && !daemon.isCut)
            daemon.share->accept(*message.grant, m_now);
    }

    // A control host that doesn't lead forwards the report.
    void deliverReport(const Message& message)
    {
        if (!m_leader)
            return;
        if (*m_leader != message.control) {
            Message forwarded = message;
            forwarded.control = *m_leader;
            return send(forwarded);
        }
        if (auto grant = leader()->receive(*message.report, m_now))
            send({ .daemon = message.daemon, .control = message.control, .grant = std::move(grant) });
    }

    QuotaFleetOptions m_options;
    std::mt19937_64 m_random;
    TenantEntry m_tenant;
    TimePoint m_now { std::chrono::hours(1) };
    std::vector<FleetDaemon> m_daemons;
    std::vector<std::unique_ptr<QuotaDivider>> m_dividers;
    std::optional<size_t> m_leader;
    Term m_term;
    std::multimap<TimePoint, Message> m_messages;
    std::vector<TimePoint> m_admissions;
};

} // namespace dragonflylane
