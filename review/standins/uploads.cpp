// Case "uploads in chunks": clients send bookings whose bodies are in chunks, and one node stops to read from clients.
#include "harness.h"

using namespace review;

namespace {

constexpr int kTimeoutMs = 2000; ///< of the route
constexpr int kDeadlineMs = 4000;
constexpr int kHalfSecondMs = 500;
constexpr int kFirstBytes = 3600;
constexpr int kLastBytes = 4100;
constexpr int kRequestsAfter = 20;

std::string chunkedRequest(const std::string &id, const std::string &body)
{
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", body.size());
    return "POST /u/book HTTP/1.1\r\nHost: mesh.example\r\nX-Fulmarledge-Request-Id: " + id
        + "\r\nX-Fulmarledge-Deadline-Ms: " + std::to_string(kDeadlineMs) + "\r\nTransfer-Encoding: chunked\r\n\r\n"
        + size.data() + body + "\r\n0\r\n\r\n";
}

/// Processor time of each thread of a process, in clock ticks.
std::string threadTimes(pid_t pid)
{
    std::string text;
    for (const auto &entry : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/task")) {
        std::ifstream file(entry.path() / "stat");
        std::string stat;
        std::getline(file, stat);
        std::istringstream words(stat.substr(stat.rfind(')') + 2));
        std::string word;
        std::string state;
        for (int i = 0; words >> word && i < 12; ++i) {
            if (i == 0) {
                state = word;
            }
            if (i == 11) {
                text += " " + entry.path().filename().string() + ":" + state + ":" + word;
            }
        }
    }
    return text;
}

} // namespace

int main(int, char **argv)
{
    Record::get().open(argv[1]);
    const Machine a{"side-a-1", "a", loopback(1), "book"};
    const Machine b{"side-b-1", "b", loopback(2), "sheets"};
    Deployment fleet({a, b});
    fleet.store->put("config", "main",
                     configuration(7, {{"/u/", "unsafe", "book", kTimeoutMs}, {"/s/", "safe", "sheets", kTimeoutMs}},
                                   {"book", "sheets"}));
    Endpoint book({"i-book1", "book", "a", fleet.app(a), fleet.control(a), 2});
    Endpoint sheets({"i-sheets1", "sheets", "b", fleet.app(b), fleet.control(b), 2});
    book.quiet = true;
    sheets.quiet = true;
    fleet.start(a);
    fleet.start(b);
    book.startBeats();
    sheets.startBeats();
    if (!fleet.waitReady({a, b}, 10000)) {
        fleet.finish(2);
    }
    sleepMs(4000); // all machines are in touch, and the endpoints are known
    if (request(fleet.outbound(a), "POST", "/u/book", kDeadlineMs, "hello").status != 200
        || request(fleet.outbound(a), "GET", "/s/sheet", kDeadlineMs).status != 200) {
        fleet.finish(2);
    }
    int sent = 0;
    int served = 0;
    bool hangs = false;
    for (int bytes = kFirstBytes; bytes <= kLastBytes && !hangs; ++bytes) {
        const std::string body(static_cast<std::size_t>(bytes), 'b');
        Attempt attempt;
        if (hasTrouble()) {
            attempt.id = newId();
            attempt.sentAt = nowMs();
            const auto stream = Stream::connect(fleet.outbound(a), 1000);
            if (stream && stream->send(chunkedRequest(attempt.id, body))
                && stream->readMessage(attempt.answer, attempt.sentAt + kTimeoutMs + kHalfSecondMs)) {
                attempt.status = attempt.answer.status;
            }
        } else {
            attempt = request(fleet.outbound(a), "POST", "/u/book", kDeadlineMs, body, nullptr, {}, true);
        }
        ++sent;
        served += attempt.status == 200 ? 1 : 0;
        hangs = attempt.status == 0;
        if (attempt.status != 200) {
            RECORD("client: %s POST of %d bytes (%s): status %d after %lld ms", attempt.id.c_str(), bytes,
                   hasTrouble() ? "one chunk" : "Content-Length", attempt.status,
                   static_cast<long long>(nowMs() - attempt.sentAt));
        }
    }
    RECORD("bodies of %d to %d bytes: %d sent, %d served", kFirstBytes, kLastBytes, sent, served);
    RECORD("threads of the node, state and ticks:%s", threadTimes(fleet.pidOf(a)).c_str());

    // Other clients, each on a connection of its own, with plain requests for a sound endpoint.
    std::atomic<int> unanswered{0};
    std::atomic<int> answered{0};
    std::vector<std::thread> clients;
    for (int i = 0; i < kRequestsAfter; ++i) {
        clients.emplace_back([&, i] {
            sleepMs(i * 50);
            const Attempt attempt = request(fleet.outbound(a), "GET", "/s/sheet", kDeadlineMs);
            const bool inTime
                = attempt.status != 0 && attempt.answeredAt - attempt.sentAt <= kTimeoutMs + kHalfSecondMs;
            ++(inTime ? answered : unanswered);
        });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    RECORD("plain requests of other clients at %s: %d answered, %d without an answer %d ms after the route's timeout",
           a.name.c_str(), answered.load(), unanswered.load(), kHalfSecondMs);
    RECORD("threads of the node, state and ticks:%s", threadTimes(fleet.pidOf(a)).c_str());
    RECORD("readiness of %s: %s; process %s", a.name.c_str(), fleet.isReady(a) ? "200" : "not 200",
           fleet.ended(a) == -1 ? "still runs" : "has ended");
    // CONFIG: eight or more, and over a quarter, have no final answer half a second after the route's timeout.
    const int total = answered + unanswered;
    fleet.finish(unanswered >= 8 && unanswered * 4 > total ? 1 : 0);
}
