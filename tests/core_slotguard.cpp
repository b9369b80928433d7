#include <catch2/catch.hpp>
#include <set>

#include "fulmarledge/slotguard.h"
#include "request_fakes.h"

using namespace fulmarledge;
using namespace fulmarledge::requesttest;

namespace {

struct Fixture {
    explicit Fixture(std::uint32_t slots = 2)
    {
        guard.serve("bookings", slots, now);
    }
    GuardDecision submit(std::string_view caller, TimeMs deadline = 10000,
                         ServiceClass serviceClass = ServiceClass::Interactive)
    {
        return guard.submit({"bookings", caller, serviceClass, deadline}, now);
    }
    GuardDecision next()
    {
        return guard.nextDecision(now).value_or(GuardDecision{});
    }

    TimeMs now = 0;
    SlotGuard guard;
};

} // namespace

// Guards against unbounded queues, and against requests for a service that this host does not serve.
TEST_CASE("the slot guard refuses requests beyond its slots and queue, and requests of another service")
{
    Fixture f;
    for (int i = 0; i < 6; ++i) {
        CHECK(f.submit("caller").state == (i < 2 ? GuardState::Run : GuardState::Wait));
    }
    CHECK(f.submit("caller").reason == Reason::QueueFull);
    CHECK(f.guard.submit({"drawings", "caller", ServiceClass::Interactive, 10000}, 0).reason == Reason::WrongHost);
    CHECK(f.guard.gauge()->freeSlots == 0);
    CHECK(f.guard.gauge()->outstanding == 6);
}

// Guards against starting in order of arrival, which misses deadlines that could be met, and against running expired
// requests.
TEST_CASE("waiting requests start in order of deadline, and expired ones are refused")
{
    Fixture f;
    const GuardDecision running = f.submit("a");
    f.submit("a2");
    const GuardDecision late = f.submit("b", 900);
    const GuardDecision expired = f.submit("c", 100);
    const GuardDecision soon = f.submit("d", 500);
    CHECK_FALSE(f.guard.nextDecision(0));
    CHECK(f.guard.nextWakeup() == 100);
    f.now = 120;
    CHECK(f.next().reason == Reason::DeadlineExceeded);
    CHECK(f.guard.finish(running.id, true, f.now));
    CHECK(f.next().id == soon.id);
    CHECK(f.guard.cancel(late.id) == GuardCancelResult::Removed);
    CHECK(f.guard.cancel(soon.id) == GuardCancelResult::Running);
    CHECK(f.guard.cancel(expired.id) == GuardCancelResult::Unknown);
    CHECK_FALSE(f.guard.finish(running.id, true, f.now));
    CHECK(f.guard.running() == 2);
}

// Guards against running requests that cannot finish in time, and against a mean service time from a slow period that
// refuses everything for good.
TEST_CASE("a request whose deadline cannot be met is refused, unless nothing runs")
{
    Fixture f(1);
    const GuardDecision first = f.submit("a");
    f.now = 100;
    f.guard.finish(first.id, true, f.now);
    CHECK(f.guard.meanServiceMs(ServiceClass::Interactive) == 100);
    CHECK(f.submit("a", f.now + 50).state == GuardState::Run);
    const GuardDecision unreachable = f.submit("b", f.now + 150);
    CHECK(unreachable.reason == Reason::DeadlineUnreachable);
    CHECK(unreachable.retryAfterMs == 100);
    CHECK(f.submit("b", f.now + 250).state == GuardState::Wait);
    CHECK(f.submit("b", f.now).reason == Reason::DeadlineExceeded);
}

// Guards against one caller that crowds out the others, in the order of starts and in a full queue.
TEST_CASE("the caller with the fewest requests goes first and gets a place in a full queue")
{
    Fixture f;
    const GuardDecision running = f.submit("busy");
    f.submit("busy");
    f.submit("busy", 300);
    f.submit("busy", 200);
    f.submit("busy", 400);
    f.submit("busy", 500);
    const GuardDecision quiet = f.submit("quiet", 9000);
    CHECK(quiet.state == GuardState::Wait);
    CHECK(f.next().reason == Reason::QueueFull);
    CHECK(f.submit("busy", 100).reason == Reason::QueueFull);
    f.guard.finish(running.id, true, f.now);
    CHECK(f.next().id == quiet.id);
}

// Guards against bulk work in every slot while interactive requests wait.
TEST_CASE("bulk work starts in at most half of the slots while interactive work waits and for 1 s after")
{
    Fixture f(4);
    std::vector<GuardEntryId> running;
    for (int i = 0; i < 4; ++i) {
        running.push_back(f.submit("bulk", 60000, ServiceClass::Bulk).id);
    }
    const GuardDecision waitingBulk = f.submit("bulk", 60000, ServiceClass::Bulk);
    const GuardDecision interactive = f.submit("clerk");
    f.guard.finish(running[0], true, f.now);
    CHECK(f.next().id == interactive.id);
    f.guard.finish(interactive.id, true, f.now);
    CHECK_FALSE(f.guard.nextDecision(f.now));
    CHECK(f.guard.nextWakeup() == 1000);
    f.guard.finish(running[1], true, f.now);
    CHECK_FALSE(f.guard.nextDecision(f.now));
    // After this, bulk work holds one of four slots. It may start while it holds fewer than half.
    f.guard.finish(running[2], true, f.now);
    CHECK(f.next().id == waitingBulk.id);
    CHECK(f.submit("bulk", 60000, ServiceClass::Bulk).state == GuardState::Wait);
    f.now = 1000;
    CHECK(f.next().state == GuardState::Run);
}

// Guards against new requests for a backend server that stops, and against a stop that interrupts running requests.
TEST_CASE("a drain refuses new and waiting requests, lets running ones finish and leaves the slot guard idle")
{
    Fixture f(1);
    const GuardDecision running = f.submit("a");
    const GuardDecision waiting = f.submit("b");
    f.guard.drain();
    CHECK(f.submit("c").reason == Reason::Draining);
    const GuardDecision refused = f.next();
    CHECK(refused.id == waiting.id);
    CHECK(refused.reason == Reason::Draining);
    CHECK(f.guard.finish(running.id, true, 1));
    CHECK(f.guard.isIdle());
    f.guard.serve("bookings", 1, 2);
    CHECK(f.submit("c").state == GuardState::Run);
    // A backend server of another service takes over the host. Requests that wait for the old one must not reach it.
    const GuardDecision waitingForOld = f.submit("d");
    f.guard.serve("drawings", 2, 3);
    const GuardDecision refusedOld = f.next();
    CHECK(refusedOld.id == waitingForOld.id);
    CHECK(refusedOld.reason == Reason::WrongHost);
}

// Guards against slots that are lost or given twice in some order of events.
TEST_CASE("random events keep running and waiting requests within their limits")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        INFO("seed " << seed);
        SeededRandom random(seed);
        Fixture f(static_cast<std::uint32_t>(random.between(1, 8)));
        std::set<std::uint64_t> waiting;
        std::set<std::uint64_t> running;
        const auto applyDecisions = [&] {
            while (const auto decision = f.guard.nextDecision(f.now)) {
                REQUIRE(waiting.erase(decision->id.value) == 1);
                if (decision->state == GuardState::Run) {
                    running.insert(decision->id.value);
                }
            }
        };
        for (int step = 0; step < 2000; ++step) {
            f.now += random.between(0, 5);
            const auto event = random.below(10);
            if (event < 6) {
                const auto serviceClass = random.chance(40) ? ServiceClass::Bulk : ServiceClass::Interactive;
                const std::string caller = std::to_string(random.below(4));
                const GuardDecision decision = f.submit(caller, f.now + random.between(0, 200), serviceClass);
                if (decision.state != GuardState::Refuse) {
                    REQUIRE((decision.state == GuardState::Run ? running : waiting).insert(decision.id.value).second);
                }
            } else if (event < 9 && !running.empty()) {
                const std::uint64_t id = *std::next(running.begin(), static_cast<int>(random.below(running.size())));
                running.erase(id);
                REQUIRE(f.guard.finish({id}, random.chance(80), f.now));
            } else if (!waiting.empty()) {
                REQUIRE(f.guard.cancel({*waiting.begin()}) == GuardCancelResult::Removed);
                waiting.erase(waiting.begin());
            }
            if (random.chance(1)) {
                f.guard.drain();
                applyDecisions();
                REQUIRE(waiting.empty());
                f.guard.serve("bookings", f.guard.slots(), f.now);
            }
            applyDecisions();
            REQUIRE(running.size() == f.guard.running());
            REQUIRE(waiting.size() == f.guard.waiting());
            REQUIRE(running.size() <= f.guard.slots());
            REQUIRE(waiting.size() <= 2 * f.guard.slots());
        }
    }
}
