#include "dragonflylane/IdempotencyRecords.h"

#include <algorithm>
#include <utility>

namespace dragonflylane {

namespace {

    // Bounds the time that the sender spends on one transfer request.
    constexpr size_t maxRecordsScanned = 1024;

    // Transfer numbers start at the current time, so two runs of the daemon on one host do not use the same numbers.
    uint64_t firstTransferNumber(TimePoint now)
    {
        return static_cast<uint64_t>(now.time_since_epoch().count());
    }

    bool contains(const std::vector<HostId>& hosts, const HostId& host)
    {
        return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
    }

} // namespace

IdempotencyRecords::IdempotencyRecords(IdempotencyRecordsOptions options, TimePoint now)
    : m_options(std::move(options))
    , m_waitUntil(now + m_options.retention + m_options.maxConfigurationAge)
    , m_nextTransfer(firstTransferNumber(now))
{
}

void IdempotencyRecords::setNoView()
{
    m_hadNoView = !m_view;
}

void IdempotencyRecords::setView(const KeeperView& view, TimePoint now)
{
    if (m_view && view.epoch <= m_view->epoch)
        return;
    constexpr Epoch firstEpoch { 1 };
    // The view follows a configuration without keepers, so no records can exist and there is nothing to copy.
    bool isFirstView = !m_view && m_hadNoView && view.epoch == firstEpoch;
    bool isNext = m_view && view.epoch == m_view->epoch.next();
    std::vector<Gap> gaps = m_view ? allGaps(now) : std::vector<Gap>();
    m_wasInPreviousEpoch = isNext && m_view->contains(m_options.self) && gaps.size() <= maxKeeperGaps;
    m_gaps = m_wasInPreviousEpoch ? std::move(gaps) : std::vector<Gap>();

    m_previousView = std::exchange(m_view, view);
    m_waitUntil = now + m_options.retention + m_options.maxConfigurationAge;
    m_transfers.clear();
    if (isFirstView) {
        m_recovery = Recovery::Complete;
    } else if (isNext) {
        m_recovery = Recovery::NewEpoch;
        startTransfers(*m_previousView, now);
    } else {
        m_recovery = Recovery::Restart;
        startTransfers(*m_view, m_options.settleAfterRestart ? now + m_options.settleTime : now);
    }
}

void IdempotencyRecords::setProvenAt(TimePoint provenAt)
{
    m_provenAt = m_provenAt ? std::max(*m_provenAt, provenAt) : provenAt;
}

bool IdempotencyRecords::isConfigurationStale(TimePoint now) const
{
    return m_options.fenceStaleConfiguration && (!m_provenAt || now - *m_provenAt > m_options.maxConfigurationAge);
}

void IdempotencyRecords::receive(const HostId& from, const ClaimMessage& message, TimePoint now)
{
    expire(now);
    std::visit(
        [&](const auto& part) {
            if constexpr (requires { handle(from, part, now); })
                handle(from, part, now);
        },
        message);
}

void IdempotencyRecords::tick(TimePoint now)
{
    expire(now);
    if (isComplete(now)) {
        m_transfers.clear();
        m_recovery = Recovery::Complete;
        return;
    }
    for (auto& [host, transfer] : m_transfers) {
        if (transfer.isActive && transfer.nextRequestAt <= now)
            requestChunk(host, transfer, now);
    }
}

std::optional<TimePoint> IdempotencyRecords::nextWakeup() const
{
    std::optional<TimePoint> wakeup;
    auto consider = [&wakeup](TimePoint time) { wakeup = wakeup ? std::min(*wakeup, time) : time; };
    if (!m_expiry.empty())
        consider(m_expiry.begin()->first);
    if (m_view && m_recovery != Recovery::Complete)
        consider(m_waitUntil);
    for (const auto& [host, transfer] : m_transfers) {
        if (transfer.isActive)
            consider(transfer.nextRequestAt);
    }
    return wakeup;
}

std::vector<ClaimSend> IdempotencyRecords::takeOutputs()
{
    return std::exchange(m_outputs, {});
}

bool IdempotencyRecords::isComplete(TimePoint now) const
{
    return m_view && (isWaitDisabled() || allGaps(now).empty());
}

bool IdempotencyRecords::isWaitDisabled() const
{
    return (m_recovery == Recovery::Restart && !m_options.waitAfterRestart)
        || (m_recovery == Recovery::NewEpoch && !m_options.waitInNewEpoch);
}

bool IdempotencyRecords::isReadyFor(std::string_view key, TimePoint now) const
{
    if (!m_view || !contains(keepersOf(key, *m_view), m_options.self))
        return false;
    if (isWaitDisabled())
        return true;
    if (m_recovery == Recovery::Complete || now >= m_waitUntil)
        return !covers(allGaps(now), key, now);
    // If the keepers whose records are not here are too few for a majority, every majority includes a keeper whose
    // records are here.
    std::vector<HostId> keepers = keepersOf(key, sources());
    auto copied = std::count_if(
        keepers.begin(), keepers.end(), [&](const HostId& host) { return hasRecordsOf(host, key, now); });
    return !keepers.empty() && keepers.size() - static_cast<size_t>(copied) < majorityOf(keepers.size());
}

/// True if this keeper has every record of the key that the host may have made or received in the source view.
bool IdempotencyRecords::hasRecordsOf(const HostId& host, std::string_view key, TimePoint now) const
{
    if (host == m_options.self)
        return m_recovery == Recovery::NewEpoch && m_wasInPreviousEpoch && !covers(m_gaps, key, now);
    auto found = m_transfers.find(host);
    return found != m_transfers.end() && found->second.isDone && !covers(found->second.gaps, key, now);
}

bool IdempotencyRecords::covers(const std::vector<Gap>& gaps, std::string_view key, TimePoint now)
{
    return std::any_of(
        gaps.begin(), gaps.end(), [&](const Gap& gap) { return gap.until > now && gap.keys.covers(key); });
}

/// Adds a gap. Gaps of the same view are merged into one that covers at least the keys of both.
void IdempotencyRecords::mergeGap(std::vector<Gap>& gaps, const Gap& gap)
{
    auto same = std::find_if(
        gaps.begin(), gaps.end(), [&gap](const Gap& other) { return other.keys.view.epoch == gap.keys.view.epoch; });
    if (same == gaps.end()) {
        gaps.push_back(gap);
        return;
    }
    same->until = std::max(same->until, gap.until);
    for (const HostId& host : gap.keys.missing) {
        if (!contains(same->keys.missing, host))
            same->keys.missing.push_back(host);
    }
}

/// Returns all gaps of this keeper: those from before the current epoch, the peers whose records have not arrived yet,
/// and, if includePeers is set, the gaps of the peers.
std::vector<IdempotencyRecords::Gap> IdempotencyRecords::allGaps(TimePoint now, bool includePeers) const
{
    std::vector<Gap> gaps;
    auto add = [&](const Gap& gap) {
        if (gap.until > now)
            mergeGap(gaps, gap);
    };
    std::for_each(m_gaps.begin(), m_gaps.end(), add);
    if (std::optional<Gap> gap = transferGap(now))
        add(*gap);
    if (!includePeers)
        return gaps;
    for (const auto& [host, transfer] : m_transfers)
        std::for_each(transfer.gaps.begin(), transfer.gaps.end(), add);
    return gaps;
}

std::optional<IdempotencyRecords::Gap> IdempotencyRecords::transferGap(TimePoint now) const
{
    if (!m_view || m_recovery == Recovery::Complete || now >= m_waitUntil)
        return std::nullopt;
    Gap gap { { sources(), {}, {} }, m_waitUntil };
    for (const KeeperHost& keeper : gap.keys.view.hosts) {
        bool isSelf = keeper.host == m_options.self;
        auto found = m_transfers.find(keeper.host);
        bool isDone = found != m_transfers.end() && found->second.isDone;
        bool isCopied = isSelf ? m_recovery == Recovery::NewEpoch && m_wasInPreviousEpoch : isDone;
        if (!isCopied)
            gap.keys.missing.push_back(keeper.host);
    }
    if (gap.keys.isEmpty())
        return std::nullopt;
    return gap;
}

void IdempotencyRecords::handle(const HostId& from, const ClaimRequest& request, TimePoint now)
{
    send(from, answerClaim(request, now));
}

ClaimReply IdempotencyRecords::answerClaim(const ClaimRequest& request, TimePoint now)
{
    auto refuse = [&request](ResultCode code) { return ClaimReply { request.id, ClaimStatus::Refused, code, {} }; };
    if (request.key.empty() || request.key.size() > maxClaimKeyBytes)
        return refuse(ResultCode::MalformedRequest);
    auto found = m_records.find(request.key);
    // An earlier claim is reported in any epoch, and also while records are still missing here, since the record is
    // conclusive.
    bool isOwn = found != m_records.end() && found->second.state == RecordState::Running
        && found->second.claims == std::vector { request.id };
    if (found != m_records.end() && !isOwn)
        return replyFromRecord(request, found->second);
    if (!m_view || (m_options.fenceEpochs && request.epoch != m_view->epoch))
        return refuse(ResultCode::EpochMismatch);
    if (isConfigurationStale(now) || !isReadyFor(request.key, now))
        return refuse(ResultCode::KeeperNotReady);
    if (!isOwn) {
        if (isFull())
            return refuse(ResultCode::DuplicateTableFull);
        insert(request.key, now)->second.claims.push_back(request.id);
    }
    return { request.id, ClaimStatus::Granted, ResultCode::Ok, {} };
}

ClaimReply IdempotencyRecords::replyFromRecord(const ClaimRequest& request, const Record& record) const
{
    switch (record.state) {
    case RecordState::Running:
        return { request.id, ClaimStatus::Running, ResultCode::DuplicateRunning, {} };
    case RecordState::Finished:
        return { request.id, ClaimStatus::Finished, ResultCode::Ok, record.answer };
    case RecordState::Unknown:
        break;
    }
    return { request.id, ClaimStatus::Unknown, ResultCode::DuplicateUnknown, {} };
}

void IdempotencyRecords::handle(const HostId& from, const ClaimRelease& release, TimePoint /* now */)
{
    send(from, ClaimAck { release.id });
    auto found = m_records.find(release.key);
    if (found == m_records.end() || found->second.state != RecordState::Running)
        return;
    if (std::erase(found->second.claims, release.id) && found->second.claims.empty())
        erase(found);
}

// Only a coordinator whose claim had a majority sends a finish, so it overrides a claim that never got one.
void IdempotencyRecords::handle(const HostId& from, const ClaimFinish& finish, TimePoint now)
{
    send(from, ClaimAck { finish.id });
    if (finish.key.empty() || finish.key.size() > maxClaimKeyBytes)
        return;
    auto found = m_records.find(finish.key);
    if (found == m_records.end()) {
        if (isFull())
            return;
        found = insert(finish.key, now);
    }
    Record& record = found->second;
    if (record.state == RecordState::Finished)
        return;
    record.claims = { finish.id };
    record.state = RecordState::Unknown;
    if (finish.hasAnswer)
        setResponse(record, finish.answer);
}

void IdempotencyRecords::handle(const HostId& from, const TransferRequest& request, TimePoint now)
{
    // In this epoch the keeper no longer grants claims of older ones, so its set of older records is final.
    if (!m_view || request.epoch != m_view->epoch)
        return;
    bool isNewEpoch = request.purpose == TransferPurpose::NewEpoch;
    // A restarted keeper copies from every other keeper of a key and so receives the gaps of each directly. If keepers
    // that copy from each other also passed on received gaps, each pass would prolong the gap by a message delay.
    std::vector<Gap> gaps = isNewEpoch ? m_gaps : allGaps(now, m_recovery == Recovery::NewEpoch);
    bool areGapsKnown = isNewEpoch ? m_wasInPreviousEpoch : gaps.size() <= maxKeeperGaps;
    TransferChunk chunk;
    if (areGapsKnown) {
        chunk = makeChunk(from, request, now);
        for (Gap& gap : gaps) {
            gap.keys.remaining = gap.until - now;
            if (gap.keys.remaining > Duration::zero())
                chunk.gaps.push_back(std::move(gap.keys));
        }
    }
    chunk.isComplete = areGapsKnown;
    chunk.epoch = request.epoch;
    chunk.purpose = request.purpose;
    chunk.transfer = request.transfer;
    send(from, std::move(chunk));
}

TransferChunk IdempotencyRecords::makeChunk(
    const HostId& requester, const TransferRequest& request, TimePoint now) const
{
    TransferChunk chunk;
    chunk.afterKey = request.afterKey;
    auto next = m_records.upper_bound(request.afterKey);
    for (size_t scanned = 0; next != m_records.end(); ++next, ++scanned) {
        if (scanned == maxRecordsScanned || chunk.records.size() == maxRecordsPerChunk)
            return chunk;
        chunk.afterKey = next->first;
        if (!contains(keepersOf(next->first, *m_view), requester))
            continue;
        const Record& record = next->second;
        Duration age = m_options.retention - (record.expiry->first - now);
        chunk.records.push_back({ next->first, record.state, record.claims, record.answer, age });
    }
    chunk.isLast = true;
    return chunk;
}

void IdempotencyRecords::handle(const HostId& from, const TransferChunk& chunk, TimePoint now)
{
    auto found = m_transfers.find(from);
    if (!m_view || chunk.epoch != m_view->epoch || found == m_transfers.end())
        return;
    Transfer& transfer = found->second;
    if (!transfer.isActive || chunk.transfer != transfer.number)
        return;
    if (!chunk.isComplete) {
        restartTransfer(transfer, now + m_options.transferRetry);
        return;
    }
    // Each chunk except the last must advance the transfer; a duplicate of an earlier one does not.
    if (!chunk.isLast && chunk.afterKey <= transfer.afterKey)
        return;
    for (const IdempotencyRecord& record : chunk.records) {
        if (!merge(record, now)) {
            restartTransfer(transfer, now + m_options.transferRetry);
            return;
        }
    }
    // A gap that the sender closes during the transfer may concern keys that were sent earlier, so the gaps of all
    // chunks are merged.
    for (const KeeperGap& gap : chunk.gaps)
        mergeGap(transfer.newGaps, { gap, now + gap.remaining });
    transfer.afterKey = chunk.afterKey;
    if (chunk.isLast)
        finishTransfer(transfer, now);
    else
        requestChunk(from, transfer, now);
}

// In a new epoch the gaps of a sender stay as they were when the epoch began. Within an epoch, a sender that is itself
// still copying records closes its gaps over time, so its records are copied again.
void IdempotencyRecords::finishTransfer(Transfer& transfer, TimePoint now)
{
    transfer.isDone = true;
    transfer.gaps = std::move(transfer.newGaps);
    bool mayImprove = m_recovery == Recovery::Restart && !transfer.gaps.empty();
    restartTransfer(transfer, now + m_options.transferRepeat);
    transfer.isActive = mayImprove;
}

IdempotencyRecords::Records::iterator IdempotencyRecords::insert(const std::string& key, TimePoint claimedAt)
{
    auto inserted = m_records.try_emplace(key).first;
    inserted->second.expiry = m_expiry.emplace(claimedAt + m_options.retention, &inserted->first);
    return inserted;
}

void IdempotencyRecords::erase(Records::iterator record)
{
    m_answerBytes -= record->second.answer.size();
    m_expiry.erase(record->second.expiry);
    m_records.erase(record);
}

// If the response does not fit, only the fact that the request has run is recorded, and retries get DuplicateUnknown.
void IdempotencyRecords::setResponse(Record& record, std::string answer)
{
    bool fits = answer.size() <= maxStoredAnswerBytes && m_answerBytes + answer.size() <= m_options.maxAnswerBytes;
    if (!fits) {
        record.state = RecordState::Unknown;
        return;
    }
    m_answerBytes += answer.size();
    record.state = RecordState::Finished;
    record.answer = std::move(answer);
    record.answer.shrink_to_fit();
}

/// Returns false if the table is full. The transfer must then be repeated.
bool IdempotencyRecords::merge(const IdempotencyRecord& copy, TimePoint now)
{
    if (copy.age >= m_options.retention)
        return true;
    auto found = m_records.find(copy.key);
    if (found == m_records.end()) {
        if (isFull())
            return false;
        found = insert(copy.key, now - copy.age);
    }
    Record& record = found->second;
    if (record.state == RecordState::Finished)
        return true;
    if (copy.state == RecordState::Finished) {
        record.claims = copy.claims;
        setResponse(record, copy.answer);
        return true;
    }
    // A release by one coordinator must not remove the claim of another, so all claims are kept.
    for (const ClaimId& id : copy.claims) {
        if (std::find(record.claims.begin(), record.claims.end(), id) == record.claims.end())
            record.claims.push_back(id);
    }
    if (copy.state == RecordState::Unknown)
        record.state = RecordState::Unknown;
    if (record.claims.size() > maxClaimsPerRecord) {
        record.claims.resize(maxClaimsPerRecord);
        record.state = RecordState::Unknown;
    }
    return true;
}

void IdempotencyRecords::expire(TimePoint now)
{
    while (!m_expiry.empty() && m_expiry.begin()->first <= now)
        erase(m_records.find(*m_expiry.begin()->second));
}

void IdempotencyRecords::startTransfers(const KeeperView& sources, TimePoint firstRequestAt)
{
    if (!m_view->contains(m_options.self))
        return;
    for (const KeeperHost& source : sources.hosts) {
        if (source.host == m_options.self)
            continue;
        restartTransfer(m_transfers[source.host], firstRequestAt);
    }
}

void IdempotencyRecords::requestChunk(const HostId& host, Transfer& transfer, TimePoint now)
{
    transfer.nextRequestAt = now + m_options.transferRetry;
    TransferPurpose purpose = m_recovery == Recovery::Restart ? TransferPurpose::Restart : TransferPurpose::NewEpoch;
    send(host, TransferRequest { m_view->epoch, purpose, transfer.number, transfer.afterKey });
}

void IdempotencyRecords::restartTransfer(Transfer& transfer, TimePoint firstRequestAt)
{
    transfer.number = m_nextTransfer++;
    transfer.afterKey.clear();
    transfer.newGaps.clear();
    transfer.nextRequestAt = firstRequestAt;
}

void IdempotencyRecords::send(const HostId& to, ClaimMessage message)
{
    m_outputs.push_back({ to, std::move(message) });
}

} // namespace dragonflylane
