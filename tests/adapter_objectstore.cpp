#include <catch2/catch.hpp>
#include <future>
#include <mutex>
#include <thread>

#include "fulmarledge/head.h"
#include "fulmarledge/rollout.h"
#include "httpserver.h"
#include "jsontext.h"
#include "metrics.h"
#include "objectstore.h"

using namespace fulmarledge;

namespace {

constexpr std::uint16_t kStorePort = 18725;

class RecordingLog : public EventLog
{
public:
    void event(std::string_view event, std::string_view detail) override
    {
        const std::lock_guard lock(m_mutex);
        m_lines.push_back(std::string(event) + " " + std::string(detail));
    }
    std::size_t count(std::string_view line)
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<std::size_t>(std::count(m_lines.begin(), m_lines.end(), line));
    }

private:
    std::mutex m_mutex;
    std::vector<std::string> m_lines;
};

/// Client of a store that answers every call with the same text.
class StoreFixture
{
public:
    /// @param secondAnswer of all calls but the first, unless it is empty
    explicit StoreFixture(std::string answer, std::string secondAnswer = {})
        : m_server({{"127.0.0.1", kStorePort}, 1, 1 << 20},
                   [this, answer = std::move(answer), later = std::move(secondAnswer)](const HttpCall &call) mutable {
                       {
                           const std::lock_guard lock(m_callMutex);
                           m_lastCall = call.method + " " + call.path + call.query + " " + call.body;
                       }
                       call.responder->send(200, {}, answer);
                       answer = later.empty() ? answer : later;
                   })
        , m_client(m_loop, 4)
        , m_store(m_client, m_metrics, log, {"127.0.0.1", kStorePort})
        , m_thread([this] { m_loop.run(); })
    {
    }
    ~StoreFixture()
    {
        m_loop.stop();
        m_thread.join();
    }
    StoreFixture(const StoreFixture &) = delete;
    StoreFixture &operator=(const StoreFixture &) = delete;

    StoreReply list(const std::string &kind)
    {
        return wait([&](StoreCallback done) { m_store.list(kind, std::move(done)); });
    }
    StoreReply head()
    {
        return wait([&](StoreCallback done) { m_store.get(kHeadKind, kHeadName, std::move(done)); });
    }
    StoreReply updateStatus(const std::string &name, std::int64_t version, const std::string &status)
    {
        return wait(
            [&](StoreCallback done) { m_store.updateStatus(kRolloutKind, name, version, status, std::move(done)); });
    }
    StoreReply remove(const std::string &kind, const std::string &name, std::int64_t version)
    {
        return wait([&](StoreCallback done) { m_store.remove(kind, name, version, std::move(done)); });
    }
    /// Method, path, query and body of the last call.
    std::string lastCall()
    {
        const std::lock_guard lock(m_callMutex);
        return m_lastCall;
    }
    StoreReply watch()
    {
        return wait([&](StoreCallback done) { m_store.watch(kHeadKind, kHeadName, 1, 1000, std::move(done)); });
    }

    RecordingLog log;

private:
    StoreReply wait(const std::function<void(StoreCallback)> &start)
    {
        std::promise<StoreReply> promise;
        m_loop.post([&] { start([&](const StoreReply &reply) { promise.set_value(reply); }); });
        auto future = promise.get_future();
        REQUIRE(future.wait_for(std::chrono::seconds(20)) == std::future_status::ready);
        return future.get();
    }

    std::mutex m_callMutex;
    std::string m_lastCall;
    HttpServer m_server;
    IoLoop m_loop;
    Metrics m_metrics{"n0", "a"};
    HttpClient m_client;
    ObjectStore m_store;
    std::thread m_thread;
};

std::string object(const std::string &name, const std::string &spec)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":7,"createRevision":7},"spec":)" + spec + "}";
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

const std::string kConfiguration
    = R"({"version":7,"routes":{"columns":["host","pathPrefix","kind","service"],"rows":[["a.example","/a/","safe","s1"]]},)"
      R"("services":{"columns":["name"],"rows":[["s1"]]}})";

/// Values of entries that another writer may leave behind.
const std::vector<std::string> kOddValues{
    R"({"port":1e400})",
    R"({"port":)" + nested(100000) + "}",
    nested(300000),
    R"({"host":"\ud800"})",
    "{\"host\":\"\xff\xfe\"}",
    R"({"port":)" + std::string(400, '9') + ".0}",
    R"({"port" 70000})",
    "{",
};

} // namespace

// Guards against one object of another writer that ends the process or hides the objects beside it.
TEST_CASE("an unreadable object in a list affects no other object")
{
    for (const std::string &odd : kOddValues) {
        INFO(odd.substr(0, 40));
        const bool isClosed = odd != "{";
        const std::string list = R"({"items":[)" + object("b-0", R"({"port":1})") + "," + object("b-1", odd)
            + (isClosed ? "," + object("b-2", R"({"port":2})") : "") + R"(],"hasMore":false,"asOf":9})";
        StoreFixture store(list);
        for (int i = 0; i < 2; ++i) {
            const StoreReply reply = store.list("contact");
            CHECK(reply.status == StoreStatus::Ok);
            if (isClosed) {
                REQUIRE(reply.objects.size() == 3);
                CHECK(reply.objects[0].value == R"({"port":1})");
                CHECK(reply.objects[1].name == "b-1");
                CHECK(reply.objects[1].version == 7);
                CHECK(reply.objects[1].value.empty());
                CHECK(reply.objects[2].value == R"({"port":2})");
            }
        }
        CHECK(store.log.count("object-unreadable key=contact/b-1") == (isClosed ? 1 : 0));
    }
}

// Guards against a node that no longer follows the configuration because of an object beside it.
TEST_CASE("the configuration is read beside an unreadable object")
{
    for (const std::string &odd : kOddValues) {
        if (odd == "{") {
            continue;
        }
        INFO(odd.substr(0, 40));
        const std::string items = object("a", odd) + "," + object("main", kConfiguration);
        StoreFixture lists(R"({"items":[)" + items + R"(],"asOf":9})");
        const StoreReply head = lists.head();
        REQUIRE(head.objects.size() == 1);
        CHECK(head.objects[0].version == 7);
    }
    const std::string events = R"([{"object":)" + object("a", nested(200000)) + R"(,"removed":false},{"object":)"
        + object("main", kConfiguration) + R"(,"removed":false}])";
    StoreFixture watches(R"({"events":)" + events + R"(,"asOf":9})");
    const StoreReply change = watches.watch();
    CHECK(change.status == StoreStatus::Ok);
    REQUIRE(change.objects.size() == 1);
    CHECK(change.objects[0].version == 7);
}

// Guards against a configuration that is taken in part, or a process that ends, when its own text is damaged.
TEST_CASE("an unreadable configuration is refused")
{
    for (const std::string &odd : kOddValues) {
        INFO(odd.substr(0, 40));
        StoreFixture store(R"({"items":[)" + object("main", odd) + R"(],"asOf":9})");
        const StoreReply reply = store.head();
        CHECK(reply.objects.empty());
        CHECK(reply.status != StoreStatus::Ok);
    }
}

// Guards against answers that are no object of the API.
TEST_CASE("an answer of the store that is no list changes nothing")
{
    for (const char *answer : {"", "[]", "7", "null", R"({"items":7})", R"({"asOf":"x"})", R"({"items)", "{"}) {
        INFO(answer);
        StoreFixture store(answer);
        CHECK(store.list("contact").objects.empty());
        CHECK(store.head().objects.empty());
        CHECK(store.watch().objects.empty());
    }
}

TEST_CASE("the text of a member is found without decoding the others")
{
    const std::string text = R"( {"a" : "x,}\"]" , "b":{"c":[1, {"d":"]"}]}, "e": 1e400 ,"f":true})";
    CHECK(memberText(text, "a") == R"("x,}\"]")");
    CHECK(memberText(text, "b") == R"({"c":[1, {"d":"]"}]})");
    CHECK(memberText(text, "e") == "1e400");
    CHECK(memberText(text, "f") == "true");
    CHECK(memberText(text, "g").empty());
    CHECK(memberText("[1]", "a").empty());
    CHECK(elementTexts(R"([1, [2,3] ,"a,b"])") == std::vector<std::string_view>{"1", "[2,3]", R"("a,b")"});
    CHECK(elementTexts("[]").empty());
    CHECK(elementTexts("[[1,2],[3").size() == 1);
    CHECK(parseBounded(nested(kMaxJsonDepth)));
    CHECK_FALSE(parseBounded(nested(kMaxJsonDepth + 1)));
}

// Guards against orders and results in words that the platform or the nodes do not know.
TEST_CASE("orders and states of rollouts are translated in both directions")
{
    StoreFixture store(
        R"({"items":[{"metadata":{"name":"bookings","revision":9},"spec":{"service":"bookings","targetVersion":"v2",)"
        R"("durationS":12.0},"status":{"state":"rolled_back","targetVersion":"v1"}}],"asOf":9})");
    const StoreReply reply = store.list(std::string(kRolloutKind));
    CHECK(store.lastCall() == "GET /api/objects/rollouts ");
    REQUIRE(reply.objects.size() == 1);
    LastReason error;
    const auto order = RolloutOrder::parse(reply.objects[0].value, error);
    REQUIRE(order);
    CHECK(*order == RolloutOrder{"bookings", "v2", 12000});
    CHECK(RolloutStatus::parse(reply.objects[0].status) == RolloutStatus{RolloutState::RolledBack, "v1"});
    CHECK(reply.objects[0].version == 9);

    CHECK(store.updateStatus("bookings", 9, RolloutStatus{RolloutState::Done, "v2"}.toText()).status
          == StoreStatus::Ok);
    CHECK(store.lastCall()
          == R"(PUT /api/objects/rollouts/bookings/status {"metadata":{"name":"bookings","revision":9},)"
             R"("status":{"state":"done","targetVersion":"v2"}})");
}

// Guards against an object without a status, or with one that cannot be read, that hides its order.
TEST_CASE("an order without a readable status is an order")
{
    for (const std::string status : {"", R"(,"status":null)", R"(,"status":7)", R"(,"status":{"state":3})"}) {
        INFO(status);
        StoreFixture store(R"({"items":[{"metadata":{"name":"s","revision":9},"spec":{"service":"s",)"
                           R"("targetVersion":"v2","durationS":12})"
                           + status + R"(}],"asOf":9})");
        const StoreReply reply = store.list(std::string(kRolloutKind));
        REQUIRE(reply.objects.size() == 1);
        LastReason error;
        CHECK(RolloutOrder::parse(reply.objects[0].value, error));
        CHECK(RolloutStatus::parse(reply.objects[0].status) == RolloutStatus());
    }
}

// Guards against an object of another writer whose name, put into a path as it is, names another object or hides the
// condition of a removal.
TEST_CASE("the name of an object is encoded in the path and the query of a call")
{
    const std::string name = GENERATE(as<std::string>{}, "side-3?x=", "side-3#", "side-3/status", "side 3", "%73ide-3");
    CAPTURE(name);
    StoreFixture store("{}");
    store.remove("leave", name, 5);
    const std::string call = store.lastCall();
    CAPTURE(call);
    CHECK(call.starts_with("DELETE /api/objects/leave/"));
    CHECK(call.ends_with("?revision=5 "));
    const std::string segment = call.substr(26, call.find('?') - 26);
    CHECK(segment != "side-3");
    CHECK(segment.find_first_of("/ #") == std::string::npos);
    CHECK(std::count(call.begin(), call.end(), '?') == 1);
    store.updateStatus(name, 5, R"({"state":"done"})");
    CHECK(store.lastCall().starts_with("PUT /api/objects/rollouts/" + segment + "/status "));
}

// Guards against a list that ends, or goes on elsewhere, at an object of another writer.
TEST_CASE("a list goes on behind an object with an odd name")
{
    StoreFixture store(
        R"({"items":[{"metadata":{"name":"a&watch=1","revision":3},"spec":{}}],"hasMore":true,"asOf":9})",
        R"({"items":[{"metadata":{"name":"b","revision":4},"spec":{}}],"asOf":9})");
    CHECK(store.list("leave").objects.size() == 2);
    CHECK(store.lastCall() == "GET /api/objects/leave?after=a%26watch%3D1 ");
}
