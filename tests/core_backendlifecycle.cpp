#include <catch2/catch.hpp>

#include "fulmarledge/backendlifecycle.h"

using namespace fulmarledge;

namespace {

BackendAnnouncement notice(std::string instance, std::int64_t processStartMs, std::int64_t sequence,
                           wire::HostState::type state = wire::HostState::Serving)
{
    BackendAnnouncement result;
    result.instance = std::move(instance);
    result.processStartMs = processStartMs;
    result.sequence = sequence;
    result.service = "bookings";
    result.address = {"10.0.0.1", 8080};
    result.slots = 12;
    result.state = state;
    return result;
}

BackendAnnouncement lastNotice(std::string instance)
{
    BackendAnnouncement result;
    result.isLeaving = true;
    result.instance = std::move(instance);
    return result;
}

} // namespace

// Guards against a late announcement that brings a draining backend server back.
TEST_CASE("late and repeated announcements of one process change nothing")
{
    BackendLifecycle life;
    CHECK(life.apply(notice("a", 1000, 4), 0) == AnnouncementEffect::Applied);
    CHECK(life.apply(notice("a", 1000, 4), 10) == AnnouncementEffect::Stale);
    CHECK(life.apply(notice("a", 1000, 6, wire::HostState::Draining), 20) == AnnouncementEffect::Applied);
    CHECK(life.apply(notice("a", 1000, 5), 30) == AnnouncementEffect::Stale);
    CHECK(life.apply(notice("a", 1000, 7), 40) == AnnouncementEffect::Repeated);
    CHECK(life.current().state == wire::HostState::Draining);
}

// Guards against an announcement of an earlier process at the address that a network partition has delayed.
TEST_CASE("announcements of earlier processes change nothing")
{
    BackendLifecycle life;
    life.apply(notice("a", 1000, 90), 0);
    CHECK(life.apply(notice("b", 5000, 1), 4000) == AnnouncementEffect::Applied);
    CHECK(life.apply(notice("a", 1000, 91), 4100) == AnnouncementEffect::Stale);
    CHECK(life.apply(lastNotice("a"), 4200) == AnnouncementEffect::Stale);
    CHECK(life.current().instance == "b");
    // The same id with a later start is a new process, whose sequence starts again.
    CHECK(life.apply(notice("b", 6000, 1), 5000) == AnnouncementEffect::Applied);
    CHECK(life.apply(notice("b", 5000, 50), 5100) == AnnouncementEffect::Stale);
    CHECK(life.current().processStartMs == 6000);
}

// Guards against a wall clock that jumped back, so that a new process would be rejected for ever.
TEST_CASE("a process with an earlier start is rejected only while the current one may be alive")
{
    BackendLifecycle life;
    life.apply(notice("a", 900000, 1), 0);
    CHECK(life.apply(notice("b", 100000, 1), 1000) == AnnouncementEffect::Stale);
    CHECK(life.apply(notice("b", 100000, 5), 6000) == AnnouncementEffect::Applied);
}

// Guards against new work for a process that announced that it leaves, but not before that it drains.
TEST_CASE("a process that said that it leaves is not accepted again")
{
    BackendLifecycle life;
    life.apply(notice("a", 1000, 4), 0);
    CHECK(life.apply(lastNotice("a"), 10) == AnnouncementEffect::Applied);
    CHECK(life.current().state == wire::HostState::Draining);
    CHECK(life.apply(notice("a", 1000, 9), 20) == AnnouncementEffect::Stale);
    CHECK(life.apply(notice("b", 0, 1), 30) == AnnouncementEffect::Applied);
    CHECK(life.apply(notice("a", 1000, 10), 40) == AnnouncementEffect::Stale);
}

// Guards against a late announcement that brings back a process after the node has acknowledged that it leaves and was
// then restarted.
TEST_CASE("a process that others remember as leaving is not accepted again")
{
    BackendLifecycle retiredFirst;
    CHECK_FALSE(retiredFirst.retire({"a", 1000}, 0));
    CHECK(retiredFirst.apply(notice("a", 1000, 19), 0) == AnnouncementEffect::Stale);
    CHECK_FALSE(retiredFirst.hasCurrent());
    // The same id with a later start is a new process.
    CHECK(retiredFirst.apply(notice("a", 2000, 1), 10) == AnnouncementEffect::Applied);
    BackendLifecycle announcedFirst;
    CHECK(announcedFirst.apply(notice("a", 1000, 19), 0) == AnnouncementEffect::Applied);
    CHECK(announcedFirst.retire({"a", 1000}, 0));
    CHECK(announcedFirst.current().state == wire::HostState::Draining);
    CHECK(announcedFirst.apply(notice("a", 1000, 20), 10) == AnnouncementEffect::Stale);
    CHECK_FALSE(announcedFirst.retire({"b", 1000}, 0));
}

// Guards against a late announcement that brings back a process after a restarted node has received the last one first.
// Seen in the run hunt-594a-19 of adebayo-mesh.
TEST_CASE("a process that left before its first announcement arrived is not accepted")
{
    constexpr std::int64_t kLeftAtMs = 3000; // wall clock
    BackendLifecycle life;
    CHECK(life.apply(lastNotice("a"), 0) == AnnouncementEffect::Stale);
    const LeavingBackend leaving = life.leavingProcesses(lastNotice("a"), 0, kLeftAtMs);
    CHECK(leaving.instance == "a");
    CHECK(leaving.processStartMs == kLeftAtMs + kLeaveClockErrorMs);
    CHECK_FALSE(life.retire(leaving, 0));
    CHECK(life.apply(notice("a", 1000, 19), 1200) == AnnouncementEffect::Stale);
    CHECK_FALSE(life.hasCurrent());
    CHECK(life.apply(notice("b", 3000, 1), 1300) == AnnouncementEffect::Applied);
    CHECK(life.apply(notice("a", 1000, 20), 9000) == AnnouncementEffect::Stale);
    // The same id can belong to a later process.
    CHECK(life.apply(notice("a", 9000, 1), 9000) == AnnouncementEffect::Applied);
}

// Guards against clocks that differ: a process that left comes back, or the next one with its id stays out of service.
TEST_CASE("a leave that states no start binds by the clock, with room for a difference")
{
    constexpr std::int64_t kLeftAtMs = 100000;
    const std::int64_t clockError = GENERATE(-kLeaveClockErrorMs, 0, kLeaveClockErrorMs);
    BackendLifecycle life;
    life.retire(life.leavingProcesses(lastNotice("a"), 0, kLeftAtMs), 0);
    CHECK(life.apply(notice("a", kLeftAtMs + clockError, 2), 100) == AnnouncementEffect::Stale);
    CHECK(life.apply(notice("a", 0, 2), 100) == AnnouncementEffect::Stale);
    // A process serves for longer than that after it leaves, and then the next one starts.
    const std::int64_t nextStartMs = kLeftAtMs + 2 * kLeaveClockErrorMs + 1 + clockError;
    CHECK(life.apply(notice("a", nextStartMs, 1), 200) == AnnouncementEffect::Applied);
}

// Guards against a process that a clock, which has jumped back, keeps out of service for ever.
TEST_CASE("a leave that was not heard from its process binds for a minute")
{
    BackendLifecycle life;
    life.retire({"a", 900000}, 0);
    CHECK(life.apply(notice("a", 100000, 5), kLeaveBindingMs) == AnnouncementEffect::Stale);
    CHECK(life.apply(notice("a", 100000, 6), kLeaveBindingMs + 1) == AnnouncementEffect::Applied);
    // A process that was heard stays known.
    life.apply(notice("b", 200000, 1), 70000);
    CHECK(life.apply(notice("a", 100000, 7), 1000000) == AnnouncementEffect::Stale);
}

// Guards against a leave that binds another process than the one that it comes from, for each state of knowledge.
TEST_CASE("a leave without a start binds the newest process of its id that is known")
{
    constexpr std::int64_t kNowMs = 50000; // wall clock
    const auto binds = [](const BackendLifecycle &life, TimeMs now) {
        return life.leavingProcesses(lastNotice("a"), now, kNowMs).processStartMs;
    };
    BackendLifecycle never;
    CHECK(binds(never, 0) == kNowMs + kLeaveClockErrorMs);
    BackendLifecycle other;
    other.apply(notice("b", 1000, 1), 0);
    CHECK(binds(other, 0) == kNowMs + kLeaveClockErrorMs);
    BackendLifecycle current;
    current.apply(notice("a", 1000, 1), 0);
    CHECK(binds(current, 0) == 1000);
    current.apply(notice("b", 2000, 1), 0);
    CHECK(binds(current, 100000) == 1000);
    current.apply(notice("a", 3000, 1), 10);
    CHECK(binds(current, 0) == 3000);
    // While the sender repeats its leave, the same processes are meant, and later others.
    BackendLifecycle repeated;
    repeated.retire({"a", 20000}, 0);
    CHECK(binds(repeated, 5000) == 20000);
    CHECK(binds(repeated, 20000) == kNowMs + kLeaveClockErrorMs);
    // A draining announcement that states its start binds that one.
    CHECK(current.leavingProcesses(notice("a", 700, 1, wire::HostState::Draining), 0, kNowMs).processStartMs == 700);
}
