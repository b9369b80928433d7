#include "fulmarledge/controlnode.h"

#include <algorithm>
#include <limits>

#include "fulmarledge/config.h"

namespace fulmarledge {

namespace {

constexpr std::size_t kMaxEvents = 64;

/// Room for host records in a datagram, beside a small message.
constexpr std::size_t kMaxUpdateBytes = FULMARLEDGE_CONFIG_MAX_DATAGRAM_BYTES - 400;

/// Whether host records are added to a message. Messages that carry a manifest or a delta may fill the datagram by
/// themselves. Table requests, table replies and join replies get no host records either.
bool mayCarryUpdates(const wire::Envelope &message)
{
    const auto &set = message.__isset;
    return !set.push && !set.content && !set.tableReply && !set.joinReply && !set.tableRequest && !set.rolloutReport
        && !set.rolloutState;
}

wire::Header headerOf(const wire::HostRecord &self)
{
    wire::Header header;
    header.host = self.host;
    header.zone = self.zone;
    header.address = self.address;
    header.controlPort = self.controlPort;
    return header;
}

} // namespace

ControlNode::ControlNode(const ControlSettings &settings, const wire::HostRecord &self, PeerTransport &transport,
                         PlatformStore &store, RandomSource &random, MetricsSink &metrics, EventLog &log,
                         ControlListener &listener)
    : m_settings(settings)
    , m_header(headerOf(self))
    , m_transport(transport)
    , m_random(random)
    , m_metrics(metrics)
    , m_log(log)
    , m_listener(listener)
    , m_membership(settings.membership, self, *this, store, random, metrics, *this)
    , m_spread(settings.spread, m_membership, *this, store, random, metrics, *this, *this)
{
    if (settings.rollout.isEnabled()) {
        PeerTransport &peers = *this;
        EventLog &events = *this;
        m_rollouts = std::make_unique<RolloutControl>(settings.rollout, settings.aloneReadPeriodMs, m_membership, peers,
                                                      store, random, metrics, events);
    }
    if (settings.quota.isEnabled()) {
        m_quotas
            = std::make_unique<QuotaLimiter>(settings.quota, m_membership, transport, random, metrics,
                                             static_cast<EventLog &>(*this), [&listener] { listener.onQuotaNeeded(); });
    }
}

ControlNode::~ControlNode() = default;

void ControlNode::start(TimeMs now, std::int64_t wallClockMs)
{
    m_lastTickMs = now;
    m_wallClockMs = wallClockMs;
    m_membership.start(now, wallClockMs);
    m_spread.start(now);
    if (m_quotas) {
        m_quotas->start(now);
    }
    updateReadiness();
}

void ControlNode::onTick(TimeMs now, std::int64_t wallClockMs)
{
    m_wallClockMs = wallClockMs;
    if (now - m_lastTickMs > m_settings.clockJumpMs) {
        event("clock-jump",
              "no tick for " + std::to_string(now - m_lastTickMs) + " ms; version and table are refreshed");
        m_metrics.count("clock-jumps", "", 1);
        m_spread.onClockJump(now);
    }
    m_lastTickMs = now;
    m_membership.onTick(now);
    m_spread.onTick(now);
    if (m_rollouts) {
        m_rollouts->onTick(now, m_membership.records(), m_membership.revision());
    }
    if (m_quotas) {
        m_quotas->onTick(now);
    }
    updateSnapshot(now);
    updateReadiness();
}

void ControlNode::onMessage(TimeMs now, const wire::Envelope &message)
{
    if (message.__isset.quotaRequest || message.__isset.quotaGrant) {
        // Their header states only the host, to save bytes, so the other modules cannot use it.
        if (m_quotas) {
            m_quotas->onMessage(now, message);
        }
        return;
    }
    m_membership.onMessage(now, message);
    if (const auto leaving = m_membership.takeLeavingBackend()) {
        m_listener.onBackendLeaving(*leaving);
    }
    m_spread.onMessage(now, message);
    if (m_rollouts) {
        m_rollouts->onMessage(now, message);
    }
    if (m_manifestChanged || (m_rollouts && m_rollouts->revision() != m_versionsRevision)) {
        updateSnapshot(now);
        updateReadiness();
    }
}

void ControlNode::setLocalState(TimeMs now, wire::HostState::type state, std::string_view serviceName,
                                std::int32_t slots, std::optional<TimeMs> warmupLeft, std::string_view version)
{
    m_membership.setLocalState(now, state, serviceName, slots, warmupLeft, m_rollouts ? version : std::string_view());
}

void ControlNode::setRolloutGuard(RolloutGuard &guard)
{
    if (m_rollouts) {
        m_rollouts->setGuard(&guard);
    }
}

void ControlNode::setLeavingBackend(TimeMs now, std::string_view instance, std::int64_t processStartMs)
{
    m_membership.setLeavingBackend(now, instance, processStartMs);
}

void ControlNode::onPlatformMoved(TimeMs now)
{
    m_spread.onPlatformMoved(now);
}

void ControlNode::leave(TimeMs now)
{
    m_membership.leave(now);
}

void ControlNode::send(const SocketAddress &to, const wire::Envelope &message)
{
    m_transport.send(to, withHeader(message));
}

void ControlNode::sendReliably(const SocketAddress &to, const wire::Envelope &message)
{
    m_transport.sendReliably(to, withHeader(message));
}

wire::Envelope ControlNode::withHeader(const wire::Envelope &message)
{
    wire::Envelope result = message;
    result.header = m_header;
    result.header.incarnation = m_membership.self().incarnation;
    result.header.version = m_version;
    if (mayCarryUpdates(result)) {
        m_membership.fillUpdates(result, kMaxUpdateBytes);
    }
    return result;
}

void ControlNode::onManifestActivated(Version version, const std::string &digest,
                                      std::shared_ptr<const Manifest> manifest)
{
    m_version = version;
    m_manifest = std::move(manifest);
    m_routes = RouteTable::build(*m_manifest);
    // A manifest without organisations draws no number, so that it changes nothing in a sequence of random choices.
    const std::uint64_t keySeed
        = m_manifest->organisations().empty() ? 0 : m_random.below(std::numeric_limits<std::uint64_t>::max());
    m_organisations = OrganisationTable::build(*m_manifest, keySeed);
    m_manifestChanged = true;
    m_shownDigest = m_manifest->shownDigest(digest);
    event("manifest-active", "version=" + std::to_string(version) + " digest=" + m_shownDigest);
    m_metrics.gauge("manifest-version", "", static_cast<double>(version));
    if (m_spread.acceptedMs() > 0) {
        // Acceptance is timed by the submitter's clock, so the difference can be negative.
        const std::int64_t convergenceMs = std::max<std::int64_t>(m_wallClockMs - m_spread.acceptedMs(), 0);
        m_metrics.observe("convergence-ms", static_cast<double>(convergenceMs));
    }
}

void ControlNode::flushQuotas(TimeMs now)
{
    if (m_quotas) {
        m_quotas->flush(now);
    }
}

void ControlNode::setQuotaLimits(TimeMs now)
{
    std::vector<QuotaLimit> limits;
    for (const OrganisationTable::Organisation &organisation : m_organisations->organisations()) {
        limits.push_back({organisation.name, organisation.ratePerS, organisation.burst});
    }
    m_quotas->setLimits(limits, now);
}

void ControlNode::updateSnapshot(TimeMs now)
{
    if (!m_manifest) {
        return;
    }
    const bool tableChanged = m_membership.revision() != m_snapshotRevision;
    const std::uint64_t versionsRevision = m_rollouts ? m_rollouts->revision() : 0;
    const bool versionsChanged = versionsRevision != m_versionsRevision;
    if (!m_manifestChanged && !versionsChanged
        && (!tableChanged || now - m_snapshotBuiltMs < m_settings.minRebuildMs)) {
        return;
    }
    m_snapshotRevision = m_membership.revision();
    m_snapshotBuiltMs = now;
    m_versionsRevision = versionsRevision;
    if (m_quotas && m_manifestChanged) {
        setQuotaLimits(now);
    }
    m_listener.onSnapshot(Snapshot::build(m_version, *m_manifest, m_membership.records(), m_routes, m_organisations,
                                          m_rollouts ? &m_rollouts->assignment() : nullptr));
    m_manifestChanged = false;
}

void ControlNode::updateReadiness()
{
    const bool ready = m_spread.isReady() && m_manifest != nullptr && !m_membership.isStale();
    if (m_readinessReported && ready == m_ready) {
        return;
    }
    m_readinessReported = true;
    m_ready = ready;
    const Reason reason = ready ? Reason::None : m_membership.isStale() ? Reason::StaleNode : Reason::NotReady;
    event(ready ? "ready" : "not-ready",
          "version=" + std::to_string(m_version) + " reason=" + std::string(reasonName(reason)));
    m_listener.onReadiness(ready, reason);
}

void ControlNode::event(std::string_view name, std::string_view detail)
{
    std::string text(detail);
    if (text.find("version=") == std::string::npos) {
        text += (text.empty() ? "version=" : " version=") + std::to_string(m_version);
    }
    m_events.push_back({m_wallClockMs, std::string(name) + " " + text});
    if (m_events.size() > kMaxEvents) {
        m_events.pop_front();
    }
    m_log.event(name, text);
}

} // namespace fulmarledge
