#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarledge/memberview.h"
#include "fulmarledge/ports.h"
#include "fulmarledge/types.h"

namespace fulmarledge {

/// Limit of an organisation over all nodes together.
struct QuotaLimit {
    std::string organisation;
    double ratePerS = 0; ///< requests per second; 0: no limit
    double burst = 0; ///< requests beyond the rate
};

struct QuotaSettings {
    TimeMs windowMs = 0; ///< window in which the bound holds; 0: no limit is enforced
    double overage = 0.1; ///< part of (rate x window + burst) that may run in addition
    double slack = 20; ///< requests that may run in addition
    std::uint32_t groups = 2; ///< groups of organisations, each with one owner; equal on all nodes

    bool isEnabled() const
    {
        return windowMs > 0;
    }
};

enum class QuotaOutcome : std::uint8_t {
    Admitted,
    Wait, ///< the owner is asked for credit; call again after `waitMs`
    Refused, ///< over the limit, or no credit can be had; the caller is told `waitMs`
};

struct QuotaDecision {
    QuotaOutcome outcome = QuotaOutcome::Admitted;
    TimeMs waitMs = 0;
};

/// Credit of one organisation at this node. Request threads change the atomic members.
struct QuotaSlot {
    std::string organisation;
    std::int64_t id = 0; ///< see quotaId()
    std::uint32_t group = 0;
    std::atomic<double> ratePerS{0};
    std::atomic<double> burst{0};
    std::atomic<std::uint32_t> localCap{0}; ///< requests per window that need no credit

    /// Credit used since the start, modulo 2^32, in the upper half; credit left in the lower one. One word, so that a
    /// report to the owner never states a request in neither or in both.
    std::atomic<std::uint64_t> credit{0};
    std::atomic<std::uint32_t> ceiling{0}; ///< credit after the last grant, above which nothing is returned here
    std::atomic<TimeMs> expiresAt{0};
    /// Start of the local window in the upper 48 bits, requests admitted in it in the lower 16.
    std::atomic<std::uint64_t> localWindow{0};
    std::atomic<std::uint32_t> demand{0}; ///< requests since the last tick
    std::atomic<std::uint32_t> unmet{0}; ///< requests that found no credit since the last request to the owner
    std::atomic<TimeMs> pausedUntil{0}; ///< the owner is not asked before
    std::atomic<TimeMs> promisedUntil{0}; ///< latest retry time told to a caller
    std::atomic<std::uint32_t> promiseMs{100}; ///< time between two retry times told to callers
    std::atomic<std::uint64_t> admitted{0};
    std::atomic<std::uint64_t> refused{0};
    std::atomic<std::uint64_t> returned{0};

    // Used by the control thread alone.
    double demandPerS = 0;
    std::uint32_t usedReported = 0; ///< upper half of `credit` that the owner has counted
    std::uint32_t usedAsked = 0; ///< upper half of `credit` in the last request to the owner
    std::uint32_t heldReported = 0; ///< credit left in the last request to the owner
    std::uint32_t neededReported = 0; ///< unmet requests in the last request to the owner
    std::int32_t askedSequence = 0; ///< of the last request to the owner
    bool isAsked = false; ///< a request to the owner is in progress
    bool isActive = false; ///< in the limiter's list
    std::uint32_t unanswered = 0; ///< requests to the owner in a row
    TimeMs aheadFrom = 0; ///< no credit is asked for ahead of need before
    TimeMs lastDemandAt = 0;
    std::uint64_t refusedSeen = 0;
    TimeMs lastRefusedAt = 0;
    bool isExceeded = false; ///< has been logged as over its limit
    double admittedPerS = 0;
    std::uint64_t admittedSeen = 0;
};

/// Slots of the organisations of one manifest version, in the order given to QuotaLimiter::setLimits. Immutable, shared
/// with the request threads. An organisation keeps its slot from one version to the next.
class QuotaTable
{
public:
    std::span<const std::shared_ptr<QuotaSlot>> slots() const
    {
        return m_slots;
    }

private:
    friend class QuotaLimiter;
    std::vector<std::shared_ptr<QuotaSlot>> m_slots; ///< null for an organisation without a limit
    /// One bit per organisation, set when a request has come since the control thread last looked.
    mutable std::vector<std::atomic<std::uint64_t>> m_touched;
};

class QuotaLimiter;

/// What request threads need to enforce the limits of one manifest version.
struct QuotaAccess {
    QuotaLimiter *limiter = nullptr; ///< null if no limit is enforced
    std::shared_ptr<const QuotaTable> table;
};

/// State of one organisation for reports.
struct QuotaState {
    std::string organisation;
    double ratePerS = 0; ///< limit
    double burst = 0;
    double admittedPerS = 0; ///< at this node
    std::string owner; ///< host, empty if none is known
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t returned = 0;
};

/// Identifies an organisation in messages: 41 bits of a hash of its name.
std::int64_t quotaId(std::string_view organisation);

class QuotaOwner;
class QuotaGroups;

/// Enforces the limits of organisations at one node with credit granted by their owners. `admit` and `giveBack` may be
/// called from any thread; the other functions belong to the control thread. See docs/design/quotas.md.
class QuotaLimiter
{
public:
    /// @param onNeeded called from a request thread when `flush` is to be called soon
    QuotaLimiter(const QuotaSettings &settings, const MemberView &members, PeerTransport &transport,
                 RandomSource &random, MetricsSink &metrics, EventLog &log, std::function<void()> onNeeded);
    ~QuotaLimiter();
    QuotaLimiter(const QuotaLimiter &) = delete;
    QuotaLimiter &operator=(const QuotaLimiter &) = delete;

    void start(TimeMs now);
    /// To be called every 50 ms.
    void onTick(TimeMs now);
    /// Asks owners for the credit that requests wait for.
    void flush(TimeMs now);
    /// @return whether the message was one of this module
    bool onMessage(TimeMs now, const wire::Envelope &message);
    /// Sets the limits of a manifest version, one per organisation.
    std::shared_ptr<const QuotaTable> setLimits(std::span<const QuotaLimit> limits, TimeMs now);

    /// @param waitedMs time since the first call for this request; 0 for the first one
    QuotaDecision admit(const QuotaTable &table, std::uint32_t organisation, TimeMs now, TimeMs waitedMs);
    /// Returns the credit of an admitted request that certainly has not run.
    void giveBack(const QuotaTable &table, std::uint32_t organisation, TimeMs now);

    const std::shared_ptr<const QuotaTable> &table() const
    {
        return m_table;
    }
    std::vector<QuotaState> states() const;

private:
    /// A request to an owner.
    struct Ask {
        std::string host;
        TimeMs sentAt = 0;
        bool isOverdue = false; ///< may be answered still
        std::vector<std::shared_ptr<QuotaSlot>> slots;
    };

    static QuotaDecision refuse(QuotaSlot &slot, TimeMs now);
    void checkPause(TimeMs now);
    /// Adds the slots that requests have touched to the active ones.
    void collectTouched(const QuotaTable &table);
    void updateDemand(QuotaSlot &slot, TimeMs elapsedMs, TimeMs now);
    void reportExcess(QuotaSlot &slot, TimeMs now);
    void expireAsks(TimeMs now);
    void ask(TimeMs now);
    void sendAsk(const Member &owner, std::vector<std::shared_ptr<QuotaSlot>> slots, TimeMs now);
    void onRequest(TimeMs now, const wire::Envelope &message);
    void sendClaims(TimeMs now);
    void sendClaim(const SocketAddress &to, std::uint32_t group);
    void onClaim(TimeMs now, const wire::Envelope &message);
    void onGrant(TimeMs now, const wire::Envelope &message);
    void applyGrant(QuotaSlot &slot, std::int32_t granted, std::int32_t pauseMs, TimeMs sentAt, TimeMs now);
    void updateLocalCap(QuotaSlot &slot) const;

    QuotaSettings m_settings;
    const MemberView &m_members;
    PeerTransport &m_transport;
    RandomSource &m_random;
    MetricsSink &m_metrics;
    EventLog &m_log;
    std::function<void()> m_onNeeded;
    std::atomic<bool> m_isFlushWanted{false};
    std::shared_ptr<const QuotaTable> m_table;
    std::shared_ptr<const QuotaTable> m_formerTable; ///< some request threads may use it still
    std::vector<std::shared_ptr<QuotaSlot>> m_active; ///< with requests in the last window
    std::map<std::string, std::shared_ptr<QuotaSlot>, std::less<>> m_slotsByName;
    std::unique_ptr<QuotaGroups> m_groups;
    std::unique_ptr<QuotaOwner> m_owner;
    std::map<std::int32_t, Ask> m_asks; ///< requests to owners without an answer
    std::int32_t m_nextSequence = 0;
    TimeMs m_lastTickMs = 0;
    TimeMs m_aheadAt = 0; ///< no credit is asked for ahead of need alone before
    std::size_t m_localCapNodes = 0; ///< nodes that share the local allowance; 0 while they are not known
};

} // namespace fulmarledge
