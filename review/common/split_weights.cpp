// CONFIG: the shares of a traffic split with large weights.

#include "review/common/harness.h"

using namespace review;

namespace {

constexpr int deadlineMs = 2000;
constexpr int requests = 400;
// The rule: 200 requests or more, and a share more than 0.2 off.
constexpr double allowedDifference = 0.2;

std::string splitDocument(int version, int base, long stable, long canary)
{
    std::string text = document(version, base,
        { { .name = "title-lookup", .host = "circle.example", .prefix = "/title/", .kind = "safe", .service = "@" } },
        { "catalogue", "catalogue-next" });
    std::string one = "\"service\":\"@\"";
    std::string split = "\"traffic_split\":[{\"service\":\"catalogue\",\"weight\":" + std::to_string(stable)
        + "},{\"service\":\"catalogue-next\",\"weight\":" + std::to_string(canary) + "}]";
    return text.replace(text.find(one), one.size(), split);
}

} // namespace

int main(int, char** argv)
{
    Record record(std::string(argv[1]) + "/record.txt");
    Mesh mesh(record);
    mesh.addCore();
    Host& stableHost = mesh.add("sidecar-catalogue-1", "kandy-a", "catalogue");
    Host& nextHost = mesh.add("sidecar-next-1", "kandy-b", "catalogue-next");
    Host& entry = mesh.add("sidecar-orders-1", "peradeniya", "orders");
    if (!mesh.startAll())
        return couldNotRun;
    Backend stable(mesh, stableHost, { .id = "i-catalogue-1", .workSeconds = 0.01 }, record);
    Backend next(mesh, nextHost, { .id = "i-next-1", .workSeconds = 0.01 }, record);
    if (!stable.start() || !next.start())
        return couldNotRun;
    Operator op(mesh, record);
    if (op.put(splitDocument(1, 0, 98, 2), 15) != 200 || !mesh.waitReady(15))
        return couldNotRun;
    sleepFor(1);
    // The change of the weights: the same 98 to 2, or, with trouble, in requests a day.
    bool isLarge = hasTrouble();
    if (op.put(splitDocument(2, 1, isLarge ? 980000 : 980, isLarge ? 20000 : 20), 5) != 200)
        return couldNotRun;
    record.line("operator: r2 is acknowledged, weights %s", isLarge ? "980000 and 20000" : "980 and 20");
    sleepFor(contactSeconds + configApplySeconds);
    size_t stableBefore = stable.arrivals().size();
    size_t nextBefore = next.arrivals().size();
    Consumers consumers(mesh, record);
    for (int i = 0; i < requests; ++i) {
        consumers.send(entry, "GET", "circle.example", "/title/" + std::to_string(i), deadlineMs);
        sleepFor(0.02);
    }
    consumers.wait();
    double toStable = static_cast<double>(stable.arrivals().size() - stableBefore);
    double toNext = static_cast<double>(next.arrivals().size() - nextBefore);
    double share = toNext / std::max(1.0, toStable + toNext);
    record.line("served %zu of %d; catalogue got %.0f, catalogue-next %.0f: its share is %.3f, its weight's 0.020",
        consumers.served(), requests, toStable, toNext, share);
    if (toStable + toNext < 200)
        return couldNotRun;
    return share > 0.02 + allowedDifference ? ruleBroken : ruleHeld;
}
