#pragma once

// The replicated state machine: plans by id, the configuration that confirmed plans and accepted documents produce, the
// departures of upstreams and the requests in quarantine.
// Every replica applies the same commands in the same order and must get the same outcomes, so nothing here depends on
// time, random numbers or the upstreams and daemons that a host currently sees.
//
//     std::string command = PlanStateMachine::encode(ConfirmCommand { planId, operatorName });
//     // ... replicated ...
//     ApplyOutcome outcome = stateMachine.apply(command);
//     if (outcome.delta) relay.publish(*outcome.delta, ...);

#include "dragonflylane/ConfigHistory.h"
#include "dragonflylane/DepartureHistory.h"
#include "dragonflylane/Plan.h"
#include "dragonflylane/ResultCode.h"
#include "dragonflylane/RolloutCommands.h"
#include "dragonflylane/StoredQuarantine.h"

#include <deque>
#include <list>
#include <unordered_map>

namespace dragonflylane {

/// Reviews and stores a plan. A retry returns the outcome of the stored plan.
struct ProposeCommand {
    PlanId plan;
    PlanRequest request;
    OperatorName operatorName;

    bool operator==(const ProposeCommand&) const = default;
};

/// Applies a stored plan if its base is still the current revision, apart from changes of the keeper view and of
/// roll-outs. A retry returns the original outcome.
struct ConfirmCommand {
    PlanId plan;
    OperatorName operatorName;

    bool operator==(const ConfirmCommand&) const = default;
};

/// Replaces the keeper view. The epoch must be higher than the current one. Setting the current view again has no
/// effect.
struct SetKeepersCommand {
    Epoch epoch;
    std::vector<KeeperHost> hosts;

    bool operator==(const SetKeepersCommand&) const = default;
};

/// Replaces all items that operators configure in documents (services, routes, call rules, mesh policy) by the items of
/// one document. Compare-and-set on the version of the current document. A retry with the version and content of an
/// accepted document returns the original outcome.
struct ReplaceCommand {
    DocumentVersion version;
    /// Version of the document that this one replaces; zero for the first document.
    DocumentVersion base;
    std::vector<ConfigItem> items;
    /// The document as the operator wrote it, stored so that operators can read it back.
    std::string document;
    OperatorName operatorName;

    bool operator==(const ReplaceCommand&) const = default;
};

/// A ReplaceCommand as the leader writes it to the log: the difference from the current document.
struct PatchCommand {
    DocumentVersion version;
    DocumentVersion base;
    /// Digest of the new document's text.
    Digest digest;
    std::vector<ConfigItem> upserts;
    std::vector<ItemKey> removals;
    /// See compressAgainst(); the prefix is the document of the base version.
    std::string documentPatch;
    OperatorName operatorName;

    bool operator==(const PatchCommand&) const = default;
};

/// Records departures of upstream processes at one host, so that they outlast the daemons. Recording them again has no
/// effect. The configuration and its revision stay as they are.
struct RecordDeparturesCommand {
    HostId host;
    /// At most DepartureList::maxProcesses.
    std::vector<DepartedProcess> departures;

    bool operator==(const RecordDeparturesCommand&) const = default;
};

/// Identifies an accepted document, so that retries are recognised.
struct AcceptedDocument {
    DocumentVersion version;
    Digest digest;
    /// Revision that the document created.
    Revision revision;

    bool operator==(const AcceptedDocument&) const = default;
};

using PlanCommand = std::variant<ProposeCommand, ConfirmCommand, SetKeepersCommand, ReplaceCommand, PatchCommand,
    StartRolloutCommand, AdvanceRolloutCommand, RecordDeparturesCommand, ChangeQuarantineCommand>;

/// Status of a plan.
enum class PlanStatus : uint8_t {
    Proposed = 0,
    Confirmed = 1,
    Conflicted = 2,
    Refused = 3,
};

/// A stored plan.
struct PlanRecord {
    PlanId id;
    Revision base;
    std::vector<PlanChange> changes;
    OperatorName proposedBy;
    OperatorName confirmedBy;
    PlanStatus status { PlanStatus::Proposed };
    /// Confirmed: the revision it created. Refused or conflicted: the current revision at that time.
    Revision revision;
    /// Refused or conflicted: the reason.
    ResultCode code {};
    std::string detail;
    /// Conflicted: items changed since the base, at most PlanStateMachineOptions::maxConflictItems, and the number of
    /// all of them. The number is absent if the base is not in the history.
    std::vector<ItemKey> conflictItems;
    std::optional<uint64_t> conflictCount;

    bool operator==(const PlanRecord&) const = default;
};

/// Result of applying a command.
struct ApplyOutcome {
    ResultCode code {};
    std::string detail;
    PlanId plan;
    PlanStatus status { PlanStatus::Refused };
    /// The plan's revision if it is confirmed, otherwise the current revision.
    Revision revision;
    std::vector<ItemKey> conflictItems;
    std::optional<uint64_t> conflictCount;
    /// The command was a retry; the outcome is the original one.
    bool repeated { false };
    /// Set if the command created a revision, for publication to all daemons.
    std::optional<ConfigDelta> delta;

    bool operator==(const ApplyOutcome&) const = default;
};

/// Limits of the state machine. They must be the same on all replicas.
struct PlanStateMachineOptions {
    size_t maxPlans { 1024 };
    /// Limit of the encoded size of all plans; 1,024 plans of the largest size would need 256 MB.
    size_t maxPlanBytes { size_t { 4 } << 20 };
    size_t maxOpenPerOperator { 64 };
    size_t maxConflictItems { 128 };
    /// Number of accepted documents whose retries are recognised.
    size_t maxAcceptedDocuments { 4096 };
    /// Only tests turn these off, to show which invariant they protect.
    bool checkBase { true };
    bool deduplicateCommands { true };
};

/// The state machine of the log: plans, configuration, departures and quarantine.
class PlanStateMachine {
public:
    explicit PlanStateMachine(PlanStateMachineOptions = {});
    PlanStateMachine(const PlanStateMachine&) = delete;
    PlanStateMachine& operator=(const PlanStateMachine&) = delete;
    PlanStateMachine(PlanStateMachine&&) = default;
    PlanStateMachine& operator=(PlanStateMachine&&) = default;

    static std::string encode(const PlanCommand&);
    static std::error_code decode(std::string_view, PlanCommand*);

    /// Applies one committed command. Deterministic. A command that cannot be decoded has no effect and the outcome
    /// MalformedPlan.
    ApplyOutcome apply(std::string_view command);

    const ConfigState& state() const { return m_history.state(); }
    const ConfigHistory& history() const { return m_history; }
    /// Returns null if the plan is unknown or no longer retained.
    const PlanRecord* find(const PlanId&) const;
    /// All stored plans, newest first.
    std::vector<const PlanRecord*> plans() const;

    /// Prepares a document for replication. Returns the outcome if the document is rejected or a retry. Otherwise
    /// returns nothing and sets the patch to replicate.
    std::optional<ApplyOutcome> prepare(const ReplaceCommand&, PatchCommand*) const;
    /// Version of the current document; zero before the first one.
    DocumentVersion documentVersion() const;
    /// The current document as the operator wrote it.
    const std::string& document() const { return m_document; }
    const DepartureHistory& departures() const { return m_departures; }
    const StoredQuarantine& quarantine() const { return m_quarantine; }

    /// The whole state for a snapshot of the log. Equal states give equal bytes.
    std::string serialise() const;
    /// Replaces the whole state. On an error it is unchanged.
    std::error_code restore(std::string_view);

private:
    struct Entry {
        PlanRecord record;
        size_t bytes { 0 };
    };
    using Entries = std::list<Entry>;

    ApplyOutcome propose(const ProposeCommand&);
    ApplyOutcome confirm(const ConfirmCommand&);
    ApplyOutcome setKeepers(const SetKeepersCommand&);
    ApplyOutcome changeRollout(const RolloutChange&);
    ApplyOutcome recordDepartures(const RecordDeparturesCommand&);
    /// Outcome of a command that has no effect.
    ApplyOutcome unchanged() const;
    /// Creates a revision with this item.
    ApplyOutcome storeItem(const ConfigItem&);
    ApplyOutcome replace(const ReplaceCommand&);
    ApplyOutcome patch(const PatchCommand&);
    /// Returns the outcome of a document that was accepted before or has a wrong version or base. Returns nothing if
    /// the document may replace the current one.
    std::optional<ApplyOutcome> checkDocumentVersion(DocumentVersion, DocumentVersion base, const Digest&) const;
    std::error_code replaceDocumentItems(const std::vector<ConfigItem>&, ConfigState*, std::string* detail) const;
    ApplyOutcome accept(DocumentVersion, const Digest&, std::string document, ConfigState next);
    ApplyOutcome outcomeOf(const PlanRecord&) const;
    ApplyOutcome rejection(const PlanId&, ResultCode, std::string detail) const;
    /// Applies the plan, or records the reason for which it is refused or conflicts. Returns the delta if the plan
    /// created a revision.
    std::optional<ConfigDelta> applyPlan(PlanRecord*);
    void markConflict(PlanRecord*) const;
    size_t countOpenPlans(const OperatorName&) const;
    bool isOpen(const PlanRecord&) const;
    bool isCurrentBase(Revision) const;
    void storePlan(PlanRecord);
    void updateEntrySize(Entry*);
    void enforceLimits();
    void evictPlan();

    PlanStateMachineOptions m_options;
    ConfigHistory m_history;
    /// Oldest first.
    Entries m_plans;
    std::unordered_map<PlanId, Entries::iterator> m_index;
    size_t m_planBytes { 0 };
    std::string m_document;
    /// Oldest first; the last one is the current document.
    std::deque<AcceptedDocument> m_acceptedDocuments;
    DepartureHistory m_departures;
    StoredQuarantine m_quarantine;
};

} // namespace dragonflylane
