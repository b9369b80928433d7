#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "fulmarledge/types.h"

namespace fulmarledge {

/// Use of a backend server by its version.
enum class VersionRole : std::uint8_t {
    InForce, ///< takes the requests of its service
    Target, ///< takes the share of the requests that a running rollout gives it
    Unused, ///< takes no requests
};

/// Share of the requests of one service that go to the target version of a rollout. Set by the control thread, used by
/// the threads of requests without a lock.
class VersionSplit
{
public:
    /// @param start arbitrary number at which the sequence of picks begins. It has to differ from node to node and from
    /// process to process, or the first picks of all nodes would go to the same version.
    explicit VersionSplit(std::uint64_t start)
        : m_next(start)
    {
    }

    /// @param servers backend servers of the target version that share the requests
    /// @param pulse rotates these among all of the target version
    /// @param validUntil time after which no request goes to the target version
    void set(std::uint32_t shareMillionths, std::uint32_t servers, std::uint32_t pulse, TimeMs validUntil);
    void stop();

    /// Whether the next request goes to the target version. Over any run of requests the share of those that do stays
    /// close to the share that was set.
    bool pickTarget(TimeMs now) const;

    std::uint32_t servers() const
    {
        return m_servers.load(std::memory_order_relaxed);
    }
    std::uint32_t pulse() const
    {
        return m_pulse.load(std::memory_order_relaxed);
    }

private:
    mutable std::atomic<std::uint64_t> m_next;
    std::atomic<std::uint32_t> m_threshold{0}; ///< share in units of 2^-32
    std::atomic<std::uint32_t> m_servers{1};
    std::atomic<std::uint32_t> m_pulse{0};
    std::atomic<TimeMs> m_validUntil{0};
};

/// Versions of one service.
struct ServiceVersions {
    std::string inForce;
    std::string target; ///< of a running rollout; used only if `split` is set
    std::shared_ptr<const VersionSplit> split; ///< null while no request may go to the target version

    VersionRole roleOf(std::string_view version) const
    {
        if (version == inForce) {
            return VersionRole::InForce;
        }
        return split && version == target ? VersionRole::Target : VersionRole::Unused;
    }
};

/// Versions by service. The versions of the backend servers of a service that is not listed are ignored.
using VersionAssignment = std::map<std::string, ServiceVersions, std::less<>>;

} // namespace fulmarledge
