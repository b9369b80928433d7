#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "fulmarledge/kindmeans.h"
#include "fulmarledge/linkpacer.h"
#include "fulmarledge/manifest.h"
#include "fulmarledge/types.h"
#include "fulmarledge/verdict.h"

namespace fulmarledge {

/// Request held by a slot guard. Never reused by the same guard.
struct GuardEntryId {
    std::uint64_t value = 0;

    bool operator==(const GuardEntryId &) const = default;
};

inline bool isValid(GuardEntryId id)
{
    return id.value != 0;
}

struct GuardConfig {
    std::uint32_t queuePerSlot = 2; ///< waiting requests per slot
    TimeMs bulkLimitMs = 1000; ///< how long bulk stays limited to half of the slots after interactive work waited
    /// Multiple of the mean service time that must fit into the objective after the wait. Service times scatter, and
    /// without a margin half of the requests at the bound would be late.
    double serviceMargin = 1.5;
    double serviceTimeWeight = 0.1; ///< weight of a new sample in the mean service time and the mean size
    double answerBytesPerMs = 0; ///< rate at which large answers leave the host; 0: taken for unlimited
    /// Part of the objective within which a large answer for another data centre has to leave. The rest of the queue is
    /// kept for callers of the own one, whose answers do not use the links between data centres.
    double otherZoneShare = 0.5;
    std::shared_ptr<const LinkGauge> link; ///< large answers that wait to leave; null for none
};

struct GuardRequest {
    std::string_view service;
    std::string_view caller;
    ServiceClass serviceClass = ServiceClass::Interactive;
    TimeMs deadline = 0;
    std::optional<std::uint32_t> rank = std::nullopt; ///< lower ranks go first; the rank of the class when not set
    std::uint64_t kind = 0; ///< work of one kind takes similar time; 0: all work of the rank is of one kind
    TimeMs objectiveMs = 0; ///< latency objective of the kind; 0 for none
    TimeMs objective = 0; ///< when this request misses it, for a request that has one
    TimeMs spillBy = 0; ///< refused if it has to wait and cannot be expected to finish by this time; 0 for none
    bool usesLink = false; ///< the answer is large and leaves the host
    bool fromOtherZone = false;
};

/// Rank of a class's requests where the manifest gives none.
constexpr std::uint32_t rankOf(ServiceClass serviceClass)
{
    return serviceClass == ServiceClass::Interactive ? 0 : 1;
}

enum class GuardState : std::uint8_t { Run, Wait, Refuse };

/// Decision on one request. A refusal is always made before dispatch: the request did not run.
struct GuardDecision {
    GuardState state = GuardState::Refuse;
    GuardEntryId id; ///< invalid for a refusal by `submit`
    Reason reason = Reason::None;
    TimeMs retryAfterMs = 0;
};

enum class GuardCancel : std::uint8_t {
    Unknown, ///< finished or refused before
    Removed, ///< was waiting: did not run
    Running, ///< holds its slot until `finish`
};

/// Load of the guard, readable by any thread without a lock.
struct SlotGauge {
    std::atomic<std::uint32_t> freeSlots{0};
    std::atomic<std::uint32_t> outstanding{0}; ///< running and waiting
};

/// Admission to the slots of the local backend server. Not synchronised: one thread, or one lock around each call.
class SlotGuard
{
public:
    explicit SlotGuard(const GuardConfig &config = {});

    /// Serves `service` with `slots` slots from now on. Ends a drain. Work of another service is refused by `next`.
    void serve(std::string_view service, std::uint32_t slots, TimeMs now);

    /// Admits, queues or refuses a request. Call `next` until it is empty afterwards.
    GuardDecision submit(const GuardRequest &request, TimeMs now);

    /// Frees the slot of a running request.
    /// @param answered false when the request was cut, so that its time is only a lower bound of the service time
    /// @param answerBytes size of the answer
    /// @return false when the id is not running
    bool finish(GuardEntryId id, bool answered, TimeMs now, std::size_t answerBytes = 0);

    GuardCancel cancel(GuardEntryId id);

    /// Next waiting request to run or to refuse, if any. Call after each other input, and at `nextWakeup`.
    std::optional<GuardDecision> next(TimeMs now);

    /// When `next` may have something to report without another input.
    std::optional<TimeMs> nextWakeup() const;

    /// Refuses new and waiting requests from now on. Running ones finish.
    void drain();

    bool isDraining() const
    {
        return m_draining;
    }
    /// Nothing runs, waits or is still to be reported by `next`. While draining: the backend server can stop.
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
    /// Mean service time in ms, 0 before the first sample.
    double serviceTimeMs(ServiceClass serviceClass) const
    {
        return m_serviceTimes.mean(rankOf(serviceClass));
    }
    /// For the balancer. Lives longer than the guard if needed.
    std::shared_ptr<const SlotGauge> gauge() const
    {
        return m_gauge;
    }

private:
    struct Entry {
        GuardEntryId id;
        std::size_t caller = 0; ///< index in `m_callers`
        TimeMs deadline = 0;
        TimeMs started = 0;
        ServiceClass serviceClass = ServiceClass::Interactive;
        std::uint32_t rank = 0;
        std::uint64_t kind = 0;
        TimeMs objectiveMs = 0;
        TimeMs objective = 0;
        bool usesLink = false;
        GuardState state = GuardState::Wait;
        Reason refusal = Reason::None; ///< for entries that `next` still has to report as refused
    };
    struct Caller {
        std::uint64_t hash = 0;
        std::uint32_t work = 0;
    };

    Entry *find(GuardEntryId id);
    std::size_t callerIndex(std::uint64_t hash);
    std::uint32_t workOf(std::uint64_t hash) const;
    void remove(Entry &entry);
    bool goesBefore(const Entry &a, const Entry &b, TimeMs now) const;
    static std::uint32_t effectiveRank(const GuardRequest &request)
    {
        return request.rank.value_or(rankOf(request.serviceClass));
    }
    Entry entryOf(const GuardRequest &request) const;
    bool isLate(const Entry &entry, TimeMs now) const;
    bool makeRoom(const Entry &entry, std::uint64_t callerHash, TimeMs now);
    bool mayStart(ServiceClass serviceClass, TimeMs now) const;
    bool canMeet(const Entry &entry, double waitMs, TimeMs now) const;
    bool isWorthWaiting(const Entry &entry, double waitMs, TimeMs now) const;
    double serviceMs(const Entry &entry) const
    {
        return m_serviceTimes.mean(entry.kind);
    }
    double runningMeanMs() const;
    double expectedWaitMs(const Entry &entry, TimeMs now) const;
    /// Time on the link of an answer of the mean size; 0 when that is not known.
    double transferMs(const Entry &entry) const;
    /// Time until the link has sent the large answers of all admitted work.
    double linkBacklogMs() const;
    bool fitsLink(const Entry &entry, double byMs) const;
    TimeMs backlogMs(const Entry &entry) const;
    Reason check(const GuardRequest &request, const Entry &entry, TimeMs now) const;
    Entry *bestWaiting(TimeMs now);
    Entry *mustRefuse(TimeMs now);
    void start(Entry &entry, TimeMs now);
    GuardDecision refuse(Entry &entry);
    void refuseWaiting(Reason reason);
    void limitBulk(TimeMs now);
    void publish();

    GuardConfig m_config;
    std::uint64_t m_service = 0; ///< hash of the service name, 0 when nothing is served
    std::uint32_t m_slots = 0;
    std::uint32_t m_running = 0;
    std::uint32_t m_runningBulk = 0;
    std::uint32_t m_waiting = 0;
    bool m_draining = false;
    TimeMs m_bulkLimitedUntil = 0;
    std::uint64_t m_lastId = 0;
    KindMeans m_serviceTimes; ///< in ms, by kind of work, or by rank without one
    KindMeans m_answerBytes; ///< of answers that use the link, by kind of work
    std::vector<Entry> m_entries; ///< at most slots + queue
    std::vector<Caller> m_callers; ///< callers with work in the guard, places reused: no more than entries at once
    std::shared_ptr<SlotGauge> m_gauge;
};

} // namespace fulmarledge
