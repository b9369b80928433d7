#include "fulmarledge/requestsession.h"

#include <algorithm>
#include <utility>

namespace fulmarledge {

namespace {

constexpr int kUnauthorized = 401;
constexpr int kServiceUnavailable = 503;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;
constexpr int kFirstServerError = 500;
constexpr int kLoopDetected = 508;
/// The id of an attempt is the id of its request times this number, plus the number of the attempt.
constexpr std::uint64_t kAttemptsPerRequest = 16;

std::size_t counterIndex(Reason reason)
{
    return std::min(static_cast<std::size_t>(reason), static_cast<std::size_t>(Reason::Count) - 1);
}

AttemptEnd attemptEndOf(const AttemptResult &result)
{
    switch (result.verdict) {
    case Verdict::Answered:
        return result.status >= kFirstServerError ? AttemptEnd::Failed : AttemptEnd::Answered;
    case Verdict::NotRun:
        return result.reason == Reason::ConnectFailed || result.reason == Reason::ConnectionLost ? AttemptEnd::Failed
                                                                                                 : AttemptEnd::Refused;
    case Verdict::MayHaveRun:
        break;
    }
    // For these reasons the owner of the key answered itself, without its backend server.
    const bool answeredByOwner = result.reason == Reason::DuplicateInProgress || result.reason == Reason::OutcomeUnknown
        || result.reason == Reason::AnswerNotKept;
    if (result.reason == Reason::DeadlineExceeded) {
        return AttemptEnd::TimedOut;
    }
    return answeredByOwner || result.reason == Reason::CallerGone ? AttemptEnd::Cancelled : AttemptEnd::Failed;
}

} // namespace

RequestSession::RequestSession(const SessionRequest &request, ViewPtr view, const SessionConfig &config,
                               RetryBudget &budget, RandomSource &random, RequestCounters &counters)
    : m_request(request)
    , m_view(std::move(view))
    , m_config(config)
    , m_budget(budget)
    , m_random(random)
    , m_counters(counters)
{
}

RequestSession::~RequestSession()
{
    if (m_state == State::Dispatched) {
        m_view->endAttempt(m_backend, AttemptEnd::Cancelled, 0, m_dispatchedAt);
    }
}

bool RequestSession::isIdempotent() const
{
    if (m_request.kind != RequestKind::ByMethod) {
        return isRepeatable(m_request.kind);
    }
    const auto &methods = m_view->snapshot().service(m_service).spec.idempotentMethods;
    return std::any_of(methods.begin(), methods.end(),
                       [this](const std::string &method) { return method == m_request.method; });
}

SessionActions RequestSession::start(TimeMs now)
{
    SessionActions actions;
    if (m_state != State::New) {
        return actions;
    }
    m_service = m_request.service;
    if (!isValid(m_service)) {
        actions.add(finish(Verdict::NotRun, Reason::NoRoute, 404, 0));
        return actions;
    }
    if (m_request.depth > m_config.maxDepth) {
        actions.add(finish(Verdict::NotRun, Reason::DepthExceeded, kLoopDetected, 0));
        return actions;
    }
    m_budget.addRequest(now);
    return dispatch(now);
}

SessionActions RequestSession::dispatch(TimeMs now)
{
    SessionActions actions;
    if (now >= m_request.deadline) {
        actions.add(finishUnanswered(Reason::DeadlineExceeded, {}));
        return actions;
    }
    // A keyed request goes only to the owner of its key. If another host executed it, the owner would not know that and
    // would execute a repeat.
    m_backend = m_request.key.empty() ? m_view->choose(m_service, m_triedHosts, m_random, now)
                                      : m_view->keyOwner(m_service, m_request.key);
    if (!isValid(m_backend)) {
        actions.add(finishUnanswered(Reason::NoBackend, {}));
        return actions;
    }
    m_state = State::Dispatched;
    m_dispatchedAt = now;
    m_attempt = {m_request.id * kAttemptsPerRequest + m_attempts};
    ++m_attempts;
    m_triedHosts.add(&m_view->state(m_backend));
    m_view->beginAttempt(m_backend);
    SessionAction action;
    action.kind = ActionKind::Dispatch;
    action.attempt = m_attempt;
    action.backend = m_backend;
    action.ownHost = m_view->isOwnHost(m_backend);
    action.maySpill = m_request.key.empty() && m_view->canSpill(m_backend, m_triedHosts);
    action.until = m_request.deadline;
    actions.add(action);
    return actions;
}

SessionActions RequestSession::attemptFinished(AttemptId attempt, const AttemptResult &result, TimeMs now)
{
    if (m_state != State::Dispatched || attempt != m_attempt) {
        m_counters.lateAnswers.fetch_add(1, std::memory_order_relaxed);
        return {};
    }
    if (result.load >= 0) {
        m_view->recordLoad(m_backend, static_cast<std::uint32_t>(result.load), now);
    }
    endAttempt(attemptEndOf(result), now);
    m_backendAttempts += result.reachedBackend ? 1 : 0;
    if (result.verdict != Verdict::Answered) {
        m_mayHaveRun = m_mayHaveRun || result.verdict == Verdict::MayHaveRun;
        return retryOrFail(result, now);
    }
    SessionActions actions;
    actions.add(finish(Verdict::Answered, Reason::None, result.status, 0));
    return actions;
}

SessionActions RequestSession::retryOrFail(const AttemptResult &result, TimeMs now)
{
    SessionActions actions;
    const bool keyed = !m_request.key.empty();
    if (!keyed && !m_view->hasUntriedHost(m_service, m_triedHosts)) {
        actions.add(finishUnanswered(result.reason, result));
        return actions;
    }
    AttemptOutcome outcome;
    outcome.verdict = result.verdict;
    outcome.reason = result.reason;
    outcome.idempotent = isIdempotent();
    outcome.reachedBackend = result.reachedBackend;
    outcome.keyed = keyed;
    outcome.attempts = m_attempts;
    outcome.remainingMs = m_request.deadline - now;
    // The limit of the route counts only attempts that reached a backend server. The limit of the node counts all.
    if (m_request.maxAttempts > 0 && m_backendAttempts >= m_request.maxAttempts) {
        m_counters.notRetried[counterIndex(Reason::AttemptsExhausted)].fetch_add(1, std::memory_order_relaxed);
        actions.add(finishUnanswered(result.reason, result));
        return actions;
    }
    const RetryDecision decision = decideRetry(outcome, m_config.retry, m_budget, m_random, now);
    if (!decision.retry) {
        m_counters.notRetried[counterIndex(decision.reason)].fetch_add(1, std::memory_order_relaxed);
        actions.add(finishUnanswered(decision.reason, result));
        return actions;
    }
    m_counters.retried[counterIndex(result.reason)].fetch_add(1, std::memory_order_relaxed);
    m_state = State::BackingOff;
    SessionAction wait;
    wait.kind = ActionKind::Wait;
    wait.until = now + decision.delayMs;
    actions.add(wait);
    return actions;
}

SessionActions RequestSession::backoffOver(ViewPtr view, TimeMs now)
{
    if (m_state != State::BackingOff) {
        return {};
    }
    if (view != m_view) {
        const ServiceHandle service = view->snapshot().findService(m_view->snapshot().service(m_service).spec.name);
        m_view = std::move(view);
        m_service = service;
    }
    if (!isValid(m_service)) {
        SessionActions actions;
        actions.add(finishUnanswered(Reason::NoBackend, {}));
        return actions;
    }
    return dispatch(now);
}

SessionActions RequestSession::deadlineReached(TimeMs now)
{
    return cancelAndFail(Reason::DeadlineExceeded, AttemptEnd::TimedOut, now);
}

SessionActions RequestSession::callerGone(TimeMs now)
{
    return cancelAndFail(Reason::CallerGone, AttemptEnd::Cancelled, now);
}

SessionActions RequestSession::nodeStopping(TimeMs now)
{
    return cancelAndFail(Reason::Draining, AttemptEnd::Cancelled, now);
}

SessionActions RequestSession::keyWithdrawn(bool attemptWaits, TimeMs now)
{
    SessionActions actions;
    if (m_state == State::Dispatched && attemptWaits) {
        endAttempt(AttemptEnd::Cancelled, now);
        SessionAction cancel;
        cancel.kind = ActionKind::Cancel;
        cancel.attempt = m_attempt;
        actions.add(cancel);
    } else if (m_state != State::BackingOff) {
        return actions;
    }
    AttemptResult refused;
    refused.status = m_mayHaveRun ? 0 : kUnauthorized;
    actions.add(finishUnanswered(Reason::UnknownKey, refused));
    return actions;
}

SessionActions RequestSession::cancelAndFail(Reason reason, AttemptEnd end, TimeMs now)
{
    SessionActions actions;
    if (m_state == State::Done) {
        return actions;
    }
    if (m_state == State::Dispatched) {
        endAttempt(end, now);
        m_mayHaveRun = true;
        SessionAction cancel;
        cancel.kind = ActionKind::Cancel;
        cancel.attempt = m_attempt;
        actions.add(cancel);
    }
    actions.add(finishUnanswered(reason, {}));
    return actions;
}

void RequestSession::endAttempt(AttemptEnd end, TimeMs now)
{
    m_state = State::New;
    m_view->endAttempt(m_backend, end, static_cast<double>(now - m_dispatchedAt), now);
}

SessionAction RequestSession::finishUnanswered(Reason reason, const AttemptResult &last)
{
    if (!m_mayHaveRun) {
        const TimeMs retryAfterMs = last.retryAfterMs > 0 ? last.retryAfterMs : m_config.retryAfterMs;
        return finish(Verdict::NotRun, reason, last.status > 0 ? last.status : kServiceUnavailable, retryAfterMs);
    }
    // One attempt with an uncertain outcome makes the whole request uncertain, however later attempts ended.
    const int status = reason == Reason::DeadlineExceeded ? kGatewayTimeout : kBadGateway;
    return finish(Verdict::MayHaveRun, reason, last.status > 0 ? last.status : status, last.retryAfterMs);
}

SessionAction RequestSession::finish(Verdict verdict, Reason reason, int status, TimeMs retryAfterMs)
{
    m_state = State::Done;
    if (verdict == Verdict::Answered) {
        m_counters.answered.fetch_add(1, std::memory_order_relaxed);
    } else {
        auto &counters = verdict == Verdict::NotRun ? m_counters.refused : m_counters.uncertain;
        counters[counterIndex(reason)].fetch_add(1, std::memory_order_relaxed);
    }
    SessionAction answer;
    answer.kind = ActionKind::Answer;
    answer.verdict = verdict;
    answer.reason = reason;
    answer.status = status;
    answer.retryAfterMs = retryAfterMs;
    return answer;
}

} // namespace fulmarledge
