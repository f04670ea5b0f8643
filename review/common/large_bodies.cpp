// CONFIG: a route that was added later carries bodies of 3 MB, which the operator's limits allow.

#include "review/common/harness.h"

using namespace review;

namespace {

constexpr int deadlineMs = 3000;
constexpr int requests = 24;
constexpr size_t smallBytes = 1'500'000;
constexpr size_t largeBytes = 3'000'000;

} // namespace

int main(int, char** argv)
{
    Record record(std::string(argv[1]) + "/record.txt");
    Mesh mesh(record);
    mesh.addCore();
    Host& ordersA = mesh.add("sidecar-orders-1", "kandy-a", "orders");
    Host& ordersB = mesh.add("sidecar-orders-2", "kandy-b", "orders");
    Host& entry = mesh.add("sidecar-groups-1", "kandy-a", "groups");
    if (!mesh.startAll())
        return couldNotRun;
    size_t bytes = hasTrouble() ? largeBytes : smallBytes;
    // A request for a label is answered with a picture of `bytes`; an upload sends that much.
    Backend first(mesh, ordersA, { .id = "i-orders-1", .workSeconds = 0.05, .largePath = "/label/", .largeBytes = bytes },
        record);
    Backend second(mesh, ordersB, { .id = "i-orders-2", .workSeconds = 0.05, .largePath = "/label/", .largeBytes = bytes },
        record);
    if (!first.start() || !second.start())
        return couldNotRun;
    Operator op(mesh, record);
    RouteText order { .name = "parcel-order", .host = "circle.example", .prefix = "/order/", .kind = "unsafe",
        .service = "orders", .timeout = 2.5, .target = 0.6 };
    RouteText label = order;
    label.name = "parcel-label";
    label.prefix = "/label/";
    RouteText upload = order;
    upload.name = "parcel-scan";
    upload.prefix = "/scan/";
    if (op.put(document(1, 0, { order }, { "orders", "groups" }), 15) != 200 || !mesh.waitReady(15))
        return couldNotRun;
    sleepFor(1);
    if (op.put(document(2, 1, { order, label, upload }, { "orders", "groups" }), 5) != 200)
        return couldNotRun;
    record.line("operator: r2 is acknowledged, max_body_bytes is 67108864");
    sleepFor(contactSeconds + configApplySeconds);

    auto serve = [&](const char* prefix, size_t sentBytes) {
        Consumers consumers(mesh, record);
        for (int i = 0; i < requests; ++i) {
            consumers.send(entry, "POST", "circle.example", prefix + std::to_string(i), deadlineMs,
                std::string(sentBytes, 'b'));
            sleepFor(0.3);
        }
        consumers.wait();
        return static_cast<int>(consumers.served());
    };
    int orders = serve("/order/", 1000);
    int labels = serve("/label/", 1000);
    int scans = serve("/scan/", bytes);
    int labelsRun = 0;
    int scansRun = 0;
    for (const Backend* backend : { &first, &second }) {
        for (const Arrival& arrival : backend->arrivals()) {
            labelsRun += arrival.path.starts_with("/label/") && arrival.isDone;
            scansRun += arrival.path.starts_with("/scan/") && arrival.isDone;
        }
    }
    record.line("of %d each: first route served %d; answers of %zu bytes served %d, run %d; requests of %zu bytes served "
                "%d, run %d",
        requests, orders, bytes, labels, labelsRun, bytes, scans, scansRun);
    if (orders < requests / 2)
        return couldNotRun;
    bool isBroken = 4 * labels < orders || 4 * scans < orders;
    return isBroken ? ruleBroken : ruleHeld;
}
