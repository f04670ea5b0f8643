#include "dragonflylane/ApiTask.h"

#include "dragonflylane/ApiRequest.h"
#include "dragonflylane/ClaimTask.h"
#include "dragonflylane/CrashTask.h"
#include "dragonflylane/Event.h"
#include "dragonflylane/HttpExchange.h"
#include "dragonflylane/Journal.h"
#include "dragonflylane/LogTask.h"
#include "dragonflylane/MembershipTask.h"
#include "dragonflylane/Metrics.h"
#include "dragonflylane/OwnerTask.h"
#include "dragonflylane/PlanJson.h"
#include "dragonflylane/PlanReview.h"
#include "dragonflylane/QuarantineTask.h"
#include "dragonflylane/QuotaTask.h"
#include "dragonflylane/RelayTask.h"
#include "dragonflylane/RolloutJson.h"
#include "dragonflylane/RoutingTableTask.h"
#include "dragonflylane/StatusJson.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <charconv>

namespace dragonflylane {

namespace json = boost::json;

namespace {

    // Forwarded requests name the operator that the receiving daemon authenticated.
    constexpr const char* operatorHeader = "Dragonflylane-Operator";
    constexpr const char* planHeader = "Dragonflylane-Plan";
    // Maximum number of daemons whose journals one explain request reads.
    constexpr size_t maxHostsToQuery = 64;
    // Number of times the request was forwarded.
    constexpr const char* forwardsHeader = "Dragonflylane-Forwards";
    // A healthy leader responds within milliseconds; a paused one must not block the command.
    constexpr std::chrono::milliseconds leaderTimeout { 1500 };
    // Longer than an election, so that a command survives a change of leader.
    constexpr std::chrono::seconds leaderRetryTimeout { 4 };
    constexpr std::chrono::milliseconds leaderRetryInterval { 100 };
    // Shorter than the time after which a platform's operator tries another host.
    constexpr std::chrono::milliseconds leaderLookupTimeout { 700 };

    // Operator name recorded for requests from a trusted network, which carry no token.
    constexpr const char* trustedOperator = "trusted-network";

    bool parseNumber(std::string_view text, uint64_t& value)
    {
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        return error == std::errc() && end == text.data() + text.size();
    }

    std::optional<UpstreamPhase> parsePhase(std::string_view text)
    {
        for (auto phase :
            { UpstreamPhase::Cold, UpstreamPhase::Ready, UpstreamPhase::Draining, UpstreamPhase::Stopped }) {
            if (name(phase) == text)
                return phase;
        }
        return std::nullopt;
    }

    // Returns false if the body is not a valid announcement.
    bool parseAnnouncement(const std::string& body, Announcement& announcement)
    {
        boost::system::error_code error;
        json::value document = json::parse(body, error);
        if (error || !document.is_object())
            return false;
        const json::object& object = document.as_object();
        auto text = [&](const char* key) -> std::string {
            const json::value* value = object.if_contains(key);
            return value && value->is_string() ? std::string(value->as_string()) : std::string();
        };
        auto address = Endpoint::parse(text("address"));
        auto phase = parsePhase(text("state"));
        const json::value* slots = object.if_contains("slots");
        constexpr int64_t maxSlots = 100'000;
        bool hasSlots = slots && slots->is_int64() && slots->as_int64() > 0 && slots->as_int64() <= maxSlots;
        if (!address || !address->isSet() || !phase || !hasSlots)
            return false;
        announcement = { .id = UpstreamId(text("id")),
            .service = ServiceName(text("service")),
            .address = *address,
            .slots = static_cast<uint32_t>(slots->as_int64()),
            .phase = *phase,
            .version = UpstreamVersion(text("version")),
            .instance = text("instance") };
        bool isVersionValid = announcement.version.isEmpty() || isValidName(announcement.version.value());
        return isVersionValid && isValidName(announcement.id.value()) && isValidName(announcement.service.value());
    }

    // Answers that another daemon leads, with its API address if it is known.
    template <typename Answer>
    std::function<void(std::optional<Endpoint>)> answerNotLeader(std::function<void(Answer)> callback)
    {
        return [callback = std::move(callback)](const std::optional<Endpoint>& leader) {
            callback({ .code = ResultCode::NotLeader, .leader = leader });
        };
    }

    // Takes the upstreams from the membership rather than the routing table: the latter lists upstreams of configured
    // services only, and a plan may add a service that upstreams already announce.
    FleetView fleetView(const ApiParts& parts)
    {
        FleetView fleet { .daemons = parts.membership.view().presentCount() };
        for (const auto& [host, record] : parts.membership.view().members()) {
            if (auto entry = upstreamEntry(record))
                fleet.upstreams.push_back(*entry);
        }
        return fleet;
    }

} // namespace

ApiTask::ApiTask(
    boost::asio::io_context& context, ApiParts parts, Operators operators, PlatformApiHandler platformApiHandler)
    : m_context(context)
    , m_parts(std::move(parts))
    , m_operators(std::move(operators))
    , m_platformApiHandler(std::move(platformApiHandler))
    , m_hooks(makeHooks())
    , m_peers(context, parts.hub, [this](const HostId&, HttpRequest http, Respond respond) {
        ApiRequest request { .http = std::move(http), .isForwarded = true, .respond = std::move(respond) };
        request.path = splitApiPath(request.http.target);
        request.operatorName = OperatorName(std::string(request.http.header(operatorHeader)));
        dispatch(std::move(request));
    })
{
}

void ApiTask::start()
{
    m_peers.start();
}

void ApiTask::handle(const std::shared_ptr<HttpExchange>& exchange)
{
    auto respond = [exchange](HttpResponse response) { exchange->respond(std::move(response)); };
    if (m_platformApiHandler && m_platformApiHandler(exchange->request(), respond, m_hooks))
        return;
    ApiRequest request { .http = exchange->request(), .respond = respond };
    request.path = splitApiPath(request.http.target);
    if (!authenticate(request)) {
        m_parts.metrics.add("api_unknown_operator");
        return request.respondError(ResultCode::UnknownOperator);
    }
    dispatch(std::move(request));
}

bool ApiTask::authenticate(ApiRequest& request) const
{
    // An upstream announces itself over loopback without a token, since a token would allow it to confirm plans.
    bool isAnnouncement = request.path.size() == 1 && request.path.front() == "announce";
    bool isReadiness = request.path.size() == 1 && request.path.front() == "ready";
    if (isReadiness || (isAnnouncement && m_parts.settings.api.isLoopback()))
        return true;
    if (m_parts.settings.isTrustedNetwork && m_parts.settings.operatorsFile.empty()) {
        request.operatorName = OperatorName(trustedOperator);
        return true;
    }
    auto found = m_operators.authenticate(request.http.header("Authorization"));
    if (found)
        request.operatorName = *found;
    return found.has_value();
}

void ApiTask::dispatch(ApiRequest request)
{
    struct Route {
        std::string_view method;
        std::string_view first;
        size_t segments;
        void (ApiTask::*handler)(const ApiRequest&);
    };
    static constexpr Route routes[] = {
        { "POST", "announce", 1, &ApiTask::announce },
        { "POST", "plans", 1, &ApiTask::createPlan },
        { "POST", "plans", 3, &ApiTask::confirmPlan },
        { "GET", "plans", 2, &ApiTask::showPlan },
        { "GET", "document", 1, &ApiTask::showDocument },
        { "POST", "rollouts", 1, &ApiTask::createRollout },
        { "GET", "rollouts", 2, &ApiTask::showRollout },
        { "GET", "ready", 1, &ApiTask::showReadiness },
        { "GET", "history", 1, &ApiTask::showHistory },
        { "GET", "status", 1, &ApiTask::showStatus },
        { "GET", "revisions", 2, &ApiTask::showRevision },
        { "GET", "acks", 1, &ApiTask::showAcks },
        { "GET", "routing-table", 1, &ApiTask::showRoutingTable },
        { "GET", "members", 1, &ApiTask::showMembers },
        { "GET", "metrics", 1, &ApiTask::showMetrics },
        { "GET", "journal", 1, &ApiTask::showJournal },
        { "GET", "explain", 1, &ApiTask::explain },
        { "POST", "quarantine", 3, &ApiTask::releaseQuarantine },
    };
    for (const Route& route : routes) {
        bool isMatch = route.method == request.http.method && route.segments == request.path.size()
            && request.path.front() == route.first;
        if (isMatch)
            return (this->*route.handler)(request);
    }
    request.respondError(ResultCode::NotFound, request.http.method + " " + request.http.target);
}

// ---- plans ----

bool ApiTask::isLeader() const
{
    return m_parts.log && m_parts.log->replica().role() == LogRole::Leader;
}

std::vector<HostId> ApiTask::controlHosts() const
{
    std::vector<HostId> hosts;
    for (const auto& [host, endpoint] : m_parts.settings.voters)
        hosts.push_back(host);
    if (!m_parts.settings.hasAutomaticVoters)
        return hosts;
    for (const auto& [host, record] : m_parts.membership.view().members()) {
        if (record.isPresent() && record.controlRole != ControlRole::None)
            hosts.push_back(host);
    }
    return hosts;
}

std::vector<HostId> ApiTask::leaderCandidates() const
{
    std::vector<HostId> hosts = controlHosts();
    std::erase(hosts, m_parts.settings.hostId);
    HostId leader = m_parts.log ? m_parts.log->replica().leader().host : HostId();
    auto it = std::find(hosts.begin(), hosts.end(), leader);
    if (it != hosts.end())
        std::rotate(hosts.begin(), it, it + 1);
    return hosts;
}

void ApiTask::forwardToLeader(const ApiRequest& request)
{
    // A control host that is not the leader forwards a request a second time, so that one hop reaches any control host
    // and the next the leader.
    bool mayForward = !request.isForwarded || (m_parts.log && request.http.header(forwardsHeader) == "1");
    if (!mayForward)
        return request.respondError(ResultCode::NotLeader);
    Duration retryTimeout = request.isForwarded ? Duration::zero() : Duration(leaderRetryTimeout);
    sendToLeader(request, leaderCandidates(), BootClock::now() + retryTimeout);
}

void ApiTask::sendToLeader(const ApiRequest& request, std::vector<HostId> hosts, TimePoint deadline)
{
    if (hosts.empty())
        return retryAfterElection(request, deadline);
    HostId host = hosts.front();
    hosts.erase(hosts.begin());
    HttpRequest http { .method = request.http.method, .target = request.http.target, .body = request.http.body };
    http.headers = { { operatorHeader, request.operatorName.value() },
        { planHeader, std::string(request.http.header(planHeader)) },
        { forwardsHeader, request.isForwarded ? "2" : "1" } };
    m_peers.sendRequest(
        host, http, leaderTimeout, [this, request, hosts, deadline](std::optional<HttpResponse> response) {
            bool shouldTryNextHost = !response || response->body.find("\"not_leader\"") != std::string::npos
                || response->body.find("\"quorum_lost\"") != std::string::npos;
            // Plans are keyed by id, so trying the next host after a lost response cannot apply a plan twice.
            if (shouldTryNextHost)
                return sendToLeader(request, hosts, deadline);
            request.respond(std::move(*response));
        });
}

// An election takes about a second. The operator's command is retried during that time instead of failing.
void ApiTask::retryAfterElection(const ApiRequest& request, TimePoint deadline)
{
    if (BootClock::now() >= deadline)
        return request.respondError(ResultCode::QuorumLost);
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, leaderRetryInterval);
    timer->async_wait([this, timer, request, deadline](boost::system::error_code) {
        if (isLeader())
            return dispatch(request);
        sendToLeader(request, leaderCandidates(), deadline);
    });
}

void ApiTask::createPlan(const ApiRequest& request)
{
    if (!isLeader()) {
        ApiRequest withId = request;
        if (request.http.header(planHeader).empty())
            withId.http.headers.push_back({ planHeader, makePlanId() });
        return forwardToLeader(withId);
    }
    PlanRequest plan;
    std::string detail;
    if (auto error = parsePlanRequest(request.http.body, &plan, &detail))
        return request.respondError(resultCode(error), detail);
    std::string id(request.http.header(planHeader));
    if (id.empty())
        id = makePlanId();
    if (!isValidName(id))
        return request.respondError(ResultCode::InvalidName, "plan id");
    ProposeCommand command { PlanId(id), std::move(plan), request.operatorName };
    m_parts.log->submit(command, [this, request, id](std::error_code error, const ApplyOutcome& outcome) {
        respondToProposal(request, id, error, outcome);
    });
}

void ApiTask::respondToProposal(
    const ApiRequest& request, const std::string& planId, std::error_code error, const ApplyOutcome& outcome)
{
    if (error)
        return request.respondError(resultCode(error), "plan " + planId);
    m_parts.journal.record({ .event = "plan_proposed",
        .subjects = { planId, request.operatorName.value() },
        .cause = request.operatorName.value(),
        .code = outcome.code,
        .detail = outcome.detail });
    if (outcome.code != ResultCode::Ok)
        return request.respondError(outcome.code, outcome.detail);
    const PlanRecord* record = m_parts.log->stateMachine().find(PlanId(planId));
    if (!record)
        return request.respondError(ResultCode::PlanNotFound);
    Plan plan;
    PlanReview review(m_parts.log->stateMachine().state());
    std::string detail;
    // If a proposal is retried after the plan was confirmed, its changes are already in the state and the review fails.
    // That is no error; the stored record is returned.
    if (review.review(record->changes, &plan, &detail))
        return request.respondJson(renderPlanRecord(*record));
    review.describe(&plan, fleetView(m_parts));
    request.respondJson(renderPlan(PlanId(planId), plan));
}

void ApiTask::confirmPlan(const ApiRequest& request)
{
    if (request.path[2] != "confirm")
        return request.respondError(ResultCode::NotFound, request.http.target);
    if (!isLeader())
        return forwardToLeader(request);
    ConfirmCommand command { PlanId(request.path[1]), request.operatorName };
    m_parts.log->submit(command, [this, request](std::error_code error, const ApplyOutcome& outcome) {
        if (error)
            return request.respondError(resultCode(error), "plan " + request.path[1]);
        m_parts.journal.record({ .event = "plan_confirmed",
            .subjects = { request.path[1], request.operatorName.value() },
            .cause = request.operatorName.value(),
            .code = outcome.code,
            .detail = "revision " + std::to_string(outcome.revision.value()) });
        request.respondJson(renderOutcome(outcome), outcome.code == ResultCode::Ok ? 200 : 409);
    });
}

// ---- configuration documents ----

DaemonHooks ApiTask::makeHooks()
{
    DaemonHooks hooks { .service = m_parts.settings.service, .upstream = m_parts.settings.upstream };
    hooks.isReady = m_parts.isReady;
    hooks.announce = [this](const Announcement& announcement, const OwnerTask::Acknowledge& acknowledge) {
        m_parts.owner.announce(announcement, acknowledge);
    };
    hooks.withdraw = [this](const LeavingProcess& leaving, const OwnerTask::Acknowledge& acknowledge) {
        m_parts.owner.withdraw(leaving, acknowledge);
    };
    hooks.replaceConfiguration = [this](ReplaceCommand command, const ReplaceCallback& callback) {
        if (command.operatorName.isEmpty())
            command.operatorName = OperatorName(trustedOperator);
        auto sharedCommand = std::make_shared<ReplaceCommand>(std::move(command));
        runAtLeader([this, sharedCommand, callback] { replaceConfiguration(*sharedCommand, callback); },
            answerNotLeader(callback));
    };
    hooks.startRollout = [this](StartRolloutCommand command, const RolloutCallback& callback) {
        if (command.operatorName.isEmpty())
            command.operatorName = OperatorName(trustedOperator);
        runAtLeader([this, command, callback] { startRollout(command, callback); }, answerNotLeader(callback));
    };
    hooks.readRollout = [this](const ServiceName& service, const RolloutCallback& callback) {
        if (m_parts.log && m_parts.log->isCurrent(BootClock::now()))
            return readRollout(service, callback);
        runAtLeader([this, service, callback] { readRollout(service, callback); }, answerNotLeader(callback));
    };
    hooks.readDocument
        = [this](const DocumentCallback& callback) { readDocument(callback, BootClock::now() + leaderLookupTimeout); };
    return hooks;
}

std::optional<Endpoint> ApiTask::apiAddress(const HostId& host) const
{
    const auto& members = m_parts.membership.view().members();
    auto member = members.find(host);
    if (member == members.end())
        return std::nullopt;
    return Endpoint { member->second.address.address, m_parts.settings.api.port };
}

void ApiTask::findLeader(TimePoint deadline, const std::function<void(HostId)>& callback)
{
    TimePoint now = BootClock::now();
    HostId leader = m_parts.log ? m_parts.log->replica().currentLeader(now) : HostId();
    if (!leader.isEmpty() || now >= deadline || !m_parts.log)
        return callback(leader);
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, leaderRetryInterval);
    timer->async_wait([this, timer, deadline, callback](boost::system::error_code) { findLeader(deadline, callback); });
}

void ApiTask::runAtLeader(std::function<void()> atLeader, std::function<void(std::optional<Endpoint> leader)> elsewhere)
{
    findLeader(BootClock::now() + leaderLookupTimeout,
        [this, atLeader = std::move(atLeader), elsewhere = std::move(elsewhere)](const HostId& leader) {
            if (leader == m_parts.settings.hostId)
                return atLeader();
            elsewhere(apiAddress(leader));
        });
}

void ApiTask::replaceConfiguration(const ReplaceCommand& command, const ReplaceCallback& callback)
{
    auto report = [version = PlanId(std::to_string(command.version.value())), operatorName = command.operatorName,
                      callback](std::error_code error, const ApplyOutcome& outcome) {
        ResultCode code = error ? resultCode(error) : outcome.code;
        Event("configuration_replaced")
            .with("version", version)
            .with("operator", operatorName)
            .with("code", name(code))
            .with("revision", outcome.revision)
            .with("repeated", static_cast<int>(outcome.repeated))
            .with("detail", outcome.detail);
        callback({ .code = code, .detail = outcome.detail });
    };
    // A leader that cannot reach a quorum may have been replaced, so its document may be outdated.
    if (!m_parts.log->isCurrent(BootClock::now()))
        return report(ResultCode::QuorumLost, {});
    PatchCommand patch;
    if (auto outcome = m_parts.log->stateMachine().prepare(command, &patch))
        return report({}, *outcome);
    m_parts.log->submit(patch, report);
}

void ApiTask::readDocument(const DocumentCallback& callback, TimePoint deadline)
{
    if (m_parts.log && m_parts.log->isCurrent(BootClock::now()))
        return callback({ .document = m_parts.log->stateMachine().document() });
    findLeader(deadline, [this, callback](const HostId& leader) {
        if (leader == m_parts.settings.hostId && m_parts.log->isCurrent(BootClock::now()))
            return callback({ .document = m_parts.log->stateMachine().document() });
        bool isOther = leader != m_parts.settings.hostId;
        callback({ .code = ResultCode::NotLeader, .leader = isOther ? apiAddress(leader) : std::nullopt });
    });
}

void ApiTask::showDocument(const ApiRequest& request)
{
    if (!m_parts.log || !m_parts.log->isCurrent(BootClock::now()))
        return forwardToLeader(request);
    request.respond(
        { .headers = { { "Content-Type", "application/json" } }, .body = m_parts.log->stateMachine().document() });
}

// ---- roll-outs ----

void ApiTask::startRollout(const StartRolloutCommand& command, const RolloutCallback& callback)
{
    auto report = [command, callback](std::error_code error, const ApplyOutcome& outcome) {
        ResultCode code = error ? resultCode(error) : outcome.code;
        Event("rollout_started")
            .with("service", printableExcerpt(command.service.value()))
            .with("target", printableExcerpt(command.target.value()))
            .with("duration_ms", command.duration.count())
            .with("operator", command.operatorName)
            .with("code", name(code))
            .with("revision", outcome.revision)
            .with("repeated", static_cast<int>(outcome.repeated))
            .with("detail", outcome.detail);
        callback({ .code = code, .detail = outcome.detail });
    };
    if (!m_parts.log->isCurrent(BootClock::now()))
        return report(ResultCode::QuorumLost, {});
    m_parts.log->submit(command, report);
}

void ApiTask::readRollout(const ServiceName& service, const RolloutCallback& callback) const
{
    if (!m_parts.log->isCurrent(BootClock::now()))
        return callback({ .code = ResultCode::QuorumLost });
    const ConfigItem* item = m_parts.log->stateMachine().state().find(rolloutKey(service));
    if (!item)
        return callback({ .code = ResultCode::NotFound });
    callback({ .item = std::get<RolloutItem>(*item) });
}

void ApiTask::createRollout(const ApiRequest& request)
{
    if (!isLeader())
        return forwardToLeader(request);
    auto command = parseRolloutStart(request.http.body);
    if (!command)
        return request.respondError(ResultCode::InvalidValue, "service, version or durationMs");
    command->operatorName = request.operatorName;
    startRollout(*command, [request](const RolloutAnswer& answer) {
        if (answer.code != ResultCode::Ok)
            return request.respondError(answer.code, answer.detail);
        request.respondJson("{}\n");
    });
}

void ApiTask::showRollout(const ApiRequest& request)
{
    if (!isLeader())
        return forwardToLeader(request);
    readRollout(ServiceName(request.path[1]), [request](const RolloutAnswer& answer) {
        if (answer.code != ResultCode::Ok)
            return request.respondError(answer.code, "roll-out of " + request.path[1]);
        request.respondJson(renderRollout(*answer.item));
    });
}

// ---- readiness and plans ----

void ApiTask::showReadiness(const ApiRequest& request)
{
    constexpr unsigned statusServiceUnavailable = 503;
    bool isReady = m_parts.isReady && m_parts.isReady();
    request.respondJson(isReady ? "{}\n" : "{\"ready\":false}\n", isReady ? 200 : statusServiceUnavailable);
}

void ApiTask::showPlan(const ApiRequest& request)
{
    if (!isLeader())
        return forwardToLeader(request);
    const PlanRecord* record = m_parts.log->stateMachine().find(PlanId(request.path[1]));
    if (!record)
        return request.respondError(ResultCode::PlanNotFound);
    request.respondJson(renderPlanRecord(*record));
}

void ApiTask::showHistory(const ApiRequest& request)
{
    if (!isLeader())
        return forwardToLeader(request);
    constexpr size_t maxPlansShown = 100;
    json::array plans;
    for (const PlanRecord* record : m_parts.log->stateMachine().plans()) {
        if (plans.size() >= maxPlansShown)
            break;
        plans.push_back(json::parse(renderPlanRecord(*record)));
    }
    request.respondJson(json::serialize(json::object { { "plans", std::move(plans) } }) + "\n");
}

// ---- state of the daemon and of the mesh ----

void ApiTask::announce(const ApiRequest& request)
{
    Announcement announcement;
    if (request.isForwarded || !parseAnnouncement(request.http.body, announcement))
        return request.respondError(ResultCode::InvalidValue, "announcement");
    m_parts.owner.announce(announcement, [request](ResultCode code) {
        if (code != ResultCode::Ok)
            return request.respondError(code, "the drain isn't recorded yet");
        request.respondJson("{}\n");
    });
}

void ApiTask::showStatus(const ApiRequest& request)
{
    request.respondJson(renderStatus(m_parts));
}

void ApiTask::showAcks(const ApiRequest& request)
{
    request.respondJson(renderAcks(m_parts.relay.relay().acks()));
}

void ApiTask::showRoutingTable(const ApiRequest& request)
{
    request.respondJson(renderRoutingTable(m_parts));
}

void ApiTask::showMembers(const ApiRequest& request)
{
    request.respondJson(renderMembers(m_parts));
}

void ApiTask::showMetrics(const ApiRequest& request)
{
    exportMetrics();
    request.respond({ .headers = { { "Content-Type", "text/plain" } }, .body = m_parts.metrics.render() });
}

void ApiTask::exportMetrics()
{
    m_parts.membership.exportMetrics();
    m_parts.relay.exportMetrics();
    m_parts.claims.exportMetrics();
    m_parts.crash.exportMetrics();
    m_parts.quota.exportMetrics();
    if (m_parts.log)
        m_parts.log->exportMetrics();
}

void ApiTask::showRevision(const ApiRequest& request)
{
    uint64_t revision = 0;
    if (!parseNumber(request.path[1], revision))
        return request.respondError(ResultCode::InvalidValue, "revision");
    std::vector<HostId> others = controlHosts();
    std::erase(others, m_parts.settings.hostId);
    HttpRequest http { .method = "GET", .target = "/v1/acks" };
    m_peers.sendRequestToAll(others, http, [this, request, revision](std::map<HostId, HttpResponse> acks) {
        if (m_parts.log)
            acks[m_parts.settings.hostId] = { .body = renderAcks(m_parts.relay.relay().acks()) };
        request.respondJson(renderConvergence(Revision(revision), acks, m_parts.membership.view().presentCount()));
    });
}

void ApiTask::showJournal(const ApiRequest& request)
{
    request.respondJson(renderJournal(m_parts.journal.find(request.query("id"))));
}

// Hosts likely to have journal entries about `id` come first: hosts whose own id is a prefix of `id`, control hosts and
// the owner of the upstream with this id.
std::vector<HostId> ApiTask::hostsToQuery(const std::string& id) const
{
    std::vector<HostId> hosts;
    std::vector<HostId> rest;
    for (const auto& [host, record] : m_parts.membership.view().members()) {
        if (!record.isPresent() || host == m_parts.settings.hostId)
            continue;
        bool isLikely = id.starts_with(host.value()) || record.controlRole != ControlRole::None
            || (record.upstream && record.upstream->id.value() == id);
        (isLikely ? hosts : rest).push_back(host);
    }
    hosts.insert(hosts.end(), rest.begin(), rest.end());
    hosts.resize(std::min(hosts.size(), maxHostsToQuery));
    return hosts;
}

void ApiTask::explain(const ApiRequest& request)
{
    std::string id = request.query("id");
    if (id.empty())
        return request.respondError(ResultCode::InvalidValue, "id");
    HttpRequest http { .method = "GET", .target = "/v1/journal?id=" + id };
    m_peers.sendRequestToAll(hostsToQuery(id), http, [this, request, id](std::map<HostId, HttpResponse> journals) {
        journals[m_parts.settings.hostId] = { .body = renderJournal(m_parts.journal.find(id)) };
        request.respondJson(mergeJournals(journals));
    });
}

void ApiTask::releaseQuarantine(const ApiRequest& request)
{
    uint64_t fingerprint = 0;
    if (request.path[2] != "release" || !parseNumber(request.path[1], fingerprint))
        return request.respondError(ResultCode::InvalidValue, request.http.target);
    if (!m_parts.log || !m_parts.log->isLeading(BootClock::now()))
        return forwardToLeader(request);
    m_parts.quarantine->release(Fingerprint(fingerprint), [this, request](std::optional<std::error_code> error) {
        if (!error)
            return request.respondError(ResultCode::NotFound);
        if (*error)
            return request.respondError(resultCode(*error), "the quarantine has ended, but isn't stored as ended yet");
        m_parts.journal.record({ .event = "quarantine_released",
            .subjects = { "fingerprint-" + request.path[1], request.operatorName.value() },
            .cause = request.operatorName.value() });
        Event("quarantine_released").with("fingerprint", request.path[1]).with("operator", request.operatorName);
        request.respondJson("{}\n");
    });
}

} // namespace dragonflylane
