#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "fulmarledge/head.h"
#include "fulmarledge/spread.h"

namespace fulmarledge {

/// Receives what the platform answers.
class HeadReaderListener
{
public:
    virtual ~HeadReaderListener() = default;
    /// `head` as it was at or after the start of the call. Has no acceptance when the object does not exist.
    virtual void onHead(const Head &head) = 0;
    virtual void onContent(Version version, const std::string &digest, const std::string &text) = 0;
    virtual void onPlatformFailure() = 0;
};

/// Reads and watches `head` and fetches contents, with at most one call of each sort in progress.
class HeadReader
{
public:
    HeadReader(const SpreadSettings &settings, PlatformStore &platform, RandomSource &random, MetricsSink &metrics,
               EventLog &log, HeadReaderListener &listener);

    /// Forgets all calls in progress and reads `head` once, at a random time within `windowMs`.
    void restart(TimeMs now, TimeMs windowMs);
    /// Draws the time of a first read that is still to come again, from the shorter `windowMs`. Acts once per restart.
    void hasten(TimeMs now, TimeMs windowMs);
    /// Reads `head` at `at`, also in a node that does not watch. After a failure the back-off of the reads goes first.
    void readOnce(TimeMs at);
    /// Drops a read that readOnce() has planned.
    void cancelReadOnce();
    /// Starts or stops watching. A node that starts reads `head` first.
    void setWatching(TimeMs now, bool watching);
    /// Wants the content of `version` from `at` on. Replaces an earlier wish.
    void want(Version version, const std::string &digest, TimeMs at);
    void cancelWant();
    Version wanted() const
    {
        return m_wanted;
    }
    /// Fetches the wanted content again after a back-off, because the last one was unusable.
    void refetch();
    /// @param windowMs smallest time between two reads, 0 for a watcher
    /// @param pollOnly reads at the period of the checks instead of watching
    void tick(TimeMs now, TimeMs windowMs, bool pollOnly);

    bool reachable() const
    {
        return m_reachable;
    }

private:
    /// One sort of call. `id` tells a reply to the current call from a late one.
    struct Call {
        std::int64_t id = 0;
        bool active = false;
        TimeMs startedAt = 0;
        TimeMs deadline = 0;
        TimeMs notBefore = 0;
        int failures = 0;
    };

    void startRead();
    void startWatch();
    void startFetch();
    void onReadReply(std::int64_t id, const StoreReply &reply);
    void onWatchReply(std::int64_t id, const StoreReply &reply);
    void onWatchExpired();
    void onFetchReply(std::int64_t id, const std::string &digest, const StoreReply &reply);
    bool takeHead(const StoreReply &reply);
    void begin(Call &call, std::string_view name, TimeMs timeoutMs);
    void expire(Call &call, std::string_view name);
    void fail(Call &call, std::string_view name, const StoreReply &reply);
    void answered(Call &call);
    void setReachable(bool reachable);
    TimeMs backoff(int failures);
    /// Wraps a reply handler so that it does nothing once this object or its calls are gone.
    StoreCallback guarded(std::function<void(const StoreReply &)> handler);

    const SpreadSettings &m_settings;
    PlatformStore &m_platform;
    RandomSource &m_random;
    MetricsSink &m_metrics;
    EventLog &m_log;
    HeadReaderListener &m_listener;

    TimeMs m_now = 0;
    TimeMs m_windowMs = 0;
    TimeMs m_throttledUntil = 0; ///< retry-after holds for every sort of call
    bool m_watching = false;
    bool m_readNeeded = false;
    bool m_readOnce = false; ///< `m_readNeeded` was set by readOnce()
    bool m_hastened = false;
    bool m_reachable = false;
    std::optional<std::int64_t> m_objectVersion; ///< platform version of `head` last read
    Call m_read;
    Call m_watch;
    Call m_fetch;
    Version m_wanted = 0;
    std::string m_wantedDigest;
    std::shared_ptr<char> m_token; ///< its owners are the calls of the current session
};

} // namespace fulmarledge
