// Case: a planned stop cuts requests that were sent ahead on a connection and that endpoints are working on.
//
// Clients send safe requests ahead, up to six on a connection. Their node gets SIGTERM. Two and a half seconds later
// the node closes each connection with its next response, and cancels the requests behind it that endpoints already
// run.
#include "fleet.h"

using namespace review;

namespace {

constexpr std::int64_t kGraceMs = 6000;
constexpr std::int64_t kDeadlineMs = 4000;
constexpr int kAhead = 6;

struct Sent {
    std::int64_t atMs = 0;
    std::int64_t endedMs = 0;
    bool isAnswered = false;
    bool isCut = false; // the connection ended before the answer
};

} // namespace

int main(int, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record(std::string(argv[1]) + "/record.txt");
    Fleet fleet(
        {{"lobby", "riga-a"}, {"lobby", "riga-b"}, {"lobby", "riga-c"}, {"tourney", "riga-a"}, {"tourney", "riga-b"}},
        smallSiteFields("160"), record);
    fleet.store->putConfig(
        makeConfig(7,
                   json::array({json::array({"r-1", "a.example", "/list/", "safe", 4000, 1500, 0, 2, "lobby"}),
                                json::array({"r-2", "b.example", "/seat/", "unsafe", 4000, 800, 1, 2, "tourney"})}),
                   {"lobby", "tourney"}));
    for (Fleet::Machine &machine : fleet.machines) {
        machine.node->start();
    }
    for (Fleet::Machine &machine : fleet.machines) {
        Endpoint::Options options;
        options.slots = 13;
        options.workMs = 1200; // lobby lists take up to 1,400 ms
        fleet.startEndpoint(machine, options);
    }
    if (!fleet.waitReady(15000)) {
        record.line("the nodes did not become ready");
        std::_Exit(2);
    }
    sleepMs(4000);
    Fleet::Machine &stopped = fleet.machines[3];
    std::mutex mutex;
    std::map<std::string, Sent> all;
    std::atomic<bool> isOver{false};
    std::atomic<bool> isOut{false};
    std::atomic<std::int64_t> checkedAt{0};
    // The platform asks each second. After two misses the clients of the machine get no new work.
    std::thread platform([&] {
        for (int misses = 0; !isOver; sleepMs(1000)) {
            misses = fleet.isReady(stopped) ? 0 : misses + 1;
            checkedAt = record.nowMs();
            if (misses == 2) {
                record.line(stopped.name + ": two misses of the readiness check, no new work");
                isOut = true;
            }
        }
    });
    std::vector<std::thread> clients;
    for (int i = 0; i < 3; ++i) {
        clients.emplace_back([&, i] {
            sleepMs(230 * i);
            while (!isOver && !isOut) {
                Connection connection(stopped.outbound);
                bool isOpen = connection.isOpen();
                std::deque<std::string> waiting;
                while (isOpen && !isOver && !(isOut && waiting.empty())) {
                    // A new request is sent as soon as one is answered, so that six are always under way.
                    while (waiting.size() < kAhead && connection.isOpen() && !isOut) {
                        const Message request = clientRequest("GET", "a.example", "/list/tables", kDeadlineMs);
                        const std::string id = request.field("X-Fulmarledge-Request-Id");
                        {
                            const std::lock_guard lock(mutex);
                            all[id].atMs = record.nowMs();
                        }
                        connection.send(request);
                        waiting.push_back(id);
                        sleepMs(60);
                    }
                    const auto response = connection.receive(kDeadlineMs + 1000);
                    const std::lock_guard lock(mutex);
                    if (response) {
                        Sent &sent = all[waiting.front()];
                        sent.isAnswered = true;
                        sent.endedMs = record.nowMs();
                        waiting.pop_front();
                    }
                    isOpen = connection.isOpen();
                    if (!isOpen) {
                        for (const std::string &id : waiting) {
                            all[id].isCut = true;
                            all[id].endedMs = record.nowMs();
                        }
                    }
                }
                sleepMs(200);
            }
        });
    }
    sleepMs(3000);
    // Shortly after a check, so that the second miss is known 1.9 s after the signal.
    while (record.nowMs() - checkedAt < 100 || record.nowMs() - checkedAt > 130) {
        sleepMs(5);
    }
    const std::int64_t termAt = record.nowMs();
    if (hasTrouble()) {
        stopped.node->signal(SIGTERM);
        record.line(stopped.name + ": SIGTERM");
    }
    sleepMs(kGraceMs + 500);
    record.line(stopped.name + ": "
                + (hasTrouble() ? stopped.node->ended().value_or("still runs") : std::string("was left alone")));
    isOver = true;
    platform.join();
    for (std::thread &client : clients) {
        client.join();
    }
    std::map<std::string, Run> runs;
    for (const Run &run : fleet.runs.all()) {
        runs.emplace(run.requestId, run);
    }
    int answered = 0;
    int notPassedOn = 0;
    int lost = 0;
    const std::lock_guard lock(mutex);
    for (const auto &[id, sent] : all) {
        answered += sent.isAnswered ? 1 : 0;
        const auto run = runs.find(id);
        if (!sent.isCut || sent.endedMs < termAt || sent.endedMs > termAt + kGraceMs - 1000) {
            continue; // the last sixth of the grace time is excused
        }
        if (run == runs.end()) {
            ++notPassedOn;
        } else if (sent.endedMs < sent.atMs + kDeadlineMs) {
            ++lost;
            record.line("request " + id + ", sent " + std::to_string(sent.atMs - termAt)
                        + " ms after SIGTERM, begun by " + run->second.endpoint + " at "
                        + std::to_string(run->second.atMs - termAt) + " ms: the connection ends without an answer at "
                        + std::to_string(sent.endedMs - termAt) + " ms");
        }
    }
    record.line("answered " + std::to_string(answered) + ", cut before they were passed on (excused) "
                + std::to_string(notPassedOn) + ", cut while an endpoint was at work " + std::to_string(lost));
    record.line(lost > 0 ? "rule LOST: BROKEN" : "rule LOST: held");
    for (Fleet::Machine &machine : fleet.machines) {
        machine.node->kill(SIGKILL);
    }
    fleet.removeFolder();
    std::_Exit(lost > 0 ? 1 : 0);
}
