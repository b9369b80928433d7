#pragma once

#include "environment.h"

namespace fulmarledge {

/// The project's own interfaces, which are the object API of its platform stand-in and its own header fields. Backend
/// servers announce themselves at the admin port instead.
class NativeEnvironment : public Environment
{
public:
    std::unique_ptr<RemoteStore> makeStore(HttpClient &client, MetricsSink &metrics, EventLog &log,
                                           const SocketAddress &address) const override;
    std::shared_ptr<const RequestDialect> makeDialect(const std::string &service) const override;
    std::optional<BackendAnnouncement> readNotice(const HttpCall &call, LastReason &error) const override;
    bool isReadinessCall(const HttpCall &call) const override;
};

} // namespace fulmarledge
