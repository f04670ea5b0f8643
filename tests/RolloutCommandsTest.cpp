#include "dragonflylane/PlanStateMachine.h"

#include "tests/ConfigGenerators.h"

#include <gtest/gtest.h>

namespace dragonflylane {

namespace {

    using std::chrono::seconds;

    StartRolloutCommand startOf(const std::string& version, seconds duration = seconds(12))
    {
        return { ServiceName("orders"), UpstreamVersion(version), duration, OperatorName("anna") };
    }

    AdvanceRolloutCommand advanceOf(const std::string& version, RolloutState state, uint32_t sharePermille)
    {
        return { ServiceName("orders"), UpstreamVersion(version), state, sharePermille, seconds(3) };
    }

    ReplaceCommand documentOf(uint64_t version, uint64_t base)
    {
        ReplaceCommand command { DocumentVersion(version), DocumentVersion(base) };
        command.items = { service("orders"), service("stock" + std::to_string(version)) };
        command.document = "document " + std::to_string(version);
        command.operatorName = OperatorName("anna");
        return command;
    }

    class RolloutCommandsTest : public testing::Test {
    protected:
        RolloutCommandsTest() { apply(documentOf(1, 0)); }

        ApplyOutcome apply(const PlanCommand& command)
        {
            return m_stateMachine.apply(PlanStateMachine::encode(command));
        }

        const RolloutItem& item() const
        {
            return std::get<RolloutItem>(*m_stateMachine.state().find(rolloutKey(ServiceName("orders"))));
        }

        PlanStateMachine m_stateMachine;
    };

} // namespace

// The answer to an operator is lost, so the same order comes again, also after the version was rolled back.
TEST_F(RolloutCommandsTest, ResentStartHasNoEffect)
{
    EXPECT_TRUE(apply(startOf("v2")).delta);
    apply(advanceOf("v2", RolloutState::Running, 50));
    EXPECT_TRUE(apply(startOf("v2")).repeated);
    EXPECT_EQ(item().sharePermille, 50U);
    apply(advanceOf("v2", RolloutState::RolledBack, 0));
    EXPECT_TRUE(apply(startOf("v2")).repeated);
    EXPECT_EQ(item().state, RolloutState::RolledBack);
    EXPECT_EQ(item().elapsed, seconds(3));
}

TEST_F(RolloutCommandsTest, OneRolloutOfAServiceRunsAtATime)
{
    apply(startOf("v2"));
    EXPECT_EQ(apply(startOf("v3")).code, ResultCode::RolloutConflict);
    apply(advanceOf("v2", RolloutState::Completed, 1000));
    EXPECT_EQ(apply(startOf("v3")).code, ResultCode::Ok);
    EXPECT_EQ(item().target, UpstreamVersion("v3"));
    EXPECT_EQ(item().state, RolloutState::Running);
}

TEST_F(RolloutCommandsTest, InvalidStartsAreRejected)
{
    StartRolloutCommand unknown = startOf("v2");
    unknown.service = ServiceName("missing");
    EXPECT_EQ(apply(unknown).code, ResultCode::UnknownService);
    EXPECT_EQ(apply(startOf("v2", seconds(0))).code, ResultCode::InvalidValue);
    EXPECT_EQ(apply(startOf("bad version")).code, ResultCode::InvalidName);
}

// A former leader, whose command is committed late, must not undo the verdict of its successor.
TEST_F(RolloutCommandsTest, AdvanceAfterTheVerdictHasNoEffect)
{
    apply(startOf("v2"));
    apply(advanceOf("v2", RolloutState::RolledBack, 0));
    EXPECT_FALSE(apply(advanceOf("v2", RolloutState::Completed, 1000)).delta);
    EXPECT_EQ(item().state, RolloutState::RolledBack);
    EXPECT_FALSE(apply(advanceOf("v1", RolloutState::Running, 1000)).delta);
}

// Documents replace all items that operators configure; a roll-out that runs meanwhile must survive them and a restart.
TEST_F(RolloutCommandsTest, RolloutSurvivesDocumentsAndSnapshots)
{
    apply(startOf("v2"));
    EXPECT_EQ(apply(documentOf(2, 1)).code, ResultCode::Ok);
    PlanStateMachine restored;
    ASSERT_FALSE(restored.restore(m_stateMachine.serialise()));
    EXPECT_EQ(*restored.state().find(rolloutKey(ServiceName("orders"))), ConfigItem(item()));
}

// The leader advances a roll-out between an operator's plan and its confirmation.
TEST_F(RolloutCommandsTest, AdvancesDoNotOutdateAPlan)
{
    apply(startOf("v2"));
    PlanRequest request { std::nullopt, { SetItem { service("billing") } } };
    apply(ProposeCommand { PlanId("p1"), request, OperatorName("anna") });
    apply(advanceOf("v2", RolloutState::Running, 50));
    EXPECT_EQ(apply(ConfirmCommand { PlanId("p1"), OperatorName("anna") }).code, ResultCode::Ok);
}

} // namespace dragonflylane
