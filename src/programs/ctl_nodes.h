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
    SocketAddress adminAddress;
    std::string state;
    std::string liveness;
    Version version = 0; ///< as last reported to the node that was asked
    std::int64_t ageMs = 0; ///< time since that report
};

/// Whether a member has not left and is not declared dead. A suspect member is still live.
bool isLive(const MemberRow &member);

/// A member and its response to `GET /v1/status`.
struct NodeAnswer {
    MemberRow member;
    std::optional<nlohmann::json> status; ///< not set when there is no valid response
    std::string failure; ///< why there is no status; empty when there is one
};

/// Version that the node reports in its status, or 0 without a status.
Version runningVersion(const NodeAnswer &answer);

/// Why the node of `answer` does not run `version`, in one line.
std::string lagReason(const NodeAnswer &answer, Version version);

/// Sends requests to the admin ports of nodes. Use it only on the thread of the client's event loop.
class NodeQuery
{
public:
    using JsonCallback = std::function<void(std::optional<nlohmann::json>, int status, std::string failure)>;
    using MembersCallback = std::function<void(std::optional<std::vector<MemberRow>>, std::string failure)>;
    using AnswersCallback = std::function<void(std::vector<NodeAnswer>)>;

    /// @param timeoutMs limit of one request
    /// @param concurrency requests that `fetchStatuses` has in progress at once
    NodeQuery(HttpClient &client, std::int64_t timeoutMs, std::size_t concurrency);

    /// Sends a GET to one node. `failure` is empty when the node answered 200 with JSON.
    void get(const SocketAddress &node, const std::string &path, JsonCallback callback);
    /// Sends a GET to one node after another until one answers. A 404 counts as an answer.
    /// @param nodes must not be empty
    void getAny(std::vector<SocketAddress> nodes, const std::string &path, JsonCallback callback);
    /// Gets the list of members from the first of `nodes` that answers.
    /// @param nodes must not be empty
    void fetchMembers(std::vector<SocketAddress> nodes, MembersCallback callback);
    /// Requests the status of each of `members`. The answers have the order of `members`.
    void fetchStatuses(std::vector<MemberRow> members, AnswersCallback callback);

private:
    struct StatusBatch;
    void queryNext(const std::shared_ptr<StatusBatch> &batch);

    HttpClient &m_client;
    std::int64_t m_timeoutMs;
    std::size_t m_concurrency;
};

} // namespace fulmarledge
