// Stand-ins for the platform's store, for endpoints and for clients, and the start and stop of nodes. They follow
// PROTOCOL.md and DEPLOY.md. One thread serves one connection. Everything runs on loopback addresses.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using nlohmann::json;
using Ms = std::int64_t;

inline Ms nowMs()
{
    using namespace std::chrono;
    static const auto kStart = steady_clock::now();
    return duration_cast<milliseconds>(steady_clock::now() - kStart).count();
}

inline Ms unixMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(Ms ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// ---------------------------------------------------------------------------------------------------------- record --

class Record
{
public:
    static Record &get()
    {
        static Record instance;
        return instance;
    }
    void open(const std::string &path)
    {
        m_file = std::fopen(path.c_str(), "w");
    }
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        std::array<char, 1024> text{};
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text.data(), text.size(), format, arguments);
        va_end(arguments);
        const std::lock_guard lock(m_mutex);
        const double seconds = static_cast<double>(nowMs()) / 1000;
        if (m_file != nullptr) {
            std::fprintf(m_file, "%8.3f %s\n", seconds, text.data());
            std::fflush(m_file);
        }
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file = nullptr;
};

#define RECORD(...) ::review::Record::get().line(__VA_ARGS__)

// ------------------------------------------------------------------------------------------------------------ HTTP --

struct Address {
    std::string ip;
    int port = 0;
    std::string text() const
    {
        return ip + ":" + std::to_string(port);
    }
};

inline sockaddr_in toSockaddr(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

using Fields = std::vector<std::pair<std::string, std::string>>;

inline std::string field(const Fields &fields, const char *name)
{
    for (const auto &[key, value] : fields) {
        if (strcasecmp(key.c_str(), name) == 0) {
            return value;
        }
    }
    return {};
}

struct Message {
    std::string start; ///< request line or status line
    std::string method;
    std::string path; ///< with the query
    int status = 0;
    Fields fields;
    std::string body;
};

/// A connected socket with a read buffer.
class Stream
{
public:
    explicit Stream(int fd)
        : m_fd(fd)
    {
    }
    ~Stream()
    {
        close();
    }
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;

    static std::unique_ptr<Stream> connect(const Address &to, Ms timeoutMs)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const sockaddr_in address = toSockaddr(to);
        if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
            pollfd waiting{fd, POLLOUT, 0};
            int error = 0;
            socklen_t size = sizeof(error);
            if (errno != EINPROGRESS || ::poll(&waiting, 1, static_cast<int>(timeoutMs)) <= 0
                || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
                ::close(fd);
                return nullptr;
            }
        }
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        return std::make_unique<Stream>(fd);
    }
    void close()
    {
        const int fd = m_fd.exchange(-1);
        if (fd >= 0) {
            ::close(fd);
        }
    }
    int fd() const
    {
        return m_fd;
    }
    bool send(const std::string &bytes)
    {
        std::size_t done = 0;
        while (done < bytes.size()) {
            const ssize_t sent = ::send(m_fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
            if (sent < 0 && (errno == EAGAIN || errno == EINTR)) {
                pollfd waiting{m_fd, POLLOUT, 0};
                ::poll(&waiting, 1, 1000);
                continue;
            }
            if (sent <= 0) {
                return false;
            }
            done += static_cast<std::size_t>(sent);
        }
        return true;
    }
    /// Reads more bytes. Returns false at the end, after an error, or at `until`.
    bool fill(Ms until)
    {
        while (true) {
            const Ms left = until - nowMs();
            if (left <= 0) {
                m_timedOut = true;
                return false;
            }
            pollfd waiting{m_fd, POLLIN, 0};
            const int ready = ::poll(&waiting, 1, static_cast<int>(left));
            if (ready < 0 && errno == EINTR) {
                continue;
            }
            if (ready <= 0) {
                continue;
            }
            std::array<char, 65536> buffer;
            const ssize_t got = ::recv(m_fd, buffer.data(), buffer.size(), 0);
            if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
                continue;
            }
            if (got <= 0) {
                return false;
            }
            buffered.append(buffer.data(), static_cast<std::size_t>(got));
            return true;
        }
    }
    /// Whether the peer has closed the connection, as far as can be seen without waiting.
    bool isClosedByPeer() const
    {
        char byte = 0;
        const ssize_t got = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
    }
    /// Reads a message with a Content-Length or in chunks. `bodyless` for an answer to HEAD.
    bool readMessage(Message &message, Ms until)
    {
        message = {};
        std::size_t end = std::string::npos;
        while ((end = buffered.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until)) {
                return false;
            }
        }
        std::istringstream head(buffered.substr(0, end + 2));
        buffered.erase(0, end + 4);
        std::string line;
        std::getline(head, message.start);
        message.start.pop_back();
        std::istringstream words(message.start);
        if (message.start.rfind("HTTP/", 0) == 0) {
            std::string version;
            words >> version >> message.status;
        } else {
            words >> message.method >> message.path;
        }
        while (std::getline(head, line)) {
            line.pop_back();
            const std::size_t colon = line.find(':');
            std::string value = line.substr(std::min(colon + 1, line.size()));
            value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
            message.fields.emplace_back(line.substr(0, colon), value);
        }
        if (strcasecmp(field(message.fields, "Transfer-Encoding").c_str(), "chunked") == 0) {
            while (true) {
                std::size_t lineEnd = 0;
                while ((lineEnd = buffered.find("\r\n")) == std::string::npos) {
                    if (!fill(until)) {
                        return false;
                    }
                }
                const std::size_t size = std::stoul(buffered.substr(0, lineEnd), nullptr, 16);
                buffered.erase(0, lineEnd + 2);
                while (buffered.size() < size + 2) {
                    if (!fill(until)) {
                        return false;
                    }
                }
                message.body.append(buffered, 0, size);
                buffered.erase(0, size + 2);
                if (size == 0) {
                    return true;
                }
            }
        }
        const std::string length = field(message.fields, "Content-Length");
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        while (buffered.size() < size) {
            if (!fill(until)) {
                message.body = std::move(buffered);
                return false;
            }
        }
        message.body = buffered.substr(0, size);
        buffered.erase(0, size);
        return true;
    }
    bool timedOut() const
    {
        return m_timedOut;
    }

    std::string buffered;

private:
    std::atomic<int> m_fd;
    bool m_timedOut = false;
};

inline int listenOn(const Address &at)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = toSockaddr(at);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || ::listen(fd, 512) != 0) {
        std::fprintf(stderr, "cannot listen on %s: %s\n", at.text().c_str(), std::strerror(errno));
        std::exit(2);
    }
    return fd;
}

/// Accepts connections and runs `serve` in a thread for each.
class Server
{
public:
    using Serve = std::function<void(std::shared_ptr<Stream>)>;
    Server(const Address &at, Serve serve)
        : m_address(at)
        , m_fd(listenOn(at))
        , m_serve(std::move(serve))
    {
        m_thread = std::thread([this] { run(); });
    }
    ~Server()
    {
        stop();
    }
    /// Stops listening and resets all connections, as the end of a process does.
    void stop()
    {
        if (m_fd < 0) {
            return;
        }
        m_stopping = true;
        ::shutdown(m_fd, SHUT_RDWR);
        m_thread.join();
        ::close(m_fd);
        m_fd = -1;
        const std::lock_guard lock(m_mutex);
        for (const auto &weak : m_streams) {
            if (const auto stream = weak.lock()) {
                ::shutdown(stream->fd(), SHUT_RDWR);
            }
        }
    }
    const Address &address() const
    {
        return m_address;
    }

private:
    void run()
    {
        while (!m_stopping) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
            if (fd < 0) {
                if (m_stopping) {
                    return;
                }
                continue;
            }
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            auto stream = std::make_shared<Stream>(fd);
            {
                const std::lock_guard lock(m_mutex);
                std::erase_if(m_streams, [](const auto &weak) { return weak.expired(); });
                m_streams.push_back(stream);
            }
            std::thread([serve = m_serve, stream] { serve(stream); }).detach();
        }
    }

    Address m_address;
    int m_fd;
    Serve m_serve;
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex;
    std::vector<std::weak_ptr<Stream>> m_streams;
    std::thread m_thread;
};

inline std::string formatAnswer(int status, const Fields &fields, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto &[name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ----------------------------------------------------------------------------------------------------------- store --

/// The platform's metadata store: objects with revisions, lists, conditional writes and watches.
class Store
{
public:
    explicit Store(const Address &at)
        : m_server(at, [this](const std::shared_ptr<Stream> &stream) { serve(*stream); })
    {
    }
    /// A store at another address that continues with the objects of `earlier`.
    Store(const Address &at, Store &earlier)
        : m_server(at, [this](const std::shared_ptr<Stream> &stream) { serve(*stream); })
    {
        const std::scoped_lock lock(m_mutex, earlier.m_mutex);
        m_revision = earlier.m_revision;
        m_objects = earlier.m_objects;
        m_events = earlier.m_events;
    }
    /// Ends the service at this address.
    void stop()
    {
        m_server.stop();
    }
    /// A write of the operator. Returns the revision.
    std::int64_t put(const std::string &kind, const std::string &name, json spec)
    {
        const std::lock_guard lock(m_mutex);
        return write(kind, name, std::move(spec));
    }

    /// Called for each call before it is handled; returns false to cut its connection without an answer.
    std::function<bool(const Message &)> onCall;

private:
    struct Event {
        std::int64_t revision;
        std::string kind;
        json object;
        bool removed;
    };
    std::int64_t write(const std::string &kind, const std::string &name, json spec)
    {
        json &object = m_objects[kind][name];
        ++m_revision;
        if (object.is_null()) {
            object = {{"metadata",
                       {{"name", name},
                        {"revision", m_revision},
                        {"createRevision", m_revision},
                        {"finalizers", json::array()},
                        {"deleting", false}}},
                      {"status", nullptr}};
        }
        object["spec"] = std::move(spec);
        object["metadata"]["revision"] = m_revision;
        m_events.push_back({m_revision, kind, object, false});
        m_changed.notify_all();
        return m_revision;
    }
    static std::int64_t queryNumber(const std::string &query, const std::string &key, std::int64_t fallback)
    {
        const std::size_t at = query.find(key + "=");
        return at == std::string::npos ? fallback : std::stoll(query.substr(at + key.size() + 1));
    }
    void serve(Stream &stream)
    {
        Message call;
        while (stream.readMessage(call, nowMs() + 120000)) {
            if (onCall && !onCall(call)) {
                return;
            }
            const auto [status, body] = handle(call);
            if (!stream.send(formatAnswer(status, {{"Content-Type", "application/json"}}, body.dump()))) {
                return;
            }
        }
    }
    std::pair<int, json> handle(const Message &call)
    {
        static const std::string kPrefix = "/api/objects/";
        if (call.path.rfind(kPrefix, 0) != 0) {
            return {404, json::object()};
        }
        const std::size_t mark = std::min(call.path.find('?'), call.path.size());
        const std::string query = call.path.substr(mark);
        std::string kind = call.path.substr(kPrefix.size(), mark - kPrefix.size());
        std::string name;
        if (const std::size_t slash = kind.find('/'); slash != std::string::npos) {
            name = kind.substr(slash + 1);
            kind.erase(slash);
        }
        std::unique_lock lock(m_mutex);
        auto &objects = m_objects[kind];
        if (call.method == "GET" && name.empty()) {
            const std::int64_t from = queryNumber(query, "watch", -1);
            if (from < 0) {
                json items = json::array();
                for (const auto &[key, object] : objects) {
                    items.push_back(object);
                }
                return {200, {{"items", items}, {"hasMore", false}, {"asOf", m_revision}}};
            }
            const auto collect = [&] {
                json events = json::array();
                for (const Event &event : m_events) {
                    if (event.revision > from && event.kind == kind) {
                        events.push_back({{"removed", event.removed}, {"object", event.object}});
                    }
                }
                return events;
            };
            json events;
            m_changed.wait_for(lock, std::chrono::milliseconds(queryNumber(query, "waitMs", 1000)), [&] {
                events = collect();
                return !events.empty();
            });
            return {200, {{"events", events}, {"asOf", m_revision}}};
        }
        if (call.method == "GET") {
            const auto found = objects.find(name);
            return found == objects.end() ? std::pair<int, json>{404, json::object()}
                                          : std::pair<int, json>{200, found->second};
        }
        const json body = json::parse(call.body, nullptr, false);
        if (call.method == "POST") {
            const std::string created = body.at("metadata").at("name");
            if (objects.contains(created)) {
                return {409, objects[created]};
            }
            write(kind, created, body.value("spec", json()));
            return {200, objects[created]};
        }
        const auto found = objects.find(name);
        if (found == objects.end()) {
            return {404, json::object()};
        }
        std::int64_t expected = queryNumber(query, "revision", -1);
        if (body.is_object() && body.contains("metadata")) {
            expected = body["metadata"].value("revision", expected);
        }
        if (expected >= 0 && expected != found->second["metadata"]["revision"].get<std::int64_t>()) {
            return {409, found->second};
        }
        if (call.method == "PUT") {
            write(kind, name, body.value("spec", json()));
            return {200, objects[name]};
        }
        json object = found->second;
        objects.erase(found);
        m_events.push_back({++m_revision, kind, object, true});
        m_changed.notify_all();
        return {200, object};
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::int64_t m_revision = 100;
    std::map<std::string, std::map<std::string, json>> m_objects;
    std::vector<Event> m_events;
    Server m_server;
};

// --------------------------------------------------------------------------------------------------------- machines --

/// Loopback address number `last` of this process. Others that run at the same time mostly use another network, as a
/// port for metrics is fixed by deploy/node.ini.
inline std::string loopback(int last)
{
    return "127." + std::to_string(16 + ::getpid() % 200) + ".0." + std::to_string(last);
}

/// Addresses and settings of one machine of the deployment.
struct Machine {
    std::string name;
    std::string zone;
    std::string ip;
    std::string service;
};

/// Ports, which are the same on all machines.
struct Ports {
    int outbound = 0;
    int inbound = 0;
    int ready = 0;
    int control = 0;
    int app = 0;
    int internal0 = 0;
    int internal1 = 0;
    int store = 0;
};

inline int freePort(const std::vector<std::string> &ips, std::set<int> &used)
{
    for (int port = 20000 + static_cast<int>(::getpid() % 5000); port < 32000; ++port) {
        if (used.contains(port)) {
            continue;
        }
        bool isFree = true;
        for (const std::string &ip : ips) {
            for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
                const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
                const sockaddr_in address = toSockaddr({ip, port});
                isFree = isFree && ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
                ::close(fd);
            }
        }
        if (isFree) {
            used.insert(port);
            return port;
        }
    }
    std::fprintf(stderr, "no free port\n");
    std::exit(2);
}

/// A small deployment: the store, and the nodes, with the settings that the platform fills into deploy/node.ini.
class Deployment
{
public:
    explicit Deployment(std::vector<Machine> machines)
        : machines(std::move(machines))
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (::mkdtemp(pattern.data()) == nullptr) {
            std::exit(2);
        }
        m_folder = pattern.data();
        std::vector<std::string> ips{"127.0.0.1"};
        for (const Machine &machine : this->machines) {
            ips.push_back(machine.ip);
        }
        std::set<int> used;
        for (int *port : {&ports.outbound, &ports.inbound, &ports.ready, &ports.control, &ports.app, &ports.internal0,
                          &ports.internal1, &ports.store}) {
            *port = freePort(ips, used);
        }
        const char *root = std::getenv("REVIEW_ROOT");
        m_root = root != nullptr ? root : ".";
        std::ifstream file(m_root + "/deploy/node.ini");
        std::stringstream text;
        text << file.rdbuf();
        m_template = text.str();
        if (m_template.empty()) {
            std::fprintf(stderr, "deploy/node.ini is missing\n");
            std::exit(2);
        }
        store = std::make_unique<Store>(Address{"127.0.0.1", ports.store});
    }
    /// Ends all nodes and removes the temporary folder.
    void shutdown()
    {
        for (const auto &[name, pid] : m_pids) {
            ::kill(pid, SIGCONT);
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
        m_pids.clear();
        if (std::getenv("REVIEW_KEEP") == nullptr) {
            std::filesystem::remove_all(m_folder);
        } else {
            std::fprintf(stderr, "logs: %s\n", m_folder.c_str());
        }
    }
    /// Ends all processes and this program. 0: the rule held, 1: it was broken, 2: the case could not run.
    [[noreturn]] void finish(int code)
    {
        RECORD("result %d (%s)", code,
               code == 0       ? "the rule held"
                   : code == 1 ? "the rule was broken"
                               : "could not run");
        shutdown();
        std::_Exit(code);
    }
    Address outbound(const Machine &machine) const
    {
        return {machine.ip, ports.outbound};
    }
    Address control(const Machine &machine) const
    {
        return {machine.ip, ports.control};
    }
    Address ready(const Machine &machine) const
    {
        return {machine.ip, ports.ready};
    }
    Address app(const Machine &machine) const
    {
        return {machine.ip, ports.app};
    }
    /// Fills in deploy/node.ini for a machine and puts the result where its node reads it.
    std::string writeSettings(const Machine &machine)
    {
        std::map<std::string, std::string> values{
            {"nodeName", machine.name},
            {"zone", machine.zone},
            {"ip", machine.ip},
            {"listen.outbound", outbound(machine).text()},
            {"listen.control", control(machine).text()},
            {"listen.ready", ready(machine).text()},
            {"internalPorts.0", std::to_string(ports.internal0)},
            {"internalPorts.1", std::to_string(ports.internal1)},
            {"bounds.graceS", "6"},
            {"limits.memoryMb", "260"},
            {"limits.linkMbps", "1000.0"},
            {"platform.address",
             platformAddress.ip.empty() ? "127.0.0.1:" + std::to_string(ports.store) : platformAddress.text()},
            {"platform.readsPerS", "2000"},
            {"service", machine.service},
            {"heartbeatMs", "1500"},
            {"bounds.configApplyMs", "2000"},
            {"bounds.retryBudgetRatio", "0.2"},
            {"bounds.budgetExtraRetries", "58"},
        };
        for (const auto &[key, value] : overrides[machine.name]) {
            values[key] = value;
        }
        std::string text = m_template;
        for (std::size_t at = 0; (at = text.find("{{", at)) != std::string::npos;) {
            const std::size_t end = text.find("}}", at);
            const std::string key = text.substr(at + 2, end - at - 2);
            if (!values.contains(key)) {
                std::fprintf(stderr, "no value for %s\n", key.c_str());
                std::exit(2);
            }
            text.replace(at, end + 2 - at, values[key]);
        }
        const std::string path = m_folder + "/" + machine.name + ".conf";
        std::ofstream(path) << text;
        return path;
    }
    /// Starts the node of a machine with the command of the deploy file. Only the path of the settings differs. To be
    /// called by the main thread, with whose end the nodes end.
    void start(const Machine &machine)
    {
        const std::string path = writeSettings(machine);
        const char *programFromEnvironment = std::getenv("REVIEW_NODE");
        const std::string program
            = programFromEnvironment != nullptr ? programFromEnvironment : m_root + "/target/fulmarledge-node";
        const std::string log = m_folder + "/" + machine.name + ".log";
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // the node ends with this program
            if (maxSockets > 0) { // what `limits.maxFds` leaves for sockets
                const rlimit limit{maxSockets, maxSockets};
                ::setrlimit(RLIMIT_NOFILE, &limit);
            }
            ::setenv("FULMARLEDGE_BOOT", path.c_str(), 1);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execl(program.c_str(), program.c_str(), "--config", path.c_str(), nullptr);
            std::_Exit(127);
        }
        m_pids[machine.name] = pid;
        RECORD("node %s starts (%s)", machine.name.c_str(), machine.ip.c_str());
    }
    pid_t pidOf(const Machine &machine) const
    {
        return m_pids.at(machine.name);
    }
    /// Ends a node at once and waits for its end.
    void kill(const Machine &machine)
    {
        const auto found = m_pids.find(machine.name);
        if (found == m_pids.end()) {
            return;
        }
        ::kill(found->second, SIGKILL);
        ::waitpid(found->second, nullptr, 0);
        m_pids.erase(found);
        RECORD("node %s is killed", machine.name.c_str());
    }
    void signal(const Machine &machine, int number)
    {
        ::kill(m_pids.at(machine.name), number);
        RECORD("node %s gets signal %d", machine.name.c_str(), number);
    }
    /// Exit status as of waitpid if the node has ended by itself, -1 while it runs.
    int ended(const Machine &machine)
    {
        int status = 0;
        const auto found = m_pids.find(machine.name);
        if (found == m_pids.end() || ::waitpid(found->second, &status, WNOHANG) == 0) {
            return -1;
        }
        m_pids.erase(found);
        return status;
    }
    bool isReady(const Machine &machine)
    {
        const auto stream = Stream::connect(ready(machine), 500);
        Message answer;
        return stream && stream->send("GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
            && stream->readMessage(answer, nowMs() + 500) && answer.status == 200;
    }
    bool waitReady(const std::vector<Machine> &which, Ms withinMs)
    {
        const Ms until = nowMs() + withinMs;
        for (const Machine &machine : which) {
            while (!isReady(machine)) {
                if (nowMs() > until) {
                    RECORD("node %s is not ready in time", machine.name.c_str());
                    return false;
                }
                sleepMs(20);
            }
            RECORD("node %s is ready", machine.name.c_str());
        }
        return true;
    }
    std::string logText(const Machine &machine) const
    {
        std::ifstream file(m_folder + "/" + machine.name + ".log");
        std::stringstream text;
        text << file.rdbuf();
        return text.str();
    }
    const std::string &folder() const
    {
        return m_folder;
    }

    std::vector<Machine> machines;
    Ports ports;
    Address platformAddress; ///< of a proxy before the store; empty for the store itself
    std::unique_ptr<Store> store;
    rlim_t maxSockets = 0; ///< of a node; 0: as for this program
    std::map<std::string, std::map<std::string, std::string>> overrides; ///< settings by machine

private:
    std::string m_root;
    std::string m_folder;
    std::string m_template;
    std::map<std::string, pid_t> m_pids;
};

/// A configuration with one host and the given routes: name, path prefix, kind, service.
struct RouteLine {
    std::string prefix;
    std::string kind;
    std::string service;
    int timeoutMs = 4000;
    int maxAttempts = 2;
};

inline json configuration(std::int64_t version, const std::vector<RouteLine> &routes,
                          const std::vector<std::string> &services)
{
    json routeRows = json::array();
    int number = 0;
    for (const RouteLine &route : routes) {
        routeRows.push_back({"r-" + std::to_string(++number), "mesh.example", route.prefix, route.kind, route.timeoutMs,
                             800, 1, nullptr, route.maxAttempts, route.service});
    }
    json serviceRows = json::array();
    for (const std::string &service : services) {
        serviceRows.push_back({service, "/health"});
    }
    return {
        {"version", version},
        {"routes",
         {{"columns",
           {"name", "host", "pathPrefix", "kind", "timeoutMs", "targetLatencyMs", "priority", "backends", "maxAttempts",
            "service"}},
          {"rows", routeRows}}},
        {"services", {{"columns", {"name", "healthPath"}}, {"rows", serviceRows}}},
        {"limits",
         {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 1048576}, {"headerTimeoutMs", 5000}, {"idleTimeoutMs", 30000}}}};
}

// -------------------------------------------------------------------------------------------------------- endpoints --

struct Run {
    std::string id;
    std::string instance;
    Ms at = 0;
    Message request;
};

/// An application endpoint: serves requests, rejects those for another instance, and announces itself.
class Endpoint
{
public:
    struct Settings {
        std::string instance;
        std::string service;
        std::string zone;
        Address at;
        Address control;
        Ms workMs = 100;
        Ms beatMs = 1500;
        int slots = 12;
    };
    explicit Endpoint(Settings endpointSettings)
        : settings(std::move(endpointSettings))
        , born(unixMs())
    {
        m_server
            = std::make_unique<Server>(settings.at, [this](const std::shared_ptr<Stream> &stream) { serve(*stream); });
    }
    ~Endpoint()
    {
        stopBeats();
        m_server->stop();
        sleepMs(20);
    }
    void startBeats()
    {
        m_beating = true;
        m_beats = std::thread([this] {
            while (m_beating) {
                beat();
                for (Ms waited = 0; waited < settings.beatMs && m_beating; waited += 10) {
                    sleepMs(10);
                }
            }
        });
    }
    void stopBeats()
    {
        m_beating = false;
        if (m_beats.joinable()) {
            m_beats.join();
        }
    }
    std::string beatText(const std::string &state, std::int64_t sequence) const
    {
        const json body{{"service", settings.service},
                        {"address", settings.at.text()},
                        {"zone", settings.zone},
                        {"version", "v1"},
                        {"slots", settings.slots},
                        {"state", state},
                        {"warmupLeftMs", 0},
                        {"seq", sequence},
                        {"born", born}};
        const std::string text = body.dump();
        return "PUT /api/instances/" + settings.instance
            + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(text.size()) + "\r\n\r\n" + text;
    }
    /// Returns the status of the answer, 0 without one within a second.
    int sendControl(const std::string &text) const
    {
        const auto stream = Stream::connect(settings.control, 1000);
        Message answer;
        if (!stream || !stream->send(text) || !stream->readMessage(answer, nowMs() + 1000)) {
            return 0;
        }
        return answer.status;
    }
    int beat()
    {
        const std::int64_t sequence = ++m_sequence;
        const std::string current = state;
        const int status = sendControl(beatText(current, sequence));
        RECORD("endpoint %s heartbeat %s seq %lld: %d", settings.instance.c_str(), current.c_str(),
               static_cast<long long>(sequence), status);
        return status;
    }
    int leave()
    {
        const int status
            = sendControl("DELETE /api/instances/" + settings.instance + " HTTP/1.1\r\nHost: control\r\n\r\n");
        RECORD("endpoint %s says DELETE: %d", settings.instance.c_str(), status);
        return status;
    }
    std::int64_t takeSequence()
    {
        return ++m_sequence;
    }
    std::vector<Run> runs() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }
    std::size_t runsOf(const std::string &id) const
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<std::size_t>(
            std::count_if(m_runs.begin(), m_runs.end(), [&](const Run &run) { return run.id == id; }));
    }
    /// Ends the process of the endpoint: it listens no more and its connections are closed.
    void end()
    {
        stopBeats();
        m_server->stop();
        RECORD("endpoint %s ends", settings.instance.c_str());
    }

    Settings settings;
    std::int64_t born;
    std::string state = "ready";
    /// If set, serves a request in place of the usual answer; returns false to close the connection.
    std::function<bool(Stream &, const Message &)> onRequest;

    static Fields answerFields(const Message &request, const std::string &instance)
    {
        return {
            {"X-Fulmarledge-Request-Id", field(request.fields, "X-Fulmarledge-Request-Id")},
            {"X-Fulmarledge-Instance-Id", instance},
            {"X-Fulmarledge-Response-Signature", instance + "." + field(request.fields, "X-Fulmarledge-Request-Id")}};
    }
    void recordRun(const Message &request)
    {
        const std::string id = field(request.fields, "X-Fulmarledge-Request-Id");
        const std::lock_guard lock(m_mutex);
        m_runs.push_back({id, settings.instance, nowMs(), request});
        if (!quiet) {
            RECORD("endpoint %s runs %s %s %s", settings.instance.c_str(), id.c_str(), request.method.c_str(),
                   request.path.c_str());
        }
    }
    std::atomic<bool> quiet{false};

private:
    void serve(Stream &stream)
    {
        Message request;
        while (stream.readMessage(request, nowMs() + 60000)) {
            const std::string target = field(request.fields, "X-Fulmarledge-Target-Instance");
            const std::string id = field(request.fields, "X-Fulmarledge-Request-Id");
            if (request.path == "/health") {
                if (!stream.send(formatAnswer(200, {{"X-Fulmarledge-Instance-Id", settings.instance}}, "ok"))) {
                    return;
                }
                continue;
            }
            if (!target.empty() && target != settings.instance) {
                RECORD("endpoint %s rejects %s with 421 (for %s)", settings.instance.c_str(), id.c_str(),
                       target.c_str());
                if (!stream.send(formatAnswer(
                        421, {{"X-Fulmarledge-Request-Id", id}, {"X-Fulmarledge-Instance-Id", settings.instance}},
                        ""))) {
                    return;
                }
                continue;
            }
            recordRun(request);
            if (onRequest) {
                if (!onRequest(stream, request)) {
                    return;
                }
                continue;
            }
            const Ms until = nowMs() + settings.workMs;
            while (nowMs() < until) {
                sleepMs(5);
            }
            if (!stream.send(formatAnswer(200, answerFields(request, settings.instance), "body of " + id))) {
                return;
            }
        }
    }

    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::atomic<std::int64_t> m_sequence{0};
    std::atomic<bool> m_beating{false};
    std::thread m_beats;
    std::unique_ptr<Server> m_server;
};

// ----------------------------------------------------------------------------------------------------------- clients
// --

struct Attempt {
    std::string id;
    Ms sentAt = 0;
    Ms answeredAt = 0;
    int status = 0; ///< 0: the connection ended without a whole answer, or none came in time
    Message answer;
};

inline std::string newId()
{
    static std::atomic<std::uint64_t> next{static_cast<std::uint64_t>(unixMs()) << 16U};
    std::array<char, 20> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(next.fetch_add(1)));
    return text.data();
}

inline std::string requestText(const std::string &method, const std::string &path, const std::string &id, Ms deadlineMs,
                               const std::string &body = {}, const Fields &more = {})
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: mesh.example\r\nX-Fulmarledge-Request-Id: " + id
        + "\r\nX-Fulmarledge-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    for (const auto &[name, value] : more) {
        text += name + ": " + value + "\r\n";
    }
    if (!body.empty() || method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

/// Sends one request on a new connection, or on `stream` if given, and waits for its answer.
inline Attempt request(const Address &to, const std::string &method, const std::string &path, Ms deadlineMs,
                       const std::string &body = {}, Stream *kept = nullptr, const Fields &more = {},
                       bool quiet = false)
{
    Attempt attempt;
    attempt.id = newId();
    attempt.sentAt = nowMs();
    std::unique_ptr<Stream> fresh;
    if (kept == nullptr) {
        fresh = Stream::connect(to, 1000);
        kept = fresh.get();
    }
    if (kept != nullptr && kept->send(requestText(method, path, attempt.id, deadlineMs, body, more))
        && kept->readMessage(attempt.answer, attempt.sentAt + deadlineMs + 1000)) {
        attempt.status = attempt.answer.status;
    }
    attempt.answeredAt = nowMs();
    if (!quiet) {
        RECORD("client: %s %s %s at %s: %d after %lld ms%s", attempt.id.c_str(), method.c_str(), path.c_str(),
               to.text().c_str(), attempt.status, static_cast<long long>(attempt.answeredAt - attempt.sentAt),
               attempt.status == 0 ? " (no whole answer)" : "");
    }
    return attempt;
}

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

} // namespace review
