#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "fulmarledge/memberview.h"
#include "fulmarledge/ports.h"

namespace fulmarledge {

constexpr std::string_view kContactKind = "contact";

/// Times in milliseconds. Reasons and measurements: docs/decisions/membership.md.
struct MembershipSettings {
    TimeMs probePeriodMs = 1000;
    TimeMs probeTimeoutMs = 300; ///< wait for a direct answer
    TimeMs indirectTimeoutMs = 400; ///< further wait for an answer through other members
    int indirectProbes = 3;
    bool probeSuccessor = true; ///< probe the next member in hash order as well as a random one
    TimeMs suspicionMinMs = 3000;
    TimeMs suspicionPerDoublingMs = 50; ///< added for each doubling of the number of members
    int announcedSuspicionFactor = 1; ///< multiplies the suspicion time of a draining host
    int maxLocalHealth = 4; ///< suspicion times grow up to 1 + this factor
    TimeMs tombstoneMs = 600000; ///< how long dead and left records are kept
    TimeMs tombstoneProbeMs = 2000; ///< period of probes to a dead member
    /// How long a host that left is probed like a dead one. A host that starts again while the platform is away knows
    /// nobody, so the others have to find it.
    TimeMs probeLeftMs = 0;
    int gossipFanout = 4; ///< members told at once of a new record
    int ownFanout = 8; ///< members told at once of a change of the own record
    int gossipBurstsPerSecond = 2; ///< bursts for records that are neither draining nor left
    std::int64_t plannedMembers = 9700; ///< fleet size for which platform calls are spaced
    int contactReadsPerSecond = 450; ///< of the whole fleet, when all hosts start together
    int contactWritesPerSecond = 100; ///< of the whole fleet, when all hosts start together
    TimeMs contactAuditMs = 30000; ///< mean period of the check by 3 members per zone
    int joinsPerSecond = 50; ///< joins that this node answers with records
    int joinSample = 16; ///< records in an answer to a join
    int maxTableRecords = 256; ///< records in a reply of the bucket exchange, rounded up to a whole bucket
    int tableRepliesPerSecond = 8;
    TimeMs tableSettleMs = 500; ///< time for gossip to remove a table difference before an exchange starts
    TimeMs clockJumpMs = 2000;
    std::size_t maxMembers = 65536; ///< records beyond this number are refused
};

/// A process of a backend server that has said that it leaves.
struct LeavingBackend {
    std::string instance;
    std::int64_t bornMs = 0; ///< its start, milliseconds since 1970
};

/// The host table: who is in the fleet, in which state, and who answers. Single-threaded, no I/O.
///
/// The transport fills `Envelope::header` and calls fillUpdates() for each datagram that it sends. Its send() may do
/// so before it returns, but must not call any other function of this class from there.
class Membership : public MemberView
{
public:
    /// @param self name, zone, addresses and ports of this host; the service and the state come by setLocalState().
    Membership(const MembershipSettings &settings, const wire::HostRecord &self, PeerTransport &transport,
               PlatformStore &store, RandomSource &random, MetricsSink &metrics, EventLog &log);
    ~Membership() override;
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    /// @param wallClockMs milliseconds since 1970; becomes the first incarnation
    void start(TimeMs now, std::int64_t wallClockMs);
    /// To be called every 50 ms. A gap of more than `clockJumpMs` between calls is treated as a clock jump.
    void onTick(TimeMs now);
    /// Every received control message, of other modules too: the header tells that its sender is alive.
    void onMessage(TimeMs now, const wire::Envelope &message);
    /// @param warmupLeft how much longer the backend server stays slow after its start, if it says so
    void setLocalState(TimeMs now, wire::HostState::type state, std::string_view serviceName, std::int32_t slots,
                       std::optional<TimeMs> warmupLeft = {});
    /// Tells the others that a process of the local backend server leaves, so that they remember it for this host's
    /// next process. An empty name ends this.
    void setLeavingBackend(TimeMs now, std::string_view instance, std::int64_t bornMs);
    /// A process of the local backend server that another member remembers as leaving, once.
    std::optional<LeavingBackend> takeRemembered();
    /// Announces that this host is about to exit. Later calls have no effect.
    void leave(TimeMs now);
    /// Treats the table as stale until another member has answered.
    void onClockJump(TimeMs now);

    /// Adds records to an outgoing message, newest first. A draining or left record goes first.
    /// @param maxBytes room left for records in the encoded message
    void fillUpdates(wire::Envelope &message, std::size_t maxBytes);

    /// Rises when a record changes in a field that matters to routing.
    std::uint64_t revision() const;
    /// All records, the own one first. A dead host has liveness Dead, one that left has state Left. Valid until the
    /// next input.
    std::span<const wire::HostRecord> records() const;
    /// True once a member has answered with records, or this host is the first of the fleet.
    bool isJoined() const;
    /// True from a clock jump until the table has been refreshed.
    bool isStale() const;

    std::span<const Member> zoneMembers(std::string_view zone) const override;
    std::span<const std::string> zones() const override;
    const Member *find(std::string_view host) const override;
    std::size_t liveCount() const override;
    std::uint64_t tableHash() const override;
    /// The own version is not known here and stays 0.
    const Member &self() const override;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace fulmarledge
