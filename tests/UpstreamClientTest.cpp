#include "dragonflylane/UpstreamClient.h"

#include "dragonflylane/Metrics.h"
#include "tests/LoopbackSupport.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <future>
#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const char* const requestIdHeader = "X-Trace";

    /// An upstream client that runs on its own thread, and a listener in place of the upstream. The test accepts the
    /// connections and writes raw response bytes.
    class ClientFixture {
    public:
        explicit ClientFixture(UpstreamClientOptions options = {})
            : m_client(m_context, withUpstream(std::move(options)), m_metrics)
            , m_thread([this] { m_context.run(); })
        {
        }

        ~ClientFixture()
        {
            m_context.stop();
            m_thread.join();
        }

        ClientFixture(const ClientFixture&) = delete;
        ClientFixture& operator=(const ClientFixture&) = delete;

        std::future<UpstreamResult> send(
            const std::string& method, Duration timeout = seconds(10), const std::string& id = "")
        {
            auto result = std::make_shared<std::promise<UpstreamResult>>();
            boost::asio::post(m_context, [this, method, timeout, id, result] {
                bool isIdempotent = method != "POST";
                HttpRequest request { .method = method, .target = "/", .body = isIdempotent ? "" : "order" };
                if (!id.empty())
                    request.headers.push_back({ requestIdHeader, id });
                m_client.send(std::move(request), isIdempotent, BootClock::now() + timeout,
                    [result](UpstreamResult outcome) { result->set_value(std::move(outcome)); });
            });
            return result->get_future();
        }

        /// Sends a request, accepts its connection, responds with these bytes and closes the connection.
        UpstreamResult exchange(const std::string& method, const std::string& response)
        {
            auto result = send(method);
            RawSocket connection = listener.accept();
            connection.readUntil("\r\n\r\n");
            connection.write(response);
            connection.shutdownWrite();
            connection.readUntilClosed();
            return result.get();
        }

        RawListener listener;

    private:
        UpstreamClientOptions withUpstream(UpstreamClientOptions options)
        {
            options.upstream = { "127.0.0.1", listener.port() };
            options.spareConnections = 0;
            return options;
        }

        boost::asio::io_context m_context;
        boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work { m_context.get_executor() };
        Metrics m_metrics;
        UpstreamClient m_client;
        std::thread m_thread;
    };

    std::string responseFor(const std::string& id, const std::string& body)
    {
        return "HTTP/1.1 200 OK\r\nX-Trace: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body;
    }

    const char* const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

// Guards against passing on a truncated response as complete.
TEST(UpstreamClientTest, TruncatedResponseIsAnError)
{
    ClientFixture client;
    for (const char* response : { "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfour",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n", "HTTP/1.1 200 OK\r\nContent-Le" }) {
        UpstreamResult result = client.exchange("POST", response);
        EXPECT_EQ(result.code, ResultCode::AnswerTruncated) << response;
        EXPECT_EQ(runState(result.code), RunState::Unknown);
        EXPECT_TRUE(result.isConnectionLost);
    }
    // Only the close ends this body, so it cannot be told from one that a crash has truncated.
    EXPECT_EQ(client.exchange("GET", "HTTP/1.1 200 OK\r\n\r\nbody").code, ResultCode::MalformedAnswer);
    EXPECT_EQ(client.exchange("POST", "").code, ResultCode::UpstreamLost);
}

// Guards against a response whose end two readers see at different places: the rest of its bytes would be taken for the
// response to another request.
TEST(UpstreamClientTest, AmbiguousResponsesAreNoAnswers)
{
    ClientFixture client({ .acceptsCloseDelimited = true });
    for (const char* lines : { "Transfer-Encoding: identity\r\n", "Transfer-Encoding: gzip\r\n",
             "Transfer-Encoding: chunked, identity\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
             "Content-Length: 2\r\nTransfer-Encoding: identity\r\n", "Content-Length: 2\r\nContent-Length: 2\r\n",
             "Content-Length: 2, 2\r\n", "Content-Length: +2\r\n" }) {
        std::string response = std::string("HTTP/1.1 200 OK\r\n") + lines + "\r\nok";
        EXPECT_EQ(client.exchange("GET", response).code, ResultCode::MalformedAnswer) << lines;
    }
    EXPECT_EQ(client.exchange("GET", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n").code,
        ResultCode::MalformedAnswer);
    EXPECT_EQ(client.exchange("GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n").code,
        ResultCode::Ok);
}

// Guards against a success with an empty or short body that is framed as whole, because the upstream stopped in the
// middle of the head or of the framing and closed.
TEST(UpstreamClientTest, ResponseThatStopsAnywhereIsAnError)
{
    ClientFixture client({ .acceptsCloseDelimited = true });
    auto makeResponse = [](std::string_view lastHeader, std::string_view body) {
        std::string response("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n");
        return response.append(lastHeader).append("\r\n\r\n").append(body);
    };
    for (const std::string& response : { makeResponse("Content-Length: 12", "twelve bytes"),
             makeResponse("Transfer-Encoding: chunked", "4\r\nfour\r\n0\r\nX-Sum: 1\r\n\r\n"),
             makeResponse("Server: s", "") }) {
        for (size_t length = 0; length < response.size(); ++length) {
            UpstreamResult result = client.exchange("GET", response.substr(0, length));
            EXPECT_NE(result.code, ResultCode::Ok) << response.substr(0, length);
            EXPECT_EQ(runState(result.code), RunState::Unknown) << response.substr(0, length);
        }
        EXPECT_EQ(client.exchange("GET", response).code, ResultCode::Ok) << response;
    }
}

// Guards against unbounded memory use for the body of a response.
TEST(UpstreamClientTest, BodiesOverTheLimitAreRefused)
{
    ClientFixture client({ .maxBodyBytes = 1000 });
    std::string body(4000, 'b');
    for (const char* head : { "HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfa0\r\n" }) {
        UpstreamResult result = client.exchange("GET", head + body);
        EXPECT_EQ(result.code, ResultCode::AnswerTooLarge) << head;
        EXPECT_EQ(runState(result.code), RunState::Unknown);
    }
}

// Guards against bytes without end behind a complete response: nobody reads them while the connection is idle, and the
// kernel would keep them until the next request.
TEST(UpstreamClientTest, IdleConnectionWithSurplusBytesIsClosed)
{
    constexpr size_t moreThanSocketBuffers = 64 << 20;
    ClientFixture client;
    auto result = client.send("GET");
    RawSocket connection = client.listener.accept();
    connection.readUntil("\r\n\r\n");
    connection.write(okResponse);
    ASSERT_EQ(result.get().code, ResultCode::Ok);
    std::this_thread::sleep_for(milliseconds(50));
    const std::string junk(64 << 10, 'x');
    TimePoint start = BootClock::now();
    size_t sent = 0;
    while (sent < moreThanSocketBuffers && connection.write(junk))
        sent += junk.size();
    EXPECT_LT(sent, moreThanSocketBuffers);
    EXPECT_LT(BootClock::now() - start, seconds(5)) << "closed, not blocked";
}

// Guards against accepting bytes that are not HTTP, endless headers, or contradictory lengths.
TEST(UpstreamClientTest, InvalidHttpIsMalformed)
{
    ClientFixture client;
    std::string endless = "HTTP/1.1 200 OK\r\nX-Endless: " + std::string(100'000, 'a');
    for (const std::string& response :
        { std::string("\x16\x03\x01 not HTTP\r\n\r\n"), std::string("HTTP/9.9 200\r\n\r\n"), endless,
            std::string("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
            std::string("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
            std::string("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n") }) {
        UpstreamResult result = client.exchange("POST", response);
        EXPECT_EQ(result.code, ResultCode::MalformedAnswer) << response.substr(0, 80);
        EXPECT_EQ(runState(result.code), RunState::Unknown);
    }
}

// Guards against taking an interim response (1xx) for the final one.
TEST(UpstreamClientTest, InterimResponsesAreSkipped)
{
    ClientFixture client;
    std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    UpstreamResult result = client.exchange("GET", interim + okResponse);
    EXPECT_EQ(result.code, ResultCode::Ok);
    EXPECT_EQ(result.response.status, 200U);
    EXPECT_EQ(result.response.body, "ok");
    EXPECT_EQ(client.exchange("POST", interim).code, ResultCode::UpstreamLost);
    std::string endless;
    for (int i = 0; i < 2000; ++i)
        endless += "HTTP/1.1 102 Processing\r\n\r\n";
    EXPECT_EQ(client.exchange("POST", endless + okResponse).code, ResultCode::MalformedAnswer);
}

// Guards against passing on a status line such as "HTTP/1.1 000 Oops" of an upstream in trouble as an answer. The
// request may have run, and the connection is of no further use.
TEST(UpstreamClientTest, StatusOutsideTheProtocolIsNoAnswer)
{
    ClientFixture client({ .acceptsCloseDelimited = true });
    for (const char* status : { "000 Oops", "001 Oops", "099 Oops", "600 Oops", "999 Oops", "000", "99", "0", "1000",
             "-20", "+200", "20x" }) {
        for (const char* method : { "GET", "POST" }) {
            auto result = client.send(method);
            RawSocket connection = client.listener.accept();
            connection.readUntil("\r\n\r\n");
            connection.write("HTTP/1.1 " + std::string(status) + "\r\nContent-Length: 2\r\n\r\nok");
            connection.readUntilClosed();
            EXPECT_FALSE(connection.wasReset()) << status;
            UpstreamResult outcome = result.get();
            EXPECT_EQ(outcome.code, ResultCode::MalformedAnswer) << status;
            EXPECT_EQ(runState(outcome.code), RunState::Unknown);
        }
    }
    UpstreamResult lowest = client.exchange("GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(lowest.response.status, 200U);
    UpstreamResult highest = client.exchange("GET", "HTTP/1.1 599 Oops\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(highest.response.status, 599U);
}

// Guards against an interim response as the answer where the end of the connection may end a body: after too many of
// them, and for a switch of protocols that nobody has asked for.
TEST(UpstreamClientTest, InterimResponseIsNeverTheAnswer)
{
    ClientFixture client({ .acceptsCloseDelimited = true });
    std::string endless;
    for (int i = 0; i < 2000; ++i)
        endless += "HTTP/1.1 102 Processing\r\n\r\n";
    EXPECT_EQ(client.exchange("GET", endless + okResponse).code, ResultCode::MalformedAnswer);
    EXPECT_EQ(client.exchange("GET", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n").code,
        ResultCode::MalformedAnswer);
    EXPECT_EQ(client.exchange("GET", "HTTP/1.1 101 Switching Protocols\r\nContent-Length: 2\r\n\r\nok").code,
        ResultCode::MalformedAnswer);
}

// Guards against waiting for the body of a response that has none, and against losing the response after it.
TEST(UpstreamClientTest, ResponsesWithoutBodyKeepTheConnection)
{
    ClientFixture client;
    auto result = client.send("HEAD");
    RawSocket connection = client.listener.accept();
    for (const char* response : { "HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n",
             "HTTP/1.1 304 Not Modified\r\nContent-Length: 1234\r\n\r\n", okResponse }) {
        connection.readUntil("\r\n\r\n");
        connection.write(response);
        EXPECT_EQ(result.get().code, ResultCode::Ok) << response;
        result = client.send("GET");
    }
    connection.readUntil("\r\n\r\n");
    connection.write(okResponse);
    EXPECT_EQ(result.get().response.body, "ok");
    EXPECT_TRUE(client.listener.hasNoPendingConnection());
}

// Guards against an idempotent request that fails because the upstream closed an idle connection.
TEST(UpstreamClientTest, ClosedIdleConnectionIsReplaced)
{
    ClientFixture client;
    for (int i = 0; i < 3; ++i) {
        auto result = client.send("GET");
        RawSocket connection = client.listener.accept();
        connection.readUntil("\r\n\r\n");
        connection.write(okResponse);
        EXPECT_EQ(result.get().code, ResultCode::Ok);
        // The destructor of `connection` closes the idle connection.
    }
}

// Guards against a duplicate of a response that arrives after the connection has been reused and is taken for the
// response to the next request.
TEST(UpstreamClientTest, DuplicateResponseIsDropped)
{
    ClientFixture client({ .echoedHeader = requestIdHeader });
    auto first = client.send("GET", seconds(10), "a");
    RawSocket connection = client.listener.accept();
    connection.readUntil("\r\n\r\n");
    connection.write(responseFor("a", "first"));
    EXPECT_EQ(first.get().response.body, "first");
    auto second = client.send("GET", seconds(10), "b");
    connection.readUntil("\r\n\r\n");
    connection.write(responseFor("a", "first"));
    connection.write(responseFor("b", "second"));
    EXPECT_EQ(second.get().response.body, "second");
    // A duplicate that arrives while the connection is idle makes it unusable.
    connection.write(responseFor("b", "second"));
    std::this_thread::sleep_for(milliseconds(50));
    auto third = client.send("GET", seconds(10), "c");
    RawSocket fresh = client.listener.accept();
    fresh.readUntil("\r\n\r\n");
    fresh.write(responseFor("c", "third"));
    EXPECT_EQ(third.get().response.body, "third");
}

// Guards against a caller that is told "not run" for a request that runs, because the upstream wrote an earlier refusal
// once more and the copy bears no id.
TEST(UpstreamClientTest, RefusalWithoutIdOnAKeptConnectionIsDropped)
{
    ClientFixture client({ .echoedHeader = requestIdHeader });
    auto first = client.send("GET", seconds(10), "a");
    RawSocket connection = client.listener.accept();
    connection.readUntil("\r\n\r\n");
    connection.write(responseFor("a", "first"));
    EXPECT_EQ(first.get().response.body, "first");
    auto second = client.send("GET", seconds(10), "b");
    connection.readUntil("\r\n\r\n");
    connection.write("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    connection.write(responseFor("b", "second"));
    UpstreamResult result = second.get();
    EXPECT_EQ(result.response.status, 200U);
    EXPECT_EQ(result.response.body, "second");
}

// Guards against a refusal that is taken for the answer to a second sending of the same request, because it bears the
// same id: the request is running meanwhile.
TEST(UpstreamClientTest, RefusedRequestIsNotSentAgainOnTheSameConnection)
{
    ClientFixture client({ .echoedHeader = requestIdHeader });
    const std::string refusal = std::string("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n")
        + requestIdHeader + ": a\r\nContent-Length: 0\r\n\r\n";
    auto first = client.send("GET", seconds(10), "a");
    RawSocket connection = client.listener.accept();
    connection.readUntil("\r\n\r\n");
    connection.write(refusal);
    EXPECT_EQ(first.get().response.status, 503U);
    auto again = client.send("GET", seconds(10), "a");
    RawSocket fresh = client.listener.accept();
    ASSERT_TRUE(fresh.isOpen()) << "the second sending uses another connection";
    connection.write(refusal);
    fresh.readUntil("\r\n\r\n");
    fresh.write(responseFor("a", "done"));
    EXPECT_EQ(again.get().response.body, "done");
}

// Guards against reporting "not run" for a request that was sent on a connection which the upstream then closed.
TEST(UpstreamClientTest, OutcomeIsUnknownIfTheConnectionClosesAfterTheRequest)
{
    ClientFixture client;
    auto first = client.send("GET");
    RawSocket connection = client.listener.accept();
    connection.readUntil("\r\n\r\n");
    connection.write(okResponse);
    EXPECT_EQ(first.get().code, ResultCode::Ok);
    auto second = client.send("GET");
    connection.readUntil("\r\n\r\n");
    connection.close();
    UpstreamResult result = second.get();
    EXPECT_EQ(result.code, ResultCode::UpstreamLost);
    EXPECT_EQ(runState(result.code), RunState::Unknown);
    // An upstream may close an idle connection at any time, but a crash looks the same, so the owner has to find out.
    EXPECT_TRUE(result.isConnectionLost);
}

// Guards against a non-idempotent request whose outcome is unknown because its connection was reused just as the
// upstream closed it.
TEST(UpstreamClientTest, NonIdempotentRequestsNeverReuseAConnection)
{
    ClientFixture client;
    std::vector<RawSocket> connections;
    for (const char* method : { "GET", "POST", "POST" }) {
        auto result = client.send(method);
        connections.push_back(client.listener.accept());
        ASSERT_TRUE(connections.back().isOpen()) << method;
        EXPECT_TRUE(connections.back().readUntil("\r\n\r\n").starts_with(method));
        connections.back().write(okResponse);
        EXPECT_EQ(result.get().code, ResultCode::Ok);
    }
}

// Guards against reporting "unknown" although nothing was sent, which would prevent a safe retry.
TEST(UpstreamClientTest, RequestThatWasNotSentIsNotRun)
{
    ClientFixture client;
    UpstreamResult late = client.send("POST", milliseconds(-1)).get();
    EXPECT_EQ(late.code, ResultCode::DeadlineExceeded);
    EXPECT_EQ(runState(late.code), RunState::NotRun);
    EXPECT_TRUE(client.listener.hasNoPendingConnection());
    client.listener.close();
    UpstreamResult refused = client.send("POST").get();
    EXPECT_EQ(refused.code, ResultCode::UpstreamUnreachable);
    EXPECT_EQ(runState(refused.code), RunState::NotRun);
    EXPECT_TRUE(refused.isConnectionLost);
}

// Guards against reporting "not run" after the upstream received the request and did not answer in time.
TEST(UpstreamClientTest, OutcomeIsUnknownAfterATimeout)
{
    ClientFixture client;
    auto result = client.send("POST", milliseconds(500));
    RawSocket connection = client.listener.accept();
    connection.readUntil("order");
    EXPECT_EQ(result.get().code, ResultCode::UpstreamTimeout);
    EXPECT_EQ(runState(ResultCode::UpstreamTimeout), RunState::Unknown);
}

} // namespace dragonflylane
