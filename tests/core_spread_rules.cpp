#include <catch2/catch.hpp>

#include "spreadchecks.h"

using namespace fulmarledge;
using namespace fulmarledge::spreadtest;

// Each test breaks one rule, by changed messages, platform data, settings or a failed network, and requires that the
// checks of the other tests report it.

// Guards against a check that misses a host which runs a lower version after a restart.
TEST_CASE("the rules report a host that returns to a lower version")
{
    SpreadFleet fleet({});
    fleet.accept();
    fleet.accept();
    fleet.startAll();
    requireConvergence(fleet);
    fleet.platform.alterHead = [](const std::string &text) {
        LastReason error;
        Head head = Head::parse(text, error).value();
        head.recent.pop_back();
        return head.toText();
    };
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.kill(i);
        fleet.start(i);
    }
    fleet.run(5000);
    CHECK(fleet.rules.isViolated("decrease"));
}

// Guards against a check that misses a content which was never accepted.
TEST_CASE("the rules report a manifest that was not accepted")
{
    SpreadFleet fleet({});
    fleet.accept();
    fleet.startAll();
    fleet.alterMessage = [](wire::Envelope &message) {
        if (message.__isset.push) {
            const std::string other = manifestText(2, 1, 7);
            message.push.content.digest = sha256Hex(other);
            message.push.content.__set_full(other);
            message.push.content.__isset.delta = false;
        }
    };
    fleet.run(5000);
    CHECK(fleet.rules.isViolated("content"));
}

// Guards against a check that misses a version run by its only holder.
TEST_CASE("the rules report an active version that no other host holds")
{
    // Uses one zone, because watchers of other zones would get the version by their own reads.
    FleetSettings settings;
    settings.zones = 1;
    settings.spread.digestIntervalMs = 50;
    SpreadFleet fleet(settings);
    fleet.startAll();
    fleet.alterMessage = [](wire::Envelope &message) {
        message.__isset.push = false;
        message.__isset.content = false;
        message.__isset.digest = false;
        wire::PushAck forged;
        forged.version = 1;
        message.__set_pushAck(forged);
    };
    fleet.run(3000);
    fleet.accept();
    fleet.run(3000);
    CHECK(fleet.rules.isViolated("replication"));
}

// Guards against a check that reports convergence while no message arrives.
TEST_CASE("the wait for convergence fails when the network loses every message")
{
    SpreadFleet fleet({});
    fleet.accept();
    fleet.startAll();
    requireConvergence(fleet);
    fleet.network.lossPerMille = 1000;
    fleet.accept();
    CHECK_FALSE(fleet.runUntilConverged(kConvergenceLimitMs));
}

// Guards against a count of copies that misses duplicates.
TEST_CASE("the count of copies shows more than allowed when gossip pushes to 8 members")
{
    FleetSettings settings;
    settings.nodes = 100;
    settings.spread.deliveryMode = DeliveryMode::Gossip;
    settings.spread.gossipFanOut = 8;
    SpreadFleet fleet(settings);
    fleet.accept();
    fleet.startAll();
    requireConvergence(fleet);
    fleet.run(3000);
    fleet.resetCounters();
    fleet.accept();
    fleet.run(1000);
    CHECK(countCopies(fleet).mean > 1.1);
    CHECK(countCopies(fleet).most > 2);
}

// Guards against a count of platform calls that misses the reads of a restarting fleet.
TEST_CASE("the count of platform calls shows more than allowed when a fleet starts without jitter")
{
    FleetSettings settings;
    settings.nodes = 2000;
    settings.spread.fleetReadsPerSecond = 1000000;
    SpreadFleet fleet(settings);
    fleet.accept();
    fleet.setIsolated(true);
    fleet.startAll();
    fleet.run(2000);
    CHECK(peakCallsPerSecond(fleet) > 1000);
}
