#include "node_backend.h"

#include <algorithm>
#include <utility>

namespace fulmarledge {

namespace {

/// Failed connections in a row after which the backend server is taken out of service. A single failure can come from
/// a full backlog, but once the process has ended every connection is refused.
constexpr int kRefusedConnectionsLimit = 3;
constexpr int kHttpOk = 200;
constexpr int kHttpNoContent = 204;
constexpr int kHttpBadRequest = 400;
/// Notices held until it is known whether their processes have left. Announcements come seconds apart.
constexpr std::size_t kMaxHeldNotices = 8;
/// How long, and how often, a started node asks the store again for the leave of an earlier process. Announcements from
/// before are late by seconds.
constexpr TimeMs kReadLeaveMs = 20000;
constexpr TimeMs kReadLeavePeriodMs = 1000;

} // namespace

BackendAnnouncements::BackendAnnouncements(const NodeSettings &settings, const Environment &environment,
                                           RequestPath &requestPath, ControlNode &control, PlatformStore &store,
                                           RandomSource &random, MetricsSink &metrics, EventLog &log)
    : m_settings(settings)
    , m_environment(environment)
    , m_requestPath(requestPath)
    , m_control(control)
    , m_metrics(metrics)
    , m_log(log)
    , m_leaveMemory(settings.host, store, random, metrics, log)
{
}

void BackendAnnouncements::logEvent(std::string_view name, const std::string &detail)
{
    m_log.event(name, detail + " version=" + std::to_string(m_control.spread().version()));
}

void BackendAnnouncements::onLeaving(const LeavingBackend &leaving)
{
    logEvent("backend-remembered-leaving",
             "instance=" + leaving.instance + " born=" + std::to_string(leaving.processStartMs));
    retire(leaving, monotonicMs());
}

void BackendAnnouncements::retire(const LeavingBackend &leaving, TimeMs now)
{
    if (m_lifecycle.retire(leaving, now)) {
        applyCurrentNotice(now);
    }
}

void BackendAnnouncements::beginShutdown(TimeMs now)
{
    m_shuttingDown = true;
    m_control.setLocalState(now, wire::HostState::Draining, m_announcement ? m_announcement->service : "",
                            m_announcement ? m_announcement->slots : 0,
                            m_announcement ? m_announcement->warmupLeft : std::nullopt,
                            m_announcement ? m_announcement->version : "");
}

void BackendAnnouncements::tick(TimeMs now)
{
    m_leaveMemory.tick(now);
    tickStoredLeave(now);
    if (!m_announcement) {
        return;
    }
    const bool silent = now - m_lastAnnouncementMs > m_settings.announceTimeoutMs;
    const bool refuses = m_announcement->state == wire::HostState::Serving
        && m_requestPath.stats().refusedConnections >= kRefusedConnectionsLimit;
    if (silent || refuses) {
        logEvent(silent ? "backend-silent" : "backend-refuses", "service=" + m_announcement->service);
        m_announcement->state = wire::HostState::Starting;
        applyAnnouncement(now);
        m_announcement.reset();
    }
}

void BackendAnnouncements::onAnnounceCall(const HttpCall &call)
{
    LastReason error;
    const auto announcement = Announcement::parse(call.body, error);
    if (!announcement) {
        m_metrics.count("announcements-refused", "", 1);
        call.responder->send(kHttpBadRequest, {{"Content-Type", "text/plain"}}, error.text() + "\n");
        return;
    }
    m_lastAnnouncementMs = monotonicMs();
    const bool changed = !m_announcement || m_announcement->state != announcement->state
        || m_announcement->service != announcement->service || m_announcement->port != announcement->port
        || m_announcement->slots != announcement->slots || m_announcement->version != announcement->version;
    m_announcement = *announcement;
    if (changed) {
        logEvent("backend-" + std::string(stateName(announcement->state)), "service=" + announcement->service);
    }
    applyAnnouncement(m_lastAnnouncementMs);
    call.responder->send(kHttpNoContent, {}, "");
}

void BackendAnnouncements::applyAnnouncement(TimeMs now)
{
    const std::string &ip = m_announcement->ip.empty() ? m_settings.address : m_announcement->ip;
    m_requestPath.setLocalBackend({ip, m_announcement->port}, m_announcement->service,
                                  static_cast<std::uint32_t>(m_announcement->slots), m_announcement->state,
                                  m_announcement->load, m_announcement->instance);
    m_control.setLocalState(now, m_shuttingDown ? wire::HostState::Draining : m_announcement->state,
                            m_announcement->service, m_announcement->slots, m_announcement->warmupLeft,
                            m_announcement->version);
    m_requestPath.setBackendWarmAt(now + m_announcement->warmupLeft.value_or(0));
}

void BackendAnnouncements::onNoticeCall(const HttpCall &call)
{
    LastReason error;
    const auto notice = m_environment.readNotice(call, error);
    const bool isForOtherService = notice && !notice->isLeaving && !m_settings.backendService.empty()
        && notice->service != m_settings.backendService;
    if (!notice || isForOtherService) {
        m_metrics.count("announcements-refused", "", 1);
        logEvent("announcement-refused",
                 "reason="
                     + (isForOtherService ? "service " + notice->service + " is not on this host" : error.text()));
        call.responder->send(kHttpBadRequest, {}, "");
        return;
    }
    if (notice->isLeaving || notice->state == wire::HostState::Draining) {
        if (const auto leaving = applyLeave(*notice)) {
            m_leaveMemory.remember(monotonicMs(), wallClockMs(), *leaving,
                                   [call] { call.responder->send(kHttpOk, {}, ""); });
        } else {
            call.responder->send(kHttpOk, {}, "");
        }
        return;
    }
    if (!m_takesNotices) {
        // An earlier process of this node may have acknowledged that this process leaves.
        if (m_heldNotices.size() == kMaxHeldNotices) {
            m_heldNotices.erase(m_heldNotices.begin());
        }
        m_heldNotices.push_back(*notice);
        m_leaveMemory.whenKnown(monotonicMs(), wallClockMs(), [this] { applyHeldNotices(); });
    } else {
        applyNotice(*notice);
    }
    call.responder->send(kHttpOk, {}, "");
}

std::optional<LeavingBackend> BackendAnnouncements::applyLeave(BackendAnnouncement notice)
{
    const TimeMs now = monotonicMs();
    LeavingBackend leaving = m_lifecycle.leavingProcesses(notice, now, wallClockMs());
    if (notice.processStartMs == 0) {
        for (const BackendAnnouncement &held : m_heldNotices) {
            if (held.instance == notice.instance) {
                leaving.processStartMs = std::max(leaving.processStartMs, held.processStartMs);
            }
        }
        notice.processStartMs = leaving.processStartMs;
    }
    applyNotice(notice);
    if (isCurrent(leaving)) {
        const bool isOutdated = m_lifecycle.current().state != wire::HostState::Draining;
        return isOutdated ? std::nullopt : std::optional(leaving);
    }
    logEvent("leave-of-other",
             "instance=" + leaving.instance + " born_until=" + std::to_string(leaving.processStartMs));
    retire(leaving, now);
    // The other members remember one leave of each host. That of the current process matters more.
    if (m_lifecycle.current().state != wire::HostState::Draining) {
        m_control.setLeavingBackend(now, leaving.instance, leaving.processStartMs);
    }
    return leaving;
}

bool BackendAnnouncements::isCurrent(const LeavingBackend &leaving) const
{
    const BackendAnnouncement &current = m_lifecycle.current();
    return current.instance == leaving.instance && current.processStartMs == leaving.processStartMs;
}

void BackendAnnouncements::applyHeldNotices()
{
    if (!m_readTriedAtMs) {
        m_readTriedAtMs = monotonicMs();
    }
    // Without the store, other members remember the leave and have reported it when they answered.
    if (!m_leaveMemory.isKnown() && !m_control.membership().isJoined()) {
        return;
    }
    m_takesNotices = true;
    applyStoredLeave();
    for (const BackendAnnouncement &notice : std::exchange(m_heldNotices, {})) {
        applyNotice(notice);
    }
}

void BackendAnnouncements::applyStoredLeave()
{
    if (m_leaveMemory.isKnown() && !m_storedLeaveApplied) {
        m_storedLeaveApplied = true;
        for (const LeavingBackend &leaving : m_leaveMemory.stored()) {
            onLeaving(leaving);
        }
    }
}

void BackendAnnouncements::tickStoredLeave(TimeMs now)
{
    applyStoredLeave();
    if (!m_heldNotices.empty() && m_readTriedAtMs) {
        applyHeldNotices();
    }
    const bool isLate = m_readTriedAtMs && !m_leaveMemory.isKnown() && now - *m_readTriedAtMs < kReadLeaveMs;
    if (isLate && now >= m_nextReadAtMs) {
        m_nextReadAtMs = now + kReadLeavePeriodMs;
        m_leaveMemory.whenKnown(now, wallClockMs(), [] {});
    }
}

void BackendAnnouncements::applyNotice(const BackendAnnouncement &notice)
{
    const TimeMs now = monotonicMs();
    const AnnouncementEffect effect = m_lifecycle.apply(notice, now);
    if (effect == AnnouncementEffect::Stale) {
        logEvent("announcement-stale", "instance=" + notice.instance + " sequence=" + std::to_string(notice.sequence));
    } else {
        m_lastAnnouncementMs = now;
        if (effect == AnnouncementEffect::Applied || !m_announcement) {
            applyCurrentNotice(now);
        }
    }
}

void BackendAnnouncements::applyCurrentNotice(TimeMs now)
{
    const BackendAnnouncement &current = m_lifecycle.current();
    Announcement announcement;
    announcement.service = current.service;
    announcement.ip = current.address.ip;
    announcement.port = current.address.port;
    announcement.slots = current.slots;
    announcement.state = current.state;
    announcement.version = current.version;
    announcement.instance = current.instance;
    announcement.warmupLeft = current.warmupMs;
    m_announcement = announcement;
    logEvent("backend-" + std::string(stateName(current.state)),
             "service=" + current.service + " instance=" + current.instance
                 + " born=" + std::to_string(current.processStartMs) + " sequence=" + std::to_string(current.sequence)
                 + (current.version.empty() ? "" : " backend_version=" + current.version)
                 + (current.isLeaving ? " leaves" : ""));
    applyAnnouncement(now);
    const bool leaves = current.state == wire::HostState::Draining;
    m_control.setLeavingBackend(now, leaves ? current.instance : "", current.processStartMs);
}

} // namespace fulmarledge
