// LOST: a consumer that pipelines safe requests and leaves early ends the daemon's process, and with it the requests
// of all other consumers of that machine.

#include "review/common/harness.h"

using namespace review;

namespace {

constexpr const char* hostName = "circle.example";
// The consumers of a machine that wait for their answers, each with one kept connection.
constexpr int patientConsumers = 20;
// The consumers that pipeline; with trouble they leave early, as `give_up` says: 8 of 28, less than its share of 0.3.
constexpr int pipeliningConsumers = 8;
constexpr int pipelinedRequests = 10;
constexpr int deadlineMs = 5000;
// `give_up`: the clients leave within half the objective, which is 1.2 s for the loan history.
constexpr double leaveSeconds = 0.6;

std::string makeId()
{
    static std::atomic<unsigned> count { 0 };
    static const unsigned run = std::random_device {}();
    char text[24];
    std::snprintf(text, sizeof text, "%08x%08x", run, ++count);
    return text;
}

std::string getRequest(const std::string& id)
{
    return "GET /history/" + id + " HTTP/1.1\r\nHost: " + hostName + "\r\nX-Request-Id: " + id
        + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n\r\n";
}

/// A request on a kept connection that the daemon closed without an answer.
struct Unanswered {
    std::string id;
    double sentAt;
    double closedAt;
};

class Load {
public:
    Load(const Mesh& mesh, const Host& host, Record& record)
        : m_mesh(mesh)
        , m_host(host)
        , m_record(record)
    {
    }

    void start()
    {
        for (int i = 0; i < patientConsumers; ++i)
            m_threads.emplace_back([this] { sendOneByOne(); });
        for (int i = 0; i < pipeliningConsumers; ++i)
            m_threads.emplace_back([this, i] { pipeline(static_cast<unsigned>(i)); });
    }

    void stop()
    {
        m_isStopping = true;
        for (std::thread& thread : m_threads)
            thread.join();
    }

    std::vector<Unanswered> unanswered() const
    {
        std::lock_guard lock(m_mutex);
        return m_unanswered;
    }
    long answered() const { return m_answered; }
    long left() const { return m_left; }

private:
    void sendOneByOne()
    {
        while (!m_isStopping) {
            int fd = connectTo(m_host.ip, m_mesh.outboundPort, 1);
            std::string buffer;
            while (fd >= 0 && !m_isStopping) {
                std::string id = makeId();
                double sentAt = now();
                m_record.line("patient consumer: sends %s", id.c_str());
                Message answer;
                ReadResult result = ReadResult::Reset;
                if (writeAll(fd, getRequest(id), now() + 1))
                    result = readMessage(fd, buffer, answer, sentAt + deadlineMs / 1000.0);
                if (result == ReadResult::Whole) {
                    ++m_answered;
                    m_record.line("patient consumer: %s gets %s", id.c_str(), answer.startLine.c_str());
                    if (answer.header("connection") != "close")
                        continue;
                } else if (result != ReadResult::Late) {
                    m_record.line("patient consumer: %s gets no answer, the connection is closed", id.c_str());
                    std::lock_guard lock(m_mutex);
                    m_unanswered.push_back({ id, sentAt, now() });
                }
                break;
            }
            if (fd >= 0)
                ::close(fd);
            else
                sleepFor(0.1);
        }
    }

    void pipeline(unsigned seed)
    {
        std::mt19937 random(seed + 1);
        while (!m_isStopping) {
            int fd = connectTo(m_host.ip, m_mesh.outboundPort, 1);
            if (fd < 0) {
                sleepFor(0.1);
                continue;
            }
            std::string text;
            std::string first;
            for (int i = 0; i < pipelinedRequests; ++i) {
                std::string id = makeId();
                first = first.empty() ? id : first;
                text += getRequest(id);
            }
            bool leaves = hasTrouble();
            double patience = leaves ? leaveSeconds * static_cast<double>(random() % 100) / 100 : deadlineMs / 1000.0;
            m_record.line("pipelining consumer: sends %d requests from %s on", pipelinedRequests, first.c_str());
            double until = now() + patience;
            std::string buffer;
            int answers = 0;
            if (writeAll(fd, text, now() + 1)) {
                for (Message answer; answers < pipelinedRequests; ++answers) {
                    if (readMessage(fd, buffer, answer, until) != ReadResult::Whole)
                        break;
                }
            }
            if (leaves && answers < pipelinedRequests)
                ++m_left;
            m_record.line("pipelining consumer: %s after %d answers", answers < pipelinedRequests ? "leaves" : "ends", answers);
            ::close(fd);
        }
    }

    const Mesh& m_mesh;
    const Host& m_host;
    Record& m_record;
    std::atomic<bool> m_isStopping { false };
    std::atomic<long> m_answered { 0 };
    std::atomic<long> m_left { 0 };
    std::vector<std::thread> m_threads;
    mutable std::mutex m_mutex;
    std::vector<Unanswered> m_unanswered;
};

} // namespace

int main(int, char** argv)
{
    Record record(std::string(argv[1]) + "/record.txt");
    Mesh mesh(record);
    mesh.addCore();
    Host& loansA = mesh.add("sidecar-loans-1", "kandy-a", "loans");
    Host& loansB = mesh.add("sidecar-loans-2", "kandy-b", "loans");
    Host& loansC = mesh.add("sidecar-loans-3", "peradeniya", "loans");
    Host& entry = mesh.add("sidecar-orders-1", "kandy-a", "orders");
    if (!mesh.startAll())
        return couldNotRun;
    constexpr double workSeconds = 0.05;
    Backend first(mesh, loansA, { .id = "i-loans-1", .workSeconds = workSeconds }, record);
    Backend second(mesh, loansB, { .id = "i-loans-2", .workSeconds = workSeconds }, record);
    Backend third(mesh, loansC, { .id = "i-loans-3", .workSeconds = workSeconds }, record);
    if (!first.start() || !second.start() || !third.start())
        return couldNotRun;
    Operator op(mesh, record);
    std::string config = document(1, 0,
        { { .name = "loan-history", .host = hostName, .prefix = "/history/", .kind = "safe", .service = "loans",
            .timeout = 2.5, .target = 1.2 } },
        { "loans", "orders" });
    if (op.put(config, 15) != 200 || !mesh.waitReady(15))
        return couldNotRun;
    sleepFor(contactSeconds + 1);

    Load load(mesh, entry, record);
    load.start();
    double until = now() + 40;
    int status = 0;
    bool hasEnded = false;
    while (now() < until && !hasEnded) {
        sleepFor(0.05);
        hasEnded = mesh.hasEnded(entry, status);
    }
    if (hasEnded)
        record.line("platform: the process of %s ended by itself, wait status %d (signal %d)", entry.name.c_str(), status,
            WIFSIGNALED(status) ? WTERMSIG(status) : 0);
    sleepFor(0.2);
    load.stop();
    std::map<std::string, bool> reached;
    for (const Backend* backend : { &first, &second, &third }) {
        for (const Arrival& arrival : backend->arrivals())
            reached[arrival.id] = true;
    }
    int lost = 0;
    for (const Unanswered& request : load.unanswered()) {
        bool wasPassedOn = reached.contains(request.id);
        lost += wasPassedOn;
        record.line("no answer: %s, sent %.3f, closed %.3f%s", request.id.c_str(), request.sentAt, request.closedAt,
            wasPassedOn ? ", passed on to a backend" : "");
    }
    record.line("answered %ld, early leavers %ld, passed on and closed without an answer %d, process %s",
        load.answered(), load.left(), lost, hasEnded ? "ended" : "runs");
    constexpr int allowed = 3;
    return lost > allowed || hasEnded ? ruleBroken : ruleHeld;
}
