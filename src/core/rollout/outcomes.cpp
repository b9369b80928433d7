#include "fulmarledge/rolloutoutcomes.h"

#include <algorithm>
#include <cmath>

namespace fulmarledge {

namespace {

constexpr auto kRelaxed = std::memory_order_relaxed;

} // namespace

std::size_t responseTimeBucket(TimeMs timeMs)
{
    if (timeMs <= 1) {
        return 0;
    }
    const double bucket = std::log2(static_cast<double>(timeMs)) * kBucketsPerDoubling;
    return std::min(static_cast<std::size_t>(bucket), kResponseTimeBuckets - 1);
}

double responseTimeOf(std::size_t bucket)
{
    return std::exp2(static_cast<double>(bucket) / kBucketsPerDoubling);
}

KindOutcomes &KindOutcomes::operator+=(const KindOutcomes &other)
{
    answers += other.answers;
    failures += other.failures;
    for (std::size_t i = 0; i < times.size(); ++i) {
        times[i] += other.times[i];
    }
    return *this;
}

KindOutcomes &KindOutcomes::operator-=(const KindOutcomes &other)
{
    answers -= other.answers;
    failures -= other.failures;
    for (std::size_t i = 0; i < times.size(); ++i) {
        times[i] -= other.times[i];
    }
    return *this;
}

ServerOutcomes &ServerOutcomes::operator-=(const ServerOutcomes &other)
{
    sent -= other.sent;
    for (const auto &[kind, outcomes] : other.kinds) {
        kinds[kind] -= outcomes;
    }
    return *this;
}

OutcomeCounters::Counter &OutcomeCounters::counterOf(std::int64_t kind)
{
    for (std::size_t probe = 0; kind != 0 && probe < kMaxKinds; ++probe) {
        Counter &counter = m_counters[1 + (static_cast<std::uint64_t>(kind) + probe) % kMaxKinds];
        std::int64_t found = counter.kind.load(kRelaxed);
        if (found == 0 && counter.kind.compare_exchange_strong(found, kind, kRelaxed)) {
            return counter;
        }
        if (found == kind) {
            return counter;
        }
    }
    return m_counters.front();
}

void OutcomeCounters::countEnd(std::int64_t kind, Outcome outcome, TimeMs timeMs, bool isTimed)
{
    Counter &counter = counterOf(kind);
    counter.answers.fetch_add(1, kRelaxed);
    if (outcome == Outcome::Failed) {
        counter.failures.fetch_add(1, kRelaxed);
    } else if (isTimed) {
        counter.times[responseTimeBucket(timeMs)].fetch_add(1, kRelaxed);
    }
}

ServerOutcomes OutcomeCounters::total() const
{
    ServerOutcomes result;
    result.sent = m_sent.load(kRelaxed);
    for (const Counter &counter : m_counters) {
        const std::int64_t answers = counter.answers.load(kRelaxed);
        if (answers == 0) {
            continue;
        }
        KindOutcomes &outcomes = result.kinds[counter.kind.load(kRelaxed)];
        outcomes.answers = answers;
        outcomes.failures = counter.failures.load(kRelaxed);
        for (std::size_t i = 0; i < outcomes.times.size(); ++i) {
            outcomes.times[i] = counter.times[i].load(kRelaxed);
        }
    }
    return result;
}

} // namespace fulmarledge
