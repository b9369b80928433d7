#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "memorybudget.h"

namespace fulmarledge {

/// What the order of a connection's requests depends on.
struct RequestTraits {
    bool isHead = false;
    bool isRepeatable = false;
};

/// Response that waits for its turn.
struct PreparedResponse {
    std::string header; ///< without the fields that tell whether the connection is kept
    std::string body;
    bool isRaw = false; ///< `header` holds bytes that are sent unchanged, and then the connection is closed
};

/// Entry of a ResponseQueue.
struct QueuedRequest {
    enum class State : std::uint8_t { Running, Ready, Writing };

    RequestTraits request;
    State state = State::Running;
    std::function<void()> onCancelled;
    PreparedResponse response;
    std::size_t heldBytes = 0; ///< of the response, while it waits for those before it
};

/// Requests of one connection that have been started and whose responses are not completely written, in the order of
/// the requests. A response waits here until those before it are written. Not thread-safe.
class ResponseQueue
{
public:
    /// Number of a request on its connection. Numbers are not used again, so that a late or repeated response meets no
    /// other request.
    using Number = std::uint64_t;
    using Callback = std::function<void()>;

    using Request = RequestTraits;
    using Response = PreparedResponse;

    /// Bytes of unsent responses at which no further request of the connection is started.
    static constexpr std::size_t kMaxHeldBytes = std::size_t{256} * 1024;

    /// @param memory counts the bytes that are held; must outlive the queue
    explicit ResponseQueue(MemoryBudget &memory);
    ~ResponseQueue();
    ResponseQueue(const ResponseQueue &) = delete;
    ResponseQueue &operator=(const ResponseQueue &) = delete;

    /// Adds a started request behind the others. Must not be called after the queue is closing.
    Number add(const Request &request);
    bool isEmpty() const
    {
        return !m_first;
    }
    std::size_t size() const
    {
        return m_first ? 1 + m_behind.size() : 0;
    }
    /// Whether all requests in the queue may run more than once.
    bool areAllRepeatable() const;
    /// Whether no further request may be added, because the last response closes the connection.
    bool isClosing() const
    {
        return m_closing;
    }
    /// Bytes of responses that wait for their turn or for the socket.
    std::size_t heldBytes() const
    {
        return m_heldBytes;
    }
    /// Whether the bytes that are held leave no room to start a further request.
    bool isFull() const
    {
        return m_heldBytes >= kMaxHeldBytes || m_memory.isFull();
    }
    /// Responses that were set and are not completely written.
    std::size_t unsentResponses() const;

    /// Returns the request that has no response yet, or null when it has one, was cancelled or is unknown.
    const Request *findRunning(Number number) const;
    /// Whether the request was dropped before it had a response.
    bool isCancelled(Number number) const
    {
        return number >= m_firstCancelled;
    }
    /// Sets the callback that runs if the request is cancelled. Ignored unless the request is running.
    void setCallback(Number number, Callback callback);
    /// Sets the response of a running request.
    /// @return false, with nothing changed, if the request is not running
    bool setResponse(Number number, Response &&response);

    /// Takes the response of the first request, to be written. Empty while it is not set, or is being written.
    std::optional<Response> takeNext();
    /// Whether the response taken last is the last of the connection.
    bool isLast() const
    {
        return m_closing && size() == 1;
    }
    /// Reports how much of the response taken last has been written. The rest is kept in `unsent`.
    void onWritten(Response &&response, std::size_t writtenBytes);
    /// Rest of the response that is being written.
    std::string_view unsent() const
    {
        return m_unsent;
    }
    /// Removes written bytes from `unsent`.
    void consumeUnsent(std::size_t bytes);

    /// The last response in the queue closes the connection.
    void closeAfterLast()
    {
        m_closing = true;
    }
    /// The last of the responses that are set, up to the first request that is running, closes the connection. Cancels
    /// the requests behind it and returns their callbacks.
    std::vector<Callback> closeAfterReady();
    /// Drops all requests and responses. Returns the callbacks of the requests that were running.
    std::vector<Callback> cancelAll();

private:
    using Entry = QueuedRequest;
    using State = QueuedRequest::State;

    Entry *find(Number number);
    const Entry *find(Number number) const;
    void hold(std::size_t bytes);
    void release(std::size_t bytes);
    void finishFirst();
    /// Cancels all but the first `kept` requests.
    std::vector<Callback> cancelBehind(std::size_t kept);

    MemoryBudget &m_memory;
    std::optional<Entry> m_first; ///< kept apart, so that a connection with one request at a time allocates nothing
    std::vector<Entry> m_behind;
    std::string m_unsent; ///< rest of the first response, of which a part is written
    Number m_firstNumber = 0; ///< of `m_first`, or of the next request while the queue is empty
    Number m_firstCancelled = std::numeric_limits<Number>::max(); ///< this request and those after it are cancelled
    std::size_t m_heldBytes = 0;
    bool m_closing = false;
};

} // namespace fulmarledge
