#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace fulmarledge {

/// Writes lines to a descriptor from a thread of its own, so that a reader that stalls holds up nobody else.
class LineWriter
{
public:
    LineWriter(int fd, std::size_t maxLines);
    ~LineWriter();
    LineWriter(const LineWriter &) = delete;
    LineWriter &operator=(const LineWriter &) = delete;

    /// Queues a line with its end, or counts it as left out. Never waits for the descriptor.
    void add(std::string line);
    /// Lines left out so far.
    std::uint64_t leftOut();

private:
    void run();
    bool write(const std::string &text);

    const int m_fd;
    const std::size_t m_maxLines;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::string> m_lines;
    std::uint64_t m_leftOut = 0;
    std::uint64_t m_reported = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace fulmarledge
