// Data path without spread and membership: the routing table is read from a file and replaced by PUT /v1/table.
#include <csignal>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <semaphore>
#include <sstream>

#include "httpserver.h"
#include "requestpath.h"

using namespace fulmarledge;
using Json = nlohmann::json;

namespace {

std::shared_ptr<const Snapshot> readTable(const std::string &text)
{
    const Json json = Json::parse(text);
    LastReason error;
    const auto manifest = Manifest::parse(json.at("manifest").dump(), error);
    if (!manifest) {
        throw std::runtime_error(error.text());
    }
    std::vector<wire::HostRecord> hosts;
    for (const Json &entry : json.at("hosts")) {
        wire::HostRecord host;
        host.host = entry.at("host");
        host.zone = entry.at("zone");
        host.serviceName = entry.at("service");
        host.address = "127.0.0.1";
        host.hopPort = entry.at("hop_port");
        host.slots = entry.at("slots");
        host.state = wire::HostState::Serving;
        host.liveness = wire::Liveness::Alive;
        hosts.push_back(host);
    }
    return Snapshot::build(json.at("version"), *manifest, hosts);
}

wire::HostState::type stateOf(const std::string &name)
{
    if (name == "serving") {
        return wire::HostState::Serving;
    }
    return name == "draining" ? wire::HostState::Draining : wire::HostState::Starting;
}

void onAdmin(RequestPath &path, const HttpCall &call)
{
    try {
        if (call.path == "/v1/announce") {
            const Json json = Json::parse(call.body);
            path.setLocalBackend({"127.0.0.1", json.at("port")}, json.at("service"), json.at("slots"),
                                 stateOf(json.at("state")), json.at("load"));
        } else if (call.path == "/v1/table") {
            path.publish(readTable(call.body));
        }
        call.responder->send(204, {}, {});
    } catch (const std::exception &error) {
        call.responder->send(400, {}, std::string(error.what()) + "\n");
    }
}

} // namespace

/// Arguments: host, zone, caller port, hop port, admin port, table file.
int main(int argc, char **argv)
{
    if (argc != 7) {
        std::cerr << "usage: datapath-node HOST ZONE CALLER_PORT HOP_PORT ADMIN_PORT TABLE\n";
        return 2;
    }
    const auto port = [argv](int i) { return static_cast<std::uint16_t>(std::stoi(argv[i])); };
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::ostringstream table;
    table << std::ifstream(argv[6]).rdbuf();
    Metrics metrics(argv[1], argv[2]);
    RequestPathSettings settings;
    settings.host = argv[1];
    settings.zone = argv[2];
    settings.caller = {"127.0.0.1", port(3)};
    settings.hop = {"127.0.0.1", port(4)};
    RequestPath path(settings, metrics);
    path.start();
    path.publish(readTable(table.str()));
    path.setReady(true, Reason::None);
    HttpServer admin({{"127.0.0.1", port(5)}, 1, 1 << 20}, [&path](const HttpCall &call) { onAdmin(path, call); });
    int signal = 0;
    sigwait(&signals, &signal);
    path.setReady(false, Reason::Draining);
    std::binary_semaphore idle{0};
    path.drain([&idle] { idle.release(); });
    idle.acquire();
    return 0;
}
