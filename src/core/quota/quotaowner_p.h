#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "fulmarledge/quota.h"
#include "quotagroups_p.h"

namespace fulmarledge {

/// Parts of what may run beyond rate x window + burst.
struct QuotaExtra {
    double standing = 0; ///< credit that nodes may hold beyond the burst
    double local = 0; ///< requests per window that nodes admit without credit
};
QuotaExtra quotaExtra(const QuotaSettings &settings, double ratePerS, double burst);

/// Grants the credit of the organisations that this node owns. Used by the control thread alone.
class QuotaOwner
{
public:
    QuotaOwner(const QuotaSettings &settings, const QuotaGroups &groups);

    void setLimit(const QuotaSlot &slot, TimeMs now);
    void removeLimit(std::int64_t id);
    /// Forgets the credit of all organisations, so that each starts without any.
    void onPause();
    void onTick(TimeMs now);
    /// Answers a request for credit. The result is empty for a malformed request and for a duplicate.
    std::optional<wire::QuotaGrant> onRequest(TimeMs now, const std::string &host, const wire::QuotaRequest &request);

private:
    /// Credit that a node holds, as far as this owner knows.
    struct Holding {
        std::int32_t credit = 0;
        std::int32_t sequence = 0;
        TimeMs expiresAt = 0;
    };
    struct Bucket {
        std::uint32_t group = 0;
        double ratePerS = 0;
        double burst = 0;
        double tokens = 0;
        double held = 0; ///< sum of the holdings
        TimeMs refilledAt = 0;
        TimeMs grantsFrom = 0; ///< of the group when the bucket was started
        bool isStarted = false;
        bool isListed = false; ///< in m_withHoldings
        std::unordered_map<std::string, Holding> holdings;
    };
    struct Answer {
        std::int32_t granted = 0;
        std::int32_t pauseMs = 0;
    };

    void refill(Bucket &bucket, TimeMs now);
    static void dropExpired(Bucket &bucket, TimeMs now);
    /// Empty for a duplicate.
    std::optional<Answer> grant(Bucket &bucket, TimeMs now, const std::string &host, const wire::QuotaRequest &request,
                                std::size_t i);

    QuotaSettings m_settings;
    const QuotaGroups &m_groups;
    std::unordered_map<std::int64_t, Bucket> m_buckets;
    std::vector<std::int64_t> m_withHoldings; ///< ids of buckets to sweep
    TimeMs m_sweptAt = 0;
};

} // namespace fulmarledge
