#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fulmarledge/config.h"
#include "fulmarledge/manifest.h"
#include "fulmarledge/submission.h"

namespace fulmarledge::submissiontest {

class SeededRandom : public RandomSource
{
public:
    explicit SeededRandom(std::uint64_t seed)
        : m_engine(seed)
    {
    }
    std::uint64_t below(std::uint64_t bound) override
    {
        return m_engine() % bound;
    }

private:
    std::mt19937_64 m_engine;
};

/// Fault that one call to the store meets.
enum class CallFault {
    None, ///< no fault
    Refused, ///< no effect, and the reply says so
    Throttled, ///< no effect, and the reply asks for a retry later
    RequestLost, ///< no effect, and the outcome is unknown to the caller
    ReplyLost, ///< takes effect, but the outcome is unknown to the caller
    EffectDelayed ///< takes effect later, perhaps after the caller has learned that the outcome is unknown
};

/// Object store with a queue of events that run in random order, so that the calls of several operators overlap.
/// Records every value that `head` has had.
class FakeStore
{
public:
    explicit FakeStore(SeededRandom &rng)
        : random(rng)
    {
    }

    /// Queues a call. `effect` reads or writes objects and returns the reply for `callback`.
    void call(bool write, std::function<StoreReply()> effect, StoreCallback callback)
    {
        const CallFault fault = pickFault(write);
        events.push_back([this, fault, effect = std::move(effect), callback = std::move(callback)] {
            deliver(fault, effect, callback);
        });
    }
    /// Runs a random event of the queue. Returns false if the queue is empty.
    bool runRandomEvent()
    {
        if (events.empty()) {
            return false;
        }
        const auto event = events.begin() + static_cast<std::ptrdiff_t>(random.below(events.size()));
        const std::function<void()> run = std::move(*event);
        events.erase(event);
        run();
        return true;
    }

    StoreReply read(const std::string &kind, const std::string &name) const
    {
        const auto found = objects.find({kind, name});
        if (found == objects.end()) {
            return {StoreStatus::NotFound, {}, 0, {}};
        }
        return {StoreStatus::Ok, {found->second}, 0, {}};
    }
    /// Writes the object if its version equals `expected`. 0 means that the object must not exist.
    StoreReply write(const std::string &kind, const std::string &name, std::int64_t expected, const std::string &value)
    {
        StoreObject &object = objects.try_emplace({kind, name}).first->second;
        if (object.version != expected && !ignoreVersions) {
            if (!writeDespiteConflict || kind != kHeadKind) {
                return {StoreStatus::Conflict, {}, 0, {}};
            }
        }
        const bool conflict = object.version != expected && !ignoreVersions;
        object = {kind, name, ++revision, value};
        if (kind == kHeadKind) {
            LastReason error;
            headHistory.push_back(*Head::parse(value, error));
        }
        return {conflict ? StoreStatus::Conflict : StoreStatus::Ok, {object}, 0, {}};
    }
    Head head() const
    {
        return headHistory.empty() ? Head() : headHistory.back();
    }
    /// Records an acceptance by an operator that is not under test. `publishHead` makes it visible to readers.
    void acceptFromOther(const std::string &digest)
    {
        headHistory.push_back(head().withAcceptance(digest, "other-" + std::to_string(++revision), 1));
    }
    /// Stores the newest value of `head` after calls of `acceptFromOther`.
    void publishHead()
    {
        if (!headHistory.empty()) {
            const std::string kind(kHeadKind);
            objects[{kind, std::string(kHeadName)}] = {kind, std::string(kHeadName), revision, head().toText()};
        }
    }

    SeededRandom &random;
    std::uint64_t faultPercent = 0; ///< share of calls that meet a fault
    bool ignoreVersions = false; ///< deliberate error: writes ignore the expected version
    bool writeDespiteConflict = false; ///< deliberate error: a refused update of `head` takes effect
    std::map<std::pair<std::string, std::string>, StoreObject> objects; ///< by kind and name
    std::vector<Head> headHistory; ///< every value of `head`, the newest last
    std::vector<std::function<void()>> events;
    std::int64_t revision = 0;

private:
    CallFault pickFault(bool write)
    {
        if (random.below(100) >= faultPercent) {
            return CallFault::None;
        }
        return write ? static_cast<CallFault>(1 + random.below(5)) : static_cast<CallFault>(1 + random.below(2));
    }
    void deliver(CallFault fault, const std::function<StoreReply()> &effect, const StoreCallback &callback)
    {
        StoreReply reply{StoreStatus::UnknownOutcome, {}, 0, "lost"};
        switch (fault) {
        case CallFault::None:
            reply = effect();
            break;
        case CallFault::Refused:
            reply.status = StoreStatus::Unavailable;
            break;
        case CallFault::Throttled:
            reply = {StoreStatus::Throttled, {}, static_cast<std::int64_t>(random.below(300)), "throttled"};
            break;
        case CallFault::RequestLost:
            break;
        case CallFault::ReplyLost:
            effect();
            break;
        case CallFault::EffectDelayed:
            events.push_back([effect] { effect(); });
            break;
        }
        events.push_back([callback, reply] { callback(reply); });
    }
};

enum class CallStep { CreateContent, ReadHead, ReadContent, UpdateHead, ReadBack };

/// One operator's connection to the store. Hooks replace replies and written values of `head`, to force a status or to
/// violate an invariant.
class OperatorStore : public PlatformStore
{
public:
    explicit OperatorStore(FakeStore &shared)
        : store(shared)
    {
    }

    void get(std::string_view kind, std::string_view name, StoreCallback callback) override
    {
        const CallStep step = kind == kManifestKind ? CallStep::ReadContent
            : m_headWritten                         ? CallStep::ReadBack
                                                    : CallStep::ReadHead;
        send(
            step, false, [this, k = std::string(kind), n = std::string(name)] { return store.read(k, n); },
            std::move(callback));
    }
    void create(std::string_view kind, std::string_view name, std::string_view value, StoreCallback callback) override
    {
        update(kind, name, 0, value, std::move(callback));
    }
    void update(std::string_view kind, std::string_view name, std::int64_t expected, std::string_view value,
                StoreCallback callback) override
    {
        std::string text(value);
        CallStep step = CallStep::CreateContent;
        if (kind == kHeadKind) {
            step = CallStep::UpdateHead;
            m_headWritten = true;
            if (rewriteHead) {
                text = rewriteHead(text);
            }
        } else if (dropContent) {
            callback({StoreStatus::Ok, {}, 0, {}});
            return;
        }
        send(
            step, true,
            [this, k = std::string(kind), n = std::string(name), expected, text] {
                return applyToNewestHead && k == kHeadKind ? writeOnNewestHead(text)
                                                           : store.write(k, n, expected, text);
            },
            std::move(callback));
    }
    void list(std::string_view, StoreCallback) override
    {
    }
    void remove(std::string_view, std::string_view, std::int64_t, StoreCallback) override
    {
    }
    void watch(std::string_view, std::string_view, std::int64_t, std::int64_t, StoreCallback) override
    {
    }

    FakeStore &store;
    std::optional<Version> baseVersion; ///< newest version in the first `head` that was read; 0 if there was none
    std::function<void(CallStep, StoreReply &)> rewriteReply; ///< if set, may change each reply
    std::function<std::string(const std::string &)> rewriteHead; ///< if set, replaces each value written to `head`
    bool dropContent = false; ///< deliberate error: manifests are reported as stored but are not
    bool applyToNewestHead = false; ///< deliberate error: updates of `head` apply to its newest value

private:
    StoreReply writeOnNewestHead(const std::string &text)
    {
        LastReason error;
        const Acceptance own = Head::parse(text, error)->recent.back();
        const StoreReply current = store.read(std::string(kHeadKind), std::string(kHeadName));
        return store.write(std::string(kHeadKind), std::string(kHeadName),
                           current.objects.empty() ? 0 : current.objects.front().version,
                           store.head().withAcceptance(own.digest, own.submissionId, own.acceptedMs).toText());
    }
    void send(CallStep step, bool write, std::function<StoreReply()> effect, StoreCallback callback)
    {
        store.call(write, std::move(effect), [this, step, callback = std::move(callback)](const StoreReply &original) {
            StoreReply reply = original;
            if (rewriteReply) {
                rewriteReply(step, reply);
            }
            if (step == CallStep::ReadHead && !baseVersion && reply.objects.size() == 1) {
                LastReason error;
                baseVersion = Head::parse(reply.objects.front().value, error)->version();
            } else if (step == CallStep::ReadHead && !baseVersion && reply.status == StoreStatus::NotFound) {
                baseVersion = 0;
            }
            callback(reply);
        });
    }

    bool m_headWritten = false;
};

/// Text of a valid manifest. Each `number` gives another one.
inline std::string manifestText(std::uint64_t number)
{
    return R"({"format":1,"services":[{"name":"a","backend_servers":["h"],"timeout_ms":)" + std::to_string(number + 1)
        + R"(}],"routes":[{"path_prefix":"/a","service":"a"}]})";
}

inline std::string canonicalText(std::uint64_t number)
{
    LastReason error;
    return Manifest::parse(manifestText(number), error)->canonicalText();
}

inline const std::string &manifestDigest(std::uint64_t number)
{
    static std::map<std::uint64_t, std::string> digests;
    std::string &digest = digests[number];
    if (digest.empty()) {
        digest = sha256Hex(canonicalText(number));
    }
    return digest;
}

/// Stores the manifests 0 to `manifestCount` - 1 and accepts them in turn, `versions` times in all.
inline void fillStore(FakeStore &store, std::uint64_t manifestCount, std::uint64_t versions)
{
    for (std::uint64_t i = 0; i < manifestCount; ++i) {
        store.write(std::string(kManifestKind), manifestDigest(i), 0, canonicalText(i));
    }
    for (std::uint64_t i = 0; i < versions; ++i) {
        store.acceptFromOther(manifestDigest(i % manifestCount));
    }
    store.publishHead();
}

/// One submission under test with its own connection to the store.
struct Operator {
    Operator(FakeStore &shared, SubmissionRequest submissionRequest, Submission::Settings settings)
        : store(shared)
        , request(std::move(submissionRequest))
        , submission(store, shared.random, settings, request, [this](const SubmissionResult &got) { result = got; })
    {
    }

    OperatorStore store;
    SubmissionRequest request;
    Submission submission;
    std::optional<SubmissionResult> result;
};

using Operators = std::vector<std::unique_ptr<Operator>>;

/// Starts the submissions and runs until every operator has a result and the store's event queue is empty.
inline void runAll(FakeStore &store, const Operators &operators)
{
    TimeMs now = 1000;
    for (const auto &entry : operators) {
        entry->submission.start(now);
    }
    const auto busy = [&] {
        return std::any_of(operators.begin(), operators.end(), [](const auto &entry) { return !entry->result; });
    };
    while (store.runRandomEvent() || busy()) {
        now += static_cast<TimeMs>(store.random.below(20));
        for (const auto &entry : operators) {
            entry->submission.tick(now);
        }
    }
}

/// Returns the invariant that the operator's result violates, or an empty string.
inline std::string findOperatorViolation(const FakeStore &store, const Operator &entry)
{
    const SubmissionResult &result = *entry.result;
    const std::string summary
        = entry.request.submissionId + " got " + std::string(submissionOutcomeName(result.outcome));
    const Acceptance *own = nullptr;
    for (const Head &head : store.headHistory) {
        if (head.recent.back().submissionId == entry.request.submissionId) {
            own = &head.recent.back();
        }
    }
    if (result.outcome == SubmissionOutcome::UnknownOutcome) {
        return {};
    }
    if (result.outcome != SubmissionOutcome::Accepted) {
        return own != nullptr ? summary + ", but was accepted" : std::string();
    }
    if (own == nullptr || own->version != result.version || own->digest != result.digest) {
        return summary + ", but head does not list this result";
    }
    if (entry.store.baseVersion && own->version != *entry.store.baseVersion + 1) {
        return summary + ", but its version does not directly follow the one that it had read";
    }
    if (!store.objects.contains({std::string(kManifestKind), own->digest})) {
        return summary + ", but its manifest is not stored";
    }
    if (entry.request.expect && own->version != *entry.request.expect + 1) {
        return summary + ", but its version does not directly follow the expected one";
    }
    if (entry.request.revertTo) {
        const Acceptance &target
            = store.headHistory[static_cast<std::size_t>(*entry.request.revertTo - 1)].recent.back();
        return target.digest == own->digest ? std::string()
                                            : summary + ", but with another manifest than the version it reverts to";
    }
    return {};
}

/// Returns the first violated invariant, or an empty string. Each acceptance must have the next version, no submission
/// may be accepted twice, and each operator's result must agree with the values of `head`.
inline std::string findViolation(const FakeStore &store, const Operators &operators)
{
    std::set<std::string> ids;
    for (std::size_t i = 0; i < store.headHistory.size(); ++i) {
        const Acceptance &newest = store.headHistory[i].recent.back();
        if (newest.version != static_cast<Version>(i + 1)) {
            return "acceptance " + std::to_string(i + 1) + " has version " + std::to_string(newest.version);
        }
        if (!ids.insert(newest.submissionId).second) {
            return newest.submissionId + " was accepted twice";
        }
    }
    for (const auto &entry : operators) {
        if (std::string violation = findOperatorViolation(store, *entry); !violation.empty()) {
            return violation;
        }
        if (entry->result->winner && !ids.contains(entry->result->winner->submissionId)) {
            return entry->request.submissionId + " got a conflict with a submission that was not accepted";
        }
    }
    return {};
}

} // namespace fulmarledge::submissiontest
