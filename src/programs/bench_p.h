#pragma once

namespace fulmarledge {

/// Measures requests that pass through nodes or go to backend servers directly. Prints a JSON report.
/// @return exit code: 0, 1 if an invariant was violated, 2 for invalid options
int benchRequests(int argc, char **argv);

/// Measures convergence, control bytes and platform calls of a running fleet. Prints a JSON report.
/// @return exit code: 0, 1 if an invariant was violated, 2 for invalid options
int benchFleet(int argc, char **argv);

} // namespace fulmarledge
