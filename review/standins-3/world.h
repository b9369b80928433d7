// Stand-ins of a small deployment for the cases of the third review: the platform's store, endpoints, clients, and the
// start and end of nodes. All on loopback addresses. Written from the users' pages only.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <set>
#include <string>
#include <string_view>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

using nlohmann::json;
using Fields = std::vector<std::pair<std::string, std::string>>;

inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// What was sent, answered and run, one line each, with milliseconds since the start.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_out(path, std::ios::trunc)
    {
    }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char head[32];
        std::snprintf(head, sizeof(head), "%8.3f ", static_cast<double>(nowMs() - m_start) / 1000);
        m_out << head << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    std::int64_t m_start = nowMs();
};

inline std::string field(const Fields &fields, std::string_view name)
{
    for (const auto &[key, value] : fields) {
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0) {
            return value;
        }
    }
    return {};
}

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

inline int connectTo(const Address &to, int timeoutMs)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in target = toSockaddr(to);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0 && errno != EINPROGRESS) {
        ::close(fd);
        return -1;
    }
    pollfd waiting{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof(error);
    if (::poll(&waiting, 1, timeoutMs) <= 0 || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0
        || error != 0) {
        ::close(fd);
        return -1;
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

inline bool sendAll(int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

/// One HTTP/1.1 message.
struct Message {
    std::string first; ///< request or status line
    Fields fields;
    std::string body;
    std::string method() const
    {
        return first.substr(0, first.find(' '));
    }
    std::string target() const
    {
        const std::size_t start = first.find(' ') + 1;
        return first.substr(start, first.rfind(' ') - start);
    }
    int status() const
    {
        const std::size_t space = first.find(' ');
        return space == std::string::npos ? 0 : std::atoi(first.c_str() + space + 1);
    }
};

/// Reads messages from a socket.
class Reader
{
public:
    explicit Reader(int fd)
        : m_fd(fd)
    {
    }
    /// @param untilMs time by `nowMs`, 0 for no limit
    /// @return whether a whole message was read
    bool read(Message &message, std::int64_t untilMs, bool isAnswer, bool withBody = true)
    {
        message = {};
        std::size_t end = std::string::npos;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!more(untilMs)) {
                return false;
            }
        }
        std::string head = m_buffer.substr(0, end + 2);
        m_buffer.erase(0, end + 4);
        std::size_t at = head.find("\r\n");
        message.first = head.substr(0, at);
        for (at += 2; at < head.size();) {
            const std::size_t lineEnd = head.find("\r\n", at);
            const std::string line = head.substr(at, lineEnd - at);
            const std::size_t colon = line.find(':');
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ') {
                ++value;
            }
            message.fields.emplace_back(line.substr(0, colon), line.substr(value));
            at = lineEnd + 2;
        }
        if (isAnswer && (message.status() == 204 || message.status() == 304 || !withBody)) {
            return true;
        }
        if (field(message.fields, "Transfer-Encoding") == "chunked") {
            return readChunks(message, untilMs);
        }
        const std::string length = field(message.fields, "Content-Length");
        const std::size_t size = length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
        while (m_buffer.size() < size) {
            if (!more(untilMs)) {
                message.body = m_buffer;
                return false;
            }
        }
        message.body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return true;
    }

private:
    bool more(std::int64_t untilMs)
    {
        if (untilMs > 0) {
            pollfd waiting{m_fd, POLLIN, 0};
            const std::int64_t left = untilMs - nowMs();
            if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
                return false;
            }
        }
        char bytes[65536];
        const ssize_t got = ::recv(m_fd, bytes, sizeof(bytes), 0);
        if (got <= 0) {
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(got));
        return true;
    }
    bool readChunks(Message &message, std::int64_t untilMs)
    {
        for (;;) {
            std::size_t end = 0;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!more(untilMs)) {
                    return false;
                }
            }
            const std::size_t size = std::strtoull(m_buffer.c_str(), nullptr, 16);
            while (m_buffer.size() < end + 2 + size + 2) {
                if (!more(untilMs)) {
                    return false;
                }
            }
            message.body += m_buffer.substr(end + 2, size);
            m_buffer.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

    int m_fd;
    std::string m_buffer;
};

inline std::string answerText(int status, const Fields &fields, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto &[name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections, each with a thread of its own. The threads end with the process.
class Listener
{
public:
    /// @param serve serves one connection until it closes
    Listener(const Address &address, std::function<void(int)> serve)
        : m_serve(std::move(serve))
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in target = toSockaddr(address);
        if (::bind(m_fd, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0
            || ::listen(m_fd, 256) != 0) {
            std::fprintf(stderr, "cannot listen on %s\n", address.text().c_str());
            std::_Exit(2);
        }
        std::thread([this] { run(); }).detach();
    }
    void close()
    {
        m_closed = true;
        ::shutdown(m_fd, SHUT_RDWR);
        const std::lock_guard lock(m_mutex);
        for (const int fd : m_open) {
            ::shutdown(fd, SHUT_RDWR);
        }
    }

private:
    void run()
    {
        while (!m_closed) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            {
                const std::lock_guard lock(m_mutex);
                m_open.insert(fd);
            }
            std::thread([this, fd] {
                m_serve(fd);
                const std::lock_guard lock(m_mutex);
                m_open.erase(fd);
                ::close(fd);
            }).detach();
        }
        ::close(m_fd);
    }

    int m_fd = -1;
    std::atomic<bool> m_closed{false};
    std::mutex m_mutex;
    std::set<int> m_open;
    std::function<void(int)> m_serve;
};

/// The platform's metadata store.
class Store
{
public:
    enum class Mode { Up, Silent, Busy };

    explicit Store(const Address &address)
        : address(address)
        , m_listener(address, [this](int fd) { serve(fd); })
    {
    }
    /// Creates or replaces an object, as the operator does.
    void put(const std::string &kind, const std::string &name, const json &spec)
    {
        const std::lock_guard lock(m_mutex);
        Object &object = m_objects[kind][name];
        object.spec = spec;
        object.revision = ++m_revision;
        object.created = object.created == 0 ? m_revision : object.created;
        m_history.push_back({m_revision, kind, name, false});
        m_changed.notify_all();
    }
    void setMode(Mode mode)
    {
        m_mode = mode;
    }
    std::string dump()
    {
        const std::lock_guard lock(m_mutex);
        json all;
        for (const auto &[kind, objects] : m_objects) {
            for (const auto &[name, object] : objects) {
                all[kind][name] = object.spec;
            }
        }
        return all.dump();
    }

    const Address address;

private:
    struct Object {
        json spec;
        json status;
        std::int64_t revision = 0;
        std::int64_t created = 0;
    };
    struct Change {
        std::int64_t revision;
        std::string kind;
        std::string name;
        bool removed;
    };

    static json toJson(const std::string &name, const Object &object)
    {
        return {{"metadata",
                 {{"name", name},
                  {"revision", object.revision},
                  {"createRevision", object.created},
                  {"finalizers", json::array()},
                  {"deleting", false}}},
                {"spec", object.spec},
                {"status", object.status}};
    }
    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        while (reader.read(request, 0, false)) {
            while (m_mode == Mode::Silent) {
                sleepMs(50);
                char byte = 0;
                if (::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0) {
                    return;
                }
                if (m_mode != Mode::Silent) {
                    return; // nothing was done, and this connection returns nothing further
                }
            }
            if (m_mode == Mode::Busy) {
                if (!sendAll(fd, answerText(503, {}, ""))) {
                    return;
                }
                continue;
            }
            int status = 200;
            const std::string body = handle(request, status);
            if (!sendAll(fd, answerText(status, {{"Content-Type", "application/json"}}, body))) {
                return;
            }
        }
    }
    static std::string decode(const std::string &text)
    {
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                out += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                out += text[i];
            }
        }
        return out;
    }
    std::string handle(const Message &request, int &status)
    {
        const std::string target = request.target();
        const std::size_t mark = std::min(target.find('?'), target.size());
        std::string path = target.substr(0, mark);
        std::map<std::string, std::string> query;
        for (std::size_t at = mark + 1; at < target.size();) {
            const std::size_t end = std::min(target.find('&', at), target.size());
            const std::string pair = target.substr(at, end - at);
            const std::size_t equals = std::min(pair.find('='), pair.size());
            query[pair.substr(0, equals)] = equals < pair.size() ? decode(pair.substr(equals + 1)) : "";
            at = end + 1;
        }
        static const std::string kRoot = "/api/objects/";
        if (path.rfind(kRoot, 0) != 0) {
            status = 404;
            return "{}";
        }
        path = path.substr(kRoot.size());
        const std::size_t slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
        const bool isStatus = name.size() > 7 && name.substr(name.size() - 7) == "/status";
        name = decode(isStatus ? name.substr(0, name.size() - 7) : name);
        const json body = json::parse(request.body, nullptr, false);
        std::unique_lock lock(m_mutex);
        const std::string method = request.method();
        if (method == "GET" && name.empty() && query.count("watch") > 0) {
            return watch(kind, query, lock);
        }
        if (method == "GET" && name.empty()) {
            json items = json::array();
            for (const auto &[key, object] : m_objects[kind]) {
                items.push_back(toJson(key, object));
            }
            return json{{"items", items}, {"hasMore", false}, {"asOf", m_revision}}.dump();
        }
        std::int64_t expected = query.count("revision") > 0 ? std::atoll(query["revision"].c_str()) : 0;
        if (body.is_object() && body.contains("metadata")) {
            expected = body["metadata"].value("revision", expected);
            if (method == "POST") {
                name = body["metadata"].value("name", "");
            }
        }
        const auto found = m_objects[kind].find(name);
        if (method == "POST") {
            if (found != m_objects[kind].end()) {
                status = 409;
                return toJson(name, found->second).dump();
            }
            status = 201;
        } else if (found == m_objects[kind].end()) {
            status = 404;
            return "{}";
        } else if (method != "GET" && expected != 0 && expected != found->second.revision) {
            status = 409;
            return toJson(name, found->second).dump();
        }
        if (method == "GET") {
            return toJson(name, found->second).dump();
        }
        if (method == "DELETE") {
            m_objects[kind].erase(name);
            m_history.push_back({++m_revision, kind, name, true});
            m_changed.notify_all();
            return "{}";
        }
        Object &object = m_objects[kind][name];
        const json value = body.value(isStatus ? "status" : "spec", json());
        json &place = isStatus ? object.status : object.spec;
        if (method == "POST" || place != value) {
            place = value;
            object.revision = ++m_revision;
            object.created = object.created == 0 ? m_revision : object.created;
            m_history.push_back({m_revision, kind, name, false});
            m_changed.notify_all();
        }
        return toJson(name, object).dump();
    }
    std::string watch(const std::string &kind, std::map<std::string, std::string> &query,
                      std::unique_lock<std::mutex> &lock)
    {
        const std::int64_t from = std::atoll(query["watch"].c_str());
        const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(std::atoll(query["waitMs"].c_str()));
        for (;;) {
            json events = json::array();
            for (const Change &change : m_history) {
                if (change.revision > from && change.kind == kind) {
                    const auto found = m_objects[kind].find(change.name);
                    json object = found != m_objects[kind].end() ? toJson(change.name, found->second)
                                                                 : json{{"metadata", {{"name", change.name}, {"revision", change.revision}}}};
                    events.push_back({{"removed", change.removed}, {"object", object}});
                }
            }
            if (!events.empty() || m_changed.wait_until(lock, until) == std::cv_status::timeout) {
                return json{{"events", events}, {"asOf", m_revision}}.dump();
            }
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Change> m_history;
    std::int64_t m_revision = 100;
    std::atomic<Mode> m_mode{Mode::Up};
    Listener m_listener;
};

/// The answer that a client got.
struct Answer {
    int status = 0; ///< 0: none
    bool whole = false;
    Fields fields;
    std::string body;
    std::int64_t ms = 0;
};

inline Answer call(const Address &to, const std::string &method, const std::string &target, const Fields &fields,
                   const std::string &body, std::int64_t timeoutMs)
{
    Answer answer;
    const std::int64_t start = nowMs();
    const int fd = connectTo(to, static_cast<int>(std::min<std::int64_t>(timeoutMs, 1000)));
    if (fd < 0) {
        return answer;
    }
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    if (!body.empty() || method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    text += "\r\n" + body;
    if (sendAll(fd, text)) {
        Reader reader(fd);
        Message message;
        answer.whole = reader.read(message, start + timeoutMs, true);
        answer.status = message.status();
        answer.fields = message.fields;
        answer.body = message.body;
    }
    ::close(fd);
    answer.ms = nowMs() - start;
    return answer;
}

/// An endpoint beside a node.
class Endpoint
{
public:
    struct Run {
        std::int64_t at = 0;
        std::string id;
        std::string first;
        Fields fields;
        std::string body;
    };

    Endpoint(Record &record, std::string id, std::string service, std::string zone, const Address &address,
             const Address &control)
        : id(std::move(id))
        , service(std::move(service))
        , zone(std::move(zone))
        , address(address)
        , control(control)
        , born(wallMs())
        , m_record(record)
        , m_listener(std::make_unique<Listener>(address, [this](int fd) { serve(fd); }))
    {
    }
    json heartbeat(const std::string &state)
    {
        return {{"service", service}, {"address", address.text()}, {"zone", zone},
                {"version", "v1"},    {"slots", 12},               {"state", state},
                {"warmupLeftMs", 0},  {"seq", ++m_sequence},       {"born", born}};
    }
    Answer sendHeartbeat(const json &body)
    {
        return call(control, "PUT", "/api/instances/" + id,
                    {{"Host", control.text()}, {"Content-Type", "application/json"}}, body.dump(), 1000);
    }
    /// Sends a heartbeat every `periodMs` until `stopHeartbeats`.
    void startHeartbeats(std::int64_t periodMs = 1500)
    {
        std::thread([this, periodMs] {
            while (!m_stopped) {
                sendHeartbeat(heartbeat(state()));
                for (std::int64_t slept = 0; slept < periodMs && !m_stopped; slept += 50) {
                    sleepMs(50);
                }
            }
        }).detach();
    }
    void stopHeartbeats()
    {
        m_stopped = true;
    }
    std::string state()
    {
        return m_draining ? "draining" : "ready";
    }
    /// Says that it leaves.
    /// @return time of the acknowledgement by `nowMs`, 0 without one
    std::int64_t drain()
    {
        m_draining = true;
        const Answer answer = sendHeartbeat(heartbeat("draining"));
        m_record.line("endpoint " + id + " said draining, acknowledged with " + std::to_string(answer.status));
        return answer.status == 200 ? nowMs() : 0;
    }
    std::vector<Run> runs()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }
    void close()
    {
        m_stopped = true;
        m_listener->close();
    }

    const std::string id;
    const std::string service;
    const std::string zone;
    const Address address;
    const Address control;
    const std::int64_t born;
    std::atomic<int> workMs{500};
    std::atomic<int> answerBytes{64};
    bool logsRuns = true;

private:
    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        while (reader.read(request, 0, false)) {
            const std::string requestId = field(request.fields, "X-Fulmarledge-Request-Id");
            const std::string wanted = field(request.fields, "X-Fulmarledge-Target-Instance");
            const Fields echo{{"X-Fulmarledge-Request-Id", requestId}};
            Fields fields = echo;
            int status = 200;
            std::string body;
            if (request.method() == "GET" && request.target() == "/health") {
                fields = {{"X-Fulmarledge-Instance-Id", id}};
            } else if (requestId.empty()) {
                status = 400;
                fields.emplace_back("X-Fulmarledge-Not-Executed", "1");
            } else if (!wanted.empty() && wanted != id) {
                status = 421;
                fields.emplace_back("X-Fulmarledge-Instance-Id", id);
                m_record.line("endpoint " + id + " rejects " + requestId + " for " + wanted);
            } else {
                {
                    const std::lock_guard lock(m_mutex);
                    m_runs.push_back({nowMs(), requestId, request.first, request.fields, request.body});
                }
                if (logsRuns) {
                    m_record.line("endpoint " + id + " runs " + requestId + " " + request.first);
                }
                sleepMs(workMs);
                fields.emplace_back("X-Fulmarledge-Response-Signature", id + "." + requestId);
                body.assign(static_cast<std::size_t>(answerBytes), 'x');
            }
            fields.emplace_back("Keep-Alive", "timeout=10");
            if (!sendAll(fd, answerText(status, fields, body))) {
                return;
            }
        }
    }

    Record &m_record;
    std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::atomic<std::int64_t> m_sequence{0};
    std::atomic<bool> m_draining{false};
    std::atomic<bool> m_stopped{false};
    std::unique_ptr<Listener> m_listener;
};

/// A node, started with the command of the deploy file.
class Node
{
public:
    struct Settings {
        std::string program; ///< target/fulmarledge-node
        std::string templateFile; ///< deploy/node.ini
        std::string workDir;
        std::string name;
        std::string zone;
        std::string ip;
        std::string service;
        std::string store;
        int memoryMb = 260;
        int linkMbps = 1000;
        json bounds = {{"graceS", 6}, {"configApplyMs", 2000}, {"retryBudgetRatio", 0.2}, {"budgetExtraRetries", 58}};
    };

    explicit Node(const Settings &settings)
        : settings(settings)
        , outbound{settings.ip, 8629}
        , ready{settings.ip, 8625}
        , control{settings.ip, 8620}
    {
        m_file = settings.workDir + "/" + settings.name + ".ini";
        std::ofstream(m_file) << fill();
    }
    ~Node()
    {
        kill(SIGKILL);
    }
    void start()
    {
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // no node outlives the case
            const std::string log = settings.workDir + "/" + settings.name + ".log";
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execl(settings.program.c_str(), settings.program.c_str(), "--config", m_file.c_str(),
                    "--node.max_descriptors", "4100", static_cast<char *>(nullptr));
            std::_Exit(127);
        }
    }
    /// Sends a signal. After one that ends the process, waits for its end, 10 s at most.
    int kill(int signal)
    {
        if (m_pid <= 0) {
            return 0;
        }
        ::kill(m_pid, signal);
        if (signal != SIGKILL && signal != SIGTERM) {
            return 0;
        }
        return wait(10000);
    }
    void signal(int number)
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }
    /// Waits for the end of the process, and kills it after `limitMs`.
    int wait(std::int64_t limitMs)
    {
        int status = 0;
        const std::int64_t until = nowMs() + limitMs;
        while (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == 0) {
            if (nowMs() > until) {
                ::kill(m_pid, SIGKILL);
            }
            sleepMs(10);
        }
        m_pid = 0;
        return status;
    }
    /// Whether the process has ended by itself.
    bool hasEnded(int &status)
    {
        return m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid;
    }
    bool isReady()
    {
        return call(ready, "GET", "/api/readiness", {{"Host", ready.text()}}, "", 500).status == 200;
    }
    pid_t pid() const
    {
        return m_pid;
    }

    const Settings settings;
    const Address outbound;
    const Address ready;
    const Address control;

private:
    /// Fills in the template with the fields that the platform knows.
    std::string fill() const
    {
        std::ifstream in(settings.templateFile);
        std::string text((std::istreambuf_iterator<char>(in)), {});
        std::map<std::string, std::string> values{
            {"nodeName", settings.name},
            {"zone", settings.zone},
            {"ip", settings.ip},
            {"listen.outbound", outbound.text()},
            {"listen.control", control.text()},
            {"listen.ready", ready.text()},
            {"internalPorts.0", "7600"},
            {"internalPorts.1", "7615"},
            {"limits.memoryMb", std::to_string(settings.memoryMb)},
            {"limits.linkMbps", std::to_string(settings.linkMbps)},
            {"platform.address", settings.store},
            {"platform.readsPerS", "2000"},
            {"service", settings.service},
            {"heartbeatMs", "1500"}};
        for (const auto &[name, value] : settings.bounds.items()) {
            values["bounds." + name] = value.dump();
        }
        // Sections that depend on a value which is there or not.
        for (std::size_t at = 0; (at = text.find("{{#")) != std::string::npos;) {
            const std::size_t end = text.find("}}", at);
            const std::string name = text.substr(at + 3, end - at - 3);
            const std::string close = "{{/" + name + "}}";
            const std::size_t last = text.find(close, end);
            const std::string inside = values.count(name) > 0 ? text.substr(end + 2, last - end - 2) : "";
            text.replace(at, last + close.size() - at, inside);
        }
        for (const auto &[name, value] : values) {
            const std::string mark = "{{" + name + "}}";
            for (std::size_t at = 0; (at = text.find(mark, at)) != std::string::npos;) {
                text.replace(at, mark.size(), value);
            }
        }
        return text;
    }

    std::string m_file;
    pid_t m_pid = 0;
};

/// A configuration in the operator's form.
inline json configuration(int version, const std::vector<std::tuple<std::string, std::string, std::string, std::string>> &routes,
                          const std::vector<std::string> &services, int timeoutMs = 2500)
{
    json rows = json::array();
    int number = 0;
    for (const auto &[host, prefix, kind, service] : routes) {
        rows.push_back({"r-" + std::to_string(++number), host, prefix, kind, timeoutMs, 800, 1, nullptr, 2, service});
    }
    json serviceRows = json::array();
    for (const std::string &service : services) {
        serviceRows.push_back({service, "/health", 110, "h1", false});
    }
    return {{"version", version},
            {"routes",
             {{"columns",
               {"name", "host", "pathPrefix", "kind", "timeoutMs", "targetLatencyMs", "priority", "backends",
                "maxAttempts", "service"}},
              {"rows", rows}}},
            {"services", {{"columns", {"name", "healthPath", "maxConnections", "protocol", "tls"}}, {"rows", serviceRows}}},
            {"limits",
             {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 67108864}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}};
}

/// What all cases share: the folder for temporary files, the record, and loopback addresses of this run's own.
struct World {
    World(int argc, char **argv)
        : root(argc > 1 ? argv[1] : ".")
        , folder(argc > 2 ? argv[2] : ".")
        , trouble(std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0")
        , record(folder + "/record.txt")
    {
        char name[] = "/tmp/review3-XXXXXX";
        workDir = ::mkdtemp(name);
        const int own = ::getpid();
        net = "127." + std::to_string(64 + own % 128) + "." + std::to_string(own / 128 % 250) + ".";
        ::signal(SIGPIPE, SIG_IGN);
        std::thread([] {
            sleepMs(kLimitMs);
            std::_Exit(2); // the nodes end with this process
        }).detach();
    }
    ~World()
    {
        if (std::getenv("KEEP") == nullptr) {
            std::error_code ignored;
            std::filesystem::remove_all(workDir, ignored);
        }
    }
    std::string ip(int number) const
    {
        return net + std::to_string(number);
    }
    Node::Settings nodeSettings(const std::string &name, const std::string &zone, int number,
                                const std::string &service) const
    {
        Node::Settings settings;
        settings.program = root + "/target/fulmarledge-node";
        settings.templateFile = root + "/deploy/node.ini";
        settings.workDir = workDir;
        settings.name = name;
        settings.zone = zone;
        settings.ip = ip(number);
        settings.service = service;
        settings.store = ip(250) + ":8627";
        return settings;
    }
    /// Waits until all nodes are ready.
    bool waitReady(const std::vector<Node *> &nodes, std::int64_t limitMs = 15000)
    {
        const std::int64_t until = nowMs() + limitMs;
        for (Node *node : nodes) {
            while (!node->isReady()) {
                if (nowMs() > until) {
                    record.line("node " + node->settings.name + " is not ready");
                    return false;
                }
                sleepMs(50);
            }
        }
        return true;
    }
    std::string newId()
    {
        char text[32];
        std::snprintf(text, sizeof(text), "%08x%08x", static_cast<unsigned>(::getpid()), ++m_lastId);
        return text;
    }

    const std::string root;
    const std::string folder;
    const bool trouble;
    Record record;
    std::string workDir;
    std::string net;

private:
    static constexpr std::int64_t kLimitMs = 118000;

    std::atomic<unsigned> m_lastId{0};
};

/// The platform's limit of memory: a process that exceeds it is killed, and started again after a short delay.
class MemoryLimit
{
public:
    MemoryLimit(World &world, std::vector<std::unique_ptr<Node>> &nodes)
        : m_world(world)
        , m_nodes(nodes)
        , m_ends(nodes.size())
        , m_peaksKb(nodes.size())
        , m_thread([this] { run(); })
    {
    }
    void stop()
    {
        m_stopped = true;
        m_thread.join();
    }
    /// Machines whose process ended `times` times or more.
    int machinesThatEnded(int times) const
    {
        int machines = 0;
        for (const auto &ends : m_ends) {
            machines += ends >= times ? 1 : 0;
        }
        return machines;
    }
    std::string summary() const
    {
        std::string text;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            text += " " + m_nodes[i]->settings.name + ":" + std::to_string(m_ends[i]) + "/"
                + std::to_string(m_peaksKb[i] / 1024) + "MiB";
        }
        return text;
    }

private:
    /// Resident memory of a process in kB, or 0.
    static long residentKb(pid_t pid)
    {
        std::ifstream in("/proc/" + std::to_string(pid) + "/status");
        std::string line;
        while (std::getline(in, line)) {
            if (line.rfind("VmRSS:", 0) == 0) {
                return std::atol(line.c_str() + 6);
            }
        }
        return 0;
    }
    void run()
    {
        while (!m_stopped) {
            for (std::size_t i = 0; i < m_nodes.size() && !m_stopped; ++i) {
                const long kb = residentKb(m_nodes[i]->pid());
                m_peaksKb[i] = std::max<long>(m_peaksKb[i], kb);
                const int limitMb = m_nodes[i]->settings.memoryMb;
                if (kb > limitMb * 1024L) {
                    m_world.record.line("the platform kills " + m_nodes[i]->settings.name + ", which has "
                                        + std::to_string(kb) + " kB resident of " + std::to_string(limitMb) + " MiB");
                    m_nodes[i]->kill(SIGKILL);
                    ++m_ends[i];
                    sleepMs(300);
                    m_nodes[i]->start();
                }
            }
            sleepMs(2);
        }
    }

    World &m_world;
    std::vector<std::unique_ptr<Node>> &m_nodes;
    std::vector<std::atomic<int>> m_ends;
    std::vector<std::atomic<long>> m_peaksKb;
    std::atomic<bool> m_stopped{false};
    std::thread m_thread;
};

/// Ends the process with the result of a case, without waiting for threads.
[[noreturn]] inline void finish(World &world, int code, const std::string &text)
{
    world.record.line(text);
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
    if (std::getenv("KEEP") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(world.workDir, ignored);
    }
    std::_Exit(code);
}
