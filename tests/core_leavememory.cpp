#include <catch2/catch.hpp>
#include <memory>
#include <set>

#include "fulmarledge/leavememory.h"
#include "heldstore.h"

using namespace fulmarledge;
using namespace fulmarledge::spreadtest;

namespace {

using Leaves = std::set<std::pair<std::string, std::int64_t>>; ///< ids and starts

/// One process of a node beside `store`.
struct Process {
    explicit Process(HeldStore &store, std::string host = "side-1")
        : memory(std::move(host), store, random, metrics, log)
    {
    }
    /// Stores a leave and runs until the acknowledgement may go out, or for `forMs`.
    bool store(TimeMs now, const LeavingBackend &leaving, TimeMs forMs = 0, std::int64_t wallClockMs = 1000)
    {
        const auto done = std::make_shared<bool>(false);
        memory.remember(now, wallClockMs, leaving, [done] { *done = true; });
        for (TimeMs t = now; t <= now + forMs && !*done; t += 50) {
            memory.tick(t);
        }
        return *done;
    }
    bool readAt(TimeMs now, std::int64_t wallClockMs = 1000)
    {
        bool done = false;
        memory.whenKnown(now, wallClockMs, [&] { done = true; });
        return done;
    }

    Leaves stored() const
    {
        Leaves leaves;
        for (const LeavingBackend &leaving : memory.stored()) {
            leaves.emplace(leaving.instance, leaving.processStartMs);
        }
        return leaves;
    }

    SeededRandom random{1};
    CountingMetrics metrics;
    NullLog log;
    LeaveMemory memory;
};

} // namespace

// Guards against review case 3, an acknowledged leave that is forgotten when all nodes are killed.
TEST_CASE("a leave is stored before it is acknowledged and found by the next process")
{
    HeldStore store;
    Process first(store);
    store.holdsReplies = true;
    bool acknowledged = false;
    first.memory.remember(0, 1000, {"i-1", 77}, [&] { acknowledged = true; });
    CHECK_FALSE(acknowledged);
    store.releaseReplies();
    CHECK(acknowledged);
    Process second(store);
    CHECK_FALSE(second.memory.isKnown());
    CHECK(second.readAt(0));
    CHECK(second.stored() == Leaves{{"i-1", 77}});
    // The next leave is added to it, also when nothing was read before.
    Process third(store);
    CHECK(third.store(0, {"i-2", 99}));
    Process fourth(store);
    CHECK(fourth.readAt(0));
    CHECK(fourth.stored() == Leaves{{"i-1", 77}, {"i-2", 99}});
}

// Guards against an acknowledgement that the sender no longer waits for, and against a leave that is never stored
// because the store was away.
TEST_CASE("an acknowledgement waits half a second for the store, and the write is repeated")
{
    const StoreStatus failure = GENERATE(StoreStatus::Unavailable, StoreStatus::Throttled, StoreStatus::UnknownOutcome);
    CAPTURE(storeStatusName(failure));
    HeldStore store;
    store.failure = failure;
    Process process(store);
    CHECK_FALSE(process.store(0, {"i-1", 77}, 450));
    process.memory.tick(LeaveMemory::kWaitLimitMs);
    CHECK(process.memory.stored().empty());
    store.failure = StoreStatus::Ok;
    for (TimeMs now = LeaveMemory::kWaitLimitMs; now < 3000; now += 50) {
        process.memory.tick(now);
    }
    Process next(store);
    CHECK(next.readAt(0));
    CHECK(next.stored() == Leaves{{"i-1", 77}});
    // A leave that is stored costs no further call.
    const int calls = store.calls;
    CHECK(process.store(4000, {"i-1", 77}));
    CHECK(store.calls == calls);
}

// Guards against writes without end while the store is away.
TEST_CASE("a leave that cannot be stored is given up when announcements of its process can no longer be late")
{
    HeldStore store;
    store.failure = StoreStatus::Unavailable;
    Process process(store);
    CHECK(process.store(0, {"i-1", 77}, LeaveMemory::kWaitLimitMs));
    for (TimeMs now = 0; now < 60000; now += 50) {
        process.memory.tick(now);
    }
    CHECK(store.calls <= LeaveMemory::kRepeatLimitMs / 500 + 1);
}

// Guards against a leave that is acknowledged and then overwritten by that of another process.
TEST_CASE("of several leaves in a row all are stored, and each before it is acknowledged")
{
    HeldStore store;
    Process process(store);
    store.holdsReplies = true;
    int acknowledged = 0;
    process.memory.remember(0, 1000, {"i-1", 77}, [&] { ++acknowledged; });
    process.memory.remember(10, 1010, {"i-2", 99}, [&] { ++acknowledged; });
    process.memory.remember(20, 1020, {"i-1", 88}, [&] { ++acknowledged; });
    CHECK(acknowledged == 0);
    store.releaseReplies();
    CHECK(acknowledged == 3);
    Process next(store);
    CHECK(next.readAt(0));
    CHECK(next.stored() == Leaves{{"i-1", 88}, {"i-2", 99}});
    // An earlier process of the same id is covered by the later one.
    const int calls = store.calls;
    CHECK(next.store(30, {"i-1", 77}));
    CHECK(store.calls == calls);
}

// Guards against an object that grows with each process, and against one that keeps leaves for ever.
TEST_CASE("a host stores its last leaves only, and those that still bind")
{
    HeldStore store;
    Process process(store);
    for (int i = 0; i < 40; ++i) {
        CHECK(process.store(i, {"i-" + std::to_string(i), 77}, 0, 1000 + i));
    }
    Process next(store);
    CHECK(next.readAt(0, 2000));
    CHECK(next.stored().size() == LeaveMemory::kMaxLeaves);
    CHECK(next.stored().count({"i-39", 77}) == 1);
    CHECK(next.stored().count({"i-0", 77}) == 0);
    CHECK(process.store(50, {"i-40", 77}, 0, 1040 + kLeaveBindingMs));
    Process last(store);
    CHECK(last.readAt(0, 1040 + kLeaveBindingMs));
    CHECK(last.stored() == Leaves{{"i-40", 77}});
}

// Guards against a rolling upgrade after which one of two versions does not read what the other has stored.
TEST_CASE("the newest leave stands where earlier versions of the node read it")
{
    HeldStore store;
    store.objects["side-1"] = {std::string(kLeaveKind), "side-1", 5, R"({"instance":"i-1","born":77,"stored":1000})"};
    Process process(store);
    CHECK(process.readAt(0));
    CHECK(process.stored() == Leaves{{"i-1", 77}});
    CHECK(process.store(0, {"i-2", 99}));
    const std::string text = store.objects["side-1"].value;
    CAPTURE(text);
    CHECK(text.find(R"("earlier":[{"born":77,"instance":"i-1","stored":1000}],"instance":"i-2")") != std::string::npos);
}

// Guards against an endpoint that is out of service for as long as the store is away.
TEST_CASE("the first announcement waits half a second at most for what was stored, and the next one asks again")
{
    HeldStore store;
    store.holdsReplies = true;
    Process process(store);
    bool done = false;
    process.memory.whenKnown(0, 1000, [&] { done = true; });
    process.memory.tick(LeaveMemory::kWaitLimitMs - 50);
    CHECK_FALSE(done);
    process.memory.tick(LeaveMemory::kWaitLimitMs);
    CHECK(done);
    CHECK_FALSE(process.memory.isKnown());
    store.releaseReplies();
    CHECK(process.memory.isKnown());
    store.failure = StoreStatus::Unavailable;
    Process other(store);
    CHECK(other.readAt(0));
    CHECK_FALSE(other.memory.isKnown());
    store.failure = StoreStatus::Ok;
    CHECK(other.readAt(2000));
    CHECK(other.memory.isKnown());
}

// Guards against an odd object of another writer that ends the process or hides that nothing was stored.
TEST_CASE("an unreadable stored leave counts as none and is replaced")
{
    const std::string odd = GENERATE(as<std::string>{}, "", "[]", "{", R"({"instance":7,"born":1,"stored":1})",
                                     R"({"instance":"i","born":1e99,"stored":1})", R"({"instance":"i"})",
                                     R"({"earlier":[{"instance":"i","born":1,"stored":1}]})");
    CAPTURE(odd);
    HeldStore store;
    store.objects["side-1"] = {std::string(kLeaveKind), "side-1", 5, odd};
    Process process(store);
    CHECK(process.readAt(0));
    CHECK(process.memory.isKnown());
    CHECK(process.memory.stored().empty());
    CHECK(process.store(0, {"i-1", 77}));
}

// Guards against odd entries of another writer that hide the others.
TEST_CASE("of a stored object with odd entries the readable ones count")
{
    HeldStore store;
    store.objects["side-1"] = {std::string(kLeaveKind), "side-1", 5,
                               R"({"earlier":[7,{"instance":"i-0","born":"x","stored":1},{"instance":"i-1","born":7,)"
                               R"("stored":999}],"instance":"i-2","born":9,"stored":1000})"};
    Process process(store);
    CHECK(process.readAt(0));
    CHECK(process.stored() == Leaves{{"i-1", 7}, {"i-2", 9}});
}

// Guards against a later process with the same id that is kept out of service for good.
TEST_CASE("a stored leave binds as long as announcements from before it may arrive")
{
    HeldStore store;
    Process process(store);
    CHECK(process.store(0, {"i-1", 0}));
    Process soon(store);
    CHECK(soon.readAt(0, 1000 + kLeaveBindingMs));
    CHECK(soon.memory.stored().size() == 1);
    Process late(store);
    CHECK(late.readAt(0, 1001 + kLeaveBindingMs));
    CHECK(late.memory.isKnown());
    CHECK(late.memory.stored().empty());
    CHECK(late.store(0, {"i-1", 0}));
}

// Guards against objects of hosts that are gone, which nobody would remove.
TEST_CASE("leaves that are older than announcements can be late are removed in time")
{
    HeldStore store;
    for (int i = 0; i < 200; ++i) {
        Process process(store, "side-" + std::to_string(i));
        process.random = SeededRandom(static_cast<std::uint64_t>(i) + 7);
        CHECK(process.store(0, {"i-1", 77}, 0, i * LeaveMemory::kKeepMs / 10));
        CHECK(store.objects.contains("side-" + std::to_string(i)));
    }
    CHECK(store.objects.size() < 60);
    CHECK(store.objects.contains("side-191"));
}
