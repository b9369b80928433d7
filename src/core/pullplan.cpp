#include "pullplan_p.h"

#include <algorithm>

namespace fulmarledge {

namespace {

constexpr std::size_t kMaxAdvertisers = 8;
/// A member that reported its version longer ago may have restarted since and hold no version.
constexpr TimeMs kAdvertiserLifeMs = 10000;
constexpr int kMaxBackoffShift = 2;
/// Time for which pulls go over a connection after one was not answered. A link that loses datagrams because it is full
/// stays so for seconds.
constexpr TimeMs kReliableMs = 10000;

} // namespace

PullPlan::PullPlan(const SpreadSettings &settings, RandomSource &random)
    : m_settings(settings)
    , m_random(random)
{
}

void PullPlan::clear()
{
    m_advertisers.clear();
    m_first.reset();
    m_dueAt.reset();
    m_deadline.reset();
    m_failures = 0;
    m_full = false;
}

void PullPlan::note(TimeMs now, Advertiser advertiser)
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
    if (!m_dueAt && !m_deadline) {
        const auto jitter = static_cast<std::uint64_t>(m_settings.jitterMs) + 1;
        m_dueAt = now + m_settings.settleMs + static_cast<TimeMs>(m_random.below(jitter));
    }
}

void PullPlan::pullNow(TimeMs now, Advertiser advertiser, bool full)
{
    m_full = m_full || full;
    note(now, advertiser);
    if (!m_deadline) {
        m_first = std::move(advertiser);
        m_dueAt = now;
    }
}

void PullPlan::drop(const std::string &host)
{
    std::erase_if(m_advertisers, [&](const Advertiser &entry) { return entry.host == host; });
}

void PullPlan::onAnswer()
{
    m_deadline.reset();
    m_failures = 0;
}

void PullPlan::onHeld()
{
    m_full = false;
    m_first.reset();
}

void PullPlan::onRefusal(TimeMs now, TimeMs retryAfterMs)
{
    m_deadline.reset();
    const TimeMs wait = std::clamp<TimeMs>(retryAfterMs, 1, m_settings.backoffMaxMs);
    m_dueAt = now + wait + static_cast<TimeMs>(m_random.below(static_cast<std::uint64_t>(wait)));
}

std::optional<Advertiser> PullPlan::expire(TimeMs now)
{
    if (!m_deadline || now < *m_deadline) {
        return std::nullopt;
    }
    m_deadline.reset();
    ++m_failures;
    m_reliableUntil = now + kReliableMs;
    m_dueAt = now;
    return m_source;
}

std::optional<Advertiser> PullPlan::next(TimeMs now, Version newest)
{
    std::erase_if(m_advertisers, [&](const Advertiser &entry) {
        return entry.version <= newest || now - entry.seenMs > kAdvertiserLifeMs;
    });
    if (m_advertisers.empty()) {
        clear();
        return std::nullopt;
    }
    if (m_deadline) {
        return std::nullopt;
    }
    if (!m_dueAt) {
        m_dueAt = now + m_settings.settleMs;
    }
    if (now < *m_dueAt) {
        return std::nullopt;
    }
    m_dueAt.reset();
    m_deadline = now + (m_settings.pullTimeoutMs << std::min(m_failures, kMaxBackoffShift));
    m_source = m_first ? *m_first : m_advertisers[m_random.below(m_advertisers.size())];
    m_first.reset();
    return m_source;
}

FullAnswerLimit::FullAnswerLimit(const SpreadSettings &settings)
    : m_settings(settings)
{
}

std::optional<TimeMs> FullAnswerLimit::refuse(TimeMs now)
{
    while (!m_sent.empty() && now - m_sent.front() >= m_settings.fullAnswerWindowMs) {
        m_sent.pop_front();
    }
    if (m_sent.size() >= static_cast<std::size_t>(m_settings.fullAnswers)) {
        return m_settings.fullAnswerWindowMs - (now - m_sent.front());
    }
    m_sent.push_back(now);
    return std::nullopt;
}

} // namespace fulmarledge
