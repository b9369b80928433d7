#include "fulmarledge/versionsplit.h"

#include <algorithm>

namespace fulmarledge {

namespace {

/// 2^64 divided by the golden ratio. Its multiples modulo 2^64 are a low-discrepancy sequence, in which any run of
/// consecutive terms is spread evenly over the whole range.
constexpr std::uint64_t kGoldenStep = 0x9e3779b97f4a7c15U;
constexpr std::uint64_t kMillion = 1000000;
constexpr auto kRelaxed = std::memory_order_relaxed;

} // namespace

void VersionSplit::set(std::uint32_t shareMillionths, std::uint32_t servers, std::uint32_t pulse, TimeMs validUntil)
{
    const std::uint64_t share = std::min<std::uint64_t>(shareMillionths, kMillion);
    m_threshold.store(static_cast<std::uint32_t>(share * 0xffffffffU / kMillion), kRelaxed);
    m_servers.store(std::max(servers, 1U), kRelaxed);
    m_pulse.store(pulse, kRelaxed);
    m_validUntil.store(validUntil, kRelaxed);
}

void VersionSplit::stop()
{
    m_threshold.store(0, kRelaxed);
}

bool VersionSplit::pickTarget(TimeMs now) const
{
    const std::uint32_t threshold = m_threshold.load(kRelaxed);
    if (threshold == 0 || now > m_validUntil.load(kRelaxed)) {
        return false;
    }
    const std::uint64_t position = m_next.fetch_add(1, kRelaxed) * kGoldenStep;
    return static_cast<std::uint32_t>(position >> 32U) < threshold;
}

} // namespace fulmarledge
