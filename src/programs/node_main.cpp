#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <malloc.h>
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
#include "node_pathwatch.h"
#include "node_quotas.h"
#include "node_runningsettings.h"
#include "node_stop.h"
#include "peersocket.h"
#include "requestpath.h"
#include "usersplatform.h"

namespace fulmarledge {

namespace {

constexpr std::int64_t kTickMs = 50;
/// Time without a tick after which callers are refused. A pause of this length makes the control core read the version
/// floor again.
constexpr TimeMs kReadyLeaseMs = 2000;
/// Blocks of memory from this size on are returned to the system when they are freed. Otherwise the allocator raises
/// the size with each larger block, and keeps up to twice the largest body.
constexpr int kReturnedBlockBytes = 1024 * 1024;
constexpr std::size_t kMaxActivations = 256;
constexpr std::size_t kMaxAdminBodyBytes = 64 * 1024;
constexpr TimeMs kAdminHeaderTimeoutMs = 5000;
/// Period at which the settings file is compared with the one that was read.
constexpr TimeMs kFileCheckPeriodMs = 500;
constexpr long kIdlePlatformConnections = 4;
constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;
constexpr int kHttpUnavailable = 503;
/// Part of the fleet's retry budget that is given out to the nodes. The rest is a reserve, because nodes can count
/// different numbers of live nodes for a short time.
constexpr double kDistributedRetryShare = 0.75;

/// Descriptors that this process has open, 0 where the system does not tell.
std::size_t countOpenDescriptors()
{
    std::error_code error;
    const std::filesystem::directory_iterator descriptors("/proc/self/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
}

std::unique_ptr<Environment> makeEnvironment(const NodeSettings &settings)
{
    if (settings.useUsersPlatform) {
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
    explicit Node(RunningSettings &settings)
        : m_runningSettings(settings)
        , m_settings(settings.inForce())
        , m_metrics(m_settings.host, m_settings.zone)
        , m_log(makeEventLog(m_settings.host, m_settings.zone))
        , m_platformClient(m_loop, kIdlePlatformConnections)
        , m_environment(makeEnvironment(m_settings))
        , m_store(m_environment->makeStore(m_platformClient, m_metrics, *m_log, m_settings.platform))
        , m_peerSocket(m_loop, m_metrics)
        , m_retryAllowance(m_settings.sharedRetryRatio > 0 ? std::make_shared<RetryAllowance>() : nullptr)
        , m_requestPath(requestSettings(), m_metrics)
        , m_control(m_settings.control, ownRecord(m_settings), m_peerSocket, *m_store, m_random, m_metrics, *m_log,
                    *this)
        , m_backend(m_settings, *m_environment, m_requestPath, m_control, *m_store, m_random, m_metrics, *m_log)
        , m_pathWatch(m_settings, m_requestPath, m_control, *m_log)
        , m_stop(m_loop, m_settings, m_requestPath, m_control, m_backend, *m_log)
    {
    }

    int run()
    {
        LastReason error;
        if (!m_peerSocket.start(
                {m_settings.address, m_settings.controlPort},
                [this](const wire::Envelope &message) { m_control.onMessage(monotonicMs(), message); }, error)) {
            std::fprintf(stderr, "fulmarledge-node: control port: %s\n", error.text().c_str());
            return 1;
        }
        m_control.setRolloutGuard(m_requestPath.rolloutGuard());
        watchSignals();
        m_requestPath.confirmReady(monotonicMs());
        m_requestPath.start();
        m_control.start(monotonicMs(), wallClockMs());
        m_adminServer = std::make_unique<HttpServer>(
            adminSettings({m_settings.address, m_settings.adminPort}),
            [this](HttpCall call) { m_loop.post([this, call = std::move(call)] { onAdminCall(call); }); });
        if (m_settings.announceAddress) {
            m_announceServer
                = std::make_unique<HttpServer>(adminSettings(*m_settings.announceAddress), [this](HttpCall call) {
                      m_loop.post([this, call = std::move(call)] { m_backend.onNoticeCall(call); });
                  });
        }
        if (m_settings.readyAddress) {
            m_readinessServer
                = std::make_unique<HttpServer>(adminSettings(*m_settings.readyAddress), [this](HttpCall call) {
                      m_loop.post([this, call = std::move(call)] { onReadinessCall(call); });
                  });
        }
        scheduleTick();
        m_log->event("started",
                     "address=" + m_settings.address + " caller_port=" + std::to_string(m_settings.callerPort)
                         + " caller_connections=" + std::to_string(m_settings.requests.maxCallerConnections)
                         + " version=0");
        m_loop.run();
        m_adminServer->stop();
        m_announceServer.reset();
        m_readinessServer.reset();
        m_requestPath.stop();
        logEvent("stopped", "");
        return 0;
    }

private:
    void onSnapshot(std::shared_ptr<const Snapshot> snapshot) override
    {
        QuotaAccess quotas;
        if (m_control.quotas() != nullptr) {
            quotas = {m_control.quotas(), m_control.quotas()->table()};
        }
        if (!m_requestPath.publish(snapshot, std::move(quotas))) {
            logEvent("snapshot-refused", "refused=" + std::to_string(snapshot->version()));
            return;
        }
        m_snapshot = std::move(snapshot);
        m_requestPath.setCallerLimits(m_snapshot->callerLimits());
        if (m_activations.empty() || m_activations.back().version != m_snapshot->version()) {
            m_activations.push_back({m_snapshot->version(), wallClockMs()});
            if (m_activations.size() > kMaxActivations) {
                m_activations.pop_front();
            }
        }
    }

    void onBackendLeaving(const LeavingBackend &leaving) override
    {
        m_backend.onLeaving(leaving);
    }

    /// Called from request threads.
    void onQuotaNeeded() override
    {
        m_loop.post([this] { m_control.flushQuotas(monotonicMs()); });
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
        m_requestPath.setReady(ready && !m_stop.isRefusingCallers(),
                               m_stop.isRefusingCallers() ? Reason::Draining : reason);
    }

    void scheduleTick()
    {
        m_loop.runAfter(kTickMs, [this] {
            const TimeMs now = monotonicMs();
            m_control.onTick(now, wallClockMs());
            if (m_control.spread().isPlatformReachable()) {
                m_platformReachableAtMs = now;
            }
            m_requestPath.confirmReady(now);
            m_backend.tick(now);
            updateRetryAllowance();
            m_pathWatch.check(now);
            checkSettingsFile(now);
            scheduleTick();
        });
    }

    void checkSettingsFile(TimeMs now)
    {
        if (now - m_fileCheckedAtMs < kFileCheckPeriodMs) {
            return;
        }
        m_fileCheckedAtMs = now;
        if (m_runningSettings.hasFileChanged()) {
            reloadSettings("file-changed");
        }
    }

    /// Reads the settings again and takes over what a running node can change.
    void reloadSettings(std::string_view cause)
    {
        const SocketAddress formerPlatform = m_settings.platform;
        LastReason error;
        const auto changes = m_runningSettings.reload(error);
        if (!changes) {
            m_metrics.count("settings-reloads", "refused", 1);
            logEvent("reload-refused", "cause=" + std::string(cause) + " reason=" + error.text());
            return;
        }
        m_metrics.count("settings-reloads", "read", 1);
        logEvent("reload", "cause=" + std::string(cause) + " changes=" + std::to_string(changes->size()));
        for (const SettingChange &change : *changes) {
            logEvent(change.needsRestart ? "setting-needs-restart" : "setting-changed",
                     "key=" + change.key + " in_force=\"" + change.inForce + "\" read=\"" + change.read + "\"");
        }
        setLogLevel(m_settings.logLevel);
        if (m_settings.platform != formerPlatform) {
            m_store->setAddress(m_settings.platform);
            m_control.onPlatformMoved(monotonicMs());
        }
    }

    /// Settings of the servers for announcements, readiness and administration.
    HttpServer::Settings adminSettings(const SocketAddress &address) const
    {
        HttpServer::Settings result;
        result.address = address;
        result.limits.maxBodyBytes = kMaxAdminBodyBytes;
        result.limits.headerTimeoutMs = kAdminHeaderTimeoutMs;
        result.maxConnections = shareDescriptors(m_settings.socketDescriptors).otherPort;
        result.maxHeldBytes = result.maxConnections * kMaxAdminBodyBytes / 4;
        return result;
    }

    void exportConnections()
    {
        const RequestPathStats stats = m_requestPath.stats();
        exportConnections("callers", stats.callerConnections);
        exportPipelining(stats.callerConnections);
        exportConnections("admin", m_adminServer->stats());
        if (m_announceServer) {
            exportConnections("announcements", m_announceServer->stats());
        }
        if (m_readinessServer) {
            exportConnections("readiness", m_readinessServer->stats());
        }
        if (m_control.rollouts() != nullptr && m_backend.announcement()) {
            m_metrics.gauge("backend-sent", m_backend.announcement()->version,
                            static_cast<double>(m_requestPath.rolloutGuard().outcomes().sent));
        }
        m_metrics.gauge("open-connections", "nodes", static_cast<double>(stats.hopConnections));
        if (m_settings.requests.callerMemory.isActive()) {
            m_metrics.gauge("caller-memory", "", static_cast<double>(stats.callerConnections.memoryBytes));
            m_metrics.gauge("caller-memory-limit", "",
                            static_cast<double>(m_settings.requests.callerMemory.limitBytes));
            m_metrics.gauge("caller-memory-refused", "", static_cast<double>(stats.callerConnections.refusedForMemory));
        }
        m_metrics.gauge("hop-buffer-bytes", "", static_cast<double>(stats.hopBufferBytes));
        m_metrics.gauge("answer-bytes", "", static_cast<double>(stats.answerBytes));
        exportQuotas(m_control, stats, m_metrics);
        m_metrics.gauge("descriptor-budget", "", static_cast<double>(m_settings.socketDescriptors));
        m_metrics.gauge("descriptors", "", static_cast<double>(countOpenDescriptors()));
    }

    void exportConnections(std::string_view port, const HttpServerStats &stats)
    {
        m_metrics.gauge("open-connections", port, static_cast<double>(stats.openConnections));
        for (std::size_t i = 0; i < stats.closed.size(); ++i) {
            const std::string label
                = std::string(port) + "-" + std::string(closeReasonName(static_cast<CloseReason>(i)));
            m_metrics.gauge("closed-connections", label, static_cast<double>(stats.closed[i]));
        }
    }

    void exportPipelining(const HttpServerStats &stats)
    {
        m_metrics.gauge("pipelined-requests", "started-beside", static_cast<double>(stats.startedBeside));
        for (std::size_t i = 0; i < stats.heldBack.size(); ++i) {
            m_metrics.gauge("pipelined-requests", "held-" + std::string(holdReasonName(static_cast<HoldReason>(i))),
                            static_cast<double>(stats.heldBack[i]));
        }
    }

    void onReadinessCall(const HttpCall &call)
    {
        if (!m_environment->isReadinessCall(call)) {
            call.responder->send(kHttpNotFound, {}, "");
            return;
        }
        call.responder->send(
            m_ready && !m_stop.hasBegun() && !m_pathWatch.isThreadStalled() ? kHttpOk : kHttpUnavailable, {}, "");
    }

    /// Sets this node's part of the fleet's retry budget. The ratio is the same on every node, and the extra retries
    /// are divided by the number of live nodes.
    void updateRetryAllowance()
    {
        if (!m_retryAllowance) {
            return;
        }
        const auto nodes = static_cast<double>(std::max<std::size_t>(m_control.membership().liveCount(), 1));
        const double extra = m_settings.sharedRetryExtra * kDistributedRetryShare / nodes;
        m_retryAllowance->retryPercent
            = static_cast<std::uint32_t>(m_settings.sharedRetryRatio * kDistributedRetryShare * 100);
        m_retryAllowance->extraRetryHundredths = static_cast<std::uint32_t>(extra * 100);
    }

    RequestPathSettings requestSettings() const
    {
        RequestPathSettings result = m_settings.requests;
        result.retryAllowance = m_retryAllowance;
        result.readyLeaseMs = kReadyLeaseMs;
        result.dialect = m_environment->makeDialect(m_settings.backendService);
        return result;
    }

    void onAdminCall(const HttpCall &call)
    {
        if (call.method == "POST" && call.path == "/v1/announce") {
            m_backend.onAnnounceCall(call);
            return;
        }
        if (call.method != "GET") {
            call.responder->send(405, {{"Allow", "GET"}}, "");
            return;
        }
        answerReport(call, m_metrics, *m_log, [&] { onReportCall(call); });
    }

    void onReportCall(const HttpCall &call)
    {
        const TimeMs now = monotonicMs();
        const NodeReport report{m_control,     m_snapshot.get(), m_backend.announcement(),
                                m_activations, m_settings.host,  m_settings.zone,
                                now,           m_startedMs,      now - m_platformReachableAtMs};
        const HttpFields json{{"Content-Type", "application/json"}};
        static constexpr std::string_view kExplainPrefix = "/v1/explain/";
        if (call.path == "/v1/status") {
            call.responder->send(200, json, statusJson(report));
        } else if (call.path == "/v1/members") {
            call.responder->send(200, json, membersJson(report));
        } else if (call.path.starts_with(kExplainPrefix)) {
            const auto text = explainJson(report, std::string_view(call.path).substr(kExplainPrefix.size()));
            call.responder->send(text ? 200 : 404, json, text.value_or("{\"error\":\"no such service\"}"));
        } else if (call.path == "/metrics") {
            exportConnections();
            call.responder->send(200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.toText());
        } else if (call.path == "/healthz") {
            call.responder->send(200, {{"Content-Type", "text/plain"}}, "ok\n");
        } else if (call.path == "/readyz") {
            const bool ready = m_ready && !m_stop.hasBegun() && !m_pathWatch.isThreadStalled();
            call.responder->send(
                ready ? 200 : 503, {{"Content-Type", "text/plain"}},
                ready ? "ready\n"
                      : std::string(reasonName(m_stop.hasBegun() ? Reason::Draining : m_notReadyReason)) + "\n");
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
        m_signalFd = Socket(signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC));
        m_loop.addFd(m_signalFd.fd(), EPOLLIN, [this](std::uint32_t) {
            signalfd_siginfo info{};
            [[maybe_unused]] const ssize_t bytesRead = ::read(m_signalFd.fd(), &info, sizeof(info));
            if (info.ssi_signo == SIGHUP) {
                reloadSettings("signal");
                return;
            }
            m_stop.begin();
        });
    }

    RunningSettings &m_runningSettings;
    const NodeSettings &m_settings; ///< those in force
    IoLoop m_loop;
    Metrics m_metrics;
    std::unique_ptr<EventLog> m_log;
    SystemRandom m_random;
    HttpClient m_platformClient;
    std::unique_ptr<Environment> m_environment;
    std::unique_ptr<RemoteStore> m_store;
    PeerSocket m_peerSocket;
    std::shared_ptr<RetryAllowance> m_retryAllowance;
    RequestPath m_requestPath;
    ControlNode m_control;
    BackendAnnouncements m_backend;
    RequestPathWatch m_pathWatch;
    PlannedStop m_stop;
    std::unique_ptr<HttpServer> m_adminServer;
    std::unique_ptr<HttpServer> m_announceServer;
    std::unique_ptr<HttpServer> m_readinessServer;
    Socket m_signalFd;
    std::shared_ptr<const Snapshot> m_snapshot;
    std::deque<VersionActivation> m_activations;
    const std::int64_t m_startedMs = wallClockMs();
    TimeMs m_platformReachableAtMs = monotonicMs();
    bool m_ready = false;
    Reason m_notReadyReason = Reason::NotReady;
    TimeMs m_fileCheckedAtMs = 0;
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
    RunningSettings settings({argv, argv + argc});
    LastReason error;
    switch (settings.load(error)) {
    case SettingsSchema::Outcome::Help: {
        NodeSettings described;
        std::fputs(nodeSettingsSchema(described).help().c_str(), stdout);
        return 0;
    }
    case SettingsSchema::Outcome::ShowVersion:
        std::puts("fulmarledge-node " FULMARLEDGE_VERSION);
        return 0;
    case SettingsSchema::Outcome::Invalid:
        std::fprintf(stderr, "fulmarledge-node: %s\n", error.text().c_str());
        return 2;
    case SettingsSchema::Outcome::CheckOnly:
        std::fputs(describeDerivedSettings(settings.inForce()).c_str(), stdout);
        std::puts("settings are valid");
        return 0;
    case SettingsSchema::Outcome::Run:
        break;
    }
    ::mallopt(M_MMAP_THRESHOLD, kReturnedBlockBytes);
    blockSignals();
    startLogging(settings.inForce().logLevel);
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
