#include <algorithm>
#include <catch2/catch.hpp>
#include <mutex>
#include <vector>

#include "datapathfixture.h"
#include "dataworker_p.h"
#include "rawclient.h"

using namespace datapathtest;

namespace {

constexpr std::uint16_t kCallerPort = 18452;
constexpr std::uint16_t kHopPort = 18453;
constexpr std::uint16_t kBackendPort = 18454;

std::string request(const std::string &method, const std::string &path)
{
    return method + " " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
}

/// Manifest with a route of each kind to "bookings", and one by method, all on host n1.
std::shared_ptr<const Snapshot> snapshotOfKinds(Version version)
{
    LastReason error;
    const auto manifest = Manifest::parse(
        R"({"format":1,"services":[{"name":"bookings","timeout_ms":3000,"backend_servers":["n1"]}],"routes":[)"
        R"({"path_prefix":"/safe","kind":"safe","service":"bookings"},)"
        R"({"path_prefix":"/unsafe","kind":"unsafe","service":"bookings"},)"
        R"({"path_prefix":"/download","kind":"download","service":"bookings"},)"
        R"({"path_prefix":"/upload","kind":"upload","service":"bookings"},)"
        R"({"path_prefix":"/plain","service":"bookings"}]})",
        error);
    if (!manifest) {
        throw std::runtime_error(error.text());
    }
    return Snapshot::build(version, *manifest, std::vector<wire::HostRecord>{hostRecord(1, kHopPort)});
}

/// Node with a backend server that holds all requests.
class HoldingNode
{
public:
    HoldingNode()
    {
        m_backend.setBehaviour([this](HttpCall &call) {
            call.responder->onClosed([this] { ++m_cancelled; });
            const std::lock_guard lock(m_mutex);
            m_calls.push_back(call);
        });
        node.path().publish(snapshotOfKinds(1));
        node.serve(m_backend);
    }
    /// Paths of the requests that have reached the backend server, in order of their names.
    std::vector<std::string> started()
    {
        std::vector<std::string> paths;
        const std::lock_guard lock(m_mutex);
        for (const HttpCall &call : m_calls) {
            paths.push_back(call.path);
        }
        std::sort(paths.begin(), paths.end());
        return paths;
    }
    int cancelled() const
    {
        return m_cancelled;
    }
    void answer(const std::string &path)
    {
        std::shared_ptr<HttpResponder> responder;
        {
            const std::lock_guard lock(m_mutex);
            const auto found
                = std::find_if(m_calls.begin(), m_calls.end(), [&](const auto &call) { return call.path == path; });
            REQUIRE(found != m_calls.end());
            responder = found->responder;
        }
        responder->send(200, {}, path + "!");
    }

private:
    std::mutex m_mutex;
    std::vector<HttpCall> m_calls;
    std::atomic<int> m_cancelled{0};
    TestBackend m_backend{kBackendPort};

public:
    TestNode node{1, kCallerPort, kHopPort, 0, 1};
};

using Paths = std::vector<std::string>;

} // namespace

// Guards against a kind of route that counts as repeatable although a second run, or another order, does harm.
TEST_CASE("only safe requests may run beside others, by the kind of the route or by the method")
{
    const auto snapshot = snapshotOfKinds(1);
    const auto isSafe = [&](const std::string &path, const std::string &method) {
        return snapshot->isSafeRequest(snapshot->routes().find("h", path), method);
    };
    CHECK(isSafe("/safe", "POST"));
    CHECK(isSafe("/download", "GET"));
    CHECK_FALSE(isSafe("/unsafe", "GET"));
    CHECK_FALSE(isSafe("/upload", "PUT"));
    for (const char *method : {"GET", "HEAD", "OPTIONS", "TRACE"}) {
        CHECK(isSafe("/plain", method));
    }
    for (const char *method : {"POST", "PUT", "DELETE", "PATCH"}) {
        CHECK_FALSE(isSafe("/plain", method));
    }
}

// Guards against requests that reach the backend server one after another although they were sent ahead, and against
// one that must not run twice and starts beside others.
TEST_CASE("safe requests of one connection reach the backend server at once, and an unsafe one alone")
{
    HoldingNode holding;
    RawClient client(kCallerPort);
    REQUIRE(client.send(request("GET", "/safe/1") + request("GET", "/plain/2") + request("GET", "/download/3")
                        + request("GET", "/unsafe/4") + request("GET", "/safe/5")));
    const Paths three{"/download/3", "/plain/2", "/safe/1"};
    REQUIRE(eventually([&] { return holding.started() == three; }));
    holding.answer("/download/3");
    holding.answer("/plain/2");
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
    CHECK(holding.started() == three);
    holding.answer("/safe/1");
    for (const char *path : {"/safe/1!", "/plain/2!", "/download/3!"}) {
        CHECK(client.readUntil("!").ends_with(std::string("\r\n\r\n") + path));
    }
    REQUIRE(eventually([&] { return holding.started().size() == 4; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
    CHECK(holding.started() == Paths{"/download/3", "/plain/2", "/safe/1", "/unsafe/4"});
    holding.answer("/unsafe/4");
    CHECK(client.readUntil("!").ends_with("\r\n\r\n/unsafe/4!"));
    REQUIRE(eventually([&] { return holding.started().size() == 5; }));
    holding.answer("/safe/5");
    CHECK(client.readUntil("!").ends_with("\r\n\r\n/safe/5!"));
    const HttpServerStats stats = holding.node.path().stats().callerConnections;
    CHECK(stats.startedBeside == 2);
    CHECK(stats.heldBack[static_cast<std::size_t>(HoldReason::NotRepeatable)] == 2);
}

// Guards against an unsafe request that has run although the response before it closed the connection.
TEST_CASE("an unsafe request behind a response that closes the connection never reaches the backend server")
{
    HoldingNode holding;
    RawClient client(kCallerPort);
    REQUIRE(client.send(request("GET", "/safe/1") + request("GET", "/safe/2") + request("POST", "/unsafe/3")));
    REQUIRE(eventually([&] { return holding.started().size() == 2; }));
    holding.node.path().closeCallerConnections();
    holding.answer("/safe/1");
    CHECK(client.readUntil("!").find("Connection: Keep-Alive") != std::string::npos);
    holding.answer("/safe/2");
    CHECK(client.readUntil("!").find("Connection: close") != std::string::npos);
    CHECK(client.isClosedWithin(3000));
    CHECK(client.readUntil("!", 1).empty());
    CHECK(eventually([&] { return holding.node.path().stats().outstanding == 0; }));
    CHECK(holding.started() == Paths{"/safe/1", "/safe/2"});
    CHECK(holding.cancelled() == 0);
}

// Guards against requests sent ahead that hold up a planned stop, or that get no answer when its time is over.
TEST_CASE("requests sent ahead that run at the end of the grace time are all answered, in order")
{
    HoldingNode holding;
    RawClient client(kCallerPort);
    REQUIRE(client.send(request("GET", "/safe/1") + request("GET", "/safe/2") + request("GET", "/safe/3")));
    REQUIRE(eventually([&] { return holding.started().size() == 3; }));
    holding.node.path().closeCallerConnections();
    holding.answer("/safe/2");
    REQUIRE(eventually([&] { return holding.node.path().stats().unsent == 1; }));
    holding.node.path().answerOutstanding();
    REQUIRE(client.isClosedWithin(3000));
    const std::string received = client.readUntil("(never)", 1);
    const std::size_t first = received.find("HTTP/1.1 502 ");
    const std::size_t second = received.find("HTTP/1.1 200 ");
    CHECK(first == 0);
    CHECK(second != std::string::npos);
    CHECK(received.find("HTTP/1.1 502 ", second) != std::string::npos);
    CHECK(received.find("Connection: close") > received.rfind("HTTP/1.1 "));
    CHECK(eventually([&] { return holding.node.path().stats().outstanding == 0; }));
}

// Guards against slots that stay taken by requests whose caller has gone.
TEST_CASE("a caller that sends ahead and disappears frees all its slots")
{
    HoldingNode holding;
    {
        RawClient client(kCallerPort);
        REQUIRE(client.send(request("GET", "/safe/1") + request("GET", "/safe/2") + request("GET", "/safe/3")));
        REQUIRE(eventually([&] { return holding.started().size() == 3; }));
    }
    CHECK(eventually([&] { return holding.cancelled() == 3; }));
    CHECK(eventually([&] { return holding.node.path().stats().outstanding == 0; }));
    CHECK(eventually([&] { return holding.node.path().stats().atBackend == 0; }));
}

// Guards against requests that run at once while nothing says that they may.
TEST_CASE("without a manifest no request runs beside another, and each is refused in its turn")
{
    TestNode node(1, kCallerPort, kHopPort);
    RawClient client(kCallerPort);
    REQUIRE(client.send(request("GET", "/safe/1") + request("GET", "/safe/2")));
    for (int i = 0; i < 2; ++i) {
        CHECK(client.readUntil("\r\n\r\n").starts_with("HTTP/1.1 503 "));
        CHECK(client.readUntil("\n").ends_with("\n"));
    }
    CHECK(node.path().stats().callerConnections.startedBeside == 0);
}

namespace {

class RecordingResponder : public HttpResponder
{
public:
    void onClosed(std::function<void()>) override
    {
    }
    void send(int responseStatus, const HttpFields &fields, std::string) override
    {
        verdict = fieldValue(fields, "Fulmarledge-Verdict");
        status = responseStatus;
    }
    void sendRawAndClose(const std::string &) override
    {
    }

    std::string verdict;
    std::atomic<int> status{0};
};

} // namespace

// Guards against a request that was started beside others by one manifest, and runs by the next one, in which it must
// not run twice.
TEST_CASE("a request that runs beside others is refused as not run if its route is no longer safe")
{
    Metrics metrics("n1", "a");
    RequestPathSettings settings;
    settings.host = "n1";
    settings.zone = "a";
    RequestPathState state(settings, metrics);
    REQUIRE(state.routingPublisher.publish(snapshotOfKinds(1), monotonicMs()));
    DataWorker worker(state);
    worker.start();
    const auto responder = std::make_shared<RecordingResponder>();
    auto call = std::make_shared<CallerRequest>();
    call->call.method = "GET";
    call->call.path = "/unsafe/1";
    call->call.runsBeside = true;
    call->call.responder = responder;
    call->receivedAt = monotonicMs();
    state.outstanding = 1;
    worker.submit(call);
    CHECK(eventually([&] { return responder->status == 503; }));
    CHECK(responder->verdict == "not-run");
    CHECK(eventually([&] { return state.outstanding == 0; }));
    CHECK(state.dispatched == 0);
    worker.stop();
}
