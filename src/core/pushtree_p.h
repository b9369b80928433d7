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

struct Delegation {
    const Member *child = nullptr;
    HashInterval interval;
};

/// Divides the members of `interval`, without the local host, into at most about `fanOut` parts. The parts are disjoint
/// and do not hold the local hash, so that no member is addressed twice whatever the delegates know.
/// @param members members of the zone in ascending order of hash
std::vector<Delegation> divideInterval(std::span<const Member> members, std::uint64_t selfHash, HashInterval interval,
                                       int fanOut);

/// Position of `host` among the watchers of its zone, or `watchers` when it is none of them.
int watcherRank(std::span<const Member> members, std::string_view zone, const Member &self, int watchers);

} // namespace fulmarledge
