#include "dragonflylane/Membership.h"

#include "dragonflylane/Bytes.h"
#include "dragonflylane/Digest.h"
#include "dragonflylane/GossipWire.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <string_view>
#include <tuple>

namespace dragonflylane {

namespace {

    // Upper bound on the size of the fixed fields of any message with records.
    constexpr size_t messageOverhead = 96;
    constexpr size_t piggybackBudget = maxGossipMessageSize - messageOverhead;
    // Upper bound on the size of an encoded digest entry while incarnation and sequence are small numbers: space for
    // two 64-bit varints, one 32-bit varint, the small values and the field headers.
    constexpr size_t digestEntrySize = 36;
    constexpr size_t maxEntriesPerDatagram = piggybackBudget / digestEntrySize;
    // A 64-bit varint has up to 10 bytes.
    constexpr size_t maxWantedPerDatagram = piggybackBudget / 10;
    // Queued records that may be skipped because they don't fit into the rest of a datagram.
    constexpr size_t maxSkippedRecords = 4;
    // Entries of matching buckets that may be sent needlessly to cover two differing buckets with one range.
    constexpr size_t maxGapEntries = 8;
    constexpr size_t maxRelayedProbes = 256;
    // How often a daemon decides whether to contact recently dead members.
    constexpr Duration deadProbePeriod = std::chrono::seconds(1);
    // Additional random draws when choosing distinct members.
    constexpr size_t maxChoiceAttempts = 8;
    // With 16 samples, a member of the own data centre is found in half of the cases if one member in twenty is there.
    constexpr size_t maxLocalSamples = 16;

    constexpr size_t localContacts = 8;
    constexpr size_t maxContacts = 14;
    // Limits the search for members of the same data centre, which runs for each joining daemon.
    constexpr size_t maxContactSearch = 2000;
    // The first requests for a range accept complete responses only, which a daemon that is itself joining can't give.
    constexpr unsigned completeOnlyAttempts = 2;
    constexpr unsigned maxBackoffDoublings = 16;

    // Hashes all fields except host, incarnation, sequence and state.
    // The departure of the upstream is left out: builds that do not know it pass the record on without it.
    uint32_t tieBreakOf(const MemberRecord& record)
    {
        std::string content;
        appendNumber(content, record.bootId.value());
        appendText(content, record.address.address);
        appendNumber(content, record.address.port);
        appendText(content, record.dataCentre.value());
        appendText(content, record.region.value());
        appendNumber(content, static_cast<uint64_t>(record.controlRole));
        if (record.upstream) {
            appendText(content, record.upstream->id.value());
            appendText(content, record.upstream->service.value());
            appendNumber(content, static_cast<uint64_t>(record.upstream->phase));
            appendNumber(content, record.upstream->slots);
            appendNumber(content, record.upstream->incarnation.value());
        }
        return static_cast<uint32_t>(stableHash(content));
    }

    // Total order of the records of one host.
    auto orderOf(const MemberRecord& record, uint32_t tieBreak)
    {
        return std::tuple(record.incarnation, record.sequence, record.state, tieBreak);
    }

    auto orderOf(const GossipDigestEntry& entry)
    {
        return std::tuple(entry.incarnation, entry.sequence, entry.state, entry.tieBreak);
    }

} // namespace

Membership::Membership(MembershipOptions options, MemberRecord self, TimePoint now)
    : m_options(options)
    , m_random(options.seed)
    , m_updates(options.seed)
    , m_broadcasts({ .maxQueued = options.maxBroadcasts, .maxIdentities = options.maxBroadcastIdentities })
    , m_pages({ .maxInFlight = options.maxPagesInFlight, .timeout = options.pageTimeout })
    , m_transferTokens(options.transferBurst)
    , m_transferTokensAt(now)
    , m_antiEntropyPeriod(options.antiEntropyPeriod)
    , m_lastCall(now)
    , m_reprobeUntil(now)
    , m_staleDatagramsUntil(now)
    , m_nextIncarnationRaise(now)
    , m_nextGossip(now)
    , m_nextJoin(now)
{
    if (self.bootId == BootId())
        self.bootId = BootId(m_random());
    if (self.incarnation == Incarnation())
        self.incarnation = Incarnation(1);
    self.state = MemberState::Alive;
    // Low numbers have short varints; a random start keeps responses to requests of a previous run from matching ours.
    m_lastNumber = static_cast<uint32_t>(m_random() % (1 << 20));
    m_self = m_table.insertSelf(self, tieBreakOf(self));
    // Random initial delays desynchronise the periodic work of daemons that start together.
    m_nextProbe = now + randomDuration(m_options.probePeriod);
    m_nextAntiEntropy = now + randomDuration(m_options.antiEntropyPeriod);
    m_nextLostProbe = now + randomDuration(m_options.lostProbePeriod);
    m_nextDeadProbe = now;
}

// Our own record

void Membership::setUpstream(std::optional<UpstreamRecord> upstream, TimePoint now)
{
    detectPause(now);
    MemberRecord next = self();
    if (m_hasLeft || next.upstream == upstream)
        return;
    next.upstream = std::move(upstream);
    next.sequence = next.sequence.next();
    if (!isEncodable(next)) {
        ++m_counters.recordsInvalid;
        return;
    }
    publishOwnRecord(std::move(next));
}

void Membership::setControlRole(ControlRole role, TimePoint now)
{
    detectPause(now);
    MemberRecord next = self();
    if (m_hasLeft || next.controlRole == role)
        return;
    next.controlRole = role;
    next.sequence = next.sequence.next();
    publishOwnRecord(std::move(next));
}

void Membership::leave(TimePoint now)
{
    detectPause(now);
    if (m_hasLeft)
        return;
    MemberRecord next = self();
    next.state = MemberState::Left;
    next.sequence = next.sequence.next();
    publishOwnRecord(std::move(next));
    m_hasLeft = true;
    m_probe.reset();
    m_joinStage = JoinStage::Done;
    m_nextGossip = now;
    runGossip(now);
}

void Membership::publishOwnRecord(MemberRecord next)
{
    uint32_t tieBreak = tieBreakOf(next);
    m_table.replaceSelf(m_self, std::move(next), tieBreak);
    queueUpdate(m_self);
    m_outputs.emplace_back(MemberChanged { self().host, self() });
}

// Timers and pauses

void Membership::detectPause(TimePoint now)
{
    Duration limit = std::max(m_options.pauseLimit, 2 * m_options.probePeriod);
    Duration gap = now - m_lastCall;
    m_lastCall = std::max(m_lastCall, now);
    if (gap > limit)
        resumeAfterPause(gap, now);
}

// Discards the probe and timer state from before the pause: responses may have been lost and timers have expired, which
// does not indicate that other members failed.
void Membership::resumeAfterPause(Duration gap, TimePoint now)
{
    ++m_counters.pauses;
    m_probe.reset();
    m_relayedProbes.clear();
    m_reprobeUntil = now + suspicionTime();
    m_nextProbe = now;
    scheduleEarlyAntiEntropy(now);
    for (HostHash hash : m_table.present()) {
        auto it = m_table.find(hash);
        if (it->second.deadline)
            startSuspicion(it, now);
        // Other daemons may have declared the member dead and erased its record in the meantime.
        if (gap >= m_options.deadRetention) {
            it->second.isUnconfirmed = true;
            m_updates.erase(it->first);
        }
    }
    // Datagrams queued in the socket can be as old as the pause.
    if (gap >= m_options.deadRetention)
        m_staleDatagramsUntil = now + m_options.probePeriod;
    m_pages.restartRequests(now);
}

void Membership::tick(TimePoint now)
{
    detectPause(now);
    runDeadlines(now);
    if (!m_hasLeft) {
        runProbe(now);
        runRepair(now);
        runLostProbe(now);
        runJoin(now);
    }
    runGossip(now);
}

TimePoint Membership::nextWakeup() const
{
    TimePoint next = m_nextProbe;
    if (m_hasLeft)
        next = m_lastCall + m_options.probePeriod;
    if (m_probe && !m_probe->isIndirect && m_options.indirectProbing)
        next = std::min(next, m_probe->indirectAt);
    if (auto deadline = m_table.nextDeadline())
        next = std::min(next, *deadline);
    if (hasUpdates() && !m_table.present().empty())
        next = std::min(next, m_nextGossip);
    if (m_hasLeft)
        return next;
    if (!m_table.present().empty())
        next = std::min(next, m_nextAntiEntropy);
    if (hasLostProbeCandidates())
        next = std::min({ next, m_nextLostProbe, m_nextDeadProbe });
    if (m_joinStage == JoinStage::Contacts)
        next = std::min(next, m_nextJoin);
    return std::min(next, m_pages.nextWakeup());
}

std::vector<MembershipOutput> Membership::takeOutputs()
{
    return std::exchange(m_outputs, {});
}

void Membership::runDeadlines(TimePoint now)
{
    for (auto it = m_table.nextDue(); it != m_table.end() && *it->second.deadline <= now; it = m_table.nextDue()) {
        if (it->second.record().state != MemberState::Suspect)
            eraseMember(it);
        else if (it->second.confirmations > 0)
            confirmSuspicion(it, now);
        else
            declare(it, MemberState::Dead, now);
    }
}

void Membership::startSuspicion(Entries::iterator it, TimePoint now)
{
    it->second.confirmations = std::min(m_options.suspicionConfirmations, m_options.suspicionPeriods);
    m_table.setDeadline(it, now + m_options.probePeriod * (m_options.suspicionPeriods - it->second.confirmations));
}

// Sends the suspect's record to a random member, which answers with the refutation if it has one. The suspect itself is
// not asked, since it may be overloaded and would get one request from every member.
void Membership::confirmSuspicion(Entries::iterator it, TimePoint now)
{
    --it->second.confirmations;
    m_table.setDeadline(it, now + m_options.probePeriod);
    HostHash other = *randomPresent();
    if (other != it->first)
        send(m_table.find(other)->second.record().address,
            GossipRecords { .piggyback = { .records = { it->second.record() } } });
}

// Probes

void Membership::runProbe(TimePoint now)
{
    if (m_probe && !m_probe->isIndirect && now >= m_probe->indirectAt)
        sendIndirectProbes(now);
    if (now < m_nextProbe)
        return;
    m_nextProbe += m_options.probePeriod;
    if (m_nextProbe <= now)
        m_nextProbe = now + m_options.probePeriod;
    std::erase_if(m_relayedProbes, [&](const auto& item) { return item.second.expiresAt <= now; });
    if (m_probe)
        finishFailedProbe(now);
    if (m_probe)
        return;
    if (std::optional<HostHash> target = nextProbeTarget())
        startProbe(*target, false, now);
}

void Membership::finishFailedProbe(TimePoint now)
{
    Probe probe = *std::exchange(m_probe, std::nullopt);
    ++m_counters.probesFailed;
    auto it = m_table.find(probe.target);
    if (it == m_table.end() || it->second.record().state != MemberState::Alive)
        return;
    if (now < m_reprobeUntil && !probe.isRepeated) {
        startProbe(probe.target, true, now);
        return;
    }
    if (it->second.isUnconfirmed) {
        eraseMember(it);
        return;
    }
    declare(it, m_options.suspicionWithRefutation ? MemberState::Suspect : MemberState::Dead, now);
}

void Membership::startProbe(HostHash target, bool isRepeated, TimePoint now)
{
    ++m_counters.probes;
    m_probe = Probe {
        .target = target, .number = nextNumber(), .indirectAt = now + m_options.probeTimeout, .isRepeated = isRepeated
    };
    Endpoint address = m_table.find(target)->second.record().address;
    send(address,
        GossipPing {
            .number = m_probe->number, .target = static_cast<uint32_t>(target), .piggyback = updatesFor(address) });
}

void Membership::sendIndirectProbes(TimePoint now)
{
    m_probe->isIndirect = true;
    if (!m_options.indirectProbing)
        return;
    auto target = m_table.find(m_probe->target);
    if (target == m_table.end())
        return;
    ++m_counters.indirectProbes;
    std::set<HostHash> chosen { m_probe->target };
    size_t wanted = std::min(m_options.indirectProbes + 1, m_table.present().size());
    for (size_t attempt = 0; chosen.size() < wanted && attempt < wanted + maxChoiceAttempts; ++attempt) {
        HostHash relay = *randomPresent();
        if (!chosen.insert(relay).second)
            continue;
        send(m_table.find(relay)->second.record().address,
            GossipIndirectPing { .number = m_probe->number,
                .target = static_cast<uint32_t>(m_probe->target),
                .targetAddress = target->second.record().address,
                .piggyback = takeUpdates(scopeOf(m_table.find(relay)->second.record().address)) });
    }
    // Leave the full timeout for indirect acknowledgements even if this tick ran late.
    m_nextProbe = std::max(m_nextProbe, now + m_options.probeTimeout);
}

// Iterating over a shuffled list bounds the time until each member is probed (SWIM, section 4.3).
std::optional<Membership::HostHash> Membership::nextProbeTarget()
{
    for (int pass = 0; pass < 2; ++pass) {
        while (m_probePosition < m_probeOrder.size()) {
            HostHash hash = m_probeOrder[m_probePosition++];
            auto it = m_table.find(hash);
            if (it != m_table.end() && it->second.record().isPresent())
                return hash;
        }
        m_probeOrder = m_table.present();
        m_probePosition = 0;
        std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_random);
    }
    return std::nullopt;
}

void Membership::handle(const Endpoint& from, const GossipPing& ping, TimePoint now)
{
    applyPiggyback(ping.piggyback, Disseminate::Yes, now);
    if (ping.target != static_cast<uint32_t>(m_self->first)) {
        ++m_counters.misdirectedPings;
        return;
    }
    GossipAcknowledgement answer { .number = ping.number };
    bool isAboutUs = std::any_of(ping.piggyback.records.begin(), ping.piggyback.records.end(),
        [&](const MemberRecord& record) { return record.host == self().host && record != self(); });
    std::vector<MemberRecord> urgent;
    if (isAboutUs || m_hasLeft)
        urgent.push_back(self());
    // Return the sender's own record if it is suspected or declared dead, so that it can refute.
    auto sender = m_table.findByAddress(from);
    if (sender != m_table.end() && sender->second.record().state != MemberState::Alive)
        urgent.push_back(sender->second.record());
    answer.piggyback = takeUpdates(scopeOf(from), std::move(urgent));
    send(from, std::move(answer));
}

void Membership::handle(const Endpoint& from, const GossipIndirectPing& request, TimePoint now)
{
    applyPiggyback(request.piggyback, Disseminate::Yes, now);
    if (m_relayedProbes.size() >= maxRelayedProbes)
        m_relayedProbes.erase(m_relayedProbes.begin());
    uint32_t number = nextNumber();
    m_relayedProbes.emplace(number, RelayedProbe { from, request.number, now + m_options.probePeriod });
    send(request.targetAddress,
        GossipPing { .number = number, .target = request.target, .piggyback = updatesFor(request.targetAddress) });
}

void Membership::handle(const Endpoint&, const GossipAcknowledgement& answer, TimePoint now)
{
    applyPiggyback(answer.piggyback, Disseminate::Yes, now);
    if (m_probe && m_probe->number == answer.number) {
        ++m_counters.probesAnswered;
        auto target = m_table.find(m_probe->target);
        if (target != m_table.end())
            target->second.isUnconfirmed = false;
        m_probe.reset();
        return;
    }
    auto relayed = m_relayedProbes.find(answer.number);
    if (relayed == m_relayedProbes.end())
        return;
    send(relayed->second.requester,
        GossipAcknowledgement {
            .number = relayed->second.requesterNumber, .piggyback = takeUpdates(scopeOf(relayed->second.requester)) });
    m_relayedProbes.erase(relayed);
}

// Records

void Membership::receive(const Endpoint& from, const GossipMessage& message, TimePoint now)
{
    detectPause(now);
    std::visit([&](const auto& alternative) { handle(from, alternative, now); }, message);
}

void Membership::applyPiggyback(const GossipPiggyback& piggyback, Disseminate disseminate, TimePoint now)
{
    m_counters.recordsInvalid += piggyback.invalidCount;
    for (const MemberRecord& record : piggyback.records)
        applyRecord(record, disseminate, now);
    for (const GossipBroadcast& broadcast : piggyback.broadcasts)
        deliverBroadcast(broadcast);
}

void Membership::applyRecord(const MemberRecord& record, Disseminate disseminate, TimePoint now)
{
    if (record.host.isEmpty() || !record.address.isSet()) {
        ++m_counters.recordsInvalid;
        return;
    }
    if (record.host == self().host) {
        applyOwnRecord(record, now);
        return;
    }
    HostHash hash = MemberTable::hashOf(record.host);
    uint32_t tieBreak = tieBreakOf(record);
    if (now < m_staleDatagramsUntil)
        disseminate = Disseminate::No;
    auto it = m_table.find(hash);
    if (it == m_table.end()) {
        insertMember(record, tieBreak, disseminate, now);
        return;
    }
    const MemberRecord& known = it->second.record();
    if (known.host != record.host) {
        // Two host ids with the same 64-bit hash.
        ++m_counters.recordsRefused;
        return;
    }
    if (orderOf(record, tieBreak) > orderOf(known, it->second.tieBreak)) {
        replaceRecord(it, record, tieBreak, disseminate, now);
        return;
    }
    ++m_counters.recordsOutdated;
    if (orderOf(record, tieBreak) == orderOf(known, it->second.tieBreak)) {
        if (now >= m_staleDatagramsUntil)
            it->second.isUnconfirmed = false;
        m_updates.countLocal(hash, m_options.duplicateWeight);
    }
    if (tieBreak != it->second.tieBreak && record.bootId == known.bootId && record.incarnation == known.incarnation
        && record.sequence == known.sequence)
        ++m_counters.recordConflicts;
}

void Membership::applyOwnRecord(const MemberRecord& record, TimePoint now)
{
    uint32_t ownTieBreak = m_self->second.tieBreak;
    bool isNewer = orderOf(record, tieBreakOf(record)) > orderOf(self(), ownTieBreak);
    bool hasOtherBootId = record.bootId != self().bootId;
    if (hasOtherBootId && !m_hasLeft)
        m_outputs.emplace_back(EarlierRecordFound { record });
    if (m_hasLeft || (!isNewer && !(hasOtherBootId && record.incarnation >= self().incarnation)))
        return;
    if (hasOtherBootId ? !m_options.raisesIncarnationAfterRestart || now < m_nextIncarnationRaise
                       : !m_options.suspicionWithRefutation)
        return;
    if (hasOtherBootId)
        m_nextIncarnationRaise = now + m_options.probePeriod;
    ++(hasOtherBootId ? m_counters.incarnationsRaised : m_counters.refutations);
    MemberRecord next = self();
    next.incarnation = record.incarnation.next();
    publishOwnRecord(std::move(next));
}

void Membership::insertMember(const MemberRecord& record, uint32_t tieBreak, Disseminate disseminate, TimePoint now)
{
    // Accepting dead and left records of unknown members would keep these records circulating for ever.
    if (!record.isPresent()) {
        ++m_counters.recordsOutdated;
        return;
    }
    if (members().size() >= m_options.maxMembers) {
        ++m_counters.recordsRefused;
        return;
    }
    if (record.address != self().address)
        declareAddressPredecessorDead(record.address, now);
    auto it = m_table.insert(record, tieBreak);
    it->second.isUnconfirmed = now < m_staleDatagramsUntil;
    startState(it, now);
    size_t remaining = m_probeOrder.size() - m_probePosition;
    size_t position = m_probePosition + randomBelow(remaining + 1);
    m_probeOrder.insert(m_probeOrder.begin() + static_cast<std::ptrdiff_t>(position), it->first);
    ++m_counters.recordsApplied;
    if (disseminate == Disseminate::Yes)
        queueUpdate(it);
    m_outputs.emplace_back(MemberChanged { record.host, record });
}

void Membership::replaceRecord(
    Entries::iterator it, const MemberRecord& record, uint32_t tieBreak, Disseminate disseminate, TimePoint now)
{
    MemberState before = it->second.record().state;
    m_table.replace(it, record, tieBreak);
    it->second.isUnconfirmed = now < m_staleDatagramsUntil;
    startState(it, now);
    ++m_counters.recordsApplied;
    if (record.state == MemberState::Alive && (before == MemberState::Suspect || before == MemberState::Dead))
        ++m_counters.recoveries;
    // If an update is queued already, restart its transmission count for the new record.
    if (disseminate == Disseminate::Yes || m_updates.contains(it->first))
        queueUpdate(it);
    m_outputs.emplace_back(MemberChanged { record.host, record });
}

// An address belongs to one host at a time, so the daemon of the previous host at the address of a new member must have
// stopped.
void Membership::declareAddressPredecessorDead(const Endpoint& address, TimePoint now)
{
    auto predecessor = m_table.findByAddress(address);
    if (predecessor != m_table.end() && predecessor->second.record().isPresent())
        declare(predecessor, MemberState::Dead, now);
}

void Membership::startState(Entries::iterator it, TimePoint now)
{
    const MemberRecord& record = it->second.record();
    if (record.state == MemberState::Suspect) {
        ++m_counters.suspicions;
        startSuspicion(it, now);
    }
    if (record.isPresent())
        return;
    ++(record.state == MemberState::Dead ? m_counters.deaths : m_counters.departures);
    m_table.setDeadline(it, m_options.keepDeadRecords ? now + m_options.deadRetention : now);
}

void Membership::eraseMember(Entries::iterator it)
{
    const MemberRecord& record = it->second.record();
    if (record.state == MemberState::Dead)
        rememberLostAddress(record.address, m_lastCall);
    m_updates.erase(it->first);
    ++m_counters.expirations;
    m_outputs.emplace_back(MemberChanged { record.host, std::nullopt });
    m_table.erase(it);
}

void Membership::declare(Entries::iterator it, MemberState state, TimePoint now)
{
    MemberRecord record = it->second.record();
    record.state = state;
    replaceRecord(it, record, it->second.tieBreak, Disseminate::Yes, now);
}

// Dissemination

void Membership::runGossip(TimePoint now)
{
    if (now < m_nextGossip || !hasUpdates() || m_table.present().empty())
        return;
    m_nextGossip = now + m_options.gossipPeriod;
    // Updates for a scope that has no members left would keep the timer running.
    if (localPresentCount() == m_table.present().size())
        m_updates.clear(GossipScope::RemoteDataCentres);
    if (localPresentCount() == 0)
        m_updates.clear(GossipScope::LocalDataCentre);
    for (size_t i = 0; i < m_options.gossipFanout && hasUpdates(); ++i) {
        bool anyDataCentre = i == 0 || !m_options.prefersLocalGossip;
        const Endpoint& to
            = m_table.find(anyDataCentre ? *randomPresent() : randomPreferablyLocal())->second.record().address;
        if (!m_broadcasts.isEmpty() || !m_updates.isEmpty(scopeOf(to)))
            sendUpdates(to);
    }
}

void Membership::sendUpdates(const Endpoint& to)
{
    send(to, GossipRecords { .piggyback = updatesFor(to) });
}

// Includes the recipient's own record if it is suspect, dead or left, because only the recipient can refute it.
GossipPiggyback Membership::updatesFor(const Endpoint& to)
{
    auto it = m_table.findByAddress(to);
    if (it == m_table.end() || it->second.record().state == MemberState::Alive)
        return takeUpdates(scopeOf(to));
    return takeUpdates(scopeOf(to), { it->second.record() });
}

GossipPiggyback Membership::takeUpdates(GossipScope scope, std::vector<MemberRecord> urgent)
{
    GossipPiggyback piggyback { .records = std::move(urgent) };
    if (!hasUpdates())
        return piggyback;
    size_t budget = piggybackBudget;
    for (const MemberRecord& record : piggyback.records)
        budget -= std::min(budget, encodedSizeBound(record));
    // Alternate at random, so that neither records nor broadcasts starve.
    bool recordsFirst = randomBelow(2) == 0;
    if (recordsFirst)
        fillWithRecords(piggyback, scope, budget);
    m_broadcasts.fill(piggyback, budget, transmissionLimit(m_table.present().size()));
    if (!recordsFirst)
        fillWithRecords(piggyback, scope, budget);
    return piggyback;
}

void Membership::fillWithRecords(GossipPiggyback& piggyback, GossipScope scope, size_t& budget)
{
    m_updates.take(scope, maxSkippedRecords, [&](HostHash hash) {
        const MemberRecord& record = m_table.find(hash)->second.record();
        size_t size = encodedSizeBound(record);
        if (size > budget)
            return false;
        budget -= size;
        piggyback.records.push_back(record);
        return true;
    });
}

void Membership::queueUpdate(Entries::iterator it)
{
    m_updates.push(it->first, recordLimits());
}

uint32_t Membership::transmissionLimit(size_t members) const
{
    double rounds = std::log2(static_cast<double>(members + 2));
    return static_cast<uint32_t>(std::ceil(m_options.transmissionFactor * rounds));
}

TransmissionLimits Membership::recordLimits() const
{
    if (!m_options.prefersLocalGossip)
        return { .local = transmissionLimit(m_table.present().size()) };
    size_t localCount = localPresentCount();
    size_t otherDataCentres = m_table.dataCentreCount() - (localCount == 0 ? 0 : 1);
    double copies = m_options.remoteCopies * static_cast<double>(otherDataCentres);
    return { .local = localCount > 0 ? transmissionLimit(localCount) : 0,
        .remote = std::min<double>(
            copies / static_cast<double>(localCount + 1), transmissionLimit(m_table.present().size() - localCount)) };
}

size_t Membership::localPresentCount() const
{
    if (!m_options.prefersLocalGossip)
        return m_table.present().size();
    return m_table.presentIn(self().dataCentre);
}

// An unknown address counts as outside of our data centre.
GossipScope Membership::scopeOf(const Endpoint& address)
{
    if (!m_options.prefersLocalGossip)
        return GossipScope::LocalDataCentre;
    auto it = m_table.findByAddress(address);
    bool isLocal = it != m_table.end() && it->second.record().dataCentre == self().dataCentre;
    return isLocal ? GossipScope::LocalDataCentre : GossipScope::RemoteDataCentres;
}

bool Membership::broadcast(std::string payload, TimePoint now)
{
    detectPause(now);
    if (payload.size() > maxGossipPayloadSize || m_broadcasts.isFull()) {
        ++m_counters.broadcastsRefused;
        return false;
    }
    ++m_counters.broadcastsSent;
    GossipBroadcast item { self().host, self().bootId, ++m_lastBroadcast, std::move(payload) };
    m_broadcasts.remember(item);
    if (!m_table.present().empty())
        m_broadcasts.push(std::move(item));
    return true;
}

void Membership::deliverBroadcast(const GossipBroadcast& broadcast)
{
    if (!m_broadcasts.remember(broadcast)) {
        ++m_counters.broadcastsDuplicate;
        return;
    }
    ++m_counters.broadcastsReceived;
    m_outputs.emplace_back(BroadcastReceived { broadcast.origin, broadcast.payload });
    if (!m_broadcasts.push(broadcast))
        ++m_counters.broadcastsDropped;
}

// Anti-entropy

void Membership::runRepair(TimePoint now)
{
    if (now < m_nextAntiEntropy)
        return;
    // Jitter keeps the comparisons of different daemons from synchronising.
    Duration period
        = std::exchange(m_antiEntropyPeriod, std::min(m_antiEntropyPeriod * 2, m_options.antiEntropyPeriod));
    m_nextAntiEntropy = now + period * 3 / 4 + randomDuration(period / 2);
    std::optional<HostHash> target = randomPresent();
    // Prefer alive members, since a suspect probably does not answer.
    for (size_t i = 0; target && i < maxChoiceAttempts; ++i) {
        if (m_table.find(*target)->second.record().state == MemberState::Alive)
            break;
        target = randomPresent();
    }
    if (!target)
        return;
    ++m_counters.repairs;
    send(m_table.find(*target)->second.record().address, GossipDigestRequest { .root = m_table.rootDigest() });
}

void Membership::handle(const Endpoint& from, const GossipDigestRequest& request, TimePoint now)
{
    if (request.sender) {
        applyRecord(*request.sender, Disseminate::Yes, now);
        auto it = m_table.find(MemberTable::hashOf(request.sender->host));
        bool isOutdated = it != m_table.end() && it->second.record() != *request.sender;
        if (isOutdated && it->first != m_self->first)
            sendRecords(from, { it->second.record() });
    }
    if (request.root && *request.root != m_table.rootDigest()) {
        ++m_counters.repairsWithDifference;
        if (consumeTransferToken(now))
            send(from, GossipDigest { .buckets = { m_table.bucketDigests().begin(), m_table.bucketDigests().end() } });
    }
    if (!request.wanted.empty())
        sendWantedRecords(from, request.wanted);
    if (!request.page || !consumeTransferToken(now))
        return;
    if (request.page->contactsOnly)
        sendContacts(from, *request.page, request.sender);
    else
        sendPage(from, *request.page);
}

void Membership::handle(const Endpoint& from, const GossipDigest& digest, TimePoint)
{
    if (digest.buckets.size() == gossipBucketCount)
        compareBuckets(from, digest);
    else
        compareEntries(from, digest);
}

void Membership::handle(const Endpoint& from, const GossipRecords& records, TimePoint now)
{
    // The records of a page are new to the joining daemon only, so they are not disseminated.
    applyPiggyback(records.piggyback, records.page ? Disseminate::No : Disseminate::Yes, now);
    if (!records.page) {
        correctOutdatedSuspicions(from, records.piggyback);
        return;
    }
    if (m_joinStage == JoinStage::Contacts && records.page->number == m_contactNumber) {
        if (records.page->isLast) {
            m_joinStage = JoinStage::Done;
            scheduleEarlyAntiEntropy(now);
        } else {
            startPages(now);
        }
        return;
    }
    if (m_joinStage == JoinStage::Pages)
        finishPage(*records.page, now);
}

void Membership::correctOutdatedSuspicions(const Endpoint& from, const GossipPiggyback& piggyback)
{
    std::vector<MemberRecord> newer;
    for (const MemberRecord& record : piggyback.records) {
        if (record.state != MemberState::Suspect && record.state != MemberState::Dead)
            continue;
        auto it = m_table.find(MemberTable::hashOf(record.host));
        if (it == m_table.end() || it->second.isUnconfirmed)
            continue;
        if (orderOf(it->second.record(), it->second.tieBreak) > orderOf(record, tieBreakOf(record)))
            newer.push_back(it->second.record());
    }
    if (!newer.empty())
        sendRecords(from, std::move(newer));
}

void Membership::compareBuckets(const Endpoint& from, const GossipDigest& digest)
{
    std::vector<size_t> differing;
    for (size_t bucket = 0; bucket < gossipBucketCount; ++bucket) {
        if (digest.buckets[bucket] != m_table.bucketDigests()[bucket])
            differing.push_back(bucket);
    }
    if (differing.empty())
        return;
    // Only some buckets fit into the limited number of datagrams, so start at a random one.
    auto start = differing.begin() + static_cast<std::ptrdiff_t>(randomBelow(differing.size()));
    std::rotate(differing.begin(), start, differing.end());
    sendEntries(from, differing);
}

void Membership::sendEntries(const Endpoint& to, const std::vector<size_t>& buckets)
{
    size_t next = 0;
    for (size_t sent = 0;
         sent < m_options.maxDigestDatagrams && next < buckets.size() && consumeTransferToken(m_lastCall); ++sent) {
        size_t bucket = buckets[next++];
        GossipDigest digest { .first = MemberTable::bucketFirst(bucket), .last = MemberTable::bucketLast(bucket) };
        size_t count = m_table.countBetween(digest.first, digest.last);
        if (count > maxEntriesPerDatagram) {
            // Only a part of the bucket fits; a random start lets later comparisons cover the rest.
            size_t skipped = randomBelow(count);
            auto it = std::next(m_table.lowerBound(digest.first), static_cast<std::ptrdiff_t>(skipped));
            if (skipped > 0)
                digest.first = it->first;
        }
        count = appendEntries(digest, digest.first, digest.last);
        // Extend the range over the next differing buckets if few entries of matching buckets lie between.
        while (next < buckets.size() && buckets[next] > MemberTable::bucketOf(digest.last)
            && digest.last == MemberTable::bucketLast(MemberTable::bucketOf(digest.last))) {
            HostHash end = MemberTable::bucketLast(buckets[next]);
            size_t gap = m_table.countBetween(digest.last + 1, MemberTable::bucketFirst(buckets[next]) - 1);
            size_t added = m_table.countBetween(digest.last + 1, end);
            if (gap > maxGapEntries || count + added > maxEntriesPerDatagram)
                break;
            count += appendEntries(digest, digest.last + 1, end);
            digest.last = end;
            ++next;
        }
        ++m_counters.transfersSent;
        send(to, std::move(digest));
    }
}

// Appends the entries of a range. If they don't all fit, ends the digest's range at the last one that does.
size_t Membership::appendEntries(GossipDigest& digest, HostHash first, HostHash last) const
{
    size_t count = 0;
    for (auto it = m_table.lowerBound(first); it != m_table.end() && it->first <= last; ++it) {
        if (digest.entries.size() >= maxEntriesPerDatagram) {
            digest.last = digest.entries.back().hostHash;
            break;
        }
        digest.entries.push_back(MemberTable::digestEntry(it->first, it->second));
        ++count;
    }
    return count;
}

void Membership::compareEntries(const Endpoint& from, const GossipDigest& digest)
{
    if (digest.first > digest.last)
        return;
    std::map<HostHash, const GossipDigestEntry*> remoteEntries;
    for (const GossipDigestEntry& entry : digest.entries)
        remoteEntries[entry.hostHash] = &entry;
    std::vector<MemberRecord> newer;
    std::vector<HostHash> forgotten;
    for (auto it = m_table.lowerBound(digest.first); it != m_table.end() && it->first <= digest.last; ++it) {
        auto remote = remoteEntries.find(it->first);
        const MemberRecord& record = it->second.record();
        if (it->second.isUnconfirmed && remote == remoteEntries.end()) {
            forgotten.push_back(it->first);
            continue;
        }
        bool isNewer = remote == remoteEntries.end() ? record.isPresent()
                                                     : orderOf(record, it->second.tieBreak) > orderOf(*remote->second);
        if (isNewer)
            newer.push_back(record);
    }
    for (HostHash hash : forgotten)
        eraseMember(m_table.find(hash));
    GossipDigestRequest request;
    for (const auto& [hash, entry] : remoteEntries) {
        auto it = m_table.find(hash);
        bool isDeadOrLeft = entry->state == MemberState::Dead || entry->state == MemberState::Left;
        bool isWanted
            = it == m_table.end() ? !isDeadOrLeft : orderOf(*entry) > orderOf(it->second.record(), it->second.tieBreak);
        if (isWanted && request.wanted.size() < maxWantedPerDatagram)
            request.wanted.push_back(hash);
    }
    if (!newer.empty())
        sendRecords(from, std::move(newer));
    if (!request.wanted.empty())
        send(from, std::move(request));
}

void Membership::sendWantedRecords(const Endpoint& to, const std::vector<uint64_t>& wanted)
{
    std::vector<MemberRecord> records;
    for (uint64_t hash : wanted) {
        auto it = m_table.find(hash);
        if (it == m_table.end())
            continue;
        if (it->second.isUnconfirmed)
            eraseMember(it);
        else
            records.push_back(it->second.record());
    }
    sendRecords(to, std::move(records));
}

// Sends as many datagrams as the rate limit allows; the next comparison transfers the rest.
void Membership::sendRecords(const Endpoint& to, std::vector<MemberRecord> records)
{
    GossipRecords message;
    size_t budget = piggybackBudget;
    for (MemberRecord& record : records) {
        size_t size = encodedSizeBound(record);
        if (size > budget) {
            if (!consumeTransferToken(m_lastCall))
                return;
            ++m_counters.transfersSent;
            send(to, std::exchange(message, {}));
            budget = piggybackBudget;
        }
        budget -= size;
        message.piggyback.records.push_back(std::move(record));
    }
    if (message.piggyback.records.empty() || !consumeTransferToken(m_lastCall))
        return;
    ++m_counters.transfersSent;
    send(to, std::move(message));
}

// Token bucket that limits all datagrams sent on request. Returns false if it is empty.
bool Membership::consumeTransferToken(TimePoint now)
{
    std::chrono::duration<double> elapsed = now - m_transferTokensAt;
    m_transferTokensAt = now;
    m_transferTokens = std::min(
        m_options.transferBurst, m_transferTokens + std::max(0.0, elapsed.count()) * m_options.transfersPerSecond);
    if (m_transferTokens < 1) {
        ++m_counters.transfersLimited;
        return false;
    }
    m_transferTokens -= 1;
    return true;
}

// Lost members: dead members, members whose dead record has expired, and seeds that are not present

void Membership::rememberLostAddress(const Endpoint& address, TimePoint now)
{
    LostMember lost { address, now + m_options.lostRetention };
    if (m_lost.size() < m_options.maxLostMembers)
        m_lost.push_back(std::move(lost));
    else if (!m_lost.empty())
        m_lost[randomBelow(m_lost.size())] = std::move(lost);
}

std::vector<Endpoint> Membership::missingSeeds() const
{
    std::vector<Endpoint> missing;
    std::copy_if(m_seeds.begin(), m_seeds.end(), std::back_inserter(missing),
        [&](const Endpoint& seed) { return !m_table.isPresentAt(seed); });
    return missing;
}

bool Membership::hasLostProbeCandidates() const
{
    return m_joinStage == JoinStage::Done
        && (!m_table.dead().empty() || !m_lost.empty()
            || std::any_of(
                m_seeds.begin(), m_seeds.end(), [&](const Endpoint& seed) { return !m_table.isPresentAt(seed); }));
}

// The daemon itself is probably cut off if it lacks most of the mesh.
bool Membership::isIsolated() const
{
    bool lacksMost = m_table.dead().size() + m_lost.size() > m_table.present().size();
    return lacksMost || (!m_seeds.empty() && missingSeeds().size() == m_seeds.size());
}

void Membership::runLostProbe(TimePoint now)
{
    if (!hasLostProbeCandidates())
        return;
    if (now >= m_nextDeadProbe)
        probeRecentlyDead(now);
    if (now < m_nextLostProbe)
        return;
    m_nextLostProbe = now + m_options.lostProbePeriod * 3 / 4 + randomDuration(m_options.lostProbePeriod / 2);
    contactLostMembers(lostAddresses(now), 1);
}

// The number of contacts is random, so that a fleet of any size contacts each dead member equally often.
void Membership::probeRecentlyDead(TimePoint now)
{
    m_nextDeadProbe = now + deadProbePeriod * 3 / 4 + randomDuration(deadProbePeriod / 2);
    bool wasIsolated = std::exchange(m_isIsolated, isIsolated());
    if (wasIsolated && !m_isIsolated)
        scheduleEarlyAntiEntropy(now);
    if (m_isIsolated) {
        contactLostMembers(missingSeeds(), 1);
        return contactLostMembers(lostAddresses(now), m_options.maxDeadProbes - 1);
    }
    std::vector<Endpoint> dead = m_table.deadAddresses();
    double share = static_cast<double>(dead.size()) / static_cast<double>(m_table.present().size() + 1);
    double expected = std::min(m_options.deadProbesPerSecond * share, static_cast<double>(m_options.maxDeadProbes));
    constexpr size_t resolution = 1000;
    double fraction = static_cast<double>(randomBelow(resolution)) / resolution;
    contactLostMembers(dead, static_cast<size_t>(expected + fraction));
}

void Membership::contactLostMembers(const std::vector<Endpoint>& addresses, size_t count)
{
    if (addresses.empty())
        return;
    for (size_t i = 0; i < count; ++i) {
        ++m_counters.lostProbes;
        contactLostMember(addresses[randomBelow(addresses.size())]);
    }
}

// Addresses of the dead members, of those whose dead record has expired, and of the seeds that are not present.
std::vector<Endpoint> Membership::lostAddresses(TimePoint now)
{
    std::erase_if(
        m_lost, [&](const LostMember& lost) { return lost.expiresAt <= now || m_table.isPresentAt(lost.address); });
    std::vector<Endpoint> addresses = m_table.deadAddresses();
    for (const LostMember& lost : m_lost)
        addresses.push_back(lost.address);
    std::vector<Endpoint> seeds = missingSeeds();
    addresses.insert(addresses.end(), seeds.begin(), seeds.end());
    return addresses;
}

// Repairs within seconds what was missed while joining, paused or cut off. The period then doubles up to its normal
// value.
void Membership::scheduleEarlyAntiEntropy(TimePoint now)
{
    m_antiEntropyPeriod = std::min(m_options.probePeriod, m_options.antiEntropyPeriod);
    m_nextAntiEntropy = now + randomDuration(m_antiEntropyPeriod);
}

// Contacts a member that is not present. If the address is unknown, the digest comparison that follows shows each side
// which records it lacks.
void Membership::contactLostMember(const Endpoint& address)
{
    auto it = m_table.findByAddress(address);
    if (it == m_table.end()) {
        send(address, GossipDigestRequest { .root = m_table.rootDigest(), .sender = self() });
        return;
    }
    send(address,
        GossipPing {
            .number = nextNumber(), .target = static_cast<uint32_t>(it->first), .piggyback = updatesFor(address) });
}

// Joining

void Membership::join(std::vector<Endpoint> seeds, TimePoint now)
{
    detectPause(now);
    std::erase(seeds, self().address);
    m_seeds = std::move(seeds);
    m_joinAttempts = 0;
    m_pages.cancel();
    m_joinStage = m_seeds.empty() ? JoinStage::Done : JoinStage::Contacts;
    m_nextJoin = now + randomDuration(m_options.joinBackoffBase);
}

void Membership::setSeeds(std::vector<Endpoint> seeds, TimePoint now)
{
    detectPause(now);
    std::erase(seeds, self().address);
    bool isFirst = m_seeds.empty() && m_table.present().empty();
    if (isFirst) {
        join(std::move(seeds), now);
        return;
    }
    if (!seeds.empty())
        m_seeds = std::move(seeds);
}

void Membership::runJoin(TimePoint now)
{
    if (m_joinStage == JoinStage::Contacts && now >= m_nextJoin)
        requestContacts(now);
    if (m_joinStage == JoinStage::Pages)
        requestPages(now);
}

void Membership::requestContacts(TimePoint now)
{
    ++m_counters.joinAttempts;
    m_contactNumber = nextNumber();
    m_nextJoin = now + m_options.pageTimeout + joinBackoff(m_joinAttempts++);
    GossipPageRequest page { .number = m_contactNumber, .contactsOnly = true };
    send(m_seeds[randomBelow(m_seeds.size())], GossipDigestRequest { .page = page, .sender = self() });
}

void Membership::sendContacts(
    const Endpoint& to, const GossipPageRequest& request, const std::optional<MemberRecord>& sender)
{
    GossipRecords answer { .page = GossipPageEnd { .number = request.number } };
    size_t budget = piggybackBudget;
    std::set<HostHash> chosen;
    auto add = [&](HostHash hash) {
        const Entry& entry = m_table.find(hash)->second;
        const MemberRecord& record = entry.record();
        size_t size = encodedSizeBound(record);
        if (entry.isUnconfirmed || size > budget || answer.piggyback.records.size() >= maxContacts
            || !chosen.insert(hash).second)
            return;
        budget -= size;
        answer.piggyback.records.push_back(record);
    };
    add(m_self->first);
    size_t searched = std::min(m_table.present().size(), maxContactSearch);
    size_t start = randomBelow(m_table.present().size() + 1);
    for (size_t i = 0; sender && i < searched && chosen.size() <= localContacts; ++i) {
        HostHash hash = m_table.present()[(start + i) % m_table.present().size()];
        if (m_table.find(hash)->second.record().dataCentre == sender->dataCentre)
            add(hash);
    }
    for (size_t i = 0; i < std::min(m_table.present().size(), maxContacts); ++i)
        add(m_table.present()[(start + i) % m_table.present().size()]);
    answer.page->isLast = isJoined() && chosen.size() == m_table.present().size() + 1;
    ++m_counters.transfersSent;
    send(to, std::move(answer));
}

void Membership::startPages(TimePoint now)
{
    m_joinStage = JoinStage::Pages;
    m_pageSources.clear();
    for (HostHash hash : m_table.present()) {
        if (m_table.find(hash)->second.record().dataCentre == self().dataCentre)
            m_pageSources.push_back(hash);
    }
    m_pages.start(now);
    requestPages(now);
}

void Membership::requestPages(TimePoint now)
{
    m_counters.pagesTimedOut
        += m_pages.expireRequests([this](unsigned attempts) { return joinBackoff(attempts); }, now);
    while (PageTransfer::Range* range = m_pages.nextDue(now))
        requestPage(*range, now);
}

void Membership::requestPage(PageTransfer::Range& range, TimePoint now)
{
    ++m_counters.pagesRequested;
    m_pages.setRequested(range, nextNumber(), now);
    // If all daemons of the mesh are joining, none of them can send complete pages.
    bool acceptPartial = range.attempts >= completeOnlyAttempts;
    GossipPageRequest page {
        .number = range.number, .first = range.first, .last = range.last, .acceptPartial = acceptPartial
    };
    send(choosePageSource(range.attempts), GossipDigestRequest { .page = page });
}

// Prefers members of our data centre, then any member after two failures, and a seed if there is no member.
Endpoint Membership::choosePageSource(unsigned attempts)
{
    if (attempts < 2 && !m_pageSources.empty()) {
        auto it = m_table.find(m_pageSources[randomBelow(m_pageSources.size())]);
        if (it != m_table.end() && it->second.record().isPresent())
            return it->second.record().address;
    }
    if (std::optional<HostHash> any = randomPresent())
        return m_table.find(*any)->second.record().address;
    return m_seeds[randomBelow(m_seeds.size())];
}

void Membership::sendPage(const Endpoint& to, const GossipPageRequest& request)
{
    GossipRecords answer { .page = GossipPageEnd { .number = request.number, .isLast = true } };
    // Many daemons may join at once. A daemon that is itself joining sends what it has, but marks the page incomplete.
    bool isComplete = isJoined() || request.acceptPartial;
    size_t budget = piggybackBudget;
    for (auto it = m_table.lowerBound(request.first); it != m_table.end() && it->first <= request.last; ++it) {
        const MemberRecord& record = it->second.record();
        // After a long pause this daemon knows less than the others until they have confirmed its records.
        isComplete = isComplete && (!it->second.isUnconfirmed || request.acceptPartial);
        if (!record.isPresent() || it->second.isUnconfirmed)
            continue;
        size_t size = encodedSizeBound(record);
        if (size > budget) {
            answer.page->next = it->first;
            answer.page->isLast = false;
            break;
        }
        budget -= size;
        answer.piggyback.records.push_back(record);
    }
    if (!isComplete)
        answer.page = GossipPageEnd { .number = request.number, .next = request.first };
    ++m_counters.transfersSent;
    send(to, std::move(answer));
}

void Membership::finishPage(const GossipPageEnd& page, TimePoint now)
{
    if (!m_pages.finish(
            page, [this](unsigned attempts) { return joinBackoff(attempts); }, now))
        return;
    if (!m_pages.isDone())
        return requestPages(now);
    m_joinStage = JoinStage::Done;
    scheduleEarlyAntiEntropy(now);
}

Duration Membership::joinBackoff(unsigned attempts)
{
    Duration bound = m_options.joinBackoffBase;
    for (unsigned i = 0; i < std::min(attempts, maxBackoffDoublings) && bound < m_options.joinBackoffLimit; ++i)
        bound *= 2;
    return randomDuration(std::min(bound, m_options.joinBackoffLimit));
}

// Helpers

void Membership::send(const Endpoint& to, GossipMessage message)
{
    m_outputs.emplace_back(GossipDatagram { to, std::move(message) });
}

std::optional<Membership::HostHash> Membership::randomPresent()
{
    if (m_table.present().empty())
        return std::nullopt;
    return m_table.present()[randomBelow(m_table.present().size())];
}

// Returns a random member, of the own data centre if a few samples find one. Requires a present member.
Membership::HostHash Membership::randomPreferablyLocal()
{
    HostHash found = *randomPresent();
    for (size_t i = 0; i < maxLocalSamples; ++i) {
        if (m_table.find(found)->second.record().dataCentre == self().dataCentre)
            break;
        found = *randomPresent();
    }
    return found;
}

size_t Membership::randomBelow(size_t bound)
{
    return std::uniform_int_distribution<size_t>(0, bound - 1)(m_random);
}

Duration Membership::randomDuration(Duration bound)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, bound.count())(m_random));
}

} // namespace dragonflylane
