#include <catch2/catch.hpp>
#include <cstdio>

#include "spreadchecks.h"

using namespace fulmarledge;
using namespace fulmarledge::spreadtest;

namespace {

/// Traffic of a fleet since its start, or a difference or rate of it.
struct Totals {
    double messages = 0;
    double bytes = 0;
    double calls = 0;
    double platformBytes = 0;

    static Totals of(const SpreadFleet &fleet)
    {
        return {static_cast<double>(fleet.messages), static_cast<double>(fleet.bytes),
                static_cast<double>(fleet.platform.reads + fleet.platform.watches),
                static_cast<double>(fleet.platform.valueBytes)};
    }
    Totals operator-(const Totals &other) const
    {
        return {messages - other.messages, bytes - other.bytes, calls - other.calls,
                platformBytes - other.platformBytes};
    }
    Totals operator*(double factor) const
    {
        return {messages * factor, bytes * factor, calls * factor, platformBytes * factor};
    }
};

constexpr int kChanges = 10;
constexpr TimeMs kIdleMs = 20000;
constexpr TimeMs kChangeObservedMs = 3000;

/// Measures changes in one fleet and prints a row of the table. Counts per change leave out the traffic at rest.
void measure(const char *name, DeliveryMode way, int nodes, int lossPerMille, int zones = 4)
{
    FleetSettings settings;
    settings.nodes = nodes;
    settings.zones = zones;
    settings.services = 39;
    settings.serversPerService = 25;
    settings.measureBytes = true;
    settings.spread.deliveryMode = way;
    SpreadFleet fleet(settings);
    fleet.accept();
    fleet.startAll();
    requireConvergence(fleet, 60000);
    fleet.run(5000);
    fleet.network.lossPerMille = lossPerMille;
    const Totals begin = Totals::of(fleet);
    fleet.run(kIdleMs);
    const Totals idleRate = (Totals::of(fleet) - begin) * (1.0 / kIdleMs);
    TimeMs worst = 0;
    double mean = 0;
    double copies = 0;
    int most = 0;
    Totals sum;
    for (int change = 0; change < kChanges; ++change) {
        fleet.resetCounters();
        const Totals before = Totals::of(fleet);
        const TimeMs acceptedAt = fleet.queue.now();
        fleet.accept();
        const auto taken = fleet.runUntilConverged(60000);
        REQUIRE(taken);
        fleet.run(acceptedAt + kChangeObservedMs - fleet.queue.now());
        const Totals changeTraffic
            = Totals::of(fleet) - before - idleRate * static_cast<double>(fleet.queue.now() - acceptedAt);
        sum = {sum.messages + changeTraffic.messages, sum.bytes + changeTraffic.bytes, sum.calls + changeTraffic.calls,
               sum.platformBytes + changeTraffic.platformBytes};
        worst = std::max(worst, *taken);
        mean += static_cast<double>(*taken) / kChanges;
        copies += countCopies(fleet).mean / kChanges;
        most = std::max(most, countCopies(fleet).most);
    }
    const double perNodeAndChange = 1.0 / (kChanges * nodes);
    std::printf("| %s | %d | %.1f%% | %.0f | %lld | %.2f | %d | %.2f | %.0f | %.0f | %.1f | %.0f |\n", name, nodes,
                lossPerMille / 10.0, mean, static_cast<long long>(worst), copies, most, sum.messages * perNodeAndChange,
                sum.bytes * perNodeAndChange, sum.platformBytes * perNodeAndChange, sum.calls / kChanges,
                idleRate.bytes * 1000 / nodes);
    std::fflush(stdout);
}

void printHeading()
{
    std::printf(
        "| way | nodes | loss | time, mean ms | time, worst ms | copies, mean | copies, most | messages | bytes "
        "| platform bytes | platform calls | B/s at rest |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n");
}

} // namespace

// Prints the table of docs/measurements/spread.md. Checks only that each change reaches all nodes.
TEST_CASE("measure each delivery mode at several fleet sizes", "[.sweep]")
{
    printHeading();
    for (const int loss : {0, 10}) {
        for (const int nodes : {50, 200, 1000}) {
            measure("direct", DeliveryMode::Direct, nodes, loss);
            measure("gossip", DeliveryMode::Gossip, nodes, loss);
            measure("tree", DeliveryMode::Tree, nodes, loss);
        }
    }
}

// Prints the same table for the tree at the target scale of the design page, with the loss of its model. Checks only
// that each change reaches all nodes.
TEST_CASE("measure the tree at 9,700 nodes", "[.scale]")
{
    printHeading();
    measure("tree", DeliveryMode::Tree, 9700, 0, 7);
    measure("tree", DeliveryMode::Tree, 9700, 10, 7);
}
