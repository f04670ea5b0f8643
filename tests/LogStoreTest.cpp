#include "dragonflylane/LogStore.h"

#include "dragonflylane/ResultCode.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace dragonflylane {

namespace {

    /// A disk that loses what is not synced: data of files, and names that were created or renamed.
    struct Disk {
        struct Content {
            std::string data;
            size_t syncedBytes { 0 };
        };
        using Names = std::map<std::string, std::shared_ptr<Content>>;

        Names names;
        Names syncedNames;
        size_t operations { 0 };
        /// Number of the operation that returns an error, counted from one.
        size_t failAt { 0 };
        /// Number of the first operation that no longer takes place, as after a loss of power.
        size_t stopAt { 0 };

        std::error_code operation()
        {
            ++operations;
            bool fails = operations == failAt || (stopAt != 0 && operations >= stopAt);
            return fails ? std::make_error_code(std::errc::io_error) : std::error_code();
        }

        /// Of each file a random part of the unsynced data survives, the rest is missing or zero.
        void losePower(std::mt19937_64& random)
        {
            if (random() % 2 == 0)
                names = syncedNames;
            for (auto& [name, content] : names) {
                size_t unsynced = content->data.size() - content->syncedBytes;
                size_t kept = unsynced == 0 ? 0 : random() % (unsynced + 1);
                size_t oldSize = content->data.size();
                content->data.resize(content->syncedBytes + kept);
                if (random() % 3 == 0)
                    content->data.resize(oldSize, '\0');
                content->syncedBytes = content->data.size();
            }
            syncedNames = names;
            operations = 0;
            failAt = 0;
            stopAt = 0;
        }
    };

    class DiskFile : public LogFile {
    public:
        DiskFile(Disk& disk, std::shared_ptr<Disk::Content> content)
            : m_disk(disk)
            , m_content(std::move(content))
        {
        }

        std::error_code append(std::string_view data) override
        {
            auto error = m_disk.operation();
            // A failed write may have written a part.
            m_content->data += error ? data.substr(0, data.size() / 2) : data;
            return error;
        }

        std::error_code sync() override
        {
            auto error = m_disk.operation();
            if (!error)
                m_content->syncedBytes = m_content->data.size();
            return error;
        }

    private:
        Disk& m_disk;
        std::shared_ptr<Disk::Content> m_content;
    };

    class DiskFiles : public LogFiles {
    public:
        explicit DiskFiles(Disk& disk)
            : m_disk(disk)
        {
        }

        std::error_code read(const std::string& name, std::string& content, bool& exists) override
        {
            auto found = m_disk.names.find(name);
            exists = found != m_disk.names.end();
            content = exists ? found->second->data : std::string();
            return {};
        }

        std::error_code create(const std::string& name, std::unique_ptr<LogFile>& file) override
        {
            if (auto error = m_disk.operation())
                return error;
            auto content = std::make_shared<Disk::Content>();
            m_disk.names[name] = content;
            file = std::make_unique<DiskFile>(m_disk, content);
            return {};
        }

        std::error_code rename(const std::string& from, const std::string& to) override
        {
            if (auto error = m_disk.operation())
                return error;
            m_disk.names[to] = m_disk.names[from];
            m_disk.names.erase(from);
            return {};
        }

        std::error_code syncFolder() override
        {
            auto error = m_disk.operation();
            if (!error)
                m_disk.syncedNames = m_disk.names;
            return error;
        }

    private:
        Disk& m_disk;
    };

    LogStore makeStore(Disk& disk, uint64_t random = 1)
    {
        return { { .self = HostId("host"), .random = random, .rewriteBytes = 2000 },
            std::make_unique<DiskFiles>(disk) };
    }

    LogEntry makeEntry(uint64_t index, uint64_t term, std::string payload)
    {
        LogEntry entry { LogIndex(index), Term(term), LogEntryKind::Command, std::move(payload), {} };
        if (index % 5 == 0) {
            entry.kind = LogEntryKind::Membership;
            entry.membership.voters.push_back({ ReplicaId("host/1"), HostId("host") });
        }
        return entry;
    }

    LogWrite randomWrite(std::mt19937_64& random, const RecoveredLog& log)
    {
        LogWrite write;
        uint64_t first = log.snapshot.index.value();
        uint64_t last = first + log.entries.size();
        uint64_t term = log.hardState.term.value();
        if (random() % 4 == 0)
            write.hardState = LogHardState { Term(++term), ReplicaId(std::to_string(random() % 3)) };
        if (random() % 5 == 0 && last > first) {
            last = first + random() % (last - first);
            write.truncateFrom = LogIndex(last + 1);
        }
        if (random() % 10 == 0) {
            write.snapshot = LogSnapshot { LogIndex(first + random() % (last - first + 1)), Term(term), {}, "state" };
            write.snapshot->data += std::string(random() % 300, 'x');
        }
        for (uint64_t count = random() % 4; count > 0; --count)
            write.entries.push_back(makeEntry(++last, term, std::string(random() % 100, 'p')));
        return write;
    }

    std::string& logData(Disk& disk)
    {
        return disk.names["replica.log"]->data;
    }

    /// A store with writes of one entry each. Returns the offset of each record.
    std::vector<uint64_t> writeEntries(Disk& disk, uint64_t count)
    {
        LogStore store = makeStore(disk);
        RecoveredLog log;
        LogStoreReport report;
        EXPECT_FALSE(store.open(log, report));
        std::vector<uint64_t> offsets;
        for (uint64_t i = 1; i <= count; ++i) {
            offsets.push_back(store.fileBytes());
            LogWrite write;
            write.entries.push_back(makeEntry(i, 1, "payload " + std::to_string(i)));
            EXPECT_FALSE(store.write(write));
        }
        return offsets;
    }

    std::error_code reopen(Disk& disk, RecoveredLog& log, LogStoreReport& report)
    {
        LogStore store = makeStore(disk, 2);
        return store.open(log, report);
    }

} // namespace

// Guards against a lost or partial write after a crash at any operation: a naive copy of the log must be recovered with
// all writes that returned, and with the interrupted write as a whole or not at all.
RC_GTEST_PROP(LogStoreTest, CrashAtAnyOperationKeepsReturnedWrites, (uint64_t seed))
{
    std::mt19937_64 random(seed);
    Disk disk;
    RecoveredLog expected;
    for (int life = 0; life < 8; ++life) {
        LogStore store = makeStore(disk, random());
        RecoveredLog recovered;
        LogStoreReport report;
        if (random() % 2 == 0)
            disk.stopAt = 1 + random() % 40;
        if (store.open(recovered, report)) {
            RC_ASSERT(disk.stopAt != 0U);
            disk.losePower(random);
            continue;
        }
        // Before the first start has finished there is no replica id to keep.
        if (expected.replicaId.isEmpty())
            expected.replicaId = recovered.replicaId;
        RC_ASSERT(recovered == expected);
        RecoveredLog interrupted = expected;
        for (int i = 0; i < 30; ++i) {
            LogWrite write = randomWrite(random, expected);
            RC_ASSERT(applyLogWrite(write, interrupted));
            if (store.write(write))
                break;
            expected = interrupted;
        }
        disk.losePower(random);
        LogStore after = makeStore(disk, random());
        RC_ASSERT(!after.open(recovered, report));
        RC_ASSERT(recovered == expected || recovered == interrupted);
        expected = recovered;
        disk.losePower(random);
    }
}

// Guards against silent loss of synced records when the medium damages one.
TEST(LogStoreTest, DamageBeforeTheTailIsRefusedWithItsOffset)
{
    Disk original;
    std::vector<uint64_t> offsets = writeEntries(original, 5);
    const std::string content = logData(original);
    for (size_t at = 0; at < offsets[4]; ++at) {
        Disk disk;
        disk.names["replica.log"] = std::make_shared<Disk::Content>(Disk::Content { content, content.size() });
        logData(disk)[at] = static_cast<char>(content[at] ^ 0x10);
        RecoveredLog log;
        LogStoreReport report;
        ASSERT_EQ(reopen(disk, log, report), ResultCode::LogDamaged) << at;
        EXPECT_EQ(report.file, "replica.log");
        auto next = std::ranges::upper_bound(offsets, at);
        if (next != offsets.begin()) {
            EXPECT_EQ(report.offset, *(next - 1));
        }
        EXPECT_EQ(logData(disk).size(), content.size()) << "a damaged file must stay as evidence";
    }
}

// Guards against a torn last write that stops the replica or is not reported.
TEST(LogStoreTest, TornTailIsTruncatedAndReported)
{
    Disk original;
    std::vector<uint64_t> offsets = writeEntries(original, 3);
    const std::string content = logData(original);
    for (size_t size = offsets[2] + 1; size < content.size(); ++size) {
        Disk disk;
        disk.names["replica.log"]
            = std::make_shared<Disk::Content>(Disk::Content { content.substr(0, size), content.size() });
        RecoveredLog log;
        LogStoreReport report;
        ASSERT_FALSE(reopen(disk, log, report));
        EXPECT_EQ(log.entries.size(), 2U);
        EXPECT_EQ(report.offset, offsets[2]);
        EXPECT_EQ(report.tornBytes, size - offsets[2]);
        ASSERT_FALSE(reopen(disk, log, report));
        EXPECT_EQ(report.tornBytes, 0U);
    }
}

// Guards against a record inside a payload that makes a torn tail look like damage.
TEST(LogStoreTest, RecordCopiedIntoAPayloadIsNotARecord)
{
    Disk disk;
    std::vector<uint64_t> offsets = writeEntries(disk, 2);
    std::string record = logData(disk).substr(offsets[1]);
    RecoveredLog log;
    LogStoreReport report;
    {
        LogStore store = makeStore(disk, 1);
        ASSERT_FALSE(store.open(log, report));
        LogWrite write;
        write.entries.push_back(makeEntry(3, 1, record + record));
        ASSERT_FALSE(store.write(write));
    }
    logData(disk).resize(logData(disk).size() - 3);
    ASSERT_FALSE(reopen(disk, log, report));
    EXPECT_EQ(log.entries.size(), 2U);
}

// Guards against a failed write or sync that is tried again or forgotten: no later write may report success.
TEST(LogStoreTest, EveryFailedOperationStopsTheStore)
{
    for (size_t failAt = 1;; ++failAt) {
        Disk disk;
        disk.failAt = failAt;
        LogStore store = makeStore(disk);
        RecoveredLog log;
        LogStoreReport report;
        std::error_code failed = store.open(log, report);
        for (uint64_t i = 1; i <= 3 && !failed; ++i) {
            LogWrite write;
            write.entries.push_back(makeEntry(i, 1, "x"));
            if (i == 3)
                write.snapshot = LogSnapshot { LogIndex(2), Term(1), {}, "state" };
            failed = store.write(write);
        }
        if (disk.operations < failAt) {
            // Two files of six operations each, and two records of two.
            EXPECT_EQ(disk.operations, 16U);
            break;
        }
        EXPECT_EQ(failed, ResultCode::StorageFailed) << failAt;
        LogWrite later;
        later.hardState = LogHardState { Term(9), {} };
        EXPECT_EQ(store.write(later), ResultCode::StorageFailed) << failAt;
    }
}

// Guards against a replica that ends because its disk is full for a while, and against a write that counts as durable
// after the disk has room again although it was lost: whichever operation fails, the retry writes everything.
TEST(LogStoreTest, RetryAfterAFailedWriteKeepsEverything)
{
    std::mt19937_64 random(1);
    for (size_t failAt = 7;; ++failAt) {
        Disk disk;
        LogStore store = makeStore(disk);
        RecoveredLog log;
        LogStoreReport report;
        ASSERT_FALSE(store.open(log, report));
        disk.failAt = failAt;
        int failures = 0;
        for (uint64_t i = 1; i <= 3; ++i) {
            LogWrite write;
            write.entries.push_back(makeEntry(i, 1, "x"));
            if (!store.write(write))
                continue;
            ++failures;
            // The disk stays full for two more tries.
            for (int tries = 0; tries < 2; ++tries) {
                disk.failAt = disk.operations + 1;
                EXPECT_EQ(store.retry(), ResultCode::StorageFailed);
            }
            EXPECT_TRUE(store.mayRetry());
            EXPECT_FALSE(store.retry());
        }
        if (failures == 0)
            break;
        disk.losePower(random);
        ASSERT_FALSE(reopen(disk, log, report)) << failAt;
        EXPECT_EQ(log.entries.size(), 3U) << failAt;
    }
}

// Guards against a replica that returns under its old id after the loss of its folder.
TEST(LogStoreTest, NewFolderHasANewReplicaId)
{
    RecoveredLog first;
    RecoveredLog second;
    RecoveredLog third;
    LogStoreReport report;
    Disk disk;
    ASSERT_FALSE(reopen(disk, first, report));
    EXPECT_TRUE(report.isNew);
    ASSERT_FALSE(reopen(disk, second, report));
    EXPECT_FALSE(report.isNew);
    EXPECT_EQ(first.replicaId, second.replicaId);
    Disk other;
    LogStore store = makeStore(other, 77);
    ASSERT_FALSE(store.open(third, report));
    EXPECT_NE(third.replicaId, first.replicaId);
}

// Guards against a file that grows without bound although the log stays short.
TEST(LogStoreTest, SupersededRecordsAreRemoved)
{
    Disk disk;
    LogStore store = makeStore(disk);
    RecoveredLog log;
    LogStoreReport report;
    ASSERT_FALSE(store.open(log, report));
    for (uint64_t term = 1; term <= 2000; ++term) {
        LogWrite write;
        write.hardState = LogHardState { Term(term), ReplicaId("x") };
        ASSERT_FALSE(store.write(write));
        ASSERT_LT(store.fileBytes(), 3000U);
    }
}

// Guards against differences between the simulated and the real file system, and against two processes on one folder.
TEST(LogStoreTest, RealFolderIsLockedAndRecovered)
{
    std::string path = testing::TempDir() + "LogStoreTest-XXXXXX";
    ASSERT_NE(mkdtemp(path.data()), nullptr);
    std::string folder = path + "/log";
    RecoveredLog log;
    LogStoreReport report;
    for (uint64_t life = 0; life < 2; ++life) {
        std::unique_ptr<LogFiles> files;
        ASSERT_FALSE(openLogFolder(folder, files));
        std::unique_ptr<LogFiles> secondOwner;
        EXPECT_TRUE(openLogFolder(folder, secondOwner));
        LogStore store({ .self = HostId("host"), .random = life }, std::move(files));
        ASSERT_FALSE(store.open(log, report));
        EXPECT_EQ(log.entries.size(), life);
        LogWrite write;
        write.entries.push_back(makeEntry(life + 1, 1, "x"));
        ASSERT_FALSE(store.write(write));
    }
    std::unique_ptr<LogFiles> files;
    EXPECT_TRUE(openLogFolder(path + "/absent/log", files));
    std::filesystem::remove_all(path);
}

} // namespace dragonflylane
