#include "hosttable_p.h"

#include <algorithm>
#include <cstring>
#include <xxhash.h>

namespace fulmarledge {

namespace {

// Leaves room to raise an incarnation further. Integers up to this value are exact in JSON.
constexpr std::int64_t kMaxIncarnation = std::int64_t{1} << 53;
constexpr std::size_t kMaxNameLength = 255;
constexpr std::int32_t kMaxPort = 65535;

std::size_t varintSize(std::uint64_t value)
{
    std::size_t size = 1;
    for (; value >= 0x80; value >>= 7U) {
        ++size;
    }
    return size;
}

std::size_t zigzagSize(std::int64_t value)
{
    const auto shifted = static_cast<std::uint64_t>(value) << 1U;
    return varintSize(value < 0 ? ~shifted : shifted);
}

std::uint64_t recordHash(const wire::HostRecord &record, std::uint64_t hostHash)
{
    const std::array<std::uint64_t, 3> parts{hostHash, static_cast<std::uint64_t>(record.incarnation),
                                             contentHash(record)};
    return XXH3_64bits(parts.data(), sizeof(parts));
}

// Thrift stores any received number in an enum. Reading an out-of-range value as the enum is undefined behaviour.
template <typename Enum>
std::int32_t rawValue(const Enum &value)
{
    static_assert(sizeof(Enum) == sizeof(std::int32_t));
    std::int32_t raw = 0;
    std::memcpy(&raw, &value, sizeof(raw));
    return raw;
}

bool lessByHash(const Member &member, std::uint64_t hash)
{
    return member.hash < hash;
}

} // namespace

bool isLive(const wire::HostRecord &record)
{
    return record.liveness != wire::Liveness::Dead && record.state != wire::HostState::Left;
}

SocketAddress controlAddress(const wire::HostRecord &record)
{
    return {record.address, static_cast<std::uint16_t>(record.controlPort)};
}

std::uint64_t contentHash(const wire::HostRecord &record)
{
    const std::array<std::int32_t, 6> numbers{record.controlPort, record.hopPort, record.callerPort,
                                              record.adminPort,   record.state,   record.slots};
    std::uint64_t hash = XXH3_64bits(numbers.data(), sizeof(numbers));
    if (record.__isset.warmupMs) {
        hash = XXH3_64bits_withSeed(&record.warmupMs, sizeof(record.warmupMs), hash);
    }
    if (record.__isset.linkMegabits) {
        hash = XXH3_64bits_withSeed(&record.linkMegabits, sizeof(record.linkMegabits), hash);
    }
    if (record.__isset.leavingInstance) {
        hash = XXH3_64bits_withSeed(&record.leavingBornMs, sizeof(record.leavingBornMs), hash);
        hash = XXH3_64bits_withSeed(record.leavingInstance.data(), record.leavingInstance.size(), hash);
    }
    if (record.__isset.version) {
        hash = XXH3_64bits_withSeed(record.version.data(), record.version.size(), hash);
    }
    for (const std::string *text : {&record.zone, &record.serviceName, &record.address}) {
        hash = XXH3_64bits_withSeed(text->data(), text->size(), hash);
    }
    return hash;
}

bool supersedes(const wire::HostRecord &candidate, const wire::HostRecord &current)
{
    if (candidate.incarnation != current.incarnation) {
        return candidate.incarnation > current.incarnation;
    }
    if (candidate.liveness != current.liveness) {
        return candidate.liveness > current.liveness;
    }
    // Two processes with one host name can reach the same incarnation. Comparing the content lets all observers keep
    // the same record.
    return contentHash(candidate) > contentHash(current);
}

std::size_t encodedSize(const wire::HostRecord &record)
{
    std::size_t size = 1 + 12; // stop byte, and one byte for the header of each mandatory field
    for (const std::string *text : {&record.host, &record.zone, &record.serviceName, &record.address}) {
        size += varintSize(text->size()) + text->size();
    }
    for (const std::int64_t number :
         {std::int64_t{record.controlPort}, std::int64_t{record.hopPort}, std::int64_t{record.callerPort},
          std::int64_t{record.adminPort}, record.incarnation, std::int64_t{record.state}, std::int64_t{record.liveness},
          std::int64_t{record.slots}}) {
        size += zigzagSize(number);
    }
    if (record.__isset.warmupMs) {
        size += 1 + zigzagSize(record.warmupMs);
    }
    if (record.__isset.linkMegabits) {
        size += 1 + zigzagSize(record.linkMegabits);
    }
    if (record.__isset.leavingInstance) {
        size += 1 + varintSize(record.leavingInstance.size()) + record.leavingInstance.size();
    }
    if (record.__isset.leavingBornMs) {
        size += 1 + zigzagSize(record.leavingBornMs);
    }
    if (record.__isset.version) {
        size += 1 + varintSize(record.version.size()) + record.version.size();
    }
    return size;
}

bool isValidRecord(const wire::HostRecord &record)
{
    const std::int32_t state = rawValue(record.state);
    const std::int32_t liveness = rawValue(record.liveness);
    const auto isPort = [](std::int32_t port) { return port >= 0 && port <= kMaxPort; };
    return !record.host.empty() && record.host.size() <= kMaxNameLength && !record.zone.empty()
        && record.zone.size() <= kMaxNameLength && record.serviceName.size() <= kMaxNameLength
        && record.address.size() <= kMaxNameLength && isPort(record.controlPort) && isPort(record.hopPort)
        && isPort(record.callerPort) && isPort(record.adminPort) && record.incarnation > 0
        && record.incarnation < kMaxIncarnation && state >= wire::HostState::Starting && state <= wire::HostState::Left
        && liveness >= wire::Liveness::Alive && liveness <= wire::Liveness::Dead && record.slots >= 0
        && record.warmupMs >= 0 && record.linkMegabits >= 0 && record.leavingInstance.size() <= kMaxNameLength
        && record.version.size() <= kMaxNameLength;
}

HostTable::HostTable(const wire::HostRecord &self)
{
    set(self);
}

std::uint32_t HostTable::find(std::uint64_t hash) const
{
    const auto found = m_index.find(hash);
    return found == m_index.end() ? kNoSlot : found->second;
}

std::uint32_t HostTable::find(std::string_view host) const
{
    const std::uint32_t slot = find(memberHash(host));
    return slot != kNoSlot && m_records[slot].host == host ? slot : kNoSlot;
}

std::uint32_t HostTable::set(const wire::HostRecord &record)
{
    const std::uint64_t hash = memberHash(record.host);
    std::uint32_t slot = find(hash);
    if (slot == kNoSlot) {
        slot = static_cast<std::uint32_t>(m_records.size());
        m_records.push_back(record);
        m_entries.emplace_back().hash = hash;
        m_index.emplace(hash, slot);
        std::vector<std::uint32_t> &bucket = m_buckets[bucketOf(hash)];
        m_entries[slot].bucketPosition = static_cast<std::uint32_t>(bucket.size());
        bucket.push_back(slot);
        addToLivenessList(slot);
        addToZone(slot);
        updateHashes(slot);
        return slot;
    }
    const wire::HostRecord &current = m_records[slot];
    const bool listOrZoneChanges = isLive(current) != isLive(record) || current.zone != record.zone;
    if (listOrZoneChanges) {
        removeFromLivenessList(slot);
        removeFromZone(slot);
    }
    m_records[slot] = record;
    if (listOrZoneChanges) {
        addToLivenessList(slot);
        addToZone(slot);
    } else if (Member *zoneMember = member(slot); zoneMember != nullptr) {
        zoneMember->control = controlAddress(record);
        zoneMember->incarnation = record.incarnation;
        zoneMember->linkMegabits = record.linkMegabits;
    }
    updateHashes(slot);
    return slot;
}

void HostTable::remove(std::uint32_t slot)
{
    removeFromLivenessList(slot);
    std::vector<std::uint32_t> &bucket = m_buckets[bucketOf(m_entries[slot].hash)];
    const std::uint32_t position = m_entries[slot].bucketPosition;
    bucket[position] = bucket.back();
    m_entries[bucket[position]].bucketPosition = position;
    bucket.pop_back();
    m_index.erase(m_entries[slot].hash);
    const auto last = static_cast<std::uint32_t>(m_records.size() - 1);
    if (slot != last) {
        moveSlot(last, slot);
    }
    m_records.pop_back();
    m_entries.pop_back();
}

void HostTable::moveSlot(std::uint32_t from, std::uint32_t to)
{
    m_records[to] = std::move(m_records[from]);
    m_entries[to] = m_entries[from];
    const HostEntry &entry = m_entries[to];
    m_index[entry.hash] = to;
    m_buckets[bucketOf(entry.hash)][entry.bucketPosition] = to;
    (isLive(m_records[to]) ? m_live : m_tombstones)[entry.listPosition] = to;
}

std::uint32_t HostTable::nextProbeTarget(RandomSource &random)
{
    if (m_live.empty()) {
        return kNoSlot;
    }
    if (m_probedCount >= m_live.size()) {
        m_probedCount = 0;
    }
    // One step of a Fisher-Yates shuffle per probe gives a random order in each round at constant cost.
    const std::size_t chosen = m_probedCount + random.below(m_live.size() - m_probedCount);
    std::swap(m_live[m_probedCount], m_live[chosen]);
    m_entries[m_live[chosen]].listPosition = static_cast<std::uint32_t>(chosen);
    m_entries[m_live[m_probedCount]].listPosition = static_cast<std::uint32_t>(m_probedCount);
    return m_live[m_probedCount++];
}

std::uint32_t HostTable::successor(std::uint64_t hash) const
{
    const Member *next = nullptr;
    const Member *first = nullptr;
    for (auto &[name, zone] : m_zones) {
        sortMembers(zone);
        const auto found = std::upper_bound(zone.members.begin(), zone.members.end(), hash,
                                            [](std::uint64_t key, const Member &member) { return key < member.hash; });
        if (found != zone.members.end() && (next == nullptr || found->hash < next->hash)) {
            next = &*found;
        }
        if (!zone.members.empty() && (first == nullptr || zone.members.front().hash < first->hash)) {
            first = &zone.members.front();
        }
    }
    next = next == nullptr ? first : next;
    return next == nullptr ? kNoSlot : find(next->hash);
}

std::span<const Member> HostTable::zoneMembers(std::string_view zone) const
{
    const auto found = m_zones.find(zone);
    if (found == m_zones.end()) {
        return {};
    }
    sortMembers(found->second);
    return found->second.members;
}

Member *HostTable::member(std::uint32_t slot)
{
    if (!isLive(m_records[slot]) && slot != 0) {
        return nullptr;
    }
    const auto found = m_zones.find(m_records[slot].zone);
    if (found == m_zones.end()) {
        return nullptr;
    }
    sortMembers(found->second);
    const std::uint64_t hash = m_entries[slot].hash;
    std::vector<Member> &members = found->second.members;
    const auto position = std::lower_bound(members.begin(), members.end(), hash, lessByHash);
    return position != members.end() && position->hash == hash ? &*position : nullptr;
}

void HostTable::sortMembers(Zone &zone)
{
    if (!zone.sorted) {
        std::sort(zone.members.begin(), zone.members.end(),
                  [](const Member &left, const Member &right) { return left.hash < right.hash; });
        zone.sorted = true;
    }
}

// The local host stays in its zone after it has left, so that Membership::self() remains valid.
void HostTable::addToZone(std::uint32_t slot)
{
    const wire::HostRecord &record = m_records[slot];
    if (!isLive(record) && slot != 0) {
        return;
    }
    const auto [zone, inserted] = m_zones.try_emplace(record.zone);
    if (inserted) {
        m_zoneNames.insert(std::upper_bound(m_zoneNames.begin(), m_zoneNames.end(), record.zone), record.zone);
    }
    std::vector<Member> &members = zone->second.members;
    const std::uint64_t hash = m_entries[slot].hash;
    zone->second.sorted = zone->second.sorted && (members.empty() || members.back().hash < hash);
    members.push_back(
        {record.host, record.zone, controlAddress(record), hash, record.incarnation, record.linkMegabits, 0, 0});
}

void HostTable::removeFromZone(std::uint32_t slot)
{
    const Member *zoneMember = member(slot);
    if (zoneMember == nullptr) {
        return;
    }
    const auto zone = m_zones.find(m_records[slot].zone);
    std::vector<Member> &members = zone->second.members;
    members.erase(members.begin() + (zoneMember - members.data()));
    if (members.empty()) {
        m_zoneNames.erase(std::find(m_zoneNames.begin(), m_zoneNames.end(), zone->first));
        m_zones.erase(zone);
    }
}

void HostTable::addToLivenessList(std::uint32_t slot)
{
    if (slot == 0) {
        return;
    }
    std::vector<std::uint32_t> &list = isLive(m_records[slot]) ? m_live : m_tombstones;
    m_entries[slot].listPosition = static_cast<std::uint32_t>(list.size());
    list.push_back(slot);
}

void HostTable::removeFromLivenessList(std::uint32_t slot)
{
    if (slot == 0) {
        return;
    }
    const auto erase = [this](std::vector<std::uint32_t> &list, std::uint32_t position) {
        list[position] = list.back();
        m_entries[list[position]].listPosition = position;
        list.pop_back();
    };
    std::uint32_t position = m_entries[slot].listPosition;
    if (!isLive(m_records[slot])) {
        erase(m_tombstones, position);
        return;
    }
    // The members already probed in this round must stay at the front.
    if (position < m_probedCount) {
        --m_probedCount;
        std::swap(m_live[position], m_live[m_probedCount]);
        m_entries[m_live[position]].listPosition = position;
        position = static_cast<std::uint32_t>(m_probedCount);
    }
    erase(m_live, position);
}

void HostTable::updateHashes(std::uint32_t slot)
{
    HostEntry &entry = m_entries[slot];
    const std::uint64_t hash = isLive(m_records[slot]) ? recordHash(m_records[slot], entry.hash) : 0;
    // The hashes are sums, so that a record's summand is replaced without reading the other records. Tombstones are
    // left out, because each node removes them at a different time.
    m_bucketHashes[bucketOf(entry.hash)] += hash - entry.recordHash;
    m_tableHash += hash - entry.recordHash;
    entry.recordHash = hash;
}

} // namespace fulmarledge
