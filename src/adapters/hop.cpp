#include "hop.h"

#include <algorithm>
#include <cerrno>
#include <limits>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace fulmarledge {

namespace {

/// Subtracts a delay in transit from the remaining times, which are stated as of sending. Otherwise a delayed request
/// would run after its caller had left.
/// @return false when the deadline has passed
bool subtractTransitTime(wire::HopRequest &request, TimeMs delayMs)
{
    const auto delay
        = static_cast<std::int32_t>(std::min<TimeMs>(delayMs, std::numeric_limits<std::int32_t>::max() / 2));
    request.deadlineMs -= delay;
    request.objectiveLeftMs -= delay;
    request.spillLeftMs -= delay;
    return request.deadlineMs > 0;
}

void setNoDelay(int fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

/// Starts a connection to `address`.
/// @return its socket, or -1
int openSocket(const SocketAddress &address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    setNoDelay(fd);
    const std::optional<sockaddr_in> to = toSockaddr(address);
    if (!to || (::connect(fd, reinterpret_cast<const sockaddr *>(&*to), sizeof(*to)) != 0 && errno != EINPROGRESS)) {
        ::close(fd);
        return -1;
    }
    return fd;
}

Socket openListener(const SocketAddress &address)
{
    LastReason error;
    std::optional<Socket> listener = listenTcp(address, error);
    if (!listener) {
        throw std::runtime_error("hop address: " + error.text());
    }
    return std::move(*listener);
}

} // namespace

HopClient::HopClient(IoLoop &loop, const HopConfig &config)
    : m_loop(loop)
    , m_config(config)
{
    m_idleTimer = m_loop.runAfter(m_config.idleMs, [this] { closeIdleConnections(); });
}

HopClient::~HopClient()
{
    *m_alive = false;
    m_loop.cancel(m_idleTimer);
}

HopClient::ConnectionId HopClient::openConnection(const ConnectionKey &key)
{
    const int fd = openSocket(key.first);
    if (fd < 0) {
        return 0;
    }
    const ConnectionId id = m_nextConnectionId++;
    PeerConnection &opened = m_connections[id];
    opened.key = key;
    opened.lastUsed = monotonicMs();
    opened.connection = std::make_unique<HopConnection>(
        m_loop, fd, true, m_config,
        HopConnection::Handlers{[this, id](wire::HopFrame &&frame) { onFrame(id, std::move(frame)); },
                                [this, id] { onClosed(id); }, [this, id] { onSilent(id); }});
    m_current[key] = id;
    return id;
}

HopClient::ConnectionId HopClient::currentConnection(const ConnectionKey &key)
{
    const auto found = m_current.find(key);
    const ConnectionId id = found != m_current.end() ? found->second : openConnection(key);
    if (id != 0) {
        m_connections[id].lastUsed = monotonicMs();
    }
    return id;
}

std::uint64_t HopClient::send(const SocketAddress &peer, wire::HopRequest request, Callback callback,
                              OnSilence onSilence)
{
    const std::uint64_t id = m_nextId++;
    const ConnectionKey key{peer, request.bulk};
    request.__set_id(static_cast<std::int64_t>(id));
    request.__set_sentMs(monotonicMs());
    wire::HopFrame frame;
    frame.request = std::move(request);
    frame.__isset.request = true;
    const ConnectionId connection = currentConnection(key);
    PendingRequest pending{connection, 0, onSilence, false, std::move(callback)};
    if (connection != 0) {
        PeerConnection &target = m_connections[connection];
        pending.endPosition = target.connection->send(frame);
        ++target.pending;
    }
    const bool isQueued = pending.endPosition != 0;
    m_pending.emplace(id, std::move(pending));
    if (!isQueued) {
        m_loop.runAfter(0, [this, id, alive = m_alive, found = connection != 0] {
            if (*alive) {
                HopOutcome outcome;
                outcome.reason = found ? Reason::QueueFull : Reason::ConnectFailed;
                finish(id, std::move(outcome));
            }
        });
    }
    return id;
}

void HopClient::sendCancel(ConnectionId connection, std::uint64_t request)
{
    wire::HopFrame frame;
    wire::HopCancel cancelled;
    cancelled.__set_id(static_cast<std::int64_t>(request));
    frame.__set_cancel(cancelled);
    m_connections[connection].connection->send(frame);
}

void HopClient::cancel(std::uint64_t id)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) {
        return;
    }
    const auto target = m_connections.find(found->second.connection);
    if (target != m_connections.end()) {
        --target->second.pending;
        sendCancel(target->first, id);
    }
    m_pending.erase(found);
}

void HopClient::onFrame(ConnectionId connection, wire::HopFrame &&frame)
{
    if (frame.__isset.beat) {
        for (const std::int64_t running : frame.beat.running) {
            const auto found = m_pending.find(static_cast<std::uint64_t>(running));
            if (found != m_pending.end() && found->second.connection == connection) {
                found->second.isRunning = true;
            }
        }
    }
    if (!frame.__isset.response) {
        return;
    }
    const auto id = static_cast<std::uint64_t>(frame.response.id);
    const auto found = m_pending.find(id);
    // An answer is accepted only on the connection that carried its request.
    if (found == m_pending.end() || found->second.connection != connection) {
        return;
    }
    HopOutcome outcome;
    outcome.fromPeer = true;
    outcome.verdict = static_cast<Verdict>(frame.response.verdict);
    outcome.reason = static_cast<Reason>(frame.response.reason);
    outcome.response = std::move(frame.response);
    finish(id, std::move(outcome));
}

void HopClient::finish(std::uint64_t id, HopOutcome outcome)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) {
        return;
    }
    const Callback callback = std::move(found->second.callback);
    const auto target = m_connections.find(found->second.connection);
    if (target != m_connections.end() && target->second.pending > 0) {
        --target->second.pending;
    }
    m_pending.erase(found);
    callback(std::move(outcome));
}

std::vector<std::uint64_t> HopClient::pendingOn(ConnectionId connection) const
{
    std::vector<std::uint64_t> ids;
    for (const auto &[id, pending] : m_pending) {
        if (pending.connection == connection) {
            ids.push_back(id);
        }
    }
    return ids;
}

void HopClient::onClosed(ConnectionId connection)
{
    const auto target = m_connections.find(connection);
    const PeerConnection closed = std::move(target->second);
    m_connections.erase(target);
    if (const auto current = m_current.find(closed.key); current != m_current.end() && current->second == connection) {
        m_current.erase(current);
    }
    for (const std::uint64_t id : pendingOn(connection)) {
        const auto found = m_pending.find(id);
        if (found == m_pending.end()) {
            continue;
        }
        HopOutcome outcome;
        // A peer cannot have read a frame that was not completely written, so its request certainly did not run.
        const std::uint64_t writtenBytes = closed.connection->writtenBytes();
        outcome.verdict = found->second.endPosition <= writtenBytes ? Verdict::MayHaveRun : Verdict::NotRun;
        outcome.reason = writtenBytes == 0 ? Reason::ConnectFailed : Reason::ConnectionLost;
        finish(id, std::move(outcome));
    }
}

bool HopClient::isPeerHeard(const ConnectionKey &key) const
{
    const auto current = m_current.find(key);
    return current != m_current.end() && m_connections.at(current->second).connection->hasReceived();
}

void HopClient::onSilent(ConnectionId connection)
{
    const PeerConnection &silent = m_connections[connection];
    const ConnectionKey key = silent.key;
    if (const auto current = m_current.find(key); current != m_current.end() && current->second == connection) {
        m_current.erase(current);
    }
    // Answers cannot come over a connection that stays silent although the peer is running.
    const bool isLost = isPeerHeard(key) && silent.connection->silentMs() > 2 * m_config.silenceTimeoutMs;
    const std::vector<std::uint64_t> ids = pendingOn(connection);
    const bool hasRunning = std::any_of(ids.begin(), ids.end(), [this](std::uint64_t id) { return keepsWaiting(id); });
    if (isLost || !hasRunning) {
        onClosed(connection);
        return;
    }
    if (!m_current.contains(key)) {
        openConnection(key);
    }
    for (const std::uint64_t id : ids) {
        if (keepsWaiting(id)) {
            continue;
        }
        // If the peer was only paused, it finds the cancellation when it goes on.
        sendCancel(connection, id);
        HopOutcome outcome;
        outcome.verdict = Verdict::MayHaveRun;
        outcome.reason = Reason::ConnectionLost;
        finish(id, std::move(outcome));
    }
}

bool HopClient::keepsWaiting(std::uint64_t id) const
{
    const auto found = m_pending.find(id);
    return found != m_pending.end() && found->second.onSilence == OnSilence::KeepWaitingIfRunning
        && found->second.isRunning;
}

void HopClient::closeIdleConnections()
{
    const TimeMs now = monotonicMs();
    std::erase_if(m_connections, [&](const auto &entry) {
        const PeerConnection &idle = entry.second;
        if (idle.pending > 0 || now - idle.lastUsed < m_config.idleMs) {
            return false;
        }
        std::erase_if(m_current, [&](const auto &current) { return current.second == entry.first; });
        return true;
    });
    m_idleTimer = m_loop.runAfter(m_config.idleMs, [this] { closeIdleConnections(); });
}

HopServer::HopServer(IoLoop &loop, const HopConfig &config, Handlers handlers)
    : m_loop(loop)
    , m_config(config)
    , m_handlers(std::move(handlers))
    , m_pacer(config.answerBytesPerMs)
{
}

HopServer::~HopServer()
{
    closeAll();
    m_loop.cancel(m_writeTimer);
}

void HopServer::onLargeFrameReady(HopConnection &connection)
{
    if (std::find(m_writeQueue.begin(), m_writeQueue.end(), &connection) == m_writeQueue.end()) {
        m_writeQueue.push_back(&connection);
    }
    writeLargeFrames();
}

void HopServer::onSmallFramesWritten(std::size_t bytes)
{
    m_pacer.recordSent(bytes, monotonicMs());
}

void HopServer::onWaitingBytesChanged(std::ptrdiff_t bytes)
{
    m_config.gauge->waitingBytes.fetch_add(bytes, std::memory_order_relaxed);
    if (bytes > 0) {
        m_config.answerMemory->add(static_cast<std::size_t>(bytes));
    } else {
        m_config.answerMemory->release(static_cast<std::size_t>(-bytes));
    }
}

// Answers to callers use the same network link but are not paced. The large answers have to leave room for them.
void HopServer::countCallerBytes(TimeMs now)
{
    const std::size_t bytes = m_config.gauge->uncountedCallerBytes.exchange(0, std::memory_order_relaxed);
    if (bytes > 0) {
        m_pacer.recordSent(bytes, now);
    }
}

void HopServer::writeLargeFrames()
{
    while (!m_writeQueue.empty()) {
        const TimeMs now = monotonicMs();
        countCallerBytes(now);
        const std::size_t allowed = m_pacer.allowedBytes(now);
        if (allowed == 0) {
            m_loop.cancel(m_writeTimer);
            m_writeTimer = m_loop.runAfter(m_pacer.waitMs(now), [this] {
                m_writeTimer = {};
                writeLargeFrames();
            });
            return;
        }
        HopConnection &connection = *m_writeQueue.front();
        const std::size_t sent = connection.writeLargeFrame(allowed);
        m_pacer.recordSent(sent, now);
        // A connection keeps its turn until its frame is complete or its socket blocks, because half an answer helps no
        // one.
        const bool cannotContinue = connection.isBlocked() || !connection.hasLargeFrames();
        if (cannotContinue || sent == 0 || !connection.isLargeFrameInProgress()) {
            m_writeQueue.pop_front();
            if (!cannotContinue && sent > 0) {
                m_writeQueue.push_back(&connection);
            }
        }
    }
}

void HopServer::accept(int fd)
{
    if (m_accepted.size() >= m_config.maxAccepted) {
        ::close(fd);
        return;
    }
    const std::uint64_t id = m_nextConnectionId++;
    LargeFrameScheduler *scheduler = m_pacer.isActive() ? this : nullptr;
    m_accepted[id].connection = std::make_unique<HopConnection>(
        m_loop, fd, false, m_config,
        HopConnection::Handlers{[this, id](wire::HopFrame &&frame) { onFrame(id, std::move(frame)); },
                                [this, id] { onClosed(id); }, [this, id] { onSilent(id); },
                                [this, id] { return runningRequests(id); }},
        scheduler);
    m_connectionCount.store(m_accepted.size(), std::memory_order_relaxed);
}

void HopServer::onFrame(std::uint64_t connectionId, wire::HopFrame &&frame)
{
    AcceptedConnection &from = m_accepted[connectionId];
    if (frame.__isset.request) {
        // An id that is already in use on this connection could pair an answer with the wrong request.
        if (!from.openCalls.emplace(frame.request.id, true).second) {
            return;
        }
        const HopCallId call{connectionId, frame.request.id};
        const bool expired = frame.request.__isset.sentMs && frame.request.deadlineMs > 0
            && !subtractTransitTime(frame.request, from.transit.delayMs(frame.request.sentMs, monotonicMs()));
        if (expired) {
            wire::HopResponse refusal;
            refusal.__set_verdict(wire::Verdict::NotRun);
            refusal.__set_reason(static_cast<std::int32_t>(Reason::DeadlineExceeded));
            reply(call, std::move(refusal));
            return;
        }
        m_handlers.onRequest(call, std::move(frame.request));
    } else if (frame.__isset.cancel) {
        if (from.openCalls.erase(frame.cancel.id) > 0) {
            m_handlers.onCancel({connectionId, frame.cancel.id});
        } else {
            from.connection->dropLargeFrame(frame.cancel.id);
        }
    }
}

void HopServer::onClosed(std::uint64_t connectionId)
{
    const auto found = m_accepted.find(connectionId);
    const AcceptedConnection closed = std::move(found->second);
    m_accepted.erase(found);
    m_connectionCount.store(m_accepted.size(), std::memory_order_relaxed);
    std::erase(m_writeQueue, closed.connection.get());
    for (const auto &[id, open] : closed.openCalls) {
        m_handlers.onCancel({connectionId, id});
    }
}

// A silent peer may be paused, and answers reach it when it goes on. Its running requests are not given up.
void HopServer::onSilent(std::uint64_t connectionId)
{
    const AcceptedConnection &silent = m_accepted[connectionId];
    if (silent.openCalls.empty() && silent.connection->silentMs() > m_config.silentIdleMs) {
        onClosed(connectionId);
        return;
    }
    if (!m_handlers.onPeerSilent) {
        return;
    }
    std::vector<std::int64_t> ids;
    for (const auto &[id, open] : silent.openCalls) {
        ids.push_back(id);
    }
    for (const std::int64_t id : ids) {
        m_handlers.onPeerSilent({connectionId, id});
    }
}

std::vector<std::int64_t> HopServer::runningRequests(std::uint64_t connectionId) const
{
    std::vector<std::int64_t> running;
    const auto found = m_accepted.find(connectionId);
    if (!m_handlers.isRunning || found == m_accepted.end()) {
        return running;
    }
    for (const auto &[id, open] : found->second.openCalls) {
        if (m_handlers.isRunning({connectionId, id})) {
            running.push_back(id);
        }
    }
    return running;
}

std::size_t HopServer::unwrittenBytes() const
{
    std::size_t bytes = 0;
    for (const auto &[id, accepted] : m_accepted) {
        bytes += accepted.connection->unwrittenBytes();
    }
    return bytes;
}

void HopServer::reply(HopCallId call, wire::HopResponse response)
{
    const auto found = m_accepted.find(call.connectionId);
    if (found == m_accepted.end() || found->second.openCalls.erase(call.id) == 0) {
        return;
    }
    response.__set_id(call.id);
    wire::HopFrame frame;
    frame.response = std::move(response);
    frame.__isset.response = true;
    if (found->second.connection->send(frame) == 0) {
        wire::HopFrame tooLarge;
        tooLarge.response.__set_id(call.id);
        tooLarge.response.__set_verdict(wire::Verdict::MayHaveRun);
        tooLarge.response.__set_reason(static_cast<std::int32_t>(Reason::BodyTooLarge));
        tooLarge.__isset.response = true;
        found->second.connection->send(tooLarge);
    }
}

void HopServer::closeAll()
{
    m_writeQueue.clear();
    m_accepted.clear();
    m_connectionCount.store(0, std::memory_order_relaxed);
}

HopListener::HopListener(IoLoop &loop, const SocketAddress &address, std::function<void(int fd)> onAccept)
    : m_acceptor(loop, openListener(address),
                 {[onAccept = std::move(onAccept)](Socket socket) { onAccept(socket.release()); }})
{
}

} // namespace fulmarledge
