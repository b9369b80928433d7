#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace fulmarledge {

/// Writes lines to a descriptor on a thread of its own, so that a stalled reader does not block the threads that log.
class LineWriter
{
public:
    /// @param maxLines capacity of the queue
    LineWriter(int fd, std::size_t maxLines);
    /// Writes the queued lines and ends the thread. Gives up if the descriptor does not become writable.
    ~LineWriter();
    LineWriter(const LineWriter &) = delete;
    LineWriter &operator=(const LineWriter &) = delete;

    /// Queues a line, which must end with a newline. Drops and counts it if the queue is full. Never waits for the
    /// descriptor.
    void enqueue(std::string line);
    /// Number of lines dropped so far.
    std::uint64_t droppedLines();

private:
    void run();
    /// Returns false after a write error, or when the writer is to end and the descriptor is not writable.
    bool write(const std::string &text);

    const int m_fd;
    const std::size_t m_maxLines;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::string> m_lines;
    std::uint64_t m_droppedLines = 0;
    std::uint64_t m_reportedDrops = 0; ///< part of `m_droppedLines` that has been logged
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace fulmarledge
