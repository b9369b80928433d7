#include "fulmarledge/slotguard.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace fulmarledge {

namespace {

std::uint64_t hashOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

SlotGuard::SlotGuard(const GuardConfig &config)
    : m_config(config)
    , m_gauge(std::make_shared<SlotGauge>())
{
}

void SlotGuard::serve(std::string_view service, std::uint32_t slots, TimeMs now)
{
    const std::uint64_t hash = hashOf(service);
    if (hash != m_serviceHash) {
        refuseAllWaiting(Reason::WrongHost);
        m_serviceTimes.clear();
        m_answerBytes.clear();
        m_bulkLimitedUntil = now;
    }
    m_serviceHash = hash;
    m_slots = slots;
    m_draining = false;
    const std::size_t capacity = std::size_t{slots} * (1 + m_config.maxQueuedPerSlot) + 1;
    m_entries.reserve(capacity);
    m_callers.reserve(capacity);
    updateGauge();
}

SlotGuard::Entry SlotGuard::makeEntry(const GuardRequest &request) const
{
    Entry entry;
    entry.deadline = request.deadline;
    entry.serviceClass = request.serviceClass;
    entry.rank = effectiveRank(request);
    entry.kind = request.kind != 0 ? request.kind : entry.rank;
    entry.objectiveMs = request.objectiveMs;
    entry.objectiveDeadline = request.objectiveDeadline;
    entry.usesLink = request.usesLink && m_config.answerBytesPerMs > 0;
    return entry;
}

GuardDecision SlotGuard::submit(const GuardRequest &request, TimeMs now)
{
    const std::uint64_t callerHash = hashOf(request.caller);
    const Entry candidate = makeEntry(request);
    m_speedFactor = m_speed.factor(now);
    Reason reason = refusalReason(request, candidate, now);
    const bool queueFull = m_waiting >= m_slots * m_config.maxQueuedPerSlot;
    const bool startsNow = m_waiting == 0 && mayStart(request.serviceClass, now);
    if (reason == Reason::None && !startsNow && queueFull && !evictFor(candidate, callerHash, now)) {
        reason = Reason::QueueFull;
    }
    if (reason != Reason::None) {
        return {GuardState::Refuse, {}, reason, backlogMs(candidate)};
    }
    Entry &entry = m_entries.emplace_back(candidate);
    entry.id = {++m_lastId};
    entry.caller = findOrAddCaller(callerHash);
    ++m_callers[entry.caller].entryCount;
    ++m_waiting;
    if (startsNow) {
        start(entry, now);
    } else if (request.serviceClass == ServiceClass::Interactive) {
        limitBulk(now);
    }
    updateGauge();
    return {entry.state, entry.id, Reason::None, 0};
}

bool SlotGuard::finish(GuardEntryId id, bool answered, TimeMs now, std::size_t answerBytes)
{
    Entry *entry = find(id);
    if (entry == nullptr || entry->state != GuardState::Run) {
        return false;
    }
    // The speed may have changed while the request ran. The mean of both ends is the best that is known.
    m_speedFactor = m_speed.factor(now);
    const double factor = (entry->startFactor + m_speedFactor) / 2;
    m_serviceTimes.add(entry->kind, static_cast<double>(now - entry->startedAt) / factor, answered,
                       m_config.sampleWeight);
    if (entry->usesLink && answered) {
        m_answerBytes.add(entry->kind, static_cast<double>(answerBytes), true, m_config.sampleWeight);
    }
    --m_running;
    m_runningBulk -= entry->serviceClass == ServiceClass::Bulk ? 1 : 0;
    remove(*entry);
    updateGauge();
    return true;
}

GuardCancelResult SlotGuard::cancel(GuardEntryId id)
{
    Entry *entry = find(id);
    if (entry == nullptr) {
        return GuardCancelResult::Unknown;
    }
    if (entry->state == GuardState::Run) {
        return GuardCancelResult::Running;
    }
    m_waiting -= entry->state == GuardState::Wait ? 1 : 0;
    remove(*entry);
    updateGauge();
    return GuardCancelResult::Removed;
}

void SlotGuard::reportSpeed(std::uint32_t percent, TimeMs now)
{
    m_speed.report(percent, now);
    m_speedFactor = m_speed.factor(now);
}

std::optional<GuardDecision> SlotGuard::nextDecision(TimeMs now)
{
    m_speedFactor = m_speed.factor(now);
    if (Entry *entry = nextToRefuse(now)) {
        return refuse(*entry);
    }
    Entry *entry = nextToStart(now);
    if (entry == nullptr) {
        return std::nullopt;
    }
    if (!canMeetDeadline(*entry, 0, now)) {
        entry->refusal = Reason::DeadlineUnreachable;
        return refuse(*entry);
    }
    if (entry->serviceClass == ServiceClass::Interactive) {
        limitBulk(now);
    }
    start(*entry, now);
    updateGauge();
    return GuardDecision{GuardState::Run, entry->id, Reason::None, 0};
}

std::optional<TimeMs> SlotGuard::nextWakeup() const
{
    std::optional<TimeMs> earliest;
    for (const Entry &entry : m_entries) {
        if (entry.state != GuardState::Wait) {
            continue;
        }
        const TimeMs neededMs = entry.objectiveMs > 0 ? static_cast<TimeMs>(expectedServiceMs(entry)) : 0;
        if (!earliest || entry.deadline - neededMs < *earliest) {
            earliest = entry.deadline - neededMs;
        }
    }
    // While a slot is free, bulk work may wait for nothing but the end of its limit. No other event would start it.
    if (earliest && m_running < m_slots) {
        earliest = std::min(*earliest, m_bulkLimitedUntil);
    }
    return earliest;
}

void SlotGuard::drain()
{
    m_draining = true;
    // A backend server that leaves must get no new work after 3 s. Waiting requests certainly did not run, so they are
    // refused at once and can be sent to another backend server.
    refuseAllWaiting(Reason::Draining);
    updateGauge();
}

Reason SlotGuard::refusalReason(const GuardRequest &request, const Entry &entry, TimeMs now) const
{
    if (hashOf(request.service) != m_serviceHash || m_slots == 0) {
        return Reason::WrongHost;
    }
    if (m_draining) {
        return Reason::Draining;
    }
    if (request.deadline <= now) {
        return Reason::DeadlineExceeded;
    }
    const double waitMs = mayStart(request.serviceClass, now) ? 0 : expectedWaitMs(entry, now);
    // A request that need not wait stays, unless the host is much slower than usual at this moment.
    if (request.spillDeadline > 0 && (waitMs > 0 || m_speedFactor >= m_config.slowFactor)
        && static_cast<double>(request.spillDeadline - now) < waitMs + expectedServiceMs(entry)) {
        return Reason::ZoneBusy;
    }
    if (entry.usesLink) {
        if (request.spillDeadline > 0 && !canTransferWithin(entry, static_cast<double>(request.spillDeadline - now))) {
            return Reason::ZoneBusy;
        }
        const double share = request.fromOtherZone ? m_config.otherZoneObjectiveShare : 1;
        if (!canTransferWithin(entry, static_cast<double>(entry.objectiveMs) * share)) {
            return Reason::LinkBusy;
        }
    }
    const bool admitted = canMeetDeadline(entry, waitMs, now) && isWaitAcceptable(entry, waitMs, now);
    return admitted ? Reason::None : Reason::DeadlineUnreachable;
}

bool SlotGuard::canMeetDeadline(const Entry &entry, double waitMs, TimeMs now) const
{
    // While nothing runs, a request is admitted whatever the mean service time is. Otherwise a mean from a slow period
    // could refuse all requests and would never be updated again.
    if (m_running == 0) {
        return true;
    }
    return static_cast<double>(entry.deadline - now) >= waitMs + expectedServiceMs(entry);
}

bool SlotGuard::willMissObjective(const Entry &entry, TimeMs now) const
{
    return entry.objectiveMs > 0 && static_cast<double>(entry.objectiveDeadline - now) < expectedServiceMs(entry);
}

// Under sustained overload every admitted request waits for as long as admission allows, so this limit decides whether
// answers come in time. A request that lost time elsewhere is also measured against its whole objective. That loss is
// what makes it late, and its wait here is as short as that of other requests.
bool SlotGuard::isWaitAcceptable(const Entry &entry, double waitMs, TimeMs now) const
{
    if (entry.objectiveMs == 0 || waitMs == 0
        || static_cast<double>(entry.objectiveMs) >= waitMs + expectedServiceMs(entry) * m_config.admissionMargin) {
        return true;
    }
    // The first request in the queue gets the next free slot. Nested calls, whose callers hold slots, are therefore
    // admitted beside slow requests.
    return std::none_of(m_entries.begin(), m_entries.end(), [&](const Entry &other) {
        return other.state == GuardState::Wait && goesBefore(other, entry, now);
    });
}

double SlotGuard::meanServiceMsOfRunning() const
{
    double sum = 0;
    for (const Entry &entry : m_entries) {
        sum += entry.state == GuardState::Run ? expectedServiceMs(entry) : 0;
    }
    return m_running > 0 ? sum / m_running : 0;
}

double SlotGuard::expectedWaitMs(const Entry &entry, TimeMs now) const
{
    if (m_slots == 0) {
        return 0;
    }
    // A running request has to finish, and the waiting requests that go first have to pass through the slots.
    double workMs = meanServiceMsOfRunning();
    for (const Entry &other : m_entries) {
        // The order of requests without an objective depends on their deadlines, which say little about the requests
        // that arrive meanwhile. All waiting requests of the same or a lower rank count then.
        const bool goesFirst = entry.objectiveMs > 0 ? goesBefore(other, entry, now) : other.rank <= entry.rank;
        if (other.state == GuardState::Wait && goesFirst) {
            workMs += expectedServiceMs(other);
        }
    }
    return workMs / m_slots;
}

double SlotGuard::expectedTransferMs(const Entry &entry) const
{
    return entry.usesLink ? m_answerBytes.mean(entry.kind) / m_config.answerBytesPerMs : 0;
}

double SlotGuard::linkBacklogMs() const
{
    double result = 0;
    if (m_config.linkGauge) {
        result = static_cast<double>(m_config.linkGauge->waitingBytes.load(std::memory_order_relaxed))
            / m_config.answerBytesPerMs;
    }
    for (const Entry &entry : m_entries) {
        result += entry.state == GuardState::Refuse ? 0 : expectedTransferMs(entry);
    }
    return result;
}

// Answers leave one after the other, so requests beyond the rate of the link only make all answers late, even while
// slots are free. The margin keeps the queue short. Under sustained overload each answer waits for as long as admission
// allows, and a longer queue would not send more answers.
bool SlotGuard::canTransferWithin(const Entry &entry, double limitMs) const
{
    const double backlog = linkBacklogMs();
    // An idle link accepts an answer of any size. Otherwise a kind with large answers would never be served.
    return entry.objectiveMs == 0 || backlog == 0
        || (backlog + expectedTransferMs(entry)) * m_config.admissionMargin <= limitMs;
}

TimeMs SlotGuard::backlogMs(const Entry &refused) const
{
    if (m_slots == 0) {
        return 0;
    }
    double workMs = meanServiceMsOfRunning();
    for (const Entry &entry : m_entries) {
        workMs += entry.state == GuardState::Wait ? expectedServiceMs(entry) : 0;
    }
    const double linkMs = refused.usesLink ? linkBacklogMs() : 0;
    return static_cast<TimeMs>(std::ceil(std::max(workMs / m_slots, linkMs)));
}

bool SlotGuard::mayStart(ServiceClass serviceClass, TimeMs now) const
{
    if (m_draining || m_running >= m_slots) {
        return false;
    }
    return serviceClass == ServiceClass::Interactive || now >= m_bulkLimitedUntil || m_runningBulk < m_slots / 2;
}

void SlotGuard::limitBulk(TimeMs now)
{
    // Running bulk work cannot be interrupted. If the limit ended as soon as no interactive request waits, bulk work
    // would take every slot in each gap, and each interactive request would wait for a bulk request.
    m_bulkLimitedUntil = now + m_config.bulkLimitHoldMs;
}

bool SlotGuard::goesBefore(const Entry &a, const Entry &b, TimeMs now) const
{
    if (a.rank != b.rank) {
        return a.rank < b.rank;
    }
    if (a.objectiveMs != b.objectiveMs) {
        // Nested calls have shorter objectives, and the request that waits for a nested call holds a slot elsewhere.
        // To avoid priority inversion they go before new requests of their rank, even when they are late.
        return a.objectiveMs < b.objectiveMs;
    }
    if (a.objectiveMs > 0) {
        const bool missesA = willMissObjective(a, now);
        const bool missesB = willMissObjective(b, now);
        if (missesA != missesB) {
            return missesB;
        }
        return a.objectiveDeadline != b.objectiveDeadline ? a.objectiveDeadline < b.objectiveDeadline
                                                          : a.id.value < b.id.value;
    }
    const std::uint32_t countA = m_callers[a.caller].entryCount;
    const std::uint32_t countB = m_callers[b.caller].entryCount;
    if (countA != countB) {
        return countA < countB;
    }
    return a.deadline != b.deadline ? a.deadline < b.deadline : a.id.value < b.id.value;
}

bool SlotGuard::evictFor(const Entry &candidate, std::uint64_t callerHash, TimeMs now)
{
    Entry *last = nullptr;
    for (Entry &entry : m_entries) {
        if (entry.state == GuardState::Wait && (last == nullptr || goesBefore(*last, entry, now))) {
            last = &entry;
        }
    }
    if (last == nullptr) {
        return false;
    }
    const bool lowerRank = candidate.rank < last->rank;
    const bool sameRank = candidate.rank == last->rank;
    const bool fewerEntries
        = sameRank && candidate.objectiveMs == 0 && entryCountOf(callerHash) + 1 < m_callers[last->caller].entryCount;
    const bool shorterObjective = sameRank && candidate.objectiveMs > 0 && candidate.objectiveMs < last->objectiveMs;
    if (!lowerRank && !fewerEntries && !shorterObjective) {
        return false;
    }
    last->refusal = Reason::QueueFull;
    last->state = GuardState::Refuse;
    --m_waiting;
    return true;
}

SlotGuard::Entry *SlotGuard::nextToStart(TimeMs now)
{
    Entry *best = nullptr;
    for (Entry &entry : m_entries) {
        if (entry.state == GuardState::Wait && mayStart(entry.serviceClass, now)
            && (best == nullptr || goesBefore(entry, *best, now))) {
            best = &entry;
        }
    }
    return best;
}

SlotGuard::Entry *SlotGuard::nextToRefuse(TimeMs now)
{
    for (Entry &entry : m_entries) {
        if (entry.state == GuardState::Refuse) {
            return &entry;
        }
        if (entry.state == GuardState::Wait && entry.deadline <= now) {
            entry.refusal = Reason::DeadlineExceeded;
            return &entry;
        }
        if (entry.state == GuardState::Wait && entry.objectiveMs > 0 && !canMeetDeadline(entry, 0, now)) {
            entry.refusal = Reason::DeadlineUnreachable;
            return &entry;
        }
    }
    return nullptr;
}

GuardDecision SlotGuard::refuse(Entry &entry)
{
    const GuardDecision decision{GuardState::Refuse, entry.id, entry.refusal, backlogMs(entry)};
    m_waiting -= entry.state == GuardState::Wait ? 1 : 0;
    remove(entry);
    updateGauge();
    return decision;
}

void SlotGuard::refuseAllWaiting(Reason reason)
{
    for (Entry &entry : m_entries) {
        if (entry.state == GuardState::Wait) {
            entry.state = GuardState::Refuse;
            entry.refusal = reason;
            --m_waiting;
        }
    }
}

void SlotGuard::start(Entry &entry, TimeMs now)
{
    entry.state = GuardState::Run;
    entry.startedAt = now;
    entry.startFactor = m_speedFactor;
    --m_waiting;
    ++m_running;
    m_runningBulk += entry.serviceClass == ServiceClass::Bulk ? 1 : 0;
}

SlotGuard::Entry *SlotGuard::find(GuardEntryId id)
{
    const auto found
        = std::find_if(m_entries.begin(), m_entries.end(), [id](const Entry &entry) { return entry.id == id; });
    return found == m_entries.end() ? nullptr : &*found;
}

void SlotGuard::remove(Entry &entry)
{
    --m_callers[entry.caller].entryCount;
    entry = m_entries.back();
    m_entries.pop_back();
}

std::size_t SlotGuard::findOrAddCaller(std::uint64_t hash)
{
    std::size_t unused = m_callers.size();
    for (std::size_t i = 0; i < m_callers.size(); ++i) {
        if (m_callers[i].entryCount == 0) {
            unused = i;
        } else if (m_callers[i].hash == hash) {
            return i;
        }
    }
    if (unused == m_callers.size()) {
        m_callers.emplace_back();
    }
    m_callers[unused] = {hash, 0};
    return unused;
}

std::uint32_t SlotGuard::entryCountOf(std::uint64_t hash) const
{
    const auto found = std::find_if(m_callers.begin(), m_callers.end(),
                                    [hash](const Caller &caller) { return caller.hash == hash; });
    return found == m_callers.end() ? 0 : found->entryCount;
}

void SlotGuard::updateGauge()
{
    const bool hasFreeSlots = !m_draining && m_waiting == 0 && m_running < m_slots;
    m_gauge->freeSlots.store(hasFreeSlots ? m_slots - m_running : 0, std::memory_order_relaxed);
    m_gauge->outstanding.store(m_running + m_waiting, std::memory_order_relaxed);
}

} // namespace fulmarledge
