#include <algorithm>
#include <cmath>
#include <xxhash.h>

#include "fulmarledge/balancer.h"
#include "fulmarledge/memberview.h"
#include "fulmarledge/slotguard.h"

namespace fulmarledge {

namespace {

constexpr auto kRelaxed = std::memory_order_relaxed;
constexpr unsigned kReportTimeShift = 16;
constexpr std::uint64_t kReportLoadMask = 0xffff;
/// Requests that a slot guard can hold per slot: one running and two waiting. A reported load above this is wrong.
constexpr double kMaxLoadPerSlot = 3;
/// Part of its full weight that a host has at the beginning of its slow start. With a weight of 0 it would get no
/// request that shows whether it works.
constexpr double kInitialWeightShare = 0.1;
/// Weight of a new latency in the moving average.
constexpr float kLatencySampleWeight = 0.2F;
/// Most hosts whose latencies are sampled for the median of a service.
constexpr std::size_t kMaxMedianSamples = 64;
constexpr std::uint32_t kMaxDoublings = 16;

} // namespace

std::span<const BalancerView::Candidate> BalancerView::candidates(ServiceHandle service) const
{
    const Range &range = m_ranges[service.idx];
    return std::span(m_candidates).subspan(range.first, range.count);
}

std::span<const BalancerView::Candidate> BalancerView::targets(ServiceHandle service) const
{
    const Range &range = m_ranges[service.idx];
    return std::span(m_candidates).subspan(range.first + range.count, range.targets);
}

const SnapshotBackend &BalancerView::backend(BackendHandle handle) const
{
    const ServiceHandle service{m_serviceOf[handle.idx]};
    return m_snapshot->backends(service)[handle.idx - m_snapshot->service(service).firstBackend];
}

bool BalancerView::isOwnHost(BackendHandle handle) const
{
    return handle.idx == m_ownBackend;
}

std::size_t BalancerView::ejectedCount(ServiceHandle service, TimeMs now) const
{
    const auto hosts = candidates(service);
    return static_cast<std::size_t>(std::count_if(
        hosts.begin(), hosts.end(), [&](const Candidate &host) { return isEjected(service, host, now); }));
}

std::uint32_t BalancerView::ejectionLimit(ServiceHandle service) const
{
    return m_ranges[service.idx].alive / 2;
}

bool BalancerView::isEjected(ServiceHandle service, const Candidate &host, TimeMs now) const
{
    const TimeMs until = host.state->ejectedUntil.load(kRelaxed);
    if (until <= now || host.suspect) {
        return false;
    }
    // More hosts than the limit can be marked as ejected, when threads eject at the same time or when hosts have left
    // since. Then only the ejections that end last count.
    std::uint32_t longerCount = 0;
    for (const Candidate &other : candidates(service)) {
        const TimeMs otherUntil = other.state->ejectedUntil.load(kRelaxed);
        const bool lastsLonger = otherUntil > until || (otherUntil == until && other.handle.idx < host.handle.idx);
        longerCount += !other.suspect && lastsLonger ? 1 : 0;
    }
    return longerCount < ejectionLimit(service);
}

double BalancerView::weight(const Candidate &host, TimeMs now) const
{
    const auto age = static_cast<double>(now - host.state->slowStartBegan.load(kRelaxed));
    const double slowStartProgress = age / static_cast<double>(std::max<TimeMs>(m_config.slowStartMs, 1));
    return host.slots * std::clamp(slowStartProgress, kInitialWeightShare, 1.0);
}

double BalancerView::decayedLoad(const Candidate &host, TimeMs now) const
{
    const double limit = kMaxLoadPerSlot * host.slots;
    if (host.state->refusedUntil.load(kRelaxed) > now) {
        return limit;
    }
    const std::uint64_t report = host.state->loadReport.load(kRelaxed);
    const double load = std::min(static_cast<double>(report & kReportLoadMask), limit);
    const auto age = static_cast<double>(now - static_cast<TimeMs>(report >> kReportTimeShift));
    const double decayed = load * std::exp2(-std::max(age, 0.0) / static_cast<double>(m_config.loadHalfLifeMs));
    // Without this limit, the remainder of an old report would decide between idle hosts for ever.
    return decayed < 0.5 ? 0 : decayed;
}

bool BalancerView::isLessLoaded(const Candidate &a, const Candidate &b, TimeMs now) const
{
    // Counts the new request as outstanding, so that weights matter between idle hosts too.
    const double costA = (a.state->outstanding.load(kRelaxed) + 1 + decayedLoad(a, now)) / weight(a, now);
    const double costB = (b.state->outstanding.load(kRelaxed) + 1 + decayedLoad(b, now)) / weight(b, now);
    return costA < costB;
}

bool BalancerView::isOwnZoneFull(ServiceHandle service, TimeMs now) const
{
    double work = 0;
    double slots = 0;
    for (const Candidate &host : candidates(service)) {
        if (host.ownZone && !host.suspect && !isEjected(service, host, now)) {
            // The reported load includes the requests of this node, so the larger number is used and not the sum.
            work += std::max<double>(host.state->outstanding.load(kRelaxed), decayedLoad(host, now));
            slots += host.slots;
        }
    }
    return work >= slots;
}

template <typename Filter>
BackendHandle BalancerView::pickLessLoadedOfTwo(ServiceHandle service, Filter isAllowed, RandomSource &random,
                                                TimeMs now) const
{
    // Reservoir sampling picks two allowed hosts uniformly in one pass, without a list of them.
    std::array<const Candidate *, 2> pair{};
    std::uint64_t allowedCount = 0;
    for (const Candidate &host : candidates(service)) {
        if (!isAllowed(host)) {
            continue;
        }
        const std::uint64_t position = allowedCount < pair.size() ? allowedCount : random.below(allowedCount + 1);
        if (position < pair.size()) {
            pair[position] = &host;
        }
        ++allowedCount;
    }
    if (pair[0] == nullptr) {
        return {};
    }
    if (pair[1] == nullptr) {
        return pair[0]->handle;
    }
    // With a fixed order, one of two equally loaded hosts would get all requests while the service is idle.
    if (random.below(2) == 1) {
        std::swap(pair[0], pair[1]);
    }
    return isLessLoaded(*pair[1], *pair[0], now) ? pair[1]->handle : pair[0]->handle;
}

BackendHandle BalancerView::choose(ServiceHandle service, const TriedHosts &tried, RandomSource &random, TimeMs now,
                                   bool leaveZone) const
{
    // In order of preference: this host while it has a free slot, the local data centre, any data centre, an ejected
    // host, a suspect host.
    const auto isEligible = [&](const Candidate &host) { return !host.suspect && !tried.contains(host.state); };
    const auto isHealthy = [&](const Candidate &host) { return isEligible(host) && !isEjected(service, host, now); };
    if (m_ownSlots != nullptr && m_ownSlots->freeSlots.load(kRelaxed) > 0) {
        for (const Candidate &host : candidates(service)) {
            if (host.ownHost && isHealthy(host)) {
                return host.handle;
            }
        }
    }
    BackendHandle chosen;
    if (m_config.zoneFirst) {
        chosen = pickLessLoadedOfTwo(
            service,
            [&](const Candidate &host) {
                return host.ownZone != leaveZone && isHealthy(host)
                    && now - host.state->refusedAt.load(kRelaxed) >= m_config.zoneRefusalHoldMs;
            },
            random, now);
    } else if (!isOwnZoneFull(service, now)) {
        chosen = pickLessLoadedOfTwo(
            service, [&](const Candidate &host) { return host.ownZone && isHealthy(host); }, random, now);
    }
    if (!isValid(chosen)) {
        chosen = pickLessLoadedOfTwo(service, isHealthy, random, now);
    }
    if (!isValid(chosen)) {
        chosen = pickLessLoadedOfTwo(service, isEligible, random, now);
    }
    if (!isValid(chosen)) {
        chosen = pickLessLoadedOfTwo(
            service, [&](const Candidate &host) { return !tried.contains(host.state); }, random, now);
    }
    return chosen;
}

BackendHandle BalancerView::chooseTarget(ServiceHandle service, RandomSource &random, TimeMs now) const
{
    const VersionSplit *split = m_snapshot->service(service).split.get();
    const auto hosts = targets(service);
    if (split == nullptr || hosts.empty() || !split->pickTarget(now)) {
        return {};
    }
    const std::uint64_t loaded = std::min<std::uint64_t>(split->servers(), hosts.size());
    const std::uint64_t index = std::uint64_t{split->pulse()} * loaded + random.below(loaded);
    return hosts[index % hosts.size()].handle;
}

bool BalancerView::canSpill(BackendHandle handle, const TriedHosts &tried) const
{
    const ServiceHandle service{m_serviceOf[handle.idx]};
    bool handleInOwnZone = false;
    bool otherZoneUntried = false;
    for (const Candidate &host : candidates(service)) {
        handleInOwnZone = handleInOwnZone || (host.handle.idx == handle.idx && host.ownZone);
        otherZoneUntried = otherZoneUntried || (!host.ownZone && !host.suspect && !tried.contains(host.state));
    }
    return handleInOwnZone && otherZoneUntried;
}

bool BalancerView::hasUntriedHost(ServiceHandle service, const TriedHosts &tried) const
{
    const auto hosts = candidates(service);
    return std::any_of(hosts.begin(), hosts.end(), [&](const Candidate &host) { return !tried.contains(host.state); });
}

BackendHandle BalancerView::keyOwner(ServiceHandle service, std::string_view key) const
{
    const std::string &name = m_snapshot->service(service).spec.name;
    const std::uint64_t hash = XXH3_64bits_withSeed(key.data(), key.size(), XXH3_64bits(name.data(), name.size()));
    // Little-endian on every machine, so that all nodes compute the same owner.
    std::array<char, sizeof hash> hashBytes{};
    for (std::size_t i = 0; i < hashBytes.size(); ++i) {
        hashBytes[i] = static_cast<char>((hash >> (8 * i)) & 0xff);
    }
    const Candidate *owner = nullptr;
    std::uint64_t highestWeight = 0;
    for (const Candidate &host : candidates(service)) {
        const std::uint64_t hostWeight
            = rendezvousWeight({hashBytes.data(), hashBytes.size()}, backend(host.handle).host);
        if (owner == nullptr || hostWeight > highestWeight) {
            owner = &host;
            highestWeight = hostWeight;
        }
    }
    return owner == nullptr ? BackendHandle{} : owner->handle;
}

void BalancerView::beginAttempt(BackendHandle handle) const
{
    state(handle).outstanding.fetch_add(1, kRelaxed);
}

void BalancerView::endAttempt(BackendHandle handle, AttemptEnd end, double latencyMs, TimeMs now) const
{
    BalancingState &host = state(handle);
    const ServiceHandle service{m_serviceOf[handle.idx]};
    host.outstanding.fetch_sub(1, kRelaxed);
    if (end == AttemptEnd::TimedOut && latencyMs <= host.latencyMs.load(kRelaxed) * m_config.latencyFactor) {
        // The caller's deadline was short. If this counted as a failure, one caller could eject hosts that work.
        return;
    }
    if (end == AttemptEnd::Refused) {
        host.refusedUntil.store(now + m_config.refusalHoldMs, kRelaxed);
        host.refusedAt.store(now, kRelaxed);
    } else if (end == AttemptEnd::Failed || end == AttemptEnd::TimedOut) {
        if (host.failures.fetch_add(1, kRelaxed) + 1 >= m_config.consecutiveFailures) {
            tryEject(service, host, now);
        }
    } else if (end == AttemptEnd::Answered) {
        host.failures.store(0, kRelaxed);
        addLatencySample(host, latencyMs);
        if ((host.answers.fetch_add(1, kRelaxed) + 1) % m_config.answersPerLatencyCheck == 0) {
            if (isLatencyOutlier(service, host)) {
                tryEject(service, host, now);
            } else if (now - host.ejectedUntil.load(kRelaxed) > nextEjectionMs(host)) {
                host.ejections.store(0, kRelaxed);
            }
        }
    }
}

void BalancerView::recordLoad(BackendHandle handle, std::uint32_t load, TimeMs now) const
{
    const std::uint64_t word = (static_cast<std::uint64_t>(std::max<TimeMs>(now, 0)) << kReportTimeShift)
        | std::min<std::uint64_t>(load, kReportLoadMask);
    state(handle).loadReport.store(word, kRelaxed);
}

void BalancerView::addLatencySample(BalancingState &host, double latencyMs) const
{
    const auto sample = static_cast<float>(std::max(latencyMs, 0.01));
    float old = host.latencyMs.load(kRelaxed);
    float mean = 0;
    do {
        mean = old == 0 ? sample : old + (sample - old) * kLatencySampleWeight;
    } while (!host.latencyMs.compare_exchange_weak(old, mean, kRelaxed));
}

bool BalancerView::isLatencyOutlier(ServiceHandle service, const BalancingState &host) const
{
    const auto hosts = candidates(service);
    const std::size_t step = hosts.size() / kMaxMedianSamples + 1;
    std::array<float, kMaxMedianSamples> samples{};
    std::size_t count = 0;
    for (std::size_t i = 0; i < hosts.size(); i += step) {
        const float latency = hosts[i].state->latencyMs.load(kRelaxed);
        if (latency > 0 && !hosts[i].suspect) {
            samples[count++] = latency;
        }
    }
    if (count < 2) {
        return false;
    }
    // Uses the lower median, so that of two hosts the slower one is compared with the faster one.
    const auto middle = samples.begin() + static_cast<std::ptrdiff_t>((count - 1) / 2);
    std::nth_element(samples.begin(), middle, samples.begin() + static_cast<std::ptrdiff_t>(count));
    const double median = *middle;
    const double latency = host.latencyMs.load(kRelaxed);
    return latency > median * m_config.latencyFactor && latency > median + m_config.minLatencyExcessMs;
}

TimeMs BalancerView::nextEjectionMs(const BalancingState &host) const
{
    const std::uint32_t doublings = std::min(host.ejections.load(kRelaxed), kMaxDoublings);
    return std::min(m_config.firstEjectionMs << doublings, m_config.maxEjectionMs);
}

void BalancerView::tryEject(ServiceHandle service, BalancingState &host, TimeMs now) const
{
    TimeMs until = host.ejectedUntil.load(kRelaxed);
    if (until > now || ejectedCount(service, now) >= ejectionLimit(service)) {
        return;
    }
    if (!host.ejectedUntil.compare_exchange_strong(until, now + nextEjectionMs(host), kRelaxed)) {
        return;
    }
    host.ejections.fetch_add(1, kRelaxed);
    // After the ejection, one failure ejects the host again, and its latency is measured from scratch.
    host.failures.store(m_config.consecutiveFailures - 1, kRelaxed);
    host.latencyMs.store(0, kRelaxed);
}

} // namespace fulmarledge
