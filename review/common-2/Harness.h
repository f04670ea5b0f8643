#pragma once

// Stand-ins for the platform, the operator, backends and consumers, and a small deployment of the project's own
// programs on loopback addresses. Used by the cases review/6 and later.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

// ---- Time and record ----

inline double now()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleepFor(double seconds)
{
    if (seconds > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline void sleepUntil(double time)
{
    sleepFor(time - now());
}

/// Writes the lines of record.txt. Thread-safe.
class Record {
public:
    static void open(const std::string& path) { file() = std::fopen(path.c_str(), "w"); }
    __attribute__((format(printf, 1, 2))) static void line(const char* format, ...)
    {
        std::lock_guard lock(mutex());
        std::FILE* out = file() ? file() : stderr;
        std::fprintf(out, "%8.3f ", now());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(out, format, arguments);
        va_end(arguments);
        std::fputc('\n', out);
        std::fflush(out);
    }

private:
    static std::FILE*& file()
    {
        static std::FILE* value = nullptr;
        return value;
    }
    static std::mutex& mutex()
    {
        static std::mutex value;
        return value;
    }
};

// ---- Sockets and HTTP ----

struct Address {
    std::string ip;
    int port { 0 };
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in toSockaddr(const Address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

enum class Io {
    Ok,
    Closed,
    Reset,
    Timeout,
    Malformed
};

inline const char* name(Io io)
{
    switch (io) {
    case Io::Ok:
        return "ok";
    case Io::Closed:
        return "closed";
    case Io::Reset:
        return "reset";
    case Io::Timeout:
        return "timeout";
    default:
        return "malformed";
    }
}

struct Message {
    std::string start;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const char* wanted) const
    {
        for (const auto& [key, value] : headers) {
            if (strcasecmp(key.c_str(), wanted) == 0)
                return value;
        }
        return {};
    }
    int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const
    {
        size_t begin = start.find(' ') + 1;
        return start.substr(begin, start.find(' ', begin) - begin);
    }
};

/// A blocking connection with time limits.
class Connection {
public:
    Connection() = default;
    explicit Connection(int fd)
        : m_fd(fd)
    {
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    ~Connection() { close(); }

    Io connect(const Address& to, double seconds)
    {
        close();
        m_buffer.clear();
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        sockaddr_in address = toSockaddr(to);
        if (::connect(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 && errno != EINPROGRESS)
            return Io::Reset;
        if (!waitFor(POLLOUT, now() + seconds))
            return Io::Timeout;
        int error = 0;
        socklen_t size = sizeof(error);
        ::getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &size);
        int one = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        return error == 0 ? Io::Ok : Io::Reset;
    }
    bool isOpen() const { return m_fd >= 0; }
    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
    }
    /// True if the peer has closed or reset the connection and sent nothing more.
    bool isGone() const
    {
        char byte = 0;
        ssize_t got = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    }
    Io send(std::string_view data, double until)
    {
        while (!data.empty()) {
            ssize_t sent = ::send(m_fd, data.data(), data.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (sent > 0) {
                data.remove_prefix(static_cast<size_t>(sent));
                continue;
            }
            if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
                return Io::Reset;
            if (!waitFor(POLLOUT, until))
                return Io::Timeout;
        }
        return Io::Ok;
    }
    /// Reads a whole request or response. A response without a length ends with its connection.
    Io read(Message& message, double until, bool isResponse)
    {
        message = {};
        size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (Io io = receive(until); io != Io::Ok)
                return io;
        }
        parseHead(message, m_buffer.substr(0, end));
        m_buffer.erase(0, end + 4);
        if (strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") == 0)
            return readChunks(message, until);
        std::string length = message.header("Content-Length");
        if (length.empty() && isResponse) {
            Io io = Io::Ok;
            while ((io = receive(until)) == Io::Ok) { }
            message.body = std::exchange(m_buffer, {});
            return io == Io::Closed ? Io::Ok : io;
        }
        size_t bytes = length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
        m_buffer.reserve(bytes);
        while (m_buffer.size() < bytes) {
            if (Io io = receive(until); io != Io::Ok)
                return io;
        }
        message.body = m_buffer.substr(0, bytes);
        m_buffer.erase(0, bytes);
        return Io::Ok;
    }

private:
    bool waitFor(short events, double until) const
    {
        double left = until - now();
        pollfd entry { m_fd, events, 0 };
        return left > 0 && ::poll(&entry, 1, static_cast<int>(left * 1000) + 1) > 0;
    }
    Io receive(double until)
    {
        if (!waitFor(POLLIN, until))
            return Io::Timeout;
        char chunk[65536];
        ssize_t got = ::recv(m_fd, chunk, sizeof(chunk), MSG_DONTWAIT);
        if (got == 0)
            return Io::Closed;
        if (got < 0)
            return errno == EAGAIN || errno == EINTR ? Io::Ok : Io::Reset;
        m_buffer.append(chunk, static_cast<size_t>(got));
        return Io::Ok;
    }
    static void parseHead(Message& message, const std::string& head)
    {
        std::istringstream lines(head);
        std::string line;
        std::getline(lines, message.start);
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(
                line.substr(0, colon), value == std::string::npos ? std::string() : line.substr(value));
        }
    }
    Io readChunks(Message& message, double until)
    {
        while (true) {
            size_t end = 0;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (Io io = receive(until); io != Io::Ok)
                    return io;
            }
            size_t bytes = std::strtoull(m_buffer.c_str(), nullptr, 16);
            m_buffer.erase(0, end + 2);
            while (m_buffer.size() < bytes + 2) {
                if (Io io = receive(until); io != Io::Ok)
                    return io;
            }
            message.body.append(m_buffer, 0, bytes);
            m_buffer.erase(0, bytes + 2);
            if (bytes == 0)
                return Io::Ok;
        }
    }

    int m_fd { -1 };
    std::string m_buffer;
};

inline Io call(const Address& to, const std::string& request, Message& answer, double seconds)
{
    Connection connection;
    double until = now() + seconds;
    Io io = connection.connect(to, seconds);
    if (io == Io::Ok)
        io = connection.send(request, until);
    return io == Io::Ok ? connection.read(answer, until, true) : io;
}

inline std::string jsonPost(const std::string& target, const std::string& host, const std::string& body)
{
    return "POST " + target + " HTTP/1.1\r\nHost: " + host
        + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

inline std::string newRequestId()
{
    static std::atomic<uint64_t> next { 0 };
    static const uint64_t salt = std::random_device {}();
    char text[40];
    std::snprintf(text, sizeof(text), "%08x%08x", static_cast<unsigned>(salt), static_cast<unsigned>(++next));
    return text;
}

// ---- Machines: the platform ----

inline bool isTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

struct Ports {
    int peer { 0 };
    int control { 0 };
    int outbound { 0 };
    int ready { 0 };
    int app { 0 };
};

struct Machine {
    std::string name;
    std::string ip;
    std::string zone;
    bool isCore { false };
    std::string service;
    pid_t pid { -1 };
    bool wasStarted { false };
    std::string folder;
};

struct Bounds {
    double drain { 2 };
    double grace { 6 };
    int lossTolerance { 2 };
};

/// Starts and stops the project's programs as the deploy file states.
class Platform {
public:
    explicit Platform(const std::string& caseName)
    {
        std::random_device device;
        m_prefix = "127." + std::to_string(20 + device() % 200) + "." + std::to_string(1 + device() % 250) + ".";
        int base = 20000 + static_cast<int>(device() % 9000);
        ports = { base, base + 1, base + 2, base + 3, base + 4 };
        const char* folder = std::getenv("TMPDIR");
        m_folder = std::string(folder ? folder : "/tmp") + "/" + caseName + "-XXXXXX";
        if (!::mkdtemp(m_folder.data()))
            m_folder.clear();
    }
    ~Platform()
    {
        for (Machine& machine : machines)
            kill(machine, SIGKILL);
        removeFolder();
    }

    void removeFolder() const
    {
        std::error_code ignored;
        if (!std::getenv("KEEP_LOGS"))
            std::filesystem::remove_all(m_folder, ignored);
        else
            std::fprintf(stderr, "logs in %s\n", m_folder.c_str());
    }

    Machine& add(const std::string& machineName, const std::string& zone, bool isCore, const std::string& service = {})
    {
        Machine machine { .name = machineName,
            .ip = m_prefix + std::to_string(machines.size() + 1),
            .zone = zone,
            .isCore = isCore,
            .service = service };
        machine.folder = m_folder + "/" + machineName;
        std::filesystem::create_directories(machine.folder + "/data");
        machines.push_back(machine);
        return machines.back();
    }

    void start(Machine& machine)
    {
        writeSettings(machine);
        machine.wasStarted = true;
        std::string settings = machine.folder + "/node.toml";
        std::string log = machine.folder + "/log";
        std::string drain = "UPSTREAM_DRAIN_S=" + text(bounds.drain);
        std::string boot = "DRAGONFLYLANE_BOOT=" + settings;
        pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            std::vector<char*> environment { ::strdup("PATH=/usr/bin:/bin"), ::strdup("HOME=/"), ::strdup("LANG=C"),
                ::strdup(boot.c_str()) };
            if (!machine.isCore)
                environment.push_back(::strdup(drain.c_str()));
            environment.push_back(nullptr);
            const char* program = "target/dragonflylane-platform";
            char* arguments[] = { ::strdup(program), ::strdup("--settings"), ::strdup(settings.c_str()), nullptr };
            ::execve(program, arguments, environment.data());
            ::_exit(127);
        }
        std::lock_guard lock(m_mutex);
        machine.pid = pid;
    }

    /// Sends the signal. Waits for the end of the process if it is SIGKILL.
    void kill(Machine& machine, int signal)
    {
        pid_t pid = -1;
        {
            std::lock_guard lock(m_mutex);
            pid = machine.pid;
            if (signal == SIGKILL)
                machine.pid = -1;
        }
        if (pid <= 0)
            return;
        ::kill(pid, signal);
        if (signal == SIGKILL)
            ::waitpid(pid, nullptr, 0);
    }

    /// Returns true if the process has ended by itself; it is reaped then.
    bool hasEnded(Machine& machine, int* status)
    {
        std::lock_guard lock(m_mutex);
        if (machine.pid <= 0 || ::waitpid(machine.pid, status, WNOHANG) != machine.pid)
            return false;
        machine.pid = -1;
        return true;
    }

    /// Resident memory of the process in bytes; 0 if it doesn't run.
    uint64_t residentBytes(const Machine& machine)
    {
        pid_t pid = machine.pid;
        if (pid <= 0)
            return 0;
        std::ifstream status("/proc/" + std::to_string(pid) + "/status");
        std::string line;
        while (std::getline(status, line)) {
            if (line.starts_with("VmRSS:"))
                return std::strtoull(line.c_str() + 6, nullptr, 10) * 1024;
        }
        return 0;
    }

    bool isReady(const Machine& machine)
    {
        Message answer;
        std::string request = "GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        return call({ machine.ip, ports.ready }, request, answer, 1) == Io::Ok && answer.status() == 200;
    }

    bool waitUntilReady(double seconds)
    {
        for (double end = now() + seconds; now() < end; sleepFor(0.1)) {
            bool areAll = true;
            for (const Machine& machine : machines)
                areAll = areAll && (machine.isCore || machine.pid <= 0 || isReady(machine));
            if (areAll)
                return true;
        }
        return false;
    }

    /// Sends a call of the operator to the machines that serve control, as the pages say. Returns the status of the
    /// final answer, or 0.
    int operate(const std::string& method, const std::string& path, const std::string& body, Message& answer,
        double seconds = 10)
    {
        std::vector<Address> core;
        for (const Machine& machine : machines) {
            if (machine.isCore)
                core.push_back({ machine.ip, ports.control });
        }
        double pause = 0.1;
        for (double end = now() + seconds; now() < end; sleepFor(pause), pause = std::min(pause * 2, 1.0)) {
            for (Address to : core) {
                for (int hop = 0; hop < 3; ++hop) {
                    std::string request = method + " " + path + " HTTP/1.1\r\nHost: " + to.text()
                        + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
                        + std::to_string(body.size()) + "\r\n\r\n" + body;
                    if (call(to, request, answer, 1) != Io::Ok || answer.status() != 307)
                        break;
                    std::string location = answer.header("Location").substr(7);
                    size_t colon = location.find(':');
                    to = { location.substr(0, colon), std::atoi(location.c_str() + colon + 1) };
                }
                int status = answer.status();
                if (status == 200 || status == 400 || status == 409 || status == 412 || status == 413 || status == 422)
                    return status;
            }
        }
        return 0;
    }

    Ports ports;
    Bounds bounds;
    std::deque<Machine> machines;

private:
    static std::string text(double value)
    {
        std::ostringstream out;
        out << value;
        return out.str();
    }

    void writeSettings(const Machine& machine)
    {
        std::ifstream in(machine.isCore ? "deploy/control.ini" : "deploy/edge.ini");
        std::stringstream content;
        content << in.rdbuf();
        std::string settings = content.str();
        std::string seeds;
        int count = 0;
        for (const Machine& other : machines) {
            if (other.isCore && ++count <= 3)
                seeds += (seeds.empty() ? "" : ",") + other.ip + ":" + std::to_string(ports.control);
        }
        std::map<std::string, std::string> values { { "seed_nodes", seeds },
            { "port_range.0", std::to_string(ports.peer) }, { "node_name", machine.name }, { "zone", machine.zone },
            { "region", "region" }, { "limits.link_mbps", "1000.0" }, { "ip", machine.ip },
            { "listen.control", machine.ip + ":" + std::to_string(ports.control) },
            { "listen.outbound", machine.ip + ":" + std::to_string(ports.outbound) },
            { "listen.ready", machine.ip + ":" + std::to_string(ports.ready) },
            { "app_addr", machine.ip + ":" + std::to_string(ports.app) }, { "service", machine.service },
            { "bootstrap", machine.wasStarted ? "false" : "true" },
            { "fault_tolerance.machines", std::to_string(bounds.lossTolerance) },
            { "data_dir", machine.folder + "/data" }, { "bounds.grace_s", text(bounds.grace) },
            { "bounds.drain_s", text(bounds.drain) }, { "bounds.retry_budget_ratio", "0.2" },
            { "bounds.retry_window_s", "10" }, { "bounds.retry_slack", "56" }, { "bounds.quota_window_s", "" },
            { "bounds.quota_overage", "" }, { "bounds.quota_slack", "" } };
        for (const auto& [key, value] : values) {
            std::string placeholder = "{{" + key + "}}";
            for (size_t at = 0; (at = settings.find(placeholder, at)) != std::string::npos; at += value.size())
                settings.replace(at, placeholder.size(), value);
        }
        std::ofstream(machine.folder + "/node.toml") << settings;
    }

    std::string m_prefix;
    std::string m_folder;
    std::mutex m_mutex;
};

// ---- Backends ----

/// What a backend did with one request.
struct Run {
    std::string requestId;
    std::string start;
    size_t bodyBytes { 0 };
    double arrivedAt { 0 };
    double beganAt { 0 };
    double endedAt { 0 };
    bool isComplete { false };
};

/// A sound backend: it reports to its own machine, runs as many requests at once as it has slots, queues a few more,
/// stops work at the deadline or when the connection closes, and rejects requests that are meant for another instance.
class Backend {
public:
    struct Options {
        int slots { 12 };
        int queue { 48 };
        size_t answerBytes { 400 };
        /// Work on a request in seconds.
        std::function<double()> work { [] { return 0.1; } };
    };

    Backend(const Platform& platform, const Machine& machine, Options options)
        : m_address { machine.ip, platform.ports.app }
        , m_control { machine.ip, platform.ports.control }
        , m_service(machine.service)
        , m_zone(machine.zone)
        , m_id("i-" + machine.name)
        , m_options(std::move(options))
        , m_born(std::to_string(static_cast<uint64_t>(std::time(nullptr)) * 1000))
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int one = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        sockaddr_in address = toSockaddr(m_address);
        if (::bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0)
            std::fprintf(stderr, "backend cannot listen on %s\n", m_address.text().c_str());
        ::listen(m_listener, 256);
        m_threads.emplace_back([this] { accept(); });
        m_threads.emplace_back([this] { beat(); });
    }
    ~Backend()
    {
        m_isStopped = true;
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        m_changed.notify_all();
        for (std::thread& thread : m_threads)
            thread.join();
    }

    std::vector<Run> runs() const
    {
        std::lock_guard lock(m_mutex);
        return m_runs;
    }
    const std::string& id() const { return m_id; }
    /// No status reports are sent while this is set.
    std::atomic<bool> isSilent { false };

    /// The next status report. It may be sent later than those that follow it.
    std::string makeReport(const char* state)
    {
        return "{\"address\":\"" + m_address.text() + "\",\"born\":" + m_born + ",\"info\":{\"service\":\"" + m_service
            + "\",\"version\":\"v1\",\"zone\":\"" + m_zone + "\",\"slots\":" + std::to_string(m_options.slots)
            + "},\"status\":{\"state\":\"" + state + "\",\"seq\":" + std::to_string(++m_sequence)
            + ",\"cold_left_s\":0}}";
    }
    /// Returns the status of the answer; 0 if there was none within a second.
    int sendReport(const std::string& report) { return post("/v1/Instances.Heartbeat/", report); }
    int deregister() { return post("/v1/Instances.Deregister/", "{\"born\":" + m_born + "}"); }
    /// Ends like a process: all connections are closed, and no new one is accepted.
    void exit()
    {
        m_isStopped = true;
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        m_changed.notify_all();
    }

private:
    int post(const std::string& path, const std::string& body)
    {
        Message answer;
        Io io = call(m_control, jsonPost(path + m_id, m_control.text(), body), answer, 1);
        return io == Io::Ok ? answer.status() : 0;
    }
    void beat()
    {
        while (!m_isStopped) {
            if (!isSilent)
                sendReport(makeReport("ready"));
            for (int i = 0; i < 17 && !m_isStopped; ++i)
                sleepFor(0.05);
        }
    }
    void accept()
    {
        while (!m_isStopped) {
            int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            int one = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }
    void serve(int fd)
    {
        Connection connection(fd);
        Message request;
        while (!m_isStopped && connection.read(request, now() + 10, false) == Io::Ok) {
            if (!answer(connection, request))
                return;
        }
    }
    bool answer(Connection& connection, const Message& request)
    {
        Run run { .requestId = request.header("X-Request-Id"),
            .start = request.method() + " " + request.target(),
            .bodyBytes = request.body.size(),
            .arrivedAt = now() };
        std::string expected = request.header("X-Expect-Instance");
        if (!expected.empty() && expected != m_id)
            return respond(connection, run, "421 Misdirected Request", "X-Not-Executed: 1\r\n", "");
        std::string deadline = request.header("X-Deadline-Ms");
        double until = run.arrivedAt + (deadline.empty() ? 600 : std::atof(deadline.c_str()) / 1000);
        std::unique_lock lock(m_mutex);
        if (m_running >= m_options.slots && m_waiting >= m_options.queue) {
            lock.unlock();
            return respond(connection, run, "503 Service Unavailable", "X-Not-Executed: 1\r\n", "");
        }
        ++m_waiting;
        while (m_running >= m_options.slots && now() < until && !m_isStopped)
            m_changed.wait_for(lock, std::chrono::milliseconds(20));
        --m_waiting;
        if (m_isStopped)
            return false;
        if (now() >= until) {
            lock.unlock();
            return respond(connection, run, "503 Service Unavailable", "X-Not-Executed: 1\r\n", "");
        }
        ++m_running;
        run.beganAt = now();
        lock.unlock();
        double end = run.beganAt + m_options.work();
        while (now() < end && now() < until && !connection.isGone() && !m_isStopped)
            sleepFor(std::min({ 0.02, end - now(), until - now() }));
        run.endedAt = now();
        run.isComplete = now() >= end;
        lock.lock();
        --m_running;
        m_runs.push_back(run);
        lock.unlock();
        m_changed.notify_all();
        if (m_isStopped)
            return false;
        std::string seal = "X-Response-Seal: " + m_id + "." + run.requestId + "\r\n";
        if (!run.isComplete)
            return respond(connection, run, "504 Gateway Timeout", seal, "");
        return respond(connection, run, "200 OK", seal, std::string(m_options.answerBytes, 'a'));
    }
    bool respond(Connection& connection, const Run& run, const char* status, const std::string& more,
        const std::string& body) const
    {
        std::string head = std::string("HTTP/1.1 ") + status + "\r\nX-Request-Id: " + run.requestId + "\r\n" + more
            + "X-Service: " + m_service + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        return connection.send(head + body, now() + 10) == Io::Ok;
    }

    Address m_address;
    Address m_control;
    std::string m_service;
    std::string m_zone;
    std::string m_id;
    Options m_options;
    std::string m_born;
    std::atomic<uint64_t> m_sequence { 0 };
    int m_listener { -1 };
    std::atomic<bool> m_isStopped { false };
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    int m_running { 0 };
    int m_waiting { 0 };
    std::vector<Run> m_runs;
    std::vector<std::thread> m_threads;
};

// ---- Configuration ----

struct Route {
    /// Empty: named by its position.
    std::string name {};
    std::string host;
    std::string prefix;
    std::string service;
    bool isSafe { true };
    double timeout { 10 };
    double target { 5 };
    int priority { 1 };
    int maxAttempts { 2 };
};

inline std::string configuration(
    const std::string& version, const std::string& base, const std::vector<Route>& routes, int maxHeaderBytes = 16384)
{
    std::ostringstream out;
    std::set<std::string> services;
    out << "{\"version\":\"" << version << "\",\"base_version\":" << (base.empty() ? "0" : "\"" + base + "\"")
        << ",\"routes\":[";
    for (size_t i = 0; i < routes.size(); ++i) {
        const Route& route = routes[i];
        services.insert(route.service);
        std::string routeName = route.name.empty() ? "route-" + std::to_string(i) : route.name;
        out << (i ? "," : "") << "{\"name\":\"" << routeName << "\",\"host\":\"" << route.host
            << "\",\"path_prefix\":\"" << route.prefix << "\",\"kind\":\"" << (route.isSafe ? "safe" : "unsafe")
            << "\",\"timeout_s\":" << route.timeout << ",\"target_latency_s\":" << route.target
            << ",\"priority\":" << route.priority << ",\"service\":\"" << route.service
            << "\",\"max_attempts\":" << route.maxAttempts << "}";
    }
    out << "],\"services\":[";
    bool isFirst = true;
    for (const std::string& service : services) {
        out << (isFirst ? "" : ",") << "{\"name\":\"" << service
            << "\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}";
        isFirst = false;
    }
    out << "],\"limits\":{\"max_header_bytes\":" << maxHeaderBytes
        << ",\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}";
    return out.str();
}

/// The small deployment of a case: five machines of the core, and machines of two services with their backends.
struct Deployment {
    Platform platform;
    std::vector<Machine*> sides;
    std::vector<std::unique_ptr<Backend>> backends;
    std::vector<Route> routes { { .host = "orders.example",
                                    .prefix = "/parcels/",
                                    .service = "orders",
                                    .isSafe = false,
                                    .timeout = 30,
                                    .target = 15 },
        { .host = "catalogue.example", .prefix = "/titles/", .service = "catalogue" } };

    explicit Deployment(const std::string& caseName)
        : platform(caseName)
    {
    }

    /// Adds the machines of the core, and one for each of the services.
    void add(const std::vector<std::string>& services)
    {
        const char* zones[] = { "zone-a", "zone-b", "zone-c" };
        for (size_t i = 0; i < 5; ++i)
            platform.add("core-" + std::to_string(i + 1), zones[i % 3], true);
        for (size_t i = 0; i < services.size(); ++i)
            sides.push_back(&platform.add("side-" + std::to_string(i + 1), zones[i % 3], false, services[i]));
    }
    /// The first `orders` sides belong to that service, the others to the catalogue.
    void add(size_t count, size_t orders)
    {
        std::vector<std::string> services(count, "catalogue");
        std::fill_n(services.begin(), orders, "orders");
        add(services);
    }
    Address entry(size_t side) const { return { sides[side]->ip, platform.ports.outbound }; }
    /// Starts processes and backends and sends the first configuration. False if that fails.
    bool start(const std::function<Backend::Options(size_t)>& optionsOf)
    {
        for (Machine& machine : platform.machines)
            platform.start(machine);
        for (size_t i = 0; i < sides.size(); ++i)
            backends.push_back(std::make_unique<Backend>(platform, *sides[i], optionsOf(i)));
        Message answer;
        bool isAccepted
            = platform.operate("POST", "/v1/Config.Put", configuration("r1", "", routes), answer, 20) == 200;
        bool isReady = isAccepted && platform.waitUntilReady(20);
        Record::line("%s", isReady ? "the deployment is ready" : "the deployment did not start");
        sleepFor(2);
        return isReady;
    }
    /// Ends all processes and this one.
    [[noreturn]] void finish(int result)
    {
        Record::line("result %d", result);
        for (Machine& machine : platform.machines)
            platform.kill(machine, SIGKILL);
        platform.removeFolder();
        std::fflush(nullptr);
        std::_Exit(result);
    }
};

} // namespace review
