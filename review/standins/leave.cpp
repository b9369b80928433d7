// Case "leave is forgotten": an endpoint's leave is acknowledged, all nodes are killed and started again, and a
// heartbeat from before the leave arrives late.
#include "harness.h"

using namespace review;

namespace {

constexpr Ms kDrainMs = 2000;
constexpr Ms kStableWindowMs = 3000;
constexpr Ms kLateMs = 2500; ///< how late the heartbeat is
constexpr Ms kServesOnMs = 6500; ///< from the acknowledgement to the endpoint's end
constexpr Ms kDownMs = 500; ///< from the kill of the nodes to their start

} // namespace

int main(int, char **argv)
{
    Record::get().open(argv[1]);
    const Machine a{"side-a-1", "a", loopback(1), "book"};
    const Machine b{"side-b-1", "b", loopback(2), "sheets"};
    const Machine c{"side-b-2", "b", loopback(3), "book"};
    Deployment fleet({a, b, c});
    fleet.store->put("config", "main",
                     configuration(7, {{"/u/", "unsafe", "book"}, {"/s/", "safe", "sheets"}}, {"book", "sheets"}));
    Endpoint leaving({"i-leaving", "book", "a", fleet.app(a), fleet.control(a), 300});
    Endpoint staying({"i-staying", "book", "b", fleet.app(c), fleet.control(c), 300});
    Endpoint sheets({"i-sheets", "sheets", "b", fleet.app(b), fleet.control(b), 100});
    for (const Machine &machine : fleet.machines) {
        fleet.start(machine);
    }
    leaving.startBeats();
    staying.startBeats();
    sheets.startBeats();
    if (!fleet.waitReady(fleet.machines, 10000)) {
        fleet.finish(2);
    }
    sleepMs(5000);
    for (int i = 0; i < 8; ++i) {
        request(fleet.outbound(i % 2 == 0 ? a : b), "POST", "/u/book", 4000, "before");
    }
    if (leaving.runs().empty()) {
        fleet.finish(2);
    }

    // The last heartbeat is held up on its way. The endpoint waits a second for its answer and then leaves.
    leaving.stopBeats();
    const std::string lateBeat = leaving.beatText("ready", leaving.takeSequence());
    const Ms beatSentAt = nowMs();
    RECORD("endpoint i-leaving sends its last heartbeat (ready), which is held up on its way");
    sleepMs(1000);
    const int acknowledged = leaving.leave();
    const Ms acknowledgedAt = nowMs();
    if (acknowledged != 200) {
        fleet.finish(2);
    }
    sleepMs(300);
    Ms startedAt = nowMs();
    if (hasTrouble()) {
        for (const Machine &machine : fleet.machines) {
            fleet.kill(machine);
        }
        sleepMs(kDownMs);
        for (const Machine &machine : fleet.machines) {
            fleet.start(machine);
        }
        startedAt = nowMs();
    }
    sleepMs(std::max<Ms>(beatSentAt + kLateMs - nowMs(), 0));
    RECORD("the late heartbeat arrives %lld ms after it was sent: %d", static_cast<long long>(nowMs() - beatSentAt),
           leaving.sendControl(lateBeat));
    if (!fleet.waitReady(fleet.machines, 8000)) {
        fleet.finish(2);
    }

    // Bookings at two machines, until the endpoint ends as planned.
    std::mutex mutex;
    std::vector<Attempt> attempts;
    std::vector<std::thread> clients;
    for (int i = 0; i < 4; ++i) {
        clients.emplace_back([&, i] {
            sleepMs(i * 50);
            while (nowMs() < acknowledgedAt + kServesOnMs + 500) {
                const Attempt attempt = request(fleet.outbound(i % 2 == 0 ? a : b), "POST", "/u/book", 4000, "after");
                const std::lock_guard lock(mutex);
                attempts.push_back(attempt);
                sleepMs(50);
            }
        });
    }
    sleepMs(std::max<Ms>(acknowledgedAt + kServesOnMs - nowMs(), 0));
    leaving.end();
    for (std::thread &client : clients) {
        client.join();
    }
    int late = 0;
    int cut = 0;
    for (const Attempt &attempt : attempts) {
        for (const Run &run : leaving.runs()) {
            // DRAIN: later than drainMs after the acknowledgement, sent on by machines in touch.
            if (run.id == attempt.id && run.at > acknowledgedAt + kDrainMs
                && attempt.sentAt > startedAt + kStableWindowMs) {
                ++late;
                cut += attempt.status != 200 ? 1 : 0;
            }
        }
    }
    RECORD("bookings that reached i-leaving later than %lld ms after the acknowledgement, by machines in touch: %d; of "
           "these not answered with success: %d",
           static_cast<long long>(kDrainMs), late, cut);
    fleet.finish(late > 0 ? 1 : 0);
}
