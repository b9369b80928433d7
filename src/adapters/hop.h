#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include "fulmarledge/linkpacer.h"
#include "fulmarledge/transitclock.h"
#include "fulmarledge/types.h"
#include "fulmarledge/verdict.h"
#include "fulmarledge_types.h"
#include "ioloop.h"

namespace fulmarledge {

struct HopConfig {
    std::int64_t beatMs = 1000; ///< period of the application heartbeat
    std::int64_t silenceMs = 3000; ///< a connection that received nothing for this time is closed
    std::int64_t connectTimeoutMs = 1000;
    std::int64_t idleMs = 60000; ///< a connection without requests for this time is closed
    std::size_t maxFrameBytes = 72 * 1024 * 1024; ///< one answer of at most 64 MB and its fields
    std::size_t maxOutstandingBytes = 128 * 1024 * 1024; ///< per connection, waiting to be written
    double answerBytesPerMs = 0; ///< rate at which large answers leave through one server; 0: not paced
    std::shared_ptr<LinkGauge> gauge = std::make_shared<LinkGauge>(); ///< counts what waits in all servers
};

class HopLink;

/// Decides when a connection may write its large frames.
class LargeFrameGate
{
public:
    virtual ~LargeFrameGate() = default;
    /// The link has a large frame to write, and is able to.
    virtual void wantsToWrite(HopLink &link) = 0;
    /// The link wrote bytes of small frames.
    virtual void wroteSmall(std::size_t bytes) = 0;
    /// Bytes of large frames that wait in the link were added, or were written or dropped.
    virtual void waitingChanged(std::ptrdiff_t bytes) = 0;
};

/// One TCP connection that carries length-prefixed `HopFrame` messages. Belongs to the loop's thread. Destroying it
/// closes the connection without a call of `onClosed`.
class HopLink
{
public:
    struct Handlers {
        std::function<void(wire::HopFrame &&)> onFrame;
        std::function<void()> onClosed; ///< the last call; the link may be destroyed in it
    };

    /// @param fd connected socket, or one whose connection is in progress if `connecting`
    /// @param gate asked before each write of a large frame; null: all frames are written in the order of `send`
    HopLink(IoLoop &loop, int fd, bool connecting, const HopConfig &config, Handlers handlers,
            LargeFrameGate *gate = nullptr);
    ~HopLink();
    HopLink(const HopLink &) = delete;
    HopLink &operator=(const HopLink &) = delete;

    /// Queues a frame.
    /// @return position in the stream after the frame, or 0 when the frame or the queue would be too large
    std::uint64_t send(const wire::HopFrame &frame);
    /// Writes the current large frame, or begins the next one.
    /// @return bytes written
    std::size_t writeLarge(std::size_t maxBytes);
    bool hasLarge() const
    {
        return !m_large.empty();
    }
    /// Part of a large frame is written.
    bool isAmidLarge() const
    {
        return m_largeStart > 0;
    }
    /// The kernel takes no more at present. The link reports to the gate when it does.
    bool isBlocked() const
    {
        return m_wantWrite;
    }
    /// Forgets the answer to a request if none of it was written.
    void dropLarge(std::int64_t id);
    /// Bytes handed to the kernel. A frame that ends above this position cannot have been read by the peer.
    std::uint64_t written() const
    {
        return m_written;
    }

private:
    struct LargeFrame {
        std::int64_t id = 0; ///< of the request that it answers
        std::string bytes;
    };

    void onEvents(std::uint32_t events);
    std::size_t write(std::string_view bytes);
    bool readAvailable();
    bool parseFrames();
    void flush();
    void onBeat();
    void watch(bool wantWrite);
    void fail();

    IoLoop &m_loop;
    int m_fd;
    bool m_connecting;
    bool m_failed = false;
    bool m_wantWrite = false;
    HopConfig m_config;
    Handlers m_handlers;
    TimerId m_beatTimer;
    TimerId m_failTimer;
    TimeMs m_opened;
    TimeMs m_lastRead; ///< a write proves nothing: the kernel takes it for a silent peer too
    std::int64_t m_beats = 0;
    std::string m_in;
    std::string m_out;
    std::size_t m_outStart = 0;
    LargeFrameGate *m_gate;
    std::deque<LargeFrame> m_large;
    std::size_t m_largeStart = 0; ///< bytes of the first large frame that were written
    std::size_t m_largeBytes = 0; ///< of all large frames, not yet written
    std::uint64_t m_queued = 0;
    std::uint64_t m_written = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// How a hop request ended.
struct HopOutcome {
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::None;
    wire::HopResponse response; ///< set when the peer answered, also with a refusal
    bool fromPeer = false;
};

/// Sends requests to other nodes. Interactive and bulk requests use separate connections, so that a large answer does
/// not delay small ones. Belongs to the loop's thread.
class HopClient
{
public:
    using Callback = std::function<void(HopOutcome)>;

    HopClient(IoLoop &loop, const HopConfig &config);
    ~HopClient();
    HopClient(const HopClient &) = delete;
    HopClient &operator=(const HopClient &) = delete;

    /// The callback runs once, after this call has returned, unless the request is cancelled. Sets `request.id`.
    std::uint64_t send(const SocketAddress &peer, wire::HopRequest request, Callback callback);
    /// Tells the peer to stop the work. A late answer is dropped.
    void cancel(std::uint64_t id);

private:
    using PeerKey = std::pair<SocketAddress, bool>;
    struct Pending {
        PeerKey peer;
        std::uint64_t endPosition = 0;
        Callback callback;
    };
    struct Peer {
        std::unique_ptr<HopLink> link;
        std::size_t pending = 0;
        TimeMs lastUsed = 0;
    };

    Peer *connect(const PeerKey &key);
    void onFrame(const PeerKey &key, wire::HopFrame &&frame);
    void onClosed(const PeerKey &key);
    void closeIdle();
    void finish(std::uint64_t id, HopOutcome outcome);

    IoLoop &m_loop;
    HopConfig m_config;
    std::uint64_t m_nextId = 1;
    std::map<PeerKey, Peer> m_peers;
    std::unordered_map<std::uint64_t, Pending> m_pending;
    TimerId m_idleTimer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// Identifies a request within one HopServer.
struct HopCallId {
    std::uint64_t link = 0;
    std::int64_t id = 0;

    bool operator<(const HopCallId &other) const
    {
        return link != other.link ? link < other.link : id < other.id;
    }
};

/// Connections accepted from other nodes by one thread. Large answers leave at the rate of the host's link, one after
/// the other in the order in which they became ready. Belongs to the loop's thread.
class HopServer : private LargeFrameGate
{
public:
    struct Handlers {
        std::function<void(HopCallId, wire::HopRequest &&)> onRequest;
        /// The peer cancelled the request, or its connection is gone. No answer is needed.
        std::function<void(HopCallId)> onCancel;
    };

    HopServer(IoLoop &loop, const HopConfig &config, Handlers handlers);
    ~HopServer() override;
    HopServer(const HopServer &) = delete;
    HopServer &operator=(const HopServer &) = delete;

    /// Takes over a connected socket.
    void accept(int fd);
    /// Answers a request. An answer whose connection is gone is dropped.
    void reply(HopCallId call, wire::HopResponse response);
    void closeAll();

private:
    struct Link {
        std::unique_ptr<HopLink> link;
        std::map<std::int64_t, bool> calls;
        TransitClock transit;
    };

    void onFrame(std::uint64_t link, wire::HopFrame &&frame);
    void onClosed(std::uint64_t link);
    void wantsToWrite(HopLink &link) override;
    void wroteSmall(std::size_t bytes) override;
    void waitingChanged(std::ptrdiff_t bytes) override;
    void writeLargeFrames();
    void countCallerBytes(TimeMs now);

    IoLoop &m_loop;
    HopConfig m_config;
    Handlers m_handlers;
    std::uint64_t m_nextLink = 1;
    std::unordered_map<std::uint64_t, Link> m_links;
    LinkPacer m_pacer;
    std::deque<HopLink *> m_writers; ///< links that want to write large frames, next first
    TimerId m_writeTimer;
};

/// Listens on an address and hands over each accepted socket, with TCP_NODELAY set. Belongs to the loop's thread.
class HopListener
{
public:
    HopListener(IoLoop &loop, const SocketAddress &address, std::function<void(int fd)> onAccept);
    ~HopListener();
    HopListener(const HopListener &) = delete;
    HopListener &operator=(const HopListener &) = delete;

private:
    IoLoop &m_loop;
    int m_fd;
    std::function<void(int fd)> m_onAccept;
};

} // namespace fulmarledge
