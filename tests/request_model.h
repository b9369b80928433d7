#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "fulmarledge/idempotency.h"
#include "fulmarledge/requestsession.h"
#include "fulmarledge/slotguard.h"
#include "request_fakes.h"

namespace fulmarledge::requesttest {

/// Rule that the model breaks on purpose, to show that a check detects it.
enum class BrokenRule { None, FalseNotRun, NoPairing, KeysForgotten, RunsWhileDraining, UnlimitedRetries };

struct ModelConfig {
    std::uint64_t seed = 1;
    int hosts = 4;
    int zones = 1;
    int entryNodes = 2;
    std::uint32_t slots = 12;
    TimeMs minServiceMs = 10;
    TimeMs maxServiceMs = 30;
    bool guarded = true; ///< false: backend servers have no slot guard and queue all requests in order of arrival
    unsigned faultPercent = 0; ///< share of attempts that get a `Fault`
    BrokenRule broken = BrokenRule::None;
};

struct CallSpec {
    std::string operation = {}; ///< must be executed at most once if the method is POST; also the body of the answer
    std::string method = "GET";
    std::string key = {};
    std::string caller = "office";
    TimeMs timeoutMs = 200;
    ServiceClass serviceClass = ServiceClass::Interactive;
    std::uint32_t attempt = 1; ///< 2 or more for a marked repeat
};

/// Simulation of the entry nodes, hops and backend servers of one service in virtual time. The core modules make every
/// decision. The model moves messages, loses some of them and records executions.
class RequestModel
{
public:
    struct Host {
        std::string name;
        SlotGuard guard;
        std::unique_ptr<IdempotencyTable> table;
        std::unique_ptr<Balancer> balancer;
        std::shared_ptr<const BalancerView> view;
        std::function<TimeMs(TimeMs)> adjustServiceMs; ///< changes a random service time
        std::function<std::int32_t(std::int32_t)> alterLoad; ///< changes the load that is reported
        std::uint64_t appliedVersion = 0; ///< version of the newest records applied
        bool silent = false; ///< ignores requests and sends no answers
        std::size_t executions = 0;
        std::uint32_t unguardedRunning = 0; ///< requests running without a slot guard
        std::deque<std::function<void()>> unguardedQueue; ///< requests waiting without a slot guard
    };
    struct EntryNode {
        explicit EntryNode(const RetryConfig &config)
            : budget(config)
        {
        }

        std::unique_ptr<Balancer> balancer;
        std::shared_ptr<const BalancerView> view;
        RetryBudget budget;
        RequestCounters counters;
        std::uint64_t appliedVersion = 0; ///< version of the newest records applied
        std::map<TimeMs, std::int64_t> requests; ///< by second
        std::map<TimeMs, std::int64_t> retries; ///< by second
    };

    explicit RequestModel(const ModelConfig &config);

    /// Schedules an action.
    void schedule(TimeMs time, std::function<void()> action);
    /// Runs the scheduled actions up to `until`.
    void run(TimeMs until);
    /// Makes a call now, at a random entry node.
    void call(const CallSpec &spec);
    /// Schedules `perSecond` calls per second until `end`, evenly spread.
    void offer(double perSecond, TimeMs end, const CallSpec &spec);
    /// Sends the current records to every node. Each applies them after its own random delay of up to `maxLagMs`.
    void publish(TimeMs maxLagMs);
    void drain(std::size_t host);
    /// Starts a new process on the host, which does not know the keys of the previous one.
    void restart(std::size_t host);

    /// Violations so far of the rules in section 1 of the design page, as texts.
    std::vector<std::string> violations() const;

    TimeMs now = 1000000; ///< above the retention time of keys, so that the first owners are certain
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<std::unique_ptr<EntryNode>> entryNodes;
    std::vector<wire::HostRecord> records;
    SeededRandom random;
    std::size_t offered = 0;
    std::map<ServiceClass, std::size_t> answeredInTime;
    std::map<Verdict, std::size_t> verdicts;

private:
    struct Call {
        CallSpec spec;
        std::size_t entryNode = 0;
        TimeMs deadline = 0;
        std::unique_ptr<RequestSession> session;
        AttemptId attempt;
        std::size_t host = 0;
        GuardEntryId guardId;
        std::size_t executions = 0;
        Verdict verdict = Verdict::MayHaveRun;
    };
    enum class Fault {
        None,
        ConnectFailed,
        RequestLost, ///< the request never arrives, and the entry node sees the connection break
        RequestDropped, ///< the request never arrives, and the entry node sees nothing
        AnswerLost, ///< the request is handled, and the entry node sees the connection break
        AnswerLate, ///< the answer is delayed
        AnswerDuplicated, ///< the answer arrives twice
        RequestLate ///< the entry node sees the connection break, and the request arrives all the same
    };
    /// One attempt on its way from the entry node to the host and back.
    struct Hop {
        std::uint64_t call = 0;
        AttemptId attempt;
        std::size_t host = 0;
        Fault fault = Fault::None;
        KeyEntryId key;
    };

    /// Carries out the actions of a session.
    void perform(std::uint64_t id, const SessionActions &actions);
    void send(std::uint64_t id, const SessionAction &action);
    void arrive(Hop hop);
    void submit(const Hop &hop);
    void refuse(const Hop &hop, Reason reason, TimeMs retryAfterMs);
    void execute(const Hop &hop, GuardEntryId guardId);
    void complete(const Hop &hop, GuardEntryId guardId);
    /// Starts or refuses waiting requests of the host.
    void processQueue(std::size_t host);
    void respond(const Hop &hop, AttemptResult result, const std::string &payload);
    void deliver(std::uint64_t id, AttemptId attempt, const AttemptResult &result, const std::string &payload);
    void cancel(std::uint64_t id, AttemptId attempt);
    void finishCall(std::uint64_t id, const SessionAction &answer);
    void checkRetryBudget(std::vector<std::string> &found) const;

    struct Event {
        TimeMs time;
        std::uint64_t sequence;
        std::function<void()> action;
        /// The queue returns the largest element first, so the earlier event is the larger one.
        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : sequence > other.sequence;
        }
    };

    ModelConfig m_config;
    SessionConfig m_sessionConfig;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_lastVersion = 0;
    std::uint64_t m_lastCall = 0;
    std::priority_queue<Event> m_events;
    std::map<std::uint64_t, Call> m_calls;
    std::map<std::uint64_t, Hop> m_waiting; ///< by host and guard entry
    std::map<std::string, std::size_t> m_executionsOf; ///< executions of each operation that must run at most once
    std::string m_lastPayload; ///< body of the last answer delivered
    std::vector<std::string> m_violations;
};

} // namespace fulmarledge::requesttest
