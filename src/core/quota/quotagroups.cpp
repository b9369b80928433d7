#include "quotagroups_p.h"

#include <algorithm>
#include <limits>

namespace fulmarledge {

namespace {

/// How long a member that is gone still counts as part of the fleet, at least. Within it, two sides of a partition
/// divide the limits.
constexpr TimeMs kPeakPeriodMs = 300000;
/// Time from a planned change of owner to the first grant. Views of the same event differ by about a second.
constexpr TimeMs kPlannedTakeoverMs = 1000;
/// The same when the former owner is gone. It may be behind a partition and notice that up to a suspicion later.
constexpr TimeMs kForcedTakeoverMs = 4000;

/// A new owner claims the group from the former one for this time, with this period, because the two may see different
/// members. A claim holds for some periods, because claims may be lost.
constexpr TimeMs kClaimForMs = 30000;
constexpr TimeMs kClaimPeriodMs = 500;
constexpr TimeMs kContendedMs = 2500;

/// Finalizer of SplitMix64.
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

} // namespace

QuotaGroups::QuotaGroups(std::uint32_t groups, TimeMs windowMs, const MemberView &members)
    : m_windowMs(windowMs)
    , m_members(members)
    , m_groups(std::max<std::uint32_t>(groups, 1))
{
}

void QuotaGroups::start(TimeMs now)
{
    m_startedAt = now;
    m_lowestAt = now;
    m_peakAt = now;
    m_seenSince.clear();
    m_isDirty = true;
    update(now);
}

void QuotaGroups::onPause(TimeMs now)
{
    for (Group &group : m_groups) {
        group = {};
    }
    m_seenSince.clear();
    m_startedAt = now;
    m_isDirty = true;
}

const Member *QuotaGroups::owner(std::uint32_t group) const
{
    return m_groups[group].owner.empty() ? nullptr : m_members.find(m_groups[group].owner);
}

bool QuotaGroups::mayGrant(std::uint32_t group, TimeMs now) const
{
    // A restarted or resumed node knows neither the credit that was granted before nor the other members well.
    return m_groups[group].isSelf && now >= m_groups[group].grantsFrom && !isYoung(now);
}

double QuotaGroups::share(std::uint32_t group, TimeMs now) const
{
    const double seen
        = static_cast<double>(std::min(m_lowest, m_live)) / static_cast<double>(std::max(peakMembers(), m_live));
    return now < m_groups[group].contendedUntil ? seen / 2 : seen;
}

std::optional<SocketAddress> QuotaGroups::claimDue(std::uint32_t index, TimeMs now)
{
    Group &group = m_groups[index];
    if (!group.isSelf || !group.formerOwner || now < group.claimAt || now > group.grantsFrom + kClaimForMs) {
        return std::nullopt;
    }
    group.claimAt = now + kClaimPeriodMs;
    return group.formerOwner;
}

bool QuotaGroups::onClaim(std::uint32_t index, TimeMs now)
{
    if (index >= m_groups.size() || !m_groups[index].isSelf) {
        return false;
    }
    m_groups[index].contendedUntil = now + kContendedMs;
    return true;
}

std::size_t QuotaGroups::peakMembers() const
{
    return std::max(m_peak[0], m_peak[1]);
}

void QuotaGroups::recordLiveCount(TimeMs now)
{
    m_live = std::max<std::size_t>(m_members.liveCount(), 1);
    if (m_live <= m_lowest || now - m_lowestAt >= m_windowMs) {
        // A higher count takes effect only after a window, because the members that are back may still follow another
        // owner.
        m_lowest = m_live;
        m_lowestAt = now;
    }
    if (now - m_peakAt >= kPeakPeriodMs) {
        m_peak[1] = m_peak[0];
        m_peak[0] = m_live;
        m_peakAt = now;
    }
    m_peak[0] = std::max(m_peak[0], m_live);
}

void QuotaGroups::update(TimeMs now)
{
    recordLiveCount(now);
    const std::uint64_t hash = m_members.tableHash();
    if (!m_isDirty && hash == m_tableHash && (m_nextMaturity == 0 || now < m_nextMaturity)) {
        return;
    }
    m_tableHash = hash;
    m_isDirty = false;
    chooseOwners(now);
}

void QuotaGroups::chooseOwners(TimeMs now)
{
    struct Candidate {
        std::uint64_t hash;
        const Member *member;
    };
    std::vector<Candidate> candidates;
    std::unordered_map<std::uint64_t, TimeMs> seenSince;
    const bool young = isYoung(now);
    m_nextMaturity = young ? m_startedAt + m_windowMs : 0;
    for (const std::string &zone : m_members.zones()) {
        for (const Member &member : m_members.zoneMembers(zone)) {
            const auto known = m_seenSince.find(member.hash);
            const TimeMs since = known != m_seenSince.end() ? known->second : now;
            seenSince.emplace(member.hash, since);
            const bool isSelf = member.host == m_members.self().host;
            // A young node cannot tell which members are young, and asks the ones that are likely not to be.
            const TimeMs matureAt = since + m_windowMs;
            if (young ? !isSelf : now >= matureAt) {
                candidates.push_back({member.hash, &member});
            } else if (now < matureAt) {
                m_nextMaturity = m_nextMaturity == 0 ? matureAt : std::min(m_nextMaturity, matureAt);
            }
        }
    }
    m_seenSince = std::move(seenSince);
    for (std::uint32_t i = 0; i < m_groups.size(); ++i) {
        const std::uint64_t key = mix(i + 1);
        const Candidate *best = nullptr;
        std::uint64_t bestWeight = 0;
        for (const Candidate &candidate : candidates) {
            const std::uint64_t weight = mix(candidate.hash ^ key);
            if (best == nullptr || weight > bestWeight) {
                best = &candidate;
                bestWeight = weight;
            }
        }
        Group &group = m_groups[i];
        const std::string_view chosen = best != nullptr ? std::string_view(best->member->host) : std::string_view();
        if (chosen == group.owner) {
            continue;
        }
        const bool isFormerGone = !group.owner.empty() && m_members.find(group.owner) == nullptr;
        group.grantsFrom = now + (isFormerGone ? kForcedTakeoverMs : kPlannedTakeoverMs);
        group.formerOwner.reset();
        if (!group.owner.empty() && !group.isSelf) {
            group.formerOwner = group.ownerAddress;
        }
        group.claimAt = group.grantsFrom - kPlannedTakeoverMs;
        group.owner = chosen;
        group.ownerAddress = best != nullptr ? best->member->control : SocketAddress();
        group.isSelf = !chosen.empty() && chosen == m_members.self().host;
    }
}

} // namespace fulmarledge
