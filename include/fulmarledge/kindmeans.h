#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace fulmarledge {

/// Means of a measure by kind of work, such as the service time in ms, for a bounded number of kinds.
class KindMeans
{
public:
    /// Mean of the kind, or 0 before its first sample.
    double mean(std::uint64_t kind) const;
    /// @param whole false when the work was cut, so that its sample is only a lower bound
    void add(std::uint64_t kind, double sample, bool whole, double weight);
    void clear();

private:
    /// Kinds of work at one backend server: the routes that lead to its service. Routes that are hardly used replace
    /// each other.
    static constexpr std::size_t kKinds = 32;

    struct Entry {
        std::uint64_t kind = 0;
        double mean = 0;
        std::uint64_t usedAt = 0;
    };

    std::array<Entry, kKinds> m_entries{};
    std::uint64_t m_uses = 0;
};

} // namespace fulmarledge
