#include <algorithm>
#include <unistd.h>
#include <utility>
#include <xxhash.h>

#include "dataworker_p.h"

namespace fulmarledge {

namespace {

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
/// Shortest mean retry time told to callers, about the service time of one request, as a free slot is soon taken again.
constexpr TimeMs kMinMeanRetryAfterMs = 50;
/// Percentage of the latency objective within which a request that has to wait must finish to stay in its data centre.
/// Half of the objective is left for another data centre.
constexpr TimeMs kSpillPercent = 50;
/// The same for downloads, which stay longer because large answers cost the links between data centres most.
constexpr TimeMs kDownloadSpillPercent = 90;
constexpr TimeMs kUnsentReportMs = 20;
/// Assumed size of the header of an answer to a caller, which is counted as use of the host's link.
constexpr std::size_t kAnswerHeaderBytes = 300;

wire::HopResponse toResponse(HopOutcome &&outcome)
{
    // A node that runs an earlier version passes on any status.
    if (outcome.fromPeer && outcome.response.verdict == wire::Verdict::Answered
        && !isFinalStatus(outcome.response.status)) {
        return refusal(Verdict::MayHaveRun, Reason::InvalidStatus, 0);
    }
    return outcome.fromPeer ? std::move(outcome.response) : refusal(outcome.verdict, outcome.reason, 0);
}

GuardConfig guardConfig(const RequestPathSettings &settings)
{
    GuardConfig config;
    config.answerBytesPerMs = settings.hopConfig.answerBytesPerMs * settings.dataThreads;
    config.linkGauge = settings.hopConfig.gauge;
    return config;
}

/// Whether an attempt reached a backend server, or may have.
bool reachedBackend(const wire::HopResponse &response)
{
    if (static_cast<Verdict>(response.verdict) != Verdict::NotRun) {
        return true;
    }
    const auto reason = static_cast<Reason>(response.reason);
    return reason == Reason::ShedLoad || reason == Reason::WrongInstance;
}

} // namespace

RequestPathState::RequestPathState(const RequestPathSettings &requestPathSettings, Metrics &requestPathMetrics)
    : settings(requestPathSettings)
    , metrics(requestPathMetrics)
    , backend(monotonicMs(), guardConfig(requestPathSettings))
    , answerMemory(std::make_shared<MemoryBudget>(requestPathSettings.maxAnswersBytes))
    , routingPublisher(requestPathSettings.host, requestPathSettings.zone, backend.gauge(),
                       requestPathSettings.balancer, requestPathSettings.retry, requestPathSettings.retryAllowance)
{
    settings.hopConfig.answerMemory = answerMemory;
    if (settings.countsOutcomes) {
        backend.enableOutcomes();
    }
}

void sendRefusal(RequestPathState &state, const HttpCall &call, int status, Reason reason, const std::string &detail,
                 const std::string &requestId, TimeMs retryAfterMs)
{
    if (state.decisions.admitFailure(monotonicMs())) {
        std::string loggedId = requestId;
        if (loggedId.empty()) {
            LastReason ignored;
            const auto caller = state.settings.dialect->parseCallerFields(call, ignored);
            loggedId = caller ? caller->requestId : "unreadable";
        }
        state.decisions.write("at=entry request=" + loggedId
                              + " outcome=not-run reason=" + std::string(reasonName(reason))
                              + " status=" + std::to_string(status) + " path=" + call.path);
    }
    state.refused.fetch_add(1, std::memory_order_relaxed);
    state.metrics.countRefusal(reason);
    state.metrics.countVerdict(Verdict::NotRun);
    AnswerSummary notes;
    notes.reason = reason;
    notes.status = status;
    notes.retryAfterMs = retryAfterMs;
    notes.requestId = requestId;
    HttpFields fields;
    state.settings.dialect->addAnswerFields(notes, fields);
    call.responder->send(status, fields, detail.empty() ? std::string() : detail + "\n");
}

std::uint64_t DataWorker::Random::below(std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_engine);
}

DataWorker::DataWorker(RequestPathState &state)
    : m_state(state)
    , m_calls(m_loop, state.backend, *state.settings.dialect, state.decisions, state.settings.maxAnswerBytes,
              state.answerMemory)
    , m_hopClient(m_loop, state.settings.hopConfig)
    , m_hopServer(m_loop, state.settings.hopConfig,
                  {[this](HopCallId call, wire::HopRequest &&request) { onHopRequest(call, std::move(request)); },
                   [this](HopCallId call) { onHopCancel(call); }, [this](HopCallId call) { onHopPeerSilent(call); },
                   [this](HopCallId call) { return isHopCallRunning(call); }})
{
}

DataWorker::~DataWorker()
{
    stop();
}

void DataWorker::start()
{
    m_thread = std::thread([this] { m_loop.run(); });
}

void DataWorker::stop()
{
    if (m_thread.joinable()) {
        m_loop.stop();
        m_thread.join();
    }
}

void DataWorker::submit(std::shared_ptr<CallerRequest> request)
{
    m_loop.post([this, request = std::move(request)]() mutable { beginRequest(std::move(request)); });
}

void DataWorker::acceptHop(int fd)
{
    m_loop.post([this, fd] { m_hopServer.accept(fd); });
}

void DataWorker::answerOutstanding()
{
    m_loop.post([this] {
        std::vector<std::uint64_t> ids;
        for (const auto &[id, active] : m_activeRequests) {
            ids.push_back(id);
        }
        for (const std::uint64_t id : ids) {
            const auto found = m_activeRequests.find(id);
            if (found == m_activeRequests.end()) {
                continue;
            }
            if (!found->second.session) {
                sendRefusal(m_state, found->second.request->call, kUnavailable, Reason::Draining,
                            "this node does not serve callers now", found->second.request->fields.requestId);
                endUnstarted(id, found->second);
                continue;
            }
            applyActions(id, found->second.session->nodeStopping(monotonicMs()));
        }
    });
}

void DataWorker::beginUnsentReports()
{
    m_loop.post([this] { reportUnsent(); });
}

void DataWorker::reportUnsent()
{
    m_unsentBytes.store(m_hopServer.unwrittenBytes(), std::memory_order_relaxed);
    m_loop.runAfter(kUnsentReportMs, [this] { reportUnsent(); });
}

void DataWorker::beginRequest(std::shared_ptr<CallerRequest> request)
{
    const std::uint64_t id = m_state.nextSessionId.fetch_add(1, std::memory_order_relaxed);
    ActiveRequest &active = m_activeRequests[id];
    active.request = std::move(request);
    routeRequest(id, active);
}

void DataWorker::routeRequest(std::uint64_t id, ActiveRequest &active)
{
    active.routing = m_state.routingPublisher.current();
    const HttpCall &call = active.request->call;
    RouteHandle route;
    if (active.routing) {
        route = active.routing->view->snapshot().routes().find(fieldValue(call.fields, "Host"), call.path);
    }
    const std::string &requestId = active.request->fields.requestId;
    bool isRefused = true;
    if (!isValid(route)) {
        sendRefusal(m_state, call, active.routing ? kNotFound : kUnavailable,
                    active.routing ? Reason::NoRoute : Reason::NotReady, "no route for this path");
    } else if (call.runsBeside && !active.routing->view->snapshot().isSafeRequest(route, call.method)) {
        // A request that was started beside others may have lost that permission by a new manifest.
        sendRefusal(m_state, call, kUnavailable, Reason::NotReady, "the route has changed", requestId);
    } else if (!active.organisation.assign(active.routing->view->snapshot(), route,
                                           active.request->fields.organisationKey)) {
        sendRefusal(m_state, call, kUnauthorized, Reason::UnknownKey, "the key is missing or unknown", requestId);
    } else {
        isRefused = false;
    }
    if (isRefused) {
        endUnstarted(id, active);
        return;
    }
    if (takeQuota(id, active)) {
        startSession(id, active, route);
    }
}

void DataWorker::startSession(std::uint64_t id, ActiveRequest &active, RouteHandle handle)
{
    const HttpCall &call = active.request->call;
    const CallerFields &fields = active.request->fields;
    const Snapshot &snapshot = active.routing->view->snapshot();
    const TableRoute &route = snapshot.routes().route(handle);
    const ServiceHandle service = route.pickTarget();
    const ServiceSpec &spec = snapshot.service(service).spec;
    active.serviceName = spec.name;
    active.bulk = spec.serviceClass == ServiceClass::Bulk;
    active.version = snapshot.version();
    active.routeKey = route.spec.key();
    active.kind = route.spec.kind;
    active.target = call.path + call.query;
    if (route.spec.kind != RequestKind::ByMethod) {
        active.routePriority = route.spec.priority;
        active.bulk = route.spec.kind == RequestKind::Download;
        active.objectiveMs = route.spec.targetLatencyMs;
    }
    const std::int64_t timeoutMs = route.spec.timeoutMs > 0 ? route.spec.timeoutMs : spec.timeoutMs;
    const std::int64_t limitMs = fields.deadlineMs > 0 ? std::min(fields.deadlineMs, timeoutMs) : timeoutMs;
    active.deadline = active.request->receivedAt + limitMs;
    SessionRequest session;
    session.id = id;
    session.service = service;
    session.method = call.method;
    session.key = fields.idempotencyKey;
    session.depth = fields.depth;
    session.deadline = active.deadline;
    session.kind = route.spec.kind;
    session.maxAttempts = route.spec.maxAttempts;
    SessionConfig config;
    config.retry = m_state.settings.retry;
    active.session = std::make_unique<RequestSession>(
        session, active.routing->view, config, *active.routing->budgets[service.idx], m_random, m_state.counters);
    const TimeMs now = monotonicMs();
    active.deadlineTimer = m_loop.runAfter(active.deadline - now, [this, id] {
        ActiveRequest &expired = m_activeRequests[id];
        expired.deadlineTimer = {};
        applyActions(id, expired.session->deadlineReached(monotonicMs()));
    });
    call.responder->onClosed([this, id] { m_loop.post([this, id] { onCallerGone(id); }); });
    applyActions(id, active.session->start(now));
}

void DataWorker::onCallerGone(std::uint64_t id)
{
    const auto found = m_activeRequests.find(id);
    if (found != m_activeRequests.end()) {
        applyActions(id, found->second.session->callerGone(monotonicMs()));
    }
}

void DataWorker::applyActions(std::uint64_t id, const SessionActions &actions)
{
    for (const SessionAction &action : actions) {
        ActiveRequest &active = m_activeRequests[id];
        switch (action.kind) {
        case ActionKind::None:
            break;
        case ActionKind::Dispatch:
            dispatch(id, active, action);
            break;
        case ActionKind::Wait:
            m_state.metrics.countRetry(active.lastReason);
            logRetry(active, action.until - monotonicMs());
            startBackoff(id, active, action.until);
            break;
        case ActionKind::Cancel:
            cancelAttempt(active);
            break;
        case ActionKind::Answer:
            answerCaller(id, action);
            return;
        }
    }
}

wire::HopRequest DataWorker::makeHopRequest(const ActiveRequest &active, const SessionAction &action) const
{
    const HttpCall &call = active.request->call;
    const CallerFields &fields = active.request->fields;
    wire::HopRequest request;
    request.serviceName = active.serviceName;
    request.method = call.method;
    request.target = active.target;
    const RequestDialect &dialect = *m_state.settings.dialect;
    request.fields = endToEndFields(call.fields, dialect);
    dialect.addEntryFields(fields, request.fields);
    request.body = call.body;
    request.deadlineMs = static_cast<std::int32_t>(std::max<TimeMs>(action.until - monotonicMs(), 1));
    request.requestId = fields.requestId;
    request.idempotencyKey = fields.idempotencyKey;
    request.caller = fields.caller;
    request.bulk = active.bulk;
    request.version = active.version;
    const wire::HostRecord &target = *active.session->view()->backend(action.backend).record;
    if (target.zone != m_state.settings.zone) {
        request.__set_fromOtherZone(true);
    }
    if (!fields.forwardedHost.empty()) {
        request.__set_hostName(fields.forwardedHost);
    }
    if (const OrganisationTable::Organisation *organisation = active.organisation.get()) {
        request.__set_organisation(organisation->name);
    }
    const std::uint32_t organisationPriority = active.organisation.priority();
    if (active.routePriority || organisationPriority > 0) {
        // A route without a priority keeps the order that the slot guard gives to the classes.
        const std::uint32_t classPriority = defaultRank(active.bulk ? ServiceClass::Bulk : ServiceClass::Interactive);
        request.__set_rank(
            static_cast<std::int32_t>(requestRank(organisationPriority, active.routePriority.value_or(classPriority))));
    }
    // Bulk requests of routes without a priority are told by the absence of a kind.
    if (active.routePriority || (m_state.settings.countsOutcomes && !active.bulk)) {
        request.__set_kind(static_cast<std::int64_t>(XXH3_64bits(active.routeKey.data(), active.routeKey.size())));
    }
    if (active.objectiveMs > 0) {
        const TimeMs objectiveLeftMs = active.request->receivedAt + active.objectiveMs - monotonicMs();
        request.__set_objectiveMs(static_cast<std::int32_t>(active.objectiveMs));
        request.__set_objectiveLeftMs(static_cast<std::int32_t>(objectiveLeftMs));
        if (action.maySpill && m_state.settings.balancer.zoneFirst) {
            const bool isDownload = active.kind == RequestKind::Download;
            const TimeMs stayLimitMs = active.objectiveMs * (isDownload ? kDownloadSpillPercent : kSpillPercent) / 100;
            request.__set_spillLeftMs(static_cast<std::int32_t>(stayLimitMs - (active.objectiveMs - objectiveLeftMs)));
        }
    }
    return request;
}

void DataWorker::dispatch(std::uint64_t id, ActiveRequest &active, const SessionAction &action)
{
    active.attempt = action.attempt;
    active.dispatchedAt = monotonicMs();
    m_state.dispatched.fetch_add(1, std::memory_order_relaxed);
    const AttemptId attempt = action.attempt;
    active.lastHost = active.session->view()->backend(action.backend).host;
    active.lastVersion = active.session->view()->backend(action.backend).record->version;
    if (action.ownHost) {
        active.localCall = m_calls.execute(makeHopRequest(active, action), false, action.until,
                                           [this, id, attempt](wire::HopResponse &&response) {
                                               onAttemptFinished(id, attempt, std::move(response), true);
                                           });
        return;
    }
    const wire::HostRecord &record = *active.session->view()->backend(action.backend).record;
    const SocketAddress peer{record.address, static_cast<std::uint16_t>(record.hopPort)};
    const OnSilence onSilence = active.session->isIdempotent() ? OnSilence::Fail : OnSilence::KeepWaitingIfRunning;
    active.hopCall = m_hopClient.send(
        peer, makeHopRequest(active, action),
        [this, id, attempt](HopOutcome outcome) {
            const bool hasLoad = outcome.fromPeer;
            onAttemptFinished(id, attempt, toResponse(std::move(outcome)), hasLoad);
        },
        onSilence);
}

void DataWorker::onAttemptFinished(std::uint64_t id, AttemptId attempt, wire::HopResponse &&response, bool hasLoad)
{
    const auto found = m_activeRequests.find(id);
    if (found == m_activeRequests.end()) {
        m_state.counters.lateAnswers.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    ActiveRequest &active = found->second;
    m_state.metrics.observeLeg(RequestLeg::Attempt, monotonicMs() - active.dispatchedAt);
    active.localCall = 0;
    active.hopCall = 0;
    active.response = std::move(response);
    AttemptResult result;
    result.verdict = static_cast<Verdict>(active.response.verdict);
    result.reason = static_cast<Reason>(active.response.reason);
    result.status = active.response.status;
    result.retryAfterMs = active.response.retryAfterMs;
    result.load = hasLoad ? active.response.outstanding : -1;
    result.reachedBackend = reachedBackend(active.response);
    active.lastReason = result.reason;
    applyActions(id, active.session->attemptFinished(attempt, result, monotonicMs()));
}

TimeMs DataWorker::jitterRetryAfter(const ActiveRequest &active, TimeMs retryAfterMs)
{
    if (active.objectiveMs == 0 || retryAfterMs <= 0) {
        return retryAfterMs;
    }
    // Callers that are refused together would retry together (thundering herd). They are told times that are spread
    // evenly around the time at which room is expected.
    const TimeMs mean = std::max(retryAfterMs, kMinMeanRetryAfterMs);
    return mean / 2 + static_cast<TimeMs>(m_random.below(static_cast<std::uint64_t>(mean) + 1));
}

void DataWorker::startBackoff(std::uint64_t id, ActiveRequest &active, TimeMs until)
{
    active.backoffTimer = m_loop.runAfter(until - monotonicMs(), [this, id] {
        ActiveRequest &waited = m_activeRequests[id];
        waited.backoffTimer = {};
        const std::shared_ptr<const RoutingState> current = m_state.routingPublisher.current();
        if (!recheckKey(waited, current->view->snapshot())) {
            refuseWithdrawnKey(id, waited);
            return;
        }
        // The session keeps using the retry budget of its first routing state, which outlives a change of the manifest.
        applyActions(id, waited.session->backoffOver(current->view, monotonicMs()));
    });
}

void DataWorker::cancelAttempt(ActiveRequest &active)
{
    if (active.localCall != 0) {
        m_calls.cancel(active.localCall);
        active.localCall = 0;
    }
    if (active.hopCall != 0) {
        m_hopClient.cancel(active.hopCall);
        active.hopCall = 0;
    }
}

void DataWorker::answerCaller(std::uint64_t id, const SessionAction &action)
{
    const auto found = m_activeRequests.find(id);
    ActiveRequest active = std::move(found->second);
    m_activeRequests.erase(found);
    m_loop.cancel(active.deadlineTimer);
    m_loop.cancel(active.backoffTimer);
    m_state.outstanding.fetch_sub(1, std::memory_order_relaxed);
    m_state.outstandingBytes.fetch_sub(active.request->call.body.size(), std::memory_order_relaxed);
    m_state.metrics.countVerdict(action.verdict);
    if (action.verdict == Verdict::NotRun) {
        returnQuota(active, action.reason);
    }
    const TimeMs now = monotonicMs();
    m_state.metrics.observeRequest(active.kind, action.verdict, now - active.request->receivedAt);
    logAnswer(active, action, now);
    HttpFields fields;
    std::string body;
    if (action.verdict == Verdict::Answered) {
        fields.reserve(active.response.fields.size() + 4);
        for (wire::HttpField &field : active.response.fields) {
            fields.emplace_back(std::move(field.name), std::move(field.value));
        }
        body = std::move(active.response.body);
    } else {
        m_state.metrics.countRefusal(action.reason);
        m_state.refused.fetch_add(action.verdict == Verdict::NotRun ? 1 : 0, std::memory_order_relaxed);
    }
    AnswerSummary notes{action.verdict,
                        action.reason,
                        action.status,
                        jitterRetryAfter(active, action.retryAfterMs),
                        active.request->fields.requestId,
                        active.version};
    m_state.settings.dialect->addAnswerFields(notes, fields);
    if (action.reason != Reason::CallerGone) {
        m_state.settings.hopConfig.gauge->uncountedCallerBytes.fetch_add(body.size() + kAnswerHeaderBytes,
                                                                         std::memory_order_relaxed);
        active.request->call.responder->send(action.status, fields, std::move(body));
    }
}

void DataWorker::onHopRequest(HopCallId call, wire::HopRequest &&request)
{
    const TimeMs now = monotonicMs();
    const TimeMs deadline = now + std::max<std::int32_t>(request.deadlineMs, 1);
    const auto reply = [this, call, now](wire::HopResponse &&response) {
        m_state.metrics.observeLeg(RequestLeg::Guard, monotonicMs() - now);
        m_hopCalls.erase(call);
        m_hopServer.reply(call, std::move(response));
    };
    m_hopCalls[call] = m_calls.execute(std::move(request), true, deadline, reply);
}

void DataWorker::onHopPeerSilent(HopCallId call)
{
    const auto found = m_hopCalls.find(call);
    if (found != m_hopCalls.end()) {
        m_calls.refuseWaiting(found->second, Reason::ConnectionLost);
    }
}

bool DataWorker::isHopCallRunning(HopCallId call) const
{
    const auto found = m_hopCalls.find(call);
    return found != m_hopCalls.end() && m_calls.isDispatched(found->second);
}

void DataWorker::onHopCancel(HopCallId call)
{
    const auto found = m_hopCalls.find(call);
    if (found != m_hopCalls.end()) {
        m_calls.cancel(found->second);
        m_hopCalls.erase(found);
    }
}

} // namespace fulmarledge
