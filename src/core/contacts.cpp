#include <algorithm>
#include <nlohmann/json.hpp>

#include "membership_p.h"

namespace fulmarledge {

using nlohmann::json;

namespace {

constexpr int kContactsPerZone = 3;
constexpr TimeMs kJoinTimeoutMs = 1000;
// Joins of one host in flight at a time. They go to two contacts of its zone and one of another zone first, so that
// zones whose contacts do not know each other yet become connected.
constexpr std::size_t kParallelJoins = 3;
constexpr std::size_t kOwnZoneFirstCandidates = 2;
// A platform call without an answer for this long counts as failed.
constexpr TimeMs kPlatformCallTimeoutMs = 30000;
constexpr std::uint64_t kMinJoinRetryMs = 200;
constexpr TimeMs kMinReadSpacingMs = 500;
constexpr TimeMs kMaxReadSpacingMs = 60000;
constexpr int kMaxBackoffDoublings = 6;
constexpr unsigned kMaxPort = 65535;

std::string contactName(std::string_view zone, int index)
{
    return std::string(zone) + "-" + std::to_string(index);
}

Contact parseContact(const StoreObject &object)
{
    Contact contact;
    contact.objectVersion = object.version;
    contact.zone = object.name.substr(0, object.name.rfind('-'));
    const json value = json::parse(object.value, nullptr, false);
    if (!value.is_object()) {
        return contact;
    }
    try {
        const json &port = value.at("port");
        // The range is checked before the conversion, which is undefined for a number out of range.
        if (port.is_number_unsigned() && port > 0 && port <= kMaxPort) {
            contact.control = {value.at("address").get<std::string>(), port.get<std::uint16_t>()};
            contact.host = value.at("host").get<std::string>();
        }
    } catch (const json::exception &) {
        contact.host.clear();
    }
    return contact;
}

} // namespace

TimeMs Membership::Private::jitter(TimeMs mean)
{
    return mean / 2 + static_cast<TimeMs>(random.below(static_cast<std::uint64_t>(mean) + 1));
}

void Membership::Private::contactTick()
{
    expireJoins();
    if (contacts.roundActive) {
        sendJoins();
        if (contacts.attempts.empty() && contacts.candidates.empty()) {
            contacts.roundActive = false;
            finishRound();
        }
    }
    if (contacts.callPending && now - contacts.callSentAt > kPlatformCallTimeoutMs) {
        contacts.callPending = false;
        scheduleRead(true, 0);
    }
    if (contacts.callPending || contacts.roundActive || now < contacts.nextReadAt) {
        return;
    }
    const std::span<const Member> zone = table.zoneMembers(self().zone);
    const std::uint64_t selfHash = memberHash(self().host);
    const bool isAuditor
        = std::any_of(zone.begin(), zone.begin() + std::min<std::ptrdiff_t>(kContactsPerZone, std::ssize(zone)),
                      [&](const Member &member) { return member.hash == selfHash; });
    if (isAlone() || isAuditor || stale) {
        readContacts();
    } else {
        contacts.nextReadAt = now + jitter(settings.contactAuditPeriodMs);
    }
}

void Membership::Private::sendJoin(const std::string &objectName, const std::string &host, const SocketAddress &address)
{
    wire::Envelope message;
    message.__isset.join = true;
    message.join.sequence = ++sequence;
    message.updates.push_back(self());
    contacts.attempts.push_back({sequence, objectName, host, now + kJoinTimeoutMs});
    transport.send(address, message);
}

void Membership::Private::sendJoins()
{
    if (joined && !isAlone() && !stale && !contacts.joinThroughAll) {
        // One answer is enough for other hosts. Contacts and auditors go on, so that no group of hosts stays separate.
        contacts.candidates.clear();
    }
    for (auto candidate = contacts.candidates.begin();
         candidate != contacts.candidates.end() && contacts.attempts.size() < kParallelJoins;) {
        if (candidate->notBefore > now) {
            ++candidate;
            continue;
        }
        const Contact &contact = contacts.byName[candidate->objectName];
        sendJoin(candidate->objectName, contact.host, contact.control);
        candidate = contacts.candidates.erase(candidate);
    }
}

void Membership::Private::expireJoins()
{
    std::erase_if(contacts.attempts, [&](const JoinAttempt &attempt) {
        if (now < attempt.deadline) {
            return false;
        }
        if (const auto contact = contacts.byName.find(attempt.objectName); contact != contacts.byName.end()) {
            contact->second.unresponsive = true;
        }
        return true;
    });
}

void Membership::Private::onJoin(const wire::Envelope &message)
{
    wire::Envelope reply;
    reply.__isset.joinReply = true;
    reply.joinReply.sequence = message.join.sequence;
    if (!joinLimiter.tryTake(now)) {
        metrics.count("membership_joins", "refused", 1);
        // Spreads the retries uniformly over the time needed to answer the joins refused in this second.
        const TimeMs wait = 1000 + 1000 * joinLimiter.refusedCount() / settings.joinsPerSecond;
        reply.joinReply.retryAfterMs
            = static_cast<std::int32_t>(kMinJoinRetryMs + random.below(static_cast<std::uint64_t>(wait)));
    } else {
        metrics.count("membership_joins", "answered", 1);
        addLeaving(message.header.host, reply.joinReply);
        reply.joinReply.records.push_back(self());
        const std::span<const std::uint32_t> live = table.live();
        const std::size_t first = live.empty() ? 0 : random.below(live.size());
        const std::size_t count = std::min(live.size(), static_cast<std::size_t>(settings.joinSampleSize));
        for (std::size_t i = 0; i < count; ++i) {
            reply.joinReply.records.push_back(table.record(live[(first + i) % live.size()]));
        }
    }
    transport.send({message.header.address, static_cast<std::uint16_t>(message.header.controlPort)}, reply);
}

void Membership::Private::markJoined(const std::string &peer)
{
    if (!joined) {
        joined = true;
        countAndLog("membership_joined", "joined", peer);
    }
}

void Membership::Private::onJoinReply(const wire::Envelope &message)
{
    const auto attempt
        = std::find_if(contacts.attempts.begin(), contacts.attempts.end(),
                       [&](const JoinAttempt &entry) { return entry.sequence == message.joinReply.sequence; });
    if (attempt == contacts.attempts.end()) {
        return;
    }
    const JoinAttempt answered = *attempt;
    contacts.attempts.erase(attempt);
    if (const auto contact = contacts.byName.find(answered.objectName); contact != contacts.byName.end()) {
        // The address of a stopped host may have passed to another one, which answers instead.
        contact->second.unresponsive = answered.host != message.header.host;
    }
    if (message.joinReply.records.empty()) {
        if (!answered.objectName.empty()) {
            contacts.candidates.push_back({answered.objectName, now + message.joinReply.retryAfterMs});
        }
        return;
    }
    for (const wire::HostRecord &record : message.joinReply.records) {
        merge(record, RecordSource::Table);
    }
    readLeaving(message.joinReply);
    markJoined(answered.host);
    fetchingTable = true;
}

std::uint64_t Membership::Private::beginCall()
{
    contacts.callPending = true;
    contacts.callSentAt = now;
    return ++contacts.lastCallId;
}

void Membership::Private::readContacts()
{
    metrics.count("membership_platform_calls", "read", 1);
    const std::uint64_t callId = beginCall();
    store.list(kContactKind, [this, callId, guard = std::weak_ptr<bool>(lifetimeToken)](const StoreReply &reply) {
        if (!guard.expired() && callId == contacts.lastCallId && contacts.callPending) {
            contacts.callPending = false;
            onContactsRead(reply);
        }
    });
}

void Membership::Private::onContactsRead(const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotFound) {
        scheduleRead(true, reply.retryAfterMs);
        return;
    }
    contacts.byName.clear();
    contacts.candidates.clear();
    contacts.isAuditRound = !isAlone() && !stale;
    contacts.joinThroughAll = contacts.isAuditRound;
    for (const StoreObject &object : reply.objects) {
        const Contact &contact = contacts.byName[object.name] = parseContact(object);
        contacts.joinThroughAll = contacts.joinThroughAll || contact.host == self().host;
    }
    collectCandidates();
    contacts.roundActive = true;
    scheduleRead(false, 0);
}

void Membership::Private::collectCandidates()
{
    std::vector<JoinCandidate> ownZone;
    std::vector<JoinCandidate> otherZones;
    for (const auto &[name, contact] : contacts.byName) {
        const std::uint32_t slot = table.find(contact.host);
        const bool isKnownLive = slot != kNoSlot && isLive(table.record(slot)) && !stale;
        if (!contact.host.empty() && contact.host != self().host && !isKnownLive) {
            (contact.zone == self().zone ? ownZone : otherZones).push_back({name, 0});
        }
    }
    for (std::vector<JoinCandidate> *list : {&ownZone, &otherZones}) {
        for (std::size_t i = list->size(); i > 1; --i) {
            std::swap((*list)[i - 1], (*list)[random.below(i)]);
        }
    }
    const std::size_t firstCount = std::min(ownZone.size(), kOwnZoneFirstCandidates);
    contacts.candidates.assign(ownZone.begin(), ownZone.begin() + static_cast<std::ptrdiff_t>(firstCount));
    contacts.candidates.insert(contacts.candidates.end(), otherZones.begin(), otherZones.end());
    contacts.candidates.insert(contacts.candidates.end(), ownZone.begin() + static_cast<std::ptrdiff_t>(firstCount),
                               ownZone.end());
}

// Waits are uniform over a window proportional to the planned fleet size, because a starting host cannot know how many
// others start at the same time.
void Membership::Private::scheduleRead(bool failed, std::int64_t retryAfterMs)
{
    contacts.consecutiveFailures = failed ? std::min(contacts.consecutiveFailures + 1, kMaxBackoffDoublings) : 0;
    const TimeMs window = settings.expectedMembers * 1000 / settings.contactReadsPerSecond;
    const TimeMs base = std::max(window, kMinReadSpacingMs);
    const TimeMs wait = std::min(base << contacts.consecutiveFailures, std::max(base, kMaxReadSpacingMs));
    // Waits for at least the whole window, so that no host reads twice before every host has read once.
    contacts.nextReadAt = now + std::max(retryAfterMs, TimeMs{0}) + wait
        + static_cast<TimeMs>(random.below(static_cast<std::uint64_t>(wait) + 1));
}

void Membership::Private::finishRound()
{
    const std::vector<int> toReplace = contactsToReplace();
    const std::set<std::string_view> validHosts = validContactHosts(toReplace);
    const int index = contactToWrite(toReplace, validHosts);
    if (!isAlone()) {
        contacts.writeAllowedAt = 0;
        contacts.nextReadAt = now + jitter(settings.contactAuditPeriodMs);
    } else if (validHosts.contains(self().host)) {
        // The local host is a contact and no other contact answers, so there is no member to fetch the table from.
        markJoined(self().host);
        stale = false;
    }
    // A host that has just joined knows few members of its zone and would wrongly consider itself an auditor, one of
    // its first 3 members in hash order.
    if (index < 0 || (!isAlone() && (!contacts.isAuditRound || fetchingTable || stale))) {
        return;
    }
    if (isAlone() && contacts.writeAllowedAt == 0) {
        const TimeMs window = settings.expectedMembers * 1000 / settings.contactWritesPerSecond;
        contacts.writeAllowedAt = now + static_cast<TimeMs>(random.below(static_cast<std::uint64_t>(window) + 1));
        // The contacts are read again before the write, because another host may have written one meanwhile.
        contacts.nextReadAt = std::min(contacts.nextReadAt, contacts.writeAllowedAt);
        return;
    }
    if (!isAlone() || now >= contacts.writeAllowedAt) {
        contacts.writeAllowedAt = 0;
        writeContact(index);
    }
}

std::vector<int> Membership::Private::contactsToReplace() const
{
    std::vector<int> toReplace;
    std::set<std::string_view> hosts;
    for (int index = 0; index < kContactsPerZone; ++index) {
        const auto found = contacts.byName.find(contactName(self().zone, index));
        const bool valid = found != contacts.byName.end() && !found->second.host.empty() && !found->second.unresponsive
            && (found->second.host != self().host || found->second.control == controlAddress(self()))
            && hosts.insert(found->second.host).second;
        if (!valid) {
            toReplace.push_back(index);
        }
    }
    return toReplace;
}

std::set<std::string_view> Membership::Private::validContactHosts(const std::vector<int> &toReplace) const
{
    std::set<std::string_view> validHosts;
    for (int index = 0; index < kContactsPerZone; ++index) {
        const auto found = contacts.byName.find(contactName(self().zone, index));
        if (found != contacts.byName.end() && std::find(toReplace.begin(), toReplace.end(), index) == toReplace.end()) {
            validHosts.insert(found->second.host);
        }
    }
    return validHosts;
}

// The i-th auditor that is no contact writes the i-th contact to be replaced, so that two auditors rarely write the
// same one.
int Membership::Private::contactToWrite(const std::vector<int> &toReplace, const std::set<std::string_view> &validHosts)
{
    if (toReplace.empty() || validHosts.contains(self().host)) {
        return -1;
    }
    if (isAlone()) {
        return toReplace[random.below(toReplace.size())];
    }
    const std::span<const Member> zone = table.zoneMembers(self().zone);
    std::size_t auditorIndex = 0;
    for (std::size_t rank = 0; rank < std::min<std::size_t>(kContactsPerZone, zone.size()); ++rank) {
        if (zone[rank].host == self().host) {
            return auditorIndex < toReplace.size() ? toReplace[auditorIndex] : -1;
        }
        auditorIndex += validHosts.contains(zone[rank].host) ? 0 : 1;
    }
    return -1;
}

void Membership::Private::writeContact(int index)
{
    const std::string name = contactName(self().zone, index);
    const SocketAddress address = controlAddress(self());
    const std::string value = json{
        {"host", self().host},
        {"address", address.ip},
        {"port", address.port},
        {"incarnation",
         self().incarnation}}.dump();
    metrics.count("membership_platform_calls", "write", 1);
    const std::uint64_t callId = beginCall();
    auto done = [this, callId, name, guard = std::weak_ptr<bool>(lifetimeToken)](const StoreReply &reply) {
        if (!guard.expired() && callId == contacts.lastCallId && contacts.callPending) {
            contacts.callPending = false;
            onContactWritten(name, reply);
        }
    };
    const std::int64_t version = contacts.byName[name].objectVersion;
    if (version == 0) {
        store.create(kContactKind, name, value, std::move(done));
    } else {
        store.update(kContactKind, name, version, value, std::move(done));
    }
}

void Membership::Private::onContactWritten(const std::string &name, const StoreReply &reply)
{
    if (reply.status == StoreStatus::Ok) {
        countAndLog("membership_contacts_written", "contact-written", name);
        markJoined(self().host);
    }
    // The next read settles every other result. After a conflict it returns another host's contact, and after an
    // unknown outcome it shows whether the object was written.
    const bool failed = reply.status != StoreStatus::Ok && reply.status != StoreStatus::Conflict;
    scheduleRead(failed, reply.retryAfterMs);
}

} // namespace fulmarledge
