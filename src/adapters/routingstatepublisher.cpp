#include <urcu/urcu-memb.h>

#include "routingstatepublisher_p.h"

namespace fulmarledge {

namespace {

/// Registers a thread with liburcu as a reader until the thread ends.
class ThreadRegistration
{
public:
    ThreadRegistration()
    {
        urcu_memb_register_thread();
    }
    ~ThreadRegistration()
    {
        urcu_memb_unregister_thread();
    }
    ThreadRegistration(const ThreadRegistration &) = delete;
    ThreadRegistration &operator=(const ThreadRegistration &) = delete;
};

} // namespace

RoutingStatePublisher::RoutingStatePublisher(std::string host, std::string zone,
                                             std::shared_ptr<const SlotGauge> ownSlots, const BalancerConfig &balancer,
                                             const RetryConfig &retry, std::shared_ptr<const RetryAllowance> allowance)
    : m_balancer(std::move(host), std::move(zone), std::move(ownSlots), balancer)
    , m_retry(retry)
    , m_allowance(std::move(allowance))
{
}

RoutingStatePublisher::~RoutingStatePublisher()
{
    const StatePtr *last = m_current.exchange(nullptr);
    urcu_memb_synchronize_rcu();
    delete last;
}

bool RoutingStatePublisher::publish(std::shared_ptr<const Snapshot> snapshot, TimeMs now, QuotaAccess quotas)
{
    if (!snapshot || !snapshot->isConsistent()) {
        return false;
    }
    const std::lock_guard lock(m_mutex);
    const StatePtr *previous = m_current.load(std::memory_order_relaxed);
    if (previous != nullptr && snapshot->version() < (*previous)->view->snapshot().version()) {
        return false;
    }
    auto state = std::make_shared<RoutingState>();
    std::map<std::string, std::shared_ptr<RetryBudget>, std::less<>> budgets;
    for (const SnapshotService &service : snapshot->services()) {
        std::shared_ptr<RetryBudget> &budget = budgets[service.spec.name];
        const auto known = m_budgets.find(service.spec.name);
        budget = known != m_budgets.end() ? known->second : std::make_shared<RetryBudget>(m_retry, m_allowance);
        state->budgets.push_back(budget);
    }
    m_budgets = std::move(budgets);
    state->quotas = std::move(quotas);
    state->view = m_balancer.buildView(std::move(snapshot), now);
    m_current.store(new StatePtr(std::move(state)), std::memory_order_release);
    urcu_memb_synchronize_rcu();
    delete previous;
    return true;
}

std::shared_ptr<const RoutingState> RoutingStatePublisher::current() const
{
    thread_local const ThreadRegistration kRegistration;
    urcu_memb_read_lock();
    const StatePtr *published = m_current.load(std::memory_order_acquire);
    std::shared_ptr<const RoutingState> state = published != nullptr ? *published : nullptr;
    urcu_memb_read_unlock();
    return state;
}

} // namespace fulmarledge
