#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "ctl_nodes.h"
#include "ioloop.h"

namespace fulmarledge {

struct WaitResult {
    bool converged = false;
    std::size_t nodes = 0; ///< live nodes in the last list of members
    std::map<std::string, std::string> lagging; ///< host and reason for each node that does not run the version
    std::string failure; ///< why the last request for the list of members failed; empty when it did not
    std::int64_t elapsedMs = 0;
};

/// Polls every live node until all run a version, or a newer one, or the time limit has passed. Use it only on the
/// thread of the event loop.
class ConvergenceWait
{
public:
    using Callback = std::function<void(const WaitResult &)>;

    ConvergenceWait(IoLoop &loop, NodeQuery &query, std::vector<SocketAddress> nodes, Version version,
                    std::int64_t limitMs, Callback callback);

    void start();

private:
    void poll();
    void onMembers(const std::optional<std::vector<MemberRow>> &members, const std::string &failure);
    void onAnswers(const std::vector<NodeAnswer> &answers);
    void pollAgainOrFinish();

    IoLoop &m_loop;
    NodeQuery &m_query;
    std::vector<SocketAddress> m_nodes;
    Version m_version;
    std::int64_t m_limitMs;
    Callback m_callback;
    TimeMs m_startMs = 0;
    std::set<std::string> m_convergedHosts; ///< not polled again, as a node never returns to an older version
    WaitResult m_result;
};

} // namespace fulmarledge
