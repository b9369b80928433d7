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

namespace fulmarledge {

using HttpFields = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
    std::string method;
    std::string url;
    HttpFields fields;
    std::string body;
    std::int64_t timeoutMs = 10000;
    std::int64_t connectTimeoutMs = 1000;
    std::size_t maxBodyBytes = 64 * 1024 * 1024;
    /// Seconds that a connection may have been idle to be reused; 0 for the library's default.
    long maxIdleSeconds = 0;
    /// Called with the complete header of the answer. False ends the transfer and closes its connection; the fields
    /// are kept in the result. Empty accepts every answer.
    std::function<bool(int status, const HttpFields &fields)> acceptHead;
    /// Allows a second send on a new connection after a reused one turned out to be closed.
    bool resendAllowed = false;
};

struct HttpResult {
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::None;
    int status = 0; ///< set when `verdict` is Answered or the header was not accepted
    bool headRefused = false; ///< `acceptHead` returned false
    HttpFields fields;
    std::string body;
    std::string detail; ///< text of libcurl for a failure
};

struct TransferId {
    std::uint64_t id = 0;
};

inline bool isValid(TransferId transfer)
{
    return transfer.id != 0;
}

/// Value of a header field, compared without case, or an empty view.
std::string_view fieldValue(const HttpFields &fields, std::string_view name);

/// HTTP/1.1 client on one event loop. Belongs to the loop's thread.
class HttpClient
{
public:
    using Callback = std::function<void(HttpResult)>;

    /// @param maxConnections idle connections kept for reuse
    HttpClient(IoLoop &loop, long maxConnections);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// The callback runs on the loop's thread, after this call has returned.
    TransferId send(HttpRequest request, Callback callback);
    /// Ends a transfer without a callback. Its connection is closed.
    void cancel(TransferId transfer);

private:
    struct Shared;
    std::unique_ptr<Shared> m_shared;
};

} // namespace fulmarledge
