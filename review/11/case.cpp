// A backend leaves right after the daemon beside it was killed; a late status report brings it back.

#include "review/common-3/Harness.h"

using namespace review;

namespace {

constexpr double drainSeconds = 2;
constexpr double contactSeconds = 3;
// "A status report may arrive seconds late."
constexpr double reportDelay = 2;

int runLeavingBackend()
{
    Mesh mesh;
    Host& left = mesh.addSidecar("orders");
    Host& other = mesh.addSidecar("orders");
    Host& entry = mesh.addSidecar("catalogue");
    auto work = [](const Run&, Connection&) {
        sleepSeconds(0.2);
        return std::pair(200, std::string("booked"));
    };
    Backend leaving(left, "i-leaving", 12, work);
    Backend staying(other, "i-staying", 12, work);
    Backend catalogue(entry, "i-catalogue", 12, work);
    mesh.start();
    if (!leaving.start() || !staying.start() || !catalogue.start())
        return exitCouldNotRun;
    std::vector<Route> routes { { "r-orders", "shop.example", "/orders/", "orders", "unsafe" } };
    if (mesh.put(document(1, 0, routes, { "orders", "catalogue" })) != 200 || !mesh.awaitReady())
        return exitCouldNotRun;
    sleepSeconds(2);

    std::atomic<bool> isStopping { false };
    std::vector<std::thread> consumers;
    for (int i = 0; i < 8; ++i) {
        consumers.emplace_back([&, i] {
            for (int n = 0; !isStopping; ++n) {
                std::string id = requestId();
                std::string path = "/orders/" + std::to_string(i) + "-" + std::to_string(n);
                RECORD("consumer sends order %s to %s", id.c_str(), entry.name().c_str());
                Reply reply = call(entry.ip(), mesh.ports().outbound, "POST", path,
                    { { "Host", "shop.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", "3000" } }, "one", 4);
                RECORD("order %s: %s, status %d", id.c_str(), name(reply.outcome), reply.status());
                sleepSeconds(0.1);
            }
        });
    }
    auto finish = [&](int result) {
        isStopping = true;
        for (std::thread& consumer : consumers)
            consumer.join();
        return result;
    };
    sleepSeconds(2);
    if (leaving.runs().empty())
        return finish(exitCouldNotRun);

    // The last report before the backend leaves. It arrives late.
    leaving.stopReports();
    sleepSeconds(1);
    std::string lateReport = leaving.nextReport();
    double sentAt = now();
    RECORD("backend i-leaving sends a status report (ready) that will arrive %.1f s late", reportDelay);
    if (hasTrouble()) {
        RECORD("platform kills the daemon of %s and starts it again", left.name().c_str());
        left.kill();
        left.start(false);
    }
    double startedAt = now();
    double acknowledgedAt = 0;
    while (acknowledgedAt == 0 && now() < sentAt + reportDelay - 0.5) {
        int status = leaving.deregister();
        RECORD("backend i-leaving: Deregister answered %d", status);
        if (status / 100 == 2)
            acknowledgedAt = now();
        else
            sleepSeconds(0.1);
    }
    if (acknowledgedAt == 0)
        return finish(exitCouldNotRun);
    sleepSeconds(sentAt + reportDelay - now());
    RECORD("the late report of i-leaving is answered %d", leaving.sendReport(lateReport));
    // The backend serves for drain_s after the acknowledgement and a little longer, and exits.
    sleepSeconds(std::max(acknowledgedAt + drainSeconds, startedAt + contactSeconds) + 2.5 - now());
    RECORD("backend i-leaving exits");
    leaving.exit();
    sleepSeconds(1);
    finish(exitHeld);

    // Only requests that all machines on their way were in touch for are counted.
    double from = std::max(acknowledgedAt + drainSeconds, hasTrouble() ? startedAt + contactSeconds : 0);
    size_t late = 0;
    for (const Run& run : leaving.runs())
        late += run.at > from ? 1 : 0;
    RECORD("Deregister was acknowledged at %.3f; %zu orders reached the backend after %.3f", acknowledgedAt, late, from);
    return late > 0 ? exitBroken : exitHeld;
}

} // namespace

int main()
{
    return runCase("review/11", runLeavingBackend);
}
