#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unistd.h>

#include "httpparser_p.h"
#include "httpserver.h"
#include "ioloop.h"

namespace fulmarledge {

/// Server side of one HTTP connection. Writes to a duplicate of Pistache's descriptor. Pistache may close its own while
/// a response is pending, and the same number may then refer to another client's connection.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(int fd, std::string peerIp, std::size_t maxBodyBytes, std::shared_ptr<const HttpCallHandler> handler,
                   IoLoop &writeLoop, std::atomic<std::size_t> &unsentResponses)
        : m_fd(::dup(fd))
        , m_peerIp(std::move(peerIp))
        , m_maxBodyBytes(maxBodyBytes)
        , m_parser(maxBodyBytes)
        , m_handler(std::move(handler))
        , m_writeLoop(writeLoop)
        , m_unsentResponses(unsentResponses)
    {
    }
    ~HttpConnection()
    {
        ::close(m_fd);
    }
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// Parses received bytes and passes complete requests to the handler.
    void onInput(std::string_view bytes);
    /// To be called when Pistache has closed its side of the connection.
    void onDisconnected();
    /// Implements `HttpResponder::onClosed`.
    void onClosed(std::function<void()> callback);
    /// Sends the response to the request in progress.
    void respond(int status, const HttpFields &fields, std::string body);
    void sendRawAndClose(const std::string &bytes);

private:
    using Lock = std::unique_lock<std::mutex>;

    /// Handles the buffered requests until one is in progress or incomplete.
    void handleBufferedRequests(Lock &lock);
    /// Passes the next request to the handler. Returns false if it is incomplete. Unlocks while the handler runs.
    bool handleNextRequest(Lock &lock);
    void write(std::string header, std::string body);
    /// Writes `rest` on the write loop as the socket becomes writable.
    void writeWhenWritable(std::string rest);
    /// Writes a part of `rest` and removes it. Returns false if the connection has failed.
    bool writeAvailable(std::string &rest) const;
    void onResponseWritten();

    const int m_fd;
    const std::string m_peerIp;
    const std::size_t m_maxBodyBytes;
    std::mutex m_mutex;
    HttpParser m_parser;
    const std::shared_ptr<const HttpCallHandler> m_handler;
    IoLoop &m_writeLoop;
    std::atomic<std::size_t> &m_unsentResponses; ///< responses of the server that wait for their sockets
    bool m_requestInProgress = false; ///< from the dispatch of a request until its response is written
    bool m_handlingRequests = false; ///< `handleBufferedRequests` is running
    bool m_closed = false;
    bool m_closeAfterResponse = false; ///< close after the current response, and ignore further input
    bool m_isHeadRequest = false; ///< the current request is a HEAD request
    std::function<void()> m_onClosed;
};

} // namespace fulmarledge
