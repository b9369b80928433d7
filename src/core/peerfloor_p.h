#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "fulmarledge/memberview.h"
#include "fulmarledge/types.h"

namespace fulmarledge {

/// Version floor from the members, for the time that the platform cannot be reached.
class PeerFloor
{
public:
    /// Forgets all answers. `nonce` tells answers to this round from earlier ones.
    void restart(std::int64_t nonce);
    std::int64_t nonce() const
    {
        return m_nonce;
    }
    bool hasAnswered(const std::string &host) const
    {
        return m_answers.contains(host);
    }
    /// @param version version that the member runs, or 0 when it does not know its own floor
    void onAnswer(const std::string &host, Version version);
    /// Floor once enough members have answered and another `periodMs` has passed.
    std::optional<Version> result(TimeMs now, TimeMs periodMs, const MemberView &members);

private:
    bool isSettled(const MemberView &members) const;

    std::int64_t m_nonce = 0;
    std::map<std::string, Version> m_answers;
    std::optional<TimeMs> m_settledAt;
};

} // namespace fulmarledge
