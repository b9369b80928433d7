#include "pushtree_p.h"

#include <algorithm>

namespace fulmarledge {

namespace {

std::span<const Member> membersIn(std::span<const Member> members, HashInterval interval)
{
    if (interval.isEmpty()) {
        return {};
    }
    const auto first = std::lower_bound(members.begin(), members.end(), interval.begin,
                                        [](const Member &member, std::uint64_t hash) { return member.hash < hash; });
    const auto last = std::upper_bound(first, members.end(), interval.end,
                                       [](std::uint64_t hash, const Member &member) { return hash < member.hash; });
    return {first, last};
}

void appendParts(std::vector<Delegation> &delegations, std::span<const Member> members, HashInterval interval,
                 std::size_t parts)
{
    parts = std::min(parts, members.size());
    for (std::size_t i = 0; i < parts; ++i) {
        const std::size_t first = i * members.size() / parts;
        const std::size_t next = (i + 1) * members.size() / parts;
        // The first and last parts extend to the ends of the interval, so that they cover members unknown to this node.
        const std::uint64_t begin = i == 0 ? interval.begin : members[first].hash;
        const std::uint64_t end = i + 1 == parts ? interval.end : members[next].hash - 1;
        delegations.push_back({&members[first], {begin, end}});
    }
}

} // namespace

std::vector<Delegation> divideInterval(std::span<const Member> members, std::uint64_t selfHash, HashInterval interval,
                                       int fanOut)
{
    std::vector<Delegation> delegations;
    const auto parts = static_cast<std::size_t>(std::max(fanOut, 2));
    if (interval.isEmpty()) {
        return delegations;
    }
    if (selfHash < interval.begin || selfHash > interval.end) {
        appendParts(delegations, membersIn(members, interval), interval, parts);
        return delegations;
    }
    const HashInterval below = selfHash == 0 ? kNoInterval : HashInterval{interval.begin, selfHash - 1};
    const HashInterval above = selfHash == std::numeric_limits<std::uint64_t>::max()
        ? kNoInterval
        : HashInterval{selfHash + 1, interval.end};
    const auto lower = membersIn(members, below);
    const auto upper = membersIn(members, above);
    if (lower.empty() && upper.empty()) {
        return delegations;
    }
    std::size_t lowerParts = (parts * lower.size() + (lower.size() + upper.size()) / 2) / (lower.size() + upper.size());
    lowerParts = std::clamp<std::size_t>(lowerParts, lower.empty() ? 0 : 1, upper.empty() ? parts : parts - 1);
    appendParts(delegations, lower, below, lowerParts);
    appendParts(delegations, upper, above, parts - lowerParts);
    return delegations;
}

int watcherRank(std::span<const Member> members, std::string_view zone, const Member &self, int watchers)
{
    const std::uint64_t ownWeight = rendezvousWeight(zone, self.host);
    const auto ranksBefore = [&](const Member &member) {
        // Hosts with faster links go first, because a watcher receives the whole configuration from the platform for
        // each change.
        if (member.linkMegabits != self.linkMegabits) {
            return member.linkMegabits > self.linkMegabits;
        }
        const std::uint64_t weight = rendezvousWeight(zone, member.host);
        return weight > ownWeight || (weight == ownWeight && member.host < self.host);
    };
    int rank = 0;
    for (const Member &member : members) {
        rank += member.host != self.host && ranksBefore(member) ? 1 : 0;
        if (rank == watchers) {
            break;
        }
    }
    return rank;
}

} // namespace fulmarledge
