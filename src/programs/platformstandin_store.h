#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "httpclient.h"

namespace fulmarledge {

/// HTTP response of the platform stand-in.
struct StandinReply {
    int status = 200;
    HttpFields fields;
    std::string body;
};

using StandinCallback = std::function<void(StandinReply)>;

/// One call of the object API.
struct StandinCall {
    std::string operation; ///< "get", "list", "create", "update", "update-status", "remove" or "watch"
    std::string kind;
    std::string name;
    std::int64_t version = 0; ///< expected by an update or removal, or where a watch starts
    std::int64_t timeoutMs = 0; ///< of a watch
    std::string value;
};

/// One injected fault. See `PlatformStandinStore::setFaults`.
struct StandinFault {
    std::string mode;
    std::set<std::string> kinds; ///< empty means every kind
    std::set<std::string> operations; ///< empty means every operation
    std::int64_t delayMs = 0;
    std::int64_t ratePerSecond = 0;
    std::int64_t retryAfterMs = 0;
    std::uint64_t skipCalls = 0; ///< matching calls still to let through before the fault applies
    std::optional<TimeMs> until; ///< end of the fault, or none if it lasts until it is replaced
    std::deque<TimeMs> passedTimes; ///< times of the calls let through in the last second, for "throttle"
};

/// Counts the calls in a sliding window of 1 s and keeps the largest count.
class RateWindow
{
public:
    void add(TimeMs now);
    std::size_t highest() const
    {
        return m_highest;
    }

private:
    std::deque<TimeMs> m_callTimes;
    std::size_t m_highest = 0;
};

/// In-memory object store with versions, conditional updates, watches and injected faults. Versions increase across the
/// whole store, so an object that is created again gets a higher version than it had. Not thread-safe. The caller
/// passes in the current time.
class PlatformStandinStore
{
public:
    /// The callback runs before this returns, in a later `call`, `tick` or `setFaults`, or never if a fault loses the
    /// answer.
    void call(const StandinCall &call, StandinCallback callback, TimeMs now);
    /// Runs delayed calls and ends watches that are due.
    void tick(TimeMs now);

    /// Replaces all faults. `text` is one JSON object or a list of them:
    /// {"mode": "none" | "down" | "slow" | "throttle" | "lose" | "expire" | "silent", "kinds": [...],
    ///  "operations": [...], "delay_ms": N, "rate": N, "retry_after_ms": N, "after": N,
    ///  "for_ms": N}
    /// @return false if `text` is invalid, which leaves the faults unchanged
    bool setFaults(std::string_view text, TimeMs now, LastReason &error);
    /// Counts of calls, waiting watches and the highest call rates, as JSON.
    std::string statsJson() const;

private:
    struct Object {
        std::int64_t version = 0;
        std::string value;
        std::string status;
    };
    struct Watch {
        StandinCall call;
        StandinCallback callback;
        TimeMs due = 0;
        bool silent = false;
    };
    struct Delayed {
        StandinCall call;
        StandinCallback callback;
    };
    using Key = std::pair<std::string, std::string>;

    void countOutcome(const StandinCall &call, std::string_view outcome);
    void countRate(const StandinCall &call, TimeMs now);
    /// Finds the first fault of the mode that applies to the call, and decrements `skipCalls` of matching faults before
    /// it.
    StandinFault *findFault(std::string_view mode, const StandinCall &call, TimeMs now);
    /// @return true, with the refusal in `reply`, if the call exceeds the rate of a "throttle" fault
    bool applyThrottle(const StandinCall &call, TimeMs now, StandinReply &reply);
    void run(const StandinCall &call, const StandinCallback &callback, TimeMs now);
    void answer(const StandinCall &call, const StandinCallback &callback, StandinReply reply);
    StandinReply perform(const StandinCall &call);
    StandinReply read(const StandinCall &call) const;
    StandinReply list(const StandinCall &call) const;
    StandinReply write(const StandinCall &call);
    void startWatch(const StandinCall &call, const StandinCallback &callback, TimeMs now);
    void answerWatches(const Key &key);
    void expireWatches(const StandinFault &fault);

    std::map<Key, Object> m_objects;
    std::map<Key, std::int64_t> m_historyFloor; ///< watches that start below this version get 410
    std::int64_t m_revision = 0;
    std::multimap<TimeMs, Delayed> m_delayed;
    std::map<std::uint64_t, Watch> m_watches;
    std::uint64_t m_nextWatch = 1;
    std::size_t m_peakWatches = 0;
    std::vector<StandinFault> m_faults;
    std::map<std::string, std::map<std::string, std::uint64_t>> m_callsByOperation; ///< by operation and outcome
    std::map<std::string, std::map<std::string, std::uint64_t>> m_callsByKind; ///< by object kind and operation
    RateWindow m_reads;
    RateWindow m_writes;
};

} // namespace fulmarledge
