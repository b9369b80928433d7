#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <malloc.h>

#include "membershipfleet.h"

using namespace fulmarledge;
using namespace fulmarledge::membershiptest;

// Measurements, run by hand: build/release/tests/core-tests "[.measure]". Results: docs/measurements/membership.md.

namespace {

bool startAndConverge(Fleet &fleet)
{
    fleet.startAll();
    return fleet.runUntil([&] { return !fleet.disagreement(); }, 60000).has_value();
}

TimeMs percentile(std::vector<TimeMs> values, std::size_t percent)
{
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, values.size() * percent / 100)];
}

double nanosecondsSince(std::chrono::steady_clock::time_point begin, int repeats)
{
    return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - begin).count() / repeats;
}

std::size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd; // large blocks are mapped and counted separately
}

wire::HostRecord numberedRecord(const wire::HostRecord &base, std::size_t number, const std::string &zone)
{
    wire::HostRecord record = base;
    record.host = zone + "-bookings-" + std::to_string(number);
    record.zone = zone;
    record.serviceName = "bookings";
    record.address = "10.1." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1);
    record.state = wire::HostState::Serving;
    record.incarnation = Fleet::kEpochMs;
    record.slots = 12;
    return record;
}

/// Fills the node's table up to `members` records, without other nodes.
void fillTable(Fleet::Node &node, std::size_t members)
{
    static const std::vector<std::string> zones{"ikeja", "apapa", "lekki", "yaba", "guishan", "luzhu", "bade"};
    for (std::size_t i = 1; i < members; i += 64) {
        wire::Envelope message;
        message.header.host = "filler";
        message.__isset.joinReply = true;
        for (std::size_t j = i; j < std::min(i + 64, members); ++j) {
            message.updates.push_back(numberedRecord(node.record, j, zones[j % zones.size()]));
        }
        node.core->onMessage(1000, message);
    }
}

} // namespace

TEST_CASE("traffic of an idle fleet", "[.measure]")
{
    for (const std::size_t size : {50U, 200U, 1000U}) {
        Fleet fleet(1, fleetSettings(static_cast<std::int64_t>(size)));
        fleet.addMany(size);
        const bool agreed = startAndConverge(fleet);
        fleet.run(120000);
        fleet.countBytes = true;
        fleet.digestsEnabled = false;
        fleet.traffic = {};
        fleet.run(20000);
        const double seconds = 20.0 * static_cast<double>(size);
        std::printf("members %zu agreed %d: %.2f messages/s and %.0f bytes/s sent per node, without digests\n", size,
                    agreed ? 1 : 0, static_cast<double>(fleet.traffic.messages) / seconds,
                    static_cast<double>(fleet.traffic.bytes) / seconds);
    }
}

TEST_CASE("traffic caused by changes of records", "[.measure]")
{
    for (const std::size_t size : {50U, 200U}) {
        Fleet fleet(1, fleetSettings(static_cast<std::int64_t>(size)));
        fleet.addMany(size);
        startAndConverge(fleet);
        fleet.run(60000);
        const auto measure = [&](int changes) {
            fleet.countBytes = true;
            fleet.traffic = {};
            for (int i = 0; i < 60; ++i) {
                if (changes > 0 && i % (60 / changes) == 0) {
                    fleet.nodes[fleet.random.below(size)]->core->setLocalState(
                        fleet.scheduler.now, wire::HostState::Serving, "bookings", 13 + i);
                }
                fleet.run(1000);
            }
            return static_cast<double>(fleet.traffic.bytes) / static_cast<double>(size);
        };
        const double idleBytes = measure(0);
        const double busyBytes = measure(6);
        std::printf("members %zu: %.0f bytes per node for each change of a record\n", size,
                    (busyBytes - idleBytes) / 6);
    }
}

TEST_CASE("time until a dead host is removed and a draining host is known", "[.measure]")
{
    for (const bool successor : {false, true}) {
        for (const std::size_t size : {12U, 50U, 200U}) {
            std::vector<TimeMs> removal;
            std::vector<TimeMs> drain;
            MembershipSettings settings = fleetSettings(static_cast<std::int64_t>(size));
            settings.probeSuccessor = successor;
            for (std::uint64_t seed = 1; seed <= (size > 100 ? 4U : 20U); ++seed) {
                Fleet fleet(seed, settings);
                fleet.addMany(size);
                startAndConverge(fleet);
                fleet.run(20000);
                fleet.faults.lossPercent = 1;
                for (std::size_t i = 0; i < 4; ++i) {
                    Fleet::Node &leaving = *fleet.nodes[2 * i];
                    leaving.core->setLocalState(fleet.scheduler.now, wire::HostState::Draining, "bookings", 12);
                    const auto known = fleet.runUntil(
                        [&] { return !fleet.notInState(leaving.record.host, wire::HostState::Draining); }, 30000);
                    drain.push_back(known.value_or(30000));
                    Fleet::Node &dying = *fleet.nodes[2 * i + 1];
                    fleet.kill(dying);
                    const auto removed = fleet.runUntil([&] { return !fleet.heldLive(dying.record.host); }, 60000);
                    removal.push_back(removed.value_or(60000));
                    fleet.run(3000);
                }
            }
            std::printf(
                "members %zu successor probes %d: removal median %lld p90 %lld worst %lld ms; drain known median "
                "%lld worst %lld ms (%zu runs)\n",
                size, successor ? 1 : 0, static_cast<long long>(percentile(removal, 50)),
                static_cast<long long>(percentile(removal, 90)), static_cast<long long>(percentile(removal, 100)),
                static_cast<long long>(percentile(drain, 50)), static_cast<long long>(percentile(drain, 100)),
                removal.size());
        }
    }
}

TEST_CASE("processor time and memory of one node", "[.measure]")
{
    for (const std::size_t members : {100U, 1000U, 9700U}) {
        Fleet fleet(1);
        Fleet::Node &node = fleet.add("ikeja");
        fleet.messageFilter = [](const Fleet::Node &, wire::Envelope &) { return false; };
        // The scheduler does not run, so the platform never answers and no ticks happen but those below.
        fleet.start(node);
        const std::size_t before = heapBytes();
        const auto fillBegin = std::chrono::steady_clock::now();
        fillTable(node, members);
        const double fillNs = nanosecondsSince(fillBegin, static_cast<int>(members));
        const std::size_t after = heapBytes();
        // Every ping is answered, so that no member becomes suspect.
        std::vector<wire::Envelope> acks;
        fleet.messageFilter = [&](const Fleet::Node &, wire::Envelope &message) {
            if (message.__isset.ping) {
                wire::Envelope ack;
                ack.__isset.ack = true;
                ack.ack.sequence = message.ping.sequence;
                ack.ack.subject = message.ping.target;
                ack.header.host = message.ping.target;
                ack.header.incarnation = Fleet::kEpochMs;
                acks.push_back(ack);
            }
            return false;
        };
        TimeMs now = 1000;
        constexpr int kTicks = 20000;
        double tickNs = 0;
        double ackNs = 0;
        int ackCount = 0;
        for (int i = 0; i < kTicks; ++i) {
            fleet.scheduler.now = now += 50;
            auto begin = std::chrono::steady_clock::now();
            node.core->onTick(now);
            tickNs += nanosecondsSince(begin, 1);
            begin = std::chrono::steady_clock::now();
            for (const wire::Envelope &ack : acks) {
                node.core->onMessage(now, ack);
                ++ackCount;
            }
            ackNs += nanosecondsSince(begin, 1);
            acks.clear();
        }
        wire::Envelope ping;
        ping.header.host = node.core->records()[1].host;
        ping.header.incarnation = Fleet::kEpochMs;
        ping.__isset.ping = true;
        ping.ping.target = node.record.host;
        const auto begin = std::chrono::steady_clock::now();
        for (int i = 0; i < kTicks; ++i) {
            node.core->onMessage(now, ping);
        }
        const double pingNs = nanosecondsSince(begin, kTicks);
        std::printf("members %zu live %zu: tick %.0f ns, ack %.0f ns, ping with its answer %.0f ns, insert %.0f ns, "
                    "%.0f bytes per member, sends included\n",
                    members, node.core->liveCount(), tickNs / kTicks, ackNs / std::max(1, ackCount), pingNs, fillNs,
                    static_cast<double>(after - before) / static_cast<double>(members));
    }
}

TEST_CASE("time until all tables agree after a common start and after a partition", "[.measure]")
{
    for (const std::size_t size : {50U, 200U, 500U}) {
        Fleet fleet(1, fleetSettings(static_cast<std::int64_t>(size)));
        fleet.addMany(size);
        fleet.startAll();
        const auto agree = [&] { return !fleet.disagreement(); };
        const auto joined = fleet.runUntil(agree, 120000);
        const auto isInFirstHalf
            = [](const Fleet::Node &node) { return node.record.zone == "ikeja" || node.record.zone == "apapa"; };
        fleet.run(20000);
        fleet.blocked
            = [&](const Fleet::Node &from, const Fleet::Node &to) { return isInFirstHalf(from) != isInFirstHalf(to); };
        fleet.run(60000);
        fleet.blocked = nullptr;
        fleet.countBytes = true;
        fleet.traffic = {};
        const auto healed = fleet.runUntil(agree, 120000);
        std::printf("members %zu: common start %lld ms, heal of a half after 60 s %lld ms with %.0f bytes per node\n",
                    size, static_cast<long long>(joined.value_or(-1)), static_cast<long long>(healed.value_or(-1)),
                    static_cast<double>(fleet.traffic.bytes) / static_cast<double>(size));
    }
}

namespace {

struct SilenceResult {
    int declaredDead = 0; ///< cases in which the host was declared dead
    int cases = 0;
    std::vector<TimeMs> removal; ///< time until all others had removed the host, in cases in which they did
};

/// Hosts announce a planned restart by draining and then stop answering for `duration`, by a restart or by a pause of
/// the same process.
SilenceResult measureSilence(int factor, TimeMs duration, bool restarts)
{
    SilenceResult result;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        MembershipSettings settings = fleetSettings(40);
        settings.drainingSuspicionFactor = factor;
        Fleet fleet(seed, settings);
        fleet.addMany(40);
        startAndConverge(fleet);
        fleet.run(5000);
        for (std::size_t i = 0; i < 4; ++i) {
            Fleet::Node &node = *fleet.nodes[5 * i];
            node.core->setLocalState(fleet.scheduler.now, wire::HostState::Draining, "bookings", 12);
            fleet.run(3000);
            const double before = fleet.metricSum("membership_deaths");
            node.paused = !restarts;
            if (restarts) {
                fleet.kill(node);
            }
            const auto removed = fleet.runUntil([&] { return !fleet.heldLive(node.record.host); }, duration);
            fleet.run(duration - removed.value_or(duration));
            if (removed) {
                result.removal.push_back(*removed);
            }
            result.declaredDead += fleet.metricSum("membership_deaths") > before ? 1 : 0;
            ++result.cases;
            node.paused = false;
            if (restarts) {
                fleet.start(node);
            }
            fleet.runUntil([&] { return !fleet.disagreement(); }, 30000);
        }
    }
    return result;
}

} // namespace

// Results: docs/decisions/failure-delay.md.
TEST_CASE("suspicion time of announced restarts", "[.measure]")
{
    for (const int factor : {1, 2, 4}) {
        for (const bool restarts : {true, false}) {
            for (const TimeMs duration : {2000, 4000, 6000, 10000, 30000}) {
                const SilenceResult result = measureSilence(factor, duration, restarts);
                std::printf("factor %d, %s of %lld ms: declared dead %d of %d, time to removal median %lld ms\n",
                            factor, restarts ? "restart" : "pause", static_cast<long long>(duration),
                            result.declaredDead, result.cases,
                            result.removal.empty() ? -1LL : static_cast<long long>(percentile(result.removal, 50)));
            }
        }
    }
}
