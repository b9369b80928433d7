#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "httpclient.h"

namespace fulmarledge {

/// One entry of `GET /v1/members`.
struct MemberRow {
    std::string host;
    std::string zone;
    std::string service;
    SocketAddress admin;
    std::string state;
    std::string liveness;
    Version version = 0; ///< as last reported to the node that was asked
    std::int64_t ageMs = 0; ///< time since that report
};

/// Members that are not dead and have not left. A suspect member counts as live until it is declared dead.
bool isLive(const MemberRow &member);

/// What is known of one member after it was asked for `GET /v1/status`.
struct NodeAnswer {
    MemberRow member;
    std::optional<nlohmann::json> status;
    std::string failure; ///< why it could not be asked
};

/// Version that an answer reports, or 0.
Version runningVersion(const NodeAnswer &answer);

/// Why the node of `answer` does not run `version`, in one line.
std::string lagReason(const NodeAnswer &answer, Version version);

/// Questions to the admin ports of nodes. Belongs to the thread of the client's loop.
class NodeQuery
{
public:
    using JsonCallback = std::function<void(std::optional<nlohmann::json>, int status, std::string failure)>;
    using MembersCallback = std::function<void(std::optional<std::vector<MemberRow>>, std::string failure)>;
    using AnswersCallback = std::function<void(std::vector<NodeAnswer>)>;

    /// @param timeoutMs limit of one call
    /// @param concurrency calls in progress at once in `statuses`
    NodeQuery(HttpClient &client, std::int64_t timeoutMs, std::size_t concurrency);

    /// GET of one node. `failure` is empty when the node answered 200 with JSON.
    void get(const SocketAddress &node, const std::string &path, JsonCallback callback);
    /// GET of the first of `nodes` that answers. A 404 counts as an answer.
    void getAny(std::vector<SocketAddress> nodes, const std::string &path, JsonCallback callback);
    /// Members as the first of `nodes` that answers knows them.
    void members(std::vector<SocketAddress> nodes, MembersCallback callback);
    /// Asks each of `members` for its status.
    void statuses(std::vector<MemberRow> members, AnswersCallback callback);

private:
    struct Round;
    void askNext(const std::shared_ptr<Round> &round);

    HttpClient &m_client;
    std::int64_t m_timeoutMs;
    std::size_t m_concurrency;
};

} // namespace fulmarledge
