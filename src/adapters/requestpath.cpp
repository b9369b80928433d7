#include "requestpath.h"

#include <algorithm>
#include <utility>
#include <vector>
#include <xxhash.h>

#include "dataworker_p.h"

namespace fulmarledge {

namespace {

constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;
/// Part of the outstanding requests that may run beside others of their connections, so that callers that send ahead do
/// not take the places of those that do not.
constexpr std::size_t kBesideDivisor = 2;

/// Limits of a manifest, where it states them, or else of the settings. A body always fits into the memory for bodies,
/// or into that for a request that is alone.
HttpLimits callerLimits(const RequestPathSettings &settings, const CallerLimits &stated)
{
    HttpLimits limits;
    limits.maxBodyBytes
        = std::min(stated.maxBodyBytes > 0 ? static_cast<std::size_t>(stated.maxBodyBytes) : settings.maxBodyBytes,
                   std::max(settings.maxOutstandingBytes, settings.callerMemory.largestBodyBytes));
    if (stated.maxHeaderBytes > 0) {
        limits.maxHeaderBytes = static_cast<std::size_t>(stated.maxHeaderBytes);
    }
    if (stated.headerTimeoutMs > 0) {
        limits.headerTimeoutMs = stated.headerTimeoutMs;
    }
    if (stated.idleTimeoutMs > 0) {
        limits.idleTimeoutMs = stated.idleTimeoutMs;
    }
    return limits;
}

} // namespace

struct RequestPath::Shared {
    Shared(const RequestPathSettings &settings, Metrics &metrics)
        : state(settings, metrics)
        , memoryGuard(settings.callerMemory)
    {
    }

    void onCall(HttpCall call);
    /// Whether a request may run more than once, by the routes in force. False without a manifest or a route.
    bool mayRunBeside(const HttpCall &call) const;
    /// Counts a request as outstanding.
    /// @return false when that would exceed a limit
    bool reserveCapacity(std::size_t bodyBytes);
    DataWorker &workerForThisThread();
    std::string newRequestId();

    RequestPathState state;
    const CallerMemoryGuard memoryGuard;
    std::atomic<Reason> refusalReason{Reason::NotReady}; ///< why callers are refused; None while they are served
    std::atomic<TimeMs> readyConfirmedAt{0};
    std::atomic<std::size_t> nextWorkerIndex{0};
    std::vector<std::unique_ptr<DataWorker>> workers;
    std::unique_ptr<HopListener> listener;
    std::unique_ptr<HttpServer> server;
    std::uint64_t requestIdBase = 0;
    std::atomic<std::uint64_t> nextRequestNumber{1};
};

DataWorker &RequestPath::Shared::workerForThisThread()
{
    // Each server thread passes all of its requests to one data thread, whose connections and caches stay warm.
    thread_local const std::size_t kIndex = nextWorkerIndex.fetch_add(1);
    return *workers[kIndex % workers.size()];
}

std::string RequestPath::Shared::newRequestId()
{
    static constexpr char kDigits[] = "0123456789abcdef";
    const std::uint64_t number = requestIdBase + nextRequestNumber.fetch_add(1, std::memory_order_relaxed);
    std::string id(16, '0');
    for (std::size_t i = 0; i < id.size(); ++i) {
        id[i] = kDigits[(number >> (60 - 4 * i)) & 0xF];
    }
    return id;
}

bool RequestPath::Shared::reserveCapacity(std::size_t bodyBytes)
{
    const RequestPathSettings &settings = state.settings;
    const std::uint64_t count = state.outstanding.fetch_add(1, std::memory_order_relaxed) + 1;
    const std::uint64_t bytes = state.outstandingBytes.fetch_add(bodyBytes, std::memory_order_relaxed) + bodyBytes;
    if (count <= settings.maxOutstanding
        && (bytes <= settings.maxOutstandingBytes || memoryGuard.isAlone(bodyBytes, bytes))) {
        return true;
    }
    state.outstanding.fetch_sub(1, std::memory_order_relaxed);
    state.outstandingBytes.fetch_sub(bodyBytes, std::memory_order_relaxed);
    return false;
}

void RequestPath::Shared::onCall(HttpCall call)
{
    Reason reason = refusalReason.load(std::memory_order_acquire);
    const TimeMs confirmedAt = readyConfirmedAt.load(std::memory_order_relaxed);
    if (reason == Reason::None && state.settings.readyLeaseMs > 0
        && monotonicMs() - confirmedAt > state.settings.readyLeaseMs) {
        reason = Reason::StaleNode;
    }
    if (call.isOverLimit) {
        sendRefusal(state, call, kUnavailable, Reason::QueueFull, "too many connections at this node");
        return;
    }
    if (reason != Reason::None) {
        sendRefusal(state, call, kUnavailable, reason, "this node does not serve callers now");
        return;
    }
    LastReason error;
    std::optional<CallerFields> fields = state.settings.dialect->parseCallerFields(call, error);
    if (!fields) {
        sendRefusal(state, call, kBadRequest, Reason::BadHeader, error.text());
        return;
    }
    if (!reserveCapacity(call.body.size())) {
        sendRefusal(state, call, kUnavailable, Reason::QueueFull, "too many requests in progress at this node");
        return;
    }
    if (fields->requestId.empty()) {
        fields->requestId = newRequestId();
    }
    auto request = std::make_shared<CallerRequest>();
    request->call = std::move(call);
    request->fields = std::move(*fields);
    request->receivedAt = monotonicMs();
    workerForThisThread().submit(std::move(request));
}

bool RequestPath::Shared::mayRunBeside(const HttpCall &call) const
{
    const std::shared_ptr<const RoutingState> routing = state.routingPublisher.current();
    if (!routing) {
        return false;
    }
    const Snapshot &snapshot = routing->view->snapshot();
    const RouteHandle route = snapshot.routes().find(fieldValue(call.fields, "Host"), call.path);
    return isValid(route) && snapshot.isSafeRequest(route, call.method);
}

RequestPath::RequestPath(const RequestPathSettings &settings, Metrics &metrics)
    : m_shared(std::make_unique<Shared>(settings, metrics))
{
    // Request ids of two processes must differ, also if both run on the same host.
    const std::string seed = settings.host + ":" + std::to_string(wallClockMs());
    m_shared->requestIdBase = XXH3_64bits(seed.data(), seed.size());
}

RequestPath::~RequestPath()
{
    stop();
}

void RequestPath::start()
{
    const RequestPathSettings &settings = m_shared->state.settings;
    for (int i = 0; i < settings.dataThreads; ++i) {
        m_shared->workers.push_back(std::make_unique<DataWorker>(m_shared->state));
    }
    m_shared->listener = std::make_unique<HopListener>(
        m_shared->workers.front()->loop(), settings.hopAddress,
        [this, next = 0U](int fd) mutable { m_shared->workers[next++ % m_shared->workers.size()]->acceptHop(fd); });
    HttpServer::Settings server{settings.callerAddress,       settings.httpThreads,
                                callerLimits(settings, {}),   settings.maxCallerConnections,
                                settings.maxOutstandingBytes, m_shared->state.answerMemory};
    server.pipeline = static_cast<std::size_t>(settings.pipeline);
    server.maxBeside = settings.maxOutstanding / kBesideDivisor;
    server.memory = settings.callerMemory;
    server.bytesInProgress = [this] { return m_shared->state.outstandingBytes.load(std::memory_order_relaxed); };
    server.mayRunBeside = [this](const HttpCall &call) { return m_shared->mayRunBeside(call); };
    m_shared->server
        = std::make_unique<HttpServer>(server, [this](HttpCall call) { m_shared->onCall(std::move(call)); });
    for (const auto &worker : m_shared->workers) {
        worker->start();
    }
}

bool RequestPath::publish(std::shared_ptr<const Snapshot> snapshot, QuotaAccess quotas)
{
    const TimeMs now = monotonicMs();
    const std::shared_ptr<const Snapshot> published = snapshot;
    const std::shared_ptr<const RoutingState> previous = m_shared->state.routingPublisher.current();
    if (!m_shared->state.routingPublisher.publish(std::move(snapshot), now, std::move(quotas))) {
        return false;
    }
    const OrganisationTable *known = previous ? previous->view->snapshot().organisations().get() : nullptr;
    const bool areKeysUsed = !published->organisations()->isEmpty() || (known != nullptr && !known->isEmpty());
    if (areKeysUsed && known != published->organisations().get()) {
        for (const auto &worker : m_shared->workers) {
            worker->recheckKeys();
        }
    }
    m_shared->state.backend.updateKeyOwners(*published, now);
    return true;
}

void RequestPath::setCallerLimits(const CallerLimits &limits)
{
    m_shared->server->setLimits(callerLimits(m_shared->state.settings, limits));
}

void RequestPath::setReady(bool ready, Reason reason)
{
    m_shared->refusalReason.store(ready ? Reason::None : reason, std::memory_order_release);
}

void RequestPath::confirmReady(TimeMs now)
{
    m_shared->readyConfirmedAt.store(now, std::memory_order_relaxed);
}

void RequestPath::setLocalBackend(const SocketAddress &address, const std::string &serviceName, std::uint32_t slots,
                                  wire::HostState::type state, std::int32_t reportedLoad, const std::string &instance)
{
    m_shared->state.backend.applyAnnouncement(address, serviceName, slots, state, monotonicMs(), instance);
    m_shared->state.metrics.gauge("backend-reported-load", {}, reportedLoad);
}

void RequestPath::closeCallerConnections()
{
    m_shared->server->closeAfterResponses();
}

void RequestPath::drain(std::function<void()> onIdle)
{
    m_shared->state.backend.drain(std::move(onIdle), monotonicMs());
    for (const auto &worker : m_shared->workers) {
        worker->beginUnsentReports();
    }
}

void RequestPath::answerOutstanding()
{
    for (const auto &worker : m_shared->workers) {
        worker->answerOutstanding();
    }
}

void RequestPath::stop()
{
    // The server is destroyed after the data threads have stopped, because they write responses through it, and before
    // their sessions, because it reports closed connections to them.
    for (const auto &worker : m_shared->workers) {
        worker->stop();
    }
    m_shared->listener.reset();
    m_shared->server.reset();
    m_shared->workers.clear();
}

RolloutGuard &RequestPath::rolloutGuard()
{
    return m_shared->state.backend;
}

void RequestPath::setBackendWarmAt(TimeMs warmAt)
{
    m_shared->state.backend.setWarmAt(warmAt);
}

RequestPathStats RequestPath::stats() const
{
    const RequestPathState &state = m_shared->state;
    RequestPathStats stats;
    stats.outstanding = state.outstanding.load(std::memory_order_relaxed);
    stats.atBackend = state.backend.gauge()->outstanding.load(std::memory_order_relaxed);
    stats.dispatched = state.dispatched.load(std::memory_order_relaxed);
    stats.refused = state.refused.load(std::memory_order_relaxed);
    stats.refusedConnections = state.backend.refusedConnections();
    stats.answerBytes = state.answerMemory->used();
    stats.hopBufferBytes = state.settings.hopConfig.bufferMemory->used();
    stats.lateAnswers = state.counters.lateAnswers.load(std::memory_order_relaxed);
    for (std::size_t i = 0; i < stats.quotaReturned.size(); ++i) {
        stats.quotaReturned[i] = state.quotaReturned[i].load(std::memory_order_relaxed);
    }
    stats.lastTurnMs = monotonicMs();
    if (m_shared->server) {
        stats.unsent = m_shared->server->unsentResponses();
        stats.callerConnections = m_shared->server->stats();
        stats.lastTurnMs = m_shared->server->lastTurnMs();
    }
    for (const auto &worker : m_shared->workers) {
        stats.unsent += worker->unsentBytes();
        stats.hopConnections += worker->hopConnections();
        stats.lastTurnMs = std::min(stats.lastTurnMs, worker->loop().lastTurnMs());
    }
    return stats;
}

} // namespace fulmarledge
