#include "peerfloor_p.h"

#include <algorithm>

namespace fulmarledge {

namespace {

/// Number of distinct members whose versions are enough to determine the floor.
constexpr int kRequiredVersions = 3;

} // namespace

void PeerFloor::restart(std::int64_t nonce)
{
    m_nonce = nonce;
    m_answers.clear();
    m_enoughAnswersAt.reset();
}

void PeerFloor::onAnswer(const std::string &host, Version version)
{
    Version &known = m_answers[host];
    known = std::max(known, version);
}

bool PeerFloor::hasEnoughAnswers(const MemberView &members) const
{
    // Members that know no floor are not counted, because they cannot tell the newest version, for instance after a
    // restart of the whole fleet.
    const auto answersWithVersion
        = std::count_if(m_answers.begin(), m_answers.end(), [](const auto &answer) { return answer.second > 0; });
    if (answersWithVersion == 0 || answersWithVersion >= kRequiredVersions) {
        return answersWithVersion > 0;
    }
    for (const std::string &zone : members.zones()) {
        for (const Member &member : members.zoneMembers(zone)) {
            if (member.host != members.self().host && !m_answers.contains(member.host)) {
                return false;
            }
        }
    }
    return true;
}

std::optional<Version> PeerFloor::result(TimeMs now, TimeMs extraWaitMs, const MemberView &members)
{
    if (!m_enoughAnswersAt && hasEnoughAnswers(members)) {
        m_enoughAnswersAt = now;
    }
    if (!m_enoughAnswersAt || now - *m_enoughAnswersAt < extraWaitMs) {
        return std::nullopt;
    }
    Version floor = 0;
    for (const auto &[host, version] : m_answers) {
        floor = std::max(floor, version);
    }
    return floor;
}

} // namespace fulmarledge
