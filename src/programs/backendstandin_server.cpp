#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <random>

#include "answerbody_p.h"
#include "backendstandin_p.h"

namespace fulmarledge {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t kAnnounceIntervalMs = 1000;
/// A draining stand-in exits only after this time without requests, because those that its node sent just before the
/// announcement still arrive.
constexpr std::int64_t kDrainQuietMs = 1000;
constexpr std::int64_t kDefaultDeadlineMs = 600000; ///< of a request that names no deadline
constexpr std::size_t kMaxRecordedIds = 4'000'000;
constexpr std::size_t kMaxPayloadBytes = 60 * 1024 * 1024;

template <typename Number>
Number parseNumberOr(std::string_view text, Number fallback)
{
    Number value{};
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    return code == std::errc{} && !text.empty() ? value : fallback;
}

/// Payload size that the query asks for with `size=N`.
std::size_t payloadBytes(std::string_view query)
{
    const std::size_t at = query.find("size=");
    const std::size_t size = at == std::string_view::npos ? 0 : parseNumberOr<std::size_t>(query.substr(at + 5), 0);
    return std::min(size, kMaxPayloadBytes);
}

/// True at random, with the given probability.
bool happens(int percent)
{
    thread_local std::minstd_rand engine{std::random_device{}()};
    return percent > 0 && static_cast<int>(engine() % 100) < percent;
}

} // namespace

/// One request. Used on the loop's thread only, once it waits for a slot.
struct BackendStandin::Job {
    HttpCall call;
    std::string id;
    std::size_t payload = 0;
    std::int64_t executionMs = 0;
    std::int64_t lateMs = 0;
    bool closeAfter = false;
    bool truncate = false;
    bool silent = false;
    TimerId timer;
    bool running = false;
    bool ended = false; ///< finished or cancelled, without a slot
};

BackendStandin::BackendStandin(const BackendStandinSettings &settings)
    : m_settings(settings)
    , m_started(monotonicMs())
    , m_client(std::make_unique<HttpClient>(m_loop, 2))
    , m_server(std::make_unique<HttpServer>(
          HttpServer::Settings{settings.address, settings.threads, {.maxBodyBytes = settings.maxBodyBytes}},
          [this](HttpCall call) { onCall(std::move(call)); }))
    , m_thread([this] { m_loop.run(); })
{
    if (m_settings.nodeAdminAddress.port != 0) {
        m_loop.post([this] { announce(); });
    }
}

BackendStandin::~BackendStandin()
{
    m_loop.stop();
    m_thread.join();
    m_server.reset();
}

std::string BackendStandin::state() const
{
    if (m_draining) {
        return "draining";
    }
    return monotonicMs() - m_started < m_settings.coldStartMs ? "starting" : "serving";
}

InjectedFaults BackendStandin::currentFaults()
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

void BackendStandin::announce()
{
    const InjectedFaults faults = currentFaults();
    const bool draining = m_draining;
    HttpRequest request;
    request.method = "POST";
    request.url = "http://" + m_settings.nodeAdminAddress.ip + ":" + std::to_string(m_settings.nodeAdminAddress.port)
        + "/v1/announce";
    request.fields = {{"Content-Type", "application/json"}};
    request.timeoutMs = kAnnounceIntervalMs;
    Json announcement{{"service", m_settings.service},
                      {"port", m_settings.address.port},
                      {"slots", m_settings.slots},
                      {"state", faults.announceState.empty() ? state() : faults.announceState},
                      {"load", faults.announceLoad < 0 ? m_held.load() : faults.announceLoad}};
    if (!m_settings.version.empty()) {
        announcement["version"] = m_settings.version;
    }
    request.body = announcement.dump();
    m_client->send(std::move(request), [this, draining](const HttpResult &result) {
        if (draining && result.verdict == Verdict::Answered && result.status < 300) {
            m_drainAnnounced = true;
        }
    });
    m_loop.runAfter(kAnnounceIntervalMs, [this] { announce(); });
}

void BackendStandin::drain()
{
    const TimeMs since = monotonicMs();
    m_drainingSince = since;
    m_draining = true;
    if (m_settings.nodeAdminAddress.port != 0) {
        m_loop.post([this] { announce(); });
    }
    while (true) {
        const TimeMs now = monotonicMs();
        const bool announced
            = m_drainAnnounced || m_settings.nodeAdminAddress.port == 0 || now - since > 3 * kAnnounceIntervalMs;
        if (announced && now - since >= m_settings.lingerMs && m_held == 0
            && now - std::max<TimeMs>(m_lastActivity, since) >= kDrainQuietMs) {
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
}

void BackendStandin::onCall(HttpCall call)
{
    if (call.path.starts_with("/standin/") || call.path == "/health" || call.path == "/load") {
        onControl(call);
        return;
    }
    const InjectedFaults faults = currentFaults();
    if (happens(faults.closeBeforePercent)) {
        call.responder->sendRawAndClose({});
    } else if (happens(faults.failPercent)) {
        call.responder->send(500, {}, "failed\n");
    } else if (happens(faults.shedPercent)) {
        call.responder->send(503, {{"Fulmarledge-Verdict", "not-run"}}, "shed\n");
    } else {
        acceptRequest(std::move(call));
    }
}

void BackendStandin::onControl(HttpCall &call)
{
    const InjectedFaults faults = currentFaults();
    if (call.path == "/standin/behaviour" && call.method == "PUT") {
        setInjectedFaults(call);
    } else if (call.path == "/standin/executions") {
        call.responder->send(200, {{"Content-Type", "application/json"}}, executionsJson());
    } else if (call.path == "/health") {
        const std::string reported = faults.announceState.empty() ? state() : faults.announceState;
        call.responder->send(reported == "serving" ? 200 : 503, {}, reported + "\n");
    } else if (call.path == "/load") {
        const std::int64_t reported = faults.announceLoad < 0 ? m_held.load() : faults.announceLoad;
        call.responder->send(200, {}, std::to_string(reported) + "\n");
    } else {
        call.responder->send(404, {}, "unknown control path\n");
    }
}

void BackendStandin::setInjectedFaults(HttpCall &call)
{
    try {
        const Json json = Json::parse(call.body);
        InjectedFaults next;
        next.delayMs = json.value("delay_ms", next.delayMs);
        next.lateMs = json.value("late_ms", next.lateMs);
        next.failPercent = json.value("fail_percent", next.failPercent);
        next.shedPercent = json.value("shed_percent", next.shedPercent);
        next.closeBeforePercent = json.value("close_before_percent", next.closeBeforePercent);
        next.closeAfterPercent = json.value("close_after_percent", next.closeAfterPercent);
        next.truncatePercent = json.value("truncate_percent", next.truncatePercent);
        next.silentPercent = json.value("silent_percent", next.silentPercent);
        next.announceState = json.value("announce_state", next.announceState);
        next.announceLoad = json.value("announce_load", next.announceLoad);
        const std::lock_guard lock(m_mutex);
        m_faults = next;
    } catch (const Json::exception &error) {
        call.responder->send(400, {}, std::string(error.what()) + "\n");
        return;
    }
    call.responder->send(204, {}, {});
}

std::string BackendStandin::executionsJson()
{
    Json json;
    const std::lock_guard lock(m_mutex);
    json["executions"] = m_executions;
    json["executed"] = m_executed;
    json["cancelled"] = m_cancelled;
    json["peak_held"] = m_peakHeld.load();
    json["draining"] = m_draining.load();
    json["last_new_work_after_drain_ms"] = m_lastNewWorkMs.load();
    return json.dump();
}

void BackendStandin::recordExecution(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    ++m_executed;
    if (!id.empty() && m_executions.size() < kMaxRecordedIds) {
        ++m_executions[id];
    }
}

void BackendStandin::acceptRequest(HttpCall call)
{
    const std::int64_t held = ++m_held;
    for (std::int64_t peak = m_peakHeld; peak < held && !m_peakHeld.compare_exchange_weak(peak, held);) {
    }
    const TimeMs now = monotonicMs();
    m_lastActivity = now;
    if (m_draining) {
        m_lastNewWorkMs = now - m_drainingSince;
    }
    const InjectedFaults faults = currentFaults();
    auto job = std::make_shared<Job>();
    job->id = fieldValue(call.fields, "Fulmarledge-Request-Id");
    job->executionMs = m_settings.serviceMs + faults.delayMs;
    job->lateMs = faults.lateMs;
    job->closeAfter = happens(faults.closeAfterPercent);
    job->truncate = happens(faults.truncatePercent);
    job->silent = happens(faults.silentPercent);
    job->payload = payloadBytes(call.query);
    job->call = std::move(call);
    if (job->executionMs == 0 && job->lateMs == 0 && !job->silent) {
        recordExecution(job->id);
        sendAnswer(job);
        return;
    }
    m_loop.post([this, job] {
        m_waiting.push_back(job);
        if (job->lateMs == 0) {
            job->call.responder->onClosed([this, job] { m_loop.post([this, job] { cancelJob(job); }); });
        }
        startWaitingJobs();
    });
}

void BackendStandin::startWaitingJobs()
{
    while (m_running < m_settings.slots && !m_waiting.empty()) {
        const std::shared_ptr<Job> job = std::move(m_waiting.front());
        m_waiting.pop_front();
        if (!job->ended) {
            startJob(job);
        }
    }
}

void BackendStandin::startJob(const std::shared_ptr<Job> &job)
{
    ++m_running;
    job->running = true;
    recordExecution(job->id);
    if (!job->silent) {
        job->timer = m_loop.runAfter(job->executionMs, [this, job] { finishJob(job); });
    }
    // The deadline is the time that the caller still waits. Work after it would be wasted, so the job is cancelled.
    const std::string_view deadline = fieldValue(job->call.fields, "Fulmarledge-Deadline-Ms");
    const auto left = parseNumberOr<std::int64_t>(deadline, kDefaultDeadlineMs);
    if (job->lateMs == 0 && (left < job->executionMs || job->silent)) {
        m_loop.runAfter(left, [this, job] { cancelJob(job); });
    }
}

void BackendStandin::cancelJob(const std::shared_ptr<Job> &job)
{
    if (job->ended) {
        return;
    }
    m_loop.cancel(job->timer);
    freeSlot(job);
    const std::lock_guard lock(m_mutex);
    ++m_cancelled;
}

void BackendStandin::freeSlot(const std::shared_ptr<Job> &job)
{
    job->ended = true;
    --m_held;
    m_lastActivity = monotonicMs();
    if (job->running) {
        --m_running;
        startWaitingJobs();
    }
}

void BackendStandin::finishJob(const std::shared_ptr<Job> &job)
{
    if (job->ended) {
        return;
    }
    freeSlot(job);
    if (job->lateMs > 0) {
        m_loop.runAfter(job->lateMs, [this, job] { sendAnswer(job); });
        return;
    }
    sendAnswer(job);
}

void BackendStandin::sendAnswer(const std::shared_ptr<Job> &job)
{
    if (!job->ended) {
        job->ended = true;
        --m_held;
    }
    std::string body = makeAnswerBody(job->id, job->payload);
    HttpResponder &responder = *job->call.responder;
    if (job->closeAfter) {
        responder.sendRawAndClose({});
    } else if (job->truncate) {
        responder.sendRawAndClose("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                                  + body.substr(0, body.size() / 2));
    } else {
        responder.send(200, {{"Content-Type", "text/plain"}, {"Fulmarledge-Request-Id", job->id}}, std::move(body));
    }
}

} // namespace fulmarledge
