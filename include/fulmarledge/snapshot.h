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
#include "fulmarledge/organisations.h"
#include "fulmarledge/types.h"
#include "fulmarledge_types.h"

namespace fulmarledge {

/// Backend server that may serve a service. `record` is empty while the host table has no record of its host, or has
/// one that announces another service.
struct SnapshotBackend {
    std::string host;
    ServiceHandle service;
    std::optional<wire::HostRecord> record;
};

/// Service of a snapshot. Its backend servers are adjacent in the snapshot's list.
struct SnapshotService {
    ServiceSpec spec;
    std::uint32_t firstBackend = 0; ///< index in the snapshot's list of backend servers
    std::uint32_t backendCount = 0;
};

/// Route with its targets resolved to service handles. Only `nextPick` changes after the table is built.
struct TableRoute {
    RouteSpec spec;
    std::vector<ServiceHandle> targets; ///< in the order of `spec.targets`
    std::uint64_t totalWeight = 0;
    mutable std::atomic<std::uint64_t> nextPick{0}; ///< number of the next pick; starts at an arbitrary value

    /// Returns the target of the next request. Over any run of consecutive requests the targets' shares stay close to
    /// their weights.
    ServiceHandle pickTarget() const;
};

/// Routes of one manifest. A service handle is the position of the service among Manifest::services().
class RouteTable
{
public:
    static std::shared_ptr<const RouteTable> build(const Manifest &manifest);

    /// Returns the route with the longest matching prefix. The routes for every host name are searched only if no route
    /// of `host` matches. Returns an invalid handle if none does.
    /// @param host host name as received, in any case, with or without a port
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
    using Prefixes = std::map<std::string, RouteHandle, std::less<>>; ///< routes by path prefix

    static RouteHandle findLongestPrefix(const Prefixes &prefixes, std::string_view path);

    std::deque<TableRoute> m_routes;
    std::map<std::string, Prefixes, std::less<>> m_prefixesByHost; ///< under "", the routes for every host name
};

/// Immutable routing state that combines one manifest version with the host table. Handles are valid only for the
/// snapshot that returned them.
class Snapshot
{
public:
    /// @param hosts current host records
    /// @param routes route table of the same manifest, which its snapshots can share; built if null
    /// @param organisations organisation table of the same manifest, likewise
    static std::shared_ptr<const Snapshot> build(Version version, const Manifest &manifest,
                                                 std::span<const wire::HostRecord> hosts,
                                                 std::shared_ptr<const RouteTable> routes = {},
                                                 std::shared_ptr<const OrganisationTable> organisations = {});

    Version version() const
    {
        return m_version;
    }
    const RouteTable &routes() const
    {
        return *m_routes;
    }
    /// Never null.
    const std::shared_ptr<const OrganisationTable> &organisations() const
    {
        return m_organisations;
    }
    /// Whether the route needs a key of an organisation.
    bool needsKey(RouteHandle route) const
    {
        return !m_organisations->isEmpty() && !m_routes->route(route).spec.isPublic;
    }
    const CallerLimits &callerLimits() const
    {
        return m_callerLimits;
    }
    /// Returns the first target of the route for `path` among the routes for every host name, or an invalid handle.
    ServiceHandle firstTargetFor(std::string_view path) const;
    /// Returns an invalid handle if the manifest has no such service.
    ServiceHandle findService(std::string_view name) const;
    const SnapshotService &service(ServiceHandle handle) const
    {
        return m_services[handle.idx];
    }
    std::span<const SnapshotBackend> backends(ServiceHandle handle) const;
    /// Keys of the routes that have the service as a target, in ascending order.
    std::vector<std::string> routeKeysOf(ServiceHandle handle) const;
    std::span<const SnapshotService> services() const
    {
        return m_services;
    }

    /// True if every route has targets and all are services of this snapshot, every service's range of backend servers
    /// lies within the snapshot's list, and no service that lists backend servers has an empty range.
    bool isConsistent() const;

    /// Whether a request with this method may run more than once and in any order with others like it, whichever target
    /// of the route it goes to.
    bool isSafeRequest(RouteHandle route, std::string_view method) const;

private:
    Version m_version = 0;
    std::vector<SnapshotService> m_services;
    std::vector<SnapshotBackend> m_backends;
    std::shared_ptr<const RouteTable> m_routes;
    std::shared_ptr<const OrganisationTable> m_organisations;
    CallerLimits m_callerLimits;
};

} // namespace fulmarledge
