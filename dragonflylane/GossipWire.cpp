#include "dragonflylane/GossipWire.h"

#include "dragonflylane/ResultCode.h"
#include "dragonflylane/ThriftCodec.h"
#include "gen-cpp/gossip_types.h"

#include <utility>

namespace dragonflylane {

namespace {

    // Counters never get this high in practice; rejecting higher values prevents overflow on increment.
    constexpr uint64_t maxCounter = uint64_t { 1 } << 62;
    // Longest text form of an IPv6 address.
    constexpr size_t maxAddressLength = 45;
    // An entry of a list takes at least one byte in the compact protocol, so no valid message has more entries.
    constexpr size_t maxContainerSize = maxGossipMessageSize;

    // Sizes of encoded fields.
    constexpr size_t fieldHeaderSize = 1;
    constexpr size_t stopSize = 1;
    constexpr size_t boolFieldSize = 1;

    size_t varintSize(uint64_t value)
    {
        size_t size = 1;
        for (; value > 0x7f; value >>= 7)
            ++size;
        return size;
    }

    size_t numberSize(uint64_t value)
    {
        auto number = static_cast<int64_t>(value);
        uint64_t zigzag = (value << 1) ^ static_cast<uint64_t>(number >> 63);
        return fieldHeaderSize + varintSize(zigzag);
    }

    size_t stringSize(const std::string& text)
    {
        return fieldHeaderSize + varintSize(text.size()) + text.size();
    }

    wire::GossipDeparture toWire(const UpstreamDeparture& departure)
    {
        wire::GossipDeparture out;
        out.process = static_cast<int64_t>(departure.process.value());
        out.sequence = static_cast<int64_t>(departure.sequence.value());
        out.isFinal = departure.isFinal;
        return out;
    }

    UpstreamDeparture readDeparture(const wire::GossipDeparture& in)
    {
        return { .process = ProcessId(static_cast<uint64_t>(in.process)),
            .sequence = Sequence(static_cast<uint64_t>(in.sequence)),
            .isFinal = in.isFinal };
    }

    wire::GossipMemberRecord toWire(const MemberRecord& record)
    {
        wire::GossipMemberRecord out;
        out.host = record.host.value();
        out.address = record.address.address;
        out.port = record.address.port;
        out.dataCentre = record.dataCentre.value();
        out.region = record.region.value();
        out.life = static_cast<int64_t>(record.bootId.value());
        out.incarnation = static_cast<int64_t>(record.incarnation.value());
        out.sequence = static_cast<int64_t>(record.sequence.value());
        out.state = static_cast<int32_t>(record.state);
        out.controlRole = static_cast<int32_t>(record.controlRole);
        if (!record.upstream)
            return out;
        wire::GossipUpstream upstream;
        upstream.id = record.upstream->id.value();
        upstream.serviceName = record.upstream->service.value();
        upstream.phase = static_cast<int32_t>(record.upstream->phase);
        upstream.slots = static_cast<int32_t>(record.upstream->slots);
        upstream.incarnation = static_cast<int64_t>(record.upstream->incarnation.value());
        if (record.upstream->departure)
            upstream.__set_departure(toWire(*record.upstream->departure));
        if (!record.upstream->version.isEmpty())
            upstream.__set_version(record.upstream->version.value());
        out.__set_upstream(upstream);
        return out;
    }

    // The readers below return false for a value out of range.

    bool readEndpoint(const std::string& address, int32_t port, Endpoint& out)
    {
        if (port <= 0 || port > UINT16_MAX)
            return false;
        out = { .address = address, .port = static_cast<uint16_t>(port) };
        return true;
    }

    bool readUpstream(const wire::GossipUpstream& in, UpstreamRecord& out)
    {
        out.id = UpstreamId(in.id);
        out.service = ServiceName(in.serviceName);
        out.slots = static_cast<uint32_t>(in.slots);
        out.incarnation = Incarnation(static_cast<uint64_t>(in.incarnation));
        if (in.__isset.departure)
            out.departure = readDeparture(in.departure);
        if (in.__isset.version)
            out.version = UpstreamVersion(in.version);
        return readEnum(in.phase, UpstreamPhase::Stopped, out.phase);
    }

    bool readRecord(const wire::GossipMemberRecord& in, MemberRecord& out)
    {
        out.host = HostId(in.host);
        out.dataCentre = DataCentreName(in.dataCentre);
        out.region = RegionName(in.region);
        out.bootId = BootId(static_cast<uint64_t>(in.life));
        out.incarnation = Incarnation(static_cast<uint64_t>(in.incarnation));
        out.sequence = Sequence(static_cast<uint64_t>(in.sequence));
        if (in.__isset.upstream && !readUpstream(in.upstream, out.upstream.emplace()))
            return false;
        return readEndpoint(in.address, in.port, out.address) && readEnum(in.state, MemberState::Left, out.state)
            && readEnum(in.controlRole, ControlRole::Voter, out.controlRole) && isEncodable(out);
    }

    bool readBroadcast(const wire::GossipBroadcast& in, GossipBroadcast& out)
    {
        out.origin = HostId(in.origin);
        out.bootId = BootId(static_cast<uint64_t>(in.life));
        out.number = static_cast<uint64_t>(in.number);
        out.payload = in.payload;
        return !in.origin.empty() && in.origin.size() <= maxGossipNameLength
            && in.payload.size() <= maxGossipPayloadSize;
    }

    wire::GossipCargo toWire(const GossipPiggyback& piggyback)
    {
        wire::GossipCargo out;
        out.__isset.records = !piggyback.records.empty();
        out.__isset.broadcasts = !piggyback.broadcasts.empty();
        out.records.reserve(piggyback.records.size());
        for (const MemberRecord& record : piggyback.records)
            out.records.push_back(toWire(record));
        for (const GossipBroadcast& broadcast : piggyback.broadcasts) {
            wire::GossipBroadcast item;
            item.origin = broadcast.origin.value();
            item.life = static_cast<int64_t>(broadcast.bootId.value());
            item.number = static_cast<int64_t>(broadcast.number);
            item.payload = broadcast.payload;
            out.broadcasts.push_back(std::move(item));
        }
        return out;
    }

    // One odd entry, such as one of a newer build, must not hide the others from this daemon.
    void readPiggyback(const wire::GossipCargo& in, GossipPiggyback& out)
    {
        out.records.reserve(in.records.size());
        for (const wire::GossipMemberRecord& item : in.records) {
            MemberRecord record;
            if (readRecord(item, record))
                out.records.push_back(std::move(record));
        }
        out.broadcasts.reserve(in.broadcasts.size());
        for (const wire::GossipBroadcast& item : in.broadcasts) {
            GossipBroadcast broadcast;
            if (readBroadcast(item, broadcast))
                out.broadcasts.push_back(std::move(broadcast));
        }
        out.invalidCount = in.records.size() + in.broadcasts.size() - out.records.size() - out.broadcasts.size();
    }

    template <typename WireMessage> void setPiggyback(WireMessage& out, const GossipPiggyback& piggyback)
    {
        if (!piggyback.isEmpty())
            out.__set_cargo(toWire(piggyback));
    }

    // One overload of write() and read() for each alternative of GossipMessage.

    void write(const GossipPing& in, wire::GossipEnvelope& out)
    {
        out.__isset.ping = true;
        out.ping.number = static_cast<int32_t>(in.number);
        out.ping.target = static_cast<int32_t>(in.target);
        setPiggyback(out.ping, in.piggyback);
    }

    void write(const GossipIndirectPing& in, wire::GossipEnvelope& out)
    {
        out.__isset.indirectPing = true;
        out.indirectPing.number = static_cast<int32_t>(in.number);
        out.indirectPing.target = static_cast<int32_t>(in.target);
        out.indirectPing.address = in.targetAddress.address;
        out.indirectPing.port = in.targetAddress.port;
        setPiggyback(out.indirectPing, in.piggyback);
    }

    void write(const GossipAcknowledgement& in, wire::GossipEnvelope& out)
    {
        out.__isset.acknowledgement = true;
        out.acknowledgement.number = static_cast<int32_t>(in.number);
        setPiggyback(out.acknowledgement, in.piggyback);
    }

    void write(const GossipDigestRequest& in, wire::GossipEnvelope& out)
    {
        out.__isset.digestRequest = true;
        wire::GossipDigestRequest& request = out.digestRequest;
        if (in.root)
            request.__set_root(static_cast<int64_t>(*in.root));
        if (!in.wanted.empty())
            request.__set_wanted({ in.wanted.begin(), in.wanted.end() });
        if (in.page) {
            request.__isset.page = true;
            request.page.number = static_cast<int32_t>(in.page->number);
            request.page.first = static_cast<int64_t>(in.page->first);
            request.page.last = static_cast<int64_t>(in.page->last);
            request.page.contactsOnly = in.page->contactsOnly;
            request.page.acceptPartial = in.page->acceptPartial;
        }
        if (in.sender)
            request.__set_sender(toWire(*in.sender));
    }

    void write(const GossipDigest& in, wire::GossipEnvelope& out)
    {
        out.__isset.digest = true;
        wire::GossipDigest& digest = out.digest;
        digest.first = static_cast<int64_t>(in.first);
        digest.last = static_cast<int64_t>(in.last);
        digest.__isset.buckets = !in.buckets.empty();
        for (uint32_t bucket : in.buckets) {
            for (int shift = 24; shift >= 0; shift -= 8)
                digest.buckets.push_back(static_cast<char>(bucket >> shift));
        }
        digest.__isset.entries = !in.entries.empty();
        for (const GossipDigestEntry& entry : in.entries) {
            wire::GossipDigestEntry& item = digest.entries.emplace_back();
            item.hostHash = static_cast<int64_t>(entry.hostHash);
            item.incarnation = static_cast<int64_t>(entry.incarnation.value());
            item.sequence = static_cast<int64_t>(entry.sequence.value());
            item.state = static_cast<int32_t>(entry.state);
            item.tieBreak = static_cast<int32_t>(entry.tieBreak);
        }
    }

    void write(const GossipRecords& in, wire::GossipEnvelope& out)
    {
        out.__isset.records = true;
        setPiggyback(out.records, in.piggyback);
        if (!in.page)
            return;
        out.records.__isset.page = true;
        out.records.page.number = static_cast<int32_t>(in.page->number);
        out.records.page.nextHash = static_cast<int64_t>(in.page->next);
        out.records.page.isLast = in.page->isLast;
    }

    bool read(const wire::GossipPing& in, GossipPing& out)
    {
        out.number = static_cast<uint32_t>(in.number);
        out.target = static_cast<uint32_t>(in.target);
        readPiggyback(in.cargo, out.piggyback);
        return true;
    }

    bool read(const wire::GossipIndirectPing& in, GossipIndirectPing& out)
    {
        out.number = static_cast<uint32_t>(in.number);
        out.target = static_cast<uint32_t>(in.target);
        // A datagram will be sent to this address, so require a numeric one.
        if (!readEndpoint(in.address, in.port, out.targetAddress) || in.address.size() > maxAddressLength
            || !Endpoint::parse(out.targetAddress.toString()))
            return false;
        readPiggyback(in.cargo, out.piggyback);
        return true;
    }

    bool read(const wire::GossipAcknowledgement& in, GossipAcknowledgement& out)
    {
        out.number = static_cast<uint32_t>(in.number);
        readPiggyback(in.cargo, out.piggyback);
        return true;
    }

    bool read(const wire::GossipDigestRequest& in, GossipDigestRequest& out)
    {
        if (in.__isset.root)
            out.root = static_cast<uint64_t>(in.root);
        out.wanted.assign(in.wanted.begin(), in.wanted.end());
        if (in.__isset.page)
            out.page = GossipPageRequest { .number = static_cast<uint32_t>(in.page.number),
                .first = static_cast<uint64_t>(in.page.first),
                .last = static_cast<uint64_t>(in.page.last),
                .contactsOnly = in.page.contactsOnly,
                .acceptPartial = in.page.acceptPartial };
        return !in.__isset.sender || readRecord(in.sender, out.sender.emplace());
    }

    bool read(const wire::GossipDigest& in, GossipDigest& out)
    {
        if (!in.buckets.empty() && in.buckets.size() != gossipBucketCount * sizeof(uint32_t))
            return false;
        for (size_t i = 0; i < in.buckets.size(); i += sizeof(uint32_t)) {
            uint32_t bucket = 0;
            for (size_t j = 0; j < sizeof(uint32_t); ++j)
                bucket = bucket << 8 | static_cast<uint8_t>(in.buckets[i + j]);
            out.buckets.push_back(bucket);
        }
        out.first = static_cast<uint64_t>(in.first);
        out.last = static_cast<uint64_t>(in.last);
        for (const wire::GossipDigestEntry& item : in.entries) {
            GossipDigestEntry& entry = out.entries.emplace_back();
            entry.hostHash = static_cast<uint64_t>(item.hostHash);
            entry.incarnation = Incarnation(static_cast<uint64_t>(item.incarnation));
            entry.sequence = Sequence(static_cast<uint64_t>(item.sequence));
            entry.tieBreak = static_cast<uint32_t>(item.tieBreak);
            if (!readEnum(item.state, MemberState::Left, entry.state))
                return false;
        }
        return true;
    }

    bool read(const wire::GossipRecords& in, GossipRecords& out)
    {
        if (in.__isset.page)
            out.page = GossipPageEnd { .number = static_cast<uint32_t>(in.page.number),
                .next = static_cast<uint64_t>(in.page.nextHash),
                .isLast = in.page.isLast };
        readPiggyback(in.cargo, out.piggyback);
        return true;
    }

    template <typename Message, typename WireMessage> bool readInto(const WireMessage& in, GossipMessage& out)
    {
        Message message;
        if (!read(in, message))
            return false;
        out = std::move(message);
        return true;
    }

    bool readEnvelope(const wire::GossipEnvelope& in, GossipMessage& out)
    {
        const auto& isSet = in.__isset;
        if (isSet.ping + isSet.indirectPing + isSet.acknowledgement + isSet.digestRequest + isSet.digest + isSet.records
            != 1)
            return false;
        if (isSet.ping)
            return readInto<GossipPing>(in.ping, out);
        if (isSet.indirectPing)
            return readInto<GossipIndirectPing>(in.indirectPing, out);
        if (isSet.acknowledgement)
            return readInto<GossipAcknowledgement>(in.acknowledgement, out);
        if (isSet.digestRequest)
            return readInto<GossipDigestRequest>(in.digestRequest, out);
        if (isSet.digest)
            return readInto<GossipDigest>(in.digest, out);
        return readInto<GossipRecords>(in.records, out);
    }

} // namespace

std::string encode(const GossipMessage& message)
{
    wire::GossipEnvelope envelope;
    std::visit([&](const auto& alternative) { write(alternative, envelope); }, message);
    return encodeThrift(envelope);
}

std::error_code decode(std::string_view bytes, GossipMessage& message)
{
    wire::GossipEnvelope envelope;
    if (auto error = decodeThrift(bytes, { maxGossipMessageSize, maxGossipMessageSize, maxContainerSize }, envelope))
        return error;
    GossipMessage decoded;
    if (!readEnvelope(envelope, decoded))
        return ResultCode::MalformedFrame;
    message = std::move(decoded);
    return {};
}

size_t encodedSizeBound(const MemberRecord& record)
{
    size_t size = stringSize(record.host.value()) + stringSize(record.address.address) + numberSize(record.address.port)
        + stringSize(record.dataCentre.value()) + stringSize(record.region.value()) + numberSize(record.bootId.value())
        + numberSize(record.incarnation.value()) + numberSize(record.sequence.value())
        + numberSize(static_cast<uint64_t>(record.state)) + numberSize(static_cast<uint64_t>(record.controlRole))
        + stopSize;
    if (!record.upstream)
        return size;
    const UpstreamRecord& upstream = *record.upstream;
    if (upstream.departure)
        size += fieldHeaderSize + numberSize(upstream.departure->process.value())
            + numberSize(upstream.departure->sequence.value()) + boolFieldSize + stopSize;
    if (!upstream.version.isEmpty())
        size += stringSize(upstream.version.value());
    return size + fieldHeaderSize + stringSize(upstream.id.value()) + stringSize(upstream.service.value())
        + numberSize(static_cast<uint64_t>(upstream.phase)) + numberSize(upstream.slots)
        + numberSize(upstream.incarnation.value()) + stopSize;
}

size_t encodedSizeBound(const GossipBroadcast& broadcast)
{
    return stringSize(broadcast.origin.value()) + numberSize(broadcast.bootId.value()) + numberSize(broadcast.number)
        + stringSize(broadcast.payload) + stopSize;
}

bool isEncodable(const MemberRecord& record)
{
    auto fits = [](const std::string& text) { return text.size() <= maxGossipNameLength; };
    if (record.host.isEmpty() || !fits(record.host.value()) || !fits(record.dataCentre.value())
        || !fits(record.region.value()))
        return false;
    if (record.upstream
        && (!fits(record.upstream->id.value()) || !fits(record.upstream->service.value())
            || !fits(record.upstream->version.value())))
        return false;
    return record.address.isSet() && record.address.address.size() <= maxAddressLength
        && Endpoint::parse(record.address.toString()) && record.incarnation.value() <= maxCounter
        && record.sequence.value() <= maxCounter;
}

} // namespace dragonflylane
