#include "fulmarledge/snapshot.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cmath>
#include <iterator>
#include <unordered_map>

namespace fulmarledge {

namespace {

/// Fractional part of the golden ratio. Its multiples modulo 1 are a low-discrepancy sequence, in which any run of
/// consecutive terms is spread evenly over the unit interval.
constexpr double kGoldenFraction = 0.61803398874989485;

/// Seed of the hash of keys in a snapshot that is built without an organisation table.
constexpr std::uint64_t kDefaultKeySeed = 0;

char toLower(char c)
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

/// Longest host name of the DNS.
constexpr std::size_t kMaxHostNameBytes = 255;

/// Returns `host` in lower case and without its port.
std::string hostKey(std::string_view host)
{
    std::string key(host.substr(0, host.find(':')));
    std::transform(key.begin(), key.end(), key.begin(), toLower);
    return key;
}

} // namespace

ServiceHandle TableRoute::pickTarget() const
{
    if (targets.size() == 1) {
        return targets.front();
    }
    const auto pickNumber = static_cast<double>(nextPick.fetch_add(1, std::memory_order_relaxed));
    const double position = pickNumber * kGoldenFraction;
    double remaining = (position - std::floor(position)) * static_cast<double>(totalWeight);
    for (std::size_t i = 0; i < targets.size(); ++i) {
        remaining -= spec.targets[i].weight;
        if (remaining < 0) {
            return targets[i];
        }
    }
    return targets.back();
}

std::shared_ptr<const RouteTable> RouteTable::build(const Manifest &manifest)
{
    auto table = std::make_shared<RouteTable>();
    std::unordered_map<std::string_view, ServiceHandle> services;
    for (const auto &[name, spec] : manifest.services()) {
        services.emplace(name, ServiceHandle{static_cast<std::uint32_t>(services.size())});
    }
    for (const auto &[key, spec] : manifest.routes()) {
        const RouteHandle handle{static_cast<std::uint32_t>(table->m_routes.size())};
        TableRoute &route = table->m_routes.emplace_back();
        route.spec = spec;
        for (const RouteTarget &target : spec.targets) {
            route.targets.push_back(services.at(target.service));
            route.totalWeight += target.weight;
        }
        // Each node starts the sequence at another place, so that the first picks of all nodes do not go to one target.
        // The address of the table serves as the arbitrary number.
        route.nextPick = std::hash<const void *>{}(table.get()) >> 6U;
        table->m_prefixesByHost[spec.host].emplace(spec.pathPrefix, handle);
    }
    return table;
}

RouteHandle RouteTable::findLongestPrefix(const Prefixes &prefixes, std::string_view path)
{
    while (true) {
        // Tries ever shorter prefixes. For "/a/b/c" these are "/a/b/c", "/a/b/", "/a/b", "/a/", "/a" and "/". Cutting
        // only at "/" keeps path segments whole.
        const auto found = prefixes.find(path.empty() ? std::string_view("/") : path);
        if (found != prefixes.end()) {
            return found->second;
        }
        if (path.empty() || path == "/") {
            return {};
        }
        path = path.back() == '/' ? path.substr(0, path.size() - 1) : path.substr(0, path.rfind('/') + 1);
    }
}

RouteHandle RouteTable::find(std::string_view host, std::string_view path) const
{
    // A look-up takes no memory unless the name is longer than any valid one.
    std::array<char, kMaxHostNameBytes> buffer;
    const std::string_view name = host.substr(0, host.find(':'));
    const bool fits = name.size() <= buffer.size();
    std::transform(name.begin(), fits ? name.end() : name.begin(), buffer.begin(), toLower);
    const auto ofHost = fits ? m_prefixesByHost.find(std::string_view(buffer.data(), name.size()))
                             : m_prefixesByHost.find(hostKey(host));
    if (ofHost != m_prefixesByHost.end()) {
        const RouteHandle handle = findLongestPrefix(ofHost->second, path);
        if (isValid(handle)) {
            return handle;
        }
    }
    const auto ofAnyHost = m_prefixesByHost.find(std::string_view());
    return ofAnyHost == m_prefixesByHost.end() ? RouteHandle{} : findLongestPrefix(ofAnyHost->second, path);
}

std::shared_ptr<const Snapshot> Snapshot::build(Version version, const Manifest &manifest,
                                                std::span<const wire::HostRecord> hosts,
                                                std::shared_ptr<const RouteTable> routes,
                                                std::shared_ptr<const OrganisationTable> organisations)
{
    std::unordered_map<std::string_view, const wire::HostRecord *> recordByHost;
    std::unordered_map<std::string_view, std::vector<const wire::HostRecord *>> recordsByService;
    recordByHost.reserve(hosts.size());
    for (const wire::HostRecord &record : hosts) {
        recordByHost.emplace(record.host, &record);
        recordsByService[record.serviceName].push_back(&record);
    }
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->m_version = version;
    snapshot->m_callerLimits = manifest.limits();
    snapshot->m_routes = routes ? std::move(routes) : RouteTable::build(manifest);
    snapshot->m_organisations
        = organisations ? std::move(organisations) : OrganisationTable::build(manifest, kDefaultKeySeed);
    for (const auto &[name, spec] : manifest.services()) {
        const ServiceHandle handle{static_cast<std::uint32_t>(snapshot->m_services.size())};
        const auto first = static_cast<std::uint32_t>(snapshot->m_backends.size());
        for (const std::string &host : spec.backendServers) {
            SnapshotBackend backend{host, handle, std::nullopt};
            const auto record = recordByHost.find(host);
            // A host that announces another service cannot serve this one.
            if (record != recordByHost.end() && record->second->serviceName == name) {
                backend.record = *record->second;
            }
            snapshot->m_backends.push_back(std::move(backend));
        }
        if (spec.backendServers.empty()) {
            for (const wire::HostRecord *record : recordsByService[name]) {
                snapshot->m_backends.push_back({record->host, handle, *record});
            }
        }
        const auto count = static_cast<std::uint32_t>(snapshot->m_backends.size()) - first;
        snapshot->m_services.push_back({spec, first, count});
    }
    return snapshot;
}

ServiceHandle Snapshot::firstTargetFor(std::string_view path) const
{
    const RouteHandle handle = m_routes->find({}, path);
    return isValid(handle) ? m_routes->route(handle).targets.front() : ServiceHandle{};
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

std::vector<std::string> Snapshot::routeKeysOf(ServiceHandle handle) const
{
    std::vector<std::string> keys;
    for (const TableRoute &route : m_routes->routes()) {
        const auto leadsToService = [handle](ServiceHandle target) { return target.idx == handle.idx; };
        if (std::any_of(route.targets.begin(), route.targets.end(), leadsToService)) {
            keys.push_back(route.spec.key());
        }
    }
    return keys;
}

bool Snapshot::isSafeRequest(RouteHandle handle, std::string_view method) const
{
    const TableRoute &route = m_routes->route(handle);
    if (route.spec.kind != RequestKind::ByMethod) {
        return isRepeatable(route.spec.kind);
    }
    // RFC 9110, section 9.2.1. PUT and DELETE are repeatable, but their order matters.
    static constexpr std::string_view kSafeMethods[] = {"GET", "HEAD", "OPTIONS", "TRACE"};
    const auto isMethod = [method](std::string_view other) { return other == method; };
    return std::any_of(std::begin(kSafeMethods), std::end(kSafeMethods), isMethod)
        && std::all_of(route.targets.begin(), route.targets.end(), [&](ServiceHandle target) {
               const auto &methods = service(target).spec.idempotentMethods;
               return std::any_of(methods.begin(), methods.end(), isMethod);
           });
}

bool Snapshot::isConsistent() const
{
    const auto isInSnapshot = [this](ServiceHandle target) { return target.idx < m_services.size(); };
    const bool routesConsistent
        = std::all_of(m_routes->routes().begin(), m_routes->routes().end(), [&](const TableRoute &route) {
              return !route.targets.empty() && std::all_of(route.targets.begin(), route.targets.end(), isInSnapshot);
          });
    return routesConsistent && std::all_of(m_services.begin(), m_services.end(), [&](const SnapshotService &service) {
               // A service that lists no backend servers has none until a host announces it.
               return (service.backendCount > 0 || service.spec.backendServers.empty())
                   && std::size_t{service.firstBackend} + service.backendCount <= m_backends.size();
           });
}

} // namespace fulmarledge
