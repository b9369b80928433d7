#include "node_settings.h"

#include <algorithm>
#include <sys/resource.h>

#include "fulmarledge/linkpacer.h"

namespace fulmarledge {

namespace {

/// Parts of the platform's read rate that the first reads of a fleet that returns at once may take, in percent. The
/// spread of manifests takes up to 2.2 times its part, for the fetches that follow the reads, and contacts are read at
/// up to 1.2 times theirs. Half of the rate is left.
constexpr int kSpreadReadsPercent = 15;
constexpr int kContactReadsPercent = 12;
/// The same for reads of the orders of rollouts.
constexpr int kRolloutReadsPercent = 5;
constexpr int kPercent = 100;
/// Announcements may be lost or late, so that several periods without one do not mean that the backend server is gone.
constexpr TimeMs kMissedAnnouncements = 4;
/// Parts of the memory that bodies of callers' requests may take, and one answer. Each is held up to twice, and the
/// rest is for the other side of the requests, buffers and the control plane.
constexpr std::size_t kBodiesMemoryDivisor = 6;
constexpr std::size_t kAnswerMemoryDivisor = 8;
/// Part of the memory for all answers that are not finished. A string that grows takes up to twice its size.
constexpr std::size_t kAnswersMemoryDivisor = 5;
/// Part of the memory for manifests that are kept as bases of deltas.
constexpr std::size_t kManifestsMemoryDivisor = 8;
/// Room for the fields of a request in a message to another node, besides its body.
constexpr std::size_t kFrameHeaderBytes = std::size_t{128} * 1024;
/// Time before the end of the grace time at which a busy node answers the callers' requests in progress.
constexpr TimeMs kMaxAnswerMarginMs = 400;
/// Descriptors that are kept for files, of the limit that the settings state.
constexpr std::size_t kFileDescriptors = 200;
/// Descriptors for event loops, listeners, signals and logs.
constexpr std::size_t kOwnDescriptors = 64;
constexpr std::size_t kMinSocketDescriptors = 64;
/// Parts of the descriptors for sockets, in percent. Callers exceed theirs by an eighth while they are refused.
constexpr std::size_t kCallerDescriptorsPercent = 44;
constexpr std::size_t kHopDescriptorsPercent = 22;
constexpr std::size_t kOtherPortDescriptorsPercent = 2;

/// Hosts for each owner of organisations' limits. With fewer, the messages of a host go to more owners and carry less
/// each; with more, an owner answers more hosts.
constexpr int kHostsPerQuotaGroup = 32;

/// Descriptors that the kernel lets this process open.
std::size_t kernelDescriptors()
{
    rlimit limit{};
    return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : 0;
}

/// @param stated limit of the settings, 0 when they leave it to the kernel
std::size_t countSocketDescriptors(std::size_t stated)
{
    const std::size_t descriptors = stated > 0 ? stated : kernelDescriptors();
    const std::size_t reserved = kOwnDescriptors + (stated > 0 ? kFileDescriptors : 0);
    return std::max(descriptors - std::min(descriptors, reserved), kMinSocketDescriptors);
}

/// The derived limits of the memory for callers, one a line. Empty without them.
std::string describeCallerMemory(const CallerMemoryPlan &plan)
{
    const auto line = [](std::string_view name, std::size_t bytes) {
        return std::string(name) + " = " + std::to_string(bytes) + "B (node.memory)\n";
    };
    if (!plan.isActive()) {
        return {};
    }
    return line("memory held for callers", plan.limitBytes)
        + line("SO_RCVBUF of callers' sockets", plan.receiveBufferBytes)
        + line("SO_SNDBUF of callers' sockets", plan.sendBufferBytes)
        + line("held by a connection that is never closed for it", plan.smallBytes)
        + line("body of a request that is alone", plan.largestBodyBytes);
}

} // namespace

DescriptorShares shareDescriptors(std::size_t socketDescriptors)
{
    const std::size_t percent = static_cast<std::size_t>(kPercent);
    return {socketDescriptors * kCallerDescriptorsPercent / percent,
            socketDescriptors * kHopDescriptorsPercent / percent,
            std::max<std::size_t>(socketDescriptors * kOtherPortDescriptorsPercent / percent, 8)};
}

StopTimes planStop(TimeMs graceMs, TimeMs handoverMs)
{
    if (graceMs <= 0) {
        return {handoverMs, 0, 0};
    }
    // A request that is taken last has at least as long to finish as callers had to turn away, and a request that its
    // backend server still runs is given up only in the last tenth.
    const TimeMs answerMs = graceMs - std::min(kMaxAnswerMarginMs, graceMs / 10);
    return {std::min(handoverMs, graceMs / 2), answerMs, graceMs - (graceMs - answerMs) / 2};
}

SettingsSchema nodeSettingsSchema(NodeSettings &settings)
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
    schema.addChoice("platform.kind", "own: the project's object API; users: the users' platform", "own",
                     {"own", "users"}, [&settings](std::size_t choice) { settings.useUsersPlatform = choice == 1; });
    schema.addOptionalAddress("node.caller_address", "IP:PORT for callers, in place of address and caller_port",
                              settings.callerAddress);
    schema.addOptionalAddress("node.announce_address", "IP:PORT for the backend server's announcements",
                              settings.announceAddress);
    schema.addOptionalAddress("node.ready_address", "IP:PORT for readiness checks", settings.readyAddress);
    schema.addText("backend.service", "service of the backend server beside this node", "", settings.backendService);
    schema.addAddress("platform.address", "IP:PORT of the platform's object API", std::nullopt, settings.platform);

    schema.addInteger("platform.reads_per_s", "reads per second that the platform allows the whole fleet", "2000", 10,
                      10000000, settings.platformReadsPerS);
    schema.addInteger("fleet.expected_hosts",
                      "hosts that may start at once; start-up reads of the platform are spread out for this number",
                      "9700", 1, 65536, settings.expectedHosts);

    SpreadSettings &spread = settings.control.spread;
    schema.addChoice("spread.way", "how manifests reach this node: direct, gossip or tree", "tree",
                     {"direct", "gossip", "tree"},
                     [&spread](std::size_t choice) { spread.deliveryMode = static_cast<DeliveryMode>(choice); });
    schema.addChoice(
        "spread.version_floor",
        "source of the version floor that a restarted node needs before it serves callers: platform or peers",
        "platform", {"platform", "peers"},
        [&spread](std::size_t choice) { spread.floorSource = static_cast<VersionFloorSource>(choice); });
    schema.addDuration("spread.digest_interval",
                       "period of digests sent to other members; a shorter one repairs sooner and costs more bytes",
                       "500ms", 50, 60000, spread.digestIntervalMs);
    schema.addInteger("spread.watchers", "nodes of each data centre that watch the platform", "3", 1, 16,
                      spread.watchersPerZone);
    schema.addInteger("spread.fan_out", "members that a node relays a new version to", "8", 2, 64, spread.fanOut);

    MembershipSettings &membership = settings.control.membership;
    schema.addDuration("membership.probe_interval", "period of probes to other members", "1s", 100, 60000,
                       membership.probePeriodMs);
    schema.addDuration("membership.suspicion", "shortest time from suspicion to removal of a silent member", "3s", 500,
                       60000, membership.suspicionMinMs);

    schema.addDuration("membership.tombstone_probe", "period of probes to members that are gone", "2s", 100, 60000,
                       membership.tombstoneProbePeriodMs);
    schema.addDuration("membership.probe_left", "how long hosts that left are probed, to find them when they return",
                       "0s", 0, 600000, membership.probeAfterLeaveMs);
    schema.addInteger("spread.other_zone_every", "each n-th digest goes to another data centre", "8", 1, 1000,
                      spread.otherZoneEvery);
    schema.addDuration("spread.backoff_max", "longest pause between calls to a platform that does not answer", "2s",
                       100, 60000, spread.backoffMaxMs);
    schema.addDuration("spread.repair_after",
                       "how long a node that knows of a later version waits for its peers before it reads the platform",
                       "600ms", 50, 60000, spread.repairAfterMs);
    schema.addDuration("spread.quiet", "how long a node may hear from no member before it reads the platform", "2s",
                       100, 60000, spread.quietMs);
    schema.addDuration("spread.head_check", "period of plain reads beside a watch, in case the watch misses a change",
                       "3s", 500, 60000, spread.headCheckMs);

    RequestPathSettings &requests = settings.requests;
    schema.addDuration("hop.beat", "period of heartbeats on connections between nodes", "1s", 50, 60000,
                       requests.hopConfig.heartbeatIntervalMs);
    schema.addDuration("hop.silence", "silence after which a connection between nodes is replaced", "3s", 100, 60000,
                       requests.hopConfig.silenceTimeoutMs);
    schema.addDuration("hop.connect_timeout", "time to open a connection to another node", "1s", 50, 60000,
                       requests.hopConfig.connectTimeoutMs);
    schema.addNumber("hop.link_rate",
                     "rate of this host's link in Mbit/s, to which large answers are limited; 0: no limit", "0", 0,
                     1000000, settings.linkMegabits);
    schema.addInteger("requests.http_threads", "threads that parse callers' requests", "2", 1, 64,
                      requests.httpThreads);
    schema.addInteger("requests.data_threads", "threads that carry requests to other nodes and to the backend server",
                      "2", 1, 64, requests.dataThreads);
    schema.addInteger("requests.pipeline",
                      "requests that a caller sends ahead on one connection and that run at once, if they may run more "
                      "than once; 1: one after another",
                      "8", 1, 64, requests.pipeline);
    schema.addBytes("requests.max_body", "largest body of a request; a larger one is refused with 413", "8MiB", 1024,
                    64 * kMiB, requests.maxBodyBytes);
    schema.addBytes("requests.max_answer", "largest body of an answer", "64MiB", 1024, 64 * kMiB,
                    requests.maxAnswerBytes);
    schema.addDuration("backend.announce_timeout",
                       "time without announcements after which the backend server is taken out of service", "3s", 500,
                       60000, settings.announceTimeoutMs);
    schema.addDuration("backend.announce_period",
                       "period of announcements; 4 missed ones replace backend.announce_timeout; 0: not known", "0ms",
                       0, 60000, settings.announcePeriodMs);
    schema.addDuration("spread.apply_bound",
                       "time in which an accepted manifest must be in force; sets head_check, repair_after, quiet, "
                       "replicate_limit and backoff_max of [spread]; 0: they are set one by one",
                       "0ms", 0, 600000, settings.applyBoundMs);
    schema.addBytes("node.memory", "memory limit of the process, of which bodies take a part; 0B: no limit", "0B", 0,
                    64 * 1024 * kMiB, settings.memoryBytes);
    schema.addInteger("node.max_descriptors",
                      "descriptors that the process may open, 200 of them for files; 0: as many as the kernel allows",
                      "0", 0, 1000000, settings.maxDescriptors);
    schema.addDuration("node.leave_delay", "time from the announcement of a planned stop to the exit of an idle node",
                       "1s", 0, 60000, settings.leaveDelayMs);
    schema.addDuration("node.handover_time",
                       "time from SIGTERM during which callers are still served while readiness is denied", "0ms", 0,
                       60000, settings.handoverMs);
    schema.addDuration("node.grace_time",
                       "time after SIGTERM at which the process is killed; a busy node exits shortly before; 0: never",
                       "0ms", 0, 600000, settings.graceMs);
    schema.addDuration(
        "spread.replicate_limit",
        "longest wait until a second node holds a version read from the platform, before it is activated; 0: no limit",
        "0ms", 0, 60000, spread.replicateLimitMs);
    schema.addNumber("retry.shared_ratio",
                     "retries of the whole fleet as a share of requests; 0: each node has its own budget", "0", 0, 1,
                     settings.sharedRetryRatio);
    schema.addNumber("retry.shared_extra", "retries per 10 s of the whole fleet in addition to retry.shared_ratio", "0",
                     0, 1000000, settings.sharedRetryExtra);
    RolloutSettings &rollout = settings.control.rollout;
    schema.addNumber("rollout.exposure_share",
                     "share of a service's requests that a bad version may get between the order of a rollout and its "
                     "deadline; 0: versions are ignored",
                     "0", 0, 1, rollout.exposureShare);
    schema.addNumber("rollout.exposure_slack", "requests that a bad version may get on top of the share", "50", 0,
                     1000000, rollout.exposureSlack);
    schema.addDuration("rollout.bound", "longest time from the 50th bad answer of a version to its last request", "5s",
                       1000, 60000, rollout.boundMs);
    QuotaSettings &quota = settings.control.quota;
    schema.addDuration("quota.window", "window in which the limits of organisations hold; 0: no limit is enforced",
                       "0ms", 0, 60000, quota.windowMs);
    schema.addNumber("quota.overage", "part of what an organisation may send in a window that may run in addition",
                     "0.1", 0, 10, quota.overage);
    schema.addNumber("quota.slack", "requests of an organisation that may run in a window in addition", "20", 0,
                     1000000, quota.slack);
    schema.addChoice("requests.zone_first", "try the own data centre first: no, by reported load; yes, always", "no",
                     {"no", "yes"}, [&requests](std::size_t choice) { requests.balancer.zoneFirst = choice == 1; });
    schema.addInteger("requests.max_attempts", "hosts that one request may be sent to, including hosts that refuse it",
                      "3", 1, 16, settings.maxAttempts);
    schema.addInteger("requests.eject_after", "failures in a row after which a host is avoided", "5", 1, 1000,
                      settings.ejectAfter);
    schema.addDuration("backend.slow_start", "time during which a backend server that joins gets less than its share",
                       "10s", 0, 600000, requests.balancer.slowStartMs);
    schema.addChoice("log.level", "error, warn, info or debug", "info", {"error", "warn", "info", "debug"},
                     [&settings](std::size_t choice) {
                         static constexpr const char *kLevels[] = {"error", "warn", "info", "debug"};
                         settings.logLevel = kLevels[choice];
                     });
    return schema;
}

bool deriveSettings(NodeSettings &settings, LastReason &error)
{
    if (settings.applyBoundMs > 0 && !setApplyBound(settings.control.spread, settings.applyBoundMs)) {
        error.set("spread.apply_bound: " + std::to_string(settings.applyBoundMs)
                  + "ms is too short for a change to reach every node");
        return false;
    }
    if (settings.announcePeriodMs > 0) {
        settings.announceTimeoutMs = kMissedAnnouncements * settings.announcePeriodMs;
    }
    if (settings.memoryBytes > 0) {
        RequestPathSettings &requests = settings.requests;
        const std::size_t bodies = settings.memoryBytes / kBodiesMemoryDivisor;
        requests.maxOutstandingBytes = std::min(requests.maxOutstandingBytes, bodies);
        requests.hopConfig.maxOutstandingBytes = std::min(requests.hopConfig.maxOutstandingBytes, bodies);
        requests.maxAnswerBytes = std::min(requests.maxAnswerBytes, settings.memoryBytes / kAnswerMemoryDivisor);
        requests.maxAnswersBytes = std::min(requests.maxAnswersBytes, settings.memoryBytes / kAnswersMemoryDivisor);
        settings.control.spread.keptManifestBytes = settings.memoryBytes / kManifestsMemoryDivisor;
    }
    settings.socketDescriptors = countSocketDescriptors(static_cast<std::size_t>(settings.maxDescriptors));
    const DescriptorShares shares = shareDescriptors(settings.socketDescriptors);
    settings.requests.maxCallerConnections = shares.callers;
    settings.requests.callerMemory = planCallerMemory(settings.memoryBytes, shares.callers);
    if (settings.requests.callerMemory.isActive()) {
        std::size_t &hopBytes = settings.requests.hopConfig.maxOutstandingBytes;
        hopBytes = std::max(hopBytes, settings.requests.callerMemory.largestBodyBytes + kFrameHeaderBytes);
    }
    settings.requests.hopConfig.maxAccepted = shares.hops / static_cast<std::size_t>(settings.requests.dataThreads);
    settings.control.quota.groups
        = static_cast<std::uint32_t>(std::max(settings.expectedHosts / kHostsPerQuotaGroup, 1));
    settings.control.spread.expectedFleetSize = static_cast<std::size_t>(settings.expectedHosts);
    settings.control.membership.expectedMembers = settings.expectedHosts;
    settings.control.spread.fleetReadsPerSecond
        = std::max(settings.platformReadsPerS * kSpreadReadsPercent / kPercent, 1);
    settings.control.membership.contactReadsPerSecond
        = std::max(settings.platformReadsPerS * kContactReadsPercent / kPercent, 1);
    settings.requests.countsOutcomes = settings.control.rollout.isEnabled();
    // A whole fleet that starts reads the orders at most at this rate, as each node knows no other at first.
    settings.control.aloneReadPeriodMs = TimeMs{settings.expectedHosts} * 1000 * kPercent
        / (TimeMs{settings.platformReadsPerS} * kRolloutReadsPercent);
    settings.requests.retry.maxAttempts = static_cast<std::uint32_t>(settings.maxAttempts);
    settings.requests.balancer.consecutiveFailures = static_cast<std::uint32_t>(settings.ejectAfter);
    // Each data thread sends on its own and gets an equal part of the rate.
    settings.requests.hopConfig.answerBytesPerMs = answerRate(settings.linkMegabits) / settings.requests.dataThreads;
    settings.requests.host = settings.host;
    settings.requests.zone = settings.zone;
    settings.requests.callerAddress
        = settings.callerAddress.value_or(SocketAddress{settings.address, settings.callerPort});
    settings.requests.hopAddress = {settings.address, settings.hopPort};
    return true;
}

std::string describeDerivedSettings(const NodeSettings &settings)
{
    const auto line = [](std::string_view name, std::int64_t value, std::string_view unit, std::string_view bound) {
        return std::string(name) + " = " + std::to_string(value) + std::string(unit) + " (" + std::string(bound)
            + ")\n";
    };
    const SpreadSettings &spread = settings.control.spread;
    const std::string_view applyBound = settings.applyBoundMs > 0 ? "spread.apply_bound" : "set by itself";
    const std::string_view memory = settings.memoryBytes > 0 ? "node.memory" : "set by itself";
    return line("spread.head_check", spread.headCheckMs, "ms", applyBound)
        + line("spread.repair_after", spread.repairAfterMs, "ms", applyBound)
        + line("spread.quiet", spread.quietMs, "ms", applyBound)
        + line("spread.replicate_limit", spread.replicateLimitMs, "ms", applyBound)
        + line("spread.backoff_max", spread.backoffMaxMs, "ms", applyBound)
        + line("spread.digest_interval", spread.digestIntervalMs, "ms", applyBound)
        + line("backend.announce_timeout", settings.announceTimeoutMs, "ms",
               settings.announcePeriodMs > 0 ? "backend.announce_period" : "set by itself")
        + line("callers are refused after", planStop(settings.graceMs, settings.handoverMs).refuseMs, "ms",
               "node.grace_time")
        + line("connections of callers", static_cast<std::int64_t>(settings.requests.maxCallerConnections), "",
               settings.maxDescriptors > 0 ? "node.max_descriptors" : "the kernel's limit")
        + line("connections from other nodes, a data thread",
               static_cast<std::int64_t>(settings.requests.hopConfig.maxAccepted), "",
               settings.maxDescriptors > 0 ? "node.max_descriptors" : "the kernel's limit")
        + line("manifests kept as bases of deltas", static_cast<std::int64_t>(spread.keptManifestBytes), "B", memory)
        + line("requests.max_answer", static_cast<std::int64_t>(settings.requests.maxAnswerBytes), "B", memory)
        + line("bodies of unfinished answers", static_cast<std::int64_t>(settings.requests.maxAnswersBytes), "B",
               memory)
        + line("bodies of requests in progress", static_cast<std::int64_t>(settings.requests.maxOutstandingBytes), "B",
               memory)
        + describeCallerMemory(settings.requests.callerMemory);
}

} // namespace fulmarledge
