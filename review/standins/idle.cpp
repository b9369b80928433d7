// Case "idle connections": clients open a connection for each request, and leave them idle for longer than the
// configuration's idleTimeoutMs.
#include "harness.h"

using namespace review;

namespace {

constexpr int kTimeoutMs = 2000; ///< of the routes
constexpr int kHalfSecondMs = 500;
constexpr int kIdleTimeoutMs = 5000;
constexpr int kPerSecond = 100;
constexpr int kSeconds = 22;
constexpr int kRequestsAfter = 20;
constexpr rlim_t kSockets = 3900; ///< limits.maxFds 4100, of which 200 are reserved for files

int openDescriptors(pid_t pid)
{
    int count = 0;
    for (const auto &entry : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd")) {
        count += entry.path().empty() ? 0 : 1;
    }
    return count;
}

} // namespace

int main(int, char **argv)
{
    Record::get().open(argv[1]);
    const Machine a{"side-a-1", "a", loopback(1), "book"};
    const Machine b{"side-b-1", "b", loopback(2), "sheets"};
    Deployment fleet({a, b});
    fleet.maxSockets = kSockets;
    // This program needs a descriptor for each idle connection.
    const rlimit own{8192, 8192};
    if (::setrlimit(RLIMIT_NOFILE, &own) != 0) {
        fleet.finish(2);
    }
    json document = configuration(7, {{"/u/", "unsafe", "book", kTimeoutMs}, {"/s/", "safe", "sheets", kTimeoutMs}},
                                  {"book", "sheets"});
    document["limits"]["idleTimeoutMs"] = kIdleTimeoutMs;
    fleet.store->put("config", "main", document);
    Endpoint book({"i-book", "book", "a", fleet.app(a), fleet.control(a), 2});
    Endpoint sheets({"i-sheets", "sheets", "b", fleet.app(b), fleet.control(b), 2});
    book.quiet = true;
    sheets.quiet = true;
    fleet.start(a);
    fleet.start(b);
    book.startBeats();
    sheets.startBeats();
    if (!fleet.waitReady({a, b}, 10000)) {
        fleet.finish(2);
    }
    sleepMs(4000);
    std::vector<std::pair<Ms, std::unique_ptr<Stream>>> idle;
    int served = 0;
    const Ms begin = nowMs();
    for (int i = 0; i < kPerSecond * kSeconds; ++i) {
        sleepMs(std::max<Ms>(begin + i * 1000 / kPerSecond - nowMs(), 0));
        auto stream = Stream::connect(fleet.outbound(a), 1000);
        if (!stream) {
            RECORD("no connection within 1 s, after %zu", idle.size());
            break;
        }
        const Attempt attempt = request({}, "GET", "/s/sheet", kTimeoutMs, "", stream.get(), {}, true);
        served += attempt.status == 200 ? 1 : 0;
        if (hasTrouble()) {
            idle.emplace_back(nowMs(), std::move(stream));
        }
        if (i % (kPerSecond * 2) == 0) {
            const auto beyond = std::count_if(idle.begin(), idle.end(), [](const auto &entry) {
                return nowMs() - entry.first > kIdleTimeoutMs && !entry.second->isClosedByPeer();
            });
            RECORD("%d requests served; %zu connections, of which %ld are open and idle for longer than idleTimeoutMs; "
                   "descriptors of %s: %d",
                   served, idle.size(), static_cast<long>(beyond), a.name.c_str(), openDescriptors(fleet.pidOf(a)));
        }
        if (attempt.status == 0) {
            RECORD("client: %s on connection %zu: no answer", attempt.id.c_str(), idle.size());
            break;
        }
    }
    sleepMs(kIdleTimeoutMs + 1000);
    RECORD("%d ms later: descriptors of %s: %d", kIdleTimeoutMs + 1000, a.name.c_str(),
           openDescriptors(fleet.pidOf(a)));
    std::atomic<int> unanswered{0};
    std::atomic<int> answered{0};
    std::vector<std::thread> clients;
    for (int i = 0; i < kRequestsAfter; ++i) {
        clients.emplace_back([&, i] {
            sleepMs(i * 50);
            const bool isBooking = i % 2 == 0;
            const Attempt attempt = request(fleet.outbound(a), isBooking ? "POST" : "GET",
                                            isBooking ? "/u/book" : "/s/sheet", 4000, isBooking ? "a booking" : "");
            const bool inTime
                = attempt.status != 0 && attempt.answeredAt - attempt.sentAt <= kTimeoutMs + kHalfSecondMs;
            ++(inTime ? answered : unanswered);
        });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    RECORD("requests of other clients at %s: %d answered, %d without an answer %d ms after the route's timeout; the "
           "process %s",
           a.name.c_str(), answered.load(), unanswered.load(), kHalfSecondMs,
           fleet.ended(a) == -1 ? "still runs" : "has ended");
    // CONFIG: eight or more, and over a quarter, have no final answer half a second after the route's timeout.
    fleet.finish(unanswered >= 8 && unanswered * 4 > answered + unanswered ? 1 : 0);
}
