// The configuration grows to most of what an object of the store may hold, and changes a few times.
#include "world.h"

namespace {

constexpr int kNodes = 4;
constexpr int kMemoryMb = 88;
constexpr std::size_t kValueBytes = 1048576;
constexpr int kRoutes = 12000;
constexpr int kFewRoutes = 300;
constexpr std::int64_t kChangeGapMs = 2500;
constexpr std::int64_t kChangesMs = 35000;

/// One route that is used and many that are not, of which a seventh differs between versions.
json makeConfiguration(int version, int routes)
{
    std::vector<std::tuple<std::string, std::string, std::string, std::string>> list;
    list.emplace_back("desk.example", "/slots/", "unsafe", "intake-desk");
    for (int i = 0; i < routes; ++i) {
        list.emplace_back("h" + std::to_string(i % 97) + ".example",
                          "/p" + std::to_string(i) + "v" + std::to_string(i % 7 == 0 ? version : 0) + "/", "safe",
                          "intake-desk");
    }
    return configuration(version, list, {"intake-desk"}, 4000);
}

} // namespace

int main(int argc, char **argv)
{
    World world(argc, argv);
    Store store({world.ip(250), 8627});
    store.put("config", "main", makeConfiguration(7, kFewRoutes));
    const std::vector<std::string> zones{"guishan", "luzhu", "bade", "zhongli"};
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    for (int i = 0; i < kNodes; ++i) {
        const std::string zone = zones[static_cast<std::size_t>(i)];
        Node::Settings settings = world.nodeSettings("side-" + std::to_string(i), zone, i + 1, "intake-desk");
        settings.memoryMb = kMemoryMb;
        settings.linkMbps = 100;
        settings.bounds["configApplyMs"] = 2500;
        nodes.push_back(std::make_unique<Node>(settings));
        nodes.back()->start();
        endpoints.push_back(std::make_unique<Endpoint>(world.record, "i-" + std::to_string(i), "intake-desk", zone,
                                                       Address{world.ip(i + 1), 8628}, nodes.back()->control));
        endpoints.back()->workMs = 240;
        endpoints.back()->startHeartbeats();
    }
    MemoryLimit limit(world, nodes);
    std::atomic<bool> stop{false};
    std::vector<std::thread> clients;
    const auto end = [&](int code, const std::string &text) {
        stop = true;
        for (std::thread &client : clients) {
            client.join();
        }
        limit.stop();
        for (const auto &node : nodes) {
            node->kill(SIGKILL);
        }
        finish(world, code, text);
    };
    std::vector<Node *> all;
    for (const auto &node : nodes) {
        all.push_back(node.get());
    }
    if (!world.waitReady(all)) {
        end(2, "the nodes did not become ready");
    }
    sleepMs(4000);
    std::atomic<int> answered{0};
    std::atomic<int> refused{0};
    std::atomic<int> lost{0};
    for (const auto &node : nodes) {
        for (int i = 0; i < 2; ++i) {
            clients.emplace_back([&, node = node.get()] {
                while (!stop) {
                    const std::string id = world.newId();
                    const Answer answer = call(node->outbound, "POST", "/slots/1",
                                               {{"Host", "desk.example"},
                                                {"X-Fulmarledge-Request-Id", id},
                                                {"X-Fulmarledge-Deadline-Ms", "4000"}},
                                               "slot", 4500);
                    (answer.status == 200 ? answered : answer.status == 503 ? refused : lost) += 1;
                    world.record.line("client at " + node->settings.name + " sent " + id + ", answer "
                                      + std::to_string(answer.status));
                    sleepMs(100);
                }
            });
        }
    }
    int version = 7;
    const std::int64_t until = nowMs() + kChangesMs;
    while (nowMs() < until) {
        version += 3;
        const json next = makeConfiguration(version, world.trouble ? kRoutes : kFewRoutes);
        const std::size_t bytes = next.dump().size();
        if (bytes > kValueBytes) {
            end(2, "the configuration is larger than an object may be");
        }
        store.put("config", "main", next);
        world.record.line("the operator wrote version " + std::to_string(version) + " of " + std::to_string(bytes)
                          + " bytes");
        sleepMs(kChangeGapMs);
    }
    const int machines = limit.machinesThatEnded(3);
    world.record.line("ends and peaks:" + limit.summary());
    end(machines >= 2 ? 1 : 0,
        "Fault: " + std::to_string(machines) + " of " + std::to_string(nodes.size())
            + " machines whose process was killed three times or more for its memory (ends and peaks:"
            + limit.summary() + "); bookings answered " + std::to_string(answered) + ", refused "
            + std::to_string(refused) + ", neither " + std::to_string(lost));
}
