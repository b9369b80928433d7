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
/// Bytes read in one turn of the event loop, so that one connection does not hold up the others of its thread.
constexpr std::size_t kReadPerTurn = 1024 * 1024;

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
        // The buffer is only observed: the protocol does not write to it.
        auto *data = reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data()));
        const auto buffer = std::make_shared<TMemoryBuffer>(data, static_cast<std::uint32_t>(bytes.size()));
        TCompactProtocol protocol(buffer);
        frame.read(&protocol);
        return true;
    } catch (const apache::thrift::TException &) {
        return false;
    }
}

/// Size of the frame at the start of `bytes`, or 0 when the prefix is not complete.
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

HopLink::HopLink(IoLoop &loop, int fd, bool connecting, const HopConfig &config, Handlers handlers)
    : m_loop(loop)
    , m_fd(fd)
    , m_connecting(connecting)
    , m_wantWrite(connecting)
    , m_config(config)
    , m_handlers(std::move(handlers))
    , m_opened(monotonicMs())
    , m_lastRead(m_opened)
{
    m_loop.addFd(m_fd, EPOLLIN | (connecting ? EPOLLOUT : 0U), [this](std::uint32_t events) { onEvents(events); });
    m_beatTimer = m_loop.runAfter(m_config.beatMs, [this] { onBeat(); });
}

HopLink::~HopLink()
{
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
    if (added > m_config.maxFrameBytes || m_out.size() - m_outStart > m_config.maxOutstandingBytes) {
        m_out.resize(before);
        return 0;
    }
    m_queued += added;
    flush();
    return m_queued;
}

void HopLink::flush()
{
    if (m_connecting || m_failed) {
        return;
    }
    while (m_outStart < m_out.size()) {
        const ssize_t sent = ::send(m_fd, m_out.data() + m_outStart, m_out.size() - m_outStart, MSG_NOSIGNAL);
        if (sent < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                fail();
            }
            break;
        }
        m_outStart += static_cast<std::size_t>(sent);
        m_written += static_cast<std::uint64_t>(sent);
    }
    if (m_outStart == m_out.size()) {
        m_out.clear();
        m_outStart = 0;
    }
    watch();
}

void HopLink::watch()
{
    const bool wantWrite = m_connecting || m_outStart < m_out.size();
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
    // Reported from the loop: the caller may be in the middle of `send`.
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
    flush();
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
    if (!m_connecting && m_outStart == m_out.size()) {
        wire::HopFrame frame;
        wire::HopBeat beat;
        beat.__set_sequence(++m_beats);
        beat.__set_state(wire::HostState::Serving);
        frame.__set_beat(beat);
        send(frame);
    }
}

} // namespace fulmarledge
