#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarledge/backendlifecycle.h"
#include "fulmarledge/ports.h"

namespace fulmarledge {

constexpr std::string_view kLeaveKind = "leave";

/// Keeps in the platform's store which processes of the local backend server have said that they leave, so that this
/// outlives all nodes. Single-threaded, does no I/O of its own. See docs/decisions/drain-acknowledgement.md.
class LeaveMemory
{
public:
    using Callback = std::function<void()>;

    /// @param host name of the stored object
    LeaveMemory(std::string host, PlatformStore &store, RandomSource &random, MetricsSink &metrics, EventLog &log);
    ~LeaveMemory();
    LeaveMemory(const LeaveMemory &) = delete;
    LeaveMemory &operator=(const LeaveMemory &) = delete;

    /// Reads what earlier processes of this node have stored, unless that is known. Calls `done` when it is known, or
    /// after `kWaitLimitMs` without an answer. A leave older than `kLeaveBindingMs` counts as none.
    /// @param wallClockMs milliseconds since 1970
    void whenKnown(TimeMs now, std::int64_t wallClockMs, Callback done);
    /// Whether the store has told what earlier processes have stored.
    bool isKnown() const
    {
        return m_isKnown;
    }
    /// The leaves that earlier processes of this node have stored. Valid when `isKnown()`.
    const std::vector<LeavingBackend> &stored() const
    {
        return m_stored;
    }
    /// Stores a leave beside the others that still bind. Calls `done` when it is stored, or after `kWaitLimitMs`; the
    /// write is then repeated until it succeeds or `kRepeatLimitMs` is over.
    /// @param wallClockMs milliseconds since 1970
    void remember(TimeMs now, std::int64_t wallClockMs, const LeavingBackend &leaving, Callback done);
    /// To be called every 50 ms.
    void tick(TimeMs now);

    /// Longest time for which an announcement waits for the store. Its sender waits for 1 s.
    static constexpr TimeMs kWaitLimitMs = 500;
    static constexpr TimeMs kRepeatLimitMs = 20000;
    /// Age from which the objects of other hosts are removed. Announcements are late by seconds.
    static constexpr std::int64_t kKeepMs = 600000;
    /// Most leaves of one host that are stored. A new process gets the address at most every few seconds.
    static constexpr std::size_t kMaxLeaves = 16;

    struct Leave {
        LeavingBackend leaving;
        std::int64_t storedMs = 0; ///< milliseconds since 1970
    };

private:
    struct Waiting {
        TimeMs deadline = 0;
        Callback done;
    };

    void read();
    void onRead(const StoreReply &reply);
    /// Takes over what an earlier process of this node has stored.
    void merge(std::string_view text);
    /// Whether a known leave of the same id binds at least as much.
    bool covers(const LeavingBackend &leaving) const;
    /// Adds a leave, in place of an earlier one of its id, and drops those that no longer bind.
    void add(const Leave &leave, std::int64_t wallClockMs);
    void write();
    void onWritten(const StoreReply &reply);
    /// Lists the stored leaves now and then, and removes old ones.
    void sweep();
    void onListed(const StoreReply &reply);
    StoreCallback guarded(void (LeaveMemory::*handler)(const StoreReply &));
    static void finish(std::vector<Waiting> &waiting);

    const std::string m_host;
    PlatformStore &m_store;
    RandomSource &m_random;
    MetricsSink &m_metrics;
    EventLog &m_log;
    TimeMs m_now = 0;
    std::int64_t m_askedAtMs = 0; ///< when the store was asked, milliseconds since 1970
    std::int64_t m_changedAtMs = 0; ///< when `remember` last added a leave, milliseconds since 1970
    bool m_isKnown = false;
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_isWritten = true; ///< the store holds all of `m_leaves`
    bool m_changedSinceWrite = false; ///< `m_leaves` has changed since the write in progress began
    std::vector<LeavingBackend> m_stored; ///< found by the first read
    std::vector<Leave> m_leaves; ///< content of the stored object, newest last
    std::int64_t m_objectVersion = 0; ///< of the stored object, 0 if there is none or it is not known
    TimeMs m_writeAt = 0; ///< when a failed write is repeated
    TimeMs m_giveUpAt = 0;
    std::vector<Waiting> m_waitingForRead;
    std::vector<Waiting> m_waitingForWrite;
    std::shared_ptr<bool> m_lifetimeToken = std::make_shared<bool>(true);
};

} // namespace fulmarledge
