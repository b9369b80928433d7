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

/// Where a version came from.
enum class Source : std::uint8_t { Platform, ZonePush, ZonePeer, OtherZone };

inline std::string_view sourceName(Source source)
{
    switch (source) {
    case Source::Platform:
        return "platform";
    case Source::ZonePush:
        return "zone-push";
    case Source::ZonePeer:
        return "zone-peer";
    case Source::OtherZone:
        return "other-zone";
    }
    return "unknown";
}

enum class Outcome : std::uint8_t { Held, NoBase, Rejected };

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
    void message(TimeMs now, const wire::Envelope &message);
    void clockJump(TimeMs now);
    bool isReady() const;

    const HeldManifest &running() const
    {
        return m_running;
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
    bool platformReachable() const
    {
        return m_reader.reachable();
    }

private:
    /// Interval that the node must relay to once it holds the version.
    struct Duty {
        Version version = 0;
        HashInterval interval;
    };

    // Platform and version floor (spreadfloor.cpp).
    void onHead(const Head &head) override;
    void onContent(Version version, const std::string &digest, const std::string &text) override;
    void onPlatformFailure() override;
    void hastenFloor(const wire::Header &from);
    void resetFloor();
    void setFloor(Version floor, std::string_view from);
    void tickPeerFloor();
    void tickRole();
    void followHead();
    Acceptance headTarget() const;
    TimeMs fetchDelay();
    TimeMs windowMs() const;

    // Holding and activation (spread.cpp).
    Outcome accept(const wire::Content &content, Source source);
    void hold(HeldManifest manifest, Source source);
    void reject(Version version, std::string_view label, const std::string &detail);
    void confirm();
    void tryActivate();

    // Pushes (spreadpush.cpp).
    void onPush(const wire::Header &from, const wire::Push &push);
    void planPush(Source source);
    void tickPush();
    void pushOut();
    void probeZone();
    void onProbeAnswer(Version version);
    void relay(HashInterval interval);
    void relayDuties();
    void gossip();
    void replicate();
    void sendPush(const Member &to, HashInterval interval);

    // Lag and its repair from the platform (spreadrepair.cpp).
    void noteVersion(const wire::Header &from, Version version);
    /// Reads the platform when peers do not bring a version: the way that needs neither the failure detector nor the
    /// watchers nor a pull.
    void tickRepair();
    /// Notes and reports since when this node has known of a version above its own.
    void tickLag();
    /// Whether a later version has been known for so long that a push or a pull should have brought it.
    bool isLate() const;
    /// Why the platform has to be read, or empty.
    std::string_view repairReason() const;

    // Digests and pulls (spreaddigest.cpp).
    void onDigest(const wire::Header &from, const wire::Digest &digest);
    void onPull(const wire::Header &from, const wire::Pull &pull);
    void onContentMessage(const wire::Header &from, const wire::Content &content);
    void answer(const wire::Header &from, Version base, bool reliable);
    void tickDigest();
    void tickPull();
    void sendDigest(const Member &to, std::optional<std::int64_t> nonce, bool reply);
    wire::Digest ownDigest() const;

    std::uint64_t random(TimeMs bound)
    {
        return m_random.below(static_cast<std::uint64_t>(bound) + 1);
    }
    /// Random live member other than the local host, or null.
    const Member *randomMember(bool ownZone, bool otherZones);
    std::span<const Member> zoneMembers() const
    {
        return m_members.zoneMembers(m_members.self().zone);
    }
    Advertiser advertiser(const wire::Header &from, Version version) const
    {
        return {from.host, addressOf(from), version, m_now};
    }
    Source sourceOf(const wire::Header &from, Source inZone) const
    {
        return from.zone == m_members.self().zone ? inZone : Source::OtherZone;
    }

    const SpreadSettings m_settings;
    MemberView &m_members;
    PeerTransport &m_peers;
    RandomSource &m_random;
    MetricsSink &m_metrics;
    EventLog &m_log;
    SpreadListener &m_listener;

    HeldManifest m_running;
    HeldManifests m_held;
    std::optional<Rejection> m_lastRejection;
    std::deque<Activation> m_activations;
    HeadReader m_reader;

    TimeMs m_now = 0;
    bool m_started = false;

    // Watcher role.
    int m_rank = 0;
    TimeMs m_nextRankAt = 0;

    // Newest acceptances known and contents that failed their checks although their digests matched.
    Head m_head;
    TimeMs m_headSeenAt = 0;
    std::set<std::string> m_badDigests;

    // Version floor.
    std::optional<Version> m_floor;
    bool m_floorFromHead = false;
    bool m_platformFailed = false;
    PeerFloor m_peerFloor;
    TimeMs m_nextFloorAskAt = 0;

    // Newest held version.
    TimeMs m_heldSince = 0;
    Source m_heldFrom = Source::Platform;
    bool m_confirmed = true; ///< another member holds it too
    std::optional<TimeMs> m_pushAt;
    std::int64_t m_probeNonce = 0; ///< of the question whether the zone holds a version learned from another zone
    int m_probeHolders = 0;
    TimeMs m_replicateAt = 0;
    std::vector<HashInterval> m_relayed;
    std::vector<Duty> m_duties;

    // Digests and pulls.
    TimeMs m_nextDigestAt = 0;
    std::int64_t m_digestCount = 0;
    PullPlan m_pulls;

    // Lag.
    Version m_reportedVersion = 0; ///< highest version that a peer has reported
    std::optional<TimeMs> m_behindSince; ///< since when a version above the held one is known
    TimeMs m_heardAt = 0; ///< last message of a member
    bool m_repairing = false; ///< the platform is read because peers do not bring the version
    TimeMs m_nextRepairAt = 0;
    TimeMs m_nextLagReportAt = 0;
    bool m_lagReported = false;
    FullAnswerLimit m_fullAnswers;
};

} // namespace fulmarledge
