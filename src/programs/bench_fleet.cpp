#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <unistd.h>

#include "bench_fleetclient_p.h"
#include "bench_fleetprocess_p.h"
#include "bench_p.h"
#include "fulmarledge/submission.h"
#include "httpstore.h"
#include "metrics.h"
#include "settings.h"

namespace fulmarledge {

namespace {

using nlohmann::json;

constexpr std::int64_t kConvergenceBoundMs = 6000; ///< a slower change is reported as a violation
constexpr std::int64_t kSettleTimeoutMs = 60000;
constexpr std::int64_t kPollIntervalMs = 200;
constexpr std::int64_t kTickIntervalMs = 5;
constexpr std::int64_t kIdleSampleMs = 5000;
constexpr int kMaxIdleSamples = 30;
/// Idle traffic counts as steady once a sample exceeds this share of the sample before it.
constexpr double kSteadyShare = 0.97;

struct Options {
    std::string hostsFile;
    std::string pidsDir;
    std::string faultsFile;
    SocketAddress platform;
    int changes = 20;
    TimeMs intervalMs = 1000;
    TimeMs idleMs = 10000;
    TimeMs churnMs = 0;
};

/// Interval in which a host was stopped, frozen or cut off, or every host if `host` is "all". Recorded by the launching
/// script in wall-clock time.
struct FaultWindow {
    std::string host;
    std::int64_t beginMs = 0;
    std::int64_t endMs = 0;
};

class SystemRandom : public RandomSource
{
public:
    std::uint64_t below(std::uint64_t bound) override
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_engine);
    }

private:
    std::mt19937_64 m_engine{std::random_device{}()};
};

std::int64_t percentile(std::vector<std::int64_t> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(std::lround(share * static_cast<double>(values.size() - 1)));
    return values[index];
}

/// Sum of a counter over the given kinds, or over all kinds if none is given.
double sumCounter(const CounterSums &sums, std::string_view name, std::initializer_list<std::string_view> kinds)
{
    double total = 0;
    const auto found = sums.find(name);
    if (found == sums.end()) {
        return 0;
    }
    for (const auto &[kind, value] : found->second) {
        if (kinds.size() == 0 || std::find(kinds.begin(), kinds.end(), kind) != kinds.end()) {
            total += value;
        }
    }
    return total;
}

/// Measures a fleet of running nodes while manifests are submitted.
class FleetBench
{
public:
    explicit FleetBench(Options options)
        : m_options(std::move(options))
        , m_hosts(readFleetHosts(m_options.hostsFile))
        , m_metrics("bench", "bench")
        , m_store(m_client.http(), m_metrics, {m_options.platform})
    {
    }

    json run()
    {
        Announcer announcer(m_hosts);
        submit(0);
        waitForVersion(kSettleTimeoutMs);
        const auto idle = measureIdleControlBytes();
        announcer.setDrainPeriod(m_options.churnMs);
        const auto before = scrapeCounters(m_client, m_hosts);
        const json statsBefore = fetchPlatformStats();
        const auto usageBefore = processUsages(m_hosts, m_options.pidsDir);
        std::ofstream(m_options.pidsDir + "/changes-begun") << wallClockMs() << "\n";
        const TimeMs begin = monotonicMs();
        for (int change = 1; change <= m_options.changes; ++change) {
            const TimeMs next = begin + change * m_options.intervalMs;
            submit(change);
            while (monotonicMs() < next) {
                pollVersions();
                runLoopFor(kPollIntervalMs);
            }
        }
        const bool settled = waitForVersion(kSettleTimeoutMs);
        const double seconds = static_cast<double>(monotonicMs() - begin) / 1000;
        const auto after = scrapeCounters(m_client, m_hosts);
        const json statsAfter = fetchPlatformStats();
        const auto usageAfter = processUsages(m_hosts, m_options.pidsDir);
        readFaultWindows();
        checkActivations();

        json report = buildReport(idle, before, after, statsBefore, statsAfter);
        addProcessUsage(report, usageBefore, usageAfter, seconds);
        if (!settled) {
            addViolation("not every node runs version " + std::to_string(m_headVersion) + " within "
                         + std::to_string(kSettleTimeoutMs) + " ms");
        }
        report["nodes"] = m_hosts.size();
        report["changes"] = m_acceptedMs.size();
        report["refused_submissions"] = m_refusedSubmissions;
        report["drained_backend_servers"] = announcer.drainCount();
        report["invariant_violations"] = m_violations.size();
        report["violations"] = m_violations;
        return report;
    }

private:
    std::string buildManifest(int change) const
    {
        std::map<std::string, json> services;
        for (const FleetHost &host : m_hosts) {
            services[host.service]["backend_servers"].push_back(host.host);
        }
        json list = json::array();
        json routes = json::array();
        int index = 0;
        for (auto &[name, service] : services) {
            service["name"] = name;
            // Each change alters one service.
            service["timeout_ms"] = 2000 + (index == change % static_cast<int>(services.size()) ? change : 0);
            list.push_back(service);
            routes.push_back({{"path_prefix", "/" + name}, {"service", name}});
            ++index;
        }
        return json{{"format", 1}, {"services", list}, {"routes", routes}}.dump();
    }

    void submit(int change)
    {
        SubmissionRequest request;
        request.text = buildManifest(change);
        request.submissionId = "bench-" + std::to_string(::getpid()) + "-" + std::to_string(change);
        request.acceptedMs = wallClockMs();
        SubmissionResult result;
        std::int64_t acceptedMs = 0;
        bool done = false;
        Submission submission(m_store, m_random, {}, request, [&](const SubmissionResult &got) {
            result = got;
            acceptedMs = wallClockMs();
            done = true;
        });
        submission.start(monotonicMs());
        while (!done) {
            runLoopFor(kTickIntervalMs);
            submission.tick(monotonicMs());
        }
        if (result.outcome == SubmissionOutcome::Accepted) {
            m_headVersion = result.version;
            m_acceptedMs[result.version] = acceptedMs;
        } else {
            ++m_refusedSubmissions;
        }
    }

    void runLoopFor(std::int64_t ms)
    {
        m_client.loop().runAfter(ms, [this] { m_client.loop().stop(); });
        m_client.loop().run();
    }

    std::vector<json> fetchStatuses()
    {
        std::vector<HttpRequest> requests;
        for (const FleetHost &host : m_hosts) {
            requests.push_back(adminRequest(host, "GET", "/v1/status"));
        }
        std::vector<json> documents;
        for (const HttpResult &result : m_client.fetchAll(requests)) {
            documents.push_back(result.status == 200 ? json::parse(result.body, nullptr, false) : json());
        }
        return documents;
    }

    /// Fetches the status of every node. Checks that no ready node reports a lower version than its host did before,
    /// restarts included, and that no node reports a version more than one above the newest accepted.
    std::vector<json> pollVersions()
    {
        std::vector<json> documents = fetchStatuses();
        for (std::size_t i = 0; i < documents.size(); ++i) {
            if (!documents[i].is_object()) {
                continue;
            }
            const Version version = documents[i].value("version", Version{0});
            Version &highest = m_highestVersions[m_hosts[i].host];
            const bool ready = documents[i].value("ready", false);
            // A node that is not ready serves no callers yet, so the version it reports may be lower.
            if (ready && version < highest) {
                addViolation(m_hosts[i].host + " reports version " + std::to_string(version) + " after version "
                             + std::to_string(highest));
            }
            highest = std::max(highest, version);
            if (version > m_headVersion + 1) {
                addViolation(m_hosts[i].host + " reports version " + std::to_string(version)
                             + ", which was never accepted");
            }
        }
        return documents;
    }

    bool waitForVersion(std::int64_t limitMs)
    {
        const TimeMs deadline = monotonicMs() + limitMs;
        while (monotonicMs() < deadline) {
            const auto documents = pollVersions();
            const bool allConverged = std::all_of(documents.begin(), documents.end(), [&](const json &document) {
                return document.is_object() && document.value("version", Version{0}) == m_headVersion
                    && document.value("ready", false);
            });
            if (allConverged) {
                return true;
            }
            runLoopFor(kPollIntervalMs);
        }
        return false;
    }

    json fetchPlatformStats()
    {
        HttpRequest request;
        request.method = "GET";
        request.url
            = "http://" + m_options.platform.ip + ":" + std::to_string(m_options.platform.port) + "/standin/stats";
        const auto results = m_client.fetchAll({request});
        return json::parse(results.front().body, nullptr, false);
    }

    /// Control bytes per second and node, in both directions, measured over `durationMs` without changes.
    double measureControlBytes(std::int64_t durationMs)
    {
        const auto begin = scrapeCounters(m_client, m_hosts);
        const TimeMs start = monotonicMs();
        runLoopFor(durationMs);
        const auto end = scrapeCounters(m_client, m_hosts);
        const double seconds = static_cast<double>(monotonicMs() - start) / 1000;
        double total = 0;
        m_idleBytesByKind.clear();
        for (const auto &[name, kinds] : end) {
            if (name.find("_bytes_") == std::string::npos) {
                continue;
            }
            for (const auto &[kind, value] : kinds) {
                const double bytes
                    = (value - sumCounter(begin, name, {kind})) / seconds / static_cast<double>(m_hosts.size());
                total += bytes;
                if (bytes > 0) {
                    m_idleBytesByKind[name + " " + kind] = bytes;
                }
            }
        }
        return total;
    }

    /// Waits until the host records of the start-up have been gossiped, which shows in traffic that no longer falls,
    /// then measures the idle traffic.
    double measureIdleControlBytes()
    {
        double previous = measureControlBytes(kIdleSampleMs);
        for (int step = 0; step < kMaxIdleSamples; ++step) {
            const double current = measureControlBytes(kIdleSampleMs);
            if (current > previous * kSteadyShare) {
                break;
            }
            previous = current;
        }
        return measureControlBytes(m_options.idleMs);
    }

    void readFaultWindows()
    {
        if (m_options.faultsFile.empty()) {
            return;
        }
        std::ifstream file(m_options.faultsFile);
        FaultWindow window;
        while (file >> window.host >> window.beginMs >> window.endMs) {
            m_faultWindows.push_back(window);
        }
    }

    /// Wall-clock time from which a host can be expected to run a version. It is the latest of the version's
    /// acceptance, the host's start and the end of each fault that could delay the version.
    std::int64_t convergenceStartMs(const std::string &host, std::int64_t acceptedMs, std::int64_t startedMs) const
    {
        std::int64_t from = std::max(acceptedMs, startedMs);
        for (const FaultWindow &window : m_faultWindows) {
            // A fault that begins within the convergence bound after the acceptance can still delay the change.
            if ((window.host == host || window.host == "all") && window.beginMs <= acceptedMs + kConvergenceBoundMs
                && window.endMs > from) {
                from = window.endMs;
            }
        }
        return from;
    }

    void checkActivations()
    {
        std::map<Version, std::int64_t> slowestMs;
        const auto documents = fetchStatuses();
        for (std::size_t i = 0; i < documents.size(); ++i) {
            if (!documents[i].is_object()) {
                addViolation(m_hosts[i].host + " does not answer the status request");
                continue;
            }
            Version previous = 0;
            const json activations = documents[i].value("activations", json::array());
            for (const json &activation : activations) {
                const Version version = activation.value("version", Version{0});
                if (version <= previous) {
                    addViolation(m_hosts[i].host + " activated version " + std::to_string(version) + " after version "
                                 + std::to_string(previous));
                }
                previous = version;
            }
            for (const auto &[version, acceptedMs] : m_acceptedMs) {
                const auto first = std::find_if(activations.begin(), activations.end(),
                                                [&, accepted = version](const json &activation) {
                                                    return activation.value("version", Version{0}) >= accepted;
                                                });
                if (first == activations.end()) {
                    continue;
                }
                const std::int64_t from = convergenceStartMs(m_hosts[i].host, acceptedMs,
                                                             documents[i].value("started_ms", std::int64_t{0}));
                const std::int64_t convergenceMs
                    = std::max<std::int64_t>(first->value("time_ms", std::int64_t{0}) - from, 0);
                slowestMs[version] = std::max(slowestMs[version], convergenceMs);
            }
        }
        for (const auto &[version, convergenceMs] : slowestMs) {
            if (version > 1) {
                m_convergenceMs.push_back(convergenceMs);
            }
            if (convergenceMs > kConvergenceBoundMs) {
                addViolation("version " + std::to_string(version) + " took " + std::to_string(convergenceMs)
                             + " ms to reach all hosts");
            }
        }
    }

    json buildReport(double idle, const CounterSums &before, const CounterSums &after, const json &statsBefore,
                     const json &statsAfter) const
    {
        const auto delta = [&](std::string_view name, std::initializer_list<std::string_view> kinds) {
            return sumCounter(after, name, kinds) - sumCounter(before, name, kinds);
        };
        const double nodeChanges
            = static_cast<double>(m_hosts.size()) * std::max(1.0, static_cast<double>(m_acceptedMs.size()) - 1);
        const double bytes = delta("fulmarledge_control_bytes_in_total", {"push", "push-ack", "pull", "content"})
            + delta("fulmarledge_platform_bytes_in_total", {"manifest", "head"});
        const double copies = delta("fulmarledge_control_messages_in_total", {"push", "content"})
            + delta("fulmarledge_platform_objects_total", {"manifest"});
        json report;
        report["convergence_ms"] = {{"p50", percentile(m_convergenceMs, 0.5)},
                                    {"p99", percentile(m_convergenceMs, 0.99)},
                                    {"max", percentile(m_convergenceMs, 1)}};
        report["control_bytes_per_change_per_node"] = bytes / nodeChanges;
        report["copies_per_change"] = copies / nodeChanges;
        report["idle_control_bytes_per_second_per_node"] = idle;
        report["idle_control_bytes_by_kind"] = m_idleBytesByKind;
        report["platform_reads"] = countCalls(statsAfter, true) - countCalls(statsBefore, true);
        report["platform_writes"] = countCalls(statsAfter, false) - countCalls(statsBefore, false);
        report["waiting_watches"] = statsAfter.contains("watches") ? statsAfter["watches"] : json();
        report["platform_peak_reads_per_second"] = statsAfter.value("highest_reads_per_s", 0);
        report["platform_peak_writes_per_second"] = statsAfter.value("highest_writes_per_s", 0);
        return report;
    }

    /// Read or write calls that the platform stand-in counted.
    static std::int64_t countCalls(const json &stats, bool reads)
    {
        std::int64_t total = 0;
        if (!stats.is_object() || !stats.contains("calls")) {
            return 0;
        }
        for (const auto &[operation, outcomes] : stats["calls"].items()) {
            const bool isRead = operation == "get" || operation == "list" || operation == "watch";
            if (isRead != reads) {
                continue;
            }
            for (const auto &[outcome, count] : outcomes.items()) {
                total += count.get<std::int64_t>();
            }
        }
        return total;
    }

    void addViolation(std::string text)
    {
        if (std::find(m_violations.begin(), m_violations.end(), text) == m_violations.end()) {
            m_violations.push_back(std::move(text));
        }
    }

    Options m_options;
    std::vector<FleetHost> m_hosts;
    FleetClient m_client;
    Metrics m_metrics;
    HttpStore m_store;
    SystemRandom m_random;
    std::map<std::string, double> m_idleBytesByKind;
    Version m_headVersion = 0;
    int m_refusedSubmissions = 0;
    std::map<Version, std::int64_t> m_acceptedMs; ///< wall-clock time of each acceptance
    std::map<std::string, Version> m_highestVersions;
    std::vector<FaultWindow> m_faultWindows;
    std::vector<std::int64_t> m_convergenceMs;
    std::vector<std::string> m_violations;
};

} // namespace

int benchFleet(int argc, char **argv)
{
    Options options;
    SettingsSchema schema("fulmarledge-bench fleet");
    schema.addText("hosts-file", "file with lines of HOST ZONE ADDRESS SERVICE", std::nullopt, options.hostsFile);
    schema.addText("pids-dir",
                   "folder with HOST.pid files, in which the file changes-begun is created when the changes begin",
                   std::nullopt, options.pidsDir);
    schema.addText("faults-file", "file with lines of HOST BEGIN_MS END_MS", "", options.faultsFile);
    schema.addAddress("platform", "IP:PORT of the platform stand-in", std::nullopt, options.platform);
    schema.addInteger("changes", "manifests to submit", "20", 1, 250, options.changes);
    schema.addDuration("interval", "time between changes", "1s", 10, 600000, options.intervalMs);
    schema.addDuration("idle", "duration of the measurement without changes", "10s", 0, 600000, options.idleMs);
    schema.addDuration("churn", "time between drains of backend servers, or 0ms for none", "0ms", 0, 600000,
                       options.churnMs);
    LastReason error;
    switch (schema.read(std::span<const char *const>(argv, static_cast<std::size_t>(argc)), error)) {
    case SettingsSchema::Outcome::Help:
        std::cout << schema.help();
        return 0;
    case SettingsSchema::Outcome::ShowVersion:
        std::cout << "fulmarledge-bench " FULMARLEDGE_VERSION "\n";
        return 0;
    case SettingsSchema::Outcome::Invalid:
        std::cerr << "fulmarledge-bench fleet: " << error.text() << "\n";
        return 2;
    case SettingsSchema::Outcome::CheckOnly:
        return 0;
    case SettingsSchema::Outcome::Run:
        break;
    }
    FleetBench bench(options);
    const json report = bench.run();
    std::cout << report.dump(2) << "\n";
    return report["invariant_violations"] == 0 ? 0 : 1;
}

} // namespace fulmarledge
