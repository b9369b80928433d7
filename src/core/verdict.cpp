#include "fulmarledge/verdict.h"

#include <array>

namespace fulmarledge {

std::string_view verdictName(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not-run";
    case Verdict::MayHaveRun:
        return "may-have-run";
    case Verdict::Answered:
        return "answered";
    }
    return "may-have-run";
}

std::string_view reasonName(Reason reason)
{
    static constexpr std::array<std::string_view, static_cast<std::size_t>(Reason::Count)> kNames{
        "none",
        "no-route",
        "not-ready",
        "stale-node",
        "no-backend",
        "connect-failed",
        "connection-lost",
        "truncated",
        "deadline",
        "queue-full",
        "deadline-unreachable",
        "draining",
        "wrong-host",
        "shed-load",
        "retry-budget",
        "attempts",
        "duplicate-running",
        "outcome-unknown",
        "key-table-full",
        "body-too-large",
        "bad-header",
        "caller-gone",
        "depth",
        "key-reused",
        "answer-not-kept",
        "foreign-answer",
        "wrong-instance",
        "zone-busy",
        "link-busy",
        "slow-caller",
        "answer-memory-full",
        "unknown-key",
        "quota",
        "caller-memory-full",
        "invalid-status",
    };
    const auto index = static_cast<std::size_t>(reason);
    return index < kNames.size() ? kNames[index] : "unknown";
}

} // namespace fulmarledge
