#include <algorithm>
#include <utility>

#include "rollout/control_p.h"

namespace fulmarledge {

namespace {

/// Members that follow the reports of an order. The second takes over from the first.
constexpr std::size_t kCandidates = 2;
/// Period of splits and reports while an order is running. A bad version is stopped, and the other versions are found
/// idle, within a few of them.
constexpr TimeMs kSplitPeriodMs = 150;
constexpr TimeMs kReportPeriodMs = 150;
/// Time for which a node applies a split without a newer one. Several periods, as messages may be lost.
constexpr std::int32_t kSplitValidMs = 1000;
/// Time without a split after which the second candidate takes over.
constexpr TimeMs kTakeOverMs = 1000;
constexpr TimeMs kWriteRetryMs = 200;
constexpr TimeMs kRankPeriodMs = 1000;
/// A term is made of a number and of a hash of the host, so that two members never use the same term.
constexpr unsigned kTermHostBits = 16;

std::int64_t nextTerm(std::int64_t highest, std::string_view host)
{
    const std::int64_t number = (highest >> kTermHostBits) + 1;
    const auto hash = static_cast<std::int64_t>(memberHash(host) & ((1U << kTermHostBits) - 1));
    return (number << kTermHostBits) | hash;
}

} // namespace

void RolloutControl::Private::updateCandidates()
{
    const bool isDue = m_now - m_rankedAt >= kRankPeriodMs || m_members.liveCount() != m_rankedCount;
    for (auto &[name, service] : m_services) {
        if (service.state != RolloutState::Running || !(isDue || service.candidates.empty())) {
            continue;
        }
        std::vector<std::pair<std::uint64_t, std::string>> ranked;
        for (const std::string &zone : m_members.zones()) {
            for (const Member &member : m_members.zoneMembers(zone)) {
                ranked.emplace_back(rendezvousWeight(name, member.host), member.host);
            }
        }
        const std::size_t count = std::min(kCandidates, ranked.size());
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
                          std::greater<>());
        service.candidates.clear();
        for (std::size_t i = 0; i < count; ++i) {
            service.candidates.push_back(std::move(ranked[i].second));
        }
    }
    if (isDue) {
        m_rankedAt = m_now;
        m_rankedCount = m_members.liveCount();
    }
}

void RolloutControl::Private::beginActing(Service &service)
{
    service.isActing = true;
    service.term = nextTerm(service.term, m_members.self().host);
    service.sequence = 0;
    service.nextSplitAt = m_now;
    service.coordinator->adopt(service.step, m_now);
    m_metrics.count("rollout-decisions-begun", "", 1);
    event("rollout-deciding", service, "step=" + std::to_string(service.step));
}

void RolloutControl::Private::decide(Service &service)
{
    if (service.state != RolloutState::Running) {
        return;
    }
    const std::string &self = m_members.self().host;
    const auto rank = std::find(service.candidates.begin(), service.candidates.end(), self);
    const bool isCandidate = rank != service.candidates.end();
    if (!isCandidate && !service.isActing) {
        service.coordinator.reset();
        return;
    }
    if (!service.coordinator) {
        service.coordinator = std::make_unique<RolloutCoordinator>(
            m_settings, RolloutTask{service.order, service.inForce, service.orderId, service.orderedAt});
    }
    service.coordinator->onTick(m_now);
    if (!service.isActing) {
        // The first candidate acts at once unless another one is acting, so that it does not interrupt that one when it
        // returns after a restart.
        const bool isFirst = rank == service.candidates.begin();
        const TimeMs heardAt = std::max(service.splitAt, isFirst ? TimeMs{0} : service.orderedAt);
        // Without any backend server there is no version in force, and the order can only be rolled back.
        const bool isSettled = service.inForceChanges > 0 || m_now - service.orderedAt >= service.order.durationMs / 2;
        if (!m_isSynced || !isSettled || (heardAt > 0 && m_now - heardAt < kTakeOverMs)) {
            return;
        }
        beginActing(service);
    }
    if (!service.isStartKnown) {
        // All nodes have restarted meanwhile, so neither the deadline nor the exposure so far is known.
        service.coordinator->adopt(wire::RolloutStep::Stopped, m_now);
    }
    const RolloutDecision decision = service.coordinator->advance(service.servers, m_now);
    const bool isChanged = decision.step != service.step || decision.shareMillionths != service.shareMillionths;
    if (isChanged || m_now >= service.nextSplitAt) {
        sendSplit(service, decision);
    }
    writeStatus(service);
}

void RolloutControl::Private::sendSplit(Service &service, const RolloutDecision &decision)
{
    service.nextSplitAt = m_now + kSplitPeriodMs;
    wire::RolloutSplit split;
    split.serviceName = service.name;
    split.order = service.orderId;
    split.term = service.term;
    split.sequence = service.sequence + 1;
    split.step = decision.step;
    split.shareMillionths = static_cast<std::int32_t>(decision.shareMillionths);
    split.servers = static_cast<std::int32_t>(decision.servers);
    split.pulse = static_cast<std::int32_t>(decision.pulse);
    split.validMs = kSplitValidMs;
    split.coordinator = m_members.self().host;
    applySplit(service, split);
    wire::RolloutState state;
    state.__set_splits({split});
    spread(state);
}

void RolloutControl::Private::applySplit(Service &service, const wire::RolloutSplit &split)
{
    const std::string &host = split.coordinator;
    const bool isNewer = std::pair(split.term, split.sequence) > std::pair(service.term, service.sequence);
    if (service.state != RolloutState::Running || split.order != service.orderId || !isNewer) {
        return;
    }
    if (service.isActing && host != m_members.self().host) {
        service.isActing = false;
        event("rollout-decided-elsewhere", service, "host=" + host);
    }
    service.term = split.term;
    service.sequence = split.sequence;
    service.splitAt = m_now;
    service.coordinatorHost = host;
    // A stopped order is never taken up again, whoever decides on it later.
    const auto step = service.step == wire::RolloutStep::Stopped ? wire::RolloutStep::Stopped : split.step;
    if (step != service.step) {
        service.movedAt = step == wire::RolloutStep::Moved ? m_now : service.movedAt;
        service.step = step;
        m_metrics.count("rollout-steps", step == wire::RolloutStep::Moved ? "moved" : "stopped", 1);
        event(step == wire::RolloutStep::Moved ? "rollout-moved" : "rollout-stopped", service, "by=" + host);
    }
    const bool isTrial = step == wire::RolloutStep::Trial;
    service.shareMillionths
        = step == wire::RolloutStep::Stopped ? 0 : static_cast<std::uint32_t>(split.shareMillionths);
    if (isTrial) {
        service.split->set(static_cast<std::uint32_t>(std::max(split.shareMillionths, 0)),
                           static_cast<std::uint32_t>(std::max(split.servers, 1)),
                           static_cast<std::uint32_t>(split.pulse),
                           m_now + std::clamp(split.validMs, 0, kSplitValidMs));
    } else {
        service.split->stop();
    }
}

void RolloutControl::Private::writeStatus(Service &service)
{
    const RolloutState result = service.coordinator->result();
    const bool isFinished = result != RolloutState::Running;
    // After a write whose outcome is not known, the object is read first.
    if (service.isWriting || m_isReadNeeded || m_now < service.nextWriteAt || (!isFinished && service.isAcknowledged)) {
        return;
    }
    const RolloutStatus status{isFinished ? result : RolloutState::Running, service.order.target};
    if (isFinished && service.loggedResult != result) {
        service.loggedResult = result;
        event("rollout-result", service,
              "state=" + std::string(rolloutStateName(result)) + " reason=\"" + service.coordinator->reason()
                  + "\" sent=" + std::to_string(service.coordinator->sent())
                  + " sent_to_target=" + std::to_string(service.coordinator->sentToTarget())
                  + " failures=" + std::to_string(service.coordinator->judge().targetFailures())
                  + " left_ms=" + std::to_string(service.coordinator->deadline() - m_now));
    }
    service.isWriting = true;
    service.nextWriteAt = m_now + kWriteRetryMs;
    m_platform.updateStatus(kRolloutKind, service.name, service.revision, status.toText(),
                            [this, alive = std::weak_ptr<char>(m_alive), name = service.name, id = service.orderId,
                             status](const StoreReply &reply) {
                                if (!alive.expired()) {
                                    onStatusWritten(name, id, status, reply);
                                }
                            });
}

void RolloutControl::Private::onStatusWritten(const std::string &name, std::int64_t orderId,
                                              const RolloutStatus &status, const StoreReply &reply)
{
    Service &service = m_services[name];
    service.isWriting = false;
    service.nextWriteAt = m_now + kWriteRetryMs + std::max<TimeMs>(reply.retryAfterMs, 0);
    m_metrics.count("rollout-status-writes", storeStatusName(reply.status), 1);
    const std::int64_t revision = reply.objects.empty() ? 0 : reply.objects.front().version;
    if (reply.status != StoreStatus::Ok || revision <= service.revision) {
        // Throttled and Unavailable mean that the write had no effect. All others are settled by reading the object.
        const bool hadNoEffect = reply.status == StoreStatus::Throttled || reply.status == StoreStatus::Unavailable;
        m_isReadNeeded = m_isReadNeeded || !hadNoEffect;
        if (reply.status != StoreStatus::Ok && ++service.failedWrites == 1) {
            event("rollout-write-failed", service,
                  "status=" + std::string(storeStatusName(reply.status)) + " reason=\"" + reply.reason + "\"");
        }
        return;
    }
    service.failedWrites = 0;
    if (service.orderId != orderId || service.state != RolloutState::Running) {
        m_isReadNeeded = true;
        return;
    }
    applyObject(service.order, status, revision);
    spreadRecords({name});
}

void RolloutControl::Private::sendReport()
{
    const auto found = m_services.find(m_ownService);
    if (m_guard == nullptr || found == m_services.end() || found->second.state != RolloutState::Running
        || m_now < m_nextReportAt) {
        return;
    }
    m_nextReportAt = m_now + kReportPeriodMs;
    const Service &service = found->second;
    wire::RolloutReport report;
    report.serviceName = service.name;
    report.order = service.orderId;
    report.process = m_process;
    report.version = m_ownVersion;
    report.closed = m_isGuardClosed;
    // Read before the counts, so that a request that ends in between is not missed.
    report.outstanding = m_guard->outstanding();
    ServerOutcomes outcomes = m_guard->outcomes();
    outcomes -= service.baseline;
    report.sent = outcomes.sent;
    for (const auto &[kind, counts] : outcomes.kinds) {
        if (counts.answers <= 0) {
            continue;
        }
        wire::RolloutKind entry;
        entry.kind = kind;
        entry.answers = counts.answers;
        entry.failures = counts.failures;
        for (std::size_t i = 0; i < counts.times.size(); ++i) {
            if (counts.times[i] > 0) {
                entry.times.push_back(static_cast<std::int32_t>(i));
                entry.times.push_back(static_cast<std::int32_t>(counts.times[i]));
            }
        }
        report.kinds.push_back(std::move(entry));
    }
    const std::string &self = m_members.self().host;
    wire::Envelope message;
    message.__set_rolloutReport(report);
    std::vector<std::string> receivers = service.candidates;
    if (!service.coordinatorHost.empty()
        && std::find(receivers.begin(), receivers.end(), service.coordinatorHost) == receivers.end()) {
        receivers.push_back(service.coordinatorHost);
    }
    for (const std::string &host : receivers) {
        const Member *member = m_members.find(host);
        if (host == self) {
            onReport(self, report);
        } else if (member != nullptr) {
            m_peers.send(member->control, message);
        }
    }
}

void RolloutControl::Private::onReport(const std::string &host, const wire::RolloutReport &report)
{
    const auto found = m_services.find(report.serviceName);
    if (found != m_services.end() && found->second.coordinator && found->second.orderId == report.order) {
        found->second.coordinator->onReport(host, report, m_now);
    }
}

} // namespace fulmarledge
