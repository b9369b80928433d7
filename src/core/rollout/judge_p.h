#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "fulmarledge/rolloutoutcomes.h"
#include "fulmarledge/types.h"

namespace fulmarledge {

/// Sequential test of the target version of a rollout against the version in force, by kind of request.
///
/// Each kind has two tests, one for failures and one for slow answers, and both are made for all kinds together too.
/// A test is a cumulative sum of log-likelihood ratios that never falls below 0, so a version that turns bad late is
/// found as fast as one that is bad from the start. The rates under the hypothesis that the version is good are those
/// of the version in force at the same time. Error rates, with the tests that check them, are in
/// docs/design/rollouts.md.
class RolloutJudge
{
public:
    /// Adds outcomes of the version in force.
    void addInForce(std::int64_t kind, const KindOutcomes &outcomes, TimeMs now);
    /// Adds outcomes of the target version, which `evaluate` tests.
    void addTarget(std::int64_t kind, const KindOutcomes &outcomes, TimeMs now);
    /// Tests the outcomes that were added at least `matchDelayMs` ago. With a delay, the reports about the version in
    /// force over the same time have arrived.
    void evaluate(TimeMs now, TimeMs matchDelayMs);

    /// Tests once with less evidence, before the traffic moves.
    void endTrial();
    /// Whether some evidence against the target version should be followed by more answers.
    bool isDoubtful() const;

    /// Why the target version is bad, empty while it is not known to be.
    const std::string &rejection() const
    {
        return m_rejection;
    }
    std::int64_t targetAnswers() const
    {
        return m_targetAnswers;
    }
    std::int64_t targetFailures() const
    {
        return m_targetFailures;
    }
    /// Upper limit of the longest response time of the version in force, in ms.
    TimeMs longestTimeMs() const
    {
        return m_longestTimeMs;
    }

private:
    /// Counts that lose weight with their age.
    struct RecentOutcomes {
        double answers = 0;
        double failures = 0;
        double timed = 0;
        std::array<double, kResponseTimeBuckets> times{};
    };
    struct Kind {
        KindOutcomes inForce; ///< since the order
        RecentOutcomes recent; ///< of the version in force
        TimeMs decayedAt = 0;
        double failureEvidence = 0;
        double slowEvidence = 0;
    };
    struct Pending {
        TimeMs addedAt = 0;
        std::int64_t kind = 0;
        KindOutcomes outcomes;
    };
    /// Answers of which some are slow, and the rates under both hypotheses.
    struct Trials {
        double hits = 0;
        double misses = 0;
        double goodRate = 0;
        double badRate = 0;
    };

    static void decay(Kind &kind, TimeMs now);
    double goodFailureRate(const Kind &kind) const;
    double highestEvidence() const;
    void testFailures(Kind &kind, const KindOutcomes &target);
    void testTimes(Kind &kind, const KindOutcomes &target);
    void addEvidence(const Trials &trials, double &ofKind, double &ofAll, const char *name);
    void testExcess(const Kind &kind, const KindOutcomes &target);

    std::map<std::int64_t, Kind> m_kinds;
    KindOutcomes m_inForce; ///< of all kinds, since the order
    std::deque<Pending> m_pending;
    double m_failureEvidence = 0; ///< of all kinds
    double m_slowEvidence = 0; ///< of all kinds
    double m_excessFailures = 0; ///< failures above those that the version in force would have had
    std::int64_t m_targetAnswers = 0;
    std::int64_t m_targetFailures = 0;
    TimeMs m_longestTimeMs = 0;
    std::string m_rejection;
};

} // namespace fulmarledge
