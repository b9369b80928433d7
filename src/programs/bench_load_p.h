#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fulmarledge/types.h"

namespace fulmarledge {

/// Options of one benchmark case.
struct BenchSettings {
    std::string mode = "load"; ///< "load" or "latency"
    std::string name; ///< name of the case in the report
    std::vector<SocketAddress> targets; ///< where requests are sent, in turn
    std::vector<std::string> labels; ///< latency: name of each target, the first of which is the baseline
    std::vector<SocketAddress> backends; ///< load: backend stand-ins whose execution records are checked
    std::string path = "/bench";
    int threads = 1; ///< one caller each
    double seconds = 5; ///< load: duration
    int callsPerTarget = 1000; ///< latency: calls per thread and target
    std::size_t payloadBytes = 0; ///< payload of each answer, in bytes
    std::size_t bodyBytes = 0; ///< body of each POST
    std::int64_t timeoutMs = 10000;
    int postPercent = 0; ///< share of POSTs without an idempotency key
    int keyedPercent = 0; ///< share of POSTs with an idempotency key, repeated once after an uncertain outcome
    double requestsPerSecond = 0; ///< of all callers together, or 0 to send each after the previous one
    std::int64_t thinkMs = 0; ///< pause of a caller between two requests
};

/// Outcome of one request as reported to the caller.
struct BenchOutcome {
    std::string requestId;
    bool atMostOnce = false; ///< the request must run at most once
    bool reportedNotRun = false; ///< the caller was told that the request did not run
    bool answered = false;
};

/// Counts over all requests.
struct BenchTotals {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t answeredInTime = 0; ///< within the request's own deadline
    std::uint64_t notRun = 0;
    std::uint64_t mayHaveRun = 0;
    std::uint64_t lost = 0; ///< sent without a whole response, so that they may have run
    std::uint64_t wrongAnswers = 0; ///< status other than 200, a truncated body or the body of another request
    std::map<std::string, std::uint64_t> reasons; ///< by "VERDICT:REASON"
    std::map<int, std::uint64_t> statuses;
    std::vector<double> answeredMs;
    std::vector<BenchOutcome> outcomes;
};

/// Sends requests from `threads` threads for `seconds`. The times of the result are sorted.
BenchTotals runLoad(const BenchSettings &settings);

/// Calls the targets in turn, so that all see the same conditions.
/// @return sorted times in milliseconds, by target
std::vector<std::vector<double>> runLatency(const BenchSettings &settings);

/// Quantile `q`, from 0 to 1, of a sorted sample. 0 for an empty sample.
double quantile(const std::vector<double> &sorted, double q);

} // namespace fulmarledge
