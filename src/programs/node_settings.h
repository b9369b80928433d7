#pragma once

#include <optional>
#include <string>

#include "fulmarledge/controlnode.h"
#include "requestpath.h"
#include "settings.h"

namespace fulmarledge {

struct NodeSettings {
    std::string host;
    std::string zone;
    std::string address;
    std::uint16_t callerPort = 0;
    std::uint16_t adminPort = 0;
    std::uint16_t controlPort = 0;
    std::uint16_t hopPort = 0;
    SocketAddress platform;
    bool useUsersPlatform = false; ///< talks to the users' platform instead of the project's own object API
    std::optional<SocketAddress> callerAddress; ///< replaces `address` and `callerPort` for callers
    std::optional<SocketAddress> announceAddress; ///< for the backend server's announcements, besides the admin port
    std::optional<SocketAddress> readyAddress; ///< for readiness checks, besides the admin port
    std::string backendService; ///< service of the backend server on this host, empty when not known
    std::string logLevel;
    int expectedHosts = 0;
    int platformReadsPerS = 0; ///< that the platform allows the whole fleet
    TimeMs announceTimeoutMs = 0;
    TimeMs announcePeriodMs = 0; ///< replaces `announceTimeoutMs` when not 0
    TimeMs applyBoundMs = 0; ///< replaces the periods that `setApplyBound` sets when not 0
    std::size_t memoryBytes = 0; ///< limit of the process; 0: none
    int maxDescriptors = 0; ///< limit of the process, files included; 0: the limit that the kernel states
    std::size_t socketDescriptors = 0; ///< descriptors that sockets may take, derived from the limits
    TimeMs leaveDelayMs = 0;
    TimeMs handoverMs = 0;
    TimeMs graceMs = 0;
    int maxAttempts = 0;
    int ejectAfter = 0;
    double sharedRetryRatio = 0; ///< retries per request in the whole fleet; 0: each node has its own budget
    double sharedRetryExtra = 0; ///< retries per 10 s of the whole fleet, on top of the ratio
    double linkMegabits = 0; ///< rate of the link of this host in Mbit/s; 0: not known
    ControlSettings control;
    RequestPathSettings requests;
};

/// Parts of the descriptors for sockets. The rest is for connections that the node opens itself: to other nodes, the
/// backend server and the platform.
struct DescriptorShares {
    std::size_t callers = 0; ///< connections of callers
    std::size_t hops = 0; ///< connections accepted from other nodes
    std::size_t otherPort = 0; ///< connections to each of the ports for announcements, readiness and administration
};

DescriptorShares shareDescriptors(std::size_t socketDescriptors);

/// Times of a planned stop after SIGTERM, in milliseconds.
struct StopTimes {
    TimeMs refuseMs = 0; ///< callers are refused from then on
    TimeMs answerMs = 0; ///< requests in progress are answered by this node; 0: never
    TimeMs exitMs = 0; ///< the process exits, also if an answer could not be written; 0: never
};

/// @param graceMs time after which the process is killed; 0: never
/// @param handoverMs time for which callers are to be served
StopTimes planStop(TimeMs graceMs, TimeMs handoverMs);

/// Describes every setting of a node. The schema writes into `settings`, which must outlive it.
SettingsSchema nodeSettingsSchema(NodeSettings &settings);

/// Sets the fields of `settings` that are derived from others. Call it after the schema has read the settings.
/// @return false and `error` if a bound cannot be kept
bool deriveSettings(NodeSettings &settings, LastReason &error);

/// The derived settings with the bounds that they serve, one a line.
std::string describeDerivedSettings(const NodeSettings &settings);

} // namespace fulmarledge
