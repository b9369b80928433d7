#pragma once

#include <catch2/catch.hpp>
#include <cstdlib>

#include "spreadfleet.h"

namespace fulmarledge::spreadtest {

/// Limit of the design page, section 1, for the time in which a fleet converges with faults.
constexpr TimeMs kConvergenceLimitMs = 6000;

/// Number of seeds of a test, or the value of FULMARLEDGE_SEEDS for a longer run.
inline std::uint64_t seedCount(std::uint64_t count)
{
    const char *text = std::getenv("FULMARLEDGE_SEEDS");
    return text == nullptr ? count : std::strtoull(text, nullptr, 10);
}

/// All violations that the fleet has recorded, one a line.
inline std::string describeViolations(const SpreadFleet &fleet)
{
    std::string text;
    for (const std::string &violation : fleet.rules.violations) {
        text += violation + "\n";
    }
    return text;
}

/// Requires that every node runs the newest version within `limit` and that no rule has been violated.
inline void requireConvergence(SpreadFleet &fleet, TimeMs limit = kConvergenceLimitMs)
{
    const auto taken = fleet.runUntilConverged(limit);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (const Spread *spread = fleet.spread(i)) {
            UNSCOPED_INFO(i << ": version " << spread->version() << " held " << spread->heldVersion() << " ready "
                            << spread->isReady());
        }
    }
    INFO(describeViolations(fleet));
    REQUIRE(taken);
    REQUIRE(fleet.rules.violations.empty());
}

struct CopyCount {
    double mean = 0; ///< over all nodes
    int most = 0; ///< of any node
};

/// Copies of contents received per node since the last call of SpreadFleet::resetCounters().
inline CopyCount countCopies(const SpreadFleet &fleet)
{
    CopyCount count;
    const std::vector<int> copies = fleet.copies();
    for (const int copy : copies) {
        count.mean += static_cast<double>(copy) / static_cast<double>(copies.size());
        count.most = std::max(count.most, copy);
    }
    return count;
}

/// Largest number of platform calls in one second.
inline std::int64_t peakCallsPerSecond(const SpreadFleet &fleet)
{
    std::int64_t most = 0;
    for (const auto &[second, calls] : fleet.platform.callsPerSecond) {
        most = std::max(most, calls);
    }
    return most;
}

} // namespace fulmarledge::spreadtest
