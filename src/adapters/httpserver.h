#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "fulmarledge/callermemory.h"
#include "fulmarledge/types.h"
#include "httpclient.h"
#include "memorybudget.h"

namespace fulmarledge {

/// Sends the response to one request. May be used from any thread, but only once.
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;
    /// Sets the callback that runs, on any thread, if the request is cancelled before a response is given: because the
    /// connection is closed, or because an earlier response closes it. If that has happened already, the callback runs
    /// at once.
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
    bool isOverLimit = false; ///< its connection exceeds the limit and is closed after the response
    /// Started, as one that `HttpServer::Settings::mayRunBeside` allows, before earlier requests of its connection were
    /// answered.
    bool runsBeside = false;
    std::shared_ptr<HttpResponder> responder;
};

using HttpCallHandler = std::function<void(HttpCall)>;

/// What a client may send, and how long it may take.
struct HttpLimits {
    std::size_t maxBodyBytes = 8 * 1024 * 1024;
    std::size_t maxHeaderBytes = 64 * 1024;
    TimeMs headerTimeoutMs = 30000; ///< from the first byte of a request to the end of its header
    TimeMs idleTimeoutMs = 75000; ///< without input, between requests and in the body of a request
};

/// Why a connection was closed.
enum class CloseReason : std::uint8_t {
    Peer, ///< the client closed it, or it failed
    Response, ///< after a response that announced it
    Idle, ///< idle for longer than the limit
    SlowRequest, ///< the header or a part of the body took too long
    SlowReader, ///< the client did not read its response
    NoDescriptor, ///< idle, when the limit of connections was reached
    CallerMemory, ///< it held much of the memory for callers, which was nearly full
    Count
};

/// Stable name of a reason, in lower case with hyphens.
std::string_view closeReasonName(CloseReason reason);

/// Why a request that was sent ahead is not started beside the earlier ones of its connection.
enum class HoldReason : std::uint8_t {
    NotRepeatable, ///< it, or the request before it, may not run more than once
    Memory, ///< too many bytes of responses wait, on its connection or in all
    TooMany, ///< too many requests run beside others, on all connections together
    Closing, ///< the connection closes when its requests in progress are answered
    Count
};

/// Stable name of a reason, in lower case with hyphens.
std::string_view holdReasonName(HoldReason reason);

struct HttpServerStats {
    std::size_t openConnections = 0;
    std::uint64_t overLimit = 0; ///< connections accepted above the limit, and times that no descriptor was free
    std::array<std::uint64_t, static_cast<std::size_t>(CloseReason::Count)> closed{}; ///< by CloseReason
    std::uint64_t refusedForMemory = 0; ///< requests that were refused while they were received
    std::size_t memoryBytes = 0; ///< held for callers; the kernel's part is counted only near the limit
    std::uint64_t startedBeside = 0; ///< requests started beside earlier ones of their connections
    std::array<std::uint64_t, static_cast<std::size_t>(HoldReason::Count)> heldBack{}; ///< requests, by HoldReason
};

/// HTTP/1.1 server. Requests of one connection are handled one after another or, with `Settings::pipeline` above 1,
/// side by side if they may run more than once. Responses are sent in the order of the requests. The handler runs on
/// the server's threads or, for a pipelined request, on the thread that completes an earlier response.
///
/// A connection is closed when it exceeds a time limit. When there are `maxConnections`, a new one takes the place of
/// the one that has been idle longest. If none is idle, the requests of further connections are marked `isOverLimit`.
class HttpServer
{
public:
    struct Settings {
        SocketAddress address;
        int threads = 1;
        HttpLimits limits = {};
        std::size_t maxConnections = 1024;
        std::size_t maxHeldBytes = std::size_t{128} * 1024 * 1024; ///< incomplete requests of all connections
        std::shared_ptr<MemoryBudget> responseMemory = std::make_shared<MemoryBudget>(); ///< counts unsent responses
        std::size_t pipeline = 1; ///< requests of one connection that run at once
        std::size_t maxBeside = 2048; ///< requests of all connections that run beside earlier ones of theirs
        /// Whether a request may run more than once, and so beside others. Without it, none may. Called under a lock.
        std::function<bool(const HttpCall &)> mayRunBeside = {};
        CallerMemoryPlan memory = {}; ///< limits of everything held for clients together
        /// Bytes of requests that the handler holds, counted towards `memory`. May be empty.
        std::function<std::size_t()> bytesInProgress = {};
    };

    /// Throws if the address cannot be bound.
    HttpServer(const Settings &settings, HttpCallHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Sets the limits of open and new connections. Sizes apply from the next request of a connection on. Thread-safe.
    void setLimits(const HttpLimits &limits);
    /// From now on, closes each connection when its requests in progress are answered. The last response says so.
    /// Behind requests in progress no further one is started. Thread-safe.
    void closeAfterResponses();
    /// Responses that were given to `HttpResponder::send` and are not completely handed to the kernel. Must not be
    /// called after `stop`.
    std::size_t unsentResponses() const;
    /// Must not be called after `stop`.
    HttpServerStats stats() const;
    /// Oldest `IoLoop::lastTurnMs` of the server's threads. Must not be called after `stop`.
    TimeMs lastTurnMs() const;
    /// Closes the listener and ends the server's threads.
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace fulmarledge
