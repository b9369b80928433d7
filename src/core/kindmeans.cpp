#include "fulmarledge/servicetimes.h"

#include <algorithm>

namespace fulmarledge {

double ServiceTimes::mean(std::uint64_t kind) const
{
    for (const Sample &sample : m_samples) {
        if (sample.usedAt > 0 && sample.kind == kind) {
            return sample.meanMs;
        }
    }
    return 0;
}

void ServiceTimes::add(std::uint64_t kind, double elapsedMs, bool whole, double weight)
{
    auto known = std::find_if(m_samples.begin(), m_samples.end(),
                              [kind](const Sample &sample) { return sample.usedAt > 0 && sample.kind == kind; });
    if (known == m_samples.end()) {
        known = std::min_element(m_samples.begin(), m_samples.end(),
                                 [](const Sample &a, const Sample &b) { return a.usedAt < b.usedAt; });
        *known = {kind, elapsedMs, 0};
    } else if (whole || elapsedMs > known->meanMs) {
        // The time of a request that was cut only says that the service takes at least as long.
        known->meanMs += (elapsedMs - known->meanMs) * weight;
    }
    known->usedAt = ++m_uses;
}

void ServiceTimes::clear()
{
    m_samples = {};
}

} // namespace fulmarledge
