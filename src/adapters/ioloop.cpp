#include "ioloop.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <ctime>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>

namespace fulmarledge {

namespace {

constexpr int kMaxWaitMs = 1000;

} // namespace

TimeMs monotonicMs()
{
    return monotonicUs() / 1000;
}

std::int64_t monotonicUs()
{
    // CLOCK_BOOTTIME keeps counting while the host is suspended, so that a suspension shows as a jump.
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return static_cast<std::int64_t>(now.tv_sec) * 1000000 + now.tv_nsec / 1000;
}

std::int64_t wallClockMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

IoLoop::IoLoop()
    : m_epollFd(epoll_create1(EPOLL_CLOEXEC))
    , m_wakeFd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (m_epollFd < 0 || m_wakeFd < 0) {
        throw std::system_error(errno, std::generic_category(), "event loop");
    }
    addFd(m_wakeFd, EPOLLIN, [this](std::uint32_t) {
        std::uint64_t count = 0;
        [[maybe_unused]] const ssize_t got = ::read(m_wakeFd, &count, sizeof(count));
    });
}

IoLoop::~IoLoop()
{
    ::close(m_wakeFd);
    ::close(m_epollFd);
}

void IoLoop::run()
{
    std::array<epoll_event, 64> events{};
    while (!m_stopping.load(std::memory_order_acquire)) {
        const int count = epoll_wait(m_epollFd, events.data(), static_cast<int>(events.size()), pollTimeoutMs());
        for (int i = 0; i < count; ++i) {
            const auto found = m_handlers.find(events[static_cast<std::size_t>(i)].data.fd);
            if (found != m_handlers.end()) {
                // Keeps the handler alive while it runs, because it may remove itself.
                const std::shared_ptr<FdHandler> handler = found->second;
                (*handler)(events[static_cast<std::size_t>(i)].events);
            }
        }
        runPosted();
        runTimers();
    }
    m_stopping.store(false, std::memory_order_release);
}

void IoLoop::stop()
{
    m_stopping.store(true, std::memory_order_release);
    wake();
}

void IoLoop::wake() const
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = ::write(m_wakeFd, &one, sizeof(one));
}

void IoLoop::post(Task task)
{
    bool wasEmpty = false;
    {
        const std::lock_guard lock(m_postedMutex);
        wasEmpty = m_posted.empty();
        m_posted.push_back(std::move(task));
    }
    if (wasEmpty) {
        wake();
    }
}

void IoLoop::runPosted()
{
    std::vector<Task> tasks;
    {
        const std::lock_guard lock(m_postedMutex);
        tasks.swap(m_posted);
    }
    for (Task &task : tasks) {
        task();
    }
}

void IoLoop::addFd(int fd, std::uint32_t events, FdHandler handler)
{
    epoll_event event{};
    event.events = events;
    event.data.fd = fd;
    m_handlers[fd] = std::make_shared<FdHandler>(std::move(handler));
    if (epoll_ctl(m_epollFd, EPOLL_CTL_ADD, fd, &event) != 0) {
        m_handlers.erase(fd);
        throw std::system_error(errno, std::generic_category(), "epoll_ctl");
    }
}

void IoLoop::modifyFd(int fd, std::uint32_t events)
{
    epoll_event event{};
    event.events = events;
    event.data.fd = fd;
    epoll_ctl(m_epollFd, EPOLL_CTL_MOD, fd, &event);
}

void IoLoop::removeFd(int fd)
{
    epoll_ctl(m_epollFd, EPOLL_CTL_DEL, fd, nullptr);
    m_handlers.erase(fd);
}

TimerId IoLoop::runAfter(std::int64_t delayMs, Task task)
{
    const std::uint64_t id = m_nextTimer++;
    const auto position
        = m_timers.emplace(monotonicMs() + std::max<std::int64_t>(delayMs, 0), Timer{id, std::move(task)});
    m_timerById.emplace(id, position);
    return {id};
}

void IoLoop::cancel(TimerId timer)
{
    const auto found = m_timerById.find(timer.id);
    if (found != m_timerById.end()) {
        m_timers.erase(found->second);
        m_timerById.erase(found);
    }
}

void IoLoop::runTimers()
{
    const TimeMs now = monotonicMs();
    m_lastTurnMs.store(now, std::memory_order_relaxed);
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        const Task task = std::move(m_timers.begin()->second.task);
        m_timerById.erase(m_timers.begin()->second.id);
        m_timers.erase(m_timers.begin());
        task();
    }
}

int IoLoop::pollTimeoutMs() const
{
    if (m_timers.empty()) {
        return kMaxWaitMs;
    }
    const TimeMs left = m_timers.begin()->first - monotonicMs();
    return static_cast<int>(std::clamp<TimeMs>(left, 0, kMaxWaitMs));
}

} // namespace fulmarledge
