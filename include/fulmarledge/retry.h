#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>

#include "fulmarledge/ports.h"
#include "fulmarledge/types.h"
#include "fulmarledge/verdict.h"

namespace fulmarledge {

struct RetryConfig {
    std::uint32_t maxAttempts = 3; ///< attempts per request, the first one included
    std::uint32_t retryPercent = 10; ///< retries per 100 requests of the last 10 s
    std::uint32_t extraRetriesPerSecond = 3; ///< further retries per second, independent of the number of requests
    TimeMs firstBackoffMs = 5; ///< upper bound of the first random back-off; doubled for each further attempt
    TimeMs maxBackoffMs = 100;
};

/// This node's share of a retry budget of the whole fleet. Adapted to the number of live nodes.
struct RetryAllowance {
    std::atomic<std::uint32_t> retryPercent{0}; ///< retries per 100 requests of the last 10 s
    std::atomic<std::uint32_t> extraRetryHundredths{0}; ///< further retries in 10 s, in hundredths of a retry
};

/// Limits the retries for one service at one node, over the last 10 s. Thread-safe, without locks.
class RetryBudget
{
public:
    /// @param shared if not null, replaces `retryPercent` and `extraRetriesPerSecond` of `config`
    explicit RetryBudget(const RetryConfig &config = {}, std::shared_ptr<const RetryAllowance> shared = {});

    /// Counts a first attempt.
    void addRequest(TimeMs now);
    /// Takes one retry from the budget. Racing threads never take more than the budget.
    /// @return false when the budget is used up
    bool tryTake(TimeMs now);

private:
    static constexpr std::size_t kWindowSeconds = 10;

    std::atomic<std::uint64_t> &bucket(std::int64_t second);
    void addToBucket(std::int64_t second, std::uint64_t amount);
    bool isWithinBudget(std::int64_t second) const;

    RetryConfig m_config;
    std::shared_ptr<const RetryAllowance> m_shared;
    /// One bucket per second. Each packs the second, its requests and its retries into one word, so that they change
    /// together in one atomic operation.
    std::array<std::atomic<std::uint64_t>, kWindowSeconds> m_buckets{};
};

/// An attempt that ended, and what decideRetry() has to know about its request.
struct AttemptOutcome {
    Verdict verdict = Verdict::MayHaveRun;
    Reason reason = Reason::None;
    bool idempotent = false; ///< by the kind of the request or the service's list of methods
    bool keyed = false; ///< carries an idempotency key, so that only the key's owner can tell whether it ran
    std::uint32_t attempts = 1; ///< attempts made, this one included
    TimeMs remainingMs = 0; ///< until the deadline
    bool reachedBackend = true; ///< false when it was refused before it was sent to a backend server
};

struct RetryDecision {
    bool retry = false;
    TimeMs delayMs = 0; ///< back-off before the next attempt
    Reason reason = Reason::None; ///< why the request is not sent again, when `retry` is false
};

/// Decides whether a request is sent again after `outcome`, and takes one retry from `budget` if so. After an attempt
/// that reached no backend server nothing is taken, because that attempt added no load to one.
RetryDecision decideRetry(const AttemptOutcome &outcome, const RetryConfig &config, RetryBudget &budget,
                          RandomSource &random, TimeMs now);

/// Whether another attempt could end differently after the verdict "not run" with this reason.
bool isRetryable(Reason notRunReason);

} // namespace fulmarledge
