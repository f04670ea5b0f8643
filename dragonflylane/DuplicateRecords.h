#pragma once

// Keeper side of duplicate records (5.4): which idempotency keys have been claimed, and the answers to finished ones.
//
//     DuplicateRecords records({ .self = host }, now);
//     records.setNoView(now);              // the proved configuration has no keeper view yet
//     records.setView(view, now);          // from each new routingTable
//     records.setProvenAt(relay.provenAt());
//     records.receive(from, message, now);
//     for (ClaimSend& send : records.takeOutputs()) ...
//
// Invariants: a key that has a record is not granted again before the retention time since its claim has passed; a
// record is never evicted earlier, so a full table refuses new keys. A keeper grants a key only if it has every record
// of it that a majority of the key's keepers may have made:
//   * within an epoch that it has seen begin, it has them itself;
//   * in a new epoch, after records came from enough of the key's previous keepers to meet every majority of them;
//   * after a restart with empty memory, after records came from the key's other keepers, asked only after every claim
//     that it granted before the crash has been decided;
//   * otherwise once the retention time and the proof limit have passed.
// The last rule needs a fence: the keepers of an old view that do not know of the new one would go on granting its
// keys while the new keepers, out of their reach, stop waiting for records. So a keeper refuses claims while its
// configuration was last proved to be current more than the proof limit ago. A view that was replaced at time t cannot
// be proved current after t, so its keepers grant nothing later than t + proofLimit, and a keeper that has seen the new
// view waits until those grants have expired too. The price is that an outage of the source that is longer than the
// limit stops keyed requests (not run).
// Records that a keeper may lack are described as gaps, which transfers carry on to the next keepers, so that the loss
// of a few keepers blocks only the keys for which a majority was lost, and not the next epoch as a whole.
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

struct DuplicateRecordsOptions {
    HostId self;
    Duration retention { std::chrono::minutes(10) };
    /// Largest age of the proof of the configuration with which claims are granted.
    Duration proofLimit { claimProofLimit };
    /// At about 350 bytes a record (RequestDecisionBench), 32,768 records take 11.5 MB of the daemon's 32 MB.
    size_t maxRecords { 32768 };
    /// Sum of the stored answers; further answers are recorded without content.
    size_t maxAnswerBytes { 4U << 20U };
    Duration transferRetry { std::chrono::milliseconds(500) };
    /// A peer that itself still lacks records is copied again after this time.
    Duration transferRepeat { std::chrono::seconds(2) };
    /// Time after a restart before records are copied; twice the time in which a claim that the keeper granted before
    /// the crash is decided, which leaves room for clocks that run at different rates.
    Duration settleTime { 2 * claimTimeout };

    // Switches that disable a mechanism for a test.
    bool waitAfterRestart { true };
    bool waitInNewEpoch { true };
    bool fenceEpochs { true };
    bool settleAfterRestart { true };
    bool fenceStaleProof { true };
};

class DuplicateRecords {
public:
    DuplicateRecords(DuplicateRecordsOptions, TimePoint now);

    /// The proved current configuration has no keeper view, so no record can exist. Call only with a floor.
    void setNoView();
    /// Takes the view of a new routing table. Older and equal epochs are ignored.
    void setView(const KeeperView&, TimePoint now);
    /// Time at which the configuration behind the view was last proved to be current; never moves back.
    void setProvenAt(TimePoint);

    void receive(const HostId& from, const ClaimMessage&, TimePoint now);
    /// Expires records and repeats transfer requests.
    void tick(TimePoint now);
    std::optional<TimePoint> nextWakeup() const;
    std::vector<ClaimSend> takeOutputs();

    /// True if this keeper grants every key of its own without waiting.
    bool isComplete(TimePoint now) const;
    /// True if this keeper can decide on the key.
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

    /// Where the knowledge of earlier records comes from.
    enum class Origin : uint8_t {
        /// Saw the epoch begin and was complete before, or no record can exist.
        Complete,
        /// Saw the epoch begin; takes records from the previous keepers.
        NewEpoch,
        /// Lost its memory or missed an epoch; takes records from the other keepers.
        Restart,
    };

    struct Gap {
        KeeperGap keys;
        TimePoint until;
    };

    /// A transfer from one peer.
    struct Transfer {
        uint64_t number { 0 };
        std::string afterKey;
        TimePoint nextRequestAt;
        /// All records have arrived once, with these gaps of the sender.
        bool isDone { false };
        std::vector<Gap> gaps;
        /// Gaps in the chunks of the transfer under way.
        std::vector<Gap> newGaps;
        bool isActive { true };
    };

    void handle(const HostId& from, const ClaimRequest&, TimePoint now);
    void handle(const HostId& from, const ClaimRelease&, TimePoint now);
    void handle(const HostId& from, const ClaimFinish&, TimePoint now);
    void handle(const HostId& from, const TransferRequest&, TimePoint now);
    void handle(const HostId& from, const TransferChunk&, TimePoint now);
    ClaimReply answerClaim(const ClaimRequest&, TimePoint now);
    ClaimReply describe(const ClaimRequest&, const Record&) const;
    Records::iterator insert(const std::string& key, TimePoint claimedAt);
    void erase(Records::iterator);
    void setAnswer(Record&, std::string answer);
    bool merge(const DuplicateRecord&, TimePoint now);
    void expire(TimePoint now);
    bool isFull() const { return m_records.size() >= m_options.maxRecords; }
    void startTransfers(const KeeperView& sources, TimePoint firstRequestAt);
    bool knowsRecordsOf(const HostId&, std::string_view key, TimePoint now) const;
    static bool covers(const std::vector<Gap>&, std::string_view key, TimePoint now);
    static void mergeGap(std::vector<Gap>&, const Gap&);
    std::vector<Gap> allGaps(TimePoint now, bool includePeers = true) const;
    std::optional<Gap> transferGap(TimePoint now) const;
    const KeeperView& sources() const { return m_origin == Origin::Restart ? *m_view : *m_previousView; }
    bool isWaitDisabled() const;
    bool isProofStale(TimePoint now) const;
    void requestChunk(const HostId&, Transfer&, TimePoint now);
    void restartTransfer(Transfer&, TimePoint firstRequestAt);
    void finishTransfer(Transfer&, TimePoint now);
    TransferChunk makeChunk(const HostId& requester, const TransferRequest&, TimePoint now) const;
    void send(const HostId& to, ClaimMessage);

    DuplicateRecordsOptions m_options;
    Records m_records;
    std::multimap<TimePoint, const std::string*> m_expiry;
    size_t m_answerBytes { 0 };

    std::optional<KeeperView> m_view;
    std::optional<KeeperView> m_previousView;
    std::optional<TimePoint> m_provenAt;
    bool m_hadNoView { false };
    Origin m_origin { Origin::Restart };
    /// True if this keeper took part in the previous epoch since it began or since a restart within it.
    bool m_wasInPreviousEpoch { false };
    /// Gaps of this keeper when the current epoch began.
    std::vector<Gap> m_gaps;
    /// From then on every record that could be missing has expired.
    TimePoint m_waitUntil;
    /// Unique across restarts, so that a chunk sent to an earlier life is ignored.
    uint64_t m_nextTransfer { 1 };
    std::map<HostId, Transfer> m_transfers;
    std::vector<ClaimSend> m_outputs;
};

} // namespace dragonflylane
