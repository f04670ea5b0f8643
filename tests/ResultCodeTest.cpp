#include "dragonflylane/ResultCode.h"

#include <gtest/gtest.h>
#include <set>

namespace dragonflylane {

// Guards against a table that is not sorted by code, in which the binary search would miss entries.
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

// Guards against a code in the "not run" range for a request that may have run.
TEST(ResultCodeTest, RunStateFollowsFromTheNumberRange)
{
    EXPECT_EQ(runState(ResultCode::QueueFull), RunState::NotRun);
    EXPECT_EQ(runState(ResultCode::OwnerLost), RunState::Unknown);
    EXPECT_EQ(runState(ResultCode::Ok), RunState::Answered);
}

TEST(ResultCodeTest, ExitCodeFollowsFromTheNumberRange)
{
    EXPECT_EQ(exitCode(ResultCode::Ok), 0);
    EXPECT_EQ(exitCode(ResultCode::SettingUnknown), 2);
    EXPECT_EQ(exitCode(ResultCode::PlanConflict), 3);
}

} // namespace dragonflylane
