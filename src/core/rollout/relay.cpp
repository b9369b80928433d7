#include <algorithm>
#include <limits>
#include <utility>

#include "rollout/control_p.h"

namespace fulmarledge {

namespace {

/// Members to which a node relays a state.
constexpr std::size_t kFanOut = 8;
/// Period at which the first reader compares its records with those of all others.
constexpr TimeMs kHashPeriodMs = 2000;
/// Period at which a node that has just started asks for records.
constexpr TimeMs kPullPeriodMs = 300;
/// Records in one message, which fits into a datagram or a frame of a connection.
constexpr std::size_t kRecordsPerMessage = 256;

wire::Envelope messageWith(const wire::RolloutState &state)
{
    wire::Envelope message;
    message.__set_rolloutState(state);
    return message;
}

wire::Envelope pullMessage()
{
    wire::RolloutState state;
    state.__set_pull(true);
    return messageWith(state);
}

} // namespace

void RolloutControl::Private::spread(const wire::RolloutState &state)
{
    const Member &self = m_members.self();
    for (const std::string &zone : m_members.zones()) {
        std::vector<const Member *> members;
        for (const Member &member : m_members.zoneMembers(zone)) {
            if (member.host != self.host) {
                members.push_back(&member);
            }
        }
        if (members.empty()) {
            continue;
        }
        if (zone == self.zone) {
            relay(state, members);
            continue;
        }
        // Another member each time, so that one that does not relay delays its zone by one message only.
        wire::Envelope message;
        message.__set_rolloutState(state);
        message.rolloutState.__set_intervalBegin(0);
        message.rolloutState.__set_intervalEnd(static_cast<std::int64_t>(std::numeric_limits<std::uint64_t>::max()));
        sendTo(m_peers, members[m_random.below(members.size())]->control, message, state.__isset.records);
    }
}

void RolloutControl::Private::relay(wire::RolloutState state, const std::vector<const Member *> &receivers)
{
    const std::size_t parts = std::min(kFanOut, receivers.size());
    for (std::size_t part = 0; part < parts; ++part) {
        const std::size_t first = part * receivers.size() / parts;
        const std::size_t last = (part + 1) * receivers.size() / parts - 1;
        const std::size_t head = first + m_random.below(last - first + 1);
        state.__isset.intervalBegin = last > first;
        state.__isset.intervalEnd = last > first;
        state.intervalBegin = static_cast<std::int64_t>(receivers[first]->hash);
        state.intervalEnd = static_cast<std::int64_t>(receivers[last]->hash);
        sendTo(m_peers, receivers[head]->control, messageWith(state), state.__isset.records);
    }
}

void RolloutControl::Private::onState(const wire::Header &header, const wire::RolloutState &state)
{
    const SocketAddress sender{header.address, static_cast<std::uint16_t>(header.controlPort)};
    if (state.__isset.pull && state.pull) {
        // A node that knows nothing yet would make others believe that there is nothing to know.
        if (m_isSynced) {
            sendRecords(sender);
        }
        return;
    }
    if (state.__isset.intervalBegin && state.__isset.intervalEnd) {
        const auto begin = static_cast<std::uint64_t>(state.intervalBegin);
        const auto end = static_cast<std::uint64_t>(state.intervalEnd);
        std::vector<const Member *> receivers;
        for (const Member &member : m_members.zoneMembers(m_members.self().zone)) {
            if (member.hash >= begin && member.hash <= end && member.host != m_members.self().host) {
                receivers.push_back(&member);
            }
        }
        relay(state, receivers);
    }
    if (state.__isset.readAgeMs) {
        m_ordersReadAt = std::max(m_ordersReadAt, m_now - std::max(state.readAgeMs, 0));
    }
    bool isMissing = state.__isset.recordsHash && state.recordsHash != recordsHash();
    if (state.__isset.records) {
        for (const wire::RolloutRecord &record : state.records) {
            mergeRecord(record);
        }
        m_isSynced = true;
    }
    if (state.__isset.splits) {
        for (const wire::RolloutSplit &split : state.splits) {
            const auto found = m_services.find(split.serviceName);
            const bool isKnown = found != m_services.end() && found->second.orderId == split.order;
            isMissing = isMissing || !isKnown;
            if (isKnown) {
                applySplit(found->second, split);
            }
        }
    }
    if (isMissing && m_now >= m_nextPullAt) {
        m_nextPullAt = m_now + kPullPeriodMs;
        m_peers.send(sender, pullMessage());
    }
}

void RolloutControl::Private::sendRecords(const SocketAddress &to)
{
    std::vector<wire::RolloutRecord> records;
    const auto flush = [&] {
        wire::RolloutState state;
        state.__set_records(std::exchange(records, {}));
        m_peers.sendReliably(to, messageWith(state));
    };
    for (const auto &[name, service] : m_services) {
        if (service.inForceChanges > 0 || service.revision > 0) {
            records.push_back(toRecord(service));
        }
        if (records.size() == kRecordsPerMessage) {
            flush();
        }
    }
    // Also without records, because the receiver waits for an answer.
    flush();
}

void RolloutControl::Private::spreadRecords(const std::vector<std::string> &names)
{
    wire::RolloutState state;
    std::vector<wire::RolloutRecord> records;
    records.reserve(names.size());
    for (const std::string &name : names) {
        records.push_back(toRecord(m_services[name]));
    }
    state.__set_records(records);
    spread(state);
}

void RolloutControl::Private::tickRecords()
{
    if (!m_isSynced && m_now >= m_nextPullAt && m_members.liveCount() > 1) {
        m_nextPullAt = m_now + kPullPeriodMs;
        std::vector<const Member *> others;
        for (const std::string &zone : m_members.zones()) {
            for (const Member &member : m_members.zoneMembers(zone)) {
                if (member.host != m_members.self().host) {
                    others.push_back(&member);
                }
            }
        }
        if (!others.empty()) {
            m_peers.send(others[m_random.below(others.size())]->control, pullMessage());
        }
    }
    const bool isFirstReader = !m_readers.empty() && m_readers.front() == m_members.self().host;
    if (isFirstReader && m_now >= m_nextHashAt) {
        m_nextHashAt = m_now + kHashPeriodMs;
        wire::RolloutState state;
        state.__set_recordsHash(recordsHash());
        spread(state);
    }
}

} // namespace fulmarledge
