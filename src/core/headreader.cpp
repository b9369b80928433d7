#include "headreader_p.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace fulmarledge {

namespace {

constexpr TimeMs kNever = std::numeric_limits<TimeMs>::max();
constexpr TimeMs kMinWatchPeriodMs = 1000;
/// Time by which a watcher of the fleet reads `head` after the one before it. Covers a call, the message about it and a
/// tick.
constexpr TimeMs kReadStaggerMs = 100;
/// Watchers from this position on read at random times, so that the last one does not wait long if many are cut off.
constexpr int kOrderedReaders = 3;
/// The periodic reads vary by the period divided by these: those of the first readers, and those of the others.
constexpr TimeMs kOrderedJitterDivisor = 16;
constexpr TimeMs kJitterDivisor = 4;

} // namespace

HeadReader::HeadReader(const SpreadSettings &settings, PlatformStore &platform, RandomSource &random,
                       MetricsSink &metrics, EventLog &log, HeadReaderListener &listener)
    : m_settings(settings)
    , m_platform(platform)
    , m_random(random)
    , m_metrics(metrics)
    , m_log(log)
    , m_listener(listener)
    , m_sessionToken(std::make_shared<char>())
{
}

void HeadReader::restart(TimeMs now, TimeMs readWindowMs)
{
    m_now = now;
    m_sessionToken = std::make_shared<char>();
    for (Call *call : {&m_read, &m_watch, &m_fetch}) {
        call->active = false;
        call->failures = 0;
    }
    m_watch.notBefore = now;
    m_fetch.notBefore = std::max(m_fetch.notBefore, now);
    m_readNeeded = true;
    m_readOnce = false;
    m_firstReadAdvanced = false;
    m_objectVersion.reset();
    const auto delay = static_cast<TimeMs>(m_random.below(static_cast<std::uint64_t>(readWindowMs) + 1));
    m_read.notBefore = std::max(m_throttledUntil, now + delay);
    m_isNextReadPeriodic = false;
}

void HeadReader::advanceFirstRead(TimeMs now, TimeMs readWindowMs)
{
    if (m_firstReadAdvanced || !m_readNeeded || m_read.active || m_read.failures > 0) {
        return;
    }
    m_firstReadAdvanced = true;
    const auto delay = static_cast<TimeMs>(m_random.below(static_cast<std::uint64_t>(readWindowMs) + 1));
    m_read.notBefore = std::min(m_read.notBefore, std::max(m_throttledUntil, now + delay));
}

void HeadReader::readOnce(TimeMs at)
{
    if (m_read.active || m_readNeeded) {
        return;
    }
    m_readNeeded = true;
    m_readOnce = true;
    m_isNextReadPeriodic = false;
    m_read.notBefore = std::max(m_read.failures > 0 ? std::max(at, m_read.notBefore) : at, m_throttledUntil);
}

void HeadReader::cancelReadOnce()
{
    if (m_readOnce) {
        m_readNeeded = false;
        m_readOnce = false;
    }
}

void HeadReader::setWatching(TimeMs now, bool watching)
{
    if (watching == m_watching) {
        return;
    }
    m_watching = watching;
    m_log.event(watching ? "watch-start" : "watch-stop", "");
    if (watching) {
        // The delay of the first read after a restart is kept, because it protects the platform when the whole fleet
        // restarts.
        if (!m_readNeeded) {
            const auto jitter = static_cast<std::uint64_t>(m_settings.jitterMs) + 1;
            m_read.notBefore = std::max(m_throttledUntil, now + static_cast<TimeMs>(m_random.below(jitter)));
            m_isNextReadPeriodic = false;
        }
        m_objectVersion.reset();
    } else {
        ++m_watch.id;
        m_watch.active = false;
    }
}

void HeadReader::noteReadByOther(TimeMs now)
{
    m_now = now;
    if (m_isNextReadPeriodic && !m_read.active) {
        const TimeMs due = m_read.notBefore;
        schedulePeriodicRead();
        m_read.notBefore = std::max(m_read.notBefore, due);
    }
}

void HeadReader::replaceWatch(std::string_view reason)
{
    if (!m_watch.active || !m_reachable) {
        return;
    }
    m_log.event("watch-replaced", "reason=" + std::string(reason));
    m_metrics.count("spread_watches_replaced", reason, 1);
    // A late reply is still used, as it is passed on whichever call it belongs to.
    m_watch.active = false;
    m_watch.notBefore = std::max(m_now, m_throttledUntil);
    m_read.notBefore = std::min(m_read.notBefore, m_watch.notBefore);
    m_isNextReadPeriodic = false;
}

void HeadReader::requestContent(Version version, const std::string &digest, TimeMs at)
{
    if (m_requestedVersion == version && m_requestedDigest == digest) {
        if (m_fetch.failures == 0 && !m_fetch.active) {
            m_fetch.notBefore = std::min(m_fetch.notBefore, std::max(at, m_throttledUntil));
        }
        return;
    }
    m_requestedVersion = version;
    m_requestedDigest = digest;
    m_fetch.active = false;
    m_fetch.failures = 0;
    m_fetch.notBefore = std::max(at, m_throttledUntil);
    if (m_now >= m_fetch.notBefore) {
        startFetch();
    }
}

void HeadReader::cancelContentRequest()
{
    m_requestedVersion = 0;
    m_requestedDigest.clear();
}

void HeadReader::refetch()
{
    ++m_fetch.failures;
    m_fetch.notBefore = m_now + std::max(backoff(m_fetch.failures), m_readWindowMs);
}

void HeadReader::tick(TimeMs now, TimeMs readWindowMs, bool pollOnly)
{
    m_now = now;
    m_readWindowMs = readWindowMs;
    failIfExpired(m_read, "read");
    failIfExpired(m_fetch, "fetch");
    if (m_watch.active && now >= m_watch.deadline) {
        failIfExpired(m_watch, "watch");
        m_read.notBefore = std::min(m_read.notBefore, std::max(now, m_throttledUntil));
        m_isNextReadPeriodic = false;
    }
    if ((m_readNeeded || m_watching) && !m_read.active && now >= m_read.notBefore) {
        startRead();
    }
    if (m_watching && !pollOnly && m_objectVersion && !m_watch.active && now >= m_watch.notBefore) {
        startWatch();
    }
    if (m_requestedVersion != 0 && !m_fetch.active && now >= m_fetch.notBefore) {
        startFetch();
    }
}

void HeadReader::startRead()
{
    markStarted(m_read, "read", m_settings.readTimeoutMs);
    const std::int64_t id = m_read.id;
    m_platform.get(kHeadKind, kHeadName, guarded([this, id](const StoreReply &reply) { onReadReply(id, reply); }));
}

void HeadReader::startWatch()
{
    markStarted(m_watch, "watch", m_settings.watchTimeoutMs + m_settings.watchGraceMs);
    const std::int64_t id = m_watch.id;
    m_platform.watch(kHeadKind, kHeadName, *m_objectVersion, m_settings.watchTimeoutMs,
                     guarded([this, id](const StoreReply &reply) { onWatchReply(id, reply); }));
}

void HeadReader::startFetch()
{
    markStarted(m_fetch, "fetch", m_settings.readTimeoutMs);
    const std::int64_t id = m_fetch.id;
    m_platform.get(
        kManifestKind, m_requestedDigest,
        guarded([this, id, digest = m_requestedDigest](const StoreReply &reply) { onFetchReply(id, digest, reply); }));
}

void HeadReader::onReadReply(std::int64_t id, const StoreReply &reply)
{
    const bool isCurrent = m_read.active && m_read.id == id;
    const bool isMissing = reply.status == StoreStatus::NotFound;
    if (!isMissing && reply.status != StoreStatus::Ok) {
        if (isCurrent) {
            markFailed(m_read, "read", reply);
        }
        return;
    }
    const std::int64_t announcedVersion = m_objectVersion.value_or(0);
    const bool followsFailure = std::exchange(m_readFailed, false);
    markAnswered(m_read);
    m_read.active = m_read.active && !isCurrent;
    m_readNeeded = false;
    m_readOnce = false;
    schedulePeriodicRead();
    if (isMissing) {
        m_objectVersion = m_objectVersion.value_or(0);
        m_listener.onHead(Head{}, HeadSource::Read);
        m_listener.onHeadRead();
        return;
    }
    processHead(reply, HeadSource::Read);
    m_listener.onHeadRead();
    // The platform may have dropped the watch without a reply, in an outage or with its connection.
    if (followsFailure) {
        replaceWatch("platform-regained");
    } else if (announcedVersion > 0 && m_objectVersion.value_or(0) > announcedVersion) {
        replaceWatch("change-not-announced");
    }
}

void HeadReader::schedulePeriodicRead()
{
    // A node that is not a watcher waits for two windows, which leaves the second one to the fetches that follow the
    // first reads of a restarting fleet.
    const TimeMs period = std::max(m_settings.headCheckMs, 2 * m_readWindowMs);
    const bool isOrdered = m_readPosition < kOrderedReaders;
    const auto jitter = static_cast<std::uint64_t>(period / (isOrdered ? kOrderedJitterDivisor : kJitterDivisor)) + 1;
    m_read.notBefore = m_now + period + std::min(m_readPosition, kOrderedReaders) * kReadStaggerMs
        + (isOrdered ? -1 : 1) * static_cast<TimeMs>(m_random.below(jitter));
    m_isNextReadPeriodic = true;
}

void HeadReader::onWatchReply(std::int64_t id, const StoreReply &reply)
{
    const bool isCurrent = m_watch.active && m_watch.id == id;
    const std::int64_t previousObjectVersion = m_objectVersion.value_or(0);
    if (reply.status == StoreStatus::Ok) {
        processHead(reply, HeadSource::Watch);
    }
    if (!isCurrent) {
        return;
    }
    m_watch.active = false;
    switch (reply.status) {
    case StoreStatus::Ok:
    case StoreStatus::Unchanged:
        markAnswered(m_watch);
        // A watch that ends early without a change is not repeated at once, to avoid a tight loop.
        m_watch.notBefore
            = m_objectVersion.value_or(0) > previousObjectVersion ? m_now : m_watch.startedAt + kMinWatchPeriodMs;
        break;
    case StoreStatus::Expired:
        onWatchExpired();
        break;
    case StoreStatus::NotFound:
        // A missing object is polled by the periodic reads of `head`.
        markAnswered(m_watch);
        m_objectVersion.reset();
        break;
    default:
        markFailed(m_watch, "watch", reply);
        m_read.notBefore = std::min(m_read.notBefore, std::max(m_watch.notBefore, m_throttledUntil));
        m_isNextReadPeriodic = false;
        break;
    }
}

void HeadReader::onWatchExpired()
{
    setReachable(true);
    m_metrics.count("spread_watch_expired", "", 1);
    m_objectVersion.reset();
    // After the first expiry, `head` is read at once. If the history expires again, reads back off.
    const TimeMs delay = ++m_watch.failures == 1 ? 0 : backoff(m_watch.failures);
    m_read.notBefore = std::min(m_read.notBefore, std::max(m_now + delay, m_throttledUntil));
    m_isNextReadPeriodic = false;
}

void HeadReader::onFetchReply(std::int64_t id, const std::string &digest, const StoreReply &reply)
{
    const bool isCurrent = m_fetch.active && m_fetch.id == id;
    if (reply.status != StoreStatus::Ok || reply.objects.empty()) {
        if (isCurrent) {
            markFailed(m_fetch, "fetch", reply);
        }
        return;
    }
    markAnswered(m_fetch);
    m_fetch.active = m_fetch.active && !isCurrent;
    if (m_requestedVersion == 0 || digest != m_requestedDigest) {
        return;
    }
    // The listener cancels the request if the content is usable, and else calls refetch().
    m_fetch.notBefore = kNever;
    m_listener.onPlatformContent(m_requestedVersion, digest, reply.objects.front().value);
}

bool HeadReader::processHead(const StoreReply &reply, HeadSource source)
{
    LastReason error;
    const auto head = reply.objects.empty() ? std::nullopt : Head::parse(reply.objects.front().value, error);
    if (!head) {
        m_metrics.count("spread_rejected", "head-malformed", 1);
        m_log.event("head-malformed", error.text());
        return false;
    }
    const std::int64_t version = reply.objects.front().version;
    m_objectVersion = std::max(m_objectVersion.value_or(0), version);
    m_listener.onHead(*head, source);
    return true;
}

void HeadReader::markStarted(Call &call, std::string_view name, TimeMs timeoutMs)
{
    ++call.id;
    call.active = true;
    call.startedAt = m_now;
    call.deadline = m_now + timeoutMs;
    m_metrics.count("spread_platform_calls", name, 1);
}

void HeadReader::failIfExpired(Call &call, std::string_view name)
{
    if (!call.active || m_now < call.deadline) {
        return;
    }
    markFailed(call, name, {StoreStatus::Unavailable, {}, 0, "call timed out"});
}

void HeadReader::markFailed(Call &call, std::string_view name, const StoreReply &reply)
{
    call.active = false;
    ++call.failures;
    m_metrics.count("spread_platform_failures", storeStatusName(reply.status), 1);
    TimeMs delay = std::max(backoff(call.failures), m_readWindowMs);
    if (reply.status == StoreStatus::Throttled) {
        // A throttled caller adds its own back-off to retry-after, because all callers were given the same time.
        m_throttledUntil = std::max(m_throttledUntil, m_now + std::max<TimeMs>(reply.retryAfterMs, 0));
        delay += std::max<TimeMs>(reply.retryAfterMs, 0);
        for (Call *other : {&m_read, &m_watch, &m_fetch}) {
            other->notBefore = std::max(other->notBefore, m_throttledUntil);
        }
    } else {
        setReachable(false);
        m_readFailed = m_readFailed || &call == &m_read;
    }
    m_isNextReadPeriodic = m_isNextReadPeriodic && &call != &m_read;
    call.notBefore = m_now + delay;
    if (call.failures == 1) {
        m_log.event("platform-failure",
                    std::string(name) + " status=" + std::string(storeStatusName(reply.status))
                        + " reason=" + reply.reason);
    }
    // A platform that throttles is reachable, so peers do not replace it as the source of the version floor.
    if (reply.status != StoreStatus::Throttled) {
        m_listener.onPlatformFailure();
    }
}

void HeadReader::markAnswered(Call &call)
{
    call.failures = 0;
    setReachable(true);
}

void HeadReader::setReachable(bool reachable)
{
    if (reachable != m_reachable) {
        m_log.event(reachable ? "platform-reachable" : "platform-unreachable", "");
    }
    m_reachable = reachable;
}

TimeMs HeadReader::backoff(int failures)
{
    const int shift = std::clamp(failures - 1, 0, 16);
    const TimeMs bound = std::min(m_settings.backoffMinMs << shift, m_settings.backoffMaxMs);
    // Up to half of the delay is random, so that nodes whose calls failed together do not retry together.
    return bound - static_cast<TimeMs>(m_random.below(static_cast<std::uint64_t>(bound / 2) + 1));
}

StoreCallback HeadReader::guarded(std::function<void(const StoreReply &)> handler)
{
    return [token = std::weak_ptr<char>(m_sessionToken), handler = std::move(handler)](const StoreReply &reply) {
        if (!token.expired()) {
            handler(reply);
        }
    };
}

} // namespace fulmarledge
