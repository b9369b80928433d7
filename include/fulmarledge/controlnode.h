#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "fulmarledge/membership.h"
#include "fulmarledge/ports.h"
#include "fulmarledge/snapshot.h"
#include "fulmarledge/spread.h"
#include "fulmarledge/verdict.h"

namespace fulmarledge {

struct ControlSettings {
    SpreadSettings spread;
    MembershipSettings membership;
    TimeMs clockJumpMs = 2000; ///< a longer gap between ticks means that the process was paused
    TimeMs rebuildMs = 100; ///< shortest time between snapshots that differ in host records only
};

/// Receives what the control core decides.
class ControlListener
{
public:
    virtual ~ControlListener() = default;
    /// The snapshot to route by from now on. Versions never fall.
    virtual void onSnapshot(std::shared_ptr<const Snapshot> snapshot) = 0;
    /// Whether callers may be served. `reason` tells why not.
    virtual void onReadiness(bool ready, Reason reason) = 0;
    /// Another member remembers this process of the local backend server as leaving.
    virtual void onBackendLeaving(const LeavingBackend &leaving) = 0;
};

/// One change of state, for status reports.
struct ControlEvent {
    std::int64_t wallClockMs = 0; ///< milliseconds since 1970
    std::string text;
};

/// The control core of one node: joins the host table with the manifest spread. Single-threaded, no I/O.
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
    /// Expected every 50 ms.
    void onTick(TimeMs now, std::int64_t wallClockMs);
    void onMessage(TimeMs now, const wire::Envelope &message);
    void setLeavingBackend(TimeMs now, std::string_view instance, std::int64_t bornMs);
    /// @param warmupLeft how much longer the backend server stays slow after its start, if it says so
    void setLocalState(TimeMs now, wire::HostState::type state, std::string_view serviceName, std::int32_t slots,
                       std::optional<TimeMs> warmupLeft = {});
    void leave(TimeMs now);

    const Membership &membership() const
    {
        return m_membership;
    }
    const Spread &spread() const
    {
        return m_spread;
    }
    /// Newest last.
    const std::deque<ControlEvent> &events() const
    {
        return m_events;
    }
    bool isReady() const
    {
        return m_ready;
    }

private:
    void send(const SocketAddress &to, const wire::Envelope &message) override;
    void sendReliably(const SocketAddress &to, const wire::Envelope &message) override;
    /// Adds the header, and host records where the message leaves room.
    wire::Envelope stamped(const wire::Envelope &message);
    void onManifest(Version version, const std::string &digest, std::shared_ptr<const Manifest> manifest) override;
    void event(std::string_view name, std::string_view detail) override;

    void updateSnapshot(TimeMs now);
    void updateReadiness();

    ControlSettings m_settings;
    wire::Header m_header;
    PeerTransport &m_transport;
    MetricsSink &m_metrics;
    EventLog &m_log;
    ControlListener &m_listener;
    std::shared_ptr<const Manifest> m_manifest;
    std::shared_ptr<const RouteTable> m_routes; ///< of `m_manifest`
    Version m_version = 0;
    bool m_manifestChanged = false;
    std::uint64_t m_builtRevision = 0;
    TimeMs m_builtMs = 0;
    TimeMs m_lastTickMs = 0;
    std::int64_t m_wallClockMs = 0;
    bool m_ready = false;
    bool m_readinessKnown = false;
    std::deque<ControlEvent> m_events;
    Membership m_membership;
    Spread m_spread;
};

} // namespace fulmarledge
