#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bench_fleetclient_p.h"

namespace fulmarledge {

/// Use of one process so far, from /proc.
struct ProcessUse {
    double cpuSeconds = 0;
    double rssBytes = 0;
};

/// Use of the node of each host, by host and process id, so that a restarted node is told from the one before it.
std::map<std::string, ProcessUse> processUses(const std::vector<FleetHost> &hosts, const std::string &pidsDir);

/// Adds the share of a core over `seconds` and the resident memory to the report.
void addProcessUse(nlohmann::json &report, const std::map<std::string, ProcessUse> &before,
                   const std::map<std::string, ProcessUse> &after, double seconds);

} // namespace fulmarledge
