#include <catch2/catch.hpp>
#include <cstdlib>

#include "submissionfakes.h"

using namespace fulmarledge;
using namespace fulmarledge::submissiontest;

namespace {

constexpr std::uint64_t kManifestCount = 3;

/// Number of sessions in each test of random sessions. The environment variable FULMARLEDGE_TEST_SEEDS replaces it, for
/// longer runs.
std::uint64_t seedCount()
{
    const char *text = std::getenv("FULMARLEDGE_TEST_SEEDS");
    return text != nullptr ? std::stoull(text) : 500;
}

SubmissionRequest submitRequest(std::string id, std::uint64_t manifest)
{
    SubmissionRequest request;
    request.submissionId = std::move(id);
    request.text = manifestText(manifest);
    return request;
}

SubmissionRequest revertRequest(std::string id, Version version)
{
    SubmissionRequest request;
    request.submissionId = std::move(id);
    request.revertTo = version;
    return request;
}

SubmissionRequest randomRequest(FakeStore &store, std::size_t number)
{
    const std::string id = "op-" + std::to_string(number);
    const auto versions = static_cast<std::uint64_t>(store.head().version());
    SubmissionRequest request = versions > 0 && store.random.below(2) == 0
        ? revertRequest(id, static_cast<Version>(1 + store.random.below(versions + 1)))
        : submitRequest(id, store.random.below(kManifestCount + 2));
    if (store.random.below(4) == 0) {
        request.expect = static_cast<Version>(versions);
    }
    return request;
}

/// Makes the store or one operator of a session violate an invariant.
using InvariantBreaker = std::function<void(FakeStore &, Operator &)>;

/// Runs one session of 2 to 4 concurrent operators under faults. With a probability of 1/4 a burst of 40 other
/// acceptances displaces all older entries of `head`. Returns the first violated invariant, or an empty string.
std::string runSession(std::uint64_t seed, const InvariantBreaker &breakInvariant,
                       std::map<SubmissionOutcome, int> *outcomes)
{
    SeededRandom random(seed);
    FakeStore store(random);
    fillStore(store, kManifestCount, random.below(40));
    store.faultPercent = random.below(60);
    Submission::Settings settings;
    settings.maxAttemptsPerStep = static_cast<int>(1 + random.below(8));
    Operators operators;
    for (std::size_t i = 0; i < 2 + random.below(3); ++i) {
        operators.push_back(std::make_unique<Operator>(store, randomRequest(store, i), settings));
        if (breakInvariant) {
            breakInvariant(store, *operators.back());
        }
    }
    if (random.below(4) == 0) {
        store.events.push_back([&store] {
            for (int i = 0; i < 40; ++i) {
                store.acceptFromOther(manifestDigest(0));
            }
            store.publishHead();
        });
    }
    runAll(store, operators);
    for (const auto &entry : operators) {
        if (outcomes != nullptr) {
            ++(*outcomes)[entry->result->outcome];
        }
    }
    return findViolation(store, operators);
}

/// Runs sessions until one violates an invariant and returns that invariant, or an empty string if none does.
std::string firstViolation(const InvariantBreaker &breakInvariant)
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        if (std::string violation = runSession(seed, breakInvariant, nullptr); !violation.empty()) {
            return violation;
        }
    }
    return {};
}

/// Applies `change` to the JSON text of a `head`.
std::string editHeadText(const std::string &text, const std::function<void(Head &)> &change)
{
    LastReason error;
    Head head = *Head::parse(text, error);
    change(head);
    return head.toText();
}

} // namespace

// Guards against a version that is accepted twice or skipped, a wrong outcome for an operator, and an update applied to
// a `head` other than the one read, while calls are lost, refused, throttled or take effect late.
TEST_CASE("concurrent submissions under faults get correct outcomes and consecutive versions")
{
    std::map<SubmissionOutcome, int> outcomes;
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        INFO("seed " << seed);
        const std::string violation = runSession(seed, {}, &outcomes);
        REQUIRE(violation == "");
    }
    // Every outcome that is possible here must have occurred often enough, or the sessions do not cover it.
    for (const auto outcome : {SubmissionOutcome::Accepted, SubmissionOutcome::Conflict, SubmissionOutcome::Unavailable,
                               SubmissionOutcome::UnknownOutcome, SubmissionOutcome::NotFound}) {
        INFO(submissionOutcomeName(outcome));
        CHECK(static_cast<std::uint64_t>(outcomes[outcome]) > seedCount() / 20);
    }
}

// Guards against checks that pass whatever the code does. Each case violates one invariant, which must be detected.
TEST_CASE("the checks detect every deliberately violated invariant")
{
    const auto changeReplyTo = [](CallStep wanted, std::function<void(StoreReply &)> change) {
        return [wanted, change](FakeStore &, Operator &entry) {
            entry.store.rewriteReply = [wanted, change](CallStep step, StoreReply &reply) {
                if (step == wanted) {
                    change(reply);
                }
            };
        };
    };
    const auto replaceUnknownOutcome = [](StoreStatus status) {
        return [status](StoreReply &reply) {
            reply.status = reply.status == StoreStatus::UnknownOutcome ? status : reply.status;
        };
    };
    const auto hideSubmissionIds = [](StoreReply &reply) {
        if (reply.status == StoreStatus::Ok) {
            reply.objects[0].value = editHeadText(reply.objects[0].value, [](Head &head) {
                for (Acceptance &entry : head.recent) {
                    entry.submissionId = "other-0";
                }
            });
        }
    };
    const auto changeWrittenHead = [](std::function<void(Head &)> change) {
        return [change](FakeStore &, Operator &entry) {
            entry.store.rewriteHead = [change](const std::string &text) { return editHeadText(text, change); };
        };
    };
    const std::string accepted = ", but was accepted";
    const auto checkContains = [](const std::string &text, const std::string &part) {
        INFO(text);
        CHECK(text.find(part) != std::string::npos);
    };
    checkContains(firstViolation([](FakeStore &store, Operator &) { store.ignoreVersions = true; }), "has version");
    checkContains(firstViolation([](FakeStore &store, Operator &) { store.writeDespiteConflict = true; }),
                  "has version");
    checkContains(firstViolation(changeReplyTo(CallStep::UpdateHead, replaceUnknownOutcome(StoreStatus::Unavailable))),
                  accepted);
    checkContains(firstViolation(changeReplyTo(CallStep::UpdateHead, replaceUnknownOutcome(StoreStatus::Ok))),
                  "head does not list this result");
    checkContains(firstViolation(changeReplyTo(CallStep::ReadBack, hideSubmissionIds)), accepted);
    checkContains(firstViolation(changeWrittenHead([](Head &head) { ++head.recent.back().version; })), "has version");
    checkContains(firstViolation(changeWrittenHead(
                      [](Head &head) { head.recent.resize(std::max<std::size_t>(head.recent.size() - 1, 1)); })),
                  "has version");
    checkContains(firstViolation(changeWrittenHead([](Head &head) { head.recent.back().digest = manifestDigest(9); })),
                  "head does not list this result");
    checkContains(firstViolation([](FakeStore &, Operator &entry) { entry.store.dropContent = true; }),
                  "its manifest is not stored");
    checkContains(firstViolation([](FakeStore &, Operator &entry) { entry.store.applyToNewestHead = true; }),
                  "got accepted, but ");
}

// Guards against two concurrent submissions both being accepted or both being refused, and against a conflict that does
// not name the winner.
TEST_CASE("exactly one of two concurrent submissions is accepted")
{
    int races = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        INFO("seed " << seed);
        SeededRandom random(seed);
        FakeStore store(random);
        fillStore(store, kManifestCount, 3);
        Operators operators;
        operators.push_back(std::make_unique<Operator>(
            store, seed % 2 == 0 ? revertRequest("a", 1) : submitRequest("a", 4), Submission::Settings()));
        operators.push_back(std::make_unique<Operator>(store, submitRequest("b", 3), Submission::Settings()));
        runAll(store, operators);
        REQUIRE(findViolation(store, operators) == "");
        const bool firstWon = operators[0]->result->version == 4;
        const Operator &winner = *operators[firstWon ? 0 : 1];
        const Operator &loser = *operators[firstWon ? 1 : 0];
        REQUIRE(winner.result->outcome == SubmissionOutcome::Accepted);
        if (loser.store.baseVersion == 4) {
            // It read `head` after the other submission was accepted, so the two did not conflict.
            CHECK(loser.result->version == 5);
            continue;
        }
        ++races;
        REQUIRE(loser.result->outcome == SubmissionOutcome::Conflict);
        CHECK(loser.result->winner->submissionId == winner.request.submissionId);
        CHECK(loser.result->reason.find(winner.request.submissionId) != std::string::npos);
        CHECK(store.head().version() == 4);
    }
    CHECK(races > 100);
}

namespace {

struct ForcedRun {
    SubmissionResult result;
    bool headChanged = false;
    std::string violation;
};

/// Runs one submission and replaces the replies to the first `times` calls of `step` by `status`.
/// @param loseFirstUpdateReply replaces the reply to the first update of `head` by an unknown outcome
ForcedRun runForced(const SubmissionRequest &request, CallStep step, StoreStatus status, int times,
                    bool loseFirstUpdateReply)
{
    SeededRandom random(1);
    FakeStore store(random);
    fillStore(store, kManifestCount, 3);
    Operators operators;
    operators.push_back(std::make_unique<Operator>(store, request, Submission::Settings()));
    int remaining = times;
    bool loseNextUpdateReply = loseFirstUpdateReply;
    operators[0]->store.rewriteReply = [&](CallStep seen, StoreReply &reply) {
        if (seen == CallStep::UpdateHead && loseNextUpdateReply) {
            loseNextUpdateReply = false;
            reply = {StoreStatus::UnknownOutcome, {}, 0, "lost"};
        } else if (seen == step && remaining-- > 0) {
            reply = {status, {}, 10, "forced"};
        }
    };
    runAll(store, operators);
    return {*operators[0]->result, store.head().version() != 3, findViolation(store, operators)};
}

} // namespace

// Guards against a step that does not handle some status, which ends in an endless wait, a crash or a wrong outcome.
TEST_CASE("every store status at every step leads to a correct outcome")
{
    using S = StoreStatus;
    const SubmissionRequest submit = submitRequest("a", 4);
    const SubmissionRequest revert = revertRequest("a", 1);
    for (const S status : {S::Throttled, S::Unavailable}) {
        for (const CallStep step : {CallStep::CreateContent, CallStep::ReadHead, CallStep::ReadContent}) {
            INFO(static_cast<int>(step) << " " << storeStatusName(status));
            const SubmissionRequest &request = step == CallStep::ReadContent ? revert : submit;
            CHECK(runForced(request, step, status, 3, false).result.outcome == SubmissionOutcome::Accepted);
            CHECK(runForced(request, step, status, 3, false).result.retries == 3);
            const ForcedRun always = runForced(request, step, status, 1000, false);
            CHECK(always.result.outcome == SubmissionOutcome::Unavailable);
            CHECK_FALSE(always.headChanged);
        }
        CHECK(runForced(submit, CallStep::ReadBack, status, 3, true).result.outcome == SubmissionOutcome::Accepted);
        CHECK(runForced(submit, CallStep::ReadBack, status, 1000, true).result.outcome
              == SubmissionOutcome::UnknownOutcome);
    }
    CHECK(runForced(submit, CallStep::CreateContent, S::UnknownOutcome, 3, false).result.outcome
          == SubmissionOutcome::Accepted);
    CHECK(runForced(submit, CallStep::CreateContent, S::Conflict, 1, false).result.outcome
          == SubmissionOutcome::Accepted);
    CHECK(runForced(submit, CallStep::CreateContent, S::Invalid, 1, false).result.outcome
          == SubmissionOutcome::Invalid);
    CHECK(runForced(revert, CallStep::ReadContent, S::NotFound, 1, false).result.outcome
          == SubmissionOutcome::NotFound);
    CHECK(runForced(submit, CallStep::UpdateHead, S::UnknownOutcome, 1, false).result.version == 4);
    for (const S status : {S::Ok, S::NotFound, S::Conflict, S::Expired, S::Throttled, S::Unavailable, S::UnknownOutcome,
                           S::Invalid, S::Unchanged}) {
        for (const CallStep step : {CallStep::CreateContent, CallStep::ReadHead, CallStep::ReadContent,
                                    CallStep::UpdateHead, CallStep::ReadBack}) {
            // The update took effect, so a forced reply that it was refused would be an error of the platform.
            if (step == CallStep::UpdateHead && status != S::Ok && status != S::UnknownOutcome) {
                continue;
            }
            for (const int times : {1, 1000}) {
                INFO(static_cast<int>(step) << " " << storeStatusName(status) << " " << times);
                // The existing `head` is reported as missing, so the update tries to create it and must fail.
                const bool headReportedMissing = step == CallStep::ReadHead && status == S::NotFound;
                const ForcedRun got
                    = runForced(step == CallStep::ReadContent ? revert : submit, step, status, times, true);
                CHECK(got.violation == "");
                CHECK((!headReportedMissing || !got.headChanged));
            }
        }
    }
}

// Guards against a refused submission that changes `head` or does not give the reason.
TEST_CASE("refused submissions leave head unchanged and give the reason")
{
    const auto checkRefused = [](const SubmissionRequest &request, SubmissionOutcome outcome, const std::string &part) {
        const ForcedRun got = runForced(request, CallStep::ReadBack, StoreStatus::Ok, 0, false);
        INFO(got.result.reason);
        CHECK(got.result.outcome == outcome);
        CHECK(got.result.reason.find(part) != std::string::npos);
        CHECK_FALSE(got.headChanged);
    };
    SubmissionRequest stale = submitRequest("a", 4);
    stale.expect = 2;
    checkRefused(stale, SubmissionOutcome::Conflict,
                 "expected version 2, but the newest is version 3 (submission other-");
    SubmissionRequest bad = submitRequest("a", 4);
    bad.text = "{";
    checkRefused(bad, SubmissionOutcome::Invalid, "malformed JSON");
    checkRefused(revertRequest("a", 9), SubmissionOutcome::NotFound,
                 "version 9 is not among the last 3 accepted versions");
}

// Guards against a reported conflict when the reply is lost and `head` no longer lists the version that the submission
// would have got.
TEST_CASE("a lost reply gives an unknown outcome if head no longer lists the version")
{
    for (const bool replyLost : {true, false}) {
        SeededRandom random(1);
        FakeStore store(random);
        fillStore(store, kManifestCount, 1);
        Operators operators;
        operators.push_back(std::make_unique<Operator>(store, submitRequest("a", 4), Submission::Settings()));
        bool firstUpdate = true;
        operators[0]->store.rewriteReply = [&](CallStep step, StoreReply &reply) {
            if (step == CallStep::UpdateHead && firstUpdate) {
                firstUpdate = false;
                reply = {replyLost ? StoreStatus::UnknownOutcome : StoreStatus::Ok, {}, 0, "lost"};
                for (int i = 0; i < FULMARLEDGE_CONFIG_HEAD_RECENT + 1; ++i) {
                    store.acceptFromOther(manifestDigest(0));
                }
                store.publishHead();
            }
        };
        runAll(store, operators);
        CHECK(operators[0]->result->outcome
              == (replyLost ? SubmissionOutcome::UnknownOutcome : SubmissionOutcome::Accepted));
        CHECK(findViolation(store, operators) == "");
    }
}
