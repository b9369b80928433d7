#include "nativeenvironment.h"

#include "httpstore.h"

namespace fulmarledge {

std::unique_ptr<RemoteStore> NativeEnvironment::makeStore(HttpClient &client, MetricsSink &metrics, EventLog &,
                                                          const SocketAddress &address) const
{
    HttpStore::Settings settings;
    settings.address = address;
    return std::make_unique<HttpStore>(client, metrics, settings);
}

std::shared_ptr<const RequestDialect> NativeEnvironment::makeDialect(const std::string &) const
{
    return std::make_shared<NativeDialect>();
}

std::optional<BackendAnnouncement> NativeEnvironment::readNotice(const HttpCall &, LastReason &error) const
{
    error.set("announcements go to the admin port");
    return std::nullopt;
}

bool NativeEnvironment::isReadinessCall(const HttpCall &call) const
{
    return call.method == "GET" && call.path == "/readyz";
}

} // namespace fulmarledge
