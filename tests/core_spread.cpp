#include <array>
#include <catch2/catch.hpp>

#include "spreadchecks.h"

using namespace fulmarledge;
using namespace fulmarledge::spreadtest;

// Guards against a change that takes longer than a second to reach every node without faults.
TEST_CASE("each delivery mode brings a change to every node within 1 s")
{
    for (const DeliveryMode way : {DeliveryMode::Direct, DeliveryMode::Gossip, DeliveryMode::Tree}) {
        FleetSettings settings;
        settings.nodes = 40;
        settings.spread.deliveryMode = way;
        SpreadFleet fleet(settings);
        fleet.accept();
        fleet.startAll();
        requireConvergence(fleet);
        fleet.accept();
        requireConvergence(fleet, 1000);
    }
}

namespace {

/// Applies one random fault, recovery or configuration change to the fleet.
void applyRandomFault(SpreadFleet &fleet)
{
    SeededRandom &random = fleet.random;
    const std::size_t node = random.below(fleet.size());
    switch (random.below(14)) {
    case 0:
    case 1:
        fleet.accept();
        break;
    case 2:
        fleet.accept(manifestText(3, 2, 1)); // returns to the first content
        break;
    case 3:
        fleet.accept();
        fleet.accept(); // overtakes the version before it
        break;
    case 4:
    case 5:
        if (fleet.spread(node) != nullptr) {
            fleet.kill(node);
        } else {
            fleet.start(node);
        }
        break;
    case 6:
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (fleet.spread(i) != nullptr && random.chance(500)) {
                fleet.kill(i);
                fleet.start(i);
            }
        }
        break;
    case 7:
        if (fleet.isPaused(node)) {
            fleet.resume(node);
        } else if (fleet.spread(node) != nullptr) {
            fleet.pause(node);
        }
        break;
    case 8:
        if (fleet.partitionedZone.empty()) {
            fleet.partitionZone("zone-" + std::to_string(random.below(3)));
        } else {
            fleet.healPartition();
        }
        break;
    case 9:
        fleet.platform.dropWatches();
        break;
    case 10:
    case 11: {
        static constexpr std::array kStatuses{
            StoreStatus::Ok,          StoreStatus::Ok,       StoreStatus::Throttled, StoreStatus::Unavailable,
            StoreStatus::Unavailable, StoreStatus::Invalid,  StoreStatus::Expired,   StoreStatus::UnknownOutcome,
            StoreStatus::Conflict,    StoreStatus::Unchanged};
        fleet.platform.faults = {};
        fleet.platform.faults.status = kStatuses[random.below(kStatuses.size())];
        fleet.platform.faults.retryAfterMs = random.between(0, 1500);
        fleet.platform.faults.latencyMs = random.chance(300) ? 2000 : 3;
        fleet.platform.faults.silent = random.chance(100);
        fleet.platform.faults.silentWatch = random.chance(200);
        fleet.platform.faults.expireWatch = random.chance(200);
        fleet.platform.faults.lossPerMille = random.chance(300) ? 300 : 0;
        fleet.platform.faults.corruptPerMille = random.chance(300) ? 300 : 0;
        break;
    }
    default:
        fleet.network = {static_cast<int>(random.below(300)), static_cast<int>(random.below(200)),
                         static_cast<int>(random.below(300)), static_cast<int>(random.below(200))};
        break;
    }
}

void stopFaults(SpreadFleet &fleet)
{
    fleet.platform.faults = {};
    fleet.network = {};
    fleet.healPartition();
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.resume(i);
        if (fleet.spread(i) == nullptr) {
            fleet.start(i);
        }
    }
}

} // namespace

// Guards against a host that returns to a lower version, a content applied in part, a version run by its only holder,
// and a fleet that does not converge after any combination of faults and restarts, which lose all state.
TEST_CASE("random faults violate no rule and the fleet converges within 6 s after they end")
{
    for (std::uint64_t seed = 1; seed <= seedCount(60); ++seed) {
        CAPTURE(seed);
        FleetSettings settings;
        settings.seed = seed;
        settings.nodes = 6 + static_cast<int>(seed % 4) * 5;
        settings.spread.deliveryMode = std::array{DeliveryMode::Tree, DeliveryMode::Tree, DeliveryMode::Gossip,
                                                  DeliveryMode::Direct}[seed / 4 % 4];
        SpreadFleet fleet(settings);
        fleet.accept(manifestText(3, 2, 1));
        fleet.startAll();
        for (int step = 0; step < 80; ++step) {
            applyRandomFault(fleet);
            fleet.run(fleet.random.between(10, 500));
            INFO("step " << step << "\n" << describeViolations(fleet));
            REQUIRE(fleet.rules.violations.empty());
        }
        stopFaults(fleet);
        requireConvergence(fleet);
    }
}
