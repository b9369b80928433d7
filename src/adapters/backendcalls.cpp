#include "backendcalls_p.h"

#include <algorithm>
#include <utility>

#include "requestheaders.h"

namespace fulmarledge {

namespace {

/// Idle connections to the backend server kept by one thread. Several times the usual number of slots, because a
/// restarted backend server leaves closed connections behind until they are noticed.
constexpr long kIdleConnections = 64;
constexpr int kServiceUnavailable = 503;

bool isShed(const HttpResult &result)
{
    return result.status == kServiceUnavailable && fieldValue(result.fields, "Fulmarledge-Verdict") == "not-run";
}

wire::HopResponse toResponse(HttpResult &&result, bool head)
{
    wire::HopResponse response;
    if (result.verdict == Verdict::Answered && isShed(result)) {
        response = refusal(Verdict::NotRun, Reason::ShedLoad, 0);
    } else {
        response = refusal(result.verdict, result.reason, 0);
    }
    if (result.verdict != Verdict::Answered) {
        return response;
    }
    response.__set_status(result.status);
    response.__set_fields(endToEndFields(result.fields));
    const std::string_view length = fieldValue(result.fields, "Content-Length");
    if (head && !length.empty()) {
        wire::HttpField &field = response.fields.emplace_back();
        field.name = "Content-Length";
        field.value = length;
    }
    response.body = std::move(result.body);
    return response;
}

} // namespace

BackendCalls::BackendCalls(IoLoop &loop, LocalBackend &backend, std::size_t maxAnswerBytes)
    : m_loop(loop)
    , m_backend(backend)
    , m_maxAnswerBytes(maxAnswerBytes)
    , m_client(loop, kIdleConnections)
{
}

BackendCalls::~BackendCalls()
{
    *m_alive = false;
    m_loop.cancel(m_wakeup);
}

std::uint64_t BackendCalls::execute(wire::HopRequest request, TimeMs deadline, Done done)
{
    const std::uint64_t id = m_nextId++;
    Admission admission
        = m_backend.admit(request, deadline, monotonicMs(), [this, id, alive = m_alive](const GuardDecision &decision) {
              m_loop.post([this, id, alive, decision] {
                  if (*alive) {
                      resume(id, decision);
                  }
              });
          });
    Job &job = m_jobs[id];
    job.request = std::move(request);
    job.deadline = deadline;
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
    m_backend.release(found->second.key, monotonicMs());
    finish(id, refusal(Verdict::NotRun, decision.reason, decision.retryAfterMs));
}

void BackendCalls::dispatch(std::uint64_t id)
{
    Job &job = m_jobs[id];
    job.running = true;
    job.head = job.request.method == "HEAD";
    const TimeMs left = std::max<TimeMs>(job.deadline - monotonicMs(), 1);
    HttpRequest request;
    request.method = std::move(job.request.method);
    request.url = m_backend.baseUrl() + job.request.target;
    request.fields.reserve(job.request.fields.size() + 2);
    for (wire::HttpField &field : job.request.fields) {
        request.fields.emplace_back(std::move(field.name), std::move(field.value));
    }
    request.fields.emplace_back("Fulmarledge-Request-Id", job.request.requestId);
    request.fields.emplace_back("Fulmarledge-Deadline-Ms", std::to_string(left));
    request.body = std::move(job.request.body);
    request.timeoutMs = left;
    request.maxBodyBytes = m_maxAnswerBytes;
    job.transfer
        = m_client.send(std::move(request), [this, id](HttpResult result) { onResult(id, std::move(result)); });
}

void BackendCalls::onResult(std::uint64_t id, HttpResult result)
{
    const Job &job = m_jobs[id];
    wire::HopResponse response = toResponse(std::move(result), job.head);
    m_backend.finish(job.entry, job.key, response, monotonicMs());
    finish(id, std::move(response));
}

void BackendCalls::finish(std::uint64_t id, wire::HopResponse response)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return;
    }
    const Done done = std::move(found->second.done);
    m_jobs.erase(found);
    response.__set_outstanding(
        static_cast<std::int32_t>(m_backend.gauge()->outstanding.load(std::memory_order_relaxed)));
    done(std::move(response));
}

void BackendCalls::cancel(std::uint64_t id)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return;
    }
    const Job job = std::move(found->second);
    m_jobs.erase(found);
    if (job.running) {
        m_client.cancel(job.transfer);
    }
    if (isValid(job.entry)) {
        m_backend.cancel(job.entry, job.key, job.running, monotonicMs());
    }
}

void BackendCalls::armWakeup()
{
    const std::optional<TimeMs> due = m_backend.nextWakeup();
    if (!due || (m_wakeupAt != 0 && m_wakeupAt <= *due)) {
        return;
    }
    m_loop.cancel(m_wakeup);
    m_wakeupAt = *due;
    m_wakeup = m_loop.runAfter(*due - monotonicMs(), [this] {
        m_wakeup = {};
        m_wakeupAt = 0;
        m_backend.poll(monotonicMs());
        armWakeup();
    });
}

} // namespace fulmarledge
