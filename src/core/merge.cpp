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
// Stored leaving backend servers, about 100 bytes each. Enough for the hosts of several data centres at the two-year
// size.
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
        onOwnRecord(record);
        return;
    }
    const std::uint32_t slot = table.find(memberHash(record.host));
    if (slot == kNoSlot) {
        // Tombstones of unknown hosts are not accepted, or they would circulate between the nodes for ever.
        if (isLive(record) && table.records().size() < settings.maxMembers) {
            // Records fetched with the table are already known to others and are not gossiped.
            apply(record, source != RecordSource::Table);
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
        apply(record);
    }
}

void Membership::Private::rememberLeaving(const wire::HostRecord &record)
{
    if (!record.__isset.leavingInstance) {
        return;
    }
    if (leaving.size() >= kMaxLeaving && !leaving.contains(record.host)) {
        leaving.erase(leaving.begin());
        metrics.count("membership_leaving_forgotten", "", 1);
    }
    leaving.insert_or_assign(record.host, LeavingBackend{record.leavingInstance, record.leavingBornMs});
}

void Membership::Private::apply(const wire::HostRecord &record, bool gossips)
{
    rememberLeaving(record);
    const std::uint32_t known = table.find(memberHash(record.host));
    const bool wasLive = known != kNoSlot && isLive(table.record(known));
    const bool wasDead = known != kNoSlot && table.record(known).liveness == wire::Liveness::Dead;
    const bool changed
        = known == kNoSlot || wasLive != isLive(record) || contentHash(table.record(known)) != contentHash(record);
    // A host whose joins are still refused fetches the table from the members that it learns of.
    syncing = syncing || !joined;
    const std::uint32_t slot = table.set(record);
    HostEntry &entry = table.entry(slot);
    revision += changed ? 1 : 0;
    if (!isLive(record)) {
        prunes.push({now + settings.tombstoneMs, entry.hash});
        entry.deadline = now + settings.tombstoneMs;
        if (wasLive) {
            const bool left = record.state == wire::HostState::Left;
            countAndLog(left ? "membership_left" : "membership_deaths", left ? "host-left" : "host-dead", record.host);
        }
    } else if (record.liveness == wire::Liveness::Suspect) {
        metrics.count("membership_suspicions", "", 1);
        entry.deadline = now + suspicionTime(record);
        suspicions.push({entry.deadline, entry.hash});
    } else if (wasDead) {
        countAndLog("membership_revivals", "host-alive", record.host);
        revivalProbes = std::min(revivalProbes + kProbesPerRevival, kMaxRevivalProbes);
    }
    metrics.gauge("membership_live_members", "", static_cast<double>(table.live().size() + 1));
    if (gossips) {
        announce(slot);
    }
}

void Membership::Private::onOwnRecord(const wire::HostRecord &record)
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
        changeHealth(1);
    }
    wire::HostRecord raised = own;
    raised.incarnation = record.incarnation + 1;
    table.set(raised);
    announce(0);
}

void Membership::Private::setLiveness(std::uint32_t slot, wire::Liveness::type liveness)
{
    wire::HostRecord record = table.record(slot);
    record.liveness = liveness;
    apply(record);
}

void Membership::Private::announce(std::uint32_t slot)
{
    const bool urgent = isUrgent(table.record(slot)) && table.record(slot).liveness == wire::Liveness::Alive;
    updates.push(table, slot, urgent);
}

// The transport puts the newest records into these empty messages by fillUpdates().
void Membership::Private::burst(int fanout)
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
    if (updates.isDue(true, sends) || (updates.isDue(false, sends) && bursts.take(now))) {
        burst(settings.gossipFanout);
    }
}

TimeMs Membership::Private::suspicionTime(const wire::HostRecord &record) const
{
    const auto doublings = static_cast<TimeMs>(std::bit_width(table.live().size() + 1));
    const TimeMs base = settings.suspicionMinMs + settings.suspicionPerDoublingMs * doublings;
    const TimeMs factor = record.state == wire::HostState::Draining ? settings.announcedSuspicionFactor : 1;
    return base * (1 + health) * factor;
}

void Membership::Private::expireSuspicions()
{
    for (int i = 0; i < kMaxExpiredPerTick && !suspicions.empty() && suspicions.top().at <= now; ++i) {
        const DeadlineItem item = suspicions.top();
        suspicions.pop();
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
    for (int i = 0; i < kMaxExpiredPerTick && !prunes.empty() && prunes.top().at <= now; ++i) {
        const DeadlineItem item = prunes.top();
        prunes.pop();
        const std::uint32_t slot = table.find(item.hash);
        if (slot != kNoSlot && slot != 0 && !isLive(table.record(slot)) && table.entry(slot).deadline == item.at) {
            table.remove(slot);
            ++revision;
        }
    }
}

} // namespace fulmarledge
