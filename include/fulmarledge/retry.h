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
    std::uint32_t maxAttempts = 3;
    std::uint32_t percent = 10; ///< retries per 100 requests of the window
    std::uint32_t perSecond = 3; ///< retries per second allowed on top
    TimeMs firstBackoffMs = 5;
    TimeMs maxBackoffMs = 100;
};

/// This node's part of a retry budget that all nodes share. Follows the number of live nodes.
struct RetryAllowance {
    std::atomic<std::uint32_t> percent{0}; ///< retries per 100 requests of the window
    std::atomic<std::uint32_t> extraHundredths{0}; ///< hundredths of a retry per window on top
};

/// Retries allowed for one service at one node. Any number of threads, without locks.
class RetryBudget
{
public:
    /// @param shared replaces the percentage and the rate of `config` when not null
    explicit RetryBudget(const RetryConfig &config = {}, std::shared_ptr<const RetryAllowance> shared = {});

    /// Counts a first attempt.
    void addRequest(TimeMs now);
    /// Takes one retry. Never takes more than the budget, also when threads race.
    bool take(TimeMs now);

private:
    static constexpr std::size_t kSeconds = 10;

    std::atomic<std::uint64_t> &bucket(std::int64_t second);
    void add(std::int64_t second, std::uint64_t amount);
    bool isWithin(std::int64_t second) const;

    RetryConfig m_config;
    std::shared_ptr<const RetryAllowance> m_shared;
    /// One word per second: second, requests and retries, so that a word is renewed in one step.
    std::array<std::atomic<std::uint64_t>, kSeconds> m_buckets{};
};

/// Facts about an attempt that ended.
struct AttemptOutcome {
    Verdict verdict = Verdict::MayHaveRun;
    Reason reason = Reason::None;
    bool idempotent = false; ///< the service lists the method as idempotent
    bool keyed = false; ///< carries an idempotency key: its owner answers for it
    std::uint32_t attempts = 1; ///< attempts made, this one included
    TimeMs remainingMs = 0; ///< until the deadline
    bool reachedBackend = true; ///< false when it was refused before it was sent to a backend server
};

struct RetryDecision {
    bool retry = false;
    TimeMs delayMs = 0;
    Reason reason = Reason::None; ///< why not, when `retry` is false
};

/// Whether a request may be sent again after `outcome`. Takes one retry from `budget` when it may. An attempt that
/// reached no backend server adds nothing to its load, so the next one is no retry in the sense of the budget.
RetryDecision decideRetry(const AttemptOutcome &outcome, const RetryConfig &config, RetryBudget &budget,
                          RandomSource &random, TimeMs now);

/// Whether another attempt could end differently after a certain "not run" with this reason.
bool isRetryable(Reason notRunReason);

} // namespace fulmarledge
