#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarledge/types.h"
#include "fulmarledge_types.h"

namespace fulmarledge {

/// Result of a call to the platform's object API.
enum class StoreStatus : std::uint8_t {
    Ok,
    NotFound,
    Conflict, ///< the object exists, or its version differs from the expected one
    Expired, ///< the platform no longer has the history that the watch starts from, so read the object again
    Throttled, ///< retry after `retryAfterMs`
    Unavailable, ///< the call failed and certainly had no effect
    UnknownOutcome, ///< a write may or may not have taken effect
    Invalid, ///< the platform rejected the call as invalid, or its reply was malformed
    Unchanged, ///< a watch timed out without a change
};

/// Name of a status, in lower case with hyphens.
std::string_view storeStatusName(StoreStatus status);

/// Object of the platform. The platform assigns `version`, on which updates are conditional.
struct StoreObject {
    std::string kind;
    std::string name;
    std::int64_t version = 0;
    std::string value;
    std::string status = {}; ///< written by the system beside the value; empty without one
};

struct StoreReply {
    StoreStatus status = StoreStatus::Unavailable;
    std::vector<StoreObject> objects; ///< one for get, create, update and watch; any number for list
    std::int64_t retryAfterMs = 0;
    std::string reason;
};

using StoreCallback = std::function<void(const StoreReply &)>;

/// The platform's object API. Calls do not block. The callback runs on the caller's control thread.
class PlatformStore
{
public:
    virtual ~PlatformStore() = default;

    virtual void get(std::string_view kind, std::string_view name, StoreCallback callback) = 0;
    virtual void list(std::string_view kind, StoreCallback callback) = 0;
    virtual void create(std::string_view kind, std::string_view name, std::string_view value, StoreCallback callback)
        = 0;
    /// Replaces the value if the object's version equals `expectedVersion`.
    virtual void update(std::string_view kind, std::string_view name, std::int64_t expectedVersion,
                        std::string_view value, StoreCallback callback)
        = 0;
    /// Replaces the status of an object if the object's version equals `expectedVersion`, and leaves its value. The
    /// version increases. A store without statuses answers Invalid.
    virtual void updateStatus(std::string_view kind, std::string_view name, std::int64_t expectedVersion,
                              std::string_view status, StoreCallback callback);
    virtual void remove(std::string_view kind, std::string_view name, std::int64_t expectedVersion,
                        StoreCallback callback)
        = 0;
    /// Waits up to `timeoutMs` milliseconds for a version of the object above `fromVersion`.
    virtual void watch(std::string_view kind, std::string_view name, std::int64_t fromVersion, std::int64_t timeoutMs,
                       StoreCallback callback)
        = 0;
};

/// Sends control messages to other nodes. Messages may be lost, duplicated or reordered.
class PeerTransport
{
public:
    virtual ~PeerTransport() = default;
    virtual void send(const SocketAddress &to, const wire::Envelope &message) = 0;
    /// Sends over a TCP connection, which retransmits lost packets. For messages whose datagrams seem to be lost, since
    /// it costs a handshake if no connection to the member is open.
    virtual void sendReliably(const SocketAddress &to, const wire::Envelope &message) = 0;
};

/// Sends over a connection if `reliable`, otherwise as a datagram if the message fits into one.
inline void sendTo(PeerTransport &transport, const SocketAddress &to, const wire::Envelope &message, bool reliable)
{
    if (reliable) {
        transport.sendReliably(to, message);
    } else {
        transport.send(to, message);
    }
}

class RandomSource
{
public:
    virtual ~RandomSource() = default;
    /// Returns a uniformly distributed number in [0, bound). `bound` must be above 0.
    virtual std::uint64_t below(std::uint64_t bound) = 0;
};

/// Receives the metrics of the control plane. `label` is the value of a metric's only label, or empty.
class MetricsSink
{
public:
    virtual ~MetricsSink() = default;
    /// Adds `amount` to a counter.
    virtual void count(std::string_view name, std::string_view label, double amount) = 0;
    virtual void gauge(std::string_view name, std::string_view label, double value) = 0;
    /// Adds a sample to a distribution.
    virtual void observe(std::string_view name, double value) = 0;
};

/// Log of state changes, with one line per event.
class EventLog
{
public:
    virtual ~EventLog() = default;
    /// `event` is a stable name; `detail` is free text.
    virtual void event(std::string_view event, std::string_view detail) = 0;
};

} // namespace fulmarledge
