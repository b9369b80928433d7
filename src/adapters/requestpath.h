#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "fulmarledge/balancer.h"
#include "fulmarledge/callermemory.h"
#include "fulmarledge/quota.h"
#include "fulmarledge/retry.h"
#include "fulmarledge/rolloutcontrol.h"
#include "fulmarledge/snapshot.h"
#include "fulmarledge/types.h"
#include "fulmarledge/verdict.h"
#include "fulmarledge_types.h"
#include "hop.h"
#include "httpserver.h"
#include "metrics.h"
#include "requestdialect.h"

namespace fulmarledge {

struct RequestPathSettings {
    std::string host; ///< own name, as in the manifest
    std::string zone;
    SocketAddress callerAddress; ///< address to listen on for callers
    SocketAddress hopAddress; ///< address to listen on for other nodes
    int httpThreads = 2;
    int dataThreads = 2;
    std::size_t maxBodyBytes = 8 * 1024 * 1024; ///< body of a request
    std::size_t maxAnswerBytes = 64 * 1024 * 1024; ///< body of an answer
    std::size_t maxAnswersBytes = 512 * 1024 * 1024; ///< bodies of all unfinished answers together
    std::size_t maxOutstanding = 4096; ///< callers' requests held at once; more are refused
    std::size_t maxCallerConnections = 4096; ///< of callers; above it, the one that has been idle longest is closed
    CallerMemoryPlan callerMemory; ///< limits of everything held for callers
    std::size_t maxOutstandingBytes = 128 * 1024 * 1024; ///< bodies of callers' requests held at once
    int pipeline = 8; ///< repeatable requests of one caller's connection that run at once; 1: one after another
    /// Callers are refused when the last `confirmReady` is older than this; 0: it is not needed.
    TimeMs readyLeaseMs = 0;
    HopConfig hopConfig;
    BalancerConfig balancer;
    RetryConfig retry;
    std::shared_ptr<const RetryAllowance> retryAllowance; ///< replaces the rates of `retry` when not null
    std::shared_ptr<const RequestDialect> dialect = std::make_shared<NativeDialect>();
    bool countsOutcomes = false; ///< counts the outcomes at the local backend server, for rollouts
};

struct RequestPathStats {
    std::uint64_t outstanding = 0; ///< callers' requests in progress
    std::uint64_t atBackend = 0; ///< requests that run or wait in the local slot guard
    std::uint64_t dispatched = 0; ///< attempts sent to the local backend server or to another node
    std::uint64_t refused = 0; ///< callers' requests that ended with "not run"
    /// Requests in a row whose connection to the local backend server failed. `setLocalBackend` resets it.
    int refusedConnections = 0;
    std::uint64_t answerBytes = 0; ///< bodies of answers that are received, or wait for the link or their callers
    /// Requests whose credit was returned to their organisation, by the reason for which they have not run.
    std::array<std::uint64_t, static_cast<std::size_t>(Reason::Count)> quotaReturned{};
    std::uint64_t lateAnswers = 0; ///< answers of attempts that were already over
    HttpServerStats callerConnections; ///< connections of callers
    std::uint64_t hopConnections = 0; ///< connections accepted from other nodes
    std::uint64_t hopBufferBytes = 0; ///< buffers of all connections to and from other nodes
    TimeMs lastTurnMs = 0; ///< when the thread that has been busy longest last finished its events
    /// While draining: answers to callers and bytes of answers to other nodes that are not handed to the kernel yet.
    std::uint64_t unsent = 0;
};

/// The data path of a node. Accepts requests of callers and of other nodes, and forwards them to the backend server of
/// this host or to other nodes. Public functions are called from a single control thread.
class RequestPath
{
public:
    RequestPath(const RequestPathSettings &settings, Metrics &metrics);
    ~RequestPath();
    RequestPath(const RequestPath &) = delete;
    RequestPath &operator=(const RequestPath &) = delete;

    /// Opens the ports and starts the threads. Throws when an address cannot be bound.
    void start();

    /// Routes new requests with `snapshot` from now on.
    /// @return false, with nothing changed, for an inconsistent snapshot or an older version
    /// @param quotas limits of the snapshot's organisations. The limiter outlives this object's threads.
    bool publish(std::shared_ptr<const Snapshot> snapshot, QuotaAccess quotas = {});

    /// Sets the limits of callers' connections and requests. A limit of 0 is left to the settings.
    void setCallerLimits(const CallerLimits &limits);

    /// While not ready, callers' requests are refused with `reason`. Requests of other nodes are still served.
    void setReady(bool ready, Reason reason);
    /// Renews the permission to serve callers. The control thread cannot withdraw it in time after a pause of the
    /// process, because a data thread may run first.
    void confirmReady(TimeMs now);

    /// Applies the backend server's last announcement, or its absence with `state` Starting.
    /// @param reportedLoad requests that the backend server reports as running; exported as a metric only, as the slot
    /// guard counts for itself
    void setLocalBackend(const SocketAddress &address, const std::string &serviceName, std::uint32_t slots,
                         wire::HostState::type state, std::int32_t reportedLoad, const std::string &instance = {});

    /// Closes callers' connections after their next answers, which say so.
    void closeCallerConnections();

    /// Makes the slot guard refuse new and waiting requests for good. `onIdle` runs once, on any thread, when no
    /// request is left there.
    void drain(std::function<void()> onIdle);

    /// Ends the callers' requests in progress with an answer that tells whether they may have run.
    void answerOutstanding();

    /// Closes the ports and ends the threads. Requests in progress are aborted.
    void stop();

    RequestPathStats stats() const;

    /// Slot guard of the local backend server, for rollouts.
    RolloutGuard &rolloutGuard();
    /// See LocalBackend::setWarmAt().
    void setBackendWarmAt(TimeMs warmAt);

private:
    struct Shared;
    std::unique_ptr<Shared> m_shared;
};

} // namespace fulmarledge
