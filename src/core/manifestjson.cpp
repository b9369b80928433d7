#include "manifestjson_p.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>
#include <vector>

namespace fulmarledge {

namespace {

constexpr std::size_t kMaxNameLength = 63;
constexpr std::size_t kMaxHostLength = 253;
constexpr std::int64_t kMaxWeight = 1000000;
constexpr std::int64_t kMaxAttempts = 100;
constexpr std::int64_t kMaxCallerLimit = std::int64_t{1} << 40;
constexpr std::int64_t kMaxTimeoutMs = 600000;

} // namespace

bool fail(LastReason &error, std::string_view field, std::string_view reason)
{
    std::string text(field);
    text += ": ";
    text += reason;
    error.set(std::move(text));
    return false;
}

namespace {

bool isLowerCaseName(std::string_view text)
{
    const auto allowed = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
    return !text.empty() && text.size() <= kMaxNameLength && std::all_of(text.begin(), text.end(), allowed);
}

bool isHttpMethod(std::string_view text)
{
    return !text.empty() && text.size() <= 32
        && std::all_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
}

} // namespace

// Backend servers choose the name of a service that they announce, and may use more characters than an operator.
bool isAnnouncedServiceName(std::string_view text)
{
    const auto allowed
        = [](char c) { return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.'; };
    return !text.empty() && text.size() <= kMaxNameLength && std::all_of(text.begin(), text.end(), allowed);
}

namespace {

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

} // namespace

bool hasOnlyKeys(const json &object, std::string_view field, std::initializer_list<std::string_view> allowed,
                 LastReason &error)
{
    for (const auto &item : object.items()) {
        if (std::find(allowed.begin(), allowed.end(), item.key()) == allowed.end()) {
            return fail(error, std::string(field) + (field.empty() ? "" : ".") + item.key(), "unknown key");
        }
    }
    return true;
}

namespace {

bool readNames(const json &value, std::string_view field, bool (*isAllowed)(std::string_view),
               std::set<std::string> &out, LastReason &error)
{
    if (!value.is_array() || value.empty()) {
        return fail(error, field, "must be a list with at least one entry");
    }
    out.clear();
    for (std::size_t i = 0; i < value.size(); ++i) {
        const std::string entry = std::string(field) + "[" + std::to_string(i) + "]";
        if (!value[i].is_string() || !isAllowed(value[i].get_ref<const std::string &>())) {
            return fail(error, entry, "not a valid name");
        }
        if (!out.insert(value[i].get<std::string>()).second) {
            return fail(error, entry, "duplicate \"" + value[i].get<std::string>() + "\"");
        }
    }
    return true;
}

} // namespace

bool readService(const json &value, const std::string &field, ServiceSpec &out, LastReason &error)
{
    if (!value.is_object()) {
        return fail(error, field, "must be an object");
    }
    if (!hasOnlyKeys(value, field, {"name", "backend_servers", "class", "timeout_ms", "idempotent_methods"}, error)) {
        return false;
    }
    const bool isAnnounced = !value.contains("backend_servers");
    if (!value.contains("name") || !value["name"].is_string()
        || !(isAnnounced ? isAnnouncedServiceName : isLowerCaseName)(value["name"].get_ref<const std::string &>())) {
        return fail(
            error, field + ".name",
            "must be 1 to 63 characters of a-z, 0-9 and \"-\"; A-Z, \"_\" and \".\" are allowed too if the service "
            "has no backend_servers");
    }
    out.name = value["name"].get<std::string>();
    if (!isAnnounced
        && !readNames(value["backend_servers"], field + ".backend_servers", isLowerCaseName, out.backendServers,
                      error)) {
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
        } else if (!readNames(value["idempotent_methods"], methods, isHttpMethod, out.idempotentMethods, error)) {
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

namespace {

bool readTargets(const json &value, const std::string &field, std::vector<RouteTarget> &out, LastReason &error)
{
    if (!value.is_array() || value.empty()) {
        return fail(error, field, "must be a list with at least one entry");
    }
    for (std::size_t i = 0; i < value.size(); ++i) {
        const std::string entry = field + "[" + std::to_string(i) + "]";
        if (!value[i].is_object() || !hasOnlyKeys(value[i], entry, {"service", "weight"}, error)) {
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
    const bool hasPositiveWeight
        = std::any_of(out.begin(), out.end(), [](const RouteTarget &target) { return target.weight > 0; });
    return hasPositiveWeight || fail(error, field, "at least one weight must be above 0");
}

constexpr std::array<std::pair<std::string_view, RequestKind>, 4> kRequestKindNames{
    {{"safe", RequestKind::Safe},
     {"unsafe", RequestKind::Unsafe},
     {"download", RequestKind::Download},
     {"upload", RequestKind::Upload}}};

bool readKind(const json &value, const std::string &field, RequestKind &out, LastReason &error)
{
    for (const auto &[name, kind] : kRequestKindNames) {
        if (value == name) {
            out = kind;
            return true;
        }
    }
    return fail(error, field, "must be \"safe\", \"unsafe\" or \"download\"");
}

} // namespace

bool readRoute(const json &value, const std::string &field, RouteSpec &out, LastReason &error)
{
    if (!value.is_object()) {
        return fail(error, field, "must be an object");
    }
    if (!hasOnlyKeys(value, field,
                     {"path_prefix", "service", "host", "backends", "kind", "timeout_ms", "target_latency_ms",
                      "max_attempts", "priority", "public"},
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
        return fail(
            error, field + ".path_prefix",
            "must be 1 to 1024 visible ASCII characters other than \"?\" and \"#\", start with \"/\", and end with "
            "\"/\" only if it is \"/\" or the route has a host");
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
    if (value.contains("public")) {
        if (!value["public"].is_boolean()) {
            return fail(error, field + ".public", "must be true or false");
        }
        out.isPublic = value["public"].get<bool>();
    }
    std::int64_t attempts = 0;
    std::int64_t priority = 0;
    const bool numbersValid = readNumber(value, field, "timeout_ms", 1, kMaxTimeoutMs, out.timeoutMs, error)
        && readNumber(value, field, "target_latency_ms", 1, kMaxTimeoutMs, out.targetLatencyMs, error)
        && readNumber(value, field, "max_attempts", 1, kMaxAttempts, attempts, error)
        && readNumber(value, field, "priority", 0, kMaxPriority, priority, error);
    out.maxAttempts = static_cast<std::uint32_t>(attempts);
    out.priority = static_cast<std::uint32_t>(priority);
    return numbersValid;
}

bool readLimits(const json &value, CallerLimits &out, LastReason &error)
{
    if (!value.is_object()) {
        return fail(error, "limits", "must be an object");
    }
    return hasOnlyKeys(value, "limits", {"max_header_bytes", "max_body_bytes", "header_timeout_ms", "idle_timeout_ms"},
                       error)
        && readNumber(value, "limits", "max_header_bytes", 1, kMaxCallerLimit, out.maxHeaderBytes, error)
        && readNumber(value, "limits", "max_body_bytes", 1, kMaxCallerLimit, out.maxBodyBytes, error)
        && readNumber(value, "limits", "header_timeout_ms", 1, kMaxTimeoutMs, out.headerTimeoutMs, error)
        && readNumber(value, "limits", "idle_timeout_ms", 1, kMaxCallerLimit, out.idleTimeoutMs, error);
}

namespace {

/// Sets `key` unless `value` is 0, which is the default.
void setNonZero(json &object, const char *key, std::int64_t value)
{
    if (value != 0) {
        object[key] = value;
    }
}

} // namespace

json limitsToJson(const CallerLimits &limits)
{
    json value = json::object();
    setNonZero(value, "max_header_bytes", limits.maxHeaderBytes);
    setNonZero(value, "max_body_bytes", limits.maxBodyBytes);
    setNonZero(value, "header_timeout_ms", limits.headerTimeoutMs);
    setNonZero(value, "idle_timeout_ms", limits.idleTimeoutMs);
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
    for (const auto &[name, kind] : kRequestKindNames) {
        if (kind == route.kind) {
            value["kind"] = name;
        }
    }
    setNonZero(value, "timeout_ms", route.timeoutMs);
    setNonZero(value, "target_latency_ms", route.targetLatencyMs);
    setNonZero(value, "max_attempts", route.maxAttempts);
    setNonZero(value, "priority", route.priority);
    if (route.isPublic) {
        value["public"] = true;
    }
    return value;
}

namespace {

/// Cuts the text that the parser read last from its message, because it may be part of a key of an organisation.
std::string describeWithoutText(std::string_view message)
{
    for (const std::string_view quote : {"; last read:", " parsing '"}) {
        message = message.substr(0, message.find(quote));
    }
    return std::string(message);
}

} // namespace

std::optional<json> parseStrict(std::string_view text, LastReason &error)
{
    std::vector<std::set<std::string>> keysOfOpenObjects;
    std::string repeatedKey;
    const auto onParseEvent = [&](int, json::parse_event_t event, json &parsed) {
        if (event == json::parse_event_t::object_start) {
            keysOfOpenObjects.emplace_back();
        } else if (event == json::parse_event_t::object_end) {
            keysOfOpenObjects.pop_back();
        } else if (event == json::parse_event_t::key
                   && !keysOfOpenObjects.back().insert(parsed.get<std::string>()).second) {
            repeatedKey = parsed.get<std::string>();
        }
        return true;
    };
    try {
        json document = json::parse(text, onParseEvent);
        if (!repeatedKey.empty()) {
            fail(error, repeatedKey, "key is given twice in one object");
            return std::nullopt;
        }
        return document;
    } catch (const json::exception &exception) {
        fail(error, "manifest", "malformed JSON: " + describeWithoutText(exception.what()));
        return std::nullopt;
    }
}

std::string_view requestKindName(RequestKind kind)
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
    case RequestKind::Upload:
        return "upload";
    case RequestKind::Count:
        break;
    }
    return "unknown";
}

} // namespace fulmarledge
