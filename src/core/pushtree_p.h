#pragma once

#include <cstdint>
#include <limits>
#include <span>
#include <string_view>
#include <vector>

#include "fulmarledge/memberview.h"

namespace fulmarledge {

/// Interval of member hashes, both ends included. Empty when `begin` is above `end`.
struct HashInterval {
    std::uint64_t begin = 0;
    std::uint64_t end = std::numeric_limits<std::uint64_t>::max();

    bool isEmpty() const
    {
        return begin > end;
    }
    bool contains(const HashInterval &other) const
    {
        return begin <= other.begin && other.end <= end;
    }
    bool operator==(const HashInterval &) const = default;
};

constexpr HashInterval kNoInterval{1, 0};

/// Part of an interval and the member that relays to it.
struct Delegation {
    const Member *delegate = nullptr;
    HashInterval interval;
};

/// Divides `interval` into at most `fanOut` parts, where a `fanOut` below 2 counts as 2. The parts are disjoint and do
/// not contain the local hash, so no member is addressed twice even if the delegates know different members.
/// @param members members of the zone in ascending order of hash
std::vector<Delegation> divideInterval(std::span<const Member> members, std::uint64_t selfHash, HashInterval interval,
                                       int fanOut);

/// Rank of `self` among the watchers of its zone, from 0 on, or `watchers` when it is not one of them.
int watcherRank(std::span<const Member> members, std::string_view zone, const Member &self, int watchers);

/// The watchers of a zone, first rank first.
std::vector<const Member *> zoneWatchers(std::span<const Member> members, std::string_view zone, int watchers);

} // namespace fulmarledge
