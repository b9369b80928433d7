#include "fulmarledge/manifest.h"

#include <array>
#include <openssl/evp.h>

#include "fulmarledge/config.h"
#include "manifestjson_p.h"
#include "organisations/organisationjson_p.h"

namespace fulmarledge {

namespace {

constexpr std::int64_t kManifestFormat = 1;

/// Returns the first target of `route` that is not in `services`, or null.
const std::string *findMissingService(const RouteSpec &route,
                                      const std::map<std::string, ServiceSpec, std::less<>> &services)
{
    for (const RouteTarget &target : route.targets) {
        if (!services.contains(target.service)) {
            return &target.service;
        }
    }
    return nullptr;
}

} // namespace

std::optional<Manifest> Manifest::parse(std::string_view text, LastReason &error, std::size_t maxBytes)
{
    if (text.size() > maxBytes) {
        fail(error, "manifest", std::to_string(text.size()) + " bytes, more than " + std::to_string(maxBytes));
        return std::nullopt;
    }
    const auto document = parseStrict(text, error);
    return document ? fromJson(*document, error) : std::nullopt;
}

std::optional<Manifest> Manifest::fromJson(const json &document, LastReason &error)
{
    if (!document.is_object()) {
        fail(error, "manifest", "must be a JSON object");
        return std::nullopt;
    }
    if (!hasOnlyKeys(document, "", {"format", "services", "routes", "limits", "organisations"}, error)) {
        return std::nullopt;
    }
    if (!document.contains("format") || document["format"] != kManifestFormat) {
        fail(error, "format", "must be 1");
        return std::nullopt;
    }
    for (const char *list : {"services", "routes"}) {
        if (!document.contains(list) || !document[list].is_array()) {
            fail(error, list, "must be a list");
            return std::nullopt;
        }
    }
    Manifest manifest;
    const json &services = document["services"];
    for (std::size_t i = 0; i < services.size(); ++i) {
        const std::string field = "services[" + std::to_string(i) + "]";
        ServiceSpec service;
        if (!readService(services[i], field, service, error)) {
            return std::nullopt;
        }
        const std::string name = service.name;
        if (!manifest.m_services.emplace(name, std::move(service)).second) {
            fail(error, field + ".name", "duplicate service \"" + name + "\"");
            return std::nullopt;
        }
    }
    const json &routes = document["routes"];
    for (std::size_t i = 0; i < routes.size(); ++i) {
        const std::string field = "routes[" + std::to_string(i) + "]";
        RouteSpec route;
        if (!readRoute(routes[i], field, route, error)) {
            return std::nullopt;
        }
        if (const std::string *missing = findMissingService(route, manifest.m_services)) {
            fail(error, field + ".service", "no service \"" + *missing + "\" in this manifest");
            return std::nullopt;
        }
        if (const std::string key = route.key(); manifest.m_routes.contains(key)) {
            fail(error, field + ".path_prefix", "duplicate prefix \"" + key + "\"");
            return std::nullopt;
        }
        manifest.setRoute(std::move(route));
    }
    if (document.contains("limits") && !readLimits(document["limits"], manifest.m_limits, error)) {
        return std::nullopt;
    }
    if (document.contains("organisations")
        && !readOrganisations(document["organisations"], manifest.m_organisations, error)) {
        return std::nullopt;
    }
    if (!manifest.checkReferences(error)) {
        return std::nullopt;
    }
    return manifest;
}

void Manifest::setRoute(RouteSpec route)
{
    const std::string key = route.key();
    m_routeTexts.insert_or_assign(key, std::make_shared<const std::string>(routeToJson(route).dump()));
    m_routes.insert_or_assign(key, std::move(route));
}

bool Manifest::checkReferences(LastReason &error) const
{
    std::set<std::string_view> routedServices;
    for (const auto &[key, route] : m_routes) {
        if (const std::string *missing = findMissingService(route, m_services)) {
            return fail(error, "routes[" + key + "].service", "no service \"" + *missing + "\" in this manifest");
        }
        for (const RouteTarget &target : route.targets) {
            routedServices.insert(target.service);
        }
    }
    std::map<std::string_view, std::string_view> serviceByHost;
    for (const auto &[name, service] : m_services) {
        if (!service.backendServers.empty() && !routedServices.contains(name)) {
            return fail(error, "services[" + name + "]", "no route leads to this service");
        }
        for (const std::string &host : service.backendServers) {
            const auto [entry, inserted] = serviceByHost.emplace(host, name);
            if (!inserted) {
                return fail(error, "services[" + name + "].backend_servers",
                            "\"" + host + "\" belongs to service \"" + std::string(entry->second) + "\" too");
            }
        }
    }
    return true;
}

std::string Manifest::canonicalText() const
{
    std::string organisations;
    for (const auto &[name, entry] : m_organisations) {
        organisations += organisations.empty() ? "" : ",";
        organisations += entry->text;
    }
    return textWithOrganisations(organisations);
}

std::size_t Manifest::memoryBytes() const
{
    // A node of a map holds three links, a colour and the heap's own header beside its entry.
    constexpr std::size_t kNodeBytes = 48 + sizeof(std::string);
    std::size_t bytes = sizeof(Manifest);
    for (const auto &[key, route] : m_routes) {
        bytes += kNodeBytes + sizeof(RouteSpec) + 2 * key.size();
        for (const RouteTarget &target : route.targets) {
            bytes += sizeof(RouteTarget) + target.service.size();
        }
    }
    for (const auto &[key, text] : m_routeTexts) {
        bytes += kNodeBytes + sizeof(std::string) + sizeof(text) + key.size() + text->size();
    }
    for (const auto &[name, service] : m_services) {
        bytes += kNodeBytes + sizeof(ServiceSpec) + 2 * name.size();
        for (const auto *names : {&service.backendServers, &service.idempotentMethods}) {
            for (const std::string &text : *names) {
                bytes += kNodeBytes + text.size();
            }
        }
    }
    for (const auto &[name, entry] : m_organisations) {
        bytes += 2 * kNodeBytes + sizeof(OrganisationEntry) + 2 * name.size() + 2 * entry->text.size();
    }
    return bytes;
}

std::string Manifest::shownDigest(const std::string &digest) const
{
    std::string organisations;
    bool hasKeys = false;
    for (const auto &[name, entry] : m_organisations) {
        organisations += organisations.empty() ? "" : ",";
        organisations += organisationToJson(entry->spec, false).dump();
        hasKeys = hasKeys || !entry->spec.keys.empty();
    }
    return hasKeys ? sha256Hex(textWithOrganisations(organisations)) : digest;
}

std::string Manifest::textWithOrganisations(const std::string &organisations) const
{
    std::string result = "{\"format\":" + std::to_string(kManifestFormat);
    if (m_limits != CallerLimits{}) {
        result += ",\"limits\":" + limitsToJson(m_limits).dump();
    }
    if (!organisations.empty()) {
        result += ",\"organisations\":[" + organisations + "]";
    }
    result += ",\"routes\":[";
    for (const auto &[key, text] : m_routeTexts) {
        result += result.back() == '[' ? "" : ",";
        result += *text;
    }
    result += "],\"services\":[";
    for (const auto &[name, service] : m_services) {
        result += result.back() == '[' ? "" : ",";
        result += serviceToJson(service).dump();
    }
    return result + "]}";
}

wire::ManifestDelta Manifest::deltaTo(const Manifest &target) const
{
    wire::ManifestDelta delta;
    for (const auto &[name, service] : target.m_services) {
        const auto current = m_services.find(name);
        if (current == m_services.end() || current->second != service) {
            delta.services.push_back(serviceToJson(service).dump());
        }
    }
    for (const auto &[name, service] : m_services) {
        if (!target.m_services.contains(name)) {
            delta.removedServices.push_back(name);
        }
    }
    for (const auto &[key, route] : target.m_routes) {
        const auto current = m_routes.find(key);
        if (current == m_routes.end() || current->second != route) {
            delta.routes.push_back(*target.m_routeTexts.at(key));
        }
    }
    for (const auto &[key, route] : m_routes) {
        if (!target.m_routes.contains(key)) {
            delta.removedRoutes.push_back(key);
        }
    }
    if (m_limits != target.m_limits) {
        delta.__set_limits(limitsToJson(target.m_limits).dump());
    }
    addOrganisationChanges(m_organisations, target.m_organisations, delta);
    return delta;
}

std::optional<Manifest> Manifest::apply(const wire::ManifestDelta &delta, LastReason &error) const
{
    Manifest result = *this;
    for (const std::string &name : delta.removedServices) {
        result.m_services.erase(name);
    }
    for (const std::string &key : delta.removedRoutes) {
        result.m_routes.erase(key);
        result.m_routeTexts.erase(key);
    }
    for (std::size_t i = 0; i < delta.services.size(); ++i) {
        const auto value = parseStrict(delta.services[i], error);
        ServiceSpec service;
        if (!value || !readService(*value, "delta.services[" + std::to_string(i) + "]", service, error)) {
            return std::nullopt;
        }
        const std::string name = service.name;
        result.m_services.insert_or_assign(name, std::move(service));
    }
    for (std::size_t i = 0; i < delta.routes.size(); ++i) {
        const auto value = parseStrict(delta.routes[i], error);
        RouteSpec route;
        if (!value || !readRoute(*value, "delta.routes[" + std::to_string(i) + "]", route, error)) {
            return std::nullopt;
        }
        result.setRoute(std::move(route));
    }
    if (delta.__isset.limits) {
        const auto value = parseStrict(delta.limits, error);
        result.m_limits = {};
        if (!value || !readLimits(*value, result.m_limits, error)) {
            return std::nullopt;
        }
    }
    if (!applyOrganisationChanges(delta, result.m_organisations, error) || !result.checkReferences(error)) {
        return std::nullopt;
    }
    return result;
}

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    EVP_Digest(data.data(), data.size(), digest.data(), &length, EVP_sha256(), nullptr);
    static constexpr std::string_view kDigits = "0123456789abcdef";
    std::string hex;
    hex.reserve(std::size_t{length} * 2);
    for (unsigned int i = 0; i < length; ++i) {
        hex += kDigits[digest[i] >> 4U];
        hex += kDigits[digest[i] & 0x0fU];
    }
    return hex;
}

} // namespace fulmarledge
