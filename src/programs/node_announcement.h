#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "fulmarledge/types.h"
#include "fulmarledge_types.h"

namespace fulmarledge {

/// State of the backend server of this host, from `POST /v1/announce` or from a notice on the announcement address.
struct Announcement {
    std::string service;
    std::uint16_t port = 0;
    int slots = 0;
    wire::HostState::type state = wire::HostState::Starting;
    int load = 0; ///< requests that the backend server reports as running
    std::string ip; ///< empty when it is the address of the node
    std::string version; ///< of the backend server's program, empty when not given
    std::string instance; ///< id of the process of the backend server, empty when not given
    std::optional<TimeMs> warmupLeft; ///< how much longer it stays slow after its start; not set when not given

    bool operator==(const Announcement &) const = default;

    /// Parses the JSON body of `POST /v1/announce`. Empty, with the reason in `error`, when the body is invalid.
    static std::optional<Announcement> parse(std::string_view text, LastReason &error);
};

/// Lower-case name of a state, as in JSON.
std::string_view stateName(wire::HostState::type state);
/// Lower-case name of a liveness, as in JSON.
std::string_view livenessName(wire::Liveness::type liveness);

} // namespace fulmarledge
