// Case: an acknowledged leave is forgotten, because the node that acknowledged it was killed before and after.
//
// The endpoint never reports `draining`: it sends DELETE, goes on serving and exits later. Its node has just been
// killed and started again, so the DELETE is the first announcement that the new process hears. It is acknowledged and
// kept in the memory of that process only. The node is killed once more. A ready heartbeat of the endpoint, sent before
// the DELETE and late by seconds, then brings the endpoint back into service. The store is well all the time.
#include "fleet.h"

using namespace review;

namespace {

constexpr std::int64_t kDrainMs = 2000;
constexpr std::int64_t kStableWindowMs = 3000;

} // namespace

int main(int, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record(std::string(argv[1]) + "/record.txt");
    Fleet fleet({{"jobsheets", "ikeja"},
                 {"jobsheets", "apapa"},
                 {"bookings", "lekki"},
                 {"bookings", "yaba"},
                 {"bookings", "ikeja"}},
                smallSiteFields("260"), record);
    fleet.store->putConfig(
        makeConfig(7,
                   json::array({json::array({"r-1", "a.example", "/jobs/", "safe", 4000, 600, 2, 2, "jobsheets"}),
                                json::array({"r-2", "b.example", "/book/", "unsafe", 5000, 800, 1, 2, "bookings"})}),
                   {"jobsheets", "bookings"}));
    for (Fleet::Machine &machine : fleet.machines) {
        machine.node->start();
    }
    for (Fleet::Machine &machine : fleet.machines) {
        Endpoint::Options options;
        options.workMs = 100;
        fleet.startEndpoint(machine, options);
    }
    if (!fleet.waitReady(15000)) {
        record.line("the nodes did not become ready");
        std::_Exit(2);
    }
    sleepMs(3000);
    std::atomic<bool> isOver{false};
    std::mutex mutex;
    std::map<std::string, std::int64_t> sentAt;
    std::map<std::string, std::string> sentBy;
    std::map<std::string, int> answers;
    std::vector<std::thread> clients;
    for (int i = 0; i < 10; ++i) {
        clients.emplace_back([&, i] {
            // Clients of the machines that are not disturbed.
            const Fleet::Machine &machine = fleet.machines[static_cast<std::size_t>(i) % 3];
            while (!isOver) {
                const Message request = clientRequest("POST", "b.example", "/book/visit", 5000);
                const std::string id = request.field("X-Fulmarledge-Request-Id");
                {
                    const std::lock_guard lock(mutex);
                    sentAt[id] = record.nowMs();
                    sentBy[id] = machine.name;
                }
                Connection connection(machine.outbound);
                const auto response = connection.call(request, 6000);
                {
                    const std::lock_guard lock(mutex);
                    ++answers[response ? std::to_string(response->status) : "connection closed"];
                }
                sleepMs(30);
            }
        });
    }
    sleepMs(2000);
    Fleet::Machine &left = fleet.machines[3];
    Endpoint &endpoint = *left.endpoints.front();
    // The next ready heartbeat is on its way, and late.
    endpoint.stopBeats();
    const json lateBeat = endpoint.heartbeat("ready", 1000);
    const std::int64_t lateSentAt = record.nowMs();
    record.line("a ready heartbeat of " + endpoint.options().id + " is sent, and is late");
    if (hasTrouble()) {
        left.node->kill(SIGKILL);
        record.line(left.name + ": SIGKILL, first time");
        sleepMs(300);
        left.node->start();
    }
    // The endpoint leaves. It calls until it is acknowledged, once a second.
    std::int64_t acknowledgedAt = 0;
    for (int attempt = 0; attempt < 6 && acknowledgedAt == 0; ++attempt) {
        Message leave;
        leave.method = "DELETE";
        leave.target = "/api/instances/" + endpoint.options().id;
        leave.fields["Host"] = "control";
        Connection connection(left.control);
        const auto response = connection.call(leave, 1000);
        if (response && response->status == 200) {
            acknowledgedAt = record.nowMs();
        } else {
            sleepMs(200);
        }
    }
    record.line("DELETE of " + endpoint.options().id + " is "
                + (acknowledgedAt > 0 ? "acknowledged" : "not acknowledged"));
    if (acknowledgedAt == 0) {
        std::_Exit(2);
    }
    if (hasTrouble()) {
        sleepMs(200);
        left.node->kill(SIGKILL);
        record.line(left.name + ": SIGKILL, second time");
        sleepMs(300);
        left.node->start();
    }
    const std::int64_t calmFrom = record.nowMs() + kStableWindowMs;
    sleepMs(2500);
    Message beat;
    beat.method = "PUT";
    beat.target = "/api/instances/" + endpoint.options().id;
    beat.fields["Host"] = "control";
    beat.fields["Content-Type"] = "application/json";
    beat.body = lateBeat.dump();
    Connection connection(left.control);
    const auto response = connection.call(beat, 1000);
    record.line("the late heartbeat arrives, " + std::to_string(record.nowMs() - lateSentAt)
                + " ms after it was sent: " + (response ? std::to_string(response->status) : std::string("no answer")));
    sleepMs(6000);
    isOver = true;
    for (std::thread &client : clients) {
        client.join();
    }
    for (const auto &[answer, count] : answers) {
        record.line("bookings answered " + answer + ": " + std::to_string(count));
    }
    std::map<std::string, int> runsAt;
    for (const Run &run : fleet.runs.all()) {
        ++runsAt[run.endpoint];
    }
    for (const auto &[name, count] : runsAt) {
        record.line("bookings run by " + name + ": " + std::to_string(count));
    }
    int late = 0;
    for (const Run &run : fleet.runs.all()) {
        if (run.endpoint != endpoint.options().id) {
            continue;
        }
        const std::int64_t sent = sentAt[run.requestId];
        if (run.atMs > acknowledgedAt + kDrainMs && sent > calmFrom) {
            ++late;
            record.line("request " + run.requestId + ", sent by a client of " + sentBy[run.requestId] + " at "
                        + std::to_string(sent) + " ms, reaches " + run.endpoint + " "
                        + std::to_string(run.atMs - acknowledgedAt) + " ms after the acknowledgement");
        }
    }
    record.line(
        "requests that reached the endpoint later than drainMs after the acknowledgement, sent when all machines "
        "were in touch again: "
        + std::to_string(late));
    record.line(late > 0 ? "rule DRAIN: BROKEN" : "rule DRAIN: held");
    for (Fleet::Machine &machine : fleet.machines) {
        machine.node->kill(SIGKILL);
    }
    fleet.removeFolder();
    std::_Exit(late > 0 ? 1 : 0);
}
