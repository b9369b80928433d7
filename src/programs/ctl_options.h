#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fulmarledge/types.h"

namespace fulmarledge {

enum class ExitCode : std::uint8_t {
    Done = 0,
    Usage = 2,
    Invalid = 3,
    Conflict = 4,
    Unavailable = 5,
    UnknownOutcome = 6,
    WaitTimedOut = 7,
    NotFound = 8,
};

struct CtlOptions {
    std::string command;
    std::string argument; ///< file, version, or name of a node or service
    std::optional<SocketAddress> platform;
    std::vector<SocketAddress> nodes; ///< admin addresses
    bool json = false;
    std::optional<Version> expect;
    bool wait = false;
    std::int64_t waitMs = 10000;
    std::int64_t timeoutMs = 5000; ///< of one call to the platform
    std::int64_t retryMs = 30000; ///< no retry of a submission starts later
    std::string help; ///< text to print instead of running a command
};

/// Reads the command line and the settings file that it names. The command line takes precedence.
std::optional<CtlOptions> readCtlOptions(int argc, const char *const *argv, LastReason &error);

/// Reads "IP:PORT" with an IPv4 address in dotted form.
std::optional<SocketAddress> readSocketAddress(const std::string &text);

} // namespace fulmarledge
