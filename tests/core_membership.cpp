#include <catch2/catch.hpp>

#include "hosttable_p.h"
#include "membershipfleet.h"
#include "updatequeue_p.h"

using namespace fulmarledge;
using namespace fulmarledge::membershiptest;

namespace {

wire::HostRecord hostRecord(const std::string &name, std::int64_t incarnation = 1, const std::string &zone = "ikeja")
{
    wire::HostRecord record;
    record.host = name;
    record.zone = zone;
    record.serviceName = "bookings";
    record.address = "10.0.0.1";
    record.controlPort = 7400;
    record.hopPort = 7401;
    record.callerPort = 7402;
    record.adminPort = 7403;
    record.incarnation = incarnation;
    record.state = wire::HostState::Serving;
    record.liveness = wire::Liveness::Alive;
    record.slots = 12;
    return record;
}

wire::HostRecord withLiveness(wire::HostRecord record, wire::Liveness::type liveness)
{
    record.liveness = liveness;
    return record;
}

} // namespace

// Guards against a late message that replaces a newer record.
TEST_CASE("a record supersedes another by incarnation, then liveness, then content")
{
    const wire::HostRecord alive = hostRecord("a", 5);
    const wire::HostRecord suspect = withLiveness(alive, wire::Liveness::Suspect);
    const wire::HostRecord dead = withLiveness(alive, wire::Liveness::Dead);
    CHECK(supersedes(suspect, alive));
    CHECK(supersedes(dead, suspect));
    CHECK_FALSE(supersedes(alive, dead));
    CHECK_FALSE(supersedes(alive, alive));
    CHECK(supersedes(hostRecord("a", 6), dead));
    CHECK_FALSE(supersedes(withLiveness(hostRecord("a", 4), wire::Liveness::Dead), alive));
    wire::HostRecord other = alive;
    other.slots = 4;
    CHECK(supersedes(other, alive) != supersedes(alive, other));
}

// Guards against a record of a faulty peer that overflows an incarnation or a port.
TEST_CASE("a record with a field out of range is invalid")
{
    CHECK(isValidRecord(hostRecord("a")));
    wire::HostRecord record = hostRecord("a", 0);
    CHECK_FALSE(isValidRecord(record));
    record.incarnation = std::numeric_limits<std::int64_t>::max();
    CHECK_FALSE(isValidRecord(record));
    record = hostRecord("a");
    record.controlPort = 70000;
    CHECK_FALSE(isValidRecord(record));
    record = hostRecord("a");
    record.state = static_cast<wire::HostState::type>(9);
    CHECK_FALSE(isValidRecord(record));
    CHECK_FALSE(isValidRecord(hostRecord("")));
}

// Guards against datagrams that exceed their size limit because a record was counted as too small.
TEST_CASE("the computed size of a record equals its encoded size")
{
    wire::HostRecord record = hostRecord("ikeja-bookings-1", 1700000000000);
    for (const std::int32_t slots : {0, 12, 70, 100000}) {
        record.slots = slots;
        record.__isset.warmupMs = slots > 0;
        record.warmupMs = 30 * slots;
        record.__isset.linkMegabits = slots > 0;
        record.linkMegabits = slots;
        record.__isset.leavingInstance = slots > 0;
        record.leavingInstance = "i-7f3a91c2";
        record.__isset.leavingBornMs = slots > 0;
        record.leavingBornMs = 1788280904923;
        wire::Envelope message;
        const std::size_t empty = encodedBytes(message);
        message.updates = {record};
        CHECK(encodedBytes(message) - empty == encodedSize(record));
    }
}

// Guards against indices that differ from the records after some sequence of changes.
TEST_CASE("the indices of the host table stay consistent with its records")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        SeededRandom random(seed);
        HostTable table(hostRecord("self"));
        for (std::int64_t step = 2; step < 2000; ++step) {
            wire::HostRecord record
                = hostRecord("h" + std::to_string(random.below(60)), step, random.below(2) == 0 ? "ikeja" : "apapa");
            record.liveness = random.below(3) == 0 ? wire::Liveness::Dead : wire::Liveness::Alive;
            table.set(record);
            if (!table.tombstones().empty() && random.below(4) == 0) {
                table.remove(table.tombstones()[random.below(table.tombstones().size())]);
            }
            table.nextProbeTarget(random);
        }
        HostTable fresh(hostRecord("self"));
        std::size_t live = 0;
        std::size_t inBuckets = 0;
        for (const wire::HostRecord &record : table.records()) {
            fresh.set(record);
            live += isLive(record) ? 1 : 0;
            REQUIRE(table.record(table.find(record.host)) == record);
        }
        for (std::size_t i = 0; i < FULMARLEDGE_CONFIG_TABLE_BUCKETS; ++i) {
            inBuckets += table.bucket(i).size();
            CHECK(table.bucketHash(i) == fresh.bucketHash(i));
        }
        CHECK(inBuckets == table.records().size());
        CHECK(table.tableHash() == fresh.tableHash());
        CHECK(table.live().size() == live - 1);
        std::size_t inZones = 0;
        for (const std::string &zone : table.zones()) {
            const std::span<const Member> members = table.zoneMembers(zone);
            inZones += members.size();
            CHECK(std::is_sorted(members.begin(), members.end(),
                                 [](const Member &left, const Member &right) { return left.hash < right.hash; }));
        }
        CHECK(inZones == live);
        // A walk along the successors visits every live member once.
        std::uint64_t hash = memberHash("self");
        std::map<std::uint32_t, int> visited;
        for (std::size_t i = 0; i < live; ++i) {
            const std::uint32_t slot = table.successor(hash);
            ++visited[slot];
            hash = table.entry(slot).hash;
        }
        CHECK(visited.size() == live);
    }
}

// Guards against a member that is probed late because others are probed twice in a round.
TEST_CASE("each probe round visits every member once")
{
    SeededRandom random(3);
    HostTable table(hostRecord("self"));
    for (int i = 0; i < 50; ++i) {
        table.set(hostRecord("h" + std::to_string(i)));
    }
    for (int round = 0; round < 3; ++round) {
        std::map<std::uint32_t, int> probed;
        for (int i = 0; i < 50; ++i) {
            ++probed[table.nextProbeTarget(random)];
        }
        CHECK(probed.size() == 50);
    }
}

// Guards against records that are sent for ever, exceed the room in the message, or are sent after older ones.
TEST_CASE("queued records are sent newest first and a bounded number of times")
{
    HostTable table(hostRecord("self"));
    UpdateQueue queue;
    for (int i = 0; i < 15; ++i) {
        queue.push(table, table.set(hostRecord("h" + std::to_string(i))), false);
    }
    queue.push(table, table.find("h3"), true);
    std::map<std::string, int> sends;
    for (int i = 0; i < 1000; ++i) {
        wire::Envelope message;
        const std::size_t empty = encodedBytes(message);
        queue.fill(table, message, 400);
        CHECK(encodedBytes(message) - empty <= 400);
        if (i == 0) {
            REQUIRE(message.updates.size() > 2);
            CHECK(message.updates[0].host == "h3");
            CHECK(message.updates[1].host == "h14");
        }
        for (const wire::HostRecord &record : message.updates) {
            ++sends[record.host];
        }
    }
    CHECK(sends.size() == 15);
    for (const auto &[name, count] : sends) {
        CHECK(count <= 3 * 5); // 3 sends for each of the 5 bits of the number of members, 16
    }
}

// Guards against snapshots built for changes that do not affect routing, or not built for those that do.
TEST_CASE("the revision increases only with changes that affect routing")
{
    Fleet fleet(1, fleetSettings(2));
    fleet.addMany(2);
    fleet.startAll();
    REQUIRE(fleet.runUntil([&] { return !fleet.disagreement(); }, 20000));
    Fleet::Node &node = *fleet.nodes[0];
    const auto receive = [&](const wire::HostRecord &record) {
        wire::Envelope message;
        message.header.host = fleet.nodes[1]->record.host;
        message.updates = {record};
        node.core->onMessage(fleet.scheduler.now, message);
    };
    const auto revision = [&] { return node.core->revision(); };
    std::uint64_t before = revision();
    receive(hostRecord("new", 5));
    CHECK(revision() == before + 1);
    before = revision();
    receive(hostRecord("new", 5));
    receive(hostRecord("new", 6));
    receive(withLiveness(hostRecord("new", 6), wire::Liveness::Suspect));
    CHECK(revision() == before);
    wire::HostRecord draining = hostRecord("new", 7);
    draining.state = wire::HostState::Draining;
    receive(draining);
    CHECK(revision() == before + 1);
    receive(withLiveness(draining, wire::Liveness::Dead));
    CHECK(revision() == before + 2);
    CHECK(node.core->find("new") == nullptr);
    CHECK(Fleet::heldRecord(node, "new")->liveness == wire::Liveness::Dead);
}

// Guards against a late message that decreases a host's reported version.
TEST_CASE("the version of a member is that of its newest process and does not decrease within a process")
{
    Fleet fleet(1, fleetSettings(2));
    fleet.addMany(2);
    fleet.startAll();
    REQUIRE(fleet.runUntil([&] { return !fleet.disagreement(); }, 20000));
    Fleet::Node &node = *fleet.nodes[0];
    const std::string &peer = fleet.nodes[1]->record.host;
    const std::int64_t incarnation = node.core->find(peer)->incarnation;
    const auto version = [&](std::int64_t senderIncarnation, Version reported) {
        wire::Envelope message;
        message.header.host = peer;
        message.header.incarnation = senderIncarnation;
        message.header.version = reported;
        node.core->onMessage(fleet.scheduler.now, message);
        return node.core->find(peer)->version;
    };
    CHECK(version(incarnation, 9) == 9);
    CHECK(version(incarnation, 8) == 9);
    CHECK(version(incarnation + 1, 3) == 3);
    CHECK(version(incarnation, 12) == 3);
}
