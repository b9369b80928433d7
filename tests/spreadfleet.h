#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <vector>

#include "fleetview.h"
#include "fulmarledge/spread.h"
#include "spreadrules.h"

namespace fulmarledge::spreadtest {

/// Wall clock at the start of the test, in milliseconds since 1970.
constexpr std::int64_t kWallClockAtStartMs = 1700000000000;

struct FleetSettings {
    int nodes = 12;
    int plannedNodes = 0; ///< fleet size for which reads of the platform are spaced, if above `nodes`
    int zones = 3;
    std::uint64_t seed = 1;
    int services = 3; ///< services of a manifest
    int serversPerService = 2;
    bool measureBytes = false; ///< encodes each message to count its bytes
    SpreadSettings spread;
};

/// A fleet of Spread objects with a simulated network, membership and platform in virtual time.
class SpreadFleet
{
public:
    explicit SpreadFleet(const FleetSettings &settings)
        : random(settings.seed)
        , platform(queue, random)
        , m_settings(settings)
    {
        m_settings.spread.expectedFleetSize = static_cast<std::size_t>(std::max(settings.nodes, settings.plannedNodes));
        for (int z = 0; z < settings.zones; ++z) {
            m_directory.zones["zone-" + std::to_string(z)];
        }
        for (int i = 0; i < settings.nodes; ++i) {
            m_nodes.push_back(std::make_unique<Node>(*this, i));
        }
    }

    void startAll()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            start(i);
        }
    }
    void start(std::size_t index)
    {
        Node &node = *m_nodes[index];
        node.paused = false;
        node.deferredActions.clear();
        node.member.incarnation = kWallClockAtStartMs + queue.now();
        node.join();
        node.spread = std::make_unique<Spread>(m_settings.spread, node, node, node, node.random, metrics, m_log, node);
        node.spread->start(queue.now());
    }
    /// Ends the process. The membership removes the host after 5 s, unless it has started again by then.
    void kill(std::size_t index)
    {
        Node &node = *m_nodes[index];
        node.spread.reset();
        const int endedProcesses = ++node.endedProcesses;
        queue.after(5000, [&node, endedProcesses] {
            if (!node.spread && node.endedProcesses == endedProcesses) {
                node.leave();
            }
        });
    }
    /// Suspends the process. What it receives meanwhile is handled after resume().
    void pause(std::size_t index)
    {
        m_nodes[index]->paused = true;
    }
    void resume(std::size_t index)
    {
        Node &node = *m_nodes[index];
        if (!node.spread || !node.paused) {
            return;
        }
        node.paused = false;
        node.spread->onClockJump(queue.now());
        for (const auto &action : std::exchange(node.deferredActions, {})) {
            action();
        }
    }
    /// Cuts a zone off from the others. The membership removes the unreachable members after 5 s.
    void partitionZone(const std::string &zone)
    {
        partitionedZone = zone;
        queue.after(5000, [this, zone] { m_directory.isolatedZone = partitionedZone == zone ? zone : ""; });
    }
    void healPartition()
    {
        partitionedZone.clear();
        m_directory.isolatedZone.clear();
    }

    /// Accepts the next version and stores its content in the platform.
    /// @param text content, by default one that no version had before
    Version accept(std::string text = "")
    {
        if (text.empty()) {
            text = manifestText(m_settings.services, m_settings.serversPerService,
                                static_cast<int>(m_head.version()) + 1);
        }
        platform.put(std::string(kManifestKind), sha256Hex(text), text);
        return acceptDigest(sha256Hex(text), text);
    }
    /// Accepts the next version without storing its content.
    Version acceptDigest(const std::string &digest, const std::string &text)
    {
        m_head = m_head.withAcceptance(digest, "s", queue.now());
        rules.onAccepted(m_head.version(), text);
        platform.put(std::string(kHeadKind), std::string(kHeadName), m_head.toText());
        return m_head.version();
    }

    /// Advances the time by `duration` in ms. Each node ticks every 50 ms, at an offset of its own.
    void run(TimeMs duration)
    {
        for (const TimeMs end = queue.now() + duration; queue.now() < end;) {
            queue.runTo(queue.now() + 1);
            for (std::size_t i = static_cast<std::size_t>(queue.now() % 50); i < m_nodes.size(); i += 50) {
                Node &node = *m_nodes[i];
                if (node.spread && !node.paused) {
                    node.spread->onTick(queue.now());
                    node.noteHeldVersion();
                }
            }
        }
    }
    /// Runs until every started node is ready with the newest version. Returns the time taken in ms, or nothing if that
    /// has not happened after `limit`.
    std::optional<TimeMs> runUntilConverged(TimeMs limit)
    {
        const TimeMs begin = queue.now();
        while (!hasConverged()) {
            if (queue.now() - begin >= limit) {
                return std::nullopt;
            }
            run(10);
        }
        return queue.now() - begin;
    }
    bool hasConverged() const
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto &node) {
            return !node->spread
                || (!node->paused && node->spread->isReady() && node->spread->version() == m_head.version());
        });
    }
    Spread *spread(std::size_t index)
    {
        return m_nodes[index]->spread.get();
    }
    std::size_t size() const
    {
        return m_nodes.size();
    }
    bool isPaused(std::size_t index) const
    {
        return m_nodes[index]->paused;
    }
    /// Removes a running host from the members that the others know, so that they send it nothing. The host itself
    /// still runs and knows them.
    void hideFromOthers(std::size_t index)
    {
        m_nodes[index]->leave();
    }
    void setIsolated(bool isolated)
    {
        m_directory.isolated = isolated;
    }
    /// Index of the watcher of rank 0 in `zone`.
    std::size_t firstWatcher(const std::string &zone) const
    {
        const auto &members = m_directory.zones.at(zone);
        const auto best = std::max_element(members.begin(), members.end(), [&](const Member &a, const Member &b) {
            return rendezvousWeight(zone, a.host) < rendezvousWeight(zone, b.host);
        });
        return static_cast<std::size_t>(std::stoi(best->host.substr(5)));
    }
    /// Number of contents that each node has received since the last call of resetCounters().
    std::vector<int> copies() const
    {
        std::vector<int> out;
        for (const auto &node : m_nodes) {
            out.push_back(node->copies);
        }
        return out;
    }
    /// Number of writes to the platform attempted by all nodes.
    std::int64_t writes() const
    {
        std::int64_t sum = 0;
        for (const auto &node : m_nodes) {
            sum += node->writes;
        }
        return sum;
    }
    void resetCounters()
    {
        for (const auto &node : m_nodes) {
            node->copies = 0;
        }
        messages = 0;
        contentBytes = 0;
        bytes = 0;
    }

    EventQueue queue;
    SeededRandom random;
    FakePlatform platform;
    NetworkFaults network;
    ActivationRules rules;
    CountingMetrics metrics;
    std::string partitionedZone; ///< zone that is cut off from the others, or empty
    std::string zoneWithoutPlatform; ///< zone that cannot reach the platform
    std::set<std::size_t> hostsLosingSends; ///< hosts whose outgoing datagrams are lost
    std::set<std::size_t> hostsLosingReceives; ///< hosts whose incoming datagrams are lost
    std::set<std::size_t> hostsWithoutPlatform; ///< hosts that cannot reach the platform
    std::function<void(wire::Envelope &)> alterMessage; ///< changes each message before it is delivered
    std::int64_t messages = 0; ///< sent, lost ones included
    std::int64_t bytes = 0; ///< encoded size of `messages`, if measured
    std::int64_t contentBytes = 0; ///< encoded size of the messages that carry a content, if measured

private:
    class Node : public FleetView, public PeerTransport, public ReadOnlyStore, public SpreadListener
    {
    public:
        Node(SpreadFleet &owner, int index)
            : FleetView(owner.m_directory, index, index % owner.m_settings.zones)
            , random(owner.random.below(~std::uint64_t{0}))
            , fleet(owner)
        {
        }

        void send(const SocketAddress &to, const wire::Envelope &message) override
        {
            fleet.deliver(*this, to.port, message, false);
        }
        void sendReliably(const SocketAddress &to, const wire::Envelope &message) override
        {
            fleet.deliver(*this, to.port, message, true);
        }

        void get(std::string_view kind, std::string_view name, StoreCallback callback) override
        {
            if (!failIfUnreachable(callback)) {
                fleet.platform.get(kind, name, deferWhilePaused(std::move(callback)));
            }
        }
        void watch(std::string_view kind, std::string_view name, std::int64_t from, std::int64_t timeout,
                   StoreCallback callback) override
        {
            if (!failIfUnreachable(callback)) {
                fleet.platform.watch(kind, name, from, timeout, deferWhilePaused(std::move(callback)));
            }
        }
        void onManifestActivated(Version version, const std::string &digest,
                                 std::shared_ptr<const Manifest> manifest) override
        {
            const bool replicated = liveCount() <= 1
                || std::any_of(fleet.m_nodes.begin(), fleet.m_nodes.end(),
                               [&](const auto &other) { return other.get() != this && other->highestHeld >= version; });
            fleet.rules.onActivated(member.host, version, digest, *manifest, replicated);
        }

        /// Runs `action` now, or after resume() if the process is paused.
        void runOrDefer(std::function<void()> action)
        {
            if (paused) {
                deferredActions.push_back(std::move(action));
            } else {
                action();
            }
        }
        void receive(const wire::Envelope &message)
        {
            if (spread) {
                copies += message.__isset.push || message.__isset.content ? 1 : 0;
                spread->onMessage(fleet.queue.now(), message);
                noteHeldVersion();
            }
        }
        void noteHeldVersion()
        {
            highestHeld = std::max(highestHeld, spread->heldVersion());
        }
        /// If the host cannot reach the platform, fails the call and returns true.
        bool failIfUnreachable(const StoreCallback &callback)
        {
            if (fleet.zoneWithoutPlatform != member.zone && !fleet.hostsWithoutPlatform.contains(member.control.port)) {
                return false;
            }
            fleet.queue.after(2, [deferred = deferWhilePaused(callback)] {
                deferred({StoreStatus::Unavailable, {}, 0, "cut"});
            });
            return true;
        }
        /// Wraps `callback` so that it waits while the process is paused and does nothing once the process has ended.
        StoreCallback deferWhilePaused(StoreCallback callback)
        {
            return [this, callback, endedBefore = endedProcesses](const StoreReply &reply) {
                runOrDefer([this, callback, endedBefore, reply] {
                    if (spread && endedProcesses == endedBefore) {
                        callback(reply);
                        noteHeldVersion();
                    }
                });
            };
        }

        SeededRandom random;
        SpreadFleet &fleet;
        std::unique_ptr<Spread> spread;
        bool paused = false;
        int endedProcesses = 0; ///< number of processes that have ended on this host
        int copies = 0; ///< contents received
        Version highestHeld = 0; ///< highest version held, over all processes of the host
        std::deque<std::function<void()>> deferredActions; ///< actions that wait for resume()
    };

    void deliver(Node &from, std::size_t to, const wire::Envelope &original, bool reliable)
    {
        auto message = std::make_shared<wire::Envelope>(original);
        message->header.host = from.member.host;
        message->header.zone = from.member.zone;
        message->header.version = from.spread ? from.spread->version() : 0;
        message->header.incarnation = from.member.incarnation;
        message->header.address = from.member.control.ip;
        message->header.controlPort = from.member.control.port;
        Node &target = *m_nodes[to];
        ++messages;
        countBytes(*message);
        const bool cut = !partitionedZone.empty() && from.member.zone != target.member.zone
            && (partitionedZone == from.member.zone || partitionedZone == target.member.zone);
        const bool lost = hostsLosingSends.contains(from.member.control.port) || hostsLosingReceives.contains(to);
        if (cut || (!reliable && (lost || random.chance(network.lossPerMille)))) {
            return;
        }
        if (alterMessage) {
            alterMessage(*message);
        }
        corrupt(*message);
        for (int copy = random.chance(network.duplicatePerMille) ? 2 : 1; copy > 0; --copy) {
            const TimeMs delay = random.chance(network.latePerMille) ? random.between(100, 3000) : random.between(1, 3);
            queue.after(delay,
                        [&target, message] { target.runOrDefer([&target, message] { target.receive(*message); }); });
        }
    }
    /// Damages the content of a message with the probability of the network faults.
    void corrupt(wire::Envelope &message)
    {
        wire::Content *content = message.__isset.push ? &message.push.content
            : message.__isset.content                 ? &message.content
                                                      : nullptr;
        if (content == nullptr || !random.chance(network.corruptPerMille)) {
            return;
        }
        if (content->__isset.delta && !content->delta.services.empty()) {
            content->delta.services.pop_back();
        } else if (content->__isset.full) {
            content->full[random.below(content->full.size())] ^= 1;
        }
    }
    void countBytes(const wire::Envelope &message)
    {
        if (!m_settings.measureBytes) {
            return;
        }
        auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
        apache::thrift::protocol::TCompactProtocol protocol(buffer);
        message.write(&protocol);
        bytes += buffer->available_read();
        if (message.__isset.push || message.__isset.content) {
            contentBytes += buffer->available_read();
        }
    }

    FleetSettings m_settings;
    NullLog m_log;
    Head m_head;
    FleetDirectory m_directory;
    std::vector<std::unique_ptr<Node>> m_nodes;
};

} // namespace fulmarledge::spreadtest
