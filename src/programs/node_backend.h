#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "fulmarledge/types.h"
#include "fulmarledge_types.h"

namespace fulmarledge {

/// What the backend server of this host says of itself in `POST /v1/announce`.
struct Announcement {
    std::string service;
    std::uint16_t port = 0;
    int slots = 0;
    wire::HostState::type state = wire::HostState::Starting;
    int load = 0;
    std::string ip; ///< empty for the address of the node
    std::string instance; ///< id of its process, empty when it has none
    std::optional<TimeMs> warmupLeft; ///< not set when it does not say

    bool operator==(const Announcement &) const = default;

    static std::optional<Announcement> parse(std::string_view text, LastReason &error);
};

/// Lower-case name of a state.
std::string_view stateName(wire::HostState::type state);
std::string_view livenessName(wire::Liveness::type liveness);

} // namespace fulmarledge
