#pragma once

// Several log replicas in one process with a simulated network, disks and clocks. Every committed entry is checked
// against one reference list.

#include "dragonflylane/Digest.h"
#include "dragonflylane/LogReplica.h"
#include "dragonflylane/LogStore.h"
#include "dragonflylane/LogWire.h"
#include "dragonflylane/ResultCode.h"

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <memory>

namespace dragonflylane {

/// Step of the simulated time.
inline constexpr Duration step = std::chrono::milliseconds(5);

/// Faults of the simulated network and disks.
struct Faults {
    double loss { 0 };
    double duplication { 0 };
    std::chrono::milliseconds maxDelay { 1 };
};

/// Runs several replicas in steps of simulated time and checks the invariants of the log after each step.
class LogCluster {
public:
    struct Node {
        LogReplicaOptions options;
        RecoveredLog disk;
        std::deque<LogPersist> unsynced;
        std::unique_ptr<LogReplica> replica;
        uint64_t applied { 0 };
        /// Index of the latest membership entry that this replica appended as a leader.
        uint64_t lastMembershipIndex { 0 };
        /// Probability that the disk finishes its oldest write within one step.
        double syncProbability { 1 };
        Duration clockOffset {};
        bool isSuspended { false };
        /// The disk holds the permission to bootstrap the log.
        bool mayBootstrap { false };
        int lostDisks { 0 };
    };

    LogCluster(size_t size, uint64_t seed, LogReplicaOptions options = {}, bool bootstrap = false)
        : m_random(seed)
    {
        LogMembership members;
        for (size_t i = 0; i < size; ++i) {
            options.self = HostId("host" + std::to_string(i));
            options.controlHosts.push_back(options.self);
            members.voters.push_back({ ReplicaId(options.self.value() + "/0"), options.self });
        }
        for (size_t i = 0; i < size; ++i) {
            Node node;
            node.options = options;
            node.options.self = options.controlHosts[i];
            node.mayBootstrap = options.canBootstrap;
            node.clockOffset = std::chrono::seconds(1000 * (i + 1));
            node.disk.replicaId = members.voters[i].id;
            if (!bootstrap)
                node.disk.snapshot.membership = members;
            nodes.push_back(std::move(node));
        }
        if (!bootstrap)
            m_membership = members;
        for (size_t i = 0; i < size; ++i)
            start(i);
    }

    void start(size_t i)
    {
        Node& node = nodes[i];
        node.options.seed = m_random();
        node.options.canBootstrap = node.mayBootstrap;
        node.applied = node.disk.snapshot.index.value();
        node.lastMembershipIndex = 0;
        node.isSuspended = false;
        // After a reboot the clock may show a time at which the replica has sent messages before.
        if (m_random() % 2 == 0)
            node.clockOffset -= std::chrono::milliseconds(m_random() % 3000);
        node.replica = std::make_unique<LogReplica>(node.options, node.disk, clock(node));
        if (node.options.automaticVoters) {
            const std::vector<HostId>& hosts = node.options.controlHosts;
            auto bootstrapHosts = hosts.begin() + static_cast<std::ptrdiff_t>(node.options.bootstrapHostCount);
            node.replica->setControlHosts(hosts, { hosts.begin(), bootstrapHosts }, clock(node));
        }
        drain(i);
    }

    /// Stops the replica. A random number of the unsynced writes survives, oldest first.
    void crash(size_t i, bool loseAllUnsynced = false)
    {
        Node& node = nodes[i];
        size_t kept = loseAllUnsynced ? 0 : m_random() % (node.unsynced.size() + 1);
        for (size_t w = 0; w < kept; ++w)
            applyLogWrite(node.unsynced[w].write, node.disk);
        node.unsynced.clear();
        node.replica.reset();
    }

    void loseDisk(size_t i)
    {
        crash(i);
        Node& node = nodes[i];
        node.disk = {};
        node.disk.replicaId = ReplicaId(node.options.self.value() + "/" + std::to_string(++node.lostDisks));
        node.mayBootstrap = false;
    }

    void partition(size_t i, bool isPartitioned = true)
    {
        for (size_t j = 0; j < nodes.size(); ++j)
            setLinkBlocked(i, j, isPartitioned);
    }

    void setLinkBlocked(size_t i, size_t j, bool isPartitioned)
    {
        for (auto link : { std::pair(i, j), std::pair(j, i) }) {
            if (isPartitioned && i != j)
                m_blockedLinks.insert(link);
            else
                m_blockedLinks.erase(link);
        }
    }

    void healPartitions() { m_blockedLinks.clear(); }

    void run(Duration duration)
    {
        for (TimePoint end = now + duration; now < end;)
            runStep();
    }

    bool runUntil(const std::function<bool()>& condition, Duration limit = std::chrono::seconds(20))
    {
        for (TimePoint end = now + limit; now < end; runStep()) {
            if (condition())
                return true;
        }
        return condition();
    }

    /// The leader of the highest term, or -1.
    int leader() const
    {
        int found = -1;
        for (size_t i = 0; i < nodes.size(); ++i) {
            const auto& replica = nodes[i].replica;
            bool leads = replica && replica->role() == LogRole::Leader;
            if (leads && (found < 0 || replica->term() > at(found).term()))
                found = static_cast<int>(i);
        }
        return found;
    }

    size_t waitForLeader()
    {
        EXPECT_TRUE(runUntil([&] { return leader() >= 0 && at(leader()).quorumProvenAt(); })) << "no leader";
        return static_cast<size_t>(std::max(leader(), 0));
    }

    std::error_code propose(size_t i, std::string payload)
    {
        auto error = nodes[i].replica->propose(std::move(payload), clock(nodes[i]), nullptr);
        drain(i);
        return error;
    }

    std::error_code change(size_t i, LogMembershipChange::Action action, const LogMember& member)
    {
        auto error = nodes[i].replica->changeMembership({ action, member }, clock(nodes[i]));
        drain(i);
        return error;
    }

    bool commitsMoreEntries(size_t count = 5)
    {
        size_t goal = committed.size() + count;
        return runUntil([&] {
            if (leader() >= 0 && committed.size() < goal)
                propose(static_cast<size_t>(leader()), "more");
            return committed.size() >= goal;
        });
    }

    bool converges()
    {
        return runUntil([&] {
            return std::ranges::all_of(nodes, [&](const Node& node) {
                return node.replica && node.applied == committed.size() && node.replica->isVoter();
            });
        });
    }

    /// True if the replica on each current disk is a voter of the latest committed membership.
    bool hasAllDisksAsVoters() const
    {
        return std::ranges::all_of(nodes, [&](const Node& node) {
            return std::ranges::count(m_membership.voters, node.disk.replicaId, &LogMember::id) == 1;
        });
    }

    LogReplica& at(int i) { return *nodes[static_cast<size_t>(i)].replica; }
    const LogReplica& at(int i) const { return *nodes[static_cast<size_t>(i)].replica; }
    TimePoint clock(const Node& node) const { return now + node.clockOffset; }

    std::vector<Node> nodes;
    Faults faults;
    TimePoint now { std::chrono::seconds(100) };
    /// The reference list of committed entries, and the time at which the first replica applied each of them.
    std::vector<LogEntry> committed;
    std::vector<TimePoint> committedAt;
    /// First violated invariant.
    std::string violation;
    size_t rejectedAppends { 0 };
    /// Messages to this host are held back while set.
    std::optional<HostId> delayedHost;

private:
    struct InFlight {
        TimePoint due;
        size_t from { 0 };
        LogSend send;
    };

    bool withProbability(double chance) { return static_cast<double>(m_random() % 1000000) < chance * 1000000; }

    void recordViolation(const std::string& what)
    {
        if (violation.empty())
            violation = what;
    }

    void runStep()
    {
        now += step;
        deliver();
        for (size_t i = 0; i < nodes.size(); ++i) {
            Node& node = nodes[i];
            if (!node.replica)
                continue;
            checkLease(node);
            if (node.isSuspended)
                continue;
            if (!node.unsynced.empty() && withProbability(node.syncProbability))
                syncOldest(i);
            node.replica->tick(clock(node));
            drain(i);
            checkProof(node);
        }
    }

    void syncOldest(size_t i)
    {
        Node& node = nodes[i];
        LogPersist done = std::move(node.unsynced.front());
        node.unsynced.pop_front();
        if (!applyLogWrite(done.write, node.disk))
            recordViolation("write is not contiguous");
        node.replica->persisted(done.token, clock(node));
        drain(i);
    }

    void deliver()
    {
        std::vector<InFlight> due;
        std::vector<InFlight> later;
        for (InFlight& message : m_messages) {
            bool isNotDue = message.due > now || delayedHost == message.send.host;
            (isNotDue ? later : due).push_back(std::move(message));
        }
        m_messages = std::move(later);
        std::ranges::shuffle(due, m_random);
        for (const InFlight& message : due)
            deliver(message);
    }

    void deliver(const InFlight& message)
    {
        for (size_t i = 0; i < nodes.size(); ++i) {
            Node& node = nodes[i];
            bool isTarget = node.options.self == message.send.host && node.replica;
            if (!isTarget || m_blockedLinks.contains({ message.from, i }))
                continue;
            // A suspended process receives the queued messages once it resumes.
            if (node.isSuspended) {
                m_messages.push_back(message);
                continue;
            }
            LogMessage decoded;
            if (decode(encode(message.send.message), decoded) || decoded != message.send.message)
                recordViolation("message changed by encoding");
            node.replica->receive(decoded, clock(node));
            drain(i);
        }
    }

    void drain(size_t i)
    {
        for (LogOutput& output : nodes[i].replica->takeOutputs())
            std::visit([&](auto& value) { handle(i, value); }, output);
    }

    void handle(size_t i, LogSend& send)
    {
        if (const auto* answer = std::get_if<LogAppendResponse>(&send.message.body))
            rejectedAppends += !answer->accepted;
        if (withProbability(faults.loss))
            return;
        int copies = withProbability(faults.duplication) ? 2 : 1;
        for (int c = 0; c < copies; ++c) {
            Duration delay = std::chrono::milliseconds(m_random() % static_cast<uint64_t>(faults.maxDelay.count() + 1));
            m_messages.push_back({ now + delay, i, send });
        }
    }

    void handle(size_t i, LogPersist& persist)
    {
        Node& node = nodes[i];
        for (const LogEntry& entry : persist.write.entries) {
            bool isOwn = node.replica->role() == LogRole::Leader && entry.term == node.replica->term();
            if (entry.kind != LogEntryKind::Membership || !isOwn)
                continue;
            if (node.lastMembershipIndex > node.replica->commitIndex().value())
                recordViolation("membership changed while a change is uncommitted");
            node.lastMembershipIndex = entry.index.value();
        }
        if (persist.write.truncateFrom)
            node.lastMembershipIndex = 0;
        node.unsynced.push_back(std::move(persist));
    }

    // Quorums of two memberships that differ by one voter always intersect.
    void checkChange(const LogMembership& next)
    {
        std::vector<LogMember> difference;
        auto voters = [](LogMembership membership) {
            std::ranges::sort(membership.voters);
            return membership.voters;
        };
        std::ranges::set_symmetric_difference(voters(m_membership), voters(next), std::back_inserter(difference));
        if (!m_membership.voters.empty() && difference.size() > 1)
            recordViolation("membership changed by more than one voter");
        m_membership = next;
    }

    void handle(size_t i, LogApply& apply)
    {
        uint64_t index = apply.entry.index.value();
        if (index != nodes[i].applied + 1)
            recordViolation("entry applied out of order");
        nodes[i].applied = index;
        if (index == committed.size() + 1) {
            if (apply.entry.kind == LogEntryKind::Membership)
                checkChange(apply.entry.membership);
            committed.push_back(apply.entry);
            committedAt.push_back(now);
            m_states.push_back(stableHash(apply.entry.payload + "@" + std::to_string(apply.entry.term.value()),
                m_states.empty() ? 0 : m_states.back()));
        } else if (index > committed.size() || committed[index - 1] != apply.entry) {
            recordViolation("committed entry lost or changed at index " + std::to_string(index));
        }
    }

    void handle(size_t i, LogRestore& restore)
    {
        uint64_t index = restore.snapshot.index.value();
        nodes[i].applied = index;
        if (index > m_states.size() || restore.snapshot.data != state(index))
            recordViolation("snapshot differs from the committed entries");
    }

    void handle(size_t i, LogTakeSnapshot& request)
    {
        Node& node = nodes[i];
        if (request.index.value() <= m_states.size())
            node.replica->snapshotTaken(request.index, state(request.index.value()), clock(node));
    }

    void handle(size_t i, LogRoleChange& change)
    {
        if (change.role != LogRole::Leader)
            return;
        auto [entry, isNew] = m_leaders.try_emplace(change.term, nodes[i].disk.replicaId);
        if (!isNew && entry->second != nodes[i].disk.replicaId)
            recordViolation("two leaders in term " + std::to_string(change.term.value()));
    }

    // A replica whose state is proven to be complete up to a time has everything that was committed before.
    void checkProof(const Node& node)
    {
        std::optional<TimePoint> proven = node.replica->provenAt();
        if (!proven)
            return;
        TimePoint global = *proven - node.clockOffset;
        auto end = std::ranges::lower_bound(committedAt, global);
        if (node.replica->commitIndex().value() < static_cast<uint64_t>(end - committedAt.begin()))
            recordViolation("proof without a committed entry");
    }

    void checkLease(const Node& node)
    {
        bool isSuperseded = !committed.empty() && committed.back().term > node.replica->term();
        if (isSuperseded && node.replica->hasLease(clock(node)))
            recordViolation("lease of a superseded leader");
    }

    // The application's state after an entry. Long enough to need several chunks in tests with small messages.
    std::string state(uint64_t index) const { return std::string(700, 's') + std::to_string(m_states[index - 1]); }

    std::mt19937_64 m_random;
    std::vector<InFlight> m_messages;
    std::set<std::pair<size_t, size_t>> m_blockedLinks;
    std::vector<uint64_t> m_states;
    /// Latest committed membership.
    LogMembership m_membership;
    std::map<Term, ReplicaId> m_leaders;
};

} // namespace dragonflylane
