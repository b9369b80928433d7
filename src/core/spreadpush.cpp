#include "spread_p.h"

#include <algorithm>

namespace fulmarledge {

namespace {

constexpr std::size_t kMaxPendingRelays = 16;
constexpr int kProbeCount = 3;
/// Number of holders among the probed members that shows that the zone has received its push.
constexpr std::size_t kRequiredProbeHolders = 2;

} // namespace

void Spread::Private::onPush(const wire::Header &from, const wire::Push &push)
{
    const HashInterval interval{static_cast<std::uint64_t>(push.intervalBegin),
                                static_cast<std::uint64_t>(push.intervalEnd)};
    const ContentSource source = sourceOf(from, ContentSource::ZonePush);
    const Version version = push.content.version;
    if (version > m_held.newestVersion()) {
        const AcceptResult result = acceptContent(push.content, source);
        if (result == AcceptResult::NoBase && source == ContentSource::ZonePush && !interval.isEmpty()
            && m_pendingRelays.size() < kMaxPendingRelays) {
            m_pendingRelays.push_back({version, interval});
        }
        if (result != AcceptResult::Held) {
            m_pullPlan.scheduleImmediatePull(m_now, advertiserOf(from, version), result == AcceptResult::Rejected);
            return;
        }
    } else if (version < m_held.newestVersion()) {
        m_metrics.count("spread_stale_messages", "push", 1);
    }
    if (push.ackWanted) {
        wire::Envelope reply;
        wire::PushAck ack;
        ack.version = m_held.newestVersion();
        reply.__set_pushAck(ack);
        m_peers.send(addressOf(from), reply);
    }
    if (version != m_held.newestVersion()) {
        return;
    }
    if (source == ContentSource::ZonePush && !interval.isEmpty()) {
        m_pushAt.reset();
        relayTo(interval);
    }
    markReplicated();
}

void Spread::Private::schedulePush(ContentSource source)
{
    const TimeMs delay = m_watcherRank < m_settings.watchersPerZone
        ? (source == ContentSource::Platform ? rankDelay() : m_watcherRank * m_settings.rankDelayMs)
        : m_settings.watchersPerZone * m_settings.rankDelayMs + static_cast<TimeMs>(randomUpTo(m_settings.rankDelayMs));
    const bool relaysGossip = m_settings.deliveryMode == DeliveryMode::Gossip && source != ContentSource::Platform;
    m_replicateAt = m_now;
    m_probeNonce = 0;
    if (relaysGossip) {
        m_pushAt = m_now;
    } else if (m_settings.deliveryMode == DeliveryMode::Direct) {
        // The wait saves the push if another node has read the version from the platform in the meantime.
        m_replicateAt = m_now + static_cast<TimeMs>(randomUpTo(m_settings.replicateMs));
    } else if (source == ContentSource::Platform && (m_watcherRank < m_settings.watchersPerZone || !m_replicated)) {
        // The rank delay counts from the time when the new `head` was read, because a watcher has already waited for it
        // before it fetched the content.
        m_pushAt = std::max(m_now, m_headSeenAt + delay);
    } else if (source != ContentSource::ZonePush && source != ContentSource::ZonePeer) {
        // The version came from another zone, or from the platform after peers had reported it. The zone may already
        // have received its push, so the node waits and probes the zone first.
        m_pushAt = m_now + delay;
        if (delay > 0) {
            probeZoneMembers();
        }
    }
    if (m_pushAt && m_watcherRank < m_settings.watchersPerZone) {
        m_replicateAt = *m_pushAt + m_settings.replicateMs;
    }
    relayPending();
    tickPush();
}

void Spread::Private::tickPush()
{
    if (m_pushAt && m_now >= *m_pushAt) {
        m_pushAt.reset();
        pushNewest();
    }
    if (m_replicated || m_held.newestVersion() == 0) {
        return;
    }
    if (m_members.liveCount() <= 1) {
        tryActivate();
    } else if (m_now >= m_replicateAt) {
        replicate();
    }
}

void Spread::Private::probeZoneMembers()
{
    // A node that missed the push of its own zone may get the version from another zone first. Without the probe it
    // would push a second copy to the whole zone.
    m_probeNonce = static_cast<std::int64_t>(m_random.below(std::uint64_t{1} << 62U)) + 1;
    m_probeHolders = 0;
    for (int i = 0; i < kProbeCount; ++i) {
        if (const Member *member = randomMember(true, false)) {
            sendDigest(*member, m_probeNonce, false);
        }
    }
}

void Spread::Private::onProbeAnswer(Version version)
{
    if (!m_pushAt || version < m_held.newestVersion()) {
        return;
    }
    const std::size_t others = zoneMembers().size() - 1;
    if (static_cast<std::size_t>(++m_probeHolders) >= std::min(kRequiredProbeHolders, others)) {
        m_pushAt.reset();
    }
}

void Spread::Private::pushNewest()
{
    if (m_settings.deliveryMode == DeliveryMode::Gossip) {
        pushToRandomMembers();
    } else if (m_settings.deliveryMode == DeliveryMode::Tree) {
        if (zoneMembers().size() <= 1) {
            m_replicateAt = m_now;
        }
        relayTo({});
    }
}

void Spread::Private::relayTo(HashInterval interval)
{
    if (m_settings.deliveryMode != DeliveryMode::Tree || interval.isEmpty()) {
        return;
    }
    const bool alreadyRelayed = std::any_of(m_relayedIntervals.begin(), m_relayedIntervals.end(),
                                            [&](const HashInterval &earlier) { return earlier.contains(interval); });
    if (alreadyRelayed) {
        return;
    }
    m_relayedIntervals.push_back(interval);
    for (const Delegation &part : divideInterval(zoneMembers(), m_members.self().hash, interval, m_settings.fanOut)) {
        sendPush(*part.delegate, part.interval);
    }
}

void Spread::Private::relayPending()
{
    const Version newest = m_held.newestVersion();
    std::vector<PendingRelay> waiting;
    std::swap(waiting, m_pendingRelays);
    for (const PendingRelay &pending : waiting) {
        if (pending.version > newest) {
            m_pendingRelays.push_back(pending);
        } else if (pending.version == newest) {
            m_pushAt.reset();
            relayTo(pending.interval);
        }
        // A relay of an older version is dropped, because the tree of the newest version reaches the same members.
    }
}

void Spread::Private::pushToRandomMembers()
{
    std::vector<const Member *> chosen;
    const auto count = static_cast<std::size_t>(std::max(m_settings.gossipFanOut, 1));
    for (std::size_t attempt = 0; attempt < 3 * count && chosen.size() < count; ++attempt) {
        const Member *member = randomMember(true, true);
        if (member != nullptr && std::find(chosen.begin(), chosen.end(), member) == chosen.end()) {
            chosen.push_back(member);
        }
    }
    for (const Member *member : chosen) {
        sendPush(*member, kNoInterval);
    }
}

void Spread::Private::replicate()
{
    m_replicateAt = m_now + m_settings.replicateMs;
    // Half of the pushes may go to any zone, in case the local zone is cut off.
    const bool anyZone = zoneMembers().size() <= 1 || m_random.below(2) == 0;
    if (const Member *member = randomMember(true, anyZone)) {
        sendPush(*member, kNoInterval);
    }
}

void Spread::Private::sendPush(const Member &to, HashInterval interval)
{
    wire::Push push;
    push.content = m_held.contentForPush();
    push.intervalBegin = static_cast<std::int64_t>(interval.begin);
    push.intervalEnd = static_cast<std::int64_t>(interval.end);
    push.ackWanted = !m_replicated;
    wire::Envelope message;
    message.__set_push(push);
    m_metrics.count("spread_pushes", "", 1);
    m_peers.send(to.control, message);
}

} // namespace fulmarledge
