#pragma once

#include <initializer_list>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "fulmarledge/manifest.h"

namespace fulmarledge {

using nlohmann::json;

/// Sets `error` to the field and the reason. Always returns false.
bool fail(LastReason &error, std::string_view field, std::string_view reason);

/// Parses JSON text. Refuses an object that repeats a key, because json::parse would silently keep only the last value.
std::optional<json> parseStrict(std::string_view text, LastReason &error);

/// Fails on the first key of `object` that is not in `allowed`.
bool hasOnlyKeys(const json &object, std::string_view field, std::initializer_list<std::string_view> allowed,
                 LastReason &error);

/// Reads an optional whole number. Leaves `out` alone if `object` has no such key.
bool readNumber(const json &object, const std::string &field, const char *key, std::int64_t min, std::int64_t max,
                std::int64_t &out, LastReason &error);

/// Whether a backend server may announce a service of this name.
bool isAnnouncedServiceName(std::string_view text);

// These read one entry of a manifest. `field` is the entry's name in errors.
bool readService(const json &value, const std::string &field, ServiceSpec &out, LastReason &error);
bool readRoute(const json &value, const std::string &field, RouteSpec &out, LastReason &error);
bool readLimits(const json &value, CallerLimits &out, LastReason &error);

// These leave out default values, so that equal entries have equal texts.
json serviceToJson(const ServiceSpec &service);
json routeToJson(const RouteSpec &route);
json limitsToJson(const CallerLimits &limits);

} // namespace fulmarledge
