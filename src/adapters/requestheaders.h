#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarledge/types.h"
#include "fulmarledge_types.h"
#include "httpserver.h"

namespace fulmarledge {

/// What a caller's header fields say about its request.
struct CallerFields {
    std::int64_t deadlineMs = 0; ///< time left, or 0 when not given
    std::string requestId; ///< empty when not given
    std::uint32_t depth = 1; ///< depth of this request in the call chain
    std::string caller; ///< for fairness
    std::string key; ///< idempotency key, or empty
    std::uint32_t attempt = 1;
};

/// Reads the fields of section 8 of the design page.
/// @param error names the field and the reason when a value is bad
std::optional<CallerFields> parseCallerFields(const HttpCall &call, LastReason &error);

/// Fields that travel with the message from end to end: none that belongs to one connection, and none that the system
/// sets itself.
std::vector<wire::HttpField> endToEndFields(const HttpFields &fields);

/// Whether a status never has a body.
bool isBodyless(int status);

} // namespace fulmarledge
