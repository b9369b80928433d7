#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
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

/// A route with its targets as handles. Its counter is the only part that changes.
struct TableRoute {
    RouteSpec spec;
    std::vector<ServiceHandle> targets; ///< in the order of `spec.targets`
    std::uint64_t totalWeight = 0;
    mutable std::atomic<std::uint64_t> picks{0};

    /// Target for the next request. The picks of any span of requests follow the weights closely.
    ServiceHandle pick() const;
};

/// Routes of one manifest. Handles of services are positions in the order of the manifest's services.
class RouteTable
{
public:
    static std::shared_ptr<const RouteTable> build(const Manifest &manifest);

    /// Route of the longest prefix that matches, among those of `host` or, without any, those of every host name.
    /// @param host as received, with or without a port
    RouteHandle find(std::string_view host, std::string_view path) const;
    const TableRoute &route(RouteHandle handle) const
    {
        return m_routes[handle.idx];
    }
    const std::deque<TableRoute> &routes() const
    {
        return m_routes;
    }

private:
    using Prefixes = std::map<std::string, RouteHandle, std::less<>>;

    static RouteHandle longest(const Prefixes &prefixes, std::string_view path);

    std::deque<TableRoute> m_routes;
    std::map<std::string, Prefixes, std::less<>> m_hosts; ///< by host name; "" holds the routes of every host name
};

/// Immutable routing state: one manifest version joined with the host table. Handles are indices into the same
/// snapshot.
class Snapshot
{
public:
    /// @param hosts current host records by name
    /// @param routes table of the same manifest, to be shared by its snapshots; built when null
    static std::shared_ptr<const Snapshot> build(Version version, const Manifest &manifest,
                                                 std::span<const wire::HostRecord> hosts,
                                                 std::shared_ptr<const RouteTable> routes = {});

    Version version() const
    {
        return m_version;
    }
    const RouteTable &routes() const
    {
        return *m_routes;
    }
    /// Service of the first target of the route for `path` and any host name, or an invalid handle.
    ServiceHandle route(std::string_view path) const;
    ServiceHandle findService(std::string_view name) const;
    const SnapshotService &service(ServiceHandle handle) const
    {
        return m_services[handle.idx];
    }
    std::span<const SnapshotBackend> backends(ServiceHandle handle) const;
    /// Keys of the routes that lead to a service, in ascending order.
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
    std::shared_ptr<const RouteTable> m_routes;
};

} // namespace fulmarledge
