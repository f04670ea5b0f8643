#include "dragonflylane/ClaimWire.h"

#include "dragonflylane/Frame.h"
#include "dragonflylane/ResultCode.h"
#include "dragonflylane/ThriftCodec.h"
#include "gen-cpp/claim_types.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace dragonflylane {

namespace {

    constexpr int32_t maxStringBytes = maxStoredAnswerBytes;
    constexpr int32_t maxListItems = maxRecordsPerChunk;
    constexpr size_t maxHostIdBytes = 256;

    int64_t toSigned(uint64_t number)
    {
        return static_cast<int64_t>(number);
    }

    uint64_t toUnsigned(int64_t number)
    {
        return static_cast<uint64_t>(number);
    }

    wire::ClaimId toWire(const ClaimId& id)
    {
        wire::ClaimId result;
        result.__set_coordinator(id.coordinator.value());
        result.__set_life(toSigned(id.bootId));
        result.__set_number(toSigned(id.number));
        return result;
    }

    wire::DuplicateRecord toWire(const IdempotencyRecord& record)
    {
        wire::DuplicateRecord result;
        result.__set_key(record.key);
        result.__set_state(static_cast<int32_t>(record.state));
        for (const ClaimId& id : record.claims)
            result.claims.push_back(toWire(id));
        result.__isset.claims = true;
        result.__set_answer(record.answer);
        result.__set_ageNanoseconds(record.age.count());
        return result;
    }

    wire::KeeperGap toWire(const KeeperGap& gap)
    {
        wire::KeeperGap result;
        result.__set_epoch(toSigned(gap.view.epoch.value()));
        for (const KeeperHost& keeper : gap.view.hosts) {
            wire::KeeperHost& host = result.hosts.emplace_back();
            host.__set_host(keeper.host.value());
            host.__set_dataCentre(keeper.dataCentre.value());
        }
        for (const HostId& host : gap.missing)
            result.missing.push_back(host.value());
        result.__isset.hosts = true;
        result.__isset.missing = true;
        result.__set_remainingNanoseconds(gap.remaining.count());
        return result;
    }

    void fill(wire::ClaimMessage& message, const ClaimRequest& request)
    {
        wire::ClaimRequest result;
        result.__set_id(toWire(request.id));
        result.__set_epoch(toSigned(request.epoch.value()));
        result.__set_key(request.key);
        message.__set_request(result);
    }

    void fill(wire::ClaimMessage& message, const ClaimReply& reply)
    {
        wire::ClaimReply result;
        result.__set_id(toWire(reply.id));
        result.__set_status(static_cast<int32_t>(reply.status));
        result.__set_code(static_cast<int32_t>(reply.code));
        result.__set_answer(reply.answer);
        message.__set_reply(result);
    }

    void fill(wire::ClaimMessage& message, const ClaimRelease& release)
    {
        wire::ClaimRelease result;
        result.__set_id(toWire(release.id));
        result.__set_key(release.key);
        message.__set_releaseClaim(result);
    }

    void fill(wire::ClaimMessage& message, const ClaimFinish& finish)
    {
        wire::ClaimFinish result;
        result.__set_id(toWire(finish.id));
        result.__set_key(finish.key);
        result.__set_hasAnswer(finish.hasAnswer);
        result.__set_answer(finish.answer);
        message.__set_finish(result);
    }

    void fill(wire::ClaimMessage& message, const ClaimAck& ack)
    {
        wire::ClaimAck result;
        result.__set_id(toWire(ack.id));
        message.__set_ack(result);
    }

    void fill(wire::ClaimMessage& message, const TransferRequest& request)
    {
        wire::TransferRequest result;
        result.__set_epoch(toSigned(request.epoch.value()));
        result.__set_purpose(static_cast<int32_t>(request.purpose));
        result.__set_transfer(toSigned(request.transfer));
        result.__set_afterKey(request.afterKey);
        message.__set_transferRequest(result);
    }

    void fill(wire::ClaimMessage& message, const TransferChunk& chunk)
    {
        wire::TransferChunk result;
        result.__set_epoch(toSigned(chunk.epoch.value()));
        result.__set_purpose(static_cast<int32_t>(chunk.purpose));
        result.__set_transfer(toSigned(chunk.transfer));
        result.__set_afterKey(chunk.afterKey);
        result.__set_isComplete(chunk.isComplete);
        result.__set_isLast(chunk.isLast);
        for (const IdempotencyRecord& record : chunk.records)
            result.records.push_back(toWire(record));
        result.__isset.records = true;
        for (const KeeperGap& gap : chunk.gaps)
            result.gaps.push_back(toWire(gap));
        result.__isset.gaps = true;
        message.__set_transferChunk(result);
    }

    bool isKey(const std::string& key)
    {
        return !key.empty() && key.size() <= maxClaimKeyBytes;
    }

    // The functions below return false for values that encode() cannot produce.
    bool readCode(int32_t number, ResultCode& code)
    {
        if (number < 0 || number > std::numeric_limits<uint16_t>::max())
            return false;
        code = static_cast<ResultCode>(number);
        auto known = allResultCodes();
        return std::any_of(
            known.begin(), known.end(), [code](const ResultCodeInfo& info) { return info.code == code; });
    }

    bool read(const wire::ClaimId& id, ClaimId& result)
    {
        if (id.coordinator.empty() || id.coordinator.size() > maxHostIdBytes)
            return false;
        result = { HostId(id.coordinator), toUnsigned(id.life), toUnsigned(id.number) };
        return true;
    }

    bool read(wire::ClaimRequest& request, ClaimRequest& result)
    {
        result.epoch = Epoch(toUnsigned(request.epoch));
        result.key = std::move(request.key);
        return read(request.id, result.id) && isKey(result.key);
    }

    bool read(wire::ClaimReply& reply, ClaimReply& result)
    {
        result.answer = std::move(reply.answer);
        return read(reply.id, result.id) && readEnum(reply.status, ClaimStatus::Refused, result.status)
            && readCode(reply.code, result.code);
    }

    bool read(wire::ClaimRelease& release, ClaimRelease& result)
    {
        result.key = std::move(release.key);
        return read(release.id, result.id) && isKey(result.key);
    }

    bool read(wire::ClaimFinish& finish, ClaimFinish& result)
    {
        result.key = std::move(finish.key);
        result.hasAnswer = finish.hasAnswer;
        result.answer = std::move(finish.answer);
        return read(finish.id, result.id) && isKey(result.key);
    }

    bool read(wire::ClaimAck& ack, ClaimAck& result)
    {
        return read(ack.id, result.id);
    }

    bool read(wire::TransferRequest& request, TransferRequest& result)
    {
        result.epoch = Epoch(toUnsigned(request.epoch));
        result.transfer = toUnsigned(request.transfer);
        result.afterKey = std::move(request.afterKey);
        return readEnum(request.purpose, TransferPurpose::Restart, result.purpose)
            && result.afterKey.size() <= maxClaimKeyBytes;
    }

    bool read(wire::DuplicateRecord& record, IdempotencyRecord& result)
    {
        result.key = std::move(record.key);
        result.answer = std::move(record.answer);
        result.age = Duration(record.ageNanoseconds);
        if (record.claims.size() > maxClaimsPerRecord || record.ageNanoseconds < 0)
            return false;
        for (const wire::ClaimId& id : record.claims) {
            if (!read(id, result.claims.emplace_back()))
                return false;
        }
        return isKey(result.key) && readEnum(record.state, RecordState::Unknown, result.state);
    }

    bool read(const wire::KeeperGap& gap, KeeperGap& result)
    {
        result.view.epoch = Epoch(toUnsigned(gap.epoch));
        for (const wire::KeeperHost& keeper : gap.hosts)
            result.view.hosts.push_back({ HostId(keeper.host), DataCentreName(keeper.dataCentre) });
        for (const std::string& host : gap.missing)
            result.missing.emplace_back(host);
        result.remaining = Duration(gap.remainingNanoseconds);
        return gap.remainingNanoseconds >= 0;
    }

    bool read(wire::TransferChunk& chunk, TransferChunk& result)
    {
        result.epoch = Epoch(toUnsigned(chunk.epoch));
        result.transfer = toUnsigned(chunk.transfer);
        result.afterKey = std::move(chunk.afterKey);
        result.isComplete = chunk.isComplete;
        result.isLast = chunk.isLast;
        for (wire::DuplicateRecord& record : chunk.records) {
            if (!read(record, result.records.emplace_back()))
                return false;
        }
        for (const wire::KeeperGap& gap : chunk.gaps) {
            if (!read(gap, result.gaps.emplace_back()))
                return false;
        }
        return readEnum(chunk.purpose, TransferPurpose::Restart, result.purpose)
            && result.afterKey.size() <= maxClaimKeyBytes && result.gaps.size() <= maxKeeperGaps;
    }

    /// If the field is set, reads it into the message and counts it. Returns false if it is invalid.
    template <typename Result, typename Part> bool readPart(bool isSet, Part& part, int& parts, ClaimMessage& message)
    {
        if (!isSet)
            return true;
        ++parts;
        Result result;
        if (!read(part, result))
            return false;
        message = std::move(result);
        return true;
    }

} // namespace

std::string encode(const ClaimMessage& message)
{
    wire::ClaimMessage result;
    std::visit([&result](const auto& part) { fill(result, part); }, message);
    return encodeThrift(result);
}

std::error_code decode(std::string_view bytes, ClaimMessage& message)
{
    wire::ClaimMessage decoded;
    if (std::error_code error
        = decodeThrift(bytes, ThriftLimits { maxFramePayloadBytes, maxStringBytes, maxListItems }, decoded))
        return error;
    const auto& isset = decoded.__isset;
    int parts = 0;
    bool isValid = readPart<ClaimRequest>(isset.request, decoded.request, parts, message)
        && readPart<ClaimReply>(isset.reply, decoded.reply, parts, message)
        && readPart<ClaimRelease>(isset.releaseClaim, decoded.releaseClaim, parts, message)
        && readPart<ClaimFinish>(isset.finish, decoded.finish, parts, message)
        && readPart<ClaimAck>(isset.ack, decoded.ack, parts, message)
        && readPart<TransferRequest>(isset.transferRequest, decoded.transferRequest, parts, message)
        && readPart<TransferChunk>(isset.transferChunk, decoded.transferChunk, parts, message);
    if (!isValid || parts != 1)
        return ResultCode::MalformedFrame;
    return {};
}

} // namespace dragonflylane
