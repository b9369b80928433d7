#include <catch2/catch.hpp>
#include <chrono>
#include <fcntl.h>
#include <string>
#include <unistd.h>

#include "linewriter_p.h"
#include "log.h"

using namespace fulmarledge;

// Guards against requests that block on a log whose reader has stalled.
TEST_CASE("logging does not block on a stalled reader, and dropped lines are counted")
{
    int ends[2];
    REQUIRE(::pipe2(ends, O_CLOEXEC) == 0);
    constexpr std::size_t kMaxLines = 100;
    constexpr int kLines = 100000;
    const auto begin = std::chrono::steady_clock::now();
    {
        LineWriter writer(ends[1], kMaxLines);
        for (int i = 0; i < kLines; ++i) {
            writer.add(std::string(200, 'x') + "\n");
        }
        // The pipe holds 64 KiB and the queue 100 lines. The writer may hold one more batch.
        CHECK(writer.leftOut() > kLines - 2000);
    }
    const auto took = std::chrono::steady_clock::now() - begin;
    CHECK(took < std::chrono::seconds(5));
    ::close(ends[0]);
    ::close(ends[1]);
}

// Guards against a log that grows without limit with the number of failures.
TEST_CASE("failures are logged up to a rate, and answered requests are sampled")
{
    DecisionLog decisions;
    std::uint32_t taken = 0;
    for (int i = 0; i < 10000; ++i) {
        taken += decisions.takeFailure(5000) ? 1 : 0;
    }
    CHECK(taken == DecisionLog::kLinesPerSecond);
    CHECK(decisions.takeFailure(6000));
    int answered = 0;
    for (std::uint32_t i = 0; i < 10 * DecisionLog::kAnsweredSample; ++i) {
        answered += decisions.takeAnswered() ? 1 : 0;
    }
    CHECK(answered == 10);
}
