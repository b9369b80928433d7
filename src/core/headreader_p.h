#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "fulmarledge/head.h"
#include "fulmarledge/spread.h"

namespace fulmarledge {

/// Call that has returned `head`.
enum class HeadSource : std::uint8_t {
    Read, ///< a plain read, which the watchers of a fleet share
    Watch ///< a watch, whose answer every watcher receives
};

/// Receives the platform's answers.
class HeadReaderListener
{
public:
    virtual ~HeadReaderListener() = default;
    /// @param head value of `head` at or after the start of the call, empty when the object does not exist
    virtual void onHead(const Head &head, HeadSource source) = 0;
    /// @param text manifest that the platform stores under `digest`, not checked yet
    virtual void onPlatformContent(Version version, const std::string &digest, const std::string &text) = 0;
    /// Called when a plain read of `head` has been answered, after `onHead`.
    virtual void onHeadRead() = 0;
    /// Called when a call failed or timed out, but not when the platform throttled it.
    virtual void onPlatformFailure() = 0;
};

/// Reads and watches the platform's `head` object and fetches manifests. Has at most one read, one watch and one fetch
/// in progress.
class HeadReader
{
public:
    HeadReader(const SpreadSettings &settings, PlatformStore &platform, RandomSource &random, MetricsSink &metrics,
               EventLog &log, HeadReaderListener &listener);

    /// Forgets all calls in progress and reads `head` once, at a random time within `readWindowMs`.
    void restart(TimeMs now, TimeMs readWindowMs);
    /// Brings the first read after restart() forward to a random time within the shorter `readWindowMs`, if it is still
    /// to come. Acts at most once per restart.
    void advanceFirstRead(TimeMs now, TimeMs readWindowMs);
    /// Reads `head` at `at`, also on a node that does not watch. After a failed read, waits for the back-off first.
    void readOnce(TimeMs at);
    /// Drops the read that readOnce() has scheduled.
    void cancelReadOnce();
    /// Starts or stops watching `head`. A node that starts watching reads `head` first.
    void setWatching(TimeMs now, bool watching);
    bool isWatching() const
    {
        return m_watching;
    }
    /// Sets the position of this node among the watchers of the fleet, from 0 on. The first one reads `head` first, and
    /// the others read only if they do not hear of it.
    void setReadPosition(int position)
    {
        m_readPosition = position;
    }
    /// Postpones the next periodic read, because another watcher has just read `head`.
    void noteReadByOther(TimeMs now);
    /// Replaces the watch in progress and reads `head` at once, because the watch seems to be silent.
    void replaceWatch(std::string_view reason);
    /// Fetches the content of `version`, not before `at`. Replaces an earlier request for a different version or
    /// digest. A repeated request can only bring the first fetch forward.
    void requestContent(Version version, const std::string &digest, TimeMs at);
    void cancelContentRequest();
    /// Version whose content is requested, or 0.
    Version requestedVersion() const
    {
        return m_requestedVersion;
    }
    /// Fetches the requested content again after a back-off, because the last reply was unusable.
    void refetch();
    /// Ends calls that have timed out and starts those that are due.
    /// @param readWindowMs smallest back-off after a failure and half the smallest period of reads, 0 for a watcher
    /// @param pollOnly reads `head` periodically instead of watching it
    void tick(TimeMs now, TimeMs readWindowMs, bool pollOnly);

    /// Whether the last finished call was answered. A throttled call does not count.
    bool isReachable() const
    {
        return m_reachable;
    }

private:
    /// State of one kind of call: read, watch or fetch.
    struct Call {
        std::int64_t id = 0; ///< distinguishes a reply to the current call from a late one
        bool active = false;
        TimeMs startedAt = 0;
        TimeMs deadline = 0;
        TimeMs notBefore = 0; ///< earliest start of the next call
        int failures = 0; ///< consecutive
    };

    void startRead();
    /// Schedules the next periodic read.
    void schedulePeriodicRead();
    void startWatch();
    void startFetch();
    void onReadReply(std::int64_t id, const StoreReply &reply);
    void onWatchReply(std::int64_t id, const StoreReply &reply);
    void onWatchExpired();
    void onFetchReply(std::int64_t id, const std::string &digest, const StoreReply &reply);
    /// Parses `head` and passes it to the listener. Returns false when it is malformed.
    bool processHead(const StoreReply &reply, HeadSource source);
    void markStarted(Call &call, std::string_view name, TimeMs timeoutMs);
    /// Marks a call as failed if its deadline has passed.
    void failIfExpired(Call &call, std::string_view name);
    void markFailed(Call &call, std::string_view name, const StoreReply &reply);
    void markAnswered(Call &call);
    void setReachable(bool reachable);
    /// Random delay after `failures` consecutive failures, in ms.
    TimeMs backoff(int failures);
    /// Wraps a reply handler so that it does nothing after a restart() or the end of this object.
    StoreCallback guarded(std::function<void(const StoreReply &)> handler);

    const SpreadSettings &m_settings;
    PlatformStore &m_platform;
    RandomSource &m_random;
    MetricsSink &m_metrics;
    EventLog &m_log;
    HeadReaderListener &m_listener;

    TimeMs m_now = 0;
    TimeMs m_readWindowMs = 0;
    TimeMs m_throttledUntil = 0; ///< end of the platform's retry-after, which applies to every kind of call
    bool m_watching = false;
    bool m_readNeeded = false;
    bool m_readOnce = false; ///< `m_readNeeded` was set by readOnce()
    int m_readPosition = 0;
    bool m_isNextReadPeriodic = false; ///< the next read is due by its period, not for a reason
    bool m_readFailed = false; ///< a read has failed since the last answered one
    bool m_firstReadAdvanced = false; ///< advanceFirstRead() has acted since the last restart
    bool m_reachable = false;
    /// Platform's version number of the `head` object last read. Empty means that `head` is read before it is watched.
    std::optional<std::int64_t> m_objectVersion;
    Call m_read; ///< of `head`
    Call m_watch; ///< of `head`
    Call m_fetch; ///< of the requested content
    Version m_requestedVersion = 0; ///< version whose content is requested, or 0
    std::string m_requestedDigest;
    std::shared_ptr<char> m_sessionToken; ///< replaced by restart(), which makes the replies to earlier calls void
};

} // namespace fulmarledge
