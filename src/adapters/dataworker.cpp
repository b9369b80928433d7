#include <algorithm>
#include <unistd.h>
#include <utility>
#include <xxhash.h>

#include "dataworker_p.h"

namespace fulmarledge {

namespace {

constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr int kFirstServerError = 500;
/// Retry time told to callers that this node refuses before any attempt.
constexpr TimeMs kNotServableRetryMs = 1000;
/// Shortest mean retry time told to callers, about the service time of one request, as a free slot is soon taken again.
constexpr TimeMs kMinRetryMs = 50;
/// Percentage of the latency objective within which a request that has to wait must finish to stay in its data centre.
/// Half of the objective is left for another data centre.
constexpr TimeMs kZonePercent = 50;
/// The same for downloads, which stay longer because large answers cost the links between data centres most.
constexpr TimeMs kLargeZonePercent = 90;
/// Assumed size of the header of an answer to a caller, which is counted as use of the host's link.
constexpr std::size_t kHeadBytes = 300;

wire::HopResponse toResponse(HopOutcome &&outcome)
{
    return outcome.fromPeer ? std::move(outcome.response) : refusal(outcome.verdict, outcome.reason, 0);
}

GuardConfig guardConfig(const RequestPathSettings &settings)
{
    GuardConfig config;
    config.answerBytesPerMs = settings.hopConfig.answerBytesPerMs * settings.dataThreads;
    config.link = settings.hopConfig.gauge;
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

PathState::PathState(const RequestPathSettings &pathSettings, Metrics &pathMetrics)
    : settings(pathSettings)
    , metrics(pathMetrics)
    , backend(monotonicMs(), guardConfig(pathSettings))
    , views(pathSettings.host, pathSettings.zone, backend.gauge(), pathSettings.balancer, pathSettings.retry,
            pathSettings.retryAllowance)
{
}

void sendRefusal(PathState &state, const HttpCall &call, int status, Reason reason, const std::string &detail)
{
    if (state.decisions.takeFailure(monotonicMs())) {
        LastReason ignored;
        const auto caller = state.settings.dialect->parseCaller(call, ignored);
        state.decisions.write("at=entry request=" + (caller ? caller->requestId : std::string("unreadable"))
                              + " outcome=not-run reason=" + std::string(reasonName(reason))
                              + " status=" + std::to_string(status) + " path=" + call.path);
    }
    state.refused.fetch_add(1, std::memory_order_relaxed);
    state.metrics.countRefusal(reason);
    state.metrics.countVerdict(Verdict::NotRun);
    AnswerNotes notes;
    notes.reason = reason;
    notes.status = status;
    notes.retryAfterMs = kNotServableRetryMs;
    HttpFields fields;
    state.settings.dialect->addAnswerFields(notes, fields);
    call.responder->send(status, fields, detail.empty() ? std::string() : detail + "\n");
}

std::uint64_t DataWorker::Random::below(std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_engine);
}

DataWorker::DataWorker(PathState &state)
    : m_state(state)
    , m_calls(m_loop, state.backend, *state.settings.dialect, state.decisions, state.settings.maxAnswerBytes)
    , m_hopClient(m_loop, state.settings.hopConfig)
    , m_hopServer(m_loop, state.settings.hopConfig,
                  {[this](HopCallId call, wire::HopRequest &&request) { onHopRequest(call, std::move(request)); },
                   [this](HopCallId call) { onHopCancel(call); }})
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
    m_loop.post([this, request = std::move(request)]() mutable { begin(std::move(request)); });
}

void DataWorker::acceptHop(int fd)
{
    m_loop.post([this, fd] { m_hopServer.accept(fd); });
}

void DataWorker::begin(std::shared_ptr<CallerRequest> request)
{
    const std::uint64_t id = m_state.nextRequest.fetch_add(1, std::memory_order_relaxed);
    Work &work = m_work[id];
    work.request = std::move(request);
    work.routing = m_state.views.share();
    const HttpCall &call = work.request->call;
    RouteHandle route;
    if (work.routing) {
        route = work.routing->view->snapshot().routes().find(fieldValue(call.fields, "Host"), call.path);
    }
    if (!isValid(route)) {
        sendRefusal(m_state, call, work.routing ? kNotFound : kUnavailable,
                    work.routing ? Reason::NoRoute : Reason::NotReady, "no route for this path");
        m_state.outstanding.fetch_sub(1, std::memory_order_relaxed);
        m_state.outstandingBytes.fetch_sub(call.body.size(), std::memory_order_relaxed);
        m_work.erase(id);
        return;
    }
    startSession(id, work, route);
}

void DataWorker::startSession(std::uint64_t id, Work &work, RouteHandle handle)
{
    const HttpCall &call = work.request->call;
    const CallerFields &fields = work.request->fields;
    const Snapshot &snapshot = work.routing->view->snapshot();
    const TableRoute &route = snapshot.routes().route(handle);
    const ServiceHandle service = route.pick();
    const ServiceSpec &spec = snapshot.service(service).spec;
    work.serviceName = spec.name;
    work.bulk = spec.serviceClass == ServiceClass::Bulk;
    work.version = snapshot.version();
    work.routeKey = route.spec.key();
    work.kind = route.spec.kind;
    work.target = call.path + call.query;
    if (route.spec.kind != RequestKind::ByMethod) {
        work.rank = route.spec.priority;
        work.bulk = route.spec.kind == RequestKind::Download;
        work.objectiveMs = route.spec.targetLatencyMs;
    }
    const std::int64_t timeout = route.spec.timeoutMs > 0 ? route.spec.timeoutMs : spec.timeoutMs;
    const std::int64_t limit = fields.deadlineMs > 0 ? std::min(fields.deadlineMs, timeout) : timeout;
    work.deadline = work.request->received + limit;
    SessionRequest session;
    session.id = id;
    session.service = service;
    session.method = call.method;
    session.key = fields.key;
    session.depth = fields.depth;
    session.deadline = work.deadline;
    session.kind = route.spec.kind;
    session.maxAttempts = route.spec.maxAttempts;
    SessionConfig config;
    config.retry = m_state.settings.retry;
    work.session = std::make_unique<RequestSession>(session, work.routing->view, config,
                                                    *work.routing->budgets[service.idx], m_random, m_state.counters);
    const TimeMs now = monotonicMs();
    work.timer = m_loop.runAfter(work.deadline - now, [this, id] {
        Work &late = m_work[id];
        late.timer = {};
        act(id, late.session->deadlineReached(monotonicMs()));
    });
    call.responder->onClosed([this, id] { m_loop.post([this, id] { callerGone(id); }); });
    act(id, work.session->start(now));
}

void DataWorker::callerGone(std::uint64_t id)
{
    const auto found = m_work.find(id);
    if (found != m_work.end()) {
        act(id, found->second.session->callerGone(monotonicMs()));
    }
}

void DataWorker::act(std::uint64_t id, const SessionActions &actions)
{
    for (const SessionAction &action : actions) {
        Work &work = m_work[id];
        switch (action.kind) {
        case ActionKind::None:
            break;
        case ActionKind::Dispatch:
            dispatch(id, work, action);
            break;
        case ActionKind::Wait:
            m_state.metrics.countRetry(work.lastReason);
            logRetry(work, action.until - monotonicMs());
            backoff(id, work, action.until);
            break;
        case ActionKind::Cancel:
            cancelAttempt(work);
            break;
        case ActionKind::Answer:
            answer(id, action);
            return;
        }
    }
}

wire::HopRequest DataWorker::hopRequest(const Work &work, const SessionAction &action) const
{
    const HttpCall &call = work.request->call;
    const CallerFields &fields = work.request->fields;
    wire::HopRequest request;
    request.serviceName = work.serviceName;
    request.method = call.method;
    request.target = work.target;
    const RequestDialect &dialect = *m_state.settings.dialect;
    request.fields = endToEndFields(call.fields, dialect);
    dialect.addEntryFields(fields, request.fields);
    request.body = call.body;
    request.deadlineMs = static_cast<std::int32_t>(std::max<TimeMs>(action.until - monotonicMs(), 1));
    request.requestId = fields.requestId;
    request.idempotencyKey = fields.key;
    request.caller = fields.caller;
    request.bulk = work.bulk;
    request.version = work.version;
    const wire::HostRecord &target = *work.session->view()->backend(action.backend).record;
    if (target.zone != m_state.settings.zone) {
        request.__set_fromOtherZone(true);
    }
    if (!fields.hostName.empty()) {
        request.__set_hostName(fields.hostName);
    }
    if (work.rank) {
        request.__set_rank(static_cast<std::int32_t>(*work.rank));
        request.__set_kind(static_cast<std::int64_t>(XXH3_64bits(work.routeKey.data(), work.routeKey.size())));
    }
    if (work.objectiveMs > 0) {
        const TimeMs left = work.request->received + work.objectiveMs - monotonicMs();
        request.__set_objectiveMs(static_cast<std::int32_t>(work.objectiveMs));
        request.__set_objectiveLeftMs(static_cast<std::int32_t>(left));
        if (action.maySpill && m_state.settings.balancer.zoneFirst) {
            const bool large = work.kind == RequestKind::Download;
            const TimeMs mayTake = work.objectiveMs * (large ? kLargeZonePercent : kZonePercent) / 100;
            request.__set_spillLeftMs(static_cast<std::int32_t>(mayTake - (work.objectiveMs - left)));
        }
    }
    return request;
}

void DataWorker::dispatch(std::uint64_t id, Work &work, const SessionAction &action)
{
    work.attempt = action.attempt;
    work.dispatched = monotonicMs();
    m_state.dispatched.fetch_add(1, std::memory_order_relaxed);
    const AttemptId attempt = action.attempt;
    work.lastHost = work.session->view()->backend(action.backend).host;
    if (action.ownHost) {
        work.localCall = m_calls.execute(hopRequest(work, action), false, action.until,
                                         [this, id, attempt](wire::HopResponse &&response) {
                                             attemptFinished(id, attempt, std::move(response), true);
                                         });
        return;
    }
    const wire::HostRecord &record = *work.session->view()->backend(action.backend).record;
    const SocketAddress peer{record.address, static_cast<std::uint16_t>(record.hopPort)};
    work.hopCall = m_hopClient.send(peer, hopRequest(work, action), [this, id, attempt](HopOutcome outcome) {
        const bool reported = outcome.fromPeer;
        attemptFinished(id, attempt, toResponse(std::move(outcome)), reported);
    });
}

void DataWorker::attemptFinished(std::uint64_t id, AttemptId attempt, wire::HopResponse &&response, bool reported)
{
    const auto found = m_work.find(id);
    if (found == m_work.end()) {
        m_state.counters.lateAnswers.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    Work &work = found->second;
    m_state.metrics.observeLeg(RequestLeg::Attempt, monotonicMs() - work.dispatched);
    work.localCall = 0;
    work.hopCall = 0;
    work.response = std::move(response);
    AttemptResult result;
    result.verdict = static_cast<Verdict>(work.response.verdict);
    result.reason = static_cast<Reason>(work.response.reason);
    result.status = work.response.status;
    result.retryAfterMs = work.response.retryAfterMs;
    result.load = reported ? work.response.outstanding : -1;
    result.reachedBackend = reachedBackend(work.response);
    work.lastReason = result.reason;
    act(id, work.session->attemptFinished(attempt, result, monotonicMs()));
}

TimeMs DataWorker::spreadRetry(const Work &work, TimeMs retryAfterMs)
{
    if (work.objectiveMs == 0 || retryAfterMs <= 0) {
        return retryAfterMs;
    }
    // Callers that are refused together would retry together (thundering herd). They are told times that are spread
    // evenly around the time at which room is expected.
    const TimeMs mean = std::max(retryAfterMs, kMinRetryMs);
    return mean / 2 + static_cast<TimeMs>(m_random.below(static_cast<std::uint64_t>(mean) + 1));
}

std::string DataWorker::describe(const Work &work, TimeMs now) const
{
    return "at=entry request=" + work.request->fields.requestId + " peer=" + work.request->call.peerIp
        + " route=" + work.routeKey + " kind=" + std::string(kindName(work.kind)) + " service=" + work.serviceName
        + " version=" + std::to_string(work.version) + " attempts=" + std::to_string(work.session->attempts())
        + " last_host=" + work.lastHost + " age_ms=" + std::to_string(now - work.request->received)
        + " left_ms=" + std::to_string(work.deadline - now);
}

void DataWorker::logRetry(const Work &work, TimeMs delayMs)
{
    const TimeMs now = monotonicMs();
    if (m_state.decisions.takeFailure(now)) {
        m_state.decisions.write(describe(work, now) + " outcome=retry reason="
                                + std::string(reasonName(work.lastReason)) + " delay_ms=" + std::to_string(delayMs));
    }
}

void DataWorker::logAnswer(const Work &work, const SessionAction &action, TimeMs now)
{
    const bool good = action.verdict == Verdict::Answered && action.status < kFirstServerError;
    if (good ? !m_state.decisions.takeAnswered() : !m_state.decisions.takeFailure(now)) {
        return;
    }
    m_state.decisions.write(describe(work, now) + " outcome=" + std::string(verdictName(action.verdict))
                            + " reason=" + std::string(reasonName(action.reason)) + " last_reason="
                            + std::string(reasonName(work.lastReason)) + " status=" + std::to_string(action.status)
                            + " retry_after_ms=" + std::to_string(action.retryAfterMs));
}

void DataWorker::backoff(std::uint64_t id, Work &work, TimeMs until)
{
    work.backoff = m_loop.runAfter(until - monotonicMs(), [this, id] {
        Work &waited = m_work[id];
        waited.backoff = {};
        // The session keeps using the retry budget of its first routing state, which outlives a change of the manifest.
        act(id, waited.session->backoffOver(m_state.views.share()->view, monotonicMs()));
    });
}

void DataWorker::cancelAttempt(Work &work)
{
    if (work.localCall != 0) {
        m_calls.cancel(work.localCall);
        work.localCall = 0;
    }
    if (work.hopCall != 0) {
        m_hopClient.cancel(work.hopCall);
        work.hopCall = 0;
    }
}

void DataWorker::answer(std::uint64_t id, const SessionAction &action)
{
    const auto found = m_work.find(id);
    Work work = std::move(found->second);
    m_work.erase(found);
    m_loop.cancel(work.timer);
    m_loop.cancel(work.backoff);
    m_state.outstanding.fetch_sub(1, std::memory_order_relaxed);
    m_state.outstandingBytes.fetch_sub(work.request->call.body.size(), std::memory_order_relaxed);
    m_state.metrics.countVerdict(action.verdict);
    const TimeMs now = monotonicMs();
    m_state.metrics.observeRequest(work.kind, action.verdict, now - work.request->received);
    logAnswer(work, action, now);
    HttpFields fields;
    std::string body;
    if (action.verdict == Verdict::Answered) {
        fields.reserve(work.response.fields.size() + 4);
        for (wire::HttpField &field : work.response.fields) {
            fields.emplace_back(std::move(field.name), std::move(field.value));
        }
        body = std::move(work.response.body);
    } else {
        m_state.metrics.countRefusal(action.reason);
        m_state.refused.fetch_add(action.verdict == Verdict::NotRun ? 1 : 0, std::memory_order_relaxed);
    }
    AnswerNotes notes{action.verdict,
                      action.reason,
                      action.status,
                      spreadRetry(work, action.retryAfterMs),
                      work.request->fields.requestId,
                      work.version};
    m_state.settings.dialect->addAnswerFields(notes, fields);
    if (action.reason != Reason::CallerGone) {
        m_state.settings.hopConfig.gauge->callerBytes.fetch_add(body.size() + kHeadBytes, std::memory_order_relaxed);
        work.request->call.responder->send(action.status, fields, std::move(body));
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

void DataWorker::onHopCancel(HopCallId call)
{
    const auto found = m_hopCalls.find(call);
    if (found != m_hopCalls.end()) {
        m_calls.cancel(found->second);
        m_hopCalls.erase(found);
    }
}

} // namespace fulmarledge
