#include "rollout/coordinator_p.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fulmarledge {

namespace {

/// Parts of the exposure that a trial may have used at its start, at the begin of its last stage, and at its end. The
/// start finds a version that is bad at once, and the last stage one that has turned bad since. The rest covers the
/// requests until a bad version is stopped after the traffic has moved.
constexpr double kUsedAtStart = 0.12;
constexpr double kUsedBeforeLastStage = 0.38;
constexpr double kUsedAtEnd = 0.72;
/// Begin of the last stage, as a part of the trial.
constexpr double kLastStage = 0.7;
/// Largest share of the requests in a pulse. A service with one backend server keeps half of its requests there.
constexpr double kMaxPulseShare = 0.5;
/// Shortest pulse that loads a backend server as usual, in seconds. Queues build up within it.
constexpr double kMinPulseS = 0.6;
/// Time from a request until the report about it has changed the split, in seconds: reports and splits are sent every
/// 150 ms, and messages take up to 100 ms.
constexpr double kReportLagS = 0.4;
/// Time over which the rate of requests is measured, and the shortest one from which it is known.
constexpr TimeMs kRateWindowMs = 2000;
constexpr TimeMs kMinRateWindowMs = 300;
/// A backend server of the target version that has been away for this long has crashed.
constexpr TimeMs kCrashMs = 1500;
/// Answers of the target version that a verdict needs, unless the trial is too short for so many.
constexpr double kMinAnswers = 20;
/// Part of the answers that a trial of this length gives, which are needed if they are fewer.
constexpr double kMinAnswersShare = 0.4;
/// Time from the move until every slot guard of another version has closed and has reported it: the split reaches all
/// nodes within 200 ms, guards close 500 ms later, and report within 200 ms.
constexpr TimeMs kCloseMs = 900;
constexpr TimeMs kMinDrainMs = 500;
/// Requests last up to 2 s.
constexpr TimeMs kMaxDrainMs = 2000;
/// Factor from the longest response time of the trial to the time in which the other version is drained.
constexpr double kDrainFactor = 1.5;
/// Time before the deadline at which the result is to be written: 700 ms by which the order can be seen late, and the
/// rest for the write, one retry, and to be seen.
constexpr TimeMs kFinishMarginMs = 1500;
/// Time before the deadline at which a result is written although there is some evidence against the target version.
constexpr TimeMs kDoubtMarginMs = 1100;
/// Time before the deadline from which hosts that do not report are no longer waited for.
constexpr TimeMs kForceMs = 600;
/// Age above which a report says nothing about the present.
constexpr TimeMs kFreshMs = 700;
/// Time after the deadline at which an order is rolled back that could not be finished.
constexpr TimeMs kGiveUpMs = 5000;
/// Delay of the tests during the trial, so that reports about both versions over the same time have arrived.
constexpr TimeMs kMatchDelayMs = 300;
constexpr double kMillion = 1000000;

ServerOutcomes toOutcomes(const wire::RolloutReport &report)
{
    ServerOutcomes outcomes;
    outcomes.sent = report.sent;
    for (const wire::RolloutKind &kind : report.kinds) {
        KindOutcomes &entry = outcomes.kinds[kind.kind];
        entry.answers = kind.answers;
        entry.failures = kind.failures;
        for (std::size_t i = 0; i + 1 < kind.times.size(); i += 2) {
            const auto bucket = static_cast<std::size_t>(std::max(kind.times[i], 0));
            entry.times[std::min(bucket, kResponseTimeBuckets - 1)] += kind.times[i + 1];
        }
    }
    return outcomes;
}

} // namespace

RolloutCoordinator::RolloutCoordinator(const RolloutSettings &settings, RolloutTask task)
    : m_settings(settings)
    , m_task(std::move(task))
{
}

void RolloutCoordinator::onReport(const std::string &host, const wire::RolloutReport &report, TimeMs now)
{
    Host &entry = m_hosts[host];
    const bool isSameProcess = entry.report.process == report.process && entry.report.version == report.version;
    if (isSameProcess && report.sent < entry.report.sent) {
        return; // overtaken by a later one
    }
    addOutcomes(isSameProcess ? entry.report : wire::RolloutReport(), report, now);
    entry.report = report;
    entry.reportedAt = now;
}

void RolloutCoordinator::addOutcomes(const wire::RolloutReport &former, const wire::RolloutReport &report, TimeMs now)
{
    ServerOutcomes outcomes = toOutcomes(report);
    outcomes -= toOutcomes(former);
    m_sent += outcomes.sent;
    m_recentlySent.push_back({now, outcomes.sent});
    while (now - m_recentlySent.front().at > kRateWindowMs) {
        m_recentlySent.pop_front();
    }
    const bool isTarget = report.version == m_task.order.target;
    m_sentToTarget += isTarget ? outcomes.sent : 0;
    for (const auto &[kind, counts] : outcomes.kinds) {
        if (counts.answers <= 0) {
            continue;
        }
        if (isTarget) {
            m_judge.addTarget(kind, counts, now);
        } else if (report.version == m_task.inForce) {
            m_judge.addInForce(kind, counts, now);
        }
    }
}

void RolloutCoordinator::onTick(TimeMs now)
{
    // After the move the version in force has no answers with which those of the target version could be matched.
    m_judge.evaluate(now, m_decision.step == wire::RolloutStep::Trial ? kMatchDelayMs : 0);
}

void RolloutCoordinator::adopt(wire::RolloutStep::type step, TimeMs now)
{
    if (step == wire::RolloutStep::Stopped) {
        rollBack("stopped by an earlier coordinator");
    } else if (step == wire::RolloutStep::Moved && m_decision.step == wire::RolloutStep::Trial) {
        m_decision.step = step;
        m_movedAt = now;
    }
}

TimeMs RolloutCoordinator::moveAt() const
{
    const auto drainMs = static_cast<TimeMs>(kDrainFactor * static_cast<double>(m_judge.longestTimeMs()));
    return deadline() - kFinishMarginMs - kCloseMs - std::clamp(drainMs, kMinDrainMs, kMaxDrainMs);
}

void RolloutCoordinator::rollBack(std::string reason)
{
    if (m_result == RolloutState::RolledBack) {
        return;
    }
    m_result = RolloutState::RolledBack;
    m_reason = std::move(reason);
    m_decision.step = wire::RolloutStep::Stopped;
    m_decision.shareMillionths = 0;
}

double RolloutCoordinator::requestRate(TimeMs now) const
{
    const TimeMs window = std::min(kRateWindowMs, now - m_task.orderedAt);
    std::int64_t count = 0;
    for (const Sent &sent : m_recentlySent) {
        count += now - sent.at <= kRateWindowMs ? sent.count : 0;
    }
    return window < kMinRateWindowMs ? 0 : static_cast<double>(count) * 1000 / static_cast<double>(window);
}

double RolloutCoordinator::exposureBudget(double rate, TimeMs now) const
{
    const double leftS = static_cast<double>(std::max<TimeMs>(deadline() - now, 0)) / 1000;
    const double expected = static_cast<double>(m_sent) + rate * leftS;
    return m_settings.exposureShare * expected + m_settings.exposureSlack;
}

void RolloutCoordinator::updatePulse(std::size_t inForceServers, std::size_t targetServers, TimeMs now)
{
    const double rate = requestRate(now);
    const double budget = exposureBudget(rate, now);
    const double progress = std::clamp(static_cast<double>(now - m_task.orderedAt)
                                           / static_cast<double>(std::max<TimeMs>(moveAt() - m_task.orderedAt, 1)),
                                       0.0, 1.0);
    const double used = progress < kLastStage
        ? std::lerp(kUsedAtStart, kUsedBeforeLastStage, progress / kLastStage)
        : std::lerp(kUsedBeforeLastStage, kUsedAtEnd, (progress - kLastStage) / (1 - kLastStage));
    const auto others = static_cast<double>(std::max<std::size_t>(inForceServers, 1));
    const double loaded = std::clamp(std::floor(kUsedAtEnd * m_settings.exposureShare * others), 1.0,
                                     static_cast<double>(std::max<std::size_t>(targetServers, 1)));
    const double share = std::min(loaded / others, kMaxPulseShare);
    const bool isReporting = m_isPulse || static_cast<double>(now - m_pulseEndedAt) < kReportLagS * 1000;
    const double unreported = isReporting ? m_pulseShare * rate * kReportLagS : 0;
    const double credit = used * budget - static_cast<double>(m_sentToTarget) - unreported;
    // A pulse loads some backend servers of the target version as those of the version in force are loaded, because a
    // version may be bad only then. The credit of the requests in between pays for it.
    const double pulseCost = share * rate * kMinPulseS;
    const bool mayBegin
        = rate > 0 && targetServers > 0 && credit >= std::max(std::min(pulseCost, kUsedAtStart * budget), 1.0);
    const bool mayGoOn = targetServers > 0 && credit > 0.5;
    if (!m_isPulse && mayBegin) {
        m_isPulse = true;
        m_pulseShare = share;
        ++m_decision.pulse;
    } else if (m_isPulse && !mayGoOn) {
        m_isPulse = false;
        m_pulseEndedAt = now;
    }
    m_decision.servers = static_cast<std::uint32_t>(loaded);
    m_decision.shareMillionths = m_isPulse ? static_cast<std::uint32_t>(std::lround(share * kMillion)) : 0;
}

void RolloutCoordinator::endTrial(std::size_t targetServers, TimeMs now)
{
    // The outcomes of the last moments are tested too.
    m_judge.evaluate(now, 0);
    m_judge.endTrial();
    const double needed = std::min(kMinAnswers, kMinAnswersShare * kUsedAtEnd * exposureBudget(0, now));
    if (!m_judge.rejection().empty() && m_task.order.target != m_task.inForce) {
        rollBack(m_judge.rejection());
    } else if (targetServers == 0) {
        rollBack("no usable backend server of the target version");
    } else if (m_sent > 0 && static_cast<double>(m_judge.targetAnswers()) < needed
               && m_task.order.target != m_task.inForce) {
        rollBack("too few answers of the target version to judge it");
    } else {
        m_decision.step = wire::RolloutStep::Moved;
        m_decision.shareMillionths = static_cast<std::uint32_t>(kMillion);
        m_movedAt = now;
    }
}

bool RolloutCoordinator::areOthersIdle(std::span<const RolloutServer> servers, TimeMs now) const
{
    const bool isForced = now >= deadline() - kForceMs;
    for (const RolloutServer &server : servers) {
        if (server.version == m_task.order.target) {
            continue;
        }
        const auto found = m_hosts.find(server.host);
        const bool isFresh = found != m_hosts.end() && now - found->second.reportedAt < kFreshMs
            && found->second.reportedAt > m_movedAt;
        if (!isFresh && !isForced) {
            return false;
        }
        if (isFresh && (!found->second.report.closed || found->second.report.outstanding > 0)) {
            return false;
        }
    }
    return true;
}

RolloutDecision RolloutCoordinator::advance(std::span<const RolloutServer> servers, TimeMs now)
{
    std::size_t targetServers = 0;
    std::size_t inForceServers = 0;
    for (const RolloutServer &server : servers) {
        targetServers += server.usable && server.version == m_task.order.target ? 1 : 0;
        inForceServers += server.usable && server.version == m_task.inForce ? 1 : 0;
    }
    if (m_result == RolloutState::RolledBack) {
        return m_decision;
    }
    const bool isInForce = m_task.order.target == m_task.inForce;
    if (!m_judge.rejection().empty() && !isInForce) {
        rollBack(m_judge.rejection());
        return m_decision;
    }
    if (targetServers > 0) {
        m_sawTarget = true;
        m_targetUsableAt = now;
    } else if (m_sawTarget && now - m_targetUsableAt >= kCrashMs) {
        rollBack("the backend servers of the target version are gone");
        return m_decision;
    }
    if (m_decision.step == wire::RolloutStep::Trial) {
        if (now >= moveAt() || isInForce) {
            endTrial(targetServers, now);
        } else {
            updatePulse(inForceServers, targetServers, now);
        }
    }
    if (m_decision.step == wire::RolloutStep::Moved && m_result == RolloutState::Running) {
        const bool waits = m_judge.isDoubtful() && now < deadline() - kDoubtMarginMs;
        if (!waits && areOthersIdle(servers, now)) {
            m_result = RolloutState::Done;
        } else if (now >= deadline() + kGiveUpMs) {
            rollBack("the other backend servers did not become idle");
        }
    }
    return m_decision;
}

} // namespace fulmarledge
