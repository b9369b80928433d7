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

/// Rule that a test breaks on purpose, to show that a check notices.
enum class BrokenRule { None, FalseNotRun, NoPairing, KeysForgotten, RunsWhileDraining, UnlimitedRetries };

struct ModelConfig {
    std::uint64_t seed = 1;
    int hosts = 4;
    int zones = 1;
    int entries = 2;
    std::uint32_t slots = 12;
    TimeMs minServiceMs = 10;
    TimeMs maxServiceMs = 30;
    bool guarded = true; ///< false: each backend server queues everything, in order of arrival
    unsigned faultPercent = 0; ///< of attempts that are lost, late, doubled or cut
    BrokenRule broken = BrokenRule::None;
};

struct CallSpec {
    std::string operation = {}; ///< what the backend server must execute at most once
    std::string method = "GET";
    std::string key = {};
    std::string caller = "office";
    TimeMs timeoutMs = 200;
    ServiceClass serviceClass = ServiceClass::Interactive;
    std::uint32_t attempt = 1;
};

/// Entry nodes, hops and backend servers of one service in virtual time. Every decision is made by the core modules;
/// the model moves messages, loses some, and records executions.
class RequestModel
{
public:
    struct Host {
        std::string name;
        SlotGuard guard;
        std::unique_ptr<IdempotencyTable> table;
        std::unique_ptr<Balancer> balancer;
        std::shared_ptr<const BalancerView> view;
        std::function<TimeMs(TimeMs)> serviceMs; ///< changes a drawn service time
        std::function<std::int32_t(std::int32_t)> report; ///< changes the load that is reported
        std::uint64_t seen = 0; ///< newest publication applied
        bool silent = false; ///< takes requests and never answers
        std::size_t executions = 0;
        std::uint32_t unguardedRunning = 0;
        std::deque<std::function<void()>> unguardedQueue;
    };
    struct Entry {
        explicit Entry(const RetryConfig &config)
            : budget(config)
        {
        }

        std::unique_ptr<Balancer> balancer;
        std::shared_ptr<const BalancerView> view;
        RetryBudget budget;
        RequestCounters counters;
        std::uint64_t seen = 0; ///< newest publication applied
        std::map<TimeMs, std::int64_t> requests; ///< by second
        std::map<TimeMs, std::int64_t> retries;
    };

    explicit RequestModel(const ModelConfig &config);

    void at(TimeMs time, std::function<void()> action);
    void run(TimeMs until);
    void call(const CallSpec &spec);
    /// Offers `perSecond` calls until `end`, evenly spread.
    void offer(double perSecond, TimeMs end, const CallSpec &spec);
    /// Tells every node the current records, each after its own delay of up to `maxLagMs`.
    void publish(TimeMs maxLagMs);
    void drain(std::size_t host);
    /// A new process on the host, without the keys of the last one.
    void restart(std::size_t host);

    /// Breaches of a rule of section 1 of the design page so far, as text.
    std::vector<std::string> violations() const;

    TimeMs now = 1000000; ///< above the retention time of keys, so that the first owners are certain
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<std::unique_ptr<Entry>> entries;
    std::vector<wire::HostRecord> records;
    SeededRandom random;
    std::size_t offered = 0;
    std::map<ServiceClass, std::size_t> answeredInTime;
    std::map<Verdict, std::size_t> verdicts;

private:
    struct Call {
        CallSpec spec;
        std::size_t entry = 0;
        TimeMs deadline = 0;
        std::unique_ptr<RequestSession> session;
        AttemptId attempt;
        std::size_t host = 0;
        GuardEntryId guardId;
        std::size_t executions = 0;
        Verdict verdict = Verdict::MayHaveRun;
    };
    enum class Fault { None, ConnectFailed, RequestLost, RequestSilent, AnswerLost, Late, Doubled, RequestLate };
    struct Hop {
        std::uint64_t call = 0;
        AttemptId attempt;
        std::size_t host = 0;
        Fault fault = Fault::None;
        KeyEntryId key;
    };

    void perform(std::uint64_t id, const SessionActions &actions);
    void send(std::uint64_t id, const SessionAction &action);
    void arrive(Hop hop);
    void submit(const Hop &hop);
    void refuse(const Hop &hop, Reason reason, TimeMs retryAfterMs);
    void execute(const Hop &hop, GuardEntryId guardId);
    void complete(const Hop &hop, GuardEntryId guardId);
    void pump(std::size_t host);
    void respond(const Hop &hop, AttemptResult result, const std::string &payload);
    void deliver(std::uint64_t id, AttemptId attempt, const AttemptResult &result, const std::string &payload);
    void cancel(std::uint64_t id, AttemptId attempt);
    void ended(std::uint64_t id, const SessionAction &answer);
    void checkBudget(std::vector<std::string> &found) const;

    struct Event {
        TimeMs time;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };

    ModelConfig m_config;
    SessionConfig m_session;
    std::uint64_t m_order = 0;
    std::uint64_t m_version = 0;
    std::uint64_t m_lastCall = 0;
    std::priority_queue<Event> m_events;
    std::map<std::uint64_t, Call> m_calls;
    std::map<std::uint64_t, Hop> m_waiting; ///< by host and guard entry
    std::map<std::string, std::size_t> m_executed; ///< by operation that must run at most once
    std::string m_payload; ///< of the answer being delivered
    std::vector<std::string> m_violations;
};

} // namespace fulmarledge::requesttest
