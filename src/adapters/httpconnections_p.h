#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "httpserver.h"
#include "ioloop.h"

namespace fulmarledge {

class HttpConnection;

/// Period of `HttpConnections::checkMemory`. The limits of each connection bound what is added meanwhile.
constexpr TimeMs kMemoryCheckMs = 100;

/// State shared by the connections of one HttpServer. Thread-safe.
class HttpConnections
{
public:
    HttpConnections(const HttpServer::Settings &settings, HttpCallHandler handler);

    void setLimits(const HttpLimits &limits);
    HttpLimits limits() const;
    HttpServerStats stats() const;
    /// Counts the bytes of unsent responses.
    MemoryBudget &responseMemory()
    {
        return *m_responseMemory;
    }
    /// Requests of one connection that run at once.
    std::size_t pipeline() const
    {
        return m_pipeline;
    }
    /// Whether a request may run more than once. False for all if requests run one after another.
    bool mayRunBeside(const HttpCall &call) const
    {
        return m_pipeline > 1 && m_mayRunBeside && m_mayRunBeside(call);
    }
    /// Whether a further request may run beside others, as far as all connections together are concerned.
    bool hasRoomBeside() const
    {
        return besideRequests.load(std::memory_order_relaxed) < m_maxBeside;
    }
    void countStartedBeside()
    {
        m_startedBeside.fetch_add(1, std::memory_order_relaxed);
    }
    void countHeldBack(HoldReason reason)
    {
        m_heldBack[static_cast<std::size_t>(reason)].fetch_add(1, std::memory_order_relaxed);
    }
    const HttpCallHandler &handler() const
    {
        return m_handler;
    }
    /// Bytes of incomplete requests that one connection may hold although the limit for all is reached.
    std::size_t smallRequestBytes() const
    {
        return m_maxHeldBytes / m_maxConnections;
    }
    /// Whether incomplete requests leave no room for one that holds `ownBytes`.
    bool isMemoryFull(std::size_t ownBytes) const
    {
        const std::size_t held = heldBytes.load(std::memory_order_relaxed);
        return held > m_maxHeldBytes && !m_memoryGuard.isAlone(ownBytes, held);
    }
    const CallerMemoryPlan &memoryPlan() const
    {
        return m_memoryPlan;
    }
    /// Bytes held for clients in this process.
    std::size_t processBytes() const;
    /// The same with the kernel's buffers, as far as they are measured.
    std::size_t usedMemory() const
    {
        return processBytes() + socketBytes.load(std::memory_order_relaxed);
    }
    /// Whether the memory for clients allows a connection to hold `ownBytes`.
    bool admits(std::size_t ownBytes) const
    {
        return !m_memoryPlan.isActive() || ownBytes <= m_memoryPlan.smallBytes
            || m_memoryGuard.admits(ownBytes, usedMemory());
    }
    /// Whether the memory for clients leaves no room to start further requests of a connection beside others.
    bool isClientMemoryFull() const
    {
        return m_memoryPlan.isActive() && usedMemory() > m_memoryPlan.limitBytes;
    }
    void countRefusedForMemory()
    {
        m_refusedForMemory.fetch_add(1, std::memory_order_relaxed);
    }
    /// Measures the connections and closes those that have to leave. Cheap while the memory cannot be nearly full.
    /// Called by one thread every `kMemoryCheckMs`.
    void checkMemory(TimeMs now);
    void add(const std::shared_ptr<HttpConnection> &connection);
    void remove(const HttpConnection *connection, CloseReason reason);
    /// Makes room for a new connection.
    /// @return false when no connection is idle
    bool makeRoom();
    /// Closes the connection that has been idle longest. Returns false when none is idle.
    bool closeLongestIdle();
    /// Connections above the limit that are still accepted, to be refused one by one.
    bool hasRoomToRefuse() const;
    void countOverLimit()
    {
        m_overLimit.fetch_add(1, std::memory_order_relaxed);
    }
    /// Sets the part that one connection contributes to a sum over all connections.
    static void setShare(std::atomic<std::size_t> &sum, std::size_t &share, std::size_t value)
    {
        if (value != share) {
            sum.fetch_add(value - share, std::memory_order_relaxed);
            share = value;
        }
    }
    /// The connections of one loop.
    std::vector<std::shared_ptr<HttpConnection>> connectionsOf(const IoLoop &loop) const;

    std::atomic<std::size_t> unsentResponses{0}; ///< responses that wait for their turn or their sockets
    std::atomic<std::size_t> besideRequests{0}; ///< unanswered requests behind the first of their connections
    std::atomic<bool> closesAfterResponses{false}; ///< connections close when their requests in progress are answered
    std::atomic<std::size_t> socketBytes{0}; ///< of the kernel's buffers; 0 while they are not measured
    std::atomic<std::size_t> heldBytes{0}; ///< bytes of incomplete requests and of those that wait for their turn

private:
    std::vector<std::shared_ptr<HttpConnection>> all() const;

    const std::size_t m_maxConnections;
    const std::size_t m_maxHeldBytes;
    const std::size_t m_pipeline;
    const std::size_t m_maxBeside;
    const std::function<bool(const HttpCall &)> m_mayRunBeside;
    const std::shared_ptr<MemoryBudget> m_responseMemory;
    const CallerMemoryPlan m_memoryPlan;
    CallerMemoryGuard m_memoryGuard;
    const std::function<std::size_t()> m_bytesInProgress;
    const HttpCallHandler m_handler;
    mutable std::mutex m_mutex;
    HttpLimits m_limits;
    std::unordered_map<const HttpConnection *, std::shared_ptr<HttpConnection>> m_open;
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(CloseReason::Count)> m_closed{};
    std::atomic<std::uint64_t> m_overLimit{0};
    std::atomic<std::uint64_t> m_refusedForMemory{0};
    std::atomic<std::uint64_t> m_startedBeside{0};
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(HoldReason::Count)> m_heldBack{};
};

} // namespace fulmarledge
