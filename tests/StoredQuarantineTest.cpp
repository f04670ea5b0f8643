// Checks how the stored quarantine follows the quarantine of the control leader.

#include "dragonflylane/StoredQuarantine.h"

#include <gtest/gtest.h>

namespace dragonflylane {

namespace {

    CrashEntry entry(uint64_t fingerprint, CrashState state = CrashState::Quarantined)
    {
        return { .fingerprint = Fingerprint(fingerprint), .state = state, .deaths = { { UpstreamId("a"), {} } } };
    }

    /// Makes the stored quarantine follow these entries and returns what is stored then.
    std::vector<Fingerprint> follow(StoredQuarantine& stored, const std::vector<CrashEntry>& entries)
    {
        if (auto command = stored.changeTo(entries))
            stored.apply(*command);
        EXPECT_FALSE(stored.changeTo(entries)) << "nothing is left to store";
        std::vector<Fingerprint> fingerprints;
        for (const QuarantinedRequest& request : stored.all())
            fingerprints.push_back(request.fingerprint);
        return fingerprints;
    }

} // namespace

// Guards against requests that stay in quarantine after a restart although it had ended, and against suspects that
// become quarantined by a restart.
TEST(StoredQuarantineTest, HoldsTheRequestsThatAreInQuarantineNow)
{
    StoredQuarantine stored;
    EXPECT_TRUE(follow(stored, { entry(1, CrashState::Suspect) }).empty());
    EXPECT_EQ(follow(stored, { entry(1), entry(2) }).size(), 2U);
    EXPECT_EQ(follow(stored, { entry(2), entry(3) }), (std::vector { Fingerprint(2), Fingerprint(3) }));
    EXPECT_TRUE(follow(stored, {}).empty());
}

// Guards against an entry of the log for each check while nothing changes or nothing more fits, and against requests
// that displace those that are stored.
TEST(StoredQuarantineTest, StoresABoundedNumberOfRequests)
{
    StoredQuarantine stored;
    std::vector<CrashEntry> entries;
    for (uint64_t i = 0; i < StoredQuarantine::maxRequests; ++i)
        entries.push_back(entry(1000 + i));
    follow(stored, entries);
    entries.push_back(entry(1));
    EXPECT_EQ(follow(stored, entries).size(), StoredQuarantine::maxRequests);
    EXPECT_FALSE(stored.contains(Fingerprint(1)));
    entries.erase(entries.begin());
    EXPECT_EQ(follow(stored, entries).size(), StoredQuarantine::maxRequests);
    EXPECT_TRUE(stored.contains(Fingerprint(1)));
}

} // namespace dragonflylane
