#include <catch2/catch.hpp>

#include "responsequeue_p.h"

using namespace fulmarledge;

namespace {

ResponseQueue::Response response(const std::string &header, const std::string &body = {})
{
    return {header, body};
}

/// Takes the next response and reports it as completely written. Returns its header, empty without a response.
std::string writeNext(ResponseQueue &queue)
{
    std::optional<ResponseQueue::Response> next = queue.takeNext();
    if (!next) {
        return {};
    }
    const std::string header = next->header;
    queue.onWritten(std::move(*next), next->header.size() + next->body.size());
    return header;
}

void runAll(const std::vector<ResponseQueue::Callback> &callbacks)
{
    for (const ResponseQueue::Callback &callback : callbacks) {
        callback();
    }
}

} // namespace

// Guards against a response that overtakes the one to an earlier request.
TEST_CASE("responses leave the queue in the order of the requests")
{
    MemoryBudget memory;
    ResponseQueue queue(memory);
    const auto first = queue.add({});
    const auto second = queue.add({});
    const auto third = queue.add({});
    CHECK(queue.size() == 3);
    CHECK(queue.setResponse(third, response("three")));
    CHECK(queue.setResponse(second, response("two")));
    CHECK(writeNext(queue).empty());
    CHECK(queue.unsentResponses() == 2);
    CHECK(queue.setResponse(first, response("one")));
    CHECK(writeNext(queue) == "one");
    CHECK(writeNext(queue) == "two");
    CHECK(writeNext(queue) == "three");
    CHECK(writeNext(queue).empty());
    CHECK(queue.isEmpty());
    CHECK(queue.unsentResponses() == 0);
}

// Guards against a repeated or late response that reaches the next request of the connection.
TEST_CASE("a second response to a request changes nothing, and neither does one to an unknown request")
{
    MemoryBudget memory;
    ResponseQueue queue(memory);
    const auto first = queue.add({});
    const auto second = queue.add({});
    CHECK(queue.setResponse(first, response("one")));
    CHECK_FALSE(queue.setResponse(first, response("copy")));
    CHECK(writeNext(queue) == "one");
    CHECK_FALSE(queue.setResponse(first, response("late")));
    CHECK_FALSE(queue.setResponse(second + 1, response("unknown")));
    CHECK(queue.findRunning(first) == nullptr);
    CHECK(queue.findRunning(second) != nullptr);
    CHECK(writeNext(queue).empty());
    CHECK(queue.setResponse(second, response("two")));
    CHECK(writeNext(queue) == "two");
    CHECK(queue.add({}) == second + 1);
}

// Guards against bytes of waiting responses that nobody counts, or that stay counted after they have left.
TEST_CASE("waiting and unsent bytes are counted in the queue and in the memory of all, and are returned")
{
    MemoryBudget memory(1000);
    {
        ResponseQueue queue(memory);
        const auto first = queue.add({});
        const auto second = queue.add({});
        const auto third = queue.add({});
        queue.setResponse(second, response("12", "34567"));
        CHECK(queue.heldBytes() == 7);
        CHECK(memory.used() == 7);
        queue.setResponse(first, response("header", "body"));
        std::optional<ResponseQueue::Response> next = queue.takeNext();
        REQUIRE(next);
        queue.onWritten(std::move(*next), 4);
        CHECK(queue.unsent() == "erbody");
        CHECK(queue.heldBytes() == 13);
        CHECK_FALSE(queue.takeNext());
        queue.consumeUnsent(3);
        CHECK(queue.unsent() == "ody");
        CHECK(memory.used() == 10);
        queue.consumeUnsent(3);
        next = queue.takeNext();
        REQUIRE(next);
        CHECK(queue.heldBytes() == 0);
        queue.onWritten(std::move(*next), 3);
        CHECK(queue.unsent() == "4567");
        queue.setResponse(third, response("x", std::string(ResponseQueue::kMaxHeldBytes, 'x')));
        CHECK(queue.isFull());
    }
    CHECK(memory.used() == 0);
    ResponseQueue queue(memory);
    CHECK_FALSE(queue.isFull());
    memory.add(1001);
    CHECK(queue.isFull());
    memory.release(1001);
}

// Guards against requests in progress that are dropped, and against a response before the last that closes.
TEST_CASE("closing after the last response keeps all requests in progress, whatever their state")
{
    MemoryBudget memory;
    ResponseQueue queue(memory);
    std::string cancelled;
    const auto first = queue.add({});
    const auto second = queue.add({});
    const auto third = queue.add({});
    queue.setCallback(first, [&] { cancelled += "1"; });
    queue.setCallback(second, [&] { cancelled += "2"; });
    queue.setCallback(third, [&] { cancelled += "3"; });
    queue.setResponse(third, response("three"));
    queue.setResponse(first, response("one"));
    std::optional<ResponseQueue::Response> next = queue.takeNext();
    REQUIRE(next);
    queue.closeAfterLast();
    CHECK(queue.isClosing());
    CHECK_FALSE(queue.isLast());
    CHECK_FALSE(queue.isCancelled(second));
    queue.onWritten(std::move(*next), 3);
    CHECK(writeNext(queue).empty());
    CHECK_FALSE(queue.isLast());
    CHECK(queue.setResponse(second, response("two")));
    CHECK(writeNext(queue) == "two");
    next = queue.takeNext();
    REQUIRE(next);
    CHECK(next->header == "three");
    CHECK(queue.isLast());
    queue.onWritten(std::move(*next), 5);
    CHECK(queue.isEmpty());
    CHECK(queue.isClosing());
    CHECK(cancelled.empty());
    CHECK_FALSE(queue.setResponse(second, response("late")));
    CHECK(memory.used() == 0);
}

// Guards against a half-closed connection that loses complete responses, or that waits for a request that still runs.
TEST_CASE("closing after the ready responses keeps those up to the first request that runs")
{
    MemoryBudget memory;
    ResponseQueue queue(memory);
    int cancelled = 0;
    std::vector<ResponseQueue::Number> requests;
    for (int i = 0; i < 5; ++i) {
        requests.push_back(queue.add({}));
        queue.setCallback(requests.back(), [&] { ++cancelled; });
    }
    for (const int ready : {0, 1, 3}) {
        queue.setResponse(requests[static_cast<std::size_t>(ready)], response("r" + std::to_string(ready)));
    }
    std::optional<ResponseQueue::Response> first = queue.takeNext();
    REQUIRE(first);
    queue.onWritten(std::move(*first), 1);
    runAll(queue.closeAfterReady());
    CHECK(cancelled == 2);
    CHECK(queue.size() == 2);
    queue.consumeUnsent(1);
    CHECK(queue.isLast());
    CHECK(writeNext(queue) == "r1");
    CHECK(queue.isEmpty());
    CHECK(memory.used() == 0);
}

// Guards against a lost connection whose requests go on.
TEST_CASE("cancelling all drops every request and response and returns the callbacks of the running ones")
{
    MemoryBudget memory;
    ResponseQueue queue(memory);
    int cancelled = 0;
    const auto first = queue.add({});
    const auto second = queue.add({});
    queue.add({});
    queue.setCallback(first, [&] { ++cancelled; });
    queue.setCallback(second, [&] { ++cancelled; });
    queue.setResponse(second, response("two"));
    runAll(queue.cancelAll());
    CHECK(cancelled == 1);
    CHECK(queue.isEmpty());
    CHECK(queue.heldBytes() == 0);
    CHECK(memory.used() == 0);
    CHECK_FALSE(queue.setResponse(first, response("late")));
}

// Guards against a request that runs beside one that must not run twice.
TEST_CASE("the queue tells whether every request in it is repeatable")
{
    MemoryBudget memory;
    ResponseQueue queue(memory);
    CHECK(queue.areAllRepeatable());
    const auto first = queue.add({.isRepeatable = true});
    queue.add({.isRepeatable = true});
    CHECK(queue.areAllRepeatable());
    queue.add({.isHead = true});
    CHECK_FALSE(queue.areAllRepeatable());
    CHECK_FALSE(queue.findRunning(first)->isHead);
    CHECK(queue.findRunning(first + 2)->isHead);
}
