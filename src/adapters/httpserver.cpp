#include "httpserver.h"

#include <algorithm>
#include <stdexcept>
#include <thread>
#include <vector>

#include "httpconnection_p.h"
#include "ioloop.h"
#include "socket.h"
#include "tcpacceptor.h"

namespace fulmarledge {

namespace {

/// Period in which the time limits of connections are checked.
constexpr std::int64_t kCheckPeriodMs = 500;

Socket openListener(const SocketAddress &address)
{
    LastReason error;
    std::optional<Socket> listener = listenTcp(address, error);
    if (!listener) {
        throw std::runtime_error(error.text());
    }
    return std::move(*listener);
}

} // namespace

struct HttpServer::Impl {
    struct Worker {
        std::shared_ptr<IoLoop> loop = std::make_shared<IoLoop>(); ///< connections may outlive the server
        std::thread thread;
    };

    Impl(const Settings &settings, HttpCallHandler handler);
    ~Impl();

    void onAccept(Socket socket);
    void scheduleChecks(IoLoop &loop);

    std::shared_ptr<HttpConnections> connections;
    std::vector<std::unique_ptr<Worker>> workers;
    std::size_t nextWorker = 0;
    std::unique_ptr<TcpAcceptor> acceptor; ///< on the loop of the first worker
};

HttpServer::Impl::Impl(const Settings &settings, HttpCallHandler handler)
    : connections(std::make_shared<HttpConnections>(settings, std::move(handler)))
{
    for (int i = 0; i < std::max(settings.threads, 1); ++i) {
        workers.push_back(std::make_unique<Worker>());
        scheduleChecks(*workers.back()->loop);
    }
    acceptor
        = std::make_unique<TcpAcceptor>(*workers.front()->loop, openListener(settings.address),
                                        TcpAcceptor::Handlers{[this](Socket socket) { onAccept(std::move(socket)); },
                                                              [this] {
                                                                  connections->countOverLimit();
                                                                  connections->closeLongestIdle();
                                                              }});
    for (const auto &worker : workers) {
        worker->thread = std::thread([&loop = *worker->loop] { loop.run(); });
    }
}

HttpServer::Impl::~Impl()
{
    for (const auto &worker : workers) {
        worker->loop->stop();
        worker->thread.join();
    }
    acceptor.reset();
    for (const auto &worker : workers) {
        for (const auto &connection : connections->connectionsOf(*worker->loop)) {
            connection->disconnect();
        }
    }
}

void HttpServer::Impl::onAccept(Socket socket)
{
    const bool hasRoom = connections->makeRoom();
    if (!hasRoom) {
        connections->countOverLimit();
        if (!connections->hasRoomToRefuse()) {
            acceptor->pause();
        }
    }
    const std::shared_ptr<IoLoop> &loop = workers[nextWorker++ % workers.size()]->loop;
    const auto connection = std::make_shared<HttpConnection>(loop, std::move(socket), connections, !hasRoom);
    connections->add(connection);
    if (loop == workers.front()->loop) {
        connection->start();
    } else {
        loop->post([connection] { connection->start(); });
    }
}

void HttpServer::Impl::scheduleChecks(IoLoop &loop)
{
    loop.runAfter(kCheckPeriodMs, [this, &loop] {
        const TimeMs now = monotonicMs();
        const HttpLimits limits = connections->limits();
        for (const auto &connection : connections->connectionsOf(loop)) {
            connection->checkTimeouts(now, limits);
        }
        scheduleChecks(loop);
    });
}

HttpServer::HttpServer(const Settings &settings, HttpCallHandler handler)
    : m_impl(std::make_unique<Impl>(settings, std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::setLimits(const HttpLimits &limits)
{
    m_impl->connections->setLimits(limits);
}

void HttpServer::closeAfterResponses()
{
    m_impl->connections->closesAfterResponses.store(true, std::memory_order_relaxed);
}

std::size_t HttpServer::unsentResponses() const
{
    return m_impl->connections->unsentResponses.load(std::memory_order_relaxed);
}

HttpServerStats HttpServer::stats() const
{
    return m_impl->connections->stats();
}

TimeMs HttpServer::lastTurnMs() const
{
    TimeMs oldest = monotonicMs();
    for (const auto &worker : m_impl->workers) {
        oldest = std::min(oldest, worker->loop->lastTurnMs());
    }
    return oldest;
}

void HttpServer::stop()
{
    m_impl.reset();
}

} // namespace fulmarledge
