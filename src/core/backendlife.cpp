#include "fulmarledge/backendlife.h"

#include <algorithm>

namespace fulmarledge {

namespace {

/// Processes remembered after their end. Announcements are late by seconds, and an address is reused at most every few
/// seconds.
constexpr std::size_t kMaxRetired = 16;
/// A process that was heard within this time is taken for alive against one that claims an earlier start. Several
/// announcement periods.
constexpr TimeMs kAliveMs = 5000;

} // namespace

bool BackendLife::isOfEarlierProcess(const BackendNotice &notice, TimeMs now) const
{
    for (const BackendNotice &retired : m_retired) {
        if (retired.instance == notice.instance && notice.bornMs <= retired.bornMs) {
            return true;
        }
    }
    if (!isKnown() || notice.bornMs == 0 || m_current.bornMs == 0 || notice.bornMs >= m_current.bornMs) {
        return false;
    }
    // The start is wall-clock time, which can jump: an earlier one counts against a silent process's successor only
    // for as long as the process may still be alive.
    return notice.instance == m_current.instance || now - m_lastHeard < kAliveMs;
}

void BackendLife::retire(const BackendNotice &notice)
{
    m_retired.push_back(notice);
    if (m_retired.size() > kMaxRetired) {
        m_retired.pop_front();
    }
}

NoticeEffect BackendLife::apply(const BackendNotice &notice, TimeMs now)
{
    const bool sameProcess
        = notice.instance == m_current.instance && (notice.bornMs == m_current.bornMs || notice.leaves);
    if (notice.leaves) {
        if (!sameProcess || m_current.leaves) {
            return NoticeEffect::Stale;
        }
        m_current.leaves = true;
        m_current.state = wire::HostState::Draining;
        m_lastHeard = now;
        return NoticeEffect::Applied;
    }
    if (isOfEarlierProcess(notice, now)) {
        return NoticeEffect::Stale;
    }
    if (!sameProcess) {
        if (isKnown()) {
            retire(m_current);
        }
        m_current = notice;
        m_lastHeard = now;
        return NoticeEffect::Applied;
    }
    if (notice.sequence <= m_current.sequence || m_current.leaves) {
        return NoticeEffect::Stale;
    }
    m_lastHeard = now;
    const bool wasDraining = m_current.state == wire::HostState::Draining;
    const bool changed = notice.state != m_current.state || notice.slots != m_current.slots
        || notice.address != m_current.address || notice.service != m_current.service;
    m_current = notice;
    if (wasDraining) {
        m_current.state = wire::HostState::Draining;
        return NoticeEffect::Repeated;
    }
    return changed ? NoticeEffect::Applied : NoticeEffect::Repeated;
}

} // namespace fulmarledge
