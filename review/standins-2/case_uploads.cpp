// Case: uploads within the operator's limits take a node beyond its memory, and the platform kills it.
//
// 13 nodes of the small site (taoyuan: 110 MB each). Clients upload one body after the other, each through another
// node; at no time are two requests under way. The platform's stand-in kills a process whose resident memory exceeds
// limits.memoryMb and starts it again a second later, as the page on the machines says.
#include "fleet.h"

using namespace review;

namespace {

constexpr std::size_t kUploadBytes = 12000000; // the configuration's maxBodyBytes is 67,108,864
constexpr std::size_t kSmallBytes = 4000; // the mean of the site's bookings
constexpr long kMemoryKb = 110 * 1024;
constexpr std::int64_t kRunMs = 85000;

} // namespace

int main(int, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record(std::string(argv[1]) + "/record.txt");
    const std::size_t bodyBytes = hasTrouble() ? kUploadBytes : kSmallBytes;
    std::vector<MachineSpec> specs;
    for (int i = 0; i < 9; ++i) {
        specs.push_back({"intake-desk", "guishan"});
    }
    for (int i = 0; i < 4; ++i) {
        specs.push_back({"collection-desk", "guishan"});
    }
    Fleet fleet(specs, smallSiteFields("110"), record);
    fleet.store->putConfig(makeConfig(
        7,
        json::array({json::array({"r-1", "a.example", "/in/", "safe", 1500, 500, 2, 2, "intake-desk"}),
                     json::array({"r-2", "b.example", "/book/", "unsafe", 4000, 600, 1, 2, "collection-desk"})}),
        {"intake-desk", "collection-desk"}));
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
    std::mutex mutex;
    std::atomic<bool> isOver{false};
    // The platform: kills a process beyond its memory, and starts ended ones again.
    std::thread platform([&] {
        while (!isOver) {
            for (Fleet::Machine &machine : fleet.machines) {
                const std::lock_guard lock(mutex);
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

    int sent = 0;
    int served = 0;
    int lost = 0;
    const std::int64_t until = steadyMs() + kRunMs;
    for (std::size_t next = 0; steadyMs() < until; ++next) {
        const Fleet::Machine &machine = fleet.machines[next % 9];
        if (!fleet.isReady(machine)) {
            sleepMs(100);
            continue;
        }
        Connection connection(machine.outbound);
        Message request = clientRequest("POST", "b.example", "/book/slot", 4000);
        request.body.assign(bodyBytes, 'x');
        const std::string id = request.field("X-Fulmarledge-Request-Id");
        const auto response = connection.call(request, 5000);
        ++sent;
        const std::size_t runs = fleet.runs.countOf(id);
        const bool isServed = response && response->status == 200;
        served += isServed ? 1 : 0;
        lost += !isServed && runs > 0 ? 1 : 0;
        record.line("POST of " + std::to_string(bodyBytes) + " bytes by " + machine.name + " id=" + id + ": "
                    + (response ? std::to_string(response->status) : std::string("connection closed")) + ", ran "
                    + std::to_string(runs) + " times");
        sleepMs(20);
    }
    isOver = true;
    platform.join();
    int machinesWithThree = 0;
    int all = 0;
    for (const auto &[name, resident] : highest) {
        record.line(name + ": highest memory " + std::to_string(resident) + " KiB, ends " + std::to_string(ends[name]));
        machinesWithThree += ends[name] >= 3 ? 1 : 0;
        all += ends[name];
    }
    record.line("sent " + std::to_string(sent) + ", served " + std::to_string(served) + ", ran without an answer "
                + std::to_string(lost) + ", ends by memory " + std::to_string(all));
    const bool isBroken = machinesWithThree >= 2;
    record.line(std::string("rule Fault: ") + (isBroken ? "BROKEN: " : "held: ") + std::to_string(machinesWithThree)
                + " of 13 machines whose process ended three times or more");
    for (Fleet::Machine &machine : fleet.machines) {
        machine.node->kill(SIGKILL);
    }
    fleet.removeFolder();
    std::_Exit(isBroken ? 1 : 0);
}
