// Case "other fields": proper bookings with ordinary header fields are ended with 400 or 415 by the node.
#include "harness.h"

using namespace review;

int main(int, char **argv)
{
    Record::get().open(argv[1]);
    const Machine a{"side-a-1", "a", loopback(1), "book"};
    const Machine b{"side-b-1", "b", loopback(2), "sheets"};
    Deployment fleet({a, b});
    fleet.store->put("config", "main",
                     configuration(7, {{"/u/", "unsafe", "book"}, {"/s/", "safe", "sheets"}}, {"book", "sheets"}));
    Endpoint book({"i-book", "book", "a", fleet.app(a), fleet.control(a), 5});
    Endpoint sheets({"i-sheets", "sheets", "b", fleet.app(b), fleet.control(b), 5});
    fleet.start(a);
    fleet.start(b);
    book.startBeats();
    sheets.startBeats();
    if (!fleet.waitReady({a, b}, 10000)) {
        fleet.finish(2);
    }
    sleepMs(4000);
    // A cookie without a value, a directive of RFC 5861, and the default field of a common HTTP library.
    const std::vector<std::pair<std::string, std::string>> fields{
        {"Cookie", "theme=dark; consent"},
        {"Cache-Control", "max-age=0, stale-if-error=60"},
        {"Accept", "text/html, image/gif, image/jpeg, *; q=.2, */*; q=.2"},
    };
    int sent = 0;
    int denied = 0;
    int ran = 0;
    for (int round = 0; round < 40; ++round) {
        for (const auto &extra : fields) {
            Fields more{{"User-Agent", "office"}};
            if (hasTrouble()) {
                more.push_back(extra);
            }
            for (const bool isBooking : {true, false}) {
                const Attempt attempt = isBooking
                    ? request(fleet.outbound(a), "POST", "/u/book", 4000, "a booking", nullptr, more, true)
                    : request(fleet.outbound(b), "GET", "/s/sheet", 4000, "", nullptr, more, true);
                ++sent;
                const bool own = field(attempt.answer.fields, "X-Fulmarledge-Response-Signature").empty();
                denied += own && attempt.status >= 300 && attempt.status < 500 && attempt.status != 408
                        && attempt.status != 421 && attempt.status != 429
                    ? 1
                    : 0;
                ran += book.runsOf(attempt.id) + sheets.runsOf(attempt.id) > 0 ? 1 : 0;
                RECORD("client: %s %s with \"%s: %s\": %d %s", attempt.id.c_str(), isBooking ? "POST" : "GET",
                       more.back().first.c_str(), more.back().second.c_str(), attempt.status,
                       attempt.status == 200 ? "" : attempt.answer.body.substr(0, 80).c_str());
            }
        }
    }
    RECORD("sent %d, run %d, ended with a 3xx or 4xx of the nodes' own %d", sent, ran, denied);
    // DENIED: more than 5 + one in 500 of all requests.
    fleet.finish(denied > 5 + sent / 500 ? 1 : 0);
}
