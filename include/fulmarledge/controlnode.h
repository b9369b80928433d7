#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "fulmarledge/membership.h"
#include "fulmarledge/ports.h"
#include "fulmarledge/quota.h"
#include "fulmarledge/rolloutcontrol.h"
#include "fulmarledge/snapshot.h"
#include "fulmarledge/spread.h"
#include "fulmarledge/verdict.h"

namespace fulmarledge {

struct ControlSettings {
    SpreadSettings spread;
    MembershipSettings membership;
    RolloutSettings rollout;
    TimeMs aloneReadPeriodMs = 60000; ///< see RolloutControl
    QuotaSettings quota;
    TimeMs clockJumpMs = 2000; ///< a longer gap between two ticks means that the process was paused
    TimeMs minRebuildMs = 100; ///< shortest time between two snapshots that differ only in host records
};

/// Receives the decisions of a ControlNode.
class ControlListener
{
public:
    virtual ~ControlListener() = default;
    /// Route by `snapshot` from now on. Its version is never lower than that of the previous one.
    virtual void onSnapshot(std::shared_ptr<const Snapshot> snapshot) = 0;
    /// Whether callers may be served. Called at the start and on each change.
    /// @param reason why callers may not be served; None when `ready`
    virtual void onReadiness(bool ready, Reason reason) = 0;
    /// Another member reports that this process of the local backend server has said that it leaves.
    virtual void onBackendLeaving(const LeavingBackend &leaving) = 0;
    /// Call ControlNode::flushQuotas soon. Called from request threads.
    virtual void onQuotaNeeded()
    {
    }
};

/// Change of the node's state, for status reports.
struct ControlEvent {
    std::int64_t wallClockMs = 0; ///< milliseconds since 1970
    std::string text;
};

/// Control plane of one node. Builds snapshots from the host table of its Membership and the manifest of its Spread.
/// Single-threaded, no I/O.
class ControlNode : private PeerTransport, private SpreadListener, private EventLog
{
public:
    /// @param self name, zone, addresses and ports of this host
    ControlNode(const ControlSettings &settings, const wire::HostRecord &self, PeerTransport &transport,
                PlatformStore &store, RandomSource &random, MetricsSink &metrics, EventLog &log,
                ControlListener &listener);
    ~ControlNode() override;
    ControlNode(const ControlNode &) = delete;
    ControlNode &operator=(const ControlNode &) = delete;

    /// @param wallClockMs milliseconds since 1970
    void start(TimeMs now, std::int64_t wallClockMs);
    /// To be called every 50 ms.
    void onTick(TimeMs now, std::int64_t wallClockMs);
    void onMessage(TimeMs now, const wire::Envelope &message);
    /// See Spread::onPlatformMoved().
    void onPlatformMoved(TimeMs now);
    /// See Membership::setLeavingBackend().
    void setLeavingBackend(TimeMs now, std::string_view instance, std::int64_t processStartMs);
    /// Sets state, service and slots of the local backend server in this host's record.
    /// @param warmupLeft remaining warm-up of the backend server in ms, if it states one
    /// @param version of the backend server; dropped without rollouts
    void setLocalState(TimeMs now, wire::HostState::type state, std::string_view serviceName, std::int32_t slots,
                       std::optional<TimeMs> warmupLeft = {}, std::string_view version = {});
    /// Asks for the credit that requests wait for.
    void flushQuotas(TimeMs now);
    /// Slot guard that rollouts follow. It must outlive this object.
    void setRolloutGuard(RolloutGuard &guard);
    /// Null if the settings enable no rollouts.
    const RolloutControl *rollouts() const
    {
        return m_rollouts.get();
    }
    /// Announces that this host is about to exit.
    void leave(TimeMs now);

    const Membership &membership() const
    {
        return m_membership;
    }
    const Spread &spread() const
    {
        return m_spread;
    }
    /// Null if the settings enforce no limits.
    QuotaLimiter *quotas() const
    {
        return m_quotas.get();
    }
    /// The last 64 events, newest last.
    const std::deque<ControlEvent> &events() const
    {
        return m_events;
    }
    /// Digest of the active manifest that may be shown outside the fleet, see Manifest::shownDigest(). Empty before the
    /// first version is activated.
    const std::string &shownDigest() const
    {
        return m_shownDigest;
    }
    bool isReady() const
    {
        return m_ready;
    }

private:
    void send(const SocketAddress &to, const wire::Envelope &message) override;
    void sendReliably(const SocketAddress &to, const wire::Envelope &message) override;
    /// Copy of a message with this node's header, and with host records if they fit.
    wire::Envelope withHeader(const wire::Envelope &message);
    void onManifestActivated(Version version, const std::string &digest,
                             std::shared_ptr<const Manifest> manifest) override;
    void event(std::string_view name, std::string_view detail) override;

    void setQuotaLimits(TimeMs now);
    void updateSnapshot(TimeMs now);
    void updateReadiness();

    ControlSettings m_settings;
    wire::Header m_header;
    PeerTransport &m_transport;
    RandomSource &m_random;
    MetricsSink &m_metrics;
    EventLog &m_log;
    ControlListener &m_listener;
    std::shared_ptr<const Manifest> m_manifest;
    std::shared_ptr<const RouteTable> m_routes; ///< of `m_manifest`
    std::shared_ptr<const OrganisationTable> m_organisations; ///< of `m_manifest`
    Version m_version = 0;
    std::string m_shownDigest; ///< of `m_manifest`
    bool m_manifestChanged = false; ///< since the last snapshot
    std::uint64_t m_snapshotRevision = 0; ///< revision of the host table in the last snapshot
    TimeMs m_snapshotBuiltMs = 0; ///< when the last snapshot was built
    std::uint64_t m_versionsRevision = 0; ///< revision of the versions in the last snapshot
    TimeMs m_lastTickMs = 0;
    std::int64_t m_wallClockMs = 0;
    bool m_ready = false;
    bool m_readinessReported = false; ///< whether the listener has been told
    std::deque<ControlEvent> m_events;
    Membership m_membership;
    Spread m_spread;
    std::unique_ptr<RolloutControl> m_rollouts;
    std::unique_ptr<QuotaLimiter> m_quotas; ///< null if the settings enforce no limits
};

} // namespace fulmarledge
