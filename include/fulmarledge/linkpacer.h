#pragma once

#include <atomic>
#include <cstddef>

#include "fulmarledge/types.h"

namespace fulmarledge {

/// Token bucket that limits large messages to the rate of the host's link. Written without a limit, they would fill the
/// queue of the link, and every small message and new connection would wait behind them (bufferbloat). Small messages
/// are never delayed, and the bytes that they use are taken from the large ones.
class LinkPacer
{
public:
    /// @param bytesPerMs rate for answers; 0 for a link that is not paced
    explicit LinkPacer(double bytesPerMs);

    bool isActive() const
    {
        return m_bytesPerMs > 0;
    }
    /// Accounts for bytes that were written, of large and small messages.
    void recordSent(std::size_t bytes, TimeMs now);
    /// Bytes of large messages that may be written now.
    std::size_t allowedBytes(TimeMs now);
    /// Time in ms after which to write more, at least 1.
    TimeMs waitMs(TimeMs now);

private:
    void refill(TimeMs now);

    double m_bytesPerMs;
    double m_tokens; ///< in bytes; negative when other messages used more than was available
    TimeMs m_refilledAt = 0;
};

/// Use of the host's link. Any thread may read and write it without a lock.
struct LinkGauge {
    std::atomic<std::ptrdiff_t> waitingBytes{0}; ///< of large answers to other nodes that wait for the link
    std::atomic<std::size_t> uncountedCallerBytes{0}; ///< of answers sent to callers that no pacer has counted yet
};

/// Rate in bytes per ms that answers may use on a link.
/// @param megabitsPerS rate of the link; 0 for one that is not paced
double answerRate(double megabitsPerS);

} // namespace fulmarledge
