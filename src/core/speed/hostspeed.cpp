#include "fulmarledge/hostspeed.h"

#include <algorithm>

namespace fulmarledge {

void HostSpeed::report(std::uint32_t percent, TimeMs now)
{
    if (percent == 0) {
        return;
    }
    m_reported = static_cast<double>(std::clamp(percent, kMinPercent, kMaxPercent)) / kUsualPercent;
    m_reportedAt = now;
}

double HostSpeed::factor(TimeMs now) const
{
    const TimeMs age = std::max<TimeMs>(now - m_reportedAt, 0);
    if (age >= kReportLifetimeMs) {
        return 1;
    }
    return 1 + (m_reported - 1) * (1 - static_cast<double>(age) / kReportLifetimeMs);
}

} // namespace fulmarledge
