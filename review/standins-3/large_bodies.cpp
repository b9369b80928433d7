// Clients of all machines send large requests, inside the limits of the configuration, to a service with one endpoint.
// The platform kills a process that exceeds its memory, and starts it again.
#include "world.h"

namespace {

constexpr int kEntryNodes = 11;
constexpr int kMemoryMb = 110;
constexpr int kRequestsPerNode = 4;
constexpr std::size_t kBodyBytes = 4 * 1000 * 1000;
constexpr std::size_t kSmallBytes = 1200;
constexpr int kBursts = 3;

} // namespace

int main(int argc, char **argv)
{
    World world(argc, argv);
    Store store({world.ip(250), 8627});
    store.put("config", "main",
              configuration(7,
                            {{"desk.example", "/slots/", "unsafe", "collection-desk"},
                             {"desk.example", "/logs/", "unsafe", "audit-archive"},
                             {"desk.example", "/stock/", "safe", "intake-desk"}},
                            {"intake-desk", "collection-desk", "audit-archive"}, 4000));
    const std::vector<std::string> zones{"guishan", "luzhu", "bade", "zhongli"};
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    for (int i = 0; i < kEntryNodes + 2; ++i) {
        const std::string service
            = i < kEntryNodes ? "intake-desk" : i == kEntryNodes ? "collection-desk" : "audit-archive";
        const std::string zone = zones[static_cast<std::size_t>(i) % zones.size()];
        Node::Settings settings = world.nodeSettings("side-" + std::to_string(i), zone, i + 1, service);
        settings.memoryMb = kMemoryMb;
        nodes.push_back(std::make_unique<Node>(settings));
        nodes.back()->start();
        endpoints.push_back(std::make_unique<Endpoint>(world.record, "i-" + std::to_string(i), service, zone,
                                                       Address{world.ip(i + 1), 8628}, nodes.back()->control));
        endpoints.back()->workMs = 210;
        endpoints.back()->startHeartbeats();
    }
    MemoryLimit limit(world, nodes);
    const auto end = [&](int code, const std::string &text) {
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
    const std::string body(world.trouble ? kBodyBytes : kSmallBytes, 'b');
    std::atomic<int> lost{0};
    std::atomic<int> answered{0};
    std::atomic<int> refused{0};
    for (int burst = 0; burst < kBursts; ++burst) {
        for (const std::string path : {"/slots/", "/logs/"}) {
            std::vector<std::thread> clients;
            for (int i = 0; i < kEntryNodes; ++i) {
                for (int j = 0; j < kRequestsPerNode; ++j) {
                    clients.emplace_back([&, i, path] {
                        const std::string id = world.newId();
                        const Answer answer = call(nodes[static_cast<std::size_t>(i)]->outbound, "POST", path + "1",
                                                   {{"Host", "desk.example"},
                                                    {"X-Fulmarledge-Request-Id", id},
                                                    {"X-Fulmarledge-Deadline-Ms", "4000"}},
                                                   body, 4500);
                        (answer.status == 200 ? answered : answer.status == 503 ? refused : lost) += 1;
                        world.record.line("client at side-" + std::to_string(i) + " sent " + id + " POST " + path
                                          + "1 with " + std::to_string(body.size()) + " bytes, answer "
                                          + std::to_string(answer.status));
                    });
                }
            }
            for (std::thread &client : clients) {
                client.join();
            }
            sleepMs(4000);
        }
    }
    const int machines = limit.machinesThatEnded(3);
    world.record.line("ends and peaks:" + limit.summary());
    end(machines >= 2 ? 1 : 0,
        "Fault: " + std::to_string(machines) + " of " + std::to_string(nodes.size())
            + " machines whose process was killed three times for its memory (ends and peaks:" + limit.summary()
            + "); requests answered " + std::to_string(answered) + ", refused " + std::to_string(refused)
            + ", neither " + std::to_string(lost));
}
