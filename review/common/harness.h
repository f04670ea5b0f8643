#pragma once

// Harness of the review scripts: starts the project's programs on loopback with the commands and templates of the
// deploy file, and stands in for the platform, the backends, the consumers and the operator as the users' pages
// describe them. Blocking sockets and one thread per connection keep it small.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
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

namespace fs = std::filesystem;

// Bounds of the users' small sites (wlprc-lane), as their settings state them.
constexpr double heartbeatSeconds = 1.5;
constexpr double drainSeconds = 2;
constexpr double contactSeconds = 3;
constexpr double configApplySeconds = 2;
constexpr double graceSeconds = 6;
constexpr int retrySlack = 62;

/// Seconds since the start of the script.
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

inline void sleepUntil(double when)
{
    sleepFor(when - now());
}

/// False if the environment says TROUBLE=0: the script then leaves its disruption out.
inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

/// record.txt of the case: one line for each event.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(std::fopen(path.c_str(), "w"))
    {
    }
    ~Record() { std::fclose(m_file); }

    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%9.3f  ", now());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::FILE* m_file;
    std::mutex m_mutex;
};

// ---- Sockets ----

inline sockaddr_in address(const std::string& ip, int port)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
    return result;
}

inline bool canBind(const std::string& ip, int port, int type)
{
    int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in target = address(ip, port);
    bool isFree = ::bind(fd, reinterpret_cast<sockaddr*>(&target), sizeof target) == 0;
    ::close(fd);
    return isFree;
}

inline int listenOn(const std::string& ip, int port)
{
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in target = address(ip, port);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&target), sizeof target) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

/// Returns -1 if there is no connection within the time.
inline int connectTo(const std::string& ip, int port, double seconds)
{
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in target = address(ip, port);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&target), sizeof target) != 0) {
        pollfd waiting { fd, POLLOUT, 0 };
        int error = errno;
        socklen_t size = sizeof error;
        bool isPending = error == EINPROGRESS && ::poll(&waiting, 1, static_cast<int>(seconds * 1000)) == 1;
        if (!isPending || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            ::close(fd);
            return -1;
        }
    }
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool writeAll(int fd, const std::string& bytes, double until)
{
    size_t done = 0;
    while (done < bytes.size()) {
        ssize_t sent = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent > 0) {
            done += static_cast<size_t>(sent);
            continue;
        }
        if (errno != EAGAIN && errno != EINTR)
            return false;
        pollfd waiting { fd, POLLOUT, 0 };
        double left = until - now();
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left * 1000) + 1) < 0)
            return false;
    }
    return true;
}

/// Appends to `bytes`. Returns 1 for data, 0 at the end of the stream, -1 after a reset, -2 if the time is over.
inline int readSome(int fd, std::string& bytes, double until)
{
    char chunk[16384];
    for (;;) {
        ssize_t got = ::recv(fd, chunk, sizeof chunk, MSG_DONTWAIT);
        if (got > 0) {
            bytes.append(chunk, static_cast<size_t>(got));
            return 1;
        }
        if (got == 0)
            return 0;
        if (errno != EAGAIN && errno != EINTR)
            return -1;
        double left = until - now();
        if (left <= 0)
            return -2;
        pollfd waiting { fd, POLLIN, 0 };
        ::poll(&waiting, 1, std::max(1, static_cast<int>(left * 1000)));
    }
}

// ---- HTTP ----

using Headers = std::map<std::string, std::string>;

struct Message {
    std::string startLine;
    Headers headers; // names in lower case
    std::string body;

    std::string header(const std::string& name) const
    {
        auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
};

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

enum class ReadResult { Whole, Closed, Reset, Late };

/// Reads one message with a length. `buffer` keeps what follows it.
inline ReadResult readMessage(int fd, std::string& buffer, Message& message, double until)
{
    auto more = [&]() -> std::optional<ReadResult> {
        int result = readSome(fd, buffer, until);
        if (result == 1)
            return std::nullopt;
        return result == 0 ? ReadResult::Closed : result == -1 ? ReadResult::Reset : ReadResult::Late;
    };
    size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (auto failed = more())
            return *failed;
    }
    message = {};
    std::istringstream head(buffer.substr(0, end));
    std::string line;
    std::getline(head, line);
    message.startLine = line.substr(0, line.find('\r'));
    while (std::getline(head, line)) {
        line = line.substr(0, line.find('\r'));
        size_t colon = line.find(':');
        if (colon != std::string::npos)
            message.headers[lower(line.substr(0, colon))] = line.substr(line.find_first_not_of(' ', colon + 1));
    }
    size_t length = static_cast<size_t>(std::atoll(message.header("content-length").c_str()));
    while (buffer.size() < end + 4 + length) {
        if (auto failed = more())
            return *failed;
    }
    message.body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return ReadResult::Whole;
}

struct Answer {
    int status { 0 }; // 0: no answer
    Headers headers;
    std::string body;
    std::string failure; // "connect", "closed", "reset" or "late"

    std::string header(const std::string& name) const
    {
        auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
};

inline Answer request(const std::string& ip, int port, const std::string& text, double seconds)
{
    Answer answer;
    double until = now() + seconds;
    int fd = connectTo(ip, port, std::min(seconds, 1.0));
    if (fd < 0) {
        answer.failure = "connect";
        return answer;
    }
    std::string buffer;
    Message message;
    ReadResult result = ReadResult::Reset;
    if (writeAll(fd, text, until))
        result = readMessage(fd, buffer, message, until);
    ::close(fd);
    if (result == ReadResult::Whole) {
        answer.status = std::atoi(message.startLine.substr(9, 3).c_str());
        answer.headers = std::move(message.headers);
        answer.body = std::move(message.body);
    } else {
        answer.failure = result == ReadResult::Closed ? "closed" : result == ReadResult::Reset ? "reset" : "late";
    }
    return answer;
}

inline std::string postText(const std::string& path, const std::string& body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
}

inline std::string getText(const std::string& path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\r\n";
}

// ---- The platform: machines, settings and processes ----

struct Host {
    std::string name;
    std::string ip;
    std::string zone;
    std::string service; // empty on a core machine
    bool isCore() const { return service.empty(); }
    pid_t pid { 0 };
    bool bootstrap { true };
};

class Mesh {
public:
    explicit Mesh(Record& record)
        : m_record(record)
        , m_folder(fs::temp_directory_path() / ("dragonflylane-review." + std::to_string(getpid())))
    {
        fs::create_directories(m_folder);
        choosePorts();
    }

    ~Mesh()
    {
        for (Host& host : m_hosts)
            end(host);
        if (!std::getenv("KEEP"))
            fs::remove_all(m_folder);
    }

    Host& add(const std::string& name, const std::string& zone, const std::string& service = {})
    {
        std::string ip = m_net + std::to_string(m_hosts.size() + 1);
        m_hosts.push_back({ .name = name, .ip = ip, .zone = zone, .service = service });
        return m_hosts.back();
    }

    /// Five core machines in three zones, as on the users' small sites.
    void addCore()
    {
        const char* zones[] = { "kandy-a", "kandy-b", "peradeniya", "kandy-a", "kandy-b" };
        for (int i = 0; i < 5; ++i)
            add("core-" + std::to_string(i + 1), zones[i]);
    }

    bool startAll()
    {
        for (Host& host : m_hosts) {
            if (!start(host))
                return false;
        }
        return true;
    }

    bool start(Host& host)
    {
        std::string role = host.isCore() ? "control" : "edge";
        auto [command, form] = readRole(role);
        std::string settings = (m_folder / (host.name + ".ini")).string();
        std::ofstream(settings) << fill(form, fieldsOf(host));
        fs::create_directories(m_folder / host.name);
        std::vector<std::string> words;
        std::istringstream stream(command);
        for (std::string word; stream >> word;)
            words.push_back(word == "/etc/dragonflylane/node.toml" ? settings : word);
        host.pid = ::fork();
        if (host.pid == 0)
            run(words, settings, (m_folder / (host.name + ".log")).string());
        host.bootstrap = false;
        m_record.line("platform: start %s (%s) as pid %d", host.name.c_str(), host.ip.c_str(), host.pid);
        return host.pid > 0;
    }

    void signal(Host& host, int number, const char* what)
    {
        m_record.line("platform: %s %s", what, host.name.c_str());
        ::kill(host.pid, number);
        if (number == SIGKILL) {
            ::waitpid(host.pid, nullptr, 0);
            host.pid = 0;
        }
    }

    /// True if the process has ended; `status` is then its wait status.
    bool hasEnded(Host& host, int& status)
    {
        if (host.pid == 0 || ::waitpid(host.pid, &status, WNOHANG) != host.pid)
            return false;
        host.pid = 0;
        return true;
    }

    bool isReady(const Host& host) const
    {
        return request(host.ip, readyPort, getText("/v1/ready"), 1).status == 200;
    }

    /// Waits until all machines with a backend answer 200 to the question of the platform.
    bool waitReady(double seconds) const
    {
        for (double until = now() + seconds; now() < until; sleepFor(0.2)) {
            bool areReady = std::all_of(
                m_hosts.begin(), m_hosts.end(), [&](const Host& host) { return host.isCore() || isReady(host); });
            if (areReady)
                return true;
        }
        return false;
    }

    std::deque<Host>& hosts() { return m_hosts; }
    Host& host(const std::string& name)
    {
        return *std::find_if(m_hosts.begin(), m_hosts.end(), [&](const Host& host) { return host.name == name; });
    }
    std::string logOf(const Host& host) const { return (m_folder / (host.name + ".log")).string(); }

    int appPort { 0 }, outboundPort { 0 }, readyPort { 0 }, controlPort { 0 }, inboundPort { 0 }, peerPort { 0 };

private:
    static constexpr int metricsPort = 9464; // written in the templates

    // All machines have the same ports on addresses of their own, as on the platform.
    void choosePorts()
    {
        std::mt19937 random(std::random_device {}());
        for (;;) {
            m_net = "127." + std::to_string(10 + random() % 200) + "." + std::to_string(random() % 250) + ".";
            int base = 20000 + static_cast<int>(random() % 9000);
            inboundPort = base;
            appPort = base + 1;
            readyPort = base + 2;
            outboundPort = base + 4;
            controlPort = base + 6;
            peerPort = base + 10;
            bool areFree = true;
            for (int i = 1; i <= 24 && areFree; ++i) {
                std::string ip = m_net + std::to_string(i);
                for (int port : { inboundPort, appPort, readyPort, outboundPort, controlPort, peerPort, metricsPort })
                    areFree = areFree && canBind(ip, port, SOCK_STREAM) && canBind(ip, port, SOCK_DGRAM);
            }
            if (areFree)
                return;
        }
    }

    static std::string readFile(const std::string& path)
    {
        std::ifstream file(path);
        return { std::istreambuf_iterator<char>(file), {} };
    }

    /// The command and the template of a role in the deploy file.
    static std::pair<std::string, std::string> readRole(const std::string& role)
    {
        std::istringstream deploy(readFile("deploy/system.toml"));
        std::string line, command, form;
        for (bool isRole = false; std::getline(deploy, line);) {
            if (line.starts_with("["))
                isRole = line == "[roles." + role + "]";
            auto value = [&](const char* key) {
                if (!isRole || !line.starts_with(std::string(key) + " = "))
                    return std::string();
                size_t first = line.find('"');
                return line.substr(first + 1, line.rfind('"') - first - 1);
            };
            if (auto text = value("run"); !text.empty())
                command = text;
            if (auto text = value("template"); !text.empty())
                form = readFile(text);
        }
        return { command, form };
    }

    std::map<std::string, std::string> fieldsOf(const Host& host) const
    {
        std::string seeds;
        int count = 0;
        for (const Host& other : m_hosts) {
            if (other.isCore() && count++ < 3)
                seeds += (seeds.empty() ? "" : ",") + other.ip + ":" + std::to_string(controlPort);
        }
        auto at = [&](int port) { return host.ip + ":" + std::to_string(port); };
        return { { "seed_nodes", seeds }, { "port_range.0", std::to_string(peerPort) }, { "node_name", host.name },
            { "zone", host.zone }, { "region", "lk-central" }, { "limits.link_mbps", host.isCore() ? "170" : "1000" },
            { "ip", host.ip }, { "listen.control", at(controlPort) }, { "listen.outbound", at(outboundPort) },
            { "listen.inbound", at(inboundPort) }, { "listen.ready", at(readyPort) }, { "app_addr", at(appPort) },
            { "service", host.service }, { "bootstrap", host.bootstrap ? "true" : "false" },
            { "fault_tolerance.machines", "2" }, { "data_dir", (m_folder / host.name).string() },
            { "bounds.grace_s", std::to_string(static_cast<int>(graceSeconds)) }, { "bounds.retry_budget_ratio", "0.2" },
            { "bounds.retry_window_s", "10" }, { "bounds.retry_slack", std::to_string(retrySlack) } };
    }

    static std::string fill(std::string form, const std::map<std::string, std::string>& fields)
    {
        for (const auto& [name, value] : fields) {
            std::string mark = "{{" + name + "}}";
            for (size_t at = form.find(mark); at != std::string::npos; at = form.find(mark, at + value.size()))
                form.replace(at, mark.size(), value);
        }
        return form;
    }

    [[noreturn]] static void run(
        const std::vector<std::string>& words, const std::string& settings, const std::string& log)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::setenv("DRAGONFLYLANE_BOOT", settings.c_str(), 1);
        int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, 1);
        ::dup2(out, 2);
        std::vector<char*> arguments;
        for (const std::string& word : words)
            arguments.push_back(const_cast<char*>(word.c_str()));
        arguments.push_back(nullptr);
        ::execv(arguments[0], arguments.data());
        ::_exit(127);
    }

    static void end(Host& host)
    {
        if (host.pid <= 0)
            return;
        ::kill(host.pid, SIGCONT);
        ::kill(host.pid, SIGKILL);
        ::waitpid(host.pid, nullptr, 0);
        host.pid = 0;
    }

    Record& m_record;
    fs::path m_folder;
    std::string m_net;
    std::deque<Host> m_hosts;
};

// ---- The operator ----

class Operator {
public:
    Operator(Mesh& mesh, Record& record)
        : m_mesh(mesh)
        , m_record(record)
    {
    }

    /// Sends one order to one machine and follows up to two redirects.
    Answer send(const std::string& ip, const std::string& text, const std::string& path, const std::string& body)
    {
        Answer answer = request(ip, m_mesh.controlPort, text, 1);
        for (int i = 0; i < 2 && answer.status == 307; ++i) {
            std::string location = answer.header("location");
            std::string host = location.substr(7, location.find(':', 7) - 7);
            answer = request(host, m_mesh.controlPort, body.empty() ? getText(path) : postText(path, body), 1);
        }
        return answer;
    }

    /// Sends the same order to one core machine after the other until there is a clear answer. Returns its status.
    int put(const std::string& body, double seconds)
    {
        for (double until = now() + seconds; now() < until; sleepFor(0.2)) {
            for (Host& host : m_mesh.hosts()) {
                if (!host.isCore() || now() >= until)
                    continue;
                Answer answer = send(host.ip, postText(putPath, body), putPath, body);
                m_record.line("operator: Config.Put at %s -> %d %s", host.name.c_str(), answer.status,
                    answer.failure.c_str());
                if (answer.status == 200 || answer.status == 400 || answer.status == 412)
                    return answer.status;
            }
        }
        return 0;
    }

    Answer get(const Host& host) { return send(host.ip, getText(getPath), getPath, {}); }

    static constexpr const char* putPath = "/v1/Config.Put";
    static constexpr const char* getPath = "/v1/Config.Get";

private:
    Mesh& m_mesh;
    Record& m_record;
};

// ---- Backends ----

struct BackendOptions {
    std::string id;
    int slots { 12 };
    double workSeconds { 0.4 };
    /// Requests whose path begins so are answered with a body of `largeBytes`.
    std::string largePath {};
    size_t largeBytes { 0 };
};

/// One request that reached a backend.
struct Arrival {
    std::string id;
    std::string path;
    std::string caller;
    std::string deadline;
    double at { 0 };
    bool hasRun { false };
    bool isDone { false };
};

/// A sound backend: runs `slots` requests at a time, queues 48 more, answers X-Not-Executed beyond, drops a request
/// whose connection closes, and reports to its own machine's daemon.
class Backend {
public:
    Backend(const Mesh& mesh, const Host& host, BackendOptions options, Record& record)
        : m_mesh(mesh)
        , m_host(host)
        , m_options(std::move(options))
        , m_record(record)
        , m_work(m_options.workSeconds)
        , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
                     .count())
    {
    }

    ~Backend() { exit(); }

    bool start()
    {
        m_listener = listenOn(m_host.ip, m_mesh.appPort);
        if (m_listener < 0)
            return false;
        m_threads.emplace_back([this] { accept(); });
        m_threads.emplace_back([this] { beat(); });
        m_record.line("backend %s: starts at %s:%d", m_options.id.c_str(), m_host.ip.c_str(), m_mesh.appPort);
        return true;
    }

    void setWork(double seconds)
    {
        m_work = seconds;
        m_record.line("backend %s: a request now takes %.2f s", m_options.id.c_str(), seconds);
    }

    /// Reports `draining` at once and goes on with that. Returns the time of the ack, or 0 if there is none.
    double drain()
    {
        m_isDraining = true;
        double began = now();
        bool isAcknowledged = report("draining");
        m_record.line("backend %s: reports draining at %.3f, %s", m_options.id.c_str(), began,
            isAcknowledged ? "acknowledged" : "no ack");
        return isAcknowledged ? now() : 0;
    }

    bool deregister()
    {
        std::string body = "{\"born\":" + std::to_string(m_born) + "}";
        Answer answer = request(m_host.ip, m_mesh.controlPort,
            postText("/v1/Instances.Deregister/" + m_options.id, body), 1);
        m_record.line("backend %s: Deregister -> %d", m_options.id.c_str(), answer.status);
        return answer.status / 100 == 2;
    }

    /// Closes all connections, also those with a request at work.
    void exit()
    {
        if (m_hasExited.exchange(true))
            return;
        m_changed.notify_all();
        ::shutdown(m_listener, SHUT_RDWR);
        {
            std::lock_guard lock(m_mutex);
            for (int fd : m_connections)
                ::shutdown(fd, SHUT_RDWR);
        }
        for (std::thread& thread : m_threads)
            thread.join();
        while (m_open > 0)
            sleepFor(0.01);
        ::close(m_listener);
        m_record.line("backend %s: exits", m_options.id.c_str());
    }

    std::vector<Arrival> arrivals() const
    {
        std::lock_guard lock(m_mutex);
        return { m_arrivals.begin(), m_arrivals.end() };
    }

    bool report(const std::string& state, uint64_t sequence = 0)
    {
        if (sequence == 0)
            sequence = ++m_sequence;
        std::string body = "{\"address\":\"" + m_host.ip + ":" + std::to_string(m_mesh.appPort)
            + "\",\"born\":" + std::to_string(m_born) + ",\"info\":{\"service\":\"" + m_host.service
            + "\",\"version\":\"v1\",\"zone\":\"" + m_host.zone + "\",\"slots\":" + std::to_string(m_options.slots)
            + "},\"status\":{\"state\":\"" + state + "\",\"seq\":" + std::to_string(sequence) + ",\"cold_left_s\":0}}";
        Answer answer = request(m_host.ip, m_mesh.controlPort,
            postText("/v1/Instances.Heartbeat/" + m_options.id, body), 1);
        return answer.status / 100 == 2;
    }

    uint64_t lastSequence() const { return m_sequence; }
    /// Stops the regular reports without ending the process.
    void stopReports() { m_isSilent = true; }

private:
    static constexpr int queueLength = 48;

    void beat()
    {
        double next = now();
        while (!m_hasExited) {
            if (!m_isSilent)
                report(m_isDraining ? "draining" : "ready");
            next += heartbeatSeconds;
            while (!m_hasExited && now() < next)
                sleepFor(0.02);
        }
    }

    void accept()
    {
        for (;;) {
            int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            ++m_open;
            std::thread([this, fd] {
                {
                    std::lock_guard lock(m_mutex);
                    m_connections.push_back(fd);
                }
                serve(fd);
                {
                    std::lock_guard lock(m_mutex);
                    std::erase(m_connections, fd);
                }
                ::close(fd);
                --m_open;
            }).detach();
        }
    }

    void serve(int fd)
    {
        std::string buffer;
        Message message;
        while (!m_hasExited && readMessage(fd, buffer, message, now() + 10) == ReadResult::Whole) {
            if (!answer(fd, message))
                return;
        }
    }

    bool answer(int fd, const Message& message)
    {
        std::istringstream words(message.startLine);
        std::string method, target;
        words >> method >> target;
        std::string id = message.header("x-request-id");
        auto reply = [&](int status, const std::string& extra, const std::string& body) {
            std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Request-Id: " + id + "\r\n" + extra
                + "X-Server-Load: " + std::to_string(m_running) + "," + std::to_string(m_waiting) + ","
                + std::to_string(m_options.slots) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                + body;
            return writeAll(fd, text, now() + 2);
        };
        std::string expected = message.header("x-expect-instance");
        if (!expected.empty() && expected != m_options.id) {
            m_record.line("backend %s: 421 to %s", m_options.id.c_str(), id.c_str());
            return reply(421, "X-Not-Executed: 1\r\n", "");
        }
        Arrival* arrival = nullptr;
        {
            std::unique_lock lock(m_mutex);
            m_arrivals.push_back({ .id = id, .path = target, .caller = message.header("x-caller-service"),
                .deadline = message.header("x-deadline-ms"), .at = now() });
            arrival = &m_arrivals.back();
            m_record.line("backend %s: %s %s %s arrives", m_options.id.c_str(), method.c_str(), target.c_str(), id.c_str());
            if (m_running >= m_options.slots && m_waiting >= queueLength) {
                lock.unlock();
                return reply(503, "X-Not-Executed: 1\r\n", "");
            }
            ++m_waiting;
            m_changed.wait(lock, [&] { return m_running < m_options.slots || m_hasExited; });
            --m_waiting;
            if (m_hasExited)
                return false;
            ++m_running;
            arrival->hasRun = true;
        }
        m_record.line("backend %s: runs %s", m_options.id.c_str(), id.c_str());
        bool isComplete = work(fd);
        {
            std::lock_guard lock(m_mutex);
            --m_running;
            arrival->isDone = isComplete;
        }
        m_changed.notify_all();
        m_record.line("backend %s: %s %s", m_options.id.c_str(), isComplete ? "ends" : "breaks off", id.c_str());
        bool isLarge = !m_options.largePath.empty() && target.starts_with(m_options.largePath);
        std::string body = isLarge ? std::string(m_options.largeBytes, 'x') : "body of " + id;
        return isComplete && reply(200, "X-Response-Seal: " + m_options.id + "." + id + "\r\n", body);
    }

    // Returns false if the connection closes or the process exits meanwhile.
    bool work(int fd) const
    {
        double until = now() + m_work;
        while (now() < until) {
            if (m_hasExited)
                return false;
            pollfd watched { fd, POLLRDHUP, 0 };
            int wait = std::max(1, std::min(10, static_cast<int>((until - now()) * 1000)));
            if (::poll(&watched, 1, wait) > 0 && (watched.revents & (POLLRDHUP | POLLHUP | POLLERR)))
                return false;
        }
        return true;
    }

    const Mesh& m_mesh;
    const Host& m_host;
    const BackendOptions m_options;
    Record& m_record;
    std::atomic<double> m_work;
    const long long m_born;
    std::atomic<uint64_t> m_sequence { 0 };
    std::atomic<bool> m_isDraining { false };
    std::atomic<bool> m_isSilent { false };
    std::atomic<bool> m_hasExited { false };
    std::atomic<int> m_open { 0 };
    int m_listener { -1 };
    std::vector<std::thread> m_threads;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<int> m_connections;
    int m_running { 0 };
    int m_waiting { 0 };
    std::deque<Arrival> m_arrivals;
};

// ---- Consumers ----

struct Sent {
    std::string id;
    std::string host;
    double at { 0 };
    Answer answer;
    double endedAt { 0 };
};

/// Consumers of one machine: each request on a connection of its own, in a thread of its own.
class Consumers {
public:
    Consumers(const Mesh& mesh, Record& record)
        : m_mesh(mesh)
        , m_record(record)
    {
    }
    ~Consumers() { wait(); }

    void send(const Host& host, const std::string& method, const std::string& name, const std::string& target,
        int deadlineMs, const std::string& body = {})
    {
        std::string id = nextId();
        std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + name + "\r\nX-Request-Id: " + id
            + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n"
            + (body.empty() && method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n")
            + "\r\n" + body;
        ++m_open;
        std::thread([this, &host, id, text, deadlineMs, target, method] {
            Sent sent;
            sent.id = id;
            sent.host = host.name;
            sent.at = now();
            m_record.line("consumer at %s: sends %s %s %s", host.name.c_str(), method.c_str(), target.c_str(), id.c_str());
            sent.answer = request(host.ip, m_mesh.outboundPort, text, deadlineMs / 1000.0);
            sent.endedAt = now();
            m_record.line("consumer at %s: %s gets %d %s after %.3f s%s%s", host.name.c_str(), id.c_str(),
                sent.answer.status, sent.answer.failure.c_str(), sent.endedAt - sent.at,
                sent.answer.header("x-response-seal").empty() ? "" : ", seal ",
                sent.answer.header("x-response-seal").c_str());
            {
                std::lock_guard lock(m_mutex);
                m_sent.push_back(std::move(sent));
            }
            --m_open;
        }).detach();
    }

    void wait() const
    {
        while (m_open > 0)
            sleepFor(0.01);
    }

    std::vector<Sent> sent() const
    {
        std::lock_guard lock(m_mutex);
        return m_sent;
    }

    size_t served() const
    {
        std::lock_guard lock(m_mutex);
        return static_cast<size_t>(std::count_if(
            m_sent.begin(), m_sent.end(), [](const Sent& sent) { return sent.answer.status == 200; }));
    }

private:
    std::string nextId()
    {
        char text[24];
        std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(m_random()), static_cast<unsigned>(++m_count));
        return text;
    }

    const Mesh& m_mesh;
    Record& m_record;
    std::mt19937 m_random { std::random_device {}() };
    std::atomic<unsigned> m_count { 0 };
    std::atomic<int> m_open { 0 };
    mutable std::mutex m_mutex;
    std::vector<Sent> m_sent;
};

// ---- Configuration documents ----

struct RouteText {
    std::string name, host, prefix, kind, service;
    double timeout { 5 }, target { 1.2 };
    int priority { 2 }, attempts { 2 };
};

inline std::string document(
    int version, int base, const std::vector<RouteText>& routes, const std::vector<std::string>& services)
{
    std::ostringstream text;
    text << "{\"version\":\"r" << version << "\",\"routes\":[";
    for (size_t i = 0; i < routes.size(); ++i) {
        const RouteText& r = routes[i];
        text << (i ? "," : "") << "{\"name\":\"" << r.name << "\",\"host\":\"" << r.host << "\",\"path_prefix\":\""
             << r.prefix << "\",\"kind\":\"" << r.kind << "\",\"timeout_s\":" << r.timeout
             << ",\"target_latency_s\":" << r.target << ",\"priority\":" << r.priority << ",\"service\":\"" << r.service
             << "\",\"max_attempts\":" << r.attempts << "}";
    }
    text << "],\"services\":[";
    for (size_t i = 0; i < services.size(); ++i)
        text << (i ? "," : "") << "{\"name\":\"" << services[i]
             << "\",\"health_path\":\"/health\",\"max_conns\":130,\"protocol\":\"h1\",\"tls\":false}";
    text << "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,"
            "\"idle_timeout_s\":15},\"base_version\":";
    if (base == 0)
        text << "0}";
    else
        text << "\"r" << base << "\"}";
    return text.str();
}

constexpr int ruleBroken = 1;
constexpr int ruleHeld = 0;
constexpr int couldNotRun = 2;

} // namespace review
