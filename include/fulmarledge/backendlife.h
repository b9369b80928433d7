#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "fulmarledge/types.h"
#include "fulmarledge_types.h"

namespace fulmarledge {

/// What a backend server says of itself in one announcement.
struct BackendNotice {
    bool leaves = false; ///< the last announcement: the backend server ends without taking new work
    std::string instance; ///< id of its process
    std::int64_t bornMs = 0; ///< start of the process, milliseconds since 1970; 0 when not given
    std::int64_t sequence = 0; ///< rises with each announcement of one process
    std::string service;
    SocketAddress address;
    std::int32_t slots = 0;
    wire::HostState::type state = wire::HostState::Starting;
    TimeMs warmupMs = 0; ///< how much longer it stays slow after its start
};

enum class NoticeEffect : std::uint8_t {
    Applied, ///< `current()` follows the notice
    Repeated, ///< of the current process and newest, without a change
    Stale, ///< older than what is known, or of an earlier process: nothing changes
};

/// Puts the announcements of the backend servers at one address in order. Announcements may arrive late, also after
/// a new process has started at the address.
class BackendLife
{
public:
    NoticeEffect apply(const BackendNotice &notice, TimeMs now);

    /// Takes a process for one that leaves, also one that was not heard yet.
    /// @return true when `current()` changed
    bool retire(std::string_view instance, std::int64_t bornMs);

    /// Newest announcement. The state stays Draining once a process has said that it leaves.
    const BackendNotice &current() const
    {
        return m_current;
    }
    bool isKnown() const
    {
        return !m_current.instance.empty();
    }
    TimeMs lastHeard() const
    {
        return m_lastHeard;
    }

private:
    /// A process that left without having been heard before.
    struct Left {
        std::string instance;
        TimeMs until = 0; ///< its announcements are ignored so long
    };

    bool isOfEarlierProcess(const BackendNotice &notice, TimeMs now) const;
    void keepRetired(const BackendNotice &notice);

    BackendNotice m_current;
    TimeMs m_lastHeard = 0;
    std::deque<Left> m_left;
    std::deque<BackendNotice> m_retired; ///< processes that were replaced or have left
};

} // namespace fulmarledge
