#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "fulmarledge/idempotency.h"
#include "fulmarledge/slotguard.h"
#include "fulmarledge/snapshot.h"
#include "fulmarledge/types.h"
#include "fulmarledge_types.h"

namespace fulmarledge {

enum class AdmissionState : std::uint8_t {
    Run, ///< send it now
    Wait, ///< wait for the call of `Resume`
    Answer ///< return `answer` without sending the request
};

/// What to do with a request for the local backend server. Each field names the states in which it is used.
struct Admission {
    AdmissionState state = AdmissionState::Answer;
    GuardEntryId entry; ///< Run, Wait
    KeyEntryId key; ///< Run, Wait; valid if the request has an idempotency key
    wire::HopResponse answer; ///< Answer
};

/// The backend server of this host: its address, slots and idempotency keys. Thread-safe.
class LocalBackend
{
public:
    /// Called when the guard lets a waiting request run, or refuses it. Runs on any thread, with no lock held.
    using Resume = std::function<void(const GuardDecision &)>;

    LocalBackend(TimeMs now, const GuardConfig &guard);

    /// Applies an announcement of the backend server.
    void applyAnnouncement(const SocketAddress &address, const std::string &serviceName, std::uint32_t slots,
                           wire::HostState::type state, TimeMs now, const std::string &instance = {});
    /// Updates the hosts that may own idempotency keys of the local service. Unknown keys become uncertain if these
    /// hosts changed.
    void updateKeyOwners(const Snapshot &snapshot, TimeMs now);
    /// Refuses new and waiting requests for good. `onIdle` runs once, when no request is left.
    void drain(std::function<void()> onIdle, TimeMs now);

    /// Decides on a request. `resume` is called only if it has to wait.
    /// @param remote the request came from another node
    Admission admit(const wire::HopRequest &request, bool remote, TimeMs deadline, TimeMs now, Resume resume);
    /// Ends a request that was sent to the backend server.
    void finish(GuardEntryId entry, KeyEntryId key, const wire::HopResponse &response, TimeMs now);
    /// Forgets the idempotency key of a request that was refused while it waited.
    void releaseKey(KeyEntryId key, TimeMs now);
    /// Ends a request that its caller has given up.
    /// @param dispatched it was sent to the backend server
    void cancel(GuardEntryId entry, KeyEntryId key, bool dispatched, TimeMs now);
    /// Lets the guard decide on waiting requests, for example refuse those whose time is over.
    void poll(TimeMs now);
    /// Time at which `poll` is due, if any request waits.
    std::optional<TimeMs> nextWakeup();

    /// Sets how long work takes at the backend server now.
    /// @param percent 100 for the usual time
    void reportSpeed(std::uint32_t percent, TimeMs now);

    /// "http://IP:PORT" of the backend server.
    std::string baseUrl();
    /// Id of the backend server's process, empty when it has none.
    std::string instance();
    std::uint32_t slots();
    /// Requests in a row whose connection to the backend server failed. `applyAnnouncement` resets it.
    int refusedConnections() const
    {
        return m_refusedConnections.load(std::memory_order_relaxed);
    }
    std::shared_ptr<const SlotGauge> gauge() const
    {
        return m_gauge;
    }

private:
    using Lock = std::unique_lock<std::mutex>;

    /// Reports the guard's decisions to the waiting requests, and the end of a drain. Releases `lock` before the
    /// callbacks.
    void reportDecisions(Lock &lock, TimeMs now);
    /// Begins an execution under the request's idempotency key, if it has one, and sets `key`.
    /// @return the answer, if the key forbids an execution
    std::optional<Admission> beginKeyedExecution(const wire::HopRequest &request, TimeMs now, KeyEntryId &key);
    void finishKey(KeyEntryId key, const wire::HopResponse &response, TimeMs now);

    std::atomic<int> m_refusedConnections{0};
    std::mutex m_mutex;
    SlotGuard m_guard;
    std::shared_ptr<const SlotGauge> m_gauge;
    IdempotencyTable m_keys;
    SocketAddress m_address;
    std::string m_baseUrl;
    std::string m_service;
    std::string m_instance;
    std::uint32_t m_slots = 0;
    std::vector<std::string> m_possibleKeyOwners; ///< usable hosts of the local service
    wire::HostState::type m_state = wire::HostState::Starting;
    bool m_draining = false; ///< `drain` was called
    std::function<void()> m_onIdle; ///< reports the end of the drain
    std::unordered_map<std::uint64_t, Resume> m_waiting; ///< by GuardEntryId
};

/// Response that this node writes itself, without an answer of the backend server.
wire::HopResponse refusal(Verdict verdict, Reason reason, TimeMs retryAfterMs);

} // namespace fulmarledge
