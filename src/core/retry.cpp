#include "fulmarledge/retry.h"

#include <algorithm>
#include <utility>

namespace fulmarledge {

namespace {

// Layout of a bucket, from the highest bit: 28 bits for the second, 18 for its requests, 18 for its retries.
constexpr std::uint64_t kOneRetry = 1;
constexpr std::uint64_t kOneRequest = std::uint64_t{1} << 18;
constexpr std::uint64_t kCountMask = kOneRequest - 1;
constexpr unsigned kSecondShift = 36;
constexpr std::uint64_t kSecondMask = (std::uint64_t{1} << 28) - 1;

std::uint64_t secondOf(std::uint64_t word)
{
    return word >> kSecondShift;
}

std::uint64_t requestsOf(std::uint64_t word)
{
    return (word / kOneRequest) & kCountMask;
}

std::uint64_t retriesOf(std::uint64_t word)
{
    return word & kCountMask;
}

std::int64_t secondAt(TimeMs now)
{
    return now / 1000;
}

} // namespace

RetryBudget::RetryBudget(const RetryConfig &config, std::shared_ptr<const RetryAllowance> shared)
    : m_config(config)
    , m_shared(std::move(shared))
{
}

std::atomic<std::uint64_t> &RetryBudget::bucket(std::int64_t second)
{
    return m_buckets[static_cast<std::size_t>(second) % kWindowSeconds];
}

void RetryBudget::addToBucket(std::int64_t second, std::uint64_t amount)
{
    const std::uint64_t wrappedSecond = static_cast<std::uint64_t>(second) & kSecondMask;
    std::atomic<std::uint64_t> &word = bucket(second);
    std::uint64_t old = word.load(std::memory_order_relaxed);
    std::uint64_t updated = 0;
    do {
        const std::uint64_t current = secondOf(old) == wrappedSecond ? old : wrappedSecond << kSecondShift;
        const bool saturated
            = amount == kOneRequest ? requestsOf(current) == kCountMask : retriesOf(current) == kCountMask;
        updated = saturated ? current : current + amount;
    } while (!word.compare_exchange_weak(old, updated, std::memory_order_relaxed));
}

void RetryBudget::addRequest(TimeMs now)
{
    addToBucket(secondAt(now), kOneRequest);
}

bool RetryBudget::isWithinBudget(std::int64_t second) const
{
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (const std::atomic<std::uint64_t> &word : m_buckets) {
        const std::uint64_t value = word.load(std::memory_order_relaxed);
        const std::uint64_t age = (static_cast<std::uint64_t>(second) - secondOf(value)) & kSecondMask;
        if (age < kWindowSeconds) {
            requests += requestsOf(value);
            retries += retriesOf(value);
        }
    }
    if (m_shared) {
        return retries * 100 <= requests * m_shared->retryPercent.load(std::memory_order_relaxed)
            + m_shared->extraRetryHundredths.load(std::memory_order_relaxed);
    }
    return retries * 100
        <= requests * m_config.retryPercent + std::uint64_t{m_config.extraRetriesPerSecond} * kWindowSeconds * 100;
}

bool RetryBudget::tryTake(TimeMs now)
{
    // The retry is counted before the check, so that racing threads may refuse too many retries but never allow too
    // many.
    const std::int64_t second = secondAt(now);
    addToBucket(second, kOneRetry);
    if (isWithinBudget(second)) {
        return true;
    }
    std::atomic<std::uint64_t> &word = bucket(second);
    std::uint64_t old = word.load(std::memory_order_relaxed);
    while (secondOf(old) == (static_cast<std::uint64_t>(second) & kSecondMask) && retriesOf(old) > 0
           && !word.compare_exchange_weak(old, old - kOneRetry, std::memory_order_relaxed)) {
    }
    return false;
}

bool isRetryable(Reason notRunReason)
{
    switch (notRunReason) {
    case Reason::NotReady:
    case Reason::StaleNode:
    case Reason::ConnectFailed:
    case Reason::ConnectionLost:
    case Reason::QueueFull:
    case Reason::DeadlineUnreachable:
    case Reason::Draining:
    case Reason::WrongHost:
    case Reason::ShedLoad:
    case Reason::WrongInstance:
    case Reason::ZoneBusy:
    case Reason::LinkBusy:
        return true;
    default:
        // Includes "attempts" and "retry-budget", after which a node further down the call chain has already retried.
        return false;
    }
}

RetryDecision decideRetry(const AttemptOutcome &outcome, const RetryConfig &config, RetryBudget &budget,
                          RandomSource &random, TimeMs now)
{
    if (outcome.verdict == Verdict::Answered) {
        return {false, 0, Reason::None};
    }
    // After "may have run", only an idempotent request without a key is sent again.
    if (outcome.verdict == Verdict::NotRun ? !isRetryable(outcome.reason) : !outcome.idempotent || outcome.keyed) {
        return {false, 0, outcome.reason};
    }
    if (outcome.attempts >= config.maxAttempts) {
        return {false, 0, Reason::AttemptsExhausted};
    }
    const unsigned doublings = std::min(outcome.attempts - 1, 16U);
    const TimeMs maxDelay = std::min(config.firstBackoffMs << doublings, config.maxBackoffMs);
    const auto delay = static_cast<TimeMs>(random.below(static_cast<std::uint64_t>(maxDelay) + 1));
    if (delay >= outcome.remainingMs) {
        return {false, 0, Reason::DeadlineExceeded};
    }
    if (outcome.reachedBackend && !budget.tryTake(now)) {
        return {false, 0, Reason::BudgetExhausted};
    }
    return {true, delay, Reason::None};
}

} // namespace fulmarledge
