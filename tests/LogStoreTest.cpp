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

    /// A disk that loses what is not synced: file contents, and the names of files that were created or renamed.
    struct SimulatedDisk {
        struct Content {
            std::string data;
            size_t syncedBytes { 0 };
        };
        using Names = std::map<std::string, std::shared_ptr<Content>>;

        Names names;
        Names syncedNames;
        size_t operations { 0 };
        /// Number of the operation that returns an error, counted from 1; 0 for none.
        size_t failingOperation { 0 };
        /// Number of the first operation after a simulated power loss; it and all later ones fail. 0 for none.
        size_t firstLostOperation { 0 };

        std::error_code operation()
        {
            ++operations;
            bool fails
                = operations == failingOperation || (firstLostOperation != 0 && operations >= firstLostOperation);
            return fails ? std::make_error_code(std::errc::io_error) : std::error_code();
        }

        /// A random part of each file's unsynced data survives. The rest is missing or zero.
        void simulatePowerLoss(std::mt19937_64& random)
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
            failingOperation = 0;
            firstLostOperation = 0;
        }
    };

    class SimulatedFile : public LogFile {
    public:
        SimulatedFile(SimulatedDisk& disk, std::shared_ptr<SimulatedDisk::Content> content)
            : m_disk(disk)
            , m_content(std::move(content))
        {
        }

        std::error_code append(std::string_view data) override
        {
            auto error = m_disk.operation();
            // A failed write may have written a part of the data.
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
        SimulatedDisk& m_disk;
        std::shared_ptr<SimulatedDisk::Content> m_content;
    };

    class SimulatedFiles : public LogFiles {
    public:
        explicit SimulatedFiles(SimulatedDisk& disk)
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
            auto content = std::make_shared<SimulatedDisk::Content>();
            m_disk.names[name] = content;
            file = std::make_unique<SimulatedFile>(m_disk, content);
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
        SimulatedDisk& m_disk;
    };

    LogStore makeStore(SimulatedDisk& disk, uint64_t random = 1)
    {
        return { { .self = HostId("host"), .random = random, .rewriteBytes = 2000 },
            std::make_unique<SimulatedFiles>(disk) };
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

    std::string& logData(SimulatedDisk& disk)
    {
        return disk.names["replica.log"]->data;
    }

    /// Writes `count` records of one entry each. Returns the offset of each record.
    std::vector<uint64_t> writeEntries(SimulatedDisk& disk, uint64_t count)
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

    std::error_code reopen(SimulatedDisk& disk, RecoveredLog& log, LogStoreReport& report)
    {
        LogStore store = makeStore(disk, 2);
        return store.open(log, report);
    }

} // namespace

// Guards against a lost or partial write after a crash at any operation. The recovered log must equal a reference copy
// with all writes that returned; the interrupted write must be recovered completely or not at all.
RC_GTEST_PROP(LogStoreTest, CrashAtAnyOperationKeepsReturnedWrites, (uint64_t seed))
{
    std::mt19937_64 random(seed);
    SimulatedDisk disk;
    RecoveredLog expected;
    for (int start = 0; start < 8; ++start) {
        LogStore store = makeStore(disk, random());
        RecoveredLog recovered;
        LogStoreReport report;
        if (random() % 2 == 0)
            disk.firstLostOperation = 1 + random() % 40;
        if (store.open(recovered, report)) {
            RC_ASSERT(disk.firstLostOperation != 0U);
            disk.simulatePowerLoss(random);
            continue;
        }
        // Until the first start has finished, a replica id may be lost.
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
        disk.simulatePowerLoss(random);
        LogStore after = makeStore(disk, random());
        RC_ASSERT(!after.open(recovered, report));
        RC_ASSERT(recovered == expected || recovered == interrupted);
        expected = recovered;
        disk.simulatePowerLoss(random);
    }
}

// Guards against the silent loss of synced records when one of them is damaged.
TEST(LogStoreTest, DamageBeforeTheTailIsReportedWithItsOffset)
{
    SimulatedDisk original;
    std::vector<uint64_t> offsets = writeEntries(original, 5);
    const std::string content = logData(original);
    for (size_t at = 0; at < offsets[4]; ++at) {
        SimulatedDisk disk;
        disk.names["replica.log"]
            = std::make_shared<SimulatedDisk::Content>(SimulatedDisk::Content { content, content.size() });
        logData(disk)[at] = static_cast<char>(content[at] ^ 0x10);
        RecoveredLog log;
        LogStoreReport report;
        ASSERT_EQ(reopen(disk, log, report), ResultCode::LogDamaged) << at;
        EXPECT_EQ(report.file, "replica.log");
        auto next = std::ranges::upper_bound(offsets, at);
        if (next != offsets.begin()) {
            EXPECT_EQ(report.offset, *(next - 1));
        }
        EXPECT_EQ(logData(disk).size(), content.size()) << "a damaged file must not be changed";
    }
}

// Guards against a torn last record that prevents the start or is not reported.
TEST(LogStoreTest, TornTailIsTruncatedAndReported)
{
    SimulatedDisk original;
    std::vector<uint64_t> offsets = writeEntries(original, 3);
    const std::string content = logData(original);
    for (size_t size = offsets[2] + 1; size < content.size(); ++size) {
        SimulatedDisk disk;
        disk.names["replica.log"] = std::make_shared<SimulatedDisk::Content>(
            SimulatedDisk::Content { content.substr(0, size), content.size() });
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

// Guards against a torn tail that is mistaken for damage because a payload contains a complete record.
TEST(LogStoreTest, RecordInsideAPayloadIsNotARecord)
{
    SimulatedDisk disk;
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

// Guards against a failed write or sync that is ignored or repeated: no later write may report success.
TEST(LogStoreTest, FailedOperationRejectsAllLaterWrites)
{
    for (size_t failingOperation = 1;; ++failingOperation) {
        SimulatedDisk disk;
        disk.failingOperation = failingOperation;
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
        if (disk.operations < failingOperation) {
            // Two new files take six operations each, two records two each.
            EXPECT_EQ(disk.operations, 16U);
            break;
        }
        EXPECT_EQ(failed, ResultCode::StorageFailed) << failingOperation;
        LogWrite later;
        later.hardState = LogHardState { Term(9), {} };
        EXPECT_EQ(store.write(later), ResultCode::StorageFailed) << failingOperation;
    }
}

// Guards against a replica that stops because its disk is full for a while, and against a lost write that counts as
// durable once the disk has free space again. Whichever operation fails, the retry must write the whole state.
TEST(LogStoreTest, RetryAfterAFailedWriteLosesNothing)
{
    std::mt19937_64 random(1);
    for (size_t failingOperation = 7;; ++failingOperation) {
        SimulatedDisk disk;
        LogStore store = makeStore(disk);
        RecoveredLog log;
        LogStoreReport report;
        ASSERT_FALSE(store.open(log, report));
        disk.failingOperation = failingOperation;
        int failures = 0;
        for (uint64_t i = 1; i <= 3; ++i) {
            LogWrite write;
            write.entries.push_back(makeEntry(i, 1, "x"));
            if (!store.write(write))
                continue;
            ++failures;
            // The disk stays full for two more attempts.
            for (int tries = 0; tries < 2; ++tries) {
                disk.failingOperation = disk.operations + 1;
                EXPECT_EQ(store.retry(), ResultCode::StorageFailed);
            }
            EXPECT_TRUE(store.mayRetry());
            EXPECT_FALSE(store.retry());
        }
        if (failures == 0)
            break;
        disk.simulatePowerLoss(random);
        ASSERT_FALSE(reopen(disk, log, report)) << failingOperation;
        EXPECT_EQ(log.entries.size(), 3U) << failingOperation;
    }
}

// Guards against a log that is never founded because the replicas were restarted before, and against one that is
// founded twice because a replica without its former disk takes part.
TEST(LogStoreTest, PermissionToBootstrapIsKeptWithTheFolder)
{
    auto permission = [](SimulatedDisk& disk, bool mayBootstrap) {
        LogStore store({ .self = HostId("host"), .random = 1, .mayBootstrap = mayBootstrap },
            std::make_unique<SimulatedFiles>(disk));
        RecoveredLog log;
        LogStoreReport report;
        EXPECT_FALSE(store.open(log, report));
        return report.mayBootstrap;
    };
    std::mt19937_64 random(1);
    SimulatedDisk first;
    EXPECT_TRUE(permission(first, true));
    first.simulatePowerLoss(random);
    EXPECT_TRUE(permission(first, false));
    SimulatedDisk replaced;
    EXPECT_FALSE(permission(replaced, false));
    EXPECT_FALSE(permission(replaced, true)) << "not a new folder";
}

// Guards against a replica that keeps its id after the loss of its folder.
TEST(LogStoreTest, NewFolderHasANewReplicaId)
{
    RecoveredLog first;
    RecoveredLog second;
    RecoveredLog third;
    LogStoreReport report;
    SimulatedDisk disk;
    ASSERT_FALSE(reopen(disk, first, report));
    EXPECT_TRUE(report.isNew);
    ASSERT_FALSE(reopen(disk, second, report));
    EXPECT_FALSE(report.isNew);
    EXPECT_EQ(first.replicaId, second.replicaId);
    SimulatedDisk other;
    LogStore store = makeStore(other, 77);
    ASSERT_FALSE(store.open(third, report));
    EXPECT_NE(third.replicaId, first.replicaId);
}

// Guards against a file that grows without bound while the log stays short.
TEST(LogStoreTest, SupersededRecordsAreRemoved)
{
    SimulatedDisk disk;
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

// Guards against differences between the simulated and the real file system, and against two processes that open the
// same folder.
TEST(LogStoreTest, RealFolderIsLockedAndRecovered)
{
    std::string path = testing::TempDir() + "LogStoreTest-XXXXXX";
    ASSERT_NE(mkdtemp(path.data()), nullptr);
    std::string folder = path + "/log";
    RecoveredLog log;
    LogStoreReport report;
    for (uint64_t start = 0; start < 2; ++start) {
        std::unique_ptr<LogFiles> files;
        ASSERT_FALSE(openLogFolder(folder, files));
        std::unique_ptr<LogFiles> secondOwner;
        EXPECT_TRUE(openLogFolder(folder, secondOwner));
        LogStore store({ .self = HostId("host"), .random = start }, std::move(files));
        ASSERT_FALSE(store.open(log, report));
        EXPECT_EQ(log.entries.size(), start);
        LogWrite write;
        write.entries.push_back(makeEntry(start + 1, 1, "x"));
        ASSERT_FALSE(store.write(write));
    }
    std::unique_ptr<LogFiles> files;
    EXPECT_TRUE(openLogFolder(path + "/absent/log", files));
    std::filesystem::remove_all(path);
}

} // namespace dragonflylane
