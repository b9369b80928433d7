#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarledge/types.h"
#include "httpclient.h"

namespace fulmarledge {

struct BenchRequest {
    std::string method;
    std::string target;
    std::string id; ///< `Fulmarledge-Request-Id`
    std::string key; ///< `Idempotency-Key`, or empty
    std::string body;
    std::int64_t timeoutMs = 10000;
};

struct BenchResponse {
    int status = 0;
    HttpFields fields;
    std::string body;
};

/// Blocking HTTP/1.1 client on one connection. Measures without an event loop's hand-overs.
class BenchClient
{
public:
    explicit BenchClient(SocketAddress server);
    ~BenchClient();
    BenchClient(const BenchClient &) = delete;
    BenchClient &operator=(const BenchClient &) = delete;

    /// @return nothing when the connection failed, the answer was cut short or the time was over
    std::optional<BenchResponse> call(const BenchRequest &request);
    /// The last failed call may have reached the server.
    bool mayHaveSent() const
    {
        return m_sent;
    }

private:
    bool connect();
    void close();
    bool sendAll(std::string_view bytes);
    std::optional<BenchResponse> receive(bool head);
    bool receiveMore();

    SocketAddress m_server;
    int m_fd = -1;
    bool m_sent = false;
    std::string m_in;
};

} // namespace fulmarledge
