#include "dragonflylane/LogReplica.h"

#include "dragonflylane/ResultCode.h"

#include <algorithm>
#include <utility>

namespace dragonflylane {

namespace {

    // Estimated memory of an entry without its payload; counts towards maxBytesInMemory.
    constexpr size_t entryOverheadBytes = 160;
    // Largest number of non-members to which the leader replicates.
    constexpr size_t maxJoiningPeers = 8;
    constexpr size_t maxPendingProofs = 64;
    // A snapshot chunk without a response is sent again after this many heartbeat intervals.
    constexpr int chunkRetryHeartbeats = 4;
    // Duration of a lease in percent of the shortest election timeout. The rest allows for clock drift.
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
    , m_bootId(m_random())
    , m_now(now)
    , m_hardState(std::move(recovered.hardState))
    , m_snapshot(std::move(recovered.snapshot))
    , m_firstIndex(m_snapshot.index.value() + 1)
    , m_termBeforeFirst(m_snapshot.term)
    , m_commitIndex(m_snapshot.index)
    , m_nextJoin(now)
    , m_matchedIndex(commit())
{
    m_memberships.push_back({ commit(), m_snapshot.membership });
    for (LogEntry& entry : recovered.entries) {
        if (entry.kind == LogEntryKind::Membership)
            m_memberships.push_back({ entry.index.value(), entry.membership });
        m_entryBytes += sizeInMemory(entry);
        m_entries.push_back(std::move(entry));
    }
    m_durableIndex = last();
    m_reportedRole.term = term();
    // Before the restart this replica may have responded to a leader, whose lease may still rely on that response.
    if (!isEmptyDisk())
        m_leaderContactAt = now;
    if (commit() > 0)
        m_outputs.emplace_back(LogRestore { m_snapshot });
    resetElectionTimer();
    // A single voter can elect itself at once.
    if (isVoter() && membership().voters.size() == 1)
        m_electionDeadline = now;
    tryBootstrapFixedVoters();
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

bool LogReplica::isMemoryFull() const
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

void LogReplica::appendInCurrentTerm(LogEntryKind kind, std::string payload, LogMembership membership)
{
    append({ LogIndex(last() + 1), term(), kind, std::move(payload), std::move(membership) });
}

void LogReplica::truncate(uint64_t from)
{
    while (last() >= from) {
        m_entryBytes -= sizeInMemory(m_entries.back());
        m_entries.pop_back();
    }
    std::erase_if(m_memberships, [&](const IndexedMembership& at) { return at.index >= from; });
    LogWrite& write = pendingWrite();
    std::erase_if(write.entries, [&](const LogEntry& entry) { return entry.index.value() >= from; });
    write.truncateFrom = std::min(write.truncateFrom.value_or(LogIndex(from)), LogIndex(from));
    m_durableIndex = std::min(m_durableIndex, from - 1);
    for (UnsyncedWrite& unsynced : m_unsynced)
        unsynced.lastIndex = std::min(unsynced.lastIndex, from - 1);
}

void LogReplica::compactUpTo(uint64_t upTo)
{
    while (!m_entries.empty() && m_firstIndex <= upTo) {
        m_termBeforeFirst = m_entries.front().term;
        m_entryBytes -= sizeInMemory(m_entries.front());
        m_entries.pop_front();
        ++m_firstIndex;
    }
}

void LogReplica::discardLog()
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

uint64_t LogReplica::syncedIndex() const
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
        m_heldMessages.push_back({ m_lastToken, makeSend(to, term(), std::move(body)) });
}

bool LogReplica::isSynced(PersistToken token) const
{
    return !m_options.waitForSync || token <= m_persistedToken;
}

LogWrite& LogReplica::pendingWrite()
{
    if (!m_isWriteOpen)
        m_lastToken = m_lastToken.next();
    m_isWriteOpen = true;
    return m_write;
}

void LogReplica::setHardState(Term newTerm, const ReplicaId& votedFor)
{
    m_hardState = { newTerm, votedFor };
    pendingWrite().hardState = m_hardState;
}

std::vector<LogOutput> LogReplica::takeOutputs()
{
    emitRoleChange();
    if (m_isWriteOpen) {
        m_unsynced.push_back({ m_lastToken, last() });
        m_outputs.emplace_back(LogPersist { m_lastToken, std::exchange(m_write, {}) });
        m_isWriteOpen = false;
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
    while (!m_heldMessages.empty() && m_heldMessages.front().token <= token) {
        m_outputs.emplace_back(std::move(m_heldMessages.front().send));
        m_heldMessages.pop_front();
    }
    if (m_role == LogRole::Candidate && isSynced(m_ownVoteToken)) {
        m_votes.insert(m_self.id);
        countVotes();
    }
    if (m_role == LogRole::Leader)
        advanceCommit();
    else if (!m_leader.id.isEmpty() && m_lastRequestTime != TimePoint()
        && std::min(m_matchedIndex, syncedIndex()) > m_acknowledgedIndex)
        acknowledge(m_lastRequestTime);
}

// Roles.

void LogReplica::becomeFollower(Term newTerm, const LogMember& leader)
{
    if (m_role == LogRole::Leader)
        m_proof = provenAt();
    if (newTerm > term()) {
        setHardState(newTerm, {});
        resetLeaderProgress();
    }
    if (m_role != LogRole::Follower)
        resetElectionTimer();
    m_role = LogRole::Follower;
    m_leader = leader;
    m_isReady = false;
    m_peers.clear();
    m_votes.clear();
}

// What matches the leader's log is only known for its term, except for committed entries, which match in every term.
void LogReplica::resetLeaderProgress()
{
    m_matchedIndex = commit();
    m_acknowledgedIndex = 0;
    m_lastRequestTime = {};
    m_incomingSnapshot.reset();
}

void LogReplica::becomeLeader()
{
    m_role = LogRole::Leader;
    m_leader = m_self;
    m_isReady = false;
    m_votes.clear();
    m_peers.clear();
    m_incomingSnapshot.reset();
    m_leaderSince = m_now;
    m_nextHeartbeat = m_now + m_options.heartbeatInterval;
    if (membership().voters.empty())
        appendInCurrentTerm(LogEntryKind::Membership, {}, { knownBootstrapMembers(), {} });
    updatePeers();
    // Only entries of the current term can be committed by counting replicas (Raft, section 5.4.2).
    appendInCurrentTerm(LogEntryKind::Empty, {}, {});
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
        resetLeaderProgress();
        m_ownVoteToken = m_lastToken;
    }
    LogVoteRequest request { preVote, LogIndex(last()), lastTerm() };
    for (const LogMember& voter : electionVoters()) {
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
    std::vector<LogMember> voters = electionVoters();
    auto granted = std::ranges::count_if(voters, [&](const LogMember& voter) { return m_votes.contains(voter.id); });
    if (static_cast<size_t>(granted) < electionQuorum())
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
    if (m_now - std::max(quorumRequestTime(), m_leaderSince) > m_options.electionTimeoutMin)
        becomeFollower(term(), {});
}

void LogReplica::emitRoleChange()
{
    LogRoleChange now { m_role, term(), m_leader, m_isReady };
    bool isUnchanged = now.role == m_reportedRole.role && now.term == m_reportedRole.term
        && now.leader == m_reportedRole.leader && now.isReady == m_reportedRole.isReady;
    if (isUnchanged)
        return;
    m_reportedRole = now;
    m_outputs.emplace_back(std::move(now));
}

// A replica that received a leader's message within the shortest election timeout grants no vote. Leader leases rely on
// this.
bool LogReplica::hasRecentLeaderContact() const
{
    if (m_role == LogRole::Leader)
        return m_now - std::max(quorumRequestTime(), m_leaderSince) < m_options.electionTimeoutMin;
    return m_leaderContactAt && m_now - *m_leaderContactAt < m_options.electionTimeoutMin;
}

HostId LogReplica::currentLeader(TimePoint now) const
{
    if (m_role == LogRole::Leader)
        return m_isReady ? m_self.host : HostId();
    bool isRecent = m_leaderContactAt && now - *m_leaderContactAt < m_options.electionTimeoutMin;
    return isRecent ? m_leader.host : HostId();
}

bool LogReplica::isUpToDate(const LogVoteRequest& request) const
{
    return std::pair(request.lastTerm, request.lastIndex.value()) >= std::pair(lastTerm(), last());
}

// Membership.

bool LogReplica::isVoter() const
{
    return contains(membership().voters, resolveMember(m_self).id);
}

LogMember LogReplica::resolveMember(const LogMember& sender) const
{
    if (m_options.learnerBeforeVoter)
        return sender;
    const auto& voters = membership().voters;
    auto voter = std::ranges::find(voters, sender.host, &LogMember::host);
    return voter == voters.end() ? sender : *voter;
}

bool LogReplica::isMembershipChangePending() const
{
    return m_memberships.back().index > commit() || !membership().learners.empty();
}

std::error_code LogReplica::changeMembership(const LogMembershipChange& change, TimePoint now)
{
    m_now = now;
    checkLeadership();
    if (m_role != LogRole::Leader)
        return ResultCode::NotLeader;
    // Until the first commit of this term, an earlier change may be uncommitted on other replicas (Ongaro, "bug in
    // single-server membership changes", 2015).
    if (!m_isReady || m_memberships.back().index > commit())
        return ResultCode::MembershipChangePending;
    const ReplicaId& id = change.member.id;
    LogMembership next = membership();
    if (change.action == LogMembershipChange::Action::Add) {
        if (id.isEmpty() || change.member.host.isEmpty() || contains(next, id))
            return ResultCode::InvalidValue;
        if (isMembershipChangePending())
            return ResultCode::MembershipChangePending;
        next.learners.push_back(change.member);
    } else {
        if (!contains(next, id))
            return ResultCode::NotFound;
        bool isLearner = contains(next.learners, id);
        if (!isLearner && isMembershipChangePending())
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
    appendInCurrentTerm(LogEntryKind::Membership, {}, std::move(next));
    updatePeers();
    replicateAll(false);
    advanceCommit();
}

// A replacement takes two single-server changes, removal before addition. One change from {A, B, C} to {A, B, D} would
// allow disjoint quorums {A, C} and {B, D}. With the removal first, no quorum needs the lost replica.
void LogReplica::advanceMembership()
{
    if (m_role != LogRole::Leader || !m_isReady || m_memberships.back().index > commit())
        return;
    if (promoteLearner() || (m_options.automaticVoters && addOrReplaceVoter()))
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
        bool hasOtherLearner = !std::ranges::all_of(next.learners, sameHost);
        auto replaced = std::ranges::find_if(next.voters, sameHost);
        bool replacesVoter = replaced != next.voters.end();
        if (hasOtherLearner || (replacesVoter && (next.voters.size() == 1 || !isUnresponsive(*replaced))))
            continue;
        if (!replacesVoter && (next.learners.empty() || !isUnresponsive(next.learners.front())))
            continue;
        if (replacesVoter)
            next.voters.erase(replaced);
        next.learners = { peer.member };
        appendMembership(std::move(next));
        return;
    }
}

bool LogReplica::addOrReplaceVoter()
{
    if (isMembershipChangePending())
        return false;
    bool isBelowTarget = membership().voters.size() < m_options.targetVoters;
    const LogMember* lost = isBelowTarget ? nullptr : findUnresponsiveVoter();
    if (!isBelowTarget && !lost)
        return false;
    for (const auto& item : m_peers) {
        const Peer& peer = item.second;
        auto sameHost = [&](const LogMember& member) { return member.host == peer.member.host; };
        bool isOnNewHost = !contains(membership(), item.first) && std::ranges::none_of(membership().voters, sameHost);
        if (!isOnNewHost || !isCaughtUp(peer))
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

const LogMember* LogReplica::findUnresponsiveVoter() const
{
    for (const LogMember& voter : membership().voters) {
        auto peer = m_peers.find(voter.id);
        if (voter.id == m_self.id || peer == m_peers.end())
            continue;
        if (m_now - std::max(peer->second.lastContactAt, m_leaderSince) > m_options.voterReplacementTimeout)
            return &voter;
    }
    return nullptr;
}

bool LogReplica::hasEnoughVoters() const
{
    if (!m_options.automaticVoters || membership().voters.size() >= m_options.targetVoters)
        return true;
    bool isOneMissing = membership().voters.size() + 1 == m_options.targetVoters;
    return isOneMissing && m_now - m_leaderSince >= m_options.incompleteVotersGrace;
}

bool LogReplica::isCaughtUp(const Peer& peer) const
{
    return peer.matchIndex >= commit() && m_now - peer.lastContactAt <= m_options.electionTimeoutMax;
}

// Keeps a replica that still responds from being replaced by another replica that claims its host.
bool LogReplica::isUnresponsive(const LogMember& member) const
{
    auto peer = m_peers.find(member.id);
    if (member.id == m_self.id || peer == m_peers.end())
        return false;
    return m_now - std::max(peer->second.lastContactAt, m_leaderSince) > m_options.electionTimeoutMax;
}

bool LogReplica::isEmptyDisk() const
{
    return term() == Term() && last() == 0 && membership().voters.empty();
}

bool LogReplica::isUninitialized() const
{
    return last() == 0 && membership().voters.empty();
}

bool LogReplica::canBootstrapNow() const
{
    bool isBootstrapHost = std::ranges::find(m_bootstrapHosts, m_self.host) != m_bootstrapHosts.end();
    return m_options.automaticVoters && m_options.canBootstrap && isBootstrapHost && isUninitialized()
        && knownBootstrapMembers().size() >= quorumOf(m_options.bootstrapHostCount);
}

std::vector<LogMember> LogReplica::knownBootstrapMembers() const
{
    std::vector<LogMember> members { m_self };
    for (const HostId& host : m_bootstrapHosts) {
        auto found = m_bootstrapReplicas.find(host);
        if (host != m_self.host && found != m_bootstrapReplicas.end())
            members.push_back({ found->second, host });
    }
    return members;
}

std::vector<LogMember> LogReplica::electionVoters() const
{
    return membership().voters.empty() ? knownBootstrapMembers() : membership().voters;
}

size_t LogReplica::electionQuorum() const
{
    return quorumOf(membership().voters.empty() ? m_options.bootstrapHostCount : membership().voters.size());
}

void LogReplica::setControlHosts(std::vector<HostId> hosts, std::vector<HostId> bootstrapHosts, TimePoint now)
{
    m_now = now;
    m_options.controlHosts = std::move(hosts);
    m_bootstrapHosts = std::move(bootstrapHosts);
    // Sends join requests at once, so that newly known hosts do not have to wait for the next interval.
    m_nextJoin = now;
}

void LogReplica::tryBootstrapFixedVoters()
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
        auto found = m_emptyReplicas.find(host);
        if (found == m_emptyReplicas.end())
            return;
        initial.voters.push_back({ found->second, host });
    }
    setHardState(Term(1), m_self.id);
    appendInCurrentTerm(LogEntryKind::Membership, {}, std::move(initial));
    campaign(false);
}

void LogReplica::sendJoinRequests()
{
    m_nextJoin = m_now + m_options.joinInterval;
    bool isEmpty = m_options.automaticVoters ? isUninitialized() : isEmptyDisk();
    LogJoinRequest request { .isEmpty = isEmpty, .heard = {}, .mayFound = m_options.canBootstrap };
    for (const auto& [host, id] : m_joinRequesters)
        request.heard.push_back(id);
    for (const HostId& host : m_options.controlHosts) {
        if (host != m_options.self)
            send({ {}, host }, request);
    }
}

void LogReplica::updatePeers()
{
    auto add = [&](const LogMember& member) {
        if (member.id == m_self.id || m_peers.contains(member.id))
            return;
        Peer& peer = m_peers[member.id];
        peer.member = member;
        peer.nextIndex = last() + 1;
        peer.lastContactAt = m_now;
    };
    std::ranges::for_each(membership().voters, add);
    std::ranges::for_each(membership().learners, add);
    std::erase_if(m_peers, [&](const auto& item) {
        bool isUnresponsiveNonMember = m_now - item.second.lastContactAt > 4 * m_options.joinInterval;
        auto sameHost = [&](const LogMember& member) { return member.host == item.second.member.host; };
        bool replaces = std::ranges::any_of(membership().voters, sameHost)
            || std::ranges::any_of(membership().learners, sameHost);
        return !contains(membership(), item.first)
            && (isUnresponsiveNonMember || !(replaces || m_options.automaticVoters));
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
    // Addressed to an earlier replica of this host, whose votes and acknowledgements do not bind this one.
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
    if (isMemoryFull() || !hasEnoughVoters())
        return ResultCode::QuorumLost;
    appendInCurrentTerm(LogEntryKind::Command, std::move(payload), {});
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
    auto after
        = std::ranges::find_if(m_memberships, [&](const IndexedMembership& at) { return at.index > index.value(); });
    m_memberships.erase(m_memberships.begin(), after - 1);
    m_snapshot = { index, *termAt(index.value()), m_memberships.front().membership, std::move(data) };
    pendingWrite().snapshot = m_snapshot;
    if (index.value() > m_options.retainedEntries)
        compactUpTo(index.value() - m_options.retainedEntries);
    // Entries that use much memory are not retained, since they would leave no memory for proposals.
    while (m_firstIndex <= index.value() && m_entryBytes > m_options.maxBytesInMemory / 4)
        compactUpTo(m_firstIndex);
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
        updatePeers();
        replicateAll(true);
        advanceMembership();
        return;
    }
    if (!isVoter()) {
        if (now >= m_nextJoin)
            sendJoinRequests();
        if (now >= m_electionDeadline && canBootstrapNow())
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
    return canBootstrapNow() ? std::min(m_electionDeadline, m_nextJoin) : m_nextJoin;
}

// Leases and proofs of freshness.

TimePoint LogReplica::quorumRequestTime() const
{
    std::vector<TimePoint> answered;
    for (const LogMember& voter : membership().voters) {
        auto peer = m_peers.find(voter.id);
        if (voter.id == m_self.id)
            answered.push_back(m_now);
        else
            answered.push_back(peer == m_peers.end() ? TimePoint() : peer->second.lastAnsweredRequestTime);
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
    TimePoint answered = quorumRequestTime();
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

void LogReplica::recordPendingProof(const LogAppendRequest& request)
{
    bool usable = request.proofAge && request.echo && request.echoBootId == m_bootId && *request.echo <= m_now;
    if (!usable || *request.proofAge < Duration::zero() || m_pendingProofs.size() >= maxPendingProofs)
        return;
    m_pendingProofs.push_back({ *request.echo - *request.proofAge, request.commitIndex.value() });
}

void LogReplica::promotePendingProofs()
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
        rejectStaleTerm(message);
        return false;
    }
    if (vote && hasRecentLeaderContact())
        return false;
    const auto* answer = std::get_if<LogVoteResponse>(&message.body);
    // A granted pre-vote carries the requested term, which no replica has entered yet.
    bool isGrantedPreVote = answer && answer->preVote && answer->granted;
    if (message.term > term() && !isGrantedPreVote)
        becomeFollower(message.term, {});
    return true;
}

// Sends the current term to a leader or candidate of an earlier term, which then steps down.
void LogReplica::rejectStaleTerm(const LogMessage& message)
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
    // A voter that was replaced while it was unreachable still campaigns. Replicating to it delivers the membership
    // without it.
    if (m_options.automaticVoters && m_role == LogRole::Leader && !contains(membership(), message.sender.id))
        addJoiningPeer(message.sender);
    bool granted = message.term > term() && isUpToDate(request) && !hasRecentLeaderContact();
    LogVoteResponse response { true, granted };
    m_outputs.emplace_back(makeSend(message.sender, granted ? message.term : term(), response));
}

void LogReplica::handle(const LogMessage& message, const LogVoteRequest& request)
{
    bool canVote = m_hardState.votedFor.isEmpty() || m_hardState.votedFor == message.sender.id;
    if (!canVote || !isUpToDate(request)) {
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
    m_votes.insert(resolveMember(message.sender).id);
    countVotes();
}

bool LogReplica::followLeader(const LogMessage& message)
{
    if (m_role == LogRole::Leader)
        return false;
    if (m_role != LogRole::Follower)
        becomeFollower(term(), message.sender);
    m_leader = message.sender;
    m_leaderContactAt = m_now;
    resetElectionTimer();
    return true;
}

void LogReplica::handle(const LogMessage& message, const LogAppendRequest& request)
{
    if (!followLeader(message))
        return;
    if (!matchesPrevious(request)) {
        rejectAppend(request);
        return;
    }
    if (!appendEntries(message, request))
        return;
    commitTo(std::min(request.commitIndex.value(), m_matchedIndex));
    recordPendingProof(request);
    promotePendingProofs();
    acknowledge(request.askedAt);
}

bool LogReplica::matchesPrevious(const LogAppendRequest& request) const
{
    uint64_t previous = request.previousIndex.value();
    // Compacted entries are committed, so the leader's entries at these indices are the same.
    return previous + 1 < m_firstIndex || termAt(previous) == request.previousTerm;
}

bool LogReplica::appendEntries(const LogMessage& message, const LogAppendRequest& request)
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
            if (isMemoryFull())
                break;
            append(entry);
        }
        index = at;
    }
    m_matchedIndex = std::max(m_matchedIndex, index);
    return true;
}

// Sent without waiting for the sync, since the response also renews the leader's lease. It covers only synced entries;
// persisted() sends another response when more are synced.
void LogReplica::acknowledge(TimePoint askedAt)
{
    m_lastRequestTime = std::max(m_lastRequestTime, askedAt);
    m_acknowledgedIndex = std::min(m_matchedIndex, syncedIndex());
    LogAppendResponse response;
    response.accepted = true;
    response.matchIndex = LogIndex(m_acknowledgedIndex);
    response.askedAt = askedAt;
    response.bootId = m_bootId;
    response.sentAt = m_now;
    send(m_leader, response);
}

void LogReplica::rejectAppend(const LogAppendRequest& request)
{
    LogAppendResponse response;
    response.matchIndex = LogIndex(std::min(m_matchedIndex, syncedIndex()));
    response.conflictIndex = LogIndex(last() + 1);
    if (std::optional<Term> own = termAt(request.previousIndex.value())) {
        response.conflictTerm = *own;
        response.conflictIndex = LogIndex(firstIndexOfTerm(*own));
    }
    response.askedAt = request.askedAt;
    response.bootId = m_bootId;
    response.sentAt = m_now;
    send(m_leader, response);
}

void LogReplica::handle(const LogMessage& message, const LogSnapshotRequest& request)
{
    if (!followLeader(message))
        return;
    if (request.index <= m_commitIndex) {
        m_matchedIndex = std::max(m_matchedIndex, commit());
        acknowledge(request.askedAt);
        return;
    }
    bool complete = acceptChunk(request);
    LogSnapshotResponse response;
    response.index = request.index;
    response.receivedBytes = m_incomingSnapshot ? m_incomingSnapshot->data.size() : 0;
    response.askedAt = request.askedAt;
    response.bootId = m_bootId;
    response.sentAt = m_now;
    send(m_leader, response);
    if (!complete)
        return;
    installSnapshot(*std::exchange(m_incomingSnapshot, std::nullopt));
    m_lastRequestTime = std::max(m_lastRequestTime, request.askedAt);
}

// Returns true once the snapshot is complete.
bool LogReplica::acceptChunk(const LogSnapshotRequest& request)
{
    if (request.totalBytes > m_options.maxSnapshotBytes)
        return false;
    bool startsNew = !m_incomingSnapshot || m_incomingSnapshot->index != request.index
        || m_incomingSnapshot->term != request.snapshotTerm;
    if (startsNew && request.offset != 0) {
        m_incomingSnapshot.reset();
        return false;
    }
    if (startsNew)
        m_incomingSnapshot = LogSnapshot { request.index, request.snapshotTerm, request.membership, {} };
    std::string& data = m_incomingSnapshot->data;
    if (request.offset == data.size() && data.size() + request.data.size() <= request.totalBytes)
        data += request.data;
    return data.size() == request.totalBytes;
}

void LogReplica::installSnapshot(LogSnapshot snapshot)
{
    uint64_t index = snapshot.index.value();
    bool keepsLaterEntries = termAt(index) == snapshot.term;
    if (keepsLaterEntries) {
        compactUpTo(index);
        std::erase_if(m_memberships, [&](const IndexedMembership& at) { return at.index <= index; });
    } else {
        discardLog();
    }
    m_firstIndex = index + 1;
    m_termBeforeFirst = snapshot.term;
    m_memberships.insert(m_memberships.begin(), IndexedMembership { index, snapshot.membership });
    m_commitIndex = snapshot.index;
    m_matchedIndex = std::max(m_matchedIndex, index);
    m_snapshotRequested = false;
    m_snapshot = std::move(snapshot);
    pendingWrite().snapshot = m_snapshot;
    m_outputs.emplace_back(LogRestore { m_snapshot });
    promotePendingProofs();
}

void LogReplica::handle(const LogMessage& message, const LogJoinRequest& request)
{
    const LogMember& joiner = message.sender;
    if (std::ranges::find(m_options.controlHosts, joiner.host) == m_options.controlHosts.end())
        return;
    m_joinRequesters[joiner.host] = joiner.id;
    m_emptyReplicas.erase(joiner.host);
    if (request.isEmpty && std::ranges::find(request.heard, m_self.id) != request.heard.end())
        m_emptyReplicas[joiner.host] = joiner.id;
    m_bootstrapReplicas.erase(joiner.host);
    if (request.isEmpty && request.mayFound)
        m_bootstrapReplicas[joiner.host] = joiner.id;
    tryBootstrapFixedVoters();
    if (m_role == LogRole::Leader && m_options.learnerBeforeVoter && joiner.host != m_self.host)
        addJoiningPeer(joiner);
}

// Replicates to a non-member, so that it is caught up when it is needed as a member.
void LogReplica::addJoiningPeer(const LogMember& joiner)
{
    if (m_peers.contains(joiner.id) || m_peers.size() >= membership().voters.size() + maxJoiningPeers)
        return;
    Peer& peer = m_peers[joiner.id];
    peer.member = joiner;
    peer.nextIndex = last() + 1;
    peer.lastContactAt = m_now;
    updatePeers();
    if (auto kept = m_peers.find(joiner.id); kept != m_peers.end())
        replicate(kept->second, true);
}

// Replication by the leader.

LogReplica::Peer* LogReplica::peerOf(const LogMessage& message)
{
    if (m_role != LogRole::Leader)
        return nullptr;
    auto found = m_peers.find(resolveMember(message.sender).id);
    return found == m_peers.end() ? nullptr : &found->second;
}

void LogReplica::recordResponse(Peer& peer, TimePoint askedAt, uint64_t bootId, TimePoint sentAt)
{
    peer.lastContactAt = m_now;
    if (askedAt <= m_now)
        peer.lastAnsweredRequestTime = std::max(peer.lastAnsweredRequestTime, askedAt);
    bool isNewBoot = bootId != peer.echoBootId;
    peer.echoBootId = bootId;
    peer.echo = isNewBoot ? sentAt : std::max(peer.echo.value_or(sentAt), sentAt);
}

void LogReplica::handle(const LogMessage& message, const LogAppendResponse& response)
{
    Peer* peer = peerOf(message);
    if (!peer)
        return;
    recordResponse(*peer, response.askedAt, response.bootId, response.sentAt);
    peer->probeInFlight = false;
    updateMatch(*peer, response.matchIndex.value());
    if (!response.accepted)
        backtrack(*peer, response);
    else if (peer->mode != PeerMode::Replicate && peer->matchIndex + 1 >= m_firstIndex) {
        peer->mode = PeerMode::Replicate;
        peer->nextIndex = peer->matchIndex + 1;
        peer->inFlight.clear();
    }
    replicate(*peer, false);
    advanceCommit();
    advanceMembership();
}

void LogReplica::updateMatch(Peer& peer, uint64_t match)
{
    peer.matchIndex = std::max(peer.matchIndex, std::min(match, last()));
    peer.nextIndex = std::max(peer.nextIndex, peer.matchIndex + 1);
    while (!peer.inFlight.empty() && peer.inFlight.front() <= peer.matchIndex)
        peer.inFlight.pop_front();
}

// Skips a whole term per rejected request (end of section 5.3 of the Raft paper) instead of one entry.
void LogReplica::backtrack(Peer& peer, const LogAppendResponse& response)
{
    if (peer.mode == PeerMode::Snapshot)
        return;
    uint64_t next = std::min(response.conflictIndex.value(), last() + 1);
    if (response.conflictTerm != Term()) {
        uint64_t sameTerm = std::min(lastIndexUpToTerm(response.conflictTerm), peer.nextIndex - 1);
        if (termAt(sameTerm) == response.conflictTerm)
            next = std::max(next, sameTerm + 1);
    }
    peer.nextIndex = std::max(next, peer.matchIndex + 1);
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
    if (peer.mode != PeerMode::Snapshot && !termAt(peer.nextIndex - 1))
        startSnapshot(peer);
    switch (peer.mode) {
    case PeerMode::Snapshot:
        if (heartbeat)
            sendAppend(peer, false);
        if (heartbeat && m_now - peer.chunkSentAt >= chunkRetryHeartbeats * m_options.heartbeatInterval)
            sendChunk(peer);
        return;
    case PeerMode::Probe:
        // Without entries, to save bandwidth for unreachable replicas.
        if (heartbeat || !peer.probeInFlight)
            sendAppend(peer, false);
        return;
    case PeerMode::Replicate:
        break;
    }
    bool sent = false;
    while (peer.nextIndex <= last() && peer.inFlight.size() < m_options.maxInFlightMessages) {
        sendAppend(peer, true);
        sent = true;
    }
    if (heartbeat && !sent)
        sendAppend(peer, false);
}

void LogReplica::sendAppend(Peer& peer, bool withEntries)
{
    LogAppendRequest request;
    // During a snapshot transfer the request is only a heartbeat: (0, 0) matches every log.
    if (peer.mode != PeerMode::Snapshot) {
        request.previousIndex = LogIndex(peer.nextIndex - 1);
        request.previousTerm = *termAt(peer.nextIndex - 1);
    }
    size_t bytes = 0;
    for (uint64_t index = peer.nextIndex; withEntries && index <= last(); ++index) {
        const LogEntry& entry = entryAt(index);
        bytes += sizeInMemory(entry);
        bool exceedsLimit
            = bytes > m_options.maxMessageBytes || request.entries.size() >= m_options.maxEntriesPerMessage;
        if (!request.entries.empty() && exceedsLimit)
            break;
        request.entries.push_back(entry);
    }
    peer.probeInFlight = peer.mode == PeerMode::Probe;
    if (peer.mode == PeerMode::Replicate && !request.entries.empty()) {
        peer.nextIndex += request.entries.size();
        peer.inFlight.push_back(peer.nextIndex - 1);
    }
    request.commitIndex = m_commitIndex;
    request.askedAt = m_now;
    if (std::optional<TimePoint> proof = quorumProvenAt())
        request.proofAge = m_now - *proof;
    request.echoBootId = peer.echoBootId;
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
    // Starts over if a newer snapshot has replaced the one in transfer.
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
    recordResponse(*peer, response.askedAt, response.bootId, response.sentAt);
    if (peer->mode != PeerMode::Snapshot || response.index.value() != peer->snapshotIndex)
        return;
    bool isProgress = response.receivedBytes > peer->snapshotOffset;
    peer->snapshotOffset = std::min<uint64_t>(response.receivedBytes, m_snapshot.data.size());
    // Only progress triggers the next chunk, so duplicated responses do not multiply the chunks.
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
            matches.push_back(syncedIndex());
        else
            matches.push_back(peer == m_peers.end() ? 0 : peer->second.matchIndex);
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
        if (peer.mode == PeerMode::Replicate && peer.nextIndex > last())
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
    bool isDue = sinceSnapshot >= m_options.snapshotIntervalEntries
        || (sinceSnapshot > 0 && m_entryBytes > m_options.maxBytesInMemory / 2);
    if (!m_snapshotRequested && isDue) {
        m_snapshotRequested = true;
        m_outputs.emplace_back(LogTakeSnapshot { m_commitIndex });
    }
}

} // namespace dragonflylane
