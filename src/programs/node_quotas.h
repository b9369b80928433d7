#pragma once

#include "fulmarledge/controlnode.h"
#include "metrics.h"
#include "requestpath.h"

namespace fulmarledge {

/// Exports the requests that the limits of organisations admitted, refused and gave back. Exports nothing if none is
/// enforced.
void exportQuotas(const ControlNode &control, const RequestPathStats &stats, Metrics &metrics);

} // namespace fulmarledge
