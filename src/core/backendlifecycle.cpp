#include "fulmarledge/backendlifecycle.h"

#include <algorithm>

namespace fulmarledge {

namespace {

/// Most processes remembered after their end. Announcements are late by seconds, and a new process gets the address at
/// most every few seconds.
constexpr std::size_t kMaxRetired = 16;
/// A process that was heard within this time counts as alive, so that another one with an earlier start is rejected.
/// Several announcement periods.
constexpr TimeMs kPresumedAliveMs = 5000;
/// How long a leave is repeated by a sender that gets no acknowledgement. A later one with the same id comes from
/// another process.
constexpr TimeMs kLeaveRepeatMs = 8000;

} // namespace

bool BackendLifecycle::isRetired(const BackendAnnouncement &notice, TimeMs now) const
{
    return std::any_of(m_retired.begin(), m_retired.end(), [&](const RetiredProcess &retired) {
        // A clock that has jumped back must not keep a later process out of service for ever.
        const bool isBinding = retired.wasCurrent || now - retired.retiredAt <= kLeaveBindingMs;
        return isBinding && retired.process.instance == notice.instance
            && notice.processStartMs <= retired.process.processStartMs;
    });
}

bool BackendLifecycle::isFromEarlierProcess(const BackendAnnouncement &notice, TimeMs now) const
{
    if (isRetired(notice, now)) {
        return true;
    }
    if (!hasCurrent() || notice.processStartMs == 0 || m_current.processStartMs == 0
        || notice.processStartMs >= m_current.processStartMs) {
        return false;
    }
    // The start is wall-clock time, which can jump back. So another process with an earlier start is rejected only as
    // long as the current one may still be alive.
    return notice.instance == m_current.instance || now - m_lastHeard < kPresumedAliveMs;
}

void BackendLifecycle::rememberRetired(const RetiredProcess &retired)
{
    const auto known = std::find_if(m_retired.begin(), m_retired.end(), [&](const RetiredProcess &other) {
        return other.process.instance == retired.process.instance
            && other.process.processStartMs == retired.process.processStartMs;
    });
    if (known != m_retired.end()) {
        known->wasCurrent = known->wasCurrent || retired.wasCurrent;
        known->retiredAt = retired.retiredAt;
        return;
    }
    m_retired.push_back(retired);
    if (m_retired.size() > kMaxRetired) {
        m_retired.pop_front();
    }
}

LeavingBackend BackendLifecycle::leavingProcesses(const BackendAnnouncement &notice, TimeMs now,
                                                  std::int64_t wallClockMs) const
{
    LeavingBackend leaving{notice.instance, notice.processStartMs};
    if (leaving.processStartMs > 0) {
        return leaving;
    }
    if (m_current.instance == notice.instance) {
        leaving.processStartMs = m_current.processStartMs;
    }
    for (const RetiredProcess &retired : m_retired) {
        if (retired.process.instance == notice.instance
            && (retired.wasCurrent || now - retired.retiredAt <= kLeaveRepeatMs)) {
            leaving.processStartMs = std::max(leaving.processStartMs, retired.process.processStartMs);
        }
    }
    if (leaving.processStartMs == 0) {
        leaving.processStartMs = wallClockMs + kLeaveClockErrorMs;
    }
    return leaving;
}

bool BackendLifecycle::retire(const LeavingBackend &leaving, TimeMs now)
{
    rememberRetired({leaving, now, false});
    if (m_current.instance != leaving.instance || m_current.processStartMs > leaving.processStartMs
        || m_current.isLeaving) {
        return false;
    }
    m_current.isLeaving = true;
    m_current.state = wire::HostState::Draining;
    return true;
}

AnnouncementEffect BackendLifecycle::apply(const BackendAnnouncement &notice, TimeMs now)
{
    const bool sameProcess = notice.instance == m_current.instance
        && (notice.processStartMs == m_current.processStartMs || notice.isLeaving);
    if (notice.isLeaving) {
        if (!sameProcess || m_current.isLeaving) {
            return AnnouncementEffect::Stale;
        }
        m_current.isLeaving = true;
        m_current.state = wire::HostState::Draining;
        m_lastHeard = now;
        return AnnouncementEffect::Applied;
    }
    if (isFromEarlierProcess(notice, now)) {
        return AnnouncementEffect::Stale;
    }
    if (!sameProcess) {
        if (hasCurrent()) {
            rememberRetired({{m_current.instance, m_current.processStartMs}, now, true});
        }
        m_current = notice;
        m_lastHeard = now;
        return AnnouncementEffect::Applied;
    }
    if (notice.sequence <= m_current.sequence || m_current.isLeaving) {
        return AnnouncementEffect::Stale;
    }
    m_lastHeard = now;
    const bool wasDraining = m_current.state == wire::HostState::Draining;
    const bool changed = notice.state != m_current.state || notice.slots != m_current.slots
        || notice.address != m_current.address || notice.service != m_current.service
        || notice.version != m_current.version;
    m_current = notice;
    if (wasDraining) {
        m_current.state = wire::HostState::Draining;
        return AnnouncementEffect::Repeated;
    }
    return changed ? AnnouncementEffect::Applied : AnnouncementEffect::Repeated;
}

} // namespace fulmarledge
