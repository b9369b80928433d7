#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "ctl_options.h"
#include "fulmarledge/submission.h"

namespace fulmarledge {

/// Rows of text in aligned columns. The first row is the heading.
std::string tableText(const std::vector<std::vector<std::string>> &rows);

/// UTC time as "2026-01-31T12:00:00.000Z".
std::string utcText(std::int64_t msSince1970);

ExitCode exitCodeOf(SubmissionOutcome outcome);

/// Prints one result: JSON to standard output, or `text` to standard output or, for a failure, to standard error.
class CtlOutput
{
public:
    explicit CtlOutput(bool json)
        : m_json(json)
    {
    }

    ExitCode print(ExitCode code, const nlohmann::json &document, const std::string &text) const;
    /// Prints "OUTCOME: REASON".
    ExitCode fail(ExitCode code, const std::string &outcome, const std::string &reason) const;

private:
    bool m_json;
};

} // namespace fulmarledge
