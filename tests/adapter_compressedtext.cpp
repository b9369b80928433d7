#include <catch2/catch.hpp>

#include "compressedtext.h"

using namespace fulmarledge;

// Guards against a damaged frame from a peer that is accepted as a message, or makes the node allocate without a limit.
TEST_CASE("a compressed text is restored, damaged and oversized input is refused")
{
    std::string text;
    for (int i = 0; i < 2000; ++i) {
        text += R"({"host":"ikeja-bookings-)" + std::to_string(i) + R"(","service":"bookings"})";
    }
    const std::string packed = compressText(text);
    CHECK(packed.size() * 5 < text.size());
    CHECK(decompressText(packed, text.size()) == text);
    CHECK_FALSE(decompressText(packed, text.size() - 1));
    CHECK_FALSE(decompressText("", text.size()));
    CHECK_FALSE(decompressText(text, text.size()));
    for (std::size_t size = 0; size < packed.size(); size += 97) {
        CHECK_FALSE(decompressText(std::string_view(packed).substr(0, size), text.size()));
    }
    CHECK(decompressText(compressText(""), 0) == "");
}
