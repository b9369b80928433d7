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
    /// Returns true with a probability of `perMille` / 1000.
    bool chance(int perMille)
    {
        return below(1000) < static_cast<std::uint64_t>(perMille);
    }
    /// Uniform in [low, high].
    TimeMs between(TimeMs low, TimeMs high)
    {
        return low + static_cast<TimeMs>(below(static_cast<std::uint64_t>(high - low + 1)));
    }

private:
    std::mt19937_64 m_engine;
};

/// Keeps the sums of counters and drops all other metrics.
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
    /// Value of the counter "name/label".
    double operator[](const std::string &key) const
    {
        const auto found = m_counts.find(key);
        return found == m_counts.end() ? 0 : found->second;
    }
    /// Sum of a counter over all labels.
    double sum(const std::string &name) const
    {
        double total = 0;
        for (const auto &[key, count] : m_counts) {
            total += key.starts_with(name + "/") ? count : 0;
        }
        return total;
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

/// Virtual clock that runs events in the order of their times, and those of one time in the order they were added.
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
    /// Runs all events that are due up to `time`, including those that they add, and sets the clock to `time`.
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

/// Faults and delays of a FakePlatform.
struct PlatformFaults {
    StoreStatus status = StoreStatus::Ok; ///< if not Ok, the status of the reply to every call
    TimeMs retryAfterMs = 0; ///< sent with `status`
    TimeMs latencyMs = 3; ///< shortest time to a reply; the longest is 1.5 times this
    bool silent = false; ///< no call gets a reply
    bool silentWatch = false; ///< no watch gets a reply, unless it fails
    bool expireWatch = false; ///< every watch fails with StoreStatus::Expired
    int lossPerMille = 0; ///< share of replies that are lost
    int corruptPerMille = 0; ///< share of manifests that are returned with a changed byte
};

/// Platform whose writes and lists fail with StoreStatus::Invalid, because the spread of manifests only reads objects.
/// Counts the writes.
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

/// In-memory implementation of the platform's object API for any number of nodes. Counts the calls.
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
    std::int64_t valueBytes = 0; ///< total size of the values returned, with those of lost replies
    std::map<TimeMs, std::int64_t> callsPerSecond; ///< reads and watches by second of virtual time
    std::function<std::string(std::string)> alterHead; ///< if set, replaces the value of `head` that readers get

    void get(std::string_view kind, std::string_view name, StoreCallback callback) override
    {
        countCall(reads);
        const auto object = m_objects.find({std::string(kind), std::string(name)});
        StoreReply reply{object == m_objects.end() ? StoreStatus::NotFound : StoreStatus::Ok, {}, 0, ""};
        if (object != m_objects.end()) {
            reply.objects.push_back(visibleObject(object->second));
            // Readers verify a manifest by its digest. `head` has no digest, so they could not detect a changed byte.
            if (kind == kManifestKind && m_random.chance(faults.corruptPerMille)) {
                std::string &value = reply.objects.front().value;
                value[m_random.below(value.size())] ^= 1;
            }
        }
        sendReply(reply, callback);
    }
    void watch(std::string_view kind, std::string_view name, std::int64_t fromVersion, std::int64_t timeoutMs,
               StoreCallback callback) override
    {
        countCall(watches);
        if (faults.expireWatch) {
            sendReply({StoreStatus::Expired, {}, 0, ""}, callback);
            return;
        }
        if (faults.status != StoreStatus::Ok) {
            sendReply({}, callback);
            return;
        }
        const std::pair<std::string, std::string> key{kind, name};
        const auto object = m_objects.find(key);
        if (object != m_objects.end() && object->second.version > fromVersion) {
            replyToWatch({StoreStatus::Ok, {visibleObject(object->second)}, 0, ""}, callback);
            return;
        }
        const std::int64_t id = ++m_lastWatchId;
        m_waitingWatches[key][id] = callback;
        m_queue.after(timeoutMs, [this, key, id] {
            if (const auto waiting = m_waitingWatches[key].extract(id)) {
                replyToWatch({StoreStatus::Unchanged, {}, 0, ""}, waiting.mapped());
            }
        });
    }

    /// Stores an object without faults, as the operator's command does, and completes the watches that wait for it.
    void put(const std::string &kind, const std::string &name, const std::string &value)
    {
        StoreObject &object = m_objects[{kind, name}];
        object = {kind, name, ++m_version, value};
        for (const auto &[id, callback] : std::exchange(m_waitingWatches[{kind, name}], {})) {
            replyToWatch({StoreStatus::Ok, {visibleObject(object)}, 0, ""}, callback);
        }
    }
    void erase(const std::string &kind, const std::string &name)
    {
        m_objects.erase({kind, name});
    }
    /// Drops all waiting watches without a reply, as if their connections had broken.
    void dropWatches()
    {
        m_waitingWatches.clear();
    }

private:
    void countCall(std::int64_t &counter)
    {
        ++counter;
        ++callsPerSecond[m_queue.now() / 1000];
    }
    StoreObject visibleObject(StoreObject object) const
    {
        if (alterHead && object.kind == kHeadKind) {
            object.value = alterHead(object.value);
        }
        return object;
    }
    void sendReply(StoreReply reply, const StoreCallback &callback)
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
    void replyToWatch(const StoreReply &reply, const StoreCallback &callback)
    {
        if (!faults.silentWatch) {
            sendReply(reply, callback);
        }
    }

    EventQueue &m_queue;
    SeededRandom &m_random;
    std::map<std::pair<std::string, std::string>, StoreObject> m_objects;
    std::map<std::pair<std::string, std::string>, std::map<std::int64_t, StoreCallback>> m_waitingWatches;
    std::int64_t m_version = 0;
    std::int64_t m_lastWatchId = 0;
};

/// Canonical text of a manifest of `serviceCount` services with `hostsPerService` backend servers each. `variant`
/// selects one service and its timeout, so that different values give different manifests.
inline std::string manifestText(int serviceCount, int hostsPerService, int variant)
{
    std::string serviceList;
    std::string routeList;
    for (int s = 0; s < serviceCount; ++s) {
        const std::string name = "service-" + std::to_string(s);
        std::string servers;
        for (int h = 0; h < hostsPerService; ++h) {
            servers += (h > 0 ? ",\"" : "\"") + name + "-host-" + std::to_string(h) + "\"";
        }
        const int timeout = s == variant % serviceCount ? 1000 + variant : 9000;
        serviceList += std::string(s > 0 ? "," : "") + R"({"name":")" + name + R"(","backend_servers":[)" + servers
            + R"(],"timeout_ms":)" + std::to_string(timeout) + "}";
        routeList += std::string(s > 0 ? "," : "") + R"({"path_prefix":"/)" + name + R"(","service":")" + name + "\"}";
    }
    LastReason error;
    return Manifest::parse(R"({"format":1,"services":[)" + serviceList + R"(],"routes":[)" + routeList + "]}", error)
        .value()
        .canonicalText();
}

} // namespace fulmarledge::spreadtest
