#include "dragonflylane/PeerHub.h"

#include "dragonflylane/BodyBudget.h"
#include "dragonflylane/MeshSecret.h"
#include "dragonflylane/Metrics.h"
#include "dragonflylane/ResultCode.h"
#include "tests/LoopbackSupport.h"

#include <chrono>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /// The hub of one daemon, with a record of the frames that it received.
    struct Node {
        Node(boost::asio::io_context& context, const std::string& name, PeerHubOptions options = {},
            const std::string& secretText = "0123456789abcdef")
            : secret("mesh", secretText)
            , hub(context, complete(std::move(options), name), secret, metrics)
        {
            EXPECT_FALSE(hub.start());
            hub.subscribe(FrameKind::Log, [this](const PeerFrame& frame) {
                links.push_back(frame.link);
                frames.push_back(frame.from.value() + ":" + std::string(frame.payload));
            });
            hub.subscribeLinkDown([this](LinkId, const HostId&) { ++linksDown; });
        }

        static PeerHubOptions complete(PeerHubOptions options, const std::string& name)
        {
            if (options.meshId.empty())
                options.meshId = "mesh";
            options.self = HostId(name);
            options.listen = { "127.0.0.1", 0 };
            return options;
        }

        void setAddressOf(const std::string& name, const Node& other)
        {
            hub.setAddress(HostId(name), { "127.0.0.1", other.hub.port() });
        }

        MeshSecret secret;
        Metrics metrics;
        PeerHub hub;
        std::vector<std::string> frames;
        std::vector<LinkId> links;
        int linksDown { 0 };
    };

    class PeerHubTest : public testing::Test {
    protected:
        /// Runs the context until the condition holds. Returns false after ten seconds.
        bool runUntil(const std::function<bool()>& isDone)
        {
            auto end = std::chrono::steady_clock::now() + seconds(10);
            while (!isDone() && std::chrono::steady_clock::now() < end)
                m_context.run_one_for(milliseconds(10));
            return isDone();
        }

        /// Connects to a host, stores the link and returns the error.
        std::error_code dial(Node& from, const std::string& name, LinkId* link = nullptr)
        {
            std::optional<std::error_code> outcome;
            from.hub.withLink(HostId(name), [&](std::error_code error, LinkId id) {
                outcome = error;
                if (link)
                    *link = id;
            });
            EXPECT_TRUE(runUntil([&] { return outcome.has_value(); }));
            return outcome.value_or(ResultCode::StorageFailed);
        }

        boost::asio::io_context m_context;
    };

} // namespace

// Guards against links to daemons of another mesh, without the secret, or with another host id than the dialled one.
TEST_F(PeerHubTest, RefusesUnauthenticatedPeers)
{
    Node a(m_context, "a");
    Node otherMesh(m_context, "b", { .meshId = "other" });
    Node otherSecret(m_context, "c", {}, "fedcba9876543210");
    Node otherName(m_context, "d");
    a.setAddressOf("b", otherMesh);
    a.setAddressOf("c", otherSecret);
    a.setAddressOf("e", otherName);
    for (const char* name : { "b", "c", "e", "unknown" })
        EXPECT_EQ(dial(a, name), ResultCode::OwnerUnreachable) << name;
    EXPECT_GE(a.metrics.value("peer_closed_wrong_mesh") + otherMesh.metrics.value("peer_closed_wrong_mesh"), 1U);
    EXPECT_GE(a.metrics.value("peer_closed_wrong_proof") + otherSecret.metrics.value("peer_closed_wrong_proof"), 1U);
    EXPECT_EQ(a.metrics.value("peer_identity_mismatch"), 1U);
    EXPECT_TRUE(otherSecret.frames.empty());
}

// Guards against a use after destruction: a daemon destroys the subscribers before the hub, and the hub closes its
// links in its destructor.
TEST_F(PeerHubTest, DestroyedHubCallsNoSubscriber)
{
    bool isCalled = false;
    Node b(m_context, "b");
    {
        Node a(m_context, "a");
        a.setAddressOf("b", b);
        ASSERT_FALSE(dial(a, "b"));
        a.hub.subscribeLinkDown([&](LinkId, const HostId&) { isCalled = true; });
    }
    EXPECT_FALSE(isCalled);
    EXPECT_TRUE(runUntil([&] { return b.linksDown == 1; }));
}

// Guards against a peer that uses up memory, or whose frames are processed, before the handshake is complete.
TEST_F(PeerHubTest, ClosesOnOversizedHandshakeAndOnFramesBeforeIt)
{
    Node a(m_context, "a");
    RawSocket large = RawSocket::connectTo(a.hub.port());
    large.write(encodeFrame(FrameKind::Hello, std::string(maxHandshakePayloadBytes + 1, 'x')));
    EXPECT_TRUE(runUntil([&] { return a.metrics.value("peer_closed_frame_too_large") == 1; }));
    RawSocket early = RawSocket::connectTo(a.hub.port());
    early.write(encodeFrame(FrameKind::Log, "payload"));
    EXPECT_TRUE(runUntil([&] { return a.metrics.value("peer_closed_wrong_proof") == 1; }));
    RawSocket garbage = RawSocket::connectTo(a.hub.port());
    garbage.write(encodeFrame(FrameKind::Hello, "garbage"));
    EXPECT_TRUE(runUntil([&] { return a.metrics.value("peer_closed_malformed_frame") == 1; }));
    EXPECT_TRUE(a.frames.empty());
}

// Guards against links that stay open for ever because a network partition drops packets without a reset.
TEST_F(PeerHubTest, ClosesAnUnresponsivePeer)
{
    Node a(m_context, "a", { .heartbeatInterval = milliseconds(20), .peerTimeout = milliseconds(200) });
    RawSocket unresponsive = RawSocket::connectTo(a.hub.port());
    EXPECT_TRUE(runUntil([&] { return a.metrics.value("peer_closed_peer_timeout") == 1; }));
}

// Guards against reordered frames, in particular when both sides connect at the same time.
TEST_F(PeerHubTest, KeepsTheOrderOfFramesWhenBothSidesDial)
{
    constexpr size_t count = 500;
    Node a(m_context, "a");
    Node b(m_context, "b");
    a.setAddressOf("b", b);
    b.setAddressOf("a", a);
    std::vector<std::string> fromA;
    std::vector<std::string> fromB;
    for (size_t i = 0; i < count; ++i) {
        a.hub.sendToHost(HostId("b"), FrameKind::Log, std::to_string(i));
        b.hub.sendToHost(HostId("a"), FrameKind::Log, std::to_string(i));
        fromA.push_back("a:" + std::to_string(i));
        fromB.push_back("b:" + std::to_string(i));
        m_context.poll_one();
    }
    runUntil([&] { return a.frames.size() >= count && b.frames.size() >= count; });
    EXPECT_EQ(b.frames, fromA);
    EXPECT_EQ(a.frames, fromB);
}

// Guards against taking a response on an earlier connection for one on the current connection.
TEST_F(PeerHubTest, LinkIdsAreNotReused)
{
    Node a(m_context, "a");
    auto b = std::make_unique<Node>(m_context, "b");
    a.setAddressOf("b", *b);
    LinkId first;
    ASSERT_FALSE(dial(a, "b", &first));
    EXPECT_TRUE(a.hub.send(first, FrameKind::Log, "one"));
    EXPECT_TRUE(runUntil([&] { return b->frames.size() == 1; }));
    b->hub.closeAll();
    EXPECT_TRUE(runUntil([&] { return a.linksDown == 1; }));
    Node again(m_context, "b");
    a.setAddressOf("b", again);
    LinkId second;
    ASSERT_FALSE(dial(a, "b", &second));
    EXPECT_NE(first, second);
    EXPECT_FALSE(a.hub.send(first, FrameKind::Log, "late"));
    EXPECT_TRUE(a.hub.send(second, FrameKind::Log, "two"));
    EXPECT_TRUE(runUntil([&] { return !again.frames.empty(); }));
    EXPECT_EQ(again.frames, std::vector<std::string> { "a:two" });
}

// Guards against closing a link, and failing all calls on it, because of a frame that is larger than the largest body:
// a body of that size with its headers, or a snapshot of the log.
TEST_F(PeerHubTest, CarriesFramesLargerThanOneBody)
{
    BodyBudget budget(8 << 20);
    Node a(m_context, "a");
    Node b(m_context, "b", { .bodies = &budget });
    a.setAddressOf("b", b);
    LinkId link;
    ASSERT_FALSE(dial(a, "b", &link));
    std::string payload(3 * budget.largestBody(), 'x');
    EXPECT_TRUE(a.hub.send(link, FrameKind::Log, payload));
    EXPECT_TRUE(runUntil([&] { return b.frames.size() == 1; }));
    EXPECT_EQ(b.linksDown, 0);
    EXPECT_EQ(budget.used(), 0U);
}

// Guards against unbounded memory use for a peer that reads too slowly.
TEST_F(PeerHubTest, ClosesALinkOverTheBacklogLimit)
{
    Node a(m_context, "a", { .maxQueuedBytes = 1 << 20 });
    Node b(m_context, "b");
    a.setAddressOf("b", b);
    LinkId link;
    ASSERT_FALSE(dial(a, "b", &link));
    std::string payload(400 << 10, 'x');
    EXPECT_TRUE(a.hub.send(link, FrameKind::Log, payload));
    EXPECT_TRUE(a.hub.send(link, FrameKind::Log, payload));
    EXPECT_FALSE(a.hub.send(link, FrameKind::Log, payload));
    EXPECT_EQ(a.linksDown, 1);
    EXPECT_FALSE(a.hub.send(link, FrameKind::Log, "more"));
}

} // namespace dragonflylane
