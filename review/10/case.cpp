// Case 10: a backend that leaves has told so, and its daemon has acknowledged it. All processes are killed at the same
// moment and are back a second later. A status report that the backend had sent before arrives late, and the backend
// gets requests again.

#include "review/common-2/Harness.h"

using namespace review;

namespace {

constexpr double drain = 2;
constexpr double contact = 3;
constexpr double reportDelay = 7;

std::atomic<bool> isOver { false };

// Looks up titles one after the other.
void lookUp(const Address& entry)
{
    Message answer;
    while (!isOver) {
        std::string id = newRequestId();
        std::string request = "GET /titles/" + id + " HTTP/1.1\r\nHost: catalogue.example\r\nX-Request-Id: " + id
            + "\r\nX-Deadline-Ms: 1000\r\nConnection: close\r\n\r\n";
        Io io = call(entry, request, answer, 1.2);
        if (io != Io::Ok || answer.status() != 200)
            sleepFor(0.1);
    }
}

} // namespace

int main(int, char** argv)
{
    Record::open(std::string(argv[1]) + "/record.txt");
    Deployment deployment("review-10");
    deployment.add(6, 0);
    if (!deployment.start([](size_t) { return Backend::Options { .work = [] { return 0.05; } }; }))
        deployment.finish(2);
    Platform& platform = deployment.platform;
    Backend& leaving = *deployment.backends[0];
    std::vector<std::thread> threads;
    for (size_t i = 0; i < 24; ++i)
        threads.emplace_back([&, i] { lookUp(deployment.entry(i % 6)); });
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
    sleepFor(6);
    isOver = true;
    double from = std::max(ackAt + drain, backAt + contact);
    int late = 0;
    int total = 0;
    double last = 0;
    for (const Run& run : leaving.runs()) {
        ++total;
        if (run.arrivedAt <= from)
            continue;
        ++late;
        last = run.arrivedAt - ackAt;
        Record::line("run: %s request %s arrived %.3f s after the ack", leaving.id().c_str(), run.requestId.c_str(),
            run.arrivedAt - ackAt);
    }
    Record::line(
        "%s ran %d requests, %d of them later than %.0f s after the ack and %.0f s after the start, the last %.2f s "
        "after the ack",
        leaving.id().c_str(), total, late, drain, contact, last);
    deployment.finish(late > 0 ? 1 : 0);
}
