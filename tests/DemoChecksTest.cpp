// Tests the checks of the demo. Each test guards against a check that passes although an invariant is violated.

#include "bench/DemoObserver.h"
#include "bench/DemoTraffic.h"
#include "bench/UpstreamStandIn.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

namespace dragonflylane {
namespace {

    DemoRecord order(const std::string& target, DemoOutcome outcome)
    {
        return { .target = target, .isOrder = true, .outcome = outcome };
    }

    TEST(DemoChecksTest, DetectsTruncatedAndMismatchedResponses)
    {
        std::string body = makeStandInResponse("/catalogue/1", "catalogue-1");
        EXPECT_EQ(checkStandInResponse(body, "/catalogue/1"), ResponseFault::None);
        EXPECT_EQ(checkStandInResponse(body, "/catalogue/2"), ResponseFault::Mismatched);
        EXPECT_EQ(checkStandInResponse(body, "/catalogue/11"), ResponseFault::Mismatched);
        for (size_t length = 0; length < body.size(); ++length)
            EXPECT_EQ(checkStandInResponse(body.substr(0, length), "/catalogue/1"), ResponseFault::Truncated) << length;
        std::string second = makeStandInResponse("/catalogue/2", "catalogue-1");
        EXPECT_EQ(
            checkStandInResponse(second.substr(0, second.size() / 2) + body, "/catalogue/2"), ResponseFault::Truncated);
    }

    TEST(DemoChecksTest, CountsDuplicateLostAndWronglyReportedOrders)
    {
        std::vector<DemoRecord> records { order("/a", DemoOutcome::Success), order("/b", DemoOutcome::Success),
            order("/c", DemoOutcome::NotRun), order("/c", DemoOutcome::NotConnected), order("/d", DemoOutcome::NotRun),
            order("/e", DemoOutcome::Unknown), order("/f", DemoOutcome::Unknown), order("/f", DemoOutcome::NotRun) };
        DemoOrderCounts counts = compareWithLedgers(records, { { "/a", 2 }, { "/c", 1 }, { "/e", 2 }, { "/f", 1 } });
        EXPECT_EQ(counts.orders, 6U);
        EXPECT_EQ(counts.duplicated, 2U);
        EXPECT_EQ(counts.lost, 1U);
        EXPECT_EQ(counts.executedButReportedNotRun, 1U);
        EXPECT_EQ(counts.unknown, 2U);
    }

    TEST(DemoChecksTest, DetectsPartiallyAppliedConfiguration)
    {
        auto content = [](const char* services, const char* routes, const char* digest) {
            boost::json::object routingTable { { "digest", digest } };
            routingTable["services"] = boost::json::parse(services);
            routingTable["routes"] = boost::json::parse(routes);
            return configuredContent(routingTable);
        };
        const char* complete = R"([{"name": "a", "upstreams": []}, {"name": "b", "upstreams": []}])";
        const char* otherUpstreams = R"([{"name": "a", "upstreams": [{"id": "a-1"}]}, {"name": "b", "upstreams": []}])";
        const char* partial = R"([{"name": "a", "upstreams": []}])";
        const char* route = R"([{"name": "r", "split": [{"service": "a", "weight": 1}]}])";
        EXPECT_EQ(content(complete, route, "1"), content(otherUpstreams, route, "1"));
        EXPECT_NE(content(complete, route, "1"), content(partial, route, "1"));
        EXPECT_NE(content(complete, route, "1"), content(complete, "[]", "1"));
        EXPECT_NE(content(complete, route, "1"), content(complete, route, "2"));
    }

    TEST(DemoChecksTest, CountsDanglingRoutesAndUpstreamsOfUnknownOwners)
    {
        auto routingTable
            = boost::json::parse(R"({"services": [{"name": "a", "upstreams": [{"id": "a-1", "owner": "h1"},
            {"id": "a-2", "owner": "h2"}, {"id": "a-3", "owner": "h3"}]}],
            "routes": [{"split": [{"service": "a"}, {"service": "b"}]}]})");
        auto members
            = boost::json::parse(R"({"members": [{"host": "h1", "state": "alive"}, {"host": "h2", "state": "dead"}]})");
        EXPECT_EQ(countDanglingRoutes(routingTable), 1U);
        EXPECT_EQ(countUnknownUpstreams(routingTable, members), 2U);
    }

} // namespace
} // namespace dragonflylane
