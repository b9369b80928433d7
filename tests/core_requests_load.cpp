#include <catch2/catch.hpp>

#include "request_model.h"

using namespace fulmarledge;
using namespace fulmarledge::requesttest;

namespace {

// 4 hosts x 12 slots / 20 ms.
constexpr double kCapacity = 2400;
constexpr TimeMs kRunMs = 10000;

double goodput(RequestModel &model)
{
    return static_cast<double>(model.answeredInTime[ServiceClass::Interactive]);
}

/// Share of the offered interactive calls that are answered in time.
double answeredShare(RequestModel &model, double perSecond, TimeMs runMs = kRunMs)
{
    const std::size_t before = model.offered;
    model.offer(perSecond, model.now + runMs, {"read"});
    model.run(model.now + runMs + 1000);
    return goodput(model) / static_cast<double>(model.offered - before);
}

double overloadGoodput(bool guarded, std::uint64_t seed)
{
    ModelConfig config;
    config.seed = seed;
    config.guarded = guarded;
    RequestModel model(config);
    constexpr TimeMs kOverloadMs = 4000;
    answeredShare(model, 2 * kCapacity, kOverloadMs);
    return goodput(model) / (kCapacity * kOverloadMs / 1000);
}

} // namespace

// Guards against a collapse under overload, where the backend servers work for callers that have given up.
TEST_CASE("at twice the capacity at least 90% of the capacity is answered in time")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const double withGuard = overloadGoodput(true, seed);
        const double without = overloadGoodput(false, seed);
        INFO("seed " << seed << ", with guard " << withGuard << ", without " << without);
        CHECK(withGuard >= 0.9);
        CHECK(without < 0.5);
    }
}

// Guards against archives that take the slots of interactive requests.
TEST_CASE("a flood of bulk work leaves interactive requests their slots")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        ModelConfig config;
        config.seed = seed;
        RequestModel model(config);
        CallSpec bulk{"archive", "GET", "", "inspector", 2000, ServiceClass::Bulk};
        // Bulk work takes 10 times as long, so this is 3 times the capacity.
        model.offer(3 * kCapacity / 10, model.now + kRunMs, bulk);
        const double share = [&] {
            model.offer(kCapacity / 4, model.now + kRunMs, {"read"});
            model.run(model.now + kRunMs + 3000);
            return goodput(model) / (kCapacity / 4 * kRunMs / 1000);
        }();
        const double bulkDone = static_cast<double>(model.answeredInTime[ServiceClass::Bulk]);
        INFO("seed " << seed << ", interactive " << share << ", bulk answers " << bulkDone);
        CHECK(share >= 0.9);
        CHECK(bulkDone > 0);
    }
}

// Guards against one slow backend server that holds up a share of all requests.
TEST_CASE("one slow backend server is avoided")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        ModelConfig config;
        config.seed = seed;
        RequestModel model(config);
        model.hosts[0]->serviceMs = [](TimeMs service) { return 10 * service; };
        const double share = answeredShare(model, kCapacity / 2);
        INFO("seed " << seed << ", answered " << share);
        CHECK(share >= 0.9);
    }
}

// Guards against traffic that keeps going to dead hosts until membership removes them.
TEST_CASE("losing half of a service costs little once outcomes are known")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        ModelConfig config;
        config.seed = seed;
        RequestModel model(config);
        model.hosts[0]->silent = true;
        model.hosts[1]->silent = true;
        // Membership removes them after 5 s; until then only their outcomes tell.
        model.at(model.now + 5000, [&model] {
            model.records[0].liveness = wire::Liveness::Dead;
            model.records[1].liveness = wire::Liveness::Dead;
            model.publish(200);
        });
        const double share = answeredShare(model, kCapacity * 0.4);
        INFO("seed " << seed << ", answered " << share);
        CHECK(share >= 0.9);
        CHECK(model.violations().empty());
    }
}

// Guards against a host that attracts or repels traffic by what it reports.
TEST_CASE("false load reports do not upset the balance")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        ModelConfig config;
        config.seed = seed;
        RequestModel model(config);
        model.hosts[0]->report = [](std::int32_t) { return 0; };
        model.hosts[1]->report = [](std::int32_t) { return 1000000; };
        const double share = answeredShare(model, kCapacity * 0.7);
        INFO("seed " << seed << ", answered " << share);
        CHECK(share >= 0.9);
    }
}

// Guards against a full share of traffic for a backend server that has just started.
TEST_CASE("a backend server with a cold start is warmed up slowly")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        ModelConfig config;
        config.seed = seed;
        RequestModel model(config);
        model.records[0].state = wire::HostState::Starting;
        model.publish(0);
        model.run(model.now + 10);
        const TimeMs started = model.now + 1000;
        model.at(started, [&model] {
            model.records[0].state = wire::HostState::Serving;
            model.publish(0);
        });
        // Slow by a factor of 5 at first, and warm 5 s later.
        model.hosts[0]->serviceMs
            = [&model, started](TimeMs service) { return model.now < started + 5000 ? 5 * service : service; };
        std::size_t early = 0;
        model.at(started + 2000, [&] { early = model.hosts[0]->executions; });
        const double share = answeredShare(model, kCapacity / 2);
        INFO("seed " << seed << ", answered " << share << ", executions in the first 2 s " << early);
        CHECK(share >= 0.9);
        CHECK(early > 0);
        CHECK(static_cast<double>(early) < kCapacity / 2 * 2 / 4 / 2);
    }
}
