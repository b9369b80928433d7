#include "rollout/judge_p.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace fulmarledge {

namespace {

/// Evidence, as a natural logarithm of a likelihood ratio, at which the version is bad. With it, a good version is
/// rejected in fewer than 1 in 100 rollouts.
constexpr double kRejectAt = 9.5;
/// Evidence that is enough at the end of a trial, which is a single look: before the traffic moves, a doubtful version
/// is rather rolled back.
constexpr double kRejectAtEnd = 6.5;
/// Evidence with which the result of a moved version waits for more answers.
constexpr double kDoubtAt = 2.5;
/// Lowest rate of failures that a good version is assumed to have, because the rate of few answers is not known better.
constexpr double kMinGoodFailureRate = 0.005;
/// Rate of failures of a bad version. A version is bad if 30% of its answers of one kind are failures, and this rate
/// still gives evidence against one with 20%.
constexpr double kMinBadFailureRate = 0.2;
/// Smallest distance between the two rates of failures.
constexpr double kFailureRateDistance = 0.15;
/// Highest rate of failures of the version in force with which failures say something about the target version.
constexpr double kMaxGoodRate = 0.5;
/// Answers by which the rate of one kind is pulled to that of all kinds.
constexpr double kPriorAnswers = 50;
/// Failures, or slow answers, that are assumed before the first answer.
constexpr double kPriorFailures = 0.5;
/// The same for recent answers, pulled to the rate since the order.
constexpr double kRecentPriorAnswers = 4;
/// Time after which a recent answer of the version in force counts half. Failures of something that both versions use
/// come in bursts of this length.
constexpr double kRecentHalfLifeMs = 1000;
/// A slow answer took longer than the median of the version in force by more than this many buckets, a factor of 2 to
/// 2.4. A version is bad if it is 3 times slower.
constexpr std::size_t kSlowBuckets = kBucketsPerDoubling;
/// A slow answer also took this much longer, in ms, because shorter delays come from the scheduler.
constexpr double kMinSlowExcessMs = 4;
constexpr double kMinGoodSlowRate = 0.05;
constexpr double kMinBadSlowRate = 0.5;
constexpr double kSlowRateDistance = 0.35;
/// Timed answers of the version in force from which its median is known.
constexpr double kMinTimedAnswers = 12;
/// Failures above those expected at which a version is bad whatever the tests of the kinds say, to stop before the 50th
/// bad answer.
constexpr double kMaxExcessFailures = 20;
/// Factor and distance by which a good version may exceed the rate of failures of the version in force there.
constexpr double kExcessFactor = 1.25;
constexpr double kExcessMargin = 0.005;

/// Estimated rate plus its standard error.
double plusError(double rate, double answers)
{
    return rate + std::sqrt(rate * (1 - rate) / answers);
}

} // namespace

void RolloutJudge::decay(Kind &kind, TimeMs now)
{
    const double factor = std::exp2(-static_cast<double>(now - kind.decayedAt) / kRecentHalfLifeMs);
    kind.decayedAt = now;
    kind.recent.answers *= factor;
    kind.recent.failures *= factor;
    kind.recent.timed *= factor;
    for (double &count : kind.recent.times) {
        count *= factor;
    }
}

void RolloutJudge::addInForce(std::int64_t kind, const KindOutcomes &outcomes, TimeMs now)
{
    Kind &entry = m_kinds[kind];
    decay(entry, now);
    entry.inForce += outcomes;
    m_inForce += outcomes;
    entry.recent.answers += static_cast<double>(outcomes.answers);
    entry.recent.failures += static_cast<double>(outcomes.failures);
    for (std::size_t i = 0; i < outcomes.times.size(); ++i) {
        entry.recent.times[i] += static_cast<double>(outcomes.times[i]);
        entry.recent.timed += static_cast<double>(outcomes.times[i]);
        if (outcomes.times[i] > 0) {
            m_longestTimeMs = std::max(m_longestTimeMs, static_cast<TimeMs>(std::ceil(responseTimeOf(i + 1))));
        }
    }
}

void RolloutJudge::addTarget(std::int64_t kind, const KindOutcomes &outcomes, TimeMs now)
{
    m_targetAnswers += outcomes.answers;
    m_targetFailures += outcomes.failures;
    m_pending.push_back({now, kind, outcomes});
}

void RolloutJudge::evaluate(TimeMs now, TimeMs matchDelayMs)
{
    while (!m_pending.empty() && now - m_pending.front().addedAt >= matchDelayMs) {
        const Pending due = m_pending.front();
        m_pending.pop_front();
        Kind &kind = m_kinds[due.kind];
        decay(kind, now);
        testFailures(kind, due.outcomes);
        testTimes(kind, due.outcomes);
        testExcess(kind, due.outcomes);
    }
}

double RolloutJudge::goodFailureRate(const Kind &kind) const
{
    const double allAnswers = static_cast<double>(m_inForce.answers) + kPriorAnswers;
    const double allRate = (static_cast<double>(m_inForce.failures) + kPriorFailures) / allAnswers;
    const double rate = (static_cast<double>(kind.inForce.failures) + kPriorAnswers * allRate)
        / (static_cast<double>(kind.inForce.answers) + kPriorAnswers);
    const double recentRate
        = (kind.recent.failures + kRecentPriorAnswers * rate) / (kind.recent.answers + kRecentPriorAnswers);
    const double upperRate = plusError(rate, static_cast<double>(kind.inForce.answers) + kPriorAnswers);
    return std::max({upperRate, recentRate, kMinGoodFailureRate});
}

void RolloutJudge::addEvidence(const Trials &trials, double &ofKind, double &ofAll, const char *name)
{
    const double evidence = trials.hits * std::log(trials.badRate / trials.goodRate)
        + trials.misses * std::log((1 - trials.badRate) / (1 - trials.goodRate));
    ofKind = std::max(0.0, ofKind + evidence);
    ofAll = std::max(0.0, ofAll + evidence);
    if (m_rejection.empty() && std::max(ofKind, ofAll) >= kRejectAt) {
        m_rejection = std::string(name) + (ofKind >= kRejectAt ? " on one kind of request" : " on all kinds together");
    }
}

void RolloutJudge::testFailures(Kind &kind, const KindOutcomes &target)
{
    const double goodRate = goodFailureRate(kind);
    if (goodRate > kMaxGoodRate) {
        return;
    }
    Trials trials;
    trials.hits = static_cast<double>(target.failures);
    trials.misses = static_cast<double>(target.answers - target.failures);
    trials.goodRate = goodRate;
    trials.badRate = std::max(kMinBadFailureRate, goodRate + kFailureRateDistance);
    addEvidence(trials, kind.failureEvidence, m_failureEvidence, "failures");
}

void RolloutJudge::testTimes(Kind &kind, const KindOutcomes &target)
{
    const auto &times = kind.inForce.times;
    const auto timed = static_cast<double>(std::accumulate(times.begin(), times.end(), std::int64_t{0}));
    if (timed < kMinTimedAnswers) {
        return;
    }
    std::size_t median = 0;
    for (auto below = static_cast<double>(times[0]); below < timed / 2 && median + 1 < kResponseTimeBuckets;) {
        below += static_cast<double>(times[++median]);
    }
    std::size_t slowFrom = median + kSlowBuckets + 1;
    while (slowFrom < kResponseTimeBuckets && responseTimeOf(slowFrom) < responseTimeOf(median) + kMinSlowExcessMs) {
        ++slowFrom;
    }
    Trials trials;
    double slow = 0;
    double recentSlow = 0;
    for (std::size_t i = 0; i < kResponseTimeBuckets; ++i) {
        const bool isSlow = i >= slowFrom;
        (isSlow ? trials.hits : trials.misses) += static_cast<double>(target.times[i]);
        slow += isSlow ? static_cast<double>(times[i]) : 0;
        recentSlow += isSlow ? kind.recent.times[i] : 0;
    }
    const double rate = (slow + kPriorFailures) / (timed + 1);
    const double recentRate = (recentSlow + kRecentPriorAnswers * rate) / (kind.recent.timed + kRecentPriorAnswers);
    trials.goodRate = std::max({plusError(rate, timed), recentRate, kMinGoodSlowRate});
    if (trials.goodRate > kMaxGoodRate) {
        return;
    }
    trials.badRate = std::max(kMinBadSlowRate, trials.goodRate + kSlowRateDistance);
    addEvidence(trials, kind.slowEvidence, m_slowEvidence, "slow answers");
}

double RolloutJudge::highestEvidence() const
{
    double highest = std::max(m_failureEvidence, m_slowEvidence);
    for (const auto &[id, kind] : m_kinds) {
        highest = std::max({highest, kind.failureEvidence, kind.slowEvidence});
    }
    return highest;
}

bool RolloutJudge::isDoubtful() const
{
    return highestEvidence() >= kDoubtAt;
}

void RolloutJudge::endTrial()
{
    if (m_rejection.empty() && highestEvidence() >= kRejectAtEnd) {
        m_rejection = "failures or slow answers at the end of the trial";
    }
}

void RolloutJudge::testExcess(const Kind &kind, const KindOutcomes &target)
{
    const double expected = goodFailureRate(kind) * kExcessFactor + kExcessMargin;
    m_excessFailures += static_cast<double>(target.failures) - expected * static_cast<double>(target.answers);
    m_excessFailures = std::max(m_excessFailures, 0.0);
    if (m_rejection.empty() && m_excessFailures >= kMaxExcessFailures) {
        m_rejection = "failures in excess of those of the version in force";
    }
}

} // namespace fulmarledge
