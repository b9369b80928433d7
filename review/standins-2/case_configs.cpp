// Case: changes in quick succession of a configuration that is within the store's size limit take the nodes that watch
// the store, two of each zone, beyond their memory, and the platform kills them.
//
// 13 nodes of the small site (taoyuan: 110 MB each). The configuration has about 0.63 MB, of the 1,048,576 bytes that
// an object may have. Each change alters the time-out of one route. The platform's stand-in kills a process whose
// resident memory exceeds limits.memoryMb and starts it again a second later, as the page on the machines says.
#include "fleet.h"

using namespace review;

namespace {

constexpr int kRoutes = 6500;
constexpr long kMemoryKb = 110 * 1024;
constexpr int kStorms = 6;
constexpr int kChangesPerStorm = 12; // gap_s = 0.33, for_s = 4.0
constexpr int kGapMs = 333;
constexpr int kPauseMs = 7000;

json configuration(std::int64_t version, int change)
{
    json rows = json::array();
    rows.push_back({"r-jobs", "a.example", "/in/", "safe", 1500, 500, 2, 2, "intake-desk"});
    rows.push_back({"r-book", "b.example", "/book/", "unsafe", 4000, 600, 1, 2, "collection-desk"});
    for (int i = 0; i < kRoutes; ++i) {
        const std::string number = std::to_string(10000 + i);
        const int timeoutMs = i == 17 ? 1500 + change : 1500;
        rows.push_back({"r-" + number + "dnn2ct", "jepu" + std::to_string(i % 60) + ".services.example",
                        "/lepu" + number + "/ny95/", "safe", timeoutMs, 500, 2, 2, "intake-desk"});
    }
    return makeConfig(version, rows, {"intake-desk", "collection-desk"});
}

} // namespace

int main(int, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record(std::string(argv[1]) + "/record.txt");
    std::vector<MachineSpec> specs;
    const std::vector<std::string> zones{"guishan", "luzhu", "bade", "zhongli"};
    for (int i = 0; i < 13; ++i) {
        specs.push_back({i < 9 ? "intake-desk" : "collection-desk", zones[static_cast<std::size_t>(i) % 4]});
    }
    Fleet fleet(specs, smallSiteFields("110"), record);
    std::int64_t version = 7;
    const json first = configuration(version, 0);
    record.line("the configuration has " + std::to_string(first.dump().size()) + " bytes; an object may have 1048576");
    fleet.store->putConfig(first);
    for (Fleet::Machine &machine : fleet.machines) {
        machine.node->start();
    }
    for (Fleet::Machine &machine : fleet.machines) {
        fleet.startEndpoint(machine, {});
    }
    if (!fleet.waitReady(15000)) {
        record.line("the nodes did not become ready");
        std::_Exit(2);
    }
    sleepMs(2000);

    std::map<std::string, int> ends;
    std::map<std::string, long> highest;
    std::map<std::string, std::int64_t> startAt;
    std::atomic<bool> isOver{false};
    std::atomic<bool> isPlatformOver{false};
    // The platform: kills a process beyond its memory, and starts ended ones again.
    std::thread platform([&] {
        while (!isPlatformOver) {
            for (Fleet::Machine &machine : fleet.machines) {
                const long resident = machine.node->isRunning() ? machine.node->residentKb() : 0;
                highest[machine.name] = std::max(highest[machine.name], resident);
                if (resident > kMemoryKb) {
                    record.line(machine.name + " holds " + std::to_string(resident) + " KiB, limit "
                                + std::to_string(kMemoryKb) + ": killed by the platform");
                    machine.node->kill(SIGKILL);
                    ++ends[machine.name];
                    startAt[machine.name] = steadyMs() + 1000;
                } else if (const auto end = machine.node->ended()) {
                    record.line(machine.name + " ended by itself: " + *end);
                    ++ends[machine.name];
                    startAt[machine.name] = steadyMs() + 1000;
                } else if (!machine.node->isRunning() && steadyMs() >= startAt[machine.name]) {
                    machine.node->start();
                }
            }
            sleepMs(5);
        }
    });
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::atomic<int> lost{0};
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < 13; ++i) {
        clients.emplace_back([&, i] {
            const Fleet::Machine &machine = fleet.machines[i];
            while (!isOver) {
                Connection connection(machine.outbound);
                const Message request = clientRequest("POST", "b.example", "/book/slot", 4000);
                const std::string id = request.field("X-Fulmarledge-Request-Id");
                const auto response = connection.call(request, 5000);
                ++sent;
                if (response && response->status == 200) {
                    ++served;
                } else if (const std::size_t runs = fleet.runs.countOf(id); runs > 0) {
                    ++lost;
                    record.line("booking by " + machine.name + " id=" + id + " ran " + std::to_string(runs)
                                + " times and got "
                                + (response ? std::to_string(response->status) : std::string("no answer")));
                }
                sleepMs(100);
            }
        });
    }
    for (int storm = 0; storm < kStorms; ++storm) {
        for (int change = 0; change < kChangesPerStorm; ++change) {
            if (hasTrouble()) {
                version += 2;
                const std::int64_t revision = fleet.store->putConfig(configuration(version, 1 + (change + storm) % 50));
                record.line("configuration " + std::to_string(version) + " is acknowledged, revision "
                            + std::to_string(revision));
            }
            sleepMs(kGapMs);
        }
        sleepMs(kPauseMs);
    }
    isOver = true;
    for (std::thread &client : clients) {
        client.join();
    }
    isPlatformOver = true;
    platform.join();
    int machinesWithThree = 0;
    int machinesWithOne = 0;
    for (const auto &[name, resident] : highest) {
        record.line(name + ": highest memory " + std::to_string(resident) + " KiB, ends " + std::to_string(ends[name]));
        machinesWithThree += ends[name] >= 3 ? 1 : 0;
        machinesWithOne += ends[name] >= 1 ? 1 : 0;
    }
    record.line("bookings sent " + std::to_string(sent) + ", served " + std::to_string(served)
                + ", ran without an answer " + std::to_string(lost));
    const bool isBroken = machinesWithThree >= 2;
    record.line(std::string("rule Fault: ") + (isBroken ? "BROKEN: " : "held: ") + std::to_string(machinesWithThree)
                + " of 13 machines whose process ended three times or more, " + std::to_string(machinesWithOne)
                + " at least once");
    for (Fleet::Machine &machine : fleet.machines) {
        machine.node->kill(SIGKILL);
    }
    fleet.removeFolder();
    std::_Exit(isBroken ? 1 : 0);
}
