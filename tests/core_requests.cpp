#include <catch2/catch.hpp>

#include "request_model.h"

using namespace fulmarledge;
using namespace fulmarledge::requesttest;

namespace {

std::string joined(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text += line + "; ";
    }
    return text;
}

/// Runs random requests, some with keys and marked repeats, with a drain, a restart and a host wrongly declared dead.
std::unique_ptr<RequestModel> runRandomRequests(std::uint64_t seed, BrokenRule broken)
{
    ModelConfig config;
    config.seed = seed;
    config.faultPercent = 20;
    config.slots = 3;
    config.broken = broken;
    auto model = std::make_unique<RequestModel>(config);
    RequestModel &m = *model;
    const TimeMs start = m.now;
    const TimeMs end = start + 6000;
    for (int i = 0; i < 800; ++i) {
        CallSpec spec;
        spec.operation = "operation-" + std::to_string(i);
        spec.method = m.random.chance(60) ? "POST" : "GET";
        spec.key = m.random.chance(50) ? "key-" + std::to_string(i) : "";
        spec.caller = "caller-" + std::to_string(m.random.below(5));
        spec.timeoutMs = m.random.between(5, 400);
        spec.serviceClass = m.random.chance(20) ? ServiceClass::Bulk : ServiceClass::Interactive;
        m.schedule(m.random.between(start, end), [&m, spec] { m.call(spec); });
    }
    // Odd seeds change no host. Every owner of a key is certain then, so a marked repeat executes if its key never
    // arrived before.
    if (seed % 2 == 0) {
        const TimeMs drainTime = m.random.between(start, end - 3000);
        const auto host = m.random.below(m.hosts.size());
        m.schedule(drainTime, [&m, host] { m.drain(host); });
        m.schedule(drainTime + 1, [&m] { m.publish(200); });
        m.schedule(drainTime + 2500, [&m, host] {
            if (m.hosts[host]->guard.isIdle()) {
                m.restart(host);
                m.publish(200);
            }
        });
        const auto suspectedHost = (host + 1) % m.hosts.size();
        const TimeMs suspicionTime = m.random.between(start, end - 3000);
        const auto setLiveness = [&m, suspectedHost](wire::Liveness::type value) {
            m.records[suspectedHost].liveness = value;
            m.publish(200);
        };
        m.schedule(suspicionTime, [setLiveness] { setLiveness(wire::Liveness::Suspect); });
        m.schedule(suspicionTime + 1000, [setLiveness] { setLiveness(wire::Liveness::Dead); });
        m.schedule(suspicionTime + 2000, [setLiveness] { setLiveness(wire::Liveness::Alive); });
    }
    m.run(end + 60000);
    return model;
}

std::size_t countViolations(BrokenRule broken, std::string_view text)
{
    std::size_t found = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        for (const std::string &violation : runRandomRequests(seed, broken)->violations()) {
            found += violation.find(text) != std::string::npos ? 1 : 0;
        }
    }
    return found;
}

} // namespace

// Guards against a request that runs twice, a "not run" request that ran, an answer given to the wrong request, a
// request without an answer, new work for a draining host, and more retries than the budget allows.
TEST_CASE("random faults, drains and membership changes break no rule for requests")
{
    std::size_t answered = 0;
    std::size_t notRun = 0;
    std::size_t mayHaveRun = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        const auto model = runRandomRequests(seed, BrokenRule::None);
        INFO("seed " << seed << ": " << joined(model->violations()));
        REQUIRE(model->violations().empty());
        answered += model->verdicts[Verdict::Answered];
        notRun += model->verdicts[Verdict::NotRun];
        mayHaveRun += model->verdicts[Verdict::MayHaveRun];
    }
    // Each verdict has to occur, or the checks above would have nothing to check.
    CHECK(answered > 10000);
    CHECK(notRun > 1000);
    CHECK(mayHaveRun > 1000);
}

// Guards against checks that cannot fail.
TEST_CASE("the checks detect each rule that is broken on purpose")
{
    CHECK(countViolations(BrokenRule::FalseNotRun, "was refused with \"not run\" and ran") > 0);
    CHECK(countViolations(BrokenRule::FalseNotRun, "ran more than once") > 0);
    CHECK(countViolations(BrokenRule::NoPairing, "got the answer of") > 0);
    CHECK(countViolations(BrokenRule::KeysForgotten, "ran more than once") > 0);
    CHECK(countViolations(BrokenRule::RunsWhileDraining, "new work while draining") > 0);
    CHECK(countViolations(BrokenRule::UnlimitedRetries, "retries in 10 s") > 0);
}
