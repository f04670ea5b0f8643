#include "dragonflylane/UpstreamRateLimiter.h"

#include "dragonflylane/OwnerAdmission.h"
#include "dragonflylane/RankedAdmission.h"
#include "dragonflylane/UpstreamSelector.h"
#include "tests/RateWindow.h"
#include "tests/Timeline.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <memory>
#include <random>
#include <rapidcheck/gtest.h>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const TimePoint start { seconds(1000) };

    Duration secondsOf(double value)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
    }

    constexpr Duration service = milliseconds(100);
    constexpr Duration target = milliseconds(400);
    constexpr Duration deadline = milliseconds(1600);
    constexpr uint32_t slots = 12;

    struct FleetOptions {
        size_t upstreams { 6 };
        size_t entries { 12 };
        /// Upstreams that state a limit, and the limit as a share of what their slots can serve.
        size_t limited { 4 };
        double limitShare { 0.4 };
        /// Offered load as a share of what all upstreams can serve within their limits.
        double load { 0.9 };
        bool reportsRateWait { true };
    };

    struct FleetResult {
        /// Calls served by their target, as a share of the offered ones.
        double inTime { 0 };
        /// Owners that were asked, for each call.
        double requestsPerCall { 0 };
        /// The most requests that one limited upstream got in four seconds, as a multiple of its limit.
        double mostOverLimit { 0 };
    };

    /// One service whose owners admit by rank and whose entry daemons choose by load, with up to three redirects.
    class Fleet {
    public:
        explicit Fleet(FleetOptions options)
            : m_options(options)
        {
            std::vector<UpstreamCandidate> candidates;
            for (size_t i = 0; i < options.upstreams; ++i) {
                std::string name = std::to_string(i);
                candidates.push_back({ .id = UpstreamId("u" + name),
                    .owner = HostId("h" + name),
                    .dataCentre = DataCentreName("dc"),
                    .slots = slots,
                    .isReady = true });
                m_owners.push_back(std::make_unique<RankedAdmission>(
                    RankedAdmissionOptions { .slots = slots, .reportsRateWait = options.reportsRateWait }));
                if (i < options.limited)
                    m_owners[i]->setRateLimit(RequestRate { limit() }, start);
            }
            m_sent.resize(options.upstreams);
            for (size_t i = 0; i < options.entries; ++i) {
                m_entries.push_back(std::make_unique<UpstreamSelector>(UpstreamSelectorOptions {
                    .self = HostId("e" + std::to_string(i)), .dataCentre = DataCentreName("dc"), .seed = i + 1 }));
                m_entries[i]->rebuild(candidates, start);
            }
        }

        FleetResult run(Duration length)
        {
            std::exponential_distribution<double> gap(m_options.load * capacity());
            for (TimePoint at = start; at < start + length; at += secondsOf(gap(m_random))) {
                ++m_calls;
                m_timeline.at(at, [this] { ask(std::make_shared<Call>(newCall())); });
            }
            for (TimePoint at = start; at < start + length; at += milliseconds(1))
                m_timeline.at(at, [this] { tick(); });
            m_timeline.run(start + length);
            auto calls = static_cast<double>(m_calls);
            return { static_cast<double>(m_inTime) / calls, static_cast<double>(m_asked) / calls, mostOverLimit() };
        }

    private:
        struct Call {
            CallTicket ticket;
            size_t entry { 0 };
            std::vector<HostId> tried;
            Choice choice;
        };
        using CallPtr = std::shared_ptr<Call>;

        static double fullRate() { return slots / std::chrono::duration<double>(service).count(); }
        double limit() const { return m_options.limitShare * fullRate(); }
        double capacity() const
        {
            auto limited = static_cast<double>(m_options.limited);
            return limited * limit() + (static_cast<double>(m_options.upstreams) - limited) * fullRate();
        }

        Call newCall()
        {
            TimePoint now = m_timeline.now();
            return { .ticket = { .id = ++m_lastId, .deadline = now + deadline, .target = now + target },
                .entry = m_random() % m_entries.size() };
        }

        size_t ownerOf(const Call& call) const { return std::stoul(call.choice.owner.value().substr(1)); }

        void ask(const CallPtr& call)
        {
            constexpr size_t maxAsked = 4;
            TimePoint now = m_timeline.now();
            auto choice
                = call->tried.size() < maxAsked ? m_entries[call->entry]->choose(call->tried, now) : std::nullopt;
            if (!choice)
                return;
            ++m_asked;
            call->choice = *choice;
            call->ticket.maxWait = call->tried.empty() ? target / 4 : target / 8;
            call->tried.push_back(choice->owner);
            m_open[call->ticket.id] = call;
            RankedAdmission& owner = *m_owners[ownerOf(*call)];
            AdmitDecision decision = owner.offer(call->ticket, now);
            if (decision.action == AdmitAction::Admit)
                send(call);
            if (decision.action == AdmitAction::Refuse)
                refused(call);
        }

        void send(const CallPtr& call)
        {
            m_sent[ownerOf(*call)].push_back(m_timeline.now());
            Duration time = service / 2 + Duration(static_cast<int64_t>(m_random() % service.count()));
            m_timeline.at(m_timeline.now() + time, [this, call] { end(call); });
        }

        void end(const CallPtr& call)
        {
            TimePoint now = m_timeline.now();
            RankedAdmission& owner = *m_owners[ownerOf(*call)];
            m_inTime += now <= call->ticket.target ? 1 : 0;
            AdmissionChanges changes = owner.finished(call->ticket.id, CallOutcome::Success, now);
            answered(call, SelectionOutcome::Success);
            apply(changes);
        }

        void refused(const CallPtr& call)
        {
            answered(call, SelectionOutcome::Refused);
            ask(call);
        }

        void answered(const CallPtr& call, SelectionOutcome outcome)
        {
            TimePoint now = m_timeline.now();
            m_open.erase(call->ticket.id);
            m_entries[call->entry]->finished(call->choice, outcome, m_owners[ownerOf(*call)]->load(now), now);
        }

        void apply(const AdmissionChanges& changes)
        {
            for (const CallTicket& ticket : changes.dispatched)
                send(m_open.at(ticket.id));
            for (const RefusedTicket& refusal : changes.refused)
                refused(CallPtr(m_open.at(refusal.ticket.id)));
        }

        void tick()
        {
            for (auto& owner : m_owners) {
                auto wakeup = owner->nextWakeup();
                if (wakeup && *wakeup <= m_timeline.now())
                    apply(owner->tick(m_timeline.now()));
            }
        }

        double mostOverLimit() const
        {
            size_t most = 0;
            for (size_t i = 0; i < m_options.limited; ++i)
                most = std::max(most, mostWithin(m_sent[i], limitWindow));
            return static_cast<double>(most) / (limit() * limitWindow.count());
        }

        FleetOptions m_options;
        std::mt19937_64 m_random { 7 };
        Timeline m_timeline { start };
        std::vector<std::unique_ptr<RankedAdmission>> m_owners;
        std::vector<std::unique_ptr<UpstreamSelector>> m_entries;
        std::vector<std::vector<TimePoint>> m_sent;
        std::unordered_map<uint64_t, CallPtr> m_open;
        uint64_t m_lastId { 0 };
        uint64_t m_calls { 0 };
        uint64_t m_asked { 0 };
        uint64_t m_inTime { 0 };
    };

} // namespace

// Guards against more requests than the limit and one burst in any span, whatever the times at which they are offered.
RC_GTEST_PROP(UpstreamRateLimiterTest, AnySpanHasAtMostTheLimitAndOneBurst, (uint64_t seed))
{
    std::mt19937_64 random(seed);
    double perSecond = std::uniform_real_distribution<double>(0.5, 400)(random);
    UpstreamRateLimiter limiter;
    limiter.setLimit(RequestRate { perSecond }, start);
    std::vector<TimePoint> sent;
    TimePoint now = start;
    for (int i = 0; i < 2000; ++i) {
        now += secondsOf(std::exponential_distribution<double>(2 * perSecond)(random));
        // A pause now and then fills the burst.
        if (random() % 200 == 0)
            now += seconds(1);
        if (!limiter.maySend(now)) {
            RC_ASSERT(limiter.wait(0, now) > Duration::zero());
            RC_ASSERT(limiter.nextSend() == now + limiter.wait(0, now));
            continue;
        }
        limiter.recordSent(now);
        sent.push_back(now);
    }
    double burst = std::max(1.0, perSecond * 0.25);
    for (size_t first = 0; first < sent.size(); ++first) {
        for (size_t last : { first + 3, first + 20, first + 300 }) {
            if (last >= sent.size())
                continue;
            double span = std::chrono::duration<double>(sent[last] - sent[first]).count();
            RC_ASSERT(static_cast<double>(last - first + 1) <= span * perSecond + burst + 1);
        }
    }
}

// Guards against a caller that is told to come back too early or too late: with this many requests ahead, the request
// can be sent after exactly the stated wait.
TEST(UpstreamRateLimiterTest, WaitIsTheTimeUntilTheRequestCanBeSent)
{
    UpstreamRateLimiter limiter;
    EXPECT_EQ(limiter.wait(100, start), Duration::zero());
    limiter.setLimit(RequestRate { 4 }, start);
    EXPECT_EQ(limiter.wait(0, start), Duration::zero());
    EXPECT_EQ(limiter.wait(3, start), milliseconds(750));
    limiter.recordSent(start);
    EXPECT_FALSE(limiter.maySend(start + milliseconds(249)));
    EXPECT_TRUE(limiter.maySend(start + milliseconds(250)));
    EXPECT_EQ(limiter.wait(1, start + milliseconds(100)), milliseconds(400));
}

// Guards against an upstream whose limit of zero would never be lifted, since only a response can show that it has
// ended.
TEST(UpstreamRateLimiterTest, LimitOfZeroStillAllowsARequestNowAndThen)
{
    UpstreamRateLimiter limiter;
    limiter.setLimit(RequestRate { 0 }, start);
    size_t sent = 0;
    for (TimePoint now = start; now < start + seconds(4); now += milliseconds(10)) {
        if (!limiter.maySend(now))
            continue;
        limiter.recordSent(now);
        ++sent;
    }
    EXPECT_GE(sent, 1U);
    EXPECT_LE(sent, 5U);
}

// Guards against a long standstill after the limit is lowered, and against a limit that remains after it was lifted.
TEST(UpstreamRateLimiterTest, ChangeOfTheLimitAppliesAtOnce)
{
    UpstreamRateLimiter limiter;
    limiter.setLimit(RequestRate { 100 }, start);
    while (limiter.maySend(start))
        limiter.recordSent(start);
    limiter.setLimit(RequestRate { 2 }, start);
    EXPECT_FALSE(limiter.maySend(start));
    EXPECT_LE(limiter.wait(0, start), milliseconds(500));
    limiter.setLimit(RequestRate { 1e12 }, start);
    EXPECT_LE(limiter.wait(0, start), milliseconds(1));
    limiter.setLimit(std::nullopt, start);
    EXPECT_TRUE(limiter.maySend(start));
}

// Four of six upstreams of a service state limits, and the load is nine tenths of what the service can still take.
// Guards against calls that are refused although there is room for them, and against an upstream that gets more than
// its limit. Nine tenths of the calls must be served in time.
TEST(UpstreamRateLimiterTest, FleetWithLimitedUpstreamsServesWhatTheRestCanTake)
{
    FleetResult result = Fleet(FleetOptions {}).run(seconds(20));
    std::printf("in time %.3f, %.2f owners asked for each call, at most %.2f of a limit in 4 s\n", result.inTime,
        result.requestsPerCall, result.mostOverLimit);
    EXPECT_GT(result.inTime, 0.9);
    EXPECT_LT(result.mostOverLimit, 1.5);
    FleetResult blind = Fleet({ .reportsRateWait = false }).run(seconds(20));
    std::printf(
        "without the wait in load reports: in time %.3f, %.2f owners asked\n", blind.inTime, blind.requestsPerCall);
    EXPECT_LT(result.requestsPerCall, blind.requestsPerCall);
}

// The same fleet under one and a half times the load that it can take. Guards against limits that are exceeded, or left
// unused, under overload: nine tenths of what is possible must be served in time.
TEST(UpstreamRateLimiterTest, FleetWithLimitedUpstreamsServesItsCapacityUnderOverload)
{
    constexpr double load = 1.5;
    FleetResult result = Fleet({ .load = load }).run(seconds(20));
    std::printf(
        "in time %.3f of possible, %.2f owners asked for each call\n", result.inTime * load, result.requestsPerCall);
    EXPECT_GT(result.inTime * load, 0.9);
    EXPECT_LT(result.mostOverLimit, 1.5);
}

} // namespace dragonflylane
