#include "socket.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <linux/sock_diag.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace fulmarledge {

namespace {

constexpr int kListenBacklog = 1024;
/// Receive buffer that holds a burst of control datagrams while the control thread is busy.
constexpr int kUdpReceiveBufferBytes = 1024 * 1024;

/// Sets `error` to `what` and the text for `errno`, and returns nothing.
std::optional<Socket> failWithErrno(LastReason &error, std::string_view what)
{
    error.set(std::string(what) + ": " + std::strerror(errno));
    return std::nullopt;
}

void enableOption(int fd, int level, int option)
{
    const int one = 1;
    setsockopt(fd, level, option, &one, sizeof(one));
}

std::optional<Socket> bindSocket(const SocketAddress &address, int type, LastReason &error)
{
    const auto target = toSockaddr(address);
    if (!target) {
        error.set("\"" + address.ip + "\" is not an IPv4 address");
        return std::nullopt;
    }
    Socket socket(::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket.isOpen()) {
        return failWithErrno(error, "socket");
    }
    enableOption(socket.fd(), SOL_SOCKET, SO_REUSEADDR);
    if (::bind(socket.fd(), reinterpret_cast<const sockaddr *>(&*target), sizeof(*target)) != 0) {
        return failWithErrno(error, "bind " + address.ip + ":" + std::to_string(address.port));
    }
    return socket;
}

} // namespace

Socket::~Socket()
{
    close();
}

Socket::Socket(Socket &&other) noexcept
    : m_fd(std::exchange(other.m_fd, -1))
{
}

Socket &Socket::operator=(Socket &&other) noexcept
{
    if (this != &other) {
        close();
        m_fd = std::exchange(other.m_fd, -1);
    }
    return *this;
}

void Socket::close()
{
    if (m_fd >= 0) {
        ::close(m_fd);
        m_fd = -1;
    }
}

int Socket::release()
{
    return std::exchange(m_fd, -1);
}

std::optional<sockaddr_in> toSockaddr(const SocketAddress &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr) != 1) {
        return std::nullopt;
    }
    return result;
}

SocketAddress fromSockaddr(const sockaddr_in &address)
{
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
    return {text, ntohs(address.sin_port)};
}

std::optional<SocketAddress> parseSocketAddress(std::string_view text, LastReason &error)
{
    const std::size_t colon = text.rfind(':');
    SocketAddress address;
    if (colon != std::string_view::npos) {
        address.ip = text.substr(0, colon);
        const std::string_view port = text.substr(colon + 1);
        const auto [end, code] = std::from_chars(port.data(), port.data() + port.size(), address.port);
        if (code == std::errc{} && end == port.data() + port.size() && address.port != 0 && toSockaddr(address)) {
            return address;
        }
    }
    error.set("\"" + std::string(text) + "\" is not IP:PORT with an IPv4 address and a port from 1 to 65535");
    return std::nullopt;
}

std::optional<Socket> bindUdp(const SocketAddress &address, LastReason &error)
{
    auto socket = bindSocket(address, SOCK_DGRAM, error);
    if (socket) {
        setsockopt(socket->fd(), SOL_SOCKET, SO_RCVBUF, &kUdpReceiveBufferBytes, sizeof(kUdpReceiveBufferBytes));
    }
    return socket;
}

std::optional<Socket> listenTcp(const SocketAddress &address, LastReason &error)
{
    auto socket = bindSocket(address, SOCK_STREAM, error);
    if (socket && ::listen(socket->fd(), kListenBacklog) != 0) {
        return failWithErrno(error, "listen");
    }
    return socket;
}

std::optional<Socket> connectTcp(const SocketAddress &address, LastReason &error)
{
    const auto target = toSockaddr(address);
    if (!target) {
        error.set("\"" + address.ip + "\" is not an IPv4 address");
        return std::nullopt;
    }
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket.isOpen()) {
        return failWithErrno(error, "socket");
    }
    enableOption(socket.fd(), IPPROTO_TCP, TCP_NODELAY);
    if (::connect(socket.fd(), reinterpret_cast<const sockaddr *>(&*target), sizeof(*target)) != 0
        && errno != EINPROGRESS) {
        return failWithErrno(error, "connect");
    }
    return socket;
}

std::optional<Socket> acceptTcp(const Socket &listener)
{
    Socket socket(::accept4(listener.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!socket.isOpen()) {
        return std::nullopt;
    }
    enableOption(socket.fd(), IPPROTO_TCP, TCP_NODELAY);
    return socket;
}

void setBufferSizes(const Socket &socket, std::size_t receiveBytes, std::size_t sendBytes)
{
    const auto set = [&socket](int option, std::size_t bytes) {
        if (bytes > 0) {
            const int value = static_cast<int>(bytes);
            setsockopt(socket.fd(), SOL_SOCKET, option, &value, sizeof(value));
        }
    };
    set(SO_RCVBUF, receiveBytes);
    set(SO_SNDBUF, sendBytes);
}

void discardOnClose(const Socket &socket)
{
    const linger none{1, 0};
    setsockopt(socket.fd(), SOL_SOCKET, SO_LINGER, &none, sizeof(none));
}

std::size_t kernelBytes(const Socket &socket)
{
    std::array<std::uint32_t, SK_MEMINFO_VARS> values{};
    socklen_t size = sizeof(values);
    if (getsockopt(socket.fd(), SOL_SOCKET, SO_MEMINFO, values.data(), &size) != 0) {
        return 0;
    }
    return std::size_t{values[SK_MEMINFO_RMEM_ALLOC]} + values[SK_MEMINFO_BACKLOG] + values[SK_MEMINFO_WMEM_QUEUED];
}

int pendingError(const Socket &socket)
{
    int code = 0;
    socklen_t length = sizeof(code);
    getsockopt(socket.fd(), SOL_SOCKET, SO_ERROR, &code, &length);
    return code;
}

} // namespace fulmarledge
