#pragma once

#include <atomic>
#include <cstddef>
#include <limits>

namespace fulmarledge {

/// Bytes held for one purpose by all threads, and their limit. Thread-safe.
class MemoryBudget
{
public:
    explicit MemoryBudget(std::size_t limit = std::numeric_limits<std::size_t>::max())
        : m_limit(limit)
    {
    }

    void add(std::size_t bytes)
    {
        m_used.fetch_add(bytes, std::memory_order_relaxed);
    }
    void release(std::size_t bytes)
    {
        m_used.fetch_sub(bytes, std::memory_order_relaxed);
    }
    std::size_t used() const
    {
        return m_used.load(std::memory_order_relaxed);
    }
    bool isFull() const
    {
        return used() > m_limit;
    }

private:
    const std::size_t m_limit;
    std::atomic<std::size_t> m_used{0};
};

} // namespace fulmarledge
