#include "fulmarledge/snapshot.h"

#include <algorithm>
#include <unordered_map>

namespace fulmarledge {

std::shared_ptr<const Snapshot> Snapshot::build(Version version, const Manifest &manifest,
                                                std::span<const wire::HostRecord> hosts)
{
    std::unordered_map<std::string_view, const wire::HostRecord *> recordOf;
    recordOf.reserve(hosts.size());
    for (const wire::HostRecord &record : hosts) {
        recordOf.emplace(record.host, &record);
    }
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->m_version = version;
    for (const auto &[name, spec] : manifest.services()) {
        const ServiceHandle handle{static_cast<std::uint32_t>(snapshot->m_services.size())};
        const auto first = static_cast<std::uint32_t>(snapshot->m_backends.size());
        for (const std::string &host : spec.backendServers) {
            SnapshotBackend backend{host, handle, std::nullopt};
            const auto record = recordOf.find(host);
            // A host that announces another service is not able to serve this one.
            if (record != recordOf.end() && record->second->serviceName == name) {
                backend.record = *record->second;
            }
            snapshot->m_backends.push_back(std::move(backend));
        }
        snapshot->m_services.push_back({spec, first, static_cast<std::uint32_t>(spec.backendServers.size())});
    }
    for (const auto &[prefix, service] : manifest.routes()) {
        snapshot->m_routes.emplace(prefix, snapshot->findService(service));
    }
    return snapshot;
}

ServiceHandle Snapshot::route(std::string_view path) const
{
    while (true) {
        const auto found = m_routes.find(path.empty() ? std::string_view("/") : path);
        if (found != m_routes.end()) {
            return found->second;
        }
        if (path.empty() || path == "/") {
            return {};
        }
        path = path.substr(0, path.rfind('/'));
    }
}

ServiceHandle Snapshot::findService(std::string_view name) const
{
    const auto found = std::lower_bound(
        m_services.begin(), m_services.end(), name,
        [](const SnapshotService &service, std::string_view key) { return service.spec.name < key; });
    if (found == m_services.end() || found->spec.name != name) {
        return {};
    }
    return {static_cast<std::uint32_t>(found - m_services.begin())};
}

std::span<const SnapshotBackend> Snapshot::backends(ServiceHandle handle) const
{
    const SnapshotService &entry = m_services[handle.idx];
    return std::span(m_backends).subspan(entry.firstBackend, entry.backendCount);
}

std::vector<std::string> Snapshot::routesOf(ServiceHandle handle) const
{
    std::vector<std::string> prefixes;
    for (const auto &[prefix, target] : m_routes) {
        if (target.idx == handle.idx) {
            prefixes.push_back(prefix);
        }
    }
    return prefixes;
}

bool Snapshot::isConsistent() const
{
    const bool routesHold = std::all_of(m_routes.begin(), m_routes.end(),
                                        [&](const auto &entry) { return entry.second.idx < m_services.size(); });
    return routesHold && std::all_of(m_services.begin(), m_services.end(), [&](const SnapshotService &service) {
               return service.backendCount > 0
                   && std::size_t{service.firstBackend} + service.backendCount <= m_backends.size();
           });
}

} // namespace fulmarledge
