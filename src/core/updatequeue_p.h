#pragma once

#include <cstdint>
#include <vector>

#include "hosttable_p.h"

namespace fulmarledge {

/// Queue of records that are piggybacked on outgoing messages, each a bounded number of times.
class UpdateQueue
{
public:
    /// Queues the host's record and replaces an earlier entry for it. The content is read from the table on sending.
    /// @param urgent whether the record is sent before those that are not urgent
    void push(HostTable &table, std::uint32_t slot, bool urgent);
    void clear();
    /// Whether the queue's next record has been sent fewer than `sends` times.
    bool nextSentFewerThan(bool urgent, std::uint32_t sends) const;
    /// Adds records of at most `maxBytes` in total to the message, urgent ones first. Of the urgent ones, and of the
    /// others, the newest come first, then those sent longest ago.
    void fill(HostTable &table, wire::Envelope &message, std::size_t maxBytes);

private:
    struct Item {
        std::uint64_t hash = 0;
        std::uint32_t stamp = 0;
        std::uint32_t remainingSends = 0;
        std::uint32_t sendCount = 0;
    };

    static void fillFrom(std::vector<Item> &items, HostTable &table, wire::Envelope &message, std::size_t &room);

    std::vector<Item> m_urgent; ///< the next one to send is at the back
    std::vector<Item> m_normal; ///< the next one to send is at the back
    std::uint32_t m_lastStamp = 0;
};

} // namespace fulmarledge
