#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarledge/ports.h"
#include "fulmarledge/snapshot.h"
#include "fulmarledge/types.h"
#include "fulmarledge/verdict.h"

namespace fulmarledge {

struct SlotGauge;

struct BalancerConfig {
    TimeMs slowStartMs = 10000; ///< the most, and for a backend server that does not state its warm-up
    TimeMs loadHalfLifeMs = 1000; ///< a reported load counts half after this time
    /// Tries the own data centre first and leaves it to the slot guards there to send a request on, instead of judging
    /// the data centre's load from reports.
    bool zoneFirst = false;
    TimeMs zoneRefusalHoldMs = 50; ///< how long a refusal keeps requests from trying a host of the own zone first
    TimeMs refusalHoldMs = 1000; ///< how long a refusal of the host outweighs the load that it reports
    std::uint32_t consecutiveFailures = 5;
    double latencyFactor = 3.0; ///< ejected above this multiple of the service's median
    double latencyFloorMs = 20.0; ///< and only if at least this far above the median
    std::uint32_t latencySamples = 16; ///< answers between two comparisons with the median
    TimeMs firstEjectionMs = 1000;
    TimeMs maxEjectionMs = 60000;
};

/// How an attempt at a backend server ended, as the balancer counts it.
enum class AttemptEnd : std::uint8_t {
    Answered,
    Failed, ///< broken or refused connection, server error
    TimedOut, ///< no answer before the deadline; a failure if far slower than the host's answers
    Refused, ///< "not run" by the slot guard or the backend server
    Cancelled, ///< says nothing about the host
};

/// Outcome state of one host. Survives changes of the snapshot; shared by all threads.
struct HostState {
    std::atomic<std::uint32_t> outstanding{0}; ///< attempts of this node
    /// Time of the report in ms (upper 48 bits) and load (lower 16 bits), renewed in one step.
    std::atomic<std::uint64_t> report{0};
    std::atomic<TimeMs> refusedUntil{0};
    std::atomic<TimeMs> refusedAt{0}; ///< time of the last refusal
    std::atomic<TimeMs> ejectedUntil{0};
    std::atomic<std::uint32_t> ejections{0}; ///< ejections in a row, for the time that doubles
    std::atomic<std::uint32_t> failures{0}; ///< failures in a row
    std::atomic<std::uint32_t> answers{0};
    std::atomic<float> latencyMs{0}; ///< moving average, 0 before the first answer
    std::atomic<TimeMs> servingSince{0};
};

/// Hosts already tried for one request.
class TriedHosts
{
public:
    void add(const HostState *host)
    {
        if (m_count < m_hosts.size()) {
            m_hosts[m_count++] = host;
        }
    }
    bool contains(const HostState *host) const
    {
        for (std::size_t i = 0; i < m_count; ++i) {
            if (m_hosts[i] == host) {
                return true;
            }
        }
        return false;
    }

private:
    std::array<const HostState *, 8> m_hosts{};
    std::size_t m_count = 0;
};

/// A snapshot joined with the states of its hosts. Immutable apart from the atomics of the states; published by RCU in
/// place of the bare snapshot. No call allocates or takes a lock.
class BalancerView
{
public:
    const Snapshot &snapshot() const
    {
        return *m_snapshot;
    }

    /// Backend server for the next attempt, or an invalid handle when none is usable.
    BackendHandle choose(ServiceHandle service, const TriedHosts &tried, RandomSource &random, TimeMs now) const;

    /// `handle` is in the own zone, and a usable backend server of another one was not tried.
    bool canSpill(BackendHandle handle, const TriedHosts &tried) const;

    /// A usable backend server is left that was not tried.
    bool hasUntried(ServiceHandle service, const TriedHosts &tried) const;

    /// Owner of an idempotency key: the usable host of the highest rendezvous weight.
    BackendHandle ownerOf(ServiceHandle service, std::string_view key) const;

    /// This host owns the key by its own view. A node that is sent a key of another owner refuses with `wrong-host`:
    /// it may not have learned of the change that made it the owner, so it cannot tell what the last owner executed.
    bool ownsKey(ServiceHandle service, std::string_view key) const
    {
        const BackendHandle owner = ownerOf(service, key);
        return isValid(owner) && isOwnHost(owner);
    }

    const SnapshotBackend &backend(BackendHandle handle) const;
    HostState &state(BackendHandle handle) const
    {
        return *m_states[handle.idx];
    }
    bool isOwnHost(BackendHandle handle) const;

    /// Hosts of a service that may take work: serving, and alive or suspect.
    std::size_t usableCount(ServiceHandle service) const
    {
        return m_ranges[service.idx].count;
    }
    /// Hosts of a service that `choose` avoids because of their outcomes.
    std::size_t ejectedCount(ServiceHandle service, TimeMs now) const;

    void beginAttempt(BackendHandle handle) const;
    void endAttempt(BackendHandle handle, AttemptEnd end, double latencyMs, TimeMs now) const;
    /// Load that the host reported: requests running and waiting there.
    void reportLoad(BackendHandle handle, std::uint32_t load, TimeMs now) const;

private:
    friend class Balancer;

    struct Candidate {
        BackendHandle handle;
        HostState *state = nullptr;
        std::uint32_t slots = 1;
        bool ownZone = false;
        bool ownHost = false;
        bool suspect = false;
    };
    struct Range {
        std::uint32_t first = 0;
        std::uint32_t count = 0;
        std::uint32_t alive = 0; ///< of them, not suspect
    };

    std::span<const Candidate> candidates(ServiceHandle service) const;
    std::uint32_t ejectionLimit(ServiceHandle service) const;
    bool isEjected(ServiceHandle service, const Candidate &host, TimeMs now) const;
    bool zoneIsFull(ServiceHandle service, TimeMs now) const;
    double weight(const Candidate &host, TimeMs now) const;
    double agedLoad(const Candidate &host, TimeMs now) const;
    bool isLess(const Candidate &a, const Candidate &b, TimeMs now) const;
    bool isSlow(ServiceHandle service, const HostState &host) const;
    TimeMs ejectionMs(const HostState &host) const;
    void eject(ServiceHandle service, HostState &host, TimeMs now) const;
    void addLatency(HostState &host, double latencyMs) const;
    template <typename Filter>
    BackendHandle pickOfTwo(ServiceHandle service, Filter allowed, RandomSource &random, TimeMs now) const;

    BalancerConfig m_config;
    std::shared_ptr<const Snapshot> m_snapshot;
    std::vector<std::shared_ptr<HostState>> m_states; ///< by BackendHandle
    std::vector<std::uint32_t> m_serviceOf; ///< by BackendHandle
    std::vector<Candidate> m_candidates;
    std::vector<Range> m_ranges; ///< by ServiceHandle
    std::uint32_t m_ownBackend = kInvalidHandle;
    std::shared_ptr<const SlotGauge> m_ownSlots;
};

/// Owns the state of each host and joins it with new snapshots. Called by the control thread only.
class Balancer
{
public:
    /// @param ownSlots slots of the backend server on this host; null without one
    Balancer(std::string ownHost, std::string ownZone, std::shared_ptr<const SlotGauge> ownSlots = {},
             const BalancerConfig &config = {});

    /// Builds the view of a new snapshot. States of hosts that left every snapshot for `kForgetMs` are dropped.
    std::shared_ptr<const BalancerView> attach(std::shared_ptr<const Snapshot> snapshot, TimeMs now);

    std::size_t stateCount() const
    {
        return m_hosts.size();
    }

private:
    static constexpr TimeMs kForgetMs = 600000;

    struct Known {
        std::shared_ptr<HostState> state;
        std::string service;
        bool serving = false;
        TimeMs warmup = 0; ///< as last stated by the backend server
        TimeMs lastSeen = 0;
    };

    Known &update(const SnapshotBackend &backend, const std::string &service, bool warm, TimeMs now);
    void addService(BalancerView &view, ServiceHandle handle, TimeMs now);
    /// A backend server that is warm joins with its full share, for instance when only its node was restarted.
    TimeMs slowStartLeft(const wire::HostRecord &record) const;
    void forget(TimeMs now);

    std::string m_ownHost;
    std::string m_ownZone;
    std::shared_ptr<const SlotGauge> m_ownSlots;
    BalancerConfig m_config;
    std::map<std::string, Known, std::less<>> m_hosts;
    std::set<std::string> m_knownServices;
};

} // namespace fulmarledge
