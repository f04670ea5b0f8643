#include "dragonflylane/ConfigReceiver.h"
#include "dragonflylane/ConfigThrift.h"
#include "dragonflylane/ConfigWire.h"
#include "dragonflylane/ResultCode.h"
#include "dragonflylane/ThriftCodec.h"
#include "tests/ConfigGenerators.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dragonflylane {

namespace {

    ConfigPayload deltaPayload(const ConfigState& from, const ConfigState& to)
    {
        ConfigPayload payload;
        payload.kind = ConfigPayload::Kind::Delta;
        payload.revision = to.revision();
        payload.digest = to.digest();
        payload.delta = from.deltaTo(to);
        return payload;
    }

    ConfigPayload snapshotPayload(const ConfigState& state)
    {
        ConfigPayload payload;
        payload.kind = ConfigPayload::Kind::Snapshot;
        payload.revision = state.revision();
        payload.digest = state.digest();
        payload.snapshot = encodeSnapshot(state);
        return payload;
    }

    ConfigPayload upToDatePayload(const ConfigState& state)
    {
        ConfigPayload payload;
        payload.revision = state.revision();
        payload.digest = state.digest();
        return payload;
    }

    /// Revisions 0 to 3: empty; service a; a and b; b.
    std::vector<ConfigState> smallChain()
    {
        return { ConfigState(), ConfigState(Revision(1), { service("a") }),
            ConfigState(Revision(2), { service("a"), service("b") }), ConfigState(Revision(3), { service("b") }) };
    }

    ConfigReceiver receiverOf(const ConfigState& state, ConfigReceiverOptions options = {})
    {
        ConfigReceiver receiver(options);
        if (state.revision() > Revision(0)) {
            EXPECT_FALSE(receiver.accept(snapshotPayload(state)));
        }
        return receiver;
    }

    void expectRejected(const ConfigState& held, const ConfigPayload& payload, ResultCode code)
    {
        ConfigReceiver receiver = receiverOf(held);
        EXPECT_EQ(receiver.accept(payload), code);
        EXPECT_EQ(receiver.state(), held);
    }

} // namespace

// Guards against a receiver whose state is not exactly one of the published revisions, or is older than before, after
// any sequence of merged, duplicated, delayed and reordered payloads (I1, I3).
RC_GTEST_PROP(ConfigReceiverProperty, HoldsOnlyCompleteRevisionsAndNeverAnOlderOne, ())
{
    constexpr uint32_t length = 8;
    std::vector<ConfigState> chain = randomChain(length);
    ConfigReceiver receiver;
    for (int step = 0; step < 25; ++step) {
        uint32_t from = randomBelow(length);
        uint32_t to = from + 1 + randomBelow(length - from);
        ConfigPayload payload;
        switch (randomBelow(5)) {
        case 0:
            payload = snapshotPayload(chain[to]);
            break;
        case 1:
            payload = upToDatePayload(chain[to]);
            break;
        case 2: // Merged from single deltas.
            payload = deltaPayload(chain[from], chain[from + 1]);
            for (uint32_t i = from + 1; i < to; ++i)
                RC_ASSERT(!payload.delta.append(chain[i].deltaTo(chain[i + 1])));
            payload.revision = chain[to].revision();
            payload.digest = chain[to].digest();
            break;
        default:
            payload = deltaPayload(chain[from], chain[from + 1]);
        }
        ConfigPayload decoded;
        RC_ASSERT(!decodePayload(encodePayload(payload), &decoded));
        RC_ASSERT(decoded == payload);
        ConfigState before = receiver.state();
        std::error_code error = receiver.accept(decoded);
        RC_ASSERT(receiver.state().revision() >= before.revision());
        RC_ASSERT(receiver.state() == chain[receiver.state().revision().value()]);
        if (error)
            RC_ASSERT(receiver.state() == before);
        else
            RC_ASSERT(receiver.state().revision() == payload.revision);
    }
}

// Guards against a history that cannot update a receiver with some revision to the current one, or sends more than
// needed.
RC_GTEST_PROP(ConfigHistoryProperty, UpdatesEveryReceiverToTheCurrentRevision, ())
{
    constexpr uint32_t length = 10;
    std::vector<ConfigState> chain = randomChain(length);
    ConfigHistoryOptions options;
    options.maxDeltas = 1 + randomBelow(length);
    ConfigHistory history(options);
    for (uint32_t i = 0; i < length; ++i)
        RC_ASSERT(!history.append(chain[i].deltaTo(chain[i + 1])));
    RC_ASSERT(history.state() == chain.back());
    RC_ASSERT(history.deltas().size() == options.maxDeltas);
    for (const ConfigState& held : chain) {
        ConfigPayload payload = history.payloadFor(held.revision(), held.digest());
        if (held.revision() == chain.back().revision()) {
            RC_ASSERT(payload.kind == ConfigPayload::Kind::UpToDate);
            continue;
        }
        bool retained = held.revision().value() + options.maxDeltas >= length;
        std::optional<ConfigDelta> merged = history.deltaSince(held.revision());
        RC_ASSERT(merged.has_value() == retained);
        bool deltaIsShorter = retained && transmittedBytes(*merged) <= history.snapshot().size();
        RC_ASSERT((payload.kind == ConfigPayload::Kind::Delta) == deltaIsShorter);
        ConfigReceiver receiver = receiverOf(held);
        RC_ASSERT(!receiver.accept(payload));
        RC_ASSERT(receiver.state() == chain.back());
    }
}

// Guards against a large change that is sent uncompressed, or as a snapshot because the uncompressed delta is longer
// than that. Example: a thousand routes are added to 2,400 in a fleet whose links carry 125 kB/s.
TEST(ConfigHistoryTest, LargeChangeIsSentCompressed)
{
    const auto stateOf = [](uint64_t revision, int routes) {
        std::vector<ConfigItem> items { ServiceItem { ServiceName("catalogue"), std::chrono::milliseconds(500), 2 } };
        for (int i = 0; i < routes; ++i) {
            RouteItem route;
            route.name = RouteName("r-" + std::to_string(stableHash(std::to_string(i)) % 100'000'000));
            route.host = "hulo84.example";
            route.pathPrefix = "/" + std::to_string(stableHash(route.name.value()) % 100'000'000) + "/";
            route.split = { { ServiceName("catalogue"), 100 } };
            items.push_back(std::move(route));
        }
        return ConfigState(Revision(revision), items);
    };
    ConfigState before = stateOf(1, 2400);
    ConfigState after = stateOf(2, 3400);
    ConfigHistory history;
    ASSERT_FALSE(history.append(ConfigState().deltaTo(before)));
    ASSERT_FALSE(history.append(before.deltaTo(after)));
    ConfigPayload payload = history.payloadFor(before.revision(), before.digest());
    EXPECT_EQ(payload.kind, ConfigPayload::Kind::Delta);
    std::string bytes = encodePayload(payload);
    EXPECT_LT(bytes.size() * 2, history.snapshot().size());
    EXPECT_LT(bytes.size() * 2, encodeDelta(payload.delta).size());
    ConfigPayload decoded;
    ASSERT_FALSE(decodePayload(bytes, &decoded));
    EXPECT_EQ(decoded, payload);
}

// Guards against encodings that lose or mix up fields.
RC_GTEST_PROP(ConfigWireProperty, RoundTripKeepsEveryValue, ())
{
    std::vector<ConfigState> chain = randomChain(3);
    ConfigState state;
    RC_ASSERT(!decodeSnapshot(encodeSnapshot(chain[3]), &state));
    RC_ASSERT(state == chain[3]);
    ConfigDelta delta;
    RC_ASSERT(!decodeDelta(encodeDelta(chain[1].deltaTo(chain[3])), &delta));
    RC_ASSERT(delta == chain[1].deltaTo(chain[3]));
}

// Guards against a decoder that crashes on a damaged snapshot or accepts it.
RC_GTEST_PROP(ConfigWireProperty, DamagedBytesNeverYieldAnotherConfiguration, ())
{
    ConfigState original = randomChain(4).back();
    ConfigPayload payload = snapshotPayload(original);
    std::string bytes = encodePayload(payload);
    uint32_t size = static_cast<uint32_t>(bytes.size());
    ConfigPayload decoded;
    RC_ASSERT(
        decodePayload(std::string_view(bytes).substr(0, randomBelow(size)), &decoded) == ResultCode::MalformedFrame);
    RC_ASSERT(decodePayload(bytes + "x", &decoded) == ResultCode::MalformedFrame);
    char& damaged = bytes[randomBelow(size)];
    damaged = static_cast<char>(static_cast<unsigned char>(damaged) ^ (1U << randomBelow(8)));
    if (decodePayload(bytes, &decoded))
        return;
    ConfigReceiver receiver;
    if (!receiver.accept(decoded) && receiver.state().revision() > Revision(0))
        RC_ASSERT(receiver.state().digest() == original.digest());
}

// Guards against a digest that depends on the order of the changes that led to a state.
RC_GTEST_PROP(ConfigStateProperty, DigestAndSizeDependOnTheItemsOnly, ())
{
    ConfigState state = randomChain(6).back();
    std::vector<ConfigItem> items;
    for (const auto& [key, item] : state.items())
        items.insert(items.begin(), *item);
    ConfigState rebuilt(state.revision(), items);
    RC_ASSERT(rebuilt == state);
    RC_ASSERT(rebuilt.bytes() == state.bytes());
    for (const ConfigItem& item : items)
        rebuilt.remove(keyOf(item));
    RC_ASSERT(rebuilt.digest() == Digest());
    RC_ASSERT(rebuilt.bytes() == 0U);
}

// Guards against a rollback (I1).
TEST(ConfigReceiverTest, RejectsLowerRevision)
{
    std::vector<ConfigState> chain = smallChain();
    expectRejected(chain[3], snapshotPayload(chain[2]), ResultCode::StaleRevision);
    expectRejected(chain[3], deltaPayload(chain[1], chain[2]), ResultCode::StaleRevision);
    expectRejected(chain[3], upToDatePayload(chain[2]), ResultCode::StaleRevision);

    ConfigReceiver unchecked = receiverOf(chain[3], { .checkRevision = false });
    EXPECT_FALSE(unchecked.accept(snapshotPayload(chain[2])));
    EXPECT_EQ(unchecked.state().revision(), Revision(2)) << "without the check the revision decreases";
}

// Guards against two configurations with one revision.
TEST(ConfigReceiverTest, RejectsEqualRevisionWithAnotherDigest)
{
    std::vector<ConfigState> chain = smallChain();
    ConfigState divergent(Revision(3), { service("c") });
    expectRejected(chain[3], snapshotPayload(divergent), ResultCode::DigestMismatch);
    expectRejected(chain[3], upToDatePayload(divergent), ResultCode::DigestMismatch);

    ConfigReceiver unchecked = receiverOf(chain[3], { .checkEqualRevision = false });
    EXPECT_FALSE(unchecked.accept(snapshotPayload(divergent)));
    EXPECT_EQ(unchecked.state(), divergent) << "without the check revision 3 has two contents";
}

// Guards against a divergence that cannot be repaired, and against a repair with a lower revision.
TEST(ConfigReceiverTest, ReplacesDivergentStateOnlyOnExplicitRequest)
{
    std::vector<ConfigState> chain = smallChain();
    ConfigState divergent(Revision(3), { service("c") });
    ConfigReceiver receiver = receiverOf(divergent);
    EXPECT_EQ(receiver.replaceDivergent(snapshotPayload(chain[2])), ResultCode::StaleRevision);
    EXPECT_EQ(receiver.replaceDivergent(deltaPayload(chain[2], chain[3])), ResultCode::MalformedFrame);
    EXPECT_EQ(receiver.state(), divergent);
    EXPECT_FALSE(receiver.replaceDivergent(snapshotPayload(chain[3])));
    EXPECT_EQ(receiver.state(), chain[3]);
}

// Guards against a delta that is applied to a state other than its base (I3).
TEST(ConfigReceiverTest, RejectsWrongBase)
{
    std::vector<ConfigState> chain = smallChain();
    expectRejected(chain[1], deltaPayload(chain[2], chain[3]), ResultCode::BaseMismatch);
    expectRejected(chain[1], upToDatePayload(chain[2]), ResultCode::BaseMismatch);
    ConfigState otherBase(Revision(2), { service("a") });
    expectRejected(otherBase, deltaPayload(chain[2], chain[3]), ResultCode::DigestMismatch);
    // Also if the delta would overwrite the difference, since a different base means that the histories have diverged.
    ConfigState replacedBase(Revision(2), { service("a", 5), service("b") });
    expectRejected(replacedBase, deltaPayload(chain[2], chain[3]), ResultCode::DigestMismatch);

    ConfigReceiver unchecked = receiverOf(chain[1], { .checkBase = false, .checkDigest = false });
    EXPECT_FALSE(unchecked.accept(deltaPayload(chain[2], chain[3])));
    EXPECT_NE(unchecked.state(), chain[3]) << "without the checks revision 3 lacks service b";
}

// Guards against a payload whose header has another revision or digest than its contents.
TEST(ConfigReceiverTest, RejectsHeaderThatDiffersFromContents)
{
    std::vector<ConfigState> chain = smallChain();
    for (const ConfigPayload& payload : { deltaPayload(chain[1], chain[2]), snapshotPayload(chain[2]) }) {
        ConfigPayload wrongRevision = payload;
        wrongRevision.revision = Revision(9);
        expectRejected(chain[1], wrongRevision, ResultCode::BaseMismatch);
        ConfigPayload wrongDigest = payload;
        wrongDigest.digest = Digest(1, 2);
        expectRejected(chain[1], wrongDigest, ResultCode::DigestMismatch);
    }
}

// Guards against a delta or snapshot that was damaged in transit (I3).
TEST(ConfigReceiverTest, RejectsWrongResultingDigest)
{
    std::vector<ConfigState> chain = smallChain();
    ConfigPayload damaged = deltaPayload(chain[1], chain[2]);
    damaged.delta.upserts[serviceKey(ServiceName("b"))] = service("b", 1);
    expectRejected(chain[1], damaged, ResultCode::DigestMismatch);

    ConfigReceiver unchecked = receiverOf(chain[1], { .checkDigest = false });
    EXPECT_FALSE(unchecked.accept(damaged));
    EXPECT_NE(unchecked.state().items().size(), 0U);
    EXPECT_EQ(unchecked.state().service(ServiceName("b"))->timeout.count(), 1)
        << "without the check the damaged delta is accepted";
}

// Guards against a delta to a revision that is not higher than that of its base.
TEST(ConfigReceiverTest, RejectsDeltaWithoutHigherRevision)
{
    std::vector<ConfigState> chain = smallChain();
    ConfigDelta delta = chain[2].deltaTo(chain[3]);
    delta.toRevision = Revision(2);
    ConfigState state = chain[2];
    EXPECT_EQ(state.apply(delta), ResultCode::StaleRevision);
    EXPECT_EQ(state, chain[2]);
}

// Guards against a proxy with a route to a service that its configuration lacks (I2).
TEST(ConfigReceiverTest, RejectsInvalidConfiguration)
{
    std::vector<ConfigState> chain = smallChain();
    ConfigState dangling(Revision(4), { service("b"), route("r", "/r", "absent") });
    std::string detail;
    ConfigReceiver receiver = receiverOf(chain[3]);
    EXPECT_EQ(receiver.accept(deltaPayload(chain[3], dangling), &detail), ResultCode::InvalidConfiguration);
    EXPECT_EQ(detail, "route r names the unknown service absent");
    expectRejected(chain[3], snapshotPayload(dangling), ResultCode::InvalidConfiguration);

    // The next valid revision is accepted.
    ConfigState repaired(Revision(5), { service("b"), service("absent"), route("r", "/r", "absent") });
    EXPECT_FALSE(receiver.accept(deltaPayload(chain[3], repaired)));
    EXPECT_EQ(receiver.state(), repaired);

    ConfigReceiver unchecked = receiverOf(chain[3], { .checkValidity = false });
    EXPECT_FALSE(unchecked.accept(deltaPayload(chain[3], dangling)));
    EXPECT_EQ(unchecked.state().service(ServiceName("absent")), nullptr) << "without the check the route dangles";
}

// Guards against a snapshot that cannot be decoded.
TEST(ConfigReceiverTest, RejectsMalformedSnapshot)
{
    std::vector<ConfigState> chain = smallChain();
    ConfigPayload payload = snapshotPayload(chain[2]);
    payload.snapshot = "not a snapshot";
    expectRejected(chain[1], payload, ResultCode::MalformedFrame);
}

// Guards against a small frame whose decompressed size exceeds the memory of a daemon.
TEST(ConfigWireTest, RejectsSnapshotThatExpandsBeyondTheLimit)
{
    std::string bomb = compress(std::string(ConfigWireLimits::snapshotBytes + 1, '\0'));
    EXPECT_LT(bomb.size(), 10'000U);
    ConfigState state;
    EXPECT_EQ(decodeSnapshot(bomb, &state), ResultCode::FrameTooLarge);
    std::string result;
    EXPECT_EQ(decompress(bomb, ConfigWireLimits::snapshotBytes, &result), ResultCode::FrameTooLarge);
    EXPECT_FALSE(decompress(bomb, ConfigWireLimits::snapshotBytes + 1, &result));
    ConfigPayload payload;
    EXPECT_EQ(decodePayload(std::string(ConfigWireLimits::payloadBytes + 1, 'x'), &payload), ResultCode::FrameTooLarge);
}

// Guards against a forged length that makes the decoder allocate memory for bytes that do not follow.
TEST(ConfigWireTest, RejectsForgedLengths)
{
    ConfigDelta delta;
    // Field 2 (binary) with a length of 2^31 - 1, and field 6 (list) with 2^31 - 1 structs.
    EXPECT_EQ(decodeDelta(std::string("\x28\xff\xff\xff\xff\x07", 6), &delta), ResultCode::MalformedFrame);
    EXPECT_EQ(decodeDelta(std::string("\x69\xfc\xff\xff\xff\xff\x07", 7), &delta), ResultCode::MalformedFrame);
    EXPECT_EQ(decodeDelta("", &delta), ResultCode::MalformedFrame);
}

// Guards against a delta that both sets and removes a key, so that the result depends on the order of application.
TEST(ConfigWireTest, RejectsKeyInUpsertsAndRemovals)
{
    ConfigDelta delta = ConfigState().deltaTo(ConfigState(Revision(1), { service("a") }));
    delta.removals.insert(serviceKey(ServiceName("a")));
    ConfigDelta decoded;
    EXPECT_EQ(decodeDelta(encodeDelta(delta), &decoded), ResultCode::MalformedFrame);
}

// Guards against well-formed Thrift with values that the model cannot represent: negative numbers, unknown kinds,
// repeated keys, digests of a wrong length, and headers that do not match the contents.
TEST(ConfigWireTest, RejectsValuesThatTheModelCannotRepresent)
{
    std::vector<ConfigState> chain = smallChain();
    ConfigState routed(Revision(1), { service("a"), route("r", "/r", "a") });
    auto decode = [&](const std::function<void(wire::ConfigDelta&)>& change) {
        wire::ConfigDelta delta = toWire(ConfigState().deltaTo(routed));
        change(delta);
        ConfigDelta decoded;
        return decodeDelta(encodeThrift(delta), &decoded);
    };
    EXPECT_FALSE(decode([](auto&) {}));
    EXPECT_EQ(decode([](auto& d) { d.upserts.services[0].maxAttempts = -1; }), ResultCode::MalformedFrame);
    EXPECT_EQ(decode([](auto& d) { d.upserts.services[0].timeoutMilliseconds = -1; }), ResultCode::MalformedFrame);
    EXPECT_EQ(decode([](auto& d) { d.upserts.routes[0].timeoutMilliseconds = -1; }), ResultCode::MalformedFrame);
    EXPECT_EQ(decode([](auto& d) { d.upserts.routes[0].split[0].weight = -1; }), ResultCode::MalformedFrame);
    EXPECT_EQ(decode([](auto& d) { d.upserts.services.push_back(d.upserts.services[0]); }), ResultCode::MalformedFrame);
    EXPECT_EQ(decode([](auto& d) { d.fromDigest.push_back('x'); }), ResultCode::MalformedFrame);
    wire::ConfigTenant tenant;
    tenant.name = "reader";
    tenant.keyHashes = { "short" };
    EXPECT_EQ(decode([&](auto& d) { d.upserts.__set_tenants({ tenant }); }), ResultCode::MalformedFrame);
    wire::ConfigRollout rollout;
    rollout.serviceName = "a";
    rollout.state = 3;
    EXPECT_EQ(decode([&](auto& d) { d.upserts.__set_rollouts({ rollout }); }), ResultCode::MalformedFrame);
    for (int32_t kind : { -1, 0, 9 }) {
        wire::ConfigItemKey key;
        key.kind = kind;
        auto remove = [&](auto& d) { d.__set_removals({ key }); };
        EXPECT_EQ(decode(remove), ResultCode::MalformedFrame) << kind;
    }

    wire::ConfigSnapshot snapshot = toWire(routed);
    snapshot.items.services.push_back(snapshot.items.services[0]);
    ConfigState state;
    EXPECT_EQ(decodeSnapshot(compress(encodeThrift(snapshot)), &state), ResultCode::MalformedFrame);

    wire::ConfigSnapshot damaged = toWire(routed);
    damaged.items.services[0].maxAttempts = 9;
    EXPECT_EQ(decodeSnapshot(compress(encodeThrift(damaged)), &state), ResultCode::DigestMismatch);

    auto decodeWithHeader = [&](const std::function<void(wire::ConfigPayload&)>& change) {
        wire::ConfigPayload payload;
        ConfigPayload decoded;
        EXPECT_FALSE(decodeThrift(encodePayload(snapshotPayload(routed)), ConfigWireLimits::payloadBytes, &payload));
        change(payload);
        return decodePayload(encodeThrift(payload), &decoded);
    };
    EXPECT_FALSE(decodeWithHeader([](auto&) {}));
    for (int32_t kind : { -1, 0, 1, 3 })
        EXPECT_EQ(decodeWithHeader([&](auto& p) { p.kind = kind; }), ResultCode::MalformedFrame) << kind;
    EXPECT_EQ(decodeWithHeader([](auto& p) { p.__isset.snapshot = false; }), ResultCode::MalformedFrame);
}

// Guards against merging deltas across a gap or between diverged histories.
TEST(ConfigDeltaTest, AppendRejectsGapAndDivergence)
{
    std::vector<ConfigState> chain = smallChain();
    ConfigDelta first = chain[0].deltaTo(chain[1]);
    const ConfigDelta before = first;
    EXPECT_EQ(first.append(chain[2].deltaTo(chain[3])), ResultCode::BaseMismatch);
    ConfigState divergent(Revision(1), { service("c") });
    EXPECT_EQ(first.append(divergent.deltaTo(chain[2])), ResultCode::DigestMismatch);
    EXPECT_EQ(first, before);
}

// Guards against a merged delta whose size depends on the number of revisions instead of the number of items.
TEST(ConfigDeltaTest, MergedDeltaIsBoundedByTheChangedItems)
{
    ConfigHistory history;
    ConfigState state;
    for (int i = 1; i <= 500; ++i) {
        ConfigState next = state;
        next.insert(service("a", i));
        next.setRevision(Revision(static_cast<uint64_t>(i)));
        ASSERT_FALSE(history.append(state.deltaTo(next)));
        state = next;
    }
    EXPECT_EQ(history.deltaSince(Revision(0))->size(), 1U);
}

// Guards against unbounded memory: the number and the size of the deltas are limited.
TEST(ConfigHistoryTest, BoundsDeltasByNumberAndBytes)
{
    for (ConfigHistoryOptions options : { ConfigHistoryOptions {}, ConfigHistoryOptions { .maxBytes = 1000 } }) {
        ConfigHistory history(options);
        ConfigState state;
        for (uint64_t i = 1; i <= 1100; ++i) {
            ConfigState next = state;
            next.insert(service("a", static_cast<int>(i)));
            next.setRevision(Revision(i));
            ASSERT_FALSE(history.append(state.deltaTo(next)));
            state = next;
        }
        size_t bytes = 0;
        for (const ConfigDelta& delta : history.deltas())
            bytes += encodeDelta(delta).size();
        EXPECT_LE(bytes, options.maxBytes);
        EXPECT_GT(history.deltas().size(), 1U);
        EXPECT_LE(history.deltas().size(), 1024U);
        EXPECT_EQ(history.payloadFor(Revision(0), Digest()).kind, ConfigPayload::Kind::Snapshot);
    }
}

// Guards against sending a delta to a child whose state has diverged, and against an update to a lower revision.
TEST(ConfigHistoryTest, DistinguishesDivergedAndNewerChildren)
{
    ConfigState first;
    for (int i = 0; i < 100; ++i)
        first.insert(service("service-" + std::to_string(i), 1 + i * i));
    first.setRevision(Revision(1));
    ConfigState second = first;
    second.insert(service("a"));
    second.setRevision(Revision(2));
    ConfigHistory history;
    history.reset(first);
    ASSERT_FALSE(history.append(first.deltaTo(second)));
    EXPECT_EQ(history.payloadFor(Revision(1), first.digest()).kind, ConfigPayload::Kind::Delta);
    EXPECT_EQ(history.payloadFor(Revision(1), Digest(1, 1)).kind, ConfigPayload::Kind::Snapshot);
    EXPECT_EQ(history.payloadFor(Revision(2), Digest(1, 1)).kind, ConfigPayload::Kind::Snapshot);
    ConfigPayload newer = history.payloadFor(Revision(9), Digest(1, 1));
    EXPECT_EQ(newer.kind, ConfigPayload::Kind::UpToDate);
    EXPECT_EQ(newer.revision, Revision(2));
}

// Guards against a cached snapshot that belongs to an earlier revision.
TEST(ConfigHistoryTest, SnapshotFollowsTheState)
{
    std::vector<ConfigState> chain = smallChain();
    ConfigHistory history;
    for (size_t i = 0; i + 1 < chain.size(); ++i) {
        ASSERT_FALSE(history.append(chain[i].deltaTo(chain[i + 1])));
        ConfigState decoded;
        ASSERT_FALSE(decodeSnapshot(history.snapshot(), &decoded));
        EXPECT_EQ(decoded, chain[i + 1]);
    }
    history.reset(chain[1]);
    ConfigState decoded;
    ASSERT_FALSE(decodeSnapshot(history.snapshot(), &decoded));
    EXPECT_EQ(decoded, chain[1]);
}

// Guards against inconsistent configurations in a proxy.
TEST(ConfigStateTest, ValidateDetectsEachInconsistency)
{
    auto validate = [](std::vector<ConfigItem> items, std::string* detail = nullptr) {
        return ConfigState(Revision(1), std::move(items)).validate(detail);
    };
    EXPECT_FALSE(validate({ service("a"), route("r", "/", "a"), rule("client", "a") }));
    EXPECT_EQ(validate({ route("r", "/", "a") }), ResultCode::DanglingRoute);
    EXPECT_EQ(validate({ service("a"), route("r", "/r", "a"), route("s", "/r", "a") }), ResultCode::DuplicatePrefix);
    EXPECT_EQ(validate({ service("a"), route("r", "/r", "a", 0) }), ResultCode::ZeroWeights);
    EXPECT_EQ(validate({ service("a"), rule("a", "b") }), ResultCode::UnknownService);
    EXPECT_EQ(validate({ service("a"), rule("b", "a") }), ResultCode::UnknownService);
    EXPECT_EQ(validate({ service("a"), rule("a", "client") }), ResultCode::InvalidValue);
    EXPECT_EQ(validate({ service("client") }), ResultCode::InvalidName);
    EXPECT_EQ(validate({ service("a"), rule("a", "a") }), ResultCode::CallCycle);
    std::string detail;
    EXPECT_EQ(validate({ service("a"), service("b"), service("c"), service("d"), rule("a", "b"), rule("b", "c"),
                           rule("c", "b"), rule("c", "d") },
                  &detail),
        ResultCode::CallCycle);
    EXPECT_TRUE(detail.ends_with("b > c > b") || detail.ends_with("c > b > c")) << detail;
}

// Guards against a valid state that exceeds the limits of the wire format, so that no daemon can receive it.
TEST(ConfigStateTest, ValidateBoundsNumberAndBytes)
{
    ConfigState state;
    for (size_t i = 0; i < ConfigState::maxItems; ++i)
        state.insert(DrainItem { UpstreamId("u" + std::to_string(i)) });
    EXPECT_FALSE(state.validate());
    state.insert(DrainItem { UpstreamId("one-more") });
    EXPECT_EQ(state.validate(), ResultCode::PlanTooLarge);

    ConfigState wide(Revision(1), { service("a") });
    RouteItem item = route("r", "/", "a");
    item.idempotentMethods.assign(ItemLimits::idempotentMethods, std::string(ItemLimits::methodLength, 'A'));
    size_t count = 0;
    while (wide.bytes() <= ConfigState::maxBytes) {
        item.name = RouteName("r" + std::to_string(count));
        item.pathPrefix = "/" + std::to_string(count++) + std::string(ItemLimits::pathPrefixLength - 10, 'p');
        ConfigState last = wide;
        wide.insert(item);
        if (wide.bytes() > ConfigState::maxBytes) {
            EXPECT_FALSE(last.validate());
            EXPECT_LE(encodeRawSnapshot(last).size(), ConfigWireLimits::snapshotBytes);
        }
    }
    EXPECT_LT(count, ConfigState::maxItems);
    EXPECT_EQ(wide.validate(), ResultCode::PlanTooLarge);
}

// Guards against values that the request path or the wire format cannot represent.
TEST(ConfigItemTest, CheckItemRejectsValuesOutOfRange)
{
    auto with = [](auto item, auto change) {
        change(item);
        return checkItem(item);
    };
    const ServiceItem goodService = service("a");
    const RouteItem goodRoute = route("r", "/a/b-c.d", "a");
    EXPECT_FALSE(checkItem(goodService));
    EXPECT_FALSE(checkItem(goodRoute));
    using std::chrono::milliseconds;
    EXPECT_EQ(with(goodService, [](auto& i) { i.timeout = milliseconds(0); }), ResultCode::InvalidValue);
    EXPECT_EQ(with(goodService, [](auto& i) { i.timeout = milliseconds(600'001); }), ResultCode::InvalidValue);
    EXPECT_EQ(with(goodService, [](auto& i) { i.maxAttempts = 0; }), ResultCode::InvalidValue);
    EXPECT_EQ(with(goodService, [](auto& i) { i.maxAttempts = 11; }), ResultCode::InvalidValue);
    EXPECT_EQ(with(goodRoute, [](auto& i) { i.timeout = milliseconds(-1); }), ResultCode::InvalidValue);
    EXPECT_EQ(with(goodRoute, [](auto& i) { i.split[0].weight = 10'001; }), ResultCode::InvalidValue);
    EXPECT_EQ(with(goodRoute, [](auto& i) { i.split.push_back(i.split[0]); }), ResultCode::InvalidValue);
    EXPECT_EQ(with(goodRoute, [](auto& i) { i.split.clear(); }), ResultCode::ZeroWeights);
    EXPECT_EQ(with(goodRoute, [](auto& i) { i.split.resize(17); }), ResultCode::InvalidValue);
    EXPECT_EQ(with(goodRoute, [](auto& i) { i.idempotentMethods = { "get" }; }), ResultCode::InvalidValue);
    EXPECT_EQ(with(goodRoute, [](auto& i) { i.idempotentMethods.resize(17, "GET"); }), ResultCode::InvalidValue);
    for (const char* prefix : { "/", "/a/", "/a/b/" })
        EXPECT_FALSE(with(goodRoute, [&](auto& i) { i.pathPrefix = prefix; })) << prefix;
    for (const char* prefix : { "", "a", "a/", "/a//", "//", "/a//b", "/.", "/a/..", "/a?b", "/a b", "/a%2fb", "/\n" })
        EXPECT_EQ(with(goodRoute, [&](auto& i) { i.pathPrefix = prefix; }), ResultCode::InvalidValue) << prefix;
    for (const char* name : { "", "A", "-a", "a b", "a>b", "\xc3\xa4" })
        EXPECT_EQ(with(goodService, [&](auto& i) { i.name = ServiceName(name); }), ResultCode::InvalidName) << name;
    EXPECT_EQ(with(goodService, [](auto& i) { i.name = ServiceName(std::string(65, 'a')); }), ResultCode::InvalidName);
    KeeperViewItem keepers { Epoch(1),
        { { HostId("a"), DataCentreName("dc") }, { HostId("a"), DataCentreName("dc") } } };
    EXPECT_EQ(checkItem(keepers), ResultCode::InvalidValue);
    keepers.hosts.clear();
    for (size_t i = 0; i <= ItemLimits::keeperHosts; ++i)
        keepers.hosts.push_back({ HostId("host-" + std::to_string(i)), DataCentreName("dc") });
    EXPECT_EQ(checkItem(keepers), ResultCode::InvalidValue);
}

// Guards against retries of methods that are not declared idempotent (I6).
TEST(ConfigItemTest, PutAndDeleteAreNotIdempotentByDefault)
{
    EXPECT_EQ(RouteItem().idempotentMethods, (std::vector<std::string> { "GET", "HEAD", "OPTIONS" }));
}

} // namespace dragonflylane
