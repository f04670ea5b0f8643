#include "dragonflylane/LogReplica.h"

#include "dragonflylane/ResultCode.h"

#include <algorithm>
#include <utility>

namespace dragonflylane {

namespace {

    // Memory of an entry besides its payload, for the limit of bytes in memory.
    constexpr size_t entryOverheadBytes = 160;
    // Replicas that the leader serves without their being members.
    constexpr size_t maxJoiners = 8;
    constexpr size_t maxPendingProofs = 64;
    // A lost chunk of a snapshot is sent again after this many heartbeat intervals.
    constexpr int chunkRetryHeartbeats = 4;
    // Share of the election timeout for which a lease is trusted; the rest allows for drift between clocks.
    constexpr int leasePercent = 90;

    size_t sizeInMemory(const LogEntry& entry)
    {
        return entry.payload.size() + entryOverheadBytes;
    }

    size_t quorumOf(size_t voters)
    {
        return voters / 2 + 1;
    }

    template <typename Members> auto findMember(Members& members, const ReplicaId& id)
    {
        return std::ranges::find(members, id, &LogMember::id);
    }

    bool contains(const std::vector<LogMember>& members, const ReplicaId& id)
    {
        return findMember(members, id) != members.end();
    }

    bool contains(const LogMembership& membership, const ReplicaId& id)
    {
        return contains(membership.voters, id) || contains(membership.learners, id);
    }

    void removeMember(std::vector<LogMember>& members, const ReplicaId& id)
    {
        std::erase_if(members, [&](const LogMember& member) { return member.id == id; });
    }

} // namespace

LogReplica::LogReplica(LogReplicaOptions options, RecoveredLog recovered, TimePoint now)
    : m_options(std::move(options))
    , m_self { std::move(recovered.replicaId), m_options.self }
    , m_random(m_options.seed)
    , m_life(m_random())
    , m_now(now)
    , m_hardState(std::move(recovered.hardState))
    , m_snapshot(std::move(recovered.snapshot))
    , m_firstIndex(m_snapshot.index.value() + 1)
    , m_termBeforeFirst(m_snapshot.term)
    , m_commitIndex(m_snapshot.index)
    , m_nextJoin(now)
    , m_matched(commit())
{
    m_memberships.push_back({ commit(), m_snapshot.membership });
    for (LogEntry& entry : recovered.entries) {
        if (entry.kind == LogEntryKind::Membership)
            m_memberships.push_back({ entry.index.value(), entry.membership });
        m_entryBytes += sizeInMemory(entry);
        m_entries.push_back(std::move(entry));
    }
    m_durableIndex = last();
    m_announced.term = term();
    // The life before may have answered a leader just before it ended, and that leader may rely on it for its lease.
    if (!isEmptyDisk())
        m_leaderHeardAt = now;
    if (commit() > 0)
        m_outputs.emplace_back(LogRestore { m_snapshot });
    resetElectionTimer();
    // A single voter has nobody to wait for.
    if (isVoter() && membership().voters.size() == 1)
        m_electionDeadline = now;
    tryBootstrap();
}

// Log access.

LogIndex LogReplica::lastIndex() const
{
    return LogIndex(last());
}

std::optional<Term> LogReplica::termAt(uint64_t index) const
{
    if (index + 1 == m_firstIndex)
        return m_termBeforeFirst;
    if (index < m_firstIndex || index > last())
        return std::nullopt;
    return entryAt(index).term;
}

// O(log n): terms never decrease along the log.
uint64_t LogReplica::lastIndexUpToTerm(Term limit) const
{
    auto end = std::ranges::partition_point(m_entries, [&](const LogEntry& entry) { return entry.term <= limit; });
    return m_firstIndex + static_cast<uint64_t>(end - m_entries.begin()) - 1;
}

uint64_t LogReplica::firstIndexOfTerm(Term wanted) const
{
    auto begin = std::ranges::partition_point(m_entries, [&](const LogEntry& entry) { return entry.term < wanted; });
    return m_firstIndex + static_cast<uint64_t>(begin - m_entries.begin());
}

bool LogReplica::isFull() const
{
    return m_entries.size() >= m_options.maxEntriesInMemory || m_entryBytes >= m_options.maxBytesInMemory;
}

void LogReplica::append(LogEntry entry)
{
    if (entry.kind == LogEntryKind::Membership)
        m_memberships.push_back({ entry.index.value(), entry.membership });
    m_entryBytes += sizeInMemory(entry);
    pendingWrite().entries.push_back(entry);
    m_entries.push_back(std::move(entry));
}

void LogReplica::appendOwn(LogEntryKind kind, std::string payload, LogMembership membership)
{
    append({ LogIndex(last() + 1), term(), kind, std::move(payload), std::move(membership) });
}

void LogReplica::truncate(uint64_t from)
{
    while (last() >= from) {
        m_entryBytes -= sizeInMemory(m_entries.back());
        m_entries.pop_back();
    }
    std::erase_if(m_memberships, [&](const MembershipAt& at) { return at.index >= from; });
    LogWrite& write = pendingWrite();
    std::erase_if(write.entries, [&](const LogEntry& entry) { return entry.index.value() >= from; });
    write.truncateFrom = std::min(write.truncateFrom.value_or(LogIndex(from)), LogIndex(from));
    m_durableIndex = std::min(m_durableIndex, from - 1);
    for (UnsyncedWrite& unsynced : m_unsynced)
        unsynced.lastIndex = std::min(unsynced.lastIndex, from - 1);
}

void LogReplica::dropFront(uint64_t upTo)
{
    while (!m_entries.empty() && m_firstIndex <= upTo) {
        m_termBeforeFirst = m_entries.front().term;
        m_entryBytes -= sizeInMemory(m_entries.front());
        m_entries.pop_front();
        ++m_firstIndex;
    }
}

void LogReplica::dropAll()
{
    m_entries.clear();
    m_entryBytes = 0;
    m_memberships.clear();
    LogWrite& write = pendingWrite();
    write.entries.clear();
    write.truncateFrom = LogIndex(1);
    m_durableIndex = 0;
    for (UnsyncedWrite& unsynced : m_unsynced)
        unsynced.lastIndex = 0;
}

uint64_t LogReplica::synced() const
{
    return m_options.waitForSync ? m_durableIndex : last();
}

// Messages and durability.

LogSend LogReplica::makeSend(const LogMember& to, Term messageTerm, Body body) const
{
    return { to.host, { m_self, to.id, messageTerm, std::move(body) } };
}

void LogReplica::send(const LogMember& to, Body body)
{
    m_outputs.emplace_back(makeSend(to, term(), std::move(body)));
}

void LogReplica::sendAfterSync(const LogMember& to, Body body)
{
    if (isSynced(m_lastToken))
        send(to, std::move(body));
    else
        m_held.push_back({ m_lastToken, makeSend(to, term(), std::move(body)) });
}

bool LogReplica::isSynced(PersistToken token) const
{
    return !m_options.waitForSync || token <= m_persistedToken;
}

LogWrite& LogReplica::pendingWrite()
{
    if (!m_writeOpen)
        m_lastToken = m_lastToken.next();
    m_writeOpen = true;
    return m_write;
}

void LogReplica::setHardState(Term newTerm, const ReplicaId& votedFor)
{
    m_hardState = { newTerm, votedFor };
    pendingWrite().hardState = m_hardState;
}

std::vector<LogOutput> LogReplica::takeOutputs()
{
    announceRole();
    if (m_writeOpen) {
        m_unsynced.push_back({ m_lastToken, last() });
        m_outputs.emplace_back(LogPersist { m_lastToken, std::exchange(m_write, {}) });
        m_writeOpen = false;
    }
    return std::exchange(m_outputs, {});
}

void LogReplica::persisted(PersistToken token, TimePoint now)
{
    m_now = now;
    m_persistedToken = std::max(m_persistedToken, token);
    while (!m_unsynced.empty() && m_unsynced.front().token <= token) {
        m_durableIndex = std::max(m_durableIndex, m_unsynced.front().lastIndex);
        m_unsynced.pop_front();
    }
    while (!m_held.empty() && m_held.front().token <= token) {
        m_outputs.emplace_back(std::move(m_held.front().send));
        m_held.pop_front();
    }
    if (m_role == LogRole::Candidate && isSynced(m_ownVoteToken)) {
        m_votes.insert(m_self.id);
        countVotes();
    }
    if (m_role == LogRole::Leader)
        advanceCommit();
    else if (!m_leader.id.isEmpty() && m_lastAskedAt != TimePoint() && std::min(m_matched, synced()) > m_acknowledged)
        acknowledge(m_lastAskedAt);
}

// Roles.

void LogReplica::becomeFollower(Term newTerm, const LogMember& leader)
{
    if (m_role == LogRole::Leader)
        m_proof = provenAt();
    if (newTerm > term()) {
        setHardState(newTerm, {});
        forgetLeader();
    }
    if (m_role != LogRole::Follower)
        resetElectionTimer();
    m_role = LogRole::Follower;
    m_leader = leader;
    m_isReady = false;
    m_peers.clear();
    m_votes.clear();
}

// What is known of the log of a leader ends with its term, except for what is committed.
void LogReplica::forgetLeader()
{
    m_matched = commit();
    m_acknowledged = 0;
    m_lastAskedAt = {};
    m_incoming.reset();
}

void LogReplica::becomeLeader()
{
    m_role = LogRole::Leader;
    m_leader = m_self;
    m_isReady = false;
    m_votes.clear();
    m_peers.clear();
    m_incoming.reset();
    m_leaderSince = m_now;
    m_nextHeartbeat = m_now + m_options.heartbeatInterval;
    if (membership().voters.empty())
        appendOwn(LogEntryKind::Membership, {}, { knownFounders(), {} });
    syncPeers();
    // Only an entry of the own term can be committed by counting replicas (Raft, section 5.4.2).
    appendOwn(LogEntryKind::Empty, {}, {});
    replicateAll(true);
    advanceCommit();
}

void LogReplica::campaign(bool preVote)
{
    resetElectionTimer();
    m_leader = {};
    m_votes.clear();
    m_role = preVote ? LogRole::PreCandidate : LogRole::Candidate;
    if (!preVote) {
        setHardState(term().next(), m_self.id);
        forgetLeader();
        m_ownVoteToken = m_lastToken;
    }
    LogVoteRequest request { preVote, LogIndex(last()), lastTerm() };
    for (const LogMember& voter : electors()) {
        if (voter.id == m_self.id)
            continue;
        if (preVote)
            m_outputs.emplace_back(makeSend(voter, term().next(), request));
        else
            sendAfterSync(voter, request);
    }
    if (preVote || isSynced(m_ownVoteToken)) {
        m_votes.insert(m_self.id);
        countVotes();
    }
}

void LogReplica::countVotes()
{
    std::vector<LogMember> voters = electors();
    auto granted = std::ranges::count_if(voters, [&](const LogMember& voter) { return m_votes.contains(voter.id); });
    if (static_cast<size_t>(granted) < voteQuorum())
        return;
    if (m_role == LogRole::PreCandidate)
        campaign(false);
    else if (m_role == LogRole::Candidate)
        becomeLeader();
}

void LogReplica::resetElectionTimer()
{
    Duration spread = m_options.electionTimeoutMax - m_options.electionTimeoutMin;
    Duration extra(static_cast<int64_t>(m_random() % static_cast<uint64_t>(spread.count() + 1)));
    m_electionDeadline = m_now + m_options.electionTimeoutMin + extra;
}

void LogReplica::checkLeadership()
{
    if (m_role != LogRole::Leader || !m_options.checkQuorum)
        return;
    if (m_now - std::max(quorumAnsweredAt(), m_leaderSince) > m_options.electionTimeoutMin)
        becomeFollower(term(), {});
}

void LogReplica::announceRole()
{
    LogRoleChange now { m_role, term(), m_leader, m_isReady };
    bool same = now.role == m_announced.role && now.term == m_announced.term && now.leader == m_announced.leader
        && now.isReady == m_announced.isReady;
    if (same)
        return;
    m_announced = now;
    m_outputs.emplace_back(std::move(now));
}

// A replica that heard from a leader within the shortest election timeout gives no vote; the lease depends on it.
bool LogReplica::heardLeaderRecently() const
{
    if (m_role == LogRole::Leader)
        return m_now - std::max(quorumAnsweredAt(), m_leaderSince) < m_options.electionTimeoutMin;
    return m_leaderHeardAt && m_now - *m_leaderHeardAt < m_options.electionTimeoutMin;
}

HostId LogReplica::currentLeader(TimePoint now) const
{
    if (m_role == LogRole::Leader)
        return m_isReady ? m_self.host : HostId();
    bool isRecent = m_leaderHeardAt && now - *m_leaderHeardAt < m_options.electionTimeoutMin;
    return isRecent ? m_leader.host : HostId();
}

bool LogReplica::isUpToDate(const LogVoteRequest& request) const
{
    return std::pair(request.lastTerm, request.lastIndex.value()) >= std::pair(lastTerm(), last());
}

// Membership.

bool LogReplica::isVoter() const
{
    return contains(membership().voters, memberOf(m_self).id);
}

LogMember LogReplica::memberOf(const LogMember& sender) const
{
    if (m_options.learnerBeforeVoter)
        return sender;
    const auto& voters = membership().voters;
    auto voter = std::ranges::find(voters, sender.host, &LogMember::host);
    return voter == voters.end() ? sender : *voter;
}

bool LogReplica::changePending() const
{
    return m_memberships.back().index > commit() || !membership().learners.empty();
}

std::error_code LogReplica::changeVoters(const LogMembershipChange& change, TimePoint now)
{
    m_now = now;
    checkLeadership();
    if (m_role != LogRole::Leader)
        return ResultCode::NotLeader;
    // Before the first commit of the term an earlier change may be uncommitted on other replicas (Ongaro, "bug in
    // single-server membership changes", 2015).
    if (!m_isReady || m_memberships.back().index > commit())
        return ResultCode::MembershipChangePending;
    const ReplicaId& id = change.member.id;
    LogMembership next = membership();
    if (change.action == LogMembershipChange::Action::Add) {
        if (id.isEmpty() || change.member.host.isEmpty() || contains(next, id))
            return ResultCode::InvalidValue;
        if (changePending())
            return ResultCode::MembershipChangePending;
        next.learners.push_back(change.member);
    } else {
        if (!contains(next, id))
            return ResultCode::NotFound;
        bool isLearner = contains(next.learners, id);
        if (!isLearner && changePending())
            return ResultCode::MembershipChangePending;
        if (!isLearner && next.voters.size() == 1)
            return ResultCode::InvalidValue;
        removeMember(next.learners, id);
        removeMember(next.voters, id);
    }
    appendMembership(std::move(next));
    return {};
}

void LogReplica::appendMembership(LogMembership next)
{
    appendOwn(LogEntryKind::Membership, {}, std::move(next));
    syncPeers();
    replicateAll(false);
    advanceCommit();
}

// A replacement takes two single-server changes, removal before addition. One change from {A, B, C} to {A, B, D} would
// allow disjoint quorums {A, C} and {B, D}. With the removal first, no quorum needs the lost replica.
void LogReplica::advanceMembership()
{
    if (m_role != LogRole::Leader || !m_isReady || m_memberships.back().index > commit())
        return;
    if (promoteLearner() || (m_options.automaticVoters && growVoters()))
        return;
    replaceLostReplica();
}

bool LogReplica::promoteLearner()
{
    for (const LogMember& learner : membership().learners) {
        auto peer = m_peers.find(learner.id);
        if (peer == m_peers.end() || !isCaughtUp(peer->second))
            continue;
        LogMembership next = membership();
        next.voters.push_back(learner);
        removeMember(next.learners, learner.id);
        appendMembership(std::move(next));
        return true;
    }
    return false;
}

void LogReplica::replaceLostReplica()
{
    for (const auto& item : m_peers) {
        const Peer& peer = item.second;
        if (contains(membership(), item.first) || !isCaughtUp(peer))
            continue;
        LogMembership next = membership();
        auto sameHost = [&](const LogMember& member) { return member.host == peer.member.host; };
        bool otherLearner = !std::ranges::all_of(next.learners, sameHost);
        auto replaced = std::ranges::find_if(next.voters, sameHost);
        bool fromVoters = replaced != next.voters.end();
        if (otherLearner || (fromVoters && (next.voters.size() == 1 || !isSilent(*replaced))))
            continue;
        if (!fromVoters && (next.learners.empty() || !isSilent(next.learners.front())))
            continue;
        if (fromVoters)
            next.voters.erase(replaced);
        next.learners = { peer.member };
        appendMembership(std::move(next));
        return;
    }
}

bool LogReplica::growVoters()
{
    if (changePending())
        return false;
    bool isShort = membership().voters.size() < m_options.targetVoters;
    const LogMember* lost = isShort ? nullptr : silentVoter();
    if (!isShort && !lost)
        return false;
    for (const auto& item : m_peers) {
        const Peer& peer = item.second;
        auto sameHost = [&](const LogMember& member) { return member.host == peer.member.host; };
        bool isOther = !contains(membership(), item.first) && std::ranges::none_of(membership().voters, sameHost);
        if (!isOther || !isCaughtUp(peer))
            continue;
        LogMembership next = membership();
        if (lost)
            removeMember(next.voters, ReplicaId(lost->id));
        next.learners = { peer.member };
        appendMembership(std::move(next));
        return true;
    }
    return false;
}

const LogMember* LogReplica::silentVoter() const
{
    for (const LogMember& voter : membership().voters) {
        auto peer = m_peers.find(voter.id);
        if (voter.id == m_self.id || peer == m_peers.end())
            continue;
        if (m_now - std::max(peer->second.lastHeardAt, m_leaderSince) > m_options.replaceAfter)
            return &voter;
    }
    return nullptr;
}

bool LogReplica::isFormed() const
{
    if (!m_options.automaticVoters || membership().voters.size() >= m_options.targetVoters)
        return true;
    bool isOneShort = membership().voters.size() + 1 == m_options.targetVoters;
    return isOneShort && m_now - m_leaderSince >= m_options.formationGrace;
}

bool LogReplica::isCaughtUp(const Peer& peer) const
{
    return peer.match >= commit() && m_now - peer.lastHeardAt <= m_options.electionTimeoutMax;
}

// Refuses to replace a replica that still answers, whatever another replica claims.
bool LogReplica::isSilent(const LogMember& member) const
{
    auto peer = m_peers.find(member.id);
    if (member.id == m_self.id || peer == m_peers.end())
        return false;
    return m_now - std::max(peer->second.lastHeardAt, m_leaderSince) > m_options.electionTimeoutMax;
}

bool LogReplica::isEmptyDisk() const
{
    return term() == Term() && last() == 0 && membership().voters.empty();
}

bool LogReplica::isUnfounded() const
{
    return last() == 0 && membership().voters.empty();
}

bool LogReplica::mayFoundNow() const
{
    bool isFounder = std::ranges::find(m_founders, m_self.host) != m_founders.end();
    return m_options.automaticVoters && m_options.mayFound && isFounder && isUnfounded()
        && knownFounders().size() >= quorumOf(m_options.founderCount);
}

std::vector<LogMember> LogReplica::knownFounders() const
{
    std::vector<LogMember> founders { m_self };
    for (const HostId& host : m_founders) {
        auto heard = m_heardFounders.find(host);
        if (host != m_self.host && heard != m_heardFounders.end())
            founders.push_back({ heard->second, host });
    }
    return founders;
}

std::vector<LogMember> LogReplica::electors() const
{
    return membership().voters.empty() ? knownFounders() : membership().voters;
}

size_t LogReplica::voteQuorum() const
{
    return quorumOf(membership().voters.empty() ? m_options.founderCount : membership().voters.size());
}

void LogReplica::setControlHosts(std::vector<HostId> hosts, std::vector<HostId> founders, TimePoint now)
{
    m_now = now;
    m_options.controlHosts = std::move(hosts);
    m_founders = std::move(founders);
    // A replica that was just learned of should not wait for the next interval.
    m_nextJoin = now;
}

void LogReplica::tryBootstrap()
{
    auto& hosts = m_options.controlHosts;
    if (m_options.automaticVoters)
        return;
    if (!isEmptyDisk() || hosts.empty() || std::ranges::min(hosts) != m_options.self)
        return;
    LogMembership initial { { m_self }, {} };
    for (const HostId& host : hosts) {
        if (host == m_options.self)
            continue;
        auto heard = m_heardEmpty.find(host);
        if (heard == m_heardEmpty.end())
            return;
        initial.voters.push_back({ heard->second, host });
    }
    setHardState(Term(1), m_self.id);
    appendOwn(LogEntryKind::Membership, {}, std::move(initial));
    campaign(false);
}

void LogReplica::sendJoin()
{
    m_nextJoin = m_now + m_options.joinInterval;
    bool isEmpty = m_options.automaticVoters ? isUnfounded() : isEmptyDisk();
    LogJoinRequest request { .isEmpty = isEmpty, .heard = {}, .mayFound = m_options.mayFound };
    for (const auto& [host, id] : m_heard)
        request.heard.push_back(id);
    for (const HostId& host : m_options.controlHosts) {
        if (host != m_options.self)
            send({ {}, host }, request);
    }
}

void LogReplica::syncPeers()
{
    auto add = [&](const LogMember& member) {
        if (member.id == m_self.id || m_peers.contains(member.id))
            return;
        Peer& peer = m_peers[member.id];
        peer.member = member;
        peer.next = last() + 1;
        peer.lastHeardAt = m_now;
    };
    std::ranges::for_each(membership().voters, add);
    std::ranges::for_each(membership().learners, add);
    std::erase_if(m_peers, [&](const auto& item) {
        bool isSilentJoiner = m_now - item.second.lastHeardAt > 4 * m_options.joinInterval;
        auto sameHost = [&](const LogMember& member) { return member.host == item.second.member.host; };
        bool replaces = std::ranges::any_of(membership().voters, sameHost)
            || std::ranges::any_of(membership().learners, sameHost);
        return !contains(membership(), item.first) && (isSilentJoiner || !(replaces || m_options.automaticVoters));
    });
}

// Entry points.

void LogReplica::receive(const LogMessage& message, TimePoint now)
{
    m_now = now;
    checkLeadership();
    if (message.sender.id == m_self.id)
        return;
    if (const auto* join = std::get_if<LogJoinRequest>(&message.body)) {
        handle(message, *join);
        return;
    }
    // A message to an earlier replica of this host: its promises are not ours.
    if (m_options.learnerBeforeVoter && message.recipient != m_self.id)
        return;
    if (acceptTerm(message))
        std::visit([&](const auto& body) { handle(message, body); }, message.body);
}

std::error_code LogReplica::propose(std::string payload, TimePoint now, LogIndex* assigned)
{
    m_now = now;
    checkLeadership();
    if (m_role != LogRole::Leader)
        return ResultCode::NotLeader;
    if (payload.size() > m_options.maxPayloadBytes)
        return ResultCode::PlanTooLarge;
    if (isFull() || !isFormed())
        return ResultCode::QuorumLost;
    appendOwn(LogEntryKind::Command, std::move(payload), {});
    if (assigned)
        *assigned = LogIndex(last());
    replicateAll(false);
    advanceCommit();
    return {};
}

std::error_code LogReplica::snapshotTaken(LogIndex index, std::string data, TimePoint now)
{
    m_now = now;
    m_snapshotRequested = false;
    if (index <= m_snapshot.index || index > m_commitIndex)
        return ResultCode::NotFound;
    if (data.size() > m_options.maxSnapshotBytes)
        return ResultCode::PlanTooLarge;
    auto after = std::ranges::find_if(m_memberships, [&](const MembershipAt& at) { return at.index > index.value(); });
    m_memberships.erase(m_memberships.begin(), after - 1);
    m_snapshot = { index, *termAt(index.value()), m_memberships.front().membership, std::move(data) };
    pendingWrite().snapshot = m_snapshot;
    if (index.value() > m_options.keepEntries)
        dropFront(index.value() - m_options.keepEntries);
    // Large entries are not kept, since they would leave no room for proposals.
    while (m_firstIndex <= index.value() && m_entryBytes > m_options.maxBytesInMemory / 4)
        dropFront(m_firstIndex);
    return {};
}

void LogReplica::tick(TimePoint now)
{
    m_now = now;
    checkLeadership();
    if (m_role == LogRole::Leader) {
        if (now < m_nextHeartbeat)
            return;
        m_nextHeartbeat = now + m_options.heartbeatInterval;
        syncPeers();
        replicateAll(true);
        advanceMembership();
        return;
    }
    if (!isVoter()) {
        if (now >= m_nextJoin)
            sendJoin();
        if (now >= m_electionDeadline && mayFoundNow())
            campaign(false);
        return;
    }
    if (now >= m_electionDeadline)
        campaign(m_options.preVote);
}

TimePoint LogReplica::nextWakeup() const
{
    if (m_role == LogRole::Leader)
        return m_nextHeartbeat;
    if (isVoter())
        return m_electionDeadline;
    return mayFoundNow() ? std::min(m_electionDeadline, m_nextJoin) : m_nextJoin;
}

// Proofs.

TimePoint LogReplica::quorumAnsweredAt() const
{
    std::vector<TimePoint> answered;
    for (const LogMember& voter : membership().voters) {
        auto peer = m_peers.find(voter.id);
        if (voter.id == m_self.id)
            answered.push_back(m_now);
        else
            answered.push_back(peer == m_peers.end() ? TimePoint() : peer->second.answeredAskedAt);
    }
    if (answered.empty())
        return {};
    auto nth = answered.begin() + static_cast<std::ptrdiff_t>(quorumOf(answered.size()) - 1);
    std::ranges::nth_element(answered, nth, std::greater());
    return *nth;
}

std::optional<TimePoint> LogReplica::quorumProvenAt() const
{
    if (m_role != LogRole::Leader || !m_isReady)
        return std::nullopt;
    TimePoint answered = quorumAnsweredAt();
    return answered == TimePoint() ? std::nullopt : std::optional(answered);
}

std::optional<TimePoint> LogReplica::provenAt() const
{
    std::optional<TimePoint> own = quorumProvenAt();
    return own ? std::max(own, m_proof) : m_proof;
}

bool LogReplica::hasLease(TimePoint now) const
{
    std::optional<TimePoint> proven = quorumProvenAt();
    return proven && now - *proven < m_options.electionTimeoutMin * leasePercent / 100;
}

void LogReplica::noteProof(const LogAppendRequest& request)
{
    bool usable = request.proofAge && request.echo && request.echoLife == m_life && *request.echo <= m_now;
    if (!usable || *request.proofAge < Duration::zero() || m_pendingProofs.size() >= maxPendingProofs)
        return;
    m_pendingProofs.push_back({ *request.echo - *request.proofAge, request.commitIndex.value() });
}

void LogReplica::applyProofs()
{
    std::erase_if(m_pendingProofs, [&](const PendingProof& pending) {
        if (pending.commit > commit())
            return false;
        m_proof = std::max(m_proof, std::optional(pending.proof));
        return true;
    });
}

// Message handlers of followers and candidates.

bool LogReplica::acceptTerm(const LogMessage& message)
{
    const auto* vote = std::get_if<LogVoteRequest>(&message.body);
    if (vote && vote->preVote) {
        answerPreVote(message, *vote);
        return false;
    }
    if (message.term < term()) {
        answerStale(message);
        return false;
    }
    if (vote && heardLeaderRecently())
        return false;
    const auto* answer = std::get_if<LogVoteResponse>(&message.body);
    // A granted pre-vote carries the term that was asked for, in which nobody is yet.
    bool isFutureTerm = answer && answer->preVote && answer->granted;
    if (message.term > term() && !isFutureTerm)
        becomeFollower(message.term, {});
    return true;
}

// Tells a leader or candidate of an earlier term that it is superseded.
void LogReplica::answerStale(const LogMessage& message)
{
    if (std::holds_alternative<LogVoteRequest>(message.body))
        send(message.sender, LogVoteResponse {});
    bool fromLeader = std::holds_alternative<LogAppendRequest>(message.body)
        || std::holds_alternative<LogSnapshotRequest>(message.body);
    if (fromLeader)
        send(message.sender, LogAppendResponse {});
}

void LogReplica::answerPreVote(const LogMessage& message, const LogVoteRequest& request)
{
    // A voter that was replaced while it was away learns so from the log.
    if (m_options.automaticVoters && m_role == LogRole::Leader && !contains(membership(), message.sender.id))
        welcome(message.sender);
    bool granted = message.term > term() && isUpToDate(request) && !heardLeaderRecently();
    LogVoteResponse response { true, granted };
    m_outputs.emplace_back(makeSend(message.sender, granted ? message.term : term(), response));
}

void LogReplica::handle(const LogMessage& message, const LogVoteRequest& request)
{
    bool isFree = m_hardState.votedFor.isEmpty() || m_hardState.votedFor == message.sender.id;
    if (!isFree || !isUpToDate(request)) {
        send(message.sender, LogVoteResponse {});
        return;
    }
    becomeFollower(term(), {});
    if (m_hardState.votedFor.isEmpty())
        setHardState(term(), message.sender.id);
    resetElectionTimer();
    sendAfterSync(message.sender, LogVoteResponse { false, true });
}

void LogReplica::handle(const LogMessage& message, const LogVoteResponse& response)
{
    LogRole expected = response.preVote ? LogRole::PreCandidate : LogRole::Candidate;
    Term expectedTerm = response.preVote ? term().next() : term();
    if (!response.granted || m_role != expected || message.term != expectedTerm)
        return;
    m_votes.insert(memberOf(message.sender).id);
    countVotes();
}

bool LogReplica::followLeader(const LogMessage& message)
{
    if (m_role == LogRole::Leader)
        return false;
    if (m_role != LogRole::Follower)
        becomeFollower(term(), message.sender);
    m_leader = message.sender;
    m_leaderHeardAt = m_now;
    resetElectionTimer();
    return true;
}

void LogReplica::handle(const LogMessage& message, const LogAppendRequest& request)
{
    if (!followLeader(message))
        return;
    if (!matchesPrevious(request)) {
        refuse(request);
        return;
    }
    if (!takeEntries(message, request))
        return;
    commitTo(std::min(request.commitIndex.value(), m_matched));
    noteProof(request);
    applyProofs();
    acknowledge(request.askedAt);
}

bool LogReplica::matchesPrevious(const LogAppendRequest& request) const
{
    uint64_t previous = request.previousIndex.value();
    // What is compacted is committed, and so are the leader's entries at the same place.
    return previous + 1 < m_firstIndex || termAt(previous) == request.previousTerm;
}

bool LogReplica::takeEntries(const LogMessage& message, const LogAppendRequest& request)
{
    uint64_t index = request.previousIndex.value();
    Term previousTerm = request.previousTerm;
    for (const LogEntry& entry : request.entries) {
        if (entry.index.value() != ++index || entry.term < previousTerm || entry.term > message.term)
            return false;
        previousTerm = entry.term;
    }
    index = request.previousIndex.value();
    for (const LogEntry& entry : request.entries) {
        uint64_t at = entry.index.value();
        std::optional<Term> own = termAt(at);
        if (at >= m_firstIndex && own != entry.term) {
            if (own && at <= commit())
                return false;
            if (own)
                truncate(at);
            if (isFull())
                break;
            append(entry);
        }
        index = at;
    }
    m_matched = std::max(m_matched, index);
    return true;
}

// The answer is sent at once, since it also proves the leader's authority, but counts only synced entries. Another one
// follows when more are synced.
void LogReplica::acknowledge(TimePoint askedAt)
{
    m_lastAskedAt = std::max(m_lastAskedAt, askedAt);
    m_acknowledged = std::min(m_matched, synced());
    LogAppendResponse response;
    response.accepted = true;
    response.matchIndex = LogIndex(m_acknowledged);
    response.askedAt = askedAt;
    response.life = m_life;
    response.sentAt = m_now;
    send(m_leader, response);
}

void LogReplica::refuse(const LogAppendRequest& request)
{
    LogAppendResponse response;
    response.matchIndex = LogIndex(std::min(m_matched, synced()));
    response.conflictIndex = LogIndex(last() + 1);
    if (std::optional<Term> own = termAt(request.previousIndex.value())) {
        response.conflictTerm = *own;
        response.conflictIndex = LogIndex(firstIndexOfTerm(*own));
    }
    response.askedAt = request.askedAt;
    response.life = m_life;
    response.sentAt = m_now;
    send(m_leader, response);
}

void LogReplica::handle(const LogMessage& message, const LogSnapshotRequest& request)
{
    if (!followLeader(message))
        return;
    if (request.index <= m_commitIndex) {
        m_matched = std::max(m_matched, commit());
        acknowledge(request.askedAt);
        return;
    }
    bool complete = takeChunk(request);
    LogSnapshotResponse response;
    response.index = request.index;
    response.receivedBytes = m_incoming ? m_incoming->data.size() : 0;
    response.askedAt = request.askedAt;
    response.life = m_life;
    response.sentAt = m_now;
    send(m_leader, response);
    if (!complete)
        return;
    installSnapshot(*std::exchange(m_incoming, std::nullopt));
    m_lastAskedAt = std::max(m_lastAskedAt, request.askedAt);
}

/// True once the snapshot is complete.
bool LogReplica::takeChunk(const LogSnapshotRequest& request)
{
    if (request.totalBytes > m_options.maxSnapshotBytes)
        return false;
    bool isOther = !m_incoming || m_incoming->index != request.index || m_incoming->term != request.snapshotTerm;
    if (isOther && request.offset != 0) {
        m_incoming.reset();
        return false;
    }
    if (isOther)
        m_incoming = LogSnapshot { request.index, request.snapshotTerm, request.membership, {} };
    std::string& data = m_incoming->data;
    if (request.offset == data.size() && data.size() + request.data.size() <= request.totalBytes)
        data += request.data;
    return data.size() == request.totalBytes;
}

void LogReplica::installSnapshot(LogSnapshot snapshot)
{
    uint64_t index = snapshot.index.value();
    bool keepsLater = termAt(index) == snapshot.term;
    if (keepsLater) {
        dropFront(index);
        std::erase_if(m_memberships, [&](const MembershipAt& at) { return at.index <= index; });
    } else {
        dropAll();
    }
    m_firstIndex = index + 1;
    m_termBeforeFirst = snapshot.term;
    m_memberships.insert(m_memberships.begin(), MembershipAt { index, snapshot.membership });
    m_commitIndex = snapshot.index;
    m_matched = std::max(m_matched, index);
    m_snapshotRequested = false;
    m_snapshot = std::move(snapshot);
    pendingWrite().snapshot = m_snapshot;
    m_outputs.emplace_back(LogRestore { m_snapshot });
    applyProofs();
}

void LogReplica::handle(const LogMessage& message, const LogJoinRequest& request)
{
    const LogMember& joiner = message.sender;
    if (std::ranges::find(m_options.controlHosts, joiner.host) == m_options.controlHosts.end())
        return;
    m_heard[joiner.host] = joiner.id;
    m_heardEmpty.erase(joiner.host);
    if (request.isEmpty && std::ranges::find(request.heard, m_self.id) != request.heard.end())
        m_heardEmpty[joiner.host] = joiner.id;
    m_heardFounders.erase(joiner.host);
    if (request.isEmpty && request.mayFound)
        m_heardFounders[joiner.host] = joiner.id;
    tryBootstrap();
    if (m_role == LogRole::Leader && m_options.learnerBeforeVoter && joiner.host != m_self.host)
        welcome(joiner);
}

// Starts to replicate to a replica that is no member, so that it can become one as soon as it is needed.
void LogReplica::welcome(const LogMember& joiner)
{
    if (m_peers.contains(joiner.id) || m_peers.size() >= membership().voters.size() + maxJoiners)
        return;
    Peer& peer = m_peers[joiner.id];
    peer.member = joiner;
    peer.next = last() + 1;
    peer.lastHeardAt = m_now;
    syncPeers();
    if (auto kept = m_peers.find(joiner.id); kept != m_peers.end())
        replicate(kept->second, true);
}

// Replication by the leader.

LogReplica::Peer* LogReplica::peerOf(const LogMessage& message)
{
    if (m_role != LogRole::Leader)
        return nullptr;
    auto found = m_peers.find(memberOf(message.sender).id);
    return found == m_peers.end() ? nullptr : &found->second;
}

void LogReplica::noteAnswer(Peer& peer, TimePoint askedAt, uint64_t life, TimePoint sentAt)
{
    peer.lastHeardAt = m_now;
    if (askedAt <= m_now)
        peer.answeredAskedAt = std::max(peer.answeredAskedAt, askedAt);
    bool isNewLife = life != peer.echoLife;
    peer.echoLife = life;
    peer.echo = isNewLife ? sentAt : std::max(peer.echo.value_or(sentAt), sentAt);
}

void LogReplica::handle(const LogMessage& message, const LogAppendResponse& response)
{
    Peer* peer = peerOf(message);
    if (!peer)
        return;
    noteAnswer(*peer, response.askedAt, response.life, response.sentAt);
    peer->probeInFlight = false;
    noteMatch(*peer, response.matchIndex.value());
    if (!response.accepted)
        backUp(*peer, response);
    else if (peer->mode != PeerMode::Replicate && peer->match + 1 >= m_firstIndex) {
        peer->mode = PeerMode::Replicate;
        peer->next = peer->match + 1;
        peer->inFlight.clear();
    }
    replicate(*peer, false);
    advanceCommit();
    advanceMembership();
}

void LogReplica::noteMatch(Peer& peer, uint64_t match)
{
    peer.match = std::max(peer.match, std::min(match, last()));
    peer.next = std::max(peer.next, peer.match + 1);
    while (!peer.inFlight.empty() && peer.inFlight.front() <= peer.match)
        peer.inFlight.pop_front();
}

// Skips a whole term per refusal (Raft, section 5.3) instead of one entry.
void LogReplica::backUp(Peer& peer, const LogAppendResponse& response)
{
    if (peer.mode == PeerMode::Snapshot)
        return;
    uint64_t next = std::min(response.conflictIndex.value(), last() + 1);
    if (response.conflictTerm != Term()) {
        uint64_t sameTerm = std::min(lastIndexUpToTerm(response.conflictTerm), peer.next - 1);
        if (termAt(sameTerm) == response.conflictTerm)
            next = std::max(next, sameTerm + 1);
    }
    peer.next = std::max(next, peer.match + 1);
    peer.mode = PeerMode::Probe;
    peer.inFlight.clear();
}

void LogReplica::replicateAll(bool heartbeat)
{
    for (auto& [id, peer] : m_peers)
        replicate(peer, heartbeat);
}

void LogReplica::replicate(Peer& peer, bool heartbeat)
{
    if (peer.mode != PeerMode::Snapshot && !termAt(peer.next - 1))
        startSnapshot(peer);
    switch (peer.mode) {
    case PeerMode::Snapshot:
        if (heartbeat)
            sendAppend(peer, false);
        if (heartbeat && m_now - peer.chunkSentAt >= chunkRetryHeartbeats * m_options.heartbeatInterval)
            sendChunk(peer);
        return;
    case PeerMode::Probe:
        // Without entries, so an unreachable replica costs little.
        if (heartbeat || !peer.probeInFlight)
            sendAppend(peer, false);
        return;
    case PeerMode::Replicate:
        break;
    }
    bool sent = false;
    while (peer.next <= last() && peer.inFlight.size() < m_options.maxInFlightMessages) {
        sendAppend(peer, true);
        sent = true;
    }
    if (heartbeat && !sent)
        sendAppend(peer, false);
}

void LogReplica::sendAppend(Peer& peer, bool withEntries)
{
    LogAppendRequest request;
    // During a snapshot the request is only a heartbeat: nothing precedes index zero, so it always matches.
    if (peer.mode != PeerMode::Snapshot) {
        request.previousIndex = LogIndex(peer.next - 1);
        request.previousTerm = *termAt(peer.next - 1);
    }
    size_t bytes = 0;
    for (uint64_t index = peer.next; withEntries && index <= last(); ++index) {
        const LogEntry& entry = entryAt(index);
        bytes += sizeInMemory(entry);
        bool isOver = bytes > m_options.maxMessageBytes || request.entries.size() >= m_options.maxEntriesPerMessage;
        if (!request.entries.empty() && isOver)
            break;
        request.entries.push_back(entry);
    }
    peer.probeInFlight = peer.mode == PeerMode::Probe;
    if (peer.mode == PeerMode::Replicate && !request.entries.empty()) {
        peer.next += request.entries.size();
        peer.inFlight.push_back(peer.next - 1);
    }
    request.commitIndex = m_commitIndex;
    request.askedAt = m_now;
    if (std::optional<TimePoint> proof = quorumProvenAt())
        request.proofAge = m_now - *proof;
    request.echoLife = peer.echoLife;
    request.echo = peer.echo;
    send(peer.member, std::move(request));
}

void LogReplica::startSnapshot(Peer& peer)
{
    peer.mode = PeerMode::Snapshot;
    peer.inFlight.clear();
    sendChunk(peer);
}

void LogReplica::sendChunk(Peer& peer)
{
    // A newer snapshot replaced the one in transfer.
    if (peer.snapshotIndex != m_snapshot.index.value())
        peer.snapshotOffset = 0;
    peer.snapshotIndex = m_snapshot.index.value();
    peer.chunkSentAt = m_now;
    LogSnapshotRequest request;
    request.index = m_snapshot.index;
    request.snapshotTerm = m_snapshot.term;
    request.membership = m_snapshot.membership;
    request.offset = peer.snapshotOffset;
    request.totalBytes = m_snapshot.data.size();
    request.data = m_snapshot.data.substr(peer.snapshotOffset, m_options.maxMessageBytes);
    request.askedAt = m_now;
    send(peer.member, std::move(request));
}

void LogReplica::handle(const LogMessage& message, const LogSnapshotResponse& response)
{
    Peer* peer = peerOf(message);
    if (!peer)
        return;
    noteAnswer(*peer, response.askedAt, response.life, response.sentAt);
    if (peer->mode != PeerMode::Snapshot || response.index.value() != peer->snapshotIndex)
        return;
    bool isProgress = response.receivedBytes > peer->snapshotOffset;
    peer->snapshotOffset = std::min<uint64_t>(response.receivedBytes, m_snapshot.data.size());
    // Only progress is answered at once, so duplicated answers do not multiply the chunks.
    if (isProgress && peer->snapshotOffset < m_snapshot.data.size())
        sendChunk(*peer);
}

void LogReplica::advanceCommit()
{
    if (m_role != LogRole::Leader)
        return;
    std::vector<uint64_t> matches;
    for (const LogMember& voter : membership().voters) {
        auto peer = m_peers.find(voter.id);
        if (voter.id == m_self.id)
            matches.push_back(synced());
        else
            matches.push_back(peer == m_peers.end() ? 0 : peer->second.match);
    }
    if (matches.empty())
        return;
    auto nth = matches.begin() + static_cast<std::ptrdiff_t>(quorumOf(matches.size()) - 1);
    std::ranges::nth_element(matches, nth, std::greater());
    if (*nth <= commit() || termAt(*nth) != term())
        return;
    commitTo(*nth);
    m_isReady = true;
    if (!isVoter() && m_memberships.back().index <= commit()) {
        becomeFollower(term(), {});
        return;
    }
    for (auto& [id, peer] : m_peers) {
        if (peer.mode == PeerMode::Replicate && peer.next > last())
            sendAppend(peer, false);
    }
}

void LogReplica::commitTo(uint64_t index)
{
    for (uint64_t next = commit() + 1; next <= index; ++next) {
        m_outputs.emplace_back(LogApply { entryAt(next) });
        m_commitIndex = LogIndex(next);
    }
    uint64_t sinceSnapshot = commit() - m_snapshot.index.value();
    bool isDue = sinceSnapshot >= m_options.snapshotEveryEntries
        || (sinceSnapshot > 0 && m_entryBytes > m_options.maxBytesInMemory / 2);
    if (!m_snapshotRequested && isDue) {
        m_snapshotRequested = true;
        m_outputs.emplace_back(LogTakeSnapshot { m_commitIndex });
    }
}

} // namespace dragonflylane
