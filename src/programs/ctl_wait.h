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
    std::size_t nodes = 0; ///< live nodes, by the last list of members
    std::map<std::string, std::string> lagging; ///< reason by host
    std::string failure; ///< why the list of members is missing
    std::int64_t elapsedMs = 0;
};

/// Polls every live node until all run a version or the limit has passed. Belongs to the loop's thread.
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
    void again();

    IoLoop &m_loop;
    NodeQuery &m_query;
    std::vector<SocketAddress> m_nodes;
    Version m_version;
    std::int64_t m_limitMs;
    Callback m_callback;
    TimeMs m_started = 0;
    std::set<std::string> m_converged; ///< hosts seen to run the version; they never return to an older one
    WaitResult m_result;
};

} // namespace fulmarledge
