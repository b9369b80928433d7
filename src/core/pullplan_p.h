#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "fulmarledge/spread.h"

namespace fulmarledge {

/// Member that has reported a version above the one held locally.
struct Advertiser {
    std::string host;
    SocketAddress address;
    Version version = 0;
    TimeMs seenMs = 0;
};

/// Decides when to pull a newer version and from which member. Only one pull is in progress at a time, and it starts
/// late enough for a push to arrive first.
class PullPlan
{
public:
    PullPlan(const SpreadSettings &settings, RandomSource &random);

    void clear();
    /// Adds or updates a possible source and schedules a pull.
    void noteAdvertiser(TimeMs now, Advertiser advertiser);
    /// Makes `advertiser` the next source and pulls without delay, unless a pull is in progress.
    /// @param full asks for the full manifest instead of a delta
    void scheduleImmediatePull(TimeMs now, Advertiser advertiser, bool full);
    /// Drops a source whose content was unusable.
    void dropAdvertiser(const std::string &host);
    /// Called when a manifest or delta has arrived, which ends the pull in progress.
    void onAnswer();
    /// Called when the node holds a newer version, after which the next pull may ask for a delta again.
    void onVersionHeld();
    /// Called when the source has refused a full manifest. The next pull waits for `retryAfterMs` and a random time.
    void onRefusal(TimeMs now, TimeMs retryAfterMs);
    /// Ends a pull that was not answered in time and returns its source.
    std::optional<Advertiser> expirePull(TimeMs now);
    /// Starts a pull if one is due and returns its source. The caller sends the message.
    /// @param newest newest version held locally
    std::optional<Advertiser> nextSource(TimeMs now, Version newest);
    /// Whether pulls go over a connection, because a recent one was not answered and datagrams may be lost.
    bool needsReliableTransport(TimeMs now) const
    {
        return now < m_reliableUntil;
    }
    /// Whether the pull returned by nextSource() asks for the full manifest.
    bool wantsFullManifest() const
    {
        return m_needsFullManifest;
    }

private:
    const SpreadSettings &m_settings;
    RandomSource &m_random;
    std::vector<Advertiser> m_advertisers;
    std::optional<Advertiser> m_preferredSource; ///< of the next pull
    std::optional<TimeMs> m_nextPullAt; ///< earliest start of the next pull
    std::optional<TimeMs> m_deadline; ///< of the pull in progress
    Advertiser m_currentSource; ///< of the pull in progress
    TimeMs m_reliableUntil = 0;
    int m_failures = 0; ///< consecutive pulls that were not answered
    bool m_needsFullManifest = false; ///< the next pull asks for the full manifest
};

/// Limits the number of full manifests that a node sends in a sliding window of time.
class FullAnswerLimiter
{
public:
    explicit FullAnswerLimiter(const SpreadSettings &settings);
    /// Returns nothing and counts a full manifest as sent if the limit allows it. Else returns the time in ms after
    /// which the member should ask again.
    std::optional<TimeMs> reserve(TimeMs now);

private:
    const SpreadSettings &m_settings;
    std::deque<TimeMs> m_sent; ///< times of the full manifests within the window
};

} // namespace fulmarledge
