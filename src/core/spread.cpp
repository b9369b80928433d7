#include "spread_p.h"

#include <algorithm>

namespace fulmarledge {

namespace {

constexpr std::size_t kMaxActivations = 32;

} // namespace

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
    , m_reader(m_settings, platform, random, metrics, log, *this)
    , m_pulls(m_settings, random)
    , m_fullAnswers(m_settings)
{
}

void Spread::Private::start(TimeMs now)
{
    m_now = now;
    m_started = true;
    m_heardAt = now;
    m_rank = m_settings.watchersPerZone;
    m_digestCount = static_cast<std::int64_t>(random(m_settings.otherZoneEvery));
    m_nextDigestAt = now + static_cast<TimeMs>(random(m_settings.jitterMs));
    resetFloor();
}

void Spread::Private::tick(TimeMs now)
{
    m_now = now;
    if (!m_started) {
        return;
    }
    tickRole();
    // A node that knows no other member only polls, because it may be one of a fleet in which every node considers
    // itself a watcher.
    m_reader.tick(now, windowMs(), m_members.liveCount() <= 1);
    tickPeerFloor();
    tickPush();
    tryActivate();
    tickRepair();
    tickPull();
    tickDigest();
}

void Spread::Private::message(TimeMs now, const wire::Envelope &message)
{
    m_now = now;
    if (!m_started || message.header.host == m_members.self().host) {
        return;
    }
    const wire::Header &from = message.header;
    m_heardAt = now;
    // Noted after the message was handled, because its content may be the very version that its header advertises.
    if (message.__isset.push) {
        onPush(from, message.push);
    } else if (message.__isset.content) {
        onContentMessage(from, message.content);
    } else if (message.__isset.digest) {
        onDigest(from, message.digest);
    } else if (message.__isset.pull) {
        onPull(from, message.pull);
    } else if (message.__isset.pushAck) {
        if (m_held.newestVersion() != 0 && message.pushAck.version >= m_held.newestVersion()) {
            confirm();
        }
    } else if (message.__isset.pullRefusal) {
        m_log.event("pull-refused",
                    "from=" + from.host + " retry_after_ms=" + std::to_string(message.pullRefusal.retryAfterMs));
        m_pulls.onRefusal(now, message.pullRefusal.retryAfterMs);
    }
    noteVersion(from, from.version);
    hastenFloor(from);
}

void Spread::Private::clockJump(TimeMs now)
{
    m_now = now;
    if (!m_started) {
        return;
    }
    m_log.event("clock-jump", "reading the version floor again");
    m_pulls.clear();
    m_nextDigestAt = now;
    m_replicateAt = now;
    // Watchers of other ranks have had the time to push in the meantime, so the local push goes after all of them.
    if (m_pushAt) {
        m_pushAt = now + m_settings.watchersPerZone * m_settings.rankDelayMs;
    }
    resetFloor();
}

bool Spread::Private::isReady() const
{
    return m_floor && m_running.version > 0 && m_running.version >= *m_floor;
}

Outcome Spread::Private::accept(const wire::Content &content, Source source)
{
    BuildError error;
    auto built = m_held.build(content, error);
    if (built) {
        hold(std::move(*built), source);
        return Outcome::Held;
    }
    if (error.failure == BuildFailure::NoBase) {
        m_metrics.count("spread_delta_without_base", "", 1);
        m_log.event("delta-without-base",
                    "offered=" + std::to_string(content.version) + " " + error.detail
                        + " held=" + std::to_string(m_held.newestVersion()));
        return Outcome::NoBase;
    }
    reject(content.version, buildFailureName(error.failure), error.detail);
    if (source == Source::Platform && error.failure == BuildFailure::Invalid) {
        m_badDigests.insert(content.digest);
    }
    return Outcome::Rejected;
}

void Spread::Private::hold(HeldManifest manifest, Source source)
{
    m_held.add(std::move(manifest));
    m_heldSince = m_now;
    m_heldFrom = source;
    // A peer that has reported this version or a later one holds it as well.
    m_confirmed = source != Source::Platform || m_reportedVersion >= m_held.newestVersion();
    m_relayed.clear();
    m_pushAt.reset();
    m_pulls.onHeld();
    if (m_reader.wanted() != 0 && m_reader.wanted() <= m_held.newestVersion()) {
        m_reader.cancelWant();
    }
    planPush(source);
    tryActivate();
}

void Spread::Private::reject(Version version, std::string_view label, const std::string &detail)
{
    m_metrics.count("spread_rejected", label, 1);
    m_lastRejection = Rejection{version, std::string(label) + ": " + detail};
    m_log.event("version-rejected", "version=" + std::to_string(version) + " reason=" + m_lastRejection->reason);
}

void Spread::Private::confirm()
{
    m_confirmed = true;
    tryActivate();
}

void Spread::Private::tryActivate()
{
    const Version newest = m_held.newestVersion();
    if (newest <= m_running.version) {
        return;
    }
    // A node without an active version may have run a higher version before it restarted, so it waits for the floor.
    const bool aboveFloor = m_floor ? newest >= *m_floor : m_running.version > 0;
    const bool waitedEnough = m_settings.replicateLimitMs > 0 && m_now - m_heldSince >= m_settings.replicateLimitMs;
    const bool replicated = m_confirmed || waitedEnough || m_members.liveCount() <= 1;
    if (!aboveFloor || !replicated) {
        return;
    }
    m_running = m_held.newest();
    m_activations.push_back({newest, m_now});
    if (m_activations.size() > kMaxActivations) {
        m_activations.pop_front();
    }
    m_metrics.count("spread_activations", "", 1);
    m_metrics.gauge("spread_version", "", static_cast<double>(newest));
    m_log.event("version-active",
                "version=" + std::to_string(newest) + " digest=" + m_running.digest + " source="
                    + std::string(sourceName(m_heldFrom)) + " held_ms=" + std::to_string(m_now - m_heldSince));
    m_listener.onManifest(newest, m_running.digest, m_running.manifest);
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
    m_private->message(now, message);
}

void Spread::onClockJump(TimeMs now)
{
    m_private->clockJump(now);
}

Version Spread::version() const
{
    return m_private->running().version;
}

const std::string &Spread::digest() const
{
    return m_private->running().digest;
}

std::int64_t Spread::acceptedMs() const
{
    return m_private->running().acceptedMs;
}

std::shared_ptr<const Manifest> Spread::manifest() const
{
    return m_private->running().manifest;
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

bool Spread::platformReachable() const
{
    return m_private->platformReachable();
}

} // namespace fulmarledge
