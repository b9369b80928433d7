#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "fulmarledge/rollout.h"
#include "fulmarledge/rolloutoutcomes.h"
#include "fulmarledge_types.h"
#include "rollout/judge_p.h"

namespace fulmarledge {

/// A backend server of the service, as the host table shows it.
struct RolloutServer {
    std::string host;
    std::string version;
    bool usable = false; ///< serving and not dead
};

/// Order that a coordinator works on.
struct RolloutTask {
    RolloutOrder order;
    std::string inForce; ///< version in force
    std::int64_t id = 0; ///< of the order
    TimeMs orderedAt = 0;
};

/// Split of the requests that the fleet shall apply.
struct RolloutDecision {
    wire::RolloutStep::type step = wire::RolloutStep::Trial;
    std::uint32_t shareMillionths = 0;
    std::uint32_t servers = 1;
    std::uint32_t pulse = 0;
};

/// Decides on one order: how many requests go to the target version, when the traffic moves, and the result.
/// Follows the reports of the slot guards. Every candidate for the decision runs one, so that the next can take over;
/// only `advance` of the acting one is called.
class RolloutCoordinator
{
public:
    RolloutCoordinator(const RolloutSettings &settings, RolloutTask task);

    void onReport(const std::string &host, const wire::RolloutReport &report, TimeMs now);
    /// Tests the outcomes that have been reported. To be called every 50 ms.
    void onTick(TimeMs now);
    /// Takes over the step that the fleet applies.
    void adopt(wire::RolloutStep::type step, TimeMs now);
    /// Decides on the split and the result. To be called every 50 ms by the acting coordinator.
    RolloutDecision advance(std::span<const RolloutServer> servers, TimeMs now);

    /// Result to be written; `Running` while there is none. `Done` can turn into `RolledBack` until it is written.
    RolloutState result() const
    {
        return m_result;
    }
    /// Why the order is rolled back.
    const std::string &reason() const
    {
        return m_reason;
    }
    /// Time at which the traffic moves if nothing speaks against the target version.
    TimeMs moveAt() const;
    TimeMs deadline() const
    {
        return m_task.orderedAt + m_task.order.durationMs;
    }
    std::int64_t sentToTarget() const
    {
        return m_sentToTarget;
    }
    std::int64_t sent() const
    {
        return m_sent;
    }
    const RolloutJudge &judge() const
    {
        return m_judge;
    }

private:
    /// Last report of a host.
    struct Host {
        wire::RolloutReport report;
        TimeMs reportedAt = 0;
    };
    struct Sent {
        TimeMs at = 0;
        std::int64_t count = 0;
    };

    void addOutcomes(const wire::RolloutReport &former, const wire::RolloutReport &report, TimeMs now);
    void rollBack(std::string reason);
    /// Requests per second of the service.
    double requestRate(TimeMs now) const;
    /// Requests that the target version may get until the deadline.
    double exposureBudget(double rate, TimeMs now) const;
    void updatePulse(std::size_t inForceServers, std::size_t targetServers, TimeMs now);
    void endTrial(std::size_t targetServers, TimeMs now);
    bool areOthersIdle(std::span<const RolloutServer> servers, TimeMs now) const;

    const RolloutSettings m_settings;
    const RolloutTask m_task;
    RolloutJudge m_judge;
    std::map<std::string, Host> m_hosts;
    std::deque<Sent> m_recentlySent;
    std::int64_t m_sent = 0; ///< requests of the service since the order
    std::int64_t m_sentToTarget = 0;
    RolloutDecision m_decision;
    double m_pulseShare = 0; ///< share of the last pulse
    TimeMs m_pulseEndedAt = 0;
    bool m_isPulse = false;
    bool m_sawTarget = false; ///< a backend server of the target version has been usable
    TimeMs m_targetUsableAt = 0; ///< when one was last usable
    TimeMs m_movedAt = 0;
    RolloutState m_result = RolloutState::Running;
    std::string m_reason;
};

} // namespace fulmarledge
