#include "fulmarledge/manifest.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <vector>

#include "fulmarledge/config.h"

namespace fulmarledge {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameLength = 63;
constexpr std::size_t kMaxHostLength = 253;
constexpr std::int64_t kMaxWeight = 1000000;
constexpr std::int64_t kMaxRank = 1000;
constexpr std::int64_t kMaxAttempts = 100;
constexpr std::int64_t kMaxLimit = std::int64_t{1} << 40;
constexpr std::int64_t kMaxTimeoutMs = 600000;
constexpr std::int64_t kManifestFormat = 1;

bool fail(LastReason &error, std::string_view field, std::string_view reason)
{
    std::string text(field);
    text += ": ";
    text += reason;
    error.set(std::move(text));
    return false;
}

bool isName(std::string_view text)
{
    const auto allowed = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
    return !text.empty() && text.size() <= kMaxNameLength && std::all_of(text.begin(), text.end(), allowed);
}

bool isMethod(std::string_view text)
{
    return !text.empty() && text.size() <= 32
        && std::all_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
}

/// A service known by announcement is named by its backend servers, which may use more characters.
bool isAnnouncedName(std::string_view text)
{
    const auto allowed
        = [](char c) { return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.'; };
    return !text.empty() && text.size() <= kMaxNameLength && std::all_of(text.begin(), text.end(), allowed);
}

bool isHostName(std::string_view text)
{
    const auto allowed
        = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.'; };
    return !text.empty() && text.size() <= kMaxHostLength && std::all_of(text.begin(), text.end(), allowed);
}

bool isPathPrefix(std::string_view text, bool mayEndWithSlash)
{
    if (text.empty() || text.front() != '/' || text.size() > 1024) {
        return false;
    }
    if (text.size() > 1 && text.back() == '/' && !mayEndWithSlash) {
        return false;
    }
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return c > ' ' && c != '?' && c != '#' && static_cast<unsigned char>(c) < 0x7f; });
}

bool onlyKeys(const json &object, std::string_view field, std::initializer_list<std::string_view> allowed,
              LastReason &error)
{
    for (const auto &item : object.items()) {
        if (std::find(allowed.begin(), allowed.end(), item.key()) == allowed.end()) {
            return fail(error, std::string(field) + (field.empty() ? "" : ".") + item.key(), "unknown key");
        }
    }
    return true;
}

bool readNames(const json &value, std::string_view field, bool (*valid)(std::string_view), std::set<std::string> &out,
               LastReason &error)
{
    if (!value.is_array() || value.empty()) {
        return fail(error, field, "must be a list with at least one entry");
    }
    out.clear();
    for (std::size_t i = 0; i < value.size(); ++i) {
        const std::string entry = std::string(field) + "[" + std::to_string(i) + "]";
        if (!value[i].is_string() || !valid(value[i].get_ref<const std::string &>())) {
            return fail(error, entry, "not a valid name");
        }
        if (!out.insert(value[i].get<std::string>()).second) {
            return fail(error, entry, "duplicate \"" + value[i].get<std::string>() + "\"");
        }
    }
    return true;
}

bool readService(const json &value, const std::string &field, ServiceSpec &out, LastReason &error)
{
    if (!value.is_object()) {
        return fail(error, field, "must be an object");
    }
    if (!onlyKeys(value, field, {"name", "backend_servers", "class", "timeout_ms", "idempotent_methods"}, error)) {
        return false;
    }
    const bool announced = !value.contains("backend_servers");
    if (!value.contains("name") || !value["name"].is_string()
        || !(announced ? isAnnouncedName : isName)(value["name"].get_ref<const std::string &>())) {
        return fail(error, field + ".name", "must be 1 to 63 characters of a-z, 0-9 and \"-\"");
    }
    out.name = value["name"].get<std::string>();
    if (!announced
        && !readNames(value["backend_servers"], field + ".backend_servers", isName, out.backendServers, error)) {
        return false;
    }
    if (value.contains("class")) {
        if (value["class"] == "bulk") {
            out.serviceClass = ServiceClass::Bulk;
        } else if (value["class"] != "interactive") {
            return fail(error, field + ".class", "must be \"interactive\" or \"bulk\"");
        }
    }
    if (value.contains("timeout_ms")) {
        const json &timeout = value["timeout_ms"];
        if (!timeout.is_number_integer() || timeout < 1 || timeout > kMaxTimeoutMs) {
            return fail(error, field + ".timeout_ms", "must be a whole number from 1 to 600000");
        }
        out.timeoutMs = timeout.get<std::int64_t>();
    }
    if (value.contains("idempotent_methods")) {
        const std::string methods = field + ".idempotent_methods";
        if (value["idempotent_methods"].is_array() && value["idempotent_methods"].empty()) {
            out.idempotentMethods.clear();
        } else if (!readNames(value["idempotent_methods"], methods, isMethod, out.idempotentMethods, error)) {
            return false;
        }
        const ServiceSpec defaults;
        for (const std::string &method : out.idempotentMethods) {
            if (!defaults.idempotentMethods.contains(method)) {
                return fail(error, methods, "\"" + method + "\" cannot be declared idempotent");
            }
        }
    }
    return true;
}

bool readNumber(const json &object, const std::string &field, const char *key, std::int64_t min, std::int64_t max,
                std::int64_t &out, LastReason &error)
{
    if (!object.contains(key)) {
        return true;
    }
    const json &value = object[key];
    if (!value.is_number_integer() || value < min || value > max) {
        return fail(error, field + "." + key,
                    "must be a whole number from " + std::to_string(min) + " to " + std::to_string(max));
    }
    out = value.get<std::int64_t>();
    return true;
}

bool readTargets(const json &value, const std::string &field, std::vector<RouteTarget> &out, LastReason &error)
{
    if (!value.is_array() || value.empty()) {
        return fail(error, field, "must be a list with at least one entry");
    }
    for (std::size_t i = 0; i < value.size(); ++i) {
        const std::string entry = field + "[" + std::to_string(i) + "]";
        if (!value[i].is_object() || !onlyKeys(value[i], entry, {"service", "weight"}, error)) {
            return fail(error, entry, "must be an object with a service and a weight");
        }
        if (!value[i].contains("service") || !value[i]["service"].is_string()) {
            return fail(error, entry + ".service", "must be the name of a service");
        }
        std::int64_t weight = 1;
        if (!readNumber(value[i], entry, "weight", 0, kMaxWeight, weight, error)) {
            return false;
        }
        out.push_back({value[i]["service"].get<std::string>(), static_cast<std::uint32_t>(weight)});
    }
    const bool anyWeight
        = std::any_of(out.begin(), out.end(), [](const RouteTarget &target) { return target.weight > 0; });
    return anyWeight || fail(error, field, "must hold a weight above 0");
}

constexpr std::array<std::pair<std::string_view, RequestKind>, 3> kKinds{
    {{"safe", RequestKind::Safe}, {"unsafe", RequestKind::Unsafe}, {"download", RequestKind::Download}}};

bool readKind(const json &value, const std::string &field, RequestKind &out, LastReason &error)
{
    for (const auto &[name, kind] : kKinds) {
        if (value == name) {
            out = kind;
            return true;
        }
    }
    return fail(error, field, "must be \"safe\", \"unsafe\" or \"download\"");
}

bool readRoute(const json &value, const std::string &field, RouteSpec &out, LastReason &error)
{
    if (!value.is_object()) {
        return fail(error, field, "must be an object");
    }
    if (!onlyKeys(value, field,
                  {"path_prefix", "service", "host", "backends", "kind", "timeout_ms", "target_latency_ms",
                   "max_attempts", "priority"},
                  error)) {
        return false;
    }
    if (value.contains("host")) {
        if (!value["host"].is_string() || !isHostName(value["host"].get_ref<const std::string &>())) {
            return fail(error, field + ".host", "must be a host name in lower case without a port");
        }
        out.host = value["host"].get<std::string>();
    }
    if (!value.contains("path_prefix") || !value["path_prefix"].is_string()
        || !isPathPrefix(value["path_prefix"].get_ref<const std::string &>(), !out.host.empty())) {
        return fail(error, field + ".path_prefix",
                    "must start with \"/\", not end with \"/\" and hold no spaces, \"?\" or \"#\"");
    }
    out.pathPrefix = value["path_prefix"].get<std::string>();
    if (value.contains("backends")) {
        if (value.contains("service") || !readTargets(value["backends"], field + ".backends", out.targets, error)) {
            return value.contains("service") ? fail(error, field, "has both a service and backends") : false;
        }
    } else if (!value.contains("service") || !value["service"].is_string()) {
        return fail(error, field + ".service", "must be the name of a service");
    } else {
        out.targets = {{value["service"].get<std::string>(), 1}};
    }
    if (value.contains("kind") && !readKind(value["kind"], field + ".kind", out.kind, error)) {
        return false;
    }
    std::int64_t attempts = 0;
    std::int64_t priority = 0;
    const bool good = readNumber(value, field, "timeout_ms", 1, kMaxTimeoutMs, out.timeoutMs, error)
        && readNumber(value, field, "target_latency_ms", 1, kMaxTimeoutMs, out.targetLatencyMs, error)
        && readNumber(value, field, "max_attempts", 1, kMaxAttempts, attempts, error)
        && readNumber(value, field, "priority", 0, kMaxRank, priority, error);
    out.maxAttempts = static_cast<std::uint32_t>(attempts);
    out.priority = static_cast<std::uint32_t>(priority);
    return good;
}

bool readLimits(const json &value, CallerLimits &out, LastReason &error)
{
    if (!value.is_object()) {
        return fail(error, "limits", "must be an object");
    }
    return onlyKeys(value, "limits", {"max_header_bytes", "max_body_bytes", "header_timeout_ms", "idle_timeout_ms"},
                    error)
        && readNumber(value, "limits", "max_header_bytes", 1, kMaxLimit, out.maxHeaderBytes, error)
        && readNumber(value, "limits", "max_body_bytes", 1, kMaxLimit, out.maxBodyBytes, error)
        && readNumber(value, "limits", "header_timeout_ms", 1, kMaxTimeoutMs, out.headerTimeoutMs, error)
        && readNumber(value, "limits", "idle_timeout_ms", 1, kMaxLimit, out.idleTimeoutMs, error);
}

/// Sets `key` unless the value is the default 0.
void setNumber(json &object, const char *key, std::int64_t value)
{
    if (value != 0) {
        object[key] = value;
    }
}

json limitsToJson(const CallerLimits &limits)
{
    json value = json::object();
    setNumber(value, "max_header_bytes", limits.maxHeaderBytes);
    setNumber(value, "max_body_bytes", limits.maxBodyBytes);
    setNumber(value, "header_timeout_ms", limits.headerTimeoutMs);
    setNumber(value, "idle_timeout_ms", limits.idleTimeoutMs);
    return value;
}

json serviceToJson(const ServiceSpec &service)
{
    const ServiceSpec defaults;
    json value{{"name", service.name}};
    if (!service.backendServers.empty()) {
        value["backend_servers"] = service.backendServers;
    }
    if (service.serviceClass == ServiceClass::Bulk) {
        value["class"] = "bulk";
    }
    if (service.timeoutMs != defaults.timeoutMs) {
        value["timeout_ms"] = service.timeoutMs;
    }
    if (service.idempotentMethods != defaults.idempotentMethods) {
        value["idempotent_methods"] = service.idempotentMethods;
    }
    return value;
}

json routeToJson(const RouteSpec &route)
{
    json value{{"path_prefix", route.pathPrefix}};
    if (!route.host.empty()) {
        value["host"] = route.host;
    }
    if (route.targets.size() == 1) {
        value["service"] = route.targets.front().service;
    } else {
        for (const RouteTarget &target : route.targets) {
            value["backends"].push_back({{"service", target.service}, {"weight", target.weight}});
        }
    }
    for (const auto &[name, kind] : kKinds) {
        if (kind == route.kind) {
            value["kind"] = name;
        }
    }
    setNumber(value, "timeout_ms", route.timeoutMs);
    setNumber(value, "target_latency_ms", route.targetLatencyMs);
    setNumber(value, "max_attempts", route.maxAttempts);
    setNumber(value, "priority", route.priority);
    return value;
}

/// First target that is no service of the manifest, or null.
const std::string *missingService(const RouteSpec &route,
                                  const std::map<std::string, ServiceSpec, std::less<>> &services)
{
    for (const RouteTarget &target : route.targets) {
        if (!services.contains(target.service)) {
            return &target.service;
        }
    }
    return nullptr;
}

/// Parses JSON and refuses an object that repeats a key, which would otherwise keep the last value silently.
std::optional<json> parseStrict(std::string_view text, LastReason &error)
{
    std::vector<std::set<std::string>> keys;
    std::string duplicate;
    const auto callback = [&](int, json::parse_event_t event, json &parsed) {
        if (event == json::parse_event_t::object_start) {
            keys.emplace_back();
        } else if (event == json::parse_event_t::object_end) {
            keys.pop_back();
        } else if (event == json::parse_event_t::key && !keys.back().insert(parsed.get<std::string>()).second) {
            duplicate = parsed.get<std::string>();
        }
        return true;
    };
    try {
        json document = json::parse(text, callback);
        if (!duplicate.empty()) {
            fail(error, duplicate, "key is given twice in one object");
            return std::nullopt;
        }
        return document;
    } catch (const json::exception &exception) {
        fail(error, "manifest", std::string("malformed JSON: ") + exception.what());
        return std::nullopt;
    }
}

} // namespace

std::string_view kindName(RequestKind kind)
{
    switch (kind) {
    case RequestKind::ByMethod:
        return "by-method";
    case RequestKind::Safe:
        return "safe";
    case RequestKind::Unsafe:
        return "unsafe";
    case RequestKind::Download:
        return "download";
    }
    return "unknown";
}

std::optional<Manifest> Manifest::parse(std::string_view text, LastReason &error)
{
    if (text.size() > FULMARLEDGE_CONFIG_MAX_MANIFEST_BYTES) {
        fail(error, "manifest",
             std::to_string(text.size()) + " bytes, more than "
                 + std::to_string(FULMARLEDGE_CONFIG_MAX_MANIFEST_BYTES));
        return std::nullopt;
    }
    const auto document = parseStrict(text, error);
    if (!document) {
        return std::nullopt;
    }
    if (!document->is_object()) {
        fail(error, "manifest", "must be a JSON object");
        return std::nullopt;
    }
    if (!onlyKeys(*document, "", {"format", "services", "routes", "limits"}, error)) {
        return std::nullopt;
    }
    if (!document->contains("format") || (*document)["format"] != kManifestFormat) {
        fail(error, "format", "must be 1");
        return std::nullopt;
    }
    for (const char *list : {"services", "routes"}) {
        if (!document->contains(list) || !(*document)[list].is_array()) {
            fail(error, list, "must be a list");
            return std::nullopt;
        }
    }
    Manifest manifest;
    const json &services = (*document)["services"];
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
    const json &routes = (*document)["routes"];
    for (std::size_t i = 0; i < routes.size(); ++i) {
        const std::string field = "routes[" + std::to_string(i) + "]";
        RouteSpec route;
        if (!readRoute(routes[i], field, route, error)) {
            return std::nullopt;
        }
        if (const std::string *missing = missingService(route, manifest.m_services)) {
            fail(error, field + ".service", "no service \"" + *missing + "\" in this manifest");
            return std::nullopt;
        }
        const std::string key = route.key();
        if (!manifest.m_routes.emplace(key, std::move(route)).second) {
            fail(error, field + ".path_prefix", "duplicate prefix \"" + key + "\"");
            return std::nullopt;
        }
    }
    if (document->contains("limits") && !readLimits((*document)["limits"], manifest.m_limits, error)) {
        return std::nullopt;
    }
    if (!manifest.check(error)) {
        return std::nullopt;
    }
    return manifest;
}

bool Manifest::check(LastReason &error) const
{
    std::set<std::string_view> routed;
    for (const auto &[key, route] : m_routes) {
        if (const std::string *missing = missingService(route, m_services)) {
            return fail(error, "routes[" + key + "].service", "no service \"" + *missing + "\" in this manifest");
        }
        for (const RouteTarget &target : route.targets) {
            routed.insert(target.service);
        }
    }
    std::map<std::string_view, std::string_view> owners;
    for (const auto &[name, service] : m_services) {
        if (!service.backendServers.empty() && !routed.contains(name)) {
            return fail(error, "services[" + name + "]", "no route leads to this service");
        }
        for (const std::string &host : service.backendServers) {
            const auto [owner, inserted] = owners.emplace(host, name);
            if (!inserted) {
                return fail(error, "services[" + name + "].backend_servers",
                            "\"" + host + "\" belongs to service \"" + std::string(owner->second) + "\" too");
            }
        }
    }
    return true;
}

std::string Manifest::canonicalText() const
{
    json services = json::array();
    for (const auto &[name, service] : m_services) {
        services.push_back(serviceToJson(service));
    }
    json routes = json::array();
    for (const auto &[key, route] : m_routes) {
        routes.push_back(routeToJson(route));
    }
    json document{{"format", kManifestFormat}, {"services", std::move(services)}, {"routes", std::move(routes)}};
    if (m_limits != CallerLimits{}) {
        document["limits"] = limitsToJson(m_limits);
    }
    return document.dump();
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
            delta.routes.push_back(routeToJson(route).dump());
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
        const std::string key = route.key();
        result.m_routes.insert_or_assign(key, std::move(route));
    }
    if (delta.__isset.limits) {
        const auto value = parseStrict(delta.limits, error);
        result.m_limits = {};
        if (!value || !readLimits(*value, result.m_limits, error)) {
            return std::nullopt;
        }
    }
    if (!result.check(error)) {
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
