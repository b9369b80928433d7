#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "ctl_options.h"
#include "fulmarledge/submission.h"

namespace fulmarledge {

/// Formats rows as a table with aligned columns. The first row is the heading.
std::string tableText(const std::vector<std::vector<std::string>> &rows);

/// UTC time as "2026-01-31T12:00:00.000Z".
std::string utcText(std::int64_t msSince1970);

ExitCode exitCodeOf(SubmissionOutcome outcome);

/// Prints one result, either as JSON to standard output or as text. Text goes to standard output on success and to
/// standard error on failure.
class CtlOutput
{
public:
    explicit CtlOutput(bool json)
        : m_json(json)
    {
    }

    /// Prints `document` or `text`, depending on the format.
    /// @return `code`
    ExitCode print(ExitCode code, const nlohmann::json &document, const std::string &text) const;
    /// Prints "OUTCOME: REASON", or both as JSON.
    /// @return `code`
    ExitCode printFailure(ExitCode code, const std::string &outcome, const std::string &reason) const;

private:
    bool m_json;
};

} // namespace fulmarledge
