#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string_view>

#include "fulmarledge/balancer.h"
#include "fulmarledge/retry.h"
#include "fulmarledge/types.h"
#include "fulmarledge/verdict.h"

namespace fulmarledge {

/// Identifies one attempt of one request. Unique within a process, so that an answer is matched to its request.
struct AttemptId {
    std::uint64_t value = 0;

    bool operator==(const AttemptId &) const = default;
};

inline bool isValid(AttemptId id)
{
    return id.value != 0;
}

/// Counters of one node, by reason. The label of the metric is the reason's `reasonName`.
struct RequestCounters {
    using PerReason = std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(Reason::Count)>;

    PerReason refused{}; ///< requests that ended with "not run"
    PerReason uncertain{}; ///< requests that ended with "may have run"
    PerReason retried{}; ///< retries, by the reason why the previous attempt failed
    PerReason notRetried{}; ///< failed attempts without a retry, by the reason that forbade it
    std::atomic<std::uint64_t> answered{0}; ///< requests that a backend server answered
    std::atomic<std::uint64_t> lateAnswers{0}; ///< ignored outcomes of attempts that had already ended
};

struct SessionConfig {
    RetryConfig retry;
    std::uint32_t maxDepth = 32; ///< call chains are up to 18 deep; those above the limit are treated as loops
    TimeMs retryAfterMs = 1000; ///< for a "not run" outcome whose last refusal gave no time
};

/// A caller's request as the entry node read it from the headers. The string views must outlive the session.
struct SessionRequest {
    std::uint64_t id = 0; ///< unique within the process, above 0
    ServiceHandle service; ///< in the snapshot of the session's first view
    std::string_view method;
    std::string_view key; ///< idempotency key, empty for none
    std::uint32_t depth = 1; ///< depth in the call chain, 1 for a call from outside
    TimeMs deadline = 0;
    RequestKind kind = RequestKind::ByMethod;
    std::uint32_t maxAttempts = 0; ///< most attempts that reach a backend server; 0 for no limit but the node's
};

enum class ActionKind : std::uint8_t {
    None,
    Dispatch, ///< send the request to `backend` of `view()`, and report the outcome to `attemptFinished`
    Wait, ///< call `backoffOver` at `until`
    Cancel, ///< stop `attempt`, whose outcome is ignored from now on
    Answer, ///< answer the caller; last action of the session
};

struct SessionAction {
    ActionKind kind = ActionKind::None;
    AttemptId attempt; ///< Dispatch, Cancel
    BackendHandle backend; ///< Dispatch, in the snapshot of `view()`
    bool maySpill = false; ///< Dispatch: a busy host may refuse the request, so that another data centre takes it
    bool ownHost = false; ///< Dispatch: goes to the slot guard of this process, not to another node
    TimeMs until = 0; ///< Dispatch: deadline of the request; Wait: end of the back-off
    Verdict verdict = Verdict::NotRun; ///< Answer
    Reason reason = Reason::None; ///< Answer
    int status = 0; ///< Answer: HTTP status; the backend server's own if the verdict is Answered
    TimeMs retryAfterMs = 0; ///< Answer
};

/// Actions of the session, to be carried out in order.
struct SessionActions {
    std::array<SessionAction, 2> items{};
    std::size_t count = 0;

    void add(const SessionAction &action)
    {
        items[count++] = action;
    }
    const SessionAction *begin() const
    {
        return items.data();
    }
    const SessionAction *end() const
    {
        return items.data() + count;
    }
};

/// How an attempt ended, as reported by the hop or the local slot guard.
struct AttemptResult {
    Verdict verdict = Verdict::MayHaveRun;
    Reason reason = Reason::None;
    int status = 0; ///< the backend server's if it answered, else that of a refusal by the key's owner, or 0
    TimeMs retryAfterMs = 0; ///< 0 if not reported
    std::int32_t load = -1; ///< requests in the host's slot guard, or -1 if not reported
    bool reachedBackend = true; ///< false when the attempt was refused before it was sent to a backend server
};

/// One caller's request at its entry node. Chooses the host of each attempt, decides on retries and determines the
/// outcome. Used by one thread at a time; the sessions of several threads share views, budgets and counters. The
/// deadline or the loss of the caller ends the session in every state.
class RequestSession
{
public:
    using ViewPtr = std::shared_ptr<const BalancerView>;

    /// @param budget retry budget of the request's service at this node
    RequestSession(const SessionRequest &request, ViewPtr view, const SessionConfig &config, RetryBudget &budget,
                   RandomSource &random, RequestCounters &counters);
    ~RequestSession();
    RequestSession(const RequestSession &) = delete;
    RequestSession &operator=(const RequestSession &) = delete;

    /// Dispatches the first attempt, or refuses the request.
    SessionActions start(TimeMs now);
    /// Ends the current attempt. The outcome of any other attempt is counted and ignored.
    SessionActions attemptFinished(AttemptId attempt, const AttemptResult &result, TimeMs now);
    /// Dispatches the next attempt.
    /// @param view current view, so that no host is chosen that began to drain during the back-off
    SessionActions backoffOver(ViewPtr view, TimeMs now);
    /// Cancels the current attempt and answers the caller.
    SessionActions deadlineReached(TimeMs now);
    /// Cancels the current attempt and ends the session.
    SessionActions callerGone(TimeMs now);
    /// Refuses the request because its key is not known any more. Does nothing while an attempt is under way that may
    /// have reached a backend server.
    /// @param attemptWaits the current attempt certainly still waits in the slot guard of this process
    SessionActions keyWithdrawn(bool attemptWaits, TimeMs now);
    /// Cancels the current attempt and answers the caller, because the process is about to exit.
    SessionActions nodeStopping(TimeMs now);

    bool isDone() const
    {
        return m_state == State::Done;
    }
    /// View to which the backend handle of the last dispatch belongs.
    const ViewPtr &view() const
    {
        return m_view;
    }
    std::uint32_t attempts() const
    {
        return m_attempts;
    }
    /// Whether the request may run more than once. Valid after `start`.
    bool isIdempotent() const;

private:
    enum class State : std::uint8_t { New, Dispatched, BackingOff, Done };

    SessionActions dispatch(TimeMs now);
    SessionActions retryOrFail(const AttemptResult &result, TimeMs now);
    /// Cancels the current attempt, if any, and ends the session.
    SessionActions cancelAndFail(Reason reason, AttemptEnd end, TimeMs now);
    SessionAction finish(Verdict verdict, Reason reason, int status, TimeMs retryAfterMs);
    /// Ends the session without an answer of a backend server.
    /// @param last result of the last attempt, empty if it gave none
    SessionAction finishUnanswered(Reason reason, const AttemptResult &last);
    /// Reports the end of the current attempt to the view.
    void endAttempt(AttemptEnd end, TimeMs now);

    SessionRequest m_request;
    ViewPtr m_view;
    ServiceHandle m_service; ///< in the snapshot of `m_view`
    SessionConfig m_config;
    RetryBudget &m_budget;
    RandomSource &m_random;
    RequestCounters &m_counters;
    State m_state = State::New;
    bool m_mayHaveRun = false; ///< an attempt ended with an uncertain outcome
    std::uint32_t m_attempts = 0;
    std::uint32_t m_backendAttempts = 0; ///< finished attempts that reached a backend server, or may have
    AttemptId m_attempt;
    BackendHandle m_backend;
    TimeMs m_dispatchedAt = 0;
    TriedHosts m_triedHosts;
};

} // namespace fulmarledge
