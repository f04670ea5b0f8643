#include "dragonflylane/HttpServer.h"

#include "dragonflylane/HttpExchange.h"
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

    /// A server on its own thread. The default handler answers with method and target.
    class ServerFixture {
    public:
        explicit ServerFixture(HttpServerOptions options = {}, const HttpServer::Handler& handler = nullptr)
            : m_server(m_context, withListen(std::move(options)), m_metrics,
                [this, handler](std::shared_ptr<HttpExchange> call) {
                    ++handled;
                    if (handler)
                        return handler(std::move(call));
                    call->respond({ .body = call->request().method + call->request().target });
                })
        {
            EXPECT_FALSE(m_server.start());
            m_thread = std::thread([this] { m_context.run(); });
        }

        ~ServerFixture()
        {
            m_context.stop();
            m_thread.join();
        }

        ServerFixture(const ServerFixture&) = delete;
        ServerFixture& operator=(const ServerFixture&) = delete;

        RawSocket connect() const { return RawSocket::connectTo(m_server.port()); }
        /// Runs a function on the server's thread.
        template <typename Function> auto run(Function function)
        {
            std::packaged_task<decltype(function())()> task(std::move(function));
            auto result = task.get_future();
            boost::asio::post(m_context, std::move(task));
            return result.get();
        }
        uint64_t metric(const std::string& name)
        {
            return run([&] { return m_metrics.value(name); });
        }
        HttpServer& server() { return m_server; }

        std::atomic<int> handled { 0 };

    private:
        static HttpServerOptions withListen(HttpServerOptions options)
        {
            options.listen = { "127.0.0.1", 0 };
            return options;
        }

        boost::asio::io_context m_context;
        boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work { m_context.get_executor() };
        Metrics m_metrics;
        HttpServer m_server;
        std::thread m_thread;
    };

    void expectRefusal(const std::string& answer, const std::string& status)
    {
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 " + status)) << answer.substr(0, 200);
        EXPECT_NE(answer.find("Dragonflylane-Run: not-run"), std::string::npos) << answer.substr(0, 200);
        EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer.substr(0, 200);
    }

    std::string answerTo(ServerFixture& server, const std::string& request)
    {
        RawSocket caller = server.connect();
        caller.write(request);
        std::string answer = caller.readUntilClosed();
        EXPECT_FALSE(caller.wasReset());
        return answer;
    }

} // namespace

// Guards against request smuggling: two parsers that disagree on where a request ends, so that one of them misses a
// second request.
TEST(HttpServerTest, RefusesContradictoryLengths)
{
    ServerFixture server;
    for (const char* lengths : { "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
             "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", "Content-Length: 3\r\nContent-Length: 4\r\n",
             "Content-Length: 3, 4\r\n", "Content-Length: -3\r\n", "Content-Length: 3x\r\n" }) {
        std::string request = std::string("POST / HTTP/1.1\r\nHost: a\r\n") + lengths + "\r\n0\r\n\r\n";
        SCOPED_TRACE(lengths);
        expectRefusal(answerTo(server, request), "400");
    }
    EXPECT_EQ(server.handled, 0);
}

// Guards against unbounded memory use for headers.
TEST(HttpServerTest, RefusesEndlessHeaders)
{
    ServerFixture server({ .maxHeaderBytes = 4096 });
    RawSocket caller = server.connect();
    caller.write("GET / HTTP/1.1\r\nHost: a\r\n");
    for (int i = 0; i < 20'000 && caller.write("X-Endless: aaaaaaaaaaaaaaaaaaaaaaaa\r\n"); ++i) { }
    EXPECT_EQ(server.metric("calls_request_too_large"), 1U);
    EXPECT_EQ(server.handled, 0);
    RawSocket shorter = server.connect();
    shorter.write("GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(8000, 'a') + "\r\n\r\n");
    expectRefusal(shorter.readUntilClosed(), "431");
}

// Guards against unbounded memory use for a body, and against losing the response because the connection is reset while
// the caller still sends the body.
TEST(HttpServerTest, RefusesOversizedBodies)
{
    ServerFixture server({ .maxBodyBytes = 1000 });
    std::string body(300'000, 'b');
    expectRefusal(answerTo(server, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 300000\r\n\r\n" + body), "413");
    expectRefusal(
        answerTo(server, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n493e0\r\n" + body), "413");
    EXPECT_EQ(server.handled, 0);
    std::string allowed = "POST /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 1000\r\n\r\n";
    EXPECT_TRUE(answerTo(server, allowed + std::string(1000, 'b')).ends_with("POST/a"));
}

// Guards against callers that keep a connection for ever by sending one byte at a time (Slowloris).
TEST(HttpServerTest, RequestTimeoutIsNotExtendedByFurtherBytes)
{
    ServerFixture server({ .requestTimeout = milliseconds(100) });
    RawSocket caller = server.connect();
    bool isClosed = false;
    std::string request = "GET / HTTP/1.1\r\nHost: a\r\nX-Slow: " + std::string(4000, 'a');
    for (size_t i = 0; i < request.size() && !isClosed; ++i) {
        isClosed = !caller.write(request.substr(i, 1));
        std::this_thread::sleep_for(milliseconds(5));
    }
    EXPECT_TRUE(isClosed);
    EXPECT_EQ(server.metric("calls_request_timeout"), 1U);
    EXPECT_EQ(server.handled, 0);
}

// Guards against upstreams that continue to work for callers that have disconnected.
TEST(HttpServerTest, DisconnectRunsTheCancelHook)
{
    std::promise<void> received;
    std::promise<void> cancelled;
    std::shared_ptr<HttpExchange> kept;
    ServerFixture server({}, [&](std::shared_ptr<HttpExchange> call) {
        call->setCancelHook([&] { cancelled.set_value(); });
        kept = std::move(call);
        received.set_value();
    });
    RawSocket caller = server.connect();
    caller.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    received.get_future().wait();
    EXPECT_EQ(server.run([&] { return server.server().inFlight(); }), 1U);
    caller.close();
    EXPECT_EQ(cancelled.get_future().wait_for(std::chrono::seconds(10)), std::future_status::ready);
    server.run([&] { kept->respond({ .body = "late" }); });
    EXPECT_EQ(server.run([&] { return server.server().inFlight(); }), 0U);
}

// Guards against responses in the wrong order on a connection with pipelined requests.
TEST(HttpServerTest, AnswersPipelinedRequestsInOrder)
{
    ServerFixture server;
    std::string requests;
    for (const char* target : { "/first", "/second", "/third" })
        requests += std::string("GET ") + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
    requests += "GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    std::string answers = answerTo(server, requests);
    size_t position = 0;
    for (const char* target : { "GET/first", "GET/second", "GET/third", "GET/last" }) {
        size_t found = answers.find(target, position);
        ASSERT_NE(found, std::string::npos) << target;
        position = found;
    }
    EXPECT_EQ(server.handled, 4);
}

// Guards against a shutdown that interrupts a request in flight, or that leaves idle connections open.
TEST(HttpServerTest, StopAnswersRequestsInFlight)
{
    std::promise<std::shared_ptr<HttpExchange>> received;
    ServerFixture server({}, [&](std::shared_ptr<HttpExchange> call) { received.set_value(std::move(call)); });
    RawSocket idle = server.connect();
    RawSocket caller = server.connect();
    caller.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    std::shared_ptr<HttpExchange> call = received.get_future().get();
    server.run([&] { server.server().stop(); });
    EXPECT_FALSE(server.connect().isOpen());
    server.run([&] { server.server().closeIdle(); });
    EXPECT_EQ(idle.readUntilClosed(), "");
    server.run([&] { call->respond({ .body = "the answer" }); });
    std::string answer = caller.readUntilClosed();
    EXPECT_TRUE(answer.ends_with("the answer")) << answer;
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
}

// Guards against a shutdown that closes a connection just as its caller sends a request. The caller could not tell
// whether the request ran.
TEST(HttpServerTest, StopStillAnswersTheNextRequestOfAnIdleConnection)
{
    ServerFixture server(
        {}, [](const std::shared_ptr<HttpExchange>& call) { call->respond({ .body = "the answer" }); });
    RawSocket caller = server.connect();
    server.run([&] { server.server().stop(); });
    caller.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    std::string answer = caller.readUntilClosed();
    EXPECT_TRUE(answer.ends_with("the answer")) << answer;
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
}

// Guards against dropping a connection with a request in flight while nothing is being read from it, because the caller
// has sent more requests than the pipelining limit, or because the server ends the connection.
TEST(HttpServerTest, UnreadRequestsDoNotDropTheOneInFlight)
{
    for (bool isEnding : { false, true }) {
        std::promise<std::shared_ptr<HttpExchange>> received;
        std::atomic<int> calls { 0 };
        ServerFixture server({ .maxPipelined = 1 }, [&](std::shared_ptr<HttpExchange> call) {
            if (++calls == 1)
                return received.set_value(std::move(call));
            call->respond({ .body = "second" });
        });
        if (isEnding)
            server.run([&] { server.server().closeAfterResponses(); });
        RawSocket caller = server.connect();
        caller.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
        std::shared_ptr<HttpExchange> first = received.get_future().get();
        caller.write("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
        std::this_thread::sleep_for(milliseconds(100));
        server.run([&] { first->respond({ .body = "first" }); });
        first.reset();
        std::string answers = caller.readUntil(isEnding ? "first" : "second");
        EXPECT_NE(answers.find("first"), std::string::npos) << isEnding << answers;
        EXPECT_EQ(answers.find("Connection: close") != std::string::npos, isEnding);
        EXPECT_FALSE(caller.wasReset());
    }
}

// Guards against pipelined requests that wait for the response to the previous one although the upstreams have
// capacity.
TEST(HttpServerTest, PipelinedRequestsRunTogetherAndAreAnsweredInOrder)
{
    std::vector<std::shared_ptr<HttpExchange>> calls;
    std::promise<void> third;
    ServerFixture server({}, [&](std::shared_ptr<HttpExchange> call) {
        calls.push_back(std::move(call));
        if (calls.size() == 3)
            third.set_value();
    });
    RawSocket caller = server.connect();
    for (const char* target : { "/1", "/2", "/3" })
        caller.write(std::string("GET ") + target + " HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_EQ(third.get_future().wait_for(std::chrono::seconds(10)), std::future_status::ready);
    server.run([&] {
        for (size_t i = calls.size(); i-- > 0;)
            calls[i]->respond({ .body = "answer" + calls[i]->request().target });
    });
    std::string answers = caller.readUntil("answer/3");
    EXPECT_LT(answers.find("answer/1"), answers.find("answer/2"));
    EXPECT_LT(answers.find("answer/2"), answers.find("answer/3"));
}

// Guards against a connection that stays open without a limit, because a request whose header arrives in pieces is read
// on while the connection ends after the last response.
TEST(HttpServerTest, StoppedServerEndsAConnectionWithAPartialHeader)
{
    constexpr Duration limit = seconds(4);
    std::shared_ptr<HttpExchange> held;
    std::atomic<bool> isHeld { false };
    ServerFixture server({}, [&](std::shared_ptr<HttpExchange> exchange) {
        held = std::move(exchange);
        isHeld = true;
    });
    RawSocket caller = server.connect();
    caller.write("GET /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost:");
    ASSERT_TRUE(waitUntil([&] { return isHeld.load(); }));
    server.run([&] { server.server().closeAfterResponses(); });
    server.run([&] { held->respond({ .body = "last" }); });
    EXPECT_NE(caller.readUntil("last").find("Connection: close"), std::string::npos);
    caller.write(" a\r\n\r\n");
    EXPECT_TRUE(waitUntil([&] { return !caller.write("x"); }, limit));
    EXPECT_EQ(server.handled, 1);
}

// Guards against a use after destruction: a read that has completed but whose handler has not run yet when a failed
// write closes the connection continues with a parser that was destroyed, which ended the process (review/1).
TEST(HttpServerTest, DisconnectWhileTheNextHeaderIsBeingParsed)
{
    constexpr int connections = 200;
    constexpr int requestsPerConnection = 12;
    ServerFixture server;
    std::string request = "GET /a HTTP/1.1\r\nHost: a\r\nX-Padding: " + std::string(150, 'p') + "\r\n\r\n";
    std::string pipelined;
    for (int i = 0; i < requestsPerConnection; ++i)
        pipelined += request;
    for (int i = 0; i < connections; ++i) {
        RawSocket caller = server.connect();
        caller.write(pipelined);
        caller.close();
    }
    EXPECT_TRUE(answerTo(server, "GET /after HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").ends_with("GET/after"));
}

// Guards against upstreams that continue to work for a caller that has disconnected, on a connection whose last request
// is in flight.
TEST(HttpServerTest, DisconnectIsDetectedDuringTheLastRequestOfAConnection)
{
    std::promise<void> received;
    std::promise<void> cancelled;
    std::shared_ptr<HttpExchange> kept;
    ServerFixture server({}, [&](std::shared_ptr<HttpExchange> call) {
        call->setCancelHook([&] { cancelled.set_value(); });
        kept = std::move(call);
        received.set_value();
    });
    RawSocket caller = server.connect();
    caller.write("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    received.get_future().wait();
    caller.close();
    EXPECT_EQ(cancelled.get_future().wait_for(std::chrono::seconds(10)), std::future_status::ready);
}

// Guards against a response to HEAD that states length zero, or that has a body, which the caller would take for the
// start of the next response.
TEST(HttpServerTest, HeadResponseStatesTheLengthWithoutBody)
{
    ServerFixture server({}, [](const std::shared_ptr<HttpExchange>& call) {
        call->respond({ .headers = { { "Content-Length", "1234" } }, .body = "x" });
    });
    std::string answer = answerTo(server, "HEAD / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    EXPECT_NE(answer.find("Content-Length: 1234\r\n"), std::string::npos) << answer;
    EXPECT_TRUE(answer.ends_with("\r\n\r\n")) << answer;
}

} // namespace dragonflylane
