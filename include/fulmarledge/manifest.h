#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "fulmarledge/types.h"
#include "fulmarledge_types.h"

namespace fulmarledge {

/// Admission class of a service's requests.
enum class ServiceClass : std::uint8_t { Interactive, Bulk };

struct ServiceSpec {
    std::string name;
    std::set<std::string> backendServers; ///< host names that may take the service's requests
    ServiceClass serviceClass = ServiceClass::Interactive;
    std::int64_t timeoutMs = 10000;
    std::set<std::string> idempotentMethods{"DELETE", "GET", "HEAD", "OPTIONS", "PUT", "TRACE"};

    bool operator==(const ServiceSpec &) const = default;
};

/// A checked manifest: unique names, no route without its service, no service without a backend server and a route.
class Manifest
{
public:
    /// Parses and checks `text`. On failure sets `error` to the field and the reason.
    static std::optional<Manifest> parse(std::string_view text, LastReason &error);

    const std::map<std::string, ServiceSpec, std::less<>> &services() const
    {
        return m_services;
    }
    /// Service name by path prefix.
    const std::map<std::string, std::string, std::less<>> &routes() const
    {
        return m_routes;
    }

    /// JSON with sorted entries and without defaults. Equal manifests have equal canonical texts.
    std::string canonicalText() const;

    /// Changes that turn this manifest into `target`.
    wire::ManifestDelta deltaTo(const Manifest &target) const;

    /// Applies `delta` and checks the result in full. Fails when the result is not a valid manifest.
    std::optional<Manifest> apply(const wire::ManifestDelta &delta, LastReason &error) const;

private:
    bool check(LastReason &error) const;

    std::map<std::string, ServiceSpec, std::less<>> m_services;
    std::map<std::string, std::string, std::less<>> m_routes;
};

/// SHA-256 in lower-case hexadecimal.
std::string sha256Hex(std::string_view data);

} // namespace fulmarledge
