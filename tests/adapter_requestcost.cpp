#include <atomic>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <new>

#include "datapathfixture.h"

namespace {

std::atomic<std::uint64_t> allocations{0};

} // namespace

void *operator new(std::size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    if (void *memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

using namespace datapathtest;

namespace {

constexpr std::uint16_t kCaller = 18540;
constexpr std::uint16_t kHop = 18541;
constexpr std::uint16_t kBackend = 18542;
constexpr int kCalls = 200;

/// Mean number of allocations of one request on an open connection, including those of the client and the backend
/// server, which are in this process. As many requests precede the counted ones.
double allocationsPerCall(TestNode &node, const std::shared_ptr<const Snapshot> &snapshot)
{
    REQUIRE(node.path().publish(snapshot));
    IoLoop loop;
    HttpClient client(loop, 1);
    int left = kCalls + kCalls;
    std::uint64_t before = 0;
    std::function<void()> next = [&] {
        if (left == kCalls) {
            before = allocations;
        }
        if (left-- == 0) {
            loop.stop();
            return;
        }
        client.send(request(kCaller, "GET", "cost"), [&](const HttpResult &result) {
            REQUIRE(result.status == 200);
            next();
        });
    };
    next();
    loop.run();
    return static_cast<double>(allocations - before) / kCalls;
}

} // namespace

// Guards against per-request work on services other than the request's own, which would grow with the fleet.
// Announcements and heartbeats may add a little to either count, hence the tolerance of 2 allocations.
TEST_CASE("the allocations of a request do not grow with the number of services")
{
    TestBackend backend(kBackend);
    TestNode node(1, kCaller, kHop);
    node.serve(backend);
    const double small = allocationsPerCall(node, bookings(1, {hostRecord(1, kHop)}));
    const double large = allocationsPerCall(node, bookings(2, {hostRecord(1, kHop)}, 390));
    CAPTURE(small, large);
    CHECK(large <= small + 2);
}
