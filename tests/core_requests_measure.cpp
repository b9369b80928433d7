#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <iostream>

#include "request_model.h"

// Measurements that docs/decisions quotes. They are hidden and run with `core-tests "[measure]"`.

using namespace fulmarledge;
using namespace fulmarledge::requesttest;

namespace {

/// 99th percentile in ms of the waiting time when `choose` selects the backend server of each request. Each backend
/// server has one slot, and the load is 80%.
template <typename Choose>
TimeMs wait99thPercentileMs(Choose choose)
{
    constexpr std::size_t kHosts = 25;
    constexpr int kRequests = 100000;
    SeededRandom random(1);
    std::vector<std::vector<TimeMs>> ends(kHosts); // of the requests at each host, ascending
    std::vector<TimeMs> waits;
    for (int i = 0; i < kRequests; ++i) {
        // One request per ms on 25 hosts that take 20 ms each.
        const TimeMs now = i;
        for (std::vector<TimeMs> &queue : ends) {
            queue.erase(queue.begin(), std::upper_bound(queue.begin(), queue.end(), now));
        }
        const std::size_t host = choose(ends, random);
        const TimeMs start = ends[host].empty() ? now : ends[host].back();
        waits.push_back(start - now);
        ends[host].push_back(start + random.between(10, 30));
    }
    std::sort(waits.begin(), waits.end());
    return waits[waits.size() * 99 / 100];
}

using Queues = std::vector<std::vector<TimeMs>>;

/// Keyed requests that `owners` owners execute per second after their tables have filled.
double keyedPerSecond(double offered, std::size_t owners)
{
    constexpr TimeMs kSeconds = 1200;
    std::vector<std::unique_ptr<IdempotencyTable>> tables;
    for (std::size_t i = 0; i < owners; ++i) {
        tables.push_back(std::make_unique<IdempotencyTable>(0));
    }
    SeededRandom random(1);
    double completed = 0;
    const auto perSecond = static_cast<std::uint64_t>(offered);
    for (TimeMs second = 0; second < kSeconds; ++second) {
        const TimeMs now = second * 1000;
        for (std::uint64_t i = 0; i < perSecond; ++i) {
            const std::string key = std::to_string(second) + "-" + std::to_string(i);
            IdempotencyTable &table = *tables[random.below(owners)];
            const KeyDecision decision = table.begin({"bookings", key, 1, 1}, now);
            if (decision.action == KeyAction::Execute) {
                table.finish(decision.id, Verdict::Answered, {200, {}, "booked"}, now);
                completed += second >= kSeconds / 2 ? 1 : 0;
            }
        }
    }
    return completed / (static_cast<double>(kSeconds) / 2);
}

} // namespace

TEST_CASE("measure: waiting time by method of choosing a host", "[.measure]")
{
    std::size_t nextHost = 0;
    const auto shortest = [](const Queues &queues) {
        return static_cast<std::size_t>(
            std::min_element(queues.begin(), queues.end(),
                             [](const auto &a, const auto &b) { return a.size() < b.size(); })
            - queues.begin());
    };
    std::cout << "25 hosts, 80% load, 99th percentile of the wait in ms: random "
              << wait99thPercentileMs(
                     [](const Queues &queues, SeededRandom &random) { return random.below(queues.size()); })
              << ", round robin " << wait99thPercentileMs([&nextHost](const Queues &queues, SeededRandom &) {
                     return nextHost++ % queues.size();
                 })
              << ", better of two random hosts "
              << wait99thPercentileMs([](const Queues &queues, SeededRandom &random) {
                     const auto a = random.below(queues.size());
                     const auto b = random.below(queues.size());
                     return queues[b].size() < queues[a].size() ? b : a;
                 })
              << ", shortest queue of all by exact counts "
              << wait99thPercentileMs([&](const Queues &queues, SeededRandom &) { return shortest(queues); });
    // 20 entry nodes whose counts are up to 100 ms old all choose the same host.
    Queues stale(25);
    TimeMs nextRefresh = 0;
    TimeMs now = 0;
    std::cout << ", shortest queue of all by counts 100 ms old "
              << wait99thPercentileMs([&](const Queues &queues, SeededRandom &) {
                     if (now++ >= nextRefresh) {
                         stale = queues;
                         nextRefresh += 100;
                     }
                     return shortest(stale);
                 })
              << ", better of two random hosts by counts 100 ms old ";
    now = nextRefresh = 0;
    std::cout << wait99thPercentileMs([&](const Queues &queues, SeededRandom &random) {
        if (now++ >= nextRefresh) {
            stale = queues;
            nextRefresh += 100;
        }
        const auto a = random.below(queues.size());
        const auto b = random.below(queues.size());
        return stale[b].size() < stale[a].size() ? b : a;
    }) << "\n";
}

TEST_CASE("measure: keyed requests per second by number of owners", "[.measure]")
{
    for (const double offered : {100.0, 400.0}) {
        std::cout << "offered " << offered << " keyed/s: tables of 4 owners " << keyedPerSecond(offered, 4)
                  << ", of 25 owners " << keyedPerSecond(offered, 25) << "\n";
    }
}

TEST_CASE("measure: time to choose a host", "[.measure]")
{
    for (const int hosts : {5, 25, 500}) {
        const auto records = hostRecords(hosts, 4);
        Balancer balancer("entry", "z-0");
        const auto view = balancer.buildView(bookingsSnapshot(records), 0);
        SeededRandom random(1);
        for (std::uint32_t i = 0; i < static_cast<std::uint32_t>(hosts); ++i) {
            view->recordLoad({i}, static_cast<std::uint32_t>(random.below(12)), 100000);
        }
        constexpr int kRounds = 20000;
        const auto start = std::chrono::steady_clock::now();
        std::uint64_t sum = 0;
        for (int i = 0; i < kRounds; ++i) {
            sum += view->choose(kBookingsService, {}, random, 100100).idx;
        }
        const auto ns = std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::steady_clock::now() - start);
        std::cout << hosts << " hosts: " << ns.count() / kRounds << " ns per choice (checksum " << sum % 10 << ")\n";
    }
}
