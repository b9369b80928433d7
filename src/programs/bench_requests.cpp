#include <boost/program_options.hpp>
#include <charconv>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "bench_client_p.h"
#include "bench_load_p.h"
#include "bench_p.h"

namespace options = boost::program_options;

namespace fulmarledge {

namespace {

using Json = nlohmann::json;

constexpr int kExitViolation = 1;
constexpr int kExitUsage = 2;
constexpr std::size_t kMaxReportedIds = 5;

std::vector<std::string> splitList(const std::string &list)
{
    std::vector<std::string> items;
    std::istringstream stream(list);
    for (std::string item; std::getline(stream, item, ',');) {
        items.push_back(item);
    }
    return items;
}

std::vector<SocketAddress> parseAddresses(const std::string &list)
{
    std::vector<SocketAddress> result;
    for (const std::string &item : splitList(list)) {
        const std::size_t colon = item.rfind(':');
        if (colon == std::string::npos) {
            throw options::error("address \"" + item + "\" is not IP:PORT");
        }
        result.push_back({item.substr(0, colon), static_cast<std::uint16_t>(std::stoi(item.substr(colon + 1)))});
    }
    return result;
}

Json quantiles(const std::vector<double> &sorted)
{
    return {{"samples", sorted.size()},
            {"p50_ms", quantile(sorted, 0.5)},
            {"p90_ms", quantile(sorted, 0.9)},
            {"p99_ms", quantile(sorted, 0.99)},
            {"max_ms", sorted.empty() ? 0 : sorted.back()}};
}

Json latencyReport(const BenchSettings &settings)
{
    const std::vector<std::vector<double>> samples = runLatency(settings);
    Json report;
    for (std::size_t i = 0; i < samples.size(); ++i) {
        Json entry = quantiles(samples[i]);
        entry["failed"] = static_cast<std::size_t>(settings.callsPerTarget) * static_cast<std::size_t>(settings.threads)
            - samples[i].size();
        if (i > 0) {
            entry["added_p50_ms"] = quantile(samples[i], 0.5) - quantile(samples[0], 0.5);
            entry["added_p99_ms"] = quantile(samples[i], 0.99) - quantile(samples[0], 0.99);
        }
        report[settings.labels[i]] = entry;
    }
    return report;
}

/// Executions that the backend servers recorded, summed over all of them.
struct Executions {
    std::map<std::string, std::uint64_t> countById;
    std::uint64_t total = 0;
    std::vector<std::int64_t> peakHeld; ///< most requests held at once, by backend server
    int unreadableRecords = 0; ///< backend servers whose records could not be read
};

Executions readExecutions(const std::vector<SocketAddress> &backends)
{
    Executions result;
    for (const SocketAddress &backend : backends) {
        BenchClient client(backend);
        BenchRequest request;
        request.method = "GET";
        request.target = "/standin/executions";
        const std::optional<BenchResponse> response = client.call(request);
        if (!response || response->status != 200) {
            ++result.unreadableRecords;
            continue;
        }
        const Json record = Json::parse(response->body);
        for (const auto &[id, count] : record.at("executions").items()) {
            result.countById[id] += count.get<std::uint64_t>();
        }
        result.total += record.at("executed").get<std::uint64_t>();
        result.peakHeld.push_back(record.at("peak_held"));
    }
    return result;
}

/// Requests that ran more often than the caller was promised.
struct Violations {
    std::uint64_t ranTwice = 0;
    std::uint64_t ranAfterNotRun = 0;
    std::vector<std::string> ids; ///< of the first few requests
};

Violations findViolations(const BenchTotals &totals, const Executions &executions)
{
    Violations violations;
    for (const BenchOutcome &outcome : totals.outcomes) {
        const auto found = executions.countById.find(outcome.requestId);
        const std::uint64_t count = found == executions.countById.end() ? 0 : found->second;
        const bool twice = outcome.atMostOnce && count > 1;
        const bool afterNotRun = outcome.reportedNotRun && count > 0;
        violations.ranTwice += twice ? 1 : 0;
        violations.ranAfterNotRun += afterNotRun ? 1 : 0;
        if ((twice || afterNotRun) && violations.ids.size() < kMaxReportedIds) {
            violations.ids.push_back(outcome.requestId);
        }
    }
    return violations;
}

Json loadReport(const BenchSettings &settings, bool &violated)
{
    const BenchTotals totals = runLoad(settings);
    const Executions executions = readExecutions(settings.backends);
    const Violations violations = findViolations(totals, executions);
    violated = violations.ranTwice + violations.ranAfterNotRun + totals.wrongAnswers > 0;
    Json reasons(totals.reasons);
    Json statuses = Json::object();
    for (const auto &[status, count] : totals.statuses) {
        statuses[std::to_string(status)] = count;
    }
    return {{"requests", totals.requests},
            {"answered", totals.answered},
            {"answered_in_time", totals.answeredInTime},
            {"in_time_per_s", static_cast<double>(totals.answeredInTime) / settings.seconds},
            {"answered_per_s", static_cast<double>(totals.answered) / settings.seconds},
            {"not_run", totals.notRun},
            {"may_have_run", totals.mayHaveRun},
            {"lost", totals.lost},
            {"reasons", reasons},
            {"statuses", statuses},
            {"latency", quantiles(totals.answeredMs)},
            {"executed", executions.total},
            {"peak_held", executions.peakHeld},
            {"records_unreadable", executions.unreadableRecords},
            {"violations",
             {{"ran_twice", violations.ranTwice},
              {"ran_after_not_run", violations.ranAfterNotRun},
              {"wrong_answers", totals.wrongAnswers},
              {"ids", violations.ids}}}};
}

/// Comma-separated lists of the command line.
struct ListOptions {
    std::string targets;
    std::string labels;
    std::string backends;
};

options::options_description describeOptions(BenchSettings &settings, ListOptions &lists)
{
    options::options_description all("Options of fulmarledge-bench requests");
    auto add = all.add_options();
    add("help", "print this text");
    add("mode", options::value(&settings.mode)->default_value(settings.mode), "\"load\" or \"latency\"");
    add("name", options::value(&settings.name), "name of the case in the report");
    add("targets", options::value(&lists.targets)->required(), "IP:PORT,... to send requests to, in turn");
    add("labels", options::value(&lists.labels),
        "names of the targets in latency mode, the first of which is the baseline");
    add("backends", options::value(&lists.backends), "IP:PORT,... of backend stand-ins whose records are checked");
    add("path", options::value(&settings.path)->default_value(settings.path), "path of each request");
    add("threads", options::value(&settings.threads)->default_value(settings.threads), "callers, one connection each");
    add("seconds", options::value(&settings.seconds)->default_value(settings.seconds), "duration in load mode");
    add("count", options::value(&settings.callsPerTarget)->default_value(settings.callsPerTarget),
        "calls per caller in latency mode");
    add("size", options::value(&settings.payloadBytes)->default_value(0), "payload of each answer, in bytes");
    add("body", options::value(&settings.bodyBytes)->default_value(0), "body of each POST, in bytes");
    add("timeout-ms", options::value(&settings.timeoutMs)->default_value(settings.timeoutMs), "deadline of a request");
    add("post-percent", options::value(&settings.postPercent)->default_value(0), "share of POST without a key");
    add("keyed-percent", options::value(&settings.keyedPercent)->default_value(0), "share of POST with a key");
    add("rate", options::value(&settings.requestsPerSecond)->default_value(0),
        "requests per second of all callers together, or 0 to send each after the previous one");
    add("think-ms", options::value(&settings.thinkMs)->default_value(0), "pause between a caller's requests");
    return all;
}

} // namespace

int benchRequests(int argc, char **argv)
{
    BenchSettings settings;
    ListOptions lists;
    const options::options_description all = describeOptions(settings, lists);
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, all), values);
        if (values.count("help") > 0) {
            std::cout << all;
            return 0;
        }
        options::notify(values);
        settings.targets = parseAddresses(lists.targets);
        settings.backends = parseAddresses(lists.backends);
        settings.labels = splitList(lists.labels);
        if (settings.mode == "latency" && settings.labels.size() != settings.targets.size()) {
            throw options::error("latency mode needs one label per target");
        }
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n" << all;
        return kExitUsage;
    }
    bool violated = false;
    const Json report = settings.mode == "latency" ? latencyReport(settings) : loadReport(settings, violated);
    std::cout << Json{{"case", settings.name}, {"threads", settings.threads}, {"result", report}}.dump(1) << "\n";
    return violated ? kExitViolation : 0;
}

} // namespace fulmarledge
