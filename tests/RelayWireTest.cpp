#include "dragonflylane/RelayWire.h"

#include "gen-cpp/relay_types.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace dragonflylane {

namespace {

    template <typename T> rc::Gen<T> number()
    {
        return rc::gen::map(rc::gen::inRange<int64_t>(0, int64_t { 1 } << 31), [](int64_t value) { return T(value); });
    }

    rc::Gen<HeldState> heldState()
    {
        return rc::gen::construct<HeldState>(number<Revision>(),
            rc::gen::construct<Digest>(rc::gen::arbitrary<uint64_t>(), rc::gen::arbitrary<uint64_t>()));
    }

    rc::Gen<HostId> host()
    {
        return rc::gen::map(rc::gen::nonEmpty<std::string>(), [](std::string text) {
            text.resize(std::min<size_t>(text.size(), 255));
            return HostId(text);
        });
    }

    rc::Gen<RevisionRefusal> refusal()
    {
        return rc::gen::construct<RevisionRefusal>(
            host(), number<Revision>(), rc::gen::element(ResultCode::InvalidConfiguration, ResultCode::StaleTerm));
    }

    template <typename T> rc::Gen<std::vector<T>> atMostMaxNamedHosts(rc::Gen<T> element)
    {
        return rc::gen::mapcat(rc::gen::inRange<size_t>(0, maxNamedHosts + 1),
            [element](size_t size) { return rc::gen::container<std::vector<T>>(size, element); });
    }

    rc::Gen<AckSummary> summary()
    {
        return rc::gen::construct<AckSummary>(number<Revision>(), rc::gen::inRange<uint32_t>(0, 10000),
            atMostMaxNamedHosts<Straggler>(rc::gen::construct<Straggler>(host(), number<Revision>())),
            atMostMaxNamedHosts<RevisionRefusal>(refusal()));
    }

    template <typename T> rc::Gen<std::optional<T>> optional(rc::Gen<T> value)
    {
        return rc::gen::mapcat(rc::gen::arbitrary<bool>(), [value](bool isSet) {
            return isSet ? rc::gen::map(value, [](T content) { return std::optional<T>(std::move(content)); })
                         : rc::gen::just(std::optional<T>());
        });
    }

    rc::Gen<RelayPayload> payload()
    {
        return rc::gen::construct<RelayPayload>(
            rc::gen::element(RelayPayload::Kind::None, RelayPayload::Kind::Delta, RelayPayload::Kind::Snapshot),
            rc::gen::arbitrary<std::string>(), heldState());
    }

    rc::Gen<RelayMessage> message()
    {
        const auto session = rc::gen::inRange<uint32_t>(0, 0x7fffffff);
        const auto time = number<uint64_t>();
        return rc::gen::oneOf(rc::gen::cast<RelayMessage>(rc::gen::construct<RelayAttach>(
                                  session, time, heldState(), number<Term>(), summary())),
            rc::gen::cast<RelayMessage>(rc::gen::construct<RelayChildHeartbeat>(session, time, optional(heldState()),
                optional(summary()), optional(refusal()), rc::gen::arbitrary<bool>())),
            rc::gen::cast<RelayMessage>(rc::gen::construct<RelayDetach>(session)),
            rc::gen::cast<RelayMessage>(rc::gen::construct<RelayParentHeartbeat>(session, time, optional(time),
                optional(time), optional(number<Term>()), optional(heldState()), optional(payload()))),
            rc::gen::cast<RelayMessage>(rc::gen::construct<RelayRefusal>(
                session, rc::gen::element(ResultCode::SnapshotLimit, ResultCode::TooManyChildren), time)),
            rc::gen::cast<RelayMessage>(rc::gen::construct<RelayLeaving>(session)));
    }

    std::string encodeWire(const wire::RelayMessage& content)
    {
        auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
        apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(buffer);
        content.write(&protocol);
        return buffer->getBufferAsString();
    }

    std::error_code decodeResult(const std::string& bytes)
    {
        RelayMessage ignored;
        return decode(bytes, ignored);
    }

} // namespace

// Guards against fields that are lost or changed by encoding.
RC_GTEST_PROP(RelayWireTest, EncodedMessagesDecodeUnchanged, ())
{
    const RelayMessage sent = *message();
    RelayMessage received;
    RC_ASSERT(!decode(encode(sent), received));
    RC_ASSERT(received == sent);
}

// Guards against crashes on truncated or damaged frames, and against accepting truncated ones.
RC_GTEST_PROP(RelayWireTest, DamagedFramesAreRejectedOrValid, ())
{
    std::string bytes = encode(*message());
    RC_ASSERT(decodeResult(bytes.substr(0, *rc::gen::inRange<size_t>(0, bytes.size()))));
    RC_ASSERT(decodeResult(bytes + '\0'));
    bytes[*rc::gen::inRange<size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    RelayMessage received;
    if (!decode(bytes, received))
        RC_ASSERT(!decodeResult(encode(received)));
}

// Guards against messages that make a daemon allocate memory without limit.
TEST(RelayWireTest, ContainersAndStringsAreLimited)
{
    RelayAttach attach;
    attach.summary.stragglers.assign(maxNamedHosts, { HostId("a"), Revision(1) });
    EXPECT_FALSE(decodeResult(encode(attach)));
    attach.summary.stragglers.push_back({ HostId("a"), Revision(1) });
    EXPECT_TRUE(decodeResult(encode(attach)));
    attach.summary.stragglers.assign(1, { HostId(std::string(256, 'a')), Revision(1) });
    EXPECT_TRUE(decodeResult(encode(attach)));

    RelayParentHeartbeat heartbeat;
    heartbeat.payload = RelayPayload { RelayPayload::Kind::Snapshot, std::string(maxRelayPayloadBytes, 'x'), {} };
    EXPECT_FALSE(decodeResult(encode(heartbeat)));
    heartbeat.payload->bytes += 'x';
    EXPECT_TRUE(decodeResult(encode(heartbeat)));
    heartbeat.payload->bytes.resize(2 * maxRelayPayloadBytes);
    EXPECT_EQ(decodeResult(encode(heartbeat)), ResultCode::FrameTooLarge);
    // A string with an encoded length of 2 GB in a frame of a few bytes.
    EXPECT_TRUE(decodeResult(std::string("\x4c\x15\x00\x6c\x15\x02\x18\xff\xff\xff\xff\x07", 12)));
}

// Guards against negative numbers, digests of the wrong length, and unions with no field or two fields.
TEST(RelayWireTest, ValuesOutOfRangeAreRejected)
{
    wire::RelayMessage content;
    EXPECT_TRUE(decodeResult(encodeWire(content)));
    content.__isset.detach = true;
    content.detach.session = 7;
    EXPECT_FALSE(decodeResult(encodeWire(content)));
    content.detach.session = -7;
    EXPECT_TRUE(decodeResult(encodeWire(content)));
    content.detach.session = 7;
    content.__isset.leaving = true;
    EXPECT_TRUE(decodeResult(encodeWire(content)));

    wire::RelayMessage heartbeat;
    heartbeat.__isset.childHeartbeat = true;
    heartbeat.childHeartbeat.__set_revision(3);
    heartbeat.childHeartbeat.__set_digest("short");
    EXPECT_TRUE(decodeResult(encodeWire(heartbeat)));
}

// Guards against heartbeats that exceed the idle traffic limit of 80 B/s per daemon. Each second has two heartbeats in
// each direction, each with a frame header of 5 bytes; the session is 30 hours old.
TEST(RelayWireTest, HeartbeatsAreSmall)
{
    constexpr size_t frameOverhead = 5;
    RelayChildHeartbeat request;
    request.session = 8000;
    request.timestamp = 108000000;
    RelayParentHeartbeat answer;
    answer.session = 8000;
    answer.echo = 108000000;
    answer.proofAge = 700;
    size_t perSecond = 2 * (encode(request).size() + encode(answer).size() + 2 * frameOverhead);
    std::printf("idle traffic: %zu B/s\n", perSecond);
    EXPECT_LT(perSecond, 80U);
}

} // namespace dragonflylane
