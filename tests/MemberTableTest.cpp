// Checks the indexes over the members that a daemon knows.

#include "dragonflylane/MemberTable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dragonflylane {

namespace {

    constexpr size_t hostCount = 6;

    MemberRecord randomRecord(size_t host)
    {
        return { .host = HostId("host-" + std::to_string(host)),
            .address = { .address = "10.0.0.1", .port = static_cast<uint16_t>(*rc::gen::inRange(1, 4)) },
            .dataCentre = DataCentreName("dc-" + std::to_string(*rc::gen::inRange(0, 3))),
            .incarnation = Incarnation(*rc::gen::inRange<uint64_t>(0, 3)),
            .state = static_cast<MemberState>(*rc::gen::inRange(0, 4)) };
    }

    /// Compares what the indexes say with what the records say.
    void checkIndexes(MemberTable& table, const std::map<HostId, MemberRecord>& expected)
    {
        RC_ASSERT(table.members() == expected);
        std::map<DataCentreName, size_t> present;
        size_t dead = 0;
        MemberTable reference;
        for (const auto& [host, record] : expected) {
            present[record.dataCentre] += record.isPresent() ? 1 : 0;
            dead += record.state == MemberState::Dead ? 1 : 0;
            reference.insert(record, 0);
        }
        size_t sum = 0;
        for (const auto& [dataCentre, count] : present) {
            RC_ASSERT(table.presentIn(dataCentre) == count);
            sum += count;
        }
        RC_ASSERT(table.present().size() == sum);
        RC_ASSERT(table.dead().size() == dead);
        for (MemberTable::HostHash hash : table.present())
            RC_ASSERT(table.find(hash)->second.record().isPresent());
        for (MemberTable::HostHash hash : table.dead())
            RC_ASSERT(table.find(hash)->second.record().state == MemberState::Dead);
        RC_ASSERT(table.rootDigest() == reference.rootDigest());
        RC_ASSERT(table.bucketDigests() == reference.bucketDigests());
        RC_ASSERT(table.countBetween(0, ~MemberTable::HostHash { 0 }) == expected.size());
    }

} // namespace

// Guards against an index that a change of a record leaves behind: a member that is probed although it is dead, or
// digests that differ although the records are equal.
RC_GTEST_PROP(MemberTableProperty, IndexesFollowTheRecords, ())
{
    MemberTable table;
    std::map<HostId, MemberRecord> expected;
    for (int step = 0; step < 40; ++step) {
        MemberRecord record = randomRecord(*rc::gen::inRange<size_t>(0, hostCount));
        auto it = table.find(MemberTable::hashOf(record.host));
        bool isErased = it != table.end() && *rc::gen::inRange(0, 4) == 0;
        if (isErased) {
            table.erase(it);
            expected.erase(record.host);
        } else if (it != table.end()) {
            table.replace(it, record, 0);
            expected[record.host] = record;
        } else {
            table.insert(record, 0);
            expected[record.host] = record;
        }
        checkIndexes(table, expected);
    }
}

// Guards against a member that is found at an address which another host has taken over since.
TEST(MemberTableTest, AddressBelongsToTheLatestHost)
{
    Endpoint address { .address = "10.0.0.1", .port = 1 };
    MemberTable table;
    auto first = table.insert({ .host = HostId("a"), .address = address }, 0);
    auto second = table.insert({ .host = HostId("b"), .address = address }, 0);
    EXPECT_EQ(table.findByAddress(address), second);
    table.erase(first);
    EXPECT_EQ(table.findByAddress(address), second);
    EXPECT_TRUE(table.isPresentAt(address));
    table.erase(second);
    EXPECT_FALSE(table.isPresentAt(address));
}

// Guards against a deadline that outlasts the record for which it was set.
TEST(MemberTableTest, DeadlineEndsWithItsRecord)
{
    MemberTable table;
    MemberRecord record { .host = HostId("a"), .address = { .address = "10.0.0.1", .port = 1 } };
    auto it = table.insert(record, 0);
    table.setDeadline(it, TimePoint(std::chrono::seconds(9)));
    table.setDeadline(it, TimePoint(std::chrono::seconds(5)));
    EXPECT_EQ(table.nextDeadline(), TimePoint(std::chrono::seconds(5)));
    EXPECT_EQ(table.nextDue(), it);
    table.replace(it, record, 0);
    EXPECT_FALSE(table.nextDeadline());
    EXPECT_EQ(table.nextDue(), table.end());
}

} // namespace dragonflylane
