#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace fulmarledge {

/// Mean service times in ms by kind of work, for a bounded number of kinds.
class ServiceTimes
{
public:
    /// Mean of the kind, or 0 before its first sample.
    double mean(std::uint64_t kind) const;
    /// @param whole false when the work was cut, so that its time is only a lower bound
    void add(std::uint64_t kind, double elapsedMs, bool whole, double weight);
    void clear();

private:
    /// Kinds of work at one backend server: the routes that lead to its service. Routes that are hardly used replace
    /// each other.
    static constexpr std::size_t kKinds = 32;

    struct Sample {
        std::uint64_t kind = 0;
        double meanMs = 0;
        std::uint64_t usedAt = 0;
    };

    std::array<Sample, kKinds> m_samples{};
    std::uint64_t m_uses = 0;
};

} // namespace fulmarledge
