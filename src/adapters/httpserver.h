#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "fulmarledge/types.h"
#include "httpclient.h"

namespace fulmarledge {

/// Sends the response to one request. May be used from any thread, but only once.
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;
    /// Sets the callback that runs, on any thread, if the connection is closed before a response is sent. If it is
    /// closed already, the callback runs at once.
    virtual void onClosed(std::function<void()> callback) = 0;
    /// Sends a response. To a HEAD request, a `Content-Length` in `fields` is sent unchanged and the body is not sent.
    virtual void send(int status, const HttpFields &fields, std::string body) = 0;
    /// Writes `bytes` unchanged and closes the connection. For test servers that break connections on purpose.
    virtual void sendRawAndClose(const std::string &bytes) = 0;
};

/// Request received by `HttpServer`.
struct HttpCall {
    std::string method;
    std::string path; ///< as received, without percent-decoding
    std::string query; ///< with the leading "?", or empty
    HttpFields fields;
    std::string body;
    std::string peerIp;
    std::shared_ptr<HttpResponder> responder;
};

using HttpCallHandler = std::function<void(HttpCall)>;

/// HTTP/1.1 server. Pistache only accepts connections and reads from them. This class delimits the requests and writes
/// the responses. Requests of one connection are handled one after another. The handler runs on the server's threads
/// or, for a pipelined request, on the thread that completes the previous response.
class HttpServer
{
public:
    struct Settings {
        SocketAddress address;
        int threads = 1;
        std::size_t maxBodyBytes = 8 * 1024 * 1024;
    };

    HttpServer(const Settings &settings, HttpCallHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Responses that were given to `HttpResponder::send` and are not completely handed to the kernel. Must not be
    /// called after `stop`.
    std::size_t unsentResponses() const;
    /// Closes the listener and ends the server's threads.
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace fulmarledge
