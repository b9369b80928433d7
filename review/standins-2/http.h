// Small blocking HTTP/1.1 server and client for the stand-ins of the second review. One thread per connection.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

struct Address {
    std::string ip;
    int port = 0;
    std::string text() const
    {
        return ip + ":" + std::to_string(port);
    }
};

inline std::int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

struct LessIgnoringCase {
    bool operator()(const std::string &a, const std::string &b) const
    {
        return strcasecmp(a.c_str(), b.c_str()) < 0;
    }
};

using Fields = std::map<std::string, std::string, LessIgnoringCase>;

struct Message {
    std::string method; // of a request
    std::string target;
    int status = 0; // of a response
    Fields fields;
    std::string body;
    std::string field(const std::string &name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
};

inline sockaddr_in toSockaddr(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            if (count < 0 && errno == EINTR) {
                continue;
            }
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// Reads messages from one connection. Keeps what follows a message.
class Reader
{
public:
    explicit Reader(int fd)
        : m_fd(fd)
    {
    }

    // Nothing if the connection ended or `deadline` (steadyMs) has passed.
    std::optional<Message> read(bool isResponse, std::int64_t deadline)
    {
        std::size_t end = std::string::npos;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
        Message message;
        parseHeader(m_buffer.substr(0, end), isResponse, message);
        m_buffer.erase(0, end + 4);
        if (strcasecmp(message.field("Transfer-Encoding").c_str(), "chunked") == 0) {
            return readChunks(message, deadline) ? std::optional(message) : std::nullopt;
        }
        const std::size_t length = std::strtoull(message.field("Content-Length").c_str(), nullptr, 10);
        while (m_buffer.size() < length) {
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
        message.body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return message;
    }
    bool timedOut() const
    {
        return m_timedOut;
    }

private:
    static void parseHeader(const std::string &text, bool isResponse, Message &message)
    {
        std::size_t start = text.find("\r\n");
        const std::string line = text.substr(0, start);
        const std::size_t space = line.find(' ');
        if (isResponse) {
            message.status = std::atoi(line.c_str() + std::min(space, line.size()));
        } else {
            message.method = line.substr(0, space);
            const std::size_t second = line.find(' ', space + 1);
            message.target = line.substr(space + 1, second - space - 1);
        }
        while (start != std::string::npos) {
            const std::size_t next = text.find("\r\n", start + 2);
            const std::string field = text.substr(start + 2, next == std::string::npos ? next : next - start - 2);
            const std::size_t colon = field.find(':');
            if (colon != std::string::npos) {
                std::size_t value = colon + 1;
                while (value < field.size() && field[value] == ' ') {
                    ++value;
                }
                message.fields[field.substr(0, colon)] = field.substr(value);
            }
            start = next;
        }
    }
    bool readChunks(Message &message, std::int64_t deadline)
    {
        for (;;) {
            std::size_t end = std::string::npos;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill(deadline)) {
                    return false;
                }
            }
            const std::size_t size = std::strtoull(m_buffer.c_str(), nullptr, 16);
            m_buffer.erase(0, end + 2);
            while (m_buffer.size() < size + 2) {
                if (!fill(deadline)) {
                    return false;
                }
            }
            message.body += m_buffer.substr(0, size);
            m_buffer.erase(0, size + 2);
            if (size == 0) {
                return true;
            }
        }
    }
    bool fill(std::int64_t deadline)
    {
        const std::int64_t left = deadline - steadyMs();
        pollfd entry{m_fd, POLLIN, 0};
        const int ready = left <= 0 ? 0 : ::poll(&entry, 1, static_cast<int>(left));
        if (ready <= 0) {
            m_timedOut = true;
            return false;
        }
        char bytes[65536];
        const ssize_t count = ::recv(m_fd, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int m_fd;
    std::string m_buffer;
    bool m_timedOut = false;
};

inline std::string formatResponse(const Message &response)
{
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " Status\r\n";
    for (const auto &[name, value] : response.fields) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
}

// Calls the handler for each request. A handler that returns nothing ends the connection without an answer.
class Server
{
public:
    struct Call {
        Message request;
        int fd; // of the connection, to watch whether the peer has closed it
    };
    using Handler = std::function<std::optional<Message>(const Call &)>;

    Server(const Address &address, Handler handler)
        : m_address(address)
        , m_handler(std::move(handler))
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in to = toSockaddr(address);
        if (::bind(m_listener, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) != 0
            || ::listen(m_listener, 512) != 0) {
            ::close(m_listener);
            throw std::runtime_error("listen on " + address.text() + ": " + std::strerror(errno));
        }
        sockaddr_in bound{};
        socklen_t size = sizeof(bound);
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&bound), &size);
        m_address.port = ntohs(bound.sin_port);
        std::thread([this] { acceptAll(); }).detach();
    }
    // Servers live until the process exits, as their threads are detached. `stop` ends listening and all connections.
    void stop()
    {
        m_stopped = true;
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        const std::lock_guard lock(m_mutex);
        for (const int fd : m_open) {
            ::shutdown(fd, SHUT_RDWR);
        }
    }
    const Address &address() const
    {
        return m_address;
    }

private:
    void acceptAll()
    {
        while (!m_stopped) {
            const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (m_stopped || errno == EBADF || errno == EINVAL) {
                    return;
                }
                continue;
            }
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            {
                const std::lock_guard lock(m_mutex);
                m_open.insert(fd);
            }
            std::thread([this, fd] {
                serve(fd);
                const std::lock_guard lock(m_mutex);
                m_open.erase(fd);
                ::close(fd);
            }).detach();
        }
    }
    void serve(int fd)
    {
        Reader reader(fd);
        while (!m_stopped) {
            std::optional<Message> request = reader.read(false, steadyMs() + 120000);
            if (!request) {
                return;
            }
            const std::optional<Message> response = m_handler({std::move(*request), fd});
            if (!response || !sendAll(fd, formatResponse(*response)) || response->field("Connection") == "close") {
                return;
            }
        }
    }

    Address m_address;
    Handler m_handler;
    int m_listener = -1;
    std::atomic<bool> m_stopped{false};
    std::mutex m_mutex;
    std::set<int> m_open;
};

// A client's connection.
class Connection
{
public:
    explicit Connection(const Address &to)
        : m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
        , m_reader(m_fd)
    {
        const int on = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const sockaddr_in address = toSockaddr(to);
        m_isOpen = ::connect(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    }
    ~Connection()
    {
        ::close(m_fd);
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    // Sends a request, also while earlier ones wait for their answers.
    void send(const Message &request)
    {
        std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
        for (const auto &[name, value] : request.fields) {
            text += name + ": " + value + "\r\n";
        }
        if (request.method != "GET") {
            text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
        }
        // If sending fails, an answer may stand there all the same.
        sendAll(m_fd, text + "\r\n" + request.body);
    }
    // The next answer. Nothing if there was none until the time-out or the connection ended.
    std::optional<Message> receive(std::int64_t timeoutMs)
    {
        std::optional<Message> response = m_reader.read(true, steadyMs() + timeoutMs);
        m_isOpen = response && strcasecmp(response->field("Connection").c_str(), "close") != 0;
        return response;
    }
    std::optional<Message> call(const Message &request, std::int64_t timeoutMs)
    {
        if (!m_isOpen) {
            return std::nullopt;
        }
        send(request);
        return receive(timeoutMs);
    }
    bool isOpen() const
    {
        return m_isOpen;
    }
    bool timedOut() const
    {
        return m_reader.timedOut();
    }

private:
    int m_fd;
    Reader m_reader;
    bool m_isOpen = false;
};

} // namespace review
