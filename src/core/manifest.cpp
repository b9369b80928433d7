#include "fulmarledge/manifest.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <vector>

#include "fulmarledge/config.h"

namespace fulmarledge {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameLength = 63;
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

bool isPathPrefix(std::string_view text)
{
    if (text.empty() || text.front() != '/' || text.size() > 1024) {
        return false;
    }
    if (text.size() > 1 && text.back() == '/') {
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
    if (!value.contains("name") || !value["name"].is_string()
        || !isName(value["name"].get_ref<const std::string &>())) {
        return fail(error, field + ".name", "must be 1 to 63 characters of a-z, 0-9 and \"-\"");
    }
    out.name = value["name"].get<std::string>();
    if (!value.contains("backend_servers")) {
        return fail(error, field + ".backend_servers", "missing");
    }
    if (!readNames(value["backend_servers"], field + ".backend_servers", isName, out.backendServers, error)) {
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

bool readRoute(const json &value, const std::string &field, std::pair<std::string, std::string> &out, LastReason &error)
{
    if (!value.is_object()) {
        return fail(error, field, "must be an object");
    }
    if (!onlyKeys(value, field, {"path_prefix", "service"}, error)) {
        return false;
    }
    if (!value.contains("path_prefix") || !value["path_prefix"].is_string()
        || !isPathPrefix(value["path_prefix"].get_ref<const std::string &>())) {
        return fail(error, field + ".path_prefix",
                    "must start with \"/\", not end with \"/\" and hold no spaces, \"?\" or \"#\"");
    }
    if (!value.contains("service") || !value["service"].is_string()) {
        return fail(error, field + ".service", "must be the name of a service");
    }
    out = {value["path_prefix"].get<std::string>(), value["service"].get<std::string>()};
    return true;
}

json serviceToJson(const ServiceSpec &service)
{
    const ServiceSpec defaults;
    json value{{"name", service.name}, {"backend_servers", service.backendServers}};
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

json routeToJson(const std::string &prefix, const std::string &service)
{
    return json{{"path_prefix", prefix}, {"service", service}};
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
    if (!onlyKeys(*document, "", {"format", "services", "routes"}, error)) {
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
        std::pair<std::string, std::string> route;
        if (!readRoute(routes[i], field, route, error)) {
            return std::nullopt;
        }
        if (!manifest.m_services.contains(route.second)) {
            fail(error, field + ".service", "no service \"" + route.second + "\" in this manifest");
            return std::nullopt;
        }
        if (!manifest.m_routes.emplace(route).second) {
            fail(error, field + ".path_prefix", "duplicate prefix \"" + route.first + "\"");
            return std::nullopt;
        }
    }
    if (!manifest.check(error)) {
        return std::nullopt;
    }
    return manifest;
}

bool Manifest::check(LastReason &error) const
{
    std::set<std::string_view> routed;
    for (const auto &[prefix, service] : m_routes) {
        if (!m_services.contains(service)) {
            return fail(error, "routes[" + prefix + "].service", "no service \"" + service + "\" in this manifest");
        }
        routed.insert(service);
    }
    std::map<std::string_view, std::string_view> owners;
    for (const auto &[name, service] : m_services) {
        if (!routed.contains(name)) {
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
    for (const auto &[prefix, service] : m_routes) {
        routes.push_back(routeToJson(prefix, service));
    }
    return json{{"format", kManifestFormat}, {"services", std::move(services)}, {"routes", std::move(routes)}}.dump();
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
    for (const auto &[prefix, service] : target.m_routes) {
        const auto current = m_routes.find(prefix);
        if (current == m_routes.end() || current->second != service) {
            delta.routes.push_back(routeToJson(prefix, service).dump());
        }
    }
    for (const auto &[prefix, service] : m_routes) {
        if (!target.m_routes.contains(prefix)) {
            delta.removedRoutes.push_back(prefix);
        }
    }
    return delta;
}

std::optional<Manifest> Manifest::apply(const wire::ManifestDelta &delta, LastReason &error) const
{
    Manifest result = *this;
    for (const std::string &name : delta.removedServices) {
        result.m_services.erase(name);
    }
    for (const std::string &prefix : delta.removedRoutes) {
        result.m_routes.erase(prefix);
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
        std::pair<std::string, std::string> route;
        if (!value || !readRoute(*value, "delta.routes[" + std::to_string(i) + "]", route, error)) {
            return std::nullopt;
        }
        result.m_routes.insert_or_assign(route.first, route.second);
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
