#include "peersocket.h"

#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "compressedtext.h"
#include "fulmarledge/config.h"
#include "wirecodec.h"

namespace fulmarledge {

namespace {

/// Few connections are needed. Only joins, table repairs and full manifests exceed a datagram, and `sendReliably` is
/// for messages whose datagrams seem to be lost.
constexpr std::size_t kMaxIncomingConnections = 256;
constexpr std::size_t kMaxOutgoingConnections = 64;
constexpr std::size_t kMaxUnsentBytes = 8 * 1024 * 1024;
/// The receiver waits longer than the sender, so that the sender closes an idle connection unless it is gone or cut
/// off.
constexpr std::int64_t kIncomingIdleFactor = 3;
/// An empty frame. No message encodes to one.
constexpr std::string_view kAcknowledgement;
constexpr std::size_t kDatagramBufferBytes = 64 * 1024;
/// Datagrams read per wake-up. The limit keeps timers on time during a burst.
constexpr int kMaxDatagramsPerWakeup = 256;

} // namespace

std::string_view messageTypeName(const wire::Envelope &message)
{
    const auto &set = message.__isset;
    const std::pair<bool, std::string_view> names[] = {
        {set.ping, "ping"},
        {set.pingReq, "ping-req"},
        {set.ack, "ack"},
        {set.digest, "digest"},
        {set.push, "push"},
        {set.pushAck, "push-ack"},
        {set.pull, "pull"},
        {set.content, "content"},
        {set.tableRequest, "table-request"},
        {set.tableReply, "table-reply"},
        {set.join, "join"},
        {set.joinReply, "join-reply"},
        {set.pullRefusal, "pull-refusal"},
        {set.rolloutReport, "rollout-report"},
        {set.rolloutState, "rollout-state"},
    };
    for (const auto &[present, name] : names) {
        if (present) {
            return name;
        }
    }
    return "update";
}

PeerSocket::PeerSocket(IoLoop &loop, MetricsSink &metrics, const PeerSocketSettings &settings)
    : m_settings(settings)
    , m_loop(loop)
    , m_metrics(metrics)
{
}

PeerSocket::~PeerSocket()
{
    if (m_udp.isOpen()) {
        m_loop.removeFd(m_udp.fd());
    }
}

bool PeerSocket::start(const SocketAddress &address, Handler handler, LastReason &error)
{
    m_handler = std::move(handler);
    auto udp = bindUdp(address, error);
    if (!udp) {
        return false;
    }
    auto listener = listenTcp(address, error);
    if (!listener) {
        return false;
    }
    m_udp = std::move(*udp);
    m_loop.addFd(m_udp.fd(), EPOLLIN, [this](std::uint32_t) { onDatagram(); });
    m_acceptor = std::make_unique<TcpAcceptor>(
        m_loop, std::move(*listener), TcpAcceptor::Handlers{[this](Socket socket) { onAccept(std::move(socket)); }});
    return true;
}

void PeerSocket::send(const SocketAddress &to, const wire::Envelope &message)
{
    const std::string payload = encodeMessage(message);
    if (payload.size() > FULMARLEDGE_CONFIG_MAX_DATAGRAM_BYTES) {
        sendReliably(to, message);
        return;
    }
    countSent(message, payload.size());
    const auto target = toSockaddr(to);
    if (target) {
        // The protocol recovers from lost datagrams, so a failed send is only counted.
        const ssize_t sent = ::sendto(m_udp.fd(), payload.data(), payload.size(), MSG_NOSIGNAL,
                                      reinterpret_cast<const sockaddr *>(&*target), sizeof(*target));
        if (sent < 0) {
            m_metrics.count("control-datagrams-dropped", errno == EAGAIN ? "buffer-full" : "send-error", 1);
        }
    }
}

void PeerSocket::sendReliably(const SocketAddress &to, const wire::Envelope &message)
{
    const std::string payload = compressText(encodeMessage(message));
    countSent(message, payload.size());
    sendFrame(to, payload);
}

void PeerSocket::countSent(const wire::Envelope &message, std::size_t bytes)
{
    m_metrics.count("control-bytes-out", messageTypeName(message), static_cast<double>(bytes));
    m_metrics.count("control-messages-out", messageTypeName(message), 1);
}

void PeerSocket::sendFrame(const SocketAddress &to, std::string_view payload)
{
    auto found = m_outgoing.find(to);
    if (found == m_outgoing.end()) {
        LastReason error;
        auto socket = m_outgoing.size() < kMaxOutgoingConnections ? connectTcp(to, error) : std::nullopt;
        if (!socket) {
            m_metrics.count("control-frames-dropped", "connections", 1);
            return;
        }
        auto stream = std::make_unique<FrameStream>(m_loop, std::move(*socket), FULMARLEDGE_CONFIG_MAX_FRAME_BYTES);
        found = m_outgoing.emplace(to, Outgoing{std::move(stream), {}}).first;
        found->second.stream->start([this, to](std::span<const std::uint8_t>) { onAcknowledged(to); },
                                    [this, to] { closeOutgoing(to); });
    }
    if (found->second.stream->unsentBytes() + payload.size() > kMaxUnsentBytes) {
        m_metrics.count("control-frames-dropped", "unsent-bytes", 1);
        return;
    }
    Outgoing &outgoing = found->second;
    outgoing.stream->send(payload);
    // Later frames do not restart the timer, only acknowledgements do, because the kernel accepts frames for an
    // unresponsive peer too.
    if (++outgoing.unacknowledgedFrames == 1) {
        restartOutgoingTimer(to, outgoing);
    }
}

void PeerSocket::onAcknowledged(const SocketAddress &to)
{
    const auto found = m_outgoing.find(to);
    if (found != m_outgoing.end() && found->second.unacknowledgedFrames > 0) {
        --found->second.unacknowledgedFrames;
        restartOutgoingTimer(to, found->second);
    }
}

void PeerSocket::restartOutgoingTimer(const SocketAddress &to, Outgoing &outgoing)
{
    m_loop.cancel(outgoing.timer);
    const bool awaitsAck = outgoing.unacknowledgedFrames > 0;
    outgoing.timer
        = m_loop.runAfter(awaitsAck ? m_settings.ackTimeoutMs : m_settings.idleTimeoutMs, [this, to, awaitsAck] {
              if (awaitsAck) {
                  m_metrics.count("control-connections-silent", "", 1);
              }
              closeOutgoing(to);
          });
}

void PeerSocket::closeOutgoing(const SocketAddress &to)
{
    const auto found = m_outgoing.find(to);
    if (found != m_outgoing.end()) {
        m_loop.cancel(found->second.timer);
        m_outgoing.erase(found);
    }
}

void PeerSocket::onDatagram()
{
    std::array<std::uint8_t, kDatagramBufferBytes> buffer;
    for (int i = 0; i < kMaxDatagramsPerWakeup; ++i) {
        const ssize_t receivedBytes = ::recv(m_udp.fd(), buffer.data(), buffer.size(), 0);
        if (receivedBytes < 0) {
            return;
        }
        receiveMessage(std::span(buffer.data(), static_cast<std::size_t>(receivedBytes)));
    }
}

void PeerSocket::onAccept(Socket socket)
{
    if (m_incoming.size() >= kMaxIncomingConnections) {
        m_metrics.count("control-connections-refused", "", 1);
        return;
    }
    const std::uint64_t id = m_nextIncomingId++;
    auto stream = std::make_unique<FrameStream>(m_loop, std::move(socket), FULMARLEDGE_CONFIG_MAX_FRAME_BYTES);
    FrameStream &streamRef = *stream;
    m_incoming.emplace(id, Incoming{std::move(stream), {}});
    restartIncomingTimer(id);
    streamRef.start(
        [this, id, &streamRef](std::span<const std::uint8_t> frame) {
            streamRef.send(kAcknowledgement);
            restartIncomingTimer(id);
            receiveFrame(frame);
        },
        [this, id] { closeIncoming(id); });
}

void PeerSocket::restartIncomingTimer(std::uint64_t id)
{
    Incoming &incoming = m_incoming.at(id);
    m_loop.cancel(incoming.timer);
    incoming.timer = m_loop.runAfter(kIncomingIdleFactor * m_settings.idleTimeoutMs, [this, id] { closeIncoming(id); });
}

void PeerSocket::closeIncoming(std::uint64_t id)
{
    const auto found = m_incoming.find(id);
    if (found != m_incoming.end()) {
        m_loop.cancel(found->second.timer);
        m_incoming.erase(found);
    }
}

void PeerSocket::receiveFrame(std::span<const std::uint8_t> frame)
{
    const std::string_view packed(reinterpret_cast<const char *>(frame.data()), frame.size());
    const std::optional<std::string> payload = decompressText(packed, FULMARLEDGE_CONFIG_MAX_FRAME_BYTES);
    if (!payload) {
        m_metrics.count("control-messages-malformed", "", 1);
        return;
    }
    receiveMessage(std::span(reinterpret_cast<const std::uint8_t *>(payload->data()), payload->size()));
}

void PeerSocket::receiveMessage(std::span<const std::uint8_t> data)
{
    LastReason error;
    const auto message = decodeMessage<wire::Envelope>(data, error);
    if (!message) {
        m_metrics.count("control-messages-malformed", "", 1);
        return;
    }
    m_metrics.count("control-bytes-in", messageTypeName(*message), static_cast<double>(data.size()));
    m_metrics.count("control-messages-in", messageTypeName(*message), 1);
    m_handler(*message);
}

} // namespace fulmarledge
