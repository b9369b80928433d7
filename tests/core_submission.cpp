#include <catch2/catch.hpp>
#include <cstdlib>

#include "submissionfakes.h"

using namespace fulmarledge;
using namespace fulmarledge::submissiontest;

namespace {

constexpr std::uint64_t kContents = 3;

/// Number of sessions in each test of random sessions. The environment variable FULMARLEDGE_TEST_SEEDS replaces it, for
/// longer runs.
std::uint64_t seedCount()
{
    const char *text = std::getenv("FULMARLEDGE_TEST_SEEDS");
    return text != nullptr ? std::stoull(text) : 500;
}

SubmissionRequest planOf(std::string id, std::uint64_t manifest)
{
    SubmissionRequest request;
    request.submission = std::move(id);
    request.text = manifestText(manifest);
    return request;
}

SubmissionRequest reversalOf(std::string id, Version version)
{
    SubmissionRequest request;
    request.submission = std::move(id);
    request.revertTo = version;
    return request;
}

SubmissionRequest randomRequest(FakeStore &store, std::size_t number)
{
    const std::string id = "op-" + std::to_string(number);
    const auto versions = static_cast<std::uint64_t>(store.head().version());
    SubmissionRequest request = versions > 0 && store.random.below(2) == 0
        ? reversalOf(id, static_cast<Version>(1 + store.random.below(versions + 1)))
        : planOf(id, store.random.below(kContents + 2));
    if (store.random.below(4) == 0) {
        request.expect = static_cast<Version>(versions);
    }
    return request;
}

/// Makes the store or one operator of a session violate an invariant.
using Sabotage = std::function<void(FakeStore &, Operator &)>;

/// Runs one session of 2 to 4 concurrent operators under faults. With a probability of 1/4 a burst of 40 other
/// acceptances displaces all older entries of `head`. Returns the first violated invariant, or an empty string.
std::string runSession(std::uint64_t seed, const Sabotage &sabotage, std::map<SubmissionOutcome, int> *outcomes)
{
    SeededRandom random(seed);
    FakeStore store(random);
    fillStore(store, kContents, random.below(40));
    store.faultPercent = random.below(60);
    Submission::Settings settings;
    settings.maxAttemptsPerStep = static_cast<int>(1 + random.below(8));
    Operators operators;
    for (std::size_t i = 0; i < 2 + random.below(3); ++i) {
        operators.push_back(std::make_unique<Operator>(store, randomRequest(store, i), settings));
        if (sabotage) {
            sabotage(store, *operators.back());
        }
    }
    if (random.below(4) == 0) {
        store.events.push_back([&store] {
            for (int i = 0; i < 40; ++i) {
                store.acceptOther(manifestDigest(0));
            }
            store.storeHead();
        });
    }
    runAll(store, operators);
    for (const auto &entry : operators) {
        if (outcomes != nullptr) {
            ++(*outcomes)[entry->result->outcome];
        }
    }
    return brokenRule(store, operators);
}

/// Runs sessions until one violates an invariant and returns that invariant, or an empty string if none does.
std::string firstBroken(const Sabotage &sabotage)
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        if (std::string broken = runSession(seed, sabotage, nullptr); !broken.empty()) {
            return broken;
        }
    }
    return {};
}

/// Applies `change` to the JSON text of a `head`.
std::string withHeads(const std::string &text, const std::function<void(Head &)> &change)
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
        const std::string broken = runSession(seed, {}, &outcomes);
        REQUIRE(broken == "");
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
    const auto onReply = [](CallStep wanted, std::function<void(StoreReply &)> change) {
        return [wanted, change](FakeStore &, Operator &entry) {
            entry.store.rewriteReply = [wanted, change](CallStep step, StoreReply &reply) {
                if (step == wanted) {
                    change(reply);
                }
            };
        };
    };
    const auto unknownAs = [](StoreStatus status) {
        return [status](StoreReply &reply) {
            reply.status = reply.status == StoreStatus::UnknownOutcome ? status : reply.status;
        };
    };
    const auto asOthers = [](StoreReply &reply) {
        if (reply.status == StoreStatus::Ok) {
            reply.objects[0].value = withHeads(reply.objects[0].value, [](Head &head) {
                for (Acceptance &entry : head.recent) {
                    entry.submission = "other-0";
                }
            });
        }
    };
    const auto onHead = [](std::function<void(Head &)> change) {
        return [change](FakeStore &, Operator &entry) {
            entry.store.rewriteHead = [change](const std::string &text) { return withHeads(text, change); };
        };
    };
    const std::string accepted = ", but was accepted";
    const auto contains = [](const std::string &text, const std::string &part) {
        INFO(text);
        CHECK(text.find(part) != std::string::npos);
    };
    contains(firstBroken([](FakeStore &store, Operator &) { store.ignoreVersions = true; }), "has version");
    contains(firstBroken([](FakeStore &store, Operator &) { store.writeDespiteConflict = true; }), "has version");
    contains(firstBroken(onReply(CallStep::UpdateHead, unknownAs(StoreStatus::Unavailable))), accepted);
    contains(firstBroken(onReply(CallStep::UpdateHead, unknownAs(StoreStatus::Ok))), "head does not list this result");
    contains(firstBroken(onReply(CallStep::ReadBack, asOthers)), accepted);
    contains(firstBroken(onHead([](Head &head) { ++head.recent.back().version; })), "has version");
    contains(
        firstBroken(onHead([](Head &head) { head.recent.resize(std::max<std::size_t>(head.recent.size() - 1, 1)); })),
        "has version");
    contains(firstBroken(onHead([](Head &head) { head.recent.back().digest = manifestDigest(9); })),
             "head does not list this result");
    contains(firstBroken([](FakeStore &, Operator &entry) { entry.store.dropContent = true; }),
             "its manifest is not stored");
    contains(firstBroken([](FakeStore &, Operator &entry) { entry.store.rebase = true; }), "got accepted, but ");
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
        fillStore(store, kContents, 3);
        Operators operators;
        operators.push_back(std::make_unique<Operator>(store, seed % 2 == 0 ? reversalOf("a", 1) : planOf("a", 4),
                                                       Submission::Settings()));
        operators.push_back(std::make_unique<Operator>(store, planOf("b", 3), Submission::Settings()));
        runAll(store, operators);
        REQUIRE(brokenRule(store, operators) == "");
        const bool first = operators[0]->result->version == 4;
        const Operator &winner = *operators[first ? 0 : 1];
        const Operator &loser = *operators[first ? 1 : 0];
        REQUIRE(winner.result->outcome == SubmissionOutcome::Accepted);
        if (loser.store.base == 4) {
            // It read `head` after the other submission was accepted, so the two did not conflict.
            CHECK(loser.result->version == 5);
            continue;
        }
        ++races;
        REQUIRE(loser.result->outcome == SubmissionOutcome::Conflict);
        CHECK(loser.result->winner->submission == winner.request.submission);
        CHECK(loser.result->reason.find(winner.request.submission) != std::string::npos);
        CHECK(store.head().version() == 4);
    }
    CHECK(races > 100);
}

namespace {

struct Forced {
    SubmissionResult result;
    bool headChanged = false;
    std::string broken;
};

/// Runs one submission and replaces the replies to the first `times` calls of `step` by `status`.
/// @param loseFirstUpdate replaces the reply to the first update of `head` by an unknown outcome
Forced force(const SubmissionRequest &request, CallStep step, StoreStatus status, int times, bool loseFirstUpdate)
{
    SeededRandom random(1);
    FakeStore store(random);
    fillStore(store, kContents, 3);
    Operators operators;
    operators.push_back(std::make_unique<Operator>(store, request, Submission::Settings()));
    int left = times;
    bool lose = loseFirstUpdate;
    operators[0]->store.rewriteReply = [&](CallStep seen, StoreReply &reply) {
        if (seen == CallStep::UpdateHead && lose) {
            lose = false;
            reply = {StoreStatus::UnknownOutcome, {}, 0, "lost"};
        } else if (seen == step && left-- > 0) {
            reply = {status, {}, 10, "forced"};
        }
    };
    runAll(store, operators);
    return {*operators[0]->result, store.head().version() != 3, brokenRule(store, operators)};
}

} // namespace

// Guards against a step that does not handle some status, which ends in an endless wait, a crash or a wrong outcome.
TEST_CASE("every store status at every step leads to a correct outcome")
{
    using S = StoreStatus;
    const SubmissionRequest plan = planOf("a", 4);
    const SubmissionRequest reversal = reversalOf("a", 1);
    for (const S status : {S::Throttled, S::Unavailable}) {
        for (const CallStep step : {CallStep::CreateContent, CallStep::ReadHead, CallStep::ReadContent}) {
            INFO(static_cast<int>(step) << " " << storeStatusName(status));
            const SubmissionRequest &request = step == CallStep::ReadContent ? reversal : plan;
            CHECK(force(request, step, status, 3, false).result.outcome == SubmissionOutcome::Accepted);
            CHECK(force(request, step, status, 3, false).result.retries == 3);
            const Forced always = force(request, step, status, 1000, false);
            CHECK(always.result.outcome == SubmissionOutcome::Unavailable);
            CHECK_FALSE(always.headChanged);
        }
        CHECK(force(plan, CallStep::ReadBack, status, 3, true).result.outcome == SubmissionOutcome::Accepted);
        CHECK(force(plan, CallStep::ReadBack, status, 1000, true).result.outcome == SubmissionOutcome::UnknownOutcome);
    }
    CHECK(force(plan, CallStep::CreateContent, S::UnknownOutcome, 3, false).result.outcome
          == SubmissionOutcome::Accepted);
    CHECK(force(plan, CallStep::CreateContent, S::Conflict, 1, false).result.outcome == SubmissionOutcome::Accepted);
    CHECK(force(plan, CallStep::CreateContent, S::Invalid, 1, false).result.outcome == SubmissionOutcome::Invalid);
    CHECK(force(reversal, CallStep::ReadContent, S::NotFound, 1, false).result.outcome == SubmissionOutcome::NotFound);
    CHECK(force(plan, CallStep::UpdateHead, S::UnknownOutcome, 1, false).result.version == 4);
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
                const bool first = step == CallStep::ReadHead && status == S::NotFound;
                const Forced got = force(step == CallStep::ReadContent ? reversal : plan, step, status, times, true);
                CHECK(got.broken == "");
                CHECK((!first || !got.headChanged));
            }
        }
    }
}

// Guards against a refused submission that changes `head` or does not give the reason.
TEST_CASE("refused submissions leave head unchanged and give the reason")
{
    const auto refused = [](const SubmissionRequest &request, SubmissionOutcome outcome, const std::string &part) {
        const Forced got = force(request, CallStep::ReadBack, StoreStatus::Ok, 0, false);
        INFO(got.result.reason);
        CHECK(got.result.outcome == outcome);
        CHECK(got.result.reason.find(part) != std::string::npos);
        CHECK_FALSE(got.headChanged);
    };
    SubmissionRequest stale = planOf("a", 4);
    stale.expect = 2;
    refused(stale, SubmissionOutcome::Conflict, "expected version 2, but the newest is version 3 (submission other-");
    SubmissionRequest bad = planOf("a", 4);
    bad.text = "{";
    refused(bad, SubmissionOutcome::Invalid, "malformed JSON");
    refused(reversalOf("a", 9), SubmissionOutcome::NotFound, "version 9 is not among the last 3 accepted versions");
}

// Guards against a reported conflict when the reply is lost and `head` no longer lists the version that the submission
// would have got.
TEST_CASE("a lost reply gives an unknown outcome if head no longer lists the version")
{
    for (const bool lost : {true, false}) {
        SeededRandom random(1);
        FakeStore store(random);
        fillStore(store, kContents, 1);
        Operators operators;
        operators.push_back(std::make_unique<Operator>(store, planOf("a", 4), Submission::Settings()));
        bool first = true;
        operators[0]->store.rewriteReply = [&](CallStep step, StoreReply &reply) {
            if (step == CallStep::UpdateHead && first) {
                first = false;
                reply = {lost ? StoreStatus::UnknownOutcome : StoreStatus::Ok, {}, 0, "lost"};
                for (int i = 0; i < FULMARLEDGE_CONFIG_HEAD_RECENT + 1; ++i) {
                    store.acceptOther(manifestDigest(0));
                }
                store.storeHead();
            }
        };
        runAll(store, operators);
        CHECK(operators[0]->result->outcome
              == (lost ? SubmissionOutcome::UnknownOutcome : SubmissionOutcome::Accepted));
        CHECK(brokenRule(store, operators) == "");
    }
}
