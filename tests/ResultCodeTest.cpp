#include "dragonflylane/ResultCode.h"

#include <gtest/gtest.h>
#include <set>

namespace dragonflylane {

// Guards against a code that is added to the enumeration's list out of order, which the lookup would not find.
TEST(ResultCodeTest, TableIsSortedAndNamesAreUnique)
{
    std::set<std::string_view> names;
    ResultCode previous = ResultCode::Ok;
    for (const ResultCodeInfo& info : allResultCodes()) {
        EXPECT_LE(previous, info.code);
        EXPECT_EQ(name(info.code), info.name);
        EXPECT_FALSE(message(info.code).empty());
        EXPECT_TRUE(names.insert(info.name).second) << info.name;
        previous = info.code;
    }
}

// Guards against a refusal whose number promises "not run" for a request that may have run.
TEST(ResultCodeTest, NumberRangeTellsWhetherTheRequestRan)
{
    EXPECT_EQ(runState(ResultCode::QueueFull), RunState::NotRun);
    EXPECT_EQ(runState(ResultCode::OwnerLost), RunState::Unknown);
    EXPECT_EQ(runState(ResultCode::Ok), RunState::Answered);
}

TEST(ResultCodeTest, SettingsErrorsExitWithTwo)
{
    EXPECT_EQ(exitCode(ResultCode::Ok), 0);
    EXPECT_EQ(exitCode(ResultCode::SettingUnknown), 2);
    EXPECT_EQ(exitCode(ResultCode::PlanConflict), 3);
}

} // namespace dragonflylane
