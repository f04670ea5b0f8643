// Measures how long daemons hold an old configuration after an outage of the control hosts has ended.

#include "bench/RelaySimulation.h"

#include <gtest/gtest.h>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    // Operators expect a daemon that can reach the control hosts to be current again this long after they are back.
    constexpr Duration recoveryLimit = seconds(3);

    struct Outage {
        Duration length;
        /// The connections are not closed, as if the hosts had lost power.
        bool isSilent { false };
    };

    /// Stops all control hosts for a while, publishes once they are back, and returns how long the slowest daemon takes
    /// to hold what was published.
    Duration recoveryTime(uint64_t seed, const Outage& outage)
    {
        RelaySimulation simulation({ .daemons = 14, .dataCentres = 3, .controlHosts = 5, .seed = seed, .tree = {} });
        simulation.run(seconds(5));
        simulation.publish();
        simulation.run(seconds(1));
        EXPECT_TRUE(simulation.allHoldPublished());
        for (size_t host = 0; host < simulation.firstDaemon(); ++host)
            simulation.kill(host, outage.isSilent);
        simulation.run(outage.length);
        for (size_t host = 0; host < simulation.firstDaemon(); ++host)
            simulation.restart(host);
        simulation.publish();
        auto time = simulation.runUntil([&] { return simulation.allHoldPublished(); }, seconds(30));
        return time.value_or(seconds(30));
    }

    /// Stops and starts five parents of a daemon in turn, publishes, and returns how long the daemon takes to hold what
    /// was published.
    Duration recoveryTimeAfterRestarts(uint64_t seed, Duration pause)
    {
        constexpr size_t controlHosts = 5;
        constexpr size_t parents = 5;
        RelaySimulation simulation(
            { .daemons = 14, .dataCentres = 3, .controlHosts = controlHosts, .seed = seed, .tree = {} });
        const size_t daemon = simulation.size() - 1;
        simulation.run(seconds(5));
        for (size_t restarts = 0; restarts < parents; ++restarts) {
            size_t parent = simulation.parentOf(daemon).value_or(0);
            simulation.relay(parent).leave(simulation.now());
            simulation.run(milliseconds(500));
            simulation.kill(parent, false);
            simulation.run(pause);
            simulation.restart(parent);
            simulation.run(pause);
        }
        Revision published = simulation.publish();
        auto time
            = simulation.runUntil([&] { return simulation.relay(daemon).held().revision == published; }, seconds(60));
        return time.value_or(seconds(60));
    }

} // namespace

// Guards against daemons that serve an old configuration for seconds after the control hosts are back, because they
// still wait out the backoff of attempts from before.
TEST(RelayRecoveryTest, DaemonsAreCurrentSoonAfterAnOutageOfAllControlHosts)
{
    constexpr uint64_t seeds = 20;
    for (bool isSilent : { false, true }) {
        for (int length : { 1, 2, 3, 4, 6, 10, 20 }) {
            Duration slowest {};
            for (uint64_t seed = 1; seed <= seeds; ++seed)
                slowest = std::max(slowest, recoveryTime(seed, { .length = seconds(length), .isSilent = isSilent }));
            auto ms = std::chrono::duration_cast<milliseconds>(slowest).count();
            std::printf("silent %d, outage %d s: current after %ld ms\n", isSilent, length, static_cast<long>(ms));
            EXPECT_LE(slowest, recoveryLimit) << "silent " << isSilent << ", outage of " << length << " s";
        }
    }
}

// Guards against a daemon that serves an old configuration for half a minute, because it avoids every candidate that
// has announced its shutdown, although those have been started again.
TEST(RelayRecoveryTest, DaemonIsCurrentAfterItsParentsWereRestartedInTurn)
{
    constexpr uint64_t seeds = 20;
    for (milliseconds pause : { milliseconds(500), milliseconds(2000) }) {
        Duration slowest {};
        for (uint64_t seed = 1; seed <= seeds; ++seed)
            slowest = std::max(slowest, recoveryTimeAfterRestarts(seed, pause));
        auto ms = std::chrono::duration_cast<milliseconds>(slowest).count();
        std::printf("pause %ld ms: current after %ld ms\n", static_cast<long>(pause.count()), static_cast<long>(ms));
        EXPECT_LE(slowest, recoveryLimit);
    }
}

} // namespace dragonflylane
