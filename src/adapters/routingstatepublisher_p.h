#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "fulmarledge/balancer.h"
#include "fulmarledge/quota.h"
#include "fulmarledge/retry.h"

namespace fulmarledge {

/// What new requests are routed with: the balancer's view and the retry budget of each service.
struct RoutingState {
    std::shared_ptr<const BalancerView> view;
    std::vector<std::shared_ptr<RetryBudget>> budgets; ///< by ServiceHandle
    QuotaAccess quotas; ///< by OrganisationHandle of the view's snapshot
};

/// Publishes the routing state by read-copy-update. Readers take no lock.
class RoutingStatePublisher
{
public:
    RoutingStatePublisher(std::string host, std::string zone, std::shared_ptr<const SlotGauge> ownSlots,
                          const BalancerConfig &balancer, const RetryConfig &retry,
                          std::shared_ptr<const RetryAllowance> allowance = {});
    ~RoutingStatePublisher();
    RoutingStatePublisher(const RoutingStatePublisher &) = delete;
    RoutingStatePublisher &operator=(const RoutingStatePublisher &) = delete;

    /// Replaces the state by one built from `snapshot`. Services keep their retry budgets.
    /// @return false, with nothing changed, for an inconsistent snapshot or an older version
    bool publish(std::shared_ptr<const Snapshot> snapshot, TimeMs now, QuotaAccess quotas = {});
    /// The current state, or nullptr before the first publication.
    std::shared_ptr<const RoutingState> current() const;

private:
    using StatePtr = std::shared_ptr<const RoutingState>;

    std::mutex m_mutex;
    Balancer m_balancer;
    RetryConfig m_retry;
    std::shared_ptr<const RetryAllowance> m_allowance;
    std::map<std::string, std::shared_ptr<RetryBudget>, std::less<>> m_budgets; ///< by service name
    std::atomic<const StatePtr *> m_current{nullptr};
};

} // namespace fulmarledge
