// A small deployment on loopback addresses: the platform's store, backend endpoints, clients and nodes. The stand-ins
// follow the users' PROTOCOL page; the nodes are the project's program, started with the command of deploy/system.toml.
#pragma once

#include <algorithm>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include "http.h"

namespace review {

using nlohmann::json;

// Lines with a time, for record.txt and the screen.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
    {
    }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        std::ostringstream out;
        out << std::fixed << std::setprecision(3) << std::setw(8) << static_cast<double>(steadyMs() - m_start) / 1000
            << "  " << text << "\n";
        m_file << out.str() << std::flush;
        std::fputs(out.str().c_str(), stdout);
        std::fflush(stdout);
    }
    std::int64_t nowMs() const
    {
        return steadyMs() - m_start;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    const std::int64_t m_start = steadyMs();
};

// The platform's metadata store: objects by kind and name, lists, watches, writes under a condition.
class Store
{
public:
    explicit Store(const Address &address)
        : m_server(address, [this](const Server::Call &call) { return onCall(call.request); })
    {
    }
    const Address &address() const
    {
        return m_server.address();
    }
    // The operator's write. Returns the revision, which acknowledges it.
    std::int64_t putConfig(const json &spec)
    {
        const std::lock_guard lock(m_mutex);
        Object &object = m_objects["config"]["main"];
        object.spec = spec;
        change("config", "main", object);
        return object.revision;
    }
    // An entry of another writer. `text` replaces the object's JSON text where it is listed and read.
    void putForeign(const std::string &kind, const std::string &name, const json &spec)
    {
        const std::lock_guard lock(m_mutex);
        Object &object = m_objects[kind][name];
        object.spec = spec;
        change(kind, name, object);
    }
    json dump()
    {
        const std::lock_guard lock(m_mutex);
        json result = json::object();
        for (const auto &[kind, objects] : m_objects) {
            for (const auto &[name, object] : objects) {
                result[kind][name] = object.spec;
            }
        }
        return result;
    }
    // While set, the store accepts connections and answers nothing (the variant "silent").
    std::atomic<bool> isSilent{false};
    // While set, a call is answered with 503.
    std::atomic<bool> isBusy{false};
    // Each answer is late by this time.
    std::atomic<int> delayMs{4};

private:
    struct Object {
        std::int64_t revision = 0;
        std::int64_t createRevision = 0;
        json spec;
        json status;
    };
    struct Event {
        std::int64_t revision;
        std::string kind;
        json object;
        bool removed;
    };

    static json toJson(const std::string &name, const Object &object)
    {
        return {{"metadata",
                 {{"name", name},
                  {"revision", object.revision},
                  {"createRevision", object.createRevision},
                  {"finalizers", json::array()},
                  {"deleting", false}}},
                {"spec", object.spec},
                {"status", object.status}};
    }
    void change(const std::string &kind, const std::string &name, Object &object)
    {
        object.revision = ++m_revision;
        if (object.createRevision == 0) {
            object.createRevision = object.revision;
        }
        m_events.push_back({object.revision, kind, toJson(name, object), false});
        m_changed.notify_all();
    }
    static Message reply(int status, const json &body)
    {
        Message message;
        message.status = status;
        message.fields["Content-Type"] = "application/json";
        message.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
        return message;
    }
    static std::map<std::string, std::string> parseQuery(const std::string &text)
    {
        std::map<std::string, std::string> result;
        std::istringstream parts(text);
        for (std::string part; std::getline(parts, part, '&');) {
            const std::size_t equals = part.find('=');
            result[part.substr(0, equals)] = equals == std::string::npos ? "" : part.substr(equals + 1);
        }
        return result;
    }
    std::optional<Message> onCall(const Message &request)
    {
        while (isSilent) {
            sleepMs(50);
        }
        sleepMs(delayMs);
        if (isBusy) {
            return reply(503, json::object());
        }
        const std::size_t mark = request.target.find('?');
        const auto query = parseQuery(mark == std::string::npos ? "" : request.target.substr(mark + 1));
        std::string path = request.target.substr(0, mark);
        const std::string prefix = "/api/objects/";
        if (!path.starts_with(prefix)) {
            return reply(404, json::object());
        }
        path = path.substr(prefix.size());
        const std::size_t slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        const std::string rest = slash == std::string::npos ? "" : path.substr(slash + 1);
        if (request.method == "GET" && rest.empty()) {
            return query.contains("watch") ? watch(kind, query) : list(kind, query);
        }
        std::unique_lock lock(m_mutex);
        auto &objects = m_objects[kind];
        if (request.method == "GET") {
            const auto found = objects.find(rest);
            return found == objects.end() ? reply(404, json::object()) : reply(200, toJson(rest, found->second));
        }
        const json body = json::parse(request.body, nullptr, false);
        if (request.method == "POST") {
            const std::string name = body["metadata"]["name"].get<std::string>();
            if (objects.contains(name)) {
                return reply(409, toJson(name, objects[name]));
            }
            Object &object = objects[name];
            object.spec = body["spec"];
            change(kind, name, object);
            return reply(200, toJson(name, object));
        }
        const bool isStatus = rest.ends_with("/status");
        const std::string name = isStatus ? rest.substr(0, rest.size() - 7) : rest;
        const auto found = objects.find(name);
        if (found == objects.end()) {
            return reply(404, json::object());
        }
        std::int64_t expected = 0;
        if (query.contains("revision")) {
            expected = std::atoll(query.at("revision").c_str());
        } else if (body.is_object() && body.contains("metadata") && body["metadata"].contains("revision")) {
            expected = body["metadata"]["revision"].get<std::int64_t>();
        }
        if (expected != 0 && expected != found->second.revision) {
            return reply(409, toJson(name, found->second));
        }
        if (request.method == "DELETE") {
            ++m_revision;
            m_events.push_back({m_revision, kind, toJson(name, found->second), true});
            const json removed = toJson(name, found->second);
            objects.erase(found);
            m_changed.notify_all();
            return reply(200, removed);
        }
        json &target = isStatus ? found->second.status : found->second.spec;
        const json value = isStatus ? body["status"] : body["spec"];
        if (target != value) {
            target = value;
            change(kind, name, found->second);
        }
        return reply(200, toJson(name, found->second));
    }
    Message list(const std::string &kind, const std::map<std::string, std::string> &query)
    {
        const std::lock_guard lock(m_mutex);
        json items = json::array();
        const std::string after = query.contains("after") ? query.at("after") : "";
        for (const auto &[name, object] : m_objects[kind]) {
            if (name > after) {
                items.push_back(toJson(name, object));
            }
        }
        return reply(200, {{"items", items}, {"hasMore", false}, {"asOf", m_revision}});
    }
    std::optional<Message> watch(const std::string &kind, const std::map<std::string, std::string> &query)
    {
        const std::int64_t from = std::atoll(query.at("watch").c_str());
        const std::int64_t waitMs = query.contains("waitMs") ? std::atoll(query.at("waitMs").c_str()) : 0;
        const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(waitMs);
        std::unique_lock lock(m_mutex);
        for (;;) {
            json events = json::array();
            for (const Event &event : m_events) {
                if (event.revision > from && event.kind == kind) {
                    events.push_back({{"object", event.object}, {"removed", event.removed}});
                }
            }
            const bool isOver = std::chrono::steady_clock::now() >= until;
            if (!isSilent && (!events.empty() || isOver)) {
                return reply(200, {{"events", events}, {"asOf", m_revision}});
            }
            m_changed.wait_for(lock, std::chrono::milliseconds(50));
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::int64_t m_revision = 100;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Event> m_events;
    Server m_server;
};

// What an endpoint began to work on.
struct Run {
    std::int64_t atMs;
    std::string endpoint;
    std::string requestId;
    std::string method;
    std::string target;
    std::size_t bodyBytes;
};

class Runs
{
public:
    void add(Run run)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back(std::move(run));
    }
    std::vector<Run> all() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }
    std::size_t countOf(const std::string &requestId) const
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<std::size_t>(
            std::count_if(m_runs.begin(), m_runs.end(), [&](const Run &run) { return run.requestId == requestId; }));
    }

private:
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
};

// One endpoint of a service. It has slots and a queue, answers with a signature and echoes the request's id.
class Endpoint
{
public:
    struct Options {
        std::string service;
        std::string zone;
        std::string id;
        int slots = 12;
        int queue = 48;
        int workMs = 100;
        int heartbeatMs = 1500;
    };

    Endpoint(const Options &options, const Address &address, const Address &control, Runs &runs, Record &record)
        : m_options(options)
        , m_control(control)
        , m_runs(runs)
        , m_record(record)
        , m_server(address, [this](const Server::Call &call) { return onCall(call); })
        , m_workMs(options.workMs)
    {
        if (options.heartbeatMs > 0) {
            std::thread([this] {
                while (!m_ended && !m_isSilent) {
                    beat(m_draining ? "draining" : "ready");
                    sleepMs(m_options.heartbeatMs);
                }
            }).detach();
        }
    }
    // Sends a heartbeat; returns whether it was acknowledged within a second.
    bool beat(const std::string &state)
    {
        Message request;
        request.method = "PUT";
        request.target = "/api/instances/" + m_options.id;
        request.fields["Host"] = "control";
        request.fields["Content-Type"] = "application/json";
        request.body = heartbeat(state, ++m_sequence).dump();
        Connection connection(m_control);
        const auto response = connection.call(request, 1000);
        return response && response->status / 100 == 2;
    }
    json heartbeat(const std::string &state, std::int64_t sequence) const
    {
        return {{"service", m_options.service},
                {"address", m_server.address().text()},
                {"zone", m_options.zone},
                {"version", "v1"},
                {"slots", m_options.slots},
                {"state", state},
                {"warmupLeftMs", 0},
                {"seq", sequence},
                {"born", m_born}};
    }
    const Options &options() const
    {
        return m_options;
    }
    void setWorkMs(int workMs)
    {
        m_workMs = workMs;
    }
    void drain()
    {
        m_draining = true;
    }
    // No further heartbeats of this endpoint's own accord.
    void stopBeats()
    {
        m_isSilent = true;
    }
    void end()
    {
        m_ended = true;
        m_server.stop();
    }

private:
    std::optional<Message> onCall(const Server::Call &call)
    {
        const Message &request = call.request;
        Message response;
        response.fields["X-Fulmarledge-Request-Id"] = request.field("X-Fulmarledge-Request-Id");
        const std::string target = request.field("X-Fulmarledge-Target-Instance");
        if (!target.empty() && target != m_options.id) {
            response.status = 421;
            response.fields["X-Fulmarledge-Instance-Id"] = m_options.id;
            return response;
        }
        if (request.target == "/health") {
            response.status = m_draining ? 503 : 200;
            response.fields["X-Fulmarledge-Instance-Id"] = m_options.id;
            return response;
        }
        if (++m_inside > m_options.slots + m_options.queue) {
            --m_inside;
            response.status = 503;
            response.fields["X-Fulmarledge-Not-Executed"] = "1";
            return response;
        }
        const std::int64_t deadline = steadyMs() + std::atoll(request.field("X-Fulmarledge-Deadline-Ms").c_str());
        {
            std::unique_lock lock(m_mutex);
            m_free.wait(lock, [this] { return m_running < m_options.slots; });
            ++m_running;
        }
        m_runs.add({m_record.nowMs(), m_options.id, request.field("X-Fulmarledge-Request-Id"), request.method,
                    request.target, request.body.size()});
        const std::int64_t until = std::min(steadyMs() + m_workMs, deadline);
        bool isGone = false;
        while (steadyMs() < until && !isGone) {
            sleepMs(std::min<std::int64_t>(20, std::max<std::int64_t>(until - steadyMs(), 1)));
            char byte = 0;
            isGone = ::recv(call.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
        }
        {
            const std::lock_guard lock(m_mutex);
            --m_running;
            m_free.notify_one();
        }
        --m_inside;
        if (isGone) {
            return std::nullopt;
        }
        response.status = steadyMs() >= deadline ? 504 : 200;
        response.fields["X-Fulmarledge-Response-Signature"] = "sig-" + request.field("X-Fulmarledge-Request-Id");
        response.body = "answer to " + request.field("X-Fulmarledge-Request-Id") + "\n";
        return response;
    }

    Options m_options;
    Address m_control;
    Runs &m_runs;
    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_free;
    int m_running = 0;
    std::atomic<int> m_inside{0};
    std::atomic<std::int64_t> m_sequence{0};
    std::atomic<bool> m_draining{false};
    std::atomic<bool> m_ended{false};
    std::atomic<bool> m_isSilent{false};
    const std::int64_t m_born = wallMs();
    Server m_server;
    std::atomic<int> m_workMs;
};

// Fills in a template of the users' platform: {{a.b}}, {{#a}}..{{/a}}. `fields` are flat, such as "limits.memoryMb".
inline std::string renderTemplate(std::string text, const std::map<std::string, std::string> &fields)
{
    for (std::size_t at = 0; (at = text.find("{{#", at)) != std::string::npos;) {
        const std::size_t end = text.find("}}", at);
        const std::string name = text.substr(at + 3, end - at - 3);
        const std::string close = "{{/" + name + "}}";
        const std::size_t last = text.find(close, end);
        const std::string inner = text.substr(end + 2, last - end - 2);
        text.replace(at, last + close.size() - at, fields.contains(name) ? inner : "");
    }
    for (std::size_t at = 0; (at = text.find("{{", at)) != std::string::npos;) {
        const std::size_t end = text.find("}}", at);
        const auto found = fields.find(text.substr(at + 2, end - at - 2));
        const std::string value = found == fields.end() ? "" : found->second;
        text.replace(at, end + 2 - at, value);
        at += value.size();
    }
    return text;
}

inline std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// The project's node, as its own process.
class Node
{
public:
    Node(std::string name, std::string settingsPath, std::string logPath, int maxFds)
        : m_name(std::move(name))
        , m_settings(std::move(settingsPath))
        , m_log(std::move(logPath))
        , m_maxFds(maxFds)
    {
    }
    ~Node()
    {
        kill(SIGKILL);
    }
    void start()
    {
        const std::string fds = std::to_string(m_maxFds);
        const std::string boot = "FULMARLEDGE_BOOT=" + m_settings;
        const std::string path = std::string("PATH=") + (std::getenv("PATH") != nullptr ? std::getenv("PATH") : "");
        m_startedAt = steadyMs();
        m_pid = ::fork();
        if (m_pid == 0) {
            // A node ends with the script, however that ends. Strictly with the thread that started it, which lives
            // until the end of the case.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            // The command of deploy/system.toml, with the path of the rendered settings.
            const char *const arguments[] = {"target/fulmarledge-node", "--config",  m_settings.c_str(),
                                             "--node.max_descriptors",  fds.c_str(), nullptr};
            const char *const environment[] = {boot.c_str(), path.c_str(), nullptr};
            ::execve(arguments[0], const_cast<char **>(arguments), const_cast<char **>(environment));
            std::_Exit(127);
        }
    }
    void signal(int number) const
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }
    // Sends a signal and waits for the end.
    void kill(int number)
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
            ::waitpid(m_pid, nullptr, 0);
            m_pid = -1;
        }
    }
    // If the process has ended by itself: how. Nothing while it runs.
    std::optional<std::string> ended()
    {
        int status = 0;
        if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid) {
            return std::nullopt;
        }
        m_pid = -1;
        return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                   : "exit " + std::to_string(WEXITSTATUS(status));
    }
    bool isRunning() const
    {
        return m_pid > 0;
    }
    // Resident memory in KiB, 0 if it cannot be told. Before `execve` it would be that of the stand-ins.
    long residentKb() const
    {
        if (m_pid <= 0 || steadyMs() - m_startedAt < 300) {
            return 0;
        }
        std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
        for (std::string line; std::getline(file, line);) {
            if (line.starts_with("VmRSS:")) {
                return std::atol(line.c_str() + 6);
            }
        }
        return 0;
    }
    std::string lastLog() const
    {
        const std::string text = readFile(m_log);
        return text.substr(text.size() - std::min<std::size_t>(text.size(), 400));
    }
    const std::string &name() const
    {
        return m_name;
    }

private:
    std::string m_name;
    std::string m_settings;
    std::string m_log;
    int m_maxFds;
    pid_t m_pid = -1;
    std::int64_t m_startedAt = 0;
};

struct MachineSpec {
    std::string service;
    std::string zone;
};

// Nodes with their addresses, and the store.
class Fleet
{
public:
    struct Machine {
        std::string name;
        std::string zone;
        std::string service;
        std::string ip;
        Address outbound;
        Address ready;
        Address control;
        Address app;
        std::unique_ptr<Node> node;
        std::vector<std::shared_ptr<Endpoint>> endpoints;
    };

    Fleet(const std::vector<MachineSpec> &specs, std::map<std::string, std::string> fields, Record &record)
        : record(record)
        , m_fields(std::move(fields))
    {
        char folder[] = "/tmp/review-2-XXXXXX";
        m_folder = ::mkdtemp(folder);
        m_prefix = freePrefix();
        store = std::make_unique<Store>(Address{m_prefix + ".250.1", 8627});
        int number = 0;
        for (const MachineSpec &spec : specs) {
            ++number;
            Machine machine;
            machine.name = "side-" + spec.zone + "-" + std::to_string(number);
            machine.zone = spec.zone;
            machine.service = spec.service;
            machine.ip = m_prefix + "." + std::to_string(number) + ".1";
            machine.outbound = {machine.ip, 8629};
            machine.ready = {machine.ip, 8625};
            machine.control = {machine.ip, 8620};
            machine.app = {machine.ip, 8628};
            machines.push_back(std::move(machine));
        }
        for (Machine &machine : machines) {
            const std::string settings = m_folder + "/" + machine.name + ".ini";
            std::ofstream(settings) << renderTemplate(readFile("deploy/node.ini"), fieldsOf(machine));
            machine.node = std::make_unique<Node>(machine.name, settings, m_folder + "/" + machine.name + ".log", 4100);
        }
        if (const char *keep = std::getenv("KEEP_LOGS"); keep != nullptr) {
            record.line("logs are in " + m_folder);
        }
    }
    ~Fleet()
    {
        for (Machine &machine : machines) {
            machine.node->kill(SIGKILL);
        }
        removeFolder();
    }
    // Cases end with _Exit, as the threads of the stand-ins are detached, and call this before.
    void removeFolder() const
    {
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::filesystem::remove_all(m_folder);
        }
    }
    std::shared_ptr<Endpoint> startEndpoint(Machine &machine, Endpoint::Options options)
    {
        options.service = machine.service;
        options.zone = machine.zone;
        if (options.id.empty()) {
            options.id = "i-" + machine.name;
        }
        machine.endpoints.push_back(std::make_shared<Endpoint>(options, machine.app, machine.control, runs, record));
        return machine.endpoints.back();
    }
    bool isReady(const Machine &machine) const
    {
        Message request;
        request.method = "GET";
        request.target = "/api/readiness";
        request.fields["Host"] = "ready";
        Connection connection(machine.ready);
        const auto response = connection.call(request, 1000);
        return response && response->status == 200;
    }
    bool waitReady(std::int64_t timeoutMs)
    {
        const std::int64_t until = steadyMs() + timeoutMs;
        while (steadyMs() < until) {
            if (std::all_of(machines.begin(), machines.end(), [this](const Machine &m) { return isReady(m); })) {
                return true;
            }
            sleepMs(100);
        }
        return false;
    }
    std::string logOf(const Machine &machine) const
    {
        return readFile(m_folder + "/" + machine.name + ".log");
    }

    Record &record;
    Runs runs;
    std::unique_ptr<Store> store;
    std::deque<Machine> machines;

private:
    static bool isAddressFree(const Address &address)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in to = toSockaddr(address);
        const bool isFree = ::bind(fd, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) == 0;
        ::close(fd);
        return isFree;
    }
    static std::string freePrefix()
    {
        std::mt19937 random(std::random_device{}());
        for (int attempt = 0; attempt < 100; ++attempt) {
            const std::string prefix = "127." + std::to_string(20 + random() % 200);
            bool isFree = isAddressFree({prefix + ".250.1", 8627});
            for (int machine = 1; machine <= 32; ++machine) {
                for (const int port : {7600, 7615, 8620, 8625, 8628, 8629, 9464}) {
                    isFree = isFree && isAddressFree({prefix + "." + std::to_string(machine) + ".1", port});
                }
            }
            if (isFree) {
                return prefix;
            }
        }
        throw std::runtime_error("no free loopback addresses");
    }
    std::map<std::string, std::string> fieldsOf(const Machine &machine) const
    {
        std::map<std::string, std::string> result = m_fields;
        result["nodeName"] = machine.name;
        result["zone"] = machine.zone;
        result["ip"] = machine.ip;
        result["service"] = machine.service;
        result["listen.outbound"] = machine.outbound.text();
        result["listen.ready"] = machine.ready.text();
        result["listen.control"] = machine.control.text();
        result["internalPorts.0"] = "7600";
        result["internalPorts.1"] = "7615";
        result["platform.address"] = store->address().text();
        return result;
    }

    std::map<std::string, std::string> m_fields;
    std::string m_folder;
    std::string m_prefix;
};

// The settings of the small sites' example, as `fleetbench wire` shows them.
inline std::map<std::string, std::string> smallSiteFields(const std::string &memoryMb)
{
    return {{"bounds.graceS", "6"},
            {"limits.memoryMb", memoryMb},
            {"platform.readsPerS", "2000"},
            {"heartbeatMs", "1500"},
            {"bounds.configApplyMs", "2000"},
            {"limits.linkMbps", "1000.0"},
            {"bounds.retryBudgetRatio", "0.2"},
            {"bounds.budgetExtraRetries", "58"}};
}

inline std::string newRequestId()
{
    static std::atomic<std::uint64_t> next{(static_cast<std::uint64_t>(std::random_device{}()) << 32U) + 1};
    std::ostringstream out;
    out << std::hex << std::setw(16) << std::setfill('0') << next++;
    return out.str();
}

inline Message clientRequest(const std::string &method, const std::string &host, const std::string &target,
                             std::int64_t deadlineMs)
{
    Message request;
    request.method = method;
    request.target = target;
    request.fields["Host"] = host;
    request.fields["X-Fulmarledge-Request-Id"] = newRequestId();
    request.fields["X-Fulmarledge-Deadline-Ms"] = std::to_string(deadlineMs);
    return request;
}

inline bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

// Routes and services of a configuration, in the encoding of the PROTOCOL page.
inline json makeConfig(std::int64_t version, const json &routeRows, const std::vector<std::string> &services,
                       std::int64_t maxBodyBytes = 67108864)
{
    json serviceRows = json::array();
    for (const std::string &name : services) {
        serviceRows.push_back({name, "/health", 110, "h1", false});
    }
    return {
        {"version", version},
        {"routes",
         {{"columns",
           {"name", "host", "pathPrefix", "kind", "timeoutMs", "targetLatencyMs", "priority", "maxAttempts",
            "service"}},
          {"rows", routeRows}}},
        {"services", {{"columns", {"name", "healthPath", "maxConnections", "protocol", "tls"}}, {"rows", serviceRows}}},
        {"limits",
         {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", maxBodyBytes},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15000}}}};
}

} // namespace review
