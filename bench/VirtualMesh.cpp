#include "bench/VirtualMesh.h"

#include "dragonflylane/GossipWire.h"

#include <algorithm>

namespace dragonflylane {

namespace {

    constexpr size_t seedCount = 2;
    // Approximate capacity of a socket's receive buffer, in datagrams.
    constexpr size_t maxBacklog = 500;

} // namespace

VirtualMesh::VirtualMesh(VirtualMeshOptions options)
    : m_options(options)
    , m_random(options.seed)
{
}

Endpoint VirtualMesh::addressOf(size_t daemon)
{
    std::string address = "10";
    for (size_t divisor : { 65536, 256, 1 })
        address += "." + std::to_string(daemon / divisor % 256);
    return { .address = address, .port = 7000 };
}

size_t VirtualMesh::start()
{
    size_t daemon = m_nodes.size();
    m_nodes.emplace_back();
    m_byAddress[addressOf(daemon).address] = daemon;
    create(daemon);
    return daemon;
}

void VirtualMesh::start(size_t count)
{
    for (size_t i = 0; i < count; ++i)
        start();
}

void VirtualMesh::create(size_t daemon)
{
    MembershipOptions options = m_options.membership;
    options.seed = m_random();
    MemberRecord self { .host = hostOf(daemon),
        .address = addressOf(daemon),
        .dataCentre = DataCentreName("centre-" + std::to_string(daemon % m_options.dataCentres)),
        .region = RegionName("lk-central"),
        .upstream = UpstreamRecord { .id = UpstreamId("orders-" + std::to_string(daemon)),
            .service = ServiceName("orders"),
            .phase = UpstreamPhase::Ready,
            .slots = 12,
            .incarnation = Incarnation(1) } };
    m_nodes[daemon].isPaused = false;
    m_nodes[daemon].backlog.clear();
    m_nodes[daemon].membership = std::make_unique<Membership>(options, std::move(self), m_now);
    std::vector<Endpoint> seeds;
    for (size_t i = 0; i < seedCount; ++i)
        seeds.push_back(addressOf(i));
    call(daemon, [&](Membership& membership, TimePoint now) { membership.join(seeds, now); });
}

void VirtualMesh::restart(size_t daemon)
{
    stop(daemon);
    create(daemon);
}

void VirtualMesh::shareAllRecords()
{
    GossipRecords all { .page = GossipPageEnd {} };
    for (const Node& node : m_nodes)
        all.piggyback.records.push_back(node.membership->self());
    for (size_t daemon = 0; daemon < size(); ++daemon) {
        call(daemon, [&](Membership& membership, TimePoint now) {
            membership.join({}, now);
            membership.receive(addressOf(daemon), all, now);
        });
    }
}

void VirtualMesh::stop(size_t daemon)
{
    m_nodes[daemon].membership.reset();
}

void VirtualMesh::pause(size_t daemon)
{
    m_nodes[daemon].isPaused = true;
}

void VirtualMesh::resume(size_t daemon)
{
    Node& node = m_nodes[daemon];
    node.isPaused = false;
    call(daemon, [](Membership& membership, TimePoint now) { membership.tick(now); });
    for (const auto& [from, bytes] : std::exchange(node.backlog, {}))
        deliver(daemon, from, bytes);
}

void VirtualMesh::call(size_t daemon, const std::function<void(Membership&, TimePoint)>& function)
{
    function(at(daemon), m_now);
    processOutputs(daemon);
}

void VirtualMesh::processOutputs(size_t daemon)
{
    Membership& membership = at(daemon);
    for (MembershipOutput& output : membership.takeOutputs()) {
        if (m_observer)
            m_observer(daemon, output);
        if (const auto* datagram = std::get_if<GossipDatagram>(&output))
            transmit(daemon, *datagram);
    }
    TimePoint wakeup = std::max(membership.nextWakeup(), m_now + std::chrono::microseconds(100));
    if (wakeup == m_nodes[daemon].wakeup)
        return;
    m_nodes[daemon].wakeup = wakeup;
    m_events.push({ .at = wakeup, .order = ++m_order, .daemon = daemon });
}

void VirtualMesh::transmit(size_t from, const GossipDatagram& datagram)
{
    std::string bytes = encode(datagram.message);
    ++m_traffic.datagrams;
    m_traffic.bytes += bytes.size() + gossipTransportOverhead;
    m_traffic.largest = std::max<uint64_t>(m_traffic.largest, bytes.size() + gossipTransportOverhead);
    auto to = m_byAddress.find(datagram.to.address);
    if (to == m_byAddress.end() || (m_reachable && !m_reachable(from, to->second)))
        return;
    if (from % m_options.dataCentres != to->second % m_options.dataCentres)
        m_traffic.crossDataCentreBytes += bytes.size() + gossipTransportOverhead;
    for (size_t copies = chance(m_options.duplication) ? 2 : 1; copies > 0; --copies) {
        if (chance(m_options.loss))
            continue;
        std::uniform_int_distribution<Duration::rep> latency(
            m_options.minLatency.count(), m_options.maxLatency.count());
        m_events.push({ .at = m_now + Duration(latency(m_random)),
            .order = ++m_order,
            .daemon = to->second,
            .bytes = bytes,
            .from = from });
    }
}

bool VirtualMesh::chance(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

void VirtualMesh::process(Event& event)
{
    Node& node = m_nodes[event.daemon];
    if (!node.membership)
        return;
    if (!event.bytes.empty()) {
        if (!node.isPaused)
            deliver(event.daemon, addressOf(event.from), event.bytes);
        else if (node.backlog.size() < maxBacklog)
            node.backlog.emplace_back(addressOf(event.from), std::move(event.bytes));
        return;
    }
    if (node.isPaused || node.wakeup != event.at)
        return;
    node.wakeup = {};
    call(event.daemon, [](Membership& membership, TimePoint now) { membership.tick(now); });
}

void VirtualMesh::deliver(size_t daemon, const Endpoint& from, const std::string& bytes)
{
    GossipMessage message;
    if (decode(bytes, message)) {
        ++m_traffic.undecodable;
        return;
    }
    call(daemon, [&](Membership& membership, TimePoint now) { membership.receive(from, message, now); });
}

void VirtualMesh::runFor(Duration duration)
{
    TimePoint end = m_now + duration;
    while (!m_events.empty() && m_events.top().at <= end) {
        // The top of a priority queue is const. Moving from it is safe because it is popped before the next comparison.
        Event event = std::move(const_cast<Event&>(m_events.top()));
        m_events.pop();
        m_now = event.at;
        process(event);
    }
    m_now = end;
}

std::optional<Duration> VirtualMesh::runUntil(const std::function<bool()>& condition, Duration limit, Duration step)
{
    TimePoint begin = m_now;
    while (!condition()) {
        if (m_now - begin >= limit)
            return std::nullopt;
        runFor(step);
    }
    return m_now - begin;
}

const MemberRecord* VirtualMesh::view(size_t observer, size_t subject) const
{
    const auto& members = m_nodes[observer].membership->members();
    auto it = members.find(hostOf(subject));
    return it == members.end() ? nullptr : &it->second;
}

std::optional<MemberState> VirtualMesh::stateSeen(size_t observer, size_t subject) const
{
    const MemberRecord* record = view(observer, subject);
    return record ? std::optional(record->state) : std::nullopt;
}

bool VirtualMesh::isConverged() const
{
    auto isRunning = [](const Node& node) { return node.membership != nullptr; };
    auto running = static_cast<size_t>(std::count_if(m_nodes.begin(), m_nodes.end(), isRunning));
    std::optional<uint64_t> digest;
    for (const Node& node : m_nodes) {
        if (!node.membership || node.isPaused)
            continue;
        if (!digest)
            digest = node.membership->rootDigest();
        if (node.membership->presentCount() != running || node.membership->rootDigest() != digest)
            return false;
    }
    return true;
}

bool VirtualMesh::allSee(size_t subject, MemberState state) const
{
    for (size_t observer = 0; observer < m_nodes.size(); ++observer) {
        if (observer != subject && isRunning(observer) && stateSeen(observer, subject) != state)
            return false;
    }
    return true;
}

} // namespace dragonflylane
