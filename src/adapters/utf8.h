#pragma once

#include <cstddef>
#include <string_view>

namespace fulmarledge {

/// Bytes of the character with which `text` begins, 0 if it begins with none in UTF-8 or is empty.
std::size_t utf8CharacterBytes(std::string_view text);

/// Whether all of `text` is UTF-8.
bool isUtf8(std::string_view text);

} // namespace fulmarledge
