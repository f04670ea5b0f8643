#pragma once

// The replicated state machine behind the log: plans by id, and the configuration that confirmed plans produce. Every
// replica applies the same commands in the same order and gets the same outcomes, so nothing here depends on time,
// random numbers or the view of the fleet.
//
//     std::string command = PlanBook::encode(ConfirmCommand { planId, operatorName });
//     // ... replicated ...
//     ApplyOutcome outcome = book.apply(command);
//     if (outcome.delta) relay.publish(*outcome.delta, ...);

#include "dragonflylane/ConfigHistory.h"
#include "dragonflylane/Plan.h"
#include "dragonflylane/ResultCode.h"

#include <deque>
#include <list>
#include <unordered_map>

namespace dragonflylane {

/// Stores a reviewed plan. A repeated command returns the first answer.
struct ProposeCommand {
    PlanId plan;
    PlanRequest request;
    OperatorName operatorName;

    bool operator==(const ProposeCommand&) const = default;
};

/// Applies a stored plan if the current revision is still its base.
struct ConfirmCommand {
    PlanId plan;
    OperatorName operatorName;

    bool operator==(const ConfirmCommand&) const = default;
};

/// Replaces the keeper view. The epoch must be higher than the held one; the held view again has no effect.
struct SetKeepersCommand {
    Epoch epoch;
    std::vector<KeeperHost> hosts;

    bool operator==(const SetKeepersCommand&) const = default;
};

/// Replaces everything that operators state (services, routes, call rules, mesh policy) by the items of one document.
/// Compare-and-set on the version of the document in force; a resend of an accepted document, told by version and
/// content, returns the first answer.
struct ReplaceCommand {
    DocumentVersion version;
    /// Version that the document builds on; zero for the first one.
    DocumentVersion base;
    std::vector<ConfigItem> items;
    /// The document as the operator wrote it; kept for reading it back.
    std::string document;
    OperatorName operatorName;

    bool operator==(const ReplaceCommand&) const = default;
};

/// A ReplaceCommand as the leader writes it to the log: only what differs from the document in force.
struct PatchCommand {
    DocumentVersion version;
    DocumentVersion base;
    /// Of the whole new document.
    Digest digest;
    std::vector<ConfigItem> upserts;
    std::vector<ItemKey> removals;
    /// See compressAgainst(); the prefix is the document of the base version.
    std::string documentPatch;
    OperatorName operatorName;

    bool operator==(const PatchCommand&) const = default;
};

/// A document that was accepted at some time.
struct AcceptedDocument {
    DocumentVersion version;
    Digest digest;
    /// Revision that it created.
    Revision revision;

    bool operator==(const AcceptedDocument&) const = default;
};

using PlanCommand = std::variant<ProposeCommand, ConfirmCommand, SetKeepersCommand, ReplaceCommand, PatchCommand>;

/// Where a plan stands.
enum class PlanStatus : uint8_t {
    Proposed = 0,
    Confirmed = 1,
    Conflicted = 2,
    Refused = 3,
};

/// A plan in the book.
struct PlanRecord {
    PlanId id;
    Revision base;
    std::vector<PlanChange> changes;
    OperatorName proposedBy;
    OperatorName confirmedBy;
    PlanStatus status { PlanStatus::Proposed };
    /// Confirmed: the revision it created. Conflicted: the current revision at that time.
    Revision revision;
    /// Refused or conflicted: why.
    ResultCode code {};
    std::string detail;
    /// Conflicted: items changed since the base, at most PlanBookOptions::maxConflictItems, and their number. The
    /// number is absent if the base is no longer in the history.
    std::vector<ItemKey> conflictItems;
    std::optional<uint64_t> conflictCount;

    bool operator==(const PlanRecord&) const = default;
};

/// Answer to a command.
struct ApplyOutcome {
    ResultCode code {};
    std::string detail;
    PlanId plan;
    PlanStatus status { PlanStatus::Refused };
    /// The plan's revision if it is confirmed, otherwise the current revision.
    Revision revision;
    std::vector<ItemKey> conflictItems;
    std::optional<uint64_t> conflictCount;
    /// The command was a resend and this is the first answer again.
    bool repeated { false };
    /// Set if the command created a revision: to be published.
    std::optional<ConfigDelta> delta;

    bool operator==(const ApplyOutcome&) const = default;
};

/// Bounds of the book. They must be the same on all replicas.
struct PlanBookOptions {
    size_t maxPlans { 1024 };
    /// Encoded records of all plans; 1,024 plans of the largest size would need 256 MB.
    size_t maxPlanBytes { size_t { 4 } << 20 };
    size_t maxOpenPerOperator { 64 };
    size_t maxConflictItems { 128 };
    /// Accepted documents whose resends are recognised.
    size_t maxAcceptedDocuments { 4096 };
    /// Only tests switch these off, to show which invariant they protect.
    bool checkBase { true };
    bool answerResends { true };
};

/// Plans and configuration as the log's state machine.
class PlanBook {
public:
    explicit PlanBook(PlanBookOptions = {});
    PlanBook(const PlanBook&) = delete;
    PlanBook& operator=(const PlanBook&) = delete;
    PlanBook(PlanBook&&) = default;
    PlanBook& operator=(PlanBook&&) = default;

    static std::string encode(const PlanCommand&);
    static std::error_code decode(std::string_view, PlanCommand*);

    /// Applies one committed command. Deterministic. A command that does not decode has the outcome MalformedPlan and
    /// no effect.
    ApplyOutcome apply(std::string_view command);

    const ConfigState& state() const { return m_history.state(); }
    const ConfigHistory& history() const { return m_history; }
    /// Null if unknown or no longer retained.
    const PlanRecord* find(const PlanId&) const;
    /// Newest first.
    std::vector<const PlanRecord*> plans() const;

    /// What a replacement would do now: the outcome if it changes nothing, otherwise nothing and the patch to
    /// replicate.
    std::optional<ApplyOutcome> prepare(const ReplaceCommand&, PatchCommand*) const;
    /// Version of the document in force; zero before the first one.
    DocumentVersion documentVersion() const;
    /// The document in force, as the operator wrote it.
    const std::string& document() const { return m_document; }

    /// The whole book for a snapshot of the log. Equal books give equal bytes.
    std::string serialise() const;
    /// Replaces the book; on an error it is unchanged.
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
    ApplyOutcome replace(const ReplaceCommand&);
    ApplyOutcome patch(const PatchCommand&);
    /// The outcome of a document that is known or does not build on the one in force; nothing for one that does.
    std::optional<ApplyOutcome> decideVersion(DocumentVersion, DocumentVersion base, const Digest&) const;
    std::error_code replaceItems(const std::vector<ConfigItem>&, ConfigState*, std::string* detail) const;
    ApplyOutcome accept(DocumentVersion, const Digest&, std::string document, ConfigState next);
    ApplyOutcome outcomeOf(const PlanRecord&) const;
    ApplyOutcome refusal(const PlanId&, ResultCode, std::string detail) const;
    /// Confirms the plan or records why not; returns the delta if it created a revision.
    std::optional<ConfigDelta> decide(PlanRecord*);
    void markConflict(PlanRecord*) const;
    size_t openPlans(const OperatorName&) const;
    bool isOpen(const PlanRecord&) const;
    bool isCurrentBase(Revision) const;
    void store(PlanRecord);
    void updateSize(Entry*);
    void enforceLimits();
    void evict();

    PlanBookOptions m_options;
    ConfigHistory m_history;
    /// Oldest first.
    Entries m_plans;
    std::unordered_map<PlanId, Entries::iterator> m_index;
    size_t m_planBytes { 0 };
    std::string m_document;
    /// Oldest first; the last one is in force.
    std::deque<AcceptedDocument> m_accepted;
};

} // namespace dragonflylane
