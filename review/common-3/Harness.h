// Stand-ins and process control for the scripts of review/11 to review/15. Needs only the C++ and POSIX libraries.
//
// The daemons run as processes of their own, with the program, the templates and the variable of deploy/system.toml.
// Each host has a loopback address of its own, since ports are the same on all hosts of a deployment. Backends,
// callers, the operator and the platform are stand-ins that follow the users' pages.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Headers = std::vector<std::pair<std::string, std::string>>;

inline constexpr int exitHeld = 0;
inline constexpr int exitBroken = 1;
inline constexpr int exitCouldNotRun = 2;

inline double seconds(Clock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

inline void sleepSeconds(double value)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(std::max(value, 0.0)));
}

/// Writes record.txt: what was sent, answered and run, with the seconds since the start.
class Record {
public:
    static Record& instance()
    {
        static Record record;
        return record;
    }

    void open(const std::string& path) { m_file = std::fopen(path.c_str(), "w"); }
    double now() const { return seconds(Clock::now() - m_start); }

    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        std::lock_guard lock(m_mutex);
        va_list arguments;
        va_start(arguments, format);
        std::fprintf(m_file ? m_file : stdout, "%8.3f  ", now());
        std::vfprintf(m_file ? m_file : stdout, format, arguments);
        std::fputc('\n', m_file ? m_file : stdout);
        std::fflush(m_file ? m_file : stdout);
        va_end(arguments);
    }

private:
    std::mutex m_mutex;
    std::FILE* m_file { nullptr };
    Clock::time_point m_start { Clock::now() };
};

#define RECORD(...) ::review::Record::instance().line(__VA_ARGS__)

inline double now()
{
    return Record::instance().now();
}

/// TROUBLE=0 runs the same without the disruption.
inline bool hasTrouble()
{
    const char* text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

inline std::string lower(std::string text)
{
    for (char& c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

inline std::string requestId()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device {}());
    std::lock_guard lock(mutex);
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

// ---- Sockets ----

inline sockaddr_in socketAddress(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// A TCP connection with a time limit on each read.
class Connection {
public:
    explicit Connection(int descriptor = -1)
        : m_descriptor(descriptor)
    {
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    ~Connection() { close(); }

    bool open(const std::string& ip, int port, double timeout = 1)
    {
        m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = socketAddress(ip, port);
        ::fcntl(m_descriptor, F_SETFL, O_NONBLOCK);
        int result = ::connect(m_descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address));
        if (result != 0 && errno != EINPROGRESS)
            return false;
        pollfd wait { m_descriptor, POLLOUT, 0 };
        if (::poll(&wait, 1, static_cast<int>(timeout * 1000)) != 1)
            return false;
        int error = 0;
        socklen_t length = sizeof(error);
        ::getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
        ::fcntl(m_descriptor, F_SETFL, 0);
        int one = 1;
        ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        return error == 0;
    }

    bool send(std::string_view data)
    {
        while (!data.empty()) {
            ssize_t sent = ::send(m_descriptor, data.data(), data.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            data.remove_prefix(static_cast<size_t>(sent));
        }
        return true;
    }

    enum class Read { Data, End, Reset, Timeout };

    /// Appends what arrives within the time.
    Read receive(double timeout)
    {
        pollfd wait { m_descriptor, POLLIN, 0 };
        if (::poll(&wait, 1, static_cast<int>(std::max(timeout, 0.0) * 1000)) != 1)
            return Read::Timeout;
        char data[65536];
        ssize_t got = ::recv(m_descriptor, data, sizeof(data), 0);
        if (got < 0)
            return Read::Reset;
        if (got == 0)
            return Read::End;
        m_input.append(data, static_cast<size_t>(got));
        return Read::Data;
    }

    /// True if the other side has closed the connection and nothing is left to read.
    bool hasEnded() const
    {
        char byte = 0;
        ssize_t got = ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    std::string& input() { return m_input; }
    int descriptor() const { return m_descriptor; }
    void shutdown() { ::shutdown(m_descriptor, SHUT_RDWR); }
    void close()
    {
        if (m_descriptor >= 0)
            ::close(m_descriptor);
        m_descriptor = -1;
    }

private:
    int m_descriptor;
    std::string m_input;
};

// ---- HTTP ----

struct Message {
    std::string start;
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string& name) const
    {
        auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
    int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
    std::string word(int index) const
    {
        std::istringstream stream(start);
        std::string word;
        for (int i = 0; i <= index; ++i)
            stream >> word;
        return word;
    }
};

enum class Outcome { Answered, Closed, Reset, Timeout };

inline const char* name(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::Closed:
        return "closed without an answer";
    case Outcome::Reset:
        return "reset without an answer";
    case Outcome::Timeout:
        return "no answer in time";
    }
    return "";
}

/// Reads one message with a stated length.
inline Outcome readMessage(Connection& connection, Message& message, double timeout)
{
    auto end = Clock::now() + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(timeout));
    for (;;) {
        std::string& input = connection.input();
        size_t head = input.find("\r\n\r\n");
        if (head != std::string::npos) {
            Message read;
            std::istringstream lines(input.substr(0, head));
            std::getline(lines, read.start);
            while (!read.start.empty() && read.start.back() == '\r')
                read.start.pop_back();
            for (std::string line; std::getline(lines, line);) {
                size_t colon = line.find(':');
                if (colon == std::string::npos)
                    continue;
                std::string value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' '));
                while (!value.empty() && value.back() == '\r')
                    value.pop_back();
                read.headers[lower(line.substr(0, colon))] = value;
            }
            size_t length = std::strtoul(read.header("content-length").c_str(), nullptr, 10);
            if (input.size() >= head + 4 + length) {
                read.body = input.substr(head + 4, length);
                input.erase(0, head + 4 + length);
                message = std::move(read);
                return Outcome::Answered;
            }
        }
        double left = seconds(end - Clock::now());
        if (left <= 0)
            return Outcome::Timeout;
        switch (connection.receive(left)) {
        case Connection::Read::Data:
            break;
        case Connection::Read::End:
            return Outcome::Closed;
        case Connection::Read::Reset:
            return Outcome::Reset;
        case Connection::Read::Timeout:
            return Outcome::Timeout;
        }
    }
}

inline std::string requestHead(
    const std::string& method, const std::string& path, const Headers& headers, std::optional<size_t> bodyBytes)
{
    std::string head = method + " " + path + " HTTP/1.1\r\n";
    for (const auto& [key, value] : headers)
        head += key + ": " + value + "\r\n";
    if (bodyBytes)
        head += "Content-Length: " + std::to_string(*bodyBytes) + "\r\n";
    return head + "\r\n";
}

struct Reply {
    Outcome outcome { Outcome::Timeout };
    Message message;
    int status() const { return outcome == Outcome::Answered ? message.status() : 0; }
};

/// One request on a connection of its own.
inline Reply call(const std::string& ip, int port, const std::string& method, const std::string& path,
    const Headers& headers, const std::string& body, double timeout)
{
    Reply reply;
    Connection connection;
    bool hasBody = !body.empty() || method == "POST";
    if (!connection.open(ip, port)
        || !connection.send(
            requestHead(method, path, headers, hasBody ? std::optional(body.size()) : std::nullopt) + body)) {
        reply.outcome = Outcome::Reset;
        return reply;
    }
    reply.outcome = readMessage(connection, reply.message, timeout);
    return reply;
}

// ---- Processes of the system ----

struct Ports {
    int peer { 7620 };
    int control { 8306 };
    int outbound { 8304 };
    int ready { 8302 };
    int application { 8301 };
};

struct Deployment {
    int cores { 5 };
    int tolerated { 2 };
    double linkMbps { 1000 };
    double drainSeconds { 2 };
    double graceSeconds { 6 };
    bool hasAllotments { false };
};

class Mesh;

/// One machine of the deployment with its daemon.
class Host {
public:
    Host(Mesh& mesh, std::string name, std::string ip, std::string zone, bool isCore, std::string service)
        : m_mesh(mesh)
        , m_name(std::move(name))
        , m_ip(std::move(ip))
        , m_zone(std::move(zone))
        , m_isCore(isCore)
        , m_service(std::move(service))
    {
    }

    const std::string& name() const { return m_name; }
    const std::string& ip() const { return m_ip; }
    const std::string& service() const { return m_service; }
    Mesh& mesh() { return m_mesh; }
    pid_t pid() const { return m_pid; }

    void start(bool isFirstStart);
    void signal(int number) const
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }
    /// SIGKILL, and waits for the end of the process.
    void kill()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGCONT);
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
    /// True if the process has ended by itself.
    bool hasExited()
    {
        if (m_pid <= 0 || ::waitpid(m_pid, nullptr, WNOHANG) == 0)
            return false;
        m_pid = -1;
        return true;
    }

private:
    std::string settings(bool isFirstStart) const;

    Mesh& m_mesh;
    std::string m_name;
    std::string m_ip;
    std::string m_zone;
    bool m_isCore;
    std::string m_service;
    pid_t m_pid { -1 };
};

/// The machines, the platform and the operator.
class Mesh {
public:
    explicit Mesh(Deployment deployment = {})
        : m_deployment(deployment)
        , m_folder(makeFolder())
        , m_subnet(freeSubnet())
    {
        for (int i = 0; i < deployment.cores; ++i)
            m_cores.emplace_back(*this, "core-" + std::to_string(i + 1), address(i + 1), zone(i), true, "");
    }
    ~Mesh()
    {
        stop();
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }

    Host& addSidecar(const std::string& service)
    {
        int index = static_cast<int>(m_sidecars.size());
        return m_sidecars.emplace_back(
            *this, "sidecar-" + std::to_string(index + 1), address(101 + index), zone(index), false, service);
    }

    void start()
    {
        for (Host& host : m_cores)
            host.start(true);
        for (Host& host : m_sidecars)
            host.start(true);
    }

    void stop()
    {
        for (Host& host : m_sidecars)
            host.kill();
        for (Host& host : m_cores)
            host.kill();
    }

    const Deployment& deployment() const { return m_deployment; }
    const Ports& ports() const { return m_ports; }
    const std::string& folder() const { return m_folder; }
    std::list<Host>& cores() { return m_cores; }
    std::list<Host>& sidecars() { return m_sidecars; }
    std::string seeds() const
    {
        std::string text;
        int count = 0;
        for (const Host& host : m_cores) {
            if (++count > 3)
                break;
            text += (text.empty() ? "" : ",") + host.ip() + ":" + std::to_string(m_ports.control);
        }
        return text;
    }

    /// The operator: picks among the core machines, follows a 307 twice, moves on after a failure or 5xx.
    int put(const std::string& document, double timeout = 20)
    {
        auto end = Clock::now() + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(timeout));
        while (Clock::now() < end) {
            for (Host& host : m_cores) {
                std::string ip = host.ip();
                Reply reply;
                for (int hop = 0; hop < 3; ++hop) {
                    reply = call(ip, m_ports.control, "POST", "/v1/Config.Put",
                        { { "Host", ip }, { "Content-Type", "application/json" } }, document, 1.5);
                    if (reply.status() != 307)
                        break;
                    std::string location = reply.message.header("location").substr(7);
                    ip = location.substr(0, location.find(':'));
                }
                int status = reply.status();
                bool isFinal = status == 200 || (status >= 400 && status < 500 && status != 408 && status != 429);
                if (isFinal) {
                    RECORD("operator: Config.Put answered %d", status);
                    return status;
                }
                sleepSeconds(0.1);
            }
        }
        return 0;
    }

    bool isReady(const Host& host) const
    {
        return call(host.ip(), m_ports.ready, "GET", "/v1/ready", { { "Host", host.ip() } }, "", 1).status() == 200;
    }

    bool awaitReady(double timeout = 20)
    {
        auto end = Clock::now() + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(timeout));
        for (Host& host : m_sidecars) {
            while (!isReady(host)) {
                if (Clock::now() > end)
                    return false;
                sleepSeconds(0.1);
            }
        }
        return true;
    }

private:
    static std::string makeFolder()
    {
        std::string path = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (!::mkdtemp(path.data()))
            std::exit(exitCouldNotRun);
        return path;
    }

    // A part of 127.0.0.0/8 in which the ports are free, so that two runs do not meet.
    std::string freeSubnet() const
    {
        std::mt19937 random(std::random_device {}());
        for (int attempt = 0; attempt < 50; ++attempt) {
            std::string subnet = "127." + std::to_string(16 + random() % 200) + "." + std::to_string(random() % 250);
            if (isFree(subnet + ".1", m_ports.peer) && isFree(subnet + ".1", m_ports.control))
                return subnet;
        }
        std::exit(exitCouldNotRun);
    }

    static bool isFree(const std::string& ip, int port)
    {
        int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int one = 1;
        ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        sockaddr_in wanted = socketAddress(ip, port);
        bool isFree = ::bind(descriptor, reinterpret_cast<sockaddr*>(&wanted), sizeof(wanted)) == 0;
        ::close(descriptor);
        return isFree;
    }

    std::string address(int number) const { return m_subnet + "." + std::to_string(number); }
    static std::string zone(int index) { return "zone-" + std::to_string(index % 3 + 1); }

    Deployment m_deployment;
    Ports m_ports;
    std::string m_folder;
    std::string m_subnet;
    std::list<Host> m_cores;
    std::list<Host> m_sidecars;
};

inline std::string replaced(std::string text, const std::string& what, const std::string& with)
{
    for (size_t at = text.find(what); at != std::string::npos; at = text.find(what, at + with.size()))
        text.replace(at, what.size(), with);
    return text;
}

inline std::string shortNumber(double value)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%g", value);
    return text;
}

// Fills in the template of the deploy file as the platform does.
inline std::string Host::settings(bool isFirstStart) const
{
    std::ifstream stream(m_isCore ? "deploy/control.ini" : "deploy/edge.ini");
    std::stringstream text;
    text << stream.rdbuf();
    const Ports& ports = m_mesh.ports();
    const Deployment& deployment = m_mesh.deployment();
    auto at = [&](int port) { return m_ip + ":" + std::to_string(port); };
    std::map<std::string, std::string> values { { "seed_nodes", m_mesh.seeds() },
        { "port_range.0", std::to_string(ports.peer) }, { "node_name", m_name }, { "zone", m_zone },
        { "region", "region-1" }, { "service", m_service }, { "app_addr", at(ports.application) },
        { "limits.link_mbps", shortNumber(deployment.linkMbps) }, { "listen.outbound", at(ports.outbound) },
        { "listen.control", at(ports.control) }, { "listen.ready", at(ports.ready) }, { "ip", m_ip },
        { "bootstrap", isFirstStart ? "true" : "false" },
        { "fault_tolerance.machines", std::to_string(deployment.tolerated) },
        { "data_dir", m_mesh.folder() + "/" + m_name + "-data" }, { "bounds.grace_s", shortNumber(deployment.graceSeconds) },
        { "bounds.retry_budget_ratio", "0.2" }, { "bounds.retry_window_s", "10" }, { "bounds.retry_slack", "56" },
        { "bounds.quota_window_s", deployment.hasAllotments ? "5" : "" },
        { "bounds.quota_overage", deployment.hasAllotments ? "0.1" : "" },
        { "bounds.quota_slack", deployment.hasAllotments ? "20" : "" } };
    std::string result = text.str();
    for (const auto& [key, value] : values)
        result = replaced(result, "{{" + key + "}}", value);
    return result;
}

inline void Host::start(bool isFirstStart)
{
    std::string file = m_mesh.folder() + "/" + m_name + ".ini";
    std::ofstream(file) << settings(isFirstStart);
    std::string log = m_mesh.folder() + "/" + m_name + ".log";
    std::string drain = "UPSTREAM_DRAIN_S=" + shortNumber(m_mesh.deployment().drainSeconds);
    pid_t parent = ::getpid();
    pid_t child = ::fork();
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(exitCouldNotRun);
        int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        const char* arguments[] = { "target/dragonflylane-platform", "--settings", file.c_str(), nullptr };
        std::string path = std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "/usr/bin:/bin");
        const char* environment[] = { path.c_str(), m_isCore ? nullptr : drain.c_str(), nullptr };
        ::execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(environment));
        ::_exit(exitCouldNotRun);
    }
    m_pid = child;
    RECORD("%s: daemon started, process %d", m_name.c_str(), static_cast<int>(child));
}

// ---- Backends ----

struct Run {
    double at { 0 };
    std::string id;
    std::string method;
    std::string path;
    std::string body;
    std::map<std::string, std::string> headers;
};

/// One backend: reports its status to the daemon of its machine, and runs the requests it gets.
class Backend {
public:
    /// Answers a request that runs, given its connection. Returns the status and the body of the answer.
    using Work = std::function<std::pair<int, std::string>(const Run&, Connection&)>;

    Backend(Host& host, std::string id, int slots, Work work)
        : m_host(host)
        , m_id(std::move(id))
        , m_slots(slots)
        , m_work(std::move(work))
        , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
                     .count())
    {
    }
    ~Backend() { exit(); }

    const std::string& id() const { return m_id; }
    Host& host() { return m_host; }

    bool start()
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int one = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        sockaddr_in address = socketAddress(m_host.ip(), m_host.mesh().ports().application);
        if (::bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0
            || ::listen(m_listener, 512) != 0)
            return false;
        m_threads.emplace_back([this] { accept(); });
        m_threads.emplace_back([this] { beat(); });
        return true;
    }

    /// The process ends: connections are closed, the port refuses new ones.
    void exit()
    {
        if (m_hasEnded.exchange(true))
            return;
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        {
            std::lock_guard lock(m_mutex);
            for (const auto& connection : m_connections)
                connection->shutdown();
        }
        for (std::thread& thread : m_threads)
            thread.join();
    }

    void stopReports() { m_isReporting = false; }

    /// The body of the next status report.
    std::string nextReport()
    {
        std::string address = m_host.ip() + ":" + std::to_string(m_host.mesh().ports().application);
        return "{\"address\":\"" + address + "\",\"born\":" + std::to_string(m_born) + ",\"info\":{\"service\":\""
            + m_host.service() + "\",\"version\":\"v1\",\"zone\":\"zone-1\",\"slots\":" + std::to_string(m_slots)
            + "},\"status\":{\"state\":\"ready\",\"seq\":" + std::to_string(++m_sequence) + ",\"cold_left_s\":0}}";
    }

    int sendReport(const std::string& body) const
    {
        return call(m_host.ip(), m_host.mesh().ports().control, "POST", "/v1/Instances.Heartbeat/" + m_id,
            { { "Host", m_host.ip() }, { "Content-Type", "application/json" } }, body, 1)
            .status();
    }

    /// As `fleetbench wire` prints it: without a body.
    int deregister() const
    {
        return call(m_host.ip(), m_host.mesh().ports().control, "POST", "/v1/Instances.Deregister/" + m_id,
            { { "Host", m_host.ip() } }, "", 1)
            .status();
    }

    std::vector<Run> runs() const
    {
        std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    void beat()
    {
        constexpr double interval = 0.87;
        while (!m_hasEnded) {
            if (m_isReporting)
                sendReport(nextReport());
            for (double waited = 0; waited < interval && !m_hasEnded; waited += 0.03)
                sleepSeconds(0.03);
        }
    }

    void accept()
    {
        while (!m_hasEnded) {
            int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                continue;
            int one = 1;
            ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            auto connection = std::make_shared<Connection>(descriptor);
            std::lock_guard lock(m_mutex);
            m_connections.push_back(connection);
            m_threads.emplace_back([this, connection] { serve(*connection); });
        }
    }

    void serve(Connection& connection)
    {
        Message request;
        while (!m_hasEnded && readMessage(connection, request, 120) == Outcome::Answered) {
            if (!answer(connection, request))
                break;
        }
        connection.shutdown();
    }

    bool answer(Connection& connection, const Message& request)
    {
        std::string id = request.header("x-request-id");
        std::string expected = request.header("x-expect-instance");
        if (request.word(1) == "/health")
            return respond(connection, 200, id, "", { { "X-Instance-Id", m_id } });
        if (!expected.empty() && expected != m_id)
            return respond(connection, 421, id, "", { { "X-Not-Executed", "1" } });
        constexpr int queue = 4;
        if (m_running >= m_slots + queue)
            return respond(connection, 503, id, "", { { "X-Not-Executed", "1" } });
        ++m_running;
        Run run { now(), id, request.word(0), request.word(1), request.body, request.headers };
        {
            std::lock_guard lock(m_mutex);
            m_runs.push_back(run);
        }
        RECORD("backend %s runs %s %s, request %s", m_id.c_str(), run.method.c_str(), run.path.c_str(), id.c_str());
        auto [status, body] = m_work(run, connection);
        --m_running;
        return respond(connection, status, id, body, { { "X-Response-Seal", "seal." + id } });
    }

    bool respond(Connection& connection, int status, const std::string& id, const std::string& body, Headers headers)
    {
        std::string text = "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Length: " + std::to_string(body.size())
            + "\r\nX-Request-Id: " + id + "\r\nX-Server-Load: " + std::to_string(m_running) + ",0,"
            + std::to_string(m_slots) + "\r\n";
        for (const auto& [key, value] : headers)
            text += key + ": " + value + "\r\n";
        return connection.send(text + "\r\n" + body);
    }

    Host& m_host;
    const std::string m_id;
    const int m_slots;
    const Work m_work;
    const int64_t m_born;
    int m_listener { -1 };
    std::atomic<int> m_sequence { 0 };
    std::atomic<int> m_running { 0 };
    std::atomic<bool> m_isReporting { true };
    std::atomic<bool> m_hasEnded { false };
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::vector<std::shared_ptr<Connection>> m_connections;
    std::list<std::thread> m_threads;
};

// ---- Configuration documents ----

struct Route {
    std::string name;
    std::string host;
    std::string prefix;
    std::string service;
    std::string kind { "safe" };
    double timeout { 5 };
    double target { 1 };
    int attempts { 2 };
};

inline std::string document(int version, int base, const std::vector<Route>& routes,
    const std::vector<std::string>& services, const std::string& more = {})
{
    std::string text = "{\"version\":\"r" + std::to_string(version) + "\",\"base_version\":"
        + (base == 0 ? "0" : "\"r" + std::to_string(base) + "\"") + ",\"routes\":[";
    for (size_t i = 0; i < routes.size(); ++i) {
        const Route& route = routes[i];
        text += std::string(i ? "," : "") + "{\"name\":\"" + route.name + "\",\"host\":\"" + route.host
            + "\",\"path_prefix\":\"" + route.prefix + "\",\"kind\":\"" + route.kind + "\",\"timeout_s\":"
            + shortNumber(route.timeout) + ",\"target_latency_s\":" + shortNumber(route.target)
            + ",\"priority\":1,\"service\":\"" + route.service + "\",\"max_attempts\":" + std::to_string(route.attempts)
            + "}";
    }
    text += "],\"services\":[";
    for (size_t i = 0; i < services.size(); ++i)
        text += std::string(i ? "," : "") + "{\"name\":\"" + services[i]
            + "\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}";
    return text + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,"
                  "\"idle_timeout_s\":15}"
        + more + "}";
}

/// Runs a case with its record beside the script. An exception or a failed start counts as "could not run".
inline int runCase(const char* folder, const std::function<int()>& body)
{
    ::signal(SIGPIPE, SIG_IGN);
    Record::instance().open(std::string(folder) + "/record.txt");
    try {
        int result = body();
        RECORD("%s", result == exitBroken ? "result: the rule was broken"
                : result == exitHeld      ? "result: the rule held"
                                          : "result: could not run");
        return result;
    } catch (const std::exception& exception) {
        RECORD("result: could not run: %s", exception.what());
        return exitCouldNotRun;
    }
}

} // namespace review
