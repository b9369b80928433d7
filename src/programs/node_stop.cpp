#include "node_stop.h"

namespace fulmarledge {

namespace {

constexpr std::int64_t kDrainPollMs = 20;
/// How long a draining node must have nothing left to finish or send before it leaves. The kernel is still sending, and
/// requests of nodes that do not know of the drain yet still arrive.
constexpr TimeMs kIdleBeforeLeaveMs = 250;
/// Time to send the datagrams that announce the leave before the sockets close.
constexpr TimeMs kFarewellMs = 50;

} // namespace

PlannedStop::PlannedStop(IoLoop &loop, const NodeSettings &settings, RequestPath &requestPath, ControlNode &control,
                         BackendAnnouncements &backend, EventLog &log)
    : m_loop(loop)
    , m_settings(settings)
    , m_requestPath(requestPath)
    , m_control(control)
    , m_backend(backend)
    , m_log(log)
{
}

void PlannedStop::logEvent(std::string_view name, const std::string &detail)
{
    m_log.event(name, detail + " version=" + std::to_string(m_control.spread().version()));
}

void PlannedStop::begin()
{
    if (m_hasBegun) {
        return;
    }
    m_hasBegun = true;
    logEvent("draining", "planned stop");
    m_backend.beginShutdown(monotonicMs());
    const StopTimes times = planStop(m_settings.graceMs, m_settings.handoverMs);
    if (times.answerMs > 0) {
        m_exitAtMs = monotonicMs() + times.exitMs;
        m_loop.runAfter(times.answerMs, [this] { endGrace(); });
    }
    if (times.refuseMs > 0) {
        m_loop.runAfter(times.refuseMs, [this] { beginDrain(); });
    } else {
        beginDrain();
    }
}

void PlannedStop::endGrace()
{
    const RequestPathStats stats = m_requestPath.stats();
    logEvent("grace-over",
             "outstanding=" + std::to_string(stats.outstanding) + " unsent=" + std::to_string(stats.unsent));
    m_refusingCallers = true;
    m_requestPath.setReady(false, Reason::Draining);
    m_requestPath.closeCallerConnections();
    m_requestPath.answerOutstanding();
    m_control.leave(monotonicMs());
    exitWhenAnswered();
}

void PlannedStop::exitWhenAnswered()
{
    m_loop.runAfter(kDrainPollMs, [this] {
        const RequestPathStats stats = m_requestPath.stats();
        if ((stats.outstanding == 0 && stats.unsent == 0) || monotonicMs() >= m_exitAtMs) {
            m_loop.stop();
        } else {
            exitWhenAnswered();
        }
    });
}

void PlannedStop::beginDrain()
{
    m_refusingCallers = true;
    m_requestPath.setReady(false, Reason::Draining);
    // Otherwise callers could send on a kept connection just as the process exits.
    m_requestPath.closeCallerConnections();
    m_requestPath.drain([this] { m_loop.post([this] { leaveWhenIdle(); }); });
}

void PlannedStop::leaveWhenIdle()
{
    const RequestPathStats stats = m_requestPath.stats();
    const TimeMs now = monotonicMs();
    if (stats.outstanding > 0 || stats.unsent > 0 || m_idleSinceMs == 0) {
        m_idleSinceMs = now;
    }
    if (now - m_idleSinceMs < kIdleBeforeLeaveMs) {
        m_loop.runAfter(kDrainPollMs, [this] { leaveWhenIdle(); });
        return;
    }
    m_loop.runAfter(m_settings.leaveDelayMs, [this] {
        m_control.leave(monotonicMs());
        // Leaves time to send the datagrams that announce the leave before the sockets close.
        m_loop.runAfter(kFarewellMs, [this] { m_loop.stop(); });
    });
}

} // namespace fulmarledge
