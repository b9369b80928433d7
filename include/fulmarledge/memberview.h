#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "fulmarledge/types.h"

namespace fulmarledge {

/// A host as seen by the local node.
struct Member {
    std::string host;
    std::string zone;
    SocketAddress control; ///< address of its control port
    std::uint64_t hash = 0; ///< memberHash(host), which orders the push tree
    std::int64_t incarnation = 0;
    std::int32_t linkMegabits = 0; ///< rate of its link in Mbit/s, 0 when not known
    Version version = 0; ///< highest manifest version that its newest process has reported
    TimeMs versionSeenMs = 0; ///< when its last report arrived
};

/// The live members, for modules that relay messages to them or choose among them. A member is live if it is alive or
/// suspect and has not left.
class MemberView
{
public:
    virtual ~MemberView() = default;

    /// Live members of a zone, the local host included, in ascending order of `hash`. Valid until the table changes.
    virtual std::span<const Member> zoneMembers(std::string_view zone) const = 0;
    /// Names of the zones that have at least one live member, in ascending order.
    virtual std::span<const std::string> zones() const = 0;
    /// Null if the host is unknown or not live.
    virtual const Member *find(std::string_view host) const = 0;
    /// Number of live members, the local host included.
    virtual std::size_t liveCount() const = 0;
    /// Hash of the live records of the host table, equal on nodes that hold the same ones.
    virtual std::uint64_t tableHash() const = 0;
    virtual const Member &self() const = 0;
};

/// Hash of the host name, by which members are ordered.
std::uint64_t memberHash(std::string_view host);

/// Weight of `host` for `key` in rendezvous hashing. The hosts with the highest weights are chosen.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view host);

} // namespace fulmarledge
