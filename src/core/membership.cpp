#include "membership_p.h"

#include <algorithm>
#include <utility>

namespace fulmarledge {

namespace {

constexpr TimeMs kTickMs = 50;
// After a tick this late, answers may still wait unread in the input queue.
constexpr TimeMs kLateTickMs = 150;
constexpr TimeMs kMaxGraceMs = 1000;
constexpr int kSenderQueriesPerSecond = 20;
constexpr std::size_t kMaxRejoinMembers = 3;
// Bound on the warm-up that a backend server may report. No server needs more than an hour.
constexpr TimeMs kMaxWarmupMs = 3600000;

} // namespace

bool RateLimiter::tryTake(TimeMs now)
{
    if (now - m_windowStart >= 1000) {
        m_windowStart = now;
        m_requested = 0;
    }
    return ++m_requested <= m_perSecond;
}

Membership::Private::Private(const MembershipSettings &config, const wire::HostRecord &self, PeerTransport &peers,
                             PlatformStore &platform, RandomSource &source, MetricsSink &sink, EventLog &events)
    : settings(config)
    , transport(peers)
    , store(platform)
    , random(source)
    , metrics(sink)
    , log(events)
    , table(self)
    , burstLimiter(config.gossipBurstsPerSecond)
    , senderQueryLimiter(kSenderQueriesPerSecond)
    , tableReplyLimiter(config.tableRepliesPerSecond)
    , joinLimiter(config.joinsPerSecond)
{
}

void Membership::Private::start(std::int64_t wallClockMs)
{
    wire::HostRecord record = self();
    record.incarnation = wallClockMs;
    record.liveness = wire::Liveness::Alive;
    table.set(record);
    ++revision;
    started = true;
    lastTick = now;
    // Sequence numbers start at a random value, so that an answer to an earlier process of this host does not match.
    sequence = static_cast<std::int64_t>(random.below(std::uint64_t{1} << 40U));
    nextProbeAt = now + static_cast<TimeMs>(random.below(static_cast<std::uint64_t>(settings.probePeriodMs)));
    nextSuccessorProbeAt = nextProbeAt + settings.probePeriodMs / 2;
    nextTombstoneProbeAt = now + jitter(settings.tombstoneProbePeriodMs);
    const TimeMs window = settings.expectedMembers * 1000 / settings.contactReadsPerSecond;
    contacts.nextReadAt = now + static_cast<TimeMs>(random.below(static_cast<std::uint64_t>(window) + 1));
}

void Membership::Private::tick()
{
    const TimeMs gap = now - lastTick;
    lastTick = now;
    if (gap > settings.clockJumpMs) {
        handleClockJump();
    } else if (gap > kLateTickMs) {
        graceUntil = now + std::min(gap - kTickMs, kMaxGraceMs);
    }
    if (now >= graceUntil) {
        expireSuspicions();
        processProbeTimeouts();
    }
    pruneTombstones();
    probeTick();
    probeTombstones();
    contactTick();
    syncTick();
    burstTick();
}

void Membership::Private::receive(const wire::Envelope &message)
{
    if (message.header.host == self().host) {
        return;
    }
    ++receivedMessages;
    const std::uint32_t sender = table.find(message.header.host);
    const bool trusted = sender != kNoSlot && isLive(table.record(sender));
    for (const wire::HostRecord &record : message.updates) {
        merge(record, trusted ? RecordSource::Gossip : RecordSource::UntrustedGossip);
    }
    applyHeader(message.header, message.__isset.join || message.__isset.joinReply);
    if (message.__isset.ping) {
        onPing(message);
    } else if (message.__isset.pingReq) {
        onPingReq(message);
    } else if (message.__isset.ack) {
        onAck(message);
    } else if (message.__isset.digest) {
        onDigest(message);
    } else if (message.__isset.tableRequest) {
        onTableRequest(message);
    } else if (message.__isset.tableReply) {
        onTableReply(message);
    } else if (message.__isset.join) {
        onJoin(message);
    } else if (message.__isset.joinReply) {
        onJoinReply(message);
    }
}

void Membership::Private::applyHeader(const wire::Header &header, bool isJoinExchange)
{
    const SocketAddress address{header.address, static_cast<std::uint16_t>(header.controlPort)};
    const std::uint32_t slot = table.find(header.host);
    if (slot == kNoSlot) {
        // The sender is unknown. The ping brings the local record to it, and its answer may bring the sender's back.
        if (!isJoinExchange && !header.host.empty() && senderQueryLimiter.tryTake(now)) {
            wire::Envelope ping;
            ping.__isset.ping = true;
            ping.ping.sequence = ++sequence;
            ping.ping.target = header.host;
            ping.updates.push_back(self());
            transport.send(address, ping);
        }
        return;
    }
    HostEntry &entry = table.entry(slot);
    const wire::HostRecord &record = table.record(slot);
    if (header.incarnation >= entry.headerIncarnation) {
        if (Member *member = table.member(slot); member != nullptr) {
            const bool sameProcess = header.incarnation == entry.headerIncarnation;
            member->version = sameProcess ? std::max(member->version, header.version) : header.version;
            member->versionSeenMs = now;
        }
        entry.headerIncarnation = header.incarnation;
    }
    if (record.liveness != wire::Liveness::Alive && header.incarnation <= record.incarnation) {
        requestRefutation(slot, address);
    }
}

void Membership::Private::updateLocalRecord(wire::HostRecord record)
{
    record.incarnation = self().incarnation + 1;
    record.liveness = wire::Liveness::Alive;
    const bool affectsRouting = contentHash(record) != contentHash(self());
    table.set(record);
    revision += affectsRouting ? 1 : 0;
    queueUpdate(0);
}

void Membership::Private::handleClockJump()
{
    log.event("clock-jump", "the host table is refreshed");
    metrics.count("membership_clock_jumps", "", 1);
    // What this process held before the pause may be outdated. No timeout from before is evaluated, and no queued
    // record is passed on.
    probes.clear();
    relayedPings.clear();
    updates.clear();
    contacts.attempts.clear();
    contacts.candidates.clear();
    contacts.roundActive = false;
    suspicionDeadlines = {};
    for (const std::uint32_t slot : table.live()) {
        if (table.record(slot).liveness == wire::Liveness::Suspect) {
            HostEntry &entry = table.entry(slot);
            entry.deadline = now + suspicionTimeout(table.record(slot));
            suspicionDeadlines.push({entry.deadline, entry.hash});
        }
    }
    stale = !isAlone();
    fetchingTable = stale;
    differenceSince = 0;
    rejoinThroughMembers();
    scheduleRead(false, 0);
}

void Membership::Private::rejoinThroughMembers()
{
    for (std::size_t i = 0; i < std::min(kMaxRejoinMembers, table.live().size()); ++i) {
        const wire::HostRecord &record = table.record(table.nextProbeTarget(random));
        sendJoin({}, record.host, controlAddress(record));
    }
}

void Membership::Private::countAndLog(std::string_view metric, std::string_view event, const std::string &host)
{
    metrics.count(metric, "", 1);
    log.event(event, host);
}

Membership::Membership(const MembershipSettings &settings, const wire::HostRecord &self, PeerTransport &transport,
                       PlatformStore &store, RandomSource &random, MetricsSink &metrics, EventLog &log)
    : m_d(std::make_unique<Private>(settings, self, transport, store, random, metrics, log))
{
}

Membership::~Membership() = default;

void Membership::start(TimeMs now, std::int64_t wallClockMs)
{
    m_d->now = now;
    m_d->start(wallClockMs);
}

void Membership::onTick(TimeMs now)
{
    m_d->now = now;
    if (m_d->started) {
        m_d->tick();
    }
}

void Membership::onMessage(TimeMs now, const wire::Envelope &message)
{
    m_d->now = now;
    if (m_d->started) {
        m_d->receive(message);
    }
}

void Membership::setLocalState(TimeMs now, wire::HostState::type state, std::string_view serviceName,
                               std::int32_t slots, std::optional<TimeMs> warmupLeft, std::string_view version)
{
    m_d->now = now;
    wire::HostRecord record = m_d->self();
    // The remaining warm-up of one process only shrinks, so a longer one is that of a new process.
    const bool restarted = warmupLeft.value_or(0) > record.warmupMs;
    if (record.state == state && record.serviceName == serviceName && record.slots == slots && record.version == version
        && !restarted) {
        return;
    }
    record.state = state;
    record.serviceName = serviceName;
    record.slots = slots;
    record.version = version;
    record.__isset.version = !version.empty();
    record.__isset.warmupMs = warmupLeft.has_value();
    record.warmupMs = warmupLeft ? static_cast<std::int32_t>(std::clamp<TimeMs>(*warmupLeft, 0, kMaxWarmupMs)) : 0;
    if (!m_d->started) {
        m_d->table.set(record);
        return;
    }
    m_d->updateLocalRecord(std::move(record));
    m_d->sendBurst(m_d->settings.localUpdateFanout);
}

void Membership::setLeavingBackend(TimeMs now, std::string_view instance, std::int64_t processStartMs)
{
    m_d->now = now;
    wire::HostRecord record = m_d->self();
    if (record.leavingInstance == instance && (instance.empty() || record.leavingBornMs == processStartMs)) {
        return;
    }
    record.leavingInstance = instance;
    record.leavingBornMs = instance.empty() ? 0 : processStartMs;
    record.__isset.leavingInstance = !instance.empty();
    record.__isset.leavingBornMs = !instance.empty();
    if (!m_d->started) {
        m_d->table.set(record);
        return;
    }
    m_d->updateLocalRecord(std::move(record));
    m_d->sendBurst(m_d->settings.localUpdateFanout);
}

std::optional<LeavingBackend> Membership::takeLeavingBackend()
{
    return std::exchange(m_d->reportedLeaving, std::nullopt);
}

void Membership::leave(TimeMs now)
{
    m_d->now = now;
    if (!m_d->started) {
        return;
    }
    wire::HostRecord record = m_d->self();
    record.state = wire::HostState::Left;
    m_d->updateLocalRecord(std::move(record));
    m_d->sendBurst(m_d->settings.localUpdateFanout);
    m_d->started = false;
    m_d->log.event("left", m_d->self().host);
}

void Membership::onClockJump(TimeMs now)
{
    m_d->now = now;
    m_d->lastTick = now;
    if (m_d->started) {
        m_d->handleClockJump();
    }
}

void Membership::fillUpdates(wire::Envelope &message, std::size_t maxBytes)
{
    m_d->updates.fill(m_d->table, message, maxBytes);
}

std::uint64_t Membership::revision() const
{
    return m_d->revision;
}

std::span<const wire::HostRecord> Membership::records() const
{
    return m_d->table.records();
}

bool Membership::isJoined() const
{
    return m_d->joined;
}

bool Membership::isStale() const
{
    return m_d->stale;
}

std::span<const Member> Membership::zoneMembers(std::string_view zone) const
{
    return m_d->table.zoneMembers(zone);
}

std::span<const std::string> Membership::zones() const
{
    return m_d->table.zones();
}

const Member *Membership::find(std::string_view host) const
{
    const std::uint32_t slot = m_d->table.find(host);
    return slot == kNoSlot ? nullptr : m_d->table.member(slot);
}

std::size_t Membership::liveCount() const
{
    return m_d->table.live().size() + 1;
}

std::uint64_t Membership::tableHash() const
{
    return m_d->table.tableHash();
}

const Member &Membership::self() const
{
    return *m_d->table.member(0);
}

} // namespace fulmarledge
