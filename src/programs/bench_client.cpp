#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "bench_client_p.h"

namespace fulmarledge {

namespace {

constexpr std::size_t kReadBytes = 64 * 1024;
constexpr std::int64_t kSocketMarginMs = 2000; ///< added to the request's own deadline for the socket time-out

void setSocketTimeout(int fd, std::int64_t ms)
{
    timeval timeout{};
    timeout.tv_sec = ms / 1000;
    timeout.tv_usec = (ms % 1000) * 1000;
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
}

bool parseResponseHead(std::string_view head, BenchResponse &response)
{
    if (head.size() < 12 || !head.starts_with("HTTP/1.1 ")) {
        return false;
    }
    std::from_chars(head.data() + 9, head.data() + 12, response.status);
    for (std::size_t at = head.find("\r\n"); at != std::string_view::npos;) {
        const std::size_t end = head.find("\r\n", at + 2);
        const std::string_view line = head.substr(at + 2, end == std::string_view::npos ? end : end - at - 2);
        const std::size_t colon = line.find(": ");
        if (colon != std::string_view::npos) {
            response.fields.emplace_back(line.substr(0, colon), line.substr(colon + 2));
        }
        at = end;
    }
    return true;
}

} // namespace

BenchClient::BenchClient(SocketAddress server)
    : m_server(std::move(server))
{
}

BenchClient::~BenchClient()
{
    close();
}

void BenchClient::close()
{
    if (m_fd >= 0) {
        ::close(m_fd);
        m_fd = -1;
    }
    m_received.clear();
}

bool BenchClient::connect()
{
    m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    sockaddr_in serverAddress{};
    serverAddress.sin_family = AF_INET;
    serverAddress.sin_port = htons(m_server.port);
    inet_pton(AF_INET, m_server.ip.c_str(), &serverAddress.sin_addr);
    setSocketTimeout(m_fd, 1000);
    if (::connect(m_fd, reinterpret_cast<const sockaddr *>(&serverAddress), sizeof(serverAddress)) != 0) {
        close();
        return false;
    }
    return true;
}

bool BenchClient::sendAll(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        m_anySent = true;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

std::optional<BenchResponse> BenchClient::call(const BenchRequest &request)
{
    m_anySent = false;
    if (m_fd < 0 && !connect()) {
        return std::nullopt;
    }
    setSocketTimeout(m_fd, request.timeoutMs + kSocketMarginMs);
    std::string message
        = request.method + " " + request.target + " HTTP/1.1\r\nHost: bench\r\nConnection: keep-alive\r\n";
    message += "Fulmarledge-Request-Id: " + request.requestId + "\r\n";
    message += "Fulmarledge-Deadline-Ms: " + std::to_string(request.timeoutMs) + "\r\n";
    if (!request.idempotencyKey.empty()) {
        message += "Idempotency-Key: " + request.idempotencyKey + "\r\n";
    }
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        message += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    message += "\r\n" + request.body;
    std::optional<BenchResponse> response;
    if (sendAll(message)) {
        response = receive(request.method == "HEAD");
    }
    if (!response || fieldValue(response->fields, "Connection") == "close") {
        close();
    }
    return response;
}

bool BenchClient::receiveMore()
{
    static thread_local std::array<char, kReadBytes> buffer;
    const ssize_t received = ::recv(m_fd, buffer.data(), buffer.size(), 0);
    if (received <= 0) {
        return false;
    }
    m_received.append(buffer.data(), static_cast<std::size_t>(received));
    return true;
}

std::optional<BenchResponse> BenchClient::receive(bool isHeadRequest)
{
    std::size_t end = 0;
    while ((end = m_received.find("\r\n\r\n")) == std::string::npos) {
        if (!receiveMore()) {
            return std::nullopt;
        }
    }
    BenchResponse response;
    if (!parseResponseHead(std::string_view(m_received).substr(0, end), response)) {
        return std::nullopt;
    }
    m_received.erase(0, end + 4);
    std::size_t length = 0;
    const std::string_view contentLength = fieldValue(response.fields, "Content-Length");
    if (!isHeadRequest && response.status != 204) {
        std::from_chars(contentLength.data(), contentLength.data() + contentLength.size(), length);
    }
    while (m_received.size() < length) {
        if (!receiveMore()) {
            return std::nullopt;
        }
    }
    response.body = m_received.substr(0, length);
    m_received.erase(0, length);
    return response;
}

} // namespace fulmarledge
