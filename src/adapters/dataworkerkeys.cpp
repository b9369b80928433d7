#include <string>
#include <vector>

#include "dataworker_p.h"

namespace fulmarledge {

bool DataWorker::recheckKey(ActiveRequest &active, const Snapshot &snapshot)
{
    if (snapshot.organisations()->isEmpty()) {
        active.organisation.clear();
        return true;
    }
    const HttpCall &call = active.request->call;
    const RouteHandle route = snapshot.routes().find(fieldValue(call.fields, "Host"), call.path);
    return active.organisation.assign(snapshot, route, active.request->fields.organisationKey);
}

void DataWorker::refuseWithdrawnKey(std::uint64_t id, ActiveRequest &active)
{
    const bool attemptWaits = active.localCall != 0 && m_calls.isWaiting(active.localCall);
    applyActions(id, active.session->keyWithdrawn(attemptWaits, monotonicMs()));
}

void DataWorker::recheckKeys()
{
    m_loop.post([this] {
        const std::shared_ptr<const RoutingState> current = m_state.routingPublisher.current();
        std::vector<std::uint64_t> withdrawn;
        for (auto &[id, active] : m_activeRequests) {
            // A request that is on its way to a backend server keeps the organisation that it was sent with.
            const bool waitsForSlot = active.localCall != 0 && m_calls.isWaiting(active.localCall);
            if (!waitsForSlot && !isValid(active.backoffTimer)) {
                continue;
            }
            if (!recheckKey(active, current->view->snapshot())) {
                withdrawn.push_back(id);
            } else if (waitsForSlot) {
                const OrganisationTable::Organisation *organisation = active.organisation.get();
                m_calls.setOrganisation(active.localCall, organisation != nullptr ? organisation->name : std::string());
            }
        }
        for (const std::uint64_t id : withdrawn) {
            refuseWithdrawnKey(id, m_activeRequests[id]);
        }
    });
}

} // namespace fulmarledge
