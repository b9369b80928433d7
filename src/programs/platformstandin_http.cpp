#include "platformstandin_http.h"

#include <algorithm>
#include <charconv>

namespace fulmarledge {

namespace {

constexpr std::int64_t kTickIntervalMs = 5;
constexpr std::size_t kMaxRequestBytes = 2 * 1024 * 1024;
constexpr int kThreads = 2;

std::vector<std::string> splitPath(const std::string &path)
{
    std::vector<std::string> parts;
    for (std::size_t at = 1; at <= path.size();) {
        const std::size_t end = std::min(path.find('/', at), path.size());
        parts.push_back(path.substr(at, end - at));
        at = end + 1;
    }
    return parts;
}

/// @return -1 if the text is not a number
std::int64_t parseNumber(std::string_view text)
{
    std::int64_t number = -1;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size() ? number : -1;
}

/// Number of the query parameter `name`, or -1 if it is missing or not a number.
std::int64_t queryNumber(const std::string &query, const std::string &name)
{
    for (const char separator : {'?', '&'}) {
        const std::size_t at = query.find(separator + name + "=");
        if (at != std::string::npos) {
            const std::size_t start = at + name.size() + 2;
            return parseNumber(std::string_view(query).substr(start, query.find('&', start) - start));
        }
    }
    return -1;
}

/// Parses a request of the object API.
/// @return nothing if the request is malformed
std::optional<StandinCall> parseCall(const HttpCall &request)
{
    const std::vector<std::string> parts = splitPath(request.path);
    StandinCall call;
    const bool isStatus = parts.size() == 5 && parts[1] == "objects" && parts[4] == "status" && request.method == "PUT";
    if (parts.size() < 3 || (parts.size() > 4 && !isStatus) || parts[0] != "v1" || parts[2].empty()) {
        return std::nullopt;
    }
    call.kind = parts[2];
    call.name = parts.size() >= 4 ? parts[3] : "";
    call.value = request.body;
    if (parts[1] == "watch" && parts.size() == 4 && request.method == "GET") {
        call.operation = "watch";
        call.version = queryNumber(request.query, "from");
        call.timeoutMs = queryNumber(request.query, "timeout_ms");
        return call.version < 0 || call.timeoutMs < 0 ? std::nullopt : std::optional(call);
    }
    if (parts[1] != "objects") {
        return std::nullopt;
    }
    if (request.method == "GET") {
        call.operation = parts.size() == 4 ? "get" : "list";
        return call;
    }
    if (parts.size() < 4 || call.name.empty()) {
        return std::nullopt;
    }
    if (request.method == "POST") {
        call.operation = "create";
        return call;
    }
    call.operation = isStatus ? "update-status" : request.method == "PUT" ? "update" : "remove";
    call.version = parseNumber(fieldValue(request.fields, "If-Match"));
    return call.version < 0 || (request.method != "PUT" && request.method != "DELETE") ? std::nullopt
                                                                                       : std::optional(call);
}

void sendReply(HttpResponder &responder, const StandinReply &reply)
{
    try {
        responder.send(reply.status, reply.fields, reply.body);
    } catch (const std::exception &) {
        // The client closed the connection while its watch was waiting.
    }
}

void handleRequest(PlatformStandinStore &store, const HttpCall &request)
{
    const std::shared_ptr<HttpResponder> responder = request.responder;
    const TimeMs now = monotonicMs();
    if (request.path == "/standin/faults" && request.method == "PUT") {
        LastReason error;
        const bool accepted = store.setFaults(request.body, now, error);
        sendReply(*responder, {accepted ? 200 : 400, {}, error.text()});
    } else if (request.path == "/standin/stats" && request.method == "GET") {
        sendReply(*responder, {200, {{"Content-Type", "application/json"}}, store.statsJson()});
    } else if (const auto call = parseCall(request)) {
        store.call(
            *call, [responder](const StandinReply &reply) { sendReply(*responder, reply); }, now);
    } else {
        sendReply(*responder, {400, {}, "malformed request"});
    }
}

void tick(IoLoop &loop, PlatformStandinStore &store)
{
    store.tick(monotonicMs());
    loop.runAfter(kTickIntervalMs, [&] { tick(loop, store); });
}

} // namespace

PlatformStandinServer::PlatformStandinServer(IoLoop &loop, const SocketAddress &address)
    : m_loop(loop)
    , m_store(std::make_shared<PlatformStandinStore>())
    , m_server({address, kThreads, {.maxBodyBytes = kMaxRequestBytes}}, [&loop, store = m_store](HttpCall call) {
        loop.post([store, request = std::move(call)] { handleRequest(*store, request); });
    })
{
    tick();
}

PlatformStandinServer::~PlatformStandinServer()
{
    m_loop.cancel(m_timer);
}

void PlatformStandinServer::tick()
{
    m_store->tick(monotonicMs());
    m_timer = m_loop.runAfter(kTickIntervalMs, [this] { tick(); });
}

} // namespace fulmarledge
