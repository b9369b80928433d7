#include <algorithm>
#include <catch2/catch.hpp>

#include "allocationcount.h"
#include "heldmanifests_p.h"
#include "pushtree_p.h"
#include "spreadchecks.h"

using namespace fulmarledge;
using namespace fulmarledge::spreadtest;

// The limits are those of section 1 of the design page.

namespace {

constexpr double kMaxMeanCopies = 1.1;
constexpr int kMaxCopies = 2;
constexpr std::int64_t kMaxCallsPerSecond = 1000;

Manifest parseManifest(const std::string &text)
{
    LastReason error;
    return Manifest::parse(text, error).value();
}

HeldManifest heldManifest(Version version, const std::string &text)
{
    return {version, sha256Hex(text), std::make_shared<const Manifest>(parseManifest(text))};
}

std::size_t encodedSize(const wire::Content &content)
{
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    content.write(&protocol);
    return buffer->available_read();
}

} // namespace

// Guards against nodes that receive a change more often than allowed without faults: 1.1 times on average and never
// more than twice.
TEST_CASE("a tree of 200 nodes in 4 zones sends each node at most 1.1 copies of a change on average and never over 2")
{
    for (std::uint64_t seed = 1; seed <= seedCount(3); ++seed) {
        CAPTURE(seed);
        FleetSettings settings;
        settings.nodes = 200;
        settings.zones = 4;
        settings.seed = seed;
        SpreadFleet fleet(settings);
        fleet.accept();
        fleet.startAll();
        requireConvergence(fleet);
        fleet.run(3000);
        for (int change = 0; change < 5; ++change) {
            fleet.resetCounters();
            fleet.accept();
            requireConvergence(fleet, 1000);
            fleet.run(1500);
            const CopyCount copies = countCopies(fleet);
            CHECK(copies.mean <= kMaxMeanCopies);
            CHECK(copies.most <= kMaxCopies);
        }
    }
}

// Guards against a delta that carries more than the change.
TEST_CASE("the delta of a change to one of 390 services on 9,700 hosts takes at most 2% of the full manifest")
{
    HeldManifests held;
    held.add(heldManifest(1, manifestText(390, 25, 1)));
    held.add(heldManifest(2, manifestText(390, 25, 391)));
    const wire::Content full = held.contentFor(0);
    const wire::Content delta = held.contentForPush();
    REQUIRE(full.__isset.full);
    REQUIRE(delta.__isset.delta);
    CHECK(encodedSize(delta) * 50 <= encodedSize(full));
}

// Guards against a delta from a version that the sender no longer holds.
TEST_CASE("a holder of 16 manifests sends the full manifest to a receiver whose version is older than all of them")
{
    HeldManifests held;
    for (Version version = 1; version <= 20; ++version) {
        held.add(heldManifest(version, manifestText(3, 2, static_cast<int>(version))));
    }
    CHECK(held.contentFor(4).__isset.full);
    CHECK(held.contentFor(5).__isset.delta);
    CHECK(held.contentFor(99).__isset.full);
}

// Guards against review case 6, manifests that are kept whatever their size.
TEST_CASE("as many manifests are kept as their memory allows, and at least two")
{
    constexpr int kServices = 300;
    const auto newest
        = [](Version version) { return heldManifest(version, manifestText(kServices, 2, static_cast<int>(version))); };
    const std::size_t oneBytes = newest(1).manifest->memoryBytes();
    const int allowed = GENERATE(1, 2, 5, 16, 30);
    HeldManifests held(static_cast<std::size_t>(allowed) * oneBytes + oneBytes / 2);
    for (Version version = 1; version <= 30; ++version) {
        held.add(newest(version));
    }
    const Version kept = std::clamp(allowed, 2, FULMARLEDGE_CONFIG_KEPT_MANIFESTS);
    CHECK(held.find(30 - kept) == nullptr);
    CHECK(held.find(30 - kept + 1) != nullptr);
    CHECK(held.contentForPush().__isset.delta);
    CHECK(held.contentFor(30 - kept).__isset.full);
    CHECK(held.contentFor(30 - kept + 1).__isset.delta);
}

// Guards against an estimate that lets kept manifests take several times the memory that is set aside for them.
TEST_CASE("the memory of a manifest is estimated within a third")
{
    const std::string text = manifestText(3000, 2, 1);
    LastReason error;
    const std::ptrdiff_t before = heldBytesOfThisThread();
    const auto manifest = Manifest::parse(text, error);
    REQUIRE(manifest);
    const auto used = static_cast<std::size_t>(heldBytesOfThisThread() - before);
    CAPTURE(used, manifest->memoryBytes());
    CHECK(manifest->memoryBytes() > used * 2 / 3);
    CHECK(manifest->memoryBytes() < used * 4 / 3);
}

// Guards against platform reads and writes per change that grow with the fleet.
TEST_CASE("platform calls per change do not depend on the size of the fleet")
{
    for (const int nodes : {20, 100, 300}) {
        CAPTURE(nodes);
        FleetSettings settings;
        settings.nodes = nodes;
        settings.zones = 4;
        SpreadFleet fleet(settings);
        fleet.accept();
        fleet.startAll();
        requireConvergence(fleet);
        fleet.run(5000);
        const std::int64_t reads = fleet.platform.reads;
        const std::int64_t watches = fleet.platform.watches;
        const double fetches = fleet.metrics["spread_platform_calls/fetch"];
        fleet.accept();
        fleet.run(1000);
        CHECK(fleet.metrics["spread_platform_calls/fetch"] - fetches <= settings.zones);
        // In this second, each of the 12 watchers may read `head` once, renew its watch and fetch the content.
        CHECK(fleet.platform.reads - reads <= 12 * 2);
        CHECK(fleet.platform.watches - watches <= 12);
        CHECK(fleet.writes() == 0);
    }
}

// Guards against a restart of the whole fleet that overloads the platform, also while each node knows only itself.
TEST_CASE("a restart of the whole fleet makes at most 1000 platform calls per second")
{
    FleetSettings settings;
    settings.nodes = 2500;
    settings.zones = 7;
    settings.services = 1;
    SpreadFleet fleet(settings);
    fleet.accept();
    fleet.setIsolated(true);
    fleet.startAll();
    fleet.run(20000);
    CHECK(peakCallsPerSecond(fleet) <= kMaxCallsPerSecond);

    settings.nodes = 400;
    SpreadFleet joined(settings);
    joined.accept();
    for (int restart = 0; restart < 3; ++restart) {
        for (std::size_t i = 0; i < joined.size(); ++i) {
            joined.kill(i);
            joined.start(i);
        }
        joined.run(1500);
    }
    requireConvergence(joined);
    CHECK(peakCallsPerSecond(joined) <= kMaxCallsPerSecond);
}

// Guards against a member that gets two pushes, or none, although all delegates know the same members.
TEST_CASE("a tree reaches each member exactly once")
{
    std::vector<Member> members;
    for (int i = 0; i < 500; ++i) {
        Member member;
        member.host = "host-" + std::to_string(i);
        member.hash = memberHash(member.host);
        members.push_back(member);
    }
    std::sort(members.begin(), members.end(), [](const Member &a, const Member &b) { return a.hash < b.hash; });
    for (const std::size_t root : {std::size_t{0}, std::size_t{250}, members.size() - 1}) {
        std::map<std::string, int> reached;
        std::vector<std::pair<const Member *, HashInterval>> pending{{&members[root], {}}};
        while (!pending.empty()) {
            const auto [member, interval] = pending.back();
            pending.pop_back();
            ++reached[member->host];
            const auto parts = divideInterval(members, member->hash, interval, 8);
            CHECK(parts.size() <= 8);
            for (const Delegation &part : parts) {
                pending.emplace_back(part.delegate, part.interval);
            }
        }
        CHECK(reached.size() == members.size());
        CHECK(std::all_of(reached.begin(), reached.end(), [](const auto &entry) { return entry.second == 1; }));
    }
}
