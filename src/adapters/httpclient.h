#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fulmarledge/verdict.h"
#include "ioloop.h"
#include "memorybudget.h"

namespace fulmarledge {

/// Header fields as (name, value) pairs, in the order of the message.
using HttpFields = std::vector<std::pair<std::string, std::string>>;

/// Request to be sent by `HttpClient`.
struct HttpRequest {
    std::string method;
    std::string url;
    HttpFields fields;
    std::string body;
    std::int64_t timeoutMs = 10000; ///< for the whole transfer, including the connect
    std::int64_t connectTimeoutMs = 1000;
    std::size_t maxBodyBytes = 64 * 1024 * 1024; ///< a larger response body ends the transfer with BodyTooLarge
    std::size_t maxHeaderBytes = 64 * 1024; ///< a larger response header ends the transfer with ForeignAnswer
    /// Longest idle time in seconds after which a connection is still reused. 0 selects libcurl's default.
    long maxIdleSeconds = 0;
    /// Called with the status and the complete header of the final response. Returning false ends the transfer and
    /// closes its connection; the result still contains the header fields. If empty, every response is accepted.
    std::function<bool(int status, const HttpFields &fields)> acceptHeader;
    /// Allows the request to be sent again on a new connection after the server closed a reused one without a response.
    bool resendAllowed = false;
    bool freshConnection = false; ///< open a new connection for the request
};

struct HttpResult {
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::None;
    int status = 0; ///< set when `verdict` is Answered or `acceptHeader` returned false
    bool headerRejected = false; ///< `acceptHeader` returned false
    HttpFields fields;
    std::string body;
    std::string detail; ///< libcurl's error text, empty when `verdict` is Answered
};

/// Identifies a transfer of one `HttpClient`. 0 is invalid.
struct TransferId {
    std::uint64_t id = 0;
};

inline bool isValid(TransferId transfer)
{
    return transfer.id != 0;
}

/// Value of the first header field with `name`, or an empty view. Names are compared without regard to case.
std::string_view fieldValue(const HttpFields &fields, std::string_view name);

/// HTTP/1.1 client on one event loop, built on libcurl's multi interface. Must be used on the loop's thread only.
///
/// A kept connection on which bytes have arrived since its last response is closed and not reused, because they would
/// be taken for the response to the next request.
class HttpClient
{
public:
    using Callback = std::function<void(HttpResult)>;

    /// @param maxConnections limit of idle connections kept for reuse
    /// @param bodyMemory bodies of unfinished responses; when it is full, the transfer with the largest one ends with
    /// AnswerMemoryFull
    HttpClient(IoLoop &loop, long maxConnections,
               std::shared_ptr<MemoryBudget> bodyMemory = std::make_shared<MemoryBudget>());
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts a transfer. `callback` runs on the loop's thread, after this call has returned.
    TransferId send(HttpRequest request, Callback callback);
    /// Ends a transfer without running its callback, and closes its connection.
    void cancel(TransferId transfer);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace fulmarledge
