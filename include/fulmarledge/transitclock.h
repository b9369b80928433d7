#pragma once

#include <algorithm>
#include <optional>

#include "fulmarledge/types.h"

namespace fulmarledge {

/// Time that the messages of one connection spend on the way, beyond that of the fastest. The clocks of the two hosts
/// may differ by any constant.
class TransitClock
{
public:
    /// @param sentMs time of sending by the sender's monotonic clock
    /// @param now time of receipt by the own one
    TimeMs delayMs(TimeMs sentMs, TimeMs now)
    {
        const TimeMs difference = now - sentMs;
        m_least = std::min(m_least.value_or(difference), difference);
        return difference - *m_least;
    }

private:
    std::optional<TimeMs> m_least;
};

} // namespace fulmarledge
