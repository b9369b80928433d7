#pragma once

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "fulmarledge/membership.h"
#include "hosttable_p.h"
#include "updatequeue_p.h"

namespace fulmarledge {

/// Allows up to `perSecond` actions in each second. Actions left over in one second do not carry over to the next.
class RateLimit
{
public:
    explicit RateLimit(int perSecond)
        : m_perSecond(perSecond)
    {
    }
    /// Counts one action and returns whether it is allowed.
    bool take(TimeMs now);
    /// Number of actions refused in the current second.
    int refused() const
    {
        return m_taken > m_perSecond ? m_taken - m_perSecond : 0;
    }

private:
    int m_perSecond;
    int m_taken = 0;
    TimeMs m_windowStart = -1000000;
};

/// Where a record came from. A record that declares a live host dead is accepted at once only as gossip from a live
/// member. From elsewhere it makes the host suspect.
enum class RecordSource : std::uint8_t {
    Gossip,
    Stranger, ///< gossip from a sender that is unknown, dead or left
    Table, ///< join reply or table reply
};

/// Deadline of a host in a priority queue.
struct DeadlineItem {
    TimeMs at = 0;
    std::uint64_t hash = 0; ///< memberHash() of the host

    bool operator>(const DeadlineItem &other) const
    {
        return at > other.at;
    }
};

/// A probe that waits for an answer.
struct Probe {
    std::int64_t sequence = 0;
    std::uint64_t target = 0; ///< memberHash() of the probed host
    TimeMs sentAt = 0;
    TimeMs deadline = 0;
    std::uint64_t heardBefore = 0; ///< messages received before the probe was sent
    bool indirect = false; ///< other members have been asked to probe the target too
    bool failed = false; ///< kept for a while to detect a late answer
};

/// A ping sent on behalf of another member.
struct Relay {
    std::int64_t sequence = 0; ///< of the ping that this host sent
    std::int64_t originSequence = 0; ///< of the requester's probe
    SocketAddress requester;
    std::string target;
    TimeMs expires = 0;
};

/// Parsed contact object of the platform.
struct Contact {
    std::int64_t objectVersion = 0; ///< 0 when there is no such object
    std::string zone;
    std::string host; ///< empty when the value is malformed
    SocketAddress control;
    std::int64_t incarnation = 0;
    bool silent = false; ///< its host did not answer a join in this round
};

/// A join that waits for a reply.
struct JoinAttempt {
    std::int64_t sequence = 0;
    std::string contact; ///< name of the contact object; empty for a member of the local table
    std::string host;
    TimeMs deadline = 0;
};

/// A contact that a join is still to be sent to in this round.
struct JoinCandidate {
    std::string contact; ///< name of the contact object
    TimeMs notBefore = 0;
};

/// State of reading and writing contact objects and of joining through contacts. A round begins with a read and ends
/// when each candidate has answered or timed out.
struct ContactState {
    std::map<std::string, Contact> known; ///< contacts of the last read, by object name
    std::vector<JoinCandidate> candidates;
    std::vector<JoinAttempt> attempts;
    TimeMs nextReadAt = 0;
    TimeMs callSentAt = 0;
    TimeMs writeAllowedAt = 0; ///< earliest write by a host that knows no live member; 0 when no write is planned
    int failures = 0; ///< consecutive failed platform calls
    bool calling = false; ///< a platform call is outstanding
    bool audit = false; ///< at the last read this host knew live members and its table was not stale
    bool joinsAll = false; ///< this round sends a join to every contact that is not live in the table
    bool roundOpen = false; ///< joins through the contacts of the last read are in progress
    std::uint64_t call = 0; ///< number of the newest platform call
};

class Membership::Private
{
public:
    Private(const MembershipSettings &settings, const wire::HostRecord &self, PeerTransport &transport,
            PlatformStore &store, RandomSource &random, MetricsSink &metrics, EventLog &log);

    // membership.cpp: state and messages
    void start(std::int64_t wallClockMs);
    void tick();
    void receive(const wire::Envelope &message);
    /// Replaces the local record under a higher incarnation and queues it for gossip.
    void setOwn(wire::HostRecord record);
    void clockJump();
    /// @param introduces whether the message is a join or join reply, to which an unknown sender needs no ping
    void applyHeader(const wire::Header &header, bool introduces);
    void countAndLog(std::string_view metric, std::string_view event, const std::string &host);
    const wire::HostRecord &self() const
    {
        return table.record(0);
    }

    // merge.cpp: records
    void merge(const wire::HostRecord &received, RecordSource source);
    /// Stores the record of another host and queues it for gossip if `gossips`.
    void apply(const wire::HostRecord &record, bool gossips = true);
    void rememberLeaving(const wire::HostRecord &record);
    /// Adds the stored leaving backend server of `host` to a reply to it.
    template <typename Reply>
    void tellLeaving(const std::string &host, Reply &reply) const
    {
        if (const auto known = leaving.find(host); known != leaving.end()) {
            reply.__set_leavingInstance(known->second.instance);
            reply.__set_leavingBornMs(known->second.bornMs);
        }
    }
    /// Stores the leaving backend server of the local host that a reply reports.
    template <typename Reply>
    void takeLeaving(const Reply &reply)
    {
        if (reply.__isset.leavingInstance) {
            remembered = LeavingBackend{reply.leavingInstance, reply.leavingBornMs};
        }
    }
    /// Raises the local incarnation above that of a received record that contradicts the local one.
    void onOwnRecord(const wire::HostRecord &record);
    void setLiveness(std::uint32_t slot, wire::Liveness::type liveness);
    /// Queues the record for gossip.
    void announce(std::uint32_t slot);
    /// Sends queued records at once to `fanout` random live members.
    void burst(int fanout);
    void burstTick();
    void expireSuspicions();
    void pruneTombstones();
    TimeMs suspicionTime(const wire::HostRecord &record) const;

    // probe.cpp: failure detection
    void probeTick();
    void startProbe(std::uint32_t slot);
    void expireProbes();
    void failProbe(Probe &probe);
    void sendPing(std::uint32_t slot, std::int64_t sequence, bool reliable = false);
    void probeTombstones();
    /// Sends a suspect or dead host the record held of it, so that it can refute.
    void challenge(std::uint32_t slot, const SocketAddress &address);
    void onPing(const wire::Envelope &message);
    void onPingReq(const wire::Envelope &message);
    void onAck(const wire::Envelope &message);
    void changeHealth(int amount);

    // tablesync.cpp: anti-entropy
    void onDigest(const wire::Envelope &message);
    void onTableRequest(const wire::Envelope &message);
    void onTableReply(const wire::Envelope &message);
    void settleDifference();
    void sendTableRequest(const SocketAddress &to);
    void syncTick();

    // contacts.cpp: joining and contact records
    void contactTick();
    void joinKnownMembers();
    void sendJoin(const std::string &contact, const std::string &host, const SocketAddress &address);
    void sendJoins();
    void expireJoins();
    void onJoin(const wire::Envelope &message);
    void markJoined(const std::string &through);
    void onJoinReply(const wire::Envelope &message);
    void readContacts();
    void onContacts(const StoreReply &reply);
    void collectCandidates();
    void finishRound();
    /// Contact slots of the local zone, 0 to 2, whose object is missing or malformed, does not answer, repeats another
    /// one's host or gives an outdated address of the local host.
    std::vector<int> wrongSlots() const;
    /// Hosts of the other contact slots of the local zone.
    std::set<std::string_view> contactHolders(const std::vector<int> &wrong) const;
    /// The contact slot that this host should write, or -1.
    int slotToWrite(const std::vector<int> &wrong, const std::set<std::string_view> &holders);
    void writeContact(int slot);
    void onContactWritten(const std::string &name, const StoreReply &reply);
    std::uint64_t beginCall();
    /// Sets the time of the next read of the contacts.
    void planRead(bool failed, std::int64_t retryAfterMs);
    /// Whether no other member is live.
    bool isAlone() const
    {
        return table.live().empty();
    }
    /// Uniform between half of `mean` and one and a half times `mean`.
    TimeMs jitter(TimeMs mean);

    const MembershipSettings settings;
    PeerTransport &transport;
    PlatformStore &store;
    RandomSource &random;
    MetricsSink &metrics;
    EventLog &log;

    HostTable table;
    UpdateQueue updates;
    TimeMs now = 0;
    TimeMs lastTick = 0;
    bool started = false;
    bool joined = false;
    bool stale = false;
    std::uint64_t revision = 0;
    std::uint64_t heard = 0; ///< messages received from other hosts

    RateLimit bursts;
    std::priority_queue<DeadlineItem, std::vector<DeadlineItem>, std::greater<>> suspicions;
    std::priority_queue<DeadlineItem, std::vector<DeadlineItem>, std::greater<>> prunes;
    TimeMs graceUntil = 0; ///< timeouts are not evaluated before this time, because this process ran late

    std::int64_t sequence = 0;
    std::vector<Probe> probes;
    std::vector<Relay> relays;
    TimeMs nextProbeAt = 0;
    TimeMs nextSuccessorAt = 0;
    TimeMs nextTombstoneAt = 0;
    int revivalProbes = 0; ///< extra probes of tombstones still to be sent because a dead member came back
    int health = 0; ///< 0 is good, higher means that this process or its link is slower
    RateLimit challenges; ///< pings to unknown senders, and challenges

    /// Leaving backend servers by host, reported to the next process of that host.
    std::map<std::string, LeavingBackend, std::less<>> leaving;
    std::optional<LeavingBackend> remembered; ///< of the local host, until takeRemembered()

    bool syncing = false; ///< the table is being fetched from other members
    TimeMs nextSyncAt = 0;
    TimeMs differenceAt = 0; ///< when a digest showed a difference that is not settled yet; 0 for none
    std::uint64_t differenceHash = 0; ///< local table hash at that time
    SocketAddress differencePeer; ///< sender of that digest
    int unsettled = 0; ///< consecutive waits in which the local table changed
    RateLimit tableReplies;

    ContactState contacts;
    RateLimit joins;
    /// Platform callbacks hold a weak pointer to it and do nothing after this object is destroyed.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace fulmarledge
