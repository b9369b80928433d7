#include "node_settings.h"

namespace fulmarledge {

namespace {

/// A return of the whole fleet may cost the platform 1,000 reads/s. The spread was measured at 649/s at most and the
/// reads of contacts at 1.2 times their planned rate, so 250/s keeps the sum below the bound.
constexpr int kContactReadsPerSecond = 250;

} // namespace

SettingsSchema nodeSchema(NodeSettings &settings)
{
    constexpr std::size_t kMiB = 1024 * 1024;
    SettingsSchema schema("fulmarledge-node");
    schema.addName("node.host", "name of this host, as in the manifest", std::nullopt, settings.host);
    schema.addName("node.zone", "data centre of this host", std::nullopt, settings.zone);
    schema.addIp("node.address", "IPv4 address of all ports of this node", std::nullopt, settings.address);
    schema.addPort("node.caller_port", "port for callers", "8080", settings.callerPort);
    schema.addPort("node.admin_port", "port for the backend server's announcements, status and metrics", "8081",
                   settings.adminPort);
    schema.addPort("node.control_port", "UDP and TCP port for control messages of other nodes", "8082",
                   settings.controlPort);
    schema.addPort("node.hop_port", "TCP port for requests of other nodes", "8083", settings.hopPort);
    schema.addAddress("platform.address", "IP:PORT of the platform's object API", std::nullopt, settings.platform);

    schema.addInteger("fleet.expected_hosts",
                      "hosts that may start at once; start-up reads of the platform are spread out for this number",
                      "9700", 1, 65536, settings.expectedHosts);

    SpreadSettings &spread = settings.control.spread;
    schema.addChoice("spread.way", "how manifests reach this node: direct, gossip or tree", "tree",
                     {"direct", "gossip", "tree"},
                     [&spread](std::size_t choice) { spread.way = static_cast<SpreadWay>(choice); });
    schema.addChoice("spread.version_floor", "what a restarted node needs before it serves callers: platform or peers",
                     "platform", {"platform", "peers"},
                     [&spread](std::size_t choice) { spread.floor = static_cast<VersionFloor>(choice); });
    schema.addDuration("spread.digest_interval",
                       "period of version adverts; shorter repairs sooner and costs more bytes", "500ms", 50, 60000,
                       spread.digestMs);
    schema.addInteger("spread.watchers", "nodes of each data centre that watch the platform", "3", 1, 16,
                      spread.watchersPerZone);
    schema.addInteger("spread.fan_out", "members that a node relays a new version to", "8", 2, 64, spread.fanOut);

    MembershipSettings &membership = settings.control.membership;
    schema.addDuration("membership.probe_interval", "period of probes to other members", "1s", 100, 60000,
                       membership.probePeriodMs);
    schema.addDuration("membership.suspicion", "shortest time from suspicion to removal of a silent member", "3s", 500,
                       60000, membership.suspicionMinMs);

    RequestPathSettings &requests = settings.requests;
    schema.addInteger("requests.http_threads", "threads that parse callers' requests", "2", 1, 64,
                      requests.httpThreads);
    schema.addInteger("requests.data_threads", "threads that carry requests to other nodes and to the backend server",
                      "2", 1, 64, requests.dataThreads);
    schema.addBytes("requests.max_body", "largest body of a request; a larger one is refused with 413", "8MiB", 1024,
                    64 * kMiB, requests.maxBodyBytes);
    schema.addBytes("requests.max_answer", "largest body of an answer", "64MiB", 1024, 64 * kMiB,
                    requests.maxAnswerBytes);
    schema.addDuration("backend.announce_timeout", "silence after which the backend server counts as gone", "3s", 500,
                       60000, settings.announceTimeoutMs);
    schema.addDuration("node.leave_delay", "time from the announcement of a planned stop to the exit of an idle node",
                       "1s", 0, 60000, settings.leaveDelayMs);
    schema.addChoice("log.level", "error, warn, info or debug", "info", {"error", "warn", "info", "debug"},
                     [&settings](std::size_t choice) {
                         static constexpr const char *kLevels[] = {"error", "warn", "info", "debug"};
                         settings.logLevel = kLevels[choice];
                     });
    return schema;
}

void completeSettings(NodeSettings &settings)
{
    settings.control.spread.expectedFleet = static_cast<std::size_t>(settings.expectedHosts);
    settings.control.membership.plannedMembers = settings.expectedHosts;
    settings.control.membership.contactReadsPerSecond = kContactReadsPerSecond;
    settings.requests.host = settings.host;
    settings.requests.zone = settings.zone;
    settings.requests.caller = {settings.address, settings.callerPort};
    settings.requests.hop = {settings.address, settings.hopPort};
}

} // namespace fulmarledge
