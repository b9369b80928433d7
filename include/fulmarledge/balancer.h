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
    /// Longest slow start of a host. Also used for a backend server that does not state its warm-up.
    TimeMs slowStartMs = 10000;
    TimeMs loadHalfLifeMs = 1000; ///< age at which a reported load counts half
    /// Tries the local data centre first and leaves it to the slot guards there to pass a request on to another one.
    /// When false, the balancer estimates from load reports whether the local data centre is full.
    bool zoneFirst = false;
    TimeMs zoneRefusalHoldMs = 50; ///< with `zoneFirst`: how long a host that refused is not tried first
    TimeMs refusalHoldMs = 1000; ///< how long a host that refused counts as full, whatever load it reports
    std::uint32_t consecutiveFailures = 5; ///< failures in a row after which a host is ejected
    double latencyFactor = 3.0; ///< a host is ejected if its latency exceeds the service's median by this factor
    double minLatencyExcessMs = 20.0; ///< and only if its latency is more than this above the median
    std::uint32_t answersPerLatencyCheck = 16; ///< answers of a host between two comparisons with the median
    TimeMs firstEjectionMs = 1000; ///< doubled by each further ejection in a row
    TimeMs maxEjectionMs = 60000;
};

/// How an attempt at a backend server ended, as the balancer distinguishes it.
enum class AttemptEnd : std::uint8_t {
    Answered,
    Failed, ///< broken or refused connection, server error
    TimedOut, ///< no answer before the deadline; a failure only if that was far longer than the host's mean latency
    Refused, ///< the slot guard or the backend server refused with the verdict "not run"
    Cancelled, ///< says nothing about the host
};

/// What the balancer knows about one host from earlier attempts. Outlives the snapshots and is shared by all threads.
struct BalancingState {
    std::atomic<std::uint32_t> outstanding{0}; ///< attempts by this node that have not ended
    /// Time of the last load report in ms (upper 48 bits) and the load (lower 16 bits), replaced by one atomic store.
    std::atomic<std::uint64_t> loadReport{0};
    std::atomic<TimeMs> refusedUntil{0}; ///< until this time the host counts as full
    std::atomic<TimeMs> refusedAt{0}; ///< time of the last refusal
    std::atomic<TimeMs> ejectedUntil{0};
    std::atomic<std::uint32_t> ejections{0}; ///< ejections in a row; each doubles the next one
    std::atomic<std::uint32_t> failures{0}; ///< failures in a row
    std::atomic<std::uint32_t> answers{0}; ///< answers so far
    std::atomic<float> latencyMs{0}; ///< moving average; 0 before the first answer after the start or an ejection
    /// Begin of the slow start, set back for a host that is partly or fully warm.
    std::atomic<TimeMs> slowStartBegan{0};
};

/// Hosts already tried for one request. Holds 8; further ones are not recorded.
class TriedHosts
{
public:
    void add(const BalancingState *host)
    {
        if (m_count < m_hosts.size()) {
            m_hosts[m_count++] = host;
        }
    }
    bool contains(const BalancingState *host) const
    {
        for (std::size_t i = 0; i < m_count; ++i) {
            if (m_hosts[i] == host) {
                return true;
            }
        }
        return false;
    }

private:
    std::array<const BalancingState *, 8> m_hosts{};
    std::size_t m_count = 0;
};

/// A snapshot and the states of its hosts. Only the atomics in the states change. Threads get the current view through
/// RCU. No member function allocates or takes a lock.
class BalancerView
{
public:
    const Snapshot &snapshot() const
    {
        return *m_snapshot;
    }

    /// Backend server for the next attempt, or an invalid handle when no usable one is left that was not tried.
    /// @param leaveZone with `zoneFirst`: tries the other data centres before the local one
    BackendHandle choose(ServiceHandle service, const TriedHosts &tried, RandomSource &random, TimeMs now,
                         bool leaveZone = false) const;

    /// Backend server of a rollout's target version, if the next request of the service goes to that version; otherwise
    /// an invalid handle. All other functions that choose hosts know only those of the version in force.
    BackendHandle chooseTarget(ServiceHandle service, RandomSource &random, TimeMs now) const;

    /// Whether the request may be passed on from `handle` to another data centre. `handle` has to be in the local data
    /// centre, and another one has to have a usable backend server that is not suspect and was not tried.
    bool canSpill(BackendHandle handle, const TriedHosts &tried) const;

    /// Whether a usable backend server is left that was not tried.
    bool hasUntriedHost(ServiceHandle service, const TriedHosts &tried) const;

    /// Owner of an idempotency key: the usable host with the highest rendezvous weight.
    BackendHandle keyOwner(ServiceHandle service, std::string_view key) const;

    /// Whether this host owns the key according to this view. A node that receives a key of another owner has to refuse
    /// it with `wrong-host`. It may not have learned yet of the change that made it the owner, so it cannot tell what
    /// the previous owner executed.
    bool ownsKey(ServiceHandle service, std::string_view key) const
    {
        const BackendHandle owner = keyOwner(service, key);
        return isValid(owner) && isOwnHost(owner);
    }

    const SnapshotBackend &backend(BackendHandle handle) const;
    BalancingState &state(BackendHandle handle) const
    {
        return *m_states[handle.idx];
    }
    bool isOwnHost(BackendHandle handle) const;

    /// Number of hosts of a service that may take work: they are serving, and alive or suspect.
    std::size_t usableCount(ServiceHandle service) const
    {
        return m_ranges[service.idx].count;
    }
    /// Number of hosts of a service that `choose` avoids because they are ejected.
    std::size_t ejectedCount(ServiceHandle service, TimeMs now) const;

    /// Counts an attempt as outstanding until `endAttempt`.
    void beginAttempt(BackendHandle handle) const;
    /// Records the outcome of an attempt, which may eject the host.
    /// @param latencyMs time since the dispatch
    void endAttempt(BackendHandle handle, AttemptEnd end, double latencyMs, TimeMs now) const;
    /// Records the load that a host reported.
    /// @param load requests running and waiting there
    void recordLoad(BackendHandle handle, std::uint32_t load, TimeMs now) const;

private:
    friend class Balancer;

    /// A usable host.
    struct Candidate {
        BackendHandle handle;
        BalancingState *state = nullptr;
        std::uint32_t slots = 1;
        bool ownZone = false;
        bool ownHost = false;
        bool suspect = false;
    };
    /// Candidates of one service.
    struct Range {
        std::uint32_t first = 0;
        std::uint32_t count = 0;
        std::uint32_t alive = 0; ///< number of them that are not suspect
        std::uint32_t targets = 0; ///< hosts of a rollout's target version, which follow them
    };

    std::span<const Candidate> candidates(ServiceHandle service) const;
    /// Usable hosts of a rollout's target version, in an order that is the same on all nodes.
    std::span<const Candidate> targets(ServiceHandle service) const;
    /// Most hosts of a service that are avoided at the same time because they are ejected.
    std::uint32_t ejectionLimit(ServiceHandle service) const;
    bool isEjected(ServiceHandle service, const Candidate &host, TimeMs now) const;
    /// As far as this node knows, no slot is free at the hosts of the local data centre that are neither suspect nor
    /// ejected.
    bool isOwnZoneFull(ServiceHandle service, TimeMs now) const;
    /// Slots of the host, fewer during its slow start.
    double weight(const Candidate &host, TimeMs now) const;
    /// Load that the host last reported, reduced with the age of the report.
    double decayedLoad(const Candidate &host, TimeMs now) const;
    bool isLessLoaded(const Candidate &a, const Candidate &b, TimeMs now) const;
    bool isLatencyOutlier(ServiceHandle service, const BalancingState &host) const;
    /// Duration in ms of the host's next ejection.
    TimeMs nextEjectionMs(const BalancingState &host) const;
    void tryEject(ServiceHandle service, BalancingState &host, TimeMs now) const;
    void addLatencySample(BalancingState &host, double latencyMs) const;
    template <typename Filter>
    BackendHandle pickLessLoadedOfTwo(ServiceHandle service, Filter isAllowed, RandomSource &random, TimeMs now) const;

    BalancerConfig m_config;
    std::shared_ptr<const Snapshot> m_snapshot;
    std::vector<std::shared_ptr<BalancingState>> m_states; ///< by BackendHandle
    std::vector<std::uint32_t> m_serviceOf; ///< indices of services, by BackendHandle
    std::vector<Candidate> m_candidates; ///< usable hosts, by service
    std::vector<Range> m_ranges; ///< by ServiceHandle
    std::uint32_t m_ownBackend = kInvalidHandle; ///< index of this host's backend server
    std::shared_ptr<const SlotGauge> m_ownSlots;
};

/// Keeps the state of each host and combines it with new snapshots. Used by the control thread only.
class Balancer
{
public:
    /// @param ownSlots slots of the backend server on this host, or null if it has none
    Balancer(std::string ownHost, std::string ownZone, std::shared_ptr<const SlotGauge> ownSlots = {},
             const BalancerConfig &config = {});

    /// Builds the view of a new snapshot. Drops the states of hosts that no snapshot has contained for
    /// `kForgetAfterMs`.
    std::shared_ptr<const BalancerView> buildView(std::shared_ptr<const Snapshot> snapshot, TimeMs now);

    /// Number of hosts whose state is kept.
    std::size_t stateCount() const
    {
        return m_hosts.size();
    }

private:
    static constexpr TimeMs kForgetAfterMs = 600000;

    struct TrackedHost {
        std::shared_ptr<BalancingState> state;
        std::string service;
        bool usable = false;
        TimeMs warmup = 0; ///< remaining warm-up in ms that the backend server last stated
        TimeMs lastSeen = 0;
    };

    TrackedHost &updateHost(const SnapshotBackend &backend, const std::string &service, bool serviceIsNew, TimeMs now);
    void addService(BalancerView &view, ServiceHandle handle, TimeMs now);
    /// Remaining slow start in ms. It is 0 for a backend server that is warm already, for instance when only its node
    /// was restarted.
    TimeMs remainingSlowStart(const wire::HostRecord &record) const;
    void forgetAbsentHosts(TimeMs now);

    std::string m_ownHost;
    std::string m_ownZone;
    std::shared_ptr<const SlotGauge> m_ownSlots;
    BalancerConfig m_config;
    std::map<std::string, TrackedHost, std::less<>> m_hosts;
    std::set<std::string> m_knownServices; ///< services of any snapshot so far
};

} // namespace fulmarledge
