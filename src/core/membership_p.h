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

/// Allows a number of actions per second. Actions that were not taken in one second do not carry over.
class RateLimit
{
public:
    explicit RateLimit(int perSecond)
        : m_perSecond(perSecond)
    {
    }
    bool take(TimeMs now);
    /// Actions refused in the current second.
    int refused() const
    {
        return m_taken > m_perSecond ? m_taken - m_perSecond : 0;
    }

private:
    int m_perSecond;
    int m_taken = 0;
    TimeMs m_windowStart = -1000000;
};

/// Where a record came from. Only gossip from a live member is believed at once when it declares a host dead.
enum class RecordSource : std::uint8_t {
    Gossip,
    Stranger, ///< gossip from a sender that is unknown or held dead
    Table, ///< answer to a join, or bucket exchange
};

struct DeadlineItem {
    TimeMs at = 0;
    std::uint64_t hash = 0;

    bool operator>(const DeadlineItem &other) const
    {
        return at > other.at;
    }
};

/// A probe that waits for its answer.
struct Probe {
    std::int64_t sequence = 0;
    std::uint64_t target = 0;
    TimeMs sentAt = 0;
    TimeMs deadline = 0;
    std::uint64_t heardBefore = 0; ///< messages received up to the start
    bool indirect = false;
    bool failed = false; ///< kept for a while, to notice a late answer
};

/// A probe made on behalf of another member.
struct Relay {
    std::int64_t sequence = 0; ///< of the ping sent from here
    std::int64_t originSequence = 0;
    SocketAddress requester;
    std::string target;
    TimeMs expires = 0;
};

/// Contact record of the platform.
struct Contact {
    std::int64_t objectVersion = 0; ///< 0 when there is no such object
    std::string zone;
    std::string host; ///< empty when the value is malformed
    SocketAddress control;
    std::int64_t incarnation = 0;
    bool silent = false; ///< asked in this round without an answer
};

struct JoinAttempt {
    std::int64_t sequence = 0;
    std::string contact; ///< name of the contact object; empty for a member of the own table
    std::string host;
    TimeMs deadline = 0;
};

struct JoinCandidate {
    std::string contact;
    TimeMs notBefore = 0;
};

/// Reading and writing of contact records, and joining through them.
struct ContactState {
    std::map<std::string, Contact> known; ///< by object name
    std::vector<JoinCandidate> candidates;
    std::vector<JoinAttempt> attempts;
    TimeMs nextReadAt = 0;
    TimeMs callSentAt = 0;
    TimeMs writeAllowedAt = 0; ///< 0 when no write is planned
    int failures = 0; ///< consecutive failed calls
    bool calling = false; ///< a platform call is outstanding
    bool audit = false; ///< the last read was made by a member that knows others
    bool joinsAll = false; ///< this round goes through every contact that is not in the table
    bool roundOpen = false; ///< contacts of the last read are being tried
    std::uint64_t call = 0; ///< number of the newest call
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
    void setOwn(wire::HostRecord record);
    void clockJump();
    void applyHeader(const wire::Header &header, bool introduces);
    void countAndLog(std::string_view metric, std::string_view event, const std::string &host);
    const wire::HostRecord &self() const
    {
        return table.record(0);
    }

    // merge.cpp: records
    void merge(const wire::HostRecord &received, RecordSource source);
    void apply(const wire::HostRecord &record, bool gossips = true);
    void rememberLeaving(const wire::HostRecord &record);
    /// Adds to an answer for `host` what is known of its leaving backend server.
    template <typename Reply>
    void tellLeaving(const std::string &host, Reply &reply) const
    {
        if (const auto known = leaving.find(host); known != leaving.end()) {
            reply.__set_leavingInstance(known->second.instance);
            reply.__set_leavingBornMs(known->second.bornMs);
        }
    }
    template <typename Reply>
    void takeLeaving(const Reply &reply)
    {
        if (reply.__isset.leavingInstance) {
            remembered = LeavingBackend{reply.leavingInstance, reply.leavingBornMs};
        }
    }
    void onOwnRecord(const wire::HostRecord &record);
    void setLiveness(std::uint32_t slot, wire::Liveness::type liveness);
    void announce(std::uint32_t slot);
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
    std::vector<int> wrongSlots() const;
    std::set<std::string_view> contactHolders(const std::vector<int> &wrong) const;
    int slotToWrite(const std::vector<int> &wrong, const std::set<std::string_view> &holders);
    void writeContact(int slot);
    void onContactWritten(const std::string &name, const StoreReply &reply);
    std::uint64_t beginCall();
    void planRead(bool failed, std::int64_t retryAfterMs);
    bool isAlone() const
    {
        return table.live().empty();
    }
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
    std::uint64_t heard = 0; ///< messages received

    RateLimit bursts;
    std::priority_queue<DeadlineItem, std::vector<DeadlineItem>, std::greater<>> suspicions;
    std::priority_queue<DeadlineItem, std::vector<DeadlineItem>, std::greater<>> prunes;
    TimeMs graceUntil = 0; ///< no timeout is judged before, because the own process was late

    std::int64_t sequence = 0;
    std::vector<Probe> probes;
    std::vector<Relay> relays;
    TimeMs nextProbeAt = 0;
    TimeMs nextSuccessorAt = 0;
    TimeMs nextTombstoneAt = 0;
    int revivalProbes = 0; ///< probes of tombstones still due because a dead member came back
    int health = 0; ///< 0 is good
    RateLimit challenges;

    /// By host: what a host's own next process has to know about its backend server.
    std::map<std::string, LeavingBackend, std::less<>> leaving;
    std::optional<LeavingBackend> remembered; ///< of the own host, to be taken

    bool syncing = false;
    TimeMs nextSyncAt = 0;
    TimeMs differenceAt = 0; ///< when a digest differed that is not yet settled; 0 for none
    std::uint64_t differenceHash = 0; ///< own table hash at that time
    SocketAddress differencePeer;
    int unsettled = 0; ///< consecutive waits in which the own table changed
    RateLimit tableReplies;

    ContactState contacts;
    RateLimit joins;
    /// Callbacks of the platform hold it weakly and do nothing after the owner is gone.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace fulmarledge
