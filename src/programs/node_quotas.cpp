#include "node_quotas.h"

namespace fulmarledge {

void exportQuotas(const ControlNode &control, const RequestPathStats &stats, Metrics &metrics)
{
    if (control.quotas() == nullptr) {
        return;
    }
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    for (const QuotaState &state : control.quotas()->states()) {
        admitted += state.admitted;
        refused += state.refused;
    }
    metrics.gauge("quota-requests", "admitted", static_cast<double>(admitted));
    metrics.gauge("quota-requests", "refused", static_cast<double>(refused));
    for (std::size_t i = 0; i < stats.quotaReturned.size(); ++i) {
        if (stats.quotaReturned[i] > 0) {
            metrics.gauge("quota-returned", reasonName(static_cast<Reason>(i)),
                          static_cast<double>(stats.quotaReturned[i]));
        }
    }
}

} // namespace fulmarledge
