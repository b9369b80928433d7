#include <algorithm>
#include <utility>

#include "rollout/control_p.h"

namespace fulmarledge {

namespace {

/// Time for which a node that has just started asks other members for their records before it settles which versions
/// are in force.
constexpr TimeMs kSyncMs = 3000;
/// Time after which a version in force without a usable backend server is replaced by the one that most others have.
/// Longer than a restart of a node beside its backend server.
constexpr TimeMs kReplacedMs = 5000;
/// The same while the table still lists backend servers of the version in force, which may return.
constexpr TimeMs kReplacedWhileListedMs = 10000;
/// Time without a split after which the requests return to the version in force, also after the move. Shorter than the
/// bound within which a bad version must get no request, and longer than a change of the deciding member.
constexpr TimeMs kSplitLostMs = 3000;
/// Part of the bound that this time may take, in percent.
constexpr TimeMs kSplitLostPercent = 60;
/// Time from the move until the slot guards of other versions refuse requests. Longer than a split needs to reach all
/// nodes, so that no request is refused in vain.
constexpr TimeMs kGuardCloseMs = 500;
/// A gap between two ticks after which another member may have taken over.
constexpr TimeMs kPauseMs = 900;

std::string_view stepName(wire::RolloutStep::type step)
{
    switch (step) {
    case wire::RolloutStep::Trial:
        return "trial";
    case wire::RolloutStep::Moved:
        return "moved";
    case wire::RolloutStep::Stopped:
        return "stopped";
    }
    return "unknown";
}

} // namespace

RolloutControl::RolloutControl(const RolloutSettings &settings, TimeMs aloneReadPeriodMs, MemberView &members,
                               PeerTransport &peers, PlatformStore &platform, RandomSource &random,
                               MetricsSink &metrics, EventLog &log)
    : m_private(std::make_unique<Private>(settings, aloneReadPeriodMs, members, peers, platform, random, metrics, log))
{
}

RolloutControl::~RolloutControl() = default;

void RolloutControl::setGuard(RolloutGuard *guard)
{
    m_private->setGuard(guard);
}

void RolloutControl::onTick(TimeMs now, std::span<const wire::HostRecord> records, std::uint64_t tableRevision)
{
    m_private->onTick(now, records, tableRevision);
}

void RolloutControl::onMessage(TimeMs now, const wire::Envelope &message)
{
    m_private->onMessage(now, message);
}

const VersionAssignment &RolloutControl::assignment() const
{
    return m_private->assignment();
}

std::uint64_t RolloutControl::revision() const
{
    return m_private->revision();
}

std::vector<RolloutView> RolloutControl::views(TimeMs now) const
{
    return m_private->views(now);
}

RolloutControl::Private::Private(const RolloutSettings &settings, TimeMs aloneReadPeriodMs, MemberView &members,
                                 PeerTransport &peers, PlatformStore &platform, RandomSource &random,
                                 MetricsSink &metrics, EventLog &log)
    : m_settings(settings)
    , m_aloneReadPeriodMs(aloneReadPeriodMs)
    , m_members(members)
    , m_peers(peers)
    , m_platform(platform)
    , m_random(random)
    , m_metrics(metrics)
    , m_log(log)
    , m_process(static_cast<std::int64_t>(random.below(std::uint64_t{1} << 62U)))
{
}

void RolloutControl::Private::event(std::string_view name, const Service &service, const std::string &detail)
{
    m_log.event(name,
                "service=" + service.name + " in_force=\"" + service.inForce + "\" target=\"" + service.order.target
                    + "\" order=" + std::to_string(service.orderId) + (detail.empty() ? "" : " ") + detail);
}

void RolloutControl::Private::onTick(TimeMs time, std::span<const wire::HostRecord> records,
                                     std::uint64_t tableRevision)
{
    const bool isFirst = m_startedAt == 0;
    if (isFirst) {
        m_startedAt = time;
        // The first reads of a fleet that starts at once are spread out.
        m_nextReadAt = time + static_cast<TimeMs>(m_random.below(static_cast<std::uint64_t>(m_aloneReadPeriodMs) + 1));
    } else if (time - m_now > kPauseMs) {
        for (auto &[name, service] : m_services) {
            service.isActing = false;
            // Another member has had time to take over, and its splits are on their way.
            service.splitAt = std::max(service.splitAt, time);
        }
    }
    m_now = time;
    if (isFirst || tableRevision != m_tableRevision) {
        m_tableRevision = tableRevision;
        updateServers(records);
    }
    tickRecords();
    m_isSynced = m_isSynced || time - m_startedAt >= kSyncMs;
    updateReaders();
    readOrders();
    for (auto &[name, service] : m_services) {
        updateVersionInForce(service);
    }
    updateCandidates();
    for (auto &[name, service] : m_services) {
        decide(service);
    }
    updateAssignment();
    updateGuard();
    sendReport();
}

void RolloutControl::Private::onMessage(TimeMs time, const wire::Envelope &message)
{
    m_now = std::max(m_now, time);
    if (message.__isset.rolloutReport) {
        onReport(message.header.host, message.rolloutReport);
    }
    if (message.__isset.rolloutState) {
        onState(message.header, message.rolloutState);
        updateAssignment();
    }
}

void RolloutControl::Private::updateServers(std::span<const wire::HostRecord> records)
{
    for (auto &[name, service] : m_services) {
        service.servers.clear();
        service.hasVersions = false;
    }
    const std::string formerService = m_ownService;
    m_ownService = records.empty() ? "" : records.front().serviceName;
    m_ownVersion = records.empty() ? "" : records.front().version;
    for (const wire::HostRecord &record : records) {
        const bool isLive = record.liveness != wire::Liveness::Dead && record.state != wire::HostState::Left;
        const auto known = m_services.find(record.serviceName);
        if (!isLive || record.serviceName.empty() || (known == m_services.end() && !record.__isset.version)) {
            continue;
        }
        Service &service = known != m_services.end() ? known->second : m_services[record.serviceName];
        service.name = record.serviceName;
        service.hasVersions = service.hasVersions || record.__isset.version;
        service.servers.push_back({record.host, record.version, record.state == wire::HostState::Serving});
    }
    const auto own = m_services.find(m_ownService);
    if (m_ownService != formerService && own != m_services.end() && m_guard != nullptr) {
        own->second.baseline = m_guard->outcomes();
    }
}

std::string RolloutControl::Private::majorityVersion(const Service &service) const
{
    std::map<std::string, int> counts;
    const bool isTargetExcluded = service.state == RolloutState::Running || service.state == RolloutState::RolledBack;
    for (const RolloutServer &server : service.servers) {
        if (server.usable && !(isTargetExcluded && server.version == service.order.target)) {
            ++counts[server.version];
        }
    }
    const auto most = std::max_element(counts.begin(), counts.end(),
                                       [](const auto &a, const auto &b) { return a.second < b.second; });
    return most == counts.end() ? std::string() : most->first;
}

void RolloutControl::Private::changeVersionInForce(Service &service, std::string version, std::string_view cause)
{
    const std::string former = std::exchange(service.inForce, std::move(version));
    ++service.inForceChanges;
    service.inForceSince = m_now;
    service.inForceUsableAt = m_now;
    m_metrics.count("rollout-version-changes", cause, 1);
    event("version-in-force", service, "former=\"" + former + "\" cause=" + std::string(cause));
}

void RolloutControl::Private::updateVersionInForce(Service &service)
{
    const auto isUsable = [](const RolloutServer &server) { return server.usable; };
    const auto isInForce
        = [&](const RolloutServer &server) { return server.usable && server.version == service.inForce; };
    const bool hasUsable = std::any_of(service.servers.begin(), service.servers.end(), isUsable);
    if (service.inForceChanges == 0) {
        if (!hasUsable) {
            return;
        }
        // Until the node is synchronised this is an assumption that it tells nobody.
        service.inForce = majorityVersion(service);
        if (m_isSynced && (service.hasVersions || service.state == RolloutState::Running)
            && std::any_of(service.servers.begin(), service.servers.end(), isInForce)) {
            changeVersionInForce(service, service.inForce, "first");
            spreadRecords({service.name});
        }
        return;
    }
    if (std::any_of(service.servers.begin(), service.servers.end(), isInForce)) {
        service.inForceUsableAt = m_now;
        return;
    }
    const bool isListed = std::any_of(service.servers.begin(), service.servers.end(),
                                      [&](const RolloutServer &server) { return server.version == service.inForce; });
    const TimeMs holdMs = isListed ? kReplacedWhileListedMs : kReplacedMs;
    if (hasUsable && service.state != RolloutState::Running && m_now - service.inForceUsableAt >= holdMs) {
        // All backend servers were replaced without an order. Nothing is left to compare them with, and refusing every
        // request would serve nobody. A version that was rolled back stays refused.
        const std::string version = majorityVersion(service);
        const auto isMajority = [&](const RolloutServer &server) { return server.usable && server.version == version; };
        if (std::any_of(service.servers.begin(), service.servers.end(), isMajority)) {
            changeVersionInForce(service, version, "replaced");
            spreadRecords({service.name});
        }
    }
}

bool RolloutControl::Private::isMoved(const Service &service) const
{
    return service.state == RolloutState::Running && service.step == wire::RolloutStep::Moved
        && m_now - service.splitAt < std::min(kSplitLostMs, m_settings.boundMs * kSplitLostPercent / 100);
}

void RolloutControl::Private::updateAssignment()
{
    bool changed = false;
    for (auto &[name, service] : m_services) {
        if (!service.hasVersions && service.inForceChanges == 0) {
            changed = m_assignment.erase(name) > 0 || changed;
            continue;
        }
        ServiceVersions versions;
        versions.inForce = isMoved(service) ? service.order.target : service.inForce;
        const bool isTrial = service.state == RolloutState::Running && service.step == wire::RolloutStep::Trial
            && service.order.target != service.inForce;
        if (isTrial) {
            versions.target = service.order.target;
            versions.split = service.split;
        }
        ServiceVersions &current = m_assignment[name];
        if (current.inForce != versions.inForce || current.target != versions.target
            || current.split != versions.split) {
            current = std::move(versions);
            changed = true;
        }
    }
    m_revision += changed ? 1 : 0;
}

void RolloutControl::Private::updateGuard()
{
    const auto found = m_services.find(m_ownService);
    if (m_guard == nullptr || found == m_services.end()) {
        return;
    }
    const Service &service = found->second;
    const bool isTarget = m_ownVersion == service.order.target;
    bool isClosed = false;
    if (service.state == RolloutState::Running) {
        const bool isStopped = service.step == wire::RolloutStep::Stopped;
        isClosed = isTarget ? isStopped && m_ownVersion != service.inForce
                            : isMoved(service) && m_now - service.movedAt >= kGuardCloseMs;
    } else if (service.state == RolloutState::Done || service.state == RolloutState::RolledBack) {
        isClosed = m_ownVersion != service.inForce && (service.state == RolloutState::Done || isTarget);
    }
    if (isClosed != m_isGuardClosed) {
        m_isGuardClosed = isClosed;
        m_guard->setClosed(isClosed);
        event(isClosed ? "rollout-guard-closed" : "rollout-guard-open", service, "own=\"" + m_ownVersion + "\"");
        m_nextReportAt = m_now;
    }
}

std::vector<RolloutView> RolloutControl::Private::views(TimeMs time) const
{
    std::vector<RolloutView> result;
    for (const auto &[name, service] : m_services) {
        if (!service.hasVersions && service.orderId == 0) {
            continue;
        }
        RolloutView view;
        view.service = name;
        view.inForce = service.inForce;
        view.target = service.order.target;
        view.state = service.state;
        view.durationMs = service.order.durationMs;
        view.reason = service.result;
        if (service.state == RolloutState::Running) {
            view.step = stepName(service.step);
            view.shareMillionths = service.shareMillionths;
            view.ageMs = time - service.orderedAt;
            view.coordinator = service.coordinatorHost;
        }
        if (service.coordinator) {
            view.sent = service.coordinator->sent();
            view.sentToTarget = service.coordinator->sentToTarget();
            view.targetFailures = service.coordinator->judge().targetFailures();
        }
        result.push_back(std::move(view));
    }
    return result;
}

} // namespace fulmarledge
