#include "dragonflylane/Daemon.h"

#include "dragonflylane/ApiTask.h"
#include "dragonflylane/BodyBudget.h"
#include "dragonflylane/ClaimTask.h"
#include "dragonflylane/CrashSyncTask.h"
#include "dragonflylane/CrashTask.h"
#include "dragonflylane/DepartureTask.h"
#include "dragonflylane/Digest.h"
#include "dragonflylane/EntryTask.h"
#include "dragonflylane/Event.h"
#include "dragonflylane/Frame.h"
#include "dragonflylane/GuardedRun.h"
#include "dragonflylane/HttpExchange.h"
#include "dragonflylane/HttpFraming.h"
#include "dragonflylane/HttpServer.h"
#include "dragonflylane/Journal.h"
#include "dragonflylane/KeeperPlanner.h"
#include "dragonflylane/LogTask.h"
#include "dragonflylane/MembershipTask.h"
#include "dragonflylane/MeshSecret.h"
#include "dragonflylane/Metrics.h"
#include "dragonflylane/OwnerTask.h"
#include "dragonflylane/PeerHub.h"
#include "dragonflylane/QuarantineTask.h"
#include "dragonflylane/QuotaTask.h"
#include "dragonflylane/RelayTask.h"
#include "dragonflylane/RolloutRecorder.h"
#include "dragonflylane/RolloutTask.h"
#include "dragonflylane/RoutingTableTask.h"
#include "dragonflylane/ShutdownSchedule.h"
#include "dragonflylane/TreePosition.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <iterator>
#include <random>

namespace dragonflylane {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds drainPollInterval { 20 };
    constexpr std::chrono::seconds keeperCheckInterval { 1 };
    // A control host also accepts the children of two control hosts that have failed.
    constexpr size_t maxControlChildren = TreeOptions().controlChildren * 5 / 2;
    // The network link of a control host can send this many snapshots in the time that a child's link takes for one.
    constexpr size_t maxControlSnapshotsInFlight = 32;
    // Upper bound of the request body at the API, for a complete configuration document.
    constexpr uint64_t maxDocumentBytes = 8 << 20;
    // After the listener has closed, requests that were sent before still arrive within this time.
    constexpr std::chrono::milliseconds listenerCloseGrace { 100 };
    // With ranked admission, owners refuse calls that would be queued for too long, so the nearest data centre may be
    // loaded above its slots before calls go to others.
    constexpr double rankedAdmissionSpillLoad = 1.25;
    // Share of the mesh-wide retry budget that the daemons use. The rest is a margin, because each daemon computes its
    // part with its own clock and its own member list.
    constexpr double retryBudgetShare = 0.8;
    // A daemon whose configuration was proven longer ago may have missed the roll-back of a version. Three heartbeats
    // of the distribution tree.
    constexpr std::chrono::milliseconds maxConfigAge { 1500 };

    uint64_t randomNumber()
    {
        std::random_device device;
        return (static_cast<uint64_t>(device()) << 32) | device();
    }

    std::string loadSecret(const Settings& settings, std::error_code& error)
    {
        std::string secret;
        if (!settings.secretFile.empty())
            error = MeshSecret::readFile(settings.secretFile, secret);
        return secret;
    }

} // namespace

class Daemon::Impl {
public:
    explicit Impl(DaemonOptions options)
        : m_options(std::move(options))
        , m_settings(m_options.settings)
        , m_bootId(randomNumber())
        , m_journal(m_settings.hostId.value())
        , m_secret(m_settings.meshId, loadSecret(m_settings, m_secretFileError))
        , m_signals(m_context, SIGTERM, SIGINT)
        , m_reloadSignal(m_context, SIGHUP)
        , m_drainTimer(m_context)
        , m_keeperTimer(m_context)
        , m_treeIndex(m_settings.hostId)
        , m_bodyBudget(m_settings.bodyMemoryBytes)
        , m_hub(m_context,
              { .meshId = m_settings.meshId,
                  .self = m_settings.hostId,
                  .listen = m_settings.peer,
                  .linkBytesPerSecond = m_settings.linkBytesPerSecond,
                  .bodies = &m_bodyBudget },
              m_secret, m_metrics)
        , m_crash(
              {}, [this](std::string payload) { return m_membership->broadcast(std::move(payload)); }, m_metrics,
              m_journal)
        , m_crashSync(m_context, m_crash, m_hub, m_metrics, [this](size_t count) { return randomPeers(count); })
        , m_claims(m_context, m_settings.hostId, m_bootId, m_hub, m_metrics, [this] { return configProvenAt(); })
        , m_owner(m_context,
              { .self = m_settings.hostId,
                  .headerNames = m_options.headerNames,
                  .maxBodyBytes = maxBodyBytes(),
                  .acceptsCloseDelimitedResponses = m_options.acceptsCloseDelimitedResponses,
                  .bodies = &m_bodyBudget,
                  .usesRankedAdmission = m_settings.usesRankedAdmission,
                  .pacesUpstream = m_settings.pacesUpstream,
                  .reportsSpeed = m_settings.usesUpstreamSpeeds,
                  .ordersNestedCalls = m_settings.ordersNestedCalls,
                  .throttlesNestedCalls = m_settings.throttlesNestedCalls,
                  .upstreamDrainTime = upstreamDrainTime() },
              m_hub.pacer(), m_crash, m_metrics, m_journal,
              { .publishUpstream
                  = [this](std::optional<UpstreamRecord> record) { m_membership->setUpstream(std::move(record)); },
                  .knownIncarnation = [this](const UpstreamId& id) { return knownIncarnation(id); },
                  .hostGeneration = [this] { return hostGeneration(); },
                  .areDeparturesKnown = [this] { return m_departures->isInformed(); },
                  .recordDeparture =
                      [this](const DepartedProcess& departed, OwnerTask::Acknowledge acknowledge) {
                          m_departures->record(departed, std::move(acknowledge));
                      } })
        , m_rollouts(m_settings.hostId, m_bootId)
        , m_routing(
              m_context, [this](const auto& routingTable) { applyRoutingTable(routingTable); },
              [this](const UpstreamConflict& conflict) { logUpstreamConflict(conflict); })
    {
        makeMembership();
        makeLog();
        makeDepartures();
        makeRelay();
        makeQuota();
        makeEntry();
        m_rolloutTask = std::make_unique<RolloutTask>(m_context, m_settings.hostId, m_hub, m_rollouts, m_log.get(),
            m_metrics, RolloutTask::Hooks { .controlHosts = [this] { return controlHosts(); } });
    }

    std::error_code start(std::string& detail)
    {
        if (m_secretFileError) {
            detail = m_settings.secretFile + ": " + m_secretFileError.message();
            return m_secretFileError;
        }
        Operators operators;
        if (!m_settings.operatorsFile.empty()) {
            if (auto error = Operators::readFile(m_settings.operatorsFile, operators, detail))
                return error;
        }
        for (const auto& [host, endpoint] : m_settings.voters)
            m_hub.setAddress(host, endpoint);
        makeApi(std::move(operators));
        m_entry->start();
        m_quota->start();
        m_claims.start();
        m_crashSync.start();
        m_rolloutTask->start();
        m_api->start();
        if (auto error = describeListenError(m_hub.start(), m_settings.peer, detail))
            return error;
        if (auto error = describeListenError(m_membership->start(seeds()), m_settings.peer, detail))
            return error;
        if (m_log) {
            if (auto error = m_log->start(m_settings.dataFolder, detail))
                return error;
        }
        if (m_quarantine)
            m_quarantine->start();
        m_departures->start();
        m_relay->start();
        // Membership reports changes only, so the initial record of this host is passed here. Without it, the tree
        // index would keep this host at level 1 with the control hosts as its only candidates.
        memberChanged(m_settings.hostId, m_membership->view().members().at(m_settings.hostId));
        updatePosition();
        if (m_settings.callers.isSet()) {
            if (auto error = describeListenError(m_callerServer->start(), m_settings.callers, detail))
                return error;
        }
        for (const auto& server : m_apiServers) {
            if (auto error = describeListenError(server->start(), server->endpoint(), detail))
                return error;
        }
        return {};
    }

    int run()
    {
        Event("daemon_started")
            .with("host", m_settings.hostId)
            .with("callers", m_settings.callers.toString())
            .with("peer", m_settings.peer.toString())
            .with("api", m_settings.api.toString())
            .with("control", static_cast<int>(m_settings.isControl()))
            .with("upstream_drain_ms", upstreamDrainTime().count())
            .with("largest_body_bytes", largestBody(maxBodyBytes(), &m_bodyBudget));
        m_signals.async_wait([this](boost::system::error_code error, int signal) {
            if (!error)
                leave(signal);
        });
        if (m_log && m_settings.usesIdempotencyRecords)
            scheduleKeeperCheck();
        awaitReload();
        runGuarded(
            m_context, { .caught = [this](const std::exception& exception) { logUnexpectedException(exception); } });
        Event("daemon_stopped").with("host", m_settings.hostId).with("exit_code", m_exitCode);
        return m_exitCode;
    }

private:
    // ---- Construction ----

    // A larger body does not fit into a frame between daemons, so it is refused at once.
    uint64_t maxBodyBytes() const { return std::min<uint64_t>(m_settings.maxBodyBytes, maxForwardedBodyBytes); }

    std::chrono::milliseconds upstreamDrainTime() const
    {
        return m_options.upstreamDrainTime.value_or(m_settings.upstreamDrainTime);
    }

    void makeMembership()
    {
        MemberRecord self { .host = m_settings.hostId,
            .address = m_settings.peer,
            .dataCentre = m_settings.dataCentre,
            .region = m_settings.region,
            .bootId = BootId(m_bootId),
            .controlRole = m_settings.isControl() ? ControlRole::Voter : ControlRole::None };
        m_membership = std::make_unique<MembershipTask>(m_context, MembershipOptions { .seed = m_bootId },
            std::move(self), m_secret, m_metrics,
            MembershipTask::Hooks {
                .memberChanged = [this](const HostId& host, const auto& record) { memberChanged(host, record); },
                .broadcastReceived = [this](const HostId&, std::string_view payload) { m_crash.receive(payload); },
                .earlierRecordFound = [this](const MemberRecord& record) { adoptEarlierRecord(record); } });
    }

    void makeLog()
    {
        if (!m_settings.isControl())
            return;
        LogReplicaOptions options { .self = m_settings.hostId, .seed = m_bootId };
        options.electionTimeoutMin = m_settings.electionTimeout;
        options.electionTimeoutMax = m_settings.electionTimeout * 5 / 3;
        options.automaticVoters = m_settings.hasAutomaticVoters;
        options.targetVoters = 2 * m_settings.toleratedLosses + 1;
        options.canBootstrap = m_settings.canBootstrap;
        options.bootstrapHostCount = m_settings.seeds.size();
        for (const auto& [host, endpoint] : m_settings.voters)
            options.controlHosts.push_back(host);
        m_log = std::make_unique<LogTask>(m_context, std::move(options), m_hub, m_metrics, m_journal,
            LogTask::Hooks { .committed
                = [this](const PlanStateMachine& stateMachine, Term term) { applyCommitted(stateMachine, term); },
                .proved = [this](std::optional<TimePoint> proof) { updateProof(proof); },
                .failed = [this](std::error_code error) { stopOnStorageFailure(error); } });
    }

    void makeDepartures()
    {
        if (m_log)
            m_quarantine = std::make_unique<QuarantineTask>(m_context, *m_log, m_crash);
        m_departures = std::make_unique<DepartureTask>(m_context, m_settings.hostId, BootId(m_bootId), m_hub,
            m_log.get(), m_metrics,
            DepartureTask::Hooks { .controlHosts = [this] { return nearestControlHosts(); },
                .recorded
                = [this](const std::vector<DepartedProcess>& departures) { m_owner.adoptDepartures(departures); },
                .quarantined = [this] { return m_quarantine->quarantined(); },
                .quarantineKnown =
                    [this](const std::vector<CrashRecord>& records) {
                        for (const CrashRecord& record : records)
                            m_crash.merge(record);
                    },
                .answerTimedOut = [this] { m_owner.applyHeldAnnouncement(); } });
    }

    void makeRelay()
    {
        RelayOptions options { .self = m_settings.hostId, .isControl = m_settings.isControl(), .seed = m_bootId };
        if (options.isControl) {
            options.maxChildren = maxControlChildren;
            options.maxSnapshotsInFlight = maxControlSnapshotsInFlight;
        }
        m_relay = std::make_unique<RelayTask>(m_context, std::move(options), m_log ? &m_log->stateMachine() : nullptr,
            m_hub, m_metrics, m_journal,
            RelayTask::Hooks { .applied = [this](const ConfigState& state) { applyConfig(state); } });
    }

    void makeQuota()
    {
        m_quota = std::make_unique<QuotaTask>(m_context,
            QuotaTaskOptions { .self = m_settings.hostId,
                .life = BootId(m_bootId),
                .window = m_settings.allotmentWindow,
                .tolerance = { m_settings.allotmentOverage, m_settings.allotmentSlack } },
            m_hub, m_metrics,
            QuotaTask::Hooks { .leadingTerm = [this] { return leadingTerm(); },
                .knownLeader = [this] { return m_log ? m_log->replica().leader().host : HostId(); } });
        std::vector<HostId> controlHosts;
        for (const auto& [host, endpoint] : m_settings.voters)
            controlHosts.push_back(host);
        m_quota->setControlHosts(std::move(controlHosts));
    }

    // Term of the replicated log if this host leads it and its lease holds.
    std::optional<Term> leadingTerm() const
    {
        if (!m_log || !m_log->isLeading(BootClock::now()))
            return std::nullopt;
        return m_log->replica().term();
    }

    void makeEntry()
    {
        EntryTaskOptions options { .self = m_settings.hostId,
            .dataCentre = m_settings.dataCentre,
            .region = m_settings.region,
            .bootId = m_bootId,
            .defaultTimeout = m_settings.defaultTimeout,
            .headerNames = m_options.headerNames,
            .service = m_settings.service,
            .isHedging = m_settings.isHedging,
            .usesIdempotencyRecords = m_settings.usesIdempotencyRecords };
        options.usesUpstreamSpeeds = m_settings.usesUpstreamSpeeds;
        if (m_settings.usesRankedAdmission)
            options.spillLoad = rankedAdmissionSpillLoad;
        options.retryBudget.perSuccess = m_settings.retryRatio;
        options.retryBudget.window = m_settings.retryWindow;
        options.retryBudget.ratio = m_settings.retryRatio * retryBudgetShare;
        m_entry = std::make_unique<EntryTask>(m_context, std::move(options),
            EntryTask::Parts { m_hub, m_owner, m_claims, m_crash, m_metrics, m_journal, m_rollouts },
            EntryTask::Hooks { .mayServeRoutes = [this] { return mayServeRoutes(); },
                .selectTransferPeer = [this](const std::vector<HostId>& tried) { return selectTransferPeer(tried); },
                .isConfigRecent = [this] { return isConfigRecent(); },
                .admitTenant = [this](const TenantName& tenant, Duration maxWait,
                                   QuotaTask::Answer answer) { m_quota->admit(tenant, maxWait, std::move(answer)); } });
        m_callerServer = std::make_unique<HttpServer>(m_context, callerServerOptions(), m_metrics,
            [this](std::shared_ptr<HttpExchange> exchange) { m_entry->handle(std::move(exchange)); });
    }

    HttpServerOptions callerServerOptions()
    {
        return { .listen = m_settings.callers,
            .maxConnections = m_settings.maxConnections,
            .maxBodyBytes = maxBodyBytes(),
            .bodies = &m_bodyBudget };
    }

    void makeApi(Operators operators)
    {
        m_api = std::make_unique<ApiTask>(m_context,
            ApiParts { m_settings, m_hub, m_metrics, m_journal, *m_membership, *m_relay, m_routing, m_owner, m_claims,
                m_crash, *m_quota, m_log.get(), m_quarantine.get(),
                [this] {
                    logReadinessChange();
                    return m_isReady;
                } },
            std::move(operators), m_options.platformApiHandler);
        constexpr size_t maxApiConnections = 64;
        for (const Endpoint& endpoint : { m_settings.api, m_settings.readiness, m_settings.metrics }) {
            if (!endpoint.isSet())
                continue;
            HttpServerOptions options {
                .listen = endpoint, .maxConnections = maxApiConnections, .maxBodyBytes = maxDocumentBytes
            };
            m_apiServers.push_back(std::make_unique<HttpServer>(m_context, options, m_metrics,
                [this](const std::shared_ptr<HttpExchange>& exchange) { m_api->handle(exchange); }));
        }
    }

    std::vector<Endpoint> seeds() const
    {
        std::vector<Endpoint> seeds = m_settings.seeds;
        for (const auto& [host, endpoint] : m_settings.voters)
            seeds.push_back(endpoint);
        return seeds;
    }

    // Returns the error; if there is one, sets `detail` to the address and the reason.
    static std::error_code describeListenError(std::error_code error, const Endpoint& endpoint, std::string& detail)
    {
        if (error)
            detail = endpoint.toString() + ": " + error.message();
        return error;
    }

    // ---- Events between components ----

    void memberChanged(const HostId& host, const std::optional<MemberRecord>& record)
    {
        m_routing.setMember(host, record);
        bool isPresent = record && record->isPresent();
        if (isPresent && host != m_settings.hostId)
            m_hub.setAddress(host, record->address);
        bool isPositionChanged = isPresent ? m_treeIndex.update({ .host = host,
                                     .dataCentre = record->dataCentre,
                                     .region = record->region,
                                     .isControl = record->controlRole != ControlRole::None })
                                           : m_treeIndex.remove(host);
        if (isPositionChanged)
            updatePosition();
        if (m_settings.hasAutomaticVoters)
            updateControlHost(host, isPresent && record->controlRole != ControlRole::None ? record : std::nullopt);
        // With automatic voters, hosts with a replica of the log have no callers.
        if (!m_settings.hasAutomaticVoters || !record || record->controlRole == ControlRole::None)
            m_quota->setHost(host, isPresent);
        updateRetrySlack();
        logReadinessChange();
        if (!isPresent)
            Event("member_gone").with("host", host).with("state", record ? name(record->state) : "forgotten");
    }

    void adoptEarlierRecord(const MemberRecord& record)
    {
        m_departures->earlierRecordFound();
        if (record.upstream)
            m_owner.adoptEarlierRecord(*record.upstream);
    }

    void updateControlHost(const HostId& host, const std::optional<MemberRecord>& record)
    {
        auto known = m_controlHosts.find(host);
        bool isSame = record ? known != m_controlHosts.end() && known->second == record->address
                             : known == m_controlHosts.end();
        if (isSame)
            return;
        if (record)
            m_controlHosts[host] = record->address;
        else
            m_controlHosts.erase(host);
        publishControlHosts();
    }

    // Only control hosts that are seeds may bootstrap the replicated log at the first start of the mesh, because the
    // seeds are the same on all hosts.
    void publishControlHosts()
    {
        std::vector<HostId> hosts;
        std::vector<HostId> bootstrapHosts;
        for (const auto& [host, address] : m_controlHosts) {
            hosts.push_back(host);
            if (std::find(m_settings.seeds.begin(), m_settings.seeds.end(), address) != m_settings.seeds.end())
                bootstrapHosts.push_back(host);
        }
        m_quota->setControlHosts(hosts);
        if (m_log)
            m_log->setControlHosts(std::move(hosts), std::move(bootstrapHosts));
    }

    // The retry slack is divided evenly among the daemons that serve callers.
    void updateRetrySlack()
    {
        if (m_settings.retryWindow.count() == 0 || !m_membership->view().isJoined())
            return;
        const auto& members = m_membership->view().members();
        auto entryDaemons = std::count_if(members.begin(), members.end(),
            [](const auto& item) { return item.second.isPresent() && item.second.controlRole == ControlRole::None; });
        double share
            = m_settings.retrySlack * retryBudgetShare / static_cast<double>(std::max<int64_t>(entryDaemons, 1));
        m_entry->setRetrySlack(share);
    }

    void updatePosition()
    {
        TreePosition position = m_treeIndex.position();
        // Until the members are known, the control hosts named in the settings are the only candidates.
        if (position.candidates.empty()) {
            for (const auto& [host, endpoint] : m_settings.voters)
                position.candidates.push_back({ .host = host, .isControl = true });
            position.level = 1;
        }
        if (m_relay && !m_settings.isControl())
            m_relay->setPosition(position);
    }

    void applyCommitted(const PlanStateMachine& stateMachine, Term term)
    {
        if (m_relay)
            m_relay->setLocal(stateMachine.state(), term);
        applyConfig(stateMachine.state());
    }

    void updateProof(std::optional<TimePoint> proof)
    {
        if (m_relay)
            m_relay->setProof(proof);
        updateKeeperView();
    }

    void applyConfig(const ConfigState& state)
    {
        if (state.revision() == m_appliedRevision && state.digest() == m_appliedDigest)
            return;
        m_appliedRevision = state.revision();
        m_appliedDigest = state.digest();
        Event("revision_applied").with("revision", state.revision()).with("digest", state.digest().toString());
        m_routing.setState(state);
        m_rolloutTask->setState(state);
        applyCallerLimits(state.meshPolicy());
    }

    // The limits of the configuration hold within those that protect the memory of this host.
    void applyCallerLimits(const MeshPolicyItem* policy)
    {
        MeshPolicyItem current = policy ? *policy : MeshPolicyItem();
        if (m_callerPolicy == current)
            return;
        m_callerPolicy = current;
        HttpServerOptions options = callerServerOptions();
        if (policy && policy->maxHeaderBytes > 0)
            options.maxHeaderBytes = std::min(policy->maxHeaderBytes, maxHeadBytes);
        if (policy && policy->maxBodyBytes > 0)
            options.maxBodyBytes = std::min(policy->maxBodyBytes, options.maxBodyBytes);
        if (policy && policy->headerTimeout.count() > 0)
            options.headerTimeout = policy->headerTimeout;
        if (policy && policy->idleTimeout.count() > 0)
            options.idleTimeout = policy->idleTimeout;
        bool isReduced = policy
            && (policy->maxHeaderBytes > options.maxHeaderBytes || policy->maxBodyBytes > options.maxBodyBytes);
        Event("caller_limits", isReduced ? EventLevel::Warning : EventLevel::Info)
            .with("header_bytes", options.maxHeaderBytes)
            .with("body_bytes", options.maxBodyBytes)
            .with("header_ms", std::chrono::duration_cast<std::chrono::milliseconds>(options.headerTimeout).count())
            .with("idle_ms", std::chrono::duration_cast<std::chrono::milliseconds>(options.idleTimeout).count())
            .with("reduced", static_cast<int>(isReduced));
        m_callerServer->setLimits(options);
    }

    void applyRoutingTable(const std::shared_ptr<const RoutingTable>& routingTable)
    {
        m_entry->setRoutingTable(routingTable);
        m_quota->setRoutingTable(*routingTable);
        m_owner.setPlannedDrain([this](const UpstreamId& id) { return m_relay->state().isDrained(id); });
        updateKeeperView();
    }

    // The keeper view may be used only once a proof obtained since the start of this process shows that the
    // configuration is current.
    void updateKeeperView()
    {
        if (!m_entry || !isProvenCurrent())
            return;
        const KeeperViewItem* item = m_relay->state().keeperView();
        if (!item)
            return m_claims.setNoView();
        if (item->epoch != m_keeperEpoch) {
            m_keeperEpoch = item->epoch;
            m_claims.setView({ .epoch = item->epoch, .hosts = item->hosts });
        }
    }

    // Returns the latest time at which the relay's state was known to be current. The keeper view of that state is
    // applied first, so that the claims don't combine this time with an older view.
    std::optional<TimePoint> configProvenAt()
    {
        if (!m_relay)
            return std::nullopt;
        updateKeeperView();
        return m_relay->relay().provenAt();
    }

    bool isConfigRecent() const
    {
        auto provenAt = m_relay->relay().provenAt();
        return provenAt && BootClock::now() - *provenAt <= maxConfigAge;
    }

    std::vector<HostId> controlHosts() const
    {
        std::vector<HostId> hosts;
        for (const auto& [host, endpoint] : m_settings.hasAutomaticVoters ? m_controlHosts : m_settings.voters)
            hosts.push_back(host);
        return hosts;
    }

    // The candidates for the parent in the distribution tree first, since there is a link to one of them.
    std::vector<HostId> nearestControlHosts()
    {
        std::vector<HostId> others = controlHosts();
        std::erase(others, m_settings.hostId);
        std::vector<HostId> hosts;
        for (const ParentCandidate& candidate : m_treeIndex.position().candidates) {
            if (std::erase(others, candidate.host) > 0)
                hosts.push_back(candidate.host);
        }
        hosts.insert(hosts.end(), others.begin(), others.end());
        return hosts;
    }

    void logUpstreamConflict(const UpstreamConflict& conflict)
    {
        m_metrics.add("upstream_id_conflicts");
        Event("upstream_id_conflict", EventLevel::Warning)
            .with("upstream", conflict.id)
            .with("used", conflict.used)
            .with("ignored", conflict.ignored);
    }

    void stopOnStorageFailure(std::error_code error)
    {
        Event("storage_failed", EventLevel::Error).with("reason", error);
        m_exitCode = exitCode(ResultCode::StorageFailed);
        m_context.stop();
    }

    void logUnexpectedException(const std::exception& exception)
    {
        m_metrics.add("unexpected_errors");
        Event("unexpected_error", EventLevel::Error).with("reason", exception.what());
    }

    bool isProvenCurrent() const { return m_relay->relay().isProvenCurrent(); }

    // Logs each change: when calls are refused, operators first need to see whether the daemon was ready.
    void logReadinessChange()
    {
        bool isReady = !m_isLeaving && mayServeRoutes();
        if (isReady == m_isReady)
            return;
        m_isReady = isReady;
        Event(isReady ? "daemon_ready" : "daemon_not_ready")
            .with("has_floor", static_cast<int>(isProvenCurrent()))
            .with("joined", static_cast<int>(m_membership->view().isJoined()))
            .with("members", m_membership->view().presentCount())
            .with("revision", m_appliedRevision);
    }

    // Until the members are known, no upstream is known either, so calls could not be routed.
    // The others are asked for the requests that crash upstreams, which must not pass because this process is new.
    bool mayServeRoutes()
    {
        if (!m_membership->view().isJoined())
            return false;
        m_crashSync.join();
        return isProvenCurrent() && m_crashSync.isSynchronised();
    }

    std::vector<HostId> randomPeers(size_t count)
    {
        std::vector<HostId> present;
        for (const auto& [host, record] : m_membership->view().members()) {
            if (record.isPresent() && host != m_settings.hostId)
                present.push_back(host);
        }
        std::vector<HostId> chosen;
        std::sample(present.begin(), present.end(), std::back_inserter(chosen), count, m_random);
        return chosen;
    }

    // Prefers a live member of the own data centre, then a live member elsewhere. Without either, selects a control
    // host named in the settings.
    HostId selectTransferPeer(const std::vector<HostId>& tried) const
    {
        HostId best;
        for (const auto& [host, endpoint] : m_settings.voters) {
            bool isTried = std::find(tried.begin(), tried.end(), host) != tried.end();
            if (!isTried && host != m_settings.hostId)
                best = host;
        }
        for (const auto& [host, record] : m_membership->view().members()) {
            bool isTried = std::find(tried.begin(), tried.end(), host) != tried.end();
            if (record.state != MemberState::Alive || isTried || host == m_settings.hostId)
                continue;
            if (m_settings.hasAutomaticVoters && record.controlRole != ControlRole::None)
                continue;
            bool isNear = record.dataCentre == m_settings.dataCentre;
            if (best.isEmpty() || isNear || m_settings.voters.contains(best))
                best = host;
            if (isNear)
                break;
        }
        return best;
    }

    Incarnation knownIncarnation(const UpstreamId& id) const
    {
        Incarnation highest;
        for (const auto& [host, record] : m_membership->view().members()) {
            if (record.upstream && record.upstream->id == id)
                highest = std::max(highest, record.upstream->incarnation);
        }
        return highest;
    }

    // Changes only after a membership record of an earlier process of this daemon was seen, to this host's incarnation
    // at the next call. Refuting a suspicion raises the incarnation too, but is not a restart.
    uint64_t hostGeneration()
    {
        uint64_t raised = m_membership->view().counters().incarnationsRaised;
        if (raised != m_incarnationsRaised) {
            m_incarnationsRaised = raised;
            m_hostGeneration = m_membership->view().self().incarnation.value();
        }
        return m_hostGeneration;
    }

    // ---- Keeper view, maintained by the leader of the log ----

    void scheduleKeeperCheck()
    {
        m_keeperTimer.expires_after(keeperCheckInterval);
        m_keeperTimer.async_wait([this](boost::system::error_code error) {
            if (error || m_isLeaving)
                return;
            checkKeepers();
            scheduleKeeperCheck();
        });
    }

    void checkKeepers()
    {
        TimePoint now = BootClock::now();
        if (!leadingTerm())
            return m_keeperPlanner.reset();
        auto view = m_keeperPlanner.proposeView(
            m_membership->view().members(), m_log->stateMachine().state().keeperView(), now);
        if (!view)
            return;
        Event("keeper_view_proposed").with("epoch", view->epoch).with("hosts", view->hosts.size());
        m_log->submit(SetKeepersCommand { view->epoch, view->hosts }, [](std::error_code, const ApplyOutcome&) {});
    }

    // ---- Shutdown ----

    // Callers and peers learn of the shutdown at different times. The daemon goes on serving at first, then announces
    // that its upstream accepts no new requests, then refuses calls of peers. It exits when the callers have had time
    // to react and nothing is in flight, or at the time limit.
    void leave(int signal)
    {
        Event("daemon_leaving").with("signal", signal);
        m_isLeaving = true;
        m_leaveStartedAt = BootClock::now();
        m_shutdownSchedule = ShutdownSchedule({ .limit = m_settings.drainTimeout, .notice = m_settings.leaveNotice });
        m_entry->leave(m_leaveStartedAt + m_shutdownSchedule->abortAt);
        m_relay->leave();
        m_callerServer->closeAfterResponses();
        pollDrained();
    }

    void pollDrained()
    {
        Duration elapsed = BootClock::now() - m_leaveStartedAt;
        if (elapsed >= m_shutdownSchedule->refuseRequestsAt)
            m_owner.refuseNewCalls();
        else if (elapsed >= m_shutdownSchedule->announceDrainAt)
            m_owner.unpublishUpstream();
        bool isDone = elapsed >= m_shutdownSchedule->exitWhenIdleAt && m_entry->isIdle() && m_owner.isIdle()
            && m_callerServer->inFlight() == 0 && m_relay->relay().hasLeft();
        bool isOverdue = !isDone && elapsed >= m_shutdownSchedule->abortAt;
        bool isAborting = isOverdue && !std::exchange(m_hasAborted, true);
        if (isAborting)
            abortRequests();
        if (isAborting || (isDone && !m_isClosing))
            return closeListener();
        bool isAnswered = m_hasAborted && m_callerServer->inFlight() == 0;
        if (isDone || isAnswered || elapsed >= m_shutdownSchedule->exitAt)
            return stop(!m_hasAborted);
        scheduleDrainPoll(drainPollInterval);
    }

    // The entry daemons of the requests at this owner learn their outcome here, or that it is unknown when their
    // connection to this daemon is closed.
    void abortRequests()
    {
        Event("requests_aborted", EventLevel::Warning).with("connections", m_callerServer->inFlight());
        m_owner.refuseQueuedCalls();
        m_entry->abort();
    }

    // Requests that were sent before the listener closed are still answered.
    void closeListener()
    {
        m_isClosing = true;
        m_membership->leave();
        m_callerServer->stop();
        m_callerServer->closeIdle();
        scheduleDrainPoll(listenerCloseGrace);
    }

    void scheduleDrainPoll(Duration delay)
    {
        m_drainTimer.expires_after(delay);
        m_drainTimer.async_wait([this](boost::system::error_code) { pollDrained(); });
    }

    void stop(bool isDone)
    {
        m_membership->leave();
        m_callerServer->closeIdle();
        Event("daemon_drained").with("complete", static_cast<int>(isDone));
        if (m_log)
            m_log->stop();
        if (m_quarantine)
            m_quarantine->stop();
        m_departures->stop();
        m_relay->stop();
        m_claims.stop();
        m_crashSync.stop();
        m_rolloutTask->stop();
        m_quota->stop();
        m_membership->stop();
        m_context.stop();
    }

    // ---- Reload ----

    void awaitReload()
    {
        m_reloadSignal.async_wait([this](boost::system::error_code error, int) {
            if (error)
                return;
            reload();
            awaitReload();
        });
    }

    // Applies the settings that may change at runtime: seeds, log level and retry slack.
    void reload()
    {
        Settings changed;
        SettingsError error = m_options.reloadSettings ? m_options.reloadSettings(changed) : SettingsError {};
        if (!m_options.reloadSettings || error.code != ResultCode::Ok) {
            Event("settings_kept", EventLevel::Warning).with("code", name(error.code)).with("detail", error.text);
            return;
        }
        bool hasNewSeeds = changed.seeds != m_settings.seeds;
        m_settings.seeds = changed.seeds;
        m_settings.retrySlack = changed.retrySlack;
        setLogLevel(changed.logLevel);
        if (hasNewSeeds)
            m_membership->setSeeds(seeds());
        updateRetrySlack();
        Event("settings_reloaded").with("new_seeds", static_cast<int>(hasNewSeeds));
    }

    asio::io_context m_context { 1 };
    const DaemonOptions m_options;
    Settings m_settings;
    uint64_t m_bootId;
    Metrics m_metrics;
    Journal m_journal;
    std::error_code m_secretFileError;
    MeshSecret m_secret;
    asio::signal_set m_signals;
    asio::signal_set m_reloadSignal;
    asio::steady_timer m_drainTimer;
    asio::steady_timer m_keeperTimer;
    TreeIndex m_treeIndex;
    BodyBudget m_bodyBudget;
    PeerHub m_hub;
    std::unique_ptr<MembershipTask> m_membership;
    CrashTask m_crash;
    CrashSyncTask m_crashSync;
    ClaimTask m_claims;
    OwnerTask m_owner;
    RolloutRecorder m_rollouts;
    RoutingTableTask m_routing;
    std::unique_ptr<LogTask> m_log;
    std::unique_ptr<QuarantineTask> m_quarantine;
    std::unique_ptr<DepartureTask> m_departures;
    std::unique_ptr<RelayTask> m_relay;
    std::unique_ptr<QuotaTask> m_quota;
    std::unique_ptr<EntryTask> m_entry;
    std::unique_ptr<RolloutTask> m_rolloutTask;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<ApiTask> m_api;
    std::vector<std::unique_ptr<HttpServer>> m_apiServers;
    KeeperPlanner m_keeperPlanner;

    Revision m_appliedRevision;
    Digest m_appliedDigest;
    Epoch m_keeperEpoch;
    /// The policy whose limits apply to callers; empty before the first configuration.
    std::optional<MeshPolicyItem> m_callerPolicy;
    uint64_t m_incarnationsRaised { 0 };
    uint64_t m_hostGeneration { 0 };
    std::mt19937_64 m_random { m_bootId };
    /// Addresses of the control hosts that are alive or suspect. Used with automatic voters only.
    std::map<HostId, Endpoint> m_controlHosts;
    bool m_isReady { false };
    bool m_isLeaving { false };
    bool m_isClosing { false };
    bool m_hasAborted { false };
    std::optional<ShutdownSchedule> m_shutdownSchedule;
    TimePoint m_leaveStartedAt;
    int m_exitCode { 0 };
};

Daemon::Daemon(DaemonOptions options)
    : m_impl(std::make_unique<Impl>(std::move(options)))
{
}

Daemon::~Daemon() = default;

std::error_code Daemon::start(std::string& detail)
{
    return m_impl->start(detail);
}

int Daemon::run()
{
    return m_impl->run();
}

} // namespace dragonflylane
