#include "httpconnections_p.h"

#include <algorithm>
#include <utility>

#include "httpconnection_p.h"

namespace fulmarledge {

std::string_view closeReasonName(CloseReason reason)
{
    static constexpr std::array<std::string_view, static_cast<std::size_t>(CloseReason::Count)> kNames{
        "peer", "response", "idle", "slow-request", "slow-reader", "no-descriptor", "caller-memory"};
    return kNames[static_cast<std::size_t>(reason)];
}

std::string_view holdReasonName(HoldReason reason)
{
    static constexpr std::array<std::string_view, static_cast<std::size_t>(HoldReason::Count)> kNames{
        "not-repeatable", "memory", "too-many", "closing"};
    return kNames[static_cast<std::size_t>(reason)];
}

HttpConnections::HttpConnections(const HttpServer::Settings &settings, HttpCallHandler handler)
    : m_maxConnections(std::max<std::size_t>(settings.maxConnections, 1))
    , m_maxHeldBytes(settings.maxHeldBytes)
    , m_pipeline(std::max<std::size_t>(settings.pipeline, 1))
    , m_maxBeside(settings.maxBeside)
    , m_mayRunBeside(settings.mayRunBeside)
    , m_responseMemory(settings.responseMemory)
    , m_memoryPlan(settings.memory)
    , m_memoryGuard(settings.memory)
    , m_bytesInProgress(settings.bytesInProgress)
    , m_handler(std::move(handler))
    , m_limits(settings.limits)
{
}

void HttpConnections::setLimits(const HttpLimits &limits)
{
    const std::lock_guard lock(m_mutex);
    m_limits = limits;
}

HttpLimits HttpConnections::limits() const
{
    const std::lock_guard lock(m_mutex);
    return m_limits;
}

HttpServerStats HttpConnections::stats() const
{
    HttpServerStats stats;
    {
        const std::lock_guard lock(m_mutex);
        stats.openConnections = m_open.size();
    }
    stats.overLimit = m_overLimit.load(std::memory_order_relaxed);
    std::transform(m_closed.begin(), m_closed.end(), stats.closed.begin(),
                   [](const auto &count) { return count.load(std::memory_order_relaxed); });
    stats.refusedForMemory = m_refusedForMemory.load(std::memory_order_relaxed);
    stats.memoryBytes = usedMemory();
    stats.startedBeside = m_startedBeside.load(std::memory_order_relaxed);
    std::transform(m_heldBack.begin(), m_heldBack.end(), stats.heldBack.begin(),
                   [](const auto &count) { return count.load(std::memory_order_relaxed); });
    return stats;
}

void HttpConnections::add(const std::shared_ptr<HttpConnection> &connection)
{
    const std::lock_guard lock(m_mutex);
    m_open.emplace(connection.get(), connection);
}

void HttpConnections::remove(const HttpConnection *connection, CloseReason reason)
{
    m_closed[static_cast<std::size_t>(reason)].fetch_add(1, std::memory_order_relaxed);
    // The last reference may be this one, and the destructor must not run under the lock.
    std::shared_ptr<HttpConnection> removed;
    const std::lock_guard lock(m_mutex);
    const auto found = m_open.find(connection);
    if (found != m_open.end()) {
        removed = std::move(found->second);
        m_open.erase(found);
    }
}

std::vector<std::shared_ptr<HttpConnection>> HttpConnections::all() const
{
    std::vector<std::shared_ptr<HttpConnection>> result;
    const std::lock_guard lock(m_mutex);
    result.reserve(m_open.size());
    for (const auto &[key, connection] : m_open) {
        result.push_back(connection);
    }
    return result;
}

std::vector<std::shared_ptr<HttpConnection>> HttpConnections::connectionsOf(const IoLoop &loop) const
{
    std::vector<std::shared_ptr<HttpConnection>> result = all();
    std::erase_if(result, [&loop](const auto &connection) { return &connection->loop() != &loop; });
    return result;
}

bool HttpConnections::makeRoom()
{
    const std::size_t open = stats().openConnections;
    return open < m_maxConnections || closeLongestIdle();
}

bool HttpConnections::hasRoomToRefuse() const
{
    return stats().openConnections < m_maxConnections + m_maxConnections / 8;
}

bool HttpConnections::closeLongestIdle()
{
    std::vector<std::pair<TimeMs, std::shared_ptr<HttpConnection>>> idle;
    for (std::shared_ptr<HttpConnection> &connection : all()) {
        if (const TimeMs since = connection->idleSince(); since != 0) {
            idle.emplace_back(since, std::move(connection));
        }
    }
    std::sort(idle.begin(), idle.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
    // A connection that has received a request meanwhile is no longer idle.
    return std::any_of(idle.begin(), idle.end(),
                       [](const auto &entry) { return entry.second->closeIfIdle(CloseReason::NoDescriptor); });
}

std::size_t HttpConnections::processBytes() const
{
    return heldBytes.load(std::memory_order_relaxed) + m_responseMemory->used()
        + (m_bytesInProgress ? m_bytesInProgress() : 0);
}

void HttpConnections::checkMemory(TimeMs now)
{
    // Linux doubles the sizes of the buffers.
    const std::size_t mostPerSocket = 2 * (m_memoryPlan.receiveBufferBytes + m_memoryPlan.sendBufferBytes);
    if (!m_memoryGuard.mayShed(processBytes() + stats().openConnections * mostPerSocket)) {
        socketBytes.store(0, std::memory_order_relaxed);
        return;
    }
    const std::vector<std::shared_ptr<HttpConnection>> connections = all();
    std::vector<CallerHolding> holdings;
    holdings.reserve(connections.size());
    std::size_t kernel = 0;
    for (const auto &connection : connections) {
        holdings.push_back(connection->measure(now, m_memoryPlan.smallBytes, kernel));
        holdings.back().connection = holdings.size() - 1;
    }
    socketBytes.store(kernel, std::memory_order_relaxed);
    for (const std::uint64_t selected : m_memoryGuard.selectToClose(usedMemory(), holdings, now)) {
        connections[selected]->closeForMemory();
    }
}

} // namespace fulmarledge
