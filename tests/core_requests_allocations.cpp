#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>
#include <new>

#include "allocationcount.h"
#include "fulmarledge/organisations.h"
#include "fulmarledge/requestsession.h"
#include "fulmarledge/slotguard.h"
#include "request_fakes.h"

namespace {

thread_local std::size_t allocationCount = 0;
thread_local std::ptrdiff_t heldBytes = 0;

// Not inlined, because the compiler would then warn about `free` on memory from `operator new`.
[[gnu::noinline]] void *allocate(std::size_t size) noexcept
{
    ++allocationCount;
    void *memory = std::malloc(size > 0 ? size : 1);
    heldBytes += static_cast<std::ptrdiff_t>(::malloc_usable_size(memory));
    return memory;
}

[[gnu::noinline]] void release(void *memory) noexcept
{
    heldBytes -= static_cast<std::ptrdiff_t>(::malloc_usable_size(memory));
    std::free(memory);
}

void *allocateOrThrow(std::size_t size)
{
    if (void *memory = allocate(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

} // namespace

void *operator new(std::size_t size)
{
    return allocateOrThrow(size);
}

void *operator new[](std::size_t size)
{
    return allocateOrThrow(size);
}

void *operator new(std::size_t size, const std::nothrow_t &) noexcept
{
    return allocate(size);
}

void *operator new[](std::size_t size, const std::nothrow_t &) noexcept
{
    return allocate(size);
}

void operator delete(void *memory) noexcept
{
    release(memory);
}

void operator delete[](void *memory) noexcept
{
    release(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    release(memory);
}

void operator delete[](void *memory, std::size_t) noexcept
{
    release(memory);
}

std::ptrdiff_t heldBytesOfThisThread()
{
    return heldBytes;
}

std::size_t allocationsOfThisThread()
{
    return allocationCount;
}

using namespace fulmarledge;
using namespace fulmarledge::requesttest;

// Guards against memory allocationCount on each request. Routing uses the states of the view, the slots of the guard
// and the session itself, which all exist before the request, so the limit is 0.
TEST_CASE("routing, admission, a retry and the answer of a request allocate no memory")
{
    const auto records = hostRecords(25, 4);
    Balancer balancer("entry", "z-0");
    const auto view = balancer.buildView(bookingsSnapshot(records), 0);
    SlotGuard guard;
    guard.serve("bookings", 12, 0);
    RequestCounters counters;
    SeededRandom random(1);
    SessionConfig config;
    config.retry.extraRetriesPerSecond = 1000;
    RetryBudget budget(config.retry);
    const auto runRequest = [&](std::uint64_t id, std::string_view key, TimeMs now) {
        SessionRequest request{id, view->snapshot().firstTargetFor("/bookings/17"), "POST", key, 1, now + 1000};
        RequestSession session(request, view, config, budget, random, counters);
        const AttemptId first = session.start(now).items[0].attempt;
        const SessionAction wait
            = session.attemptFinished(first, {Verdict::NotRun, Reason::QueueFull, 0, 0, 36}, now).items[0];
        const SessionAction second = session.backoffOver(view, wait.until).items[0];
        const GuardDecision admitted
            = guard.submit({"bookings", "office", ServiceClass::Interactive, request.deadline}, now);
        guard.finish(admitted.id, true, now + 5);
        return session.attemptFinished(second.attempt, {Verdict::Answered, Reason::None, 200, 0, 1}, now + 5)
            .items[0]
            .verdict;
    };
    for (const std::string_view key : {"", "a key that is longer than any string kept without an allocation"}) {
        const std::size_t before = allocationCount;
        std::size_t answered = 0;
        for (std::uint64_t i = 1; i <= 100; ++i) {
            answered += runRequest(i, key, static_cast<TimeMs>(i) * 100) == Verdict::Answered ? 1 : 0;
        }
        const std::size_t after = allocationCount;
        CHECK(answered == 100);
        CHECK(after == before);
    }
    // Checks that the counter counts.
    const std::size_t before = allocationCount;
    const auto *number = new std::size_t(before);
    CHECK(allocationCount > before);
    delete number;
}

// Guards against rendering every route again when one route changes. On a small host this took longer than the time
// between two versions.
TEST_CASE("the canonical text of a manifest is joined from the texts of its routes")
{
    std::string routes;
    for (int i = 0; i < 1600; ++i) {
        routes += (i > 0 ? "," : "") + std::string(R"({"path_prefix":"/r)") + std::to_string(i)
            + R"(","service":"bookings","kind":"safe","timeout_ms":2500})";
    }
    LastReason error;
    const auto manifest
        = Manifest::parse(R"({"format":1,"services":[{"name":"bookings"}],"routes":[)" + routes + "]}", error);
    INFO(error.text());
    REQUIRE(manifest);
    const std::size_t before = allocationCount;
    const std::string text = manifest->canonicalText();
    CHECK(allocationCount - before < 100);
    CHECK(text.size() > 1600 * 50);
}

// Guards against a look-up of a key that allocates, and against one that takes a noticeable part of the 3 us that key,
// quota and ordering may add to a request. The bound leaves room for builds without optimisation on a busy machine.
TEST_CASE("the look-up of a key allocates no memory and takes less than 3 us")
{
    constexpr int kKeys = 20000;
    constexpr int kLookups = 200000;
    constexpr double kMaxLookupUs = 3;
    std::vector<std::string> keys;
    std::string list;
    for (int i = 0; i < kKeys; ++i) {
        keys.push_back("0123456789abcdef-" + std::to_string(i * 7919));
        list += (i > 0 ? ",\"" : "\"") + keys.back() + "\"";
    }
    LastReason error;
    const auto manifest = Manifest::parse(R"({"format":1,"services":[],"routes":[],"organisations":[{"name":"north",)"
                                          R"("keys":[)"
                                              + list + "]}]}",
                                          error);
    REQUIRE(manifest);
    const auto table = OrganisationTable::build(*manifest, 3);
    std::size_t found = 0;
    double bestUs = 1e9;
    const std::size_t before = allocationCount;
    // The best of several rounds, because other processes use the machine too.
    for (int round = 0; round < 5; ++round) {
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < kLookups; ++i) {
            found += isValid(table->find(keys[static_cast<std::size_t>(i) * 7 % kKeys])) ? 1 : 0;
            found += isValid(table->find("0123456789abcdef-unknown")) ? 1 : 0;
        }
        const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
        bestUs = std::min(bestUs, elapsed.count() / (2.0 * kLookups));
    }
    const std::size_t after = allocationCount;
    CHECK(found == 5 * std::size_t{kLookups});
    CHECK(after == before);
    CHECK(bestUs < kMaxLookupUs);
    std::printf("look-up of a key among %d: %.3f us\n", kKeys, bestUs);
}
