#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "fulmarledge/ports.h"
#include "fulmarledge/types.h"

namespace fulmarledge {

/// Starts logging to standard output. A separate thread writes the lines. While `kLogQueueLines` lines are queued,
/// further lines are dropped and counted.
/// @param level name of a log4cplus level, in any case
void startLogging(std::string_view level);

/// @param level name of a log4cplus level, in any case
void setLogLevel(std::string_view level);

/// Writes the queued lines and ends the writer thread. Drops the rest if standard output is not writable for 200 ms.
void stopLogging();

constexpr std::size_t kLogQueueLines = 4096;
constexpr std::size_t kMaxLogDetailBytes = 1000;

/// Text from outside as part of a log line: in UTF-8, without control characters and at most `kMaxLogDetailBytes` long.
/// Each byte that does not fit is replaced by a question mark.
std::string loggable(std::string_view text);

/// Log of state changes. Each line names the host and its data centre.
std::unique_ptr<EventLog> makeEventLog(std::string host, std::string zone);

/// Rate-limited log of the outcome of single requests. Thread-safe.
class DecisionLog
{
public:
    /// Limit for requests that were refused, retried or failed. With lines of 300 bytes, this is 60 KB/s.
    static constexpr std::uint32_t kMaxLinesPerSecond = 200;
    /// One in this many answered requests is logged.
    static constexpr std::uint32_t kAnsweredSampleInterval = 64;

    /// Takes one line from the limit of the current second. Returns false if it is used up. The first call in a second
    /// logs how many lines were dropped before, if any.
    bool admitFailure(TimeMs now);
    /// Counts an answered request. Returns whether it is to be logged.
    bool sampleAnswered();
    /// Writes "event=decision" followed by `detail`.
    void write(std::string_view detail);

private:
    std::atomic<std::int64_t> m_currentSecond{-1};
    std::atomic<std::uint32_t> m_linesThisSecond{0};
    std::atomic<std::uint32_t> m_droppedLines{0};
    std::atomic<std::uint32_t> m_answeredCount{0};
};

} // namespace fulmarledge
