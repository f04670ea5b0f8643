// DRAIN: requests that an owner daemon has queued reach a backend later than drain_s after the ack of `draining`.

#include "review/common/harness.h"

using namespace review;

namespace {

// A service of long requests: 10 slots and 0.9 s, as the loan history of the large sheet.
constexpr int slots = 10;
constexpr double normalWork = 0.9;
// `srv_slow`: x = 5 for 6.5 s on the small sites.
constexpr double slowWork = 5 * normalWork;
constexpr int deadlineMs = 10000;
// 72 % of what both backends can run while they are not slow.
constexpr double perSecond = 16;
// The backend leaves this long after it has turned slow, and serves for drain_s and a second more.
constexpr double drainDelay = 2;
constexpr double serveLonger = 1;

} // namespace

int main(int, char** argv)
{
    Record record(std::string(argv[1]) + "/record.txt");
    Mesh mesh(record);
    mesh.addCore();
    Host& first = mesh.add("sidecar-loans-1", "kandy-a", "loans");
    Host& second = mesh.add("sidecar-loans-2", "kandy-b", "loans");
    Host& entryA = mesh.add("sidecar-orders-1", "kandy-a", "orders");
    Host& entryB = mesh.add("sidecar-orders-2", "kandy-b", "orders");
    Host& third = mesh.add("sidecar-catalogue-1", "peradeniya", "catalogue");
    if (!mesh.startAll())
        return couldNotRun;
    Backend leaving(mesh, first, { .id = "i-loans-1", .slots = slots, .workSeconds = normalWork }, record);
    Backend staying(mesh, second, { .id = "i-loans-2", .slots = slots, .workSeconds = normalWork }, record);
    // The other backends of the deployment, so that the slow ones are two of five, the share of 0.4 of `srv_slow`.
    Backend ordersA(mesh, entryA, { .id = "i-orders-1" }, record);
    Backend ordersB(mesh, entryB, { .id = "i-orders-2" }, record);
    Backend catalogue(mesh, third, { .id = "i-catalogue-1" }, record);
    for (Backend* backend : { &leaving, &staying, &ordersA, &ordersB, &catalogue }) {
        if (!backend->start())
            return couldNotRun;
    }
    Operator op(mesh, record);
    std::string config = document(1, 0,
        { { .name = "renewal", .host = "circle.example", .prefix = "/renew/", .kind = "unsafe", .service = "loans",
            .timeout = deadlineMs / 1000.0, .target = 2.5 } },
        { "loans", "orders", "catalogue" });
    if (op.put(config, 15) != 200 || !mesh.waitReady(15))
        return couldNotRun;
    sleepFor(contactSeconds + 1);

    Consumers consumers(mesh, record);
    double slowAt = now() + 8;
    double drainAt = slowAt + drainDelay;
    double endAt = drainAt + drainSeconds + serveLonger + 1;
    double ack = 0;
    double exitAt = 0;
    bool isSlow = false;
    unsigned long count = 0;
    for (double next = now(); next < endAt; next += 1 / perSecond) {
        sleepUntil(next);
        if (next < drainAt + 1) {
            ++count;
            consumers.send(count % 2 ? entryA : entryB, "POST", "circle.example", "/renew/" + std::to_string(count),
                deadlineMs, "member=" + std::to_string(count));
        }
        if (!isSlow && next >= slowAt) {
            isSlow = true;
            if (hasTrouble()) {
                leaving.setWork(slowWork);
                staying.setWork(slowWork);
            }
        }
        if (ack == 0 && next >= drainAt) {
            ack = leaving.drain();
            if (ack == 0)
                return couldNotRun;
            exitAt = ack + drainSeconds + serveLonger;
        }
        if (exitAt > 0 && next >= exitAt) {
            exitAt = 0;
            leaving.deregister();
            leaving.exit();
        }
    }
    consumers.wait();
    int late = 0;
    int cut = 0;
    for (const Arrival& arrival : leaving.arrivals()) {
        if (arrival.at <= ack + drainSeconds)
            continue;
        ++late;
        cut += arrival.hasRun && !arrival.isDone;
        record.line("late: %s reached the backend %.3f s after the ack%s", arrival.id.c_str(), arrival.at - ack,
            arrival.isDone ? "" : ", cut by its exit");
    }
    record.line("served %zu of %zu; later than drain_s at the leaving backend: %d, of which its exit cut %d",
        consumers.served(), consumers.sent().size(), late, cut);
    return late > 0 ? ruleBroken : ruleHeld;
}
