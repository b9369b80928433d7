#include <unordered_map>

#include "membership_p.h"

namespace fulmarledge {

namespace {

constexpr std::size_t kBucketCount = FULMARLEDGE_CONFIG_TABLE_BUCKETS;
// Interval between table requests while the table is being fetched.
constexpr TimeMs kTableRequestPeriodMs = 250;
// Buckets are exchanged after this many waits even if the table keeps changing.
constexpr int kMaxChangedWaits = 3;
// Bound on the records of a received reply. Replies are rounded up to a whole bucket, so they may exceed the sender's
// setting.
constexpr std::size_t kMaxReplyRecords = 8192;

SocketAddress senderOf(const wire::Envelope &message)
{
    return {message.header.address, static_cast<std::uint16_t>(message.header.controlPort)};
}

} // namespace

void Membership::Private::onDigest(const wire::Envelope &message)
{
    if (static_cast<std::uint64_t>(message.digest.tableHash) == table.tableHash()) {
        fetchingTable = false;
        stale = false;
        markJoined(message.header.host);
    } else if (!fetchingTable && differenceSince == 0) {
        differenceSince = now;
        hashAtDifference = table.tableHash();
        differencePeer = senderOf(message);
    }
}

// A difference is left to gossip first, which costs less than whole buckets. Equal digests of other members do not end
// the wait, because a whole zone may hold the same incomplete table.
void Membership::Private::checkDifference()
{
    if (differenceSince == 0 || now - differenceSince < settings.tableSettleMs) {
        return;
    }
    differenceSince = 0;
    if (table.tableHash() == hashAtDifference || ++changedWaits >= kMaxChangedWaits) {
        changedWaits = 0;
        sendTableRequest(differencePeer);
    }
}

void Membership::Private::sendTableRequest(const SocketAddress &to)
{
    metrics.count("membership_table_requests", "", 1);
    wire::Envelope request;
    request.__isset.tableRequest = true;
    request.tableRequest.buckets.resize(kBucketCount);
    for (std::size_t i = 0; i < kBucketCount; ++i) {
        request.tableRequest.buckets[i].index = static_cast<std::int32_t>(i);
        request.tableRequest.buckets[i].hash = static_cast<std::int64_t>(table.bucketHash(i));
    }
    transport.send(to, request);
}

void Membership::Private::syncTick()
{
    checkDifference();
    if (!fetchingTable || now < nextTableRequestAt || table.live().empty()) {
        return;
    }
    nextTableRequestAt = now + kTableRequestPeriodMs;
    // Each request goes to a random member, so that a large group of joining hosts does not overload the contacts.
    const std::uint32_t peer = table.live()[random.below(table.live().size())];
    sendTableRequest(controlAddress(table.record(peer)));
}

void Membership::Private::onTableRequest(const wire::Envelope &message)
{
    const std::vector<wire::Bucket> &requested = message.tableRequest.buckets;
    // A reply from a stale table would bring back records that were replaced during the pause.
    if (stale || requested.empty() || requested.size() > kBucketCount || !tableReplyLimiter.tryTake(now)) {
        return;
    }
    wire::Envelope reply;
    reply.__isset.tableReply = true;
    addLeaving(message.header.host, reply.tableReply);
    const std::size_t first = random.below(requested.size());
    for (std::size_t i = 0; i < requested.size(); ++i) {
        const wire::Bucket &bucket = requested[(first + i) % requested.size()];
        const auto index = static_cast<std::size_t>(bucket.index);
        if (index >= kBucketCount || static_cast<std::uint64_t>(bucket.hash) == table.bucketHash(index)) {
            continue;
        }
        reply.tableReply.buckets.push_back(bucket.index);
        for (const std::uint32_t slot : table.bucket(index)) {
            reply.tableReply.records.push_back(table.record(slot));
        }
        if (reply.tableReply.records.size() >= static_cast<std::size_t>(settings.maxTableRecords)) {
            break;
        }
    }
    transport.send(senderOf(message), reply);
}

void Membership::Private::onTableReply(const wire::Envelope &message)
{
    const wire::TableReply &reply = message.tableReply;
    if (reply.records.size() > kMaxReplyRecords || reply.buckets.size() > kBucketCount) {
        metrics.count("membership_records_refused", "oversized-reply", 1);
        return;
    }
    readLeaving(reply);
    std::unordered_map<std::uint64_t, const wire::HostRecord *> received;
    for (const wire::HostRecord &record : reply.records) {
        received.emplace(memberHash(record.host), &record);
        merge(record, RecordSource::Table);
    }
    if (reply.buckets.empty()) {
        // A reply without buckets and records means that both tables are equal. One with records only is the last
        // message of an exchange that the other side began.
        if (reply.records.empty()) {
            fetchingTable = false;
            stale = false;
            markJoined(message.header.host);
        }
        return;
    }
    stale = false;
    markJoined(message.header.host);
    // A reply at its limit means that many records differ, as after a partition. Gossip would be too slow for them.
    fetchingTable = fetchingTable || reply.records.size() >= static_cast<std::size_t>(settings.maxTableRecords);
    wire::Envelope response;
    response.__isset.tableReply = true;
    for (const std::int32_t index : reply.buckets) {
        if (index < 0 || index >= static_cast<std::int32_t>(kBucketCount)
            || response.tableReply.records.size() >= static_cast<std::size_t>(settings.maxTableRecords)) {
            continue;
        }
        for (const std::uint32_t slot : table.bucket(static_cast<std::size_t>(index))) {
            const wire::HostRecord &record = table.record(slot);
            const auto theirs = received.find(table.entry(slot).hash);
            if (theirs == received.end() ? isLive(record) : supersedes(record, *theirs->second)) {
                response.tableReply.records.push_back(record);
            }
        }
    }
    if (!response.tableReply.records.empty()) {
        transport.send(senderOf(message), response);
    }
}

} // namespace fulmarledge
