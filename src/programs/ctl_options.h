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
    std::vector<std::string> words; ///< the words after the command, for `rollout`
    TimeMs durationMs = 0; ///< of a rollout
    std::optional<SocketAddress> platform;
    std::vector<SocketAddress> nodes; ///< admin addresses
    bool json = false;
    std::optional<Version> expect; ///< a submission is refused unless this is the newest accepted version
    bool wait = false; ///< wait until every live node runs the accepted version
    std::int64_t waitMs = 10000; ///< limit of `wait`
    std::int64_t timeoutMs = 5000; ///< limit of one call to the platform
    std::int64_t retryMs = 30000; ///< no retry of a submission starts later than this after the submission
    std::string infoText; ///< help or version, printed instead of running a command
};

/// Reads the command line and the settings file that it names. The command line takes precedence. Empty, with the
/// reason in `error`, when an option or the command is invalid.
std::optional<CtlOptions> readCtlOptions(int argc, const char *const *argv, LastReason &error);

/// Parses "IP:PORT" with an IPv4 address in dotted decimal form. Port 0 is refused.
std::optional<SocketAddress> parseIpAndPort(const std::string &text);

} // namespace fulmarledge
