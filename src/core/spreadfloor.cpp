#include "spread_p.h"

#include <algorithm>

namespace fulmarledge {

namespace {

constexpr TimeMs kRankPeriodMs = 250;
constexpr int kFloorAsks = 3;
/// Time that a node which is not a watcher waits for its peers before it fetches a manifest from the platform.
constexpr TimeMs kFetchFallbackMs = 2000;
/// A member counts as established when its process has started this much earlier than the local one.
constexpr std::int64_t kEstablishedMs = 60000;
/// Divisor of the read window after a partial restart. If half of the fleet restarts together, it reads at twice the
/// rate planned for the whole fleet, 600/s, which leaves room for joins within the bound of 1,000/s.
constexpr TimeMs kPartialRestartFactor = 4;

} // namespace

TimeMs Spread::Private::windowMs() const
{
    if (m_settings.way != SpreadWay::Direct && m_rank < m_settings.watchersPerZone && m_members.liveCount() > 1
        && m_floor) {
        return 0;
    }
    const auto fleet = static_cast<TimeMs>(std::max(m_members.liveCount(), m_settings.expectedFleet));
    return fleet * 1000 / std::max(m_settings.readsPerSecond, 1);
}

void Spread::Private::resetFloor()
{
    m_floor.reset();
    m_platformFailed = false;
    m_peerFloor.restart(static_cast<std::int64_t>(m_random.below(std::uint64_t{1} << 62U)) + 1);
    m_nextFloorAskAt = m_now;
    m_reader.restart(m_now, windowMs());
}

void Spread::Private::hastenFloor(const wire::Header &from)
{
    // A process takes the wall-clock time of its start as its first incarnation. A member that started long before the
    // local node and runs a version shows that the fleet did not restart as a whole.
    if (!m_floor && from.version > 0 && m_members.self().incarnation - from.incarnation >= kEstablishedMs) {
        m_reader.hasten(m_now, windowMs() / kPartialRestartFactor);
    }
}

void Spread::Private::setFloor(Version floor, std::string_view from)
{
    m_floor = floor;
    m_floorFromHead = from == "head";
    m_log.event("version-floor", "floor=" + std::to_string(floor) + " from=" + std::string(from));
    tryActivate();
}

void Spread::Private::tickRole()
{
    if (m_now < m_nextRankAt) {
        return;
    }
    m_nextRankAt = m_now + kRankPeriodMs;
    const Member &self = m_members.self();
    m_rank = watcherRank(zoneMembers(), self.zone, self, m_settings.watchersPerZone);
    m_reader.setWatching(m_now, m_settings.way == SpreadWay::Direct || m_rank < m_settings.watchersPerZone);
    if (m_reader.wanted() != 0 && m_rank < m_settings.watchersPerZone) {
        m_reader.want(m_reader.wanted(), headTarget().digest, m_now + fetchDelay());
    }
}

TimeMs Spread::Private::fetchDelay()
{
    // A node that knows no other member may be one of a whole fleet that starts at once.
    if (m_members.liveCount() <= 1) {
        return static_cast<TimeMs>(random(windowMs()));
    }
    if (m_settings.way == SpreadWay::Direct) {
        return static_cast<TimeMs>(random(m_settings.jitterMs));
    }
    const bool watcher = m_rank < m_settings.watchersPerZone;
    if (isLate() || (m_repairing && !watcher)) {
        return 0;
    }
    if (watcher) {
        return m_rank * m_settings.rankDelayMs;
    }
    return kFetchFallbackMs + static_cast<TimeMs>(random(windowMs()));
}

Acceptance Spread::Private::headTarget() const
{
    // No node has run a content that failed its checks, so the acceptance before it is still in force.
    for (auto entry = m_head.recent.rbegin(); entry != m_head.recent.rend(); ++entry) {
        if (!m_badDigests.contains(entry->digest)) {
            return *entry;
        }
    }
    return {};
}

void Spread::Private::onHead(const Head &head)
{
    if (head.version() >= m_head.version()) {
        if (head.version() > m_head.version()) {
            m_headSeenAt = m_now;
        }
        m_head = head;
    }
    if (!m_floor) {
        setFloor(headTarget().version, "head");
    }
    followHead();
}

void Spread::Private::followHead()
{
    const Acceptance target = headTarget();
    if (target.version <= m_held.newestVersion()) {
        return;
    }
    if (const HeldManifest *same = m_held.findDigest(target.digest)) {
        hold({target.version, target.digest, same->manifest, target.acceptedMs}, Source::Platform);
        return;
    }
    if (m_reader.wanted() != target.version) {
        m_reader.want(target.version, target.digest, m_now + fetchDelay());
    }
}

void Spread::Private::onContent(Version version, const std::string &digest, const std::string &text)
{
    if (version <= m_held.newestVersion()) {
        m_reader.cancelWant();
        return;
    }
    wire::Content content;
    content.version = version;
    content.digest = digest;
    content.__set_full(text);
    if (const Acceptance *acceptance = m_head.find(version)) {
        content.acceptedMs = acceptance->acceptedMs;
    }
    if (accept(content, Source::Platform) == Outcome::Held) {
        return;
    }
    if (!m_badDigests.contains(digest)) {
        m_reader.refetch();
        return;
    }
    m_reader.cancelWant();
    if (m_floor && m_floorFromHead && !isReady()) {
        setFloor(headTarget().version, "head");
    }
    followHead();
}

void Spread::Private::onPlatformFailure()
{
    m_platformFailed = true;
}

void Spread::Private::tickPeerFloor()
{
    if (m_floor || m_settings.floor != VersionFloor::Peers || !m_platformFailed) {
        return;
    }
    if (const auto floor = m_peerFloor.result(m_now, m_settings.digestMs, m_members)) {
        setFloor(std::max(*floor, m_running.version), "peers");
        return;
    }
    if (m_now < m_nextFloorAskAt) {
        return;
    }
    m_nextFloorAskAt = m_now + m_settings.digestMs;
    for (int i = 0; i < kFloorAsks; ++i) {
        if (const Member *member = randomMember(true, true)) {
            sendDigest(*member, m_peerFloor.nonce(), false);
        }
    }
}

} // namespace fulmarledge
