#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <random>

#include "answerbody_p.h"
#include "backendstandin_p.h"

namespace fulmarledge {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t kAnnounceMs = 1000;
/// A draining stand-in exits only after this time without requests, because those that its node sent just before the
/// announcement still arrive.
constexpr std::int64_t kQuietMs = 1000;
constexpr std::int64_t kLongestDeadlineMs = 600000; ///< of a request that names no deadline
constexpr std::size_t kMaxRecorded = 4'000'000;
constexpr std::size_t kMaxPayloadBytes = 60 * 1024 * 1024;

template <typename Number>
Number numberOr(std::string_view text, Number fallback)
{
    Number value{};
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    return code == std::errc{} && !text.empty() ? value : fallback;
}

/// Payload size that the query asks for with `size=N`.
std::size_t payloadBytes(std::string_view query)
{
    const std::size_t at = query.find("size=");
    const std::size_t size = at == std::string_view::npos ? 0 : numberOr<std::size_t>(query.substr(at + 5), 0);
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
    std::int64_t tookMs = 0;
    std::int64_t lateMs = 0;
    bool closeAfter = false;
    bool truncate = false;
    bool silent = false;
    TimerId timer;
    bool running = false;
    bool over = false; ///< finished or cancelled, without a slot
};

BackendStandin::BackendStandin(const BackendSettings &settings)
    : m_settings(settings)
    , m_started(monotonicMs())
    , m_client(std::make_unique<HttpClient>(m_loop, 2))
    , m_server(
          std::make_unique<HttpServer>(HttpServer::Settings{settings.address, settings.threads, settings.maxBodyBytes},
                                       [this](HttpCall call) { onCall(std::move(call)); }))
    , m_thread([this] { m_loop.run(); })
{
    if (m_settings.nodeAdmin.port != 0) {
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

Behaviour BackendStandin::behaviour()
{
    const std::lock_guard lock(m_mutex);
    return m_behaviour;
}

void BackendStandin::announce()
{
    const Behaviour faults = behaviour();
    const bool draining = m_draining;
    HttpRequest request;
    request.method = "POST";
    request.url
        = "http://" + m_settings.nodeAdmin.ip + ":" + std::to_string(m_settings.nodeAdmin.port) + "/v1/announce";
    request.fields = {{"Content-Type", "application/json"}};
    request.timeoutMs = kAnnounceMs;
    request.body = Json{{"service", m_settings.service},
                        {"port", m_settings.address.port},
                        {"slots", m_settings.slots},
                        {"state", faults.announceState.empty() ? state() : faults.announceState},
                        {"load", faults.announceLoad < 0 ? m_held.load() : faults.announceLoad}}
                       .dump();
    m_client->send(std::move(request), [this, draining](const HttpResult &result) {
        if (draining && result.verdict == Verdict::Answered && result.status < 300) {
            m_drainAnnounced = true;
        }
    });
    m_loop.runAfter(kAnnounceMs, [this] { announce(); });
}

void BackendStandin::drain()
{
    const TimeMs since = monotonicMs();
    m_drainingSince = since;
    m_draining = true;
    if (m_settings.nodeAdmin.port != 0) {
        m_loop.post([this] { announce(); });
    }
    while (true) {
        const TimeMs now = monotonicMs();
        const bool announced = m_drainAnnounced || m_settings.nodeAdmin.port == 0 || now - since > 3 * kAnnounceMs;
        if (announced && now - since >= m_settings.lingerMs && m_held == 0
            && now - std::max<TimeMs>(m_lastWork, since) >= kQuietMs) {
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
    const Behaviour faults = behaviour();
    if (happens(faults.closeBeforePercent)) {
        call.responder->sendRawAndClose({});
    } else if (happens(faults.shedPercent)) {
        call.responder->send(503, {{"Fulmarledge-Verdict", "not-run"}}, "shed\n");
    } else {
        hold(std::move(call));
    }
}

void BackendStandin::onControl(HttpCall &call)
{
    const Behaviour faults = behaviour();
    if (call.path == "/standin/behaviour" && call.method == "PUT") {
        setBehaviour(call);
    } else if (call.path == "/standin/executions") {
        call.responder->send(200, {{"Content-Type", "application/json"}}, executions());
    } else if (call.path == "/health") {
        const std::string seen = faults.announceState.empty() ? state() : faults.announceState;
        call.responder->send(seen == "serving" ? 200 : 503, {}, seen + "\n");
    } else if (call.path == "/load") {
        const std::int64_t seen = faults.announceLoad < 0 ? m_held.load() : faults.announceLoad;
        call.responder->send(200, {}, std::to_string(seen) + "\n");
    } else {
        call.responder->send(404, {}, "unknown control path\n");
    }
}

void BackendStandin::setBehaviour(HttpCall &call)
{
    try {
        const Json json = Json::parse(call.body);
        Behaviour next;
        next.delayMs = json.value("delay_ms", next.delayMs);
        next.lateMs = json.value("late_ms", next.lateMs);
        next.shedPercent = json.value("shed_percent", next.shedPercent);
        next.closeBeforePercent = json.value("close_before_percent", next.closeBeforePercent);
        next.closeAfterPercent = json.value("close_after_percent", next.closeAfterPercent);
        next.truncatePercent = json.value("truncate_percent", next.truncatePercent);
        next.silentPercent = json.value("silent_percent", next.silentPercent);
        next.announceState = json.value("announce_state", next.announceState);
        next.announceLoad = json.value("announce_load", next.announceLoad);
        const std::lock_guard lock(m_mutex);
        m_behaviour = next;
    } catch (const Json::exception &error) {
        call.responder->send(400, {}, std::string(error.what()) + "\n");
        return;
    }
    call.responder->send(204, {}, {});
}

std::string BackendStandin::executions()
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

void BackendStandin::record(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    ++m_executed;
    if (!id.empty() && m_executions.size() < kMaxRecorded) {
        ++m_executions[id];
    }
}

void BackendStandin::hold(HttpCall call)
{
    const std::int64_t held = ++m_held;
    for (std::int64_t peak = m_peakHeld; peak < held && !m_peakHeld.compare_exchange_weak(peak, held);) {
    }
    const TimeMs now = monotonicMs();
    m_lastWork = now;
    if (m_draining) {
        m_lastNewWorkMs = now - m_drainingSince;
    }
    const Behaviour faults = behaviour();
    auto job = std::make_shared<Job>();
    job->id = fieldValue(call.fields, "Fulmarledge-Request-Id");
    job->tookMs = m_settings.serviceMs + faults.delayMs;
    job->lateMs = faults.lateMs;
    job->closeAfter = happens(faults.closeAfterPercent);
    job->truncate = happens(faults.truncatePercent);
    job->silent = happens(faults.silentPercent);
    job->payload = payloadBytes(call.query);
    job->call = std::move(call);
    if (job->tookMs == 0 && job->lateMs == 0 && !job->silent) {
        record(job->id);
        answer(job);
        return;
    }
    m_loop.post([this, job] {
        m_waiting.push_back(job);
        if (job->lateMs == 0) {
            job->call.responder->onClosed([this, job] { m_loop.post([this, job] { stop(job); }); });
        }
        startNext();
    });
}

void BackendStandin::startNext()
{
    while (m_running < m_settings.slots && !m_waiting.empty()) {
        const std::shared_ptr<Job> job = std::move(m_waiting.front());
        m_waiting.pop_front();
        if (!job->over) {
            start(job);
        }
    }
}

void BackendStandin::start(const std::shared_ptr<Job> &job)
{
    ++m_running;
    job->running = true;
    record(job->id);
    if (!job->silent) {
        job->timer = m_loop.runAfter(job->tookMs, [this, job] { finish(job); });
    }
    // The deadline is the time that the caller still waits. Work after it would be wasted, so the job is stopped.
    const std::string_view deadline = fieldValue(job->call.fields, "Fulmarledge-Deadline-Ms");
    const auto left = numberOr<std::int64_t>(deadline, kLongestDeadlineMs);
    if (job->lateMs == 0 && (left < job->tookMs || job->silent)) {
        m_loop.runAfter(left, [this, job] { stop(job); });
    }
}

void BackendStandin::stop(const std::shared_ptr<Job> &job)
{
    if (job->over) {
        return;
    }
    m_loop.cancel(job->timer);
    freeSlot(job);
    const std::lock_guard lock(m_mutex);
    ++m_cancelled;
}

void BackendStandin::freeSlot(const std::shared_ptr<Job> &job)
{
    job->over = true;
    --m_held;
    m_lastWork = monotonicMs();
    if (job->running) {
        --m_running;
        startNext();
    }
}

void BackendStandin::finish(const std::shared_ptr<Job> &job)
{
    if (job->over) {
        return;
    }
    freeSlot(job);
    if (job->lateMs > 0) {
        m_loop.runAfter(job->lateMs, [this, job] { answer(job); });
        return;
    }
    answer(job);
}

void BackendStandin::answer(const std::shared_ptr<Job> &job)
{
    if (!job->over) {
        job->over = true;
        --m_held;
    }
    std::string body = answerBody(job->id, job->payload);
    HttpResponder &responder = *job->call.responder;
    if (job->closeAfter) {
        responder.sendRawAndClose({});
    } else if (job->truncate) {
        responder.sendRawAndClose("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                                  + body.substr(0, body.size() / 2));
    } else {
        responder.send(200, {{"Content-Type", "text/plain"}}, std::move(body));
    }
}

} // namespace fulmarledge
