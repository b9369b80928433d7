#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "fulmarledge/config.h"
#include "fulmarledge/manifest.h"
#include "fulmarledge/memberview.h"
#include "fulmarledge/ports.h"
#include "fulmarledge/types.h"

namespace fulmarledge {

/// How a new manifest version reaches the nodes.
enum class DeliveryMode : std::uint8_t {
    Direct, ///< every node watches the platform
    Gossip, ///< watchers read the platform, then every node pushes to random members
    Tree, ///< watchers read the platform, then pushes follow a tree that divides the hash range of a zone
};

/// Where a node that has just started learns its version floor, the lowest version that it may activate.
enum class VersionFloorSource : std::uint8_t {
    Platform, ///< only from the platform's `head` object
    Peers, ///< from `head`, or the highest version of 3 members while the platform is unreachable
};

/// Settings of the manifest distribution. Times are in milliseconds.
struct SpreadSettings {
    DeliveryMode deliveryMode = DeliveryMode::Tree;
    VersionFloorSource floorSource = VersionFloorSource::Platform;
    TimeMs digestIntervalMs = 500; ///< period at which a node sends a digest to a random member
    int otherZoneEvery = 8; ///< each n-th digest goes to another zone
    int watchersPerZone = FULMARLEDGE_CONFIG_WATCHERS_PER_ZONE;
    int fanOut = 8; ///< largest number of parts into which a node of the tree divides its hash interval
    int gossipFanOut = 3; ///< random members that a node pushes to
    TimeMs rankDelayMs = 300; ///< time by which each watcher starts ahead of the one with the next rank
    TimeMs pushSettleMs = 200; ///< time for a push to arrive before digests and pulls deliver the version instead
    TimeMs replicateMs = 200; ///< period of repeated pushes while no other member is known to hold the version
    /// Longest time that a version read from the platform waits for a second holder before it becomes active. 0 means
    /// no limit.
    TimeMs replicateLimitMs = 0;
    TimeMs readTimeoutMs = 1000; ///< a reply of the platform that arrives later is still used
    TimeMs watchTimeoutMs = 20000; ///< timeout that the platform is asked to apply to a watch
    TimeMs watchGraceMs = 2000; ///< a watch that is unanswered this long after its timeout is replaced
    /// Period of the plain reads of `head`, which the watchers of the fleet share. Bounds the delay of a change while
    /// no watch answers: 300 ms and a quarter of the period are added when watchers cannot read.
    TimeMs headCheckMs = 3000;
    TimeMs backoffMinMs = 100;
    TimeMs backoffMaxMs = 2000;
    TimeMs jitterMs = 100;
    /// Rate at which a fleet that restarts as a whole reads `head`. Nodes that know no other member may fetch manifests
    /// at the same rate. Both rates together stay below two thirds of the 1,000 reads/s allowed, which leaves the rest
    /// to the membership.
    int fleetReadsPerSecond = 300;
    /// Smallest fleet size assumed when reads of the platform are spaced, for nodes that know few or no members.
    std::size_t expectedFleetSize = 1000;
    TimeMs pullTimeoutMs = 600; ///< doubles with each unanswered pull, up to four times this value
    TimeMs repairAfterMs = 600; ///< a node that has known of a newer version for this long reads the platform itself
    TimeMs quietMs = 2000; ///< a node that has received no message for this long reads the platform itself
    int maxFullAnswers = 4; ///< largest number of full manifests sent in `fullAnswerWindowMs`
    TimeMs fullAnswerWindowMs = 500;
    /// Approximate memory of the manifests that are kept as bases of deltas, beside the newest two. 0 means no limit.
    std::size_t keptManifestBytes = 0;
};

/// Sets the periods of `settings` that follow from the time in which an accepted version must be in force.
/// @return false if the bound is too short to be kept
bool setApplyBound(SpreadSettings &settings, TimeMs boundMs);

/// Receives the manifests that become active.
class SpreadListener
{
public:
    virtual ~SpreadListener() = default;
    /// Called when `version` has become active. Each call has a higher version than the one before.
    virtual void onManifestActivated(Version version, const std::string &digest,
                                     std::shared_ptr<const Manifest> manifest)
        = 0;
};

/// A version whose content failed its checks.
struct Rejection {
    Version version = 0;
    std::string reason;
};

/// When a version became active on the local node.
struct Activation {
    Version version = 0;
    TimeMs atMs = 0;
};

/// Distributes manifests: reads them from the platform or receives them from other members, checks and relays them, and
/// activates the newest. Runs on the control thread and does no I/O of its own.
class Spread
{
public:
    Spread(const SpreadSettings &settings, MemberView &members, PeerTransport &peers, PlatformStore &platform,
           RandomSource &random, MetricsSink &metrics, EventLog &log, SpreadListener &listener);
    ~Spread();
    Spread(const Spread &) = delete;
    Spread &operator=(const Spread &) = delete;

    void start(TimeMs now);
    /// Runs the periodic work. To be called every 50 ms.
    void onTick(TimeMs now);
    /// Handles any envelope, because the header of every message advertises the sender's version.
    void onMessage(TimeMs now, const wire::Envelope &message);
    /// To be called after the process was paused. The node is not ready until it has read the version floor again.
    void onClockJump(TimeMs now);
    /// To be called when the platform's address has changed. The node reads `head` there and ignores the
    /// answers to earlier calls.
    void onPlatformMoved(TimeMs now);

    /// Active version, or 0.
    Version version() const;
    const std::string &digest() const;
    /// When the active version was accepted, by the submitter's clock in milliseconds since 1970, or 0 when not known.
    std::int64_t acceptedMs() const;
    std::shared_ptr<const Manifest> manifest() const;
    /// Newest version held, or 0. It may not be active yet, because it waits for a second holder or the version floor.
    Version heldVersion() const;
    /// True when the version floor is known and the active version is not below it.
    bool isReady() const;
    const std::optional<Rejection> &lastRejection() const;
    /// The last 32 activations, newest last.
    const std::deque<Activation> &activations() const;
    /// Whether the platform answered the last finished call. An answer that throttles does not change the result.
    bool isPlatformReachable() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace fulmarledge
