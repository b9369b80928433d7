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
    std::uint64_t hash = 0; ///< memberHash(host), the order of the push tree
    std::int64_t incarnation = 0;
    std::int32_t linkMegabits = 0; ///< rate of its link in Mbit/s, 0 when not known
    Version version = 0; ///< manifest version that it last reported
    TimeMs versionSeenMs = 0; ///< when it reported the version
};

/// Live members (alive or suspect, not dead or left), for modules that relay or choose among them.
class MemberView
{
public:
    virtual ~MemberView() = default;

    /// Live members of a zone, the local host included, in ascending order of `hash`. Valid until the next input.
    virtual std::span<const Member> zoneMembers(std::string_view zone) const = 0;
    /// Names of the zones that have at least one live member, in ascending order.
    virtual std::span<const std::string> zones() const = 0;
    virtual const Member *find(std::string_view host) const = 0;
    /// Number of live members, the local host included.
    virtual std::size_t liveCount() const = 0;
    /// Hash of the host table, equal on nodes that hold the same records.
    virtual std::uint64_t tableHash() const = 0;
    virtual const Member &self() const = 0;
};

/// Position of a host in the hash order of its zone.
std::uint64_t memberHash(std::string_view host);

/// Weight of `host` for `key` in rendezvous hashing. The highest weights are chosen.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view host);

} // namespace fulmarledge
