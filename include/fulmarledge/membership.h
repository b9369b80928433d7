#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "fulmarledge/backendlifecycle.h"
#include "fulmarledge/memberview.h"
#include "fulmarledge/ports.h"

namespace fulmarledge {

constexpr std::string_view kContactKind = "contact";

/// Times are in milliseconds. The reasons and measurements are in docs/decisions/membership.md.
struct MembershipSettings {
    TimeMs probePeriodMs = 1000;
    TimeMs probeTimeoutMs = 300; ///< wait for the answer to a direct probe
    TimeMs indirectTimeoutMs = 400; ///< further wait after other members were asked to probe too
    int indirectProbes = 3; ///< members asked to probe a host that did not answer
    bool probeSuccessor = true; ///< also probe the next member in hash order in each period
    TimeMs suspicionMinMs = 3000; ///< base of the time from suspect to dead
    TimeMs suspicionPerDoublingMs = 50; ///< added for each doubling of the number of members
    int drainingSuspicionFactor = 1; ///< multiplies the suspicion time of a draining host
    int maxLocalHealth = 4; ///< bad local health multiplies suspicion times by at most 1 + this number
    TimeMs tombstoneRetentionMs = 600000; ///< how long records of dead and left hosts are kept
    TimeMs tombstoneProbePeriodMs = 2000; ///< mean interval between probes of a random tombstone
    /// How long a host that left is probed like a dead one. A host that restarts while the platform is unavailable
    /// knows no other member, so the others have to find it.
    TimeMs probeAfterLeaveMs = 0;
    int gossipFanout = 4; ///< receivers of a burst; bursts go on until each queued record has been sent this often
    int localUpdateFanout = 8; ///< members that receive a change of the local record at once
    int gossipBurstsPerSecond = 2; ///< limit on bursts for records of hosts neither draining nor left
    std::int64_t expectedMembers = 9700; ///< fleet size that the spacing of platform calls is computed from
    int contactReadsPerSecond = 450; ///< by the whole fleet, when all hosts start together
    int contactWritesPerSecond = 100; ///< by the whole fleet, when all hosts start together
    TimeMs contactAuditPeriodMs = 30000; ///< mean interval of the contact check by 3 members per zone
    int joinsPerSecond = 50; ///< joins answered with records; further ones are told to retry
    int joinSampleSize = 16; ///< records in a join reply besides the local one
    int maxTableRecords = 256; ///< records in a table reply, rounded up to a whole bucket
    int tableRepliesPerSecond = 8;
    TimeMs tableSettleMs = 500; ///< time for gossip to remove a table difference before buckets are exchanged
    TimeMs clockJumpMs = 2000; ///< a longer gap between ticks is a clock jump
    std::size_t maxMembers = 65536; ///< further hosts are not added to the table
};

/// Keeps the table of the fleet's hosts with their state and liveness, by a gossip protocol after SWIM.
/// Single-threaded, does no I/O.
///
/// The transport fills `Envelope::header` and calls fillUpdates() for each datagram that it sends. Its send() may call
/// fillUpdates() before it returns, but no other function of this class.
class Membership : public MemberView
{
public:
    /// @param self name, zone, address and ports of this host. setLocalState() sets the service and the state.
    Membership(const MembershipSettings &settings, const wire::HostRecord &self, PeerTransport &transport,
               PlatformStore &store, RandomSource &random, MetricsSink &metrics, EventLog &log);
    ~Membership() override;
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    /// @param wallClockMs milliseconds since 1970, used as the first incarnation
    void start(TimeMs now, std::int64_t wallClockMs);
    /// Must be called every 50 ms. A gap of more than `clockJumpMs` between calls is treated as a clock jump.
    void onTick(TimeMs now);
    /// Takes all received control messages, also those of other modules, because their headers show who is running.
    void onMessage(TimeMs now, const wire::Envelope &message);
    /// @param warmupLeft how much longer the backend server stays slow after its start, if it reports this
    /// @param version of the backend server, empty when not known or not used
    void setLocalState(TimeMs now, wire::HostState::type state, std::string_view serviceName, std::int32_t slots,
                       std::optional<TimeMs> warmupLeft = {}, std::string_view version = {});
    /// Publishes a leaving process of the local backend server in the local record. The other members store it and
    /// report it to the next process of this host. An empty `instance` removes it from the local record only.
    void setLeavingBackend(TimeMs now, std::string_view instance, std::int64_t processStartMs);
    /// Returns and clears the leaving process of the local backend server that another member has reported, if any.
    std::optional<LeavingBackend> takeLeavingBackend();
    /// Announces that this host is about to exit. Later ticks and messages are ignored.
    void leave(TimeMs now);
    /// Refreshes the table after a clock jump. It is stale until then if other members are live.
    void onClockJump(TimeMs now);

    /// Adds queued records to an outgoing message, those of draining and left hosts first, then the newest first.
    /// @param maxBytes room left for records in the encoded message
    void fillUpdates(wire::Envelope &message, std::size_t maxBytes);

    /// Increases when a record is added or removed or changes in a field that affects routing.
    std::uint64_t revision() const;
    /// All records, that of the local host first. A dead host has liveness Dead, a host that left has state Left. Valid
    /// until the next call of a non-const function.
    std::span<const wire::HostRecord> records() const;
    /// True once another member has answered with records or holds the same table, or once this host has written its
    /// contact object or found it as the only one that answers.
    bool isJoined() const;
    /// True from a clock jump until the table has been refreshed.
    bool isStale() const;

    std::span<const Member> zoneMembers(std::string_view zone) const override;
    std::span<const std::string> zones() const override;
    const Member *find(std::string_view host) const override;
    std::size_t liveCount() const override;
    std::uint64_t tableHash() const override;
    /// `version` of the local host is not known here and stays 0.
    const Member &self() const override;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace fulmarledge
