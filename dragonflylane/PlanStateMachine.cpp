#include "dragonflylane/PlanStateMachine.h"

#include "dragonflylane/ConfigWire.h"
#include "dragonflylane/PlanReview.h"
#include "dragonflylane/PlanWire.h"

#include <algorithm>
#include <set>

namespace dragonflylane {

namespace {

    // The name comes from the operators file; the limit only bounds the size of records.
    bool isValidOperator(const OperatorName& name)
    {
        return !name.isEmpty() && name.value().size() <= ItemLimits::nameLength;
    }

    bool isDocumentKind(ItemKind kind)
    {
        return kind != ItemKind::KeeperView && kind != ItemKind::Drain && kind != ItemKind::Rollout;
    }

    Digest documentDigest(std::string_view document)
    {
        constexpr uint64_t secondSeed = 1;
        return { stableHash(document), stableHash(document, secondSeed) };
    }

} // namespace

PlanStateMachine::PlanStateMachine(PlanStateMachineOptions options)
    : m_options(options)
{
}

std::string PlanStateMachine::encode(const PlanCommand& command)
{
    return encodeCommand(command);
}

std::error_code PlanStateMachine::decode(std::string_view bytes, PlanCommand* command)
{
    return decodeCommand(bytes, command);
}

ApplyOutcome PlanStateMachine::apply(std::string_view bytes)
{
    PlanCommand command;
    if (decode(bytes, &command))
        return rejection({}, ResultCode::MalformedPlan, "the command cannot be decoded");
    if (const auto* proposal = std::get_if<ProposeCommand>(&command))
        return propose(*proposal);
    if (const auto* confirmation = std::get_if<ConfirmCommand>(&command))
        return confirm(*confirmation);
    if (const auto* replacement = std::get_if<ReplaceCommand>(&command))
        return replace(*replacement);
    if (const auto* change = std::get_if<PatchCommand>(&command))
        return patch(*change);
    if (const auto* start = std::get_if<StartRolloutCommand>(&command))
        return changeRollout(applyRolloutCommand(*start, state()));
    if (const auto* advance = std::get_if<AdvanceRolloutCommand>(&command))
        return changeRollout(applyRolloutCommand(*advance, state()));
    if (const auto* departures = std::get_if<RecordDeparturesCommand>(&command))
        return recordDepartures(*departures);
    if (const auto* quarantine = std::get_if<ChangeQuarantineCommand>(&command)) {
        ApplyOutcome outcome = unchanged();
        outcome.repeated = !m_quarantine.apply(*quarantine);
        return outcome;
    }
    return setKeepers(std::get<SetKeepersCommand>(command));
}

ApplyOutcome PlanStateMachine::propose(const ProposeCommand& command)
{
    if (!isValidName(command.plan.value()))
        return rejection(command.plan, ResultCode::InvalidName, "the plan id is not valid");
    if (!isValidOperator(command.operatorName))
        return rejection(command.plan, ResultCode::InvalidName, "the operator name is empty or too long");
    if (const PlanRecord* known = find(command.plan)) {
        bool sameBase = !command.request.base || *command.request.base == known->base;
        if (!sameBase || known->changes != command.request.changes || known->proposedBy != command.operatorName)
            return rejection(command.plan, ResultCode::InvalidValue, "the plan id belongs to another plan");
        ApplyOutcome outcome = outcomeOf(*known);
        outcome.repeated = true;
        return outcome;
    }
    PlanRecord record;
    record.id = command.plan;
    record.base = command.request.base.value_or(state().revision());
    record.changes = command.request.changes;
    record.proposedBy = command.operatorName;
    if (!isCurrentBase(record.base)) {
        markConflict(&record);
    } else {
        Plan plan;
        std::error_code error = PlanReview(state()).review(record.changes, &plan, &record.detail);
        // Oversized plans are not stored, since other plans would be evicted to make space for them.
        if (resultCode(error) == ResultCode::PlanTooLarge)
            return rejection(command.plan, ResultCode::PlanTooLarge, record.detail);
        if (error) {
            record.status = PlanStatus::Refused;
            record.code = resultCode(error);
            record.revision = state().revision();
        } else if (countOpenPlans(command.operatorName) >= m_options.maxOpenPerOperator)
            return rejection(command.plan, ResultCode::TooManyPlans, "the operator has too many open plans");
    }
    ApplyOutcome outcome = outcomeOf(record);
    storePlan(std::move(record));
    return outcome;
}

ApplyOutcome PlanStateMachine::confirm(const ConfirmCommand& command)
{
    if (!isValidOperator(command.operatorName))
        return rejection(command.plan, ResultCode::InvalidName, "the operator name is empty or too long");
    auto position = m_index.find(command.plan);
    if (position == m_index.end())
        return rejection(command.plan, ResultCode::PlanNotFound, "no plan has this id");
    PlanRecord& record = position->second->record;
    bool isDecided = record.status != PlanStatus::Proposed;
    if (isDecided && (m_options.deduplicateCommands || record.status == PlanStatus::Refused)) {
        ApplyOutcome outcome = outcomeOf(record);
        outcome.repeated = true;
        return outcome;
    }
    record.confirmedBy = command.operatorName;
    std::optional<ConfigDelta> delta = applyPlan(&record);
    ApplyOutcome outcome = outcomeOf(record);
    outcome.delta = std::move(delta);
    updateEntrySize(&*position->second);
    enforceLimits();
    return outcome;
}

std::optional<ConfigDelta> PlanStateMachine::applyPlan(PlanRecord* record)
{
    if (m_options.checkBase && !isCurrentBase(record->base)) {
        markConflict(record);
        return std::nullopt;
    }
    // The plan is reviewed again, since the code that reviewed the proposal may have been an older version.
    Plan plan;
    ConfigState next = state();
    std::error_code error = PlanReview(state()).review(record->changes, &plan, &record->detail);
    if (!error)
        error = next.apply(plan.delta);
    if (error) {
        record->status = PlanStatus::Refused;
        record->code = resultCode(error);
        record->revision = state().revision();
        return std::nullopt;
    }
    m_history.append(plan.delta, std::move(next));
    record->status = PlanStatus::Confirmed;
    record->revision = state().revision();
    return std::move(plan.delta);
}

ApplyOutcome PlanStateMachine::setKeepers(const SetKeepersCommand& command)
{
    KeeperViewItem view { command.epoch, command.hosts };
    std::sort(view.hosts.begin(), view.hosts.end());
    std::string detail;
    if (std::error_code error = checkItem(view, &detail))
        return rejection({}, resultCode(error), detail);
    if (const KeeperViewItem* current = state().keeperView()) {
        if (*current == view)
            return unchanged();
        if (view.epoch <= current->epoch)
            return rejection({}, ResultCode::PlanConflict, "the keeper view already has this epoch or a higher one");
    }
    return storeItem(view);
}

ApplyOutcome PlanStateMachine::changeRollout(const RolloutChange& change)
{
    if (change.code != ResultCode::Ok)
        return rejection({}, change.code, change.detail);
    return change.item ? storeItem(*change.item) : unchanged();
}

ApplyOutcome PlanStateMachine::recordDepartures(const RecordDeparturesCommand& command)
{
    if (!isValidName(command.host.value()))
        return rejection({}, ResultCode::InvalidName, "the host id is not valid");
    ApplyOutcome outcome = unchanged();
    outcome.repeated = !m_departures.add(command.host, command.departures);
    return outcome;
}

ApplyOutcome PlanStateMachine::unchanged() const
{
    ApplyOutcome outcome;
    outcome.status = PlanStatus::Confirmed;
    outcome.revision = state().revision();
    outcome.repeated = true;
    return outcome;
}

ApplyOutcome PlanStateMachine::storeItem(const ConfigItem& item)
{
    ApplyOutcome outcome;
    outcome.status = PlanStatus::Confirmed;
    ConfigState next = state();
    next.insert(item);
    next.setRevision(state().revision().next());
    outcome.delta = state().deltaTo(next);
    m_history.append(*outcome.delta, std::move(next));
    outcome.revision = state().revision();
    return outcome;
}

DocumentVersion PlanStateMachine::documentVersion() const
{
    return m_acceptedDocuments.empty() ? DocumentVersion() : m_acceptedDocuments.back().version;
}

std::optional<ApplyOutcome> PlanStateMachine::checkDocumentVersion(
    DocumentVersion version, DocumentVersion base, const Digest& digest) const
{
    for (auto known = m_acceptedDocuments.rbegin(); known != m_acceptedDocuments.rend(); ++known) {
        if (known->version != version || known->digest != digest)
            continue;
        ApplyOutcome outcome;
        outcome.status = PlanStatus::Confirmed;
        outcome.revision = known->revision;
        outcome.repeated = true;
        return outcome;
    }
    if (base != documentVersion())
        return rejection({}, ResultCode::PlanConflict,
            "the document is based on version " + std::to_string(base.value()) + " but the current version is "
                + std::to_string(documentVersion().value()));
    if (version <= documentVersion())
        return rejection({}, ResultCode::InvalidValue, "the version must be higher than the current one");
    return std::nullopt;
}

std::optional<ApplyOutcome> PlanStateMachine::prepare(const ReplaceCommand& command, PatchCommand* patch) const
{
    Digest digest = documentDigest(command.document);
    if (auto outcome = checkDocumentVersion(command.version, command.base, digest))
        return outcome;
    ConfigState next = state();
    std::string detail;
    if (std::error_code error = replaceDocumentItems(command.items, &next, &detail))
        return rejection({}, resultCode(error), detail);
    ConfigDelta delta = state().deltaTo(next);
    *patch = { .version = command.version, .base = command.base, .digest = digest };
    for (auto& [key, item] : delta.upserts)
        patch->upserts.push_back(std::move(item));
    patch->removals.assign(delta.removals.begin(), delta.removals.end());
    patch->documentPatch = compressAgainst(m_document, command.document);
    patch->operatorName = command.operatorName;
    return std::nullopt;
}

ApplyOutcome PlanStateMachine::patch(const PatchCommand& command)
{
    if (auto outcome = checkDocumentVersion(command.version, command.base, command.digest))
        return *outcome;
    std::string document;
    bool isPatchValid = !decompressAgainst(m_document, command.documentPatch, PlanWireLimits::documentBytes, &document)
        && documentDigest(document) == command.digest;
    if (!isPatchValid)
        return rejection({}, ResultCode::MalformedPlan, "the patch does not yield the document");
    ConfigState next = state();
    for (const ItemKey& key : command.removals)
        next.remove(key);
    for (const ConfigItem& item : command.upserts)
        next.insert(item);
    std::string detail;
    if (std::error_code error = next.validate(&detail))
        return rejection({}, resultCode(error), detail);
    return accept(command.version, command.digest, std::move(document), std::move(next));
}

ApplyOutcome PlanStateMachine::replace(const ReplaceCommand& command)
{
    Digest digest = documentDigest(command.document);
    if (auto outcome = checkDocumentVersion(command.version, command.base, digest))
        return *outcome;
    ConfigState next = state();
    std::string detail;
    if (std::error_code error = replaceDocumentItems(command.items, &next, &detail))
        return rejection({}, resultCode(error), detail);
    return accept(command.version, digest, command.document, std::move(next));
}

ApplyOutcome PlanStateMachine::accept(
    DocumentVersion version, const Digest& digest, std::string document, ConfigState next)
{
    ApplyOutcome outcome;
    outcome.status = PlanStatus::Confirmed;
    next.setRevision(state().revision().next());
    outcome.delta = state().deltaTo(next);
    m_history.append(*outcome.delta, std::move(next));
    outcome.revision = state().revision();
    m_document = std::move(document);
    m_acceptedDocuments.push_back({ version, digest, outcome.revision });
    if (m_acceptedDocuments.size() > m_options.maxAcceptedDocuments)
        m_acceptedDocuments.pop_front();
    return outcome;
}

// Drains, the keeper view and roll-outs are not part of a document and stay unchanged. Equal items are not inserted
// again, which saves the computation of their digests.
std::error_code PlanStateMachine::replaceDocumentItems(
    const std::vector<ConfigItem>& items, ConfigState* next, std::string* detail) const
{
    std::set<ItemKey> documentKeys;
    for (const ConfigItem& item : items) {
        ItemKey key = keyOf(item);
        if (!isDocumentKind(key.kind) || !documentKeys.insert(key).second) {
            *detail = printableExcerpt(key.toString())
                + " occurs twice in the document or has a kind that documents cannot contain";
            return ResultCode::InvalidValue;
        }
        const ConfigItem* existing = next->find(key);
        if (!existing || *existing != item)
            next->insert(item);
    }
    std::vector<ItemKey> obsoleteKeys;
    for (const auto& [key, item] : next->items()) {
        if (isDocumentKind(key.kind) && !documentKeys.contains(key))
            obsoleteKeys.push_back(key);
    }
    for (const ItemKey& key : obsoleteKeys)
        next->remove(key);
    return next->validate(detail);
}

ApplyOutcome PlanStateMachine::outcomeOf(const PlanRecord& record) const
{
    ApplyOutcome outcome;
    outcome.code = record.code;
    outcome.detail = record.detail;
    outcome.plan = record.id;
    outcome.status = record.status;
    outcome.revision = record.status == PlanStatus::Proposed ? state().revision() : record.revision;
    outcome.conflictItems = record.conflictItems;
    outcome.conflictCount = record.conflictCount;
    return outcome;
}

ApplyOutcome PlanStateMachine::rejection(const PlanId& plan, ResultCode code, std::string detail) const
{
    ApplyOutcome outcome;
    outcome.code = code;
    outcome.detail = std::move(detail);
    outcome.plan = plan;
    outcome.revision = state().revision();
    return outcome;
}

void PlanStateMachine::markConflict(PlanRecord* record) const
{
    record->status = PlanStatus::Conflicted;
    record->code = ResultCode::PlanConflict;
    record->revision = state().revision();
    record->detail = "the plan is based on revision " + std::to_string(record->base.value())
        + " but the current one is " + std::to_string(state().revision().value());
    std::optional<ConfigDelta> since = m_history.deltaSince(record->base);
    if (!since)
        return;
    record->conflictItems = since->keys();
    record->conflictCount = record->conflictItems.size();
    if (record->conflictItems.size() > m_options.maxConflictItems)
        record->conflictItems.resize(m_options.maxConflictItems);
}

size_t PlanStateMachine::countOpenPlans(const OperatorName& operatorName) const
{
    return static_cast<size_t>(std::count_if(m_plans.begin(), m_plans.end(),
        [&](const Entry& entry) { return isOpen(entry.record) && entry.record.proposedBy == operatorName; }));
}

// A proposal whose base is no longer current cannot be confirmed, so it does not count as open.
bool PlanStateMachine::isOpen(const PlanRecord& record) const
{
    return record.status == PlanStatus::Proposed && isCurrentBase(record.base);
}

// The leader changes the keeper view and roll-outs without an operator, and plans cannot change them. Such revisions
// therefore do not outdate a plan; otherwise operators would get conflicts that no other operator has caused.
bool PlanStateMachine::isCurrentBase(Revision base) const
{
    if (base == state().revision())
        return true;
    std::optional<ConfigDelta> since = m_history.deltaSince(base);
    if (base > state().revision() || !since)
        return false;
    std::vector<ItemKey> keys = since->keys();
    return std::all_of(keys.begin(), keys.end(),
        [](const ItemKey& key) { return key.kind == ItemKind::KeeperView || key.kind == ItemKind::Rollout; });
}

void PlanStateMachine::storePlan(PlanRecord record)
{
    PlanId id = record.id;
    m_plans.push_back({ std::move(record), 0 });
    m_index.emplace(std::move(id), std::prev(m_plans.end()));
    updateEntrySize(&m_plans.back());
    enforceLimits();
}

void PlanStateMachine::updateEntrySize(Entry* entry)
{
    m_planBytes -= entry->bytes;
    entry->bytes = encodedSize(entry->record);
    m_planBytes += entry->bytes;
}

void PlanStateMachine::enforceLimits()
{
    while (m_plans.size() > 1 && (m_plans.size() > m_options.maxPlans || m_planBytes > m_options.maxPlanBytes))
        evictPlan();
}

// Evicts the oldest plan of the lowest rank, but never the newest plan. Refused plans are evicted first and open ones
// last, so that a flood of proposals that are refused does not evict the outcomes of confirmations.
void PlanStateMachine::evictPlan()
{
    auto evictionRank = [&](const PlanRecord& record) {
        constexpr int openPlanRank = 2;
        if (isOpen(record))
            return openPlanRank;
        return record.status == PlanStatus::Refused ? 0 : 1;
    };
    auto victim = std::min_element(m_plans.begin(), std::prev(m_plans.end()),
        [&](const Entry& left, const Entry& right) { return evictionRank(left.record) < evictionRank(right.record); });
    m_planBytes -= victim->bytes;
    m_index.erase(victim->record.id);
    m_plans.erase(victim);
}

const PlanRecord* PlanStateMachine::find(const PlanId& plan) const
{
    auto position = m_index.find(plan);
    return position == m_index.end() ? nullptr : &position->second->record;
}

std::vector<const PlanRecord*> PlanStateMachine::plans() const
{
    std::vector<const PlanRecord*> result;
    for (auto entry = m_plans.rbegin(); entry != m_plans.rend(); ++entry)
        result.push_back(&entry->record);
    return result;
}

std::string PlanStateMachine::serialise() const
{
    PlanStateMachineSnapshot snapshot;
    snapshot.state = state();
    snapshot.deltas = m_history.deltas();
    for (const Entry& entry : m_plans)
        snapshot.plans.push_back(entry.record);
    snapshot.document = m_document;
    snapshot.accepted.assign(m_acceptedDocuments.begin(), m_acceptedDocuments.end());
    snapshot.departures = m_departures.all();
    snapshot.quarantine = m_quarantine.all();
    return encodePlanSnapshot(snapshot);
}

std::error_code PlanStateMachine::restore(std::string_view bytes)
{
    PlanStateMachineSnapshot snapshot;
    if (std::error_code error = decodePlanSnapshot(bytes, &snapshot))
        return error;
    if (snapshot.state.validate())
        return ResultCode::InvalidConfiguration;
    PlanStateMachine restored(m_options);
    if (std::error_code error = restored.m_history.restore(std::move(snapshot.state), snapshot.deltas))
        return error;
    for (PlanRecord& record : snapshot.plans) {
        if (restored.find(record.id))
            return ResultCode::MalformedFrame;
        restored.storePlan(std::move(record));
    }
    restored.m_document = std::move(snapshot.document);
    restored.m_acceptedDocuments.assign(snapshot.accepted.begin(), snapshot.accepted.end());
    for (const HostDepartures& host : snapshot.departures)
        restored.m_departures.add(host.host, host.departures.all());
    restored.m_quarantine.apply({ .added = std::move(snapshot.quarantine) });
    *this = std::move(restored);
    return {};
}

} // namespace dragonflylane
