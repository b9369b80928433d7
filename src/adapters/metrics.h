#pragma once

#include <array>
#include <memory>
#include <string>

#include "fulmarledge/manifest.h"
#include "fulmarledge/ports.h"
#include "fulmarledge/verdict.h"

namespace fulmarledge {

/// Part of a request's way.
enum class RequestLeg : std::uint8_t {
    Attempt, ///< at the entry node: from the dispatch of one attempt to its outcome
    Guard, ///< beside the backend server: from the arrival over the hop to the answer
};

/// Metrics kept by prometheus-cpp. All functions are thread-safe.
class Metrics : public MetricsSink
{
public:
    Metrics(std::string host, std::string zone);
    ~Metrics() override;

    void count(std::string_view name, std::string_view label, double amount) override;
    void gauge(std::string_view name, std::string_view label, double value) override;
    void observe(std::string_view name, double value) override;

    /// Counts a request refused to its caller. Takes no lock.
    void countRefusal(Reason reason);
    /// Counts a further attempt of a request. Takes no lock.
    void countRetry(Reason reason);
    /// Counts a finished request by its verdict. Takes no lock.
    void countVerdict(Verdict verdict);

    /// Counts the time from a request's arrival to its answer, by kind and verdict.
    void observeRequest(RequestKind kind, Verdict verdict, TimeMs took);
    /// Counts the time of one leg of a request. Takes no lock.
    void observeLeg(RequestLeg leg, TimeMs took);

    /// Metrics in the Prometheus text format.
    std::string toText() const;

private:
    struct Shared;
    std::unique_ptr<Shared> m_shared;
};

} // namespace fulmarledge
