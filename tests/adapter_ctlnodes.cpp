#include <catch2/catch.hpp>

#include "ctl_wait.h"
#include "fakenode.h"

using namespace fulmarledge;
using namespace fulmarledge::nodetest;

namespace {

constexpr std::uint16_t kFirstPort = 18720;
constexpr std::uint16_t kClosedPort = 18729;

WaitResult runWait(std::vector<SocketAddress> nodes, std::int64_t limitMs)
{
    IoLoop loop;
    HttpClient client(loop, 8);
    NodeQuery query(client, 300, 2);
    WaitResult result;
    ConvergenceWait wait(loop, query, std::move(nodes), 4, limitMs, [&](const WaitResult &finished) {
        result = finished;
        loop.stop();
    });
    wait.start();
    loop.run();
    return result;
}

} // namespace

// Guards against a wait that misses a node that only other members list, counts dead members, or ends too early.
TEST_CASE("a wait polls every live member until all run the version")
{
    const json members
        = {member("a", kFirstPort, "alive", "serving"), member("b", kFirstPort + 1, "suspect", "draining"),
           member("c", kFirstPort + 2, "alive", "starting"), member("d", kClosedPort, "dead", "serving"),
           member("e", kClosedPort, "alive", "left")};
    FakeNode a(kFirstPort, members, statusOf(4));
    FakeNode b(kFirstPort + 1, json::array(), statusOf(3));
    FakeNode c(kFirstPort + 2, json::array(), statusOf(5));
    b.upgradeAfterCalls = 2;
    const WaitResult result = runWait({{"127.0.0.1", kClosedPort}, {"127.0.0.1", kFirstPort}}, 5000);
    CHECK(result.converged);
    CHECK(result.nodes == 3);
    CHECK(a.statusCalls == 1);
    CHECK(b.statusCalls == 3);
    CHECK(c.statusCalls == 1);
}

// Guards against a lagging node without a name or a reason, and against success when no node has confirmed the version.
TEST_CASE("a timed-out wait names the lagging nodes and the reasons")
{
    const json members
        = {member("a", kFirstPort + 3, "alive", "serving"), member("b", kFirstPort + 4, "alive", "serving"),
           member("c", kClosedPort, "alive", "serving")};
    json rejecting = statusOf(3);
    rejecting["rejected"] = {{"version", 4}, {"reason", "digest differs"}};
    rejecting["platform"] = {{"reachable", false}, {"age_ms", 9000}};
    rejecting["ready"] = false;
    const FakeNode a(kFirstPort + 3, members, statusOf(4));
    const FakeNode b(kFirstPort + 4, json::array(), rejecting);
    const WaitResult result = runWait({{"127.0.0.1", kFirstPort + 3}}, 400);
    CHECK_FALSE(result.converged);
    CHECK(result.elapsedMs >= 400);
    REQUIRE(result.lagging.size() == 2);
    CHECK(result.lagging.at("b")
          == "runs version 3, rejected version 4: digest differs, platform last reached 9000 ms ago, not ready");
    CHECK(result.lagging.at("c").find("could not be asked: ") == 0);
    CHECK(result.lagging.at("c").find("last reported version 3, 700 ms ago") != std::string::npos);

    const WaitResult noNodeReached = runWait({{"127.0.0.1", kClosedPort}}, 200);
    CHECK_FALSE(noNodeReached.converged);
    CHECK(noNodeReached.failure.find("node 127.0.0.1:18729: ") == 0);
    const FakeNode empty(kFirstPort + 5, json::array(), statusOf(4));
    CHECK_FALSE(runWait({{"127.0.0.1", kFirstPort + 5}}, 200).converged);
    const FakeNode malformed(kFirstPort + 6, json{{"members", 1}}, statusOf(4));
    CHECK(runWait({{"127.0.0.1", kFirstPort + 6}}, 200).failure == "the list of members is malformed");
}
