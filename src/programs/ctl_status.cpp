#include <algorithm>

#include "ctl_commands.h"

namespace fulmarledge {

namespace {

using nlohmann::json;

/// Age above which a version known only from the list of members, not from the node itself, is marked as stale.
constexpr std::int64_t kStaleAgeMs = 2000;

std::string scalarText(const json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string fieldText(const json &object, const char *name)
{
    return object.is_object() && object.contains(name) ? scalarText(object[name]) : "-";
}

std::string yesNoText(const json &object, const char *name)
{
    const std::string text = fieldText(object, name);
    return text == "true" ? "yes" : text == "false" ? "no" : text;
}

std::string platformText(const json &status)
{
    if (!status.contains("platform")) {
        return "-";
    }
    const json &platform = status["platform"];
    return (yesNoText(platform, "reachable") == "yes" ? "reachable, " : "unreachable, ") + fieldText(platform, "age_ms")
        + " ms ago";
}

std::string noteText(const NodeAnswer &answer)
{
    if (answer.status) {
        const json rejected = answer.status->value("rejected", json());
        return rejected.is_object() && rejected.contains("reason") && fieldText(rejected, "version") != "0"
            ? "rejected version " + fieldText(rejected, "version") + ": " + fieldText(rejected, "reason")
            : "";
    }
    const std::string age = std::to_string(answer.member.ageMs) + " ms old";
    const std::string cause = isLive(answer.member) ? "could not be asked: " + answer.failure + "; " : "not asked; ";
    return cause + "as last reported, " + (answer.member.ageMs > kStaleAgeMs ? "stale, " : "") + age;
}

json memberJson(const MemberRow &member)
{
    return {{"host", member.host},   {"zone", member.zone},         {"service", member.service},
            {"state", member.state}, {"liveness", member.liveness}, {"version", member.version},
            {"age_ms", member.ageMs}};
}

json answerJson(const NodeAnswer &answer)
{
    json document = memberJson(answer.member);
    document["asked"] = answer.status.has_value();
    if (answer.status) {
        document["status"] = *answer.status;
        document["version"] = runningVersion(answer);
        document["age_ms"] = 0;
    } else {
        document["failure"] = answer.failure;
        document["stale"] = answer.member.ageMs > kStaleAgeMs;
    }
    return document;
}

std::vector<std::string> statusRow(const NodeAnswer &answer)
{
    const MemberRow &member = answer.member;
    const Version version = answer.status ? runningVersion(answer) : member.version;
    return {member.host,
            member.zone,
            member.service,
            member.state,
            member.liveness,
            std::to_string(version),
            answer.status ? yesNoText(*answer.status, "ready") : "-",
            answer.status ? platformText(*answer.status) : "-",
            noteText(answer)};
}

/// Lines with the organisations of a node's answer, without keys. Empty if it names none.
std::vector<std::vector<std::string>> organisationRows(const json &document)
{
    std::vector<std::vector<std::string>> rows;
    const json organisations = document.value("organisations", json());
    if (!organisations.is_object()) {
        return rows;
    }
    rows.push_back(
        {"organisations", fieldText(organisations, "count") + ", " + fieldText(organisations, "keys") + " keys"});
    for (const json &organisation : organisations.value("list", json::array())) {
        const bool isLimited = organisation.is_object() && organisation.contains("rate_per_s");
        rows.push_back({"organisation",
                        fieldText(organisation, "name") + ": priority " + fieldText(organisation, "priority") + ", "
                            + fieldText(organisation, "keys") + " keys, "
                            + (isLimited ? fieldText(organisation, "rate_per_s") + " requests/s, burst "
                                       + fieldText(organisation, "burst")
                                         : std::string("no limit"))});
    }
    return rows;
}

std::string hostText(const NodeAnswer &answer)
{
    std::vector<std::vector<std::string>> rows{{"host", answer.member.host},
                                               {"zone", answer.member.zone},
                                               {"service", answer.member.service},
                                               {"state", answer.member.state},
                                               {"liveness", answer.member.liveness}};
    if (!answer.status) {
        rows.push_back({"version", std::to_string(answer.member.version)});
        rows.push_back({"note", noteText(answer)});
        return tableText(rows);
    }
    const json &status = *answer.status;
    rows.push_back({"version", fieldText(status, "version")});
    rows.push_back({"digest", fieldText(status, "digest")});
    rows.push_back({"ready", yesNoText(status, "ready")});
    rows.push_back({"version floor", fieldText(status, "version_floor")});
    rows.push_back({"platform", platformText(status)});
    const json backend = status.value("backend", json());
    rows.push_back({"backend server",
                    fieldText(backend, "service") + ", " + fieldText(backend, "state") + ", "
                        + fieldText(backend, "slots") + " slots"});
    if (const std::string note = noteText(answer); !note.empty()) {
        rows.push_back({"note", note});
    }
    for (std::vector<std::string> &row : organisationRows(status)) {
        rows.push_back(std::move(row));
    }
    for (const json &event : status.value("events", json::array())) {
        const bool hasTime = event.is_object() && event.contains("time_ms") && event["time_ms"].is_number_integer();
        rows.push_back(
            {"event", hasTime ? utcText(event["time_ms"].get<std::int64_t>()) : "-", fieldText(event, "text")});
    }
    return tableText(rows);
}

} // namespace

void CtlCommands::status()
{
    m_query.fetchMembers(
        m_options.nodes, [this](const std::optional<std::vector<MemberRow>> &members, const std::string &failure) {
            if (!members) {
                finish(
                    m_output.printFailure(ExitCode::Unavailable, "unavailable", "no node could be asked: " + failure));
                return;
            }
            std::vector<MemberRow> live;
            std::vector<NodeAnswer> notAsked;
            for (const MemberRow &member : *members) {
                if (isLive(member)) {
                    live.push_back(member);
                } else {
                    notAsked.push_back({member, std::nullopt, member.state == "left" ? "left" : "dead"});
                }
            }
            m_query.fetchStatuses(std::move(live),
                                  [this, notAsked = std::move(notAsked)](std::vector<NodeAnswer> answers) {
                                      answers.insert(answers.end(), notAsked.begin(), notAsked.end());
                                      printStatus(answers);
                                  });
        });
}

void CtlCommands::printStatus(const std::vector<NodeAnswer> &answers)
{
    std::vector<NodeAnswer> sorted = answers;
    std::sort(sorted.begin(), sorted.end(),
              [](const NodeAnswer &a, const NodeAnswer &b) { return a.member.host < b.member.host; });
    json document = json::array();
    std::vector<std::vector<std::string>> rows{
        {"HOST", "ZONE", "SERVICE", "STATE", "LIVENESS", "VERSION", "READY", "PLATFORM", "NOTE"}};
    for (const NodeAnswer &answer : sorted) {
        document.push_back(answerJson(answer));
        rows.push_back(statusRow(answer));
    }
    finish(m_output.print(ExitCode::Done, document, tableText(rows)));
}

void CtlCommands::explain()
{
    m_query.fetchMembers(
        m_options.nodes, [this](const std::optional<std::vector<MemberRow>> &members, const std::string &failure) {
            if (members) {
                const auto found = std::find_if(members->begin(), members->end(), [this](const MemberRow &member) {
                    return member.host == m_options.argument;
                });
                if (found != members->end()) {
                    explainHost(*found);
                    return;
                }
            }
            explainService(failure);
        });
}

void CtlCommands::explainHost(const MemberRow &member)
{
    m_query.fetchStatuses({member}, [this](const std::vector<NodeAnswer> &answers) {
        finish(m_output.print(ExitCode::Done, answerJson(answers.front()), hostText(answers.front())));
    });
}

void CtlCommands::explainService(const std::string &membersFailure)
{
    m_query.getAny(m_options.nodes, "/v1/explain/" + m_options.argument,
                   [this, membersFailure](const std::optional<json> &document, int status, const std::string &failure) {
                       if (document) {
                           printService(*document);
                       } else if (status == 404 && membersFailure.empty()) {
                           finish(m_output.printFailure(ExitCode::NotFound, "not-found",
                                                        "no node or service \"" + m_options.argument + "\""));
                       } else {
                           finish(m_output.printFailure(ExitCode::Unavailable, "unavailable",
                                                        "no node could be asked: " + failure));
                       }
                   });
}

void CtlCommands::printService(const json &document)
{
    if (!document.is_object()) {
        finish(m_output.printFailure(ExitCode::Unavailable, "unavailable", "the node's answer is malformed"));
        return;
    }
    std::string text = "service " + m_options.argument + ", version " + fieldText(document, "version") + "\n";
    for (const json &route : document.value("routes", json::array())) {
        text += "route " + scalarText(route) + "\n";
    }
    for (const json &route : document.value("public_routes", json::array())) {
        text += "public route " + scalarText(route) + "\n";
    }
    text += tableText(organisationRows(document));
    const json rollout = document.value("rollout", json());
    if (rollout.is_object()) {
        text += "version in force " + fieldText(rollout, "in_force") + ", rollout to "
            + fieldText(rollout, "target_version") + ": " + fieldText(rollout, "state") + ", step "
            + fieldText(rollout, "step") + ", decided by " + fieldText(rollout, "coordinator") + "\n";
    }
    std::vector<std::vector<std::string>> rows{{"HOST", "ZONE", "STATE", "LIVENESS", "USED", "REASON"}};
    for (const json &backend : document.value("backend_servers", json::array())) {
        rows.push_back({fieldText(backend, "host"), fieldText(backend, "zone"), fieldText(backend, "state"),
                        fieldText(backend, "liveness"), yesNoText(backend, "used"), fieldText(backend, "reason")});
    }
    finish(m_output.print(ExitCode::Done, document, text + tableText(rows)));
}

} // namespace fulmarledge
