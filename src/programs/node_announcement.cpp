#include "node_announcement.h"

#include <nlohmann/json.hpp>

namespace fulmarledge {

namespace {

constexpr int kMaxSlots = 65536;
constexpr std::size_t kMaxVersionBytes = 128;

} // namespace

std::optional<Announcement> Announcement::parse(std::string_view text, LastReason &error)
{
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object()) {
        error.set("announcement: must be a JSON object");
        return std::nullopt;
    }
    Announcement result;
    try {
        result.service = document.at("service").get<std::string>();
        const int port = document.at("port").get<int>();
        result.slots = document.at("slots").get<int>();
        result.load = document.value("load", 0);
        result.version = document.value("version", std::string());
        const std::string state = document.at("state").get<std::string>();
        if (port < 1 || port > 65535) {
            error.set("port: must be from 1 to 65535");
            return std::nullopt;
        }
        if (result.slots < 1 || result.slots > kMaxSlots) {
            error.set("slots: must be from 1 to 65536");
            return std::nullopt;
        }
        if (result.version.size() > kMaxVersionBytes) {
            error.set("version: must be a text of at most 128 bytes");
            return std::nullopt;
        }
        result.port = static_cast<std::uint16_t>(port);
        for (const auto knownState : {wire::HostState::Starting, wire::HostState::Serving, wire::HostState::Draining}) {
            if (state == stateName(knownState)) {
                result.state = knownState;
                return result;
            }
        }
        error.set("state: must be \"starting\", \"serving\" or \"draining\"");
    } catch (const nlohmann::json::exception &exception) {
        error.set(std::string("announcement: ") + exception.what());
    }
    return std::nullopt;
}

std::string_view stateName(wire::HostState::type state)
{
    switch (state) {
    case wire::HostState::Starting:
        return "starting";
    case wire::HostState::Serving:
        return "serving";
    case wire::HostState::Draining:
        return "draining";
    case wire::HostState::Left:
        return "left";
    }
    return "unknown";
}

std::string_view livenessName(wire::Liveness::type liveness)
{
    switch (liveness) {
    case wire::Liveness::Alive:
        return "alive";
    case wire::Liveness::Suspect:
        return "suspect";
    case wire::Liveness::Dead:
        return "dead";
    }
    return "unknown";
}

} // namespace fulmarledge
