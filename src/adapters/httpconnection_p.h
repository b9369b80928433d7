#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "httpconnections_p.h"
#include "httpparser_p.h"
#include "httpserver.h"
#include "ioloop.h"
#include "responsequeue_p.h"
#include "socket.h"

namespace fulmarledge {

/// Server side of one HTTP connection. Input arrives on the loop's thread; responses are sent from any thread. The
/// descriptor stays open as long as a responder refers to the connection, as its number could otherwise be reused for
/// another client.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(std::shared_ptr<IoLoop> loop, Socket socket, std::shared_ptr<HttpConnections> connections,
                   bool isOverLimit);
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    const IoLoop &loop() const
    {
        return *m_loop;
    }
    /// Begins to read. On the loop's thread.
    void start();
    /// Ends the connection and reports it as closed. On the loop's thread.
    void disconnect();
    /// Closes the connection, or refuses its request, if it has exceeded a time limit. On the loop's thread.
    void checkTimeouts(TimeMs now, const HttpLimits &limits);
    /// Time since when the connection has been idle, 0 when it is not.
    TimeMs idleSince();
    /// Closes the connection if it is idle. Returns false if not.
    bool closeIfIdle(CloseReason reason);
    /// Implements `HttpResponder::onClosed`.
    void onClosed(ResponseQueue::Number request, std::function<void()> callback);
    /// Gives the response to a request. It is sent after the responses to the requests before it. Ignored if the
    /// request has a response or was cancelled.
    void respond(ResponseQueue::Number request, int status, const HttpFields &fields, std::string body);
    void sendRawAndClose(ResponseQueue::Number request, const std::string &bytes);

private:
    using Lock = std::unique_lock<std::mutex>;
    using Callbacks = std::vector<ResponseQueue::Callback>;

    void onEvents(std::uint32_t events);
    /// Reads what is available. Returns false when the connection has ended.
    bool readAvailable();
    /// The client sends no more. Returns false if no response is being written to it.
    bool endInput();
    void onInput(std::string_view bytes);
    bool isIdle() const;
    void close(CloseReason reason);
    /// Starts the buffered requests until one is incomplete or has to wait for those before it.
    void handleBufferedRequests(Lock &lock);
    /// Passes the next request to the handler. Returns false if it is incomplete. Unlocks while the handler runs.
    bool handleNextRequest(Lock &lock);
    /// Whether the requests in progress allow a further one to start.
    bool hasRoomForRequest();
    /// Counts a request that waits for those before it, once. Returns false.
    bool holdBack(HoldReason reason);
    /// Refuses what has been received before it is passed to the handler. The connection is closed after the refusal.
    /// Unlocks meanwhile.
    void refuse(Lock &lock, int status, Reason reason, const std::string &text);
    void countHeldBytes();
    /// Updates this connection's part of the counters of all connections.
    void countQueue();
    void setResponse(ResponseQueue::Number request, ResponseQueue::Response response);
    void write(ResponseQueue::Response response);
    /// Writes a part of the unsent bytes. Returns false if the connection has failed.
    bool writeUnsent();
    /// Writes the responses whose turn it is.
    /// @param hasWritten a response has just been completely written
    void writeReadyResponses(Lock &lock, bool hasWritten);
    /// Selects the events that the loop reports. On the loop's thread.
    void updateEvents();

    const std::shared_ptr<IoLoop> m_loop;
    const Socket m_socket;
    const std::shared_ptr<HttpConnections> m_connections;
    const std::string m_peerIp;
    const bool m_isOverLimit;
    std::mutex m_mutex;
    HttpParser m_parser;
    ResponseQueue m_queue; ///< requests in progress
    std::size_t m_heldBytes = 0; ///< this connection's part of HttpConnections::heldBytes
    std::size_t m_unsentResponses = 0; ///< this connection's part of HttpConnections::unsentResponses
    std::size_t m_besideRequests = 0; ///< this connection's part of HttpConnections::besideRequests
    TimeMs m_lastInputMs;
    TimeMs m_lastOutputMs;
    TimeMs m_requestSinceMs = 0; ///< first byte of an incomplete request; 0 without one
    std::uint32_t m_events = 0; ///< reported by the loop; used on its thread only
    bool m_inputPaused = false; ///< the loop does not report input
    bool m_inputEnded = false; ///< the client has closed its sending side
    bool m_handlingRequests = false; ///< `handleBufferedRequests` is running
    bool m_closed = false;
    bool m_isHeldBack = false; ///< the next request is counted as held back
    CloseReason m_closeReason = CloseReason::Peer;
};

} // namespace fulmarledge
