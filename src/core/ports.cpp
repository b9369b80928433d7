#include "fulmarledge/ports.h"

#include <utility>

namespace fulmarledge {

std::string_view storeStatusName(StoreStatus status)
{
    switch (status) {
    case StoreStatus::Ok:
        return "ok";
    case StoreStatus::NotFound:
        return "not-found";
    case StoreStatus::Conflict:
        return "conflict";
    case StoreStatus::Expired:
        return "expired";
    case StoreStatus::Throttled:
        return "throttled";
    case StoreStatus::Unavailable:
        return "unavailable";
    case StoreStatus::UnknownOutcome:
        return "unknown-outcome";
    case StoreStatus::Invalid:
        return "invalid";
    case StoreStatus::Unchanged:
        return "unchanged";
    }
    return "unknown";
}

void PlatformStore::updateStatus(std::string_view, std::string_view, std::int64_t, std::string_view,
                                 StoreCallback callback)
{
    const StoreCallback done = std::move(callback);
    done({StoreStatus::Invalid, {}, 0, "this store keeps no statuses"});
}

} // namespace fulmarledge
