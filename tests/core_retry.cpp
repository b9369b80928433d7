#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "fulmarledge/retry.h"
#include "request_fakes.h"

using namespace fulmarledge;
using namespace fulmarledge::requesttest;

namespace {

struct Fixture {
    RetryDecision decide(AttemptOutcome outcome)
    {
        return decideRetry(outcome, config, budget, random, 0);
    }

    RetryConfig config;
    RetryBudget budget{config};
    SeededRandom random{1};
};

} // namespace

// Guards against a second execution and against retries that cannot help.
TEST_CASE("a request is sent again only if that is safe and can help")
{
    Fixture f;
    const AttemptOutcome refused{Verdict::NotRun, Reason::QueueFull, false, false, 1, 1000};
    CHECK(f.decide(refused).retry);
    AttemptOutcome outcome = refused;
    outcome.verdict = Verdict::MayHaveRun;
    outcome.reason = Reason::ConnectionLost;
    CHECK_FALSE(f.decide(outcome).retry);
    CHECK(f.decide(outcome).reason == Reason::ConnectionLost);
    outcome.idempotent = true;
    CHECK(f.decide(outcome).retry);
    outcome.keyed = true;
    CHECK_FALSE(f.decide(outcome).retry);
    outcome = refused;
    outcome.verdict = Verdict::Answered;
    CHECK_FALSE(f.decide(outcome).retry);
    outcome = refused;
    outcome.attempts = 3;
    CHECK(f.decide(outcome).reason == Reason::AttemptsExhausted);
    outcome = refused;
    outcome.remainingMs = 0;
    CHECK(f.decide(outcome).reason == Reason::DeadlineExceeded);
    for (const Reason final : {Reason::KeyReused, Reason::DeadlineExceeded, Reason::AttemptsExhausted,
                               Reason::BudgetExhausted, Reason::BodyTooLarge, Reason::KeyTableFull}) {
        outcome = refused;
        outcome.reason = final;
        CHECK(f.decide(outcome).reason == final);
    }
}

// Guards against retries that are synchronised with each other.
TEST_CASE("the back-off has full jitter and doubles up to its limit")
{
    Fixture f;
    f.config.maxAttempts = 100;
    f.config.extraRetriesPerSecond = 100000;
    RetryBudget budget(f.config);
    const TimeMs maxDelays[] = {5, 10, 20, 40, 80, 100, 100};
    for (std::uint32_t attempt = 1; attempt <= 7; ++attempt) {
        std::vector<bool> delaySeen(101);
        for (int i = 0; i < 2000; ++i) {
            const RetryDecision decision = decideRetry(
                {Verdict::NotRun, Reason::QueueFull, false, false, attempt, 1000}, f.config, budget, f.random, 0);
            REQUIRE(decision.retry);
            REQUIRE(decision.delayMs <= maxDelays[attempt - 1]);
            delaySeen[static_cast<std::size_t>(decision.delayMs)] = true;
        }
        CHECK(std::count(delaySeen.begin(), delaySeen.end(), true) == maxDelays[attempt - 1] + 1);
    }
}

// Guards against a retry storm. The budget is 10% of the requests of the last 10 s and 3 retries per second.
TEST_CASE("the budget limits the retries of the last 10 s")
{
    RetryBudget budget;
    const auto takeAll = [&](TimeMs now) {
        int taken = 0;
        while (budget.tryTake(now)) {
            ++taken;
        }
        return taken;
    };
    CHECK(takeAll(0) == 30);
    for (int i = 0; i < 1000; ++i) {
        budget.addRequest(5000);
    }
    CHECK(takeAll(5000) == 100);
    CHECK(takeAll(9999) == 0);
    // The 30 retries of the first second have left the window. The requests of the sixth second are still in it.
    CHECK(takeAll(10000) == 30);
    CHECK(takeAll(100000) == 30);
}

// Guards against threads that take the same last retry.
TEST_CASE("racing threads never take more than the budget")
{
    for (int round = 0; round < 20; ++round) {
        RetryBudget budget;
        std::atomic<int> taken{0};
        std::vector<std::thread> threads;
        for (int t = 0; t < 4; ++t) {
            threads.emplace_back([&] {
                for (int i = 0; i < 200; ++i) {
                    taken += budget.tryTake(0) ? 1 : 0;
                }
            });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        CHECK(taken <= 30);
        CHECK(taken > 0);
    }
}

namespace {

constexpr int kChainDepth = 18;

/// How a service reports a failed nested call to its own caller.
enum class Relay { AsOwnAnswer, WithReason, WithoutReason };

/// A call chain in which every call of the last service fails. The node at each depth has its own budget and retries by
/// decideRetry().
struct CallChain {
    explicit CallChain(Relay relayMode, Verdict leafVerdict, Reason leafReason)
        : relay(relayMode)
        , leafOutcome{leafVerdict, leafReason, true, false, 1, 100000}
        , budgets(kChainDepth + 1)
    {
    }
    /// Outcome of one attempt, as seen by the node that sent it.
    AttemptOutcome attempt(int depth)
    {
        if (depth == kChainDepth) {
            ++leafCalls;
            return leafOutcome;
        }
        AttemptOutcome nested = request(depth + 1);
        if (relay == Relay::AsOwnAnswer || nested.verdict != Verdict::NotRun) {
            nested.verdict = Verdict::Answered;
        } else if (relay == Relay::WithoutReason) {
            nested.reason = Reason::ShedLoad;
        }
        return nested;
    }
    /// Outcome of a request after its retries, with the reason that the node reports.
    AttemptOutcome request(int depth)
    {
        budgets[static_cast<std::size_t>(depth)].addRequest(now);
        for (std::uint32_t attempts = 1;; ++attempts) {
            AttemptOutcome outcome = attempt(depth);
            outcome.attempts = attempts;
            const RetryDecision decision
                = decideRetry(outcome, config, budgets[static_cast<std::size_t>(depth)], random, now);
            if (!decision.retry) {
                outcome.reason = decision.reason;
                return outcome;
            }
        }
    }

    Relay relay;
    AttemptOutcome leafOutcome;
    RetryConfig config;
    std::vector<RetryBudget> budgets;
    SeededRandom random{1};
    TimeMs now = 0;
    std::int64_t leafCalls = 0; ///< calls of the last service
};

} // namespace

// Guards against retries that multiply along a call chain. 3 attempts at each of 18 depths would be 387,420,489 calls.
TEST_CASE("retries do not multiply along a call chain")
{
    for (const Relay relay : {Relay::AsOwnAnswer, Relay::WithReason}) {
        for (const auto &[verdict, reason, calls] : {std::tuple(Verdict::Answered, Reason::None, 1),
                                                     std::tuple(Verdict::MayHaveRun, Reason::ConnectionLost, 3),
                                                     std::tuple(Verdict::NotRun, Reason::ShedLoad, 3),
                                                     std::tuple(Verdict::NotRun, Reason::ConnectFailed, 3)}) {
            CallChain chain(relay, verdict, reason);
            chain.request(1);
            CHECK(chain.leafCalls == calls);
        }
    }
}

// Guards against unlimited retries if services drop the reason, so that each depth takes the refusal for a new one and
// retries. The budgets have to limit them.
TEST_CASE("budgets limit retries along a chain whose services drop the reason")
{
    CallChain chain(Relay::WithoutReason, Verdict::NotRun, Reason::ShedLoad);
    constexpr int kRequests = 20000;
    for (int i = 0; i < kRequests; ++i) {
        chain.now = i / 2;
        chain.request(1);
    }
    // The budget allows 10% and 30 more at each of 18 depths.
    double bound = kRequests;
    for (int depth = 1; depth <= kChainDepth; ++depth) {
        bound = bound * 1.1 + 30;
    }
    INFO("calls of the last service: " << chain.leafCalls << ", bound " << bound);
    CHECK(static_cast<double>(chain.leafCalls) <= bound);
}
