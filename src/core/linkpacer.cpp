#include "fulmarledge/linkpacer.h"

#include <algorithm>
#include <cmath>

namespace fulmarledge {

namespace {

/// Part of the link's rate that answers may use. The rest covers packet headers, acknowledgements and control traffic.
constexpr double kAnswerShare = 0.9;
constexpr double kBytesPerMsPerMegabit = 125;
/// Amount of large messages that may be written at once, as time on the link. A small message waits for about this time
/// behind them. It is long enough to make up for late wake-ups.
constexpr double kBurstMs = 40;
/// Longest time for which large messages wait because of other bytes that were sent. No heartbeat is sent in the middle
/// of a large message, so this has to stay below the silence after which a peer closes its connection.
constexpr double kMaxDebtMs = 400;
/// `waitMs` waits until this amount may be written, as time on the link.
constexpr double kMinWriteMs = 10;

double burstBytes(double bytesPerMs)
{
    return bytesPerMs * kBurstMs;
}

} // namespace

double answerRate(double megabitsPerS)
{
    return megabitsPerS * kBytesPerMsPerMegabit * kAnswerShare;
}

LinkPacer::LinkPacer(double bytesPerMs)
    : m_bytesPerMs(bytesPerMs)
    , m_tokens(burstBytes(bytesPerMs))
{
}

void LinkPacer::refill(TimeMs now)
{
    const auto elapsed = static_cast<double>(std::max<TimeMs>(now - m_refilledAt, 0));
    m_refilledAt = now;
    m_tokens = std::min(m_tokens + elapsed * m_bytesPerMs, burstBytes(m_bytesPerMs));
}

void LinkPacer::recordSent(std::size_t bytes, TimeMs now)
{
    refill(now);
    m_tokens = std::max(m_tokens - static_cast<double>(bytes), -m_bytesPerMs * kMaxDebtMs);
}

std::size_t LinkPacer::allowedBytes(TimeMs now)
{
    refill(now);
    return m_tokens > 0 ? static_cast<std::size_t>(m_tokens) : 0;
}

TimeMs LinkPacer::waitMs(TimeMs now)
{
    refill(now);
    const double missingBytes = m_bytesPerMs * kMinWriteMs - m_tokens;
    return missingBytes <= 0 ? 1 : std::max<TimeMs>(static_cast<TimeMs>(std::ceil(missingBytes / m_bytesPerMs)), 1);
}

} // namespace fulmarledge
