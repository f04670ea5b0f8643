#include "dragonflylane/PlanStateMachine.h"

#include "dragonflylane/PlanWire.h"
#include "tests/ConfigGenerators.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dragonflylane {

namespace {

    PlanChange setService(const std::string& name, int timeout = 1000)
    {
        return SetItem { service(name, timeout) };
    }

    PlanChange removeService(const std::string& name)
    {
        return RemoveItem { serviceKey(ServiceName(name)) };
    }

    std::string proposal(const std::string& plan, std::vector<PlanChange> changes,
        std::optional<Revision> base = std::nullopt, const std::string& operatorName = "anna")
    {
        return PlanStateMachine::encode(
            ProposeCommand { PlanId(plan), { base, std::move(changes) }, OperatorName(operatorName) });
    }

    std::string confirmation(const std::string& plan, const std::string& operatorName = "anna")
    {
        return PlanStateMachine::encode(ConfirmCommand { PlanId(plan), OperatorName(operatorName) });
    }

    std::string keepers(uint64_t epoch, const std::vector<std::string>& hosts)
    {
        SetKeepersCommand command { Epoch(epoch), {} };
        for (const std::string& host : hosts)
            command.hosts.push_back({ HostId(host), DataCentreName("dc") });
        return PlanStateMachine::encode(command);
    }

    /// Reference model of the plans: plain lists instead of maps and histories. Each plan sets or removes one service.
    class ReferencePlans {
    public:
        struct Plan {
            std::string id;
            uint64_t base;
            std::string service;
            int timeout; // 0 removes the service.
            PlanStatus status;
            uint64_t revision;
            std::set<std::string> conflict;
        };

        Plan propose(const std::string& id, std::optional<uint64_t> base, const std::string& service, int timeout)
        {
            Plan plan { id, base.value_or(revision()), service, timeout, PlanStatus::Proposed, revision(), {} };
            if (plan.base != revision())
                conflict(plan);
            else {
                bool exists = m_services.contains(service);
                bool changes = timeout == 0 ? exists : !exists || m_services[service] != timeout;
                if (!changes)
                    plan.status = PlanStatus::Refused;
            }
            plans.push_back(plan);
            return plan;
        }

        Plan confirm(size_t index)
        {
            Plan& plan = plans[index];
            if (plan.status != PlanStatus::Proposed)
                return plan;
            if (plan.base != revision()) {
                conflict(plan);
                return plan;
            }
            if (plan.timeout == 0)
                m_services.erase(plan.service);
            else
                m_services[plan.service] = plan.timeout;
            m_changedServices.push_back(plan.service);
            plan.status = PlanStatus::Confirmed;
            plan.revision = revision();
            return plan;
        }

        uint64_t revision() const { return m_changedServices.size(); }
        const std::map<std::string, int>& services() const { return m_services; }

        std::vector<Plan> plans;

    private:
        void conflict(Plan& plan) const
        {
            plan.status = PlanStatus::Conflicted;
            plan.revision = revision();
            for (uint64_t i = plan.base; i < revision(); ++i)
                plan.conflict.insert(m_changedServices[i]);
        }

        std::map<std::string, int> m_services;
        std::vector<std::string> m_changedServices;
    };

    void compare(const ApplyOutcome& outcome, const ReferencePlans::Plan& plan, uint64_t current)
    {
        RC_ASSERT(outcome.status == plan.status);
        RC_ASSERT(outcome.revision.value() == (plan.status == PlanStatus::Proposed ? current : plan.revision));
        std::set<std::string> conflict;
        for (const ItemKey& key : outcome.conflictItems)
            conflict.insert(key.name);
        RC_ASSERT(conflict == plan.conflict);
        bool isConflict = plan.status == PlanStatus::Conflicted;
        RC_ASSERT((outcome.code == ResultCode::PlanConflict) == isConflict);
        if (isConflict && plan.base <= current)
            RC_ASSERT(outcome.conflictCount.value_or(0) == conflict.size());
    }

} // namespace

// Guards against outcomes that differ from the reference model for any sequence of new, repeated or concurrent
// proposals and confirmations, and against replicas with different outcomes, also after a restore from a snapshot.
RC_GTEST_PROP(PlanStateMachineProperty, MatchesReferenceAndOtherReplicas, ())
{
    ReferencePlans reference;
    PlanStateMachine stateMachine;
    PlanStateMachine replica;
    std::vector<std::string> sent;
    for (int step = 0; step < 60; ++step) {
        uint32_t action = randomBelow(10);
        std::string command;
        if (action < 5 || reference.plans.empty()) {
            std::string id = "plan-" + std::to_string(reference.plans.size());
            std::string name = "service-" + std::to_string(randomBelow(4));
            int timeout = static_cast<int>(randomBelow(4));
            std::optional<uint64_t> base;
            if (randomBelow(3) == 0)
                base = randomBelow(static_cast<uint32_t>(reference.revision()) + 2);
            std::vector<PlanChange> changes { setService(name, timeout) };
            if (timeout == 0)
                changes = { removeService(name) };
            command = proposal(id, changes, base ? std::optional(Revision(*base)) : std::nullopt);
            ApplyOutcome outcome = stateMachine.apply(command);
            compare(outcome, reference.propose(id, base, name, timeout), reference.revision());
            RC_ASSERT(!outcome.repeated);
            RC_ASSERT(replica.apply(command) == outcome);
        } else {
            size_t index = randomBelow(static_cast<uint32_t>(reference.plans.size()));
            bool isDecided = reference.plans[index].status != PlanStatus::Proposed;
            command = confirmation("plan-" + std::to_string(index));
            ApplyOutcome outcome = stateMachine.apply(command);
            compare(outcome, reference.confirm(index), reference.revision());
            RC_ASSERT(outcome.repeated == isDecided);
            bool created = !isDecided && outcome.status == PlanStatus::Confirmed;
            RC_ASSERT(outcome.delta.has_value() == created);
            RC_ASSERT(replica.apply(command) == outcome);
        }
        RC_ASSERT(stateMachine.state().revision().value() == reference.revision());
        RC_ASSERT(stateMachine.state().items().size() == reference.services().size());
        for (const auto& [name, timeout] : reference.services())
            RC_ASSERT(stateMachine.state().service(ServiceName(name))->timeout.count() == timeout);
        RC_ASSERT(stateMachine.serialise() == replica.serialise());
        if (randomBelow(10) == 0) {
            PlanStateMachine restored;
            RC_ASSERT(!restored.restore(stateMachine.serialise()));
            replica = std::move(restored);
        }
    }
}

// Guards against commands that change when they are encoded and decoded.
RC_GTEST_PROP(PlanStateMachineProperty, CommandsRoundTrip, ())
{
    ProposeCommand propose { PlanId("p"), {}, OperatorName("anna") };
    if (randomBelow(2) == 0)
        propose.request.base = Revision(randomBelow(9));
    for (uint32_t i = randomBelow(5); i > 0; --i) {
        if (randomBelow(2) == 0)
            propose.request.changes.push_back(SetItem { randomItem() });
        else
            propose.request.changes.push_back(RemoveItem { keyOf(randomItem()) });
    }
    PlanCommand decoded;
    RC_ASSERT(!PlanStateMachine::decode(PlanStateMachine::encode(propose), &decoded));
    RC_ASSERT(decoded == PlanCommand(propose));
    std::string bytes = PlanStateMachine::encode(propose);
    RC_ASSERT(!!PlanStateMachine::decode(bytes.substr(0, randomBelow(static_cast<uint32_t>(bytes.size()))), &decoded));
}

// Guards against a lost update when two operators confirm plans on the same revision.
TEST(PlanStateMachineTest, SecondConfirmationOnTheSameBaseConflicts)
{
    auto confirmConcurrentPlans = [](PlanStateMachine& stateMachine) {
        stateMachine.apply(proposal("base", { setService("a", 1) }));
        stateMachine.apply(confirmation("base"));
        stateMachine.apply(proposal("first", { setService("a", 2) }, Revision(1), "anna"));
        stateMachine.apply(proposal("second", { setService("a", 3) }, Revision(1), "bert"));
        stateMachine.apply(confirmation("first", "anna"));
        return stateMachine.apply(confirmation("second", "bert"));
    };
    PlanStateMachine stateMachine;
    ApplyOutcome outcome = confirmConcurrentPlans(stateMachine);
    EXPECT_EQ(outcome.code, ResultCode::PlanConflict);
    EXPECT_EQ(outcome.revision, Revision(2));
    EXPECT_EQ(outcome.conflictItems, (std::vector<ItemKey> { { ItemKind::Service, "a" } }));
    EXPECT_EQ(stateMachine.state().service(ServiceName("a"))->timeout.count(), 2);

    PlanStateMachine unchecked({ .checkBase = false });
    EXPECT_EQ(confirmConcurrentPlans(unchecked).code, ResultCode::Ok);
    EXPECT_EQ(unchecked.state().service(ServiceName("a"))->timeout.count(), 3)
        << "without the check the update to 2 is lost";
}

// Guards against a retry after a lost response that reports a conflict although the plan was applied.
TEST(PlanStateMachineTest, RepeatedConfirmationGetsTheOriginalOutcome)
{
    auto confirmTwice = [](PlanStateMachine& stateMachine) {
        stateMachine.apply(proposal("p", { setService("a") }));
        ApplyOutcome first = stateMachine.apply(confirmation("p"));
        EXPECT_EQ(first.code, ResultCode::Ok);
        EXPECT_TRUE(first.delta.has_value());
        stateMachine.apply(proposal("q", { setService("b") }));
        stateMachine.apply(confirmation("q"));
        return stateMachine.apply(confirmation("p", "bert"));
    };
    PlanStateMachine stateMachine;
    ApplyOutcome again = confirmTwice(stateMachine);
    EXPECT_EQ(again.code, ResultCode::Ok);
    EXPECT_EQ(again.revision, Revision(1));
    EXPECT_TRUE(again.repeated);
    EXPECT_FALSE(again.delta.has_value());
    EXPECT_EQ(stateMachine.find(PlanId("p"))->confirmedBy, OperatorName("anna"));

    PlanStateMachine unchecked({ .deduplicateCommands = false });
    EXPECT_EQ(confirmTwice(unchecked).code, ResultCode::PlanConflict)
        << "without deduplication the retry reports a conflict";
}

// Guards against two different plans with one id.
TEST(PlanStateMachineTest, RepeatedProposalGetsTheOriginalOutcomeAndAnotherPlanIsRejected)
{
    PlanStateMachine stateMachine;
    EXPECT_EQ(stateMachine.apply(proposal("p", { setService("a") })).status, PlanStatus::Proposed);
    EXPECT_TRUE(stateMachine.apply(proposal("p", { setService("a") })).repeated);
    EXPECT_TRUE(stateMachine.apply(proposal("p", { setService("a") }, Revision(0))).repeated);
    EXPECT_EQ(stateMachine.apply(proposal("p", { setService("b") })).code, ResultCode::InvalidValue);
    EXPECT_EQ(stateMachine.apply(proposal("p", { setService("a") }, Revision(1))).code, ResultCode::InvalidValue);
    EXPECT_EQ(
        stateMachine.apply(proposal("p", { setService("a") }, std::nullopt, "bert")).code, ResultCode::InvalidValue);
    EXPECT_EQ(stateMachine.plans().size(), 1U);
}

// Guards against commands without a valid plan or operator, and against bytes that are not a command.
TEST(PlanStateMachineTest, RejectsMalformedCommands)
{
    PlanStateMachine stateMachine;
    EXPECT_EQ(stateMachine.apply("").code, ResultCode::MalformedPlan);
    EXPECT_EQ(stateMachine.apply("no command").code, ResultCode::MalformedPlan);
    EXPECT_EQ(stateMachine.apply(proposal("Bad id", { setService("a") })).code, ResultCode::InvalidName);
    EXPECT_EQ(stateMachine.apply(proposal("p", { setService("a") }, {}, "")).code, ResultCode::InvalidName);
    EXPECT_EQ(
        stateMachine.apply(proposal("p", { setService("a") }, {}, std::string(65, 'o'))).code, ResultCode::InvalidName);
    EXPECT_EQ(stateMachine.apply(confirmation("absent")).code, ResultCode::PlanNotFound);
    EXPECT_EQ(stateMachine.apply(confirmation("absent", "")).code, ResultCode::InvalidName);
    EXPECT_EQ(stateMachine.apply(confirmation("absent", std::string(65, 'o'))).code, ResultCode::InvalidName);
    EXPECT_EQ(stateMachine.apply(proposal("p", {})).code, ResultCode::EmptyPlan);
    EXPECT_EQ(stateMachine.apply(confirmation("p")).code, ResultCode::EmptyPlan)
        << "a refused plan must not be confirmed";
    EXPECT_EQ(stateMachine.state(), ConfigState());
}

// Guards against one operator whose open plans use up the capacity for all. Plans whose base is no longer current do
// not count.
TEST(PlanStateMachineTest, LimitsOpenPlansPerOperator)
{
    PlanStateMachine stateMachine;
    for (int i = 0; i < 64; ++i)
        EXPECT_EQ(stateMachine.apply(proposal("p" + std::to_string(i), { setService("a") })).code, ResultCode::Ok);
    EXPECT_EQ(stateMachine.apply(proposal("more", { setService("a") })).code, ResultCode::TooManyPlans);
    EXPECT_EQ(stateMachine.find(PlanId("more")), nullptr);
    EXPECT_EQ(stateMachine.apply(proposal("other", { setService("a") }, {}, "bert")).code, ResultCode::Ok);
    EXPECT_EQ(stateMachine.apply(confirmation("p0")).code, ResultCode::Ok);
    EXPECT_EQ(stateMachine.apply(proposal("more", { setService("b") })).code, ResultCode::Ok);
    EXPECT_EQ(stateMachine.apply(proposal("yet-more", { setService("b") })).code, ResultCode::Ok);
}

// Guards against unbounded memory, and against a flood of refused plans that evicts a confirmed one.
TEST(PlanStateMachineTest, BoundsPlansByNumberAndBytes)
{
    PlanStateMachine stateMachine;
    stateMachine.apply(proposal("kept", { setService("a") }));
    stateMachine.apply(confirmation("kept"));
    for (int i = 0; i < 1100; ++i)
        stateMachine.apply(proposal("refused-" + std::to_string(i), { setService("a") }));
    EXPECT_EQ(stateMachine.plans().size(), 1024U);
    EXPECT_TRUE(stateMachine.apply(confirmation("kept")).repeated);
    EXPECT_EQ(stateMachine.find(PlanId("refused-0")), nullptr);
    EXPECT_NE(stateMachine.find(PlanId("refused-1099")), nullptr);

    PlanStateMachine small({ .maxPlanBytes = 1000 });
    for (int i = 0; i < 100; ++i)
        small.apply(proposal("p" + std::to_string(i), { setService("a", i + 1) }, {}, "anna" + std::to_string(i)));
    size_t bytes = 0;
    for (const PlanRecord* record : small.plans())
        bytes += encodedSize(*record);
    EXPECT_LE(bytes, 1000U);
    EXPECT_GT(small.plans().size(), 1U);
}

// Guards against an oversized proposal that evicts other plans.
TEST(PlanStateMachineTest, DoesNotStoreOversizedPlans)
{
    PlanStateMachine stateMachine;
    std::vector<PlanChange> changes(PlanLimits::changes + 1, setService("a"));
    EXPECT_EQ(stateMachine.apply(proposal("p", changes)).code, ResultCode::PlanTooLarge);
    EXPECT_EQ(stateMachine.find(PlanId("p")), nullptr);
}

// Guards against a conflict report that grows with the history.
TEST(PlanStateMachineTest, BoundsReportedConflictItems)
{
    PlanStateMachine stateMachine;
    std::vector<PlanChange> changes;
    changes.reserve(200);
    for (int i = 0; i < 200; ++i)
        changes.push_back(setService("s" + std::to_string(i)));
    stateMachine.apply(proposal("many", changes));
    stateMachine.apply(confirmation("many"));
    ApplyOutcome outcome = stateMachine.apply(proposal("late", { setService("a") }, Revision(0)));
    EXPECT_EQ(outcome.code, ResultCode::PlanConflict);
    EXPECT_EQ(outcome.conflictItems.size(), 128U);
    EXPECT_EQ(outcome.conflictCount, 200U);
    EXPECT_EQ(stateMachine.apply(proposal("early", { setService("a") }, Revision(9))).conflictCount, std::nullopt);
}

// Guards against conflicts that no operator has caused: the leader changes the keeper view between proposal and
// confirmation. A plan of another operator in between still causes a conflict.
TEST(PlanStateMachineTest, KeeperViewBetweenProposalAndConfirmationIsNoConflict)
{
    PlanStateMachine stateMachine;
    stateMachine.apply(proposal("p-1", { setService("a") }, Revision(0)));
    stateMachine.apply(proposal("p-2", { setService("b") }, Revision(0)));
    stateMachine.apply(keepers(1, { "h" }));
    ApplyOutcome first = stateMachine.apply(confirmation("p-1"));
    EXPECT_EQ(first.code, ResultCode::Ok);
    EXPECT_EQ(first.revision, Revision(2));
    EXPECT_EQ(stateMachine.apply(confirmation("p-2")).code, ResultCode::PlanConflict);
    EXPECT_EQ(stateMachine.apply(proposal("p-3", { setService("c") }, Revision(0))).code, ResultCode::PlanConflict);
}

// Guards against an older keeper view that replaces a newer one, and against a retry that creates a revision.
TEST(PlanStateMachineTest, KeeperViewAdvancesByEpoch)
{
    PlanStateMachine stateMachine;
    ApplyOutcome first = stateMachine.apply(keepers(1, { "b", "a" }));
    EXPECT_EQ(first.code, ResultCode::Ok);
    EXPECT_TRUE(first.delta.has_value());
    ApplyOutcome again = stateMachine.apply(keepers(1, { "a", "b" }));
    EXPECT_EQ(again.code, ResultCode::Ok);
    EXPECT_FALSE(again.delta.has_value());
    EXPECT_EQ(stateMachine.state().revision(), Revision(1));
    EXPECT_EQ(stateMachine.apply(keepers(1, { "c" })).code, ResultCode::PlanConflict);
    EXPECT_EQ(stateMachine.apply(keepers(0, { "c" })).code, ResultCode::PlanConflict);
    EXPECT_EQ(stateMachine.apply(keepers(2, { "c", "c" })).code, ResultCode::InvalidValue);
    EXPECT_EQ(stateMachine.state().revision(), Revision(1));
    EXPECT_EQ(stateMachine.apply(keepers(5, { "c" })).revision, Revision(2));
    EXPECT_EQ(stateMachine.state().keeperView()->epoch, Epoch(5));
}

// Guards against a state that is partly replaced by a damaged or inconsistent snapshot.
TEST(PlanStateMachineTest, RestoreRejectsDamagedSnapshots)
{
    PlanStateMachine stateMachine;
    stateMachine.apply(proposal("p", { setService("a") }));
    stateMachine.apply(confirmation("p"));
    const std::string good = stateMachine.serialise();
    PlanStateMachineSnapshot snapshot;
    ASSERT_FALSE(decodePlanSnapshot(good, &snapshot));

    auto restoreDamaged = [&](const std::string& bytes) {
        std::error_code error = stateMachine.restore(bytes);
        EXPECT_EQ(stateMachine.serialise(), good);
        return error;
    };
    EXPECT_EQ(restoreDamaged("nonsense"), ResultCode::MalformedFrame);
    EXPECT_EQ(restoreDamaged(good.substr(0, good.size() - 1)), ResultCode::MalformedFrame);
    PlanStateMachineSnapshot twice = snapshot;
    twice.plans.push_back(twice.plans.front());
    EXPECT_EQ(restoreDamaged(encodePlanSnapshot(twice)), ResultCode::MalformedFrame);
    PlanStateMachineSnapshot gap = snapshot;
    gap.deltas.back().toRevision = Revision(7);
    EXPECT_EQ(restoreDamaged(encodePlanSnapshot(gap)), ResultCode::BaseMismatch);
    PlanStateMachineSnapshot diverged = snapshot;
    diverged.deltas.back().toDigest = Digest(1, 1);
    EXPECT_EQ(restoreDamaged(encodePlanSnapshot(diverged)), ResultCode::DigestMismatch);
    PlanStateMachineSnapshot invalid = snapshot;
    invalid.deltas.clear();
    invalid.state.insert(CallRuleItem { ServiceName("a"), ServiceName("absent") });
    EXPECT_EQ(restoreDamaged(encodePlanSnapshot(invalid)), ResultCode::InvalidConfiguration);
    EXPECT_FALSE(stateMachine.restore(good));
    EXPECT_EQ(stateMachine.serialise(), good);
}

namespace {

    ReplaceCommand document(uint64_t version, uint64_t base, std::vector<ConfigItem> items)
    {
        std::string text = "version " + std::to_string(version) + ", " + std::to_string(items.size()) + " items";
        return { .version = DocumentVersion(version),
            .base = DocumentVersion(base),
            .items = std::move(items),
            .document = text + std::string(2000, 'x'),
            .operatorName = OperatorName("anna") };
    }

    /// Replaces the document like the leader: prepares the patch and, if needed, applies it as a command.
    ApplyOutcome replace(PlanStateMachine& stateMachine, const ReplaceCommand& command)
    {
        PatchCommand patch;
        if (auto outcome = stateMachine.prepare(command, &patch))
            return *outcome;
        return stateMachine.apply(PlanStateMachine::encode(patch));
    }

} // namespace

// Guards against a retry that is rejected although the document was accepted, and against two documents that are
// accepted with the same base version.
TEST(PlanStateMachineTest, DocumentsAreReplacedByCompareAndSet)
{
    PlanStateMachine stateMachine;
    ReplaceCommand first = document(3, 0, { service("a"), route("r", "/r", "a") });
    EXPECT_EQ(replace(stateMachine, first).code, ResultCode::Ok);
    ReplaceCommand left = document(7, 3, { service("a"), service("b"), route("r", "/r", "b") });
    ReplaceCommand right = document(7, 3, { service("a"), service("c"), service("d"), route("r", "/r", "c") });
    EXPECT_EQ(replace(stateMachine, left).revision, Revision(2));
    EXPECT_EQ(replace(stateMachine, right).code, ResultCode::PlanConflict);
    for (const ReplaceCommand& resent : { first, left }) {
        ApplyOutcome outcome = replace(stateMachine, resent);
        EXPECT_EQ(outcome.code, ResultCode::Ok);
        EXPECT_TRUE(outcome.repeated);
    }
    EXPECT_EQ(stateMachine.document(), left.document);
    EXPECT_EQ(stateMachine.documentVersion(), DocumentVersion(7));
    EXPECT_FALSE(stateMachine.state().service(ServiceName("c")));
    EXPECT_EQ(replace(stateMachine, document(7, 7, { service("a") })).code, ResultCode::InvalidValue);
    EXPECT_EQ(replace(stateMachine, document(6, 7, { service("a") })).code, ResultCode::InvalidValue);
    EXPECT_EQ(replace(stateMachine, document(9, 7, { route("r", "/r", "gone") })).code, ResultCode::DanglingRoute);
    EXPECT_EQ(replace(stateMachine, document(9, 7, { service("a"), service("a") })).code, ResultCode::InvalidValue);
    EXPECT_EQ(stateMachine.state().revision(), Revision(2));
}

// Guards against a patch whose base is no longer the current document when it is applied, and against a snapshot
// without the accepted documents.
TEST(PlanStateMachineTest, StalePatchesAreRejectedAndSnapshotsKeepDocuments)
{
    PlanStateMachine stateMachine;
    PatchCommand left;
    PatchCommand right;
    ASSERT_FALSE(stateMachine.prepare(document(1, 0, { service("a") }), &left));
    ASSERT_FALSE(stateMachine.prepare(document(2, 0, { service("b") }), &right));
    EXPECT_EQ(stateMachine.apply(PlanStateMachine::encode(left)).code, ResultCode::Ok);
    EXPECT_EQ(stateMachine.apply(PlanStateMachine::encode(right)).code, ResultCode::PlanConflict);
    EXPECT_TRUE(stateMachine.apply(PlanStateMachine::encode(left)).repeated);
    PlanStateMachine restored;
    ASSERT_FALSE(restored.restore(stateMachine.serialise()));
    EXPECT_EQ(restored.document(), stateMachine.document());
    EXPECT_TRUE(replace(restored, document(1, 0, { service("a") })).repeated);
    EXPECT_EQ(replace(restored, document(5, 1, { service("c") })).code, ResultCode::Ok);
    EXPECT_EQ(restored.state().all<ServiceItem>().size(), 1U);
}

// Guards against log entries whose size depends on the document instead of the change.
TEST(PlanStateMachineTest, PatchOfASmallChangeIsSmall)
{
    std::vector<ConfigItem> items { service("a") };
    std::string text;
    for (int i = 0; i < 700; ++i) {
        items.push_back(route("r" + std::to_string(i), "/prefix-" + std::to_string(i * 7919), "a"));
        text += "{\"name\":\"r" + std::to_string(i) + "\",\"prefix\":\"/prefix-" + std::to_string(i * 7919) + "\"}";
    }
    PlanStateMachine stateMachine;
    ReplaceCommand command {
        .version = DocumentVersion(1), .items = items, .document = text, .operatorName = OperatorName("anna")
    };
    ASSERT_EQ(replace(stateMachine, command).code, ResultCode::Ok);
    command.version = DocumentVersion(2);
    command.base = DocumentVersion(1);
    std::get<RouteItem>(command.items[5]).timeout = std::chrono::milliseconds(77);
    command.document.replace(command.document.find("r300"), 4, "R300");
    PatchCommand patch;
    ASSERT_FALSE(stateMachine.prepare(command, &patch));
    EXPECT_LT(PlanStateMachine::encode(patch).size(), 400U);
    EXPECT_EQ(stateMachine.apply(PlanStateMachine::encode(patch)).code, ResultCode::Ok);
    EXPECT_EQ(stateMachine.document(), command.document);
}

namespace {

    DepartedProcess departure(uint64_t process)
    {
        return { .upstream = UpstreamId("catalogue-1"),
            .departure = { .process = ProcessId(process), .sequence = Sequence(3), .isFinal = true } };
    }

    std::string recordDepartures(const std::string& host, std::vector<DepartedProcess> departures)
    {
        return PlanStateMachine::encode(RecordDeparturesCommand { HostId(host), std::move(departures) });
    }

} // namespace

// Guards against a departure that is lost with a restart of the control hosts, or when the log is compacted
// (review/10).
TEST(PlanStateMachineTest, DeparturesAreInTheSnapshot)
{
    PlanStateMachine stateMachine;
    ApplyOutcome outcome = stateMachine.apply(recordDepartures("host-2", { departure(1) }));
    EXPECT_EQ(outcome.code, ResultCode::Ok);
    EXPECT_FALSE(outcome.repeated);
    stateMachine.apply(recordDepartures("host-1", { departure(2), departure(3) }));
    EXPECT_TRUE(stateMachine.apply(recordDepartures("host-2", { departure(1) })).repeated);
    PlanStateMachine restored;
    ASSERT_FALSE(restored.restore(stateMachine.serialise()));
    EXPECT_EQ(restored.departures().at(HostId("host-2")).all(), std::vector { departure(1) });
    EXPECT_EQ(restored.departures().at(HostId("host-1")).all().size(), 2U);
    EXPECT_EQ(restored.serialise(), stateMachine.serialise());
}

// Guards against a request that crashes upstreams again after a restart of the control hosts.
TEST(PlanStateMachineTest, QuarantineIsInTheSnapshot)
{
    const QuarantinedRequest first { .fingerprint = Fingerprint(1),
        .deaths = { { UpstreamId("catalogue-1"), Incarnation(2) }, { UpstreamId("catalogue-2"), Incarnation(1) } } };
    const QuarantinedRequest second { .fingerprint = Fingerprint(2), .deaths = first.deaths };
    PlanStateMachine stateMachine;
    stateMachine.apply(PlanStateMachine::encode(ChangeQuarantineCommand { .added = { first, second } }));
    stateMachine.apply(PlanStateMachine::encode(ChangeQuarantineCommand { .removed = { second.fingerprint } }));
    PlanStateMachine restored;
    ASSERT_FALSE(restored.restore(stateMachine.serialise()));
    EXPECT_EQ(restored.quarantine().all(), std::vector { first });
    EXPECT_EQ(restored.state().revision(), Revision());
}

// Guards against plans that conflict, and configurations that are distributed, because an upstream has left.
TEST(PlanStateMachineTest, DeparturesChangeNoRevision)
{
    PlanStateMachine stateMachine;
    stateMachine.apply(proposal("p", { setService("catalogue") }));
    EXPECT_FALSE(stateMachine.apply(recordDepartures("host-1", { departure(1) })).delta);
    EXPECT_EQ(stateMachine.state().revision(), Revision());
    EXPECT_EQ(stateMachine.apply(confirmation("p")).status, PlanStatus::Confirmed);
}

// Guards against a log whose snapshot grows with each host that has ever been in the mesh.
TEST(PlanStateMachineTest, DeparturesOfTheLatestHostsAreKept)
{
    DepartureHistory history;
    for (size_t i = 0; i < DepartureHistory::maxHosts; ++i)
        history.add(HostId("host-" + std::to_string(i)), { departure(1) });
    history.add(HostId("host-0"), { departure(2) });
    history.add(HostId("one-more"), { departure(1) });
    EXPECT_EQ(history.hostCount(), DepartureHistory::maxHosts);
    EXPECT_EQ(history.at(HostId("host-0")).all().size(), 2U);
    EXPECT_TRUE(history.at(HostId("host-1")).isEmpty());
    EXPECT_FALSE(history.at(HostId("one-more")).isEmpty());
    EXPECT_EQ(history.all().back().host, HostId("one-more"));
}

} // namespace dragonflylane
