#pragma once

#include <netinet/in.h>
#include <optional>
#include <string_view>

#include "fulmarledge/types.h"

namespace fulmarledge {

/// Owns one file descriptor.
class Socket
{
public:
    Socket() = default;
    explicit Socket(int fd)
        : m_fd(fd)
    {
    }
    ~Socket();
    Socket(Socket &&other) noexcept;
    Socket &operator=(Socket &&other) noexcept;

    int fd() const
    {
        return m_fd;
    }
    bool isOpen() const
    {
        return m_fd >= 0;
    }
    void close();

private:
    int m_fd = -1;
};

/// Empty for text that is not an IPv4 address in dotted form.
std::optional<sockaddr_in> toSockaddr(const SocketAddress &address);
SocketAddress fromSockaddr(const sockaddr_in &address);

/// Parses "IP:PORT".
std::optional<SocketAddress> parseSocketAddress(std::string_view text, LastReason &error);

/// Non-blocking sockets. The reason of a failure is the system's error text.
std::optional<Socket> bindUdp(const SocketAddress &address, LastReason &error);
std::optional<Socket> listenTcp(const SocketAddress &address, LastReason &error);
/// Starts a connection, which is complete when the socket becomes writable.
std::optional<Socket> connectTcp(const SocketAddress &address, LastReason &error);
std::optional<Socket> acceptTcp(const Socket &listener);
/// 0, or the error of a connection attempt.
int pendingError(const Socket &socket);

} // namespace fulmarledge
