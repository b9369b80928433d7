#pragma once

#include <functional>

#include "ioloop.h"
#include "socket.h"

namespace fulmarledge {

/// Accepts connections. While no descriptor is free it tries again every 100 ms, so that it neither stops nor keeps its
/// thread busy. Belongs to the loop's thread.
class TcpAcceptor
{
public:
    struct Handlers {
        std::function<void(Socket)> onAccept;
        std::function<void()> onNoDescriptor = {}; ///< a connection could not be accepted; may be empty
    };

    /// @param listener listening socket
    TcpAcceptor(IoLoop &loop, Socket listener, Handlers handlers);
    ~TcpAcceptor();
    TcpAcceptor(const TcpAcceptor &) = delete;
    TcpAcceptor &operator=(const TcpAcceptor &) = delete;

    /// Accepts nothing for 100 ms. New connections wait in the kernel.
    void pause();

private:
    void watch();
    void acceptAvailable();

    IoLoop &m_loop;
    Socket m_listener;
    Handlers m_handlers;
    TimerId m_resumeTimer;
};

} // namespace fulmarledge
