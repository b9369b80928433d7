#pragma once

#include <deque>
#include <optional>
#include <string>

#include "fulmarledge/controlnode.h"
#include "fulmarledge/snapshot.h"
#include "node_backend.h"

namespace fulmarledge {

/// When a version came into force on this node.
struct ActivationTime {
    Version version = 0;
    std::int64_t wallClockMs = 0; ///< milliseconds since 1970
};

/// What the admin port reports of this node, taken on the control thread.
struct NodeReport {
    const ControlNode &control;
    const Snapshot *snapshot;
    const std::optional<Announcement> &backend;
    const std::deque<ActivationTime> &activations; ///< newest last
    std::string host;
    std::string zone;
    TimeMs now = 0;
    std::int64_t startedMs = 0; ///< milliseconds since 1970
    std::int64_t platformAgeMs = 0; ///< time since the platform last answered
};

/// Bodies of the admin port's JSON answers.
std::string statusJson(const NodeReport &report);
std::string membersJson(const NodeReport &report);
/// Empty when the running snapshot has no such service.
std::optional<std::string> explainJson(const NodeReport &report, std::string_view service);

} // namespace fulmarledge
