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
constexpr std::int64_t kMarginMs = 2000; ///< added to the request's own deadline for the socket time-out

void setTimeout(int fd, std::int64_t ms)
{
    timeval time{};
    time.tv_sec = ms / 1000;
    time.tv_usec = (ms % 1000) * 1000;
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
}

bool parseHead(std::string_view head, BenchResponse &response)
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
    m_in.clear();
}

bool BenchClient::connect()
{
    m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(m_server.port);
    inet_pton(AF_INET, m_server.ip.c_str(), &to.sin_addr);
    setTimeout(m_fd, 1000);
    if (::connect(m_fd, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) != 0) {
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
        m_sent = true;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

std::optional<BenchResponse> BenchClient::call(const BenchRequest &request)
{
    m_sent = false;
    if (m_fd < 0 && !connect()) {
        return std::nullopt;
    }
    setTimeout(m_fd, request.timeoutMs + kMarginMs);
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\nHost: bench\r\nConnection: keep-alive\r\n";
    text += "Fulmarledge-Request-Id: " + request.id + "\r\n";
    text += "Fulmarledge-Deadline-Ms: " + std::to_string(request.timeoutMs) + "\r\n";
    if (!request.key.empty()) {
        text += "Idempotency-Key: " + request.key + "\r\n";
    }
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    text += "\r\n" + request.body;
    std::optional<BenchResponse> response;
    if (sendAll(text)) {
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
    const ssize_t got = ::recv(m_fd, buffer.data(), buffer.size(), 0);
    if (got <= 0) {
        return false;
    }
    m_in.append(buffer.data(), static_cast<std::size_t>(got));
    return true;
}

std::optional<BenchResponse> BenchClient::receive(bool head)
{
    std::size_t end = 0;
    while ((end = m_in.find("\r\n\r\n")) == std::string::npos) {
        if (!receiveMore()) {
            return std::nullopt;
        }
    }
    BenchResponse response;
    if (!parseHead(std::string_view(m_in).substr(0, end), response)) {
        return std::nullopt;
    }
    m_in.erase(0, end + 4);
    std::size_t length = 0;
    const std::string_view declared = fieldValue(response.fields, "Content-Length");
    if (!head && response.status != 204) {
        std::from_chars(declared.data(), declared.data() + declared.size(), length);
    }
    while (m_in.size() < length) {
        if (!receiveMore()) {
            return std::nullopt;
        }
    }
    response.body = m_in.substr(0, length);
    m_in.erase(0, length);
    return response;
}

} // namespace fulmarledge
