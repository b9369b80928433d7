#pragma once

#include <deque>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "fulmarledge/controlnode.h"
#include "fulmarledge/snapshot.h"
#include "httpserver.h"
#include "node_announcement.h"

namespace fulmarledge {

/// Activation of a manifest version on this node.
struct VersionActivation {
    Version version = 0;
    std::int64_t wallClockMs = 0; ///< milliseconds since 1970
};

/// State of this node for the admin port. It refers to objects of the control thread and is used there only.
struct NodeReport {
    const ControlNode &control;
    const Snapshot *snapshot; ///< null until the first version is activated
    const std::optional<Announcement> &announcement; ///< not set while no backend server is announced
    const std::deque<VersionActivation> &activations; ///< newest last
    std::string host;
    std::string zone;
    TimeMs now = 0;
    std::int64_t startedMs = 0; ///< milliseconds since 1970
    std::int64_t sincePlatformReachableMs = 0; ///< ms since the platform was last found reachable
};

/// Number of organisations and keys, and the priority and limit of each organisation. Contains no key.
nlohmann::json organisationsJson(const OrganisationTable &table);
/// JSON body of `GET /v1/status`.
std::string statusJson(const NodeReport &report);
/// JSON body of `GET /v1/members`.
std::string membersJson(const NodeReport &report);
/// JSON body of `GET /v1/explain/SERVICE`. Empty when the active snapshot has no such service.
std::optional<std::string> explainJson(const NodeReport &report, std::string_view service);

/// Runs `answer`, which must change nothing. An exception ends this call only, with 500, and is logged and counted.
void answerReport(const HttpCall &call, MetricsSink &metrics, EventLog &log, const std::function<void()> &answer);

} // namespace fulmarledge
