#include "fulmarledge/head.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "fulmarledge/config.h"

namespace fulmarledge {

using nlohmann::json;

Version Head::version() const
{
    return recent.empty() ? 0 : recent.back().version;
}

const Acceptance *Head::find(Version version) const
{
    const auto found
        = std::find_if(recent.begin(), recent.end(), [&](const Acceptance &entry) { return entry.version == version; });
    return found == recent.end() ? nullptr : &*found;
}

const Acceptance *Head::findSubmission(std::string_view submission) const
{
    const auto found = std::find_if(recent.begin(), recent.end(),
                                    [&](const Acceptance &entry) { return entry.submissionId == submission; });
    return found == recent.end() ? nullptr : &*found;
}

Head Head::withAcceptance(std::string_view digest, std::string_view submission, std::int64_t acceptedMs) const
{
    Head next = *this;
    next.recent.push_back({version() + 1, std::string(digest), std::string(submission), acceptedMs});
    if (next.recent.size() > FULMARLEDGE_CONFIG_HEAD_RECENT) {
        next.recent.erase(next.recent.begin(), next.recent.end() - FULMARLEDGE_CONFIG_HEAD_RECENT);
    }
    return next;
}

std::string Head::toText() const
{
    json entries = json::array();
    for (const Acceptance &entry : recent) {
        entries.push_back({{"version", entry.version},
                           {"digest", entry.digest},
                           {"submission", entry.submissionId},
                           {"accepted_ms", entry.acceptedMs}});
    }
    return json{{"recent", std::move(entries)}}.dump();
}

std::optional<Head> Head::parse(std::string_view text, LastReason &error)
{
    try {
        Head head;
        const json document = json::parse(text);
        for (const json &entry : document.at("recent")) {
            head.recent.push_back({entry.at("version").get<Version>(), entry.at("digest").get<std::string>(),
                                   entry.at("submission").get<std::string>(),
                                   entry.at("accepted_ms").get<std::int64_t>()});
            const std::size_t count = head.recent.size();
            if (count > 1 && head.recent[count - 2].version >= head.recent[count - 1].version) {
                error.set("head.recent: versions are not strictly increasing");
                return std::nullopt;
            }
        }
        return head;
    } catch (const json::exception &exception) {
        error.set(std::string("head: ") + exception.what());
        return std::nullopt;
    }
}

} // namespace fulmarledge
