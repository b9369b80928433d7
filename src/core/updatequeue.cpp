#include "updatequeue_p.h"

#include <algorithm>
#include <bit>

namespace fulmarledge {

namespace {

// Bound of each queue. The bucket exchange spreads the older records that are dropped from it.
constexpr std::size_t kMaxQueued = 256;
// Sends of a record for each doubling of the fleet size, as in SWIM's dissemination limit.
constexpr std::uint32_t kSendsPerDoubling = 3;

bool contains(const wire::Envelope &message, const std::string &host)
{
    return std::any_of(message.updates.begin(), message.updates.end(),
                       [&](const wire::HostRecord &record) { return record.host == host; });
}

} // namespace

void UpdateQueue::push(HostTable &table, std::uint32_t slot, bool urgent)
{
    const auto sends = kSendsPerDoubling * static_cast<std::uint32_t>(std::bit_width(table.live().size() + 1));
    HostEntry &entry = table.entry(slot);
    entry.updateStamp = ++m_lastStamp;
    std::vector<Item> &items = urgent ? m_urgent : m_normal;
    if (items.size() >= kMaxQueued) {
        items.erase(items.begin());
    }
    items.push_back({entry.hash, entry.updateStamp, sends, 0});
}

void UpdateQueue::clear()
{
    m_urgent.clear();
    m_normal.clear();
}

bool UpdateQueue::nextSentFewerThan(bool urgent, std::uint32_t sends) const
{
    const std::vector<Item> &items = urgent ? m_urgent : m_normal;
    return !items.empty() && items.back().sendCount < sends;
}

void UpdateQueue::fill(HostTable &table, wire::Envelope &message, std::size_t maxBytes)
{
    std::size_t room = maxBytes;
    fillFrom(m_urgent, table, message, room);
    fillFrom(m_normal, table, message, room);
    message.__isset.updates = true;
}

void UpdateQueue::fillFrom(std::vector<Item> &items, HostTable &table, wire::Envelope &message, std::size_t &room)
{
    std::vector<Item> toRequeue;
    for (std::size_t i = items.size(); i-- > 0;) {
        Item item = items[i];
        const std::uint32_t slot = table.find(item.hash);
        const bool replaced = slot == kNoSlot || table.entry(slot).updateStamp != item.stamp;
        if (!replaced) {
            const wire::HostRecord &record = table.record(slot);
            if (contains(message, record.host)) {
                continue;
            }
            const std::size_t size = encodedSize(record);
            if (size > room) {
                break;
            }
            room -= size;
            message.updates.push_back(record);
            ++item.sendCount;
            if (--item.remainingSends > 0) {
                toRequeue.push_back(item);
            }
        }
        items.erase(items.begin() + static_cast<std::ptrdiff_t>(i));
    }
    // Records to be sent again go behind the others, so that many records that change together are all sent soon.
    items.insert(items.begin(), toRequeue.rbegin(), toRequeue.rend());
}

} // namespace fulmarledge
