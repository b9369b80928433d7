#include <catch2/catch.hpp>

#include "spreadfleet.h"

using namespace fulmarledge;
using namespace fulmarledge::test;

namespace {

/// Bound of section 1 of the design page on convergence with faults.
constexpr TimeMs kConvergenceMs = 6000;

std::string describe(const SpreadFleet &fleet)
{
    std::string text;
    for (const std::string &violation : fleet.rules.violations) {
        text += violation + "\n";
    }
    return text;
}

void requireAgreement(SpreadFleet &fleet, TimeMs limit = kConvergenceMs)
{
    const auto taken = fleet.runUntilAgreed(limit);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (const Spread *spread = fleet.spread(i)) {
            UNSCOPED_INFO(i << ": version " << spread->version() << " held " << spread->heldVersion() << " ready "
                            << spread->isReady());
        }
    }
    INFO(describe(fleet));
    REQUIRE(taken);
    REQUIRE(fleet.rules.violations.empty());
}

} // namespace

// Guards against a change that does not reach every node within a second without faults.
TEST_CASE("each way of spreading brings a change to every node")
{
    for (const SpreadWay way : {SpreadWay::Direct, SpreadWay::Gossip, SpreadWay::Tree}) {
        FleetSettings settings;
        settings.nodes = 40;
        settings.spread.way = way;
        SpreadFleet fleet(settings);
        fleet.accept();
        fleet.startAll();
        requireAgreement(fleet);
        fleet.accept();
        requireAgreement(fleet, 1000);
    }
}
