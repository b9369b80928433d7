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
#include <vector>

#include "hop.h"

namespace fulmarledge {

namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

constexpr std::size_t kPrefixBytes = 4;
constexpr std::size_t kReadBytes = 64 * 1024;
/// Most bytes read from a connection in one turn of the event loop, so that it does not delay the other connections of
/// the thread by much. Checked after each read of `kReadBytes`.
constexpr std::size_t kReadPerTurn = 1024 * 1024;
/// Frames of at least this size are large. Smaller ones delay other frames by less than the burst of a paced link.
constexpr std::size_t kLargeFrameBytes = 16 * 1024;

void appendFrame(std::string &out, const wire::HopFrame &frame)
{
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocol protocol(buffer);
    frame.write(&protocol);
    std::uint8_t *data = nullptr;
    std::uint32_t size = 0;
    buffer->getBuffer(&data, &size);
    const std::uint32_t prefix = htonl(size);
    out.append(reinterpret_cast<const char *>(&prefix), sizeof(prefix));
    out.append(reinterpret_cast<const char *>(data), size);
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

} // namespace

HopLink::HopLink(IoLoop &loop, int fd, bool connecting, const HopConfig &config, Handlers handlers,
                 LargeFrameGate *gate)
    : m_loop(loop)
    , m_fd(fd)
    , m_connecting(connecting)
    , m_wantWrite(connecting)
    , m_config(config)
    , m_handlers(std::move(handlers))
    , m_opened(monotonicMs())
    , m_lastRead(m_opened)
    , m_gate(gate)
{
    m_loop.addFd(m_fd, EPOLLIN | (connecting ? EPOLLOUT : 0U), [this](std::uint32_t events) { onEvents(events); });
    m_beatTimer = m_loop.runAfter(m_config.beatMs, [this] { onBeat(); });
}

HopLink::~HopLink()
{
    if (m_gate != nullptr) {
        m_gate->waitingChanged(-static_cast<std::ptrdiff_t>(m_largeBytes));
    }
    *m_alive = false;
    m_loop.cancel(m_beatTimer);
    m_loop.cancel(m_failTimer);
    m_loop.removeFd(m_fd);
    ::close(m_fd);
}

std::uint64_t HopLink::send(const wire::HopFrame &frame)
{
    if (m_failed) {
        return 0;
    }
    const std::size_t before = m_out.size();
    appendFrame(m_out, frame);
    const std::size_t added = m_out.size() - before;
    const std::size_t waiting = m_out.size() - m_outStart + m_largeBytes;
    if (added > m_config.maxFrameBytes || waiting > m_config.maxOutstandingBytes) {
        m_out.resize(before);
        return 0;
    }
    m_queued += added;
    if (m_gate != nullptr && added >= kLargeFrameBytes) {
        m_large.push_back({frame.response.id, m_out.substr(before)});
        m_largeBytes += added;
        m_gate->waitingChanged(static_cast<std::ptrdiff_t>(added));
        m_out.resize(before);
        m_gate->wantsToWrite(*this);
    } else {
        flush();
    }
    return m_queued;
}

std::size_t HopLink::write(std::string_view bytes)
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
    m_written += total;
    return total;
}

void HopLink::flush()
{
    // No other frame can begin until the large one in progress is completely written.
    if (m_connecting || m_failed || isAmidLarge()) {
        return;
    }
    if (m_outStart < m_out.size()) {
        const std::size_t sent = write(std::string_view(m_out).substr(m_outStart));
        m_outStart += sent;
        if (m_gate != nullptr) {
            m_gate->wroteSmall(sent);
        }
    }
    if (m_outStart == m_out.size()) {
        m_out.clear();
        m_outStart = 0;
    }
    watch(m_outStart < m_out.size());
}

std::size_t HopLink::writeLarge(std::size_t maxBytes)
{
    flush();
    if (m_connecting || m_failed || isBlocked() || m_large.empty()) {
        return 0;
    }
    const std::string_view rest = std::string_view(m_large.front().bytes).substr(m_largeStart);
    const std::size_t allowed = std::min(rest.size(), maxBytes);
    const std::size_t sent = write(rest.substr(0, allowed));
    m_largeStart += sent;
    m_largeBytes -= sent;
    m_gate->waitingChanged(-static_cast<std::ptrdiff_t>(sent));
    if (sent == rest.size()) {
        m_large.pop_front();
        m_largeStart = 0;
        flush();
    } else {
        watch(sent < allowed);
    }
    return sent;
}

void HopLink::dropLarge(std::int64_t id)
{
    const auto found
        = std::find_if(m_large.begin(), m_large.end(), [id](const LargeFrame &frame) { return frame.id == id; });
    if (found != m_large.end() && (found != m_large.begin() || !isAmidLarge())) {
        m_largeBytes -= found->bytes.size();
        m_gate->waitingChanged(-static_cast<std::ptrdiff_t>(found->bytes.size()));
        m_large.erase(found);
    }
}

void HopLink::watch(bool wantWrite)
{
    if (wantWrite != m_wantWrite && !m_failed) {
        m_wantWrite = wantWrite;
        m_loop.modifyFd(m_fd, EPOLLIN | (wantWrite ? EPOLLOUT : 0U));
    }
}

void HopLink::fail()
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

void HopLink::onEvents(std::uint32_t events)
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
        m_lastRead = monotonicMs();
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
    const bool wasBlocked = m_wantWrite;
    flush();
    if (isAmidLarge() && (events & EPOLLOUT) != 0U) {
        watch(false);
    }
    if (m_gate != nullptr && hasLarge() && wasBlocked && !isBlocked()) {
        m_gate->wantsToWrite(*this);
    }
}

bool HopLink::readAvailable()
{
    const std::shared_ptr<bool> alive = m_alive;
    thread_local std::vector<char> buffer(kReadBytes);
    std::size_t turn = 0;
    while (turn < kReadPerTurn) {
        const ssize_t got = ::recv(m_fd, buffer.data(), buffer.size(), 0);
        if (got < 0) {
            return errno == EAGAIN || errno == EINTR;
        }
        if (got == 0) {
            return false;
        }
        m_in.append(buffer.data(), static_cast<std::size_t>(got));
        m_lastRead = monotonicMs();
        turn += static_cast<std::size_t>(got);
        if (!parseFrames() || !*alive) {
            return false;
        }
        if (static_cast<std::size_t>(got) < kReadBytes) {
            return true;
        }
    }
    return true;
}

bool HopLink::parseFrames()
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
            break;
        }
        wire::HopFrame frame;
        if (!decodeFrame(rest.substr(kPrefixBytes, size - kPrefixBytes), frame)) {
            return false;
        }
        start += size;
        if (!frame.__isset.beat) {
            m_handlers.onFrame(std::move(frame));
            if (!*alive) {
                return false;
            }
        }
    }
    m_in.erase(0, start);
    return true;
}

void HopLink::onBeat()
{
    const TimeMs now = monotonicMs();
    const bool late
        = m_connecting ? now - m_opened >= m_config.connectTimeoutMs : now - m_lastRead >= m_config.silenceMs;
    if (late) {
        fail();
        return;
    }
    m_beatTimer = m_loop.runAfter(m_config.beatMs, [this] { onBeat(); });
    if (!m_connecting && m_outStart == m_out.size() && !isAmidLarge()) {
        wire::HopFrame frame;
        wire::HopBeat beat;
        beat.__set_sequence(++m_beats);
        beat.__set_state(wire::HostState::Serving);
        frame.__set_beat(beat);
        send(frame);
    }
}

} // namespace fulmarledge
