#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fulmarledge/linkpacer.h"
#include "fulmarledge/transitclock.h"
#include "fulmarledge/types.h"
#include "fulmarledge/verdict.h"
#include "fulmarledge_types.h"
#include "ioloop.h"
#include "memorybudget.h"
#include "tcpacceptor.h"

namespace fulmarledge {

/// Settings of the TCP connections that carry requests between nodes (hops).
struct HopConfig {
    std::int64_t heartbeatIntervalMs = 1000; ///< time between heartbeat frames
    std::int64_t silenceTimeoutMs = 3000; ///< a connection that received nothing for this long counts as silent
    std::int64_t silentIdleMs = 10000; ///< a silent connection on which no request is running is closed after this long
    std::int64_t connectTimeoutMs = 1000;
    std::int64_t idleMs = 60000; ///< a client's connection without requests for this long is closed
    std::size_t maxFrameBytes = 72 * 1024 * 1024; ///< fits an answer body of 64 MiB and the header fields
    std::size_t maxOutstandingBytes = 128 * 1024 * 1024; ///< unwritten bytes of one connection
    std::size_t maxAccepted = 4096; ///< connections that one HopServer accepts; further ones are closed at once
    double answerBytesPerMs = 0; ///< rate of the large answers of one HopServer; 0: not paced
    std::shared_ptr<MemoryBudget> answerMemory = std::make_shared<MemoryBudget>(); ///< counts unwritten large answers
    std::shared_ptr<MemoryBudget> bufferMemory = std::make_shared<MemoryBudget>(); ///< counts the connections' buffers
    std::shared_ptr<LinkGauge> gauge = std::make_shared<LinkGauge>(); ///< shared by all HopServers of the node
};

class HopConnection;

/// Decides when a connection may write its large frames.
class LargeFrameScheduler
{
public:
    virtual ~LargeFrameScheduler() = default;
    /// Called when a large frame was queued in `connection`, and when a blocked connection with large frames can write
    /// again.
    virtual void onLargeFrameReady(HopConnection &connection) = 0;
    /// Called when a connection wrote `bytes` of small frames.
    virtual void onSmallFramesWritten(std::size_t bytes) = 0;
    /// Called when the unwritten bytes of large frames in a connection change by `bytes`: up when a frame is queued,
    /// down when bytes are written or dropped.
    virtual void onWaitingBytesChanged(std::ptrdiff_t bytes) = 0;
};

/// One TCP connection that carries length-prefixed `HopFrame` messages. Belongs to the loop's thread. Destroying it
/// closes the connection without calling `onClosed`.
class HopConnection
{
public:
    struct Handlers {
        std::function<void(wire::HopFrame &&)> onFrame;
        std::function<void()> onClosed; ///< the last call; the connection may be destroyed in it
        /// Called in each heartbeat period in which the connection is silent, which may destroy it. Without it a silent
        /// connection fails.
        std::function<void()> onSilent = {};
        /// Ids of the peer's requests that run at the backend server, for the heartbeats. May be empty.
        std::function<std::vector<std::int64_t>()> runningRequests = {};
    };

    /// @param fd connected socket, or one whose connection is in progress if `connecting`
    /// @param scheduler decides when large frames are written; null: all frames are written in the order of `send`
    HopConnection(IoLoop &loop, int fd, bool connecting, const HopConfig &config, Handlers handlers,
                  LargeFrameScheduler *scheduler = nullptr);
    ~HopConnection();
    HopConnection(const HopConnection &) = delete;
    HopConnection &operator=(const HopConnection &) = delete;

    /// Queues a frame.
    /// @return position in the stream where the frame ends, or 0 when the connection has failed or the frame or the
    /// queue would be too large. With a scheduler the position is not exact, as small frames overtake large ones.
    std::uint64_t send(const wire::HopFrame &frame);
    /// Continues the large frame in progress, or begins the next one.
    /// @return bytes of it that were written
    std::size_t writeLargeFrame(std::size_t maxBytes);
    bool hasLargeFrames() const
    {
        return !m_largeFrames.empty();
    }
    /// A large frame has been written in part.
    bool isLargeFrameInProgress() const
    {
        return m_largeWritten > 0;
    }
    /// The socket cannot be written to at present. When it can again and large frames are queued, `onLargeFrameReady`
    /// of the scheduler is called.
    bool isBlocked() const
    {
        return m_writeInterest;
    }
    /// Time without input, not counting a time during which this process was paused. Milliseconds.
    TimeMs silentMs() const
    {
        return m_silentMs;
    }
    bool hasReceived() const
    {
        return m_received;
    }
    /// Bytes of queued frames that were not handed to the kernel yet.
    std::size_t unwrittenBytes() const
    {
        return m_out.size() - m_outWritten + m_largeUnwritten;
    }
    /// Drops the large frame that answers request `id`, unless it has been written in part.
    void dropLargeFrame(std::int64_t id);
    /// Bytes handed to the kernel so far. The peer cannot have read the whole of a frame that ends after this position.
    std::uint64_t writtenBytes() const
    {
        return m_writtenBytes;
    }

private:
    struct LargeFrame {
        std::int64_t id = 0; ///< of the request that it answers
        std::string bytes;
    };

    void onEvents(std::uint32_t events);
    std::size_t write(std::string_view bytes);
    /// @return false when the connection has to be closed, or when a handler destroyed this object
    bool readAvailable();
    /// @return as `readAvailable`
    bool parseFrames();
    /// Writes small frames, unless a large one is in progress.
    void flush();
    void onHeartbeatTimer();
    /// Returns the memory that a large frame has left in the buffers, and counts what they keep.
    void trimBuffers();
    void setWriteInterest(bool wanted);
    /// Stops the connection and schedules `onClosed`.
    void fail();

    IoLoop &m_loop;
    int m_fd;
    bool m_connecting;
    bool m_failed = false;
    bool m_writeInterest = false;
    HopConfig m_config;
    Handlers m_handlers;
    TimerId m_heartbeatTimer;
    TimerId m_failTimer;
    TimeMs m_openedAt;
    TimeMs m_silentMs = 0; ///< not reset by writes, which the kernel accepts for a silent peer too
    bool m_received = false; ///< any byte has arrived
    std::int64_t m_heartbeatsSent = 0;
    std::string m_in;
    std::string m_out; ///< small frames, or all of them without a scheduler
    std::size_t m_outWritten = 0; ///< bytes of `m_out` that were written
    std::size_t m_countedBytes = 0; ///< this connection's part of HopConfig::bufferMemory
    LargeFrameScheduler *m_scheduler;
    std::deque<LargeFrame> m_largeFrames;
    std::size_t m_largeWritten = 0; ///< bytes of the first large frame that were written
    std::size_t m_largeUnwritten = 0; ///< unwritten bytes of all large frames
    std::uint64_t m_queuedBytes = 0; ///< bytes of all frames queued so far
    std::uint64_t m_writtenBytes = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// How a hop request ended.
struct HopOutcome {
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::None;
    wire::HopResponse response; ///< set when the peer answered, also with a refusal
    bool fromPeer = false; ///< the peer answered; otherwise this node concluded the verdict
};

/// What becomes of a request when its connection is silent.
enum class OnSilence : std::uint8_t {
    Fail, ///< it ends as "may have run", and the peer is told to cancel it
    KeepWaitingIfRunning, ///< as Fail, unless the peer has reported that it runs: the peer may be paused, and answer
                          ///< later
};

/// Sends requests to other nodes. Interactive and bulk requests use separate connections, so that a large answer does
/// not delay small ones. Belongs to the loop's thread.
///
/// A silent connection on which a request is known to run is kept beside a second one, which takes the new requests. If
/// something arrives on the second one, the peer is running, and the first one is closed if it stays silent.
class HopClient
{
public:
    using Callback = std::function<void(HopOutcome)>;

    HopClient(IoLoop &loop, const HopConfig &config);
    ~HopClient();
    HopClient(const HopClient &) = delete;
    HopClient &operator=(const HopClient &) = delete;

    /// Sends a request, over a new connection if none is open. Sets `id` and `sentMs` of the request. The callback runs
    /// once, after this call has returned, unless the request is cancelled.
    /// @return id for `cancel`
    std::uint64_t send(const SocketAddress &peer, wire::HopRequest request, Callback callback,
                       OnSilence onSilence = OnSilence::Fail);
    /// Tells the peer to cancel the request. An answer that still arrives is dropped.
    void cancel(std::uint64_t id);

private:
    using ConnectionKey = std::pair<SocketAddress, bool>; ///< address, and whether for bulk requests
    using ConnectionId = std::uint64_t;
    struct PendingRequest {
        ConnectionId connection = 0; ///< 0 when it was not queued
        std::uint64_t endPosition = 0; ///< where its frame ends in the stream; 0 when it was not queued
        OnSilence onSilence = OnSilence::Fail;
        bool isRunning = false; ///< the peer has reported that it runs at the backend server
        Callback callback;
    };
    struct PeerConnection {
        ConnectionKey key;
        std::unique_ptr<HopConnection> connection;
        std::size_t pending = 0; ///< requests without an outcome
        TimeMs lastUsed = 0;
    };

    /// Returns the id of the connection for new requests, and opens one if there is none. 0 when no socket could be
    /// opened.
    ConnectionId currentConnection(const ConnectionKey &key);
    ConnectionId openConnection(const ConnectionKey &key);
    void onFrame(ConnectionId connection, wire::HopFrame &&frame);
    void onClosed(ConnectionId connection);
    void onSilent(ConnectionId connection);
    /// Whether a request waits for its answer although its connection is silent.
    bool keepsWaiting(std::uint64_t id) const;
    /// Whether the connection for new requests has received something, which shows that the peer is running.
    bool isPeerHeard(const ConnectionKey &key) const;
    void sendCancel(ConnectionId connection, std::uint64_t request);
    void closeIdleConnections();
    void finish(std::uint64_t id, HopOutcome outcome);
    /// Ids of the requests on a connection.
    std::vector<std::uint64_t> pendingOn(ConnectionId connection) const;

    IoLoop &m_loop;
    HopConfig m_config;
    std::uint64_t m_nextId = 1;
    ConnectionId m_nextConnectionId = 1;
    std::unordered_map<ConnectionId, PeerConnection> m_connections;
    std::map<ConnectionKey, ConnectionId> m_current; ///< connections for new requests
    std::unordered_map<std::uint64_t, PendingRequest> m_pending;
    TimerId m_idleTimer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// Identifies a request within one HopServer.
struct HopCallId {
    std::uint64_t connectionId = 0;
    std::int64_t id = 0; ///< unique among the open requests of the connection

    bool operator<(const HopCallId &other) const
    {
        return connectionId != other.connectionId ? connectionId < other.connectionId : id < other.id;
    }
};

/// Receives requests on the connections accepted from other nodes by one thread, and sends the answers. Large answers
/// are written at the rate of the host's link, one whole frame at a time, and the connections take turns. Belongs to
/// the loop's thread.
class HopServer : private LargeFrameScheduler
{
public:
    struct Handlers {
        std::function<void(HopCallId, wire::HopRequest &&)> onRequest;
        /// The peer cancelled the request, or the connection is closed. No answer is needed.
        std::function<void(HopCallId)> onCancel;
        /// The peer is silent. A request that has not reached the backend server may be refused. May be empty.
        std::function<void(HopCallId)> onPeerSilent = {};
        /// Whether a request has been sent to the backend server. May be empty.
        std::function<bool(HopCallId)> isRunning = {};
    };

    HopServer(IoLoop &loop, const HopConfig &config, Handlers handlers);
    ~HopServer() override;
    HopServer(const HopServer &) = delete;
    HopServer &operator=(const HopServer &) = delete;

    /// Takes ownership of a connected socket and serves it. Closes it when there are too many.
    void accept(int fd);
    /// Answers a request. The answer is dropped when the connection is closed or the request was cancelled. An answer
    /// that cannot be queued is replaced by the reason BodyTooLarge.
    void reply(HopCallId call, wire::HopResponse response);
    void closeAll();
    /// Bytes of answers that were not handed to the kernel yet.
    std::size_t unwrittenBytes() const;
    /// Accepted connections that are open. Thread-safe.
    std::size_t connectionCount() const
    {
        return m_connectionCount.load(std::memory_order_relaxed);
    }

private:
    struct AcceptedConnection {
        std::unique_ptr<HopConnection> connection;
        std::map<std::int64_t, bool> openCalls; ///< keys: ids of the requests that wait for an answer
        TransitClock transit;
    };

    void onFrame(std::uint64_t connectionId, wire::HopFrame &&frame);
    void onClosed(std::uint64_t connectionId);
    void onSilent(std::uint64_t connectionId);
    std::vector<std::int64_t> runningRequests(std::uint64_t connectionId) const;
    void onLargeFrameReady(HopConnection &connection) override;
    void onSmallFramesWritten(std::size_t bytes) override;
    void onWaitingBytesChanged(std::ptrdiff_t bytes) override;
    /// Writes as much of the large frames as the pacer allows, and schedules the rest.
    void writeLargeFrames();
    /// Accounts in the pacer for the bytes of answers sent to callers.
    void countCallerBytes(TimeMs now);

    IoLoop &m_loop;
    HopConfig m_config;
    Handlers m_handlers;
    std::uint64_t m_nextConnectionId = 1;
    std::unordered_map<std::uint64_t, AcceptedConnection> m_accepted;
    std::atomic<std::size_t> m_connectionCount{0}; ///< size of `m_accepted`
    LinkPacer m_pacer;
    std::deque<HopConnection *> m_writeQueue; ///< connections that can write large frames, in the order of their turns
    TimerId m_writeTimer;
};

/// Listens on an address and passes each accepted socket to `onAccept`, with TCP_NODELAY set. Belongs to the loop's
/// thread.
class HopListener
{
public:
    HopListener(IoLoop &loop, const SocketAddress &address, std::function<void(int fd)> onAccept);

private:
    TcpAcceptor m_acceptor;
};

} // namespace fulmarledge
