#include "ctl_wait.h"

namespace fulmarledge {

namespace {

constexpr std::int64_t kPollPauseMs = 100;

} // namespace

ConvergenceWait::ConvergenceWait(IoLoop &loop, NodeQuery &query, std::vector<SocketAddress> nodes, Version version,
                                 std::int64_t limitMs, Callback callback)
    : m_loop(loop)
    , m_query(query)
    , m_nodes(std::move(nodes))
    , m_version(version)
    , m_limitMs(limitMs)
    , m_callback(std::move(callback))
{
}

void ConvergenceWait::start()
{
    m_startMs = monotonicMs();
    poll();
}

void ConvergenceWait::poll()
{
    m_query.fetchMembers(m_nodes,
                         [this](const std::optional<std::vector<MemberRow>> &members, const std::string &failure) {
                             onMembers(members, failure);
                         });
}

void ConvergenceWait::onMembers(const std::optional<std::vector<MemberRow>> &members, const std::string &failure)
{
    m_result.failure = failure;
    if (!members) {
        pollAgainOrFinish();
        return;
    }
    std::vector<MemberRow> pending;
    m_result.nodes = 0;
    for (const MemberRow &member : *members) {
        if (isLive(member)) {
            ++m_result.nodes;
            if (!m_convergedHosts.contains(member.host)) {
                pending.push_back(member);
            }
        }
    }
    m_query.fetchStatuses(std::move(pending), [this](const std::vector<NodeAnswer> &answers) { onAnswers(answers); });
}

void ConvergenceWait::onAnswers(const std::vector<NodeAnswer> &answers)
{
    m_result.lagging.clear();
    for (const NodeAnswer &answer : answers) {
        if (runningVersion(answer) >= m_version) {
            m_convergedHosts.insert(answer.member.host);
        } else {
            m_result.lagging[answer.member.host] = lagReason(answer, m_version);
        }
    }
    // A list without live members proves nothing, because the node that sent it may have just started.
    if (m_result.lagging.empty() && m_result.nodes > 0) {
        m_result.converged = true;
        m_result.elapsedMs = monotonicMs() - m_startMs;
        m_callback(m_result);
        return;
    }
    pollAgainOrFinish();
}

void ConvergenceWait::pollAgainOrFinish()
{
    m_result.elapsedMs = monotonicMs() - m_startMs;
    if (m_result.elapsedMs >= m_limitMs) {
        m_callback(m_result);
        return;
    }
    m_loop.runAfter(kPollPauseMs, [this] { poll(); });
}

} // namespace fulmarledge
