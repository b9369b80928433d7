#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <utility>

namespace fulmarledge {

/// Milliseconds on a monotonic clock whose origin is not specified.
using TimeMs = std::int64_t;

/// Version number of an accepted manifest. 0 means none.
using Version = std::int64_t;

constexpr std::uint32_t kInvalidHandle = std::numeric_limits<std::uint32_t>::max();

/// Index of a service in one snapshot.
struct ServiceHandle {
    std::uint32_t idx = kInvalidHandle;
};

/// Index of a route in one route table.
struct RouteHandle {
    std::uint32_t idx = kInvalidHandle;
};

/// Index of an organisation in one organisation table.
struct OrganisationHandle {
    std::uint32_t idx = kInvalidHandle;
};

/// Index of a backend server in one snapshot.
struct BackendHandle {
    std::uint32_t idx = kInvalidHandle;
};

inline bool isValid(ServiceHandle handle)
{
    return handle.idx != kInvalidHandle;
}

inline bool isValid(RouteHandle handle)
{
    return handle.idx != kInvalidHandle;
}

inline bool isValid(OrganisationHandle handle)
{
    return handle.idx != kInvalidHandle;
}

inline bool isValid(BackendHandle handle)
{
    return handle.idx != kInvalidHandle;
}

/// IPv4 address in dotted form and a port.
struct SocketAddress {
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const SocketAddress &) const = default;
    auto operator<=>(const SocketAddress &) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 misreads it
};

/// Output parameter of calls that can fail. A call that fails sets it to the reason.
class LastReason
{
public:
    void set(std::string reason)
    {
        m_text = std::move(reason);
    }
    const std::string &text() const
    {
        return m_text;
    }

private:
    std::string m_text;
};

} // namespace fulmarledge
