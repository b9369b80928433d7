#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "fulmarledge/memberview.h"
#include "fulmarledge/ports.h"
#include "fulmarledge/rollout.h"
#include "fulmarledge/rolloutoutcomes.h"
#include "fulmarledge/versionsplit.h"

namespace fulmarledge {

/// Slot guard of the backend server on this host, as rollouts see it.
class RolloutGuard
{
public:
    virtual ~RolloutGuard() = default;
    /// What the backend server has done since the start of this process.
    virtual ServerOutcomes outcomes() const = 0;
    /// Requests that run at the backend server or wait for it.
    virtual std::int32_t outstanding() const = 0;
    /// Refuses all further requests as not run, or takes them again.
    virtual void setClosed(bool closed) = 0;
};

/// State of the versions of one service, for status reports.
struct RolloutView {
    std::string service;
    std::string inForce;
    std::string target; ///< of the last order, empty without one
    RolloutState state = RolloutState::None;
    std::string step; ///< "trial", "moved" or "stopped" while the order is running
    std::uint32_t shareMillionths = 0; ///< of the requests that go to the target version now
    TimeMs ageMs = 0; ///< of the order
    TimeMs durationMs = 0;
    std::string coordinator; ///< host that decides on the order
    std::int64_t sent = 0; ///< requests of the service since the order, on hosts that follow the reports
    std::int64_t sentToTarget = 0;
    std::int64_t targetFailures = 0;
    std::string reason; ///< why the order was rolled back, on hosts that follow the reports
};

/// Rollouts of this node: reads and shares the orders, keeps the version in force of each service, applies the split of
/// the requests, and decides on orders when it is this node's turn. See docs/design/rollouts.md. Runs on the control
/// thread and does no I/O of its own.
class RolloutControl
{
public:
    /// @param aloneReadPeriodMs mean time between reads of the platform by a node that knows no other
    RolloutControl(const RolloutSettings &settings, TimeMs aloneReadPeriodMs, MemberView &members, PeerTransport &peers,
                   PlatformStore &platform, RandomSource &random, MetricsSink &metrics, EventLog &log);
    ~RolloutControl();
    RolloutControl(const RolloutControl &) = delete;
    RolloutControl &operator=(const RolloutControl &) = delete;

    /// @param guard must outlive this object; null on a host without a backend server
    void setGuard(RolloutGuard *guard);
    /// To be called every 50 ms.
    /// @param records host table, that of the local host first
    /// @param tableRevision changes with the table
    void onTick(TimeMs now, std::span<const wire::HostRecord> records, std::uint64_t tableRevision);
    void onMessage(TimeMs now, const wire::Envelope &message);

    /// Versions that take requests.
    const VersionAssignment &assignment() const;
    /// Increases when `assignment` changes.
    std::uint64_t revision() const;
    std::vector<RolloutView> views(TimeMs now) const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace fulmarledge
