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

// Guards against a second execution of a booking, and a lost answer of the first.
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

// Guards against a key that stands for two requests.
TEST_CASE("a key reused with another request is refused")
{
    Fixture f;
    f.execute("k", Verdict::Answered);
    const KeyDecision other = f.begin("k", 1, "another visit");
    CHECK(other.reason == Reason::KeyReused);
    CHECK(other.status == 422);
    CHECK(requestFingerprint("POST", "/a", "b") != requestFingerprint("POST", "/ab", ""));
}

// Guards against executing again what may have run, and against forgetting it together with its answer.
TEST_CASE("an unknown outcome and an answer that is too large are not executed again")
{
    Fixture f;
    f.execute("lost", Verdict::MayHaveRun);
    CHECK(f.begin("lost", 2).reason == Reason::OutcomeUnknown);
    f.execute("large", Verdict::Answered, std::string(101, 'x'));
    CHECK(f.begin("large", 2).reason == Reason::AnswerNotKept);
    f.execute("refused", Verdict::NotRun);
    CHECK(f.begin("refused", 2).action == KeyAction::Execute);
}

// Guards against a full table that drops a key whose time has not passed.
TEST_CASE("a full table refuses new keys and forgets none early")
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

// Guards against an owner that takes its own ignorance for a proof that a request never ran.
TEST_CASE("a marked repeat executes only where the owner is certain")
{
    Fixture f;
    f.now = kRetention - 1;
    CHECK(f.begin("k", 2).reason == Reason::OutcomeUnknown);
    CHECK(f.begin("k", 2).verdict == Verdict::MayHaveRun);
    // Remembered as unknown: a repeat without the mark does not execute either.
    CHECK(f.begin("k").reason == Reason::OutcomeUnknown);
    f.now = kRetention;
    CHECK(f.begin("other", 2).action == KeyAction::Execute);
    f.table.ownershipChanged(f.now);
    CHECK(f.begin("third", 3).reason == Reason::OutcomeUnknown);
    // The table is full: the answer stays the same, without an entry.
    CHECK(f.begin("fourth", 3).reason == Reason::OutcomeUnknown);
    CHECK(f.table.size() == 3);
}

// Guards against entries that outlive their retention or disappear before it, in any order of events.
TEST_CASE("random use of the table executes each key once per retention time")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        SeededRandom random(seed);
        IdempotencyTable table(0, {20, kRetention, 255, 100});
        std::map<std::string, TimeMs> ended;
        std::map<std::string, KeyEntryId> running;
        TimeMs now = kRetention;
        for (int step = 0; step < 3000; ++step) {
            now += random.between(0, 20000);
            const std::string key = std::to_string(random.below(60));
            const KeyDecision decision = table.begin({"bookings", key, 1, 1}, now);
            if (decision.action == KeyAction::Execute) {
                REQUIRE(running.count(key) == 0);
                REQUIRE((ended.count(key) == 0 || now - ended[key] >= kRetention));
                running[key] = decision.id;
            }
            REQUIRE(table.size() <= 20);
            if (!running.empty() && random.chance(60)) {
                const auto first = running.begin();
                const bool ran = random.chance(70);
                table.finish(first->second, ran ? Verdict::Answered : Verdict::NotRun, {200, {}, ""}, now);
                if (ran) {
                    ended[first->first] = now;
                } else {
                    ended.erase(first->first);
                }
                running.erase(first);
            }
        }
    }
}
