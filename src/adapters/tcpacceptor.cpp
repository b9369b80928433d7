#include "tcpacceptor.h"

#include <cerrno>
#include <sys/epoll.h>
#include <utility>

namespace fulmarledge {

namespace {

constexpr std::int64_t kPauseMs = 100;
/// Connections accepted in one turn of the loop, so that a flood of them does not delay the others.
constexpr int kMaxAcceptsPerTurn = 64;

bool isOutOfResources(int error)
{
    return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

} // namespace

TcpAcceptor::TcpAcceptor(IoLoop &loop, Socket listener, Handlers handlers)
    : m_loop(loop)
    , m_listener(std::move(listener))
    , m_handlers(std::move(handlers))
{
    watch();
}

TcpAcceptor::~TcpAcceptor()
{
    pause();
    m_loop.cancel(m_resumeTimer);
}

void TcpAcceptor::watch()
{
    m_loop.addFd(m_listener.fd(), EPOLLIN, [this](std::uint32_t) { acceptAvailable(); });
}

void TcpAcceptor::pause()
{
    if (isValid(m_resumeTimer)) {
        return;
    }
    m_loop.removeFd(m_listener.fd());
    m_resumeTimer = m_loop.runAfter(kPauseMs, [this] {
        m_resumeTimer = {};
        watch();
    });
}

void TcpAcceptor::acceptAvailable()
{
    for (int i = 0; i < kMaxAcceptsPerTurn && !isValid(m_resumeTimer); ++i) {
        errno = 0;
        std::optional<Socket> socket = acceptTcp(m_listener);
        if (socket) {
            m_handlers.onAccept(std::move(*socket));
            continue;
        }
        if (!isOutOfResources(errno)) {
            return;
        }
        pause();
        if (m_handlers.onNoDescriptor) {
            m_handlers.onNoDescriptor();
        }
    }
}

} // namespace fulmarledge
