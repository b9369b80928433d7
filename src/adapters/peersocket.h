#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "framestream.h"
#include "fulmarledge/ports.h"
#include "ioloop.h"
#include "socket.h"
#include "tcpacceptor.h"

namespace fulmarledge {

/// Times in milliseconds.
struct PeerSocketSettings {
    std::int64_t idleTimeoutMs = 5000; ///< idle time after which an outgoing connection is closed
    /// Longest wait for the acknowledgement of a frame, after which the connection is closed. A connection can stop
    /// delivering data without a reset while new connections to the same peer work.
    std::int64_t ackTimeoutMs = 1500;
};

/// Exchanges control messages with other nodes. They are sent over UDP, or compressed over TCP if they do not fit one
/// datagram. Must be used on the loop's thread only.
class PeerSocket : public PeerTransport
{
public:
    using Handler = std::function<void(const wire::Envelope &message)>;

    PeerSocket(IoLoop &loop, MetricsSink &metrics, const PeerSocketSettings &settings = {});
    ~PeerSocket() override;

    /// Binds the UDP and the TCP socket to `address` and passes received messages to `handler`.
    bool start(const SocketAddress &address, Handler handler, LastReason &error);
    void send(const SocketAddress &to, const wire::Envelope &message) override;
    void sendReliably(const SocketAddress &to, const wire::Envelope &message) override;

private:
    struct Outgoing {
        std::unique_ptr<FrameStream> stream;
        TimerId timer; ///< closes the connection if it is idle or an acknowledgement does not arrive in time
        std::size_t unacknowledgedFrames = 0; ///< number of sent frames without an acknowledgement
    };
    struct Incoming {
        std::unique_ptr<FrameStream> stream;
        TimerId timer; ///< closes the connection if it is idle
    };

    void onDatagram();
    void onAccept(Socket socket);
    void receiveFrame(std::span<const std::uint8_t> frame);
    void receiveMessage(std::span<const std::uint8_t> data);
    void countSent(const wire::Envelope &message, std::size_t bytes);
    void sendFrame(const SocketAddress &to, std::string_view payload);
    void onAcknowledged(const SocketAddress &to);
    void restartOutgoingTimer(const SocketAddress &to, Outgoing &outgoing);
    void closeOutgoing(const SocketAddress &to);
    void restartIncomingTimer(std::uint64_t id);
    void closeIncoming(std::uint64_t id);

    PeerSocketSettings m_settings;
    IoLoop &m_loop;
    MetricsSink &m_metrics;
    Handler m_handler;
    Socket m_udp;
    std::unique_ptr<TcpAcceptor> m_acceptor;
    std::map<SocketAddress, Outgoing> m_outgoing;
    std::map<std::uint64_t, Incoming> m_incoming;
    std::uint64_t m_nextIncomingId = 1;
};

/// Name of the type of message in an envelope, for metrics.
std::string_view messageTypeName(const wire::Envelope &message);

} // namespace fulmarledge
