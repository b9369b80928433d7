#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "fulmarledge/transitclock.h"
#include "pushtree_p.h"

using namespace fulmarledge;

namespace {

std::vector<std::string> watchersOf(const std::vector<Member> &members, int watchers)
{
    std::vector<std::string> chosen;
    for (const Member &member : members) {
        if (watcherRank(members, "ikeja", member, watchers) < watchers) {
            chosen.push_back(member.host);
        }
    }
    return chosen;
}

} // namespace

// Guards against watchers on the slowest links, where a version of a large configuration takes longer to arrive than
// the time to the next version.
TEST_CASE("the hosts with the fastest links watch the platform")
{
    std::vector<Member> members(20);
    for (std::size_t i = 0; i < members.size(); ++i) {
        members[i].host = "ikeja-" + std::to_string(i);
        members[i].linkMegabits = i == 4 || i == 11 ? 100 : 7;
    }
    CHECK(watchersOf(members, 2) == std::vector<std::string>{"ikeja-4", "ikeja-11"});
    CHECK(watchersOf(members, 3).size() == 3);
    members.erase(members.begin() + 4);
    const std::vector<std::string> chosen = watchersOf(members, 2);
    CHECK(chosen.size() == 2);
    CHECK(std::find(chosen.begin(), chosen.end(), "ikeja-11") != chosen.end());
}

// Guards against a measured delay that depends on a constant offset between the clocks of sender and receiver.
TEST_CASE("the transit delay of a message is measured relative to the fastest message")
{
    TransitClock clock;
    CHECK(clock.delayMs(5000000, 100) == 0);
    CHECK(clock.delayMs(5000100, 450) == 250);
    CHECK(clock.delayMs(5000200, 290) == 0);
    CHECK(clock.delayMs(5000300, 400) == 10);
}
