#include "fulmarledge/callermemory.h"

#include <algorithm>
#include <cmath>

namespace fulmarledge {

namespace {

/// Part of the memory for everything held for callers. The rest is for the process itself, the other side of the
/// requests, and strings that take up to twice their size while they grow. Beside 178 callers that held bodies and
/// responses, a node of 96 MiB reached 97 MiB with half of the memory, and 95 MiB with a third.
constexpr std::size_t kCallersMemoryDivisor = 4;
/// Part of the memory for callers that the kernel's buffers may take when all connections have filled theirs.
constexpr std::size_t kSocketsDivisor = 2;
/// Linux doubles the values of SO_RCVBUF and SO_SNDBUF, for its own structures around the data.
constexpr std::size_t kKernelFactor = 2;
/// Responses are usually larger than requests, so a third of the buffers is for receiving.
constexpr std::size_t kReceiveDivisor = 3;
/// Over a round trip of 3 ms, an upload still moves 5 MB/s.
constexpr std::size_t kMinReceiveBufferBytes = std::size_t{16} * 1024;
/// The buffer has to hold more than one segment of 64 KiB, the largest of any link. With less, the sender waits for a
/// delayed acknowledgement after each: 8 MiB over loopback took 4.7 s with 32 KiB and 4 ms with 48 KiB.
constexpr std::size_t kMinSendBufferBytes = std::size_t{64} * 1024;
/// One response then moves 170 MB/s over a round trip of 3 ms, which is beyond the links of the known deployments.
constexpr std::size_t kMaxReceiveBufferBytes = std::size_t{128} * 1024;
constexpr std::size_t kMaxSendBufferBytes = std::size_t{512} * 1024;
/// Part of the memory for callers that small holdings of all connections may take together.
constexpr std::size_t kSmallDivisor = 4;
constexpr std::size_t kMinSmallBytes = std::size_t{16} * 1024;
constexpr std::size_t kMaxSmallBytes = std::size_t{64} * 1024;
/// Part of the memory for the body of a request that is alone. It is held twice, at its caller and at its backend
/// server.
constexpr std::size_t kLargestBodyDivisor = 4;
/// Greatest value of `requests.max_body`.
constexpr std::size_t kMaxLargestBodyBytes = std::size_t{64} * 1024 * 1024;
/// A request counts as alone when all others hold less than this part of the limit.
constexpr std::size_t kAloneDivisor = 8;
/// Connections are closed from the first part of the limit on, until the second is reached. The distance avoids that
/// each new response closes a connection.
constexpr std::size_t kBeginPercent = 85;
constexpr std::size_t kEndPercent = 70;
constexpr std::size_t kPercent = 100;
/// Time constant of `TransferRate`. A reader that pauses for less is not taken for a slow one.
constexpr double kRateMs = 1000;
/// A connection that would hold its bytes for longer at its present rate counts as slow.
constexpr double kSlowDrainMs = 5000;
/// Time for which a connection has to hold bytes before its rate tells anything.
constexpr TimeMs kJudgeMs = 1000;

bool isSlow(const CallerHolding &holding, TimeMs now)
{
    return now - holding.heldSinceMs >= kJudgeMs
        && static_cast<double>(holding.heldBytes) > holding.bytesPerMs * kSlowDrainMs;
}

/// Time for which a connection holds its bytes at its present rate.
double drainMs(const CallerHolding &holding)
{
    static constexpr double kLeastRate = 1e-3;
    return static_cast<double>(holding.heldBytes) / std::max(holding.bytesPerMs, kLeastRate);
}

} // namespace

CallerMemoryPlan planCallerMemory(std::size_t memoryBytes, std::size_t connections)
{
    CallerMemoryPlan plan;
    if (memoryBytes == 0) {
        return plan;
    }
    const std::size_t count = std::max<std::size_t>(connections, 1);
    plan.limitBytes = std::max<std::size_t>(memoryBytes / kCallersMemoryDivisor, 1);
    const std::size_t socketBytes = plan.limitBytes / kSocketsDivisor / count / kKernelFactor;
    const std::size_t receiveBytes = socketBytes / kReceiveDivisor;
    plan.receiveBufferBytes = std::clamp(receiveBytes, kMinReceiveBufferBytes, kMaxReceiveBufferBytes);
    plan.sendBufferBytes = std::clamp(socketBytes - receiveBytes, kMinSendBufferBytes, kMaxSendBufferBytes);
    plan.smallBytes = std::clamp(plan.limitBytes / kSmallDivisor / count, kMinSmallBytes, kMaxSmallBytes);
    plan.largestBodyBytes = std::min(memoryBytes / kLargestBodyDivisor, kMaxLargestBodyBytes);
    return plan;
}

void TransferRate::update(std::size_t movedBytes, TimeMs now)
{
    const auto elapsed = static_cast<double>(std::max<TimeMs>(now - m_updatedAt, 1));
    const double latest = static_cast<double>(movedBytes) / elapsed;
    m_bytesPerMs += (latest - m_bytesPerMs) * (1 - std::exp(-elapsed / kRateMs));
    m_updatedAt = now;
}

CallerMemoryGuard::CallerMemoryGuard(const CallerMemoryPlan &plan)
    : m_plan(plan)
{
}

bool CallerMemoryGuard::mayShed(std::size_t usedBytes) const
{
    return m_plan.isActive() && usedBytes > m_plan.limitBytes / kPercent * (m_isShedding ? kEndPercent : kBeginPercent);
}

bool CallerMemoryGuard::isAlone(std::size_t ownBytes, std::size_t usedBytes) const
{
    return m_plan.isActive() && usedBytes - std::min(usedBytes, ownBytes) <= m_plan.limitBytes / kAloneDivisor;
}

bool CallerMemoryGuard::admits(std::size_t ownBytes, std::size_t usedBytes) const
{
    return !m_plan.isActive() || ownBytes <= m_plan.smallBytes || usedBytes <= m_plan.limitBytes
        || isAlone(ownBytes, usedBytes);
}

std::vector<std::uint64_t> CallerMemoryGuard::selectToClose(std::size_t usedBytes,
                                                            std::span<const CallerHolding> holdings, TimeMs now)
{
    std::vector<std::uint64_t> selected;
    const std::size_t endBytes = m_plan.limitBytes / kPercent * kEndPercent;
    m_isShedding = mayShed(usedBytes);
    if (!m_isShedding) {
        return selected;
    }
    std::vector<CallerHolding> candidates;
    std::copy_if(holdings.begin(), holdings.end(), std::back_inserter(candidates),
                 [this](const CallerHolding &holding) { return holding.heldBytes > m_plan.smallBytes; });
    const auto quick = std::partition(candidates.begin(), candidates.end(),
                                      [now](const CallerHolding &holding) { return isSlow(holding, now); });
    std::sort(candidates.begin(), quick,
              [](const CallerHolding &a, const CallerHolding &b) { return a.heldBytes > b.heldBytes; });
    std::sort(quick, candidates.end(),
              [](const CallerHolding &a, const CallerHolding &b) { return drainMs(a) > drainMs(b); });
    std::size_t left = usedBytes;
    for (auto at = candidates.begin(); at != candidates.end(); ++at) {
        // A quick reader needs its memory only for a short time.
        const std::size_t bound = at < quick ? endBytes : m_plan.limitBytes;
        if (left <= bound || isAlone(at->heldBytes, left)) {
            break;
        }
        selected.push_back(at->connection);
        left -= std::min(left, at->heldBytes);
    }
    return selected;
}

} // namespace fulmarledge
