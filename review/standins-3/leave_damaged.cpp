// An endpoint leaves, and a damaged heartbeat with its id arrives afterwards.
#include "world.h"

namespace {

constexpr std::int64_t kDrainMs = 2000;
constexpr std::size_t kClientsPerNode = 4;
constexpr std::int64_t kServeAfterLeaveMs = 6000;

} // namespace

int main(int argc, char **argv)
{
    World world(argc, argv);
    Store store({world.ip(250), 8627});
    store.put("config", "main", configuration(7, {{"desk.example", "/visits/", "unsafe", "bookings"}}, {"bookings"}));
    Node a(world.nodeSettings("side-a", "ikeja", 1, "bookings"));
    Node b(world.nodeSettings("side-b", "apapa", 2, "bookings"));
    const std::vector<Node *> nodes{&a, &b};
    for (Node *node : nodes) {
        node->start();
    }
    Endpoint leaving(world.record, "i-leaving", "bookings", "ikeja", {world.ip(1), 8628}, a.control);
    Endpoint staying(world.record, "i-staying", "bookings", "apapa", {world.ip(2), 8628}, b.control);
    leaving.startHeartbeats();
    staying.startHeartbeats();
    const auto end = [&](int code, const std::string &text) {
        for (Node *node : nodes) {
            node->kill(SIGKILL);
        }
        finish(world, code, text);
    };
    if (!world.waitReady(nodes)) {
        end(2, "the nodes did not become ready");
    }
    std::atomic<bool> stop{false};
    std::mutex mutex;
    std::map<std::string, int> answers;
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < nodes.size() * kClientsPerNode; ++i) {
        clients.emplace_back([&, node = nodes[i % nodes.size()]] {
            while (!stop) {
                const std::string id = world.newId();
                const Answer answer = call(node->outbound, "POST", "/visits/1",
                                           {{"Host", "desk.example"},
                                            {"X-Fulmarledge-Request-Id", id},
                                            {"X-Fulmarledge-Deadline-Ms", "2000"}},
                                           "visit", 2500);
                {
                    const std::lock_guard lock(mutex);
                    answers[id] = answer.status;
                }
                world.record.line("client at " + node->settings.name + " sent " + id + ", answer "
                                  + std::to_string(answer.status));
                sleepMs(50);
            }
        });
    }
    sleepMs(6000);
    const std::size_t before = leaving.runs().size();
    if (before == 0 || staying.runs().empty()) {
        end(2, "an endpoint got no request before the leave");
    }
    // The endpoint never reports draining: it sends DELETE first, and serves on.
    leaving.stopHeartbeats();
    sleepMs(1600);
    const Answer leave
        = call(a.control, "DELETE", "/api/instances/" + leaving.id, {{"Host", a.control.text()}}, "", 1000);
    const std::int64_t acknowledgedAt = nowMs();
    world.record.line("endpoint i-leaving sent DELETE, acknowledged with " + std::to_string(leave.status));
    if (leave.status != 200) {
        end(2, "the leave was not acknowledged");
    }
    if (world.trouble) {
        sleepMs(500);
        // A heartbeat of another writer: the field `born` is missing.
        json damaged = leaving.heartbeat("ready");
        damaged.erase("born");
        damaged["seq"] = 1;
        const Answer answer = leaving.sendHeartbeat(damaged);
        world.record.line("another writer sent " + damaged.dump() + ", answer " + std::to_string(answer.status));
    }
    sleepMs(kServeAfterLeaveMs - (nowMs() - acknowledgedAt));
    // It exits, as it has said.
    leaving.close();
    world.record.line("endpoint i-leaving exits");
    sleepMs(300);
    stop = true;
    for (std::thread &client : clients) {
        client.join();
    }
    std::size_t late = 0;
    std::size_t lost = 0;
    std::int64_t last = 0;
    for (const Endpoint::Run &run : leaving.runs()) {
        if (run.at > acknowledgedAt + kDrainMs) {
            ++late;
            lost += answers[run.id] == 200 ? 0 : 1;
            last = run.at - acknowledgedAt;
        }
    }
    end(late > 0 ? 1 : 0,
        "DRAIN: " + std::to_string(late) + " requests reached the endpoint later than " + std::to_string(kDrainMs)
            + " ms after its leave was acknowledged, the last after " + std::to_string(last) + " ms; "
            + std::to_string(lost) + " of them were not answered with success");
}
