#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "fulmarledge/spread.h"

namespace fulmarledge {

/// Member that has reported a version above the local one.
struct Advertiser {
    std::string host;
    SocketAddress address;
    Version version = 0;
    TimeMs seenMs = 0;
};

/// Decides when to pull and from whom: one pull at a time, late enough for a push to arrive first.
class PullPlan
{
public:
    PullPlan(const SpreadSettings &settings, RandomSource &random);

    void clear();
    void note(TimeMs now, Advertiser advertiser);
    /// Makes `advertiser` the next source, without the delay.
    void pullNow(TimeMs now, Advertiser advertiser, bool full);
    /// Drops a source whose content was unusable.
    void drop(const std::string &host);
    void onAnswer();
    /// A newer version is held: the next pull may ask for a delta again.
    void onHeld();
    void onRefusal(TimeMs now, TimeMs retryAfterMs);
    /// Ends a pull that was not answered in time and returns its source.
    std::optional<Advertiser> expire(TimeMs now);
    /// Source to pull from now, if any. The caller sends the pull.
    std::optional<Advertiser> next(TimeMs now, Version newest);
    /// Whether a recent pull was not answered, so that datagrams may be lost.
    bool isReliable(TimeMs now) const
    {
        return now < m_reliableUntil;
    }
    /// Whether the pull returned by next() asks for the full manifest.
    bool isFull() const
    {
        return m_full;
    }

private:
    const SpreadSettings &m_settings;
    RandomSource &m_random;
    std::vector<Advertiser> m_advertisers;
    std::optional<Advertiser> m_first; ///< preferred source of the next pull
    std::optional<TimeMs> m_dueAt;
    std::optional<TimeMs> m_deadline; ///< of the pull in progress
    Advertiser m_source; ///< of the pull in progress
    TimeMs m_reliableUntil = 0;
    int m_failures = 0;
    bool m_full = false;
};

/// Limits the full manifests that a node sends.
class FullAnswerLimit
{
public:
    explicit FullAnswerLimit(const SpreadSettings &settings);
    /// Time after which to ask again, or nothing when a full manifest may be sent now.
    std::optional<TimeMs> refuse(TimeMs now);

private:
    const SpreadSettings &m_settings;
    std::deque<TimeMs> m_sent;
};

} // namespace fulmarledge
