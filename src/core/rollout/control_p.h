#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fulmarledge/rolloutcontrol.h"
#include "fulmarledge_types.h"
#include "rollout/coordinator_p.h"

namespace fulmarledge {

class RolloutControl::Private
{
public:
    Private(const RolloutSettings &settings, TimeMs aloneReadPeriodMs, MemberView &members, PeerTransport &peers,
            PlatformStore &platform, RandomSource &random, MetricsSink &metrics, EventLog &log);

    void setGuard(RolloutGuard *guard)
    {
        m_guard = guard;
    }
    void onTick(TimeMs time, std::span<const wire::HostRecord> records, std::uint64_t tableRevision);
    void onMessage(TimeMs time, const wire::Envelope &message);
    std::vector<RolloutView> views(TimeMs time) const;
    const VersionAssignment &assignment() const
    {
        return m_assignment;
    }
    std::uint64_t revision() const
    {
        return m_revision;
    }

private:
    /// Everything known of one service.
    struct Service {
        std::string name;
        // The version in force.
        std::string inForce;
        std::int64_t inForceChanges = 0; ///< 0 while the version in force is not settled
        TimeMs inForceSince = 0;
        TimeMs inForceUsableAt = 0; ///< when a backend server of the version in force was last usable
        // The last order and what the platform's object says of it.
        std::int64_t revision = 0; ///< of the object
        std::int64_t orderId = 0;
        RolloutOrder order;
        RolloutState state = RolloutState::None; ///< Running also while the object does not say so yet
        bool isAcknowledged = false; ///< the object says `running`
        bool isStartKnown = true; ///< `orderedAt` is that of the order
        TimeMs orderedAt = 0;
        // The split in force.
        std::shared_ptr<VersionSplit> split;
        std::int64_t term = 0;
        std::int64_t sequence = 0;
        wire::RolloutStep::type step = wire::RolloutStep::Trial;
        std::uint32_t shareMillionths = 0;
        TimeMs splitAt = 0; ///< when the last split was received or sent
        TimeMs movedAt = 0; ///< when the traffic moved to the target version
        std::string coordinatorHost;
        // The decision.
        std::unique_ptr<RolloutCoordinator> coordinator; ///< on the candidates
        std::vector<std::string> candidates; ///< hosts in the order in which they decide
        bool isActing = false;
        TimeMs nextSplitAt = 0;
        bool isWriting = false;
        TimeMs nextWriteAt = 0;
        int failedWrites = 0; ///< in a row; only the first is logged
        RolloutState loggedResult = RolloutState::None;
        std::string result; ///< why the last order was rolled back
        // Backend servers.
        std::vector<RolloutServer> servers;
        bool hasVersions = false; ///< a backend server announces a version
        ServerOutcomes baseline; ///< of this host's backend server at the order
    };

    // control.cpp
    void updateServers(std::span<const wire::HostRecord> records);
    void updateVersionInForce(Service &service);
    std::string majorityVersion(const Service &service) const;
    void changeVersionInForce(Service &service, std::string version, std::string_view cause);
    void updateAssignment();
    bool isMoved(const Service &service) const;
    void updateGuard();
    // decide.cpp
    void updateCandidates();
    void decide(Service &service);
    void beginActing(Service &service);
    void sendSplit(Service &service, const RolloutDecision &decision);
    void applySplit(Service &service, const wire::RolloutSplit &split);
    void writeStatus(Service &service);
    void onStatusWritten(const std::string &name, std::int64_t orderId, const RolloutStatus &status,
                         const StoreReply &reply);
    void sendReport();
    void onReport(const std::string &host, const wire::RolloutReport &report);
    // orders.cpp
    void updateReaders();
    void readOrders();
    void onOrders(const StoreReply &reply);
    /// @return whether anything changed
    bool applyObject(const RolloutOrder &order, const RolloutStatus &status, std::int64_t revision);
    void beginOrder(Service &service, const RolloutOrder &order, std::int64_t id, TimeMs orderedAt);
    void endOrder(Service &service, RolloutState state);
    wire::RolloutRecord toRecord(const Service &service) const;
    bool mergeRecord(const wire::RolloutRecord &record);
    std::int64_t recordsHash() const;
    // relay.cpp
    void onState(const wire::Header &header, const wire::RolloutState &state);
    /// Sends a state to all live members, through some members of each zone.
    void spread(const wire::RolloutState &state);
    void relay(wire::RolloutState state, const std::vector<const Member *> &receivers);
    void sendRecords(const SocketAddress &to);
    void spreadRecords(const std::vector<std::string> &names);
    void tickRecords();

    void event(std::string_view name, const Service &service, const std::string &detail = {});

    const RolloutSettings m_settings;
    const TimeMs m_aloneReadPeriodMs;
    MemberView &m_members;
    PeerTransport &m_peers;
    PlatformStore &m_platform;
    RandomSource &m_random;
    MetricsSink &m_metrics;
    EventLog &m_log;
    RolloutGuard *m_guard = nullptr;
    std::int64_t m_process = 0; ///< random number of this process

    TimeMs m_now = 0;
    TimeMs m_startedAt = 0; ///< 0 before the first tick
    std::map<std::string, Service, std::less<>> m_services;
    std::uint64_t m_tableRevision = 0;
    std::string m_ownService;
    std::string m_ownVersion;
    VersionAssignment m_assignment;
    std::uint64_t m_revision = 0;
    bool m_isGuardClosed = false;
    TimeMs m_nextReportAt = 0;
    TimeMs m_rankedAt = 0; ///< when candidates and readers were last ranked
    std::size_t m_rankedCount = 0; ///< members at that time

    bool m_isSynced = false; ///< another member has sent its records, or there was none to ask
    TimeMs m_nextPullAt = 0;
    TimeMs m_nextHashAt = 0;
    std::vector<std::string> m_readers; ///< hosts in the order in which they read the orders
    TimeMs m_ordersReadAt = 0; ///< by any member
    TimeMs m_nextReadAt = 0; ///< by this one, at the earliest
    bool m_isReading = false;
    TimeMs m_readStartedAt = 0;
    bool m_isReadNeeded = false; ///< the outcome of a write is not known
    std::shared_ptr<char> m_alive = std::make_shared<char>();
};

} // namespace fulmarledge
