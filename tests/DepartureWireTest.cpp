// Checks the encoding of the messages about departures.

#include "dragonflylane/DepartureWire.h"

#include "dragonflylane/DepartureList.h"

#include <gtest/gtest.h>

namespace dragonflylane {

namespace {

    std::vector<DepartedProcess> departures(size_t count)
    {
        std::vector<DepartedProcess> result;
        for (size_t i = 0; i < count; ++i) {
            result.push_back({ .upstream = UpstreamId("catalogue-1"),
                .departure = { .process = ProcessId(~i), .sequence = Sequence(i), .isFinal = i % 2 == 0 } });
        }
        return result;
    }

} // namespace

// Guards against a field that is lost on the way.
TEST(DepartureWireTest, MessagesAreDecodedAsTheyWere)
{
    DepartureRequest request {
        .host = HostId("host-1"), .bootId = BootId(~uint64_t { 0 }), .departures = departures(3)
    };
    DepartureMessage decoded;
    ASSERT_FALSE(decode(encode(request), decoded));
    EXPECT_EQ(std::get<DepartureRequest>(decoded), request);
    DepartureAnswer answer { .host = HostId("host-1"),
        .bootId = BootId(7),
        .departures = departures(1),
        .quarantine = { { .fingerprint = Fingerprint(5),
            .deaths = { { UpstreamId("a"), Incarnation(1) } },
            .remaining = std::chrono::seconds(3) } } };
    ASSERT_FALSE(decode(encode(answer), decoded));
    EXPECT_EQ(std::get<DepartureAnswer>(decoded), answer);
}

// Guards against a message that makes a daemon store what can't be a departure.
TEST(DepartureWireTest, InvalidMessagesAreRejected)
{
    DepartureMessage decoded;
    EXPECT_TRUE(decode("", decoded));
    EXPECT_TRUE(decode(std::string(1, '\0'), decoded)) << "neither a request nor an answer";
    EXPECT_TRUE(decode(encode(DepartureRequest { .host = HostId("") }), decoded));
    auto tooMany = departures(DepartureList::maxProcesses + 1);
    EXPECT_TRUE(decode(encode(DepartureRequest { .host = HostId("host-1"), .departures = tooMany }), decoded));
    auto nameless = departures(1);
    nameless.front().upstream = UpstreamId("");
    EXPECT_TRUE(decode(encode(DepartureRequest { .host = HostId("host-1"), .departures = nameless }), decoded));
}

} // namespace dragonflylane
