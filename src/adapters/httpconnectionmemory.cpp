#include <utility>

#include "httpconnection_p.h"

namespace fulmarledge {

namespace {

constexpr int kServiceUnavailable = 503;

} // namespace

void HttpConnection::countHeldBytes()
{
    HttpConnections::setShare(m_connections->heldBytes, m_heldBytes, m_parser.heldBytes());
}

void HttpConnection::refuseForMemory(Lock &lock)
{
    m_connections->countRefusedForMemory();
    refuse(lock, kServiceUnavailable, Reason::CallerMemoryFull, "the memory for callers is full");
}

CallerHolding HttpConnection::measure(TimeMs now, std::size_t smallBytes, std::size_t &kernelSum)
{
    const Lock lock(m_mutex);
    const std::size_t kernel = kernelBytes(m_socket);
    kernelSum += kernel;
    m_rate.update(std::exchange(m_movedBytes, 0), now);
    CallerHolding holding;
    holding.heldBytes = m_closed ? 0 : m_queue.heldBytes() + m_parser.heldBytes() + kernel;
    holding.bytesPerMs = m_rate.bytesPerMs();
    if (holding.heldBytes <= smallBytes) {
        m_heldSinceMs = 0;
    } else if (m_heldSinceMs == 0) {
        m_heldSinceMs = now;
    }
    holding.heldSinceMs = m_heldSinceMs;
    return holding;
}

void HttpConnection::closeForMemory()
{
    Lock lock(m_mutex);
    if (m_closed) {
        return;
    }
    if (m_queue.isEmpty() && !m_queue.isClosing() && m_parser.isInsideRequest()) {
        m_closeReason = CloseReason::CallerMemory;
        refuseForMemory(lock);
        return;
    }
    discardOnClose(m_socket);
    close(CloseReason::CallerMemory);
}

} // namespace fulmarledge
