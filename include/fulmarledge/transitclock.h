#pragma once

#include <algorithm>
#include <optional>

#include "fulmarledge/types.h"

namespace fulmarledge {

/// Measures how much longer the messages of one connection are in transit than the fastest one so far. The clocks of
/// the two hosts may differ by any constant.
class TransitClock
{
public:
    /// Transit time of a message beyond that of the fastest one, in ms.
    /// @param sentMs time of sending, by the sender's monotonic clock
    /// @param now time of receipt, by this host's monotonic clock
    TimeMs delayMs(TimeMs sentMs, TimeMs now)
    {
        const TimeMs difference = now - sentMs;
        m_minDifference = std::min(m_minDifference.value_or(difference), difference);
        return difference - *m_minDifference;
    }

private:
    std::optional<TimeMs> m_minDifference;
};

} // namespace fulmarledge
