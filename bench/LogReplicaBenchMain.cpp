// Benchmarks the replicated log: recovery time for logs of several lengths, and entries per second committed by three
// replicas in one process. The argument is a folder for the files (default: the current one).

#include "dragonflylane/LogReplica.h"
#include "dragonflylane/LogStore.h"
#include "dragonflylane/LogWire.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>

namespace dragonflylane {

namespace {

    constexpr size_t payloadBytes = 200;
    constexpr uint64_t entriesPerWrite = 100;
    constexpr size_t replicaCount = 3;
    /// Maximum number of proposals that are not yet committed.
    constexpr uint64_t maxOutstanding = 256;

    void check(const std::error_code& error, const char* what)
    {
        if (!error)
            return;
        std::fprintf(stderr, "%s: %s\n", what, error.message().c_str());
        std::exit(1);
    }

    double secondsSince(TimePoint start)
    {
        return std::chrono::duration<double>(BootClock::now() - start).count();
    }

    std::unique_ptr<LogStore> openStore(const std::string& folder, const HostId& host, RecoveredLog& log)
    {
        std::unique_ptr<LogFiles> files;
        check(openLogFolder(folder, files), "open folder");
        auto store = std::make_unique<LogStore>(LogStoreOptions { .self = host, .random = 1 }, std::move(files));
        LogStoreReport report;
        check(store->open(log, report), "open log");
        return store;
    }

    void fillLog(const std::string& folder, uint64_t entryCount)
    {
        RecoveredLog log;
        auto store = openStore(folder, HostId("a"), log);
        for (uint64_t first = 1; first <= entryCount; first += entriesPerWrite) {
            LogWrite write;
            for (uint64_t i = first; i < first + entriesPerWrite; ++i) {
                std::string payload(payloadBytes, 'p');
                write.entries.push_back({ LogIndex(i), Term(1), LogEntryKind::Command, std::move(payload), {} });
            }
            check(store->write(write), "write");
        }
    }

    void measureRecovery(const std::string& base, uint64_t entryCount)
    {
        std::string folder = base + "/recovery" + std::to_string(entryCount);
        fillLog(folder, entryCount);
        TimePoint start = BootClock::now();
        RecoveredLog log;
        auto store = openStore(folder, HostId("a"), log);
        double storeSeconds = secondsSince(start);
        LogReplica replica({ .self = HostId("a") }, std::move(log), BootClock::now());
        std::printf("recovery entries=%llu file_bytes=%llu store_ms=%.1f total_ms=%.1f\n",
            static_cast<unsigned long long>(replica.lastIndex().value()),
            static_cast<unsigned long long>(store->fileBytes()), storeSeconds * 1e3, secondsSince(start) * 1e3);
    }

    /// Three replicas that exchange encoded messages. Each has a store if a folder is given.
    class ReplicaGroup {
    public:
        explicit ReplicaGroup(const std::string& folder)
        {
            LogReplicaOptions options { .heartbeatInterval = std::chrono::milliseconds(20),
                .electionTimeoutMin = std::chrono::seconds(2),
                .electionTimeoutMax = std::chrono::seconds(4) };
            for (size_t i = 0; i < replicaCount; ++i)
                options.controlHosts.emplace_back(std::string(1, static_cast<char>('a' + i)));
            for (size_t i = 0; i < replicaCount; ++i) {
                options.self = options.controlHosts[i];
                options.seed = i + 1;
                RecoveredLog log;
                log.replicaId = ReplicaId(options.self.value() + "/1");
                if (!folder.empty())
                    m_stores[i] = openStore(folder + "/" + options.self.value(), options.self, log);
                m_hosts.push_back(options.self);
                m_replicas.push_back(std::make_unique<LogReplica>(options, std::move(log), BootClock::now()));
            }
        }

        void run()
        {
            for (size_t i = 0; i < replicaCount; ++i) {
                m_replicas[i]->tick(BootClock::now());
                processOutputs(i);
            }
        }

        LogReplica* leader()
        {
            for (auto& replica : m_replicas) {
                if (replica->quorumProvenAt())
                    return replica.get();
            }
            return nullptr;
        }

    private:
        void processOutputs(size_t i)
        {
            for (LogOutput& output : m_replicas[i]->takeOutputs()) {
                if (auto* send = std::get_if<LogSend>(&output))
                    deliver(*send);
                if (auto* persist = std::get_if<LogPersist>(&output)) {
                    if (m_stores[i])
                        check(m_stores[i]->write(persist->write), "write");
                    m_replicas[i]->persisted(persist->token, BootClock::now());
                }
                if (auto* request = std::get_if<LogTakeSnapshot>(&output))
                    check(m_replicas[i]->snapshotTaken(request->index, "state", BootClock::now()), "snapshot");
            }
        }

        void deliver(const LogSend& send)
        {
            LogMessage message;
            check(decode(encode(send.message), message), "decode");
            for (size_t i = 0; i < replicaCount; ++i) {
                if (m_hosts[i] == send.host)
                    m_replicas[i]->receive(message, BootClock::now());
            }
        }

        std::vector<HostId> m_hosts;
        std::vector<std::unique_ptr<LogReplica>> m_replicas;
        std::array<std::unique_ptr<LogStore>, replicaCount> m_stores;
    };

    void measureThroughput(const char* name, const std::string& folder, uint64_t entryCount)
    {
        ReplicaGroup group(folder);
        while (!group.leader())
            group.run();
        LogReplica& leader = *group.leader();
        TimePoint start = BootClock::now();
        uint64_t first = leader.commitIndex().value();
        while (leader.commitIndex().value() < first + entryCount) {
            while (leader.lastIndex().value() - leader.commitIndex().value() < maxOutstanding)
                check(leader.propose(std::string(payloadBytes, 'p'), BootClock::now(), nullptr), "propose");
            group.run();
        }
        double elapsed = secondsSince(start);
        std::printf("throughput storage=%s entries=%llu seconds=%.2f entries_per_second=%.0f\n", name,
            static_cast<unsigned long long>(entryCount), elapsed, static_cast<double>(entryCount) / elapsed);
    }

    void runAll(const std::string& parent)
    {
        std::string base = parent + "/LogReplicaBench-XXXXXX";
        if (!mkdtemp(base.data()))
            check({ errno, std::system_category() }, "create folder");
        for (uint64_t entryCount : { 1000, 10000, 100000 })
            measureRecovery(base, entryCount);
        measureThroughput("none", "", 200000);
        measureThroughput("synced", base, 20000);
        std::filesystem::remove_all(base);
    }

} // namespace

} // namespace dragonflylane

int main(int argc, char** argv)
{
    dragonflylane::runAll(argc > 1 ? argv[1] : ".");
    return 0;
}
