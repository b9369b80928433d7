#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <sys/epoll.h>
#include <sys/signalfd.h>

#include "fulmarledge/controlnode.h"
#include "httpclient.h"
#include "httpserver.h"
#include "ioloop.h"
#include "log.h"
#include "metrics.h"
#include "nativeenvironment.h"
#include "node_admin.h"
#include "node_backend.h"
#include "node_settings.h"
#include "peersocket.h"
#include "requestpath.h"
#include "usersplatform.h"

namespace fulmarledge {

namespace {

constexpr std::int64_t kTickMs = 50;
constexpr std::int64_t kDrainPollMs = 20;
/// Failed connections in a row after which the backend server is taken out of service. A single failure can come from
/// a full backlog, but once the process has ended every connection is refused.
constexpr int kRefusedConnections = 3;
constexpr std::size_t kKeptActivations = 256;
constexpr std::size_t kMaxAdminBodyBytes = 64 * 1024;
constexpr long kPlatformConnections = 4;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
/// Part of the fleet's retry budget that is given out to the nodes. The rest is a reserve, because nodes can count
/// different numbers of live nodes for a short time.
constexpr double kRetryShare = 0.75;

std::unique_ptr<Environment> makeEnvironment(const NodeSettings &settings)
{
    if (settings.usersPlatform) {
        return std::make_unique<UsersPlatform>();
    }
    return std::make_unique<NativeEnvironment>();
}

class SystemRandom : public RandomSource
{
public:
    std::uint64_t below(std::uint64_t bound) override
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_engine);
    }

private:
    std::mt19937_64 m_engine{std::random_device{}()};
};

wire::HostRecord ownRecord(const NodeSettings &settings)
{
    wire::HostRecord record;
    record.host = settings.host;
    record.zone = settings.zone;
    record.address = settings.address;
    record.controlPort = settings.controlPort;
    record.hopPort = settings.hopPort;
    record.callerPort = settings.callerPort;
    record.adminPort = settings.adminPort;
    record.state = wire::HostState::Starting;
    record.liveness = wire::Liveness::Alive;
    if (settings.linkMegabits > 0) {
        record.__set_linkMegabits(static_cast<std::int32_t>(settings.linkMegabits));
    }
    return record;
}

/// Connects the control core, the request path and the admin port. Runs on the main thread, which is the control
/// thread.
class Node : private ControlListener
{
public:
    explicit Node(const NodeSettings &settings)
        : m_settings(settings)
        , m_metrics(settings.host, settings.zone)
        , m_log(makeEventLog(settings.host, settings.zone))
        , m_client(m_loop, kPlatformConnections)
        , m_environment(makeEnvironment(settings))
        , m_store(m_environment->makeStore(m_client, m_metrics, *m_log, settings.platform))
        , m_peers(m_loop, m_metrics)
        , m_allowance(settings.retryRatio > 0 ? std::make_shared<RetryAllowance>() : nullptr)
        , m_requests(requestSettings(), m_metrics)
        , m_control(settings.control, ownRecord(settings), m_peers, *m_store, m_random, m_metrics, *m_log, *this)
    {
    }

    int run()
    {
        LastReason error;
        if (!m_peers.start(
                {m_settings.address, m_settings.controlPort},
                [this](const wire::Envelope &message) { m_control.onMessage(monotonicMs(), message); }, error)) {
            std::fprintf(stderr, "fulmarledge-node: control port: %s\n", error.text().c_str());
            return 1;
        }
        watchSignals();
        m_requests.start();
        m_control.start(monotonicMs(), wallClockMs());
        m_admin = std::make_unique<HttpServer>(
            HttpServer::Settings{{m_settings.address, m_settings.adminPort}, 1, kMaxAdminBodyBytes},
            [this](HttpCall call) { m_loop.post([this, call = std::move(call)] { onAdmin(call); }); });
        if (m_settings.announceAddress) {
            m_announcements = std::make_unique<HttpServer>(
                HttpServer::Settings{*m_settings.announceAddress, 1, kMaxAdminBodyBytes},
                [this](HttpCall call) { m_loop.post([this, call = std::move(call)] { onNotice(call); }); });
        }
        if (m_settings.readyAddress) {
            m_readiness = std::make_unique<HttpServer>(
                HttpServer::Settings{*m_settings.readyAddress, 1, kMaxAdminBodyBytes},
                [this](HttpCall call) { m_loop.post([this, call = std::move(call)] { onReadinessCall(call); }); });
        }
        scheduleTick();
        m_log->event("started",
                     "address=" + m_settings.address + " caller_port=" + std::to_string(m_settings.callerPort)
                         + " version=0");
        m_loop.run();
        m_admin->stop();
        m_announcements.reset();
        m_readiness.reset();
        m_requests.stop();
        logEvent("stopped", "");
        return 0;
    }

private:
    void onSnapshot(std::shared_ptr<const Snapshot> snapshot) override
    {
        if (!m_requests.publish(snapshot)) {
            logEvent("snapshot-refused", "refused=" + std::to_string(snapshot->version()));
            return;
        }
        m_snapshot = std::move(snapshot);
        if (m_activations.empty() || m_activations.back().version != m_snapshot->version()) {
            m_activations.push_back({m_snapshot->version(), wallClockMs()});
            if (m_activations.size() > kKeptActivations) {
                m_activations.pop_front();
            }
        }
    }

    void onBackendLeaving(const LeavingBackend &leaving) override
    {
        logEvent("backend-remembered-leaving",
                 "instance=" + leaving.instance + " born=" + std::to_string(leaving.bornMs));
        if (m_life.retire(leaving.instance, leaving.bornMs)) {
            followLife(true, monotonicMs());
        }
    }

    /// Logs an event with the active version.
    void logEvent(std::string_view name, const std::string &detail)
    {
        m_log->event(name,
                     detail + (detail.empty() ? "" : " ") + "version=" + std::to_string(m_control.spread().version()));
    }

    void onReadiness(bool ready, Reason reason) override
    {
        m_ready = ready;
        m_notReadyReason = reason;
        m_requests.setReady(ready && !m_refusing, m_refusing ? Reason::Draining : reason);
    }

    void scheduleTick()
    {
        m_loop.runAfter(kTickMs, [this] {
            const TimeMs now = monotonicMs();
            m_control.onTick(now, wallClockMs());
            if (m_control.spread().platformReachable()) {
                m_platformSeenMs = now;
            }
            checkBackend(now);
            shareRetries();
            scheduleTick();
        });
    }

    /// Takes the backend server out of service when it sends no announcements or refuses connections. Its next
    /// announcement puts it back into service.
    void checkBackend(TimeMs now)
    {
        if (!m_backend) {
            return;
        }
        const bool silent = now - m_announcedMs > m_settings.announceTimeoutMs;
        const bool refuses = m_backend->state == wire::HostState::Serving
            && m_requests.stats().refusedConnections >= kRefusedConnections;
        if (silent || refuses) {
            logEvent(silent ? "backend-silent" : "backend-refuses", "service=" + m_backend->service);
            m_backend->state = wire::HostState::Starting;
            applyBackend(now);
            m_backend.reset();
        }
    }

    void onAnnounce(const HttpCall &call)
    {
        LastReason error;
        const auto announcement = Announcement::parse(call.body, error);
        if (!announcement) {
            m_metrics.count("announcements-refused", "", 1);
            call.responder->send(400, {{"Content-Type", "text/plain"}}, error.text() + "\n");
            return;
        }
        m_announcedMs = monotonicMs();
        const bool changed = !m_backend || m_backend->state != announcement->state
            || m_backend->service != announcement->service || m_backend->port != announcement->port
            || m_backend->slots != announcement->slots;
        m_backend = *announcement;
        if (changed) {
            logEvent("backend-" + std::string(stateName(announcement->state)), "service=" + announcement->service);
        }
        applyBackend(m_announcedMs);
        call.responder->send(204, {}, "");
    }

    /// Passes the state of the backend server to the request path and to the other members.
    void applyBackend(TimeMs now)
    {
        const std::string &ip = m_backend->ip.empty() ? m_settings.address : m_backend->ip;
        m_requests.setLocalBackend({ip, m_backend->port}, m_backend->service,
                                   static_cast<std::uint32_t>(m_backend->slots), m_backend->state, m_backend->load,
                                   m_backend->instance);
        m_control.setLocalState(now, m_leaving ? wire::HostState::Draining : m_backend->state, m_backend->service,
                                m_backend->slots, m_backend->warmupLeft);
    }

    /// Handles an announcement on the announcement address. The reply is sent after the slot guard of the backend
    /// server has taken over the announced state.
    void onNotice(const HttpCall &call)
    {
        LastReason error;
        const auto notice = m_environment->readNotice(call, error);
        const bool foreign = notice && !notice->leaves && !m_settings.backendService.empty()
            && notice->service != m_settings.backendService;
        if (!notice || foreign) {
            m_metrics.count("announcements-refused", "", 1);
            logEvent("announcement-refused",
                     "reason=" + (foreign ? "service " + notice->service + " is not on this host" : error.text()));
            call.responder->send(kBadRequest, {}, "");
            return;
        }
        const TimeMs now = monotonicMs();
        const NoticeEffect effect = m_life.apply(*notice, now);
        if (effect == NoticeEffect::Stale) {
            logEvent("announcement-stale",
                     "instance=" + notice->instance + " sequence=" + std::to_string(notice->sequence));
        } else {
            m_announcedMs = now;
            followLife(effect == NoticeEffect::Applied || !m_backend, now);
        }
        call.responder->send(kOk, {}, "");
    }

    /// Takes over the newest notice about the backend server if it `changed`.
    void followLife(bool changed, TimeMs now)
    {
        if (!changed) {
            return;
        }
        const BackendNotice &current = m_life.current();
        Announcement announcement;
        announcement.service = current.service;
        announcement.ip = current.address.ip;
        announcement.port = current.address.port;
        announcement.slots = current.slots;
        announcement.state = current.state;
        announcement.instance = current.instance;
        announcement.warmupLeft = current.warmupMs;
        m_backend = announcement;
        logEvent("backend-" + std::string(stateName(current.state)),
                 "service=" + current.service + " instance=" + current.instance
                     + " born=" + std::to_string(current.bornMs) + " sequence=" + std::to_string(current.sequence)
                     + (current.leaves ? " leaves" : ""));
        applyBackend(now);
        const bool leaves = current.state == wire::HostState::Draining;
        m_control.setLeavingBackend(now, leaves ? current.instance : "", current.bornMs);
    }

    void onReadinessCall(const HttpCall &call)
    {
        if (!m_environment->isReadinessCall(call)) {
            call.responder->send(kNotFound, {}, "");
            return;
        }
        call.responder->send(m_ready && !m_leaving ? kOk : kUnavailable, {}, "");
    }

    /// Sets this node's part of the fleet's retry budget. The ratio is the same on every node, and the extra retries
    /// are divided by the number of live nodes.
    void shareRetries()
    {
        if (!m_allowance) {
            return;
        }
        const auto nodes = static_cast<double>(std::max<std::size_t>(m_control.membership().liveCount(), 1));
        const double extra = m_settings.retryExtra * kRetryShare / nodes;
        m_allowance->percent = static_cast<std::uint32_t>(m_settings.retryRatio * kRetryShare * 100);
        m_allowance->extraHundredths = static_cast<std::uint32_t>(extra * 100);
    }

    RequestPathSettings requestSettings() const
    {
        RequestPathSettings result = m_settings.requests;
        result.retryAllowance = m_allowance;
        result.dialect = m_environment->makeDialect(m_settings.backendService);
        return result;
    }

    void onAdmin(const HttpCall &call)
    {
        if (call.method == "POST" && call.path == "/v1/announce") {
            onAnnounce(call);
            return;
        }
        if (call.method != "GET") {
            call.responder->send(405, {{"Allow", "GET"}}, "");
            return;
        }
        const TimeMs now = monotonicMs();
        const NodeReport report{m_control,     m_snapshot.get(), m_backend,
                                m_activations, m_settings.host,  m_settings.zone,
                                now,           m_startedMs,      now - m_platformSeenMs};
        const HttpFields json{{"Content-Type", "application/json"}};
        static constexpr std::string_view kExplain = "/v1/explain/";
        if (call.path == "/v1/status") {
            call.responder->send(200, json, statusJson(report));
        } else if (call.path == "/v1/members") {
            call.responder->send(200, json, membersJson(report));
        } else if (call.path.starts_with(kExplain)) {
            const auto text = explainJson(report, std::string_view(call.path).substr(kExplain.size()));
            call.responder->send(text ? 200 : 404, json, text.value_or("{\"error\":\"no such service\"}"));
        } else if (call.path == "/metrics") {
            call.responder->send(200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.toText());
        } else if (call.path == "/healthz") {
            call.responder->send(200, {{"Content-Type", "text/plain"}}, "ok\n");
        } else if (call.path == "/readyz") {
            const bool ready = m_ready && !m_leaving;
            call.responder->send(
                ready ? 200 : 503, {{"Content-Type", "text/plain"}},
                ready ? "ready\n" : std::string(reasonName(m_leaving ? Reason::Draining : m_notReadyReason)) + "\n");
        } else {
            call.responder->send(404, {{"Content-Type", "text/plain"}}, "no such path\n");
        }
    }

    void watchSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        sigaddset(&signals, SIGHUP);
        m_signals = Socket(signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC));
        m_loop.addFd(m_signals.fd(), EPOLLIN, [this](std::uint32_t) {
            signalfd_siginfo info{};
            [[maybe_unused]] const ssize_t got = ::read(m_signals.fd(), &info, sizeof(info));
            if (info.ssi_signo == SIGHUP) {
                logEvent("reload", "");
                return;
            }
            beginLeave();
        });
    }

    /// Starts a graceful shutdown. The node announces that it is draining, refuses callers once the handover time has
    /// passed, finishes the requests in progress and then announces that this host has left. A node that is still busy
    /// at the end of the grace time exits without finishing.
    void beginLeave()
    {
        if (m_leaving) {
            return;
        }
        m_leaving = true;
        logEvent("draining", "planned stop");
        m_control.setLocalState(monotonicMs(), wire::HostState::Draining, m_backend ? m_backend->service : "",
                                m_backend ? m_backend->slots : 0, m_backend ? m_backend->warmupLeft : std::nullopt);
        if (m_settings.graceMs > 0) {
            m_loop.runAfter(m_settings.graceMs, [this] {
                logEvent("grace-over", "outstanding=" + std::to_string(m_requests.stats().outstanding));
                m_loop.stop();
            });
        }
        if (m_settings.handoverMs > 0) {
            m_loop.runAfter(m_settings.handoverMs, [this] { refuseWork(); });
        } else {
            refuseWork();
        }
    }

    void refuseWork()
    {
        m_refusing = true;
        m_requests.setReady(false, Reason::Draining);
        m_requests.drain([this] { m_loop.post([this] { leaveWhenIdle(); }); });
    }

    void leaveWhenIdle()
    {
        if (m_requests.stats().outstanding > 0) {
            m_loop.runAfter(kDrainPollMs, [this] { leaveWhenIdle(); });
            return;
        }
        m_loop.runAfter(m_settings.leaveDelayMs, [this] {
            m_control.leave(monotonicMs());
            // Leaves time to send the datagrams that announce the leave before the sockets close.
            m_loop.runAfter(kTickMs, [this] { m_loop.stop(); });
        });
    }

    NodeSettings m_settings;
    IoLoop m_loop;
    Metrics m_metrics;
    std::unique_ptr<EventLog> m_log;
    SystemRandom m_random;
    HttpClient m_client;
    std::unique_ptr<Environment> m_environment;
    std::unique_ptr<PlatformStore> m_store;
    PeerSocket m_peers;
    std::shared_ptr<RetryAllowance> m_allowance;
    RequestPath m_requests;
    ControlNode m_control;
    std::unique_ptr<HttpServer> m_admin;
    std::unique_ptr<HttpServer> m_announcements;
    std::unique_ptr<HttpServer> m_readiness;
    Socket m_signals;
    std::shared_ptr<const Snapshot> m_snapshot;
    std::deque<ActivationTime> m_activations;
    std::optional<Announcement> m_backend; ///< not set while no backend server is announced
    BackendLife m_life;
    const std::int64_t m_startedMs = wallClockMs();
    TimeMs m_announcedMs = 0;
    TimeMs m_platformSeenMs = monotonicMs();
    bool m_ready = false;
    Reason m_notReadyReason = Reason::NotReady;
    bool m_leaving = false; ///< a graceful shutdown has begun
    bool m_refusing = false; ///< the graceful shutdown has reached the point from which callers are refused
};

/// Blocks the signals that the control thread reads from its signalfd. Called before any thread starts, as threads
/// inherit the blocked signals.
void blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(cert-err33-c)
}

} // namespace

} // namespace fulmarledge

int main(int argc, char **argv)
{
    using namespace fulmarledge;
    NodeSettings settings;
    const SettingsSchema schema = nodeSchema(settings);
    LastReason error;
    switch (schema.read(std::span<const char *const>(argv, static_cast<std::size_t>(argc)), error)) {
    case SettingsSchema::Outcome::Help:
        std::fputs(schema.help().c_str(), stdout);
        return 0;
    case SettingsSchema::Outcome::ShowVersion:
        std::puts("fulmarledge-node " FULMARLEDGE_VERSION);
        return 0;
    case SettingsSchema::Outcome::Bad:
        std::fprintf(stderr, "fulmarledge-node: %s\n", error.text().c_str());
        return 2;
    case SettingsSchema::Outcome::CheckOnly:
        std::puts("settings are valid");
        return 0;
    case SettingsSchema::Outcome::Run:
        break;
    }
    completeSettings(settings);
    blockSignals();
    startLogging(settings.logLevel);
    try {
        Node node(settings);
        const int result = node.run();
        stopLogging();
        // Exits without destructors, as no state of a node outlives its process. Otherwise threads of the libraries
        // would wait for each other while callers already get no service.
        std::_Exit(result);
    } catch (const std::exception &exception) {
        std::fprintf(stderr, "fulmarledge-node: %s\n", exception.what());
        return 1;
    }
}
