#include <catch2/catch.hpp>

#include "fulmarledge/backendlife.h"

using namespace fulmarledge;

namespace {

BackendNotice notice(std::string instance, std::int64_t bornMs, std::int64_t sequence,
                     wire::HostState::type state = wire::HostState::Serving)
{
    BackendNotice result;
    result.instance = std::move(instance);
    result.bornMs = bornMs;
    result.sequence = sequence;
    result.service = "bookings";
    result.address = {"10.0.0.1", 8080};
    result.slots = 12;
    result.state = state;
    return result;
}

BackendNotice lastNotice(std::string instance)
{
    BackendNotice result;
    result.leaves = true;
    result.instance = std::move(instance);
    return result;
}

} // namespace

// Guards against a late announcement that brings a draining backend server back.
TEST_CASE("late and repeated announcements of one process change nothing")
{
    BackendLife life;
    CHECK(life.apply(notice("a", 1000, 4), 0) == NoticeEffect::Applied);
    CHECK(life.apply(notice("a", 1000, 4), 10) == NoticeEffect::Stale);
    CHECK(life.apply(notice("a", 1000, 6, wire::HostState::Draining), 20) == NoticeEffect::Applied);
    CHECK(life.apply(notice("a", 1000, 5), 30) == NoticeEffect::Stale);
    CHECK(life.apply(notice("a", 1000, 7), 40) == NoticeEffect::Repeated);
    CHECK(life.current().state == wire::HostState::Draining);
}

// Guards against an announcement of an earlier process at the address that a network partition has delayed.
TEST_CASE("announcements of earlier processes change nothing")
{
    BackendLife life;
    life.apply(notice("a", 1000, 90), 0);
    CHECK(life.apply(notice("b", 5000, 1), 4000) == NoticeEffect::Applied);
    CHECK(life.apply(notice("a", 1000, 91), 4100) == NoticeEffect::Stale);
    CHECK(life.apply(lastNotice("a"), 4200) == NoticeEffect::Stale);
    CHECK(life.current().instance == "b");
    // The same id with a later start is a new process, whose sequence starts again.
    CHECK(life.apply(notice("b", 6000, 1), 5000) == NoticeEffect::Applied);
    CHECK(life.apply(notice("b", 5000, 50), 5100) == NoticeEffect::Stale);
    CHECK(life.current().bornMs == 6000);
}

// Guards against a wall clock that jumped back, so that a new process would be rejected for ever.
TEST_CASE("a process with an earlier start is rejected only while the current one may be alive")
{
    BackendLife life;
    life.apply(notice("a", 900000, 1), 0);
    CHECK(life.apply(notice("b", 100000, 1), 1000) == NoticeEffect::Stale);
    CHECK(life.apply(notice("b", 100000, 5), 6000) == NoticeEffect::Applied);
}

// Guards against new work for a process that announced that it leaves, but not before that it drains.
TEST_CASE("a process that said that it leaves is not accepted again")
{
    BackendLife life;
    life.apply(notice("a", 1000, 4), 0);
    CHECK(life.apply(lastNotice("a"), 10) == NoticeEffect::Applied);
    CHECK(life.current().state == wire::HostState::Draining);
    CHECK(life.apply(notice("a", 1000, 9), 20) == NoticeEffect::Stale);
    CHECK(life.apply(notice("b", 0, 1), 30) == NoticeEffect::Applied);
    CHECK(life.apply(notice("a", 1000, 10), 40) == NoticeEffect::Stale);
}

// Guards against a late announcement that brings back a process after the node has acknowledged that it leaves and was
// then restarted.
TEST_CASE("a process that others remember as leaving is not accepted again")
{
    BackendLife retiredFirst;
    CHECK_FALSE(retiredFirst.retire("a", 1000));
    CHECK(retiredFirst.apply(notice("a", 1000, 19), 0) == NoticeEffect::Stale);
    CHECK_FALSE(retiredFirst.hasCurrent());
    // The same id with a later start is a new process.
    CHECK(retiredFirst.apply(notice("a", 2000, 1), 10) == NoticeEffect::Applied);
    BackendLife announcedFirst;
    CHECK(announcedFirst.apply(notice("a", 1000, 19), 0) == NoticeEffect::Applied);
    CHECK(announcedFirst.retire("a", 1000));
    CHECK(announcedFirst.current().state == wire::HostState::Draining);
    CHECK(announcedFirst.apply(notice("a", 1000, 20), 10) == NoticeEffect::Stale);
    CHECK_FALSE(announcedFirst.retire("b", 1000));
}

// Guards against a late announcement that brings back a process after a restarted node has received the last one first.
// Seen in the run hunt-594a-19 of adebayo-mesh.
TEST_CASE("a process that left before its first announcement arrived is not accepted")
{
    BackendLife life;
    CHECK(life.apply(lastNotice("a"), 0) == NoticeEffect::Stale);
    CHECK(life.apply(notice("a", 1000, 19), 1200) == NoticeEffect::Stale);
    CHECK_FALSE(life.hasCurrent());
    CHECK(life.apply(notice("b", 3000, 1), 1300) == NoticeEffect::Applied);
    // After 8 s the same id can belong to a later process.
    CHECK(life.apply(notice("a", 9000, 1), 9000) == NoticeEffect::Applied);
}
