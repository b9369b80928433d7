#pragma once

#include <cstdlib>
#include <numeric>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "membershipfakes.h"

namespace fulmarledge::membershiptest {

/// Size of the message in Thrift's compact protocol.
inline std::size_t encodedBytes(const wire::Envelope &message)
{
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    return message.write(&protocol);
}

/// Returns `count` consecutive seeds that begin with 1. The environment variables FULMARLEDGE_FIRST_SEED and
/// FULMARLEDGE_SEEDS override the first seed and the count.
inline std::vector<std::uint64_t> seeds(std::uint64_t count)
{
    const char *firstText = std::getenv("FULMARLEDGE_FIRST_SEED");
    const char *countText = std::getenv("FULMARLEDGE_SEEDS");
    std::vector<std::uint64_t> result(countText == nullptr ? count : std::strtoull(countText, nullptr, 10));
    std::iota(result.begin(), result.end(), firstText == nullptr ? 1 : std::strtoull(firstText, nullptr, 10));
    return result;
}

struct NetworkFaults {
    int lossPercent = 0;
    int duplicatePercent = 0; ///< messages delivered twice
    TimeMs minDelayMs = 1;
    TimeMs maxDelayMs = 3; ///< a range of delays reorders messages
};

struct Traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// Simulated fleet of Membership objects on one scheduler. Sends digests with the table hash in place of the spread
/// module.
class Fleet
{
public:
    struct Node : PeerTransport {
        Node(Fleet &owner, std::uint64_t seed)
            : fleet(owner)
            , random(seed)
        {
        }
        void send(const SocketAddress &to, const wire::Envelope &message) override
        {
            fleet.send(*this, to, message);
        }
        void sendReliably(const SocketAddress &to, const wire::Envelope &message) override
        {
            fleet.send(*this, to, message, true);
        }
        wire::HostRecord record;
        Fleet &fleet;
        SeededRandom random;
        CountingMetrics metrics;
        NullLog log;
        std::unique_ptr<Membership> core; ///< null while no process runs
        /// Changes with each start and kill, which ends the ticks of the previous process.
        std::uint64_t generation = 0;
        bool paused = false; ///< the process does not run, and messages to it wait
        TimeMs nextDigestAt = 0;
        int digestTurns = 0; ///< number of times that a digest was due
        std::uint64_t lastCheckedHash = 0; ///< table hash at the last check of incarnations
        std::map<std::string, std::int64_t> highestIncarnations; ///< seen by this process, by host
    };

    explicit Fleet(std::uint64_t seed, const MembershipSettings &defaults = {})
        : random(seed)
        , platform(scheduler)
        , settings(defaults)
    {
    }

    Node &add(const std::string &zone)
    {
        const std::size_t index = nodes.size();
        Node &node = *nodes.emplace_back(std::make_unique<Node>(*this, random.below(1U << 30U)));
        node.record.host = zone + "-host-" + std::to_string(index);
        node.record.zone = zone;
        node.record.address = "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1);
        node.record.controlPort = 7400;
        node.record.hopPort = 7401;
        node.record.callerPort = 7402;
        node.record.adminPort = 7403;
        node.record.state = wire::HostState::Starting;
        node.record.liveness = wire::Liveness::Alive;
        m_byAddress[{node.record.address, 7400}] = &node;
        return node;
    }
    void addMany(std::size_t count)
    {
        static const std::vector<std::string> zones{"ikeja", "apapa", "lekki", "yaba"};
        for (std::size_t i = 0; i < count; ++i) {
            add(zones[i % zones.size()]);
        }
    }
    /// Starts the node's process, or restarts it without any state of the previous one.
    /// @param clockOffsetMs error of the host's wall clock
    void start(Node &node, std::int64_t clockOffsetMs = 0)
    {
        node.core
            = std::make_unique<Membership>(settings, node.record, node, platform, node.random, node.metrics, node.log);
        node.paused = false;
        node.highestIncarnations.clear();
        node.nextDigestAt = scheduler.now + static_cast<TimeMs>(node.random.below(500));
        node.core->start(scheduler.now, kEpochMs + scheduler.now + clockOffsetMs);
        node.core->setLocalState(scheduler.now, wire::HostState::Serving, "bookings", 12);
        scheduleTicks(node, ++node.generation);
    }
    void startAll()
    {
        for (auto &node : nodes) {
            start(*node);
        }
    }
    void kill(Node &node)
    {
        ++node.generation;
        node.core.reset();
    }
    void run(TimeMs duration)
    {
        scheduler.runUntil(scheduler.now + duration);
    }
    /// Runs until `done` returns true, and returns the time taken, or nothing if `limit` has passed.
    std::optional<TimeMs> runUntil(const std::function<bool()> &done, TimeMs limit)
    {
        const TimeMs begin = scheduler.now;
        while (scheduler.now - begin <= limit) {
            if (done()) {
                return scheduler.now - begin;
            }
            run(50);
        }
        return std::nullopt;
    }
    void send(Node &from, const SocketAddress &to, wire::Envelope message, bool reliable = false)
    {
        const wire::HostRecord &self = from.core->records().front();
        message.header.host = self.host;
        message.header.zone = self.zone;
        message.header.incarnation = self.incarnation;
        message.header.version = 7;
        message.header.address = self.address;
        message.header.controlPort = self.controlPort;
        const std::size_t used = encodedBytes(message);
        if (used < 1200) {
            from.core->fillUpdates(message, 1200 - used);
        }
        traffic.messages += 1;
        traffic.bytes += countBytes ? encodedBytes(message) : 0;
        const auto target = m_byAddress.find(to);
        if ((messageFilter && !messageFilter(from, message)) || target == m_byAddress.end()
            || (blocked && blocked(from, *target->second))
            || (!reliable && datagramsLostFrom.contains(from.record.host))) {
            return;
        }
        const auto shared = std::make_shared<const wire::Envelope>(std::move(message));
        const int copies = chance(faults.duplicatePercent) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (reliable || !chance(faults.lossPercent)) {
                const auto spread = static_cast<std::uint64_t>(faults.maxDelayMs - faults.minDelayMs + 1);
                const TimeMs delay = faults.minDelayMs + static_cast<TimeMs>(random.below(spread));
                scheduler.at(scheduler.now + delay, [this, node = target->second, shared] { deliver(*node, shared); });
            }
        }
    }

    std::vector<Node *> running() const
    {
        std::vector<Node *> result;
        for (const auto &node : nodes) {
            if (node->core) {
                result.push_back(node.get());
            }
        }
        return result;
    }
    /// The record of `host` in the observer's table, or null.
    static const wire::HostRecord *heldRecord(const Node &observer, const std::string &host)
    {
        for (const wire::HostRecord &record : observer.core->records()) {
            if (record.host == host) {
                return &record;
            }
        }
        return nullptr;
    }

    // Checks. Each returns a description of the first violation, if there is any.

    /// No incarnation may decrease as seen by one process. Updates `highestIncarnations`.
    static std::optional<std::string> decreasedIncarnation(std::map<std::string, std::int64_t> &highestIncarnations,
                                                           std::span<const wire::HostRecord> records)
    {
        for (const wire::HostRecord &record : records) {
            std::int64_t &seen = highestIncarnations[record.host];
            if (record.incarnation < seen) {
                return record.host + " has its incarnation decreased to " + std::to_string(record.incarnation);
            }
            seen = record.incarnation;
        }
        return std::nullopt;
    }
    /// Each running process must hold exactly the running hosts as live, none as suspect, and all the same records.
    std::optional<std::string> disagreement() const
    {
        const std::vector<Node *> members = running();
        for (const Node *observer : members) {
            if (observer->core->liveCount() != members.size()) {
                return observer->record.host + " counts " + std::to_string(observer->core->liveCount()) + " of "
                    + std::to_string(members.size());
            }
            if (observer->core->tableHash() != members.front()->core->tableHash()) {
                return observer->record.host + " has a different table hash";
            }
            for (const wire::HostRecord &record : observer->core->records()) {
                if (record.liveness == wire::Liveness::Suspect) {
                    return observer->record.host + " suspects " + record.host;
                }
            }
        }
        return std::nullopt;
    }
    /// No running process may hold `host` as dead, left or unknown.
    std::optional<std::string> notHeldLive(const std::string &host) const
    {
        for (const Node *observer : running()) {
            if (observer->record.host != host && observer->core->find(host) == nullptr) {
                return observer->record.host + " does not hold " + host + " as live";
            }
        }
        return std::nullopt;
    }
    /// No running process may hold `host` as live.
    std::optional<std::string> heldLive(const std::string &host) const
    {
        for (const Node *observer : running()) {
            if (observer->record.host != host && observer->core->find(host) != nullptr) {
                return observer->record.host + " holds " + host + " as live";
            }
        }
        return std::nullopt;
    }
    /// Each running process must hold `host` in this state.
    std::optional<std::string> notInState(const std::string &host, wire::HostState::type state) const
    {
        for (const Node *observer : running()) {
            const wire::HostRecord *record = heldRecord(*observer, host);
            if (record == nullptr || record->state != state) {
                return observer->record.host + " does not hold the expected state of " + host;
            }
        }
        return std::nullopt;
    }
    /// No second may have more than `bound` calls.
    static std::optional<std::string> rateAbove(const std::map<TimeMs, int> &bySecond, int bound)
    {
        for (const auto &[second, count] : bySecond) {
            if (count > bound) {
                return std::to_string(count) + " calls in second " + std::to_string(second);
            }
        }
        return std::nullopt;
    }
    /// Sum of a counter over all nodes.
    double metricSum(const std::string &metric) const
    {
        double sum = 0;
        for (const auto &node : nodes) {
            const auto found = node->metrics.counts.find(metric);
            sum += found == node->metrics.counts.end() ? 0 : found->second;
        }
        return sum;
    }

    static constexpr std::int64_t kEpochMs = 1700000000000;
    Scheduler scheduler;
    SeededRandom random;
    FakePlatform platform;
    MembershipSettings settings;
    NetworkFaults faults;
    std::vector<std::unique_ptr<Node>> nodes;
    std::function<bool(const Node &, const Node &)> blocked; ///< whether messages between two nodes are dropped
    std::set<std::string> datagramsLostFrom; ///< hosts whose outgoing datagrams are lost
    /// May change a message, or returns false to drop it.
    std::function<bool(const Node &, wire::Envelope &)> messageFilter;
    std::optional<std::string> incarnationViolation; ///< first decrease of an incarnation that a process has seen
    bool countBytes = false; ///< whether the bytes of messages are counted in `traffic`
    bool digestsEnabled = true;
    TimeMs tickMs = 50;
    Traffic traffic;

private:
    bool chance(int percent)
    {
        return percent > 0 && random.below(100) < static_cast<std::uint64_t>(percent);
    }
    void checkIncarnations(Node &node)
    {
        // The table hash changes with the incarnation of any live host and when a host dies, leaves or returns.
        if (!incarnationViolation && node.core->tableHash() != node.lastCheckedHash) {
            node.lastCheckedHash = node.core->tableHash();
            incarnationViolation = decreasedIncarnation(node.highestIncarnations, node.core->records());
        }
    }
    void deliver(Node &node, const std::shared_ptr<const wire::Envelope> &message)
    {
        if (!node.core) {
            return;
        }
        if (node.paused) {
            // The message waits in the socket's queue until the process continues.
            scheduler.at(scheduler.now + 50, [this, &node, message] { deliver(node, message); });
            return;
        }
        node.core->onMessage(scheduler.now, *message);
        checkIncarnations(node);
    }
    void scheduleTicks(Node &node, std::uint64_t generation)
    {
        const TimeMs phase = static_cast<TimeMs>(node.random.below(static_cast<std::uint64_t>(tickMs)));
        scheduler.at(scheduler.now + phase, [this, &node, generation] { tick(node, generation); });
    }
    void tick(Node &node, std::uint64_t generation)
    {
        if (!node.core || node.generation != generation) {
            return;
        }
        if (!node.paused) {
            node.core->onTick(scheduler.now);
            checkIncarnations(node);
            if (digestsEnabled && scheduler.now >= node.nextDigestAt) {
                node.nextDigestAt = scheduler.now + 500;
                sendDigest(node);
            }
        }
        scheduler.at(scheduler.now + tickMs, [this, &node, generation] { tick(node, generation); });
    }
    void sendDigest(Node &node)
    {
        const std::span<const std::string> zones = node.core->zones();
        const bool remote = ++node.digestTurns % 8 == 0;
        const std::string zone = remote ? zones[node.random.below(zones.size())] : node.record.zone;
        const std::span<const Member> members = node.core->zoneMembers(zone);
        const Member &peer = members[node.random.below(members.size())];
        if (peer.host != node.record.host) {
            wire::Envelope message;
            message.__isset.digest = true;
            message.digest.tableHash = static_cast<std::int64_t>(node.core->tableHash());
            node.send(peer.control, message);
        }
    }

    std::map<SocketAddress, Node *> m_byAddress;
};

/// Settings with this planned fleet size. If it is small, hosts hardly wait before platform calls.
inline MembershipSettings fleetSettings(std::int64_t members)
{
    MembershipSettings settings;
    settings.expectedMembers = members;
    return settings;
}

} // namespace fulmarledge::membershiptest
