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
    int pipeEnds[2];
    REQUIRE(::pipe2(pipeEnds, O_CLOEXEC) == 0);
    constexpr std::size_t kMaxLines = 100;
    constexpr int kLines = 100000;
    const auto begin = std::chrono::steady_clock::now();
    {
        LineWriter writer(pipeEnds[1], kMaxLines);
        for (int i = 0; i < kLines; ++i) {
            writer.enqueue(std::string(200, 'x') + "\n");
        }
        // The pipe holds 64 KiB and the queue 100 lines. The writer may hold one more batch.
        CHECK(writer.droppedLines() > kLines - 2000);
    }
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    CHECK(elapsed < std::chrono::seconds(5));
    ::close(pipeEnds[0]);
    ::close(pipeEnds[1]);
}

// Guards against a log that grows without limit with the number of failures.
TEST_CASE("failures are logged up to a rate, and answered requests are sampled")
{
    DecisionLog decisions;
    std::uint32_t loggedFailures = 0;
    for (int i = 0; i < 10000; ++i) {
        loggedFailures += decisions.admitFailure(5000) ? 1 : 0;
    }
    CHECK(loggedFailures == DecisionLog::kMaxLinesPerSecond);
    CHECK(decisions.admitFailure(6000));
    int sampled = 0;
    for (std::uint32_t i = 0; i < 10 * DecisionLog::kAnsweredSampleInterval; ++i) {
        sampled += decisions.sampleAnswered() ? 1 : 0;
    }
    CHECK(sampled == 10);
}

// Guards against a damaged settings file, or a name of another writer, that breaks or floods the log.
TEST_CASE("text from outside takes one line of bounded length")
{
    CHECK(loggable("key=a\nevent=ready\r\x1b[2J\x7f") == "key=a?event=ready??[2J?");
    CHECK(loggable("caf\xc3\xa9 \"q\"") == "caf\xc3\xa9 \"q\"");
    CHECK(loggable(std::string(100000, 'x')).size() == kMaxLogDetailBytes);
    CHECK(loggable("id=\xff\xfe caf\xc3\xa9 \xe2\x82") == "id=?? caf\xc3\xa9 ??");
    // A character that the limit would cut is left out.
    CHECK(loggable(std::string(kMaxLogDetailBytes - 1, 'x') + "\xc3\xa9")
          == std::string(kMaxLogDetailBytes - 1, 'x') + "?");
}
