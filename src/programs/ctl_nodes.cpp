#include "ctl_nodes.h"

#include <memory>

namespace fulmarledge {

namespace {

using nlohmann::json;

template <typename Value>
Value valueOr(const json &object, const char *name, Value fallback)
{
    const auto found = object.find(name);
    if (found == object.end()) {
        return fallback;
    }
    try {
        return found->get<Value>();
    } catch (const json::exception &) {
        return fallback;
    }
}

std::optional<std::vector<MemberRow>> parseMembers(const json &document)
{
    if (!document.is_array()) {
        return std::nullopt;
    }
    std::vector<MemberRow> members;
    for (const json &entry : document) {
        if (!entry.is_object()) {
            return std::nullopt;
        }
        MemberRow member;
        member.host = valueOr<std::string>(entry, "host", "");
        member.zone = valueOr<std::string>(entry, "zone", "");
        member.service = valueOr<std::string>(entry, "service", "");
        member.adminAddress
            = {valueOr<std::string>(entry, "address", ""), valueOr<std::uint16_t>(entry, "admin_port", 0)};
        member.state = valueOr<std::string>(entry, "state", "unknown");
        member.liveness = valueOr<std::string>(entry, "liveness", "unknown");
        member.version = valueOr<Version>(entry, "version", 0);
        member.ageMs = valueOr<std::int64_t>(entry, "age_ms", 0);
        members.push_back(std::move(member));
    }
    return members;
}

json objectOr(const json &object, const char *name)
{
    const json value = valueOr<json>(object, name, json::object());
    return value.is_object() ? value : json::object();
}

} // namespace

bool isLive(const MemberRow &member)
{
    return member.liveness != "dead" && member.state != "left";
}

Version runningVersion(const NodeAnswer &answer)
{
    return answer.status ? valueOr<Version>(*answer.status, "version", 0) : 0;
}

std::string lagReason(const NodeAnswer &answer, Version version)
{
    if (!answer.status) {
        return "could not be asked: " + answer.failure + "; last reported version "
            + std::to_string(answer.member.version) + ", " + std::to_string(answer.member.ageMs) + " ms ago";
    }
    std::string reason = "runs version " + std::to_string(runningVersion(answer));
    const json rejected = objectOr(*answer.status, "rejected");
    if (valueOr<Version>(rejected, "version", 0) >= version) {
        reason += ", rejected version " + std::to_string(valueOr<Version>(rejected, "version", 0)) + ": "
            + valueOr<std::string>(rejected, "reason", "no reason given");
    }
    const json platform = objectOr(*answer.status, "platform");
    if (!valueOr<bool>(platform, "reachable", true)) {
        reason += ", platform last reached " + std::to_string(valueOr<std::int64_t>(platform, "age_ms", 0)) + " ms ago";
    }
    if (!valueOr<bool>(*answer.status, "ready", true)) {
        reason += ", not ready";
    }
    return reason;
}

NodeQuery::NodeQuery(HttpClient &client, std::int64_t timeoutMs, std::size_t concurrency)
    : m_client(client)
    , m_timeoutMs(timeoutMs)
    , m_concurrency(concurrency)
{
}

void NodeQuery::get(const SocketAddress &node, const std::string &path, JsonCallback callback)
{
    HttpRequest request;
    request.method = "GET";
    request.url = "http://" + node.ip + ":" + std::to_string(node.port) + path;
    request.timeoutMs = m_timeoutMs;
    request.connectTimeoutMs = m_timeoutMs;
    request.resendAllowed = true;
    m_client.send(std::move(request), [done = std::move(callback)](const HttpResult &result) {
        if (result.verdict != Verdict::Answered) {
            done(std::nullopt, 0, result.detail);
            return;
        }
        if (result.status != 200) {
            done(std::nullopt, result.status, "answered " + std::to_string(result.status));
            return;
        }
        json document = json::parse(result.body, nullptr, false);
        if (document.is_discarded()) {
            done(std::nullopt, result.status, "answered with malformed JSON");
            return;
        }
        done(std::move(document), result.status, {});
    });
}

void NodeQuery::getAny(std::vector<SocketAddress> nodes, const std::string &path, JsonCallback callback)
{
    const SocketAddress node = nodes.front();
    nodes.erase(nodes.begin());
    get(node, path,
        [this, node, rest = std::move(nodes), path, done = std::move(callback)](std::optional<json> document,
                                                                                int status, std::string failure) {
            if (document || status == 404 || rest.empty()) {
                if (!failure.empty()) {
                    failure = "node " + node.ip + ":" + std::to_string(node.port) + ": " + failure;
                }
                done(std::move(document), status, std::move(failure));
                return;
            }
            getAny(rest, path, done);
        });
}

void NodeQuery::fetchMembers(std::vector<SocketAddress> nodes, MembersCallback callback)
{
    getAny(std::move(nodes), "/v1/members",
           [done = std::move(callback)](const std::optional<json> &document, int, const std::string &failure) {
               auto rows = document ? parseMembers(*document) : std::nullopt;
               const bool malformed = document && !rows;
               done(std::move(rows), malformed ? "the list of members is malformed" : failure);
           });
}

struct NodeQuery::StatusBatch {
    std::vector<NodeAnswer> answers;
    std::size_t next = 0;
    std::size_t finished = 0;
    AnswersCallback callback;
};

void NodeQuery::fetchStatuses(std::vector<MemberRow> members, AnswersCallback callback)
{
    if (members.empty()) {
        callback({});
        return;
    }
    auto batch = std::make_shared<StatusBatch>();
    batch->callback = std::move(callback);
    for (MemberRow &member : members) {
        batch->answers.push_back({std::move(member), std::nullopt, {}});
    }
    for (std::size_t i = 0; i < m_concurrency && i < batch->answers.size(); ++i) {
        queryNext(batch);
    }
}

void NodeQuery::queryNext(const std::shared_ptr<StatusBatch> &batch)
{
    const std::size_t index = batch->next++;
    get(batch->answers[index].member.adminAddress, "/v1/status",
        [this, batch, index](std::optional<json> document, int, std::string failure) {
            NodeAnswer &answer = batch->answers[index];
            if (document && !document->is_object()) {
                document.reset();
                failure = "the status is malformed";
            }
            answer.status = std::move(document);
            answer.failure = std::move(failure);
            if (++batch->finished == batch->answers.size()) {
                batch->callback(std::move(batch->answers));
            } else if (batch->next < batch->answers.size()) {
                queryNext(batch);
            }
        });
}

} // namespace fulmarledge
