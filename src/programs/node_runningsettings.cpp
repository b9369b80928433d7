#include "node_runningsettings.h"

#include <algorithm>
#include <fstream>
#include <span>
#include <utility>

namespace fulmarledge {

namespace {

/// Part of the file that is compared to find a change.
constexpr std::size_t kMaxComparedBytes = 64 * 1024;

/// Keys that a running node can change. copyChangeable() copies their fields.
constexpr std::string_view kChangeableKeys[]
    = {"platform.address",         "node.handover_time",      "node.grace_time",    "node.leave_delay",  "log.level",
       "backend.announce_timeout", "backend.announce_period", "retry.shared_ratio", "retry.shared_extra"};

bool isChangeable(std::string_view key)
{
    return std::find(std::begin(kChangeableKeys), std::end(kChangeableKeys), key) != std::end(kChangeableKeys);
}

/// Path of the settings file that a command line names, or empty.
std::string settingsFile(std::span<const std::string> arguments)
{
    constexpr std::string_view kOption = "--config";
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        const std::string_view argument = arguments[i];
        if (argument == kOption && i + 1 < arguments.size()) {
            return arguments[i + 1];
        }
        if (argument.starts_with(kOption) && argument.substr(kOption.size()).starts_with('=')) {
            return std::string(argument.substr(kOption.size() + 1));
        }
    }
    return {};
}

/// Copies the fields that belong to kChangeableKeys, or are derived from them.
void copyChangeable(const NodeSettings &from, NodeSettings &to)
{
    to.platform = from.platform;
    to.handoverMs = from.handoverMs;
    to.graceMs = from.graceMs;
    to.leaveDelayMs = from.leaveDelayMs;
    to.logLevel = from.logLevel;
    to.announceTimeoutMs = from.announceTimeoutMs;
    to.announcePeriodMs = from.announcePeriodMs;
    to.sharedRetryRatio = from.sharedRetryRatio;
    to.sharedRetryExtra = from.sharedRetryExtra;
}

} // namespace

RunningSettings::RunningSettings(std::vector<std::string> arguments)
    : m_arguments(std::move(arguments))
    , m_file(settingsFile(m_arguments))
{
}

SettingsSchema::Outcome RunningSettings::load(LastReason &error)
{
    return read(m_inForce, m_values, error);
}

std::optional<std::vector<SettingChange>> RunningSettings::reload(LastReason &error)
{
    NodeSettings settings;
    SettingsSchema::Values values;
    if (read(settings, values, error) == SettingsSchema::Outcome::Invalid) {
        return std::nullopt;
    }
    // Without a budget for the fleet, a running node has its own.
    const bool changesBudget = (settings.sharedRetryRatio > 0) != (m_inForce.sharedRetryRatio > 0);
    if (changesBudget) {
        settings.sharedRetryRatio = m_inForce.sharedRetryRatio;
    }
    std::vector<SettingChange> changes;
    for (auto &[key, text] : values) {
        std::string &inForce = m_values[key];
        if (text == inForce) {
            continue;
        }
        const bool needsRestart = !isChangeable(key) || (changesBudget && key == "retry.shared_ratio");
        changes.push_back({key, inForce, text, needsRestart});
        if (!needsRestart) {
            inForce = text;
        }
    }
    copyChangeable(settings, m_inForce);
    return changes;
}

bool RunningSettings::hasFileChanged()
{
    if (m_file.empty()) {
        return false;
    }
    std::optional<std::string> text = fileText();
    const bool isStable = text == m_seenText;
    m_seenText = std::move(text);
    return isStable && m_seenText != m_readText;
}

SettingsSchema::Outcome RunningSettings::read(NodeSettings &settings, SettingsSchema::Values &values, LastReason &error)
{
    // A change from here on is found by hasFileChanged().
    m_readText = fileText();
    std::vector<const char *> arguments;
    for (const std::string &argument : m_arguments) {
        arguments.push_back(argument.c_str());
    }
    const SettingsSchema::Outcome outcome = nodeSettingsSchema(settings).read(arguments, error, &values);
    const bool isRead = outcome == SettingsSchema::Outcome::Run || outcome == SettingsSchema::Outcome::CheckOnly;
    return isRead && !deriveSettings(settings, error) ? SettingsSchema::Outcome::Invalid : outcome;
}

std::optional<std::string> RunningSettings::fileText() const
{
    std::ifstream stream(m_file, std::ios::binary);
    if (m_file.empty() || !stream) {
        return std::nullopt;
    }
    std::string text(kMaxComparedBytes, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(stream.gcount()));
    return text;
}

} // namespace fulmarledge
