// Tests of QuotaWire: daemons of the mesh must not trust the numbers and names of a damaged or forged message.

#include "dragonflylane/QuotaWire.h"

#include "dragonflylane/ResultCode.h"

#include <gtest/gtest.h>

namespace dragonflylane {

namespace {

    QuotaReport sampleReport()
    {
        QuotaReport report { .host = HostId("a"),
            .life = BootId(UINT64_MAX),
            .number = Sequence(7),
            .age = std::chrono::seconds(3),
            .isComplete = true };
        report.demands.push_back({ .tenant = TenantName("reader"), .held = 5, .spent = 4, .wanted = 9, .waiting = 2 });
        return report;
    }

} // namespace

TEST(QuotaWireTest, ReportSurvivesTheWire)
{
    QuotaMessage decoded;
    ASSERT_FALSE(decode(encode(sampleReport()), decoded));
    const auto& report = std::get<QuotaReport>(decoded);
    EXPECT_EQ(report.host, HostId("a"));
    EXPECT_EQ(report.life, BootId(UINT64_MAX));
    EXPECT_EQ(report.number, Sequence(7));
    EXPECT_EQ(report.age, std::chrono::seconds(3));
    EXPECT_TRUE(report.isComplete);
    ASSERT_EQ(report.demands.size(), 1U);
    EXPECT_EQ(report.demands[0].tenant, TenantName("reader"));
    EXPECT_EQ(report.demands[0].held, 5U);
    EXPECT_EQ(report.demands[0].spent, 4U);
    EXPECT_EQ(report.demands[0].wanted, 9U);
    EXPECT_EQ(report.demands[0].waiting, 2U);
}

TEST(QuotaWireTest, GrantSurvivesTheWire)
{
    QuotaGrant grant { .term = Term(2), .life = BootId(3), .number = Sequence(4), .needsComplete = true };
    grant.allowances.push_back(
        { .tenant = TenantName("reader"), .allowance = 5, .retryAfter = std::chrono::milliseconds(1200) });
    QuotaMessage decoded;
    ASSERT_FALSE(decode(encode(grant), decoded));
    const auto& result = std::get<QuotaGrant>(decoded);
    EXPECT_EQ(result.term, Term(2));
    EXPECT_EQ(result.life, BootId(3));
    EXPECT_EQ(result.number, Sequence(4));
    EXPECT_TRUE(result.needsComplete);
    ASSERT_EQ(result.allowances.size(), 1U);
    EXPECT_EQ(result.allowances[0].allowance, 5U);
    EXPECT_EQ(result.allowances[0].retryAfter, std::chrono::milliseconds(1200));
}

TEST(QuotaWireTest, RejectsInvalidNamesAndDamagedBytes)
{
    QuotaMessage decoded;
    QuotaReport report = sampleReport();
    report.demands[0].tenant = TenantName("two words");
    EXPECT_EQ(decode(encode(report), decoded), ResultCode::MalformedFrame);
    report = sampleReport();
    report.host = HostId("A B");
    EXPECT_EQ(decode(encode(report), decoded), ResultCode::MalformedFrame);
    std::string bytes = encode(sampleReport());
    EXPECT_EQ(decode(bytes + "x", decoded), ResultCode::MalformedFrame);
    for (size_t length = 0; length < bytes.size(); ++length)
        EXPECT_EQ(decode(std::string_view(bytes).substr(0, length), decoded), ResultCode::MalformedFrame);
}

} // namespace dragonflylane
