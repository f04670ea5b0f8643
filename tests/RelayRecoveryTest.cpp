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

} // namespace dragonflylane
