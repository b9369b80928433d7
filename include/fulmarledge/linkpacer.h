#pragma once

#include <atomic>
#include <cstddef>

#include "fulmarledge/types.h"

namespace fulmarledge {

/// Holds large messages back to the rate of the host's link. Written without a limit, they fill the queue of the link,
/// and every small message and new connection waits behind them (bufferbloat). Small messages are never held back;
/// what they use is taken from the large ones.
class LinkPacer
{
public:
    /// @param bytesPerMs rate of the link; 0 for one that is not paced
    explicit LinkPacer(double bytesPerMs);

    bool isActive() const
    {
        return m_bytesPerMs > 0;
    }
    /// Counts bytes that were written, of large and of small messages.
    void sent(std::size_t bytes, TimeMs now);
    /// Bytes of large messages that may be written now.
    std::size_t allowed(TimeMs now);
    /// Time until more may be written, at least 1 ms.
    TimeMs waitMs(TimeMs now);

private:
    void refill(TimeMs now);

    double m_bytesPerMs;
    double m_tokens;
    TimeMs m_refilledAt = 0;
};

/// Use of the host's link, readable and writable by any thread without a lock.
struct LinkGauge {
    std::atomic<std::ptrdiff_t> waitingBytes{0}; ///< large answers to other nodes that wait for the link
    std::atomic<std::size_t> callerBytes{0}; ///< answers sent to callers, until a pacer has counted them
};

/// Rate of a link for answers, in bytes per ms.
/// @param megabitsPerS 0 for a link that is not paced
double answerRate(double megabitsPerS);

} // namespace fulmarledge
