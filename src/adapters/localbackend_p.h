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

enum class AdmissionState : std::uint8_t { Run, Wait, Answer };

/// What to do with a request for the local backend server.
struct Admission {
    AdmissionState state = AdmissionState::Answer;
    GuardEntryId entry; ///< Run, Wait
    KeyEntryId key; ///< Run, Wait: valid for a keyed request
    wire::HopResponse answer; ///< Answer
};

/// The backend server of this host: its address, slots and idempotency keys. Thread-safe.
class LocalBackend
{
public:
    /// Tells a waiting request that it may run or is refused. Called on any thread, under no lock.
    using Resume = std::function<void(const GuardDecision &)>;

    LocalBackend(TimeMs now, const GuardConfig &guard);

    void set(const SocketAddress &address, const std::string &serviceName, std::uint32_t slots,
             wire::HostState::type state, TimeMs now, const std::string &instance = {});
    /// Compares the hosts that may own keys of the local service with those of the last call.
    void setOwners(const Snapshot &snapshot, TimeMs now);
    void drain(std::function<void()> idle, TimeMs now);

    /// @param remote the request came from another node
    Admission admit(const wire::HopRequest &request, bool remote, TimeMs deadline, TimeMs now, Resume resume);
    /// Ends a request that was running.
    void finish(GuardEntryId entry, KeyEntryId key, const wire::HopResponse &response, TimeMs now);
    /// Ends a request that was refused while it waited.
    void release(KeyEntryId key, TimeMs now);
    /// Ends a request whose caller is gone.
    /// @param dispatched it was sent to the backend server
    void cancel(GuardEntryId entry, KeyEntryId key, bool dispatched, TimeMs now);
    /// Refuses waiting requests whose time is over.
    void poll(TimeMs now);
    /// When `poll` is due, if any request waits.
    std::optional<TimeMs> nextWakeup();

    /// "http://IP:PORT" of the backend server.
    std::string baseUrl();
    /// Id of the backend server's process, empty when it has none.
    std::string instance();
    std::uint32_t slots();
    /// Requests in a row whose connection to the backend server failed.
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

    /// Reports the guard's decisions. Unlocks.
    void settle(Lock &lock, TimeMs now);
    std::optional<Admission> answerByKey(const wire::HopRequest &request, TimeMs now, KeyEntryId &key);
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
    std::vector<std::string> m_owners; ///< usable hosts of the local service
    wire::HostState::type m_state = wire::HostState::Starting;
    bool m_leaving = false;
    std::function<void()> m_onIdle;
    std::unordered_map<std::uint64_t, Resume> m_waiting;
};

/// A response without an answer of the backend server.
wire::HopResponse refusal(Verdict verdict, Reason reason, TimeMs retryAfterMs);

} // namespace fulmarledge
