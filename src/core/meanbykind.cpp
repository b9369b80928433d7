#include "fulmarledge/meanbykind.h"

#include <algorithm>

namespace fulmarledge {

double MeanByKind::mean(std::uint64_t kind) const
{
    for (const Entry &entry : m_entries) {
        if (entry.lastSample > 0 && entry.kind == kind) {
            return entry.mean;
        }
    }
    return 0;
}

void MeanByKind::add(std::uint64_t kind, double sample, bool exact, double weight)
{
    auto known = std::find_if(m_entries.begin(), m_entries.end(),
                              [kind](const Entry &entry) { return entry.lastSample > 0 && entry.kind == kind; });
    if (known == m_entries.end()) {
        known = std::min_element(m_entries.begin(), m_entries.end(),
                                 [](const Entry &a, const Entry &b) { return a.lastSample < b.lastSample; });
        *known = {kind, sample, 0};
    } else if (exact || sample > known->mean) {
        // The sample of work that ended early only shows that the quantity is at least as large.
        known->mean += (sample - known->mean) * weight;
    }
    known->lastSample = ++m_sampleCount;
}

void MeanByKind::clear()
{
    m_entries = {};
}

} // namespace fulmarledge
