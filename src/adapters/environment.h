#pragma once

#include <memory>
#include <optional>

#include "fulmarledge/backendlife.h"
#include "fulmarledge/ports.h"
#include "httpclient.h"
#include "httpserver.h"
#include "requestdialect.h"

namespace fulmarledge {

/// What a node speaks with the systems around it, apart from other nodes.
class Environment
{
public:
    virtual ~Environment() = default;

    /// @param client, metrics, log must outlive the store
    virtual std::unique_ptr<PlatformStore> makeStore(HttpClient &client, MetricsSink &metrics, EventLog &log,
                                                     const SocketAddress &address) const = 0;
    /// @param service announced by the backend server beside the node
    virtual std::shared_ptr<const RequestDialect> makeDialect(const std::string &service) const = 0;
    /// Decodes an announcement of a backend server. Empty, with the reason, for a call that is none or is damaged.
    virtual std::optional<BackendNotice> readNotice(const HttpCall &call, LastReason &error) const = 0;
    /// Whether a call asks if the node takes callers' requests.
    virtual bool isReadinessCall(const HttpCall &call) const = 0;
};

} // namespace fulmarledge
