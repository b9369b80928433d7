#include "platformstandin_store.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "httpstore.h"

namespace fulmarledge {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxValueBytes = 1000000;
constexpr std::int64_t kMaxWatchMs = 300000;

bool isWrite(const StandinCall &call)
{
    return call.operation == "create" || call.operation == "update" || call.operation == "update-status"
        || call.operation == "remove";
}

std::string_view outcomeName(int status)
{
    switch (status) {
    case 200:
    case 201:
        return "ok";
    case 204:
        return "unchanged";
    case 404:
        return "not-found";
    case 409:
    case 412:
        return "conflict";
    case 410:
        return "expired";
    case 429:
        return "throttled";
    case 503:
        return "unavailable";
    default:
        return "invalid";
    }
}

StandinReply objectReply(int status, std::int64_t version, std::string value)
{
    return {status, {{std::string(kObjectVersionField), std::to_string(version)}}, std::move(value)};
}

/// Removes the times up to and including `limit`.
void dropUntil(std::deque<TimeMs> &times, TimeMs limit)
{
    while (!times.empty() && times.front() <= limit) {
        times.pop_front();
    }
}

StandinFault parseFault(const json &value, TimeMs now)
{
    static const std::set<std::string> kModes{"none", "down", "slow", "throttle", "lose", "expire", "silent"};
    StandinFault fault;
    for (const auto &item : value.items()) {
        if (item.key() == "mode") {
            fault.mode = item.value().get<std::string>();
        } else if (item.key() == "kinds") {
            fault.kinds = item.value().get<std::set<std::string>>();
        } else if (item.key() == "operations") {
            fault.operations = item.value().get<std::set<std::string>>();
        } else if (item.key() == "delay_ms") {
            fault.delayMs = item.value().get<std::int64_t>();
        } else if (item.key() == "rate") {
            fault.ratePerSecond = item.value().get<std::int64_t>();
        } else if (item.key() == "retry_after_ms") {
            fault.retryAfterMs = item.value().get<std::int64_t>();
        } else if (item.key() == "after") {
            fault.skipCalls = item.value().get<std::uint64_t>();
        } else if (item.key() == "for_ms") {
            fault.until = now + item.value().get<std::int64_t>();
        } else {
            throw std::runtime_error(item.key() + ": unknown key");
        }
    }
    if (!kModes.contains(fault.mode)) {
        throw std::runtime_error("mode: unknown mode \"" + fault.mode + "\"");
    }
    return fault;
}

} // namespace

void RateWindow::add(TimeMs now)
{
    m_callTimes.push_back(now);
    dropUntil(m_callTimes, now - 1000);
    m_highest = std::max(m_highest, m_callTimes.size());
}

void PlatformStandinStore::call(const StandinCall &call, StandinCallback callback, TimeMs now)
{
    countRate(call, now);
    StandinReply refusal;
    if (findFault("down", call, now) != nullptr) {
        answer(call, callback, {503, {}, "the platform is down"});
    } else if (applyThrottle(call, now, refusal)) {
        answer(call, callback, std::move(refusal));
    } else if (const StandinFault *slow = findFault("slow", call, now)) {
        m_delayed.emplace(now + slow->delayMs, Delayed{call, std::move(callback)});
    } else {
        run(call, callback, now);
    }
}

void PlatformStandinStore::tick(TimeMs now)
{
    while (!m_delayed.empty() && m_delayed.begin()->first <= now) {
        const Delayed delayed = std::move(m_delayed.begin()->second);
        m_delayed.erase(m_delayed.begin());
        run(delayed.call, delayed.callback, now);
    }
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        if (watch->second.due > now) {
            ++watch;
            continue;
        }
        const Watch ended = std::move(watch->second);
        watch = m_watches.erase(watch);
        if (!ended.silent) {
            answer(ended.call, ended.callback, {204, {}, {}});
        }
    }
}

void PlatformStandinStore::countOutcome(const StandinCall &call, std::string_view outcome)
{
    ++m_callsByOperation[call.operation][std::string(outcome)];
    ++m_callsByKind[call.kind][call.operation];
}

void PlatformStandinStore::countRate(const StandinCall &call, TimeMs now)
{
    (isWrite(call) ? m_writes : m_reads).add(now);
}

StandinFault *PlatformStandinStore::findFault(std::string_view mode, const StandinCall &call, TimeMs now)
{
    std::erase_if(m_faults, [&](const StandinFault &entry) { return entry.until && *entry.until <= now; });
    for (StandinFault &entry : m_faults) {
        if (entry.mode != mode || !(entry.kinds.empty() || entry.kinds.contains(call.kind))
            || !(entry.operations.empty() || entry.operations.contains(call.operation))) {
            continue;
        }
        if (entry.skipCalls == 0) {
            return &entry;
        }
        --entry.skipCalls;
    }
    return nullptr;
}

bool PlatformStandinStore::applyThrottle(const StandinCall &call, TimeMs now, StandinReply &reply)
{
    StandinFault *limit = findFault("throttle", call, now);
    if (limit == nullptr) {
        return false;
    }
    dropUntil(limit->passedTimes, now - 1000);
    if (std::cmp_less(limit->passedTimes.size(), limit->ratePerSecond)) {
        limit->passedTimes.push_back(now);
        return false;
    }
    const std::int64_t wait = limit->retryAfterMs > 0 || limit->passedTimes.empty()
        ? limit->retryAfterMs
        : limit->passedTimes.front() + 1000 - now;
    reply = {429, {{"Retry-After-Ms", std::to_string(wait)}}, "too many calls"};
    return true;
}

void PlatformStandinStore::run(const StandinCall &call, const StandinCallback &callback, TimeMs now)
{
    if (call.operation == "watch") {
        startWatch(call, callback, now);
        return;
    }
    const bool lose = isWrite(call) && findFault("lose", call, now) != nullptr;
    StandinReply reply = perform(call);
    if (lose) {
        countOutcome(call, "lost");
    } else {
        answer(call, callback, std::move(reply));
    }
}

void PlatformStandinStore::answer(const StandinCall &call, const StandinCallback &callback, StandinReply reply)
{
    countOutcome(call, outcomeName(reply.status));
    callback(std::move(reply));
}

StandinReply PlatformStandinStore::perform(const StandinCall &call)
{
    if (call.operation == "get") {
        return read(call);
    }
    return call.operation == "list" ? list(call) : write(call);
}

StandinReply PlatformStandinStore::read(const StandinCall &call) const
{
    const auto found = m_objects.find({call.kind, call.name});
    if (found == m_objects.end()) {
        return {404, {}, "no such object"};
    }
    StandinReply reply = objectReply(200, found->second.version, found->second.value);
    if (!found->second.status.empty()) {
        reply.fields.emplace_back(std::string(kObjectStatusField), found->second.status);
    }
    return reply;
}

StandinReply PlatformStandinStore::list(const StandinCall &call) const
{
    json entries = json::array();
    for (const auto &[key, object] : m_objects) {
        if (key.first == call.kind) {
            json entry{{"name", key.second}, {"version", object.version}, {"value", object.value}};
            if (!object.status.empty()) {
                entry["status"] = object.status;
            }
            entries.push_back(std::move(entry));
        }
    }
    return {200, {}, entries.dump()};
}

StandinReply PlatformStandinStore::write(const StandinCall &call)
{
    if (call.value.size() > kMaxValueBytes) {
        return {413, {}, "the value is over 1 MB"};
    }
    if (call.operation == "update-status" && call.value.find_first_of("\r\n") != std::string::npos) {
        return {400, {}, "the status contains a line break"};
    }
    const Key key{call.kind, call.name};
    const auto found = m_objects.find(key);
    if (call.operation == "create") {
        if (found != m_objects.end()) {
            return {409, {}, "the object exists"};
        }
    } else if (found == m_objects.end()) {
        return {404, {}, "no such object"};
    } else if (found->second.version != call.version) {
        return {412, {}, "the object has version " + std::to_string(found->second.version)};
    }
    ++m_revision;
    if (call.operation == "remove") {
        m_objects.erase(found);
        answerWatches(key);
        return {200, {}, {}};
    }
    Object &object = m_objects[key];
    object.version = m_revision;
    (call.operation == "update-status" ? object.status : object.value) = call.value;
    answerWatches(key);
    return objectReply(call.operation == "create" ? 201 : 200, m_revision, {});
}

void PlatformStandinStore::startWatch(const StandinCall &call, const StandinCallback &callback, TimeMs now)
{
    const Key key{call.kind, call.name};
    const auto found = m_objects.find(key);
    const std::int64_t current = found == m_objects.end() ? 0 : found->second.version;
    const auto floor = m_historyFloor.find(key);
    const bool silent = findFault("silent", call, now) != nullptr;
    const bool expired = call.version > m_revision || (floor != m_historyFloor.end() && call.version < floor->second)
        || findFault("expire", call, now) != nullptr;
    if (!silent && expired) {
        answer(call, callback, {410, {}, "the watch history is gone"});
    } else if (!silent && current == 0 && call.version > 0) {
        answer(call, callback, {404, {}, "no such object"});
    } else if (!silent && current > call.version) {
        answer(call, callback, objectReply(200, current, found->second.value));
    } else {
        const TimeMs due = now + std::clamp<std::int64_t>(call.timeoutMs, 0, kMaxWatchMs);
        m_watches.emplace(m_nextWatch++, Watch{call, callback, silent ? now + kMaxWatchMs : due, silent});
        m_peakWatches = std::max(m_peakWatches, m_watches.size());
    }
}

void PlatformStandinStore::answerWatches(const Key &key)
{
    const auto object = m_objects.find(key);
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        const StandinCall &waiting = watch->second.call;
        if (watch->second.silent || waiting.kind != key.first || waiting.name != key.second) {
            ++watch;
            continue;
        }
        const Watch ended = std::move(watch->second);
        watch = m_watches.erase(watch);
        answer(ended.call, ended.callback,
               object == m_objects.end() ? StandinReply{404, {}, "no such object"}
                                         : objectReply(200, object->second.version, object->second.value));
    }
}

void PlatformStandinStore::expireWatches(const StandinFault &fault)
{
    for (const auto &[key, object] : m_objects) {
        if (fault.kinds.empty() || fault.kinds.contains(key.first)) {
            m_historyFloor[key] = object.version;
        }
    }
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        if (watch->second.silent || (!fault.kinds.empty() && !fault.kinds.contains(watch->second.call.kind))) {
            ++watch;
            continue;
        }
        const Watch ended = std::move(watch->second);
        watch = m_watches.erase(watch);
        answer(ended.call, ended.callback, {410, {}, "the watch history is gone"});
    }
}

bool PlatformStandinStore::setFaults(std::string_view text, TimeMs now, LastReason &error)
{
    std::vector<StandinFault> faults;
    try {
        const json document = json::parse(text);
        if (document.is_array()) {
            for (const json &entry : document) {
                faults.push_back(parseFault(entry, now));
            }
        } else {
            faults.push_back(parseFault(document, now));
        }
    } catch (const std::exception &exception) {
        error.set(exception.what());
        return false;
    }
    m_faults = std::move(faults);
    for (const StandinFault &entry : m_faults) {
        if (entry.mode == "expire") {
            expireWatches(entry);
        } else if (entry.mode == "silent") {
            for (auto &[id, watch] : m_watches) {
                if (entry.kinds.empty() || entry.kinds.contains(watch.call.kind)) {
                    watch.silent = true;
                    watch.due = now + kMaxWatchMs;
                }
            }
        }
    }
    return true;
}

std::string PlatformStandinStore::statsJson() const
{
    return json{{"calls", m_callsByOperation},
                {"kinds", m_callsByKind},
                {"watches", {{"now", m_watches.size()}, {"most", m_peakWatches}}},
                {"highest_reads_per_s", m_reads.highest()},
                {"highest_writes_per_s", m_writes.highest()}}
        .dump();
}

} // namespace fulmarledge
