#pragma once

#include <memory>
#include <optional>

#include "fulmarledge/backendlifecycle.h"
#include "httpclient.h"
#include "httpserver.h"
#include "remotestore.h"
#include "requestdialect.h"

namespace fulmarledge {

/// Interfaces of a node to systems other than its peer nodes. They are the platform's object store, the header fields
/// of requests and responses, announcements of backend servers and readiness checks.
class Environment
{
public:
    virtual ~Environment() = default;

    /// @param client, metrics, log must outlive the store
    /// @param address of the platform's object store
    virtual std::unique_ptr<RemoteStore> makeStore(HttpClient &client, MetricsSink &metrics, EventLog &log,
                                                   const SocketAddress &address) const = 0;
    /// @param service name of the service that the backend server on the node's host provides
    virtual std::shared_ptr<const RequestDialect> makeDialect(const std::string &service) const = 0;
    /// Decodes the announcement of a backend server. Returns nothing and sets `error` if the request is not a valid
    /// announcement.
    virtual std::optional<BackendAnnouncement> readNotice(const HttpCall &call, LastReason &error) const = 0;
    /// Whether a request checks if the node accepts callers' requests.
    virtual bool isReadinessCall(const HttpCall &call) const = 0;
};

} // namespace fulmarledge
