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
class RateLimiter
{
public:
    explicit RateLimiter(int perSecond)
        : m_perSecond(perSecond)
    {
    }
    /// Counts one action and returns whether it is allowed.
    bool tryTake(TimeMs now);
    /// Number of actions refused in the current second.
    int refusedCount() const
    {
        return m_requested > m_perSecond ? m_requested - m_perSecond : 0;
    }

private:
    int m_perSecond;
    int m_requested = 0;
    TimeMs m_windowStart = -1000000;
};

/// Where a record came from. A record that declares a live host dead is accepted at once only as gossip from a live
/// member. From elsewhere it makes the host suspect.
enum class RecordSource : std::uint8_t {
    Gossip,
    UntrustedGossip, ///< gossip from a sender that is unknown, dead or left
    Table, ///< join reply or table reply
};

/// Deadline of a host in a priority queue.
struct HostDeadline {
    TimeMs at = 0;
    std::uint64_t hash = 0; ///< memberHash() of the host

    bool operator>(const HostDeadline &other) const
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
    std::uint64_t receivedBefore = 0; ///< value of receivedMessages when the probe was sent
    bool indirect = false; ///< other members have been asked to probe the target too
    bool failed = false; ///< kept for a while to detect a late answer
};

/// A ping sent on behalf of another member.
struct RelayedPing {
    std::int64_t sequence = 0; ///< of the ping that this host sent
    std::int64_t requesterSequence = 0; ///< of the requester's probe
    SocketAddress requester;
    std::string target;
    TimeMs expiresAt = 0;
};

/// Parsed contact object of the platform.
struct Contact {
    std::int64_t objectVersion = 0; ///< 0 when there is no such object
    std::string zone;
    std::string host; ///< empty when the value is malformed
    SocketAddress control;
    std::int64_t incarnation = 0;
    bool unresponsive = false; ///< its host did not answer a join in this round
};

/// A join that waits for a reply.
struct JoinAttempt {
    std::int64_t sequence = 0;
    std::string objectName; ///< name of the contact object; empty for a member of the local table
    std::string host;
    TimeMs deadline = 0;
};

/// A contact that is still to be sent a join in this round.
struct JoinCandidate {
    std::string objectName; ///< name of the contact object
    TimeMs notBefore = 0;
};

/// State of reading and writing contact objects and of joining through contacts. A round begins with a read and ends
/// when each candidate has answered or timed out.
struct ContactState {
    std::map<std::string, Contact> byName; ///< contacts of the last read, by object name
    std::vector<JoinCandidate> candidates;
    std::vector<JoinAttempt> attempts;
    TimeMs nextReadAt = 0;
    TimeMs callSentAt = 0;
    TimeMs writeAllowedAt = 0; ///< earliest write by a host that knows no live member; 0 when no write is planned
    int consecutiveFailures = 0; ///< failed platform calls
    bool callPending = false; ///< a platform call is outstanding
    bool isAuditRound = false; ///< at the last read this host knew live members and its table was not stale
    bool joinThroughAll = false; ///< this round sends a join to every contact that is not live in the table
    bool roundActive = false; ///< joins through the contacts of the last read are in progress
    std::uint64_t lastCallId = 0; ///< of the newest platform call
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
    void updateLocalRecord(wire::HostRecord record);
    void handleClockJump();
    /// @param isJoinExchange whether the message is a join or join reply, whose sender is not pinged if it is unknown
    void applyHeader(const wire::Header &header, bool isJoinExchange);
    void countAndLog(std::string_view metric, std::string_view event, const std::string &host);
    const wire::HostRecord &self() const
    {
        return table.record(0);
    }

    // merge.cpp: records
    void merge(const wire::HostRecord &received, RecordSource source);
    /// Stores the record of another host and, if `gossip` is set, queues it for gossip.
    void applyRecord(const wire::HostRecord &record, bool gossip = true);
    void storeLeaving(const wire::HostRecord &record);
    /// Adds the stored leaving backend server of `host` to a reply to it.
    template <typename Reply>
    void addLeaving(const std::string &host, Reply &reply) const
    {
        if (const auto found = leavingByHost.find(host); found != leavingByHost.end()) {
            reply.__set_leavingInstance(found->second.instance);
            reply.__set_leavingBornMs(found->second.processStartMs);
        }
    }
    /// Stores the leaving backend server of the local host that a reply reports.
    template <typename Reply>
    void readLeaving(const Reply &reply)
    {
        if (reply.__isset.leavingInstance) {
            reportedLeaving = LeavingBackend{reply.leavingInstance, reply.leavingBornMs};
        }
    }
    /// Raises the local incarnation above that of a received record that contradicts the local one.
    void mergeLocalRecord(const wire::HostRecord &record);
    void setLiveness(std::uint32_t slot, wire::Liveness::type liveness);
    /// Queues the record for gossip.
    void queueUpdate(std::uint32_t slot);
    /// Sends queued records at once to `fanout` random live members.
    void sendBurst(int fanout);
    void burstTick();
    void expireSuspicions();
    void pruneTombstones();
    TimeMs suspicionTimeout(const wire::HostRecord &record) const;

    // probe.cpp: failure detection
    void probeTick();
    void startProbe(std::uint32_t slot);
    void processProbeTimeouts();
    void failProbe(Probe &probe);
    void sendPing(std::uint32_t slot, std::int64_t pingSequence, bool reliable = false);
    void probeTombstones();
    /// Sends a suspect or dead host the record held of it, so that it can refute.
    void requestRefutation(std::uint32_t slot, const SocketAddress &address);
    void onPing(const wire::Envelope &message);
    void onPingReq(const wire::Envelope &message);
    void onAck(const wire::Envelope &message);
    void adjustLocalHealth(int amount);

    // tablesync.cpp: anti-entropy
    void onDigest(const wire::Envelope &message);
    void onTableRequest(const wire::Envelope &message);
    void onTableReply(const wire::Envelope &message);
    void checkDifference();
    void sendTableRequest(const SocketAddress &to);
    void syncTick();

    // contacts.cpp: joining and contact objects
    void contactTick();
    /// Sends a join to a few members of the local table.
    void rejoinThroughMembers();
    void sendJoin(const std::string &objectName, const std::string &host, const SocketAddress &address);
    void sendJoins();
    void expireJoins();
    void onJoin(const wire::Envelope &message);
    void markJoined(const std::string &peer);
    void onJoinReply(const wire::Envelope &message);
    void readContacts();
    void onContactsRead(const StoreReply &reply);
    void collectCandidates();
    void finishRound();
    /// Indices of the local zone's contacts, 0 to 2, whose object is missing or malformed, whose host does not answer
    /// or has another contact already, or that give an outdated address of the local host.
    std::vector<int> contactsToReplace() const;
    /// Hosts of the local zone's other contacts.
    std::set<std::string_view> validContactHosts(const std::vector<int> &toReplace) const;
    /// Index of the contact that this host should write, or -1.
    int contactToWrite(const std::vector<int> &toReplace, const std::set<std::string_view> &validHosts);
    void writeContact(int index);
    void onContactWritten(const std::string &name, const StoreReply &reply);
    /// Marks a platform call as pending and returns its id.
    std::uint64_t beginCall();
    /// Sets the time of the next read of the contacts.
    void scheduleRead(bool failed, std::int64_t retryAfterMs);
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
    std::uint64_t receivedMessages = 0; ///< from other hosts

    RateLimiter burstLimiter;
    std::priority_queue<HostDeadline, std::vector<HostDeadline>, std::greater<>> suspicionDeadlines;
    std::priority_queue<HostDeadline, std::vector<HostDeadline>, std::greater<>> tombstoneDeadlines;
    TimeMs graceUntil = 0; ///< timeouts are not evaluated before this time, because this process ran late

    std::int64_t sequence = 0; ///< of the last ping or join sent
    std::vector<Probe> probes;
    std::vector<RelayedPing> relayedPings;
    TimeMs nextProbeAt = 0;
    TimeMs nextSuccessorProbeAt = 0;
    TimeMs nextTombstoneProbeAt = 0;
    int pendingRevivalProbes = 0; ///< extra probes of tombstones still to be sent because a dead member came back
    int localHealth = 0; ///< 0 is good, higher means that this process or its link is slower
    RateLimiter senderQueryLimiter; ///< pings to unknown senders and refutation requests

    /// Leaving backend servers by host, reported to the next process of that host.
    std::map<std::string, LeavingBackend, std::less<>> leavingByHost;
    std::optional<LeavingBackend> reportedLeaving; ///< of the local host, until takeLeavingBackend()

    bool fetchingTable = false; ///< the table is being fetched from other members
    TimeMs nextTableRequestAt = 0;
    TimeMs differenceSince = 0; ///< when a digest showed a difference that is not settled yet; 0 for none
    std::uint64_t hashAtDifference = 0; ///< local table hash at that time
    SocketAddress differencePeer; ///< sender of that digest
    int changedWaits = 0; ///< consecutive waits in which the local table changed
    RateLimiter tableReplyLimiter;

    ContactState contacts;
    RateLimiter joinLimiter;
    /// Platform callbacks hold a weak pointer to it and do nothing after this object is destroyed.
    std::shared_ptr<bool> lifetimeToken = std::make_shared<bool>(true);
};

} // namespace fulmarledge
