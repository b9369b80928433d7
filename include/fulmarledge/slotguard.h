#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "fulmarledge/hostspeed.h"
#include "fulmarledge/linkpacer.h"
#include "fulmarledge/manifest.h"
#include "fulmarledge/meanbykind.h"
#include "fulmarledge/types.h"
#include "fulmarledge/verdict.h"

namespace fulmarledge {

/// Identifies a request that a slot guard holds. A guard never reuses an id.
struct GuardEntryId {
    std::uint64_t value = 0;

    bool operator==(const GuardEntryId &) const = default;
};

inline bool isValid(GuardEntryId id)
{
    return id.value != 0;
}

struct GuardConfig {
    std::uint32_t maxQueuedPerSlot = 2; ///< most waiting requests per slot
    /// How long bulk work stays limited to half of the slots after interactive work waited.
    TimeMs bulkLimitHoldMs = 1000;
    /// Multiple of the mean service time that must fit into the objective after the expected wait. Service times vary,
    /// and without a margin half of the requests at the limit would be late. The expected time until a large answer has
    /// left the host is multiplied by it too.
    double admissionMargin = 1.5;
    double sampleWeight = 0.1; ///< weight of a new sample in the moving means of service time and answer size
    double answerBytesPerMs = 0; ///< rate at which large answers leave the host; 0 for an unlimited rate
    /// Part of the objective within which a large answer to another data centre has to leave the host. The rest of the
    /// link's queue is kept for callers in the local data centre, whose answers do not use the links between data
    /// centres.
    double otherZoneObjectiveShare = 0.5;
    std::shared_ptr<const LinkGauge> linkGauge; ///< counts the large answers that wait to leave; null to count none
    /// Factor of the usual service time from which a request that another host may take is refused if it would finish
    /// here only after the time until which it may stay. Below it, a refusal costs more than the slower work.
    double slowFactor = 1.5;
};

struct GuardRequest {
    std::string_view service;
    std::string_view caller;
    ServiceClass serviceClass = ServiceClass::Interactive;
    TimeMs deadline = 0;
    std::optional<std::uint32_t> rank = std::nullopt; ///< lower ranks start first; the default of the class if unset
    std::uint64_t kind = 0; ///< requests of one kind take similar time; 0 puts all such requests of a rank together
    TimeMs objectiveMs = 0; ///< latency objective of the kind, 0 for none
    TimeMs objectiveDeadline = 0; ///< time of an answer that just meets the objective; unused without one
    /// Latest expected end of a request that has to wait, and latest expected time at which an answer that uses the
    /// link has left the host. A request that would miss it is refused, so that another data centre can take it. 0 for
    /// none.
    TimeMs spillDeadline = 0;
    bool usesLink = false; ///< the answer is large and leaves the host
    bool fromOtherZone = false;
};

/// Rank of a request for which the manifest gives none.
constexpr std::uint32_t defaultRank(ServiceClass serviceClass)
{
    return serviceClass == ServiceClass::Interactive ? 0 : 1;
}

enum class GuardState : std::uint8_t { Run, Wait, Refuse };

/// Decision on one request. Requests are refused only before dispatch, so a refused request did not run.
struct GuardDecision {
    GuardState state = GuardState::Refuse;
    GuardEntryId id; ///< invalid for a refusal by `submit`
    Reason reason = Reason::None;
    TimeMs retryAfterMs = 0; ///< for a refusal, expected time until the waiting work is done
};

enum class GuardCancelResult : std::uint8_t {
    Unknown, ///< had finished or been refused
    Removed, ///< had not started, and will not run
    Running, ///< keeps its slot until `finish`
};

/// Load of a slot guard. Any thread may read it without a lock.
struct SlotGauge {
    std::atomic<std::uint32_t> freeSlots{0}; ///< 0 while requests wait or the guard drains
    std::atomic<std::uint32_t> outstanding{0}; ///< running and waiting requests
};

/// Admission control for the slots of the local backend server. Starts, queues or refuses each request. Not
/// synchronised; to be used by one thread, or with one lock around each call.
class SlotGuard
{
public:
    explicit SlotGuard(const GuardConfig &config = {});

    /// Admits requests of `service` to `slots` slots from now on, and ends a drain. If the service changes,
    /// `nextDecision` refuses the requests that wait for the previous one.
    void serve(std::string_view service, std::uint32_t slots, TimeMs now);

    /// Starts, queues or refuses a request. Call `nextDecision` afterwards until it returns nothing.
    GuardDecision submit(const GuardRequest &request, TimeMs now);

    /// Sets how long work takes at the backend server now. Expected service times follow it.
    /// @param percent 100 for the usual time
    void reportSpeed(std::uint32_t percent, TimeMs now);

    /// Frees the slot of a running request.
    /// @param answered false when the request ended without an answer, so that its time is only a lower bound of the
    /// service time
    /// @param answerBytes size of the answer
    /// @return false when no request with this id runs
    bool finish(GuardEntryId id, bool answered, TimeMs now, std::size_t answerBytes = 0);

    /// Removes a request unless it runs.
    GuardCancelResult cancel(GuardEntryId id);

    /// Next waiting request to start or to refuse, if any. Call it after each other input, and at `nextWakeup`.
    std::optional<GuardDecision> nextDecision(TimeMs now);

    /// Time at which `nextDecision` may return something without further input.
    std::optional<TimeMs> nextWakeup() const;

    /// Refuses new and waiting requests from now on. Running requests finish.
    void drain();

    bool isDraining() const
    {
        return m_draining;
    }
    /// No request runs, waits or has a refusal that `nextDecision` still has to return. While draining, the backend
    /// server can then stop.
    bool isIdle() const
    {
        return m_entries.empty();
    }
    std::uint32_t running() const
    {
        return m_running;
    }
    std::uint32_t waiting() const
    {
        return m_waiting;
    }
    std::uint32_t slots() const
    {
        return m_slots;
    }
    /// Mean service time in ms of requests without a kind that have the default rank of the class, 0 before the first
    /// sample.
    double meanServiceMs(ServiceClass serviceClass) const
    {
        return m_serviceTimes.mean(defaultRank(serviceClass));
    }
    /// Load of this guard, for the balancer. May outlive the guard.
    std::shared_ptr<const SlotGauge> gauge() const
    {
        return m_gauge;
    }

private:
    struct Entry {
        GuardEntryId id;
        std::size_t caller = 0; ///< index in `m_callers`
        TimeMs deadline = 0;
        TimeMs startedAt = 0;
        ServiceClass serviceClass = ServiceClass::Interactive;
        std::uint32_t rank = 0;
        std::uint64_t kind = 0;
        TimeMs objectiveMs = 0;
        TimeMs objectiveDeadline = 0;
        bool usesLink = false;
        double startFactor = 1; ///< speed factor when the request started
        GuardState state = GuardState::Wait;
        Reason refusal = Reason::None; ///< for entries whose refusal `nextDecision` still has to return
    };
    struct Caller {
        std::uint64_t hash = 0; ///< of the caller's name
        std::uint32_t entryCount = 0;
    };

    Entry *find(GuardEntryId id);
    std::size_t findOrAddCaller(std::uint64_t hash);
    std::uint32_t entryCountOf(std::uint64_t hash) const;
    void remove(Entry &entry);
    /// Order of waiting requests. The lower rank goes first. Within a rank, requests without an objective go first,
    /// then those with the shorter objective. Requests with the same objective go in the order in which they have to be
    /// answered, those that will miss it last. Among requests without an objective, the caller with fewer entries goes
    /// first, then the earlier deadline.
    bool goesBefore(const Entry &a, const Entry &b, TimeMs now) const;
    static std::uint32_t effectiveRank(const GuardRequest &request)
    {
        return request.rank.value_or(defaultRank(request.serviceClass));
    }
    Entry makeEntry(const GuardRequest &request) const;
    /// The request will probably miss its objective, even if it starts now.
    bool willMissObjective(const Entry &entry, TimeMs now) const;
    /// Refuses the last waiting request if `candidate` has the better claim to its place. Returns whether it did.
    bool evictFor(const Entry &candidate, std::uint64_t callerHash, TimeMs now);
    /// A slot is free for a request of the class.
    bool mayStart(ServiceClass serviceClass, TimeMs now) const;
    /// The request is expected to finish before its deadline, or nothing runs.
    bool canMeetDeadline(const Entry &entry, double waitMs, TimeMs now) const;
    /// The request meets its objective after the wait, or would be the first in the queue.
    bool isWaitAcceptable(const Entry &entry, double waitMs, TimeMs now) const;
    double expectedServiceMs(const Entry &entry) const
    {
        return m_serviceTimes.mean(entry.kind) * m_speedFactor;
    }
    /// Mean of the expected service times of the running requests.
    double meanServiceMsOfRunning() const;
    double expectedWaitMs(const Entry &entry, TimeMs now) const;
    /// Time on the link of an answer of the mean size, 0 when that size is not known.
    double expectedTransferMs(const Entry &entry) const;
    /// Time until the link has sent the large answers of all admitted requests.
    double linkBacklogMs() const;
    /// The link is expected to send the request's answer within `limitMs`, or is idle. True without an objective.
    bool canTransferWithin(const Entry &entry, double limitMs) const;
    /// Expected time until the slots are done with the waiting requests and, if the refused request uses the link, the
    /// link with the large answers.
    TimeMs backlogMs(const Entry &refused) const;
    /// Why a new request has to be refused, or `Reason::None`.
    Reason refusalReason(const GuardRequest &request, const Entry &entry, TimeMs now) const;
    /// First of the waiting requests for which a slot is free, or null.
    Entry *nextToStart(TimeMs now);
    /// A request that has been refused or cannot be answered in time any more, or null.
    Entry *nextToRefuse(TimeMs now);
    void start(Entry &entry, TimeMs now);
    GuardDecision refuse(Entry &entry);
    /// Marks all waiting requests as refused.
    void refuseAllWaiting(Reason reason);
    /// Starts or extends the time during which bulk work is limited to half of the slots.
    void limitBulk(TimeMs now);
    /// Writes the load to the gauge.
    void updateGauge();

    GuardConfig m_config;
    std::uint64_t m_serviceHash = 0; ///< hash of the service name, 0 when nothing is served
    std::uint32_t m_slots = 0;
    std::uint32_t m_running = 0;
    std::uint32_t m_runningBulk = 0;
    std::uint32_t m_waiting = 0;
    bool m_draining = false;
    TimeMs m_bulkLimitedUntil = 0;
    std::uint64_t m_lastId = 0;
    HostSpeed m_speed;
    double m_speedFactor = 1; ///< of `m_speed` at the last input
    MeanByKind m_serviceTimes; ///< in ms at usual speed, by kind of work, or by rank for requests without a kind
    MeanByKind m_answerBytes; ///< of answers that use the link, by kind of work, or by rank
    /// At most slots + queue, apart from refusals that `nextDecision` still has to return.
    std::vector<Entry> m_entries;
    /// Callers of the entries. Places without entries are reused, so that there are never more places than entries that
    /// were held at one time.
    std::vector<Caller> m_callers;
    std::shared_ptr<SlotGauge> m_gauge;
};

} // namespace fulmarledge
