#include "bench/RelaySimulation.h"

#include "dragonflylane/RelayWire.h"

#include <algorithm>
#include <charconv>
#include <tuple>
#include <utility>

namespace dragonflylane {

namespace {

    std::string hostName(size_t dataCentre, size_t host)
    {
        return "dc" + std::to_string(dataCentre) + "-host" + std::to_string(host);
    }

    /// Minimum delay of a timer. A timer that is repeatedly due immediately would keep the virtual clock from
    /// advancing.
    constexpr Duration shortestWakeup = std::chrono::microseconds(100);

} // namespace

Digest RelaySimulation::digestOf(Revision revision)
{
    Digest digest;
    if (revision != Revision())
        digest.add("revision", std::to_string(revision.value()));
    return digest;
}

RelaySimulation::RelaySimulation(RelaySimulationOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_hosts(m_options.controlHosts + m_options.daemons)
{
    for (size_t host = 0; host < m_hosts.size(); ++host) {
        size_t dataCentre = host % m_options.dataCentres;
        size_t region = dataCentre % m_options.regions;
        m_hosts[host].member = { HostId(hostName(dataCentre, host)), DataCentreName("dc" + std::to_string(dataCentre)),
            RegionName("region" + std::to_string(region)), host < m_options.controlHosts };
        m_byId[m_hosts[host].member.host] = host;
    }
    for (size_t host = 0; host < m_hosts.size(); ++host)
        start(host);
    refreshCandidates();
    refreshControlProofs();
}

RelayOptions RelaySimulation::relayOptions(size_t host)
{
    RelayOptions options;
    options.self = id(host);
    options.isControl = host < m_options.controlHosts;
    options.seed = m_random();
    if (options.isControl)
        options.maxChildren = m_options.maxChildrenOfControl;
    options.payloadFor = [this, host](Revision held, Digest digest) { return payloadFor(host, { held, digest }); };
    options.accept = [this, host](const RelayPayload& payload) { return accept(host, payload); };
    if (m_options.adjust)
        m_options.adjust(host, options);
    return options;
}

void RelaySimulation::start(size_t host)
{
    Host& state = m_hosts[host];
    state.content = {};
    state.highestSinceStart = {};
    state.wakeAt = TimePoint::max();
    state.relay = std::make_unique<Relay>(relayOptions(host), m_now);
    if (!state.position.candidates.empty())
        process(
            host, [&](Relay& relay) { relay.setCandidates(state.position.candidates, state.position.level, m_now); });
}

// Stub of the configuration module

RelayPayload RelaySimulation::payloadFor(size_t host, const HeldState& from)
{
    const HeldState& content = m_hosts[host].content;
    RelayPayload payload;
    payload.to = content;
    if (content.revision == Revision() || from == content)
        return payload;
    bool isKnown
        = from.revision != Revision() && from.revision < content.revision && from.digest == digestOf(from.revision);
    size_t deltaBytes = m_options.deltaBytes * (content.revision.value() - from.revision.value());
    bool isDelta = isKnown && deltaBytes < m_options.snapshotBytes;
    payload.kind = isDelta ? RelayPayload::Kind::Delta : RelayPayload::Kind::Snapshot;
    payload.bytes = std::to_string(from.revision.value()) + ' ';
    payload.bytes.resize(std::max(payload.bytes.size(), isDelta ? deltaBytes : m_options.snapshotBytes), '.');
    return payload;
}

AcceptResult RelaySimulation::accept(size_t host, const RelayPayload& payload)
{
    HeldState& content = m_hosts[host].content;
    uint64_t base = 0;
    std::from_chars(payload.bytes.data(), payload.bytes.data() + payload.bytes.size(), base);
    bool isDelta = payload.kind == RelayPayload::Kind::Delta;
    if (isDelta && (content.revision.value() != base || content.digest != digestOf(content.revision)))
        return { ResultCode::BaseMismatch, content };
    if (m_refused.count(payload.to.revision) != 0)
        return { ResultCode::InvalidConfiguration, content };
    content = payload.to;
    return { {}, content };
}

void RelaySimulation::corrupt(size_t host)
{
    Host& state = m_hosts[host];
    state.content.digest.add("fault", "memory");
    process(host, [&](Relay& relay) { relay.setLocal(state.content.revision, state.content.digest, m_term, m_now); });
}

// Time

void RelaySimulation::schedule(TimePoint at, std::function<void()> action)
{
    m_steps.push({ at, m_order++, std::move(action) });
}

void RelaySimulation::step()
{
    Step next = m_steps.top();
    m_steps.pop();
    m_now = next.at;
    next.action();
}

void RelaySimulation::run(Duration duration)
{
    TimePoint end = m_now + duration;
    while (!m_steps.empty() && m_steps.top().at <= end)
        step();
    m_now = end;
}

std::optional<Duration> RelaySimulation::runUntil(const std::function<bool()>& condition, Duration limit)
{
    TimePoint begin = m_now;
    while (!condition()) {
        if (m_steps.empty() || m_steps.top().at > begin + limit)
            return std::nullopt;
        step();
    }
    return m_now - begin;
}

void RelaySimulation::scheduleWakeup(size_t host)
{
    Host& state = m_hosts[host];
    TimePoint next = state.relay->nextWakeup();
    if (next == TimePoint::max())
        return;
    next = std::max(next, m_now + shortestWakeup);
    if (next >= state.wakeAt)
        return;
    state.wakeAt = next;
    schedule(next, [this, host, next, generation = state.generation] {
        Host& target = m_hosts[host];
        if (target.generation != generation || target.wakeAt != next)
            return;
        target.wakeAt = TimePoint::max();
        input(host, generation, [this](Relay& relay) { relay.tick(m_now); });
    });
}

// Hosts

void RelaySimulation::input(size_t host, unsigned generation, const std::function<void(Relay&)>& action)
{
    Host& state = m_hosts[host];
    if (!state.isAlive || state.generation != generation)
        return;
    if (state.isPaused) {
        state.inbox.push_back([this, host, generation, action] { input(host, generation, action); });
        return;
    }
    process(host, action);
}

void RelaySimulation::process(size_t host, const std::function<void(Relay&)>& action)
{
    auto begin = std::chrono::steady_clock::now();
    action(*m_hosts[host].relay);
    m_cpuTime += std::chrono::steady_clock::now() - begin;
    handleOutputs(host);
    checkInvariants(host);
    scheduleWakeup(host);
}

void RelaySimulation::pause(size_t host)
{
    m_hosts[host].isPaused = true;
}

void RelaySimulation::resume(size_t host)
{
    Host& state = m_hosts[host];
    if (!state.isPaused)
        return;
    state.isPaused = false;
    std::vector<std::function<void()>> inbox = std::exchange(state.inbox, {});
    for (const auto& action : inbox)
        action();
    input(host, state.generation, [this](Relay& relay) { relay.tick(m_now); });
}

void RelaySimulation::kill(size_t host, bool isSilent)
{
    Host& state = m_hosts[host];
    if (!state.isAlive)
        return;
    state.isAlive = false;
    state.diedSilently = isSilent;
    state.isPaused = false;
    state.inbox.clear();
    ++state.generation;
    if (!isSilent) {
        for (auto& [parent, connection] : state.toParents)
            closeEnd(connection, childEnd);
        for (auto& [child, connection] : state.toChildren)
            closeEnd(connection, parentEnd);
    }
    state.toParents.clear();
    state.toChildren.clear();
}

void RelaySimulation::restart(size_t host)
{
    kill(host, false);
    m_hosts[host].isAlive = true;
    start(host);
    if (host < m_options.controlHosts)
        updateControlHost(host, false);
}

void RelaySimulation::setPartition(const std::vector<size_t>& hosts, int partition)
{
    for (size_t host : hosts)
        m_hosts[host].partition = partition;
    deliverBlocked();
}

void RelaySimulation::setStalled(size_t host, bool isStalled)
{
    m_hosts[host].isStalled = isStalled;
    deliverBlocked();
}

bool RelaySimulation::isBlocked(const Connection& connection, int toEnd) const
{
    return !canReach(connection.ends[0], connection.ends[1])
        || (toEnd == childEnd && m_hosts[connection.ends[parentEnd]].isStalled);
}

void RelaySimulation::deliverBlocked()
{
    for (const ConnectionPtr& connection : m_connections) {
        for (int end : { childEnd, parentEnd }) {
            if (isBlocked(*connection, end))
                continue;
            auto blocked = std::exchange(connection->blocked[end], {});
            for (auto& bytes : blocked)
                transmit(connection, end, std::move(bytes));
        }
    }
}

void RelaySimulation::disconnectParent(size_t host)
{
    std::optional<size_t> parent = parentOf(host);
    if (!parent || m_hosts[host].toParents.count(*parent) == 0)
        return;
    ConnectionPtr connection = m_hosts[host].toParents[*parent];
    connection->isOpen[childEnd] = connection->isOpen[parentEnd] = false;
    m_hosts[host].toParents.erase(*parent);
    m_hosts[*parent].toChildren.erase(host);
    input(host, connection->generations[childEnd],
        [this, to = id(*parent)](Relay& relay) { relay.disconnected(to, RelayLink::ToParent, m_now); });
    input(*parent, connection->generations[parentEnd],
        [this, to = id(host)](Relay& relay) { relay.disconnected(to, RelayLink::ToChild, m_now); });
}

void RelaySimulation::setCandidates(size_t host, const std::vector<size_t>& parents)
{
    Host& state = m_hosts[host];
    state.position.candidates.clear();
    for (size_t parent : parents)
        state.position.candidates.push_back(
            { id(parent), m_hosts[parent].member.dataCentre, m_hosts[parent].member.isControl });
    input(host, state.generation,
        [&](Relay& relay) { relay.setCandidates(state.position.candidates, state.position.level, m_now); });
}

void RelaySimulation::refreshCandidates()
{
    TreeIndex index(HostId("none"), m_options.tree);
    for (const Host& host : m_hosts)
        if (host.isAlive)
            index.update(host.member);
    for (size_t host = 0; host < m_hosts.size(); ++host) {
        Host& state = m_hosts[host];
        TreePosition position = index.positionOf(id(host));
        if (!state.isAlive || position == state.position)
            continue;
        state.position = position;
        input(host, state.generation,
            [this, position](Relay& relay) { relay.setCandidates(position.candidates, position.level, m_now); });
    }
}

// Connections

void RelaySimulation::handleOutputs(size_t host)
{
    for (RelayOutput& output : m_hosts[host].relay->takeOutputs())
        std::visit([&](auto& content) { handle(host, content); }, output);
}

void RelaySimulation::handle(size_t host, const RelayEvent& event)
{
    m_events.push_back({ m_now, host, event });
}

void RelaySimulation::handle(size_t host, const RelayConnect& connect)
{
    size_t parent = indexOf(connect.to);
    schedule(m_now + 2 * m_options.latency, [this, host, parent, generation = m_hosts[host].generation] {
        Host& child = m_hosts[host];
        Host& target = m_hosts[parent];
        if (!child.isAlive || child.generation != generation || !canReach(host, parent))
            return;
        if (!target.isAlive) {
            if (!target.diedSilently)
                input(host, generation,
                    [this, parent](Relay& relay) { relay.disconnected(id(parent), RelayLink::ToParent, m_now); });
            return;
        }
        auto connection = std::make_shared<Connection>();
        connection->ends[childEnd] = host;
        connection->ends[parentEnd] = parent;
        connection->generations[childEnd] = generation;
        connection->generations[parentEnd] = target.generation;
        std::erase_if(m_connections, [](const ConnectionPtr& old) { return !old->isOpen[0] && !old->isOpen[1]; });
        m_connections.push_back(connection);
        for (auto [map, key, end] :
            { std::tuple(&child.toParents, parent, childEnd), std::tuple(&target.toChildren, host, parentEnd) }) {
            if (ConnectionPtr old = std::exchange((*map)[key], connection))
                old->isOpen[end] = false;
        }
        input(host, generation, [this, parent](Relay& relay) { relay.connected(id(parent), m_now); });
    });
}

void RelaySimulation::handle(size_t host, const RelayDisconnect& disconnect)
{
    size_t peer = indexOf(disconnect.to);
    bool isChild = disconnect.link == RelayLink::ToParent;
    auto& map = isChild ? m_hosts[host].toParents : m_hosts[host].toChildren;
    auto found = map.find(peer);
    if (found == map.end())
        return;
    ConnectionPtr connection = found->second;
    map.erase(found);
    closeEnd(connection, isChild ? childEnd : parentEnd);
}

void RelaySimulation::closeEnd(const ConnectionPtr& connection, int end)
{
    if (!std::exchange(connection->isOpen[end], false))
        return;
    transmit(connection, 1 - end, std::nullopt);
}

void RelaySimulation::handle(size_t host, RelaySend& output)
{
    size_t peer = indexOf(output.to);
    bool isChild = output.link == RelayLink::ToParent;
    auto& map = isChild ? m_hosts[host].toParents : m_hosts[host].toChildren;
    auto found = map.find(peer);
    if (found == map.end())
        return;
    auto begin = std::chrono::steady_clock::now();
    std::string bytes = encode(output.message);
    m_cpuTime += std::chrono::steady_clock::now() - begin;
    m_hosts[host].bytesSent += bytes.size() + frameOverhead;
    ++m_messages;
    transmit(found->second, isChild ? parentEnd : childEnd, std::move(bytes));
}

void RelaySimulation::transmit(const ConnectionPtr& connection, int toEnd, std::optional<std::string> bytes)
{
    if (isBlocked(*connection, toEnd)) {
        connection->blocked[toEnd].push_back(std::move(bytes));
        return;
    }
    Duration delay = m_options.latency;
    if (m_options.jitter.count() > 0)
        delay += Duration(std::uniform_int_distribution<Duration::rep>(0, m_options.jitter.count())(m_random));
    TimePoint& last = connection->lastArrival[toEnd];
    last = std::max(last, m_now + delay);
    schedule(last, [this, connection, toEnd, bytes = std::move(bytes)] { deliver(connection, toEnd, bytes); });
}

void RelaySimulation::deliver(const ConnectionPtr& connection, int toEnd, const std::optional<std::string>& bytes)
{
    size_t host = connection->ends[toEnd];
    size_t peer = connection->ends[1 - toEnd];
    unsigned generation = connection->generations[toEnd];
    if (isBlocked(*connection, toEnd)) {
        connection->blocked[toEnd].push_back(bytes);
        return;
    }
    Host& state = m_hosts[host];
    if (!connection->isOpen[toEnd])
        return;
    if (state.generation != generation) {
        // A process that restarted on the host resets connections of its predecessor.
        if (state.isAlive && connection->isOpen[toEnd])
            closeEnd(connection, toEnd);
        return;
    }
    if (!bytes) {
        input(host, generation, [this, connection, toEnd, peer](Relay& relay) {
            if (!std::exchange(connection->isOpen[toEnd], false))
                return;
            size_t target = connection->ends[toEnd];
            auto& map = toEnd == parentEnd ? m_hosts[target].toChildren : m_hosts[target].toParents;
            map.erase(peer);
            relay.disconnected(id(peer), toEnd == parentEnd ? RelayLink::ToChild : RelayLink::ToParent, m_now);
        });
        return;
    }
    state.bytesReceived += bytes->size() + frameOverhead;
    input(host, generation, [this, connection, toEnd, peer, bytes = *bytes](Relay& relay) {
        if (!connection->isOpen[toEnd])
            return;
        RelayMessage message;
        if (std::error_code error = decode(bytes, message))
            m_violations.push_back("undecodable message: " + error.message());
        else
            relay.receive(id(peer), message, m_now);
    });
}

// Stub of the log

Revision RelaySimulation::publish()
{
    m_history.push_back(m_now);
    updateControlHost(0, false);
    for (size_t host = 1; host < m_options.controlHosts; ++host)
        schedule(m_now + m_options.latency, [this, host] { updateControlHost(host, false); });
    return published();
}

void RelaySimulation::updateControlHost(size_t host, bool withProof)
{
    Host& state = m_hosts[host];
    if (!canReach(host, 0) || !m_hosts[0].isAlive || state.isPartitionedFromLeader)
        return;
    input(host, state.generation, [this, host, withProof, sentAt = m_now](Relay& relay) {
        HeldState content { published(), digestOf(published()) };
        m_hosts[host].content = content;
        relay.setLocal(content.revision, content.digest, m_term, m_now);
        if (withProof)
            relay.setProof(sentAt - m_options.latency, m_now);
    });
}

void RelaySimulation::refreshControlProofs()
{
    for (size_t host = 0; m_hasQuorum && host < m_options.controlHosts; ++host)
        if (isRunning(host))
            updateControlHost(host, true);
    schedule(m_now + m_options.proofInterval, [this] { refreshControlProofs(); });
}

Revision RelaySimulation::publishedAt(TimePoint at) const
{
    auto end = std::upper_bound(m_history.begin(), m_history.end(), at);
    return Revision(static_cast<uint64_t>(end - m_history.begin()));
}

// Checks

void RelaySimulation::checkInvariants(size_t host)
{
    Host& state = m_hosts[host];
    const Relay& relay = *state.relay;
    Revision held = relay.held().revision;
    const auto violated = [&](std::string_view rule) {
        m_violations.push_back(id(host).value() + ": " + std::string(rule) + ", has revision "
            + std::to_string(held.value()) + " of " + std::to_string(published().value()));
    };
    if (held < state.highestSinceStart)
        violated("reverted to an older revision");
    if (held > published())
        violated("has a revision that was not published");
    if (relay.provenAt() && publishedAt(*relay.provenAt()) > held)
        violated("claims a proof time at which a newer revision was published");
    if (relay.isProvenCurrent() && held < state.highestEver)
        violated("has an older revision proven current than before its restart");
    state.highestSinceStart = std::max(state.highestSinceStart, held);
    // A daemon serves a revision only after it has been proven current since its start. Falling back from a
    // revision that was never served is no violation.
    if (relay.isProvenCurrent())
        state.highestEver = std::max(state.highestEver, held);
    m_maxSnapshots = std::max(m_maxSnapshots, relay.snapshotsInFlight());
}

std::optional<size_t> RelaySimulation::parentOf(size_t host) const
{
    std::optional<HostId> parent = m_hosts[host].relay->parent();
    return parent ? std::optional(indexOf(*parent)) : std::nullopt;
}

std::optional<unsigned> RelaySimulation::depth(size_t host) const
{
    unsigned result = 0;
    for (size_t current = host; current >= m_options.controlHosts; ++result) {
        std::optional<size_t> parent = parentOf(current);
        if (!parent || result > m_hosts.size())
            return std::nullopt;
        current = *parent;
    }
    return result;
}

RelayCounters RelaySimulation::totals() const
{
    RelayCounters total;
    for (const Host& host : m_hosts) {
        const RelayCounters& one = host.relay->counters();
        total.parentsSelected += one.parentsSelected;
        total.parentsLost += one.parentsLost;
        total.attempts += one.attempts;
        total.attemptsFailed += one.attemptsFailed;
        total.childrenRefused += one.childrenRefused;
        total.staleTerm += one.staleTerm;
        total.staleSession += one.staleSession;
        total.invalidEcho += one.invalidEcho;
        total.digestMismatch += one.digestMismatch;
        total.revisionsApplied += one.revisionsApplied;
        total.revisionsRefused += one.revisionsRefused;
        total.deltasSent += one.deltasSent;
        total.snapshotsSent += one.snapshotsSent;
        total.pauses += one.pauses;
    }
    return total;
}

bool RelaySimulation::allHoldPublished() const
{
    for (size_t host = firstDaemon(); host < m_hosts.size(); ++host)
        if (isRunning(host) && m_hosts[host].relay->held().revision != published())
            return false;
    return true;
}

bool RelaySimulation::allProven(Duration limit) const
{
    for (size_t host = firstDaemon(); host < m_hosts.size(); ++host) {
        std::optional<TimePoint> proof = m_hosts[host].relay->provenAt();
        if (isRunning(host) && (!proof || m_now - *proof > limit))
            return false;
    }
    return true;
}

} // namespace dragonflylane
