#include "spread_p.h"

#include <algorithm>

namespace fulmarledge {

namespace {

constexpr std::size_t kMaxActivations = 32;
/// Parts of a change's way that do not depend on its bound: 300 ms by which watchers read one after another, two ticks,
/// 200 ms before a pull and 100 ms for messages.
constexpr TimeMs kFixedDelaysMs = 700;
/// Parts of the bound for a change, in percent. A short bound leaves less of it beside the fixed delays.
constexpr TimeMs kHeadCheckPercent = 35;
/// Shortest period of the reads that a fleet shares.
constexpr TimeMs kMinHeadCheckMs = 250;
constexpr TimeMs kRepairPercent = 30;
constexpr TimeMs kQuietPercent = 50;
constexpr TimeMs kReplicatePercent = 15;
constexpr TimeMs kBackoffPercent = 25;
constexpr TimeMs kPercent = 100;

} // namespace

bool setApplyBound(SpreadSettings &settings, TimeMs boundMs)
{
    settings.replicateLimitMs = boundMs * kReplicatePercent / kPercent;
    const TimeMs left = boundMs - kFixedDelaysMs - settings.replicateLimitMs;
    // The jitter adds up to a quarter to the period of reads.
    settings.headCheckMs = std::min(boundMs * kHeadCheckPercent / kPercent, left * 4 / 5);
    settings.quietMs = std::min(boundMs * kQuietPercent / kPercent, left);
    settings.repairAfterMs = boundMs * kRepairPercent / kPercent;
    settings.backoffMaxMs = boundMs * kBackoffPercent / kPercent;
    settings.digestIntervalMs = std::min(settings.digestIntervalMs, settings.quietMs / 2);
    return settings.headCheckMs >= kMinHeadCheckMs;
}

Spread::Private::Private(const SpreadSettings &settings, MemberView &members, PeerTransport &peers,
                         PlatformStore &platform, RandomSource &random, MetricsSink &metrics, EventLog &log,
                         SpreadListener &listener)
    : m_settings(settings)
    , m_members(members)
    , m_peers(peers)
    , m_random(random)
    , m_metrics(metrics)
    , m_log(log)
    , m_listener(listener)
    , m_held(m_settings.keptManifestBytes)
    , m_reader(m_settings, platform, random, metrics, log, *this)
    , m_pullPlan(m_settings, random)
    , m_fullAnswerLimiter(m_settings)
{
}

void Spread::Private::start(TimeMs now)
{
    m_now = now;
    m_started = true;
    m_lastMessageAt = now;
    m_watcherRank = m_settings.watchersPerZone;
    m_digestCount = static_cast<std::int64_t>(randomUpTo(m_settings.otherZoneEvery));
    m_nextDigestAt = now + static_cast<TimeMs>(randomUpTo(m_settings.jitterMs));
    resetFloor();
}

void Spread::Private::tick(TimeMs now)
{
    m_now = now;
    if (!m_started) {
        return;
    }
    tickWatcherRole();
    tickWatchDoubt();
    // A node that knows no other member only polls, because it may be one of a fleet in which every node considers
    // itself a watcher.
    m_reader.tick(now, readWindowMs(), m_members.liveCount() <= 1);
    tickPeerFloor();
    tickPush();
    tryActivate();
    tickRepair();
    tickPull();
    tickDigest();
}

void Spread::Private::onMessage(TimeMs now, const wire::Envelope &message)
{
    m_now = now;
    if (!m_started || message.header.host == m_members.self().host) {
        return;
    }
    const wire::Header &from = message.header;
    m_lastMessageAt = now;
    if (message.__isset.push) {
        onPush(from, message.push);
    } else if (message.__isset.content) {
        onPeerContent(from, message.content);
    } else if (message.__isset.digest) {
        onDigest(from, message.digest);
    } else if (message.__isset.pull) {
        onPull(from, message.pull);
    } else if (message.__isset.pushAck) {
        if (m_held.newestVersion() != 0 && message.pushAck.version >= m_held.newestVersion()) {
            markReplicated();
        }
    } else if (message.__isset.pullRefusal) {
        m_log.event("pull-refused",
                    "from=" + from.host + " retry_after_ms=" + std::to_string(message.pullRefusal.retryAfterMs));
        m_pullPlan.onRefusal(now, message.pullRefusal.retryAfterMs);
    }
    // The version in the header is noted only after the message has been handled, because the message itself may
    // deliver that version.
    notePeerVersion(from, from.version);
    advanceFloorRead(from);
}

void Spread::Private::onClockJump(TimeMs now)
{
    m_now = now;
    if (!m_started) {
        return;
    }
    m_log.event("clock-jump", "reading the version floor again");
    m_pullPlan.clear();
    m_nextDigestAt = now;
    m_replicateAt = now;
    // Watchers of other ranks have had the time to push in the meantime, so the local push goes after all of them.
    if (m_pushAt) {
        m_pushAt = now + m_settings.watchersPerZone * m_settings.rankDelayMs;
    }
    resetFloor();
}

void Spread::Private::onPlatformMoved(TimeMs now)
{
    m_now = now;
    if (!m_started) {
        return;
    }
    m_log.event("platform-moved", "reading head at the new address");
    // The version floor still holds, as the objects are the same.
    m_reader.restart(now, readWindowMs());
}

bool Spread::Private::isReady() const
{
    return m_floor && m_active.version > 0 && m_active.version >= *m_floor;
}

AcceptResult Spread::Private::acceptContent(const wire::Content &content, ContentSource source)
{
    BuildError error;
    auto built = m_held.build(content, error);
    if (built) {
        holdNewVersion(std::move(*built), source);
        return AcceptResult::Held;
    }
    if (error.failure == BuildFailure::NoBase) {
        m_metrics.count("spread_delta_without_base", "", 1);
        m_log.event("delta-without-base",
                    "offered=" + std::to_string(content.version) + " " + error.detail
                        + " held=" + std::to_string(m_held.newestVersion()));
        return AcceptResult::NoBase;
    }
    rejectVersion(content.version, buildFailureName(error.failure), error.detail);
    if (source == ContentSource::Platform && error.failure == BuildFailure::Invalid) {
        m_invalidDigests.insert(content.digest);
    }
    return AcceptResult::Rejected;
}

void Spread::Private::holdNewVersion(HeldManifest manifest, ContentSource source)
{
    m_held.add(std::move(manifest));
    m_heldSince = m_now;
    m_heldSource = source;
    // A peer that has reported this version or a later one holds it as well.
    m_replicated = source != ContentSource::Platform || m_highestReportedVersion >= m_held.newestVersion();
    m_relayedIntervals.clear();
    m_pushAt.reset();
    m_pullPlan.onVersionHeld();
    if (m_reader.requestedVersion() != 0 && m_reader.requestedVersion() <= m_held.newestVersion()) {
        m_reader.cancelContentRequest();
    }
    schedulePush(source);
    if (source == ContentSource::Platform && m_headSource == HeadSource::Read
        && m_watcherRank < m_settings.watchersPerZone) {
        tellWatchers();
    }
    tryActivate();
}

void Spread::Private::rejectVersion(Version version, std::string_view label, const std::string &detail)
{
    m_metrics.count("spread_rejected", label, 1);
    m_lastRejection = Rejection{version, std::string(label) + ": " + detail};
    m_log.event("version-rejected", "version=" + std::to_string(version) + " reason=" + m_lastRejection->reason);
}

void Spread::Private::markReplicated()
{
    m_replicated = true;
    tryActivate();
}

void Spread::Private::tryActivate()
{
    const Version newest = m_held.newestVersion();
    if (newest <= m_active.version) {
        return;
    }
    // A node without an active version may have run a higher version before it restarted, so it waits for the floor.
    const bool reachesFloor = m_floor ? newest >= *m_floor : m_active.version > 0;
    const bool waitLimitReached = m_settings.replicateLimitMs > 0 && m_now - m_heldSince >= m_settings.replicateLimitMs;
    const bool replicationSatisfied = m_replicated || waitLimitReached || m_members.liveCount() <= 1;
    if (!reachesFloor || !replicationSatisfied) {
        return;
    }
    m_active = m_held.newest();
    m_activations.push_back({newest, m_now});
    if (m_activations.size() > kMaxActivations) {
        m_activations.pop_front();
    }
    m_metrics.count("spread_activations", "", 1);
    m_metrics.gauge("spread_version", "", static_cast<double>(newest));
    m_log.event("version-active",
                "version=" + std::to_string(newest) + " digest=" + m_active.digest + " source="
                    + std::string(contentSourceName(m_heldSource)) + " held_ms=" + std::to_string(m_now - m_heldSince));
    m_listener.onManifestActivated(newest, m_active.digest, m_active.manifest);
}

const Member *Spread::Private::randomMember(bool ownZone, bool otherZones)
{
    const std::string &self = m_members.self().host;
    const std::string &zone = m_members.self().zone;
    std::size_t count = 0;
    for (const std::string &name : m_members.zones()) {
        if (name == zone ? ownZone : otherZones) {
            count += m_members.zoneMembers(name).size();
        }
    }
    if (count == 0) {
        return nullptr;
    }
    std::size_t index = m_random.below(count);
    for (const std::string &name : m_members.zones()) {
        if (!(name == zone ? ownZone : otherZones)) {
            continue;
        }
        const auto members = m_members.zoneMembers(name);
        if (index >= members.size()) {
            index -= members.size();
            continue;
        }
        if (members[index].host != self) {
            return &members[index];
        }
        // The local host was drawn. The next member of the zone replaces it.
        return members.size() > 1 ? &members[(index + 1) % members.size()]
            : otherZones          ? randomMember(false, true)
                                  : nullptr;
    }
    return nullptr;
}

Spread::Spread(const SpreadSettings &settings, MemberView &members, PeerTransport &peers, PlatformStore &platform,
               RandomSource &random, MetricsSink &metrics, EventLog &log, SpreadListener &listener)
    : m_private(std::make_unique<Private>(settings, members, peers, platform, random, metrics, log, listener))
{
}

Spread::~Spread() = default;

void Spread::start(TimeMs now)
{
    m_private->start(now);
}

void Spread::onTick(TimeMs now)
{
    m_private->tick(now);
}

void Spread::onMessage(TimeMs now, const wire::Envelope &message)
{
    m_private->onMessage(now, message);
}

void Spread::onClockJump(TimeMs now)
{
    m_private->onClockJump(now);
}

void Spread::onPlatformMoved(TimeMs now)
{
    m_private->onPlatformMoved(now);
}

Version Spread::version() const
{
    return m_private->active().version;
}

const std::string &Spread::digest() const
{
    return m_private->active().digest;
}

std::int64_t Spread::acceptedMs() const
{
    return m_private->active().acceptedMs;
}

std::shared_ptr<const Manifest> Spread::manifest() const
{
    return m_private->active().manifest;
}

Version Spread::heldVersion() const
{
    return m_private->heldVersion();
}

bool Spread::isReady() const
{
    return m_private->isReady();
}

const std::optional<Rejection> &Spread::lastRejection() const
{
    return m_private->lastRejection();
}

const std::deque<Activation> &Spread::activations() const
{
    return m_private->activations();
}

bool Spread::isPlatformReachable() const
{
    return m_private->isPlatformReachable();
}

} // namespace fulmarledge
