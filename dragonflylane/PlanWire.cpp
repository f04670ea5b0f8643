#include "dragonflylane/PlanWire.h"

#include "dragonflylane/ConfigThrift.h"
#include "dragonflylane/ConfigWire.h"
#include "dragonflylane/CrashWire.h"
#include "dragonflylane/DepartureWire.h"
#include "dragonflylane/ThriftCodec.h"
#include "gen-cpp/plan_types.h"

namespace dragonflylane {

namespace {

    std::vector<wire::PlanChange> changesToWire(const std::vector<PlanChange>& changes)
    {
        std::vector<wire::PlanChange> result;
        for (const PlanChange& change : changes) {
            result.emplace_back();
            if (const auto* set = std::get_if<SetItem>(&change)) {
                appendItem(set->item, &result.back().item);
                result.back().__isset.item = true;
            } else
                result.back().__set_removal(toWire(std::get<RemoveItem>(change).key));
        }
        return result;
    }

    bool readChanges(const std::vector<wire::PlanChange>& wireChanges, std::vector<PlanChange>* changes)
    {
        for (const wire::PlanChange& change : wireChanges) {
            if (change.__isset.item == change.__isset.removal)
                return false;
            if (change.__isset.item) {
                std::vector<ConfigItem> items;
                if (!readItems(change.item, &items) || items.size() != 1)
                    return false;
                changes->push_back(SetItem { std::move(items.front()) });
                continue;
            }
            ItemKey key;
            if (!readKey(change.removal, &key))
                return false;
            changes->push_back(RemoveItem { std::move(key) });
        }
        return true;
    }

    wire::PlanRecordDepartures departuresToWire(const HostId& host, const std::vector<DepartedProcess>& departures)
    {
        wire::PlanRecordDepartures result;
        result.host = host.value();
        result.departures = toWire(departures);
        return result;
    }

    std::vector<wire::PlanQuarantinedRequest> quarantineToWire(const std::vector<QuarantinedRequest>& requests)
    {
        std::vector<wire::PlanQuarantinedRequest> result;
        for (const QuarantinedRequest& request : requests) {
            wire::PlanQuarantinedRequest& out = result.emplace_back();
            out.fingerprint = static_cast<int64_t>(request.fingerprint.value());
            out.deaths = toWire(request.deaths);
        }
        return result;
    }

    std::vector<QuarantinedRequest> readQuarantine(const std::vector<wire::PlanQuarantinedRequest>& requests)
    {
        std::vector<QuarantinedRequest> result;
        result.reserve(requests.size());
        for (const wire::PlanQuarantinedRequest& request : requests) {
            result.push_back({ .fingerprint = Fingerprint(static_cast<uint64_t>(request.fingerprint)),
                .deaths = fromWire(request.deaths) });
        }
        return result;
    }

    struct CommandWriter {
        wire::PlanCommand* out;

        void operator()(const ProposeCommand& command) const
        {
            wire::PlanPropose propose;
            propose.planId = command.plan.value();
            if (command.request.base)
                propose.__set_base(static_cast<int64_t>(command.request.base->value()));
            propose.changes = changesToWire(command.request.changes);
            propose.operatorName = command.operatorName.value();
            out->__set_propose(propose);
        }

        void operator()(const ConfirmCommand& command) const
        {
            wire::PlanConfirm confirm;
            confirm.planId = command.plan.value();
            confirm.operatorName = command.operatorName.value();
            out->__set_confirm(confirm);
        }

        void operator()(const SetKeepersCommand& command) const
        {
            wire::PlanSetKeepers keepers;
            keepers.epoch = static_cast<int64_t>(command.epoch.value());
            keepers.hosts = toWire(command.hosts);
            out->__set_setKeepers(keepers);
        }

        void operator()(const ReplaceCommand& command) const
        {
            wire::PlanReplace replace;
            replace.version = static_cast<int64_t>(command.version.value());
            replace.base = static_cast<int64_t>(command.base.value());
            for (const ConfigItem& item : command.items)
                appendItem(item, &replace.items);
            replace.document = compress(command.document);
            replace.operatorName = command.operatorName.value();
            out->__set_replace(replace);
        }

        void operator()(const PatchCommand& command) const
        {
            wire::PlanPatch patch;
            patch.version = static_cast<int64_t>(command.version.value());
            patch.base = static_cast<int64_t>(command.base.value());
            patch.digest = digestBytes(command.digest);
            for (const ConfigItem& item : command.upserts)
                appendItem(item, &patch.upserts);
            for (const ItemKey& key : command.removals)
                patch.removals.push_back(toWire(key));
            patch.documentPatch = command.documentPatch;
            patch.operatorName = command.operatorName.value();
            out->__set_patch(patch);
        }

        void operator()(const StartRolloutCommand& command) const
        {
            wire::PlanStartRollout start;
            start.serviceName = command.service.value();
            start.targetVersion = command.target.value();
            start.duration = command.duration.count();
            start.operatorName = command.operatorName.value();
            out->__set_startRollout(start);
        }

        void operator()(const AdvanceRolloutCommand& command) const
        {
            wire::PlanAdvanceRollout advance;
            advance.serviceName = command.service.value();
            advance.targetVersion = command.target.value();
            advance.state = static_cast<int32_t>(command.state);
            advance.sharePermille = static_cast<int32_t>(command.sharePermille);
            advance.elapsed = command.elapsed.count();
            out->__set_advanceRollout(advance);
        }

        void operator()(const RecordDeparturesCommand& command) const
        {
            out->__set_recordDepartures(departuresToWire(command.host, command.departures));
        }

        void operator()(const ChangeQuarantineCommand& command) const
        {
            wire::PlanChangeQuarantine change;
            change.added = quarantineToWire(command.added);
            for (Fingerprint fingerprint : command.removed)
                change.removed.push_back(static_cast<int64_t>(fingerprint.value()));
            out->__set_changeQuarantine(change);
        }
    };

    bool readRecordDepartures(const wire::PlanRecordDepartures& record, PlanCommand* command)
    {
        RecordDeparturesCommand result { .host = HostId(record.host) };
        if (!readDepartures(record.departures, result.departures))
            return false;
        *command = std::move(result);
        return true;
    }

    ChangeQuarantineCommand readChangeQuarantine(const wire::PlanChangeQuarantine& change)
    {
        ChangeQuarantineCommand result { .added = readQuarantine(change.added) };
        for (int64_t fingerprint : change.removed)
            result.removed.emplace_back(static_cast<uint64_t>(fingerprint));
        return result;
    }

    bool readPatch(const wire::PlanPatch& patch, PlanCommand* command)
    {
        PatchCommand result;
        result.version = DocumentVersion(static_cast<uint64_t>(patch.version));
        result.base = DocumentVersion(static_cast<uint64_t>(patch.base));
        result.documentPatch = patch.documentPatch;
        result.operatorName = OperatorName(patch.operatorName);
        if (!readDigest(patch.digest, &result.digest) || !readItems(patch.upserts, &result.upserts))
            return false;
        for (const wire::ConfigItemKey& key : patch.removals) {
            if (!readKey(key, &result.removals.emplace_back()))
                return false;
        }
        *command = std::move(result);
        return true;
    }

    StartRolloutCommand readStartRollout(const wire::PlanStartRollout& start)
    {
        return { .service = ServiceName(start.serviceName),
            .target = UpstreamVersion(start.targetVersion),
            .duration = std::chrono::milliseconds(start.duration),
            .operatorName = OperatorName(start.operatorName) };
    }

    bool readAdvanceRollout(const wire::PlanAdvanceRollout& advance, PlanCommand* command)
    {
        AdvanceRolloutCommand result { .service = ServiceName(advance.serviceName),
            .target = UpstreamVersion(advance.targetVersion),
            .sharePermille = static_cast<uint32_t>(advance.sharePermille),
            .elapsed = std::chrono::milliseconds(advance.elapsed) };
        if (!readEnum(advance.state, RolloutState::RolledBack, result.state))
            return false;
        *command = std::move(result);
        return true;
    }

    bool readReplace(const wire::PlanReplace& replace, PlanCommand* command)
    {
        ReplaceCommand result;
        result.version = DocumentVersion(static_cast<uint64_t>(replace.version));
        result.base = DocumentVersion(static_cast<uint64_t>(replace.base));
        result.operatorName = OperatorName(replace.operatorName);
        if (!readItems(replace.items, &result.items)
            || decompress(replace.document, PlanWireLimits::documentBytes, &result.document))
            return false;
        *command = std::move(result);
        return true;
    }

    bool readPropose(const wire::PlanPropose& propose, PlanCommand* command)
    {
        ProposeCommand result;
        result.plan = PlanId(propose.planId);
        if (propose.__isset.base)
            result.request.base = Revision(static_cast<uint64_t>(propose.base));
        result.operatorName = OperatorName(propose.operatorName);
        if (!readChanges(propose.changes, &result.request.changes))
            return false;
        *command = std::move(result);
        return true;
    }

    wire::PlanRecord recordToWire(const PlanRecord& record)
    {
        wire::PlanRecord result;
        result.planId = record.id.value();
        result.base = static_cast<int64_t>(record.base.value());
        result.changes = changesToWire(record.changes);
        result.proposedBy = record.proposedBy.value();
        result.confirmedBy = record.confirmedBy.value();
        result.status = static_cast<int32_t>(record.status);
        result.revision = static_cast<int64_t>(record.revision.value());
        result.code = static_cast<int32_t>(record.code);
        result.detail = record.detail;
        for (const ItemKey& key : record.conflictItems)
            result.conflictItems.push_back(toWire(key));
        result.__isset.conflictItems = !record.conflictItems.empty();
        if (record.conflictCount)
            result.__set_conflictCount(static_cast<int64_t>(*record.conflictCount));
        return result;
    }

    bool readRecord(const wire::PlanRecord& wireRecord, PlanRecord* record)
    {
        if (wireRecord.status < 0 || wireRecord.status > static_cast<int32_t>(PlanStatus::Refused))
            return false;
        record->id = PlanId(wireRecord.planId);
        record->base = Revision(static_cast<uint64_t>(wireRecord.base));
        record->proposedBy = OperatorName(wireRecord.proposedBy);
        record->confirmedBy = OperatorName(wireRecord.confirmedBy);
        record->status = static_cast<PlanStatus>(wireRecord.status);
        record->revision = Revision(static_cast<uint64_t>(wireRecord.revision));
        record->code = static_cast<ResultCode>(wireRecord.code);
        record->detail = wireRecord.detail;
        if (wireRecord.__isset.conflictCount)
            record->conflictCount = static_cast<uint64_t>(wireRecord.conflictCount);
        for (const wire::ConfigItemKey& wireKey : wireRecord.conflictItems) {
            record->conflictItems.emplace_back();
            if (!readKey(wireKey, &record->conflictItems.back()))
                return false;
        }
        return readChanges(wireRecord.changes, &record->changes);
    }

} // namespace

std::string encodeCommand(const PlanCommand& command)
{
    wire::PlanCommand result;
    std::visit(CommandWriter { &result }, command);
    return encodeThrift(result);
}

std::error_code decodeCommand(std::string_view bytes, PlanCommand* command)
{
    wire::PlanCommand wireCommand;
    if (std::error_code error = decodeThrift(bytes, PlanWireLimits::commandBytes, &wireCommand))
        return error;
    const auto& isFieldSet = wireCommand.__isset;
    if (int { isFieldSet.propose } + int { isFieldSet.confirm } + int { isFieldSet.setKeepers }
            + int { isFieldSet.replace } + int { isFieldSet.patch } + int { isFieldSet.startRollout }
            + int { isFieldSet.advanceRollout } + int { isFieldSet.recordDepartures }
            + int { isFieldSet.changeQuarantine }
        != 1)
        return ResultCode::MalformedFrame;
    if (isFieldSet.propose && !readPropose(wireCommand.propose, command))
        return ResultCode::MalformedFrame;
    if (isFieldSet.patch && !readPatch(wireCommand.patch, command))
        return ResultCode::MalformedFrame;
    if (isFieldSet.replace && !readReplace(wireCommand.replace, command))
        return ResultCode::MalformedFrame;
    if (isFieldSet.startRollout)
        *command = readStartRollout(wireCommand.startRollout);
    if (isFieldSet.advanceRollout && !readAdvanceRollout(wireCommand.advanceRollout, command))
        return ResultCode::MalformedFrame;
    if (isFieldSet.changeQuarantine)
        *command = readChangeQuarantine(wireCommand.changeQuarantine);
    if (isFieldSet.recordDepartures && !readRecordDepartures(wireCommand.recordDepartures, command))
        return ResultCode::MalformedFrame;
    if (isFieldSet.confirm)
        *command
            = ConfirmCommand { PlanId(wireCommand.confirm.planId), OperatorName(wireCommand.confirm.operatorName) };
    if (isFieldSet.setKeepers) {
        SetKeepersCommand keepers;
        keepers.epoch = Epoch(static_cast<uint64_t>(wireCommand.setKeepers.epoch));
        keepers.hosts = fromWire(wireCommand.setKeepers.hosts);
        *command = std::move(keepers);
    }
    return {};
}

size_t encodedSize(const PlanRecord& record)
{
    return encodeThrift(recordToWire(record)).size();
}

std::string encodePlanSnapshot(const PlanStateMachineSnapshot& snapshot)
{
    wire::PlanBookSnapshot result;
    result.state = toWire(snapshot.state);
    for (const ConfigDelta& delta : snapshot.deltas)
        result.deltas.push_back(toWire(delta));
    for (const PlanRecord& record : snapshot.plans)
        result.plans.push_back(recordToWire(record));
    if (!snapshot.document.empty())
        result.__set_document(snapshot.document);
    for (const AcceptedDocument& accepted : snapshot.accepted) {
        wire::PlanAcceptedDocument& document = result.acceptedDocuments.emplace_back();
        document.version = static_cast<int64_t>(accepted.version.value());
        document.digest = digestBytes(accepted.digest);
        document.revision = static_cast<int64_t>(accepted.revision.value());
    }
    for (const HostDepartures& host : snapshot.departures)
        result.departures.push_back(departuresToWire(host.host, host.departures.all()));
    result.quarantine = quarantineToWire(snapshot.quarantine);
    return compress(encodeThrift(result));
}

std::error_code decodePlanSnapshot(std::string_view bytes, PlanStateMachineSnapshot* snapshot)
{
    std::string raw;
    if (std::error_code error = decompress(bytes, PlanWireLimits::planSnapshotBytes, &raw))
        return error;
    wire::PlanBookSnapshot wireSnapshot;
    if (std::error_code error = decodeThrift(raw, PlanWireLimits::planSnapshotBytes, &wireSnapshot))
        return error;
    PlanStateMachineSnapshot result;
    if (std::error_code error = readSnapshot(wireSnapshot.state, &result.state, true))
        return error;
    for (const wire::ConfigDelta& delta : wireSnapshot.deltas) {
        result.deltas.emplace_back();
        if (!readDelta(delta, &result.deltas.back()))
            return ResultCode::MalformedFrame;
    }
    for (const wire::PlanRecord& record : wireSnapshot.plans) {
        result.plans.emplace_back();
        if (!readRecord(record, &result.plans.back()))
            return ResultCode::MalformedFrame;
    }
    result.document = std::move(wireSnapshot.document);
    for (const wire::PlanAcceptedDocument& document : wireSnapshot.acceptedDocuments) {
        AcceptedDocument& accepted = result.accepted.emplace_back();
        accepted.version = DocumentVersion(static_cast<uint64_t>(document.version));
        accepted.revision = Revision(static_cast<uint64_t>(document.revision));
        if (!readDigest(document.digest, &accepted.digest))
            return ResultCode::MalformedFrame;
    }
    for (const wire::PlanRecordDepartures& host : wireSnapshot.departures) {
        std::vector<DepartedProcess> departures;
        if (!readDepartures(host.departures, departures))
            return ResultCode::MalformedFrame;
        HostDepartures& known = result.departures.emplace_back(HostDepartures { .host = HostId(host.host) });
        for (const DepartedProcess& departed : departures)
            known.departures.add(departed);
    }
    result.quarantine = readQuarantine(wireSnapshot.quarantine);
    *snapshot = std::move(result);
    return {};
}

} // namespace dragonflylane
