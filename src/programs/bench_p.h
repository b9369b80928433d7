#pragma once

namespace fulmarledge {

/// Measures requests through nodes and directly. The JSON report goes to standard output.
/// @return exit code: 0, 1 for a violated invariant, 2 for wrong usage
int benchRequests(int argc, char **argv);

/// Measures convergence, control bytes and platform calls of a running fleet, with the same output and exit codes.
int benchFleet(int argc, char **argv);

} // namespace fulmarledge
