#pragma once

#include <cstdint>
#include <vector>

#include "hosttable_p.h"

namespace fulmarledge {

/// Records to be piggybacked, each a bounded number of times.
class UpdateQueue
{
public:
    /// Queues the record's present and later content, and forgets an earlier entry of the same host.
    /// @param urgent whether it goes before the others
    void push(HostTable &table, std::uint32_t slot, bool urgent);
    void clear();
    /// Whether the record whose turn is next has been sent fewer than `sends` times.
    bool isDue(bool urgent, std::uint32_t sends) const;
    /// Adds records of at most `maxBytes` in total: newest first, then those sent longest ago.
    void fill(HostTable &table, wire::Envelope &message, std::size_t maxBytes);

private:
    struct Item {
        std::uint64_t hash = 0;
        std::uint32_t stamp = 0;
        std::uint32_t remaining = 0;
        std::uint32_t sent = 0;
    };

    static void fillFrom(std::vector<Item> &items, HostTable &table, wire::Envelope &message, std::size_t &room);

    std::vector<Item> m_urgent; ///< next to be sent last
    std::vector<Item> m_normal; ///< next to be sent last
    std::uint32_t m_stamp = 0;
};

} // namespace fulmarledge
