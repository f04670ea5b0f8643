#include "dragonflylane/EntryServiceState.h"

#include <gtest/gtest.h>
#include <set>

namespace dragonflylane {

namespace {

    using std::chrono::seconds;

    const TimePoint now { seconds(100) };
    const UpstreamVersion oldVersion("v1");
    const UpstreamVersion newVersion("v2");

    // Two digits, since a service lists its upstreams in the order of their ids.
    UpstreamEntry upstream(int number, const UpstreamVersion& version)
    {
        std::string suffix = (number < 10 ? "0" : "") + std::to_string(number);
        return { .id = UpstreamId("u" + suffix),
            .owner = HostId("h" + suffix),
            .service = ServiceName("orders"),
            .dataCentre = DataCentreName("dc"),
            .incarnation = Incarnation(1),
            .slots = 10,
            .phase = UpstreamPhase::Ready,
            .version = version };
    }

    /// Upstreams u00, u01 and so on of the old version, and after them those of the new one.
    std::shared_ptr<const ServiceEntry> serviceWith(int oldUpstreams, int newUpstreams)
    {
        auto service = std::make_shared<ServiceEntry>();
        service->name = ServiceName("orders");
        for (int i = 0; i < oldUpstreams + newUpstreams; ++i)
            service->upstreams.push_back(upstream(i, i < oldUpstreams ? oldVersion : newVersion));
        return service;
    }

    RolloutItem rollout(RolloutState state, uint32_t sharePermille)
    {
        return {
            .service = ServiceName("orders"), .target = newVersion, .state = state, .sharePermille = sharePermille
        };
    }

    class EntryServiceStateTest : public testing::Test {
    protected:
        void set(int oldUpstreams, int newUpstreams, const std::optional<RolloutItem>& item)
        {
            m_state.setService(serviceWith(oldUpstreams, newUpstreams), item ? &*item : nullptr, now);
        }

        VersionGroup versionsFor(int request, bool isRetry = false, bool isConfigRecent = true)
        {
            RequestId id("request-" + std::to_string(request));
            return m_state.versionsFor({ .request = id, .isRetry = isRetry, .isConfigRecent = isConfigRecent });
        }

        /// Number of 1,000 requests whose first attempt goes to the new version.
        int countNew(bool isRetry = false, bool isConfigRecent = true)
        {
            int count = 0;
            for (int i = 0; i < 1000; ++i) {
                auto choice = m_state.choose(versionsFor(i, isRetry, isConfigRecent), {}, now);
                if (!choice)
                    continue;
                count += m_state.find(choice->upstream)->version == newVersion ? 1 : 0;
                m_state.finished(*choice, SelectionOutcome::Success, std::nullopt, now);
            }
            return count;
        }

        EntryServiceState m_state { { .self = HostId("self"), .dataCentre = DataCentreName("dc") }, now };
    };

} // namespace

// Without a roll-out, the upstreams of an ordinary release are used at once.
TEST_F(EntryServiceStateTest, AllVersionsAreUsedWithoutARollout)
{
    set(4, 4, std::nullopt);
    EXPECT_EQ(versionsFor(1), VersionGroup::Any);
    EXPECT_GT(countNew(), 0);
    set(4, 4, rollout(RolloutState::Completed, 1000));
    EXPECT_EQ(versionsFor(1), VersionGroup::Any);
}

// A version that may be bad gets its share and no more, however many upstreams it has.
TEST_F(EntryServiceStateTest, TargetGetsItsShareOfTheRequests)
{
    set(4, 4, rollout(RolloutState::Running, 0));
    EXPECT_EQ(countNew(), 0);
    set(4, 40, rollout(RolloutState::Running, 100));
    EXPECT_GT(countNew(), 60);
    EXPECT_LT(countNew(), 140);
    EXPECT_EQ(countNew(true), 0);
    set(4, 4, rollout(RolloutState::Running, 1000));
    EXPECT_EQ(countNew(), 1000);
}

// Requests of the old version must not fall back to the new one, as they would when the old upstreams are lost.
TEST_F(EntryServiceStateTest, OldRequestsNeverFallBackToTheTarget)
{
    set(1, 4, rollout(RolloutState::Running, 0));
    const HostId tried[] = { HostId("h00") };
    EXPECT_FALSE(m_state.choose(versionsFor(1), tried, now));
    EXPECT_FALSE(m_state.chooseOwner(versionsFor(1), HostId("h02"), now));
}

// The share of the target falls back while it has no usable upstream.
TEST_F(EntryServiceStateTest, TargetRequestsFallBackToOtherVersions)
{
    set(4, 1, rollout(RolloutState::Running, 999));
    const HostId tried[] = { HostId("h04") };
    auto choice = m_state.choose(versionsFor(1), tried, now);
    ASSERT_TRUE(choice);
    EXPECT_EQ(m_state.find(choice->upstream)->version, oldVersion);
    set(4, 0, rollout(RolloutState::Running, 1000));
    EXPECT_EQ(versionsFor(1), VersionGroup::Others);
}

// A daemon that is cut off cannot learn of a roll-back.
TEST_F(EntryServiceStateTest, TargetGetsNothingWithoutARecentConfiguration)
{
    set(4, 4, rollout(RolloutState::Running, 1000));
    EXPECT_EQ(countNew(false, false), 0);
}

// Callers are refused rather than served by a version that is known to be bad.
TEST_F(EntryServiceStateTest, VersionThatWasRolledBackGetsNothing)
{
    set(4, 4, rollout(RolloutState::RolledBack, 0));
    EXPECT_EQ(countNew(), 0);
    set(0, 4, rollout(RolloutState::RolledBack, 0));
    EXPECT_FALSE(m_state.choose(versionsFor(1), {}, now));
}

// An operator starts a roll-out to the version that all upstreams run already.
TEST_F(EntryServiceStateTest, TargetServesAloneIfNoOtherVersionIsListed)
{
    set(0, 4, rollout(RolloutState::Running, 0));
    EXPECT_EQ(countNew(), 1000);
}

// A request is in flight at the target while the roll-out ends.
TEST_F(EntryServiceStateTest, AttemptsEndAfterTheVersionsAreJoined)
{
    set(4, 4, rollout(RolloutState::Running, 1000));
    auto choice = m_state.choose(versionsFor(1), {}, now);
    ASSERT_TRUE(choice);
    set(4, 4, rollout(RolloutState::Completed, 1000));
    m_state.finished(*choice, SelectionOutcome::Success, std::nullopt, now);
    EXPECT_EQ(m_state.size(VersionGroup::Any), 8U);
}

} // namespace dragonflylane
