#include "fulmarledge/balancer.h"

#include <algorithm>
#include <utility>

#include "fulmarledge/memberview.h"
#include "fulmarledge/slotguard.h"

namespace fulmarledge {

namespace {

bool isUsable(const SnapshotBackend &backend)
{
    return backend.role != VersionRole::Unused && backend.record && backend.record->state == wire::HostState::Serving
        && backend.record->liveness != wire::Liveness::Dead;
}

} // namespace

Balancer::Balancer(std::string ownHost, std::string ownZone, std::shared_ptr<const SlotGauge> ownSlots,
                   const BalancerConfig &config)
    : m_ownHost(std::move(ownHost))
    , m_ownZone(std::move(ownZone))
    , m_ownSlots(std::move(ownSlots))
    , m_config(config)
{
}

std::shared_ptr<const BalancerView> Balancer::buildView(std::shared_ptr<const Snapshot> snapshot, TimeMs now)
{
    auto view = std::make_shared<BalancerView>();
    view->m_config = m_config;
    view->m_ownSlots = m_ownSlots;
    view->m_snapshot = std::move(snapshot);
    for (std::uint32_t i = 0; i < view->m_snapshot->services().size(); ++i) {
        addService(*view, {i}, now);
    }
    forgetAbsentHosts(now);
    return view;
}

void Balancer::addService(BalancerView &view, ServiceHandle handle, TimeMs now)
{
    const std::string &service = view.m_snapshot->service(handle).spec.name;
    const auto backends = view.m_snapshot->backends(handle);
    // Slow start protects a host that joins others. If the whole service is new to this node, its hosts share the load
    // evenly from the start.
    const bool serviceIsNew = m_knownServices.insert(service).second;
    BalancerView::Range range{static_cast<std::uint32_t>(view.m_candidates.size()), 0, 0, 0};
    std::vector<BalancerView::Candidate> targets;
    for (const SnapshotBackend &backend : backends) {
        const BackendHandle backendHandle{static_cast<std::uint32_t>(view.m_states.size())};
        const std::shared_ptr<BalancingState> &state = updateHost(backend, service, serviceIsNew, now).state;
        view.m_states.push_back(state);
        view.m_serviceOf.push_back(handle.idx);
        if (backend.host == m_ownHost) {
            view.m_ownBackend = backendHandle.idx;
        }
        if (isUsable(backend)) {
            const bool suspect = backend.record->liveness == wire::Liveness::Suspect && backend.host != m_ownHost;
            const std::int32_t slots = backend.record->slots;
            const bool isTarget = backend.role == VersionRole::Target;
            (isTarget ? targets : view.m_candidates)
                .push_back({backendHandle, state.get(), slots > 0 ? static_cast<std::uint32_t>(slots) : 1U,
                            backend.record->zone == m_ownZone, backend.host == m_ownHost, suspect});
            if (isTarget) {
                continue;
            }
            ++range.count;
            range.alive += suspect ? 0 : 1;
        }
    }
    std::sort(targets.begin(), targets.end(), [&](const auto &a, const auto &b) {
        return memberHash(view.backend(a.handle).host) < memberHash(view.backend(b.handle).host);
    });
    range.targets = static_cast<std::uint32_t>(targets.size());
    view.m_candidates.insert(view.m_candidates.end(), targets.begin(), targets.end());
    view.m_ranges.push_back(range);
}

Balancer::TrackedHost &Balancer::updateHost(const SnapshotBackend &backend, const std::string &service,
                                            bool serviceIsNew, TimeMs now)
{
    TrackedHost &tracked = m_hosts[backend.host];
    if (!tracked.state || tracked.service != service) {
        tracked.state = std::make_shared<BalancingState>();
        tracked.service = service;
        tracked.usable = false;
    }
    const bool usable = isUsable(backend);
    const TimeMs warmup = backend.record ? backend.record->warmupMs : 0;
    if (usable && (!tracked.usable || warmup > tracked.warmup)) {
        BalancingState &state = *tracked.state;
        state.slowStartBegan = now - m_config.slowStartMs + (serviceIsNew ? 0 : remainingSlowStart(*backend.record));
        // Earlier outcomes and load reports say nothing about the backend server that has just started.
        state.failures = 0;
        state.ejections = 0;
        state.ejectedUntil = 0;
        state.refusedUntil = 0;
        state.latencyMs = 0;
        state.loadReport = 0;
    }
    tracked.usable = usable;
    tracked.warmup = warmup;
    tracked.lastSeen = now;
    return tracked;
}

TimeMs Balancer::remainingSlowStart(const wire::HostRecord &record) const
{
    return record.__isset.warmupMs ? std::min<TimeMs>(record.warmupMs, m_config.slowStartMs) : m_config.slowStartMs;
}

void Balancer::forgetAbsentHosts(TimeMs now)
{
    for (auto host = m_hosts.begin(); host != m_hosts.end();) {
        host = now - host->second.lastSeen >= kForgetAfterMs ? m_hosts.erase(host) : std::next(host);
    }
}

} // namespace fulmarledge
