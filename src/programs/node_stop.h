#pragma once

#include <string>
#include <string_view>

#include "fulmarledge/controlnode.h"
#include "ioloop.h"
#include "node_backend.h"
#include "node_settings.h"
#include "requestpath.h"

namespace fulmarledge {

/// Planned stop of a node. The node announces that it is draining, refuses callers once the handover time has passed,
/// finishes the requests in progress, announces that this host has left and ends the event loop. A node that is still
/// busy when the grace time ends answers these requests and exits. Runs on the control thread.
class PlannedStop
{
public:
    /// All references must outlive the object.
    PlannedStop(IoLoop &loop, const NodeSettings &settings, RequestPath &requestPath, ControlNode &control,
                BackendAnnouncements &backend, EventLog &log);

    void begin();
    bool hasBegun() const
    {
        return m_hasBegun;
    }
    /// Whether the stop has reached the point from which callers are refused.
    bool isRefusingCallers() const
    {
        return m_refusingCallers;
    }

private:
    void logEvent(std::string_view name, const std::string &detail);
    void beginDrain();
    void leaveWhenIdle();
    void endGrace();
    /// Exits when the last answers are handed to the kernel, or at the last moment.
    void exitWhenAnswered();

    IoLoop &m_loop;
    const NodeSettings &m_settings;
    RequestPath &m_requestPath;
    ControlNode &m_control;
    BackendAnnouncements &m_backend;
    EventLog &m_log;
    bool m_hasBegun = false;
    bool m_refusingCallers = false;
    TimeMs m_exitAtMs = 0; ///< last moment at which a stopping node exits
    TimeMs m_idleSinceMs = 0; ///< since when a draining node has had nothing to finish or send; 0 before
};

} // namespace fulmarledge
