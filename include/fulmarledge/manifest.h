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
#include "fulmarledge/organisations.h"
#include "fulmarledge/types.h"
#include "fulmarledge_types.h"

namespace fulmarledge {

/// Largest priority number of a route or an organisation.
constexpr std::uint32_t kMaxPriority = 1000;

/// Rank of a request among those that wait for a slot. Lower ranks go first: the priority of the organisation comes
/// before that of the route.
constexpr std::uint32_t requestRank(std::uint32_t organisationPriority, std::uint32_t routePriority)
{
    return organisationPriority * (kMaxPriority + 1) + routePriority;
}

/// Admission class of a service's requests.
enum class ServiceClass : std::uint8_t { Interactive, Bulk };

/// Whether the requests of a route may be sent again after an attempt that may have run.
enum class RequestKind : std::uint8_t {
    ByMethod, ///< repeatable if the request's method is one of the service's idempotent methods
    Safe, ///< may run more than once
    Unsafe, ///< may run at most once
    Download, ///< may run more than once, and its responses are large
    Upload, ///< may run at most once, and its bodies are large
    Count
};

/// Whether a request of this kind, which is not ByMethod, may run more than once.
constexpr bool isRepeatable(RequestKind kind)
{
    return kind == RequestKind::Safe || kind == RequestKind::Download;
}

/// Name of a kind, in lower case with hyphens.
std::string_view requestKindName(RequestKind kind);

struct ServiceSpec {
    std::string name;
    /// Names of the hosts that may serve the service. If empty, every host whose backend server announces the service
    /// may.
    std::set<std::string> backendServers;
    ServiceClass serviceClass = ServiceClass::Interactive;
    std::int64_t timeoutMs = 10000;
    std::set<std::string> idempotentMethods{"DELETE", "GET", "HEAD", "OPTIONS", "PUT", "TRACE"};

    bool operator==(const ServiceSpec &) const = default;
};

/// Service that receives a share of a route's requests.
struct RouteTarget {
    std::string service;
    std::uint32_t weight = 1; ///< share of the requests, relative to the sum of the route's weights

    bool operator==(const RouteTarget &) const = default;
};

/// Routing of the requests for one host name and path prefix.
struct RouteSpec {
    std::string host; ///< host name in lower case, without a port; empty for every host name
    std::string pathPrefix; ///< matches whole path segments; with a "/" at its end, every path that begins with it
    std::vector<RouteTarget> targets; ///< one or more
    RequestKind kind = RequestKind::ByMethod;
    std::int64_t timeoutMs = 0; ///< longest time until the response, in ms; 0 for the service's timeout
    std::int64_t targetLatencyMs = 0; ///< latency objective in ms; 0 for none
    std::uint32_t maxAttempts = 0; ///< times one request may reach a backend server; 0 for the node's setting
    std::uint32_t priority = 0; ///< requests with a lower number go first
    bool isPublic = false; ///< needs no key, even if the manifest has organisations

    /// Unique within a manifest.
    std::string key() const
    {
        return host + pathPrefix;
    }
    bool operator==(const RouteSpec &) const = default;
};

/// Limits on a caller's requests and connections. 0 means that the node's settings decide.
struct CallerLimits {
    std::int64_t maxHeaderBytes = 0;
    std::int64_t maxBodyBytes = 0;
    std::int64_t headerTimeoutMs = 0;
    std::int64_t idleTimeoutMs = 0;

    bool operator==(const CallerLimits &) const = default;
};

/// A validated manifest. Names of services and organisations, keys and routes are unique, every target of a route is a
/// service of the manifest, every service that lists backend servers has a route, and no host is listed for two
/// services.
class Manifest
{
public:
    /// Parses and validates `text`. On failure sets `error` to the field and the reason.
    static std::optional<Manifest> parse(std::string_view text, LastReason &error,
                                         std::size_t maxBytes = FULMARLEDGE_CONFIG_MAX_MANIFEST_BYTES);
    /// Reads and validates a manifest from parsed JSON. On failure sets `error` to the field and the reason.
    static std::optional<Manifest> fromJson(const nlohmann::json &document, LastReason &error);

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

    /// By name. If there are any, a request on a route that is not public needs a key of one of them.
    const OrganisationMap &organisations() const
    {
        return m_organisations;
    }

    /// JSON text with sorted entries and without default values. Equal manifests have equal canonical texts.
    std::string canonicalText() const;
    /// Digest that may be shown outside the fleet. It does not cover the keys of organisations, so that it cannot be
    /// used to test guesses of a key. Without keys it is the digest of the canonical text.
    /// @param digest digest of the canonical text
    std::string shownDigest(const std::string &digest) const;

    /// Approximate memory of this manifest. What it shares with others is counted in each.
    std::size_t memoryBytes() const;

    /// Returns the changes that turn this manifest into `target`.
    wire::ManifestDelta deltaTo(const Manifest &target) const;

    /// Returns a copy with `delta` applied. Fails if a changed entry or the resulting manifest is invalid.
    std::optional<Manifest> apply(const wire::ManifestDelta &delta, LastReason &error) const;

private:
    /// Checks the references between routes, services and hosts. On failure sets `error` and returns false.
    bool checkReferences(LastReason &error) const;
    std::string textWithOrganisations(const std::string &organisations) const;
    /// Adds the route or replaces the one with the same key.
    void setRoute(RouteSpec route);

    std::map<std::string, ServiceSpec, std::less<>> m_services;
    std::map<std::string, RouteSpec, std::less<>> m_routes;
    /// Canonical texts of the routes by RouteSpec::key(). Successive manifests share them, so that a change of one
    /// route does not serialise all the others again.
    std::map<std::string, std::shared_ptr<const std::string>, std::less<>> m_routeTexts;
    CallerLimits m_limits;
    OrganisationMap m_organisations;
};

/// SHA-256 of `data` in lower-case hexadecimal.
std::string sha256Hex(std::string_view data);

} // namespace fulmarledge
