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
    /// Gives up ownership.
    /// @return the descriptor, which the caller has to close
    int release();

private:
    int m_fd = -1;
};

/// Returns nothing if the IP is not an IPv4 address in dotted-decimal form.
std::optional<sockaddr_in> toSockaddr(const SocketAddress &address);
SocketAddress fromSockaddr(const sockaddr_in &address);

/// Parses "IP:PORT" with an IPv4 address and a port other than 0.
std::optional<SocketAddress> parseSocketAddress(std::string_view text, LastReason &error);

/// These create non-blocking sockets. On failure, `error` names the failed system call or the invalid IP address.
std::optional<Socket> bindUdp(const SocketAddress &address, LastReason &error);
std::optional<Socket> listenTcp(const SocketAddress &address, LastReason &error);
/// Starts to connect. The attempt has ended when the socket becomes writable, and `pendingError` gives its result.
std::optional<Socket> connectTcp(const SocketAddress &address, LastReason &error);
/// Returns nothing if no connection can be accepted.
std::optional<Socket> acceptTcp(const Socket &listener);
/// Fixes the sizes of the kernel's buffers, which Linux doubles. A listener passes them on to the sockets that it
/// accepts. A size of 0 is left to the kernel.
void setBufferSizes(const Socket &socket, std::size_t receiveBytes, std::size_t sendBytes);
/// Closing the socket discards what the kernel holds of it, instead of keeping it until the peer has taken it.
void discardOnClose(const Socket &socket);
/// Memory of the kernel's buffers of a TCP socket in bytes, 0 where the system does not tell.
std::size_t kernelBytes(const Socket &socket);
/// Returns and clears the error of a connection attempt, or 0.
int pendingError(const Socket &socket);

} // namespace fulmarledge
