#pragma once

#include <cstdint>

#include "fulmarledge/types.h"

namespace fulmarledge {

/// How long work takes at a backend server at this moment, as a factor of the usual time. Kept from the figures that
/// the backend server states with its responses.
///
/// A backend server shares its machine with others, and its speed changes several times a second. A report therefore
/// loses weight with its age, down to none after `kReportLifetimeMs`.
class HostSpeed
{
public:
    /// Speeds change every 600 ms at the backend servers that state one. If the moment of the change is unknown, a
    /// report that is t ms old is still true with the probability 1 - t / 600.
    static constexpr TimeMs kReportLifetimeMs = 600;
    static constexpr std::uint32_t kUsualPercent = 100;
    /// Figures outside this range are taken as its ends, so that a wrong report cannot refuse or admit all work.
    static constexpr std::uint32_t kMinPercent = 10;
    static constexpr std::uint32_t kMaxPercent = 2000;

    /// @param percent time that work takes, 100 for the usual time; 0 is ignored
    void report(std::uint32_t percent, TimeMs now);
    /// Expected factor for work that starts at `now`, 1 without a recent report.
    double factor(TimeMs now) const;

private:
    double m_reported = 1;
    TimeMs m_reportedAt = 0; ///< unused while `m_reported` is 1
};

} // namespace fulmarledge
