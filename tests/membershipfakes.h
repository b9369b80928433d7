#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fulmarledge/membership.h"

namespace fulmarledge::membershiptest {

/// SplitMix64 generator.
class SeededRandom : public RandomSource
{
public:
    explicit SeededRandom(std::uint64_t seed)
        : m_state(seed)
    {
    }
    std::uint64_t below(std::uint64_t bound) override
    {
        std::uint64_t mixed = m_state += 0x9e3779b97f4a7c15U;
        mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
        return (mixed ^ (mixed >> 31U)) % bound;
    }

private:
    std::uint64_t m_state;
};

class CountingMetrics : public MetricsSink
{
public:
    void count(std::string_view name, std::string_view /*label*/, double amount) override
    {
        counts[std::string(name)] += amount;
    }
    void gauge(std::string_view /*name*/, std::string_view /*label*/, double /*value*/) override
    {
    }
    void observe(std::string_view /*name*/, double /*value*/) override
    {
    }
    std::map<std::string, double> counts;
};

class NullLog : public EventLog
{
public:
    void event(std::string_view /*event*/, std::string_view /*detail*/) override
    {
    }
};

/// Simulated time with a queue of actions. Actions due at the same time run in the order in which they were added.
class Scheduler
{
public:
    void at(TimeMs when, std::function<void()> action)
    {
        m_queue.push_back({when, m_nextOrder++, std::move(action)});
        std::push_heap(m_queue.begin(), m_queue.end());
    }
    void runUntil(TimeMs end)
    {
        while (!m_queue.empty() && m_queue.front().when <= end) {
            std::pop_heap(m_queue.begin(), m_queue.end());
            const Item item = std::move(m_queue.back());
            m_queue.pop_back();
            now = item.when;
            item.action();
        }
        now = end;
    }
    TimeMs now = 0; ///< simulated time

private:
    struct Item {
        TimeMs when;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const Item &other) const
        {
            return std::pair(when, order) > std::pair(other.when, other.order);
        }
    };
    std::vector<Item> m_queue; ///< heap, the next action first
    std::uint64_t m_nextOrder = 0;
};

/// Platform store that holds contact objects in memory, with a latency and failures. Counts the calls of each second.
class FakePlatform : public PlatformStore
{
public:
    explicit FakePlatform(Scheduler &scheduler)
        : m_scheduler(scheduler)
    {
    }

    void list(std::string_view /*kind*/, StoreCallback callback) override
    {
        ++readsBySecond[m_scheduler.now / 1000];
        StoreReply reply = emptyReply();
        if (reply.status == StoreStatus::Ok) {
            for (const auto &[name, object] : objects) {
                reply.objects.push_back(object);
            }
        }
        replyLater(std::move(reply), std::move(callback));
    }
    void create(std::string_view kind, std::string_view name, std::string_view value, StoreCallback callback) override
    {
        write(kind, name, 0, value, std::move(callback));
    }
    void update(std::string_view kind, std::string_view name, std::int64_t expectedVersion, std::string_view value,
                StoreCallback callback) override
    {
        write(kind, name, expectedVersion, value, std::move(callback));
    }
    void get(std::string_view /*kind*/, std::string_view /*name*/, StoreCallback /*callback*/) override
    {
    }
    void remove(std::string_view /*kind*/, std::string_view /*name*/, std::int64_t /*version*/,
                StoreCallback /*callback*/) override
    {
    }
    void watch(std::string_view /*kind*/, std::string_view /*name*/, std::int64_t /*fromVersion*/,
               std::int64_t /*timeoutMs*/, StoreCallback /*callback*/) override
    {
    }

    std::map<std::string, StoreObject> objects; ///< by name
    std::map<TimeMs, int> readsBySecond;
    std::map<TimeMs, int> writesBySecond;
    TimeMs latencyMs = 5;
    StoreStatus mode = StoreStatus::Ok; ///< result of every call; writes take effect with UnknownOutcome too
    std::int64_t retryAfterMs = 0;
    int unknownOutcomeWrites = 0; ///< next writes that are answered with UnknownOutcome though they take effect

private:
    StoreReply emptyReply() const
    {
        StoreReply reply;
        reply.status = mode;
        reply.retryAfterMs = retryAfterMs;
        return reply;
    }
    void write(std::string_view kind, std::string_view name, std::int64_t expected, std::string_view value,
               StoreCallback callback)
    {
        ++writesBySecond[m_scheduler.now / 1000];
        StoreReply reply = emptyReply();
        if (mode == StoreStatus::Ok || mode == StoreStatus::UnknownOutcome) {
            StoreObject &object = objects[std::string(name)];
            if (object.version == expected) {
                object = {std::string(kind), std::string(name), expected + 1, std::string(value)};
            } else if (mode == StoreStatus::Ok) {
                reply.status = StoreStatus::Conflict;
            }
        }
        if (unknownOutcomeWrites > 0) {
            --unknownOutcomeWrites;
            reply.status = StoreStatus::UnknownOutcome;
        }
        replyLater(std::move(reply), std::move(callback));
    }
    void replyLater(StoreReply reply, StoreCallback callback)
    {
        m_scheduler.at(m_scheduler.now + latencyMs, [reply, callback] { callback(reply); });
    }

    Scheduler &m_scheduler;
};

} // namespace fulmarledge::membershiptest
