#include <bit>

#include "membership_p.h"

namespace fulmarledge {

namespace {

// Limits the work of one tick when a whole zone fails.
constexpr int kMaxExpiredPerTick = 64;
// Extra probes of tombstones for each dead member that came back. More than 1, so that the whole zone is found when a
// zone becomes reachable again.
constexpr int kProbesPerRevival = 4;
constexpr int kMaxRevivalProbes = 64;
// Most leaving backend servers stored, about 100 bytes each. Enough for the hosts of several data centres at the size
// planned for in two years.
constexpr std::size_t kMaxLeaving = 4096;

bool isUrgent(const wire::HostRecord &record)
{
    return record.state == wire::HostState::Draining || record.state == wire::HostState::Left;
}

} // namespace

void Membership::Private::merge(const wire::HostRecord &received, RecordSource source)
{
    if (!isValidRecord(received)) {
        metrics.count("membership_records_refused", "invalid", 1);
        return;
    }
    wire::HostRecord record = received;
    if (record.host == self().host) {
        mergeLocalRecord(record);
        return;
    }
    const std::uint32_t slot = table.find(memberHash(record.host));
    if (slot == kNoSlot) {
        // Tombstones of unknown hosts are not accepted, or they would circulate between the nodes for ever.
        if (isLive(record) && table.records().size() < settings.maxMembers) {
            // Records fetched with the table are already known to others and are not gossiped.
            applyRecord(record, source != RecordSource::Table);
        }
        return;
    }
    const wire::HostRecord &current = table.record(slot);
    if (current.host != record.host) {
        metrics.count("membership_records_refused", "hash-collision", 1);
        return;
    }
    if (record.liveness == wire::Liveness::Dead && source != RecordSource::Gossip && isLive(current)
        && record.state != wire::HostState::Left) {
        // After a partition the other side's table declares all hosts of this side dead. As a suspect each host has
        // time to refute and stays in the routing tables meanwhile.
        record.liveness = wire::Liveness::Suspect;
    }
    if (supersedes(record, current)) {
        applyRecord(record);
    }
}

void Membership::Private::storeLeaving(const wire::HostRecord &record)
{
    if (!record.__isset.leavingInstance) {
        return;
    }
    if (leavingByHost.size() >= kMaxLeaving && !leavingByHost.contains(record.host)) {
        leavingByHost.erase(leavingByHost.begin());
        metrics.count("membership_leaving_forgotten", "", 1);
    }
    leavingByHost.insert_or_assign(record.host, LeavingBackend{record.leavingInstance, record.leavingBornMs});
}

void Membership::Private::applyRecord(const wire::HostRecord &record, bool gossip)
{
    storeLeaving(record);
    const std::uint32_t knownSlot = table.find(memberHash(record.host));
    const bool wasLive = knownSlot != kNoSlot && isLive(table.record(knownSlot));
    const bool wasDead = knownSlot != kNoSlot && table.record(knownSlot).liveness == wire::Liveness::Dead;
    const bool changed = knownSlot == kNoSlot || wasLive != isLive(record)
        || contentHash(table.record(knownSlot)) != contentHash(record);
    // A host whose joins are still refused fetches the table from the members that it learns of.
    fetchingTable = fetchingTable || !joined;
    const std::uint32_t slot = table.set(record);
    HostEntry &entry = table.entry(slot);
    revision += changed ? 1 : 0;
    if (!isLive(record)) {
        tombstoneDeadlines.push({now + settings.tombstoneRetentionMs, entry.hash});
        entry.deadline = now + settings.tombstoneRetentionMs;
        if (wasLive) {
            const bool left = record.state == wire::HostState::Left;
            countAndLog(left ? "membership_left" : "membership_deaths", left ? "host-left" : "host-dead", record.host);
        }
    } else if (record.liveness == wire::Liveness::Suspect) {
        metrics.count("membership_suspicions", "", 1);
        entry.deadline = now + suspicionTimeout(record);
        suspicionDeadlines.push({entry.deadline, entry.hash});
    } else if (wasDead) {
        countAndLog("membership_revivals", "host-alive", record.host);
        pendingRevivalProbes = std::min(pendingRevivalProbes + kProbesPerRevival, kMaxRevivalProbes);
    }
    metrics.gauge("membership_live_members", "", static_cast<double>(table.live().size() + 1));
    if (gossip) {
        queueUpdate(slot);
    }
}

void Membership::Private::mergeLocalRecord(const wire::HostRecord &record)
{
    const wire::HostRecord &own = self();
    const bool same = record.incarnation == own.incarnation && record.liveness == wire::Liveness::Alive
        && contentHash(record) == contentHash(own);
    if (!started || record.incarnation < own.incarnation || same) {
        return;
    }
    if (record.liveness != wire::Liveness::Alive) {
        metrics.count("membership_refutations", "", 1);
        log.event("refuted", record.liveness == wire::Liveness::Dead ? "said=dead" : "said=suspect");
        adjustLocalHealth(1);
    }
    wire::HostRecord raised = own;
    raised.incarnation = record.incarnation + 1;
    table.set(raised);
    queueUpdate(0);
}

void Membership::Private::setLiveness(std::uint32_t slot, wire::Liveness::type liveness)
{
    wire::HostRecord record = table.record(slot);
    record.liveness = liveness;
    applyRecord(record);
}

void Membership::Private::queueUpdate(std::uint32_t slot)
{
    const bool urgent = isUrgent(table.record(slot)) && table.record(slot).liveness == wire::Liveness::Alive;
    updates.push(table, slot, urgent);
}

// The transport puts the newest records into these empty messages by fillUpdates().
void Membership::Private::sendBurst(int fanout)
{
    const std::span<const std::uint32_t> live = table.live();
    const auto count = std::min<std::size_t>(static_cast<std::size_t>(fanout), live.size());
    // Consecutive members from a random position of the shuffled probe order are distinct and random.
    const std::size_t first = live.empty() ? 0 : random.below(live.size());
    for (std::size_t i = 0; i < count; ++i) {
        transport.send(controlAddress(table.record(live[(first + i) % live.size()])), wire::Envelope{});
    }
}

// Sends bursts until each queued record has been sent as often as the fan-out. Records that do not fit into one burst
// follow in the next.
void Membership::Private::burstTick()
{
    const auto sends = static_cast<std::uint32_t>(settings.gossipFanout);
    if (updates.nextSentFewerThan(true, sends)
        || (updates.nextSentFewerThan(false, sends) && burstLimiter.tryTake(now))) {
        sendBurst(settings.gossipFanout);
    }
}

TimeMs Membership::Private::suspicionTimeout(const wire::HostRecord &record) const
{
    const auto doublings = static_cast<TimeMs>(std::bit_width(table.live().size() + 1));
    const TimeMs base = settings.suspicionMinMs + settings.suspicionPerDoublingMs * doublings;
    const TimeMs factor = record.state == wire::HostState::Draining ? settings.drainingSuspicionFactor : 1;
    return base * (1 + localHealth) * factor;
}

void Membership::Private::expireSuspicions()
{
    for (int i = 0; i < kMaxExpiredPerTick && !suspicionDeadlines.empty() && suspicionDeadlines.top().at <= now; ++i) {
        const HostDeadline item = suspicionDeadlines.top();
        suspicionDeadlines.pop();
        const std::uint32_t slot = table.find(item.hash);
        // The suspicion may have been refuted, or replaced by a later one.
        if (slot != kNoSlot && table.record(slot).liveness == wire::Liveness::Suspect
            && table.entry(slot).deadline == item.at) {
            setLiveness(slot, wire::Liveness::Dead);
        }
    }
}

void Membership::Private::pruneTombstones()
{
    for (int i = 0; i < kMaxExpiredPerTick && !tombstoneDeadlines.empty() && tombstoneDeadlines.top().at <= now; ++i) {
        const HostDeadline item = tombstoneDeadlines.top();
        tombstoneDeadlines.pop();
        const std::uint32_t slot = table.find(item.hash);
        if (slot != kNoSlot && slot != 0 && !isLive(table.record(slot)) && table.entry(slot).deadline == item.at) {
            table.remove(slot);
            ++revision;
        }
    }
}

} // namespace fulmarledge
