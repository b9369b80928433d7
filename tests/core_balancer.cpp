#include <catch2/catch.hpp>
#include <map>
#include <thread>

#include "fulmarledge/balancer.h"
#include "fulmarledge/slotguard.h"
#include "request_fakes.h"

using namespace fulmarledge;
using namespace fulmarledge::requesttest;

namespace {

struct Fixture {
    explicit Fixture(int hosts, int zones = 1, std::int32_t slots = 12)
        : records(hostRecords(hosts, zones, slots))
    {
        rebuildView();
    }
    void rebuildView()
    {
        view = balancer.buildView(bookingsSnapshot(records), now);
    }
    std::string choose(const TriedHosts &tried = {})
    {
        const BackendHandle handle = view->choose(kBookingsService, tried, random, now);
        return isValid(handle) ? view->backend(handle).host : "";
    }
    std::map<std::string, int> countChoices(int count, const TriedHosts &tried = {})
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < count; ++i) {
            ++counts[choose(tried)];
        }
        return counts;
    }
    void endAttempt(std::uint32_t host, AttemptEnd end, double latencyMs = 10)
    {
        view->beginAttempt({host});
        view->endAttempt({host}, end, latencyMs, now);
    }
    void failAttempts(std::uint32_t host, int times = 5)
    {
        for (int i = 0; i < times; ++i) {
            endAttempt(host, AttemptEnd::Failed);
        }
    }
    std::size_t ejectedCount() const
    {
        return view->ejectedCount(kBookingsService, now);
    }

    TimeMs now = 100000;
    SeededRandom random{7};
    std::vector<wire::HostRecord> records;
    std::shared_ptr<SlotGauge> gauge = std::make_shared<SlotGauge>();
    Balancer balancer{"b-0", "z-0", gauge};
    std::shared_ptr<const BalancerView> view;
};

} // namespace

// Guards against a hop for work that this host can do, and against preferring this host when it is full.
TEST_CASE("this host is preferred while it has a free slot")
{
    Fixture f(4);
    f.gauge->freeSlots = 1;
    CHECK(f.countChoices(100) == std::map<std::string, int>{{"b-0", 100}});
    f.gauge->freeSlots = 0;
    CHECK(f.countChoices(1000).size() == 4);
    f.gauge->freeSlots = 1;
    TriedHosts tried;
    tried.add(&f.view->state({0}));
    CHECK(f.countChoices(1000, tried).count("b-0") == 0);
}

// Guards against traffic to hosts that cannot take it.
TEST_CASE("only serving hosts are chosen, and suspect ones only if no other is left")
{
    Fixture f(6);
    f.records[0].state = wire::HostState::Draining;
    f.records[1].state = wire::HostState::Starting;
    f.records[2].state = wire::HostState::Left;
    f.records[3].liveness = wire::Liveness::Dead;
    f.records[4].liveness = wire::Liveness::Suspect;
    f.rebuildView();
    CHECK(f.countChoices(200) == std::map<std::string, int>{{"b-5", 200}});
    TriedHosts tried;
    tried.add(&f.view->state({5}));
    CHECK(f.countChoices(200, tried) == std::map<std::string, int>{{"b-4", 200}});
    tried.add(&f.view->state({4}));
    CHECK(f.choose(tried).empty());
    CHECK_FALSE(f.view->hasUntriedHost(kBookingsService, tried));
}

// Guards against needless traffic between data centres, and against a full data centre that passes nothing on.
TEST_CASE("the local data centre is preferred until its slots are taken")
{
    Fixture f(4, 2, 10);
    CHECK(f.countChoices(1000).count("b-1") == 0);
    for (int i = 0; i < 10; ++i) {
        f.view->beginAttempt({0});
        f.view->beginAttempt({2});
    }
    const auto counts = f.countChoices(1000);
    CHECK(counts.count("b-1") == 1);
    CHECK(counts.count("b-3") == 1);
}

// Guards against a herd of requests on the host with the lowest load report, and against reports that never expire.
TEST_CASE("the less loaded of two candidates is chosen and load reports decay")
{
    Fixture f(2);
    f.view->recordLoad({0}, 1000000, f.now);
    CHECK(f.countChoices(100) == std::map<std::string, int>{{"b-1", 100}});
    f.now += 20000;
    CHECK(f.countChoices(100).size() == 2);
    // A refusal outweighs a report of no load.
    f.endAttempt(1, AttemptEnd::Refused);
    f.view->recordLoad({1}, 0, f.now);
    CHECK(f.countChoices(100) == std::map<std::string, int>{{"b-0", 100}});
    f.now += 1000;
    CHECK(f.countChoices(100).size() == 2);
}

// Guards against a full share of the requests for a host that has just started to serve.
TEST_CASE("slow start raises the weight over 10 s")
{
    Fixture f(2);
    f.records[1].state = wire::HostState::Starting;
    f.rebuildView();
    f.records[1].state = wire::HostState::Serving;
    f.rebuildView();
    const auto requestsToSecondHost = [&f] {
        int requests = 0;
        for (int i = 0; i < 2000; ++i) {
            const BackendHandle handle = f.view->choose(kBookingsService, {}, f.random, f.now);
            f.view->beginAttempt(handle);
            requests += handle.idx == 1 ? 1 : 0;
        }
        for (std::uint32_t host = 0; host < 2; ++host) {
            f.view->state({host}).outstanding = 0;
        }
        return requests;
    };
    CHECK(requestsToSecondHost() < 2000 / 8);
    f.now += 5000;
    const int half = requestsToSecondHost();
    CHECK(half > 2000 / 4);
    CHECK(half < 2000 * 2 / 5);
    f.now += 5000;
    CHECK(requestsToSecondHost() > 2000 * 2 / 5);
}

// Guards against a small share for a warm backend server whose node was restarted, and against a full share for a
// process that has replaced another.
TEST_CASE("slow start lasts as long as the warm-up that the backend server states")
{
    Fixture f(2);
    const auto requestsToSecondHost = [&f] {
        int requests = 0;
        for (int i = 0; i < 2000; ++i) {
            const BackendHandle handle = f.view->choose(kBookingsService, {}, f.random, f.now);
            f.view->beginAttempt(handle);
            requests += handle.idx == 1 ? 1 : 0;
        }
        for (std::uint32_t host = 0; host < 2; ++host) {
            f.view->state({host}).outstanding = 0;
        }
        return requests;
    };
    f.records[1].liveness = wire::Liveness::Dead;
    f.rebuildView();
    f.records[1].liveness = wire::Liveness::Alive;
    f.records[1].__set_warmupMs(0);
    f.rebuildView();
    CHECK(requestsToSecondHost() > 2000 * 2 / 5);
    f.records[1].__set_warmupMs(4000);
    f.rebuildView();
    const int atFirst = requestsToSecondHost();
    CHECK(atFirst > 2000 / 4);
    CHECK(atFirst < 2000 * 2 / 5 + 40);
    f.now += 4000;
    f.records[1].__set_warmupMs(1000);
    f.rebuildView();
    CHECK(requestsToSecondHost() > 2000 * 2 / 5);
}

// Guards against ejections that leave a service without hosts, and against ejections that never end or never get
// longer.
TEST_CASE("failures in a row eject at most half of the hosts, for times that double")
{
    Fixture f(4);
    f.failAttempts(1, 4);
    CHECK(f.ejectedCount() == 0);
    f.endAttempt(1, AttemptEnd::Answered);
    f.failAttempts(1, 4);
    CHECK(f.ejectedCount() == 0);
    f.failAttempts(1, 1);
    CHECK(f.ejectedCount() == 1);
    CHECK(f.countChoices(1000).count("b-1") == 0);
    f.failAttempts(2);
    f.failAttempts(3);
    f.failAttempts(0);
    CHECK(f.ejectedCount() == 2);
    f.now += 1000;
    CHECK(f.ejectedCount() == 0);
    f.failAttempts(1, 1);
    f.now += 1999;
    CHECK(f.ejectedCount() == 1);
    f.now += 1;
    CHECK(f.ejectedCount() == 0);
}

// Guards against ejecting all hosts of a small service, or the last one when hosts leave after an ejection.
TEST_CASE("a service always keeps a backend server that is not ejected")
{
    for (int hosts = 1; hosts <= 7; ++hosts) {
        Fixture f(hosts);
        for (std::uint32_t i = 0; i < static_cast<std::uint32_t>(hosts); ++i) {
            f.failAttempts(i, 20);
        }
        CHECK(f.ejectedCount() == static_cast<std::size_t>(hosts / 2));
        // Ejections beyond the limit, as racing threads can cause them, are in the states but do not count.
        std::size_t markedCount = 0;
        for (std::uint32_t i = 0; i < static_cast<std::uint32_t>(hosts); ++i) {
            f.view->state({i}).ejectedUntil = f.now + 1000 + i;
            markedCount += f.view->state({i}).ejectedUntil > f.now ? 1 : 0;
        }
        CHECK(markedCount > static_cast<std::size_t>(hosts / 2));
        CHECK(f.ejectedCount() == static_cast<std::size_t>(hosts / 2));
        CHECK_FALSE(f.choose().empty());
    }
    Fixture f(2);
    f.failAttempts(0);
    CHECK(f.ejectedCount() == 1);
    f.records[1].state = wire::HostState::Draining;
    f.rebuildView();
    CHECK(f.ejectedCount() == 0);
    CHECK(f.choose() == "b-0");
}

// Guards against a slow host that keeps its share, and against short deadlines that eject hosts that work.
TEST_CASE("a latency far above the median ejects a host, short deadlines do not")
{
    Fixture f(4);
    for (int i = 0; i < 16; ++i) {
        for (std::uint32_t host = 0; host < 4; ++host) {
            f.endAttempt(host, AttemptEnd::Answered, host == 3 ? 200 : 20);
        }
    }
    CHECK(f.ejectedCount() == 1);
    CHECK(f.countChoices(1000).count("b-3") == 0);
    for (int i = 0; i < 50; ++i) {
        f.endAttempt(0, AttemptEnd::TimedOut, 5);
        f.endAttempt(1, AttemptEnd::Cancelled, 5);
    }
    CHECK(f.ejectedCount() == 1);
    for (int i = 0; i < 5; ++i) {
        f.endAttempt(0, AttemptEnd::TimedOut, 500);
    }
    CHECK(f.ejectedCount() == 2);
}

// Guards against losing the outcomes of attempts with each change of the manifest or of the host table.
TEST_CASE("the state of a host outlives snapshots and is dropped 10 minutes after the host has left")
{
    Fixture f(4);
    f.failAttempts(1);
    const auto oldView = f.view;
    f.view->beginAttempt({3});
    f.records.erase(f.records.begin());
    f.rebuildView();
    CHECK(f.ejectedCount() == 1);
    CHECK(f.view->state({2}).outstanding == 1);
    oldView->endAttempt({3}, AttemptEnd::Answered, 10, f.now);
    CHECK(f.view->state({2}).outstanding == 0);
    CHECK(f.balancer.stateCount() == 4);
    f.now += 600000;
    f.rebuildView();
    CHECK(f.balancer.stateCount() == 3);
}

// Guards against keys that change their owner without need. Only the keys of a host that left may do so.
TEST_CASE("a key's owner is the same in every view with the same hosts")
{
    Fixture f(5);
    Balancer other("entry", "z-9");
    const auto otherView = other.buildView(bookingsSnapshot(f.records), 0);
    const auto before = f.view;
    f.records[2].state = wire::HostState::Draining;
    f.rebuildView();
    std::map<std::string, int> owners;
    for (int i = 0; i < 1000; ++i) {
        const std::string key = "key-" + std::to_string(i);
        const std::string owner = before->backend(before->keyOwner(kBookingsService, key)).host;
        ++owners[owner];
        CHECK(otherView->backend(otherView->keyOwner(kBookingsService, key)).host == owner);
        const std::string newOwner = f.view->backend(f.view->keyOwner(kBookingsService, key)).host;
        CHECK((owner == "b-2") == (newOwner != owner));
        CHECK(before->ownsKey(kBookingsService, key) == (owner == "b-0"));
    }
    CHECK(owners.size() == 5);
}

// Guards against torn or lost counts when several threads use one view while snapshots change.
TEST_CASE("threads share the states of hosts without losing an attempt")
{
    Fixture f(4);
    std::vector<std::thread> threads;
    for (std::uint64_t t = 0; t < 4; ++t) {
        threads.emplace_back([&f, view = f.view, t] {
            SeededRandom random(t);
            for (int i = 0; i < 3000; ++i) {
                const BackendHandle handle = view->choose(kBookingsService, {}, random, 100000 + i);
                view->beginAttempt(handle);
                view->recordLoad(handle, static_cast<std::uint32_t>(random.below(36)), 100000 + i);
                const auto end = static_cast<AttemptEnd>(random.below(5));
                view->endAttempt(handle, end, static_cast<double>(random.below(300)), 100000 + i);
            }
        });
    }
    for (int i = 0; i < 50; ++i) {
        f.now += 10;
        f.rebuildView();
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    for (std::uint32_t host = 0; host < 4; ++host) {
        CHECK(f.view->state({host}).outstanding == 0);
    }
    CHECK(f.ejectedCount() <= 2);
}
