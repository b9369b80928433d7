#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarledge {

/// Compresses a text with Zstandard.
std::string compressText(std::string_view text);

/// Restores a text that was compressed by `compressText`.
/// @return nothing when `packed` is damaged or the text is longer than `maxBytes`
std::optional<std::string> decompressText(std::string_view packed, std::size_t maxBytes);

} // namespace fulmarledge
