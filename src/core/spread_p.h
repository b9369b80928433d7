#pragma once

#include <set>
#include <vector>

#include "fulmarledge/spread.h"
#include "headreader_p.h"
#include "heldmanifests_p.h"
#include "peerfloor_p.h"
#include "pullplan_p.h"
#include "pushtree_p.h"

namespace fulmarledge {

/// Where the node got a version from.
enum class ContentSource : std::uint8_t {
    Platform,
    ZonePush, ///< push from a member of the local zone
    ZonePeer, ///< content from a member of the local zone in reply to a pull or a digest
    OtherZone ///< any message from a member of another zone
};

/// Name of a source in log lines.
inline std::string_view contentSourceName(ContentSource source)
{
    switch (source) {
    case ContentSource::Platform:
        return "platform";
    case ContentSource::ZonePush:
        return "zone-push";
    case ContentSource::ZonePeer:
        return "zone-peer";
    case ContentSource::OtherZone:
        return "other-zone";
    }
    return "unknown";
}

/// Result of Spread::Private::acceptContent().
enum class AcceptResult : std::uint8_t {
    Held,
    NoBase, ///< the content is a delta from a version that the node does not hold
    Rejected ///< the content failed its checks
};

/// Address at which the sender of a message receives control messages.
inline SocketAddress addressOf(const wire::Header &from)
{
    return {from.address, static_cast<std::uint16_t>(from.controlPort)};
}

class Spread::Private : public HeadReaderListener
{
public:
    Private(const SpreadSettings &settings, MemberView &members, PeerTransport &peers, PlatformStore &platform,
            RandomSource &random, MetricsSink &metrics, EventLog &log, SpreadListener &listener);

    void start(TimeMs now);
    void tick(TimeMs now);
    void onMessage(TimeMs now, const wire::Envelope &message);
    void onClockJump(TimeMs now);
    void onPlatformMoved(TimeMs now);
    bool isReady() const;

    const HeldManifest &active() const
    {
        return m_active;
    }
    Version heldVersion() const
    {
        return m_held.newestVersion();
    }
    const std::optional<Rejection> &lastRejection() const
    {
        return m_lastRejection;
    }
    const std::deque<Activation> &activations() const
    {
        return m_activations;
    }
    bool isPlatformReachable() const
    {
        return m_reader.isReachable();
    }

private:
    /// Hash interval to whose members the node must relay a version as soon as it holds it.
    struct PendingRelay {
        Version version = 0;
        HashInterval interval;
    };

    // Platform and version floor (spreadfloor.cpp).
    void onHead(const Head &head, HeadSource source) override;
    void onHeadRead() override;
    void onPlatformContent(Version version, const std::string &digest, const std::string &text) override;
    void onPlatformFailure() override;
    /// Brings the first read of `head` forward if `from` shows that only part of the fleet has restarted.
    void advanceFloorRead(const wire::Header &from);
    /// Forgets the version floor and schedules the read that finds it again.
    void resetFloor();
    void setFloor(Version floor, std::string_view from);
    /// Asks members for their versions when they may replace an unreachable platform as the source of the floor.
    void tickPeerFloor();
    /// Updates the local rank among the watchers of the zone.
    void tickWatcherRole();
    /// Tells the other watchers of the fleet that this node has just read `head`, and which version it holds.
    void tellWatchers();
    /// Time that a watcher of the local rank gives those of lower ranks, in ms.
    TimeMs rankDelay() const;
    /// Replaces a watch that does not announce a version that peers have brought.
    void tickWatchDoubt();
    /// If `head` names a newer version, holds it when its content is already held, and else requests the content.
    void holdOrRequestHeadVersion();
    /// Newest acceptance of `head` whose content is not known to be invalid.
    Acceptance newestUsableAcceptance() const;
    /// Time to wait before the content named by `head` is fetched from the platform, in ms.
    TimeMs fetchDelay();
    /// Time over which the fleet spaces its reads of the platform, in ms. 0 for a watcher that knows the floor.
    TimeMs readWindowMs() const;

    // Holding and activation (spread.cpp).
    /// Builds and checks a received version and holds it if it is valid.
    AcceptResult acceptContent(const wire::Content &content, ContentSource source);
    /// Stores a new newest version, schedules its push and activates it when possible.
    void holdNewVersion(HeldManifest manifest, ContentSource source);
    /// Counts and logs a version that failed its checks.
    void rejectVersion(Version version, std::string_view label, const std::string &detail);
    /// Notes that another member holds the newest version.
    void markReplicated();
    /// Activates the newest held version if it is not below the floor and another member holds it. Does not require a
    /// second holder if no other member is live or `replicateLimitMs` has passed.
    void tryActivate();

    // Pushes (spreadpush.cpp).
    void onPush(const wire::Header &from, const wire::Push &push);
    /// Decides when the node pushes the newest version, depending on its source and on the local rank.
    void schedulePush(ContentSource source);
    void tickPush();
    /// Pushes the newest version to the members that the delivery mode selects.
    void pushNewest();
    /// Asks random members of the zone whether they hold the newest version.
    void probeZoneMembers();
    /// Cancels the scheduled push once enough probed members hold the newest version.
    void onProbeAnswer(Version version);
    /// Pushes the newest version to delegates in `interval`, unless the node has already done so.
    void relayTo(HashInterval interval);
    /// Relays the newest version to the intervals that were waiting for it.
    void relayPending();
    /// Pushes the newest version to random members.
    void pushToRandomMembers();
    /// Pushes the newest version to one random member, to get a second holder.
    void replicate();
    void sendPush(const Member &to, HashInterval interval);

    // Lag and its repair from the platform (spreadrepair.cpp).
    /// Notes the version that a peer has reported and schedules a pull if it is newer than the held one.
    void notePeerVersion(const wire::Header &from, Version version);
    /// Reads the platform when peers do not deliver a version. This path needs neither the failure detector nor the
    /// watchers nor a pull.
    void tickRepair();
    /// Tracks and reports for how long the node has known of a version above the one it holds.
    void tickLag();
    /// Whether a newer version has been known for so long that a push or a pull should have delivered it.
    bool isNewerVersionOverdue() const;
    /// Why the platform has to be read, or empty when it has not.
    std::string_view repairReason() const;

    // Digests and pulls (spreaddigest.cpp).
    void onDigest(const wire::Header &from, const wire::Digest &digest);
    void onPull(const wire::Header &from, const wire::Pull &pull);
    void onPeerContent(const wire::Header &from, const wire::Content &content);
    /// Sends the newest version to a member that holds `base`, or a refusal when too many full manifests were sent.
    void sendContentOrRefusal(const wire::Header &from, Version base, bool reliable);
    void tickDigest();
    /// Tells another watcher that this node has just read `head`.
    void sendHeadRead(const Member &to);
    void tickPull();
    void sendDigest(const Member &to, std::optional<std::int64_t> nonce, bool reply);
    wire::Digest ownDigest() const;

    /// Uniform in [0, bound].
    std::uint64_t randomUpTo(TimeMs bound)
    {
        return m_random.below(static_cast<std::uint64_t>(bound) + 1);
    }
    /// Random live member other than the local host, or null if there is none.
    const Member *randomMember(bool ownZone, bool otherZones);
    std::span<const Member> zoneMembers() const
    {
        return m_members.zoneMembers(m_members.self().zone);
    }
    Advertiser advertiserOf(const wire::Header &from, Version version) const
    {
        return {from.host, addressOf(from), version, m_now};
    }
    /// `inZone` if the sender is in the local zone, else OtherZone.
    ContentSource sourceOf(const wire::Header &from, ContentSource inZone) const
    {
        return from.zone == m_members.self().zone ? inZone : ContentSource::OtherZone;
    }

    const SpreadSettings m_settings;
    MemberView &m_members;
    PeerTransport &m_peers;
    RandomSource &m_random;
    MetricsSink &m_metrics;
    EventLog &m_log;
    SpreadListener &m_listener;

    HeldManifest m_active;
    HeldManifests m_held;
    std::optional<Rejection> m_lastRejection;
    std::deque<Activation> m_activations;
    HeadReader m_reader;

    TimeMs m_now = 0;
    bool m_started = false;

    // Watcher role.
    int m_watcherRank = 0;
    TimeMs m_nextRankUpdateAt = 0;

    Head m_head; ///< with the highest version read so far
    TimeMs m_headSeenAt = 0; ///< when the version of `m_head` was first read
    HeadSource m_headSource = HeadSource::Watch; ///< how the version of `m_head` was first read
    std::set<std::string> m_invalidDigests; ///< of platform texts that are invalid although they match their digest

    // Version floor.
    std::optional<Version> m_floor;
    bool m_floorFromHead = false;
    bool m_platformFailed = false; ///< a call has failed since the floor was last reset
    PeerFloor m_peerFloor;
    TimeMs m_nextFloorQueryAt = 0;

    std::optional<TimeMs> m_unannouncedSince; ///< since when the own watch lacks a version that peers have brought

    // Newest held version.
    TimeMs m_heldSince = 0;
    ContentSource m_heldSource = ContentSource::Platform;
    bool m_replicated = true; ///< another member is known to hold it too
    std::optional<TimeMs> m_pushAt; ///< time of the scheduled push
    std::int64_t m_probeNonce = 0; ///< nonce of probeZoneMembers(), 0 when the zone was not probed for this version
    int m_probeHolders = 0; ///< probed members that hold the version
    TimeMs m_replicateAt = 0; ///< earliest time of the next replicate()
    std::vector<HashInterval> m_relayedIntervals; ///< intervals that it was relayed to
    std::vector<PendingRelay> m_pendingRelays; ///< relays of later versions, which the node does not hold yet

    // Digests and pulls.
    TimeMs m_nextDigestAt = 0;
    std::int64_t m_digestCount = 0;
    PullPlan m_pullPlan;

    // Lag.
    Version m_highestReportedVersion = 0; ///< highest version that a peer has reported
    std::optional<TimeMs> m_behindSince; ///< since when a version above the held one has been known
    TimeMs m_lastMessageAt = 0; ///< when the last message of another node arrived
    bool m_repairing = false; ///< the platform is read because peers do not deliver the version
    TimeMs m_nextRepairAt = 0;
    TimeMs m_nextLagReportAt = 0;
    bool m_lagReported = false; ///< the current lag has been logged
    FullAnswerLimiter m_fullAnswerLimiter; ///< for answers to pulls and digests
};

} // namespace fulmarledge
