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
constexpr std::size_t kOwnZoneFirst = 2;
// A platform call without an answer for this long counts as failed.
constexpr TimeMs kCallTimeoutMs = 30000;
constexpr std::uint64_t kMinRetryMs = 200;
constexpr TimeMs kMinReadSpacingMs = 500;
constexpr TimeMs kMaxReadSpacingMs = 60000;
constexpr int kMaxBackoffDoublings = 6;

std::string contactName(std::string_view zone, int slot)
{
    return std::string(zone) + "-" + std::to_string(slot);
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
        const auto port = value.at("port").get<std::int64_t>();
        contact.incarnation = value.at("incarnation").get<std::int64_t>();
        contact.control = {value.at("address").get<std::string>(), static_cast<std::uint16_t>(port)};
        if (port > 0 && port <= 65535) {
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
    if (contacts.roundOpen) {
        sendJoins();
        if (contacts.attempts.empty() && contacts.candidates.empty()) {
            contacts.roundOpen = false;
            finishRound();
        }
    }
    if (contacts.calling && now - contacts.callSentAt > kCallTimeoutMs) {
        contacts.calling = false;
        planRead(true, 0);
    }
    if (contacts.calling || contacts.roundOpen || now < contacts.nextReadAt) {
        return;
    }
    const std::span<const Member> zone = table.zoneMembers(self().zone);
    const std::uint64_t own = memberHash(self().host);
    const bool audits
        = std::any_of(zone.begin(), zone.begin() + std::min<std::ptrdiff_t>(kContactsPerZone, std::ssize(zone)),
                      [&](const Member &member) { return member.hash == own; });
    if (isAlone() || audits || stale) {
        readContacts();
    } else {
        contacts.nextReadAt = now + jitter(settings.contactAuditMs);
    }
}

void Membership::Private::sendJoin(const std::string &contact, const std::string &host, const SocketAddress &address)
{
    wire::Envelope message;
    message.__isset.join = true;
    message.join.sequence = ++sequence;
    message.updates.push_back(self());
    contacts.attempts.push_back({sequence, contact, host, now + kJoinTimeoutMs});
    transport.send(address, message);
}

void Membership::Private::sendJoins()
{
    if (joined && !isAlone() && !stale && !contacts.joinsAll) {
        // One answer is enough for other hosts. Contacts and auditors go on, so that no group of hosts stays separate.
        contacts.candidates.clear();
    }
    for (auto candidate = contacts.candidates.begin();
         candidate != contacts.candidates.end() && contacts.attempts.size() < kParallelJoins;) {
        if (candidate->notBefore > now) {
            ++candidate;
            continue;
        }
        const Contact &contact = contacts.known[candidate->contact];
        sendJoin(candidate->contact, contact.host, contact.control);
        candidate = contacts.candidates.erase(candidate);
    }
}

void Membership::Private::expireJoins()
{
    std::erase_if(contacts.attempts, [&](const JoinAttempt &attempt) {
        if (now < attempt.deadline) {
            return false;
        }
        if (const auto contact = contacts.known.find(attempt.contact); contact != contacts.known.end()) {
            contact->second.silent = true;
        }
        return true;
    });
}

void Membership::Private::onJoin(const wire::Envelope &message)
{
    wire::Envelope reply;
    reply.__isset.joinReply = true;
    reply.joinReply.sequence = message.join.sequence;
    if (!joins.take(now)) {
        metrics.count("membership_joins", "refused", 1);
        // Spreads the retries uniformly over the time needed to answer the joins refused in this second.
        const TimeMs wait = 1000 + 1000 * joins.refused() / settings.joinsPerSecond;
        reply.joinReply.retryAfterMs
            = static_cast<std::int32_t>(kMinRetryMs + random.below(static_cast<std::uint64_t>(wait)));
    } else {
        metrics.count("membership_joins", "answered", 1);
        tellLeaving(message.header.host, reply.joinReply);
        reply.joinReply.records.push_back(self());
        const std::span<const std::uint32_t> live = table.live();
        const std::size_t first = live.empty() ? 0 : random.below(live.size());
        const std::size_t count = std::min(live.size(), static_cast<std::size_t>(settings.joinSample));
        for (std::size_t i = 0; i < count; ++i) {
            reply.joinReply.records.push_back(table.record(live[(first + i) % live.size()]));
        }
    }
    transport.send({message.header.address, static_cast<std::uint16_t>(message.header.controlPort)}, reply);
}

void Membership::Private::markJoined(const std::string &through)
{
    if (!joined) {
        joined = true;
        countAndLog("membership_joined", "joined", through);
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
    if (const auto contact = contacts.known.find(answered.contact); contact != contacts.known.end()) {
        // The address of a stopped host may have passed to another one, which answers instead.
        contact->second.silent = answered.host != message.header.host;
    }
    if (message.joinReply.records.empty()) {
        if (!answered.contact.empty()) {
            contacts.candidates.push_back({answered.contact, now + message.joinReply.retryAfterMs});
        }
        return;
    }
    for (const wire::HostRecord &record : message.joinReply.records) {
        merge(record, RecordSource::Table);
    }
    takeLeaving(message.joinReply);
    markJoined(answered.host);
    syncing = true;
}

std::uint64_t Membership::Private::beginCall()
{
    contacts.calling = true;
    contacts.callSentAt = now;
    return ++contacts.call;
}

void Membership::Private::readContacts()
{
    metrics.count("membership_platform_calls", "read", 1);
    const std::uint64_t call = beginCall();
    store.list(kContactKind, [this, call, guard = std::weak_ptr<bool>(alive)](const StoreReply &reply) {
        if (!guard.expired() && call == contacts.call && contacts.calling) {
            contacts.calling = false;
            onContacts(reply);
        }
    });
}

void Membership::Private::onContacts(const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotFound) {
        planRead(true, reply.retryAfterMs);
        return;
    }
    contacts.known.clear();
    contacts.candidates.clear();
    contacts.audit = !isAlone() && !stale;
    contacts.joinsAll = contacts.audit;
    for (const StoreObject &object : reply.objects) {
        const Contact &contact = contacts.known[object.name] = parseContact(object);
        contacts.joinsAll = contacts.joinsAll || contact.host == self().host;
    }
    collectCandidates();
    contacts.roundOpen = true;
    planRead(false, 0);
}

void Membership::Private::collectCandidates()
{
    std::vector<JoinCandidate> own;
    std::vector<JoinCandidate> other;
    for (const auto &[name, contact] : contacts.known) {
        const std::uint32_t slot = table.find(contact.host);
        const bool known = slot != kNoSlot && isLive(table.record(slot)) && !stale;
        if (!contact.host.empty() && contact.host != self().host && !known) {
            (contact.zone == self().zone ? own : other).push_back({name, 0});
        }
    }
    for (std::vector<JoinCandidate> *list : {&own, &other}) {
        for (std::size_t i = list->size(); i > 1; --i) {
            std::swap((*list)[i - 1], (*list)[random.below(i)]);
        }
    }
    const std::size_t front = std::min(own.size(), kOwnZoneFirst);
    contacts.candidates.assign(own.begin(), own.begin() + static_cast<std::ptrdiff_t>(front));
    contacts.candidates.insert(contacts.candidates.end(), other.begin(), other.end());
    contacts.candidates.insert(contacts.candidates.end(), own.begin() + static_cast<std::ptrdiff_t>(front), own.end());
}

// Waits are uniform over a span proportional to the planned fleet size, because a starting host cannot know how many
// others start at the same time.
void Membership::Private::planRead(bool failed, std::int64_t retryAfterMs)
{
    contacts.failures = failed ? std::min(contacts.failures + 1, kMaxBackoffDoublings) : 0;
    const TimeMs spread = settings.plannedMembers * 1000 / settings.contactReadsPerSecond;
    const TimeMs base = std::max(spread, kMinReadSpacingMs);
    const TimeMs wait = std::min(base << contacts.failures, std::max(base, kMaxReadSpacingMs));
    // Waits for at least the whole span, so that no host reads twice before every host has read once.
    contacts.nextReadAt = now + std::max(retryAfterMs, TimeMs{0}) + wait
        + static_cast<TimeMs>(random.below(static_cast<std::uint64_t>(wait) + 1));
}

void Membership::Private::finishRound()
{
    const std::vector<int> wrong = wrongSlots();
    const std::set<std::string_view> holders = contactHolders(wrong);
    const int slot = slotToWrite(wrong, holders);
    if (!isAlone()) {
        contacts.writeAllowedAt = 0;
        contacts.nextReadAt = now + jitter(settings.contactAuditMs);
    } else if (holders.contains(self().host)) {
        // The local host is a contact and no other contact answers, so there is no member to fetch the table from.
        markJoined(self().host);
        stale = false;
    }
    // A host that has just joined knows few members of its zone and would wrongly consider itself an auditor, one of
    // its first 3 members in hash order.
    if (slot < 0 || (!isAlone() && (!contacts.audit || syncing || stale))) {
        return;
    }
    if (isAlone() && contacts.writeAllowedAt == 0) {
        const TimeMs spread = settings.plannedMembers * 1000 / settings.contactWritesPerSecond;
        contacts.writeAllowedAt = now + static_cast<TimeMs>(random.below(static_cast<std::uint64_t>(spread) + 1));
        // The contacts are read again before the write, because another host may have written one meanwhile.
        contacts.nextReadAt = std::min(contacts.nextReadAt, contacts.writeAllowedAt);
        return;
    }
    if (!isAlone() || now >= contacts.writeAllowedAt) {
        contacts.writeAllowedAt = 0;
        writeContact(slot);
    }
}

std::vector<int> Membership::Private::wrongSlots() const
{
    std::vector<int> wrong;
    std::set<std::string_view> hosts;
    for (int slot = 0; slot < kContactsPerZone; ++slot) {
        const auto found = contacts.known.find(contactName(self().zone, slot));
        const bool right = found != contacts.known.end() && !found->second.host.empty() && !found->second.silent
            && (found->second.host != self().host || found->second.control == controlAddress(self()))
            && hosts.insert(found->second.host).second;
        if (!right) {
            wrong.push_back(slot);
        }
    }
    return wrong;
}

std::set<std::string_view> Membership::Private::contactHolders(const std::vector<int> &wrong) const
{
    std::set<std::string_view> holders;
    for (int slot = 0; slot < kContactsPerZone; ++slot) {
        const auto found = contacts.known.find(contactName(self().zone, slot));
        if (found != contacts.known.end() && std::find(wrong.begin(), wrong.end(), slot) == wrong.end()) {
            holders.insert(found->second.host);
        }
    }
    return holders;
}

// The i-th auditor that holds no contact slot writes the i-th wrong slot, so that two auditors rarely write the same
// one.
int Membership::Private::slotToWrite(const std::vector<int> &wrong, const std::set<std::string_view> &holders)
{
    if (wrong.empty() || holders.contains(self().host)) {
        return -1;
    }
    if (isAlone()) {
        return wrong[random.below(wrong.size())];
    }
    const std::span<const Member> zone = table.zoneMembers(self().zone);
    std::size_t index = 0;
    for (std::size_t rank = 0; rank < std::min<std::size_t>(kContactsPerZone, zone.size()); ++rank) {
        if (zone[rank].host == self().host) {
            return index < wrong.size() ? wrong[index] : -1;
        }
        index += holders.contains(zone[rank].host) ? 0 : 1;
    }
    return -1;
}

void Membership::Private::writeContact(int slot)
{
    const std::string name = contactName(self().zone, slot);
    const SocketAddress address = controlAddress(self());
    const std::string value = json{
        {"host", self().host},
        {"address", address.ip},
        {"port", address.port},
        {"incarnation",
         self().incarnation}}.dump();
    metrics.count("membership_platform_calls", "write", 1);
    const std::uint64_t call = beginCall();
    auto done = [this, call, name, guard = std::weak_ptr<bool>(alive)](const StoreReply &reply) {
        if (!guard.expired() && call == contacts.call && contacts.calling) {
            contacts.calling = false;
            onContactWritten(name, reply);
        }
    };
    const std::int64_t version = contacts.known[name].objectVersion;
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
    planRead(failed, reply.retryAfterMs);
}

} // namespace fulmarledge
