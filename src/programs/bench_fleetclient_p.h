#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "fulmarledge/types.h"
#include "httpclient.h"
#include "ioloop.h"

namespace fulmarledge {

/// One host of the measured fleet, as listed by the launching script.
struct FleetHost {
    std::string host;
    std::string zone;
    std::string address;
    std::string service;
};

/// Reads lines of "HOST ZONE ADDRESS SERVICE".
std::vector<FleetHost> readFleetHosts(const std::string &path);

/// Client for the admin ports of many nodes.
class FleetClient
{
public:
    FleetClient();

    /// Sends the requests with bounded concurrency and blocks until all have ended.
    /// @return one result per request, in the same order
    std::vector<HttpResult> fetchAll(const std::vector<HttpRequest> &requests);
    IoLoop &loop()
    {
        return m_loop;
    }
    HttpClient &http()
    {
        return m_http;
    }

private:
    IoLoop m_loop;
    HttpClient m_http;
};

/// Request to the admin port of the host's node.
HttpRequest adminRequest(const FleetHost &host, std::string method, std::string_view path);

/// Sums of counters over a fleet, by metric name and value of the label "kind".
using CounterSums = std::map<std::string, std::map<std::string, double>, std::less<>>;
/// Reads /metrics of every host and adds up the counters.
CounterSums scrapeCounters(FleetClient &client, const std::vector<FleetHost> &hosts);

/// Announces a backend server to the node of every host once a second, in place of real backend servers. With churn,
/// one backend server at a time is announced as draining.
class Announcer
{
public:
    explicit Announcer(std::vector<FleetHost> hosts);
    ~Announcer();
    Announcer(const Announcer &) = delete;
    Announcer &operator=(const Announcer &) = delete;

    /// @param periodMs time from one drain to the next, or 0 for no drains
    void setDrainPeriod(std::int64_t periodMs)
    {
        m_drainPeriodMs.store(periodMs);
    }
    /// Number of drains so far.
    std::int64_t drainCount() const
    {
        return m_drainCount.load();
    }

private:
    void run();

    std::vector<FleetHost> m_hosts;
    std::atomic<std::int64_t> m_drainPeriodMs{0};
    std::atomic<std::int64_t> m_drainCount{0};
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace fulmarledge
