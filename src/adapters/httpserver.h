#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "fulmarledge/types.h"
#include "httpclient.h"

namespace fulmarledge {

/// Sends the response of one call. May be used from any thread, once.
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;
    /// Runs `callback` on any thread when the caller closes its connection before the response is sent.
    virtual void onClosed(std::function<void()> callback) = 0;
    /// For a HEAD call, a `Content-Length` field is passed on and the body is not sent.
    virtual void send(int status, const HttpFields &fields, std::string body) = 0;
    /// Writes `bytes` as they are and closes the connection. For stand-ins that break connections on purpose.
    virtual void sendRawAndClose(const std::string &bytes) = 0;
};

struct HttpCall {
    std::string method;
    std::string path; ///< as received, not decoded
    std::string query; ///< with the leading "?", or empty
    HttpFields fields;
    std::string body;
    std::string peerIp;
    std::shared_ptr<HttpResponder> responder;
};

using HttpCallHandler = std::function<void(HttpCall)>;

/// HTTP/1.1 server. Pistache accepts connections and reads from them; messages are parsed and written here. The handler
/// runs on the server's threads. Calls of one connection are handled one after another.
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

    void stop();

private:
    struct Shared;
    std::unique_ptr<Shared> m_shared;
};

} // namespace fulmarledge
