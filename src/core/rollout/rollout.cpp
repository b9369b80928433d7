#include "fulmarledge/rollout.h"

#include <array>
#include <cmath>
#include <nlohmann/json.hpp>

namespace fulmarledge {

namespace {

using nlohmann::json;

/// An order has to leave time to move the traffic and to write the result.
constexpr double kMinDurationS = 5;
constexpr double kMaxDurationS = 86400;
constexpr std::size_t kMaxVersionBytes = 128;
constexpr std::array kStates{RolloutState::Running, RolloutState::Done, RolloutState::RolledBack};

bool readText(const json &document, const char *key, std::string &out, LastReason &error)
{
    const auto found = document.find(key);
    if (found == document.end() || !found->is_string() || found->get_ref<const std::string &>().empty()
        || found->get_ref<const std::string &>().size() > kMaxVersionBytes) {
        error.set(std::string(key) + ": must be a text of 1 to " + std::to_string(kMaxVersionBytes) + " bytes");
        return false;
    }
    out = found->get<std::string>();
    return true;
}

} // namespace

std::string_view rolloutStateName(RolloutState state)
{
    switch (state) {
    case RolloutState::None:
        return "none";
    case RolloutState::Running:
        return "running";
    case RolloutState::Done:
        return "done";
    case RolloutState::RolledBack:
        return "rolled_back";
    }
    return "unknown";
}

std::optional<RolloutOrder> RolloutOrder::parse(std::string_view text, LastReason &error)
{
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object()) {
        error.set("order: must be a JSON object");
        return std::nullopt;
    }
    RolloutOrder order;
    if (!readText(document, "service", order.service, error)
        || !readText(document, "target_version", order.target, error)) {
        return std::nullopt;
    }
    const auto duration = document.find("duration_s");
    const double seconds = duration != document.end() && duration->is_number() ? duration->get<double>() : 0;
    if (!(seconds >= kMinDurationS && seconds <= kMaxDurationS)) {
        error.set("duration_s: must be a number from 5 to 86400");
        return std::nullopt;
    }
    order.durationMs = static_cast<TimeMs>(std::lround(seconds * 1000));
    return order;
}

std::string RolloutOrder::toText() const
{
    return json{
        {"service", service}, {"target_version", target}, {"duration_s", static_cast<double>(durationMs) / 1000}}
        .dump();
}

RolloutStatus RolloutStatus::parse(std::string_view text)
{
    const json document = json::parse(text, nullptr, false);
    RolloutStatus status;
    if (!document.is_object() || !document.contains("state") || !document["state"].is_string()
        || !document.contains("target_version") || !document["target_version"].is_string()) {
        return status;
    }
    for (const RolloutState state : kStates) {
        if (document["state"].get_ref<const std::string &>() == rolloutStateName(state)) {
            status.state = state;
            status.target = document["target_version"].get<std::string>();
        }
    }
    return status;
}

std::string RolloutStatus::toText() const
{
    return json{{"state", rolloutStateName(state)}, {"target_version", target}}.dump();
}

} // namespace fulmarledge
