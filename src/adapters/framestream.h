#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>

#include "ioloop.h"
#include "socket.h"

namespace fulmarledge {

/// Sends and receives frames over one TCP connection, each with a 32-bit big-endian length in front. Belongs to the
/// loop's thread.
class FrameStream
{
public:
    using FrameHandler = std::function<void(std::span<const std::uint8_t> frame)>;
    using CloseHandler = std::function<void()>;

    /// @param maxFrameBytes the connection is closed when a longer frame arrives
    FrameStream(IoLoop &loop, Socket socket, std::size_t maxFrameBytes);
    ~FrameStream();
    FrameStream(const FrameStream &) = delete;
    FrameStream &operator=(const FrameStream &) = delete;

    /// Starts reading and writing. `onClose` runs once, when the peer or an error ends the connection. Both handlers
    /// may destroy the stream.
    void start(FrameHandler onFrame, CloseHandler onClose);
    /// Queues a frame.
    void send(std::string_view payload);
    /// Bytes that the kernel has not yet accepted.
    std::size_t unsentBytes() const
    {
        return m_out.size() - m_outWritten;
    }

private:
    void onEvents(std::uint32_t events);
    /// @return false when the connection has to be closed
    bool readAvailable();
    /// Passes the complete frames in `m_in` to the handler.
    /// @return false when a frame is too long
    bool deliverFrames();
    /// @return false when the connection has to be closed
    bool flush();
    void updateWriteInterest();
    void fail();

    IoLoop &m_loop;
    Socket m_socket;
    std::size_t m_maxFrameBytes;
    FrameHandler m_onFrame;
    CloseHandler m_onClose;
    std::string m_in;
    std::string m_out;
    std::size_t m_outWritten = 0; ///< bytes of `m_out` that were written
    bool m_writeInterest = true; ///< EPOLLOUT is set
    bool m_flushPosted = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fulmarledge
