// Case "the store has moved": the settings name another address of the store, and the nodes get SIGHUP.
#include "harness.h"

using namespace review;

namespace {

constexpr Ms kConfigApplyMs = 2000;
constexpr Ms kStableWindowMs = 3000;
constexpr Ms kStretchMaxMs = 5000;

} // namespace

int main(int, char **argv)
{
    Record::get().open(argv[1]);
    const Machine a{"side-a-1", "a", loopback(1), "book"};
    const Machine b{"side-b-1", "b", loopback(2), "sheets"};
    const Machine c{"side-b-2", "b", loopback(3), "sheets"};
    Deployment fleet({a, b, c});
    const std::vector<std::string> services{"book", "sheets"};
    fleet.store->put("config", "main",
                     configuration(7,
                                   {{"/u/", "unsafe", "book"}, {"/s/", "safe", "sheets"}, {"/old/", "unsafe", "book"}},
                                   services));
    Endpoint book({"i-book", "book", "a", fleet.app(a), fleet.control(a), 5});
    Endpoint sheets({"i-sheets1", "sheets", "b", fleet.app(b), fleet.control(b), 5});
    Endpoint moreSheets({"i-sheets2", "sheets", "b", fleet.app(c), fleet.control(c), 5});
    for (const Machine &machine : fleet.machines) {
        fleet.start(machine);
    }
    book.startBeats();
    sheets.startBeats();
    moreSheets.startBeats();
    if (!fleet.waitReady(fleet.machines, 10000)) {
        fleet.finish(2);
    }
    sleepMs(4000);
    if (request(fleet.outbound(b), "POST", "/old/book", 4000, "before").status != 200) {
        fleet.finish(2);
    }

    std::unique_ptr<Store> moved;
    if (hasTrouble()) {
        const Address to{loopback(9), fleet.ports.store};
        moved = std::make_unique<Store>(to, *fleet.store);
        fleet.platformAddress = to;
        for (const Machine &machine : fleet.machines) {
            fleet.writeSettings(machine);
        }
        RECORD("the settings of all nodes name the store's new address, %s", to.text().c_str());
        for (const Machine &machine : fleet.machines) {
            fleet.signal(machine, SIGHUP);
        }
        // The store serves at both addresses for a while, and then at the new one only.
        sleepMs(5000);
        fleet.store->stop();
        RECORD("the store serves at the new address only");
    }
    sleepMs(kStableWindowMs + 1000);
    Store &store = moved ? *moved : *fleet.store;
    store.put("config", "main",
              configuration(9, {{"/u/", "unsafe", "book"}, {"/s/", "safe", "sheets"}, {"/new/", "unsafe", "book"}},
                            services));
    RECORD("the store acknowledges version 9: /old/ is dropped, /new/ is added");
    sleepMs(kConfigApplyMs + kStretchMaxMs + 500);
    int older = 0;
    for (int round = 0; round < 5; ++round) {
        for (const Machine &machine : fleet.machines) {
            const Attempt dropped = request(fleet.outbound(machine), "POST", "/old/book", 4000, "after");
            const Attempt added = request(fleet.outbound(machine), "POST", "/new/book", 4000, "after");
            older += book.runsOf(dropped.id) > 0 ? 1 : 0;
            older += added.status == 404 ? 1 : 0;
        }
        sleepMs(200);
    }
    RECORD("requests that were handled as only an older version allows: %d of 30", older);
    fleet.finish(older > 0 ? 1 : 0);
}
