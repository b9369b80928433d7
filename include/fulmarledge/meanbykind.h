#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace fulmarledge {

/// Exponential moving means of a quantity, such as the service time in ms, for a bounded number of kinds of work.
class MeanByKind
{
public:
    /// Mean of the kind, or 0 before its first sample.
    double mean(std::uint64_t kind) const;
    /// @param exact false when the work ended early, so that its sample is only a lower bound
    /// @param weight weight of the sample in the mean, 0 to 1
    void add(std::uint64_t kind, double sample, bool exact, double weight);
    void clear();

private:
    /// The kinds of work at one backend server are the routes that lead to its service. If there are more, a new kind
    /// replaces the one whose last sample is the oldest, so rarely used routes replace each other.
    static constexpr std::size_t kMaxKinds = 32;

    struct Entry {
        std::uint64_t kind = 0;
        double mean = 0;
        std::uint64_t lastSample = 0; ///< number of the last sample, 0 for an unused entry
    };

    std::array<Entry, kMaxKinds> m_entries{};
    std::uint64_t m_sampleCount = 0;
};

} // namespace fulmarledge
