#include "bench/DemoTraffic.h"

#include "bench/PlainClient.h"
#include "bench/UpstreamStandIn.h"

#include <random>

namespace dragonflylane {

namespace {

    constexpr unsigned statusOk = 200;

    std::string upstreamOf(const std::string& body)
    {
        constexpr std::string_view label = "\nupstream=";
        size_t begin = body.find(label);
        if (begin == std::string::npos)
            return {};
        begin += label.size();
        return body.substr(begin, body.find('\n', begin) - begin);
    }

    void classify(const HttpResponse& response, DemoRecord& record)
    {
        std::string_view run = response.header("Dragonflylane-Run");
        std::string_view code = response.header("Dragonflylane-Code");
        if (response.status != statusOk) {
            record.outcome = run == "not-run" ? DemoOutcome::NotRun : DemoOutcome::Unknown;
            record.code = code.empty() ? "status " + std::to_string(response.status) : std::string(code);
            return;
        }
        ResponseFault fault = checkStandInResponse(response.body, record.target);
        record.outcome = DemoOutcome::Success;
        record.code = "ok";
        record.upstream = upstreamOf(response.body);
        record.isTruncated = fault == ResponseFault::Truncated;
        record.isMismatched = fault == ResponseFault::Mismatched;
    }

    // Generates and sends the requests of one client thread.
    class Client {
    public:
        Client(const DemoMesh& mesh, const DemoTrafficOptions& options, size_t thread)
            : m_mesh(mesh)
            , m_options(options)
            , m_name(std::to_string(thread))
            , m_random(options.seed + thread)
        {
        }

        void sendNext(std::vector<DemoRecord>& records)
        {
            constexpr uint64_t orderEvery = 3;
            if (m_random() % orderEvery == 0)
                sendOrder(records);
            else
                records.push_back(send("GET", pick(m_options.lookups) + nextNumber(), ""));
        }

    private:
        template <typename T> const T& pick(const std::vector<T>& items) { return items[m_random() % items.size()]; }

        std::string nextNumber() { return "/" + m_name + "-" + std::to_string(++m_count); }

        DemoRecord send(const std::string& method, const std::string& target, const std::string& key)
        {
            return sendDemoRequest(pick(m_mesh.daemons()), method, target, key, m_options.timeout);
        }

        // One order in five has no idempotency key and is sent once. An order with a key is retried until it succeeds,
        // at most three times. One in four of these is also sent once more after its success, as a client does that
        // lost the response.
        void sendOrder(std::vector<DemoRecord>& records)
        {
            constexpr uint64_t unkeyedEvery = 5;
            constexpr uint64_t repeatedEvery = 4;
            constexpr int maxRetries = 3;
            std::string target = pick(m_options.orders) + nextNumber();
            if (m_random() % unkeyedEvery == 0)
                return records.push_back(send("POST", target, ""));
            bool isRepeated = m_random() % repeatedEvery == 0;
            for (int i = 0; i <= maxRetries; ++i) {
                records.push_back(send("POST", target, "key" + target));
                bool isSuccess = records.back().outcome == DemoOutcome::Success;
                if (isSuccess && !isRepeated)
                    return;
                isRepeated = isRepeated && !isSuccess;
            }
        }

        const DemoMesh& m_mesh;
        const DemoTrafficOptions& m_options;
        const std::string m_name;
        std::mt19937_64 m_random;
        uint64_t m_count { 0 };
    };

} // namespace

DemoRecord sendDemoRequest(const DemoDaemon& daemon, const std::string& method, const std::string& target,
    const std::string& key, Duration timeout)
{
    DemoRecord record {
        .sent = BootClock::now(), .daemon = daemon.name, .target = target, .isOrder = method == "POST"
    };
    HttpRequest request { .method = method, .target = target };
    if (!key.empty())
        request.headers.push_back({ "Idempotency-Key", key });
    HttpResponse response;
    ExchangeResult end = sendPlainRequest(daemon.settings.callers, request, timeout, response);
    record.respondedAt = BootClock::now();
    record.outcome = end == ExchangeResult::NotConnected ? DemoOutcome::NotConnected : DemoOutcome::Unknown;
    if (end == ExchangeResult::Completed)
        classify(response, record);
    else if (end == ExchangeResult::NotConnected)
        record.code = "not connected";
    else
        record.code = end == ExchangeResult::Closed ? "closed" : "timed out";
    return record;
}

DemoTraffic::DemoTraffic(const DemoMesh& mesh, DemoTrafficOptions options)
    : m_mesh(mesh)
    , m_options(std::move(options))
    , m_perThread(m_options.threads)
{
}

DemoTraffic::~DemoTraffic()
{
    stop();
}

void DemoTraffic::start()
{
    for (size_t i = 0; i < m_options.threads; ++i)
        m_threads.emplace_back([this, i] { run(i, m_perThread[i]); });
}

void DemoTraffic::stop()
{
    m_isStopping = true;
    for (std::thread& thread : m_threads)
        thread.join();
    m_threads.clear();
    for (Records& records : m_perThread) {
        m_records.insert(m_records.end(), records.begin(), records.end());
        records.clear();
    }
}

void DemoTraffic::run(size_t thread, Records& records)
{
    Client client(m_mesh, m_options, thread);
    while (!m_isStopping) {
        client.sendNext(records);
        std::this_thread::sleep_for(m_options.pause);
    }
}

DemoOrderCounts compareWithLedgers(
    const std::vector<DemoRecord>& records, const std::map<std::string, size_t>& executions)
{
    struct Order {
        bool hasSuccess { false };
        bool hasUnknown { false };
    };
    std::map<std::string, Order> orders;
    for (const DemoRecord& record : records) {
        if (!record.isOrder)
            continue;
        Order& order = orders[record.target];
        order.hasSuccess = order.hasSuccess || record.outcome == DemoOutcome::Success;
        order.hasUnknown = order.hasUnknown || record.outcome == DemoOutcome::Unknown;
    }
    DemoOrderCounts counts { .orders = orders.size() };
    for (const auto& [target, order] : orders) {
        auto it = executions.find(target);
        size_t runs = it == executions.end() ? 0 : it->second;
        counts.duplicated += runs > 1 ? 1 : 0;
        counts.lost += order.hasSuccess && runs == 0 ? 1 : 0;
        counts.executedButReportedNotRun += !order.hasSuccess && !order.hasUnknown && runs > 0 ? 1 : 0;
        counts.unknown += !order.hasSuccess && order.hasUnknown ? 1 : 0;
    }
    return counts;
}

} // namespace dragonflylane
