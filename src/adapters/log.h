#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "fulmarledge/ports.h"
#include "fulmarledge/types.h"

namespace fulmarledge {

/// Starts logging to standard output. Lines are written by a thread of their own; when it falls behind by more than
/// `kLogQueueLines`, further lines are left out and counted.
void startLogging(std::string_view level);

/// Writes what is still queued, for at most a short time, and ends the writer.
void stopLogging();

constexpr std::size_t kLogQueueLines = 4096;

std::unique_ptr<EventLog> makeEventLog(std::string host, std::string zone);

/// Lines about single requests, up to a rate. Thread-safe.
class DecisionLog
{
public:
    /// Lines per second about requests that were refused, repeated or failed. At 300 bytes a line, 60 KB/s.
    static constexpr std::uint32_t kLinesPerSecond = 200;
    /// One of this many answered requests is logged.
    static constexpr std::uint32_t kAnsweredSample = 64;

    /// Whether a line about a failure may be written now. The first line of a second reports what was left out before.
    bool takeFailure(TimeMs now);
    /// Whether an answered request is in the sample.
    bool takeAnswered();
    /// Writes "event=decision" with `detail`.
    void write(std::string_view detail);

private:
    std::atomic<std::int64_t> m_second{-1};
    std::atomic<std::uint32_t> m_lines{0};
    std::atomic<std::uint32_t> m_leftOut{0};
    std::atomic<std::uint32_t> m_answered{0};
};

} // namespace fulmarledge
