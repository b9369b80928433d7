#include "backendcalls_p.h"

#include <algorithm>
#include <utility>

#include <charconv>

namespace fulmarledge {

namespace {

/// Idle connections to the backend server that each thread keeps. Several times the usual number of slots, because
/// connections closed by a restart of the backend server take up places until they are noticed.
constexpr long kMaxIdleConnections = 64;
/// Time before the backend server may close an idle connection during which it is no longer used. Otherwise the server
/// could close it just as a request is sent.
constexpr long kKeepAliveMarginSeconds = 2;

/// Seconds N of the header field "Keep-Alive: timeout=N", or 0 without one.
long keepAliveSeconds(const HttpFields &fields)
{
    static constexpr std::string_view kTimeout = "timeout=";
    const std::string_view text = fieldValue(fields, "Keep-Alive");
    const std::size_t start = text.find(kTimeout);
    long seconds = 0;
    if (start != std::string_view::npos) {
        const std::string_view digits = text.substr(start + kTimeout.size());
        std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    }
    return seconds;
}

wire::HopResponse toResponse(HttpResult &&result, const AnswerClassification &judgement, const RequestDialect &dialect,
                             bool isHead)
{
    if (result.verdict != Verdict::Answered && !result.headerRejected) {
        return refusal(result.verdict, result.reason, 0);
    }
    wire::HopResponse response = refusal(judgement.verdict, judgement.reason, 0);
    if (judgement.verdict != Verdict::Answered) {
        return response;
    }
    response.__set_status(result.status);
    response.__set_fields(endToEndFields(result.fields, dialect));
    const std::string_view contentLength = fieldValue(result.fields, "Content-Length");
    if (isHead && !contentLength.empty()) {
        addField(response.fields, "Content-Length", std::string(contentLength));
    }
    response.body = std::move(result.body);
    return response;
}

} // namespace

BackendCalls::BackendCalls(IoLoop &loop, LocalBackend &backend, const RequestDialect &dialect, DecisionLog &decisions,
                           std::size_t maxAnswerBytes, std::shared_ptr<MemoryBudget> answerMemory)
    : m_loop(loop)
    , m_backend(backend)
    , m_dialect(dialect)
    , m_decisions(decisions)
    , m_maxAnswerBytes(maxAnswerBytes)
    , m_client(loop, kMaxIdleConnections, std::move(answerMemory))
{
}

BackendCalls::~BackendCalls()
{
    *m_alive = false;
    m_loop.cancel(m_wakeupTimer);
}

std::uint64_t BackendCalls::execute(wire::HopRequest request, bool remote, TimeMs deadline, Done done)
{
    const std::uint64_t id = m_nextId++;
    const auto onDecision = [this, id, alive = m_alive](const GuardDecision &decision) {
        m_loop.post([this, id, alive, decision] {
            if (*alive) {
                resume(id, decision);
            }
        });
    };
    Admission admission = m_backend.admit(request, remote, deadline, monotonicMs(), onDecision);
    Job &job = m_jobs[id];
    job.request = std::move(request);
    job.deadline = deadline;
    job.receivedAt = monotonicMs();
    job.done = std::move(done);
    job.entry = admission.entry;
    job.key = admission.key;
    if (admission.state == AdmissionState::Run) {
        dispatch(id);
    } else if (admission.state == AdmissionState::Wait) {
        armWakeup();
    } else {
        m_loop.runAfter(0, [this, id, alive = m_alive, answer = std::move(admission.answer)]() mutable {
            if (*alive) {
                finish(id, std::move(answer));
            }
        });
    }
    return id;
}

void BackendCalls::resume(std::uint64_t id, const GuardDecision &decision)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return;
    }
    if (decision.state == GuardState::Run) {
        dispatch(id);
        return;
    }
    m_backend.releaseKey(found->second.key, monotonicMs());
    finish(id, refusal(Verdict::NotRun, decision.reason, decision.retryAfterMs));
}

void BackendCalls::dispatch(std::uint64_t id)
{
    Job &job = m_jobs[id];
    job.dispatched = true;
    job.isHead = job.request.method == "HEAD";
    const TimeMs remainingMs = std::max<TimeMs>(job.deadline - monotonicMs(), 1);
    HttpRequest request;
    request.method = std::move(job.request.method);
    request.url = m_backend.baseUrl() + job.request.target;
    request.fields.reserve(job.request.fields.size() + (job.request.__isset.organisation ? 3 : 2));
    for (wire::HttpField &field : job.request.fields) {
        if (!m_dialect.isOrganisationField(field.name)) {
            request.fields.emplace_back(std::move(field.name), std::move(field.value));
        }
    }
    if (job.request.__isset.hostName) {
        request.fields.emplace_back("Host", job.request.hostName);
    }
    job.instance = m_backend.instance();
    m_dialect.addBackendFields({job.request.requestId, remainingMs, job.instance, job.request.organisation},
                               request.fields);
    request.acceptHeader = [this, id](int status, const HttpFields &fields) {
        // A refusal recognised as NotRun is read to its end, so that the connection can be used again.
        return judge(m_jobs[id], status, fields).verdict != Verdict::MayHaveRun;
    };
    request.maxIdleSeconds = m_keepAliveSeconds > 0 ? std::max(m_keepAliveSeconds - kKeepAliveMarginSeconds, 1L) : 0;
    request.body = std::move(job.request.body);
    request.timeoutMs = remainingMs;
    request.maxBodyBytes = m_maxAnswerBytes;
    job.transfer
        = m_client.send(std::move(request), [this, id](HttpResult result) { onResult(id, std::move(result)); });
}

AnswerClassification BackendCalls::judge(const Job &job, int status, const HttpFields &fields) const
{
    return m_dialect.classifyAnswer(status, fields, {job.request.requestId, 0, job.instance});
}

void BackendCalls::onResult(std::uint64_t id, HttpResult result)
{
    const Job &job = m_jobs[id];
    if (result.verdict == Verdict::Answered) {
        m_keepAliveSeconds = keepAliveSeconds(result.fields);
    }
    const AnswerClassification judgement = judge(job, result.status, result.fields);
    if (const auto speed = m_dialect.readLoad(result.fields).speedPercent) {
        m_backend.reportSpeed(*speed, monotonicMs());
    }
    wire::HopResponse response = toResponse(std::move(result), judgement, m_dialect, job.isHead);
    m_backend.finish(job.entry, job.key, response, monotonicMs());
    finish(id, std::move(response));
}

void BackendCalls::finish(std::uint64_t id, wire::HopResponse response)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return;
    }
    if (response.verdict != wire::Verdict::Answered) {
        logFailure(found->second, response);
    }
    const Done done = std::move(found->second.done);
    m_jobs.erase(found);
    response.__set_outstanding(
        static_cast<std::int32_t>(m_backend.gauge()->outstanding.load(std::memory_order_relaxed)));
    done(std::move(response));
}

void BackendCalls::logFailure(const Job &job, const wire::HopResponse &response)
{
    const TimeMs now = monotonicMs();
    if (!m_decisions.admitFailure(now)) {
        return;
    }
    m_decisions.write(
        "at=guard request=" + job.request.requestId + " service=" + job.request.serviceName
        + (job.request.__isset.organisation ? " organisation=" + job.request.organisation : std::string())
        + " outcome=" + std::string(verdictName(static_cast<Verdict>(response.verdict))) + " reason="
        + std::string(reasonName(static_cast<Reason>(response.reason))) + " sent=" + (job.dispatched ? "yes" : "no")
        + " instance=" + job.instance + " rank=" + std::to_string(job.request.rank)
        + " load=" + std::to_string(m_backend.gauge()->outstanding.load(std::memory_order_relaxed)) + " slots="
        + std::to_string(m_backend.slots()) + " age_ms=" + std::to_string(now - job.receivedAt) + " left_ms="
        + std::to_string(job.deadline - now) + " retry_after_ms=" + std::to_string(response.retryAfterMs));
}

void BackendCalls::cancel(std::uint64_t id)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return;
    }
    const Job job = std::move(found->second);
    m_jobs.erase(found);
    if (job.dispatched) {
        m_client.cancel(job.transfer);
    }
    if (isValid(job.entry)) {
        m_backend.cancel(job.entry, job.key, job.dispatched, monotonicMs());
    }
}

void BackendCalls::refuseWaiting(std::uint64_t id, Reason reason)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || found->second.dispatched || !isValid(found->second.entry)) {
        return;
    }
    m_backend.cancel(found->second.entry, found->second.key, false, monotonicMs());
    finish(id, refusal(Verdict::NotRun, reason, 0));
}

void BackendCalls::setOrganisation(std::uint64_t id, const std::string &name)
{
    const auto found = m_jobs.find(id);
    if (found != m_jobs.end() && !found->second.dispatched) {
        found->second.request.organisation = name;
        found->second.request.__isset.organisation = !name.empty();
    }
}

void BackendCalls::armWakeup()
{
    const std::optional<TimeMs> due = m_backend.nextWakeup();
    if (!due || (m_wakeupAt != 0 && m_wakeupAt <= *due)) {
        return;
    }
    m_loop.cancel(m_wakeupTimer);
    m_wakeupAt = *due;
    m_wakeupTimer = m_loop.runAfter(*due - monotonicMs(), [this] {
        m_wakeupTimer = {};
        m_wakeupAt = 0;
        m_backend.poll(monotonicMs());
        armWakeup();
    });
}

} // namespace fulmarledge
