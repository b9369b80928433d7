#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <sys/socket.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "datapathfixture.h"
#include "hop.h"
#include "rawclient.h"

using namespace datapathtest;

namespace {

constexpr std::uint16_t kPort = 18500;

HopConfig fastConfig()
{
    HopConfig config;
    config.heartbeatIntervalMs = 20;
    config.silenceTimeoutMs = 150;
    return config;
}

wire::HopRequest hopRequest(const std::string &body, bool bulk = false)
{
    wire::HopRequest request;
    request.body = body;
    request.bulk = bulk;
    return request;
}

wire::HopResponse hopAnswer(const std::string &body)
{
    wire::HopResponse response;
    response.verdict = wire::Verdict::Answered;
    response.status = 200;
    response.body = body;
    return response;
}

/// Runs `loop` until `done` is met or about 5 s have passed.
void runUntil(IoLoop &loop, const std::function<bool()> &done)
{
    std::thread watcher([&] {
        eventually(done);
        loop.stop();
    });
    loop.run();
    watcher.join();
}

/// Sends one request to a peer that runs `serve` on the accepted connection.
/// @return the outcome at the client
HopOutcome callRawPeer(const std::string &body, const std::function<void(int fd)> &serve)
{
    const RawListener listener(kPort);
    std::thread peer([&] {
        const int fd = listener.accept();
        serve(fd);
        ::close(fd);
    });
    IoLoop loop;
    HopOutcome outcome;
    {
        HopClient client(loop, fastConfig());
        std::atomic<bool> done{false};
        client.send({"127.0.0.1", kPort}, hopRequest(body), [&](HopOutcome got) {
            outcome = std::move(got);
            done = true;
        });
        runUntil(loop, [&] { return done.load(); });
    }
    peer.join();
    return outcome;
}

} // namespace

// Guards against an answer that is given to the wrong request when answers arrive in another order, or after their
// request was cancelled.
TEST_CASE("hop answers in any order reach their own requests and not a cancelled one")
{
    IoLoop loop;
    std::vector<std::pair<HopCallId, std::string>> held;
    std::vector<HopCallId> cancelled;
    std::unique_ptr<HopServer> server;
    server = std::make_unique<HopServer>(
        loop, fastConfig(),
        HopServer::Handlers{[&](HopCallId call, wire::HopRequest &&request) {
                                held.emplace_back(call, request.body);
                                if (held.size() == 3) {
                                    for (auto it = held.rbegin(); it != held.rend(); ++it) {
                                        server->reply(it->first, hopAnswer("to " + it->second));
                                    }
                                }
                            },
                            [&](HopCallId call) { cancelled.push_back(call); }});
    const HopListener listener(loop, {"127.0.0.1", kPort}, [&](int fd) { server->accept(fd); });
    HopClient client(loop, fastConfig());
    std::map<std::string, std::string> answers;
    std::atomic<int> count{0};
    std::vector<std::uint64_t> ids;
    for (const std::string name : {"one", "two", "three"}) {
        ids.push_back(client.send({"127.0.0.1", kPort}, hopRequest(name), [&, name](HopOutcome outcome) {
            answers[name] = outcome.response.body;
            ++count;
        }));
    }
    // The cancellation is sent after its request, and the answer may cross it on the way.
    client.cancel(ids[1]);
    runUntil(loop, [&] { return count == 2; });
    CHECK(answers == std::map<std::string, std::string>{{"one", "to one"}, {"three", "to three"}});
    server->closeAll();
}

// Guards against a partial answer that is taken for a complete one, and against "not run" for a request that the peer
// has read.
TEST_CASE("a request whose hop answer is truncated may have run")
{
    const HopOutcome outcome = callRawPeer("x", [](int fd) {
        char buffer[256];
        [[maybe_unused]] const ssize_t got = ::recv(fd, buffer, sizeof(buffer), 0);
        const char partialFrame[] = {0, 0, 0, 40, 1, 2, 3};
        ::send(fd, partialFrame, sizeof(partialFrame), MSG_NOSIGNAL);
    });
    CHECK(outcome.verdict == Verdict::MayHaveRun);
    CHECK(outcome.reason == Reason::ConnectionLost);
    CHECK_FALSE(outcome.fromPeer);
}

// Guards against a request that waits forever for a peer that no longer sends anything.
TEST_CASE("a silent hop connection is closed and its request may have run")
{
    const TimeMs start = monotonicMs();
    const HopOutcome outcome = callRawPeer("x", [](int fd) {
        char buffer[256];
        while (::recv(fd, buffer, sizeof(buffer), 0) > 0) {
        }
    });
    CHECK(outcome.verdict == Verdict::MayHaveRun);
    CHECK(monotonicMs() - start >= 150);
}

// Guards against "may have run" for a frame of which only a part left this host.
TEST_CASE("a request that was not completely written did not run")
{
    const HopOutcome outcome = callRawPeer(std::string(32 * 1024 * 1024, 'x'), [](int fd) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        ::shutdown(fd, SHUT_RDWR);
    });
    CHECK(outcome.verdict == Verdict::NotRun);
}

// Guards against a length prefix that makes the receiver allocate without a limit.
TEST_CASE("a hop frame above the size limit closes the connection")
{
    const HopOutcome outcome = callRawPeer("x", [](int fd) {
        char buffer[256];
        [[maybe_unused]] const ssize_t got = ::recv(fd, buffer, sizeof(buffer), 0);
        const unsigned char oversizedPrefix[] = {0xFF, 0xFF, 0xFF, 0xFF, 1};
        ::send(fd, oversizedPrefix, sizeof(oversizedPrefix), MSG_NOSIGNAL);
        while (::recv(fd, buffer, sizeof(buffer), 0) > 0) {
        }
    });
    CHECK(outcome.verdict == Verdict::MayHaveRun);
}

// Guards against "may have run" when no process listens at the peer's address, and against bulk requests on the
// connection of interactive ones.
TEST_CASE("a request whose hop connection is refused did not run, and bulk requests have their own connection")
{
    IoLoop loop;
    HopClient client(loop, fastConfig());
    std::atomic<int> done{0};
    HopOutcome refused;
    client.send({"127.0.0.1", kPort + 1}, hopRequest("x"), [&](HopOutcome outcome) {
        refused = std::move(outcome);
        ++done;
    });
    int accepted = 0;
    std::unique_ptr<HopServer> server;
    server = std::make_unique<HopServer>(
        loop, fastConfig(),
        HopServer::Handlers{[&](HopCallId call, wire::HopRequest &&) { server->reply(call, hopAnswer("")); },
                            [](HopCallId) {}});
    const HopListener listener(loop, {"127.0.0.1", kPort}, [&](int fd) {
        ++accepted;
        server->accept(fd);
    });
    for (const bool bulk : {false, true, false, true}) {
        client.send({"127.0.0.1", kPort}, hopRequest("x", bulk), [&](const HopOutcome &) { ++done; });
    }
    runUntil(loop, [&] { return done == 5; });
    CHECK(refused.verdict == Verdict::NotRun);
    CHECK(refused.reason == Reason::ConnectFailed);
    CHECK(accepted == 2);
    server->closeAll();
}

// Guards against frames that are mixed up, lost or never sent on a paced link, and against small answers that wait for
// all large ones of their connection.
TEST_CASE("large answers arrive complete at the rate of the link, small ones overtake them")
{
    HopConfig config = fastConfig();
    config.silenceTimeoutMs = 2000;
    config.answerBytesPerMs = 1000;
    IoLoop loop;
    std::unique_ptr<HopServer> server;
    server = std::make_unique<HopServer>(
        loop, config,
        HopServer::Handlers{[&](HopCallId call, wire::HopRequest &&request) {
                                const bool large = request.body.size() > 1;
                                server->reply(call, hopAnswer(large ? std::string(100000, request.body[1]) : "small"));
                            },
                            [](HopCallId) {}});
    const HopListener listener(loop, {"127.0.0.1", kPort}, [&](int fd) { server->accept(fd); });
    HopClient client(loop, fastConfig());
    std::vector<std::string> order;
    std::atomic<std::size_t> count{0};
    const TimeMs start = monotonicMs();
    for (const std::string requestBody : {"La", "Lb", "Lc", "s"}) {
        client.send({"127.0.0.1", kPort}, hopRequest(requestBody), [&, requestBody](HopOutcome outcome) {
            CHECK(outcome.verdict == Verdict::Answered);
            CHECK(outcome.response.body == (requestBody == "s" ? "small" : std::string(100000, requestBody[1])));
            order.push_back(requestBody);
            ++count;
        });
    }
    runUntil(loop, [&] { return count == 4; });
    CHECK(order == std::vector<std::string>{"La", "s", "Lb", "Lc"});
    // 300 KB at 1 KB/ms take 300 ms; the first 40 KB may be sent at once.
    CHECK(monotonicMs() - start >= 200);
    CHECK(config.gauge->waitingBytes == 0);
    server->closeAll();
}

// Guards against a link that is overloaded by answers to callers together with large answers to other nodes.
TEST_CASE("answers to callers slow down large answers on the same link")
{
    HopConfig config = fastConfig();
    config.silenceTimeoutMs = 2000;
    config.answerBytesPerMs = 1000;
    IoLoop loop;
    std::unique_ptr<HopServer> server;
    server
        = std::make_unique<HopServer>(loop, config,
                                      HopServer::Handlers{[&](HopCallId call, wire::HopRequest &&) {
                                                              config.gauge->uncountedCallerBytes += 300000;
                                                              server->reply(call, hopAnswer(std::string(20000, 'x')));
                                                          },
                                                          [](HopCallId) {}});
    const HopListener listener(loop, {"127.0.0.1", kPort}, [&](int fd) { server->accept(fd); });
    HopClient client(loop, fastConfig());
    std::atomic<int> count{0};
    const TimeMs start = monotonicMs();
    client.send({"127.0.0.1", kPort}, hopRequest("one"), [&](HopOutcome) { ++count; });
    runUntil(loop, [&] { return count == 1; });
    // 300 KB at 1 KB/ms take 300 ms; the first 40 KB may be sent at once.
    CHECK(monotonicMs() - start >= 250);
    server->closeAll();
}

// Guards against sending an answer that no one waits for, and against a count of waiting bytes that drifts.
TEST_CASE("a large answer is not sent after its request was cancelled")
{
    HopConfig config = fastConfig();
    config.silenceTimeoutMs = 2000;
    config.answerBytesPerMs = 500;
    IoLoop loop;
    std::unique_ptr<HopServer> server;
    std::vector<HopCallId> calls;
    server
        = std::make_unique<HopServer>(loop, config,
                                      HopServer::Handlers{[&](HopCallId call, wire::HopRequest &&) {
                                                              calls.push_back(call);
                                                              server->reply(call, hopAnswer(std::string(200000, 'x')));
                                                          },
                                                          [](HopCallId) {}});
    const HopListener listener(loop, {"127.0.0.1", kPort}, [&](int fd) { server->accept(fd); });
    HopClient client(loop, fastConfig());
    std::atomic<int> count{0};
    client.send({"127.0.0.1", kPort}, hopRequest("first"), [&](HopOutcome) { ++count; });
    std::vector<std::uint64_t> others;
    for (int i = 0; i < 10; ++i) {
        others.push_back(client.send({"127.0.0.1", kPort}, hopRequest("other"), [](HopOutcome) { CHECK(false); }));
    }
    loop.runAfter(100, [&] {
        for (const std::uint64_t id : others) {
            client.cancel(id);
        }
    });
    runUntil(loop, [&] { return count == 1 && calls.size() == 11 && config.gauge->waitingBytes == 0; });
    CHECK(count == 1);
    CHECK(config.gauge->waitingBytes == 0);
    server->closeAll();
}

// Guards against running a request after its caller has given up, because it was delayed in transit.
TEST_CASE("a request that spent its whole deadline in transit does not run")
{
    IoLoop loop;
    std::vector<std::int32_t> remainingMs;
    std::unique_ptr<HopServer> server;
    server = std::make_unique<HopServer>(loop, fastConfig(),
                                         HopServer::Handlers{[&](HopCallId call, wire::HopRequest &&request) {
                                                                 remainingMs.push_back(request.deadlineMs);
                                                                 server->reply(call, hopAnswer("ran"));
                                                             },
                                                             [](HopCallId) {}});
    std::array<int, 2> sockets{};
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets.data()) == 0);
    server->accept(sockets[0]);
    std::atomic<int> answers{0};
    std::vector<Reason> reasons;
    HopConnection sender(loop, sockets[1], false, fastConfig(),
                         {[&](wire::HopFrame &&frame) {
                              reasons.push_back(static_cast<Reason>(frame.response.reason));
                              ++answers;
                          },
                          [] {}});
    const auto send = [&](std::int64_t id, std::int64_t sentMs) {
        wire::HopFrame frame;
        frame.request.__set_id(id);
        frame.request.__set_deadlineMs(600);
        frame.request.__set_sentMs(sentMs);
        frame.__isset.request = true;
        sender.send(frame);
    };
    // The sender's clock is an hour behind.
    const TimeMs senderNow = monotonicMs() - 3600000;
    send(1, senderNow);
    send(2, senderNow - 200);
    send(3, senderNow - 700);
    runUntil(loop, [&] { return answers == 3; });
    REQUIRE(remainingMs.size() == 2);
    CHECK(remainingMs[0] == 600);
    CHECK(remainingMs[1] > 300);
    CHECK(remainingMs[1] <= 400);
    CHECK(reasons == std::vector<Reason>{Reason::None, Reason::None, Reason::DeadlineExceeded});
    server->closeAll();
}

namespace {

/// A heartbeat as it is sent, which reports that requests run.
std::string beatFrame(const std::vector<std::int64_t> &running)
{
    wire::HopFrame frame;
    wire::HopBeat beat;
    beat.__set_running(running);
    frame.__set_beat(beat);
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    frame.write(&protocol);
    const std::string text = buffer->getBufferAsString();
    const std::uint32_t prefix = htonl(static_cast<std::uint32_t>(text.size()));
    return std::string(reinterpret_cast<const char *>(&prefix), sizeof(prefix)) + text;
}

/// Settings for peers that are paused: heartbeats arrive many times before a silence counts.
HopConfig pauseConfig()
{
    HopConfig config = fastConfig();
    config.silenceTimeoutMs = 300;
    return config;
}

/// A peer whose process can be paused: while paused, its event loop does not run and its sockets stay open.
class PausablePeer
{
public:
    explicit PausablePeer(HopServer::Handlers handlers)
        : server(m_loop, pauseConfig(), std::move(handlers))
        , m_listener(m_loop, {"127.0.0.1", kPort}, [this](int fd) { server.accept(fd); })
        , m_thread([this] { m_loop.run(); })
    {
    }
    ~PausablePeer()
    {
        m_loop.post([this] {
            server.closeAll();
            m_loop.stop();
        });
        m_thread.join();
    }
    PausablePeer(const PausablePeer &) = delete;
    PausablePeer &operator=(const PausablePeer &) = delete;

    void pause(TimeMs durationMs)
    {
        m_loop.post([durationMs] { std::this_thread::sleep_for(std::chrono::milliseconds(durationMs)); });
    }
    IoLoop &loop()
    {
        return m_loop;
    }

private:
    IoLoop m_loop;

public:
    HopServer server;

private:
    HopListener m_listener;
    std::thread m_thread;
};

} // namespace

// Guards against giving up work that runs at a peer that is only paused, and against running it again.
TEST_CASE("a request that must not run twice gets its answer from a peer that was paused")
{
    std::atomic<int> received{0};
    std::atomic<int> cancelled{0};
    PausablePeer *running = nullptr;
    PausablePeer peer({[&](HopCallId call, wire::HopRequest &&request) {
                           ++received;
                           running->loop().runAfter(
                               2000, [&, call, body = request.body] { running->server.reply(call, hopAnswer(body)); });
                       },
                       [&](HopCallId) { ++cancelled; },
                       {},
                       [](HopCallId) { return true; }});
    running = &peer;
    IoLoop loop;
    HopClient client(loop, pauseConfig());
    std::atomic<int> done{0};
    HopOutcome kept;
    HopOutcome failed;
    client.send(
        {"127.0.0.1", kPort}, hopRequest("keep"),
        [&](HopOutcome outcome) {
            kept = std::move(outcome);
            ++done;
        },
        OnSilence::KeepWaitingIfRunning);
    client.send({"127.0.0.1", kPort}, hopRequest("fail"), [&](HopOutcome outcome) {
        failed = std::move(outcome);
        ++done;
    });
    loop.runAfter(400, [&] { peer.pause(1000); });
    runUntil(loop, [&] { return done == 2 && cancelled == 1; });
    CHECK(kept.verdict == Verdict::Answered);
    CHECK(kept.response.body == "keep");
    CHECK(failed.verdict == Verdict::MayHaveRun);
    CHECK(received == 2);
    // The request that was given up at the silence was cancelled at the peer.
    CHECK(cancelled == 1);
}

// Guards against new requests that fail or wait behind a kept connection after the pause of their peer.
TEST_CASE("new requests to a peer that was silent use a second connection")
{
    PausablePeer *running = nullptr;
    PausablePeer peer({[&](HopCallId call, wire::HopRequest &&request) {
                           if (request.body != "first") {
                               running->server.reply(call, hopAnswer(request.body));
                           }
                       },
                       [](HopCallId) {},
                       {},
                       [](HopCallId) { return true; }});
    running = &peer;
    IoLoop loop;
    HopClient client(loop, pauseConfig());
    std::vector<Verdict> verdicts;
    std::atomic<bool> done{false};
    std::atomic<bool> firstEnded{false};
    client.send(
        {"127.0.0.1", kPort}, hopRequest("first"), [&](HopOutcome) { firstEnded = true; },
        OnSilence::KeepWaitingIfRunning);
    loop.runAfter(400, [&] { peer.pause(1000); });
    for (const TimeMs at : {1700, 2000}) {
        loop.runAfter(at, [&] {
            client.send({"127.0.0.1", kPort}, hopRequest("next"), [&](HopOutcome outcome) {
                verdicts.push_back(outcome.verdict);
                done = verdicts.size() == 2;
            });
        });
    }
    runUntil(loop, [&] { return done.load(); });
    CHECK(verdicts == std::vector<Verdict>{Verdict::Answered, Verdict::Answered});
    CHECK_FALSE(firstEnded);
}

// Guards against a request that waits for its deadline on a connection that went silent for good while the peer runs.
TEST_CASE("a request on a connection that stays silent ends when the peer answers on a new one")
{
    const RawListener listener(kPort);
    std::atomic<bool> stop{false};
    std::thread peer([&] {
        const int silent = listener.accept();
        const std::string beat = beatFrame({1});
        ::send(silent, beat.data(), beat.size(), MSG_NOSIGNAL);
        const int replacement = listener.accept();
        // The second connection is echoed, so that the client receives its own heartbeats.
        char buffer[4096];
        ssize_t got = 0;
        while ((got = ::recv(replacement, buffer, sizeof(buffer), 0)) > 0 && !stop) {
            ::send(replacement, buffer, static_cast<std::size_t>(got), MSG_NOSIGNAL);
        }
        ::close(silent);
        ::close(replacement);
    });
    IoLoop loop;
    HopOutcome outcome;
    std::atomic<bool> done{false};
    const TimeMs start = monotonicMs();
    {
        HopClient client(loop, fastConfig());
        client.send(
            {"127.0.0.1", kPort}, hopRequest("x"),
            [&](HopOutcome got) {
                outcome = std::move(got);
                done = true;
            },
            OnSilence::KeepWaitingIfRunning);
        runUntil(loop, [&] { return done.load(); });
    }
    stop = true;
    peer.join();
    // Twice the silence timeout, as the running request was not given up at the first one.
    CHECK(monotonicMs() - start >= 300);
    CHECK(done);
    CHECK(outcome.verdict == Verdict::MayHaveRun);
}

// Guards against cancelling requests that run here because the node that sent them is paused.
TEST_CASE("requests of a silent node go on and waiting ones are reported")
{
    IoLoop loop;
    std::atomic<int> cancelled{0};
    std::atomic<int> reported{0};
    std::unique_ptr<HopServer> server;
    server = std::make_unique<HopServer>(loop, fastConfig(),
                                         HopServer::Handlers{[](HopCallId, wire::HopRequest &&) {},
                                                             [&](HopCallId) { ++cancelled; },
                                                             [&](HopCallId) { ++reported; }});
    const HopListener listener(loop, {"127.0.0.1", kPort}, [&](int fd) { server->accept(fd); });
    IoLoop callerLoop;
    HopClient client(callerLoop, fastConfig());
    callerLoop.post([&] { client.send({"127.0.0.1", kPort}, hopRequest("x"), [](HopOutcome) {}); });
    std::thread caller([&] {
        callerLoop.runAfter(100, [&] {
            std::this_thread::sleep_for(std::chrono::milliseconds(1000));
            callerLoop.stop();
        });
        callerLoop.run();
    });
    runUntil(loop, [&] { return reported > 0; });
    CHECK(reported > 0);
    CHECK(cancelled == 0);
    caller.join();
    server->closeAll();
}

// Guards against a result that depends on where the bytes between nodes are cut, as in review case 2.
TEST_CASE("a request of another node is read alike, wherever its bytes are cut")
{
    std::string frame;
    callRawPeer("body", [&](int fd) {
        std::array<char, 1024> buffer;
        const ssize_t received = ::recv(fd, buffer.data(), buffer.size(), 0);
        frame.assign(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(received, 0)));
    });
    REQUIRE(frame.size() > 4);
    frame.resize(4 + static_cast<unsigned char>(frame[3])); // without a heartbeat that follows
    IoLoop loop;
    std::atomic<std::size_t> whole{0};
    HopServer server(
        loop, fastConfig(),
        HopServer::Handlers{[&](HopCallId, wire::HopRequest &&request) { whole += request.body == "body"; },
                            [](HopCallId) {}});
    const HopListener listener(loop, {"127.0.0.1", kPort}, [&](int fd) { server.accept(fd); });
    std::thread peer([&] {
        for (std::size_t cut = 1; cut <= frame.size(); ++cut) {
            const RawClient client(kPort);
            client.send(std::string_view(frame).substr(0, cut));
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
            client.send(std::string_view(frame).substr(cut));
            if (!eventually([&] { return whole == cut; })) {
                return;
            }
        }
    });
    runUntil(loop, [&] { return whole == frame.size(); });
    CHECK(whole == frame.size());
    peer.join();
    server.closeAll();
}

// Guards against review case 7, buffers that keep the size of the largest request and answer for each peer.
TEST_CASE("the memory of a large request or answer is returned when it has been sent or delivered")
{
    constexpr std::size_t kKeptBytes = 256 * 1024; // of both ends of the connection
    const std::size_t requestBytes = GENERATE(std::size_t{10}, std::size_t{8} << 20);
    const std::size_t answerBytes = GENERATE(std::size_t{10}, std::size_t{8} << 20);
    const double answerBytesPerMs = GENERATE(0.0, 100000.0);
    CAPTURE(requestBytes, answerBytes, answerBytesPerMs);
    HopConfig config = fastConfig();
    config.answerBytesPerMs = answerBytesPerMs;
    {
        IoLoop loop;
        std::unique_ptr<HopServer> server;
        server = std::make_unique<HopServer>(
            loop, config,
            HopServer::Handlers{[&](HopCallId call, wire::HopRequest &&request) {
                                    CHECK(request.body.size() == requestBytes);
                                    server->reply(call, hopAnswer(std::string(answerBytes, 'a')));
                                },
                                [](HopCallId) {}});
        const HopListener listener(loop, {"127.0.0.1", kPort}, [&](int fd) { server->accept(fd); });
        HopClient client(loop, config);
        std::atomic<int> answered{0};
        const auto call = [&] {
            client.send({"127.0.0.1", kPort}, hopRequest(std::string(requestBytes, 'r')), [&](HopOutcome outcome) {
                CHECK(outcome.response.body.size() == answerBytes);
                ++answered;
            });
        };
        call();
        runUntil(loop, [&] { return answered.load() == 1; });
        CHECK(config.bufferMemory->used() <= kKeptBytes);
        call();
        runUntil(loop, [&] { return answered.load() == 2; });
        CHECK(config.bufferMemory->used() <= kKeptBytes);
    }
    CHECK(config.bufferMemory->used() == 0);
}

// Guards against a buffer that grows to twice the size of a large frame because small fields follow its body.
TEST_CASE("a large frame that waits takes its own size and little more")
{
    constexpr std::size_t kBodyBytes = 8 * 1024 * 1024;
    const HopConfig config = fastConfig();
    const RawListener listener(kPort);
    IoLoop loop;
    HopClient client(loop, config);
    wire::HopRequest request = hopRequest(std::string(kBodyBytes, 'r'));
    request.fields.resize(20);
    client.send({"127.0.0.1", kPort}, std::move(request), [](HopOutcome) {});
    CHECK(config.bufferMemory->used() >= kBodyBytes);
    CHECK(config.bufferMemory->used() <= kBodyBytes + 256 * 1024);
}
