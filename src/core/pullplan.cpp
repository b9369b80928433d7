#include "pullplan_p.h"

#include <algorithm>

namespace fulmarledge {

namespace {

constexpr std::size_t kMaxAdvertisers = 8;
/// A member that reported its version longer ago may have restarted since and hold no version.
constexpr TimeMs kAdvertiserMaxAgeMs = 10000;
constexpr int kMaxBackoffShift = 2;
/// Time for which pulls go over a connection after one was not answered. A link that loses datagrams because it is full
/// stays so for seconds.
constexpr TimeMs kReliableTransportMs = 10000;

} // namespace

PullPlan::PullPlan(const SpreadSettings &settings, RandomSource &random)
    : m_settings(settings)
    , m_random(random)
{
}

void PullPlan::clear()
{
    m_advertisers.clear();
    m_preferredSource.reset();
    m_nextPullAt.reset();
    m_deadline.reset();
    m_failures = 0;
    m_needsFullManifest = false;
}

void PullPlan::noteAdvertiser(TimeMs now, Advertiser advertiser)
{
    const auto known = std::find_if(m_advertisers.begin(), m_advertisers.end(),
                                    [&](const Advertiser &entry) { return entry.host == advertiser.host; });
    if (known != m_advertisers.end()) {
        *known = std::move(advertiser);
    } else if (m_advertisers.size() < kMaxAdvertisers) {
        m_advertisers.push_back(std::move(advertiser));
    } else {
        m_advertisers[m_random.below(kMaxAdvertisers)] = std::move(advertiser);
    }
    if (!m_nextPullAt && !m_deadline) {
        const auto jitter = static_cast<std::uint64_t>(m_settings.jitterMs) + 1;
        m_nextPullAt = now + m_settings.pushSettleMs + static_cast<TimeMs>(m_random.below(jitter));
    }
}

void PullPlan::scheduleImmediatePull(TimeMs now, Advertiser advertiser, bool full)
{
    m_needsFullManifest = m_needsFullManifest || full;
    noteAdvertiser(now, advertiser);
    if (!m_deadline) {
        m_preferredSource = std::move(advertiser);
        m_nextPullAt = now;
    }
}

void PullPlan::dropAdvertiser(const std::string &host)
{
    std::erase_if(m_advertisers, [&](const Advertiser &entry) { return entry.host == host; });
}

void PullPlan::onAnswer()
{
    m_deadline.reset();
    m_failures = 0;
}

void PullPlan::onVersionHeld()
{
    m_needsFullManifest = false;
    m_preferredSource.reset();
}

void PullPlan::onRefusal(TimeMs now, TimeMs retryAfterMs)
{
    m_deadline.reset();
    const TimeMs wait = std::clamp<TimeMs>(retryAfterMs, 1, m_settings.backoffMaxMs);
    m_nextPullAt = now + wait + static_cast<TimeMs>(m_random.below(static_cast<std::uint64_t>(wait)));
}

std::optional<Advertiser> PullPlan::expirePull(TimeMs now)
{
    if (!m_deadline || now < *m_deadline) {
        return std::nullopt;
    }
    m_deadline.reset();
    ++m_failures;
    m_reliableUntil = now + kReliableTransportMs;
    m_nextPullAt = now;
    return m_currentSource;
}

std::optional<Advertiser> PullPlan::nextSource(TimeMs now, Version newest)
{
    std::erase_if(m_advertisers, [&](const Advertiser &entry) {
        return entry.version <= newest || now - entry.seenMs > kAdvertiserMaxAgeMs;
    });
    if (m_advertisers.empty()) {
        clear();
        return std::nullopt;
    }
    if (m_deadline) {
        return std::nullopt;
    }
    if (!m_nextPullAt) {
        m_nextPullAt = now + m_settings.pushSettleMs;
    }
    if (now < *m_nextPullAt) {
        return std::nullopt;
    }
    m_nextPullAt.reset();
    m_deadline = now + (m_settings.pullTimeoutMs << std::min(m_failures, kMaxBackoffShift));
    m_currentSource = m_preferredSource ? *m_preferredSource : m_advertisers[m_random.below(m_advertisers.size())];
    m_preferredSource.reset();
    return m_currentSource;
}

FullAnswerLimiter::FullAnswerLimiter(const SpreadSettings &settings)
    : m_settings(settings)
{
}

std::optional<TimeMs> FullAnswerLimiter::reserve(TimeMs now)
{
    while (!m_sent.empty() && now - m_sent.front() >= m_settings.fullAnswerWindowMs) {
        m_sent.pop_front();
    }
    if (m_sent.size() >= static_cast<std::size_t>(m_settings.maxFullAnswers)) {
        return m_settings.fullAnswerWindowMs - (now - m_sent.front());
    }
    m_sent.push_back(now);
    return std::nullopt;
}

} // namespace fulmarledge
