// Case 10: a backend that leaves has told so, and its daemon has acknowledged it. All processes are killed at the same
// moment and are back a second later. A status report that the backend had sent before arrives late: the backend gets
// orders again, and its exit cuts those that it runs.

#include "review/common-2/Harness.h"

using namespace review;

namespace {

constexpr double drain = 2;
constexpr double contact = 3;
constexpr double reportDelay = 7;
constexpr double exitAfterReport = 2.5;

std::atomic<bool> isOver { false };
std::mutex resultMutex;
std::map<std::string, std::string> resultOfOrder;

// Sends orders one after the other.
void sendOrders(const Address& entry)
{
    Message answer;
    while (!isOver) {
        std::string id = newRequestId();
        std::string request = "POST /parcels/" + id + " HTTP/1.1\r\nHost: orders.example\r\nX-Request-Id: " + id
            + "\r\nX-Deadline-Ms: 2000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
        Io io = call(entry, request, answer, 2.2);
        std::string result = io == Io::Ok ? std::to_string(answer.status()) : name(io);
        {
            std::lock_guard lock(resultMutex);
            resultOfOrder[id] = result;
        }
        if (result != "200")
            sleepFor(0.1);
    }
}

} // namespace

int main(int, char** argv)
{
    Record::open(std::string(argv[1]) + "/record.txt");
    Deployment deployment("review-10");
    deployment.add(6, 6);
    if (!deployment.start([](size_t) { return Backend::Options { .work = [] { return 0.3; } }; }))
        deployment.finish(2);
    Platform& platform = deployment.platform;
    Backend& leaving = *deployment.backends[0];
    std::vector<std::thread> threads;
    for (size_t i = 0; i < 24; ++i)
        threads.emplace_back([&, i] { sendOrders(deployment.entry(i % 6)); });
    sleepFor(4);
    leaving.isSilent = true;
    std::string lateReport = leaving.makeReport("ready");
    double sentAt = now();
    Record::line("%s sends a status report (ready), which arrives %.0f s later", leaving.id().c_str(), reportDelay);
    sleepFor(0.5);
    int status = leaving.deregister();
    double ackAt = now();
    Record::line("%s leaves: Deregister is answered %d", leaving.id().c_str(), status);
    if (status != 200)
        deployment.finish(2);
    sleepFor(0.5);
    double backAt = now();
    if (isTrouble()) {
        for (Machine& machine : platform.machines)
            platform.kill(machine, SIGKILL);
        Record::line("all processes are killed");
        sleepFor(1);
        for (Machine& machine : platform.machines)
            platform.start(machine);
        backAt = now();
        Record::line("all processes are started again");
    }
    sleepUntil(sentAt + reportDelay);
    int lateStatus = leaving.sendReport(lateReport);
    Record::line("the late status report arrives and is answered %d", lateStatus);
    sleepFor(exitAfterReport);
    leaving.exit();
    Record::line("%s exits, %.1f s after the ack", leaving.id().c_str(), now() - ackAt);
    sleepFor(3);
    isOver = true;
    double from = std::max(ackAt + drain, backAt + contact);
    int late = 0;
    int cut = 0;
    std::lock_guard lock(resultMutex);
    for (const Run& run : leaving.runs()) {
        if (run.arrivedAt <= from)
            continue;
        ++late;
        cut += run.isComplete ? 0 : 1;
        Record::line("run: %s order %s arrived %.3f s after the ack, %s, answered %s", leaving.id().c_str(),
            run.requestId.c_str(), run.arrivedAt - ackAt, run.isComplete ? "ended" : "cut by the exit",
            resultOfOrder[run.requestId].c_str());
    }
    Record::line(
        "orders that reached %s later than %.0f s after the ack and %.0f s after the start: %d, cut by its exit: %d",
        leaving.id().c_str(), drain, contact, late, cut);
    deployment.finish(late > 0 ? 1 : 0);
}
