#include "quotaowner_p.h"

#include <algorithm>
#include <cmath>

namespace fulmarledge {

namespace {

constexpr double kMsPerSecond = 1000;
/// Parts of the extra requests of a window. The rest covers what this node cannot know, such as credit that is returned
/// in a later window than it was used in.
constexpr double kStandingPart = 0.6;
constexpr double kLocalPart = 0.2;
/// Part of the credit beyond the reserve that one node gets ahead of need, so that others find some too.
constexpr double kAheadPart = 0.5;
/// Part of the burst that is kept for requests that have come already.
constexpr double kReservePart = 0.05;
/// Part of the burst that nodes may hold in addition to the standing credit. With the whole burst, credit that nodes
/// hold and do not use leaves none for others; with half of it, nodes run out of credit and send more messages.
constexpr double kHeldPart = 0.65;
/// Requests per window, at the limit and for each node that holds credit, up to which no credit is granted ahead of
/// need, and from which all of it is. Nodes that send less use little of it before it expires, and that part of the
/// rate is lost to the organisation.
constexpr double kMinUsesPerHolder = 2;
constexpr double kFullUsesPerHolder = 6;
/// Time for which a node is told not to ask again when there is no credit, at least and at most. A longer one saves
/// messages during an excess, and loses credit at its end.
constexpr TimeMs kMinPauseMs = 100;
constexpr TimeMs kMaxPauseMs = 450;
/// Pause when there is credit for the requests that have come, but none ahead of need. Without it, nodes would ask for
/// each request of an organisation at its limit. Requests wait for that long.
constexpr std::int32_t kScarcePauseMs = 120;
/// Slowest rate assumed for pauses, per second.
constexpr double kMinRatePerS = 0.001;
/// The pause while this node may not grant.
constexpr std::int32_t kNotOwnerPauseMs = 250;
/// Time of the rate that may gather while the grants of a former owner may still be held.
constexpr double kTakeoverCapS = 0.2;
constexpr TimeMs kSweepPeriodMs = 250;
/// A sequence number that differs by more than this is of another process of the host.
constexpr std::int64_t kMaxReordered = 10000;

/// Number of requests that a node reports, which a faulty node may state as negative.
std::int32_t atLeastZero(std::int32_t value)
{
    return std::max(value, 0);
}

} // namespace

QuotaExtra quotaExtra(const QuotaSettings &settings, double ratePerS, double burst)
{
    const double windowS = static_cast<double>(settings.windowMs) / kMsPerSecond;
    const double extra = settings.overage * (ratePerS * windowS + burst) + settings.slack;
    return {extra * kStandingPart, extra * kLocalPart};
}

QuotaOwner::QuotaOwner(const QuotaSettings &settings, const QuotaGroups &groups)
    : m_settings(settings)
    , m_groups(groups)
{
}

void QuotaOwner::setLimit(const QuotaSlot &slot, TimeMs now)
{
    Bucket &bucket = m_buckets[slot.id];
    if (bucket.isStarted) {
        refill(bucket, now);
    }
    bucket.group = slot.group;
    bucket.ratePerS = slot.ratePerS.load(std::memory_order_relaxed);
    bucket.burst = slot.burst.load(std::memory_order_relaxed);
}

void QuotaOwner::removeLimit(std::int64_t id)
{
    m_buckets.erase(id);
}

void QuotaOwner::onPause()
{
    for (auto &[id, bucket] : m_buckets) {
        bucket.isStarted = false;
    }
}

void QuotaOwner::refill(Bucket &bucket, TimeMs now)
{
    const TimeMs grantsFrom = m_groups.grantsFrom(bucket.group);
    if (!bucket.isStarted || bucket.grantsFrom != grantsFrom) {
        // The credit that was granted before this node owned the group is unknown, so there is none at first.
        bucket.isStarted = true;
        bucket.grantsFrom = grantsFrom;
        bucket.tokens = 0;
        bucket.refilledAt = std::min(grantsFrom, now);
        bucket.holdings.clear();
        bucket.held = 0;
    }
    const double share = m_groups.share(bucket.group, now);
    const double rate = bucket.ratePerS * share;
    const double elapsedS = static_cast<double>(std::max<TimeMs>(now - bucket.refilledAt, 0)) / kMsPerSecond;
    bucket.refilledAt = std::max(bucket.refilledAt, now);
    const double standing = quotaExtra(m_settings, bucket.ratePerS, bucket.burst).standing;
    double cap = std::min(std::max(bucket.burst, 1.0) * share, (bucket.burst + standing) * share - bucket.held);
    if (now - grantsFrom < m_settings.windowMs) {
        cap = std::min(cap, std::max(rate * kTakeoverCapS, 1.0));
    }
    bucket.tokens = std::max(std::min(bucket.tokens + elapsedS * rate, cap), 0.0);
}

void QuotaOwner::dropExpired(Bucket &bucket, TimeMs now)
{
    for (auto it = bucket.holdings.begin(); it != bucket.holdings.end();) {
        if (now >= it->second.expiresAt) {
            bucket.held -= it->second.credit;
            it = bucket.holdings.erase(it);
        } else {
            ++it;
        }
    }
    if (bucket.holdings.empty()) {
        bucket.held = 0;
    }
}

void QuotaOwner::onTick(TimeMs now)
{
    if (now - m_sweptAt < kSweepPeriodMs) {
        return;
    }
    m_sweptAt = now;
    std::erase_if(m_withHoldings, [this, now](std::int64_t id) {
        const auto found = m_buckets.find(id);
        if (found == m_buckets.end()) {
            return true;
        }
        dropExpired(found->second, now);
        found->second.isListed = !found->second.holdings.empty();
        return !found->second.isListed;
    });
}

std::optional<QuotaOwner::Answer> QuotaOwner::grant(Bucket &bucket, TimeMs now, const std::string &host,
                                                    const wire::QuotaRequest &request, std::size_t i)
{
    refill(bucket, now);
    if (!bucket.isListed) {
        bucket.isListed = true;
        m_withHoldings.push_back(request.organisations[i]);
    }
    Holding &holding = bucket.holdings[host];
    const std::int64_t step = static_cast<std::int64_t>(request.sequence) - holding.sequence;
    if (holding.expiresAt > 0 && step <= 0 && step > -kMaxReordered) {
        return std::nullopt; // a duplicate, or overtaken by a later request
    }
    const std::int32_t held = atLeastZero(request.held[i]);
    // Credit of a grant that was lost on the way, and of requests that have not run, is there again.
    // Not so for a new process of the host, because the credit of the former one may have been used.
    const bool isContinued = step > 0 && step <= kMaxReordered && now < holding.expiresAt;
    const std::int32_t known = isContinued ? holding.credit : 0;
    const std::int32_t unused = known - request.used[i] - held;
    if (unused > 0) {
        const double extra = quotaExtra(m_settings, bucket.ratePerS, bucket.burst).standing;
        const double room = bucket.burst + extra - (bucket.held - holding.credit + held) - bucket.tokens;
        bucket.tokens = std::max(bucket.tokens, std::min(bucket.tokens + std::min<double>(unused, room), bucket.burst));
    }
    Answer answer;
    const std::int32_t needed = atLeastZero(request.needed[i]);
    answer.granted = static_cast<std::int32_t>(std::min<double>(needed, std::floor(bucket.tokens)));
    bucket.tokens -= answer.granted;
    if (answer.granted < needed) {
        // A node asks again when its part of the rate has brought what it lacks.
        const double nodeRate = std::max(bucket.ratePerS * m_groups.share(bucket.group, now), kMinRatePerS)
            / static_cast<double>(bucket.holdings.size());
        const double pauseMs = (needed - answer.granted) / nodeRate * kMsPerSecond;
        answer.pauseMs = static_cast<std::int32_t>(std::clamp<double>(pauseMs, kMinPauseMs, kMaxPauseMs));
    }
    const double standing = quotaExtra(m_settings, bucket.ratePerS, bucket.burst).standing;
    const double windowS = static_cast<double>(m_settings.windowMs) / kMsPerSecond;
    const double usesPerHolder = bucket.ratePerS * windowS / static_cast<double>(bucket.holdings.size());
    const double maxHeld = (bucket.burst * kHeldPart + standing)
        * std::clamp((usesPerHolder - kMinUsesPerHolder) / (kFullUsesPerHolder - kMinUsesPerHolder), 0.0, 1.0);
    const double spare = std::min(bucket.tokens - std::max(bucket.burst * kReservePart, 1.0), maxHeld - bucket.held);
    if (spare >= 1) {
        const double ahead = std::min<double>(atLeastZero(request.ahead[i]), std::ceil(spare * kAheadPart));
        answer.granted += static_cast<std::int32_t>(ahead);
        bucket.tokens -= ahead;
    } else if (answer.pauseMs == 0 && request.ahead[i] > 0) {
        answer.pauseMs = kScarcePauseMs;
    }
    bucket.held += held + answer.granted - holding.credit;
    holding = {held + answer.granted, request.sequence, now + m_settings.windowMs};
    return answer;
}

std::optional<wire::QuotaGrant> QuotaOwner::onRequest(TimeMs now, const std::string &host,
                                                      const wire::QuotaRequest &request)
{
    const std::size_t count = request.organisations.size();
    if (request.held.size() != count || request.used.size() != count || request.needed.size() != count
        || request.ahead.size() != count) {
        return std::nullopt;
    }
    wire::QuotaGrant result;
    result.sequence = request.sequence;
    bool isNew = count == 0;
    for (std::size_t i = 0; i < count; ++i) {
        const auto found = m_buckets.find(request.organisations[i]);
        Answer answer;
        if (found == m_buckets.end() || !m_groups.mayGrant(found->second.group, now)) {
            answer.pauseMs = kNotOwnerPauseMs;
            isNew = true;
        } else if (const auto granted = grant(found->second, now, host, request, i)) {
            answer = *granted;
            isNew = true;
        }
        result.granted.push_back(answer.granted);
        result.pauseMs.push_back(answer.pauseMs);
    }
    return isNew ? std::optional(result) : std::nullopt;
}

} // namespace fulmarledge
