#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "fulmarledge/memberview.h"

namespace fulmarledge {

/// Owner of each group of organisations by rendezvous hashing over the live members that this node has seen live for a
/// window, and the part of the fleet that this node sees.
class QuotaGroups
{
public:
    QuotaGroups(std::uint32_t groups, TimeMs windowMs, const MemberView &members);

    void start(TimeMs now);
    /// Recomputes the owners if the members or their ages have changed.
    void update(TimeMs now);
    /// Forgets what was known before a pause of this process.
    void onPause(TimeMs now);

    /// Null while the group has no owner.
    const Member *owner(std::uint32_t group) const;
    /// Whether this process has not run, or not without a pause, for a window.
    bool isYoung(TimeMs now) const
    {
        return now - m_startedAt < m_windowMs;
    }
    /// Whether this node may grant credit of the group now.
    bool mayGrant(std::uint32_t group, TimeMs now) const;
    /// Time from which this node may grant credit of a group that it owns.
    TimeMs grantsFrom(std::uint32_t group) const
    {
        return m_groups[group].grantsFrom;
    }
    /// Part of the limits that this node may grant as owner of a group: the lowest number of live members of the last
    /// window, divided by the highest one of the last minutes, and half of it while another node grants too. Two sides
    /// of a partition together have at most 1.
    double share(std::uint32_t group, TimeMs now) const;
    /// Address of the owner that this node has replaced, to which it is to claim the group now.
    std::optional<SocketAddress> claimDue(std::uint32_t group, TimeMs now);
    /// Another node grants credit of the group.
    /// @return whether this node does so too
    bool onClaim(std::uint32_t group, TimeMs now);
    std::uint32_t count() const
    {
        return static_cast<std::uint32_t>(m_groups.size());
    }
    /// Highest number of live members of the last minutes.
    std::size_t peakMembers() const;
    bool isOwnerOf(std::uint32_t group) const
    {
        return m_groups[group].isSelf;
    }

private:
    struct Group {
        std::string owner;
        bool isSelf = false;
        TimeMs grantsFrom = 0;
        SocketAddress ownerAddress;
        std::optional<SocketAddress> formerOwner;
        TimeMs claimAt = 0;
        TimeMs contendedUntil = 0;
    };
    void recordLiveCount(TimeMs now);
    void chooseOwners(TimeMs now);

    TimeMs m_windowMs;
    const MemberView &m_members;
    std::vector<Group> m_groups;
    std::unordered_map<std::uint64_t, TimeMs> m_seenSince; ///< by member hash
    TimeMs m_startedAt = 0;
    std::uint64_t m_tableHash = 0;
    TimeMs m_nextMaturity = 0; ///< when the next member has been live for a window; 0 for none
    bool m_isDirty = true;
    std::size_t m_live = 1;
    std::size_t m_lowest = 1; ///< lowest count since m_lowestAt
    TimeMs m_lowestAt = 0;
    std::size_t m_peak[2] = {1, 1}; ///< highest counts of the current and of the previous period
    TimeMs m_peakAt = 0;
};

} // namespace fulmarledge
