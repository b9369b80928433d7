#include <boost/program_options.hpp>
#include <charconv>
#include <csignal>
#include <iostream>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <thread>
#include <unistd.h>

#include "httpserver.h"
#include "ioloop.h"
#include "platformstandin_store.h"

namespace {

namespace options = boost::program_options;
using namespace fulmarledge;

constexpr std::int64_t kTickMs = 5;
constexpr std::size_t kMaxRequestBytes = 2 * 1024 * 1024;

std::vector<std::string> pathParts(const std::string &path)
{
    std::vector<std::string> parts;
    for (std::size_t at = 1; at <= path.size();) {
        const std::size_t end = std::min(path.find('/', at), path.size());
        parts.push_back(path.substr(at, end - at));
        at = end + 1;
    }
    return parts;
}

std::int64_t numberOf(std::string_view text)
{
    std::int64_t number = -1;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size() ? number : -1;
}

std::int64_t queryNumber(const std::string &query, const std::string &name)
{
    for (const char separator : {'?', '&'}) {
        const std::size_t at = query.find(separator + name + "=");
        if (at != std::string::npos) {
            const std::size_t start = at + name.size() + 2;
            return numberOf(std::string_view(query).substr(start, query.find('&', start) - start));
        }
    }
    return -1;
}

/// Reads the call of the object API, or nothing when the request is malformed.
std::optional<StandinCall> objectCall(const HttpCall &request)
{
    const std::vector<std::string> parts = pathParts(request.path);
    StandinCall call;
    if (parts.size() < 3 || parts.size() > 4 || parts[0] != "v1" || parts[2].empty()) {
        return std::nullopt;
    }
    call.kind = parts[2];
    call.name = parts.size() == 4 ? parts[3] : "";
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
    if (parts.size() != 4 || call.name.empty()) {
        return std::nullopt;
    }
    if (request.method == "POST") {
        call.operation = "create";
        return call;
    }
    call.operation = request.method == "PUT" ? "update" : "remove";
    call.version = numberOf(fieldValue(request.fields, "If-Match"));
    return call.version < 0 || (request.method != "PUT" && request.method != "DELETE") ? std::nullopt
                                                                                       : std::optional(call);
}

void sendReply(HttpResponder &responder, const StandinReply &reply)
{
    try {
        responder.send(reply.status, reply.fields, reply.body);
    } catch (const std::exception &) {
        // The client has closed the connection of its watch.
    }
}

void handle(PlatformStandinStore &store, const HttpCall &request)
{
    const std::shared_ptr<HttpResponder> responder = request.responder;
    const TimeMs now = monotonicMs();
    if (request.path == "/standin/faults" && request.method == "PUT") {
        LastReason error;
        const bool done = store.setFaults(request.body, now, error);
        sendReply(*responder, {done ? 200 : 400, {}, error.text()});
    } else if (request.path == "/standin/stats" && request.method == "GET") {
        sendReply(*responder, {200, {{"Content-Type", "application/json"}}, store.statsText()});
    } else if (const auto call = objectCall(request)) {
        store.call(
            *call, [responder](const StandinReply &reply) { sendReply(*responder, reply); }, now);
    } else {
        sendReply(*responder, {400, {}, "malformed request"});
    }
}

void tick(IoLoop &loop, PlatformStandinStore &store)
{
    store.tick(monotonicMs());
    loop.runAfter(kTickMs, [&] { tick(loop, store); });
}

int serve(const SocketAddress &address)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    IoLoop loop;
    PlatformStandinStore store;
    const int signalFd = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    loop.addFd(signalFd, EPOLLIN, [&](std::uint32_t) { loop.stop(); });
    HttpServer server({address, 2, kMaxRequestBytes}, [&](HttpCall call) {
        loop.post([&store, request = std::move(call)] { handle(store, request); });
    });
    tick(loop, store);
    loop.run();
    server.stop();
    close(signalFd);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    std::string address;
    std::uint16_t port = 0;
    options::options_description description("fulmarledge-platform-standin");
    description.add_options()("help", "prints this text")("version", "prints the version")(
        "address", options::value(&address)->default_value("127.0.0.1"),
        "address to listen on")("port", options::value(&port)->default_value(18080), "port to listen on");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
        if (values.contains("help")) {
            std::cout << description;
            return 0;
        }
        if (values.contains("version")) {
            std::cout << FULMARLEDGE_VERSION << '\n';
            return 0;
        }
    } catch (const options::error &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    try {
        return serve({address, port});
    } catch (const std::exception &error) {
        std::cerr << "cannot serve on " << address << ":" << port << ": " << error.what() << '\n';
        return 1;
    }
}
