#include <string>

#include "dataworker_p.h"

namespace fulmarledge {

namespace {

constexpr int kFirstServerError = 500;

} // namespace

std::string DataWorker::requestLogFields(const ActiveRequest &active, TimeMs now) const
{
    const OrganisationTable::Organisation *organisation = active.organisation.get();
    return "at=entry request=" + active.request->fields.requestId + " peer=" + active.request->call.peerIp
        + (organisation != nullptr ? " organisation=" + organisation->name : std::string()) + " route="
        + active.routeKey + " kind=" + std::string(requestKindName(active.kind)) + " service=" + active.serviceName
        + " version=" + std::to_string(active.version) + " attempts=" + std::to_string(active.session->attempts())
        + " last_host=" + active.lastHost + " age_ms=" + std::to_string(now - active.request->receivedAt)
        + " left_ms=" + std::to_string(active.deadline - now);
}

void DataWorker::logRetry(const ActiveRequest &active, TimeMs delayMs)
{
    const TimeMs now = monotonicMs();
    if (m_state.decisions.admitFailure(now)) {
        m_state.decisions.write(requestLogFields(active, now) + " outcome=retry reason="
                                + std::string(reasonName(active.lastReason)) + " delay_ms=" + std::to_string(delayMs));
    }
}

void DataWorker::logAnswer(const ActiveRequest &active, const SessionAction &action, TimeMs now)
{
    const bool succeeded = action.verdict == Verdict::Answered && action.status < kFirstServerError;
    if (succeeded ? !m_state.decisions.sampleAnswered() : !m_state.decisions.admitFailure(now)) {
        return;
    }
    m_state.decisions.write(requestLogFields(active, now) + " outcome=" + std::string(verdictName(action.verdict))
                            + " reason=" + std::string(reasonName(action.reason)) + " last_reason="
                            + std::string(reasonName(active.lastReason)) + " status=" + std::to_string(action.status)
                            + " retry_after_ms=" + std::to_string(action.retryAfterMs));
}

} // namespace fulmarledge
