#include "httpconnection_p.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <utility>

#include "httpresponder_p.h"
#include "httpresponseheader_p.h"

namespace fulmarledge {

namespace {

constexpr int kRequestTimeout = 408;
constexpr int kContentTooLarge = 413;
constexpr int kServiceUnavailable = 503;
constexpr std::size_t kReadBytes = 16 * 1024;
/// Reads of one connection in one turn of the loop, so that a client that sends without end does not delay the others.
constexpr int kMaxReadsPerTurn = 4;
/// Input that is read while a request is in progress. More is left in the kernel.
constexpr std::size_t kMaxPipelinedBytes = 16 * 1024;
/// Time that a client has to close its side after the last response.
constexpr TimeMs kLingerMs = 2000;
/// Time without progress after which a response that the client does not read is given up.
constexpr TimeMs kSlowReaderMs = 120000;

std::string peerIpOf(const Socket &socket)
{
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    const bool isKnown = ::getpeername(socket.fd(), reinterpret_cast<sockaddr *>(&peer), &size) == 0;
    return isKnown ? fromSockaddr(peer).ip : std::string();
}

void runAll(const std::vector<ResponseQueue::Callback> &callbacks)
{
    for (const ResponseQueue::Callback &callback : callbacks) {
        callback();
    }
}

} // namespace

HttpConnection::HttpConnection(std::shared_ptr<IoLoop> loop, Socket socket,
                               std::shared_ptr<HttpConnections> connections, bool isOverLimit)
    : m_loop(std::move(loop))
    , m_socket(std::move(socket))
    , m_connections(std::move(connections))
    , m_peerIp(peerIpOf(m_socket))
    , m_isOverLimit(isOverLimit)
    , m_parser(0)
    , m_queue(m_connections->responseMemory())
    , m_lastInputMs(monotonicMs())
    , m_lastOutputMs(m_lastInputMs)
{
}

HttpConnection::~HttpConnection()
{
    m_connections->heldBytes.fetch_sub(m_heldBytes, std::memory_order_relaxed);
}

void HttpConnection::start()
{
    m_events = EPOLLIN;
    m_loop->addFd(m_socket.fd(), m_events,
                  [self = shared_from_this()](std::uint32_t events) { self->onEvents(events); });
}

void HttpConnection::onEvents(std::uint32_t events)
{
    bool isConnected = true;
    if ((events & EPOLLOUT) != 0U) {
        isConnected = writeUnsent();
    }
    // The handler that runs keeps this object alive while it removes itself.
    if (!isConnected || ((events & EPOLLIN) != 0U && !readAvailable())
        || ((events & EPOLLIN) == 0U && (events & EPOLLRDHUP) != 0U && !endInput())
        || ((events & EPOLLIN) == 0U && (events & (EPOLLERR | EPOLLHUP)) != 0U)) {
        disconnect();
        return;
    }
    updateEvents();
}

bool HttpConnection::readAvailable()
{
    std::array<char, kReadBytes> buffer;
    for (int i = 0; i < kMaxReadsPerTurn; ++i) {
        const ssize_t received = ::recv(m_socket.fd(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (received < 0) {
            return errno == EAGAIN || errno == EINTR;
        }
        if (received == 0) {
            return endInput();
        }
        onInput({buffer.data(), static_cast<std::size_t>(received)});
        if (static_cast<std::size_t>(received) < buffer.size()) {
            return true;
        }
    }
    return true;
}

bool HttpConnection::endInput()
{
    Callbacks cancelled;
    {
        const Lock lock(m_mutex);
        // A client that closes while its request runs has given up. One whose answer is on its way may still read it,
        // and those that wait right behind that answer.
        if (m_queue.unsent().empty()) {
            return false;
        }
        m_inputEnded = true;
        cancelled = m_queue.closeAfterReady();
        countQueue();
    }
    runAll(cancelled);
    return true;
}

void HttpConnection::updateEvents()
{
    std::uint32_t wanted = 0;
    {
        const Lock lock(m_mutex);
        if (m_closed) {
            return;
        }
        // While a request is in progress, a client that pipelines without end is not read.
        m_inputPaused = !m_queue.isEmpty() && m_parser.heldBytes() >= kMaxPipelinedBytes;
        if (!m_inputEnded) {
            // The end of the connection is reported also where its input is not.
            wanted = m_inputPaused ? EPOLLRDHUP : EPOLLIN;
        }
        wanted |= m_queue.unsent().empty() ? 0U : EPOLLOUT;
    }
    if (wanted != m_events) {
        m_events = wanted;
        m_loop->modifyFd(m_socket.fd(), wanted);
    }
}

void HttpConnection::onInput(std::string_view bytes)
{
    Lock lock(m_mutex);
    if (m_closed || m_queue.isClosing()) {
        return;
    }
    m_lastInputMs = monotonicMs();
    m_movedBytes += bytes.size();
    m_parser.feed(bytes);
    handleBufferedRequests(lock);
}

void HttpConnection::countQueue()
{
    HttpConnections::setShare(m_connections->unsentResponses, m_unsentResponses, m_queue.unsentResponses());
    HttpConnections::setShare(m_connections->besideRequests, m_besideRequests,
                              m_queue.size() - (m_queue.isEmpty() ? 0 : 1));
}

void HttpConnection::handleBufferedRequests(Lock &lock)
{
    // If the handler sends its response before it returns, `writeReadyResponses` calls this function again. The flag
    // turns that recursion, one level per pipelined request, into iterations of the loop.
    if (m_handlingRequests) {
        return;
    }
    m_handlingRequests = true;
    while (!m_closed && hasRoomForRequest() && handleNextRequest(lock)) {
    }
    m_handlingRequests = false;
    countHeldBytes();
    if (m_queue.isEmpty() && !m_queue.isClosing() && m_heldBytes > m_connections->smallRequestBytes()
        && m_connections->isMemoryFull(m_heldBytes)) {
        refuse(lock, kServiceUnavailable, Reason::QueueFull, "too many requests are being received");
    } else if (m_queue.isEmpty() && !m_queue.isClosing() && !m_connections->admits(m_heldBytes)) {
        refuseForMemory(lock);
    }
}

void HttpConnection::refuse(Lock &lock, int status, Reason reason, const std::string &text)
{
    const ResponseQueue::Number request = m_queue.add({});
    m_queue.closeAfterLast();
    const std::string body = text + "\n";
    m_parser.discard();
    countHeldBytes();
    countQueue();
    lock.unlock();
    HttpFields fields{{"Fulmarledge-Verdict", "not-run"}, {"Fulmarledge-Reason", std::string(reasonName(reason))}};
    if (status == kServiceUnavailable) {
        fields.emplace_back("Retry-After", "1");
    }
    respond(request, status, fields, body);
    lock.lock();
}

bool HttpConnection::hasRoomForRequest()
{
    if (m_queue.isClosing() || m_queue.isEmpty()) {
        return !m_queue.isClosing();
    }
    if (m_connections->closesAfterResponses.load(std::memory_order_relaxed)) {
        return holdBack(HoldReason::Closing);
    }
    if (m_queue.size() >= m_connections->pipeline()) {
        return false;
    }
    if (!m_queue.areAllRepeatable()) {
        return holdBack(HoldReason::NotRepeatable);
    }
    if (m_queue.isFull() || m_connections->isClientMemoryFull()) {
        return holdBack(HoldReason::Memory);
    }
    return m_connections->hasRoomBeside() || holdBack(HoldReason::TooMany);
}

bool HttpConnection::holdBack(HoldReason reason)
{
    if (!m_isHeldBack && m_parser.isInsideRequest()) {
        m_isHeldBack = true;
        m_connections->countHeldBack(reason);
    }
    return false;
}

bool HttpConnection::handleNextRequest(Lock &lock)
{
    if (!m_parser.isInsideRequest()) {
        return false;
    }
    if (!m_parser.isInsideBody()) {
        const HttpLimits limits = m_connections->limits();
        m_parser.setLimits(limits.maxBodyBytes, limits.maxHeaderBytes);
    }
    const HttpParser::Result parseResult = m_parser.parse();
    if (parseResult == HttpParser::Result::Incomplete) {
        // The time limit of a header begins, and the body is asked for, when the responses before it are written.
        if (!m_queue.isEmpty()) {
            return false;
        }
        if (m_requestSinceMs == 0 && m_parser.isInsideRequest()) {
            m_requestSinceMs = monotonicMs();
        }
        if (m_parser.takeExpectContinue()) {
            static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
            [[maybe_unused]] const ssize_t sent
                = ::send(m_socket.fd(), kContinue.data(), kContinue.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        }
        return false;
    }
    m_requestSinceMs = 0;
    if (parseResult == HttpParser::Result::Error) {
        const int status = m_parser.errorStatus();
        refuse(lock, status, status == kContentTooLarge ? Reason::BodyTooLarge : Reason::BadHeader,
               m_parser.errorText());
        return true;
    }
    const bool isRepeatable = m_connections->mayRunBeside(m_parser.request());
    const bool runsBeside = !m_queue.isEmpty();
    if (runsBeside && !isRepeatable) {
        return holdBack(HoldReason::NotRepeatable);
    }
    m_isHeldBack = false;
    const bool closes = m_isOverLimit || m_parser.closesAfterResponse();
    HttpCall call = m_parser.takeRequest();
    const ResponseQueue::Number request = m_queue.add({call.method == "HEAD", isRepeatable});
    if (closes) {
        m_queue.closeAfterLast();
    }
    if (runsBeside) {
        m_connections->countStartedBeside();
    }
    countHeldBytes();
    countQueue();
    lock.unlock();
    call.runsBeside = runsBeside;
    call.peerIp = m_peerIp;
    call.isOverLimit = m_isOverLimit;
    call.responder = std::make_shared<ConnectionResponder>(shared_from_this(), request);
    m_connections->handler()(std::move(call));
    lock.lock();
    return true;
}

void HttpConnection::checkTimeouts(TimeMs now, const HttpLimits &limits)
{
    Lock lock(m_mutex);
    if (m_closed) {
        return;
    }
    if (!m_queue.unsent().empty()) {
        if (now - m_lastOutputMs > kSlowReaderMs) {
            close(CloseReason::SlowReader);
        }
        return;
    }
    if (!m_queue.isEmpty()) {
        return;
    }
    if (m_queue.isClosing()) {
        if (now - m_lastOutputMs > kLingerMs) {
            close(CloseReason::Response);
        }
        return;
    }
    if (!m_parser.isInsideRequest()) {
        const TimeMs idleMs = now - std::max(m_lastInputMs, m_lastOutputMs);
        lock.unlock();
        if (idleMs > limits.idleTimeoutMs) {
            closeIfIdle(CloseReason::Idle);
        }
        return;
    }
    // The rest of a body may have had to wait for the responses before it.
    const TimeMs bodySinceMs = std::max(m_lastInputMs, m_lastOutputMs);
    const bool isLate = m_parser.isInsideBody() ? now - bodySinceMs > limits.idleTimeoutMs
                                                : now - m_requestSinceMs > limits.headerTimeoutMs;
    if (isLate) {
        m_closeReason = CloseReason::SlowRequest;
        refuse(lock, kRequestTimeout, Reason::SlowCaller, "the request did not arrive in time");
    }
}

bool HttpConnection::isIdle() const
{
    return !m_closed && m_queue.isEmpty() && !m_queue.isClosing() && !m_parser.isInsideRequest();
}

TimeMs HttpConnection::idleSince()
{
    const Lock lock(m_mutex);
    return isIdle() ? std::max(m_lastInputMs, m_lastOutputMs) : 0;
}

bool HttpConnection::closeIfIdle(CloseReason reason)
{
    const Lock lock(m_mutex);
    char byte = 0;
    if (!isIdle() || ::recv(m_socket.fd(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0) {
        return false;
    }
    close(reason);
    return true;
}

void HttpConnection::close(CloseReason reason)
{
    m_queue.closeAfterLast();
    m_closeReason = m_closeReason == CloseReason::Peer ? reason : m_closeReason;
    ::shutdown(m_socket.fd(), SHUT_RDWR);
    m_loop->post([self = shared_from_this()] { self->disconnect(); });
}

void HttpConnection::disconnect()
{
    Callbacks cancelled;
    CloseReason reason = CloseReason::Peer;
    {
        const Lock lock(m_mutex);
        if (m_closed) {
            return;
        }
        m_closed = true;
        reason = m_closeReason == CloseReason::Peer && m_queue.isClosing() ? CloseReason::Response : m_closeReason;
        cancelled = m_queue.cancelAll();
        countQueue();
    }
    m_loop->removeFd(m_socket.fd());
    runAll(cancelled);
    m_connections->remove(this, reason);
}

void HttpConnection::onClosed(ResponseQueue::Number request, std::function<void()> callback)
{
    {
        const Lock lock(m_mutex);
        if (!m_closed && !m_queue.isCancelled(request)) {
            m_queue.setCallback(request, std::move(callback));
            return;
        }
    }
    callback();
}

void HttpConnection::respond(ResponseQueue::Number request, int status, const HttpFields &fields, std::string body)
{
    bool isHeadRequest = false;
    {
        const Lock lock(m_mutex);
        const ResponseQueue::Request *running = m_queue.findRunning(request);
        if (running == nullptr) {
            return;
        }
        isHeadRequest = running->isHead;
    }
    ResponseQueue::Response response;
    response.header = formatResponseHeader(status, fields, body.size(), isHeadRequest);
    if (!isHeadRequest && !isBodylessStatus(status)) {
        response.body = std::move(body);
    }
    setResponse(request, std::move(response));
}

void HttpConnection::sendRawAndClose(ResponseQueue::Number request, const std::string &bytes)
{
    ResponseQueue::Response response;
    response.header = bytes;
    response.isRaw = true;
    setResponse(request, std::move(response));
}

void HttpConnection::setResponse(ResponseQueue::Number request, ResponseQueue::Response response)
{
    Lock lock(m_mutex);
    if (m_queue.setResponse(request, std::move(response))) {
        writeReadyResponses(lock, false);
    }
}

void HttpConnection::writeReadyResponses(Lock &lock, bool hasWritten)
{
    Callbacks cancelled;
    while (std::optional<ResponseQueue::Response> response = m_queue.takeNext()) {
        hasWritten = true;
        if (response->isRaw) {
            write(std::move(*response));
            cancelled = m_queue.cancelAll();
            close(CloseReason::Response);
            break;
        }
        if (m_connections->closesAfterResponses.load(std::memory_order_relaxed)) {
            // Backend servers are at work on the requests behind this one, so these are still answered.
            m_queue.closeAfterLast();
        }
        endResponseHeader(response->header, m_queue.isLast() ? 0 : m_connections->limits().idleTimeoutMs);
        write(std::move(*response));
    }
    countQueue();
    if (!hasWritten) {
        return;
    }
    m_lastOutputMs = monotonicMs();
    if (m_queue.isClosing()) {
        if (m_queue.isEmpty()) {
            ::shutdown(m_socket.fd(), SHUT_WR);
        }
    } else {
        handleBufferedRequests(lock);
    }
    if (m_inputPaused || !m_queue.unsent().empty()) {
        m_loop->post([self = shared_from_this()] { self->updateEvents(); });
    }
    lock.unlock();
    runAll(cancelled);
}

void HttpConnection::write(ResponseQueue::Response response)
{
    std::array<iovec, 2> parts{
        {{response.header.data(), response.header.size()}, {response.body.data(), response.body.size()}}};
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = response.body.empty() ? 1 : 2;
    const ssize_t sent = ::sendmsg(m_socket.fd(), &message, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && errno != EAGAIN && errno != EINTR) {
        // The loop reports that the connection has failed.
        return;
    }
    const std::size_t sentBytes = static_cast<std::size_t>(std::max<ssize_t>(sent, 0));
    m_movedBytes += sentBytes;
    m_queue.onWritten(std::move(response), sentBytes);
}

bool HttpConnection::writeUnsent()
{
    Lock lock(m_mutex);
    const std::string_view unsent = m_queue.unsent();
    if (unsent.empty()) {
        return true;
    }
    const ssize_t sent = ::send(m_socket.fd(), unsent.data(), unsent.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0) {
        return errno == EAGAIN || errno == EINTR;
    }
    m_movedBytes += static_cast<std::size_t>(sent);
    m_queue.consumeUnsent(static_cast<std::size_t>(sent));
    m_lastOutputMs = monotonicMs();
    if (m_queue.unsent().empty()) {
        writeReadyResponses(lock, true);
    }
    return true;
}

} // namespace fulmarledge
