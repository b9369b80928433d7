#include "httpserver.h"

#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <pistache/peer.h>
#include <thread>

#include "httpconnection_p.h"
#include "ioloop.h"

namespace fulmarledge {

namespace {

namespace Http = Pistache::Http;

/// Pistache counts a connection that waits for its response as idle, so this exceeds the longest deadline of a request
/// (600 s).
constexpr std::chrono::seconds kIdleTimeout{900};
/// With the default of 128, 600 clients that connected at once overflowed the queue. Their SYNs were dropped and sent
/// again after 1 s.
constexpr int kListenBacklog = 1024;

/// Passes the bytes that Pistache reads to the `HttpConnection` attached to each peer.
class ConnectionHandler : public Http::Handler
{
public:
    HTTP_PROTOTYPE(ConnectionHandler)

    ConnectionHandler(std::shared_ptr<const HttpCallHandler> handler, std::size_t maxBodyBytes, IoLoop &writeLoop,
                      std::atomic<std::size_t> &unsentResponses)
        : m_handler(std::move(handler))
        , m_maxBodyBytes(maxBodyBytes)
        , m_writeLoop(&writeLoop)
        , m_unsentResponses(&unsentResponses)
    {
    }

    // Never called, because `onInput` bypasses Pistache's request handling.
    void onRequest(const Http::Request &, Http::ResponseWriter) override
    {
    }

private:
    static constexpr const char *kConnectionKey = "fulmarledge";

    void onConnection(const std::shared_ptr<Pistache::Tcp::Peer> &peer) override
    {
        // Pistache reads the timestamp of this parser to find idle connections. `onInput` resets it.
        peer->putData(ParserData, std::make_shared<Http::RequestParser>(0));
        peer->putData(kConnectionKey,
                      std::make_shared<HttpConnection>(peer->fd(), peer->address().host(), m_maxBodyBytes, m_handler,
                                                       *m_writeLoop, *m_unsentResponses));
    }
    void onInput(const char *buffer, std::size_t length, const std::shared_ptr<Pistache::Tcp::Peer> &peer) override
    {
        getParser(peer)->reset();
        std::static_pointer_cast<HttpConnection>(peer->getData(kConnectionKey))->onInput({buffer, length});
    }
    void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer> &peer) override
    {
        if (const std::shared_ptr<void> connection = peer->tryGetData(kConnectionKey)) {
            std::static_pointer_cast<HttpConnection>(connection)->onDisconnected();
        }
    }

    std::shared_ptr<const HttpCallHandler> m_handler;
    std::size_t m_maxBodyBytes;
    IoLoop *m_writeLoop;
    std::atomic<std::size_t> *m_unsentResponses;
};

} // namespace

struct HttpServer::Impl {
    explicit Impl(const Pistache::Address &address)
        : writerThread([this] { writeLoop.run(); })
        , endpoint(address)
    {
    }
    ~Impl()
    {
        endpoint.shutdown();
        writeLoop.stop();
        writerThread.join();
    }

    std::atomic<std::size_t> unsentResponses{0};
    IoLoop writeLoop; ///< writes the rest of responses that do not fit the socket's send buffer
    std::thread writerThread;
    Http::Endpoint endpoint;
};

HttpServer::HttpServer(const Settings &settings, HttpCallHandler handler)
    : m_impl(std::make_unique<Impl>(Pistache::Address(settings.address.ip, Pistache::Port(settings.address.port))))
{
    const Pistache::Flags<Pistache::Tcp::Options> flags(Pistache::Tcp::Options::ReuseAddr
                                                        | Pistache::Tcp::Options::NoDelay);
    auto options = Http::Endpoint::options()
                       .threads(settings.threads)
                       .flags(flags)
                       .headerTimeout(kIdleTimeout)
                       .bodyTimeout(kIdleTimeout)
                       .keepaliveTimeout(kIdleTimeout);
    m_impl->endpoint.init(options);
    // Pistache 0.0.5 ignores `Options::backlog`. Initialising the listener again sets the backlog.
    m_impl->endpoint.initArgs(static_cast<std::size_t>(settings.threads), flags, std::string(), kListenBacklog);
    m_impl->endpoint.setHandler(
        std::make_shared<ConnectionHandler>(std::make_shared<const HttpCallHandler>(std::move(handler)),
                                            settings.maxBodyBytes, m_impl->writeLoop, m_impl->unsentResponses));
    m_impl->endpoint.serveThreaded();
}

HttpServer::~HttpServer()
{
    stop();
}

std::size_t HttpServer::unsentResponses() const
{
    return m_impl->unsentResponses.load(std::memory_order_relaxed);
}

void HttpServer::stop()
{
    m_impl.reset();
}

} // namespace fulmarledge
