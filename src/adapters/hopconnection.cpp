#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <system_error>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <unistd.h>
#include <utility>
#include <vector>

#include "hop.h"

namespace fulmarledge {

namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

constexpr std::size_t kPrefixBytes = 4;
constexpr std::size_t kReadBufferBytes = 64 * 1024;
/// Most bytes read from a connection in one turn of the event loop, so that it does not delay the other connections of
/// the thread by much. Checked after each read of `kReadBufferBytes`.
constexpr std::size_t kMaxReadBytesPerTurn = 1024 * 1024;
/// Memory that an empty buffer keeps for the next frame. There are two buffers for each peer.
constexpr std::size_t kKeptBufferBytes = 64 * 1024;
/// Room for what a frame holds beside a body.
constexpr std::size_t kFieldBytes = 16 * 1024;
/// Frames of at least this size are large. Smaller ones delay other frames by less than the burst of a paced link.
constexpr std::size_t kLargeFrameBytes = 16 * 1024;

/// Appends to a string.
class StringTransport : public apache::thrift::transport::TVirtualTransport<StringTransport>
{
public:
    explicit StringTransport(std::string &out)
        : m_out(out)
    {
    }
    void write(const std::uint8_t *data, std::uint32_t size)
    {
        m_out.append(reinterpret_cast<const char *>(data), size);
    }

private:
    std::string &m_out;
};

void appendFrame(std::string &out, const wire::HopFrame &frame)
{
    const std::size_t start = out.size();
    const std::size_t bodyBytes = frame.request.body.size() + frame.response.body.size();
    if (bodyBytes > kKeptBufferBytes) {
        // The small fields behind a large body would double the memory of a string that grows by itself.
        out.reserve(start + bodyBytes + kFieldBytes);
    }
    out.append(kPrefixBytes, '\0');
    TCompactProtocol protocol(std::make_shared<StringTransport>(out));
    frame.write(&protocol);
    const std::uint32_t prefix = htonl(static_cast<std::uint32_t>(out.size() - start - kPrefixBytes));
    std::memcpy(out.data() + start, &prefix, sizeof(prefix));
}

bool decodeFrame(std::string_view bytes, wire::HopFrame &frame)
{
    try {
        // TMemoryBuffer takes a mutable pointer, but reading a message does not write to it.
        auto *data = reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data()));
        const auto buffer = std::make_shared<TMemoryBuffer>(data, static_cast<std::uint32_t>(bytes.size()));
        TCompactProtocol protocol(buffer);
        frame.read(&protocol);
        return true;
    } catch (const apache::thrift::TException &) {
        return false;
    }
}

/// Size of the frame at the start of `bytes`, including its length prefix, or 0 when the prefix is incomplete.
std::size_t frameSize(std::string_view bytes)
{
    if (bytes.size() < kPrefixBytes) {
        return 0;
    }
    std::uint32_t prefix = 0;
    std::memcpy(&prefix, bytes.data(), sizeof(prefix));
    return kPrefixBytes + ntohl(prefix);
}

void trim(std::string &buffer)
{
    if (buffer.capacity() > kKeptBufferBytes && buffer.size() <= kKeptBufferBytes / 2) {
        buffer.shrink_to_fit();
    }
}

} // namespace

HopConnection::HopConnection(IoLoop &loop, int fd, bool connecting, const HopConfig &config, Handlers handlers,
                             LargeFrameScheduler *scheduler)
    : m_loop(loop)
    , m_fd(fd)
    , m_connecting(connecting)
    , m_writeInterest(connecting)
    , m_config(config)
    , m_handlers(std::move(handlers))
    , m_openedAt(monotonicMs())
    , m_scheduler(scheduler)
{
    m_loop.addFd(m_fd, EPOLLIN | (connecting ? EPOLLOUT : 0U), [this](std::uint32_t events) { onEvents(events); });
    m_heartbeatTimer = m_loop.runAfter(m_config.heartbeatIntervalMs, [this] { onHeartbeatTimer(); });
}

HopConnection::~HopConnection()
{
    if (m_scheduler != nullptr) {
        m_scheduler->onWaitingBytesChanged(-static_cast<std::ptrdiff_t>(m_largeUnwritten));
    }
    m_config.bufferMemory->release(m_countedBytes);
    *m_alive = false;
    m_loop.cancel(m_heartbeatTimer);
    m_loop.cancel(m_failTimer);
    m_loop.removeFd(m_fd);
    ::close(m_fd);
}

std::uint64_t HopConnection::send(const wire::HopFrame &frame)
{
    if (m_failed) {
        return 0;
    }
    const std::size_t oldSize = m_out.size();
    appendFrame(m_out, frame);
    const std::size_t frameBytes = m_out.size() - oldSize;
    if (frameBytes > m_config.maxFrameBytes || unwrittenBytes() > m_config.maxOutstandingBytes) {
        m_out.resize(oldSize);
        trimBuffers();
        return 0;
    }
    m_queuedBytes += frameBytes;
    if (m_scheduler != nullptr && frameBytes >= kLargeFrameBytes) {
        m_largeFrames.push_back({frame.response.id, m_out.substr(oldSize)});
        m_largeUnwritten += frameBytes;
        m_scheduler->onWaitingBytesChanged(static_cast<std::ptrdiff_t>(frameBytes));
        m_out.resize(oldSize);
        trimBuffers();
        m_scheduler->onLargeFrameReady(*this);
    } else {
        trimBuffers();
        flush();
    }
    return m_queuedBytes;
}

std::size_t HopConnection::write(std::string_view bytes)
{
    std::size_t total = 0;
    while (total < bytes.size()) {
        const ssize_t sent = ::send(m_fd, bytes.data() + total, bytes.size() - total, MSG_NOSIGNAL);
        if (sent < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                fail();
            }
            break;
        }
        total += static_cast<std::size_t>(sent);
    }
    m_writtenBytes += total;
    return total;
}

void HopConnection::flush()
{
    // No other frame can begin until the large one in progress is completely written.
    if (m_connecting || m_failed || isLargeFrameInProgress()) {
        return;
    }
    if (m_outWritten < m_out.size()) {
        const std::size_t sent = write(std::string_view(m_out).substr(m_outWritten));
        m_outWritten += sent;
        if (m_scheduler != nullptr) {
            m_scheduler->onSmallFramesWritten(sent);
        }
    }
    if (m_outWritten == m_out.size()) {
        m_out.clear();
        m_outWritten = 0;
    }
    trimBuffers();
    setWriteInterest(m_outWritten < m_out.size());
}

std::size_t HopConnection::writeLargeFrame(std::size_t maxBytes)
{
    flush();
    if (m_connecting || m_failed || isBlocked() || m_largeFrames.empty()) {
        return 0;
    }
    const std::string_view rest = std::string_view(m_largeFrames.front().bytes).substr(m_largeWritten);
    const std::size_t allowed = std::min(rest.size(), maxBytes);
    const std::size_t sent = write(rest.substr(0, allowed));
    m_largeWritten += sent;
    m_largeUnwritten -= sent;
    m_scheduler->onWaitingBytesChanged(-static_cast<std::ptrdiff_t>(sent));
    if (sent == rest.size()) {
        m_largeFrames.pop_front();
        m_largeWritten = 0;
        flush();
    } else {
        setWriteInterest(sent < allowed);
    }
    return sent;
}

void HopConnection::dropLargeFrame(std::int64_t id)
{
    const auto found = std::find_if(m_largeFrames.begin(), m_largeFrames.end(),
                                    [id](const LargeFrame &frame) { return frame.id == id; });
    if (found != m_largeFrames.end() && (found != m_largeFrames.begin() || !isLargeFrameInProgress())) {
        m_largeUnwritten -= found->bytes.size();
        m_scheduler->onWaitingBytesChanged(-static_cast<std::ptrdiff_t>(found->bytes.size()));
        m_largeFrames.erase(found);
    }
}

void HopConnection::setWriteInterest(bool wanted)
{
    if (wanted != m_writeInterest && !m_failed) {
        m_writeInterest = wanted;
        m_loop.modifyFd(m_fd, EPOLLIN | (wanted ? EPOLLOUT : 0U));
    }
}

void HopConnection::fail()
{
    if (m_failed) {
        return;
    }
    m_failed = true;
    // `onClosed` may destroy this object, so it runs from the event loop and not within a call such as `send`.
    m_failTimer = m_loop.runAfter(0, [this] {
        m_failTimer = {};
        m_handlers.onClosed();
    });
}

void HopConnection::onEvents(std::uint32_t events)
{
    if (m_failed) {
        return;
    }
    if (m_connecting) {
        int error = 0;
        socklen_t size = sizeof(error);
        getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0 || (events & (EPOLLERR | EPOLLHUP)) != 0U) {
            fail();
            return;
        }
        if ((events & EPOLLOUT) == 0U) {
            return;
        }
        m_connecting = false;
    }
    const std::shared_ptr<bool> alive = m_alive;
    const bool open = readAvailable();
    if (!*alive) {
        return;
    }
    if (!open) {
        fail();
        return;
    }
    const bool wasBlocked = m_writeInterest;
    flush();
    if (isLargeFrameInProgress() && (events & EPOLLOUT) != 0U) {
        setWriteInterest(false);
    }
    if (m_scheduler != nullptr && hasLargeFrames() && wasBlocked && !isBlocked()) {
        m_scheduler->onLargeFrameReady(*this);
    }
}

bool HopConnection::readAvailable()
{
    const std::shared_ptr<bool> alive = m_alive;
    thread_local std::vector<char> buffer(kReadBufferBytes);
    std::size_t readBytes = 0;
    while (readBytes < kMaxReadBytesPerTurn) {
        const ssize_t received = ::recv(m_fd, buffer.data(), buffer.size(), 0);
        if (received < 0) {
            return errno == EAGAIN || errno == EINTR;
        }
        if (received == 0) {
            return false;
        }
        m_in.append(buffer.data(), static_cast<std::size_t>(received));
        m_silentMs = 0;
        m_received = true;
        readBytes += static_cast<std::size_t>(received);
        if (!parseFrames() || !*alive) {
            return false;
        }
        if (static_cast<std::size_t>(received) < kReadBufferBytes) {
            return true;
        }
    }
    return true;
}

bool HopConnection::parseFrames()
{
    const std::shared_ptr<bool> alive = m_alive;
    std::size_t start = 0;
    while (true) {
        const std::string_view rest = std::string_view(m_in).substr(start);
        const std::size_t size = frameSize(rest);
        if (size > m_config.maxFrameBytes) {
            return false;
        }
        if (size == 0 || rest.size() < size) {
            if (size > kKeptBufferBytes) {
                // A string that grows by itself would take up to twice the memory of the frame.
                m_in.reserve(start + size);
            }
            break;
        }
        wire::HopFrame frame;
        if (!decodeFrame(rest.substr(kPrefixBytes, size - kPrefixBytes), frame)) {
            return false;
        }
        start += size;
        if (!frame.__isset.beat || frame.beat.__isset.running) {
            m_handlers.onFrame(std::move(frame));
            if (!*alive) {
                return false;
            }
        }
    }
    m_in.erase(0, start);
    trimBuffers();
    return true;
}

void HopConnection::trimBuffers()
{
    if (frameSize(m_in) <= kKeptBufferBytes) {
        trim(m_in);
    }
    trim(m_out);
    const std::size_t bytes = m_in.capacity() + m_out.capacity();
    if (bytes != m_countedBytes) {
        m_config.bufferMemory->add(bytes);
        m_config.bufferMemory->release(std::exchange(m_countedBytes, bytes));
    }
}

void HopConnection::onHeartbeatTimer()
{
    // One period is counted also when the timer is late. This process may have been paused, and input that arrived
    // meanwhile has not been read yet.
    m_silentMs += m_connecting ? 0 : m_config.heartbeatIntervalMs;
    const bool isSilent = m_silentMs > m_config.silenceTimeoutMs;
    const bool connectTimedOut = m_connecting && monotonicMs() - m_openedAt >= m_config.connectTimeoutMs;
    if (connectTimedOut || (isSilent && !m_handlers.onSilent)) {
        fail();
        return;
    }
    m_heartbeatTimer = m_loop.runAfter(m_config.heartbeatIntervalMs, [this] { onHeartbeatTimer(); });
    if (!m_connecting && m_outWritten == m_out.size() && !isLargeFrameInProgress()) {
        wire::HopFrame frame;
        wire::HopBeat beat;
        beat.__set_sequence(++m_heartbeatsSent);
        beat.__set_state(wire::HostState::Serving);
        if (m_handlers.runningRequests) {
            const std::vector<std::int64_t> running = m_handlers.runningRequests();
            if (!running.empty()) {
                beat.__set_running(running);
            }
        }
        frame.__set_beat(beat);
        send(frame);
    }
    if (isSilent && !m_failed) {
        m_handlers.onSilent();
    }
}

} // namespace fulmarledge
