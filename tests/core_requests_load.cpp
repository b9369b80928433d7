#include <catch2/catch.hpp>

#include "request_model.h"

using namespace fulmarledge;
using namespace fulmarledge::requesttest;

namespace {

// In requests per second: 4 hosts x 12 slots / 20 ms.
constexpr double kCapacityPerSecond = 2400;
constexpr TimeMs kRunMs = 10000;

/// Interactive calls that were answered in time.
double interactiveInTime(RequestModel &model)
{
    return static_cast<double>(model.answeredInTime[ServiceClass::Interactive]);
}

/// Offers interactive calls and returns the share of them that is answered in time.
double answeredShare(RequestModel &model, double perSecond, TimeMs runMs = kRunMs)
{
    const std::size_t before = model.offered;
    model.offer(perSecond, model.now + runMs, {"read"});
    model.run(model.now + runMs + 1000);
    return interactiveInTime(model) / static_cast<double>(model.offered - before);
}

/// Calls answered in time at twice the capacity, as a share of the capacity.
double overloadGoodputShare(bool guarded, std::uint64_t seed)
{
    ModelConfig config;
    config.seed = seed;
    config.guarded = guarded;
    RequestModel model(config);
    constexpr TimeMs kOverloadMs = 4000;
    answeredShare(model, 2 * kCapacityPerSecond, kOverloadMs);
    return interactiveInTime(model) / (kCapacityPerSecond * kOverloadMs / 1000);
}

} // namespace

// Guards against congestion collapse, where backend servers work for callers that have given up.
TEST_CASE("at twice the capacity at least 90% of the capacity is answered in time")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const double withGuard = overloadGoodputShare(true, seed);
        const double withoutGuard = overloadGoodputShare(false, seed);
        INFO("seed " << seed << ", with guard " << withGuard << ", without " << withoutGuard);
        CHECK(withGuard >= 0.9);
        CHECK(withoutGuard < 0.5);
    }
}

// Guards against bulk work that takes the slots of interactive requests.
TEST_CASE("a flood of bulk work leaves interactive requests their slots")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        ModelConfig config;
        config.seed = seed;
        RequestModel model(config);
        CallSpec bulk{"archive", "GET", "", "inspector", 2000, ServiceClass::Bulk};
        // Bulk work takes 10 times as long, so this is 3 times the capacity.
        model.offer(3 * kCapacityPerSecond / 10, model.now + kRunMs, bulk);
        const double share = [&] {
            model.offer(kCapacityPerSecond / 4, model.now + kRunMs, {"read"});
            model.run(model.now + kRunMs + 3000);
            return interactiveInTime(model) / (kCapacityPerSecond / 4 * kRunMs / 1000);
        }();
        const double bulkAnswered = static_cast<double>(model.answeredInTime[ServiceClass::Bulk]);
        INFO("seed " << seed << ", interactive " << share << ", bulk answers " << bulkAnswered);
        CHECK(share >= 0.9);
        CHECK(bulkAnswered > 0);
    }
}

// Guards against one slow backend server that delays a share of all requests.
TEST_CASE("with one slow backend server at least 90% of the requests are answered in time")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        ModelConfig config;
        config.seed = seed;
        RequestModel model(config);
        model.hosts[0]->adjustServiceMs = [](TimeMs serviceMs) { return 10 * serviceMs; };
        const double share = answeredShare(model, kCapacityPerSecond / 2);
        INFO("seed " << seed << ", answered " << share);
        CHECK(share >= 0.9);
    }
}

// Guards against traffic that keeps going to dead hosts until membership removes them.
TEST_CASE("after half of the hosts of a service die at least 90% of the requests are answered in time")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        ModelConfig config;
        config.seed = seed;
        RequestModel model(config);
        model.hosts[0]->silent = true;
        model.hosts[1]->silent = true;
        // Membership removes them after 5 s. Until then only the outcomes of attempts show that they are dead.
        model.schedule(model.now + 5000, [&model] {
            model.records[0].liveness = wire::Liveness::Dead;
            model.records[1].liveness = wire::Liveness::Dead;
            model.publish(200);
        });
        const double share = answeredShare(model, kCapacityPerSecond * 0.4);
        INFO("seed " << seed << ", answered " << share);
        CHECK(share >= 0.9);
        CHECK(model.violations().empty());
    }
}

// Guards against a host that attracts or repels traffic by the load that it reports.
TEST_CASE("with false load reports at least 90% of the requests are answered in time")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        ModelConfig config;
        config.seed = seed;
        RequestModel model(config);
        model.hosts[0]->alterLoad = [](std::int32_t) { return 0; };
        model.hosts[1]->alterLoad = [](std::int32_t) { return 1000000; };
        const double share = answeredShare(model, kCapacityPerSecond * 0.7);
        INFO("seed " << seed << ", answered " << share);
        CHECK(share >= 0.9);
    }
}

// Guards against a full share of traffic for a backend server that has just started.
TEST_CASE("a backend server that has just started gets less than half of a full share at first")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        ModelConfig config;
        config.seed = seed;
        RequestModel model(config);
        model.records[0].state = wire::HostState::Starting;
        model.publish(0);
        model.run(model.now + 10);
        const TimeMs startTime = model.now + 1000;
        model.schedule(startTime, [&model] {
            model.records[0].state = wire::HostState::Serving;
            model.publish(0);
        });
        // A cold backend server is 5 times slower. It is warm after 5 s.
        model.hosts[0]->adjustServiceMs = [&model, startTime](TimeMs serviceMs) {
            return model.now < startTime + 5000 ? 5 * serviceMs : serviceMs;
        };
        std::size_t early = 0;
        model.schedule(startTime + 2000, [&] { early = model.hosts[0]->executions; });
        const double share = answeredShare(model, kCapacityPerSecond / 2);
        INFO("seed " << seed << ", answered " << share << ", executions in the first 2 s " << early);
        CHECK(share >= 0.9);
        CHECK(early > 0);
        // Half of a full share of one of 4 hosts in 2 s.
        CHECK(static_cast<double>(early) < kCapacityPerSecond / 2 * 2 / 4 / 2);
    }
}
