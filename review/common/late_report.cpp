// DRAIN: a daemon that was restarted takes a late status report of a backend that has deregistered as a new backend.

#include "review/common/harness.h"

using namespace review;

namespace {

constexpr int deadlineMs = 2000;
constexpr double perSecond = 20;
// Times after the ack of the Deregister call.
constexpr double killAfter = 0.5;
constexpr double startAfter = 1.2;
constexpr double lateReportAfter = 3.4;
// No consumer asks in a quiet moment that begins before the call and lasts until here.
constexpr double quietUntil = 3.6;
constexpr double quietBefore = 0.5;
// The backend goes on serving "at times many seconds".
constexpr double exitAfter = 5.8;

} // namespace

int main(int, char** argv)
{
    Record record(std::string(argv[1]) + "/record.txt");
    Mesh mesh(record);
    mesh.addCore();
    Host& first = mesh.add("sidecar-loans-1", "kandy-a", "loans");
    Host& second = mesh.add("sidecar-loans-2", "kandy-a", "loans");
    Host& entry = mesh.add("sidecar-orders-1", "kandy-a", "orders");
    // With these, the killed machine is one of ten.
    mesh.add("sidecar-groups-1", "kandy-b", "groups");
    mesh.add("sidecar-groups-2", "peradeniya", "groups");
    if (!mesh.startAll())
        return couldNotRun;
    Backend leaving(mesh, first, { .id = "i-loans-1", .workSeconds = 0.4 }, record);
    Backend staying(mesh, second, { .id = "i-loans-2", .workSeconds = 0.4 }, record);
    if (!leaving.start() || !staying.start())
        return couldNotRun;
    Operator op(mesh, record);
    std::string config = document(1, 0,
        { { .name = "renewal", .host = "circle.example", .prefix = "/renew/", .kind = "unsafe", .service = "loans",
            .timeout = 2, .target = 0.5 } },
        { "loans", "orders" });
    if (op.put(config, 15) != 200 || !mesh.waitReady(15))
        return couldNotRun;
    sleepFor(contactSeconds + 1);

    Consumers consumers(mesh, record);
    double leaveAt = now() + 3;
    double ack = 0;
    int step = 0;
    unsigned long count = 0;
    for (double next = now(); ack == 0 || next < ack + exitAfter; next += 1 / perSecond) {
        sleepUntil(next);
        bool isQuiet = ack == 0 ? next >= leaveAt - quietBefore : next < ack + quietUntil;
        if (!isQuiet)
            consumers.send(entry, "POST", "circle.example", "/renew/" + std::to_string(++count), deadlineMs, "member=17");
        if (ack == 0 && next >= leaveAt) {
            // The last regular report was sent just before; it arrives later.
            leaving.stopReports();
            uint64_t lateSequence = leaving.lastSequence() + 1;
            record.line("backend i-loans-1: sends a report with seq %lu that is held up",
                static_cast<unsigned long>(lateSequence));
            if (!leaving.deregister())
                return couldNotRun;
            ack = now();
            if (hasTrouble()) {
                sleepUntil(ack + killAfter);
                mesh.signal(first, SIGKILL, "kill");
            }
        }
        if (ack > 0 && step == 0 && next >= ack + startAfter) {
            ++step;
            if (hasTrouble())
                mesh.start(first);
        }
        if (ack > 0 && step == 1 && next >= ack + lateReportAfter) {
            ++step;
            bool isAcknowledged = leaving.report("ready", leaving.lastSequence() + 1);
            record.line("backend i-loans-1: the held-up report arrives, %s", isAcknowledged ? "2xx" : "no 2xx");
        }
    }
    leaving.exit();
    consumers.wait();
    int late = 0;
    int lateInTouch = 0;
    int cut = 0;
    for (const Arrival& arrival : leaving.arrivals()) {
        if (arrival.at <= ack + drainSeconds)
            continue;
        ++late;
        bool isInTouch = arrival.at > ack + startAfter + contactSeconds + 0.2;
        lateInTouch += isInTouch;
        cut += arrival.hasRun && !arrival.isDone;
        record.line("late: %s reached the backend %.3f s after the ack%s", arrival.id.c_str(), arrival.at - ack,
            isInTouch ? "" : ", its daemon not in touch yet");
    }
    record.line("served %zu of %zu; later than drain_s: %d, of which with all machines in touch %d, cut by the exit %d",
        consumers.served(), consumers.sent().size(), late, lateInTouch, cut);
    return lateInTouch > 0 ? ruleBroken : ruleHeld;
}
