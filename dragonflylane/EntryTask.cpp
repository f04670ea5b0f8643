#include "dragonflylane/EntryTask.h"

#include "dragonflylane/AttemptOutcome.h"
#include "dragonflylane/CallLog.h"
#include "dragonflylane/CallRouting.h"
#include "dragonflylane/CallTransfers.h"
#include "dragonflylane/CallerAuthentication.h"
#include "dragonflylane/CallerRetries.h"
#include "dragonflylane/ClaimTask.h"
#include "dragonflylane/CrashTask.h"
#include "dragonflylane/EntryCall.h"
#include "dragonflylane/EntryServiceState.h"
#include "dragonflylane/EntryStatements.h"
#include "dragonflylane/Event.h"
#include "dragonflylane/Fingerprint.h"
#include "dragonflylane/ForwardServer.h"
#include "dragonflylane/ForwardWire.h"
#include "dragonflylane/Journal.h"
#include "dragonflylane/Metrics.h"
#include "dragonflylane/OwnerTask.h"
#include "dragonflylane/PeerHub.h"
#include "dragonflylane/Wire.h"
#include "gen-cpp/peer_types.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>
#include <tuple>
#include <unordered_map>

namespace dragonflylane {

namespace asio = boost::asio;

namespace {

    using CallPtr = std::shared_ptr<EntryCall>;

    constexpr unsigned firstServerError = 500;
    // The first owner, usually one in the same data centre, may queue a call for a quarter of its target latency, which
    // keeps calls in their data centre. The owners asked after it may queue it for an eighth.
    constexpr int firstOwnerWaitDivisor = 4;
    constexpr int nextOwnerWaitDivisor = 8;
    constexpr int allotmentWaitDivisor = 8;
    // Lower bound of the allowed wait: asking another owner hardly takes less time.
    constexpr std::chrono::milliseconds minOwnerWait { 3 };

} // namespace

class EntryTask::Impl : public std::enable_shared_from_this<EntryTask::Impl> {
public:
    Impl(asio::io_context& context, EntryTaskOptions options, Parts parts, Hooks hooks)
        : m_context(context)
        , m_options(std::move(options))
        , m_parts(parts)
        , m_hooks(std::move(hooks))
        , m_routingTable(std::make_shared<RoutingTable>())
        , m_forwardServer(m_parts.hub, m_parts.owner, m_parts.metrics)
        , m_transfers(m_parts.hub, m_options.headerNames, m_parts.metrics,
              { .selectPeer = m_hooks.selectTransferPeer,
                  .finished
                  = [this](const CallPtr& call, ResultCode code,
                        std::optional<HttpResponse> response) { finishTransfer(call, code, std::move(response)); },
                  .serve = [this](std::shared_ptr<HttpExchange> exchange) { handle(std::move(exchange)); } })
        , m_callerRetries(m_parts.metrics)
    {
    }

    void start()
    {
        m_parts.hub.subscribe(FrameKind::ForwardResponse, [this](const PeerFrame& frame) { handleResponse(frame); });
        m_parts.hub.subscribeLinkDown([this](LinkId link, const HostId&) { handleLinkDown(link); });
        m_forwardServer.start();
        m_transfers.start();
    }

    void setRoutingTable(std::shared_ptr<const RoutingTable> routingTable)
    {
        m_routingTable = std::move(routingTable);
        m_parts.metrics.tenants().setTenants(m_routingTable->tenants());
        TimePoint now = BootClock::now();
        for (ServiceIndex index = 0; index < m_routingTable->serviceCount(); ++index) {
            auto service = m_routingTable->sharedService(index);
            auto& state = m_services[service->name];
            if (!state)
                state = std::make_unique<EntryServiceState>(serviceStateOptions(service->name), now);
            const RolloutItem* rollout = m_routingTable->rollout(service->name);
            state->setService(std::move(service), rollout, now);
        }
        m_parts.rollouts.setRoutingTable(*m_routingTable);
    }

    void setRetrySlack(double slack)
    {
        m_options.retryBudget.slack = slack;
        for (auto& [name, service] : m_services)
            service->policy().budget().setSlack(slack);
    }

    void leave(TimePoint lastAnswer) { m_lastAnswer = lastAnswer; }

    void abort()
    {
        std::vector<CallPtr> calls;
        for (const auto& [id, call] : m_calls)
            calls.push_back(call);
        for (const CallPtr& call : calls)
            giveUp(call, ResultCode::OwnerLost, ResultCode::DaemonLeaving);
    }

    bool isIdle() const { return m_calls.empty() && m_forwardServer.isIdle(); }

    void handle(std::shared_ptr<HttpExchange> exchange)
    {
        auto call = std::make_shared<EntryCall>();
        call->id = m_nextId++;
        call->exchange = std::move(exchange);
        call->routingTable = m_routingTable;
        call->deadline = call->exchange->received() + m_options.defaultTimeout;
        m_calls.emplace(call->id, call);
        std::error_code error = parseCallHeaders(call->exchange->request(), m_options.headerNames, call->headers);
        call->requestId = call->headers.requestId.isEmpty() ? makeRequestId(call->id) : call->headers.requestId;
        call->origin = originOf(*call);
        if (error)
            return refuse(call, resultCode(error));
        call->exchange->setCancelHook([this, call] { cancelCall(call); });
        admit(call);
    }

private:
    // ---- Deadline, route, tenant, quarantine and claim of the idempotency key ----

    void admit(const CallPtr& call)
    {
        if (call->headers.hops >= m_options.maxHops)
            return refuse(call, ResultCode::TooManyHops);
        if (call->headers.timeout)
            call->deadline = call->exchange->received() + *call->headers.timeout;
        if (BootClock::now() >= m_lastAnswer)
            return refuse(call, ResultCode::DaemonLeaving);
        call->callerDeadline = call->deadline;
        if (!m_hooks.mayServeRoutes()) {
            if (call->deadline > m_lastAnswer)
                return refuse(call, ResultCode::DaemonLeaving);
            watchDeadline(call);
            return m_transfers.transfer(call, m_nextId++);
        }
        ResultCode code = routeCall(*call, m_options.defaultTimeout, BootClock::now());
        if (code == ResultCode::Ok)
            code = authenticate(*call);
        if (code == ResultCode::Ok && call->deadline > m_lastAnswer)
            code = ResultCode::DaemonLeaving;
        if (code != ResultCode::Ok)
            return refuse(call, code);
        watchDeadline(call);
        const HttpRequest& request = call->exchange->request();
        call->fingerprint = requestFingerprint(hostName(request), request.method, request.target, request.body);
        m_callerRetries.recognise(*call);
        call->parent = m_parts.owner.findRunning(parentRequestId(call->requestId, m_options.headerNames));
        if (m_parts.crash.stateOf(call->fingerprint) == CrashState::Quarantined)
            return refuse(call, ResultCode::RequestQuarantined);
        checkAllotment(call);
    }

    // Calls that upstreams make count as part of the request that they belong to. The wait for the leader's answer may
    // take an eighth of the time to the target, or to the deadline if the target has passed.
    void checkAllotment(const CallPtr& call)
    {
        if (call->tenant.isEmpty() || call->isNested || !m_hooks.admitTenant)
            return startAdmitted(call);
        TimePoint now = BootClock::now();
        TimePoint end = call->target > now ? call->target : call->deadline;
        Duration maxWait = (end - now) / allotmentWaitDivisor;
        m_hooks.admitTenant(call->tenant, maxWait, [this, call](QuotaVerdict verdict, Duration retryAfter) {
            if (call->isFinished)
                return;
            if (verdict == QuotaVerdict::Admitted)
                return startAdmitted(call);
            call->retryAfter = retryAfter;
            bool isExceeded = verdict == QuotaVerdict::Exceeded;
            refuse(call, isExceeded ? ResultCode::AllotmentExceeded : ResultCode::ConfigNotProven);
        });
    }

    void startAdmitted(const CallPtr& call)
    {
        serviceOf(call).policy().budget().recordRequest(BootClock::now());
        if (call->isIdempotent || call->headers.key.isEmpty() || !m_options.usesIdempotencyRecords)
            return startAttempt(call);
        claim(call);
    }

    CallCredentials credentialsOf(const EntryCall& call) const
    {
        CallCredentials credentials { .apiKey = call.headers.apiKey };
        std::string_view parentId = parentRequestId(call.requestId, m_options.headerNames);
        auto parent = parentId.empty() ? std::nullopt : m_parts.owner.findRunning(parentId);
        if (parent)
            credentials.parent = InheritedTenant { .name = parent->tenant, .priority = parent->tenantPriority };
        return credentials;
    }

    ResultCode authenticate(EntryCall& call)
    {
        AuthenticatedCaller caller;
        ResultCode code = authenticateCaller(*call.routingTable, call.isPublicRoute, call.origin.credentials, &caller);
        call.tenant = std::move(caller.tenant);
        call.tenantPriority = caller.tenantPriority;
        call.isNested = caller.isNested;
        return code;
    }

    // The key is scoped by method and target instead of by service. A plan may change a traffic split between a request
    // and its retry, and the retry must still be recognised as a duplicate.
    void claim(const CallPtr& call)
    {
        const HttpRequest& request = call->exchange->request();
        std::string key = claimKey(call->tenant, request.method, request.target, call->headers.key);
        m_parts.claims.claim(call->id, std::move(key), [this, call](const ClaimTask::Outcome& outcome) {
            if (call->isFinished)
                return;
            if (outcome.isReplay)
                return replay(call, outcome.answer);
            if (outcome.code != ResultCode::Ok)
                return refuse(call, outcome.code);
            call->isClaimed = true;
            startAttempt(call);
        });
    }

    void replay(const CallPtr& call, const std::string& answer)
    {
        wire::ForwardResponse response;
        if (!decodeThrift(answer, response))
            return refuse(call, ResultCode::DuplicateUnknown);
        HttpResponse http = toHttpResponse(std::move(response));
        http.headers.push_back({ "Dragonflylane-Replayed", "true" });
        http.headers.push_back({ "Dragonflylane-Request-Id", call->requestId.value() });
        m_parts.metrics.add("calls_replayed");
        respond(call, ResultCode::Ok, std::move(http));
    }

    // ---- Selection of an upstream and forwarding to its owner ----

    EntryServiceState& serviceOf(const CallPtr& call) { return *m_services.at(call->serviceName); }
    EntryServiceState& serviceOf(const EntryCall& call) const { return *m_services.at(call.serviceName); }

    /// Null if the service of the call is not known.
    RetryAfterPolicy* retryAfterPolicy(const EntryCall& call) const
    {
        auto service = m_services.find(call.serviceName);
        return service == m_services.end() ? nullptr : &service->second->retryAfter();
    }

    void startAttempt(const CallPtr& call)
    {
        if (call->isFinished)
            return;
        TimePoint now = BootClock::now();
        if (now >= call->deadline)
            return refuseUnlessAttemptOpen(call, ResultCode::DeadlineExceeded);
        auto choice = chooseUpstream(call, now);
        if (!choice)
            return refuseUnlessAttemptOpen(call, call->refusal);
        const UpstreamEntry* upstream = serviceOf(call).find(choice->upstream);
        ++call->attempts;
        call->tried.push_back(choice->owner);
        EntryAttempt attempt { .id = m_nextId++, .choice = *choice, .startedAt = now };
        attempt.rolloutAttempt = m_parts.rollouts.begin(call->serviceName, upstream->version, call->routeKey);
        call->open.push_back(attempt);
        m_attempts.emplace(attempt.id, call);
        wire::ForwardRequest request = makeForwardRequest(*call, m_options.headerNames, attempt.id, *upstream, now);
        if (choice->owner != m_options.self)
            request.targetMicroseconds -= toMicroseconds(serviceOf(call).networkDelay(now));
        request.maxWaitMicroseconds = toMicroseconds(maxWait(*call));
        Duration typical = serviceOf(call).typicalServiceTime(call->routeKey);
        if (typical > Duration::zero())
            request.__set_typicalServiceMicroseconds(toMicroseconds(typical));
        if (const ProcessStatement* statement = m_statements.find(choice->upstream, now))
            request.__set_known(toWire(*statement));
        if (call->isClaimed)
            m_parts.claims.markForwarded(call->id);
        if (choice->owner == m_options.self)
            forwardToSelf(call, attempt.id, std::move(request));
        else
            forwardToPeer(call, attempt.id, choice->owner, std::move(request));
        if (call->attempts == 1 && m_options.isHedging)
            scheduleHedge(call);
    }

    // While other owners can be asked, an owner refuses a call that it would have to queue for longer than maxWait().
    // Once all candidates have refused, the call is queued at the owner with the shortest queue.
    std::optional<Choice> chooseUpstream(const CallPtr& call, TimePoint now)
    {
        VersionGroup versions = versionsFor(*call);
        bool isRedirectWorthwhile = serviceOf(call).redirectSuccessRate().isWorthwhile(now);
        // If redirects rarely succeed, the first owner queues the call instead of refusing it.
        if (call->redirects == 0 && !isRedirectWorthwhile)
            call->isFinalAttempt = true;
        bool mayAskAnother = isRedirectWorthwhile || !isCapacityRefusal(call->refusal);
        if (mayAskAnother && call->redirects <= m_options.maxRedirects) {
            if (auto choice = serviceOf(call).choose(versions, call->tried, now))
                return choice;
        }
        if (call->ownerWithShortestQueue.isEmpty() || call->isFinalAttempt)
            return std::nullopt;
        call->isFinalAttempt = true;
        return serviceOf(call).chooseOwner(versions, call->ownerWithShortestQueue, now);
    }

    VersionGroup versionsFor(const EntryCall& call) const
    {
        return serviceOf(call).versionsFor({ .request = call.requestId,
            .isRetry = call.upstreamAttempts > 0,
            .isConfigRecent = m_hooks.isConfigRecent() });
    }

    // Longest time that the owner may queue the call; zero means no limit. Short while other owners can be asked.
    Duration maxWait(const EntryCall& call) const
    {
        bool isOnlyUpstream = serviceOf(call).size(versionsFor(call)) <= 1;
        if (call.isFinalAttempt || isOnlyUpstream)
            return Duration::zero();
        Duration targetLatency = call.target - call.exchange->received();
        bool isFirstOwner = call.redirects == 0;
        return std::max<Duration>(
            targetLatency / (isFirstOwner ? firstOwnerWaitDivisor : nextOwnerWaitDivisor), minOwnerWait);
    }

    void forwardToSelf(const CallPtr& call, uint64_t attemptId, wire::ForwardRequest request)
    {
        if (EntryAttempt* attempt = findAttempt(*call, attemptId))
            attempt->isSent = true;
        uint64_t ownerCallId = m_parts.owner.handle(
            std::move(request),
            [this](wire::ForwardResponse response) {
                // The owner may respond within handle(), before the call id of the attempt is set.
                asio::post(m_context, [self = shared_from_this(), response = std::move(response)]() mutable {
                    auto id = static_cast<uint64_t>(response.requestId);
                    self->finishAttempt(id, LinkId(), std::move(response));
                });
            },
            OwnerTask::CallSource::ThisDaemon);
        if (EntryAttempt* attempt = findAttempt(*call, attemptId))
            attempt->ownerCallId = ownerCallId;
    }

    void forwardToPeer(const CallPtr& call, uint64_t attemptId, const HostId& owner, wire::ForwardRequest request)
    {
        m_parts.hub.withLink(owner,
            [self = shared_from_this(), call, attemptId, request = std::move(request)](
                std::error_code error, LinkId link) mutable { self->send(call, attemptId, request, error, link); });
    }

    void send(
        const CallPtr& call, uint64_t attemptId, wire::ForwardRequest& request, std::error_code error, LinkId link)
    {
        EntryAttempt* attempt = findAttempt(*call, attemptId);
        if (!attempt)
            return;
        TimePoint now = BootClock::now();
        request.remainingMicroseconds = toMicroseconds(call->deadline - now);
        attempt->link = link;
        attempt->isSent = !error && m_parts.hub.send(link, FrameKind::ForwardRequest, encodeThrift(request));
        if (attempt->isSent)
            return;
        finishAttempt(attemptId, link, makeResponse(attemptId, ResultCode::OwnerUnreachable));
    }

    void handleResponse(const PeerFrame& frame)
    {
        wire::ForwardResponse response;
        if (!decodeThrift(frame.payload, response))
            return m_parts.metrics.add("forward_malformed");
        rejectInvalidStatus(response);
        if (m_transfers.handleResponse(frame, response))
            return;
        auto id = static_cast<uint64_t>(response.requestId);
        finishAttempt(id, frame.link, std::move(response));
    }

    void finishAttempt(uint64_t attemptId, LinkId link, wire::ForwardResponse response)
    {
        auto it = m_attempts.find(attemptId);
        EntryAttempt* attempt = it == m_attempts.end() ? nullptr : findAttempt(*it->second, attemptId);
        if (!attempt || attempt->link != link)
            return m_parts.metrics.add("answers_late");
        CallPtr call = it->second;
        EntryAttempt done = *attempt;
        std::erase_if(call->open, [&](const EntryAttempt& other) { return other.id == attemptId; });
        m_attempts.erase(it);

        TimePoint now = BootClock::now();
        auto code = static_cast<ResultCode>(response.code);
        std::optional<LoadReport> report;
        // Zero if the response is not from the owner, or if that has no upstream yet.
        if (response.limit > 0) {
            report = loadReport(response, call->routeKey);
            m_statements.record(done.choice.upstream, statementOf(response), now);
        }
        if (link != LinkId() && code == ResultCode::Ok)
            serviceOf(call).recordNetworkDelay(
                now - done.startedAt, std::chrono::microseconds(response.heldMicroseconds), now);
        auto status = static_cast<unsigned>(response.status);
        serviceOf(call).finished(done.choice, selectionOutcome(code, status), report, now);
        m_parts.rollouts.end(
            done.rolloutAttempt, rolloutOutcome(code, status), std::chrono::microseconds(response.runMicroseconds));
        if (call->redirects > 0 && !call->isFinalAttempt)
            serviceOf(call).redirectSuccessRate().record(!isCapacityRefusal(code), now);
        if (code == ResultCode::Ok) {
            serviceOf(call).policy().recordSuccess(now - done.startedAt);
            serviceOf(call).retryAfter().recordServed(now);
            return answer(call, done, std::move(response));
        }
        handleFailedAttempt(call, done, code, std::move(response), now);
    }

    // Retries the call, or ends it with a refusal.
    void handleFailedAttempt(
        const CallPtr& call, const EntryAttempt& done, ResultCode code, wire::ForwardResponse response, TimePoint now)
    {
        bool hasReachedUpstream = runState(code) != RunState::NotRun || code == ResultCode::UpstreamRefused;
        if (runState(code) != RunState::NotRun)
            call->earlierUnknownCode = code;
        if (hasReachedUpstream)
            ++call->upstreamAttempts;
        else
            recordOwnerRefusal(
                call, done.choice.owner, code, std::chrono::microseconds(response.retryAfterMicroseconds));
        if (!call->open.empty())
            return;
        if (call->isClaimed && call->earlierUnknownCode == ResultCode::Ok)
            m_parts.claims.markNotRun(call->id);
        // A non-idempotent request that the upstream itself shed is not retried: the upstream's response is returned.
        bool isFinalShed = code == ResultCode::UpstreamShed && !call->isIdempotent;
        RetryDecision decision;
        if (!hasReachedUpstream)
            ++call->redirects;
        // Not a refusal for lack of capacity: for example, the upstream is draining or was replaced. Other owners may
        // have capacity, so they are asked even if this was the final attempt.
        if (!hasReachedUpstream && !isCapacityRefusal(code) && call->redirects <= m_options.maxRedirects)
            call->isFinalAttempt = false;
        bool mayRedirect = hasReachedUpstream || !call->isFinalAttempt;
        decision.code = code;
        if (!isFinalShed && mayRedirect) {
            decision = serviceOf(call).policy().decide({ .code = code,
                                                           .isIdempotent = call->isIdempotent,
                                                           .attempts = call->upstreamAttempts,
                                                           .remaining = call->deadline - now,
                                                           .earlierUnknownCode = call->earlierUnknownCode,
                                                           .maxAttempts = call->maxAttempts,
                                                           .hasReachedUpstream = call->upstreamAttempts > 0 },
                now);
        }
        m_log.attemptFailed(*call, done, code, decision.isRetry, now);
        if (decision.isRetry) {
            m_parts.metrics.countRetry(code);
            return scheduleRetry(call, decision.delay);
        }
        if (code == ResultCode::UpstreamShed)
            return answer(call, done, std::move(response));
        refuse(call, isFinalShed ? code : decision.code);
    }

    void recordOwnerRefusal(const CallPtr& call, const HostId& owner, ResultCode code, Duration retryAfter)
    {
        call->refusal = code;
        bool isShorter = call->retryAfter == Duration::zero() || retryAfter < call->retryAfter;
        if (retryAfter > Duration::zero() && isShorter)
            std::tie(call->retryAfter, call->ownerWithShortestQueue) = std::pair(retryAfter, owner);
    }

    void scheduleRetry(const CallPtr& call, Duration delay)
    {
        if (delay <= Duration::zero())
            return startAttempt(call);
        auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
        timer->async_wait(
            [self = shared_from_this(), timer, call](boost::system::error_code) { self->startAttempt(call); });
    }

    void scheduleHedge(const CallPtr& call)
    {
        auto delay = serviceOf(call).policy().hedgeDelay(call->isIdempotent, call->deadline - BootClock::now());
        if (!delay)
            return;
        auto timer = std::make_shared<asio::steady_timer>(m_context, *delay);
        std::weak_ptr<EntryCall> weak = call;
        timer->async_wait([self = shared_from_this(), timer, weak](boost::system::error_code) {
            auto pending = weak.lock();
            if (!pending || pending->isFinished || pending->open.size() != 1 || pending->attempts != 1)
                return;
            if (!self->serviceOf(pending).policy().tryHedge(BootClock::now()))
                return;
            self->m_parts.metrics.add("calls_hedged");
            self->startAttempt(pending);
        });
    }

    // ---- Response to the caller and end of the call ----

    void refuseUnlessAttemptOpen(const CallPtr& call, ResultCode code)
    {
        if (!call->open.empty())
            return;
        refuse(call, call->earlierUnknownCode != ResultCode::Ok ? call->earlierUnknownCode : code);
    }

    void answer(const CallPtr& call, const EntryAttempt& done, wire::ForwardResponse response)
    {
        auto code = static_cast<ResultCode>(response.code);
        if (call->isClaimed) {
            call->isClaimed = false;
            m_parts.claims.finish(call->id, encodeThrift(response));
        }
        m_parts.journal.record({ .event = "call_answered",
            .subjects = { call->requestId.value(), done.choice.upstream.value(), done.choice.owner.value() },
            .cause = call->requestId.value(),
            .code = code,
            .detail = "attempts " + std::to_string(call->attempts) });
        HttpResponse http = toHttpResponse(std::move(response));
        if (http.status >= firstServerError)
            m_log.failedAtUpstream(*call, http.status, m_routingTable->revision());
        const std::string& idHeader = m_options.headerNames.requestId;
        if (http.header(idHeader).empty())
            http.headers.push_back({ idHeader, call->requestId.value() });
        respond(call, code, std::move(http));
    }

    void refuse(const CallPtr& call, ResultCode code)
    {
        m_parts.journal.record({ .event = "call_refused",
            .subjects = { call->requestId.value() },
            .cause = call->requestId.value(),
            .code = code,
            .detail = "attempts " + std::to_string(call->attempts) });
        Duration retryAfter = m_callerRetries.refuse(*call, code, retryAfterPolicy(*call), BootClock::now());
        m_log.refused(*call, code, retryAfter, m_routingTable->revision());
        respond(call, code, makeRefusal(code, call->requestId, m_options.headerNames, retryAfter));
    }

    // A call that was transferred has its origin from the daemon where it entered the mesh.
    CallOrigin originOf(const EntryCall& call) const
    {
        if (call.exchange->origin())
            return *call.exchange->origin();
        return { .service = m_options.service, .credentials = credentialsOf(call) };
    }

    void countEnd(const EntryCall& call, ResultCode code)
    {
        m_parts.metrics.countCall(code);
        if (!call.isNested)
            m_parts.metrics.tenants().count(call.tenant, code);
    }

    void respond(const CallPtr& call, ResultCode code, HttpResponse response)
    {
        countEnd(*call, code);
        if (call->parent && isLackOfCapacity(code))
            m_parts.owner.nestedCallRefused(*call->parent);
        m_parts.metrics.observe("call_latency", BootClock::now() - call->exchange->received());
        finish(call);
        call->exchange->respond(std::move(response));
    }

    void cancelCall(const CallPtr& call)
    {
        countEnd(*call, ResultCode::CallerGone);
        m_log.cancelled(*call);
        finish(call);
    }

    void finish(const CallPtr& call)
    {
        if (call->isFinished)
            return;
        call->isFinished = true;
        call->exchange->setCancelHook(nullptr);
        for (const EntryAttempt& attempt : call->open)
            cancelAttempt(call, attempt);
        call->open.clear();
        m_transfers.forget(*call);
        closeClaim(call);
        m_deadlines.erase({ call->deadline + m_options.answerGrace, call->id });
        m_calls.erase(call->id);
    }

    void closeClaim(const CallPtr& call)
    {
        bool mayClaim = m_options.usesIdempotencyRecords && !call->headers.key.isEmpty() && !call->isIdempotent;
        if (!mayClaim)
            return;
        if (call->isClaimed && call->earlierUnknownCode != ResultCode::Ok)
            m_parts.claims.finishUnknown(call->id);
        else
            m_parts.claims.abandon(call->id);
    }

    void cancelAttempt(const CallPtr& call, const EntryAttempt& attempt)
    {
        m_attempts.erase(attempt.id);
        // The request may run before the cancellation arrives.
        if (attempt.isSent)
            call->earlierUnknownCode = ResultCode::OwnerLost;
        serviceOf(call).finished(attempt.choice, SelectionOutcome::Ignored, std::nullopt, BootClock::now());
        m_parts.rollouts.end(attempt.rolloutAttempt, RolloutOutcome::Unanswered, Duration::zero());
        if (attempt.link == LinkId()) {
            if (attempt.isSent)
                m_parts.owner.cancel(attempt.ownerCallId);
            return;
        }
        wire::ForwardCancel cancel;
        cancel.requestId = static_cast<int64_t>(attempt.id);
        m_parts.hub.send(attempt.link, FrameKind::ForwardCancel, encodeThrift(cancel));
    }

    void expireCalls()
    {
        TimePoint now = BootClock::now();
        while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
            CallPtr call = m_calls.at(m_deadlines.begin()->second);
            giveUp(call, ResultCode::UpstreamTimeout, ResultCode::DeadlineExceeded);
        }
        armDeadlines();
    }

    // Ends a call that is still waiting for its response.
    void giveUp(const CallPtr& call, ResultCode codeIfSent, ResultCode codeIfNotRun)
    {
        bool wasSent = m_transfers.isSent(*call)
            || std::any_of(
                call->open.begin(), call->open.end(), [](const EntryAttempt& attempt) { return attempt.isSent; });
        if (wasSent)
            call->earlierUnknownCode = codeIfSent;
        refuse(call, call->earlierUnknownCode != ResultCode::Ok ? call->earlierUnknownCode : codeIfNotRun);
    }

    void watchDeadline(const CallPtr& call)
    {
        m_deadlines.emplace(call->deadline + m_options.answerGrace, call->id);
        armDeadlines();
    }

    // Deadlines are checked every few milliseconds, which is cheaper than one timer for each call.
    void armDeadlines()
    {
        constexpr std::chrono::milliseconds resolution { 5 };
        if (m_deadlines.empty() || m_isDeadlineArmed)
            return;
        m_isDeadlineArmed = true;
        auto timer = std::make_shared<asio::steady_timer>(m_context, resolution);
        timer->async_wait([weak = weak_from_this(), timer](boost::system::error_code) {
            auto self = weak.lock();
            if (!self)
                return;
            self->m_isDeadlineArmed = false;
            self->expireCalls();
        });
    }

    // An attempt on a broken connection may have reached the owner, so its outcome is unknown.
    void handleLinkDown(LinkId link)
    {
        std::vector<uint64_t> lost;
        for (const auto& [id, call] : m_attempts) {
            const EntryAttempt* attempt = findAttempt(*call, id);
            if (attempt && attempt->link == link)
                lost.push_back(id);
        }
        for (uint64_t id : lost)
            finishAttempt(id, link, makeResponse(id, ResultCode::OwnerLost));
    }

    static EntryAttempt* findAttempt(EntryCall& call, uint64_t id)
    {
        for (EntryAttempt& attempt : call.open) {
            if (attempt.id == id)
                return &attempt;
        }
        return nullptr;
    }

    void finishTransfer(const CallPtr& call, ResultCode code, std::optional<HttpResponse> response)
    {
        if (call->isFinished)
            return m_parts.metrics.add("answers_late");
        if (!response)
            return refuse(call, code);
        respond(call, code, std::move(*response));
    }

    // ---- Helpers ----

    EntryServiceStateOptions serviceStateOptions(const ServiceName& service)
    {
        return { .self = m_options.self,
            .dataCentre = m_options.dataCentre,
            .region = m_options.region,
            .seed = m_options.bootId ^ stableHash(service.value()),
            .retryBudget = m_options.retryBudget,
            .spillLoad = m_options.spillLoad,
            .usesUpstreamSpeeds = m_options.usesUpstreamSpeeds };
    }

    RequestId makeRequestId(uint64_t id) const
    {
        char boot[9];
        std::snprintf(boot, sizeof(boot), "%08x", static_cast<unsigned>(m_options.bootId));
        return RequestId(m_options.self.value() + "." + boot + "." + std::to_string(id));
    }

    asio::io_context& m_context;
    EntryTaskOptions m_options;
    Parts m_parts;
    Hooks m_hooks;
    std::shared_ptr<const RoutingTable> m_routingTable;
    std::unordered_map<ServiceName, std::unique_ptr<EntryServiceState>> m_services;

    uint64_t m_nextId { 1 };
    std::unordered_map<uint64_t, CallPtr> m_calls;
    std::unordered_map<uint64_t, CallPtr> m_attempts;
    ForwardServer m_forwardServer;
    CallTransfers m_transfers;
    CallerRetries m_callerRetries;
    EntryStatements m_statements;
    std::set<std::pair<TimePoint, uint64_t>> m_deadlines;
    bool m_isDeadlineArmed { false };
    CallLog m_log;
    TimePoint m_lastAnswer { TimePoint::max() };
};

EntryTask::EntryTask(asio::io_context& context, EntryTaskOptions options, Parts parts, Hooks hooks)
    : m_impl(std::make_shared<Impl>(context, std::move(options), parts, std::move(hooks)))
{
}

EntryTask::~EntryTask() = default;
void EntryTask::start()
{
    m_impl->start();
}
void EntryTask::setRoutingTable(std::shared_ptr<const RoutingTable> routingTable)
{
    m_impl->setRoutingTable(std::move(routingTable));
}
void EntryTask::setRetrySlack(double slack)
{
    m_impl->setRetrySlack(slack);
}
void EntryTask::handle(std::shared_ptr<HttpExchange> exchange)
{
    m_impl->handle(std::move(exchange));
}
void EntryTask::leave(TimePoint lastAnswer)
{
    m_impl->leave(lastAnswer);
}
void EntryTask::abort()
{
    m_impl->abort();
}
bool EntryTask::isIdle() const
{
    return m_impl->isIdle();
}

} // namespace dragonflylane
