#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "fulmarledge/types.h"

namespace fulmarledge {

/// Limits of the memory that is held for callers, in bytes.
struct CallerMemoryPlan {
    /// Requests read, responses unread and the kernel's buffers of the callers' sockets together; 0: no limit
    std::size_t limitBytes = 0;
    /// Value of SO_RCVBUF, which Linux doubles; 0: left to the kernel. With very many connections the buffers of all of
    /// them may be larger than their part of the limit; then only the measured use bounds them.
    std::size_t receiveBufferBytes = 0;
    std::size_t sendBufferBytes = 0; ///< value of SO_SNDBUF, as above
    std::size_t smallBytes = 0; ///< a connection that holds no more is neither refused nor closed
    std::size_t largestBodyBytes = 0; ///< largest body of a request that is alone

    bool isActive() const
    {
        return limitBytes > 0;
    }
};

/// @param memoryBytes limit of the process; 0: none, and then the plan has no limits either
/// @param connections greatest number of callers' connections
CallerMemoryPlan planCallerMemory(std::size_t memoryBytes, std::size_t connections);

/// Smoothed rate at which a connection takes or delivers bytes.
class TransferRate
{
public:
    /// @param movedBytes since the last call
    void update(std::size_t movedBytes, TimeMs now);
    double bytesPerMs() const
    {
        return m_bytesPerMs;
    }

private:
    double m_bytesPerMs = 0;
    TimeMs m_updatedAt = 0;
};

/// What one connection of a caller holds.
struct CallerHolding {
    std::uint64_t connection = 0;
    /// Responses that the caller has not taken, input ahead of its turn, and what both take in the kernel.
    std::size_t heldBytes = 0;
    double bytesPerMs = 0; ///< see TransferRate
    TimeMs heldSinceMs = 0; ///< since when the connection has held more than the small amount
};

/// Decides who has to leave when the memory for callers is nearly full. It first closes connections that would hold
/// their bytes for long at their present rate, the largest first. Quick ones follow only above the limit itself.
class CallerMemoryGuard
{
public:
    explicit CallerMemoryGuard(const CallerMemoryPlan &plan);

    /// Whether the memory is so full that connections may have to be closed.
    bool mayShed(std::size_t usedBytes) const;
    /// Whether all others than a connection that holds `ownBytes` of `usedBytes` hold little. Never without a limit.
    bool isAlone(std::size_t ownBytes, std::size_t usedBytes) const;
    /// Whether a connection may hold `ownBytes`, which `usedBytes` of all connections includes. A request that is alone
    /// may, whatever its size, so that a limit which is too small for the largest request does not exclude it for good.
    bool admits(std::size_t ownBytes, std::size_t usedBytes) const;
    /// @param usedBytes held for all callers, also by connections that are not in `holdings`
    /// @return the connections to close, in this order
    std::vector<std::uint64_t> selectToClose(std::size_t usedBytes, std::span<const CallerHolding> holdings,
                                             TimeMs now);
    /// Whether connections are closed until the memory is well below the limit.
    bool isShedding() const
    {
        return m_isShedding;
    }

private:
    const CallerMemoryPlan m_plan;
    bool m_isShedding = false;
};

} // namespace fulmarledge
