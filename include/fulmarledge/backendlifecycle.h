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

/// Processes of a backend server that have announced that they are leaving: those with this id that started up to then.
struct LeavingBackend {
    std::string instance;
    std::int64_t processStartMs = 0; ///< latest start among them, milliseconds since 1970
};

/// How long announcements from before a leave may still arrive, with room for clocks that differ.
constexpr TimeMs kLeaveBindingMs = 60000;
/// How far the clocks of a node and of the backend server beside it may differ. A leave that states no start then still
/// binds its own process, and not the next one with the same id: a process that leaves serves for twice as long, and
/// the next one starts after that.
constexpr std::int64_t kLeaveClockErrorMs = 1000;

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

    /// The processes that an announcement says to be leaving. Where it states no start, these are the newest process
    /// of its id that has been heard and those before it, or else all that started before now.
    /// @param wallClockMs milliseconds since 1970
    LeavingBackend leavingProcesses(const BackendAnnouncement &notice, TimeMs now, std::int64_t wallClockMs) const;

    /// Marks processes as leaving, even before their first announcements, for `kLeaveBindingMs`.
    /// @return true when `current()` changed
    bool retire(const LeavingBackend &leaving, TimeMs now);

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
    /// Processes that are not taken again.
    struct RetiredProcess {
        LeavingBackend process;
        TimeMs retiredAt = 0;
        bool wasCurrent = false; ///< its start is known from its announcements, and it stays retired
    };

    bool isRetired(const BackendAnnouncement &notice, TimeMs now) const;
    bool isFromEarlierProcess(const BackendAnnouncement &notice, TimeMs now) const;
    void rememberRetired(const RetiredProcess &retired);

    BackendAnnouncement m_current;
    TimeMs m_lastHeard = 0;
    std::deque<RetiredProcess> m_retired; ///< processes that were replaced or have left
};

} // namespace fulmarledge
