#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "framestream.h"
#include "fulmarledge/ports.h"
#include "ioloop.h"
#include "socket.h"

namespace fulmarledge {

/// Control messages over UDP, and compressed over TCP when they do not fit one datagram. Belongs to the loop's thread.
class PeerSocket : public PeerTransport
{
public:
    using Handler = std::function<void(const wire::Envelope &message)>;

    PeerSocket(IoLoop &loop, MetricsSink &metrics);
    ~PeerSocket() override;

    /// Binds the UDP and the TCP socket to one address.
    bool start(const SocketAddress &address, Handler handler, LastReason &error);
    void send(const SocketAddress &to, const wire::Envelope &message) override;

private:
    struct Outgoing {
        std::unique_ptr<FrameStream> stream;
        TimerId idleTimer;
    };

    void onDatagram();
    void onAccept();
    void receiveFrame(std::span<const std::uint8_t> frame);
    void receive(std::span<const std::uint8_t> data);
    void sendFrame(const SocketAddress &to, std::string_view payload);
    void dropOutgoing(const SocketAddress &to);

    IoLoop &m_loop;
    MetricsSink &m_metrics;
    Handler m_handler;
    Socket m_udp;
    Socket m_listener;
    std::map<SocketAddress, Outgoing> m_outgoing;
    std::map<std::uint64_t, std::unique_ptr<FrameStream>> m_incoming;
    std::uint64_t m_nextIncoming = 1;
};

/// Name of the message in an envelope, for metrics.
std::string_view messageName(const wire::Envelope &message);

} // namespace fulmarledge
