#include <catch2/catch.hpp>
#include <map>
#include <vector>

#include "fulmarledge/slotguard.h"
#include "request_fakes.h"

using namespace fulmarledge;
using namespace fulmarledge::requesttest;

namespace {

constexpr std::uint64_t kBooking = 1;
constexpr std::uint64_t kNested = 2;
constexpr std::uint64_t kLookup = 3;

GuardRequest request(std::uint64_t kind, TimeMs objectiveMs, TimeMs deadline, TimeMs now, std::uint32_t rank = 1)
{
    GuardRequest result;
    result.service = "desk";
    result.rank = rank;
    result.kind = kind;
    result.objectiveMs = objectiveMs;
    result.objectiveDeadline = now + objectiveMs;
    result.deadline = deadline;
    return result;
}

/// Runs one request of the kind, so that the guard knows its mean service time.
void learnServiceTime(SlotGuard &guard, std::uint64_t kind, TimeMs serviceMs, TimeMs &now)
{
    const GuardDecision decision = guard.submit(request(kind, 100000, now + 100000, now), now);
    REQUIRE(decision.state == GuardState::Run);
    now += serviceMs;
    REQUIRE(guard.finish(decision.id, true, now));
}

} // namespace

// Guards against priority inversion. The request that waits for a nested call holds a slot of another service, so a
// nested call must not wait behind new requests of its rank.
TEST_CASE("nested calls go before waiting requests of their rank and get a place in a full queue")
{
    TimeMs now = 0;
    SlotGuard guard;
    guard.serve("desk", 2, now);
    learnServiceTime(guard, kBooking, 210, now);
    learnServiceTime(guard, kNested, 40, now);
    std::vector<GuardEntryId> running;
    for (int i = 0; i < 2; ++i) {
        running.push_back(guard.submit(request(kBooking, 600, now + 2000, now), now).id);
    }
    int waiting = 0;
    while (guard.submit(request(kBooking, 600, now + 2000, now), now).state == GuardState::Wait) {
        ++waiting;
    }
    CHECK(waiting > 0);
    const GuardDecision nested = guard.submit(request(kNested, 150, now + 500, now), now);
    REQUIRE(nested.state == GuardState::Wait);
    now += 100;
    guard.finish(running[0], true, now);
    std::vector<GuardDecision> decisions;
    while (const auto decision = guard.nextDecision(now)) {
        decisions.push_back(*decision);
    }
    REQUIRE_FALSE(decisions.empty());
    bool started = false;
    for (const GuardDecision &decision : decisions) {
        started = started || (decision.state == GuardState::Run && decision.id == nested.id);
    }
    CHECK(started);
}

// Guards against queueing beyond the objective, which makes all answers late. The load is one and a half times the
// capacity.
TEST_CASE("under sustained overload answers meet their objective and the other requests are refused at once")
{
    constexpr TimeMs kServiceMs = 200;
    constexpr TimeMs kObjectiveMs = 500;
    constexpr std::uint32_t kSlots = 12;
    SeededRandom random(7);
    SlotGuard guard;
    TimeMs now = 0;
    guard.serve("desk", kSlots, now);
    learnServiceTime(guard, kLookup, kServiceMs, now);
    std::map<std::uint64_t, TimeMs> arrivals;
    std::multimap<TimeMs, GuardEntryId> ends;
    int inTime = 0;
    int answered = 0;
    int refusedLate = 0;
    const TimeMs startTime = now;
    const auto start = [&](GuardEntryId id) { ends.emplace(now + random.between(100, 300), id); };
    const auto applyDecisions = [&] {
        while (const auto decision = guard.nextDecision(now)) {
            if (decision->state == GuardState::Run) {
                start(decision->id);
            } else {
                refusedLate += now - arrivals[decision->id.value] > kObjectiveMs ? 1 : 0;
            }
        }
    };
    double dueRequests = 0;
    while (now < startTime + 20000) {
        ++now;
        while (!ends.empty() && ends.begin()->first <= now) {
            const GuardEntryId id = ends.begin()->second;
            ends.erase(ends.begin());
            guard.finish(id, true, now);
            ++answered;
            inTime += now - arrivals[id.value] <= kObjectiveMs ? 1 : 0;
            applyDecisions();
        }
        for (dueRequests += 1.5 * kSlots / kServiceMs; dueRequests >= 1; --dueRequests) {
            const GuardDecision decision = guard.submit(request(kLookup, kObjectiveMs, now + 1500, now, 2), now);
            if (decision.state == GuardState::Refuse) {
                CHECK(decision.retryAfterMs > 0);
                continue;
            }
            arrivals[decision.id.value] = now;
            if (decision.state == GuardState::Run) {
                start(decision.id);
            }
        }
        applyDecisions();
    }
    const double capacity = 20000.0 * kSlots / kServiceMs;
    CHECK(answered > 0.95 * capacity);
    CHECK(inTime > 0.9 * answered);
    CHECK(refusedLate < 0.05 * answered);
}

// Guards against requests that wait in their data centre while another one has free slots.
TEST_CASE("a request that another data centre may take is refused when it would wait too long")
{
    TimeMs now = 0;
    SlotGuard guard;
    guard.serve("desk", 1, now);
    learnServiceTime(guard, kLookup, 200, now);
    GuardRequest lookup = request(kLookup, 500, now + 1500, now, 2);
    lookup.spillDeadline = now + 250;
    const GuardDecision first = guard.submit(lookup, now);
    CHECK(first.state == GuardState::Run);
    CHECK(guard.submit(lookup, now).reason == Reason::ZoneBusy);
    lookup.spillDeadline = 0;
    CHECK(guard.submit(lookup, now).state == GuardState::Wait);
}
