#include "spread_p.h"

#include <algorithm>
#include <limits>

namespace fulmarledge {

namespace {

constexpr TimeMs kRankUpdatePeriodMs = 250;
/// Members asked for their versions in each period, drawn at random and possibly more than once.
constexpr int kFloorQueries = 3;
/// Time that a node which is not a watcher waits for its peers before it fetches a manifest from the platform.
constexpr TimeMs kFetchFallbackMs = 2000;
/// Time in which a watch should have announced a version that peers have brought.
constexpr TimeMs kWatchDoubtMs = 500;
/// A member counts as established when its process has started this much earlier than the local one.
constexpr std::int64_t kEstablishedMs = 60000;
/// Divisor of the read window after a partial restart. If half of the fleet restarts together, it reads at twice the
/// rate planned for the whole fleet, 600/s, which leaves room for joins within the bound of 1,000/s.
constexpr TimeMs kPartialRestartWindowDivisor = 4;

} // namespace

TimeMs Spread::Private::readWindowMs() const
{
    if (m_settings.deliveryMode != DeliveryMode::Direct && m_watcherRank < m_settings.watchersPerZone
        && m_members.liveCount() > 1 && m_floor) {
        return 0;
    }
    const auto fleet = static_cast<TimeMs>(std::max(m_members.liveCount(), m_settings.expectedFleetSize));
    return fleet * 1000 / std::max(m_settings.fleetReadsPerSecond, 1);
}

void Spread::Private::resetFloor()
{
    m_floor.reset();
    m_platformFailed = false;
    m_peerFloor.restart(static_cast<std::int64_t>(m_random.below(std::uint64_t{1} << 62U)) + 1);
    m_nextFloorQueryAt = m_now;
    m_reader.restart(m_now, readWindowMs());
}

void Spread::Private::advanceFloorRead(const wire::Header &from)
{
    // A process takes the wall-clock time of its start as its first incarnation. A member that started long before the
    // local node and runs a version shows that the fleet did not restart as a whole.
    if (!m_floor && from.version > 0 && m_members.self().incarnation - from.incarnation >= kEstablishedMs) {
        m_reader.advanceFirstRead(m_now, readWindowMs() / kPartialRestartWindowDivisor);
    }
}

void Spread::Private::setFloor(Version floor, std::string_view from)
{
    m_floor = floor;
    m_floorFromHead = from == "head";
    m_log.event("version-floor", "floor=" + std::to_string(floor) + " from=" + std::string(from));
    tryActivate();
}

void Spread::Private::tickWatcherRole()
{
    if (m_now < m_nextRankUpdateAt) {
        return;
    }
    m_nextRankUpdateAt = m_now + kRankUpdatePeriodMs;
    const Member &self = m_members.self();
    m_watcherRank = watcherRank(zoneMembers(), self.zone, self, m_settings.watchersPerZone);
    const std::span<const std::string> zones = m_members.zones();
    const auto zoneIndex = std::find(zones.begin(), zones.end(), self.zone) - zones.begin();
    // All first ranks come before the second ones, so that the loss of a data centre does not stop the reads.
    m_reader.setReadPosition(m_settings.deliveryMode == DeliveryMode::Direct
                                 ? std::numeric_limits<int>::max()
                                 : m_watcherRank * static_cast<int>(zones.size()) + static_cast<int>(zoneIndex));
    m_reader.setWatching(m_now,
                         m_settings.deliveryMode == DeliveryMode::Direct || m_watcherRank < m_settings.watchersPerZone);
    if (m_reader.requestedVersion() != 0 && m_watcherRank < m_settings.watchersPerZone) {
        m_reader.requestContent(m_reader.requestedVersion(), newestUsableAcceptance().digest, m_now + fetchDelay());
    }
}

void Spread::Private::tickWatchDoubt()
{
    // The version came from peers whose watches work.
    const bool isUnannounced = m_reader.isWatching() && m_held.newestVersion() > m_head.version();
    if (!isUnannounced) {
        m_unannouncedSince.reset();
        return;
    }
    if (!m_unannouncedSince) {
        m_unannouncedSince = m_now;
    }
    if (m_now - *m_unannouncedSince >= kWatchDoubtMs) {
        m_unannouncedSince = m_now;
        m_reader.replaceWatch("peers-ahead");
    }
}

void Spread::Private::onHeadRead()
{
    const bool isWatcher = m_watcherRank < m_settings.watchersPerZone;
    if (isWatcher && m_settings.deliveryMode != DeliveryMode::Direct) {
        tellWatchers();
    }
}

TimeMs Spread::Private::rankDelay() const
{
    // A watch announces a version to all watchers, a plain read only to the one that reads.
    return m_headSource == HeadSource::Read ? 0 : m_watcherRank * m_settings.rankDelayMs;
}

void Spread::Private::tellWatchers()
{
    for (const std::string &zone : m_members.zones()) {
        for (const Member *watcher : zoneWatchers(m_members.zoneMembers(zone), zone, m_settings.watchersPerZone)) {
            if (watcher->host != m_members.self().host) {
                sendHeadRead(*watcher);
            }
        }
    }
}

TimeMs Spread::Private::fetchDelay()
{
    // A node that knows no other member may be one of a whole fleet that starts at once.
    if (m_members.liveCount() <= 1) {
        return static_cast<TimeMs>(randomUpTo(readWindowMs()));
    }
    if (m_settings.deliveryMode == DeliveryMode::Direct) {
        return static_cast<TimeMs>(randomUpTo(m_settings.jitterMs));
    }
    const bool isWatcher = m_watcherRank < m_settings.watchersPerZone;
    if (isNewerVersionOverdue() || (m_repairing && !isWatcher)) {
        return 0;
    }
    if (isWatcher) {
        return rankDelay();
    }
    return kFetchFallbackMs + static_cast<TimeMs>(randomUpTo(readWindowMs()));
}

Acceptance Spread::Private::newestUsableAcceptance() const
{
    // No node has run a version that failed its checks, so the acceptance before it is still in force.
    for (auto entry = m_head.recent.rbegin(); entry != m_head.recent.rend(); ++entry) {
        if (!m_invalidDigests.contains(entry->digest)) {
            return *entry;
        }
    }
    return {};
}

void Spread::Private::onHead(const Head &head, HeadSource source)
{
    if (head.version() >= m_head.version()) {
        if (head.version() > m_head.version()) {
            m_headSeenAt = m_now;
            m_headSource = source;
        }
        m_head = head;
    }
    if (!m_floor) {
        setFloor(newestUsableAcceptance().version, "head");
    }
    holdOrRequestHeadVersion();
}

void Spread::Private::holdOrRequestHeadVersion()
{
    const Acceptance target = newestUsableAcceptance();
    if (target.version <= m_held.newestVersion()) {
        return;
    }
    if (const HeldManifest *sameContent = m_held.findByDigest(target.digest)) {
        holdNewVersion({target.version, target.digest, sameContent->manifest, target.acceptedMs},
                       ContentSource::Platform);
        return;
    }
    if (m_reader.requestedVersion() != target.version) {
        m_reader.requestContent(target.version, target.digest, m_now + fetchDelay());
    }
}

void Spread::Private::onPlatformContent(Version version, const std::string &digest, const std::string &text)
{
    if (version <= m_held.newestVersion()) {
        m_reader.cancelContentRequest();
        return;
    }
    wire::Content content;
    content.version = version;
    content.digest = digest;
    content.__set_full(text);
    if (const Acceptance *acceptance = m_head.find(version)) {
        content.acceptedMs = acceptance->acceptedMs;
    }
    if (acceptContent(content, ContentSource::Platform) == AcceptResult::Held) {
        return;
    }
    if (!m_invalidDigests.contains(digest)) {
        m_reader.refetch();
        return;
    }
    m_reader.cancelContentRequest();
    if (m_floor && m_floorFromHead && !isReady()) {
        setFloor(newestUsableAcceptance().version, "head");
    }
    holdOrRequestHeadVersion();
}

void Spread::Private::onPlatformFailure()
{
    m_platformFailed = true;
}

void Spread::Private::tickPeerFloor()
{
    if (m_floor || m_settings.floorSource != VersionFloorSource::Peers || !m_platformFailed) {
        return;
    }
    if (const auto floor = m_peerFloor.result(m_now, m_settings.digestIntervalMs, m_members)) {
        setFloor(std::max(*floor, m_active.version), "peers");
        return;
    }
    if (m_now < m_nextFloorQueryAt) {
        return;
    }
    m_nextFloorQueryAt = m_now + m_settings.digestIntervalMs;
    for (int i = 0; i < kFloorQueries; ++i) {
        if (const Member *member = randomMember(true, true)) {
            sendDigest(*member, m_peerFloor.nonce(), false);
        }
    }
}

} // namespace fulmarledge
