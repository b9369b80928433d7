#include "fulmarledge/leavememory.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <span>
#include <utility>

namespace fulmarledge {

using nlohmann::json;

namespace {

constexpr TimeMs kRepeatMs = 500;
/// One in this many leaves lists all of them, which bounds how many old ones there are.
constexpr std::uint64_t kSweepInterval = 8;
constexpr int kMaxRemovals = 16;

json toJson(const LeaveMemory::Leave &leave)
{
    return {{"instance", leave.leaving.instance}, {"born", leave.leaving.processStartMs}, {"stored", leave.storedMs}};
}

/// Nodes of earlier versions read the newest leave only, so it stands at the top level.
std::string toText(std::span<const LeaveMemory::Leave> leaves)
{
    json document = toJson(leaves.back());
    json earlier = json::array();
    for (const LeaveMemory::Leave &leave : leaves.first(leaves.size() - 1)) {
        earlier.push_back(toJson(leave));
    }
    if (!earlier.empty()) {
        document["earlier"] = std::move(earlier);
    }
    return document.dump();
}

std::optional<LeaveMemory::Leave> fromJson(const json &value)
{
    if (!value.is_object() || !value.contains("instance") || !value["instance"].is_string() || !value.contains("born")
        || !value["born"].is_number_integer() || !value.contains("stored") || !value["stored"].is_number_integer()) {
        return std::nullopt;
    }
    return LeaveMemory::Leave{{value["instance"].get<std::string>(), value["born"].get<std::int64_t>()},
                              value["stored"].get<std::int64_t>()};
}

/// Leaves of a stored object, newest last. Empty if it is unreadable.
std::vector<LeaveMemory::Leave> parse(std::string_view text)
{
    std::vector<LeaveMemory::Leave> leaves;
    const json value = json::parse(text, nullptr, false);
    const std::optional<LeaveMemory::Leave> newest = fromJson(value);
    if (!newest) {
        return leaves;
    }
    const auto earlier = value.find("earlier");
    if (earlier != value.end() && earlier->is_array()) {
        for (const json &entry : *earlier) {
            if (const auto leave = fromJson(entry); leave && leaves.size() < LeaveMemory::kMaxLeaves) {
                leaves.push_back(*leave);
            }
        }
    }
    leaves.push_back(*newest);
    return leaves;
}

} // namespace

LeaveMemory::LeaveMemory(std::string host, PlatformStore &store, RandomSource &random, MetricsSink &metrics,
                         EventLog &log)
    : m_host(std::move(host))
    , m_store(store)
    , m_random(random)
    , m_metrics(metrics)
    , m_log(log)
{
}

LeaveMemory::~LeaveMemory() = default;

void LeaveMemory::whenKnown(TimeMs now, std::int64_t wallClockMs, Callback done)
{
    m_now = now;
    m_askedAtMs = wallClockMs;
    if (m_isKnown) {
        done();
        return;
    }
    m_waitingForRead.push_back({now + kWaitLimitMs, std::move(done)});
    if (!m_isReading) {
        read();
    }
}

void LeaveMemory::remember(TimeMs now, std::int64_t wallClockMs, const LeavingBackend &leaving, Callback done)
{
    m_now = now;
    const bool isCovered = covers(leaving);
    if (isCovered && m_isWritten) {
        done();
        return;
    }
    m_waitingForWrite.push_back({now + kWaitLimitMs, std::move(done)});
    if (!isCovered) {
        add({leaving, wallClockMs}, wallClockMs);
        m_changedAtMs = wallClockMs;
        m_changedSinceWrite = true;
    }
    m_isWritten = false;
    m_giveUpAt = now + kRepeatLimitMs;
    if (!m_isWriting) {
        write();
    }
}

bool LeaveMemory::covers(const LeavingBackend &leaving) const
{
    return std::any_of(m_leaves.begin(), m_leaves.end(), [&](const Leave &known) {
        return known.leaving.instance == leaving.instance && known.leaving.processStartMs >= leaving.processStartMs;
    });
}

void LeaveMemory::add(const Leave &leave, std::int64_t wallClockMs)
{
    std::erase_if(m_leaves, [&](const Leave &known) {
        return known.leaving.instance == leave.leaving.instance || wallClockMs - known.storedMs > kLeaveBindingMs;
    });
    m_leaves.push_back(leave);
    if (m_leaves.size() > kMaxLeaves) {
        m_leaves.erase(m_leaves.begin());
        m_metrics.count("leave_store", "dropped", 1);
    }
}

void LeaveMemory::tick(TimeMs now)
{
    m_now = now;
    if (!m_isWritten && !m_isWriting && now >= m_writeAt && now < m_giveUpAt) {
        write();
    }
    for (std::vector<Waiting> *list : {&m_waitingForRead, &m_waitingForWrite}) {
        std::vector<Waiting> due;
        for (Waiting &waiting : *list) {
            if (now >= waiting.deadline) {
                due.push_back(std::move(waiting));
            }
        }
        if (!due.empty()) {
            std::erase_if(*list, [now](const Waiting &waiting) { return now >= waiting.deadline; });
            m_metrics.count("leave_store", list == &m_waitingForRead ? "read-late" : "write-late", 1);
            m_log.event(list == &m_waitingForRead ? "leave-not-read" : "leave-not-stored", "no answer of the platform");
            finish(due);
        }
    }
}

void LeaveMemory::finish(std::vector<Waiting> &waiting)
{
    for (const Waiting &entry : std::exchange(waiting, {})) {
        entry.done();
    }
}

StoreCallback LeaveMemory::guarded(void (LeaveMemory::*handler)(const StoreReply &))
{
    return [this, handler, token = std::weak_ptr<bool>(m_lifetimeToken)](const StoreReply &reply) {
        if (!token.expired()) {
            (this->*handler)(reply);
        }
    };
}

void LeaveMemory::read()
{
    m_isReading = true;
    m_metrics.count("leave_store", "read", 1);
    m_store.get(kLeaveKind, m_host, guarded(&LeaveMemory::onRead));
}

void LeaveMemory::onRead(const StoreReply &reply)
{
    m_isReading = false;
    const bool isMissing = reply.status == StoreStatus::NotFound;
    if (!isMissing && (reply.status != StoreStatus::Ok || reply.objects.empty())) {
        // The next announcement reads again. A node that knows other members goes on with what they remember.
        m_metrics.count("leave_store", "read-failed", 1);
        m_log.event("leave-not-read", "status=" + std::string(storeStatusName(reply.status)));
        finish(m_waitingForRead);
        return;
    }
    m_objectVersion = isMissing ? 0 : reply.objects.front().version;
    if (!isMissing) {
        merge(reply.objects.front().value);
    }
    m_isKnown = true;
    finish(m_waitingForRead);
    // A write that met an object of unknown version waits for this.
    if (!m_isWritten && !m_isWriting) {
        write();
    }
}

void LeaveMemory::merge(std::string_view text)
{
    const std::vector<Leave> stored = parse(text);
    if (stored.empty()) {
        m_log.event("leave-unreadable", "it is replaced by the next one");
    }
    const std::int64_t wallClockMs = std::max(m_askedAtMs, m_changedAtMs);
    std::vector<Leave> known = std::exchange(m_leaves, {});
    for (const Leave &leave : stored) {
        if (wallClockMs - leave.storedMs > kLeaveBindingMs) {
            continue;
        }
        add(leave, wallClockMs);
        if (!m_isKnown) {
            m_stored.push_back(leave.leaving);
            m_log.event("leave-read", "instance=" + leave.leaving.instance);
        }
    }
    // What this process has heard is newer.
    for (const Leave &leave : known) {
        if (!covers(leave.leaving)) {
            add(leave, wallClockMs);
        }
    }
    // A write in progress does not hold what was added.
    m_changedSinceWrite = true;
}

void LeaveMemory::write()
{
    m_isWriting = true;
    m_changedSinceWrite = false;
    m_metrics.count("leave_store", "write", 1);
    const std::string text = toText(m_leaves);
    if (m_objectVersion == 0) {
        m_store.create(kLeaveKind, m_host, text, guarded(&LeaveMemory::onWritten));
    } else {
        m_store.update(kLeaveKind, m_host, m_objectVersion, text, guarded(&LeaveMemory::onWritten));
    }
}

void LeaveMemory::onWritten(const StoreReply &reply)
{
    m_isWriting = false;
    if (reply.status == StoreStatus::Ok) {
        m_objectVersion = reply.objects.empty() ? 0 : reply.objects.front().version;
        m_log.event("leave-stored",
                    "instance=" + m_leaves.back().leaving.instance + " leaves=" + std::to_string(m_leaves.size()));
        if (m_changedSinceWrite) {
            write();
            return;
        }
        m_isWritten = true;
        finish(m_waitingForWrite);
        sweep();
        return;
    }
    m_writeAt = m_now + std::max(kRepeatMs, reply.retryAfterMs);
    if (reply.status == StoreStatus::Conflict && !m_isReading) {
        // An earlier process has stored a leave, or an earlier write has taken effect after all.
        read();
    }
}

void LeaveMemory::sweep()
{
    if (m_random.below(kSweepInterval) == 0) {
        m_store.list(kLeaveKind, guarded(&LeaveMemory::onListed));
    }
}

void LeaveMemory::onListed(const StoreReply &reply)
{
    int removals = 0;
    for (const StoreObject &object : reply.objects) {
        const std::vector<Leave> stored = parse(object.value);
        const bool isOld = stored.empty() || m_changedAtMs - stored.back().storedMs > kKeepMs;
        if (object.name != m_host && isOld && removals < kMaxRemovals) {
            ++removals;
            // A leave that was stored meanwhile has another version and stays.
            m_store.remove(kLeaveKind, object.name, object.version, [](const StoreReply &) {});
        }
    }
    m_metrics.count("leave_store", "removed", removals);
}

} // namespace fulmarledge
