#include "bench_fleetprocess_p.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <unistd.h>

namespace fulmarledge {

std::map<std::string, ProcessUse> processUses(const std::vector<FleetHost> &hosts, const std::string &pidsDir)
{
    std::map<std::string, ProcessUse> uses;
    const double ticksPerSecond = static_cast<double>(::sysconf(_SC_CLK_TCK));
    for (const FleetHost &host : hosts) {
        std::string pid;
        std::ifstream(pidsDir + "/" + host.host + ".pid") >> pid;
        ProcessUse use;
        std::ifstream stat("/proc/" + pid + "/stat");
        std::string word;
        for (int field = 1; stat >> word; ++field) {
            // Fields 14 and 15 are the user and system time, in clock ticks.
            if (field == 14 || field == 15) {
                use.cpuSeconds += std::strtod(word.c_str(), nullptr) / ticksPerSecond;
            }
        }
        std::ifstream statm("/proc/" + pid + "/statm");
        std::int64_t size = 0;
        std::int64_t resident = 0;
        statm >> size >> resident;
        use.rssBytes = static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE));
        uses[host.host + "/" + pid] = use;
    }
    return uses;
}

void addProcessUse(nlohmann::json &report, const std::map<std::string, ProcessUse> &before,
                   const std::map<std::string, ProcessUse> &after, double seconds)
{
    double mostCpu = 0;
    double sumCpu = 0;
    double mostRss = 0;
    std::size_t counted = 0;
    for (const auto &[process, use] : after) {
        mostRss = std::max(mostRss, use.rssBytes);
        const auto earlier = before.find(process);
        if (earlier != before.end()) {
            const double share = (use.cpuSeconds - earlier->second.cpuSeconds) / seconds;
            mostCpu = std::max(mostCpu, share);
            sumCpu += share;
            ++counted;
        }
    }
    report["cpu_core_share"] = {{"mean", counted == 0 ? 0 : sumCpu / static_cast<double>(counted)}, {"max", mostCpu}};
    report["rss_bytes"] = mostRss;
}

} // namespace fulmarledge
