#include <catch2/catch.hpp>

#include "heldstore.h"
#include "node_admin.h"
#include "node_backend.h"
#include "usersplatform.h"

using namespace fulmarledge;
using namespace fulmarledge::spreadtest;

namespace {

class NullTransport : public PeerTransport
{
public:
    void send(const SocketAddress &, const wire::Envelope &) override
    {
    }
    void sendReliably(const SocketAddress &, const wire::Envelope &) override
    {
    }
};

class NullListener : public ControlListener
{
public:
    void onSnapshot(std::shared_ptr<const Snapshot>) override
    {
    }
    void onReadiness(bool, Reason) override
    {
    }
    void onBackendLeaving(const LeavingBackend &) override
    {
    }
};

class StatusResponder : public HttpResponder
{
public:
    explicit StatusResponder(std::shared_ptr<int> status)
        : m_status(std::move(status))
    {
    }
    void onClosed(std::function<void()>) override
    {
    }
    void send(int status, const HttpFields &, std::string) override
    {
        *m_status = status;
    }
    void sendRawAndClose(const std::string &) override
    {
    }

private:
    std::shared_ptr<int> m_status;
};

NodeSettings nodeSettings()
{
    NodeSettings settings;
    settings.host = "side-1";
    settings.zone = "ikeja";
    settings.address = "127.0.0.1";
    settings.backendService = "bookings";
    settings.announceTimeoutMs = 60000;
    settings.requests.dataThreads = 1;
    settings.requests.httpThreads = 1;
    return settings;
}

wire::HostRecord ownRecord()
{
    wire::HostRecord record;
    record.host = "side-1";
    record.zone = "ikeja";
    return record;
}

/// A node that has just started and knows no other member, beside `store`.
struct StartedNode {
    explicit StartedNode(HeldStore &store)
        : control(settings.control, ownRecord(), transport, store, random, metrics, log, listener)
        , announcements(settings, environment, requestPath, control, store, random, metrics, log)
    {
    }
    /// Sends a heartbeat of a ready process. Returns the status of the reply, 0 without one.
    int beat(const std::string &instance, std::int64_t born, int sequence, const std::string &state = "ready")
    {
        return call("PUT", instance,
                    R"({"service":"bookings","address":"127.0.0.1:9000","slots":4,"state":")" + state + R"(","seq":)"
                        + std::to_string(sequence) + R"(,"born":)" + std::to_string(born) + "}");
    }
    int leave(const std::string &instance)
    {
        return call("DELETE", instance, "");
    }
    bool isServing() const
    {
        return announcements.announcement() && announcements.announcement()->state == wire::HostState::Serving;
    }

    NodeSettings settings = nodeSettings();
    UsersPlatform environment;
    Metrics requestMetrics{"side-1", "ikeja"};
    RequestPath requestPath{settings.requests, requestMetrics};
    NullTransport transport;
    NullListener listener;
    SeededRandom random{1};
    CountingMetrics metrics;
    NullLog log;
    ControlNode control;
    BackendAnnouncements announcements;

private:
    int call(const std::string &method, const std::string &instance, const std::string &body)
    {
        const auto status = std::make_shared<int>(0);
        HttpCall request;
        request.method = method;
        request.path = "/api/instances/" + instance;
        request.body = body;
        request.responder = std::make_shared<StatusResponder>(status);
        announcements.onNoticeCall(request);
        return *status;
    }
};

} // namespace

// Guards against review case 3, a late announcement that puts a process back into service after its leave.
TEST_CASE("a started node does not take a process that an earlier one has acknowledged as leaving")
{
    HeldStore store;
    {
        StartedNode earlier(store);
        CHECK(earlier.beat("i-1", 100, 1) == 200);
        CHECK(earlier.isServing());
        CHECK(earlier.leave("i-1") == 200);
        CHECK_FALSE(earlier.isServing());
    }
    StartedNode node(store);
    CHECK(node.beat("i-1", 100, 2) == 200);
    CHECK_FALSE(node.isServing());
    CHECK(node.beat("i-2", 200, 1) == 200);
    CHECK(node.isServing());
}

// Guards against the same while the store is away, and against a backend server that stays out of service after it.
TEST_CASE("a started node that knows nobody holds announcements until the store answers")
{
    HeldStore store;
    store.failure = StoreStatus::Unavailable;
    StartedNode node(store);
    CHECK(node.beat("i-1", 100, 5) == 200);
    CHECK_FALSE(node.isServing());
    SECTION("the store comes back")
    {
        store.failure = StoreStatus::Ok;
        node.announcements.tick(monotonicMs());
        node.announcements.tick(monotonicMs());
        CHECK(node.isServing());
    }
    SECTION("the process leaves meanwhile")
    {
        CHECK(node.leave("i-1") == 0);
        node.announcements.tick(monotonicMs() + LeaveMemory::kWaitLimitMs);
        store.failure = StoreStatus::Ok;
        node.announcements.tick(monotonicMs() + 2000);
        node.announcements.tick(monotonicMs() + 4000);
        CHECK_FALSE(node.isServing());
        CHECK(node.beat("i-1", 100, 6) == 200);
        CHECK_FALSE(node.isServing());
        StartedNode next(store);
        CHECK(next.beat("i-1", 100, 7) == 200);
        CHECK_FALSE(next.isServing());
    }
}

// Guards against review case 9, a leave that is the first announcement that a node hears and is forgotten when the node
// is killed.
TEST_CASE("a leave that states no start is stored before it is acknowledged, and binds what started before it")
{
    const std::int64_t now = wallClockMs();
    HeldStore store;
    {
        StartedNode earlier(store);
        store.holdsReplies = true;
        CHECK(earlier.leave("i-1") == 0);
        store.releaseReplies();
        CHECK(earlier.beat("i-1", now - 3000, 8) == 200);
        CHECK_FALSE(earlier.isServing());
    }
    for (int restarts = 0; restarts < 2; ++restarts) {
        StartedNode node(store);
        CHECK(node.beat("i-1", now - 3000, 9) == 200);
        CHECK_FALSE(node.isServing());
        CHECK(node.beat("i-1", now - 60000, 70) == 200);
        CHECK_FALSE(node.isServing());
    }
    // The next process with the same id starts after its predecessor has served on for drainMs.
    StartedNode node(store);
    CHECK(node.beat("i-1", now + 2000, 1) == 200);
    CHECK(node.isServing());
}

// Guards against a call to the store for each repetition of a leave.
TEST_CASE("a leave that is repeated until it is acknowledged is stored once")
{
    HeldStore store;
    StartedNode node(store);
    CHECK(node.leave("i-1") == 200);
    const int calls = store.calls;
    CHECK(node.leave("i-1") == 200);
    CHECK(node.leave("i-1") == 200);
    CHECK(store.calls == calls);
}

// Guards against a draining announcement of another writer that leaves the start out and so binds no process.
TEST_CASE("a process that drains without stating its start stays out of service when its node is killed")
{
    const std::int64_t now = wallClockMs();
    HeldStore store;
    {
        StartedNode earlier(store);
        CHECK(earlier.beat("i-1", 0, 8, "draining") == 200);
        const int calls = store.calls;
        CHECK(earlier.beat("i-1", 0, 9, "draining") == 200);
        CHECK(store.calls == calls);
    }
    StartedNode node(store);
    CHECK(node.beat("i-1", now - 3000, 7) == 200);
    CHECK_FALSE(node.isServing());
    CHECK(node.beat("i-1", now + 2000, 1) == 200);
    CHECK(node.isServing());
}

// Guards against an acknowledged leave that a later one of another process overwrites in the store.
TEST_CASE("the leaves of several processes outlast the node that acknowledged them")
{
    const bool isKilledBetween = GENERATE(false, true);
    const std::int64_t now = wallClockMs();
    HeldStore store;
    {
        auto node = std::make_unique<StartedNode>(store);
        CHECK(node->beat("i-1", now - 9000, 1) == 200);
        CHECK(node->leave("i-1") == 200);
        if (isKilledBetween) {
            node = std::make_unique<StartedNode>(store);
        }
        CHECK(node->leave("i-2") == 200);
        CHECK(node->beat("i-3", now - 5000, 1) == 200);
        CHECK(node->beat("i-3", now - 5000, 2, "draining") == 200);
    }
    StartedNode node(store);
    CHECK(node.beat("i-1", now - 9000, 2) == 200);
    CHECK_FALSE(node.isServing());
    CHECK(node.beat("i-2", now - 7000, 2) == 200);
    CHECK_FALSE(node.isServing());
    CHECK(node.beat("i-3", now - 5000, 1) == 200);
    CHECK_FALSE(node.isServing());
    CHECK(node.beat("i-4", now - 4000, 1) == 200);
    CHECK(node.isServing());
}

// Guards against a leave of a process that was replaced, which is acknowledged and binds only the node that heard it.
TEST_CASE("the leave of an earlier process leaves the current one in service and is stored")
{
    HeldStore store;
    {
        StartedNode earlier(store);
        CHECK(earlier.beat("i-1", 100, 1) == 200);
        CHECK(earlier.beat("i-2", 200, 1) == 200);
        CHECK(earlier.leave("i-1") == 200);
        CHECK(earlier.isServing());
        CHECK(earlier.beat("i-2", 200, 2) == 200);
        CHECK(earlier.isServing());
    }
    StartedNode node(store);
    CHECK(node.beat("i-1", 100, 9) == 200);
    CHECK_FALSE(node.isServing());
    CHECK(node.beat("i-2", 200, 3) == 200);
    CHECK(node.isServing());
}

// Guards against a leave that binds only the older one of two processes whose announcements are held.
TEST_CASE("a leave binds all held announcements of its id")
{
    const std::int64_t now = wallClockMs();
    HeldStore store;
    store.failure = StoreStatus::Unavailable;
    StartedNode node(store);
    CHECK(node.beat("i-1", now - 9000, 5) == 200);
    CHECK(node.beat("i-1", now - 4000, 1) == 200);
    CHECK(node.leave("i-1") == 0);
    store.failure = StoreStatus::Ok;
    node.announcements.tick(monotonicMs() + 2000);
    node.announcements.tick(monotonicMs() + 4000);
    CHECK_FALSE(node.isServing());
    CHECK(node.beat("i-1", now - 4000, 2) == 200);
    CHECK_FALSE(node.isServing());
    StartedNode next(store);
    CHECK(next.beat("i-1", now - 4000, 3) == 200);
    CHECK_FALSE(next.isServing());
}

// Guards against review case 8, an announcement of another writer that ends the node because its id is no text.
TEST_CASE("an announcement whose id is no text is refused, and the backend server stays as it is")
{
    const std::string id = GENERATE(as<std::string>{}, "\xff", "i-\xff\xfe\xfd", "i-1\x80", "\xc0\xaf",
                                    "i-\xed\xa0\x80", "i-\xf4\x90\x80\x80", "i-\xe2\x82");
    CAPTURE(id.size());
    HeldStore store;
    StartedNode node(store);
    REQUIRE(node.beat("i-1", 100, 1) == 200);
    const int calls = store.calls;
    CHECK(node.beat(id, 100, 2, "draining") == 400);
    CHECK(node.beat(id, 200, 3, "draining") == 400);
    CHECK(node.beat(id, 200, 4) == 400);
    CHECK(node.leave(id) == 400);
    CHECK(node.isServing());
    CHECK(store.calls == calls);
    CHECK(node.beat("i-1", 100, 2) == 200);
    CHECK(node.leave("i-1") == 200);
    CHECK_FALSE(node.isServing());
}

// Guards against odd ids that are refused although they are text, and against ones that end the node.
TEST_CASE("an announcement whose id is an unusual text is taken")
{
    const std::string id = GENERATE(as<std::string>{}, "..", "%FF", "%2F..", "caf\xc3\xa9", "\"}", "a\\u0000", "'",
                                    std::string(128, 'x'));
    CAPTURE(id);
    HeldStore store;
    StartedNode node(store);
    CHECK(node.beat(id, 100, 1) == 200);
    CHECK(node.isServing());
    CHECK(node.beat(id, 100, 2, "draining") == 200);
    CHECK_FALSE(node.isServing());
    StartedNode next(store);
    CHECK(next.beat(id, 100, 3) == 200);
    CHECK_FALSE(next.isServing());
}

// Guards against a report that ends the node when it cannot be written.
TEST_CASE("a report that fails is refused, logged and counted, and nothing else ends")
{
    const auto status = std::make_shared<int>(0);
    HttpCall call;
    call.path = "/v1/status";
    call.responder = std::make_shared<StatusResponder>(status);
    CountingMetrics metrics;
    NullLog log;
    answerReport(call, metrics, log, [] { throw std::runtime_error("no such record"); });
    CHECK(*status == 500);
    CHECK(metrics["reports-failed/"] == 1);
    answerReport(call, metrics, log, [&] { call.responder->send(200, {}, ""); });
    CHECK(*status == 200);
    CHECK(metrics["reports-failed/"] == 1);
}
