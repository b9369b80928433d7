#pragma once

#include <cstdint>
#include <string>

#include "httpclient.h"
#include "remotestore.h"

namespace fulmarledge {

/// Header field with the object's version in the platform's responses.
constexpr std::string_view kObjectVersionField = "Object-Version";
/// Header field with the object's status, which has no line break, if it has one.
constexpr std::string_view kObjectStatusField = "Object-Status";

/// Percent-encodes text for use as one segment of the path, or one value of the query, of a URL.
std::string encodePathSegment(std::string_view text);

/// Maps the result of an HTTP request to the status of a call to an object store.
StoreStatus storeStatusFromResult(const HttpResult &result, bool isWrite);

/// Client of the platform's object API over HTTP. Must be used on the thread of the HTTP client's loop only.
class HttpStore : public RemoteStore
{
public:
    struct Settings {
        SocketAddress address;
        std::int64_t timeoutMs = 5000; ///< for each call. A watch adds this to its own timeout.
        std::int64_t connectTimeoutMs = 1000;
    };

    /// @param metrics receives `platform-calls` for each call, with the label "<operation> <status>". Must outlive
    /// `client`.
    HttpStore(HttpClient &client, MetricsSink &metrics, Settings settings);

    void setAddress(const SocketAddress &address) override;
    void get(std::string_view kind, std::string_view name, StoreCallback callback) override;
    void list(std::string_view kind, StoreCallback callback) override;
    void create(std::string_view kind, std::string_view name, std::string_view value, StoreCallback callback) override;
    void update(std::string_view kind, std::string_view name, std::int64_t expectedVersion, std::string_view value,
                StoreCallback callback) override;
    void updateStatus(std::string_view kind, std::string_view name, std::int64_t expectedVersion,
                      std::string_view status, StoreCallback callback) override;
    void remove(std::string_view kind, std::string_view name, std::int64_t expectedVersion,
                StoreCallback callback) override;
    void watch(std::string_view kind, std::string_view name, std::int64_t fromVersion, std::int64_t timeoutMs,
               StoreCallback callback) override;

private:
    enum class Operation : std::uint8_t { Get, List, Create, Update, UpdateStatus, Remove, Watch };

    static std::string_view operationName(Operation operation);
    static StoreStatus statusOf(Operation operation, const HttpResult &result);
    static StoreReply makeReply(Operation operation, std::string_view kind, std::string_view name, HttpResult result);
    HttpRequest makeRequest(std::string method, std::string_view collection, std::string_view kind,
                            std::string_view name) const;
    void send(Operation operation, HttpRequest request, std::string_view kind, std::string_view name,
              StoreCallback callback);

    HttpClient &m_client;
    MetricsSink &m_metrics;
    Settings m_settings;
};

} // namespace fulmarledge
