#include <catch2/catch.hpp>

#include "fulmarledge/idempotency.h"
#include "request_fakes.h"

using namespace fulmarledge;
using namespace fulmarledge::requesttest;

namespace {

constexpr TimeMs kRetention = 600000;

struct Fixture {
    KeyDecision begin(std::string_view key, std::uint32_t attempt = 1, std::string_view body = "visit")
    {
        return table.begin({"bookings", key, requestFingerprint("POST", "/bookings", body), attempt}, now);
    }
    void execute(std::string_view key, Verdict verdict, const std::string &body = "booked")
    {
        const KeyDecision decision = begin(key);
        REQUIRE(decision.action == KeyAction::Execute);
        table.finish(decision.id, verdict, {201, {}, body}, now);
    }

    TimeMs now = kRetention;
    IdempotencyTable table{0, IdempotencyConfig{3, kRetention, 255, 100}};
};

} // namespace

// Guards against a second execution of a booking, and against losing the answer of the first one.
TEST_CASE("a key executes once and replays its answer")
{
    Fixture f;
    const KeyDecision first = f.begin("k");
    REQUIRE(first.action == KeyAction::Execute);
    const KeyDecision running = f.begin("k");
    CHECK(running.reason == Reason::DuplicateInProgress);
    CHECK(running.verdict == Verdict::MayHaveRun);
    f.table.finish(first.id, Verdict::Answered, {201, {}, "booked"}, f.now);
    const KeyDecision repeat = f.begin("k");
    REQUIRE(repeat.action == KeyAction::Replay);
    CHECK(repeat.answer->status == 201);
    CHECK(repeat.answer->body == "booked");
}

// Guards against answering a request with the answer of a different one.
TEST_CASE("a key that is reused for a different request is refused")
{
    Fixture f;
    f.execute("k", Verdict::Answered);
    const KeyDecision other = f.begin("k", 1, "another visit");
    CHECK(other.reason == Reason::KeyReused);
    CHECK(other.status == 422);
    CHECK(requestFingerprint("POST", "/a", "b") != requestFingerprint("POST", "/ab", ""));
}

// Guards against a second execution of a request that may have run, and against dropping a key because its answer is
// too large to keep.
TEST_CASE("a request is not executed again after an unknown outcome or an answer that is too large")
{
    Fixture f;
    f.execute("lost", Verdict::MayHaveRun);
    CHECK(f.begin("lost", 2).reason == Reason::OutcomeUnknown);
    f.execute("large", Verdict::Answered, std::string(101, 'x'));
    CHECK(f.begin("large", 2).reason == Reason::AnswerNotKept);
    f.execute("refused", Verdict::NotRun);
    CHECK(f.begin("refused", 2).action == KeyAction::Execute);
}

// Guards against a full table that drops a key before its retention time is over.
TEST_CASE("a full table refuses new keys and drops no key early")
{
    Fixture f;
    f.execute("a", Verdict::Answered);
    f.now += 1000;
    f.execute("b", Verdict::Answered);
    REQUIRE(f.begin("running").action == KeyAction::Execute);
    const KeyDecision refused = f.begin("d");
    CHECK(refused.reason == Reason::KeyTableFull);
    CHECK(refused.verdict == Verdict::NotRun);
    CHECK(refused.retryAfterMs == kRetention - 1000);
    f.now += kRetention - 1001;
    CHECK(f.begin("a").action == KeyAction::Replay);
    CHECK(f.begin("d").reason == Reason::KeyTableFull);
    f.now += 1;
    CHECK(f.begin("d").action == KeyAction::Execute);
    CHECK(f.begin("b").action == KeyAction::Replay);
    CHECK(f.begin("running").reason == Reason::DuplicateInProgress);
}

// Guards against an owner that executes a repeat because it does not know the first execution.
TEST_CASE("a marked repeat executes only if the table covers the whole retention time")
{
    Fixture f;
    f.now = kRetention - 1;
    CHECK(f.begin("k", 2).reason == Reason::OutcomeUnknown);
    CHECK(f.begin("k", 2).verdict == Verdict::MayHaveRun);
    // The key is kept with an unknown outcome, so a repeat without the mark does not execute either.
    CHECK(f.begin("k").reason == Reason::OutcomeUnknown);
    f.now = kRetention;
    CHECK(f.begin("other", 2).action == KeyAction::Execute);
    f.table.ownershipChanged(f.now);
    CHECK(f.begin("third", 3).reason == Reason::OutcomeUnknown);
    // The table is full, so the refusal is the same but no key is added.
    CHECK(f.begin("fourth", 3).reason == Reason::OutcomeUnknown);
    CHECK(f.table.size() == 3);
}

// Guards against keys that are dropped too early or too late, in any order of events.
TEST_CASE("random use of the table executes each key at most once per retention time")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        SeededRandom random(seed);
        IdempotencyTable table(0, {20, kRetention, 255, 100});
        std::map<std::string, TimeMs> endedAt;
        std::map<std::string, KeyEntryId> running;
        TimeMs now = kRetention;
        for (int step = 0; step < 3000; ++step) {
            now += random.between(0, 20000);
            const std::string key = std::to_string(random.below(60));
            const KeyDecision decision = table.begin({"bookings", key, 1, 1}, now);
            if (decision.action == KeyAction::Execute) {
                REQUIRE(running.count(key) == 0);
                REQUIRE((endedAt.count(key) == 0 || now - endedAt[key] >= kRetention));
                running[key] = decision.id;
            }
            REQUIRE(table.size() <= 20);
            if (!running.empty() && random.chance(60)) {
                const auto first = running.begin();
                const bool ran = random.chance(70);
                table.finish(first->second, ran ? Verdict::Answered : Verdict::NotRun, {200, {}, ""}, now);
                if (ran) {
                    endedAt[first->first] = now;
                } else {
                    endedAt.erase(first->first);
                }
                running.erase(first);
            }
        }
    }
}
