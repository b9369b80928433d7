#include "linewriter_p.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <climits>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace fulmarledge {

namespace {

/// Lines of this period are written together, because waking the thread for each line would cost more than writing it.
constexpr std::chrono::milliseconds kBatchDelay{100};
/// Interval at which the thread checks whether it should end while the descriptor is not writable.
constexpr int kPollIntervalMs = 200;
constexpr std::size_t kMaxBatchBytes = 64 * 1024;

} // namespace

LineWriter::LineWriter(int fd, std::size_t maxLines)
    : m_fd(fd)
    , m_maxLines(maxLines)
    , m_thread([this] { run(); })
{
}

LineWriter::~LineWriter()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_one();
    m_thread.join();
}

void LineWriter::enqueue(std::string line)
{
    const std::lock_guard lock(m_mutex);
    if (m_lines.size() >= m_maxLines) {
        ++m_droppedLines;
        return;
    }
    m_lines.push_back(std::move(line));
    if (m_lines.size() == 1) {
        m_wake.notify_one();
    }
}

std::uint64_t LineWriter::droppedLines()
{
    const std::lock_guard lock(m_mutex);
    return m_droppedLines;
}

void LineWriter::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_wake.wait(lock, [this] { return m_stopping || !m_lines.empty(); });
        if (!m_stopping) {
            m_wake.wait_for(lock, kBatchDelay, [this] { return m_stopping; });
        }
        std::string batch;
        if (m_droppedLines > m_reportedDrops) {
            batch = "event=log-lines-left-out count=" + std::to_string(m_droppedLines - m_reportedDrops) + "\n";
            m_reportedDrops = m_droppedLines;
        }
        while (!m_lines.empty() && batch.size() < kMaxBatchBytes) {
            batch += m_lines.front();
            m_lines.pop_front();
        }
        if (batch.empty() && m_stopping) {
            return;
        }
        lock.unlock();
        const bool written = write(batch);
        lock.lock();
        if (!written) {
            return;
        }
    }
}

bool LineWriter::write(const std::string &text)
{
    std::size_t writtenBytes = 0;
    while (writtenBytes < text.size()) {
        // O_NONBLOCK would also apply to other processes that share the descriptor. Instead, poll() is followed by a
        // write of at most PIPE_BUF bytes.
        pollfd entry{m_fd, POLLOUT, 0};
        if (::poll(&entry, 1, kPollIntervalMs) <= 0) {
            const std::lock_guard lock(m_mutex);
            if (m_stopping) {
                return false;
            }
            continue;
        }
        const ssize_t sent
            = ::write(m_fd, text.data() + writtenBytes, std::min<std::size_t>(text.size() - writtenBytes, PIPE_BUF));
        if (sent < 0 && errno != EINTR && errno != EAGAIN) {
            return false;
        }
        writtenBytes += sent > 0 ? static_cast<std::size_t>(sent) : 0;
    }
    return true;
}

} // namespace fulmarledge
