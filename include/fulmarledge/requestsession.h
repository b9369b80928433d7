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

/// One attempt of one request. Unique within a process; pairs an answer with its request.
struct AttemptId {
    std::uint64_t value = 0;

    bool operator==(const AttemptId &) const = default;
};

inline bool isValid(AttemptId id)
{
    return id.value != 0;
}

/// Counters of one node, by reason. The metric label is `reasonName`.
struct RequestCounters {
    using PerReason = std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(Reason::Count)>;

    PerReason refused{}; ///< requests that ended with "not run"
    PerReason uncertain{}; ///< requests that ended with "may have run"
    PerReason retried{}; ///< attempts repeated, by the reason of the attempt before
    PerReason notRetried{}; ///< failed attempts not repeated, by what forbade it
    std::atomic<std::uint64_t> answered{0};
    std::atomic<std::uint64_t> lateAnswers{0}; ///< outcomes of attempts that were already over
};

struct SessionConfig {
    RetryConfig retry;
    std::uint32_t maxDepth = 32; ///< call chains are up to 18 deep; deeper ones are taken for loops
    TimeMs retryAfterMs = 1000; ///< for a "not run" that names no time of its own
};

/// A caller's request as the entry node's headers give it. The views must outlive the session.
struct SessionRequest {
    std::uint64_t id = 0; ///< unique within the process, above 0
    ServiceHandle service; ///< in the snapshot of the view
    std::string_view method;
    std::string_view key; ///< idempotency key, empty without one
    std::uint32_t depth = 1; ///< depth in the call chain, 1 for a call from outside
    TimeMs deadline = 0;
    RequestKind kind = RequestKind::ByMethod;
    std::uint32_t maxAttempts = 0; ///< backend servers that the request may be sent to; 0 for the node's setting
};

enum class ActionKind : std::uint8_t {
    None,
    Dispatch, ///< send to `backend` of `view()`; report with `attemptFinished`
    Wait, ///< call `backoffOver` at `until`
    Cancel, ///< stop `attempt`; its outcome is ignored
    Answer, ///< last action of the session
};

struct SessionAction {
    ActionKind kind = ActionKind::None;
    AttemptId attempt; ///< Dispatch, Cancel
    BackendHandle backend; ///< Dispatch, in the snapshot of `view()`
    bool maySpill = false; ///< Dispatch: a busy host may send it on to another data centre
    bool ownHost = false; ///< Dispatch: to the slot guard of this process, without a hop
    TimeMs until = 0; ///< Dispatch: deadline; Wait: end
    Verdict verdict = Verdict::NotRun; ///< Answer
    Reason reason = Reason::None; ///< Answer
    int status = 0; ///< Answer: HTTP status; the backend server's own if the verdict is Answered
    TimeMs retryAfterMs = 0; ///< Answer
};

/// Actions to carry out in order.
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

/// How an attempt ended, from the hop or the local slot guard.
struct AttemptResult {
    Verdict verdict = Verdict::MayHaveRun;
    Reason reason = Reason::None;
    int status = 0; ///< the backend server's if answered, else the status of a key owner's refusal or 0
    TimeMs retryAfterMs = 0;
    std::int32_t load = -1; ///< requests in the host's slot guard, or -1 if not reported
    bool reachedBackend = true; ///< false when it was refused before it was sent to a backend server
};

/// One caller's request at its entry node. Belongs to one thread at a time; sessions of several threads share views,
/// budgets and counters. The deadline and a caller that goes away end it in every state.
class RequestSession
{
public:
    using ViewPtr = std::shared_ptr<const BalancerView>;

    /// @param budget of the request's service at this node
    RequestSession(const SessionRequest &request, ViewPtr view, const SessionConfig &config, RetryBudget &budget,
                   RandomSource &random, RequestCounters &counters);
    ~RequestSession();
    RequestSession(const RequestSession &) = delete;
    RequestSession &operator=(const RequestSession &) = delete;

    SessionActions start(TimeMs now);
    SessionActions attemptFinished(AttemptId attempt, const AttemptResult &result, TimeMs now);
    /// @param view current view, in which a host that began to drain meanwhile is not chosen
    SessionActions backoffOver(ViewPtr view, TimeMs now);
    SessionActions deadlineReached(TimeMs now);
    SessionActions callerGone(TimeMs now);

    bool isDone() const
    {
        return m_state == State::Done;
    }
    /// View that the handle of the last dispatch belongs to.
    const ViewPtr &view() const
    {
        return m_view;
    }
    std::uint32_t attempts() const
    {
        return m_attempts;
    }

private:
    enum class State : std::uint8_t { New, Dispatched, BackingOff, Done };

    SessionActions dispatch(TimeMs now);
    SessionActions afterFailure(const AttemptResult &result, TimeMs now);
    SessionActions stop(Reason reason, AttemptEnd end, TimeMs now);
    SessionAction finish(Verdict verdict, Reason reason, int status, TimeMs retryAfterMs);
    SessionAction fail(Reason reason, const AttemptResult &last);
    void endAttempt(AttemptEnd end, TimeMs now);
    bool isIdempotent() const;

    SessionRequest m_request;
    ViewPtr m_view;
    ServiceHandle m_service; ///< in the snapshot of `m_view`
    SessionConfig m_config;
    RetryBudget &m_budget;
    RandomSource &m_random;
    RequestCounters &m_counters;
    State m_state = State::New;
    bool m_mayHaveRun = false; ///< an earlier attempt ended without a certain "not run"
    std::uint32_t m_attempts = 0;
    std::uint32_t m_sent = 0; ///< attempts that reached a backend server, or may have
    AttemptId m_attempt;
    BackendHandle m_backend;
    TimeMs m_dispatched = 0;
    TriedHosts m_tried;
};

} // namespace fulmarledge
