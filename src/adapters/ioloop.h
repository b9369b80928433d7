#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "fulmarledge/types.h"

namespace fulmarledge {

/// Monotonic clock in milliseconds. Includes the time that the host is suspended.
TimeMs monotonicMs();

/// The same clock in microseconds.
std::int64_t monotonicUs();

/// Wall clock in milliseconds since 1970.
std::int64_t wallClockMs();

/// Identifies a timer of one `IoLoop`. 0 is invalid.
struct TimerId {
    std::uint64_t id = 0;
};

inline bool isValid(TimerId timer)
{
    return timer.id != 0;
}

/// Single-threaded event loop over epoll. Only `post` and `stop` may be called from other threads than that of `run`.
class IoLoop
{
public:
    using FdHandler = std::function<void(std::uint32_t events)>;
    using Task = std::function<void()>;

    IoLoop();
    ~IoLoop();
    IoLoop(const IoLoop &) = delete;
    IoLoop &operator=(const IoLoop &) = delete;

    /// Runs until `stop` is called. May then be called again.
    void run();
    /// Makes `run` return. Thread-safe.
    void stop();
    /// Runs `task` on the loop's thread. Thread-safe.
    void post(Task task);
    /// Time at which the loop last finished its events, or was created. It is renewed at least once a second.
    /// Thread-safe.
    TimeMs lastTurnMs() const
    {
        return m_lastTurnMs.load(std::memory_order_relaxed);
    }

    /// Calls `handler` with the epoll events of a descriptor.
    /// @param events epoll event mask
    void addFd(int fd, std::uint32_t events, FdHandler handler);
    void modifyFd(int fd, std::uint32_t events);
    void removeFd(int fd);

    /// Runs `task` once, after `delayMs`.
    TimerId runAfter(std::int64_t delayMs, Task task);
    /// Has no effect if the timer has expired or is invalid.
    void cancel(TimerId timer);

private:
    struct Timer {
        std::uint64_t id;
        Task task;
    };

    void runPosted();
    void runTimers();
    /// Milliseconds until the next timer expires, at most `kMaxWaitMs`.
    int pollTimeoutMs() const;
    void wake() const;

    int m_epollFd;
    int m_wakeFd;
    std::atomic<bool> m_stopping{false};
    std::atomic<TimeMs> m_lastTurnMs{monotonicMs()};
    std::mutex m_postedMutex;
    std::vector<Task> m_posted;
    std::unordered_map<int, std::shared_ptr<FdHandler>> m_handlers;
    std::multimap<TimeMs, Timer> m_timers;
    std::unordered_map<std::uint64_t, std::multimap<TimeMs, Timer>::iterator> m_timerById;
    std::uint64_t m_nextTimer = 1;
};

} // namespace fulmarledge
