#include "node_pathwatch.h"

namespace fulmarledge {

namespace {

/// Time without a turn of its event loop after which a thread counts as stuck. A loop turns at least once a second.
constexpr TimeMs kThreadStallMs = 3000;
constexpr TimeMs kCheckPeriodMs = 1000;
/// Time without new pressure after which connections are no longer reported as being shed.
constexpr TimeMs kSheddingEndMs = 5000;

} // namespace

RequestPathWatch::RequestPathWatch(const NodeSettings &settings, const RequestPath &requestPath,
                                   const ControlNode &control, EventLog &log)
    : m_settings(settings)
    , m_requestPath(requestPath)
    , m_control(control)
    , m_log(log)
{
}

void RequestPathWatch::logEvent(std::string_view name, const std::string &detail)
{
    m_log.event(name, detail + " version=" + std::to_string(m_control.spread().version()));
}

void RequestPathWatch::check(TimeMs now)
{
    const TimeMs elapsed = now - m_checkedAtMs;
    if (elapsed < kCheckPeriodMs) {
        return;
    }
    m_checkedAtMs = now;
    const RequestPathStats stats = m_requestPath.stats();
    // After a pause of the process no thread has had its turn yet.
    if (elapsed < 2 * kCheckPeriodMs) {
        checkThreads(stats, now);
    }
    checkConnections(stats.callerConnections, now);
    checkCallerMemory(stats.callerConnections, now);
}

void RequestPathWatch::checkThreads(const RequestPathStats &stats, TimeMs now)
{
    const TimeMs silentMs = now - stats.lastTurnMs;
    if ((silentMs > kThreadStallMs) != m_threadStalled) {
        m_threadStalled = !m_threadStalled;
        logEvent(m_threadStalled ? "thread-stalled" : "thread-resumed", "silent_ms=" + std::to_string(silentMs));
    }
}

void RequestPathWatch::checkConnections(const HttpServerStats &callers, TimeMs now)
{
    const std::uint64_t closedIdle = callers.closed[static_cast<std::size_t>(CloseReason::NoDescriptor)];
    if (closedIdle + callers.overLimit != m_connectionPressure) {
        m_connectionPressure = closedIdle + callers.overLimit;
        m_connectionsPressedAtMs = now;
    }
    const bool isShedding = m_connectionsPressedAtMs != 0 && now - m_connectionsPressedAtMs < kSheddingEndMs;
    if (isShedding != m_sheddingConnections) {
        m_sheddingConnections = isShedding;
        logEvent(isShedding ? "connections-shedding" : "connections-normal",
                 "open=" + std::to_string(callers.openConnections)
                     + " limit=" + std::to_string(m_settings.requests.maxCallerConnections) + " closed_idle="
                     + std::to_string(closedIdle) + " over_limit=" + std::to_string(callers.overLimit));
    }
}

void RequestPathWatch::checkCallerMemory(const HttpServerStats &callers, TimeMs now)
{
    const std::uint64_t closed = callers.closed[static_cast<std::size_t>(CloseReason::CallerMemory)];
    if (closed + callers.refusedForMemory != m_memoryPressure) {
        m_memoryPressure = closed + callers.refusedForMemory;
        m_memoryPressedAtMs = now;
    }
    const bool isShedding = m_memoryPressedAtMs != 0 && now - m_memoryPressedAtMs < kSheddingEndMs;
    if (isShedding != m_sheddingMemory) {
        m_sheddingMemory = isShedding;
        logEvent(isShedding ? "caller-memory-shedding" : "caller-memory-normal",
                 "used=" + std::to_string(callers.memoryBytes)
                     + " limit=" + std::to_string(m_settings.requests.callerMemory.limitBytes)
                     + " closed=" + std::to_string(closed) + " refused=" + std::to_string(callers.refusedForMemory));
    }
}

} // namespace fulmarledge
