#include "bench/PlainClient.h"

#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace dragonflylane {

namespace {

    class Socket {
    public:
        explicit Socket(Duration timeout)
            : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
        {
            auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(timeout).count();
            constexpr int64_t second = 1'000'000;
            timeval limit { .tv_sec = microseconds / second, .tv_usec = microseconds % second };
            setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
            setsockopt(m_fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
            int on = 1;
            setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        }
        ~Socket() { close(m_fd); }
        Socket(const Socket&) = delete;
        Socket& operator=(const Socket&) = delete;

        bool connectTo(const Endpoint& server) const
        {
            sockaddr_in address {};
            address.sin_family = AF_INET;
            address.sin_port = htons(server.port);
            inet_pton(AF_INET, server.address.c_str(), &address.sin_addr);
            return connect(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
        }

        bool sendAll(const std::string& text) const
        {
            size_t sent = 0;
            while (sent < text.size()) {
                ssize_t count = send(m_fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
                if (count <= 0)
                    return false;
                sent += static_cast<size_t>(count);
            }
            return true;
        }

        // Appends received data to the text. Returns the number of bytes, 0 if the connection was closed, or a negative
        // value on error, with errno set.
        ssize_t receive(std::string& text) const
        {
            constexpr size_t bufferBytes = 16384;
            char buffer[bufferBytes];
            ssize_t count = recv(m_fd, buffer, sizeof(buffer), 0);
            if (count > 0)
                text.append(buffer, static_cast<size_t>(count));
            return count;
        }

    private:
        int m_fd;
    };

    std::string render(const Endpoint& server, const HttpRequest& request)
    {
        std::string text = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + server.toString()
            + "\r\nConnection: close\r\nContent-Length: " + std::to_string(request.body.size()) + "\r\n";
        for (const HttpHeader& header : request.headers)
            text += header.name + ": " + header.value + "\r\n";
        return text + "\r\n" + request.body;
    }

    void parseHead(std::string_view head, HttpResponse& response)
    {
        constexpr size_t statusOffset = 9;
        constexpr size_t statusDigits = 3;
        std::string_view status = head.substr(std::min(statusOffset, head.size()), statusDigits);
        response.status = 0;
        std::from_chars(status.data(), status.data() + status.size(), response.status);
        for (size_t line = head.find("\r\n"); line != std::string_view::npos; line = head.find("\r\n", line + 2)) {
            std::string_view field = head.substr(line + 2, head.find("\r\n", line + 2) - line - 2);
            size_t colon = field.find(": ");
            if (colon != std::string_view::npos)
                response.headers.push_back(
                    { std::string(field.substr(0, colon)), std::string(field.substr(colon + 2)) });
        }
    }

    // Returns true if the text is a complete response.
    bool parseResponse(const std::string& text, HttpResponse& response)
    {
        constexpr std::string_view separator = "\r\n\r\n";
        size_t end = text.find(separator);
        if (end == std::string::npos)
            return false;
        response = {};
        parseHead(std::string_view(text).substr(0, end), response);
        std::string_view lengthText = response.header("Content-Length");
        size_t length = 0;
        std::from_chars(lengthText.data(), lengthText.data() + lengthText.size(), length);
        size_t begin = end + separator.size();
        if (text.size() < begin + length)
            return false;
        response.body = text.substr(begin, length);
        return true;
    }

} // namespace

ExchangeResult sendPlainRequest(
    const Endpoint& server, const HttpRequest& request, Duration timeout, HttpResponse& response)
{
    Socket socket(timeout);
    if (!socket.connectTo(server))
        return ExchangeResult::NotConnected;
    if (!socket.sendAll(render(server, request)))
        return ExchangeResult::Closed;
    std::string text;
    while (!parseResponse(text, response)) {
        ssize_t count = socket.receive(text);
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return ExchangeResult::TimedOut;
        if (count <= 0)
            return ExchangeResult::Closed;
    }
    return ExchangeResult::Completed;
}

} // namespace dragonflylane
