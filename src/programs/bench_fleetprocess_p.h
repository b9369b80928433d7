#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bench_fleetclient_p.h"

namespace fulmarledge {

/// Resource usage of a process so far, from /proc.
struct ProcessUsage {
    double cpuSeconds = 0;
    double rssBytes = 0;
};

/// Usage of the node process of each host. The key is "HOST/PID", so that a restarted node has an entry of its own.
std::map<std::string, ProcessUsage> processUsages(const std::vector<FleetHost> &hosts, const std::string &pidsDir);

/// Adds to the report the mean and largest share of a core that a node used over `seconds`, and the largest resident
/// memory. Nodes that restarted in between are left out of the shares.
void addProcessUsage(nlohmann::json &report, const std::map<std::string, ProcessUsage> &before,
                     const std::map<std::string, ProcessUsage> &after, double seconds);

} // namespace fulmarledge
