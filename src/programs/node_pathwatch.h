#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "fulmarledge/controlnode.h"
#include "node_settings.h"
#include "requestpath.h"

namespace fulmarledge {

/// Looks for threads that are stuck and for a lack of connections in the request path. Runs on the control thread.
class RequestPathWatch
{
public:
    /// All references must outlive the object.
    RequestPathWatch(const NodeSettings &settings, const RequestPath &requestPath, const ControlNode &control,
                     EventLog &log);

    /// To be called every 50 ms.
    void check(TimeMs now);
    /// Whether a thread that serves requests is stuck, so that callers had better turn to other hosts.
    bool isThreadStalled() const
    {
        return m_threadStalled;
    }

private:
    void logEvent(std::string_view name, const std::string &detail);
    void checkThreads(const RequestPathStats &stats, TimeMs now);
    /// Logs when the node begins and ends to refuse or close callers for lack of memory.
    void checkCallerMemory(const HttpServerStats &callers, TimeMs now);
    /// Logs when the node begins and ends to close idle connections for lack of descriptors.
    void checkConnections(const HttpServerStats &callers, TimeMs now);

    const NodeSettings &m_settings;
    const RequestPath &m_requestPath;
    const ControlNode &m_control;
    EventLog &m_log;
    TimeMs m_checkedAtMs = 0;
    bool m_threadStalled = false;
    TimeMs m_connectionsPressedAtMs = 0; ///< when the limit of connections was last reached; 0: never
    std::uint64_t m_connectionPressure = 0; ///< how often it was reached
    bool m_sheddingConnections = false;
    TimeMs m_memoryPressedAtMs = 0; ///< when a caller was last refused or closed for lack of memory; 0: never
    std::uint64_t m_memoryPressure = 0; ///< how many were
    bool m_sheddingMemory = false;
};

} // namespace fulmarledge
