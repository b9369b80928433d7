#include "ctl_output.h"

#include <algorithm>
#include <ctime>
#include <iostream>

namespace fulmarledge {

std::string tableText(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string text;
    for (const auto &row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

std::string utcText(std::int64_t msSince1970)
{
    const std::time_t seconds = msSince1970 / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char buffer[32] = {};
    const std::size_t length = std::strftime(buffer, sizeof(buffer), "%Y-%m-%dT%H:%M:%S", &parts);
    const std::string fraction = std::to_string(1000 + msSince1970 % 1000).substr(1);
    return std::string(buffer, length) + "." + fraction + "Z";
}

ExitCode exitCodeOf(SubmissionOutcome outcome)
{
    switch (outcome) {
    case SubmissionOutcome::Accepted:
        return ExitCode::Done;
    case SubmissionOutcome::Invalid:
        return ExitCode::Invalid;
    case SubmissionOutcome::NotFound:
        return ExitCode::NotFound;
    case SubmissionOutcome::Conflict:
        return ExitCode::Conflict;
    case SubmissionOutcome::Unavailable:
        return ExitCode::Unavailable;
    case SubmissionOutcome::UnknownOutcome:
        break;
    }
    return ExitCode::UnknownOutcome;
}

ExitCode CtlOutput::print(ExitCode code, const nlohmann::json &document, const std::string &text) const
{
    if (m_json) {
        std::cout << document.dump() << '\n';
    } else {
        (code == ExitCode::Done ? std::cout : std::cerr) << text;
    }
    return code;
}

ExitCode CtlOutput::printFailure(ExitCode code, const std::string &outcome, const std::string &reason) const
{
    return print(code, {{"outcome", outcome}, {"reason", reason}}, outcome + ": " + reason + "\n");
}

} // namespace fulmarledge
