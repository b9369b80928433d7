#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <unordered_map>

#include "backendcalls_p.h"
#include "fulmarledge/requestsession.h"
#include "hop.h"
#include "httpserver.h"
#include "localbackend_p.h"
#include "log.h"
#include "metrics.h"
#include "requestdialect.h"
#include "requestorganisation.h"
#include "requestpath.h"
#include "routingstatepublisher_p.h"

namespace fulmarledge {

/// Retry time told to callers that this node refuses before any attempt.
constexpr TimeMs kRefusalRetryAfterMs = 1000;

/// State shared by the threads of one RequestPath.
struct RequestPathState {
    RequestPathState(const RequestPathSettings &requestPathSettings, Metrics &requestPathMetrics);

    RequestPathSettings settings;
    Metrics &metrics;
    LocalBackend backend;
    std::shared_ptr<MemoryBudget> answerMemory; ///< bodies of unfinished answers
    RoutingStatePublisher routingPublisher;
    RequestCounters counters; ///< counted by the sessions
    DecisionLog decisions;
    std::atomic<std::uint64_t> nextSessionId{1};
    std::atomic<std::uint64_t> outstanding{0}; ///< callers' requests in progress
    std::atomic<std::uint64_t> outstandingBytes{0}; ///< bodies of the outstanding requests
    std::atomic<std::uint64_t> dispatched{0}; ///< attempts sent
    /// Requests whose credit was returned, by the reason for which they have not run.
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(Reason::Count)> quotaReturned{};
    std::atomic<std::uint64_t> refused{0}; ///< callers' requests that ended with "not run"
};

/// A caller's request whose header fields are valid.
struct CallerRequest {
    HttpCall call;
    CallerFields fields;
    TimeMs receivedAt = 0;
};

/// Answers a caller with a refusal that this node decides before any attempt.
/// @param requestId sent back to the caller and logged, if not empty
void sendRefusal(RequestPathState &state, const HttpCall &call, int status, Reason reason, const std::string &detail,
                 const std::string &requestId = {}, TimeMs retryAfterMs = kRefusalRetryAfterMs);

/// One data thread. Runs the sessions of callers' requests, the connections to other nodes and the calls to the backend
/// server.
class DataWorker
{
public:
    explicit DataWorker(RequestPathState &state);
    ~DataWorker();
    DataWorker(const DataWorker &) = delete;
    DataWorker &operator=(const DataWorker &) = delete;

    void start();
    void stop();
    IoLoop &loop()
    {
        return m_loop;
    }

    /// Handles a caller's request. Thread-safe.
    void submit(std::shared_ptr<CallerRequest> request);
    /// Serves a connection accepted from another node. Thread-safe.
    void acceptHop(int fd);
    /// From any thread: refuses the requests whose key the published snapshot does not know any more, as far as they
    /// certainly have not run.
    void recheckKeys();
    /// From any thread: ends all requests of callers because the process is about to exit.
    void answerOutstanding();
    /// From any thread: updates `unsentBytes` from now on.
    void beginUnsentReports();
    /// From any thread: bytes of answers to other nodes that were not handed to the kernel at the last report.
    std::size_t unsentBytes() const
    {
        return m_unsentBytes.load(std::memory_order_relaxed);
    }
    /// From any thread: connections accepted from other nodes.
    std::size_t hopConnections() const
    {
        return m_hopServer.connectionCount();
    }

private:
    class Random : public RandomSource
    {
    public:
        std::uint64_t below(std::uint64_t bound) override;

    private:
        std::minstd_rand m_engine{std::random_device{}()};
    };

    /// A caller's request in progress.
    struct ActiveRequest {
        std::shared_ptr<CallerRequest> request;
        std::shared_ptr<const RoutingState> routing; ///< at the start of the session
        std::unique_ptr<RequestSession> session; ///< null while the request waits for credit of its organisation
        bool holdsQuota = false; ///< took credit of its organisation in `routing`
        std::uint32_t quotaOrganisation = 0; ///< index in the table of `routing`
        TimeMs quotaWaitFrom = 0; ///< first attempt to get credit; 0 before
        std::string target;
        std::string serviceName;
        std::string routeKey;
        std::string lastHost; ///< of the last attempt
        std::string lastVersion; ///< of that backend server, empty when not announced
        RequestKind kind = RequestKind::ByMethod;
        Version version = 0; ///< of the manifest that the session started with
        bool bulk = false; ///< sent on the bulk connections
        RequestOrganisation organisation; ///< by the key, in the snapshot that was looked up last
        std::optional<std::uint32_t> routePriority; ///< unless the kind of the route is ByMethod
        TimeMs objectiveMs = 0; ///< latency objective of the route; 0 for none
        TimeMs deadline = 0;
        TimeMs dispatchedAt = 0; ///< start of the last attempt
        TimerId deadlineTimer; ///< runs out at the deadline
        TimerId backoffTimer; ///< runs out when the next attempt is due
        AttemptId attempt;
        std::uint64_t localCall = 0; ///< id in `m_calls`, 0 without a call
        std::uint64_t hopCall = 0; ///< id in `m_hopClient`, 0 without a call
        Reason lastReason = Reason::None; ///< of the last attempt
        wire::HopResponse response; ///< of the last attempt
    };

    /// Finds the route of a request and starts its session, or refuses it.
    void beginRequest(std::shared_ptr<CallerRequest> request);
    /// Looks up the route and the key of a request in the current snapshot, takes credit of its organisation and starts
    /// its session, or refuses it.
    void routeRequest(std::uint64_t id, ActiveRequest &active);
    /// Takes credit of the organisation, lets the request wait for some, or refuses it.
    /// @return whether the request was admitted
    bool takeQuota(std::uint64_t id, ActiveRequest &active);
    /// Returns the credit of a request that certainly has not run.
    void returnQuota(ActiveRequest &active, Reason reason);
    /// Forgets a request that was answered without a session.
    void endUnstarted(std::uint64_t id, const ActiveRequest &active);
    void startSession(std::uint64_t id, ActiveRequest &active, RouteHandle route);
    /// Looks up the key and the route of a request that waits in a later snapshot.
    /// @return false if the route needs a key, and the request's is not known any more
    static bool recheckKey(ActiveRequest &active, const Snapshot &snapshot);
    void refuseWithdrawnKey(std::uint64_t id, ActiveRequest &active);
    /// Carries out the actions that a session asks for.
    void applyActions(std::uint64_t id, const SessionActions &actions);
    void dispatch(std::uint64_t id, ActiveRequest &active, const SessionAction &action);
    wire::HopRequest makeHopRequest(const ActiveRequest &active, const SessionAction &action) const;
    /// @param hasLoad a node answered, so that the response states its load
    void onAttemptFinished(std::uint64_t id, AttemptId attempt, wire::HopResponse &&response, bool hasLoad);
    void logRetry(const ActiveRequest &active, TimeMs delayMs);
    void logAnswer(const ActiveRequest &active, const SessionAction &action, TimeMs now);
    /// Retry time that the caller is told, in ms.
    TimeMs jitterRetryAfter(const ActiveRequest &active, TimeMs retryAfterMs);
    /// Fields at the start of each log line about a request.
    std::string requestLogFields(const ActiveRequest &active, TimeMs now) const;
    void startBackoff(std::uint64_t id, ActiveRequest &active, TimeMs until);
    void cancelAttempt(ActiveRequest &active);
    void answerCaller(std::uint64_t id, const SessionAction &action);
    void onCallerGone(std::uint64_t id);
    void onHopRequest(HopCallId call, wire::HopRequest &&request);
    void onHopCancel(HopCallId call);
    void onHopPeerSilent(HopCallId call);
    bool isHopCallRunning(HopCallId call) const;
    void reportUnsent();

    RequestPathState &m_state;
    IoLoop m_loop;
    Random m_random;
    BackendCalls m_calls;
    HopClient m_hopClient;
    HopServer m_hopServer;
    std::unordered_map<std::uint64_t, ActiveRequest> m_activeRequests;
    std::map<HopCallId, std::uint64_t> m_hopCalls; ///< requests of other nodes, with their ids in `m_calls`
    std::atomic<std::size_t> m_unsentBytes{0};
    std::thread m_thread;
};

} // namespace fulmarledge
