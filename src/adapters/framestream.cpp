#include "framestream.h"

#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>

namespace fulmarledge {

namespace {

constexpr std::size_t kPrefixBytes = 4;
constexpr std::size_t kReadBufferBytes = 64 * 1024;

std::uint32_t readPrefix(const char *data)
{
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < kPrefixBytes; ++i) {
        length = (length << 8U) | static_cast<std::uint8_t>(data[i]);
    }
    return length;
}

void appendPrefix(std::string &out, std::uint32_t length)
{
    for (int shift = 24; shift >= 0; shift -= 8) {
        out += static_cast<char>((length >> static_cast<unsigned>(shift)) & 0xffU);
    }
}

} // namespace

FrameStream::FrameStream(IoLoop &loop, Socket socket, std::size_t maxFrameBytes)
    : m_loop(loop)
    , m_socket(std::move(socket))
    , m_maxFrameBytes(maxFrameBytes)
{
}

FrameStream::~FrameStream()
{
    *m_alive = false;
    if (m_onClose) {
        m_loop.removeFd(m_socket.fd());
    }
}

void FrameStream::start(FrameHandler onFrame, CloseHandler onClose)
{
    m_onFrame = std::move(onFrame);
    m_onClose = std::move(onClose);
    m_loop.addFd(m_socket.fd(), EPOLLIN | EPOLLOUT, [this](std::uint32_t events) { onEvents(events); });
}

void FrameStream::send(std::string_view payload)
{
    appendPrefix(m_out, static_cast<std::uint32_t>(payload.size()));
    m_out.append(payload);
    // Frames that are sent in the same turn of the event loop are written together.
    if (!m_flushPosted && !m_writeInterest) {
        m_flushPosted = true;
        m_loop.post([this, alive = m_alive] {
            if (!*alive) {
                return;
            }
            m_flushPosted = false;
            if (!flush()) {
                fail();
            }
        });
    }
}

void FrameStream::onEvents(std::uint32_t events)
{
    const std::shared_ptr<bool> alive = m_alive;
    if ((events & EPOLLOUT) != 0U && !flush()) {
        fail();
        return;
    }
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0U && !readAvailable() && *alive) {
        fail();
    }
}

bool FrameStream::readAvailable()
{
    std::array<char, kReadBufferBytes> buffer;
    const std::shared_ptr<bool> alive = m_alive;
    while (true) {
        const ssize_t received = ::recv(m_socket.fd(), buffer.data(), buffer.size(), 0);
        if (received == 0) {
            return false;
        }
        if (received < 0) {
            return errno == EAGAIN || errno == EINTR;
        }
        m_in.append(buffer.data(), static_cast<std::size_t>(received));
        if (!deliverFrames()) {
            return false;
        }
        if (!*alive) {
            return true;
        }
        if (static_cast<std::size_t>(received) < buffer.size()) {
            return true;
        }
    }
}

bool FrameStream::deliverFrames()
{
    const std::shared_ptr<bool> alive = m_alive;
    std::size_t position = 0;
    while (m_in.size() - position >= kPrefixBytes) {
        const std::size_t length = readPrefix(m_in.data() + position);
        if (length > m_maxFrameBytes) {
            return false;
        }
        if (m_in.size() - position - kPrefixBytes < length) {
            break;
        }
        const auto *data = reinterpret_cast<const std::uint8_t *>(m_in.data() + position + kPrefixBytes);
        m_onFrame(std::span(data, length));
        if (!*alive) {
            return true;
        }
        position += kPrefixBytes + length;
    }
    m_in.erase(0, position);
    return true;
}

bool FrameStream::flush()
{
    while (m_outWritten < m_out.size()) {
        const ssize_t sent
            = ::send(m_socket.fd(), m_out.data() + m_outWritten, m_out.size() - m_outWritten, MSG_NOSIGNAL);
        if (sent < 0) {
            if (errno == EAGAIN) {
                break;
            }
            if (errno == EINTR) {
                continue;
            }
            return false;
        }
        m_outWritten += static_cast<std::size_t>(sent);
    }
    if (m_outWritten == m_out.size()) {
        m_out.clear();
        m_outWritten = 0;
    }
    updateWriteInterest();
    return true;
}

void FrameStream::updateWriteInterest()
{
    const bool wanted = m_outWritten < m_out.size();
    if (wanted != m_writeInterest) {
        m_writeInterest = wanted;
        m_loop.modifyFd(m_socket.fd(), wanted ? EPOLLIN | EPOLLOUT : EPOLLIN);
    }
}

void FrameStream::fail()
{
    if (m_onClose) {
        m_loop.removeFd(m_socket.fd());
        const CloseHandler handler = std::move(m_onClose);
        m_onClose = nullptr;
        handler();
    }
}

} // namespace fulmarledge
