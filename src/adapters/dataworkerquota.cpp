#include <string>

#include "dataworker_p.h"

namespace fulmarledge {

namespace {

constexpr int kTooManyRequests = 429;

} // namespace

bool DataWorker::takeQuota(std::uint64_t id, ActiveRequest &active)
{
    const QuotaAccess &quotas = active.routing->quotas;
    if (quotas.limiter == nullptr || active.organisation.get() == nullptr) {
        return true;
    }
    const TimeMs now = monotonicMs();
    const TimeMs waitedMs = active.quotaWaitFrom > 0 ? now - active.quotaWaitFrom : 0;
    const QuotaDecision decision
        = quotas.limiter->admit(*quotas.table, active.organisation.handle().idx, now, waitedMs);
    switch (decision.outcome) {
    case QuotaOutcome::Admitted:
        active.holdsQuota = true;
        active.quotaOrganisation = active.organisation.handle().idx;
        return true;
    case QuotaOutcome::Wait:
        if (active.quotaWaitFrom == 0) {
            active.quotaWaitFrom = now;
        }
        // Limits and keys may change meanwhile, so the request is looked up again.
        m_loop.runAfter(decision.waitMs, [this, id] {
            const auto found = m_activeRequests.find(id);
            if (found != m_activeRequests.end()) {
                routeRequest(id, found->second);
            }
        });
        return false;
    case QuotaOutcome::Refused:
        break;
    }
    sendRefusal(m_state, active.request->call, kTooManyRequests, Reason::QuotaExceeded,
                "the organisation has used up its limit", active.request->fields.requestId, decision.waitMs);
    endUnstarted(id, active);
    return false;
}

void DataWorker::returnQuota(ActiveRequest &active, Reason reason)
{
    if (!active.holdsQuota) {
        return;
    }
    active.holdsQuota = false;
    active.routing->quotas.limiter->giveBack(*active.routing->quotas.table, active.quotaOrganisation, monotonicMs());
    m_state.quotaReturned[static_cast<std::size_t>(reason)].fetch_add(1, std::memory_order_relaxed);
}

void DataWorker::endUnstarted(std::uint64_t id, const ActiveRequest &active)
{
    m_state.outstanding.fetch_sub(1, std::memory_order_relaxed);
    m_state.outstandingBytes.fetch_sub(active.request->call.body.size(), std::memory_order_relaxed);
    m_activeRequests.erase(id);
}

} // namespace fulmarledge
