#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "fulmarledge/head.h"
#include "fulmarledge/manifest.h"
#include "fulmarledge/ports.h"

namespace fulmarledge::spreadtest {

class SeededRandom : public RandomSource
{
public:
    explicit SeededRandom(std::uint64_t seed)
        : m_engine(seed)
    {
    }
    std::uint64_t below(std::uint64_t bound) override
    {
        return m_engine() % bound;
    }
    /// True with a probability of `perMille` / 1000.
    bool chance(int perMille)
    {
        return below(1000) < static_cast<std::uint64_t>(perMille);
    }
    TimeMs between(TimeMs low, TimeMs high)
    {
        return low + static_cast<TimeMs>(below(static_cast<std::uint64_t>(high - low + 1)));
    }

private:
    std::mt19937_64 m_engine;
};

class CountingMetrics : public MetricsSink
{
public:
    void count(std::string_view name, std::string_view label, double amount) override
    {
        m_counts[std::string(name) + "/" + std::string(label)] += amount;
    }
    void gauge(std::string_view, std::string_view, double) override
    {
    }
    void observe(std::string_view, double) override
    {
    }
    double operator[](const std::string &key) const
    {
        const auto found = m_counts.find(key);
        return found == m_counts.end() ? 0 : found->second;
    }

private:
    std::map<std::string, double> m_counts;
};

class NullLog : public EventLog
{
public:
    void event(std::string_view, std::string_view) override
    {
    }
};

/// Virtual time with events in the order of their times.
class EventQueue
{
public:
    TimeMs now() const
    {
        return m_now;
    }
    void after(TimeMs delay, std::function<void()> action)
    {
        m_events.push({m_now + std::max<TimeMs>(delay, 0), ++m_sequence, std::move(action)});
    }
    /// Runs all events up to `time`.
    void runTo(TimeMs time)
    {
        while (!m_events.empty() && m_events.top().at <= time) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        m_now = time;
    }

private:
    struct Event {
        TimeMs at;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };
    TimeMs m_now = 0;
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event> m_events;
};

struct PlatformFaults {
    StoreStatus status = StoreStatus::Ok; ///< answer to every call, unless Ok
    TimeMs retryAfterMs = 0;
    TimeMs latencyMs = 3;
    bool silent = false; ///< no call is answered
    bool silentWatch = false; ///< no watch is answered
    bool expireWatch = false; ///< every watch answers that its history is gone
    int lossPerMille = 0; ///< answers that are lost
    int corruptPerMille = 0; ///< contents with a changed byte
};

/// Answers "invalid" to every call that the spread has no use for.
class ReadOnlyStore : public PlatformStore
{
public:
    std::int64_t writes = 0;

    void list(std::string_view, StoreCallback callback) override
    {
        callback({StoreStatus::Invalid, {}, 0, ""});
    }
    void create(std::string_view, std::string_view, std::string_view, StoreCallback callback) override
    {
        refuseWrite(callback);
    }
    void update(std::string_view, std::string_view, std::int64_t, std::string_view, StoreCallback callback) override
    {
        refuseWrite(callback);
    }
    void remove(std::string_view, std::string_view, std::int64_t, StoreCallback callback) override
    {
        refuseWrite(callback);
    }

private:
    void refuseWrite(const StoreCallback &callback)
    {
        ++writes;
        callback({StoreStatus::Invalid, {}, 0, ""});
    }
};

/// The platform's object API in memory, for any number of nodes. Counts the calls.
class FakePlatform : public ReadOnlyStore
{
public:
    FakePlatform(EventQueue &queue, SeededRandom &random)
        : m_queue(queue)
        , m_random(random)
    {
    }

    PlatformFaults faults;
    std::int64_t reads = 0;
    std::int64_t watches = 0;
    std::int64_t valueBytes = 0; ///< of the objects returned
    std::map<TimeMs, std::int64_t> callsPerSecond;
    std::function<std::string(std::string)> alterHead; ///< test double: changes the `head` that readers get

    void get(std::string_view kind, std::string_view name, StoreCallback callback) override
    {
        countCall(reads);
        const auto object = m_objects.find({std::string(kind), std::string(name)});
        StoreReply reply{object == m_objects.end() ? StoreStatus::NotFound : StoreStatus::Ok, {}, 0, ""};
        if (object != m_objects.end()) {
            reply.objects.push_back(shown(object->second));
            // `head` carries no digest, so only contents can be checked by their reader.
            if (kind == kManifestKind && m_random.chance(faults.corruptPerMille)) {
                std::string &value = reply.objects.front().value;
                value[m_random.below(value.size())] ^= 1;
            }
        }
        answer(reply, callback);
    }
    void watch(std::string_view kind, std::string_view name, std::int64_t fromVersion, std::int64_t timeoutMs,
               StoreCallback callback) override
    {
        countCall(watches);
        if (faults.expireWatch) {
            answer({StoreStatus::Expired, {}, 0, ""}, callback);
            return;
        }
        if (faults.status != StoreStatus::Ok) {
            answer({}, callback);
            return;
        }
        const std::pair<std::string, std::string> key{kind, name};
        const auto object = m_objects.find(key);
        if (object != m_objects.end() && object->second.version > fromVersion) {
            answerWatch({StoreStatus::Ok, {shown(object->second)}, 0, ""}, callback);
            return;
        }
        const std::int64_t id = ++m_nextWaiter;
        m_waiters[key][id] = callback;
        m_queue.after(timeoutMs, [this, key, id] {
            if (const auto waiter = m_waiters[key].extract(id)) {
                answerWatch({StoreStatus::Unchanged, {}, 0, ""}, waiter.mapped());
            }
        });
    }

    /// Stores an object as the operator's command does, without faults.
    void put(const std::string &kind, const std::string &name, const std::string &value)
    {
        StoreObject &object = m_objects[{kind, name}];
        object = {kind, name, ++m_version, value};
        for (const auto &[id, callback] : std::exchange(m_waiters[{kind, name}], {})) {
            answerWatch({StoreStatus::Ok, {shown(object)}, 0, ""}, callback);
        }
    }
    void erase(const std::string &kind, const std::string &name)
    {
        m_objects.erase({kind, name});
    }
    /// Breaks the connections of all waiting watches.
    void dropWatches()
    {
        m_waiters.clear();
    }

private:
    void countCall(std::int64_t &counter)
    {
        ++counter;
        ++callsPerSecond[m_queue.now() / 1000];
    }
    StoreObject shown(StoreObject object) const
    {
        if (alterHead && object.kind == kHeadKind) {
            object.value = alterHead(object.value);
        }
        return object;
    }
    void answer(StoreReply reply, const StoreCallback &callback)
    {
        if (faults.status != StoreStatus::Ok) {
            reply = {faults.status, {}, faults.retryAfterMs, "injected"};
        }
        for (const StoreObject &object : reply.objects) {
            valueBytes += static_cast<std::int64_t>(object.value.size());
        }
        if (faults.silent || m_random.chance(faults.lossPerMille)) {
            return;
        }
        m_queue.after(m_random.between(faults.latencyMs, faults.latencyMs + faults.latencyMs / 2),
                      [reply, callback] { callback(reply); });
    }
    void answerWatch(const StoreReply &reply, const StoreCallback &callback)
    {
        if (!faults.silentWatch) {
            answer(reply, callback);
        }
    }

    EventQueue &m_queue;
    SeededRandom &m_random;
    std::map<std::pair<std::string, std::string>, StoreObject> m_objects;
    std::map<std::pair<std::string, std::string>, std::map<std::int64_t, StoreCallback>> m_waiters;
    std::int64_t m_version = 0;
    std::int64_t m_nextWaiter = 0;
};

/// Manifest of `services` services with `hosts` backend servers each. `change` sets the time limit of one service.
inline std::string manifestText(int services, int hosts, int change)
{
    std::string list;
    std::string routes;
    for (int s = 0; s < services; ++s) {
        const std::string name = "service-" + std::to_string(s);
        std::string servers;
        for (int h = 0; h < hosts; ++h) {
            servers += (h > 0 ? ",\"" : "\"") + name + "-host-" + std::to_string(h) + "\"";
        }
        const int timeout = s == change % services ? 1000 + change : 9000;
        list += std::string(s > 0 ? "," : "") + R"({"name":")" + name + R"(","backend_servers":[)" + servers
            + R"(],"timeout_ms":)" + std::to_string(timeout) + "}";
        routes += std::string(s > 0 ? "," : "") + R"({"path_prefix":"/)" + name + R"(","service":")" + name + "\"}";
    }
    LastReason error;
    return Manifest::parse(R"({"format":1,"services":[)" + list + R"(],"routes":[)" + routes + "]}", error)
        .value()
        .canonicalText();
}

} // namespace fulmarledge::spreadtest
