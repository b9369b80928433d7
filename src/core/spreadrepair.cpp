#include <algorithm>

#include "spread_p.h"

namespace fulmarledge {

namespace {

/// A push, or a pull after a lost one, has usually arrived by then.
constexpr TimeMs kLagReportMs = 500;
constexpr TimeMs kLagRepeatMs = 1000;
/// Time between two reads of a node that peers do not reach.
constexpr TimeMs kRepairPeriodMs = 500;
/// Share of the fleet that repairs at the same time, for which the reads are spaced. The platform throttles more, and
/// those nodes wait for the window of a returning fleet.
constexpr TimeMs kRepairShare = 32;

} // namespace

void Spread::Private::noteVersion(const wire::Header &from, Version version)
{
    m_reportedVersion = std::max(m_reportedVersion, version);
    if (version > m_held.newestVersion()) {
        m_pulls.note(m_now, advertiser(from, version));
    }
}

/// The way of a version that needs no peer: neither the failure detector, nor the watchers, nor a pull.
void Spread::Private::tickRepair()
{
    const Version held = m_held.newestVersion();
    // A node that has just started follows the window of a returning fleet.
    const bool behind = m_running.version > 0 && std::max(m_reportedVersion, headTarget().version) > held;
    if (behind && !m_behindSince) {
        m_behindSince = m_now;
        m_nextLagReportAt = m_now + kLagReportMs;
    }
    reportLag();
    if (!behind) {
        m_behindSince.reset();
    }
    const bool late = isLate();
    const bool quiet = m_running.version > 0 && m_members.liveCount() > 1 && m_now - m_heardAt >= m_settings.quietMs;
    const bool repairing = late || quiet;
    if (repairing != m_repairing) {
        m_repairing = repairing;
        m_log.event(repairing ? "repair-start" : "repair-end",
                    std::string("reason=")
                        + (late        ? "behind"
                               : quiet ? "quiet"
                                       : "none")
                        + " held=" + std::to_string(held) + " known=" + std::to_string(m_reportedVersion));
        if (!repairing) {
            m_reader.cancelReadOnce();
        }
    }
    if (m_repairing && m_now >= m_nextRepairAt) {
        m_nextRepairAt = m_now + kRepairPeriodMs;
        m_metrics.count("spread_repair_reads", late ? "behind" : "quiet", 1);
        m_reader.readOnce(m_now + static_cast<TimeMs>(random(windowMs() / kRepairShare)));
        if (m_reader.wanted() != 0) {
            m_reader.want(m_reader.wanted(), headTarget().digest, m_now + fetchDelay());
        }
    }
}

void Spread::Private::reportLag()
{
    const Version held = m_held.newestVersion();
    const Version known = std::max(m_reportedVersion, headTarget().version);
    if (!m_behindSince) {
        return;
    }
    if (known <= held) {
        if (m_lagReported) {
            m_log.event("caught-up",
                        "held=" + std::to_string(held) + " behind_ms=" + std::to_string(m_now - *m_behindSince));
        }
        m_lagReported = false;
        return;
    }
    if (m_now < m_nextLagReportAt) {
        return;
    }
    m_nextLagReportAt = m_now + kLagRepeatMs;
    m_lagReported = true;
    m_metrics.count("spread_behind", "", 1);
    m_log.event("behind",
                "held=" + std::to_string(held) + " known=" + std::to_string(known) + " behind_ms="
                    + std::to_string(m_now - *m_behindSince) + " live=" + std::to_string(m_members.liveCount())
                    + " platform=" + (m_reader.reachable() ? "reachable" : "unreachable"));
}

} // namespace fulmarledge
