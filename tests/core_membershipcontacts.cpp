#include <catch2/catch.hpp>
#include <cstdio>
#include <optional>

#include "membershipfleet.h"

using namespace fulmarledge;
using namespace fulmarledge::membershiptest;

namespace {

// Bounds from section 1 of the design page for a restart of the whole fleet.
constexpr int kFleetSize = 9700;
constexpr int kMaxReadsPerSecond = 1000;
constexpr int kMaxWritesPerSecond = 200;
constexpr std::size_t kJoiningHosts = 1500;
// Twice the setting, because one window of the limit may end and the next begin within one second of the clock.
constexpr int kMaxJoinAnswersPerSecond = 100;

std::string violationText(const std::optional<std::string> &violation)
{
    return violation.value_or("none");
}

/// Adds `size` hosts, starts them all at once and runs them for `duration`. With `withContact` the first host is the
/// only contact of each zone. Its join replies are cut to one record, so that each other process holds only two
/// records. Without it no message passes.
void startAtOnce(Fleet &fleet, std::size_t size, bool withContact, TimeMs duration)
{
    fleet.digestsEnabled = false;
    fleet.tickMs = 1000;
    fleet.addMany(size);
    if (withContact) {
        wire::HostRecord contact = fleet.nodes.front()->record;
        for (const char *zone : {"ikeja", "apapa", "lekki", "yaba"}) {
            fleet.platform.objects[std::string(zone) + "-0"]
                = {std::string(kContactKind), std::string(zone) + "-0", 1,
                   R"({"host":")" + contact.host + R"(","address":")" + contact.address
                       + R"(","port":7400,"incarnation":1})"};
        }
        // Only joins and shortened replies pass, so that the tables stay small.
        fleet.messageFilter = [](const Fleet::Node &, wire::Envelope &message) {
            message.joinReply.records.resize(std::min<std::size_t>(message.joinReply.records.size(), 1));
            return message.__isset.join || message.__isset.joinReply;
        };
    } else {
        fleet.blocked = [](const Fleet::Node &, const Fleet::Node &) { return true; };
    }
    fleet.startAll();
    fleet.run(duration);
}

/// Counts by second the joins that the only contact answers with records, while kJoiningHosts hosts start at once.
std::map<TimeMs, int> joinAnswers(Fleet &fleet)
{
    std::map<TimeMs, int> answers;
    startAtOnce(fleet, kJoiningHosts, true, 0);
    const auto joinFilter = fleet.messageFilter;
    fleet.messageFilter = [&](const Fleet::Node &from, wire::Envelope &message) {
        if (&from == fleet.nodes.front().get() && !message.joinReply.records.empty()) {
            ++answers[fleet.scheduler.now / 1000];
        }
        return joinFilter(from, message);
    };
    fleet.run(20000);
    return answers;
}

bool isContact(const Fleet &fleet, const std::string &host)
{
    return std::any_of(fleet.platform.objects.begin(), fleet.platform.objects.end(), [&](const auto &entry) {
        return entry.second.value.find('"' + host + '"') != std::string::npos;
    });
}

/// Whether each zone has three contacts, all of them different running hosts.
bool contactsComplete(const Fleet &fleet)
{
    int contactHosts = 0;
    for (const Fleet::Node *node : fleet.running()) {
        contactHosts += isContact(fleet, node->record.host) ? 1 : 0;
    }
    return contactHosts == 12 && fleet.platform.objects.size() == 12;
}

} // namespace

// Guards against a restart of the whole fleet that overloads the platform when there is no contact object left.
TEST_CASE("hosts that start together without contacts stay within the platform's call rates")
{
    INFO("seed 1");
    Fleet fleet(1);
    // The slower the platform, the more hosts read the contacts before the first write is visible.
    fleet.platform.latencyMs = 3000;
    startAtOnce(fleet, kFleetSize, false, 35000);
    CHECK(violationText(Fleet::rateAbove(fleet.platform.readsBySecond, kMaxReadsPerSecond)) == "none");
    CHECK(violationText(Fleet::rateAbove(fleet.platform.writesBySecond, kMaxWritesPerSecond)) == "none");
    CHECK(fleet.platform.objects.size() == 12);
}

// Guards against a contact overloaded by joins, and against hosts that start together and never join.
TEST_CASE("hosts that start together join through a contact at a bounded rate")
{
    INFO("seed 2");
    Fleet fleet(2, fleetSettings(kJoiningHosts));
    const std::map<TimeMs, int> answers = joinAnswers(fleet);
    CHECK(violationText(Fleet::rateAbove(answers, kMaxJoinAnswersPerSecond)) == "none");
    CHECK(violationText(Fleet::rateAbove(fleet.platform.readsBySecond, kMaxReadsPerSecond)) == "none");
    CHECK(violationText(Fleet::rateAbove(fleet.platform.writesBySecond, kMaxWritesPerSecond)) == "none");
    // For 18 full seconds the contact answers at its limit, and a host may take an answer for each of its 3 joins in
    // flight.
    CHECK(fleet.metricSum("membership_joined") >= 18.0 * fleet.settings.joinsPerSecond / 3);
}

// Shows that the rate checks above fail when hosts do not wait and joins are not limited.
TEST_CASE("the rate checks detect hosts that start together and do not wait")
{
    MembershipSettings settings;
    settings.contactReadsPerSecond = 10000000;
    settings.contactWritesPerSecond = 10000000;
    Fleet fleet(1, settings);
    fleet.platform.latencyMs = 3000;
    startAtOnce(fleet, kFleetSize, false, 8000);
    CHECK(Fleet::rateAbove(fleet.platform.readsBySecond, kMaxReadsPerSecond));
    CHECK(Fleet::rateAbove(fleet.platform.writesBySecond, kMaxWritesPerSecond));

    MembershipSettings unlimited = fleetSettings(kJoiningHosts);
    unlimited.joinsPerSecond = 1000000;
    Fleet joining(2, unlimited);
    CHECK(Fleet::rateAbove(joinAnswers(joining), kMaxJoinAnswersPerSecond));
}

// Guards against contact objects that stay invalid or are written again and again.
TEST_CASE("each zone keeps three contacts and replaces a dead one")
{
    for (const std::uint64_t seed : seeds(3)) {
        INFO("seed " << seed);
        Fleet fleet(seed, fleetSettings(20));
        fleet.addMany(20);
        fleet.startAll();
        CHECK(fleet.runUntil([&] { return contactsComplete(fleet); }, 120000));
        const auto writesBefore = fleet.platform.writesBySecond;
        const auto readsBefore = fleet.platform.readsBySecond.size();
        fleet.run(60000);
        CHECK(fleet.platform.writesBySecond == writesBefore);
        CHECK(fleet.platform.readsBySecond.size() - readsBefore <= 60);
        for (auto &node : fleet.nodes) {
            if (isContact(fleet, node->record.host)) {
                fleet.kill(*node);
                break;
            }
        }
        CHECK(fleet.runUntil([&] { return contactsComplete(fleet); }, 120000));
    }
}

// Guards against hosts that give up joining, read too often or leave duplicate contacts while platform calls fail.
TEST_CASE("hosts join after the platform recovers")
{
    for (const StoreStatus mode : {StoreStatus::Unavailable, StoreStatus::Throttled, StoreStatus::UnknownOutcome}) {
        INFO("seed 4 platform " << storeStatusName(mode));
        Fleet fleet(4, fleetSettings(12));
        fleet.platform.mode = mode;
        fleet.platform.retryAfterMs = mode == StoreStatus::Throttled ? 2000 : 0;
        fleet.addMany(12);
        fleet.startAll();
        fleet.run(20000);
        const std::size_t busySeconds = fleet.platform.readsBySecond.size();
        CHECK(busySeconds > 0);
        CHECK(fleet.nodes.front()->core->liveCount() == 1);
        CHECK(violationText(Fleet::rateAbove(fleet.platform.readsBySecond, 24)) == "none");
        fleet.platform.mode = StoreStatus::Ok;
        fleet.platform.latencyMs = 400;
        CHECK(fleet.runUntil([&] { return !fleet.disagreement(); }, 60000));
        INFO(violationText(fleet.disagreement()));
    }
}

// Guards against a drain that is lost when the process of the node that acknowledged it ends.
TEST_CASE("other members report a leaving backend server to the next process of its host")
{
    for (const std::uint64_t seed : seeds(5)) {
        INFO("seed " << seed);
        MembershipSettings settings;
        settings.expectedMembers = 13;
        Fleet fleet(seed, settings);
        fleet.addMany(13);
        fleet.startAll();
        REQUIRE(fleet.runUntil([&] { return fleet.nodes.front()->core->liveCount() == 13; }, 20000));
        Fleet::Node &host = *fleet.nodes.front();
        host.core->setLocalState(fleet.scheduler.now, wire::HostState::Draining, "bookings", 12);
        host.core->setLeavingBackend(fleet.scheduler.now, "i-1", 1000);
        // The process stops 150 ms after the announcement, as in the fault search that found this failure.
        fleet.run(150);
        fleet.kill(host);
        fleet.run(700);
        fleet.start(host);
        std::optional<LeavingBackend> remembered;
        CHECK(fleet.runUntil(
            [&] {
                remembered = host.core->takeLeavingBackend();
                return remembered.has_value();
            },
            20000));
        REQUIRE(remembered);
        CHECK(remembered->instance == "i-1");
        CHECK(remembered->processStartMs == 1000);
    }
}

// Guards against a host that restarts during an outage of the platform and stays alone until the outage ends. It knows
// no other member, and the others have removed it after its planned stop.
TEST_CASE("a host that left and restarts during a platform outage is found by the other members")
{
    for (const std::uint64_t seed : seeds(5)) {
        INFO("seed " << seed);
        MembershipSettings settings;
        settings.expectedMembers = 13;
        settings.tombstoneProbePeriodMs = 500;
        settings.probeAfterLeaveMs = 60000;
        Fleet fleet(seed, settings);
        fleet.addMany(13);
        fleet.startAll();
        REQUIRE(fleet.runUntil([&] { return fleet.nodes.front()->core->liveCount() == 13; }, 20000));
        fleet.platform.mode = StoreStatus::Unavailable;
        Fleet::Node &host = *fleet.nodes.front();
        host.core->leave(fleet.scheduler.now);
        fleet.run(200);
        fleet.kill(host);
        fleet.run(3000);
        REQUIRE(fleet.nodes.back()->core->liveCount() == 12);
        fleet.start(host);
        // Each of the 12 members probes the host every half second, and the first answer leads to a table exchange.
        CHECK(fleet.runUntil([&] { return host.core->liveCount() == 13; }, 3000));
    }
}

// Guards against a host that does not join, or writes again, after the answer to its contact write was lost.
TEST_CASE("a host reads the contacts again after a contact write with unknown outcome")
{
    Fleet fleet(5, fleetSettings(1));
    fleet.addMany(1);
    fleet.startAll();
    REQUIRE(fleet.runUntil([&] { return !fleet.platform.readsBySecond.empty(); }, 10000));
    fleet.platform.unknownOutcomeWrites = 1;
    REQUIRE(fleet.runUntil([&] { return !fleet.platform.writesBySecond.empty(); }, 60000));
    CHECK_FALSE(fleet.nodes.front()->core->isJoined());
    CHECK(fleet.runUntil([&] { return fleet.nodes.front()->core->isJoined(); }, 60000));
    CHECK(fleet.platform.objects.size() == 1);
    CHECK(fleet.platform.writesBySecond.size() == 1);
}

// Measurement for docs/measurements/membership.md.
TEST_CASE("platform calls of a fleet that starts at once", "[.measure]")
{
    for (const TimeMs latency : {5, 3000}) {
        Fleet fleet(1);
        fleet.platform.latencyMs = latency;
        startAtOnce(fleet, kFleetSize, false, 60000);
        const auto peak = [](const std::map<TimeMs, int> &bySecond) {
            int highest = 0;
            for (const auto &[second, count] : bySecond) {
                highest = std::max(highest, count);
            }
            return highest;
        };
        std::printf("latency %lld ms: at most %d reads/s and %d writes/s, %zu contacts\n",
                    static_cast<long long>(latency), peak(fleet.platform.readsBySecond),
                    peak(fleet.platform.writesBySecond), fleet.platform.objects.size());
    }
}
