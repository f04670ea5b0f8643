// Benchmarks the decisions of the request path: nanoseconds per admission, upstream selection, claim and fingerprint,
// and memory per idempotency record. Prints one line of key=value pairs per measurement.

#include "dragonflylane/ClaimCoordinator.h"
#include "dragonflylane/CrashQuarantine.h"
#include "dragonflylane/Fingerprint.h"
#include "dragonflylane/IdempotencyRecords.h"
#include "dragonflylane/OwnerAdmission.h"
#include "dragonflylane/UpstreamSelector.h"

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <malloc.h>
#include <string>
#include <vector>

namespace dragonflylane {

namespace {

    constexpr uint64_t operations = 200'000;

    // Prevents the compiler from optimizing away the measured work.
    volatile uint64_t sink = 0;

    void measure(const char* name, uint64_t count, const std::function<void(uint64_t)>& operation)
    {
        for (uint64_t i = 0; i < count / 10; ++i)
            operation(i);
        auto begin = std::chrono::steady_clock::now();
        for (uint64_t i = 0; i < count; ++i)
            operation(count + i);
        std::chrono::duration<double, std::nano> time = std::chrono::steady_clock::now() - begin;
        std::printf("measure=%s operations=%llu ns_per_operation=%.1f\n", name, static_cast<unsigned long long>(count),
            time.count() / static_cast<double>(count));
    }

    size_t allocatedBytes()
    {
        return mallinfo2().uordblks;
    }

    void measureAdmission()
    {
        OwnerAdmission idle({ .slots = 12 });
        TimePoint now { std::chrono::seconds(1) };
        measure("admit_and_finish", operations, [&](uint64_t i) {
            now += std::chrono::microseconds(10);
            idle.offer({ i, i % 10 == 0, false, now + std::chrono::seconds(1) }, now);
            idle.finished(i, CallOutcome::Success, now + std::chrono::microseconds(5));
        });
        // All slots are busy and the queue is full: each finished call dispatches a queued one, and a new one is
        // queued.
        OwnerAdmission busy({ .slots = 12 });
        std::deque<uint64_t> running;
        uint64_t queued = 0;
        measure("queue_and_hand_over", operations, [&](uint64_t i) {
            now += std::chrono::microseconds(10);
            AdmitAction action = busy.offer({ i, i % 2 == 0, false, now + std::chrono::seconds(1) }, now).action;
            if (action == AdmitAction::Admit)
                running.push_back(i);
            queued += action == AdmitAction::Queue ? 1 : 0;
            if (action != AdmitAction::Refuse)
                return;
            auto changes = busy.finished(running.front(), CallOutcome::Success, now);
            running.pop_front();
            for (const CallTicket& ticket : changes.dispatched)
                running.push_back(ticket.id);
        });
        std::printf("measure=queue_and_hand_over queued=%llu\n", static_cast<unsigned long long>(queued));
    }

    void measureSelection()
    {
        std::vector<UpstreamCandidate> candidates;
        for (int i = 0; i < 200; ++i) {
            std::string name = "upstream-" + std::to_string(i);
            candidates.push_back(
                { UpstreamId(name), HostId("host-" + name), DataCentreName("dc" + std::to_string(i % 20)),
                    RegionName("r" + std::to_string(i % 20 / 3)), 12, true, {} });
        }
        UpstreamSelector selector(
            { .self = HostId("entry"), .dataCentre = DataCentreName("dc0"), .region = RegionName("r0") });
        TimePoint now { std::chrono::hours(1) };
        selector.rebuild(candidates, now);
        LoadReport report { 6, 0, 12, std::chrono::milliseconds(5) };
        measure("choose_and_finish", operations, [&](uint64_t) {
            now += std::chrono::microseconds(10);
            selector.finished(*selector.choose({}, now), SelectionOutcome::Success, report, now);
        });
        measure("rebuild_200_candidates", 2000, [&](uint64_t) { selector.rebuild(candidates, now); });
    }

    void measureClaims()
    {
        KeeperView view { Epoch(1), {} };
        for (int i = 0; i < 64; ++i)
            view.hosts.push_back(
                { HostId("host-" + std::to_string(i)), DataCentreName("dc" + std::to_string(i % 20)) });
        measure("keepers_of_64_hosts", operations,
            [&](uint64_t i) { sink = sink + keepersOf("key-" + std::to_string(i), view).size(); });

        // One host is the keeper of every key, so that each claim creates a record.
        constexpr size_t records = 30'000;
        KeeperView single { Epoch(1), { { HostId("keeper"), DataCentreName("dc0") } } };
        TimePoint now { std::chrono::seconds(1) };
        IdempotencyRecords keeper(
            { .self = HostId("keeper"), .maxRecords = 100'000, .maxAnswerBytes = 64U << 20U }, now);
        keeper.setProvenAt(now);
        keeper.setNoView();
        keeper.setView(single, now);
        HostId entry("entry-daemon-0001");
        auto keyOf = [](uint64_t i) {
            return claimKey({}, "POST", "/orders", IdempotencyKey("0f4c1d2e-7a3b-4c5d-8e9f-" + std::to_string(i)));
        };
        size_t before = allocatedBytes();
        measure("claim_at_keeper", records, [&](uint64_t i) {
            keeper.receive(entry, ClaimRequest { { entry, 1, i }, Epoch(1), keyOf(i) }, now);
            sink = sink + keeper.takeOutputs().size();
        });
        double perRecord = static_cast<double>(allocatedBytes() - before) / static_cast<double>(keeper.size());
        std::printf("measure=duplicate_record records=%zu bytes_per_record=%.0f\n", keeper.size(), perRecord);
        measure("finish_at_keeper", records, [&](uint64_t i) {
            keeper.receive(entry, ClaimFinish { { entry, 1, i }, keyOf(i), true, std::string(200, 'a') }, now);
            sink = sink + keeper.takeOutputs().size();
        });
        perRecord = static_cast<double>(allocatedBytes() - before) / static_cast<double>(keeper.size());
        std::printf("measure=duplicate_record_with_200_byte_answer records=%zu bytes_per_record=%.0f\n", keeper.size(),
            perRecord);

        ClaimCoordinator coordinator({ .self = entry, .bootId = 1 });
        coordinator.setProvenAt(now);
        coordinator.setView(view);
        measure("claim_at_coordinator", records, [&](uint64_t i) {
            coordinator.claim(i, keyOf(i), now);
            for (const ClaimOutput& output : coordinator.takeOutputs()) {
                const auto& send = std::get<ClaimSend>(output);
                ClaimId id = std::get<ClaimRequest>(send.message).id;
                coordinator.receive(send.to, ClaimReply { id, ClaimStatus::Granted, ResultCode::Ok, {} }, now);
            }
            coordinator.markForwarded(i);
            coordinator.finish(i, "answer", now);
            for (const ClaimOutput& output : coordinator.takeOutputs()) {
                const auto* send = std::get_if<ClaimSend>(&output);
                if (send)
                    coordinator.receive(send->to, ClaimAck { std::get<ClaimFinish>(send->message).id }, now);
            }
        });
    }

    void measureCrashes()
    {
        for (size_t size : { 0, 200, 4096 }) {
            std::string body(size, 'b');
            std::string name = "fingerprint_body_" + std::to_string(size);
            measure(name.c_str(), operations, [&](uint64_t) {
                sink = sink + requestFingerprint("orders.example", "POST", "/orders/parcels?month=12", body).value();
            });
        }
        CrashQuarantine quarantine;
        TimePoint now { std::chrono::seconds(1) };
        std::vector<Fingerprint> suspects;
        for (uint64_t i = 0; i < 4000; ++i)
            suspects.emplace_back(i);
        quarantine.upstreamDied(UpstreamId("u"), Incarnation(1), suspects, now);
        measure("quarantine_state_4000_suspects", operations,
            [&](uint64_t i) { sink = sink + static_cast<uint64_t>(quarantine.stateOf(Fingerprint(i % 8000), now)); });
    }

} // namespace

} // namespace dragonflylane

int main()
{
    dragonflylane::measureAdmission();
    dragonflylane::measureSelection();
    dragonflylane::measureClaims();
    dragonflylane::measureCrashes();
    return 0;
}
