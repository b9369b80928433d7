#pragma once

#include <cstdint>

namespace fulmarledge {

constexpr unsigned kUsedShift = 32;
constexpr unsigned kBitsPerWord = 64;

/// Credit left, of QuotaSlot::credit.
inline std::uint32_t tokensOf(std::uint64_t credit)
{
    return static_cast<std::uint32_t>(credit);
}

/// Credit used since the start, of QuotaSlot::credit.
inline std::uint32_t usedOf(std::uint64_t credit)
{
    return static_cast<std::uint32_t>(credit >> kUsedShift);
}

} // namespace fulmarledge
