#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>

#include "fulmarledge/types.h"

namespace fulmarledge {

/// Response times are counted in buckets whose limits grow by a quarter of a doubling, from 1 ms to 64 s.
constexpr std::size_t kResponseTimeBuckets = 64;
constexpr int kBucketsPerDoubling = 4;

/// Bucket of a response time in ms.
std::size_t responseTimeBucket(TimeMs timeMs);
/// Lower limit of a bucket in ms.
double responseTimeOf(std::size_t bucket);

/// Requests of one kind that a backend server has finished.
struct KindOutcomes {
    std::int64_t answers = 0; ///< all that ended, failures included
    std::int64_t failures = 0;
    std::array<std::int64_t, kResponseTimeBuckets> times{}; ///< timed answers by bucket; failures are not timed

    KindOutcomes &operator+=(const KindOutcomes &other);
    KindOutcomes &operator-=(const KindOutcomes &other);
};

/// Requests of one backend server.
struct ServerOutcomes {
    std::int64_t sent = 0; ///< requests sent to the backend server
    std::map<std::int64_t, KindOutcomes> kinds; ///< by hash of the route

    ServerOutcomes &operator-=(const ServerOutcomes &other);
};

/// Counts the outcomes of the requests at the backend server of this host. Used by all threads of requests without a
/// lock or an allocation.
class OutcomeCounters
{
public:
    /// Outcome of a request that was sent to the backend server.
    enum class Outcome : std::uint8_t { Answered, Failed };

    void countSent()
    {
        m_sent.fetch_add(1, std::memory_order_relaxed);
    }
    /// @param isTimed whether the time says something about the version; not while the backend server warms up
    void countEnd(std::int64_t kind, Outcome outcome, TimeMs timeMs, bool isTimed);
    ServerOutcomes total() const;

private:
    /// Kinds counted by themselves. Those above are counted together, under the kind 0.
    static constexpr std::size_t kMaxKinds = 64;

    struct Counter {
        std::atomic<std::int64_t> kind{0};
        std::atomic<std::int64_t> answers{0};
        std::atomic<std::int64_t> failures{0};
        std::array<std::atomic<std::int32_t>, kResponseTimeBuckets> times{};
    };

    Counter &counterOf(std::int64_t kind);

    std::atomic<std::int64_t> m_sent{0};
    std::array<Counter, kMaxKinds + 1> m_counters; ///< the first is that of kind 0
};

} // namespace fulmarledge
