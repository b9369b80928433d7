#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarledge/manifest.h"
#include "fulmarledge/types.h"
#include "fulmarledge_types.h"

namespace fulmarledge {

/// Backend server that the manifest allows. `record` is empty until its host has announced itself.
struct SnapshotBackend {
    std::string host;
    ServiceHandle service;
    std::optional<wire::HostRecord> record;
};

struct SnapshotService {
    ServiceSpec spec;
    std::uint32_t firstBackend = 0;
    std::uint32_t backendCount = 0;
};

/// Immutable routing state: one manifest version joined with the host table. Handles are indices into the same
/// snapshot.
class Snapshot
{
public:
    /// @param hosts current host records by name
    static std::shared_ptr<const Snapshot> build(Version version, const Manifest &manifest,
                                                 std::span<const wire::HostRecord> hosts);

    Version version() const
    {
        return m_version;
    }
    /// Service of the longest path prefix that matches whole segments of `path`, or an invalid handle.
    ServiceHandle route(std::string_view path) const;
    ServiceHandle findService(std::string_view name) const;
    const SnapshotService &service(ServiceHandle handle) const
    {
        return m_services[handle.idx];
    }
    std::span<const SnapshotBackend> backends(ServiceHandle handle) const;
    /// Path prefixes that lead to a service, in ascending order.
    std::vector<std::string> routesOf(ServiceHandle handle) const;
    std::span<const SnapshotService> services() const
    {
        return m_services;
    }

    /// Checks that each route and backend server refers to an entry of this snapshot.
    bool isConsistent() const;

private:
    Version m_version = 0;
    std::vector<SnapshotService> m_services;
    std::vector<SnapshotBackend> m_backends;
    std::map<std::string, ServiceHandle, std::less<>> m_routes;
};

} // namespace fulmarledge
