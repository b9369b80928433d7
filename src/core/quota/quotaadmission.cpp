#include <algorithm>

#include "fulmarledge/quota.h"
#include "quotacredit_p.h"

namespace fulmarledge {

namespace {

/// Time between two attempts of a request that waits for credit, and the longest wait. An answer takes about 2 ms; the
/// wait leaves time to ask again after a loss.
constexpr TimeMs kPollMs = 5;
constexpr TimeMs kMaxWaitMs = 200;
/// Latest retry time told to callers.
constexpr TimeMs kMaxPromiseMs = 10000;
constexpr std::uint64_t kUsedOne = 1ULL << kUsedShift;
constexpr unsigned kWindowShift = 16;
constexpr std::uint64_t kWindowCountMask = (1U << kWindowShift) - 1;

bool takeCredit(QuotaSlot &slot, TimeMs now)
{
    if (now >= slot.expiresAt.load(std::memory_order_acquire)) {
        return false;
    }
    std::uint64_t credit = slot.credit.load(std::memory_order_relaxed);
    while (tokensOf(credit) > 0) {
        if (slot.credit.compare_exchange_weak(credit, credit + kUsedOne - 1, std::memory_order_relaxed)) {
            return true;
        }
    }
    return false;
}

/// Admits a request from the allowance that needs no credit.
bool takeLocal(QuotaSlot &slot, TimeMs now, TimeMs windowMs)
{
    const std::uint64_t cap = std::min<std::uint64_t>(slot.localCap.load(std::memory_order_relaxed), kWindowCountMask);
    if (cap == 0) {
        return false;
    }
    std::uint64_t window = slot.localWindow.load(std::memory_order_relaxed);
    for (;;) {
        const auto start = static_cast<TimeMs>(window >> kWindowShift);
        const std::uint64_t count = window & kWindowCountMask;
        const bool isOver = now - start >= windowMs;
        if (!isOver && count >= cap) {
            return false;
        }
        const std::uint64_t next = isOver ? (static_cast<std::uint64_t>(now) << kWindowShift) + 1 : window + 1;
        if (slot.localWindow.compare_exchange_weak(window, next, std::memory_order_relaxed)) {
            return true;
        }
    }
}

} // namespace

QuotaDecision QuotaLimiter::admit(const QuotaTable &table, std::uint32_t organisation, TimeMs now, TimeMs waitedMs)
{
    if (organisation >= table.m_slots.size() || !table.m_slots[organisation]) {
        return {};
    }
    QuotaSlot &slot = *table.m_slots[organisation];
    if (waitedMs == 0) {
        slot.demand.fetch_add(1, std::memory_order_relaxed);
    }
    std::atomic<std::uint64_t> &word = table.m_touched[organisation / kBitsPerWord];
    const std::uint64_t bit = 1ULL << (organisation % kBitsPerWord);
    if ((word.load(std::memory_order_relaxed) & bit) == 0) {
        word.fetch_or(bit, std::memory_order_release);
    }
    if (takeCredit(slot, now) || takeLocal(slot, now, m_settings.windowMs)) {
        slot.admitted.fetch_add(1, std::memory_order_relaxed);
        return {};
    }
    if (waitedMs == 0) {
        slot.unmet.fetch_add(1, std::memory_order_relaxed);
    }
    const TimeMs pausedUntil = slot.pausedUntil.load(std::memory_order_relaxed);
    if (waitedMs >= kMaxWaitMs || pausedUntil - now > kMaxWaitMs - waitedMs) {
        return refuse(slot, now);
    }
    if (now < pausedUntil) {
        return {QuotaOutcome::Wait, kPollMs};
    }
    if (!m_isFlushWanted.exchange(true, std::memory_order_acq_rel) && m_onNeeded) {
        m_onNeeded();
    }
    return {QuotaOutcome::Wait, kPollMs};
}

QuotaDecision QuotaLimiter::refuse(QuotaSlot &slot, TimeMs now)
{
    slot.refused.fetch_add(1, std::memory_order_relaxed);
    // Each refused caller gets a later time than the one before, at the pace at which this node admits.
    const TimeMs first = std::max(slot.pausedUntil.load(std::memory_order_relaxed), now);
    const TimeMs step = slot.promiseMs.load(std::memory_order_relaxed);
    TimeMs promised = slot.promisedUntil.load(std::memory_order_relaxed);
    TimeMs next = 0;
    do {
        next = std::min(std::max(promised, first) + step, now + kMaxPromiseMs);
    } while (!slot.promisedUntil.compare_exchange_weak(promised, next, std::memory_order_relaxed));
    return {QuotaOutcome::Refused, std::max<TimeMs>(next - now, 1)};
}

void QuotaLimiter::giveBack(const QuotaTable &table, std::uint32_t organisation, TimeMs now)
{
    if (organisation >= table.m_slots.size() || !table.m_slots[organisation]) {
        return;
    }
    QuotaSlot &slot = *table.m_slots[organisation];
    slot.returned.fetch_add(1, std::memory_order_relaxed);
    // Credit that this node may not hold any more returns to the owner, as a lower number of used requests.
    const bool hasExpired = now >= slot.expiresAt.load(std::memory_order_acquire);
    std::uint64_t credit = slot.credit.load(std::memory_order_relaxed);
    std::uint64_t next = 0;
    do {
        const bool isFull = tokensOf(credit) >= slot.ceiling.load(std::memory_order_relaxed);
        next = credit - kUsedOne + (hasExpired || isFull ? 0 : 1);
    } while (!slot.credit.compare_exchange_weak(credit, next, std::memory_order_relaxed));
}

} // namespace fulmarledge
