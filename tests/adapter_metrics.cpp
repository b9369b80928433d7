#include <catch2/catch.hpp>

#include "metrics.h"

using namespace fulmarledge;

// Guards against a kind of request without a counter, which ended the process.
TEST_CASE("requests of every kind and verdict are measured")
{
    Metrics metrics("n0", "a");
    for (std::size_t kind = 0; kind < static_cast<std::size_t>(RequestKind::Count); ++kind) {
        for (const Verdict verdict : {Verdict::NotRun, Verdict::MayHaveRun, Verdict::Answered}) {
            metrics.observeRequest(static_cast<RequestKind>(kind), verdict, 7);
        }
    }
    const std::string text = metrics.toText();
    for (const char *kind : {"by-method", "safe", "unsafe", "download", "upload"}) {
        INFO(kind);
        CHECK(text.find("kind=\"" + std::string(kind) + "\"") != std::string::npos);
    }
}
