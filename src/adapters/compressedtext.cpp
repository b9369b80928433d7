#include "compressedtext.h"

#include <zstd.h>

namespace fulmarledge {

namespace {

/// Compression level of Zstandard. Records and manifests repeat a few field names, so the fastest level suffices.
constexpr int kLevel = 1;

} // namespace

std::string compressText(std::string_view text)
{
    std::string packed(ZSTD_compressBound(text.size()), '\0');
    const std::size_t size = ZSTD_compress(packed.data(), packed.size(), text.data(), text.size(), kLevel);
    // With a buffer of this size, only a lack of memory can make it fail. `decompressText` refuses the empty result.
    packed.resize(ZSTD_isError(size) != 0U ? 0 : size);
    return packed;
}

std::optional<std::string> decompressText(std::string_view packed, std::size_t maxBytes)
{
    const unsigned long long textBytes = ZSTD_getFrameContentSize(packed.data(), packed.size());
    // ZSTD_CONTENTSIZE_UNKNOWN and ZSTD_CONTENTSIZE_ERROR are greater than any size.
    if (textBytes > maxBytes) {
        return std::nullopt;
    }
    std::string text(static_cast<std::size_t>(textBytes), '\0');
    const std::size_t size = ZSTD_decompress(text.data(), text.size(), packed.data(), packed.size());
    if (ZSTD_isError(size) != 0U || size != text.size()) {
        return std::nullopt;
    }
    return text;
}

} // namespace fulmarledge
