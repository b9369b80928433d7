// Case: a heartbeat with bytes that cannot be read ends the node.
#include "fleet.h"

using namespace review;

int main(int, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record(std::string(argv[1]) + "/record.txt");
    Fleet fleet({{"jobsheets", "ikeja"}, {"jobsheets", "apapa"}, {"bookings", "lekki"}, {"bookings", "yaba"}},
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
        options.workMs = 290;
        fleet.startEndpoint(machine, options);
    }
    if (!fleet.waitReady(15000)) {
        record.line("the nodes did not become ready");
        std::_Exit(2);
    }
    sleepMs(2000);
    const std::int64_t until = steadyMs() + 24000;
    std::atomic<int> served{0};
    std::atomic<int> cut{0};
    std::vector<std::thread> clients;
    for (int i = 0; i < 12; ++i) {
        clients.emplace_back([&, i] {
            const Fleet::Machine &machine = fleet.machines[static_cast<std::size_t>(i) % fleet.machines.size()];
            while (steadyMs() < until) {
                Connection connection(machine.outbound);
                const Message request = clientRequest("POST", "b.example", "/book/visit", 5000);
                const std::string id = request.field("X-Fulmarledge-Request-Id");
                const auto response = connection.call(request, 6000);
                if (response && response->status == 200) {
                    ++served;
                } else {
                    const std::size_t runs = fleet.runs.countOf(id);
                    cut += runs > 0 ? 1 : 0;
                    record.line("POST by " + machine.name + " id=" + id + ": "
                                + (response ? std::to_string(response->status) : std::string("connection closed"))
                                + ", ran " + std::to_string(runs) + " times");
                    sleepMs(300);
                }
            }
        });
    }
    // Six heartbeats of another writer, three at the node of each of two machines. They are readable but for the bytes
    // in the id of the path.
    std::map<std::string, int> ends;
    for (int round = 0; round < 6; ++round) {
        sleepMs(2500);
        Fleet::Machine &machine = fleet.machines[round % 2 == 0 ? 0 : 2];
        const Endpoint &endpoint = *machine.endpoints.front();
        json body = hasTrouble() ? endpoint.heartbeat("draining", 4) : endpoint.heartbeat("ready", 1);
        body["born"] = hasTrouble() ? json(wallMs()) : body["born"];
        Message beat;
        beat.method = "PUT";
        beat.target = "/api/instances/" + (hasTrouble() ? std::string("i-\xff\xfe\x91") : endpoint.options().id);
        beat.fields["Host"] = "control";
        beat.fields["Content-Type"] = "application/json";
        beat.body = body.dump();
        Connection connection(machine.control);
        const auto response = connection.call(beat, 1500);
        record.line("heartbeat of another writer to " + machine.name + " at /api/instances/"
                    + (hasTrouble() ? std::string("i-(3 bytes that are no text)") : endpoint.options().id) + ": "
                    + (response ? std::to_string(response->status) : std::string("connection closed")));
        sleepMs(500);
        if (const auto end = machine.node->ended()) {
            ++ends[machine.name];
            record.line(machine.name + ": the process ended by itself, " + *end);
            sleepMs(500);
            machine.node->start();
        }
    }
    for (std::thread &client : clients) {
        client.join();
    }
    int machinesWithThree = 0;
    for (const auto &[name, count] : ends) {
        machinesWithThree += count >= 3 ? 1 : 0;
    }
    record.line("served " + std::to_string(served) + ", ran without an answer " + std::to_string(cut));
    const bool isBroken = machinesWithThree >= 2;
    record.line(std::string("rule Fault: ") + (isBroken ? "BROKEN: " : "held: ") + std::to_string(machinesWithThree)
                + " of 4 machines whose process ended by itself three times");
    for (Fleet::Machine &machine : fleet.machines) {
        machine.node->kill(SIGKILL);
    }
    fleet.removeFolder();
    std::_Exit(isBroken ? 1 : 0);
}
