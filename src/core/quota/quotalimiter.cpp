#include <algorithm>
#include <cmath>
#include <utility>
#include <xxhash.h>

#include "fulmarledge/quota.h"
#include "quotacredit_p.h"
#include "quotagroups_p.h"
#include "quotaowner_p.h"

namespace fulmarledge {

namespace {

constexpr double kMsPerSecond = 1000;
/// Bits of an identifier. In Thrift's compact protocol they take 6 bytes, and two of 10,000 organisations have the same
/// one with a probability of 1 in 40,000.
constexpr unsigned kIdBits = 41;
/// Time after which an owner is asked again. It doubles with each request that stays without an answer.
constexpr TimeMs kResendMs = 60;
constexpr std::uint32_t kMaxResendShift = 3;
/// Requests without an answer after which waiting requests are refused for a time.
constexpr std::uint32_t kMaxUnanswered = 3;
constexpr TimeMs kSilentOwnerPauseMs = 500;
/// Time over which the demand is averaged.
constexpr double kDemandMs = 4000;
/// Credit that a node wants, as time of its demand. The wishes of all nodes together must stay below the burst and the
/// standing part of the extra requests; with 1.5 s, large organisations at 0.9 of their limit ran dry.
constexpr double kAheadS = 1.2;
/// Period of requests for credit ahead of need, for all organisations of an owner that have less than a part of what
/// this node wants. A message costs more than a further organisation in it.
constexpr TimeMs kAheadPeriodMs = 1500;
constexpr double kLowPart = 0.8;
/// Part below which an organisation joins a request that is sent for another one.
constexpr double kTopUpPart = 0.95;
/// Demand assumed of an organisation that starts to send to this node, per second.
constexpr double kFirstDemandPerS = 1;
/// Credit asked for ahead for each request that has found none.
constexpr double kAheadPerNeeded = 2;
/// Least credit worth asking for ahead. Less would mostly expire unused.
constexpr double kMinAhead = 0.8;
/// Time between two requests for credit ahead of need for one organisation, after some was granted and after none was.
constexpr TimeMs kAheadPauseMs = 500;
constexpr TimeMs kNoAheadPauseMs = 1000;
/// Organisations in one message, so that it fits into a datagram.
constexpr std::size_t kMaxAsked = 64;
/// A gap between ticks that means that the process was paused.
constexpr TimeMs kPauseMs = 2000;
/// Slowest rate of admissions assumed for retry times, per second.
constexpr double kMinPromisePerS = 0.5;
constexpr TimeMs kMaxAskAgeMs = 2000;

void dropCredit(QuotaSlot &slot)
{
    std::uint64_t credit = slot.credit.load(std::memory_order_relaxed);
    while (tokensOf(credit) > 0
           && !slot.credit.compare_exchange_weak(credit, credit - tokensOf(credit), std::memory_order_relaxed)) {
    }
}

/// Credit that covers the demand of the next seconds.
double aheadTarget(const QuotaSlot &slot)
{
    const double expected = slot.demandPerS * kAheadS;
    return expected + std::sqrt(expected); // a standard deviation more, for requests that come at random
}

/// Whether less than a part of the credit ahead of need is left.
bool isBelow(const QuotaSlot &slot, double part, TimeMs now)
{
    const double target = aheadTarget(slot);
    if (target < kMinAhead || now < slot.aheadFrom) {
        return false;
    }
    const bool hasExpired = now >= slot.expiresAt.load(std::memory_order_relaxed);
    const double held = hasExpired ? 0 : tokensOf(slot.credit.load(std::memory_order_relaxed));
    return held < target * part;
}

bool mayAsk(const QuotaSlot &slot, TimeMs now)
{
    return !slot.isAsked && now >= slot.pausedUntil.load(std::memory_order_relaxed);
}

} // namespace

std::int64_t quotaId(std::string_view organisation)
{
    return static_cast<std::int64_t>(XXH3_64bits(organisation.data(), organisation.size()) >> (64 - kIdBits));
}

QuotaLimiter::QuotaLimiter(const QuotaSettings &settings, const MemberView &members, PeerTransport &transport,
                           RandomSource &random, MetricsSink &metrics, EventLog &log, std::function<void()> onNeeded)
    : m_settings(settings)
    , m_members(members)
    , m_transport(transport)
    , m_random(random)
    , m_metrics(metrics)
    , m_log(log)
    , m_onNeeded(std::move(onNeeded))
    , m_table(std::make_shared<QuotaTable>())
    , m_groups(std::make_unique<QuotaGroups>(settings.groups, settings.windowMs, members))
    , m_owner(std::make_unique<QuotaOwner>(settings, *m_groups))
    , m_nextSequence(static_cast<std::int32_t>(random.below(1U << 30U)))
{
}

QuotaLimiter::~QuotaLimiter() = default;

void QuotaLimiter::start(TimeMs now)
{
    m_lastTickMs = now;
    m_groups->start(now);
}

std::shared_ptr<const QuotaTable> QuotaLimiter::setLimits(std::span<const QuotaLimit> limits, TimeMs now)
{
    auto table = std::make_shared<QuotaTable>();
    table->m_touched = std::vector<std::atomic<std::uint64_t>>(limits.size() / kBitsPerWord + 1);
    std::map<std::string, std::shared_ptr<QuotaSlot>, std::less<>> slots;
    for (const QuotaLimit &limit : limits) {
        if (!m_settings.isEnabled() || limit.ratePerS <= 0) {
            table->m_slots.push_back(nullptr);
            continue;
        }
        const auto known = m_slotsByName.find(limit.organisation);
        std::shared_ptr<QuotaSlot> slot = known != m_slotsByName.end() ? known->second : std::make_shared<QuotaSlot>();
        slot->organisation = limit.organisation;
        slot->id = quotaId(limit.organisation);
        slot->group = static_cast<std::uint32_t>(static_cast<std::uint64_t>(slot->id)
                                                 % std::max<std::uint32_t>(m_settings.groups, 1));
        const bool isLowered = limit.ratePerS < slot->ratePerS.load(std::memory_order_relaxed)
            || limit.burst < slot->burst.load(std::memory_order_relaxed);
        slot->ratePerS.store(limit.ratePerS, std::memory_order_relaxed);
        slot->burst.store(limit.burst, std::memory_order_relaxed);
        if (isLowered) {
            dropCredit(*slot); // it was granted under the higher limit
        }
        updateLocalCap(*slot);
        m_owner->setLimit(*slot, now);
        slots.emplace(limit.organisation, slot);
        table->m_slots.push_back(std::move(slot));
    }
    for (const auto &[name, slot] : m_slotsByName) {
        if (!slots.contains(name)) {
            m_owner->removeLimit(slot->id);
        }
    }
    m_slotsByName = std::move(slots);
    m_formerTable = std::exchange(m_table, table);
    return table;
}

void QuotaLimiter::checkPause(TimeMs now)
{
    if (now - m_lastTickMs > kPauseMs) {
        m_groups->onPause(now);
        m_owner->onPause();
        m_lastTickMs = now;
        m_metrics.count("quota-pauses", "", 1);
    }
}

void QuotaLimiter::onTick(TimeMs now)
{
    if (!m_settings.isEnabled()) {
        return;
    }
    checkPause(now);
    const TimeMs elapsedMs = now - m_lastTickMs;
    m_lastTickMs = now;
    m_groups->update(now);
    m_owner->onTick(now);
    sendClaims(now);
    const std::size_t nodes = m_groups->isYoung(now) ? 0 : m_groups->peakMembers();
    if (nodes != m_localCapNodes) {
        m_localCapNodes = nodes;
        for (const auto &[name, slot] : m_slotsByName) {
            updateLocalCap(*slot);
        }
    }
    flush(now);
    for (const auto &slot : m_active) {
        updateDemand(*slot, elapsedMs, now);
        reportExcess(*slot, now);
    }
    std::erase_if(m_active, [this, now](const std::shared_ptr<QuotaSlot> &slot) {
        slot->isActive = slot->isAsked || slot->isExceeded || now - slot->lastDemandAt < m_settings.windowMs;
        return !slot->isActive;
    });
}

void QuotaLimiter::flush(TimeMs now)
{
    m_isFlushWanted.store(false, std::memory_order_release);
    collectTouched(*m_table);
    if (m_formerTable) {
        collectTouched(*m_formerTable);
    }
    expireAsks(now);
    ask(now);
}

void QuotaLimiter::collectTouched(const QuotaTable &table)
{
    for (std::size_t i = 0; i < table.m_touched.size(); ++i) {
        if (table.m_touched[i].load(std::memory_order_relaxed) == 0) {
            continue;
        }
        std::uint64_t bits = table.m_touched[i].exchange(0, std::memory_order_acquire);
        for (; bits != 0; bits &= bits - 1) {
            const auto &slot = table.m_slots[i * kBitsPerWord + static_cast<std::size_t>(__builtin_ctzll(bits))];
            if (!slot->isActive) {
                slot->isActive = true;
                slot->demandPerS = kFirstDemandPerS;
                m_active.push_back(slot);
            }
        }
    }
}

void QuotaLimiter::updateDemand(QuotaSlot &slot, TimeMs elapsedMs, TimeMs now)
{
    const std::uint32_t requests = slot.demand.exchange(0, std::memory_order_relaxed);
    if (requests > 0) {
        slot.lastDemandAt = now;
    }
    if (elapsedMs <= 0) {
        return;
    }
    const double weight = 1 - std::exp(-static_cast<double>(elapsedMs) / kDemandMs);
    const double elapsedS = static_cast<double>(elapsedMs) / kMsPerSecond;
    slot.demandPerS += (requests / elapsedS - slot.demandPerS) * weight;
    const std::uint64_t admitted = slot.admitted.load(std::memory_order_relaxed);
    const auto newlyAdmitted = static_cast<double>(admitted - std::exchange(slot.admittedSeen, admitted));
    slot.admittedPerS += (newlyAdmitted / elapsedS - slot.admittedPerS) * weight;
    slot.promiseMs.store(
        static_cast<std::uint32_t>(std::ceil(kMsPerSecond / std::max(slot.admittedPerS, kMinPromisePerS))),
        std::memory_order_relaxed);
}

void QuotaLimiter::reportExcess(QuotaSlot &slot, TimeMs now)
{
    const std::uint64_t refused = slot.refused.load(std::memory_order_relaxed);
    const std::uint64_t more = refused - std::exchange(slot.refusedSeen, refused);
    if (more > 0) {
        slot.lastRefusedAt = now;
        if (!slot.isExceeded) {
            slot.isExceeded = true;
            const Member *owner = m_groups->owner(slot.group);
            m_log.event("quota-exceeded",
                        "organisation=" + slot.organisation
                            + " rate_per_s=" + std::to_string(slot.ratePerS.load(std::memory_order_relaxed))
                            + " owner=" + (owner != nullptr ? owner->host : std::string("none"))
                            + " unanswered=" + std::to_string(slot.unanswered));
        }
    } else if (slot.isExceeded && now - slot.lastRefusedAt >= m_settings.windowMs) {
        slot.isExceeded = false;
        m_log.event("quota-excess-over",
                    "organisation=" + slot.organisation + " refused_total=" + std::to_string(refused));
    }
}

void QuotaLimiter::expireAsks(TimeMs now)
{
    for (auto it = m_asks.begin(); it != m_asks.end();) {
        Ask &pending = it->second;
        std::uint32_t unanswered = 0;
        for (const auto &slot : pending.slots) {
            unanswered = std::max(unanswered, slot->unanswered);
        }
        if (!pending.isOverdue && now - pending.sentAt >= kResendMs << std::min(unanswered, kMaxResendShift)) {
            pending.isOverdue = true;
            m_metrics.count("quota-requests-unanswered", "", 1);
            for (const auto &slot : pending.slots) {
                if (!slot->isAsked || slot->askedSequence != it->first) {
                    continue;
                }
                slot->isAsked = false;
                slot->unmet.fetch_add(slot->neededReported, std::memory_order_relaxed);
                if (++slot->unanswered >= kMaxUnanswered) {
                    slot->pausedUntil.store(now + kSilentOwnerPauseMs, std::memory_order_relaxed);
                }
            }
        }
        it = now - pending.sentAt >= kMaxAskAgeMs ? m_asks.erase(it) : std::next(it);
    }
}

void QuotaLimiter::ask(TimeMs now)
{
    // Credit ahead of need is asked for once in a period for all organisations of an owner, because a message costs
    // more than a further organisation in it.
    const bool isAheadDue = now >= m_aheadAt;
    std::map<std::string_view, std::pair<const Member *, std::vector<std::shared_ptr<QuotaSlot>>>> byOwner;
    for (const auto &slot : m_active) {
        if (mayAsk(*slot, now)
            && (slot->unmet.load(std::memory_order_relaxed) > 0 || (isAheadDue && isBelow(*slot, kLowPart, now)))) {
            if (const Member *owner = m_groups->owner(slot->group)) {
                byOwner[owner->host].first = owner;
            }
        }
    }
    if (byOwner.empty()) {
        return;
    }
    if (isAheadDue) {
        m_aheadAt = now + kAheadPeriodMs;
    }
    for (const auto &slot : m_active) {
        const Member *owner = m_groups->owner(slot->group);
        const auto found = owner != nullptr ? byOwner.find(owner->host) : byOwner.end();
        if (found != byOwner.end() && mayAsk(*slot, now) && found->second.second.size() < kMaxAsked
            && (slot->unmet.load(std::memory_order_relaxed) > 0 || isBelow(*slot, kTopUpPart, now))) {
            found->second.second.push_back(slot);
        }
    }
    for (auto &[host, destination] : byOwner) {
        sendAsk(*destination.first, std::move(destination.second), now);
    }
}

void QuotaLimiter::sendAsk(const Member &owner, std::vector<std::shared_ptr<QuotaSlot>> slots, TimeMs now)
{
    wire::QuotaRequest request;
    request.sequence = ++m_nextSequence;
    for (const auto &slot : slots) {
        if (now >= slot->expiresAt.load(std::memory_order_relaxed)) {
            dropCredit(*slot);
        }
        const std::uint64_t credit = slot->credit.load(std::memory_order_relaxed);
        slot->heldReported = tokensOf(credit);
        slot->neededReported = slot->unmet.exchange(0, std::memory_order_relaxed);
        // Until an answer shows that the owner has counted them, used requests are reported again. Otherwise the owner
        // would take credit that was used for credit that was lost.
        slot->usedAsked = usedOf(credit);
        const std::uint32_t used = slot->usedAsked - slot->usedReported;
        // Requests that found no credit will often be followed by more, so that credit ahead of need comes with theirs.
        const bool wantsAhead = slot->neededReported > 0 || isBelow(*slot, 1, now);
        const double target = std::max(aheadTarget(*slot), kAheadPerNeeded * slot->neededReported);
        const double ahead = wantsAhead ? std::max(target - slot->heldReported, 0.0) : 0;
        request.organisations.push_back(slot->id);
        request.held.push_back(static_cast<std::int32_t>(slot->heldReported));
        request.used.push_back(static_cast<std::int32_t>(used));
        request.needed.push_back(static_cast<std::int32_t>(slot->neededReported));
        request.ahead.push_back(static_cast<std::int32_t>(std::ceil(ahead)));
        slot->isAsked = true;
        slot->askedSequence = request.sequence;
    }
    m_asks[request.sequence] = {owner.host, now, false, std::move(slots)};
    m_metrics.count("quota-messages", "request", 1);
    wire::Envelope message;
    message.header.host = m_members.self().host;
    message.__set_quotaRequest(request);
    m_transport.send(owner.control, message);
}

bool QuotaLimiter::onMessage(TimeMs now, const wire::Envelope &message)
{
    if (!message.__isset.quotaRequest && !message.__isset.quotaGrant) {
        return false;
    }
    if (m_settings.isEnabled()) {
        checkPause(now);
        if (message.__isset.quotaRequest) {
            onRequest(now, message);
        } else {
            onGrant(now, message);
        }
    }
    return true;
}

void QuotaLimiter::onRequest(TimeMs now, const wire::Envelope &message)
{
    if (message.quotaRequest.__isset.claimed) {
        onClaim(now, message);
        return;
    }
    const Member *sender = m_members.find(message.header.host);
    if (sender == nullptr) {
        m_metrics.count("quota-messages", "unknown-sender", 1);
        return;
    }
    const auto grant = m_owner->onRequest(now, message.header.host, message.quotaRequest);
    if (!grant) {
        m_metrics.count("quota-messages", "repeated", 1);
        return;
    }
    m_metrics.count("quota-messages", "grant", 1);
    wire::Envelope answer;
    answer.header.host = m_members.self().host;
    answer.__set_quotaGrant(*grant);
    m_transport.send(sender->control, answer);
}

void QuotaLimiter::sendClaims(TimeMs now)
{
    for (std::uint32_t group = 0; group < m_groups->count(); ++group) {
        if (const auto former = m_groups->claimDue(group, now)) {
            sendClaim(*former, group);
        }
    }
}

void QuotaLimiter::sendClaim(const SocketAddress &to, std::uint32_t group)
{
    wire::Envelope message;
    message.header.host = m_members.self().host;
    message.header.address = m_members.self().control.ip;
    message.header.controlPort = m_members.self().control.port;
    message.__isset.quotaRequest = true;
    message.quotaRequest.__set_claimed({static_cast<std::int32_t>(group)});
    m_metrics.count("quota-messages", "claim", 1);
    m_transport.send(to, message);
}

void QuotaLimiter::onClaim(TimeMs now, const wire::Envelope &message)
{
    const wire::QuotaRequest &request = message.quotaRequest;
    for (const std::int32_t group : request.claimed) {
        // An answer to an answer would go on for ever.
        if (m_groups->onClaim(static_cast<std::uint32_t>(group), now) && request.sequence == 0) {
            m_metrics.count("quota-contentions", "", 1);
            wire::Envelope answer;
            answer.header.host = m_members.self().host;
            answer.__isset.quotaRequest = true;
            answer.quotaRequest.sequence = 1;
            answer.quotaRequest.__set_claimed({group});
            m_transport.send({message.header.address, static_cast<std::uint16_t>(message.header.controlPort)}, answer);
        }
    }
}

void QuotaLimiter::onGrant(TimeMs now, const wire::Envelope &message)
{
    const wire::QuotaGrant &grant = message.quotaGrant;
    const auto found = m_asks.find(grant.sequence);
    if (found == m_asks.end() || found->second.host != message.header.host
        || grant.granted.size() != found->second.slots.size() || grant.pauseMs.size() != grant.granted.size()) {
        m_metrics.count("quota-messages", "late-grant", 1);
        return;
    }
    const Ask answered = std::move(found->second);
    m_asks.erase(found);
    for (std::size_t i = 0; i < answered.slots.size(); ++i) {
        QuotaSlot &slot = *answered.slots[i];
        if (slot.askedSequence == grant.sequence) {
            applyGrant(slot, grant.granted[i], grant.pauseMs[i], answered.sentAt, now);
        }
    }
}

void QuotaLimiter::applyGrant(QuotaSlot &slot, std::int32_t granted, std::int32_t pauseMs, TimeMs sentAt, TimeMs now)
{
    slot.isAsked = false;
    slot.unanswered = 0;
    slot.usedReported = slot.usedAsked;
    slot.aheadFrom = now + (granted > 0 ? kAheadPauseMs : kNoAheadPauseMs);
    if (pauseMs > 0) {
        // Spread, so that the nodes do not all ask at the same time.
        const auto spread = static_cast<TimeMs>(m_random.below(static_cast<std::uint64_t>(pauseMs) / 2 + 1));
        slot.pausedUntil.store(now + pauseMs + spread, std::memory_order_relaxed);
    }
    // The owner counts the credit as held for a window from the arrival of the request, which is later than `sentAt`.
    const TimeMs expiresAt = sentAt + m_settings.windowMs;
    if (granted <= 0 || now >= expiresAt) {
        return;
    }
    if (now >= slot.expiresAt.load(std::memory_order_relaxed)) {
        dropCredit(slot);
    }
    slot.ceiling.store(slot.heldReported + static_cast<std::uint32_t>(granted), std::memory_order_relaxed);
    slot.credit.fetch_add(static_cast<std::uint64_t>(granted), std::memory_order_relaxed);
    slot.expiresAt.store(expiresAt, std::memory_order_release);
}

void QuotaLimiter::updateLocalCap(QuotaSlot &slot) const
{
    // A request may use the allowances of two windows of a node that lie in one window of the fleet.
    if (m_localCapNodes == 0) {
        slot.localCap.store(0, std::memory_order_relaxed);
        return;
    }
    const auto nodes = static_cast<double>(m_localCapNodes);
    const double local = quotaExtra(m_settings, slot.ratePerS.load(std::memory_order_relaxed),
                                    slot.burst.load(std::memory_order_relaxed))
                             .local;
    const double cap = local / (2 * nodes);
    // Some nodes get one more, chosen by hash, so that the sum over all nodes is right.
    const std::uint64_t hash = rendezvousWeight(slot.organisation, m_members.self().host);
    const bool isChosen = static_cast<double>(hash) < std::ldexp(cap - std::floor(cap), 64);
    slot.localCap.store(static_cast<std::uint32_t>(cap) + (isChosen ? 1U : 0U), std::memory_order_relaxed);
}

std::vector<QuotaState> QuotaLimiter::states() const
{
    std::vector<QuotaState> result;
    for (const auto &[name, slot] : m_slotsByName) {
        const Member *owner = m_groups->owner(slot->group);
        result.push_back({name, slot->ratePerS.load(std::memory_order_relaxed),
                          slot->burst.load(std::memory_order_relaxed), slot->isActive ? slot->admittedPerS : 0,
                          owner != nullptr ? owner->host : std::string(),
                          slot->admitted.load(std::memory_order_relaxed), slot->refused.load(std::memory_order_relaxed),
                          slot->returned.load(std::memory_order_relaxed)});
    }
    return result;
}

} // namespace fulmarledge
