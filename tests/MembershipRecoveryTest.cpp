// Measures how long daemons that were cut off from all others lack them after the cut has healed.

#include "bench/VirtualMesh.h"

#include <algorithm>
#include <cstdio>
#include <gtest/gtest.h>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    // Without the records of the control hosts, a daemon has no parent and holds an old configuration. Operators expect
    // it to be current this long after it can reach them again.
    constexpr Duration recoveryLimit = seconds(3);
    constexpr size_t daemons = 17;

    /// Cuts each of some daemons off from all others for a while. Returns how long it then takes until each of them
    /// knows the two seeds again and is known to them.
    Duration recoveryTime(uint64_t seed, size_t cutOff, Duration length)
    {
        VirtualMesh mesh({ .seed = seed });
        mesh.start(daemons);
        EXPECT_TRUE(mesh.runUntil([&] { return mesh.isConverged(); }, seconds(30)));
        mesh.runFor(seconds(5));
        const size_t first = daemons - cutOff;
        mesh.setReachable([&](size_t from, size_t to) { return from < first && to < first; });
        mesh.runFor(length);
        mesh.setReachable([](size_t, size_t) { return true; });
        auto areKnown = [&] {
            for (size_t daemon = first; daemon < daemons; ++daemon) {
                for (size_t control : { 0, 1 }) {
                    const MemberRecord* record = mesh.view(daemon, control);
                    const MemberRecord* reverse = mesh.view(control, daemon);
                    if (!record || !record->isPresent() || !reverse || !reverse->isPresent())
                        return false;
                }
            }
            return true;
        };
        return mesh.runUntil(areKnown, seconds(60)).value_or(seconds(60));
    }

} // namespace

// Guards against daemons that lack the control hosts for many seconds after a cut has healed, because the dead are
// contacted rarely and one after the other.
TEST(MembershipRecoveryTest, DaemonsThatWereCutOffKnowTheControlHostsSoonAfter)
{
    constexpr uint64_t seeds = 20;
    for (size_t cutOff : { 1, 3, 6, 12 }) {
        for (int length : { 3, 6, 9, 15, 40 }) {
            Duration slowest {};
            for (uint64_t seed = 1; seed <= seeds; ++seed)
                slowest = std::max(slowest, recoveryTime(seed, cutOff, seconds(length)));
            auto ms = std::chrono::duration_cast<milliseconds>(slowest).count();
            std::printf("%zu cut off for %d s: known after %ld ms\n", cutOff, length, static_cast<long>(ms));
            EXPECT_LE(slowest, recoveryLimit) << cutOff << " cut off for " << length << " s";
        }
    }
}

} // namespace dragonflylane
