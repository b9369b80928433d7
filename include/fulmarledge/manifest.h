#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarledge/config.h"
#include "fulmarledge/types.h"
#include "fulmarledge_types.h"

namespace fulmarledge {

/// Admission class of a service's requests.
enum class ServiceClass : std::uint8_t { Interactive, Bulk };

/// What may be repeated of a route's requests.
enum class RequestKind : std::uint8_t {
    ByMethod, ///< decided by the service's idempotent methods
    Safe, ///< may run more than once
    Unsafe, ///< may run at most once
    Download, ///< safe, with large answers
};

/// Lower-case name of a kind.
std::string_view kindName(RequestKind kind);

struct ServiceSpec {
    std::string name;
    /// Host names that may take the service's requests. Empty: every host whose backend server announces the service.
    std::set<std::string> backendServers;
    ServiceClass serviceClass = ServiceClass::Interactive;
    std::int64_t timeoutMs = 10000;
    std::set<std::string> idempotentMethods{"DELETE", "GET", "HEAD", "OPTIONS", "PUT", "TRACE"};

    bool operator==(const ServiceSpec &) const = default;
};

/// Service that takes a share of a route's requests.
struct RouteTarget {
    std::string service;
    std::uint32_t weight = 1; ///< share in proportion to the other targets

    bool operator==(const RouteTarget &) const = default;
};

/// Requests of one host name and path prefix.
struct RouteSpec {
    std::string host; ///< in lower case, without a port; empty for every host name
    std::string pathPrefix; ///< matches whole segments; with a "/" at its end, the paths that begin with it
    std::vector<RouteTarget> targets; ///< one or more
    RequestKind kind = RequestKind::ByMethod;
    std::int64_t timeoutMs = 0; ///< longest time to the answer; 0 for the service's
    std::int64_t targetLatencyMs = 0; ///< latency objective; 0 for none
    std::uint32_t maxAttempts = 0; ///< backend servers that one request may be sent to; 0 for the node's setting
    std::uint32_t priority = 0; ///< rank, 0 first

    /// Unique within a manifest.
    std::string key() const
    {
        return host + pathPrefix;
    }
    bool operator==(const RouteSpec &) const = default;
};

/// Bounds on what a caller may send. 0 leaves the bound to the node's settings.
struct CallerLimits {
    std::int64_t maxHeaderBytes = 0;
    std::int64_t maxBodyBytes = 0;
    std::int64_t headerTimeoutMs = 0;
    std::int64_t idleTimeoutMs = 0;

    bool operator==(const CallerLimits &) const = default;
};

/// A checked manifest: unique names, no route without its service, no service without a backend server and a route.
class Manifest
{
public:
    /// Parses and checks `text`. On failure sets `error` to the field and the reason.
    static std::optional<Manifest> parse(std::string_view text, LastReason &error,
                                         std::size_t maxBytes = FULMARLEDGE_CONFIG_MAX_MANIFEST_BYTES);
    /// Checks a parsed manifest. On failure sets `error` to the field and the reason.
    static std::optional<Manifest> read(const nlohmann::json &document, LastReason &error);

    const std::map<std::string, ServiceSpec, std::less<>> &services() const
    {
        return m_services;
    }
    /// By RouteSpec::key().
    const std::map<std::string, RouteSpec, std::less<>> &routes() const
    {
        return m_routes;
    }
    const CallerLimits &limits() const
    {
        return m_limits;
    }

    /// JSON with sorted entries and without defaults. Equal manifests have equal canonical texts.
    std::string canonicalText() const;

    /// Changes that turn this manifest into `target`.
    wire::ManifestDelta deltaTo(const Manifest &target) const;

    /// Applies `delta` and checks the result in full. Fails when the result is not a valid manifest.
    std::optional<Manifest> apply(const wire::ManifestDelta &delta, LastReason &error) const;

private:
    bool check(LastReason &error) const;
    void setRoute(RouteSpec route);

    std::map<std::string, ServiceSpec, std::less<>> m_services;
    std::map<std::string, RouteSpec, std::less<>> m_routes;
    /// Canonical texts of the routes, shared by successive manifests: a change of one route must not cost the text of
    /// every other one.
    std::map<std::string, std::shared_ptr<const std::string>, std::less<>> m_routeTexts;
    CallerLimits m_limits;
};

/// SHA-256 in lower-case hexadecimal.
std::string sha256Hex(std::string_view data);

} // namespace fulmarledge
