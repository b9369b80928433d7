#include "bench_fleetclient_p.h"

#include <chrono>
#include <fstream>
#include <sstream>

namespace fulmarledge {

namespace {

constexpr std::size_t kMaxConcurrentCalls = 64;
constexpr std::uint16_t kAdminPort = 8081;
constexpr std::int64_t kCallTimeoutMs = 2000;
constexpr std::int64_t kAnnounceIntervalMs = 1000;
constexpr long kIdleConnections = 256;

} // namespace

std::vector<FleetHost> readFleetHosts(const std::string &path)
{
    std::vector<FleetHost> hosts;
    std::ifstream file(path);
    FleetHost host;
    while (file >> host.host >> host.zone >> host.address >> host.service) {
        hosts.push_back(host);
    }
    return hosts;
}

FleetClient::FleetClient()
    : m_http(m_loop, kIdleConnections)
{
}

std::vector<HttpResult> FleetClient::fetchAll(const std::vector<HttpRequest> &requests)
{
    std::vector<HttpResult> results(requests.size());
    std::size_t started = 0;
    std::size_t finished = 0;
    std::function<void()> startNext = [&] {
        if (started == requests.size()) {
            return;
        }
        const std::size_t index = started++;
        m_http.send(requests[index], [&, index](HttpResult result) {
            results[index] = std::move(result);
            if (++finished == requests.size()) {
                m_loop.stop();
            } else {
                startNext();
            }
        });
    };
    for (std::size_t i = 0; i < std::min(kMaxConcurrentCalls, requests.size()); ++i) {
        startNext();
    }
    if (!requests.empty()) {
        m_loop.run();
    }
    return results;
}

HttpRequest adminRequest(const FleetHost &host, std::string method, std::string_view path)
{
    HttpRequest request;
    request.method = std::move(method);
    request.url = "http://" + host.address + ":" + std::to_string(kAdminPort) + std::string(path);
    request.timeoutMs = kCallTimeoutMs;
    request.resendAllowed = true;
    return request;
}

CounterSums scrapeCounters(FleetClient &client, const std::vector<FleetHost> &hosts)
{
    std::vector<HttpRequest> requests;
    requests.reserve(hosts.size());
    for (const FleetHost &host : hosts) {
        requests.push_back(adminRequest(host, "GET", "/metrics"));
    }
    CounterSums sums;
    for (const HttpResult &result : client.fetchAll(requests)) {
        std::istringstream lines(result.body);
        for (std::string line; std::getline(lines, line);) {
            const std::size_t nameEnd = line.find_first_of("{ ");
            const std::size_t valueGap = line.rfind(' ');
            if (line.empty() || line[0] == '#' || nameEnd == std::string::npos || valueGap == std::string::npos) {
                continue;
            }
            const std::size_t kindLabel = line.find("kind=\"");
            const std::string kind = kindLabel == std::string::npos
                ? ""
                : line.substr(kindLabel + 6, line.find('"', kindLabel + 6) - kindLabel - 6);
            sums[line.substr(0, nameEnd)][kind] += std::strtod(line.c_str() + valueGap + 1, nullptr);
        }
    }
    return sums;
}

Announcer::Announcer(std::vector<FleetHost> hosts)
    : m_hosts(std::move(hosts))
    , m_thread([this] { run(); })
{
}

Announcer::~Announcer()
{
    m_stopping = true;
    m_thread.join();
}

void Announcer::run()
{
    FleetClient client;
    TimeMs nextDrain = 0;
    std::size_t drainedIndex = m_hosts.size();
    while (!m_stopping) {
        const TimeMs begin = monotonicMs();
        const std::int64_t drainPeriodMs = m_drainPeriodMs.load();
        if (drainPeriodMs > 0 && begin >= nextDrain) {
            drainedIndex = static_cast<std::size_t>(m_drainCount.fetch_add(1)) % m_hosts.size();
            nextDrain = begin + drainPeriodMs;
        }
        std::vector<HttpRequest> requests;
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            HttpRequest request = adminRequest(m_hosts[i], "POST", "/v1/announce");
            request.body = R"({"service":")" + m_hosts[i].service + R"(","port":9000,"slots":12,"load":0,"state":")"
                + (i == drainedIndex ? "draining" : "serving") + R"("})";
            requests.push_back(std::move(request));
        }
        client.fetchAll(requests);
        while (!m_stopping && monotonicMs() - begin < kAnnounceIntervalMs) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }
}

} // namespace fulmarledge
