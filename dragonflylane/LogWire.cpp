#include "dragonflylane/LogWire.h"

#include "dragonflylane/LogBatch.h"
#include "dragonflylane/LogMessages.h"
#include "dragonflylane/ResultCode.h"
#include "dragonflylane/ThriftCodec.h"
#include "gen-cpp/log_types.h"

#include <type_traits>
#include <utility>

namespace dragonflylane {

namespace {

    // Limits of elements per container. They bound the memory for a container whose size field exceeds the message.
    constexpr size_t maxMessageElements = 8192;
    constexpr size_t maxBatchElements = 1 << 20;

    int64_t toWire(uint64_t value)
    {
        return static_cast<int64_t>(value);
    }
    uint64_t fromWire(int64_t value)
    {
        return static_cast<uint64_t>(value);
    }
    int64_t toWire(TimePoint time)
    {
        return time.time_since_epoch().count();
    }
    TimePoint timeFromWire(int64_t nanoseconds)
    {
        return TimePoint(Duration(nanoseconds));
    }

    wire::LogMember toWire(const LogMember& member)
    {
        wire::LogMember out;
        out.__set_id(member.id.value());
        out.__set_host(member.host.value());
        return out;
    }

    LogMember fromWire(const wire::LogMember& member)
    {
        return { ReplicaId(member.id), HostId(member.host) };
    }

    std::vector<wire::LogMember> toWire(const std::vector<LogMember>& members)
    {
        std::vector<wire::LogMember> out;
        out.reserve(members.size());
        for (const LogMember& member : members)
            out.push_back(toWire(member));
        return out;
    }

    std::vector<LogMember> fromWire(const std::vector<wire::LogMember>& members)
    {
        std::vector<LogMember> out;
        out.reserve(members.size());
        for (const wire::LogMember& member : members)
            out.push_back(fromWire(member));
        return out;
    }

    wire::LogMembership toWire(const LogMembership& membership)
    {
        wire::LogMembership out;
        out.__set_voters(toWire(membership.voters));
        out.__set_learners(toWire(membership.learners));
        return out;
    }

    LogMembership fromWire(const wire::LogMembership& membership)
    {
        return { fromWire(membership.voters), fromWire(membership.learners) };
    }

    wire::LogEntry toWire(const LogEntry& entry)
    {
        wire::LogEntry out;
        out.__set_index(toWire(entry.index.value()));
        out.__set_term(toWire(entry.term.value()));
        out.__set_kind(static_cast<int32_t>(entry.kind));
        out.__set_payload(entry.payload);
        out.__set_membership(toWire(entry.membership));
        return out;
    }

    bool fromWire(wire::LogEntry& entry, LogEntry& out)
    {
        if (entry.kind < 0 || entry.kind > static_cast<int32_t>(LogEntryKind::Membership))
            return false;
        out.index = LogIndex(fromWire(entry.index));
        out.term = Term(fromWire(entry.term));
        out.kind = static_cast<LogEntryKind>(entry.kind);
        out.payload = std::move(entry.payload);
        out.membership = fromWire(entry.membership);
        return true;
    }

    std::vector<wire::LogEntry> toWire(const std::vector<LogEntry>& entries)
    {
        std::vector<wire::LogEntry> out;
        out.reserve(entries.size());
        for (const LogEntry& entry : entries)
            out.push_back(toWire(entry));
        return out;
    }

    bool fromWire(std::vector<wire::LogEntry>& entries, std::vector<LogEntry>& out)
    {
        out.resize(entries.size());
        for (size_t i = 0; i < entries.size(); ++i) {
            if (!fromWire(entries[i], out[i]))
                return false;
        }
        return true;
    }

    wire::LogSnapshot toWire(const LogSnapshot& snapshot)
    {
        wire::LogSnapshot out;
        out.__set_index(toWire(snapshot.index.value()));
        out.__set_term(toWire(snapshot.term.value()));
        out.__set_membership(toWire(snapshot.membership));
        out.__set_data(snapshot.data);
        return out;
    }

    LogSnapshot fromWire(wire::LogSnapshot& snapshot)
    {
        return { LogIndex(fromWire(snapshot.index)), Term(fromWire(snapshot.term)), fromWire(snapshot.membership),
            std::move(snapshot.data) };
    }

    void setBody(wire::LogMessage& out, const LogVoteRequest& body)
    {
        wire::LogVoteRequest request;
        request.__set_preVote(body.preVote);
        request.__set_lastIndex(toWire(body.lastIndex.value()));
        request.__set_lastTerm(toWire(body.lastTerm.value()));
        out.__set_voteRequest(request);
    }

    void setBody(wire::LogMessage& out, const LogVoteResponse& body)
    {
        wire::LogVoteResponse response;
        response.__set_preVote(body.preVote);
        response.__set_granted(body.granted);
        out.__set_voteResponse(response);
    }

    void setBody(wire::LogMessage& out, const LogAppendRequest& body)
    {
        wire::LogAppendRequest request;
        request.__set_previousIndex(toWire(body.previousIndex.value()));
        request.__set_previousTerm(toWire(body.previousTerm.value()));
        request.__set_entries(toWire(body.entries));
        request.__set_commitIndex(toWire(body.commitIndex.value()));
        request.__set_askedAt(toWire(body.askedAt));
        if (body.proofAge)
            request.__set_proofAge(body.proofAge->count());
        request.__set_echoLife(toWire(body.echoBootId));
        if (body.echo)
            request.__set_echo(toWire(*body.echo));
        out.__set_appendRequest(request);
    }

    void setBody(wire::LogMessage& out, const LogAppendResponse& body)
    {
        wire::LogAppendResponse response;
        response.__set_accepted(body.accepted);
        response.__set_matchIndex(toWire(body.matchIndex.value()));
        response.__set_conflictTerm(toWire(body.conflictTerm.value()));
        response.__set_conflictIndex(toWire(body.conflictIndex.value()));
        response.__set_askedAt(toWire(body.askedAt));
        response.__set_life(toWire(body.bootId));
        response.__set_sentAt(toWire(body.sentAt));
        out.__set_appendResponse(response);
    }

    void setBody(wire::LogMessage& out, const LogSnapshotRequest& body)
    {
        wire::LogSnapshotRequest request;
        request.__set_index(toWire(body.index.value()));
        request.__set_snapshotTerm(toWire(body.snapshotTerm.value()));
        request.__set_membership(toWire(body.membership));
        request.__set_offset(toWire(body.offset));
        request.__set_totalBytes(toWire(body.totalBytes));
        request.__set_data(body.data);
        request.__set_askedAt(toWire(body.askedAt));
        out.__set_snapshotRequest(request);
    }

    void setBody(wire::LogMessage& out, const LogSnapshotResponse& body)
    {
        wire::LogSnapshotResponse response;
        response.__set_index(toWire(body.index.value()));
        response.__set_receivedBytes(toWire(body.receivedBytes));
        response.__set_askedAt(toWire(body.askedAt));
        response.__set_life(toWire(body.bootId));
        response.__set_sentAt(toWire(body.sentAt));
        out.__set_snapshotResponse(response);
    }

    void setBody(wire::LogMessage& out, const LogJoinRequest& body)
    {
        wire::LogJoinRequest request;
        request.__set_isEmpty(body.isEmpty);
        std::vector<std::string> heard;
        heard.reserve(body.heard.size());
        for (const ReplicaId& id : body.heard)
            heard.push_back(id.value());
        request.__set_heard(heard);
        request.__set_mayFound(body.mayFound);
        out.__set_joinRequest(request);
    }

    LogVoteRequest fromWire(wire::LogVoteRequest& request)
    {
        return { request.preVote, LogIndex(fromWire(request.lastIndex)), Term(fromWire(request.lastTerm)) };
    }

    LogVoteResponse fromWire(wire::LogVoteResponse& response)
    {
        return { response.preVote, response.granted };
    }

    bool fromWire(wire::LogAppendRequest& request, LogAppendRequest& out)
    {
        out.previousIndex = LogIndex(fromWire(request.previousIndex));
        out.previousTerm = Term(fromWire(request.previousTerm));
        out.commitIndex = LogIndex(fromWire(request.commitIndex));
        out.askedAt = timeFromWire(request.askedAt);
        if (request.__isset.proofAge)
            out.proofAge = Duration(request.proofAge);
        out.echoBootId = fromWire(request.echoLife);
        if (request.__isset.echo)
            out.echo = timeFromWire(request.echo);
        return fromWire(request.entries, out.entries);
    }

    LogAppendResponse fromWire(wire::LogAppendResponse& response)
    {
        LogAppendResponse out;
        out.accepted = response.accepted;
        out.matchIndex = LogIndex(fromWire(response.matchIndex));
        out.conflictTerm = Term(fromWire(response.conflictTerm));
        out.conflictIndex = LogIndex(fromWire(response.conflictIndex));
        out.askedAt = timeFromWire(response.askedAt);
        out.bootId = fromWire(response.life);
        out.sentAt = timeFromWire(response.sentAt);
        return out;
    }

    LogSnapshotRequest fromWire(wire::LogSnapshotRequest& request)
    {
        LogSnapshotRequest out;
        out.index = LogIndex(fromWire(request.index));
        out.snapshotTerm = Term(fromWire(request.snapshotTerm));
        out.membership = fromWire(request.membership);
        out.offset = fromWire(request.offset);
        out.totalBytes = fromWire(request.totalBytes);
        out.data = std::move(request.data);
        out.askedAt = timeFromWire(request.askedAt);
        return out;
    }

    LogSnapshotResponse fromWire(wire::LogSnapshotResponse& response)
    {
        return { LogIndex(fromWire(response.index)), fromWire(response.receivedBytes), timeFromWire(response.askedAt),
            fromWire(response.life), timeFromWire(response.sentAt) };
    }

    LogJoinRequest fromWire(wire::LogJoinRequest& request)
    {
        LogJoinRequest out;
        out.isEmpty = request.isEmpty;
        for (const std::string& id : request.heard)
            out.heard.emplace_back(id);
        out.mayFound = request.mayFound;
        return out;
    }

    bool bodyFromWire(wire::LogMessage& in, LogMessage& out)
    {
        const auto& set = in.__isset;
        int bodies = set.voteRequest + set.voteResponse + set.appendRequest + set.appendResponse + set.snapshotRequest
            + set.snapshotResponse + set.joinRequest;
        if (bodies != 1)
            return false;
        if (set.voteRequest)
            out.body = fromWire(in.voteRequest);
        else if (set.voteResponse)
            out.body = fromWire(in.voteResponse);
        else if (set.appendRequest)
            return fromWire(in.appendRequest, out.body.emplace<LogAppendRequest>());
        else if (set.appendResponse)
            out.body = fromWire(in.appendResponse);
        else if (set.snapshotRequest)
            out.body = fromWire(in.snapshotRequest);
        else if (set.snapshotResponse)
            out.body = fromWire(in.snapshotResponse);
        else
            out.body = fromWire(in.joinRequest);
        return true;
    }

} // namespace

std::string encode(const LogMessage& message)
{
    wire::LogMessage out;
    out.__set_sender(toWire(message.sender));
    out.__set_recipient(message.recipient.value());
    out.__set_term(toWire(message.term.value()));
    std::visit([&](const auto& body) { setBody(out, body); }, message.body);
    return encodeThrift(out);
}

std::error_code decode(std::string_view bytes, LogMessage& message)
{
    wire::LogMessage in;
    if (auto error = decodeThrift(bytes, { maxLogMessageBytes, bytes.size(), maxMessageElements }, in))
        return error;
    message.sender = fromWire(in.sender);
    message.recipient = ReplicaId(in.recipient);
    message.term = Term(fromWire(in.term));
    return bodyFromWire(in, message) ? std::error_code() : ResultCode::MalformedFrame;
}

std::string encode(const LogBatch& batch)
{
    wire::LogBatch out;
    if (batch.replicaId)
        out.__set_replicaId(batch.replicaId->value());
    if (batch.write.hardState) {
        out.__set_term(toWire(batch.write.hardState->term.value()));
        out.__set_votedFor(batch.write.hardState->votedFor.value());
    }
    if (batch.write.truncateFrom)
        out.__set_truncateFrom(toWire(batch.write.truncateFrom->value()));
    if (batch.write.snapshot)
        out.__set_snapshot(toWire(*batch.write.snapshot));
    out.__set_entries(toWire(batch.write.entries));
    return encodeThrift(out);
}

std::error_code decode(std::string_view bytes, LogBatch& batch)
{
    wire::LogBatch in;
    if (decodeThrift(bytes, { maxLogBatchBytes, bytes.size(), maxBatchElements }, in))
        return ResultCode::LogDamaged;
    batch = {};
    if (in.__isset.replicaId)
        batch.replicaId = ReplicaId(in.replicaId);
    if (in.__isset.term)
        batch.write.hardState = LogHardState { Term(fromWire(in.term)), ReplicaId(in.votedFor) };
    if (in.__isset.truncateFrom)
        batch.write.truncateFrom = LogIndex(fromWire(in.truncateFrom));
    if (in.__isset.snapshot)
        batch.write.snapshot = fromWire(in.snapshot);
    return fromWire(in.entries, batch.write.entries) ? std::error_code() : ResultCode::LogDamaged;
}

} // namespace dragonflylane
