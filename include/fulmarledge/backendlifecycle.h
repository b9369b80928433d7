#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "fulmarledge/types.h"
#include "fulmarledge_types.h"

namespace fulmarledge {

/// Content of one announcement of a backend server.
struct BackendAnnouncement {
    bool isLeaving = false; ///< last announcement of the process, which takes no new work and exits
    std::string instance; ///< id of the process, in UTF-8
    std::int64_t processStartMs = 0; ///< start of the process, milliseconds since 1970; 0 when not given
    std::int64_t sequence = 0; ///< increases with each announcement of the process
    std::string service;
    std::string version; ///< empty when not given
    SocketAddress address;
    std::int32_t slots = 0;
    wire::HostState::type state = wire::HostState::Starting;
    TimeMs warmupMs = 0; ///< remaining time until the process is warm
};

/// A process of a backend server that has announced that it is leaving.
struct LeavingBackend {
    std::string instance;
    std::int64_t processStartMs = 0; ///< when it started, milliseconds since 1970
};

/// How long announcements from before a leave may still arrive, with room for clocks that differ.
constexpr TimeMs kLeaveBindingMs = 60000;

enum class AnnouncementEffect : std::uint8_t {
    Applied, ///< accepted; a new process, or a change of state, service, address or slots
    Repeated, ///< accepted; the current process has changed nothing, or is draining already
    Stale, ///< older than the last one, or of another process that has ended; `current()` stays
};

/// Tracks the backend server on this host by its announcements. They may arrive late or in another order, even after a
/// new process has replaced the one that sent them.
class BackendLifecycle
{
public:
    /// Applies an announcement, unless it is stale.
    AnnouncementEffect apply(const BackendAnnouncement &notice, TimeMs now);

    /// Marks a process as leaving, even before its first announcement.
    /// @return true when `current()` changed
    bool retire(std::string_view instance, std::int64_t processStartMs);

    /// Newest announcement. Its state stays Draining once the process has announced that it drains or leaves.
    const BackendAnnouncement &current() const
    {
        return m_current;
    }
    /// Whether any announcement has been applied.
    bool hasCurrent() const
    {
        return !m_current.instance.empty();
    }
    /// When the current process was last heard.
    TimeMs lastHeard() const
    {
        return m_lastHeard;
    }

private:
    /// A process whose last announcement arrived while it was not the current one.
    struct LeftProcess {
        std::string instance;
        TimeMs ignoredUntil = 0; ///< its announcements are ignored before this time
    };

    bool isFromEarlierProcess(const BackendAnnouncement &notice, TimeMs now) const;
    void rememberRetired(const BackendAnnouncement &notice);

    BackendAnnouncement m_current;
    TimeMs m_lastHeard = 0;
    std::deque<LeftProcess> m_leftProcesses;
    std::deque<BackendAnnouncement> m_retired; ///< processes that were replaced or have left
};

} // namespace fulmarledge
