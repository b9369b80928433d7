#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "fulmarledge/types.h"

namespace fulmarledge {

constexpr std::string_view kRolloutKind = "rollout";

/// Bounds of a rollout, which the operator states for all services.
struct RolloutSettings {
    /// Share of the requests of a service between the order and its deadline that a bad version may get; 0 turns
    /// rollouts off, and versions are ignored.
    double exposureShare = 0;
    double exposureSlack = 50; ///< requests of a bad version on top of the share
    TimeMs boundMs = 5000; ///< longest time from the 50th bad answer to the last request of a bad version

    bool isEnabled() const
    {
        return exposureShare > 0;
    }
};

enum class RolloutState : std::uint8_t {
    None, ///< there is no order, or it is not taken up yet
    Running,
    Done,
    RolledBack,
};

/// Name of a state, as in the status of the platform's object.
std::string_view rolloutStateName(RolloutState state);

/// Order of an operator: the value of an object of the kind `rollout`, whose name is that of the service.
struct RolloutOrder {
    std::string service;
    std::string target; ///< version
    TimeMs durationMs = 0;

    /// Returns nothing, with field and reason in `error`, if the text is not a valid order.
    static std::optional<RolloutOrder> parse(std::string_view text, LastReason &error);
    std::string toText() const;
    bool operator==(const RolloutOrder &) const = default;
};

/// Status of such an object, written by the system.
struct RolloutStatus {
    RolloutState state = RolloutState::None;
    std::string target;

    /// A text that is empty or not readable is no status.
    static RolloutStatus parse(std::string_view text);
    std::string toText() const;
    bool operator==(const RolloutStatus &) const = default;
};

} // namespace fulmarledge
