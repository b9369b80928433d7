#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "fulmarledge/config.h"
#include "fulmarledge/memberview.h"
#include "fulmarledge/ports.h"

namespace fulmarledge {

/// Slot number that stands for none.
constexpr std::uint32_t kNoSlot = 0xffffffff;

/// Whether the host is neither dead nor left.
bool isLive(const wire::HostRecord &record);
SocketAddress controlAddress(const wire::HostRecord &record);
/// Hash of the fields that the host itself sets, except its name and incarnation.
std::uint64_t contentHash(const wire::HostRecord &record);
/// Whether `candidate` replaces `current`. The higher incarnation wins, then dead over suspect over alive, then the
/// higher content hash.
bool supersedes(const wire::HostRecord &candidate, const wire::HostRecord &current);
/// Bytes of the record in Thrift's compact protocol.
std::size_t encodedSize(const wire::HostRecord &record);
/// Whether the fields of a received record are in range.
bool isValidRecord(const wire::HostRecord &record);

/// Local data about a host, kept beside its record.
struct HostEntry {
    std::uint64_t hash = 0; ///< memberHash() of the host
    std::uint64_t recordHash = 0; ///< summand of the table hash; 0 when not live
    std::int64_t headerIncarnation = 0; ///< highest incarnation seen in a message header
    TimeMs deadline = 0; ///< when a suspect becomes dead, or a tombstone is removed
    TimeMs refutationRequestedAt = -1000000; ///< when the host was last sent its suspect or dead record
    std::uint32_t updateStamp = 0; ///< stamp of the newest queued update
    std::uint32_t bucketPosition = 0; ///< in its bucket
    std::uint32_t listPosition = 0; ///< in the list of live members or of tombstones
};

/// Host records with indices by name, bucket, zone and liveness. Slot 0 is the local host. Operations take constant or
/// logarithmic time in the number of hosts. Exceptions are the first read of a zone after an insertion, which sorts it,
/// and the removal of a member from its zone, which moves the members behind it.
class HostTable
{
public:
    explicit HostTable(const wire::HostRecord &self);

    std::uint32_t find(std::uint64_t hash) const;
    std::uint32_t find(std::string_view host) const;
    /// Inserts the record or replaces the one of the same host, and returns its slot.
    std::uint32_t set(const wire::HostRecord &record);
    /// Removes a tombstone. The record of the last slot moves to `slot`.
    void remove(std::uint32_t slot);

    const wire::HostRecord &record(std::uint32_t slot) const
    {
        return m_records[slot];
    }
    HostEntry &entry(std::uint32_t slot)
    {
        return m_entries[slot];
    }
    std::span<const wire::HostRecord> records() const
    {
        return m_records;
    }
    /// Slots of the live members except the local host, in the order of the current probe round.
    std::span<const std::uint32_t> live() const
    {
        return m_live;
    }
    std::span<const std::uint32_t> tombstones() const
    {
        return m_tombstones;
    }
    std::span<const std::uint32_t> bucket(std::size_t index) const
    {
        return m_buckets[index];
    }
    std::uint64_t bucketHash(std::size_t index) const
    {
        return m_bucketHashes[index];
    }
    static std::size_t bucketOf(std::uint64_t hash)
    {
        return hash % FULMARLEDGE_CONFIG_TABLE_BUCKETS;
    }
    std::uint64_t tableHash() const
    {
        return m_tableHash;
    }

    /// Slot of the next live member in a random round-robin order, or kNoSlot.
    std::uint32_t nextProbeTarget(RandomSource &random);
    /// Slot of the next live member after `hash` in cyclic hash order over all zones, or kNoSlot.
    std::uint32_t successor(std::uint64_t hash) const;

    std::span<const Member> zoneMembers(std::string_view zone) const;
    std::span<const std::string> zones() const
    {
        return m_zoneNames;
    }
    /// Null if the host is not live. The local host is found even after it has left.
    Member *member(std::uint32_t slot);

private:
    struct Zone {
        std::vector<Member> members;
        bool sorted = true;
    };

    static void sortMembers(Zone &zone);
    void addToZone(std::uint32_t slot);
    void removeFromZone(std::uint32_t slot);
    void addToLivenessList(std::uint32_t slot);
    void removeFromLivenessList(std::uint32_t slot);
    void updateHashes(std::uint32_t slot);
    void moveSlot(std::uint32_t from, std::uint32_t to);

    std::vector<wire::HostRecord> m_records;
    std::vector<HostEntry> m_entries;
    std::unordered_map<std::uint64_t, std::uint32_t> m_index;
    std::array<std::vector<std::uint32_t>, FULMARLEDGE_CONFIG_TABLE_BUCKETS> m_buckets;
    std::array<std::uint64_t, FULMARLEDGE_CONFIG_TABLE_BUCKETS> m_bucketHashes{};
    std::uint64_t m_tableHash = 0;
    std::vector<std::uint32_t> m_live;
    std::size_t m_probedCount = 0; ///< members at the front of m_live that were probed in this round
    std::vector<std::uint32_t> m_tombstones;
    // Zones are sorted on the first read after insertions, so that a whole table is received without a sort per record.
    mutable std::map<std::string, Zone, std::less<>> m_zones;
    std::vector<std::string> m_zoneNames;
};

} // namespace fulmarledge
