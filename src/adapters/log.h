#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "fulmarledge/ports.h"

namespace fulmarledge {

/// Starts log4cplus with one appender to standard error. Call once per process.
/// @param level "debug", "info", "warn" or "error"
void startLogging(std::string_view level);

/// Event log that adds the host and the zone to each line.
std::unique_ptr<EventLog> makeEventLog(std::string host, std::string zone);

} // namespace fulmarledge
