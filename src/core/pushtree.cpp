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

/// Whether `a` becomes a watcher of the zone before `b`. Hosts with faster links go first, because a watcher receives
/// the whole configuration from the platform for each change.
bool ranksBefore(std::string_view zone, const Member &a, const Member &b)
{
    if (a.linkMegabits != b.linkMegabits) {
        return a.linkMegabits > b.linkMegabits;
    }
    const std::uint64_t weightA = rendezvousWeight(zone, a.host);
    const std::uint64_t weightB = rendezvousWeight(zone, b.host);
    return weightA > weightB || (weightA == weightB && a.host < b.host);
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
    int rank = 0;
    for (const Member &member : members) {
        rank += member.host != self.host && ranksBefore(zone, member, self) ? 1 : 0;
        if (rank == watchers) {
            break;
        }
    }
    return rank;
}

std::vector<const Member *> zoneWatchers(std::span<const Member> members, std::string_view zone, int watchers)
{
    std::vector<const Member *> ranked;
    ranked.reserve(members.size());
    for (const Member &member : members) {
        ranked.push_back(&member);
    }
    const auto count = std::min<std::size_t>(static_cast<std::size_t>(std::max(watchers, 0)), ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
                      [zone](const Member *a, const Member *b) { return ranksBefore(zone, *a, *b); });
    ranked.resize(count);
    return ranked;
}

} // namespace fulmarledge
