#include <algorithm>
#include <utility>

#include "spread_p.h"

namespace fulmarledge {

namespace {

/// Lag that is reported first. A push, or the pull that follows a lost push, has usually arrived by then.
constexpr TimeMs kFirstLagReportMs = 500;
constexpr TimeMs kLagReportPeriodMs = 1000;
/// Time between two reads of the platform by a node that peers do not reach.
constexpr TimeMs kRepairPeriodMs = 500;
/// Reads are spaced for 1/32 of the fleet repairing at the same time. If more nodes do, the platform throttles them,
/// and they wait as long as nodes of a fleet that restarts as a whole.
constexpr TimeMs kRepairWindowDivisor = 32;

} // namespace

void Spread::Private::notePeerVersion(const wire::Header &from, Version version)
{
    m_highestReportedVersion = std::max(m_highestReportedVersion, version);
    if (version > m_held.newestVersion()) {
        m_pullPlan.noteAdvertiser(m_now, advertiserOf(from, version));
    }
}

bool Spread::Private::isNewerVersionOverdue() const
{
    return m_behindSince && m_now - *m_behindSince >= m_settings.repairAfterMs;
}

std::string_view Spread::Private::repairReason() const
{
    if (isNewerVersionOverdue()) {
        return "behind";
    }
    const bool quiet = m_active.version > 0 && m_now - m_lastMessageAt >= m_settings.quietMs;
    return quiet ? "quiet" : "";
}

void Spread::Private::tickRepair()
{
    tickLag();
    const std::string_view reason = repairReason();
    const bool wasRepairing = std::exchange(m_repairing, !reason.empty());
    if (m_repairing != wasRepairing) {
        m_log.event(m_repairing ? "repair-start" : "repair-end",
                    "reason=" + std::string(m_repairing ? reason : "none")
                        + " held=" + std::to_string(m_held.newestVersion())
                        + " known=" + std::to_string(m_highestReportedVersion));
    }
    if (!m_repairing) {
        m_reader.cancelReadOnce();
    } else if (m_now >= m_nextRepairAt) {
        // A node that knows no other member may be one of a whole fleet in the same state.
        const bool knowsNoOtherMember = m_members.liveCount() <= 1;
        m_nextRepairAt = m_now + (knowsNoOtherMember ? std::max(kRepairPeriodMs, 2 * readWindowMs()) : kRepairPeriodMs);
        m_metrics.count("spread_repair_reads", reason, 1);
        m_reader.readOnce(m_now + static_cast<TimeMs>(randomUpTo(readWindowMs() / kRepairWindowDivisor)));
        if (m_reader.requestedVersion() != 0) {
            m_reader.requestContent(m_reader.requestedVersion(), newestUsableAcceptance().digest, m_now + fetchDelay());
        }
    }
}

void Spread::Private::tickLag()
{
    const Version held = m_held.newestVersion();
    const Version known = std::max(m_highestReportedVersion, newestUsableAcceptance().version);
    // A node that has just started is not late, because its reads are spaced for a restart of the whole fleet.
    if (m_active.version == 0 || known <= held) {
        if (m_lagReported) {
            m_log.event("caught-up",
                        "held=" + std::to_string(held) + " behind_ms=" + std::to_string(m_now - *m_behindSince));
        }
        m_lagReported = false;
        m_behindSince.reset();
        return;
    }
    if (!m_behindSince) {
        m_behindSince = m_now;
        m_nextLagReportAt = m_now + kFirstLagReportMs;
    }
    if (m_now < m_nextLagReportAt) {
        return;
    }
    m_nextLagReportAt = m_now + kLagReportPeriodMs;
    m_lagReported = true;
    m_metrics.count("spread_behind", "", 1);
    m_log.event("behind",
                "held=" + std::to_string(held) + " known=" + std::to_string(known) + " behind_ms="
                    + std::to_string(m_now - *m_behindSince) + " live=" + std::to_string(m_members.liveCount())
                    + " platform=" + (m_reader.isReachable() ? "reachable" : "unreachable"));
}

} // namespace fulmarledge
