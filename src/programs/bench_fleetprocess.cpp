#include "bench_fleetprocess_p.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <unistd.h>

namespace fulmarledge {

std::map<std::string, ProcessUsage> processUsages(const std::vector<FleetHost> &hosts, const std::string &pidsDir)
{
    std::map<std::string, ProcessUsage> usages;
    const double ticksPerSecond = static_cast<double>(::sysconf(_SC_CLK_TCK));
    for (const FleetHost &host : hosts) {
        std::string pid;
        std::ifstream(pidsDir + "/" + host.host + ".pid") >> pid;
        ProcessUsage usage;
        std::ifstream stat("/proc/" + pid + "/stat");
        std::string value;
        for (int field = 1; stat >> value; ++field) {
            // Fields 14 and 15 are the user and system time, in clock ticks.
            if (field == 14 || field == 15) {
                usage.cpuSeconds += std::strtod(value.c_str(), nullptr) / ticksPerSecond;
            }
        }
        std::ifstream statm("/proc/" + pid + "/statm");
        std::int64_t size = 0;
        std::int64_t resident = 0;
        statm >> size >> resident;
        usage.rssBytes = static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE));
        usages[host.host + "/" + pid] = usage;
    }
    return usages;
}

void addProcessUsage(nlohmann::json &report, const std::map<std::string, ProcessUsage> &before,
                     const std::map<std::string, ProcessUsage> &after, double seconds)
{
    double maxCpuShare = 0;
    double totalCpuShare = 0;
    double maxRssBytes = 0;
    std::size_t counted = 0;
    for (const auto &[process, usage] : after) {
        maxRssBytes = std::max(maxRssBytes, usage.rssBytes);
        const auto earlier = before.find(process);
        if (earlier != before.end()) {
            const double share = (usage.cpuSeconds - earlier->second.cpuSeconds) / seconds;
            maxCpuShare = std::max(maxCpuShare, share);
            totalCpuShare += share;
            ++counted;
        }
    }
    report["cpu_core_share"]
        = {{"mean", counted == 0 ? 0 : totalCpuShare / static_cast<double>(counted)}, {"max", maxCpuShare}};
    report["rss_bytes"] = maxRssBytes;
}

} // namespace fulmarledge
