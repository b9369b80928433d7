#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "environment.h"
#include "fulmarledge/backendlifecycle.h"
#include "fulmarledge/controlnode.h"
#include "fulmarledge/leavememory.h"
#include "node_announcement.h"
#include "node_settings.h"
#include "requestpath.h"

namespace fulmarledge {

/// Takes the announcements of the backend server on this host. Passes its state to the request path and, through the
/// control core, to the other nodes. Runs on the control thread.
class BackendAnnouncements
{
public:
    /// All references must outlive the object.
    BackendAnnouncements(const NodeSettings &settings, const Environment &environment, RequestPath &requestPath,
                         ControlNode &control, PlatformStore &store, RandomSource &random, MetricsSink &metrics,
                         EventLog &log);

    /// Handles a call to the announcement address. The reply is sent when the slot guard of the backend server has
    /// taken over the announced state and a leave is stored.
    void onNoticeCall(const HttpCall &call);
    /// Handles an announcement on the admin port.
    void onAnnounceCall(const HttpCall &call);
    /// An earlier process of this node, or another node, knows that this process of the backend server leaves.
    void onLeaving(const LeavingBackend &leaving);
    /// Takes the backend server out of service when it sends no announcements or refuses connections. Its next
    /// announcement puts it back into service. To be called every 50 ms.
    void tick(TimeMs now);
    /// This node stops as planned. The others send it no more requests, whatever the backend server announces.
    void beginShutdown(TimeMs now);

    /// Not set while no backend server is announced.
    const std::optional<Announcement> &announcement() const
    {
        return m_announcement;
    }

private:
    void logEvent(std::string_view name, const std::string &detail);
    /// Applies a notice of a process that drains or leaves.
    /// @return the processes that leave, to be stored before the notice is acknowledged; none if it is outdated
    std::optional<LeavingBackend> applyLeave(BackendAnnouncement notice);
    void retire(const LeavingBackend &leaving, TimeMs now);
    /// Whether the newest of these is the backend server in service, or the last one that was.
    bool isCurrent(const LeavingBackend &leaving) const;
    /// Applies the held notices once it is known, from the store or other members, which process has left.
    void applyHeldNotices();
    void applyStoredLeave();
    void tickStoredLeave(TimeMs now);
    void applyNotice(const BackendAnnouncement &notice);
    /// Takes over the newest notice about the backend server.
    void applyCurrentNotice(TimeMs now);
    /// Passes the state of the backend server on.
    void applyAnnouncement(TimeMs now);

    const NodeSettings &m_settings;
    const Environment &m_environment;
    RequestPath &m_requestPath;
    ControlNode &m_control;
    MetricsSink &m_metrics;
    EventLog &m_log;
    LeaveMemory m_leaveMemory;
    BackendLifecycle m_lifecycle;
    std::optional<Announcement> m_announcement;
    TimeMs m_lastAnnouncementMs = 0;
    std::vector<BackendAnnouncement> m_heldNotices; ///< of processes that may have left before this node started
    bool m_takesNotices = false; ///< notices are no longer held
    bool m_storedLeaveApplied = false;
    std::optional<TimeMs> m_readTriedAtMs; ///< when the store was first asked without an answer, or has answered
    TimeMs m_nextReadAtMs = 0; ///< when the store is asked again
    bool m_shuttingDown = false;
};

} // namespace fulmarledge
