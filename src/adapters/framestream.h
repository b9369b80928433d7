#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>

#include "ioloop.h"
#include "socket.h"

namespace fulmarledge {

/// Length-prefixed frames on one TCP connection of an event loop. Belongs to the loop's thread.
class FrameStream
{
public:
    using FrameHandler = std::function<void(std::span<const std::uint8_t> frame)>;
    using CloseHandler = std::function<void()>;

    /// @param maxFrameBytes a longer frame closes the connection
    FrameStream(IoLoop &loop, Socket socket, std::size_t maxFrameBytes);
    ~FrameStream();
    FrameStream(const FrameStream &) = delete;
    FrameStream &operator=(const FrameStream &) = delete;

    /// `onClose` runs once, when the peer or an error ends the connection. It may destroy the stream.
    void start(FrameHandler onFrame, CloseHandler onClose);
    void send(std::string_view payload);
    std::size_t unsentBytes() const
    {
        return m_out.size() - m_outSent;
    }

private:
    void onReady(std::uint32_t events);
    bool readAll();
    bool deliver();
    bool flush();
    void updateEvents();
    void fail();

    IoLoop &m_loop;
    Socket m_socket;
    std::size_t m_maxFrameBytes;
    FrameHandler m_onFrame;
    CloseHandler m_onClose;
    std::string m_in;
    std::string m_out;
    std::size_t m_outSent = 0;
    bool m_waitsForWrite = true;
    bool m_flushPosted = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fulmarledge
