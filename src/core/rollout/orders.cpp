#include <algorithm>
#include <array>
#include <utility>
#include <xxhash.h>

#include "rollout/control_p.h"

namespace fulmarledge {

namespace {

/// Members that may read the orders. The first reads, and each next one only if it does not hear of a read.
constexpr std::size_t kReaders = 6;
/// Period of the reads that the fleet shares. With the spread of a change, an order is known everywhere within 1 s.
constexpr TimeMs kReadPeriodMs = 600;
/// Time by which each reader waits longer than the one before it.
constexpr TimeMs kReadStaggerMs = 150;
/// A healthy platform answers within milliseconds. A later answer is still used.
constexpr TimeMs kReadTimeoutMs = 1500;
constexpr TimeMs kReadRetryMs = 300;
/// Largest duration of an order that fits into a message, in ms.
constexpr TimeMs kMaxDurationMs = 2000000000;

} // namespace

void RolloutControl::Private::updateReaders()
{
    if (m_now - m_rankedAt < 1000 && m_members.liveCount() == m_rankedCount) {
        return;
    }
    // The first of each zone come before the second ones, so that a zone that is cut off has a reader of its own.
    std::vector<std::pair<std::size_t, std::pair<std::uint64_t, std::string>>> ranked;
    for (const std::string &zone : m_members.zones()) {
        std::vector<std::pair<std::uint64_t, std::string>> ofZone;
        for (const Member &member : m_members.zoneMembers(zone)) {
            ofZone.emplace_back(rendezvousWeight(kRolloutKind, member.host), member.host);
        }
        const std::size_t count = std::min(kReaders, ofZone.size());
        std::partial_sort(ofZone.begin(), ofZone.begin() + static_cast<std::ptrdiff_t>(count), ofZone.end(),
                          std::greater<>());
        for (std::size_t i = 0; i < count; ++i) {
            ranked.emplace_back(i, std::move(ofZone[i]));
        }
    }
    std::sort(ranked.begin(), ranked.end());
    m_readers.clear();
    for (std::size_t i = 0; i < std::min(kReaders, ranked.size()); ++i) {
        m_readers.push_back(std::move(ranked[i].second.second));
    }
}

void RolloutControl::Private::readOrders()
{
    if (m_isReading && m_now - m_readStartedAt >= kReadTimeoutMs) {
        m_isReading = false;
        m_nextReadAt = m_now + kReadRetryMs;
    }
    const auto position = std::find(m_readers.begin(), m_readers.end(), m_members.self().host);
    if (!m_isSynced || m_isReading || m_now < m_nextReadAt || (position == m_readers.end() && !m_isReadNeeded)) {
        return;
    }
    const auto rank = static_cast<TimeMs>(position - m_readers.begin());
    const bool isDue = m_ordersReadAt == 0 || m_now - m_ordersReadAt >= kReadPeriodMs + rank * kReadStaggerMs;
    if (!isDue && !m_isReadNeeded) {
        return;
    }
    // A node that knows no other member reads rarely, because the whole fleet may have just started.
    const bool isAlone = m_members.liveCount() <= 1;
    m_isReading = true;
    m_readStartedAt = m_now;
    m_nextReadAt = m_now + (isAlone ? std::max(m_aloneReadPeriodMs, kReadPeriodMs) : kReadRetryMs);
    m_platform.list(kRolloutKind, [this, alive = std::weak_ptr<char>(m_alive)](const StoreReply &reply) {
        if (!alive.expired()) {
            onOrders(reply);
        }
    });
}

void RolloutControl::Private::onOrders(const StoreReply &reply)
{
    m_isReading = false;
    m_metrics.count("rollout-reads", storeStatusName(reply.status), 1);
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotFound) {
        m_nextReadAt = std::max(m_nextReadAt, m_now + kReadRetryMs + std::max<TimeMs>(reply.retryAfterMs, 0));
        return;
    }
    m_isReadNeeded = false;
    m_ordersReadAt = m_now;
    std::vector<std::string> changed;
    for (const StoreObject &object : reply.objects) {
        LastReason error;
        const auto order = RolloutOrder::parse(object.value, error);
        const auto known = m_services.find(object.name);
        const std::int64_t knownRevision = known == m_services.end() ? 0 : known->second.revision;
        if (!order || order->service != object.name || order->durationMs > kMaxDurationMs) {
            if (object.version > knownRevision) {
                Service &service = m_services[object.name];
                service.name = object.name;
                service.revision = object.version;
                m_metrics.count("rollout-orders-refused", "", 1);
                event("rollout-order-refused", service,
                      "reason=\"" + (order ? "service: differs from the name of the order" : error.text()) + "\"");
            }
        } else if (applyObject(*order, RolloutStatus::parse(object.status), object.version)) {
            changed.push_back(object.name);
        }
    }
    if (!changed.empty()) {
        spreadRecords(changed);
    }
    // The other readers need not read for a period.
    wire::RolloutState state;
    state.__set_readAgeMs(0);
    wire::Envelope message;
    message.__set_rolloutState(state);
    for (const std::string &host : m_readers) {
        const Member *member = m_members.find(host);
        if (member != nullptr && host != m_members.self().host) {
            m_peers.send(member->control, message);
        }
    }
}

bool RolloutControl::Private::applyObject(const RolloutOrder &order, const RolloutStatus &status, std::int64_t revision)
{
    Service &service = m_services[order.service];
    service.name = order.service;
    if (revision <= service.revision) {
        return false;
    }
    service.revision = revision;
    const bool isAnswered = status.target == order.target && status.state != RolloutState::None;
    const bool isSameOrder = service.orderId != 0 && service.order == order;
    const bool wasRunning = service.state == RolloutState::Running;
    if (!isAnswered || status.state == RolloutState::Running) {
        if (!(wasRunning && isSameOrder)) {
            // Only an order whose start no node has seen is running already when it is first read.
            const bool isStartKnown = !isAnswered || service.orderId != 0;
            beginOrder(service, order, revision, m_now);
            service.isStartKnown = isStartKnown;
        }
        service.isAcknowledged = isAnswered;
    } else if (!wasRunning && isSameOrder && service.state == status.state) {
        // The operator has written the same order again. Done, it needs no second rollout.
        if (status.state == RolloutState::RolledBack) {
            beginOrder(service, order, revision, m_now);
        }
    } else {
        if (!isSameOrder) {
            service.order = order;
            service.orderId = revision;
        }
        endOrder(service, status.state);
    }
    return true;
}

void RolloutControl::Private::beginOrder(Service &service, const RolloutOrder &order, std::int64_t id, TimeMs orderedAt)
{
    service.order = order;
    service.orderId = id;
    service.orderedAt = orderedAt;
    service.state = RolloutState::Running;
    service.isAcknowledged = false;
    service.isStartKnown = true;
    service.split = std::make_shared<VersionSplit>(m_random.below(std::uint64_t{1} << 62U));
    service.term = 0;
    service.sequence = 0;
    service.step = wire::RolloutStep::Trial;
    service.shareMillionths = 0;
    service.splitAt = 0;
    service.coordinatorHost.clear();
    service.coordinator.reset();
    service.candidates.clear();
    service.isActing = false;
    service.nextWriteAt = 0;
    service.failedWrites = 0;
    service.loggedResult = RolloutState::None;
    service.result.clear();
    if (service.name == m_ownService && m_guard != nullptr) {
        service.baseline = m_guard->outcomes();
    }
    m_metrics.count("rollout-orders", "", 1);
    event("rollout-ordered", service,
          "duration_ms=" + std::to_string(order.durationMs) + " age_ms=" + std::to_string(m_now - orderedAt));
}

void RolloutControl::Private::endOrder(Service &service, RolloutState state)
{
    if (service.split) {
        service.split->stop();
    }
    service.state = state;
    service.isActing = false;
    service.shareMillionths = 0;
    service.result = service.coordinator ? service.coordinator->reason() : std::string();
    m_metrics.count("rollout-results", rolloutStateName(state), 1);
    event("rollout-ended", service, "state=" + std::string(rolloutStateName(state)));
    if (state == RolloutState::Done && service.inForce != service.order.target) {
        changeVersionInForce(service, service.order.target, "rollout");
    } else if (state == RolloutState::Done && service.inForceChanges == 0) {
        changeVersionInForce(service, service.order.target, "stored");
    }
}

wire::RolloutRecord RolloutControl::Private::toRecord(const Service &service) const
{
    wire::RolloutRecord record;
    record.serviceName = service.name;
    record.inForce = service.inForce;
    record.inForceChanges = service.inForceChanges;
    record.inForceAgeMs = m_now - service.inForceSince;
    record.revision = service.revision;
    record.order = service.orderId;
    record.target = service.order.target;
    record.durationMs = static_cast<std::int32_t>(service.order.durationMs);
    record.state = static_cast<wire::RolloutOrderState::type>(service.state);
    record.orderAgeMs = !service.isStartKnown ? -1 : service.orderId == 0 ? 0 : m_now - service.orderedAt;
    return record;
}

bool RolloutControl::Private::mergeRecord(const wire::RolloutRecord &record)
{
    const auto state = static_cast<RolloutState>(
        std::clamp<std::int32_t>(record.state, 0, static_cast<std::int32_t>(RolloutState::RolledBack)));
    Service &service = m_services[record.serviceName];
    service.name = record.serviceName;
    bool changed = false;
    const bool isNewer = record.revision > service.revision;
    const TimeMs orderedAt = m_now - std::max<std::int64_t>(record.orderAgeMs, 0);
    if (isNewer && record.order != 0) {
        const RolloutOrder order{record.serviceName, record.target, record.durationMs};
        if (state == RolloutState::Running) {
            if (service.state != RolloutState::Running || service.orderId != record.order || service.order != order) {
                beginOrder(service, order, record.order, orderedAt);
                service.isStartKnown = record.orderAgeMs >= 0;
            }
        } else if (service.state != state || service.orderId != record.order) {
            service.order = order;
            service.orderId = record.order;
            endOrder(service, state);
        }
        service.revision = record.revision;
        changed = true;
    } else if (record.order != 0 && state == RolloutState::Running && service.state == RolloutState::Running
               && service.order.target == record.target) {
        if (record.revision == service.revision && record.order < service.orderId) {
            // Two readers have seen the order at different revisions. All nodes use the lower number.
            const bool isStartKnown = service.isStartKnown || record.orderAgeMs >= 0;
            const RolloutOrder order = service.order;
            beginOrder(service, order, record.order, std::min(orderedAt, service.orderedAt));
            service.isStartKnown = isStartKnown;
            changed = true;
        } else if (record.order == service.orderId && record.orderAgeMs >= 0) {
            service.orderedAt = std::min(service.orderedAt, orderedAt);
            service.isStartKnown = true;
        }
    }
    // After the order, because its end has changed the version in force here too.
    const bool isOlder = record.inForceAgeMs > m_now - service.inForceSince;
    if (record.inForceChanges > service.inForceChanges
        || (record.inForceChanges > 0 && record.inForceChanges == service.inForceChanges
            && record.inForce != service.inForce && isOlder)) {
        changed = changed || record.inForce != service.inForce;
        service.inForce = record.inForce;
        service.inForceChanges = record.inForceChanges;
        service.inForceSince = m_now - record.inForceAgeMs;
        service.inForceUsableAt = m_now;
    }
    return changed;
}

std::int64_t RolloutControl::Private::recordsHash() const
{
    std::uint64_t hash = 0;
    for (const auto &[name, service] : m_services) {
        if (service.inForceChanges == 0 && service.revision == 0) {
            continue;
        }
        hash = XXH3_64bits_withSeed(name.data(), name.size(), hash);
        hash = XXH3_64bits_withSeed(service.inForce.data(), service.inForce.size(), hash);
        const std::array<std::int64_t, 4> numbers{service.inForceChanges, service.revision, service.orderId,
                                                  static_cast<std::int64_t>(service.state)};
        hash = XXH3_64bits_withSeed(numbers.data(), sizeof numbers, hash);
    }
    return static_cast<std::int64_t>(hash);
}

} // namespace fulmarledge
