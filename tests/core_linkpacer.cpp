#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "fulmarledge/linkpacer.h"
#include "fulmarledge/slotguard.h"
#include "request_fakes.h"

using namespace fulmarledge;
using namespace fulmarledge::requesttest;

namespace {

constexpr double kLinkBytesPerMs = 937.5; // 7.5 Mbit/s
constexpr std::size_t kSmallBytes = 600;
constexpr std::size_t kLargeBytes = 90000;
constexpr std::uint64_t kDownload = 1;
constexpr TimeMs kObjectiveMs = 800;

/// Queue of a link, with the bytes that were written and have not left yet.
struct Link {
    void write(std::size_t bytes)
    {
        queuedBytes += static_cast<double>(bytes);
    }
    void transmit(TimeMs ms)
    {
        queuedBytes = std::max(queuedBytes - static_cast<double>(ms) * kLinkBytesPerMs, 0.0);
    }
    double queuedBytes = 0;
};

GuardRequest downloadRequest(TimeMs now, bool fromOtherZone = false)
{
    GuardRequest request;
    request.service = "archive";
    request.rank = 2;
    request.kind = kDownload;
    request.objectiveMs = kObjectiveMs;
    request.objectiveDeadline = now + kObjectiveMs;
    request.deadline = now + 5000;
    request.usesLink = true;
    request.fromOtherZone = fromOtherZone;
    return request;
}

/// Host whose link is the bottleneck. It has 12 slots with 180 ms and 90 KB per answer, and a link of 7.5 Mbit/s.
struct Host {
    Host()
    {
        GuardConfig config;
        config.answerBytesPerMs = answerRate(7.5);
        config.linkGauge = gauge;
        guard = std::make_unique<SlotGuard>(config);
        guard->serve("archive", 12, 0);
    }
    void addWaitingBytes(std::ptrdiff_t bytes) const
    {
        gauge->waitingBytes.fetch_add(bytes);
    }
    /// Runs one request, so that the guard knows the service time and the answer size of the kind.
    void learnMeans()
    {
        const GuardDecision first = guard->submit(downloadRequest(0), 0);
        REQUIRE(first.state == GuardState::Run);
        REQUIRE(guard->finish(first.id, true, 180, kLargeBytes));
    }

    std::shared_ptr<LinkGauge> gauge = std::make_shared<LinkGauge>();
    std::unique_ptr<SlotGuard> guard;
};

} // namespace

// Guards against bufferbloat, where small answers and handshakes wait for a second behind large answers.
TEST_CASE("large messages keep the queue of the link short and use most of its rate")
{
    LinkPacer pacer(answerRate(7.5));
    Link link;
    std::size_t largeBytes = 0;
    double longestQueueMs = 0;
    TimeMs nextWakeup = 0;
    for (TimeMs now = 1; now <= 10000; ++now) {
        link.transmit(1);
        if (now % 10 == 0) {
            link.write(kSmallBytes);
            pacer.recordSent(kSmallBytes, now);
        }
        // Wake-ups are up to 20 ms late.
        if (now >= nextWakeup) {
            const std::size_t allowed = pacer.allowedBytes(now);
            link.write(allowed);
            pacer.recordSent(allowed, now);
            largeBytes += allowed;
            nextWakeup = now + pacer.waitMs(now) + (now % 3) * 10;
        }
        longestQueueMs = std::max(longestQueueMs, link.queuedBytes / kLinkBytesPerMs);
    }
    CHECK(longestQueueMs < 60);
    const double usedShare = (static_cast<double>(largeBytes) + 1000.0 * kSmallBytes) / (10000 * kLinkBytesPerMs);
    CHECK(usedShare > 0.85);
    CHECK(usedShare < 0.92);
}

// Guards against a peer that closes a connection as silent while the rest of a large message waits.
TEST_CASE("other traffic delays a large message for less than the time after which a connection counts as silent")
{
    constexpr TimeMs kHopSilenceMs = 900; // deploy/node.ini
    LinkPacer pacer(answerRate(7.5));
    pacer.recordSent(100 * 1000 * 1000, 0);
    CHECK(pacer.allowedBytes(0) == 0);
    CHECK(pacer.waitMs(0) <= kHopSilenceMs / 2);
}

// Guards against holding large messages back for ever when the link has no rate.
TEST_CASE("a link without a rate is not paced")
{
    CHECK_FALSE(LinkPacer(answerRate(0)).isActive());
    CHECK(LinkPacer(answerRate(1000)).isActive());
}

// Guards against overload of the link, where requests are admitted because slots are free and all answers leave late,
// and against refusals while the link is idle.
TEST_CASE("requests with large answers are admitted only if the link can send the answers in time")
{
    Host host;
    host.learnMeans();
    TimeMs now = 200;
    std::deque<std::pair<TimeMs, GuardEntryId>> running; // end of the service time, id
    std::deque<std::pair<TimeMs, std::ptrdiff_t>> queue; // time of admission, bytes of the answer
    const double bytesPerMs = answerRate(7.5);
    int inTime = 0;
    int late = 0;
    int refused = 0;
    std::map<std::uint64_t, TimeMs> admittedAt;
    double sendableBytes = 0;
    // 25 requests a second on a link that can send 9.4 answers a second.
    for (; now < 20000; ++now) {
        if (now % 40 == 0) {
            const GuardDecision decision = host.guard->submit(downloadRequest(now), now);
            if (decision.state == GuardState::Run) {
                running.emplace_back(now + 180, decision.id);
                admittedAt[decision.id.value] = now;
            } else {
                CHECK(decision.reason == Reason::LinkBusy);
                CHECK(decision.retryAfterMs > 0);
                ++refused;
            }
        }
        while (!running.empty() && running.front().first <= now) {
            host.guard->finish(running.front().second, true, now, kLargeBytes);
            queue.emplace_back(admittedAt[running.front().second.value], static_cast<std::ptrdiff_t>(kLargeBytes));
            host.addWaitingBytes(static_cast<std::ptrdiff_t>(kLargeBytes));
            running.pop_front();
        }
        sendableBytes = queue.empty() ? 0 : sendableBytes + bytesPerMs;
        while (!queue.empty() && sendableBytes >= static_cast<double>(queue.front().second)) {
            sendableBytes -= static_cast<double>(queue.front().second);
            (now - queue.front().first <= kObjectiveMs ? inTime : late) += 1;
            host.addWaitingBytes(-queue.front().second);
            queue.pop_front();
        }
    }
    CHECK(late == 0);
    // 90% of what the link can send.
    CHECK(inTime > 0.9 * 19.8 * 1000 * bytesPerMs / kLargeBytes);
    CHECK(refused > 0);
}

// Guards against answers to another data centre while callers in the own one wait for the same link.
TEST_CASE("the second half of the link's queue is kept for callers in the own data centre")
{
    Host host;
    host.learnMeans();
    CHECK(host.guard->submit(downloadRequest(200, true), 200).state == GuardState::Run);
    host.addWaitingBytes(3 * static_cast<std::ptrdiff_t>(kLargeBytes));
    CHECK(host.guard->submit(downloadRequest(200, true), 200).reason == Reason::LinkBusy);
    CHECK(host.guard->submit(downloadRequest(200), 200).state == GuardState::Run);
    host.addWaitingBytes(3 * static_cast<std::ptrdiff_t>(kLargeBytes));
    CHECK(host.guard->submit(downloadRequest(200), 200).reason == Reason::LinkBusy);
}

// Guards against refusals because of a busy link for requests that do not use it.
TEST_CASE("small answers and callers on the same host do not wait for the link")
{
    Host host;
    host.learnMeans();
    host.addWaitingBytes(100 * static_cast<std::ptrdiff_t>(kLargeBytes));
    GuardRequest request = downloadRequest(200);
    request.usesLink = false;
    CHECK(host.guard->submit(request, 200).state == GuardState::Run);
}
