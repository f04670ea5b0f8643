#pragma once

// Table of idempotency records at a keeper (5.4): which idempotency keys have been claimed, and the responses of
// finished requests. A keeper is one of the hosts that store the records of a key; a keeper view is the set of all
// keepers in one epoch.
//
//     IdempotencyRecords records({ .self = host }, now);
//     records.setNoView();                 // the current configuration has no keeper view yet
//     records.setView(view, now);          // from each new routing table
//     records.setProvenAt(relay.provenAt());
//     records.receive(from, message, now);
//     for (ClaimSend& send : records.takeOutputs()) ...
//
// Invariants: a key with a record is not granted again until the retention time after its claim has passed. A record is
// never evicted earlier, so a full table refuses new keys. A keeper grants a key only if it has every record of it that
// a majority of the key's keepers may have made:
//   * within an epoch whose beginning it has observed, it made or received them itself;
//   * in a new epoch, it first copies the records of so many of the key's previous keepers that every majority of them
//     includes one of these;
//   * after a restart, which loses all records, it first copies the records of the key's other keepers, and requests
//     them only after every claim that it granted before the crash has been decided;
//   * otherwise it waits for the sum of the retention time and maxConfigurationAge.
//
// The last rule needs fencing: keepers of an old view that have not received the new one would continue to grant its
// keys while the new keepers, partitioned from them, stop waiting for records. So a keeper refuses claims if its
// configuration was last proven current longer than maxConfigurationAge ago. A view that was replaced at time t cannot
// be proven current after t, so its keepers grant nothing after t + maxConfigurationAge, and a keeper with the new view
// waits until those grants have expired too. The cost: if the control hosts are unreachable for longer than
// maxConfigurationAge, requests with an idempotency key are refused (not run).
//
// Records that a keeper may lack are described as gaps. A transfer includes the gaps of the sender, so the loss of a
// few keepers blocks only the keys for which a majority was lost, and not every key of the next epoch.
//
// A call must end within the retention time of its claim. claim and finish cost O(log records + keeper hosts).

#include "dragonflylane/BootClock.h"
#include "dragonflylane/ClaimMessages.h"
#include "dragonflylane/Ids.h"
#include "dragonflylane/KeeperSelection.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonflylane {

struct IdempotencyRecordsOptions {
    HostId self;
    Duration retention { std::chrono::minutes(10) };
    /// No claim is granted if the configuration was last proven current longer ago than this.
    Duration maxConfigurationAge { claimMaxConfigurationAge };
    /// At about 350 bytes a record (RequestDecisionBench), 32,768 records take 11.5 MB of the daemon's 32 MB.
    size_t maxRecords { 32768 };
    /// Sum of the stored responses; further responses are recorded without content.
    size_t maxAnswerBytes { 4U << 20U };
    Duration transferRetry { std::chrono::milliseconds(500) };
    /// The records of a peer that itself still lacks some are copied again after this time.
    Duration transferRepeat { std::chrono::seconds(2) };
    /// Time after a restart before records are copied. Claims that the keeper granted before the crash are decided
    /// within half of it; the other half allows for clocks that run at different rates.
    Duration settleTime { 2 * claimTimeout };

    // Switches that disable a mechanism for a test.
    bool waitAfterRestart { true };
    bool waitInNewEpoch { true };
    bool fenceEpochs { true };
    bool settleAfterRestart { true };
    bool fenceStaleConfiguration { true };
};

class IdempotencyRecords {
public:
    IdempotencyRecords(IdempotencyRecordsOptions, TimePoint now);

    /// States that the configuration has no keeper view, so no record can exist yet. Call this only if the
    /// configuration has been proven current since the start of the process.
    void setNoView();
    /// Sets the view of a new routing table. Older and equal epochs are ignored.
    void setView(const KeeperView&, TimePoint now);
    /// Sets the time at which the configuration of the view was last proven current. Earlier times are ignored.
    void setProvenAt(TimePoint);

    void receive(const HostId& from, const ClaimMessage&, TimePoint now);
    /// Expires records and repeats transfer requests.
    void tick(TimePoint now);
    std::optional<TimePoint> nextWakeup() const;
    std::vector<ClaimSend> takeOutputs();

    /// True if this keeper lacks no records.
    bool isComplete(TimePoint now) const;
    /// True if this keeper has all records of the key that it needs to grant it.
    bool isReadyFor(std::string_view key, TimePoint now) const;
    size_t size() const { return m_records.size(); }
    size_t answerBytes() const { return m_answerBytes; }

private:
    struct Record {
        RecordState state { RecordState::Running };
        std::vector<ClaimId> claims;
        std::string answer;
        std::multimap<TimePoint, const std::string*>::iterator expiry;
    };
    using Records = std::map<std::string, Record, std::less<>>;

    /// Which records must be copied before this keeper is complete.
    enum class Recovery : uint8_t {
        /// Nothing: the keeper is complete, or no earlier record can exist.
        Complete,
        /// The keeper has observed the beginning of the epoch and copies the records of the previous keepers.
        NewEpoch,
        /// The keeper restarted or missed an epoch and copies the records of the other keepers.
        Restart,
    };

    /// A gap with its end as a local time.
    struct Gap {
        KeeperGap keys;
        TimePoint until;
    };

    /// State of the transfer from one peer.
    struct Transfer {
        uint64_t number { 0 };
        std::string afterKey;
        TimePoint nextRequestAt;
        /// All records have arrived once; `gaps` are those of the sender at that time.
        bool isDone { false };
        std::vector<Gap> gaps;
        /// Gaps in the chunks of the transfer in progress.
        std::vector<Gap> newGaps;
        bool isActive { true };
    };

    void handle(const HostId& from, const ClaimRequest&, TimePoint now);
    void handle(const HostId& from, const ClaimRelease&, TimePoint now);
    void handle(const HostId& from, const ClaimFinish&, TimePoint now);
    void handle(const HostId& from, const TransferRequest&, TimePoint now);
    void handle(const HostId& from, const TransferChunk&, TimePoint now);
    ClaimReply answerClaim(const ClaimRequest&, TimePoint now);
    ClaimReply replyFromRecord(const ClaimRequest&, const Record&) const;
    Records::iterator insert(const std::string& key, TimePoint claimedAt);
    void erase(Records::iterator);
    void setResponse(Record&, std::string answer);
    bool merge(const IdempotencyRecord&, TimePoint now);
    void expire(TimePoint now);
    bool isFull() const { return m_records.size() >= m_options.maxRecords; }
    void startTransfers(const KeeperView& sources, TimePoint firstRequestAt);
    bool hasRecordsOf(const HostId&, std::string_view key, TimePoint now) const;
    static bool covers(const std::vector<Gap>&, std::string_view key, TimePoint now);
    static void mergeGap(std::vector<Gap>&, const Gap&);
    std::vector<Gap> allGaps(TimePoint now, bool includePeers = true) const;
    std::optional<Gap> transferGap(TimePoint now) const;
    const KeeperView& sources() const { return m_recovery == Recovery::Restart ? *m_view : *m_previousView; }
    bool isWaitDisabled() const;
    bool isConfigurationStale(TimePoint now) const;
    void requestChunk(const HostId&, Transfer&, TimePoint now);
    void restartTransfer(Transfer&, TimePoint firstRequestAt);
    void finishTransfer(Transfer&, TimePoint now);
    TransferChunk makeChunk(const HostId& requester, const TransferRequest&, TimePoint now) const;
    void send(const HostId& to, ClaimMessage);

    IdempotencyRecordsOptions m_options;
    Records m_records;
    std::multimap<TimePoint, const std::string*> m_expiry;
    size_t m_answerBytes { 0 };

    std::optional<KeeperView> m_view;
    std::optional<KeeperView> m_previousView;
    std::optional<TimePoint> m_provenAt;
    bool m_hadNoView { false };
    Recovery m_recovery { Recovery::Restart };
    /// True if this keeper was in the view of the previous epoch and had at most maxKeeperGaps gaps when it ended.
    bool m_wasInPreviousEpoch { false };
    /// Gaps of this keeper when the current epoch began.
    std::vector<Gap> m_gaps;
    /// After this time every record that could be missing has expired.
    TimePoint m_waitUntil;
    /// Unique across restarts, so that a chunk sent to an earlier run of this process is ignored.
    uint64_t m_nextTransfer { 1 };
    std::map<HostId, Transfer> m_transfers;
    std::vector<ClaimSend> m_outputs;
};

} // namespace dragonflylane
