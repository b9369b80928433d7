#include "httpconnection_p.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <pistache/http.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

namespace fulmarledge {

namespace {

namespace Http = Pistache::Http;

constexpr std::size_t kMaxHeaderBytes = 64 * 1024;
constexpr int kTooLarge = 413;

bool equalNames(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

/// Whether a field describes the connection or the framing, which the server writes itself.
bool isConnectionField(std::string_view name)
{
    for (const char *own : {"Connection", "Content-Length", "Transfer-Encoding", "Keep-Alive"}) {
        if (equalNames(name, own)) {
            return true;
        }
    }
    return false;
}

bool isBodylessStatus(int status)
{
    return status == 204 || status == 304;
}

std::string responseHead(int status, const HttpFields &fields, std::size_t bodyBytes, bool head, bool close)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    text += Http::codeString(static_cast<Http::Code>(status));
    text += "\r\n";
    for (const auto &[name, value] : fields) {
        if (!isConnectionField(name)) {
            text.append(name).append(": ").append(value).append("\r\n");
        }
    }
    const std::string_view declared = fieldValue(fields, "Content-Length");
    if (head && !declared.empty()) {
        text.append("Content-Length: ").append(declared).append("\r\n");
    } else if (!isBodylessStatus(status)) {
        text.append("Content-Length: ").append(std::to_string(bodyBytes)).append("\r\n");
    }
    text += close ? "Connection: close\r\n\r\n" : "Connection: Keep-Alive\r\n\r\n";
    return text;
}

class ConnectionResponder : public HttpResponder
{
public:
    explicit ConnectionResponder(std::shared_ptr<Connection> connection)
        : m_connection(std::move(connection))
    {
    }
    void onClosed(std::function<void()> callback) override
    {
        m_connection->onClosed(std::move(callback));
    }
    void send(int status, const HttpFields &fields, std::string body) override
    {
        m_connection->respond(status, fields, std::move(body));
    }
    void sendRawAndClose(const std::string &bytes) override
    {
        m_connection->sendRawAndClose(bytes);
    }

private:
    std::shared_ptr<Connection> m_connection;
};

} // namespace

void Connection::onInput(std::string_view bytes)
{
    Lock lock(m_mutex);
    if (m_closed || m_closeAfter) {
        return;
    }
    m_parser.feed(bytes);
    if (m_busy && m_parser.bufferedBytes() > m_maxBodyBytes + kMaxHeaderBytes) {
        // Without this limit, a client that pipelines requests without reading responses could fill the memory.
        m_closeAfter = true;
        ::shutdown(m_fd, SHUT_RDWR);
        return;
    }
    advance(lock);
}

void Connection::advance(Lock &lock)
{
    // If the handler sends its response before it returns, `afterWrite` calls this function again. The flag turns
    // that recursion, one level per pipelined request, into iterations of the loop.
    if (m_advancing) {
        return;
    }
    m_advancing = true;
    while (!m_busy && !m_closed && !m_closeAfter && handleNext(lock)) {
    }
    m_advancing = false;
}

bool Connection::handleNext(Lock &lock)
{
    const HttpParser::Result result = m_parser.parse();
    if (result == HttpParser::Result::Incomplete) {
        if (m_parser.takeExpectContinue()) {
            static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
            [[maybe_unused]] const ssize_t sent = ::send(m_fd, kContinue.data(), kContinue.size(), MSG_NOSIGNAL);
        }
        return false;
    }
    m_busy = true;
    m_closeAfter = m_parser.wantsClose();
    if (result == HttpParser::Result::Error) {
        m_head = false;
        const int status = m_parser.errorStatus();
        const std::string text = m_parser.errorText() + "\n";
        lock.unlock();
        const std::string reason(reasonName(status == kTooLarge ? Reason::BodyTooLarge : Reason::BadHeader));
        respond(status, {{"Fulmarledge-Verdict", "not-run"}, {"Fulmarledge-Reason", reason}}, text);
    } else {
        HttpCall call = m_parser.take();
        m_head = call.method == "HEAD";
        lock.unlock();
        call.peerIp = m_peerIp;
        call.responder = std::make_shared<ConnectionResponder>(shared_from_this());
        (*m_handler)(std::move(call));
    }
    lock.lock();
    return true;
}

void Connection::onDisconnected()
{
    std::function<void()> callback;
    {
        const Lock lock(m_mutex);
        m_closed = true;
        callback.swap(m_onClosed);
    }
    if (callback) {
        callback();
    }
}

void Connection::onClosed(std::function<void()> callback)
{
    {
        const Lock lock(m_mutex);
        if (!m_closed) {
            m_onClosed = std::move(callback);
            return;
        }
    }
    callback();
}

void Connection::respond(int status, const HttpFields &fields, std::string body)
{
    bool head = false;
    bool close = false;
    {
        const Lock lock(m_mutex);
        m_onClosed = nullptr;
        if (m_closed) {
            return;
        }
        head = m_head;
        close = m_closeAfter;
    }
    std::string text = responseHead(status, fields, body.size(), head, close);
    if (head || isBodylessStatus(status)) {
        body.clear();
    }
    write(std::move(text), std::move(body));
}

void Connection::sendRawAndClose(const std::string &bytes)
{
    {
        const Lock lock(m_mutex);
        m_onClosed = nullptr;
        m_closeAfter = true;
    }
    [[maybe_unused]] const ssize_t sent = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    ::shutdown(m_fd, SHUT_RDWR);
}

void Connection::write(std::string head, std::string body)
{
    std::array<iovec, 2> parts{{{head.data(), head.size()}, {body.data(), body.size()}}};
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = body.empty() ? 1 : 2;
    const ssize_t sent = ::sendmsg(m_fd, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
    const std::size_t total = head.size() + body.size();
    const std::size_t done = static_cast<std::size_t>(std::max<ssize_t>(sent, 0));
    if (sent < 0 && errno != EAGAIN && errno != EINTR) {
        return;
    }
    if (done < total) {
        if (done < head.size()) {
            head.erase(0, done);
            head.append(body);
            writeLater(std::move(head));
        } else {
            body.erase(0, done - head.size());
            writeLater(std::move(body));
        }
        return;
    }
    afterWrite();
}

bool Connection::writeSome(std::string &rest) const
{
    const ssize_t sent = ::send(m_fd, rest.data(), rest.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0) {
        return errno == EAGAIN || errno == EINTR;
    }
    rest.erase(0, static_cast<std::size_t>(sent));
    return true;
}

void Connection::writeLater(std::string rest)
{
    m_writeLoop.post([self = shared_from_this(), left = std::make_shared<std::string>(std::move(rest))] {
        self->m_writeLoop.addFd(self->m_fd, EPOLLOUT, [self, left](std::uint32_t) {
            const bool open = self->writeSome(*left);
            if (open && !left->empty()) {
                return;
            }
            // The event loop keeps this handler alive until it returns, and the handler keeps the connection alive.
            self->m_writeLoop.removeFd(self->m_fd);
            if (open) {
                self->afterWrite();
            }
        });
    });
}

void Connection::afterWrite()
{
    Lock lock(m_mutex);
    m_busy = false;
    if (m_closeAfter) {
        ::shutdown(m_fd, SHUT_WR);
        return;
    }
    advance(lock);
}

} // namespace fulmarledge
