#include <catch2/catch.hpp>
#include <sys/time.h>

#include "datapathfixture.h"

using namespace datapathtest;

namespace {

constexpr std::uint16_t kCallerPort1 = 18510;
constexpr std::uint16_t kHopPort1 = 18511;
constexpr std::uint16_t kBackendPort1 = 18512;
constexpr std::uint16_t kCallerPort2 = 18520;
constexpr std::uint16_t kHopPort2 = 18521;

/// A node with a backend server, and an entry node without one that forwards its requests to the first.
struct TwoNodes {
    TwoNodes()
    {
        const auto snapshot = bookingsSnapshot(5, {hostRecord(1, kHopPort1)});
        backendNode.path().publish(snapshot);
        entryNode.path().publish(snapshot);
        backendNode.serve(backend);
    }

    TestBackend backend{kBackendPort1};
    TestNode backendNode{1, kCallerPort1, kHopPort1};
    TestNode entryNode{2, kCallerPort2, kHopPort2};
};

std::string verdictOf(const HttpResult &result)
{
    return std::string(fieldValue(result.fields, "Fulmarledge-Verdict"));
}

std::string reasonOf(const HttpResult &result)
{
    return std::string(fieldValue(result.fields, "Fulmarledge-Reason"));
}

} // namespace

// Guards against fields, query parameters or bodies that are lost or changed on the way, against forwarding the fields
// of a single connection, and against missing fields that the system itself has to set.
TEST_CASE("a request is forwarded through one node and through two")
{
    TwoNodes nodes;
    for (const std::uint16_t port : {kCallerPort1, kCallerPort2}) {
        HttpRequest call
            = callerRequest(port, "POST", "id-" + std::to_string(port),
                            {{"X-Two", "1"}, {"X-Two", "2"}, {"Connection", "X-Private"}, {"X-Private", "p"}});
        call.body = "text";
        const HttpResult result = fetch(call);
        CHECK(result.status == 200);
        CHECK(result.body == "answer to text");
        CHECK(verdictOf(result) == "answered");
        CHECK(fieldValue(result.fields, "Fulmarledge-Version") == "5");
        CHECK(fieldValue(result.fields, "Fulmarledge-Request-Id") == "id-" + std::to_string(port));
        const HttpCall seen = nodes.backend.lastCall();
        CHECK(seen.path + seen.query == "/bookings/7?a=1&a=2&b");
        CHECK(std::count_if(seen.fields.begin(), seen.fields.end(), [](const auto &f) { return f.first == "X-Two"; })
              == 2);
        CHECK(fieldValue(seen.fields, "X-Private").empty());
        CHECK(fieldValue(seen.fields, "Fulmarledge-Depth") == "1");
        const int left = std::stoi(std::string(fieldValue(seen.fields, "Fulmarledge-Deadline-Ms")));
        CHECK((left > 0 && left <= 3000));
    }
}

// Guards against a second execution when a reused connection to the backend server breaks after the request was sent.
// By itself, libcurl sends the request again on a new connection.
TEST_CASE("a POST is not run twice when its reused connection closes")
{
    TwoNodes nodes;
    REQUIRE(fetch(callerRequest(kCallerPort1, "POST", "first")).status == 200);
    nodes.backend.setBehaviour([](HttpCall &call) { call.responder->sendRawAndClose({}); });
    const HttpResult local = fetch(callerRequest(kCallerPort1, "POST", "second"));
    CHECK(local.status == 502);
    CHECK(verdictOf(local) == "may-have-run");
    CHECK(nodes.backend.executions("second") == 1);
    const HttpResult hop = fetch(callerRequest(kCallerPort2, "POST", "third"));
    CHECK(verdictOf(hop) == "may-have-run");
    CHECK(nodes.backend.executions("third") == 1);
}

// Guards against a truncated body that is passed on as if it were complete.
TEST_CASE("a truncated answer is not passed on")
{
    TwoNodes nodes;
    nodes.backend.setBehaviour(
        [](HttpCall &call) { call.responder->sendRawAndClose("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"); });
    for (const std::uint16_t port : {kCallerPort1, kCallerPort2}) {
        const HttpResult result = fetch(callerRequest(port, "POST", "t" + std::to_string(port)));
        CHECK(result.status == 502);
        CHECK(verdictOf(result) == "may-have-run");
        CHECK(reasonOf(result) == "truncated");
        CHECK(result.body.find("half") == std::string::npos);
    }
}

// Guards against reusing a connection after its request timed out. The late answer would go to the next request.
TEST_CASE("a late answer is not given to the next request")
{
    TwoNodes nodes;
    std::vector<std::thread> lateResponders;
    nodes.backend.setBehaviour([&lateResponders](HttpCall &call) {
        lateResponders.emplace_back([responder = call.responder] {
            std::this_thread::sleep_for(std::chrono::milliseconds(150));
            responder->send(200, {}, "late");
        });
    });
    const HttpResult timedOut = fetch(callerRequest(kCallerPort2, "POST", "slow", {{"Fulmarledge-Deadline-Ms", "50"}}));
    CHECK(timedOut.status == 504);
    CHECK(verdictOf(timedOut) == "may-have-run");
    nodes.backend.setBehaviour([](HttpCall &call) {
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        call.responder->send(200, {}, "own");
    });
    CHECK(fetch(callerRequest(kCallerPort2, "POST", "next")).body == "own");
    for (std::thread &thread : lateResponders) {
        thread.join();
    }
}

// Guards against guessing at an invalid value or passing it on, and against a refusal that does not name the field.
TEST_CASE("invalid requests are refused with a reason before they are dispatched")
{
    TwoNodes nodes;
    const HttpResult bad = fetch(callerRequest(kCallerPort1, "GET", "b", {{"Fulmarledge-Deadline-Ms", "soon"}}));
    CHECK(bad.status == 400);
    CHECK(verdictOf(bad) == "not-run");
    CHECK(bad.body.find("Fulmarledge-Deadline-Ms: must be a whole number") != std::string::npos);
    HttpRequest large = callerRequest(kCallerPort1, "POST", "large");
    large.body.assign(100001, 'x');
    const HttpResult refused = fetch(large);
    CHECK(refused.status == 413);
    CHECK(reasonOf(refused) == "body-too-large");
    CHECK(nodes.backend.executions("b") + nodes.backend.executions("large") == 0);
}

// Guards against answers without a body that never end or lose their `Content-Length`.
TEST_CASE("HEAD and 204 answers arrive through a hop")
{
    TwoNodes nodes;
    nodes.backend.setBehaviour([](HttpCall &call) {
        call.responder->send(call.method == "HEAD" ? 200 : 204, {{"Content-Length", "12345"}}, {});
    });
    const HttpResult head = fetch(callerRequest(kCallerPort2, "HEAD", "h"));
    CHECK(head.status == 200);
    CHECK(fieldValue(head.fields, "Content-Length") == "12345");
    const HttpResult empty = fetch(callerRequest(kCallerPort2, "DELETE", "d"));
    CHECK(empty.status == 204);
    CHECK(empty.body.empty());
}

// Guards against a request that keeps running and occupies a slot after its caller has closed the connection.
TEST_CASE("a request is cancelled when its caller closes the connection")
{
    TwoNodes nodes;
    std::atomic<int> started{0};
    std::atomic<int> cancelled{0};
    std::vector<std::shared_ptr<HttpResponder>> heldResponders;
    nodes.backend.setBehaviour([&](HttpCall &call) {
        heldResponders.push_back(call.responder);
        call.responder->onClosed([&cancelled] { ++cancelled; });
        ++started;
    });
    {
        IoLoop loop;
        HttpClient client(loop, 1);
        client.send(callerRequest(kCallerPort2, "POST", "gone"), [](const HttpResult &) {});
        std::thread watcher([&] {
            eventually([&] { return started == 1; });
            loop.stop();
        });
        loop.run();
        watcher.join();
    }
    CHECK(eventually([&] { return cancelled == 1; }));
    CHECK(eventually([&] { return nodes.backendNode.path().stats().atBackend == 0; }));
    CHECK(nodes.entryNode.path().stats().outstanding == 0);
}

// Guards against a shutdown that aborts a request in progress, and against new requests for a host that is leaving.
TEST_CASE("a drain lets running requests finish and refuses new ones as not run")
{
    TwoNodes nodes;
    std::atomic<bool> started{false};
    nodes.backend.setBehaviour([&started](HttpCall &call) {
        started = true;
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        call.responder->send(200, {}, "finished");
    });
    std::atomic<bool> idle{false};
    HttpResult running;
    std::thread caller([&] { running = fetch(callerRequest(kCallerPort2, "POST", "running")); });
    REQUIRE(eventually([&] { return started.load(); }));
    nodes.backendNode.path().drain([&idle] { idle = true; });
    CHECK_FALSE(idle);
    const HttpResult refused = fetch(callerRequest(kCallerPort2, "POST", "new"));
    CHECK(refused.status == 503);
    CHECK(verdictOf(refused) == "not-run");
    CHECK_FALSE(fieldValue(refused.fields, "Retry-After").empty());
    caller.join();
    CHECK(running.body == "finished");
    CHECK(eventually([&] { return idle.load(); }));
    CHECK(nodes.backend.executions("new") == 0);
}

// Guards against a stopping node that exits before its last answers have left it.
TEST_CASE("answers that a slow caller has not read count as unsent during a drain")
{
    TwoNodes nodes;
    const std::string large(16 << 20, 'x');
    std::atomic<bool> started{false};
    nodes.backend.setBehaviour([&](HttpCall &call) {
        started = true;
        call.responder->send(200, {}, large);
    });
    const timeval limit{5, 0};
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(kCallerPort1);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    REQUIRE(::connect(fd, reinterpret_cast<const sockaddr *>(&at), sizeof(at)) == 0);
    const std::string request = "GET /bookings/1 HTTP/1.1\r\nHost: a\r\n\r\n";
    REQUIRE(::send(fd, request.data(), request.size(), 0) == static_cast<ssize_t>(request.size()));
    REQUIRE(eventually([&] { return started.load(); }));
    nodes.backendNode.path().drain([] {});
    RequestPath &path = nodes.backendNode.path();
    CHECK(eventually([&] { return path.stats().outstanding == 0 && path.stats().unsent > 0; }));
    std::vector<char> buffer(1 << 20);
    std::size_t received = 0;
    while (received < large.size()) {
        const ssize_t got = ::recv(fd, buffer.data(), buffer.size(), 0);
        REQUIRE(got > 0);
        received += static_cast<std::size_t>(got);
    }
    CHECK(eventually([&] { return path.stats().unsent == 0; }));
    ::close(fd);
}

// Guards against requests that are cut without an answer when the grace time of a stop ends.
TEST_CASE("requests in progress at the end of the grace time are answered")
{
    TwoNodes nodes;
    std::atomic<int> started{0};
    nodes.backend.setBehaviour([&started](HttpCall &call) {
        ++started;
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        call.responder->send(200, {}, "late");
    });
    HttpResult running;
    std::thread caller([&] { running = fetch(callerRequest(kCallerPort2, "POST", "running")); });
    REQUIRE(eventually([&] { return started == 1; }));
    const TimeMs begin = monotonicMs();
    nodes.entryNode.path().answerOutstanding();
    caller.join();
    CHECK(monotonicMs() - begin < 1000);
    CHECK(running.status == 502);
    CHECK(verdictOf(running) == "may-have-run");
    CHECK(reasonOf(running) == "draining");
}

// Guards against a process that serves callers by an outdated manifest after a pause, before its control thread has
// noticed the pause.
TEST_CASE("callers are refused when the permission to serve them has not been renewed")
{
    constexpr TimeMs kLeaseMs = 300;
    TestBackend backend(kBackendPort1);
    TestNode node(1, kCallerPort1, kHopPort1, kLeaseMs);
    node.path().publish(bookingsSnapshot(5, {hostRecord(1, kHopPort1)}));
    node.serve(backend);
    const auto call = [](const std::string &id) { return fetch(callerRequest(kCallerPort1, "POST", id)); };
    node.path().confirmReady(monotonicMs());
    CHECK(call("in-time").status == 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(2 * kLeaseMs));
    const HttpResult refused = call("late");
    CHECK(refused.status == 503);
    CHECK(reasonOf(refused) == "stale-node");
    CHECK(backend.executions("late") == 0);
    node.path().confirmReady(monotonicMs());
    CHECK(call("renewed").status == 200);
}

// Guards against a shed request that is not sent to another host, and against a plain 503 that is taken for a refusal.
TEST_CASE("a shed request is retried on another host and a 503 without a verdict is an answer")
{
    TwoNodes nodes;
    TestBackend otherBackend(18513);
    TestNode otherNode(3, 18530, 18531);
    otherNode.serve(otherBackend);
    const auto snapshot = bookingsSnapshot(6, {hostRecord(1, kHopPort1), hostRecord(3, 18531)});
    nodes.entryNode.path().publish(snapshot);
    nodes.backend.setBehaviour([](HttpCall &call) {
        call.responder->send(503, {{"Fulmarledge-Verdict", "not-run"}}, "shed");
    });
    for (int i = 0; i < 8; ++i) {
        const std::string id = "shed-" + std::to_string(i);
        CHECK(fetch(callerRequest(kCallerPort2, "POST", id)).status == 200);
        CHECK(otherBackend.executions(id) == 1);
    }
    nodes.backend.setBehaviour([](HttpCall &call) { call.responder->send(503, {}, "own answer"); });
    const HttpResult bare = fetch(callerRequest(kCallerPort1, "POST", "bare"));
    CHECK(bare.status == 503);
    CHECK(verdictOf(bare) == "answered");
    CHECK(bare.body == "own answer");
}

// Guards against a dead backend server that stays in service until the lack of its announcements is noticed.
TEST_CASE("refused connections to the local backend server are counted until its next announcement or answer")
{
    TwoNodes nodes;
    constexpr std::uint16_t kClosedPort = 18519;
    RequestPath &path = nodes.backendNode.path();
    path.setLocalBackend({"127.0.0.1", kClosedPort}, "bookings", 12, wire::HostState::Serving, 0);
    for (int i = 1; i <= 3; ++i) {
        CHECK(verdictOf(fetch(callerRequest(kCallerPort1, "POST", "dead-" + std::to_string(i)))) == "not-run");
        CHECK(path.stats().refusedConnections >= i);
    }
    nodes.backendNode.serve(nodes.backend);
    CHECK(path.stats().refusedConnections == 0);
    CHECK(fetch(callerRequest(kCallerPort1, "POST", "alive")).status == 200);
    CHECK(path.stats().refusedConnections == 0);
}

// Guards against a node that serves callers before it is ready, and against going back to an older version.
TEST_CASE("a node that is not ready refuses callers and still serves other nodes")
{
    TwoNodes nodes;
    nodes.backendNode.path().setReady(false, Reason::StaleNode);
    const HttpResult refused = fetch(callerRequest(kCallerPort1, "GET", "r"));
    CHECK(refused.status == 503);
    CHECK(verdictOf(refused) == "not-run");
    CHECK(reasonOf(refused) == "stale-node");
    CHECK(fetch(callerRequest(kCallerPort2, "GET", "s")).status == 200);
    CHECK_FALSE(nodes.entryNode.path().publish(bookingsSnapshot(4, {hostRecord(1, kHopPort1)})));
}
