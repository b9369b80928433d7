#include "fulmarledge/idempotency.h"

#include <utility>
#include <xxhash.h>

namespace fulmarledge {

namespace {

constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr int kUnavailable = 503;
constexpr int kBadGateway = 502;
/// Retry-After when a running execution has to end first.
constexpr TimeMs kRunningRetryMs = 1000;

KeyDecision refusal(Verdict verdict, Reason reason, int status, TimeMs retryAfterMs = 0)
{
    return {KeyAction::Refuse, verdict, reason, status, retryAfterMs, {}, nullptr};
}

std::size_t sizeOf(const StoredAnswer &answer)
{
    std::size_t bytes = answer.body.size();
    for (const wire::HttpField &field : answer.fields) {
        bytes += field.name.size() + field.value.size();
    }
    return bytes;
}

} // namespace

std::uint64_t requestFingerprint(std::string_view method, std::string_view target, std::string_view body)
{
    const std::uint64_t methodHash = XXH3_64bits(method.data(), method.size());
    const std::uint64_t targetHash = XXH3_64bits_withSeed(target.data(), target.size(), methodHash);
    return XXH3_64bits_withSeed(body.data(), body.size(), targetHash);
}

IdempotencyTable::IdempotencyTable(TimeMs now, const IdempotencyConfig &config)
    : m_config(config)
    , m_completeSince(now)
{
}

void IdempotencyTable::ownershipChanged(TimeMs now)
{
    m_completeSince = now;
}

KeyDecision IdempotencyTable::begin(const KeyedRequest &request, TimeMs now)
{
    removeExpired(now);
    if (request.key.empty() || request.key.size() > m_config.maxKeyBytes) {
        return refusal(Verdict::NotRun, Reason::BadHeader, kBadRequest);
    }
    std::string tableKey;
    tableKey.reserve(request.service.size() + 1 + request.key.size());
    tableKey.append(request.service).append(1, '\0').append(request.key);
    const auto found = m_keys.find(tableKey);
    if (found != m_keys.end()) {
        return decideRepeat(found->second, request);
    }
    const bool full = m_keys.size() >= m_config.maxKeys;
    if (request.attempt >= 2 && !coversRetentionTime(now)) {
        // If there is room, the key is kept with an unknown outcome, so that an unmarked repeat is not executed either.
        if (!full) {
            Map::value_type &entry = addEntry(std::move(tableKey), request.fingerprint, State::Unknown);
            m_ended.push_back({now + m_config.retentionMs, &entry.first});
        }
        return refusal(Verdict::MayHaveRun, Reason::OutcomeUnknown, kBadGateway);
    }
    if (full) {
        return refusal(Verdict::NotRun, Reason::KeyTableFull, kUnavailable,
                       m_ended.empty() ? kRunningRetryMs : m_ended.front().expires - now);
    }
    Map::value_type &entry = addEntry(std::move(tableKey), request.fingerprint, State::Running);
    m_running.emplace(entry.second.id.value, &entry);
    return {KeyAction::Execute, Verdict::NotRun, Reason::None, 0, 0, entry.second.id, nullptr};
}

KeyDecision IdempotencyTable::decideRepeat(const Entry &entry, const KeyedRequest &request) const
{
    if (entry.fingerprint != request.fingerprint) {
        return refusal(Verdict::NotRun, Reason::KeyReused, kUnprocessable);
    }
    switch (entry.state) {
    case State::Running:
        // The repeat is not executed, but the verdict describes the caller's operation, which is already running.
        return refusal(Verdict::MayHaveRun, Reason::DuplicateInProgress, kConflict, kRunningRetryMs);
    case State::Answered:
        return {KeyAction::Replay, Verdict::Answered, Reason::None, entry.answer.status, 0, {}, &entry.answer};
    case State::AnswerNotKept:
        return refusal(Verdict::MayHaveRun, Reason::AnswerNotKept, kConflict);
    case State::Unknown:
        break;
    }
    return refusal(Verdict::MayHaveRun, Reason::OutcomeUnknown, kBadGateway);
}

void IdempotencyTable::finish(KeyEntryId id, Verdict verdict, StoredAnswer answer, TimeMs now)
{
    const auto running = m_running.find(id.value);
    if (running == m_running.end()) {
        return;
    }
    Map::value_type &entry = *running->second;
    m_running.erase(running);
    if (verdict == Verdict::NotRun) {
        m_keys.erase(m_keys.find(entry.first));
        return;
    }
    if (verdict == Verdict::MayHaveRun) {
        entry.second.state = State::Unknown;
    } else if (sizeOf(answer) > m_config.maxAnswerBytes) {
        entry.second.state = State::AnswerNotKept;
    } else {
        entry.second.state = State::Answered;
        entry.second.answer = std::move(answer);
    }
    m_ended.push_back({now + m_config.retentionMs, &entry.first});
}

void IdempotencyTable::removeExpired(TimeMs now)
{
    while (!m_ended.empty() && m_ended.front().expires <= now) {
        m_keys.erase(m_keys.find(*m_ended.front().key));
        m_ended.pop_front();
    }
}

IdempotencyTable::Map::value_type &IdempotencyTable::addEntry(std::string tableKey, std::uint64_t fingerprint,
                                                              State state)
{
    Entry entry;
    entry.id = {++m_lastId};
    entry.fingerprint = fingerprint;
    entry.state = state;
    return *m_keys.emplace(std::move(tableKey), std::move(entry)).first;
}

} // namespace fulmarledge
