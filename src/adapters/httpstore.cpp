#include "httpstore.h"

#include <cctype>
#include <charconv>
#include <nlohmann/json.hpp>

namespace fulmarledge {

namespace {

using nlohmann::json;

/// Parses a whole number that is not negative.
std::optional<std::int64_t> parseNonNegative(std::string_view text)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size() || number < 0) {
        return std::nullopt;
    }
    return number;
}

/// Appends the objects of a list response, which is a JSON array of {name, version, value} and, if set, status.
bool parseObjectList(const std::string &body, std::string_view kind, std::vector<StoreObject> &objects)
{
    const json document = json::parse(body, nullptr, false);
    if (!document.is_array()) {
        return false;
    }
    try {
        for (const json &entry : document) {
            objects.push_back({std::string(kind), entry.at("name").get<std::string>(),
                               entry.at("version").get<std::int64_t>(), entry.at("value").get<std::string>(),
                               entry.value("status", std::string())});
        }
    } catch (const json::exception &) {
        return false;
    }
    return true;
}

} // namespace

std::string encodePathSegment(std::string_view text)
{
    static constexpr std::string_view kDigits = "0123456789ABCDEF";
    std::string segment;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
            segment += c;
        } else {
            segment += '%';
            segment += kDigits[byte >> 4U];
            segment += kDigits[byte & 0x0fU];
        }
    }
    return segment;
}

HttpStore::HttpStore(HttpClient &client, MetricsSink &metrics, Settings settings)
    : m_client(client)
    , m_metrics(metrics)
    , m_settings(std::move(settings))
{
}

void HttpStore::setAddress(const SocketAddress &address)
{
    m_settings.address = address;
}

std::string_view HttpStore::operationName(Operation operation)
{
    switch (operation) {
    case Operation::Get:
        return "get";
    case Operation::List:
        return "list";
    case Operation::Create:
        return "create";
    case Operation::Update:
        return "update";
    case Operation::UpdateStatus:
        return "update-status";
    case Operation::Remove:
        return "remove";
    case Operation::Watch:
        return "watch";
    }
    return "unknown";
}

StoreStatus storeStatusFromResult(const HttpResult &result, bool isWrite)
{
    if (result.verdict != Verdict::Answered) {
        return isWrite && result.verdict == Verdict::MayHaveRun ? StoreStatus::UnknownOutcome
                                                                : StoreStatus::Unavailable;
    }
    switch (result.status) {
    case 404:
        return StoreStatus::NotFound;
    case 409:
    case 412:
        return StoreStatus::Conflict;
    case 410:
        return StoreStatus::Expired;
    case 429:
        return StoreStatus::Throttled;
    case 503:
        return StoreStatus::Unavailable;
    default:
        break;
    }
    if (result.status >= 200 && result.status < 300) {
        return StoreStatus::Ok;
    }
    if (result.status >= 400 && result.status < 500) {
        return StoreStatus::Invalid;
    }
    // Any other 5xx status may come from an intermediary that lost the platform's response, so a write may have taken
    // effect.
    return isWrite ? StoreStatus::UnknownOutcome : StoreStatus::Unavailable;
}

StoreStatus HttpStore::statusOf(Operation operation, const HttpResult &result)
{
    if (operation == Operation::Watch && result.verdict == Verdict::Answered && result.status == 204) {
        return StoreStatus::Unchanged;
    }
    return storeStatusFromResult(result,
                                 operation == Operation::Create || operation == Operation::Update
                                     || operation == Operation::UpdateStatus || operation == Operation::Remove);
}

StoreReply HttpStore::makeReply(Operation operation, std::string_view kind, std::string_view name, HttpResult result)
{
    StoreReply reply;
    reply.status = statusOf(operation, result);
    if (reply.status == StoreStatus::Throttled) {
        reply.retryAfterMs = parseNonNegative(fieldValue(result.fields, "Retry-After-Ms")).value_or(0);
    }
    if (reply.status != StoreStatus::Ok) {
        reply.reason = result.verdict == Verdict::Answered ? std::move(result.body) : std::move(result.detail);
        return reply;
    }
    if (operation == Operation::List) {
        if (!parseObjectList(result.body, kind, reply.objects)) {
            return {StoreStatus::Invalid, {}, 0, "the platform sent a malformed list"};
        }
        return reply;
    }
    if (operation == Operation::Remove) {
        return reply;
    }
    const auto version = parseNonNegative(fieldValue(result.fields, kObjectVersionField));
    if (!version && (operation == Operation::Get || operation == Operation::Watch)) {
        return {StoreStatus::Invalid, {}, 0, "the platform sent an object without a version"};
    }
    reply.objects.push_back({std::string(kind), std::string(name), version.value_or(0), std::move(result.body),
                             std::string(fieldValue(result.fields, kObjectStatusField))});
    return reply;
}

HttpRequest HttpStore::makeRequest(std::string method, std::string_view collection, std::string_view kind,
                                   std::string_view name) const
{
    HttpRequest request;
    request.method = std::move(method);
    request.url = "http://" + m_settings.address.ip + ":" + std::to_string(m_settings.address.port) + "/v1/"
        + std::string(collection) + "/" + encodePathSegment(kind);
    if (!name.empty()) {
        request.url += "/" + encodePathSegment(name);
    }
    request.timeoutMs = m_settings.timeoutMs;
    request.connectTimeoutMs = m_settings.connectTimeoutMs;
    request.resendAllowed = request.method == "GET";
    return request;
}

void HttpStore::send(Operation operation, HttpRequest request, std::string_view kind, std::string_view name,
                     StoreCallback callback)
{
    // The callback does not capture `this`, because the client may outlive the store.
    m_client.send(std::move(request),
                  [&metrics = m_metrics, operation, objectKind = std::string(kind), objectName = std::string(name),
                   done = std::move(callback)](HttpResult result) {
                      metrics.count("platform-bytes-in", objectKind, static_cast<double>(result.body.size()));
                      const StoreReply reply = makeReply(operation, objectKind, objectName, std::move(result));
                      std::string label(operationName(operation));
                      label += ' ';
                      label += storeStatusName(reply.status);
                      metrics.count("platform-calls", label, 1);
                      if (reply.status == StoreStatus::Ok) {
                          metrics.count("platform-objects", objectKind, static_cast<double>(reply.objects.size()));
                      }
                      done(reply);
                  });
}

void HttpStore::get(std::string_view kind, std::string_view name, StoreCallback callback)
{
    send(Operation::Get, makeRequest("GET", "objects", kind, name), kind, name, std::move(callback));
}

void HttpStore::list(std::string_view kind, StoreCallback callback)
{
    send(Operation::List, makeRequest("GET", "objects", kind, {}), kind, {}, std::move(callback));
}

void HttpStore::create(std::string_view kind, std::string_view name, std::string_view value, StoreCallback callback)
{
    HttpRequest request = makeRequest("POST", "objects", kind, name);
    request.body = value;
    send(Operation::Create, std::move(request), kind, name, std::move(callback));
}

void HttpStore::update(std::string_view kind, std::string_view name, std::int64_t expectedVersion,
                       std::string_view value, StoreCallback callback)
{
    HttpRequest request = makeRequest("PUT", "objects", kind, name);
    request.fields.emplace_back("If-Match", std::to_string(expectedVersion));
    request.body = value;
    send(Operation::Update, std::move(request), kind, name, std::move(callback));
}

void HttpStore::updateStatus(std::string_view kind, std::string_view name, std::int64_t expectedVersion,
                             std::string_view status, StoreCallback callback)
{
    HttpRequest request = makeRequest("PUT", "objects", kind, name);
    request.url += "/status";
    request.fields.emplace_back("If-Match", std::to_string(expectedVersion));
    request.body = status;
    send(Operation::UpdateStatus, std::move(request), kind, name, std::move(callback));
}

void HttpStore::remove(std::string_view kind, std::string_view name, std::int64_t expectedVersion,
                       StoreCallback callback)
{
    HttpRequest request = makeRequest("DELETE", "objects", kind, name);
    request.fields.emplace_back("If-Match", std::to_string(expectedVersion));
    send(Operation::Remove, std::move(request), kind, name, std::move(callback));
}

void HttpStore::watch(std::string_view kind, std::string_view name, std::int64_t fromVersion, std::int64_t timeoutMs,
                      StoreCallback callback)
{
    HttpRequest request = makeRequest("GET", "watch", kind, name);
    request.url += "?from=" + std::to_string(fromVersion) + "&timeout_ms=" + std::to_string(timeoutMs);
    request.timeoutMs = timeoutMs + m_settings.timeoutMs;
    send(Operation::Watch, std::move(request), kind, name, std::move(callback));
}

} // namespace fulmarledge
