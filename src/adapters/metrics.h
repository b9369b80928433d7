#pragma once

#include <array>
#include <memory>
#include <string>

#include "fulmarledge/manifest.h"
#include "fulmarledge/ports.h"
#include "fulmarledge/verdict.h"

namespace fulmarledge {

/// Part of a request's processing whose duration is measured.
enum class RequestLeg : std::uint8_t {
    Attempt, ///< on the entry node, from the dispatch of one attempt to its outcome
    Guard, ///< on the backend server's node, from the request's arrival over the hop to its response
};

/// Prometheus metrics of a node. All functions are thread-safe.
class Metrics : public MetricsSink
{
public:
    Metrics(std::string host, std::string zone);
    ~Metrics() override;

    void count(std::string_view name, std::string_view label, double amount) override;
    void gauge(std::string_view name, std::string_view label, double value) override;
    void observe(std::string_view name, double value) override;

    /// Counts a request that was refused or has failed, by reason. Takes no lock.
    void countRefusal(Reason reason);
    /// Counts a retry of a request by its reason. Takes no lock.
    void countRetry(Reason reason);
    /// Counts a finished request by its verdict. Takes no lock.
    void countVerdict(Verdict verdict);

    /// Records the time from a request's arrival to its response, by kind and verdict.
    void observeRequest(RequestKind kind, Verdict verdict, TimeMs duration);
    /// Records the duration of one leg of a request. Takes no lock.
    void observeLeg(RequestLeg leg, TimeMs duration);

    /// Returns all metrics in the Prometheus text format.
    std::string toText() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace fulmarledge
