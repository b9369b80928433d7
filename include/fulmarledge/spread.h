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

/// How a new version reaches the nodes.
enum class SpreadWay : std::uint8_t {
    Direct, ///< every node watches the platform
    Gossip, ///< watchers, then pushes to random members
    Tree, ///< watchers, then a delegation tree by hash interval
};

/// Where a node without a version learns the lowest version that it may run.
enum class VersionFloor : std::uint8_t {
    Platform, ///< `head` only
    Peers, ///< `head`, or the highest version of 3 members while the platform is unreachable
};

/// Settings of the manifest spread. Times are in milliseconds.
struct SpreadSettings {
    SpreadWay way = SpreadWay::Tree;
    VersionFloor floor = VersionFloor::Platform;
    TimeMs digestMs = 500; ///< period of digests
    int otherZoneEvery = 8; ///< each n-th digest goes to another zone
    int watchersPerZone = FULMARLEDGE_CONFIG_WATCHERS_PER_ZONE;
    int fanOut = 8; ///< parts of an interval in the tree
    int gossipFanOut = 3;
    TimeMs rankDelayMs = 300; ///< head start of each watcher over the next rank
    TimeMs settleMs = 200; ///< time given to pushes before digests repair
    TimeMs replicateMs = 200; ///< period of repeated pushes while no member has acknowledged
    /// Longest wait for a second holder of a version that was read from the platform; 0 waits as long as it takes.
    TimeMs replicateLimitMs = 0;
    TimeMs readTimeoutMs = 1000; ///< a later reply of the platform is still used
    TimeMs watchTimeoutMs = 20000; ///< asked of the platform
    TimeMs watchLateMs = 2000; ///< a watch this long past its timeout is replaced
    TimeMs headCheckMs = 3000; ///< period of plain reads beside the watch, which bound the cost of a silent watch
    TimeMs backoffMinMs = 100;
    TimeMs backoffMaxMs = 2000;
    TimeMs jitterMs = 100;
    /// Rate at which a returning fleet reads `head`. Nodes that know no member may fetch contents at the same rate, so
    /// that both stay below two thirds of the 1,000 reads/s allowed; the rest is left to the membership.
    int readsPerSecond = 300;
    std::size_t expectedFleet = 1000; ///< lower bound of the fleet size, for the jitter of a node that knows no member
    TimeMs pullTimeoutMs = 600;
    TimeMs repairAfterMs = 600; ///< a node that knows of a later version for this long reads the platform itself
    TimeMs quietMs = 2000; ///< so does a node that no member has reached for this long
    int fullAnswers = 4; ///< full manifests sent per `fullAnswerWindowMs`
    TimeMs fullAnswerWindowMs = 500;
};

class SpreadListener
{
public:
    virtual ~SpreadListener() = default;
    /// The version has become active. Versions rise from call to call.
    virtual void onManifest(Version version, const std::string &digest, std::shared_ptr<const Manifest> manifest) = 0;
};

/// A version that was refused.
struct Rejection {
    Version version = 0;
    std::string reason;
};

struct Activation {
    Version version = 0;
    TimeMs atMs = 0;
};

/// Receives, checks, relays and activates manifests. Runs on the control thread; does no I/O of its own.
class Spread
{
public:
    Spread(const SpreadSettings &settings, MemberView &members, PeerTransport &peers, PlatformStore &platform,
           RandomSource &random, MetricsSink &metrics, EventLog &log, SpreadListener &listener);
    ~Spread();
    Spread(const Spread &) = delete;
    Spread &operator=(const Spread &) = delete;

    void start(TimeMs now);
    /// Expected every 50 ms.
    void onTick(TimeMs now);
    /// Takes any envelope: the header of each message advertises a version.
    void onMessage(TimeMs now, const wire::Envelope &message);
    /// The process was paused: the version floor is read again before the node is ready.
    void onClockJump(TimeMs now);

    /// Active version, or 0.
    Version version() const;
    const std::string &digest() const;
    /// When the active version was accepted, by the submitter's clock in milliseconds since 1970, or 0.
    std::int64_t acceptedMs() const;
    std::shared_ptr<const Manifest> manifest() const;
    /// Newest version held, which may still wait for a second holder or for the version floor.
    Version heldVersion() const;
    /// True when an active manifest is at or above a known version floor.
    bool isReady() const;
    const std::optional<Rejection> &lastRejection() const;
    /// Newest last, at most 32.
    const std::deque<Activation> &activations() const;
    /// Whether the last finished call to the platform was answered.
    bool platformReachable() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace fulmarledge
