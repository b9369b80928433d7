#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fulmarledge/types.h"

namespace fulmarledge {

struct BenchSettings {
    std::string mode = "load"; ///< "load" or "latency"
    std::string name; ///< of the case, for the report
    std::vector<SocketAddress> targets; ///< load: where requests are sent, in turn
    std::vector<std::string> labels; ///< latency: names of the targets; the first is the baseline
    std::vector<SocketAddress> backends; ///< their records of executions are read at the end
    std::string path = "/bench";
    int threads = 1;
    double seconds = 5;
    int count = 1000; ///< latency: calls per thread and target
    std::size_t size = 0; ///< payload of each answer
    std::size_t bodyBytes = 0; ///< of each request that has a body
    std::int64_t timeoutMs = 10000;
    int postPercent = 0;
    int keyedPercent = 0; ///< POST with an idempotency key, sent again after an uncertain outcome
    double rate = 0; ///< requests per second of all callers, or 0 for one after another
    std::int64_t thinkMs = 0; ///< pause of a thread between two requests
};

/// What the caller was told about one request.
struct BenchOutcome {
    std::string id;
    bool once = false; ///< must run at most once
    bool notRun = false; ///< told "not run"
    bool answered = false;
};

struct BenchTotals {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t answeredInTime = 0; ///< within the request's own deadline
    std::uint64_t notRun = 0;
    std::uint64_t mayHaveRun = 0;
    std::uint64_t lost = 0; ///< no whole response; "may have run" from the caller's view
    std::uint64_t wrongAnswers = 0; ///< short, or another request's
    std::map<std::string, std::uint64_t> reasons;
    std::map<int, std::uint64_t> statuses;
    std::vector<double> answeredMs;
    std::vector<BenchOutcome> outcomes;
};

/// Sends requests from `threads` threads for `seconds`.
BenchTotals runLoad(const BenchSettings &settings);

/// Calls each target in turn, so that all see the same conditions. @return milliseconds by target
std::vector<std::vector<double>> runLatency(const BenchSettings &settings);

/// Quantile of a sorted sample, or 0 without one.
double quantile(const std::vector<double> &sorted, double q);

} // namespace fulmarledge
