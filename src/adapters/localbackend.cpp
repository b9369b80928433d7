#include "localbackend_p.h"

#include <charconv>
#include <utility>
#include <vector>

namespace fulmarledge {

namespace {

/// Number in the field `Fulmarledge-Attempt`, or 1 without one.
std::uint32_t attemptNumber(const wire::HopRequest &request)
{
    for (const wire::HttpField &field : request.fields) {
        if (field.name == "Fulmarledge-Attempt") {
            std::uint32_t attempt = 1;
            std::from_chars(field.value.data(), field.value.data() + field.value.size(), attempt);
            return attempt;
        }
    }
    return 1;
}

} // namespace

wire::HopResponse refusal(Verdict verdict, Reason reason, TimeMs retryAfterMs)
{
    wire::HopResponse response;
    response.__set_verdict(static_cast<wire::Verdict::type>(verdict));
    response.__set_reason(static_cast<std::int32_t>(reason));
    response.__set_retryAfterMs(static_cast<std::int32_t>(retryAfterMs));
    return response;
}

LocalBackend::LocalBackend(TimeMs now, const GuardConfig &guard)
    : m_guard(guard)
    , m_gauge(m_guard.gauge())
    , m_keys(now)
{
}

void LocalBackend::applyAnnouncement(const SocketAddress &address, const std::string &serviceName, std::uint32_t slots,
                                     wire::HostState::type state, TimeMs now, const std::string &instance)
{
    m_refusedConnections.store(0, std::memory_order_relaxed);
    Lock lock(m_mutex);
    if (m_address != address) {
        m_address = address;
        m_baseUrl = "http://" + address.ip + ":" + std::to_string(address.port);
    }
    m_instance = instance;
    const bool changed = state != m_state || serviceName != m_service || slots != m_slots;
    if (serviceName != m_service) {
        m_possibleKeyOwners.clear();
        m_keys.ownershipChanged(now);
    }
    m_state = state;
    m_service = serviceName;
    m_slots = slots;
    if (!changed || m_draining) {
        return;
    }
    if (state == wire::HostState::Serving) {
        m_guard.serve(serviceName, slots, now);
    } else {
        m_guard.drain();
    }
    reportDecisions(lock, now);
}

void LocalBackend::updateKeyOwners(const Snapshot &snapshot, TimeMs now)
{
    const Lock lock(m_mutex);
    std::vector<std::string> possibleOwners;
    const ServiceHandle service = snapshot.findService(m_service);
    if (isValid(service)) {
        for (const SnapshotBackend &backend : snapshot.backends(service)) {
            if (backend.record && backend.record->state == wire::HostState::Serving
                && backend.record->liveness != wire::Liveness::Dead) {
                possibleOwners.push_back(backend.host);
            }
        }
    }
    // Only a change of this service's hosts moves keys. In a large fleet some host is always changing. If each change
    // of the host table made unknown keys uncertain, a request that is marked as a repeat would never be executed.
    if (possibleOwners != m_possibleKeyOwners) {
        m_possibleKeyOwners = std::move(possibleOwners);
        m_keys.ownershipChanged(now);
    }
}

void LocalBackend::drain(std::function<void()> onIdle, TimeMs now)
{
    Lock lock(m_mutex);
    m_draining = true;
    m_onIdle = std::move(onIdle);
    m_guard.drain();
    reportDecisions(lock, now);
}

std::optional<Admission> LocalBackend::beginKeyedExecution(const wire::HopRequest &request, TimeMs now, KeyEntryId &key)
{
    if (request.idempotencyKey.empty()) {
        return std::nullopt;
    }
    KeyedRequest keyed;
    keyed.service = request.serviceName;
    keyed.key = request.idempotencyKey;
    keyed.fingerprint = requestFingerprint(request.method, request.target, request.body);
    keyed.attempt = attemptNumber(request);
    const KeyDecision decision = m_keys.begin(keyed, now);
    if (decision.action == KeyAction::Execute) {
        key = decision.id;
        return std::nullopt;
    }
    Admission admission;
    admission.answer = refusal(decision.verdict, decision.reason, decision.retryAfterMs);
    admission.answer.__set_status(decision.status);
    if (decision.action == KeyAction::Replay) {
        admission.answer.__set_fields(decision.answer->fields);
        admission.answer.__set_body(decision.answer->body);
    }
    return admission;
}

Admission LocalBackend::admit(const wire::HopRequest &request, bool remote, TimeMs deadline, TimeMs now, Resume resume)
{
    Lock lock(m_mutex);
    Admission admission;
    if (std::optional<Admission> keyAnswer = beginKeyedExecution(request, now, admission.key)) {
        keyAnswer->answer.__set_outstanding(static_cast<std::int32_t>(m_guard.running() + m_guard.waiting()));
        return std::move(*keyAnswer);
    }
    GuardRequest guardRequest;
    guardRequest.service = request.serviceName;
    guardRequest.caller = request.caller;
    guardRequest.serviceClass = request.bulk && !request.__isset.kind ? ServiceClass::Bulk : ServiceClass::Interactive;
    guardRequest.deadline = deadline;
    guardRequest.usesLink = remote && request.bulk;
    guardRequest.fromOtherZone = request.__isset.fromOtherZone && request.fromOtherZone;
    if (request.__isset.rank) {
        guardRequest.rank = static_cast<std::uint32_t>(std::max(request.rank, 0));
    }
    if (request.__isset.kind) {
        guardRequest.kind = static_cast<std::uint64_t>(request.kind);
    }
    if (request.__isset.objectiveMs && request.objectiveMs > 0) {
        guardRequest.objectiveMs = request.objectiveMs;
        guardRequest.objectiveDeadline = now + request.objectiveLeftMs;
    }
    if (request.__isset.spillLeftMs) {
        guardRequest.spillDeadline = now + request.spillLeftMs;
    }
    const GuardDecision decision = m_guard.submit(guardRequest, now);
    admission.entry = decision.id;
    if (decision.state == GuardState::Run) {
        admission.state = AdmissionState::Run;
    } else if (decision.state == GuardState::Wait) {
        admission.state = AdmissionState::Wait;
        m_waiting.emplace(decision.id.value, std::move(resume));
    } else {
        admission.answer = refusal(Verdict::NotRun, decision.reason, decision.retryAfterMs);
        admission.answer.__set_outstanding(static_cast<std::int32_t>(m_guard.running() + m_guard.waiting()));
        finishKey(admission.key, admission.answer, now);
    }
    reportDecisions(lock, now);
    return admission;
}

void LocalBackend::finishKey(KeyEntryId key, const wire::HopResponse &response, TimeMs now)
{
    if (isValid(key)) {
        m_keys.finish(key, static_cast<Verdict>(response.verdict), {response.status, response.fields, response.body},
                      now);
    }
}

void LocalBackend::finish(GuardEntryId entry, KeyEntryId key, const wire::HopResponse &response, TimeMs now)
{
    if (static_cast<Reason>(response.reason) == Reason::ConnectFailed) {
        m_refusedConnections.fetch_add(1, std::memory_order_relaxed);
    } else {
        m_refusedConnections.store(0, std::memory_order_relaxed);
    }
    Lock lock(m_mutex);
    finishKey(key, response, now);
    m_guard.finish(entry, response.verdict == wire::Verdict::Answered, now, response.body.size());
    reportDecisions(lock, now);
}

void LocalBackend::reportSpeed(std::uint32_t percent, TimeMs now)
{
    const Lock lock(m_mutex);
    m_guard.reportSpeed(percent, now);
}

void LocalBackend::releaseKey(KeyEntryId key, TimeMs now)
{
    const Lock lock(m_mutex);
    finishKey(key, refusal(Verdict::NotRun, Reason::None, 0), now);
}

void LocalBackend::cancel(GuardEntryId entry, KeyEntryId key, bool dispatched, TimeMs now)
{
    Lock lock(m_mutex);
    finishKey(key, refusal(dispatched ? Verdict::MayHaveRun : Verdict::NotRun, Reason::CallerGone, 0), now);
    if (m_guard.cancel(entry) == GuardCancelResult::Running) {
        m_guard.finish(entry, false, now);
    }
    m_waiting.erase(entry.value);
    reportDecisions(lock, now);
}

void LocalBackend::poll(TimeMs now)
{
    Lock lock(m_mutex);
    reportDecisions(lock, now);
}

void LocalBackend::reportDecisions(Lock &lock, TimeMs now)
{
    std::vector<std::pair<Resume, GuardDecision>> resumed;
    while (const std::optional<GuardDecision> decision = m_guard.nextDecision(now)) {
        const auto found = m_waiting.find(decision->id.value);
        if (found != m_waiting.end()) {
            resumed.emplace_back(std::move(found->second), *decision);
            m_waiting.erase(found);
        } else if (decision->state == GuardState::Run) {
            m_guard.finish(decision->id, false, now);
        }
    }
    std::function<void()> onIdle;
    if (m_draining && m_guard.isIdle()) {
        onIdle.swap(m_onIdle);
    }
    lock.unlock();
    for (const auto &[resume, decision] : resumed) {
        resume(decision);
    }
    if (onIdle) {
        onIdle();
    }
}

std::optional<TimeMs> LocalBackend::nextWakeup()
{
    const Lock lock(m_mutex);
    return m_waiting.empty() ? std::nullopt : m_guard.nextWakeup();
}

std::string LocalBackend::baseUrl()
{
    const Lock lock(m_mutex);
    return m_baseUrl;
}

std::string LocalBackend::instance()
{
    const Lock lock(m_mutex);
    return m_instance;
}

std::uint32_t LocalBackend::slots()
{
    const Lock lock(m_mutex);
    return m_slots;
}

} // namespace fulmarledge
