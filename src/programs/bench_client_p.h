#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarledge/types.h"
#include "httpclient.h"

namespace fulmarledge {

/// One HTTP request that the benchmark sends.
struct BenchRequest {
    std::string method;
    std::string target;
    std::string requestId; ///< `Fulmarledge-Request-Id`
    std::string idempotencyKey; ///< `Idempotency-Key`, or empty
    std::string body;
    std::int64_t timeoutMs = 10000; ///< `Fulmarledge-Deadline-Ms`
};

/// Complete response of the server.
struct BenchResponse {
    int status = 0;
    HttpFields fields;
    std::string body;
};

/// HTTP/1.1 client with one keep-alive connection. It blocks, so that measured times contain no hand-over to an event
/// loop.
class BenchClient
{
public:
    explicit BenchClient(SocketAddress server);
    ~BenchClient();
    BenchClient(const BenchClient &) = delete;
    BenchClient &operator=(const BenchClient &) = delete;

    /// Sends the request, after connecting if necessary, and waits for the whole response.
    /// @return nothing if the connection failed, the response was malformed or truncated, or the call timed out
    std::optional<BenchResponse> call(const BenchRequest &request);
    /// Whether bytes of the last call were sent, so that a failed call may have reached the server.
    bool mayHaveReachedServer() const
    {
        return m_anySent;
    }

private:
    bool connect();
    void close();
    bool sendAll(std::string_view bytes);
    std::optional<BenchResponse> receive(bool isHeadRequest);
    bool receiveMore();

    SocketAddress m_server;
    int m_fd = -1;
    bool m_anySent = false;
    std::string m_received;
};

} // namespace fulmarledge
