#pragma once

#include <algorithm>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "fulmarledge/memberview.h"

namespace fulmarledge::spreadtest {

/// Members of a whole fleet by zone, in ascending order of hash. The views of all nodes share it.
struct FleetDirectory {
    std::map<std::string, std::vector<Member>> zones;
    std::string isolatedZone; ///< zone whose members do not see the other zones, and the reverse
    bool isolated = false; ///< each node sees only itself
};

/// The members of the fleet that one node sees.
class FleetView : public MemberView
{
public:
    FleetView(FleetDirectory &directory, int index, int zone)
        : m_directory(directory)
    {
        member.host = "host-" + std::to_string(index);
        member.zone = "zone-" + std::to_string(zone);
        member.control = {"10.0.0.1", static_cast<std::uint16_t>(index)};
        member.hash = memberHash(member.host);
    }
    void join()
    {
        auto &members = m_directory.zones[member.zone];
        const auto place = std::lower_bound(members.begin(), members.end(), member.hash,
                                            [](const Member &entry, std::uint64_t hash) { return entry.hash < hash; });
        if (place == members.end() || place->hash != member.hash) {
            members.insert(place, member);
        }
    }
    void leave()
    {
        std::erase_if(m_directory.zones[member.zone], [&](const Member &entry) { return entry.host == member.host; });
    }

    std::span<const Member> zoneMembers(std::string_view zone) const override
    {
        if (m_directory.isolated) {
            return {&member, zone == member.zone ? std::size_t{1} : 0};
        }
        const auto found = m_directory.zones.find(std::string(zone));
        return found == m_directory.zones.end() || !seesZone(found->first) ? std::span<const Member>() : found->second;
    }
    std::span<const std::string> zones() const override
    {
        m_zoneNames.clear();
        for (const auto &[name, members] : m_directory.zones) {
            if (seesZone(name) && !members.empty()) {
                m_zoneNames.push_back(name);
            }
        }
        return m_zoneNames;
    }
    const Member *find(std::string_view) const override
    {
        return nullptr;
    }
    std::size_t liveCount() const override
    {
        std::size_t count = 0;
        for (const auto &[name, members] : m_directory.zones) {
            count += zoneMembers(name).size();
        }
        return count;
    }
    std::uint64_t tableHash() const override
    {
        return 0x1234567890abcdefU;
    }
    const Member &self() const override
    {
        return member;
    }

    Member member;

private:
    bool seesZone(const std::string &zone) const
    {
        const std::string &hidden = m_directory.isolatedZone;
        const bool cut = !hidden.empty() && zone != member.zone && (hidden == zone || hidden == member.zone);
        return !cut && (!m_directory.isolated || zone == member.zone);
    }

    FleetDirectory &m_directory;
    mutable std::vector<std::string> m_zoneNames;
};

} // namespace fulmarledge::spreadtest
