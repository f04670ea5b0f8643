#include "dragonflylane/RelayWire.h"

#include "dragonflylane/ThriftCodec.h"
#include "gen-cpp/relay_types.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace dragonflylane {

namespace {

    constexpr size_t digestBytes = 16;
    constexpr size_t maxHostIdBytes = 255;
    /// Includes space for the fields around the longest payload.
    constexpr size_t maxMessageBytes = maxRelayPayloadBytes + (size_t { 64 } << 10U);

    std::string toWire(const Digest& digest)
    {
        std::string bytes(digestBytes, '\0');
        for (size_t i = 0; i < 8; ++i) {
            bytes[i] = static_cast<char>(digest.high() >> (56 - 8 * i));
            bytes[8 + i] = static_cast<char>(digest.low() >> (56 - 8 * i));
        }
        return bytes;
    }

    wire::RelayRevisionRefusal toWire(const RevisionRefusal& refusal)
    {
        wire::RelayRevisionRefusal result;
        result.__set_hostId(refusal.host.value());
        result.__set_revision(static_cast<int64_t>(refusal.revision.value()));
        result.__set_code(static_cast<int32_t>(refusal.code));
        return result;
    }

    wire::RelayAckSummary toWire(const AckSummary& summary)
    {
        wire::RelayAckSummary result;
        result.__set_lowest(static_cast<int64_t>(summary.lowest.value()));
        result.__set_hosts(static_cast<int32_t>(summary.count));
        for (const Straggler& straggler : summary.stragglers) {
            wire::RelayStraggler& item = result.stragglers.emplace_back();
            item.__set_hostId(straggler.host.value());
            item.__set_revision(static_cast<int64_t>(straggler.held.value()));
        }
        for (const RevisionRefusal& refusal : summary.refusals)
            result.refusals.push_back(toWire(refusal));
        result.__isset.stragglers = !result.stragglers.empty();
        result.__isset.refusals = !result.refusals.empty();
        return result;
    }

    /// Fills the field of the union that belongs to the message.
    class ToWire {
    public:
        explicit ToWire(wire::RelayMessage& result)
            : m_result(result)
        {
        }

        void operator()(const RelayAttach& message)
        {
            m_result.__isset.attach = true;
            m_result.attach.session = static_cast<int32_t>(message.session);
            m_result.attach.timestamp = static_cast<int64_t>(message.timestamp);
            m_result.attach.revision = static_cast<int64_t>(message.held.revision.value());
            m_result.attach.digest = toWire(message.held.digest);
            m_result.attach.term = static_cast<int64_t>(message.term.value());
            m_result.attach.summary = toWire(message.summary);
        }

        void operator()(const RelayChildHeartbeat& message)
        {
            m_result.__isset.childHeartbeat = true;
            wire::RelayChildHeartbeat& out = m_result.childHeartbeat;
            out.session = static_cast<int32_t>(message.session);
            out.timestamp = static_cast<int64_t>(message.timestamp);
            if (message.held) {
                out.__set_revision(static_cast<int64_t>(message.held->revision.value()));
                out.__set_digest(toWire(message.held->digest));
            }
            if (message.summary)
                out.__set_summary(toWire(*message.summary));
            if (message.refused)
                out.__set_refused(toWire(*message.refused));
            if (message.wantsSnapshot)
                out.__set_wantsSnapshot(true);
        }

        void operator()(const RelayDetach& message)
        {
            m_result.__isset.detach = true;
            m_result.detach.session = static_cast<int32_t>(message.session);
        }

        void operator()(const RelayParentHeartbeat& message)
        {
            m_result.__isset.parentHeartbeat = true;
            wire::RelayParentHeartbeat& out = m_result.parentHeartbeat;
            out.session = static_cast<int32_t>(message.session);
            out.echo = static_cast<int64_t>(message.echo);
            if (message.proofAge)
                out.__set_proofAge(static_cast<int64_t>(*message.proofAge));
            if (message.sinceProof)
                out.__set_sinceProof(static_cast<int64_t>(*message.sinceProof));
            if (message.term)
                out.__set_term(static_cast<int64_t>(message.term->value()));
            if (message.held) {
                out.__set_revision(static_cast<int64_t>(message.held->revision.value()));
                out.__set_digest(toWire(message.held->digest));
            }
            if (message.payload) {
                out.__isset.payload = true;
                out.payload.kind = static_cast<int32_t>(message.payload->kind);
                out.payload.content = message.payload->bytes;
                out.payload.revision = static_cast<int64_t>(message.payload->to.revision.value());
                out.payload.digest = toWire(message.payload->to.digest);
            }
        }

        void operator()(const RelayRefusal& message)
        {
            m_result.__isset.refusal = true;
            m_result.refusal.session = static_cast<int32_t>(message.session);
            m_result.refusal.code = static_cast<int32_t>(message.code);
            m_result.refusal.retryAfter = static_cast<int64_t>(message.retryAfter);
        }

        void operator()(const RelayLeaving& message)
        {
            m_result.__isset.leaving = true;
            m_result.leaving.session = static_cast<int32_t>(message.session);
        }

    private:
        wire::RelayMessage& m_result;
    };

    /// Converts decoded fields and records whether any of them was out of range.
    class FromWire {
    public:
        bool isValid() const { return m_valid; }

        uint64_t number(int64_t value)
        {
            m_valid = m_valid && value >= 0;
            return static_cast<uint64_t>(value);
        }

        uint32_t number(int32_t value)
        {
            m_valid = m_valid && value >= 0;
            return static_cast<uint32_t>(value);
        }

        Digest digest(const std::string& bytes)
        {
            if (bytes.size() != digestBytes) {
                m_valid = false;
                return {};
            }
            uint64_t high = 0;
            uint64_t low = 0;
            for (size_t i = 0; i < 8; ++i) {
                high = (high << 8U) | static_cast<unsigned char>(bytes[i]);
                low = (low << 8U) | static_cast<unsigned char>(bytes[8 + i]);
            }
            return { high, low };
        }

        HeldState held(int64_t revision, const std::string& bytes)
        {
            return { Revision(number(revision)), digest(bytes) };
        }

        HostId host(const std::string& text)
        {
            m_valid = m_valid && !text.empty() && text.size() <= maxHostIdBytes;
            return HostId(text);
        }

        ResultCode code(int32_t value)
        {
            m_valid = m_valid && value >= 0 && value <= std::numeric_limits<uint16_t>::max();
            return static_cast<ResultCode>(value);
        }

        RevisionRefusal refusal(const wire::RelayRevisionRefusal& in)
        {
            return { host(in.hostId), Revision(number(in.revision)), code(in.code) };
        }

        AckSummary summary(const wire::RelayAckSummary& in)
        {
            AckSummary result;
            result.lowest = Revision(number(in.lowest));
            result.count = number(in.hosts);
            m_valid = m_valid && in.stragglers.size() <= maxNamedHosts && in.refusals.size() <= maxNamedHosts;
            for (const wire::RelayStraggler& straggler : in.stragglers)
                result.stragglers.push_back({ host(straggler.hostId), Revision(number(straggler.revision)) });
            for (const wire::RelayRevisionRefusal& item : in.refusals)
                result.refusals.push_back(refusal(item));
            return result;
        }

        RelayPayload payload(wire::RelayPayload& in)
        {
            m_valid = m_valid && in.kind >= 0 && in.kind <= static_cast<int32_t>(RelayPayload::Kind::Snapshot);
            RelayPayload result;
            result.kind = static_cast<RelayPayload::Kind>(in.kind);
            result.bytes = std::move(in.content);
            result.to = held(in.revision, in.digest);
            return result;
        }

        RelayAttach convert(const wire::RelayAttach& in)
        {
            return { number(in.session), number(in.timestamp), held(in.revision, in.digest), Term(number(in.term)),
                summary(in.summary) };
        }

        RelayChildHeartbeat convert(const wire::RelayChildHeartbeat& in)
        {
            RelayChildHeartbeat result;
            result.session = number(in.session);
            result.timestamp = number(in.timestamp);
            if (in.__isset.revision || in.__isset.digest)
                result.held = held(in.revision, in.digest);
            if (in.__isset.summary)
                result.summary = summary(in.summary);
            if (in.__isset.refused)
                result.refused = refusal(in.refused);
            result.wantsSnapshot = in.__isset.wantsSnapshot && in.wantsSnapshot;
            return result;
        }

        RelayParentHeartbeat convert(wire::RelayParentHeartbeat& in)
        {
            RelayParentHeartbeat result;
            result.session = number(in.session);
            result.echo = number(in.echo);
            if (in.__isset.proofAge)
                result.proofAge = number(in.proofAge);
            if (in.__isset.sinceProof)
                result.sinceProof = number(in.sinceProof);
            if (in.__isset.term)
                result.term = Term(number(in.term));
            if (in.__isset.revision || in.__isset.digest)
                result.held = held(in.revision, in.digest);
            if (in.__isset.payload)
                result.payload = payload(in.payload);
            return result;
        }

        RelayRefusal convert(const wire::RelayRefusal& in)
        {
            return { number(in.session), code(in.code), number(in.retryAfter) };
        }

        RelayMessage convert(wire::RelayMessage& in)
        {
            const auto& set = in.__isset;
            int fields = set.attach + set.childHeartbeat + set.detach + set.parentHeartbeat + set.refusal + set.leaving;
            m_valid = m_valid && fields == 1;
            if (set.attach)
                return convert(in.attach);
            if (set.childHeartbeat)
                return convert(in.childHeartbeat);
            if (set.detach)
                return RelayDetach { number(in.detach.session) };
            if (set.parentHeartbeat)
                return convert(in.parentHeartbeat);
            if (set.refusal)
                return convert(in.refusal);
            return RelayLeaving { number(in.leaving.session) };
        }

    private:
        bool m_valid { true };
    };

} // namespace

std::string encode(const RelayMessage& message)
{
    wire::RelayMessage content;
    std::visit(ToWire(content), message);
    return encodeThrift(content);
}

std::error_code decode(std::string_view bytes, RelayMessage& message)
{
    wire::RelayMessage content;
    if (auto error = decodeThrift(bytes, { maxMessageBytes, maxRelayPayloadBytes, maxNamedHosts }, content))
        return error;
    FromWire converter;
    RelayMessage decoded = converter.convert(content);
    if (!converter.isValid())
        return ResultCode::MalformedFrame;
    message = std::move(decoded);
    return {};
}

} // namespace dragonflylane
