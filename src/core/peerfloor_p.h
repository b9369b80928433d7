#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "fulmarledge/memberview.h"
#include "fulmarledge/types.h"

namespace fulmarledge {

/// Finds the version floor from the answers of other members while the platform is unreachable.
class PeerFloor
{
public:
    /// Forgets all answers. `nonce` distinguishes the answers to this round from earlier ones.
    void restart(std::int64_t nonce);
    std::int64_t nonce() const
    {
        return m_nonce;
    }
    bool hasAnswered(const std::string &host) const
    {
        return m_answers.contains(host);
    }
    /// @param version newest version that the member holds, or 0 when it does not know its own floor
    void onAnswer(const std::string &host, Version version);
    /// Highest version answered, available when `extraWaitMs` has passed since enough members answered.
    std::optional<Version> result(TimeMs now, TimeMs extraWaitMs, const MemberView &members);

private:
    /// Whether 3 members have answered with a version, or all members have answered and at least one has a version.
    bool hasEnoughAnswers(const MemberView &members) const;

    std::int64_t m_nonce = 0;
    std::map<std::string, Version> m_answers;
    std::optional<TimeMs> m_enoughAnswersAt;
};

} // namespace fulmarledge
