#pragma once

#include <optional>
#include <string>
#include <vector>

#include "node_settings.h"

namespace fulmarledge {

/// Setting whose text differs from the one in force.
struct SettingChange {
    std::string key;
    std::string inForce;
    std::string read;
    bool needsRestart = false; ///< the text read takes effect at the next start only
};

/// Settings of a node, which are read again while it runs.
class RunningSettings
{
public:
    /// @param arguments command line of the process
    explicit RunningSettings(std::vector<std::string> arguments);

    /// Reads all settings. To be called once, before the node starts.
    SettingsSchema::Outcome load(LastReason &error);
    /// Reads the settings again and takes over those that a running node can change.
    /// @return the changes, or nothing and `error` if the settings are invalid; those in force remain then
    std::optional<std::vector<SettingChange>> reload(LastReason &error);
    /// Whether the settings file differs from the one last read. To be called periodically: a file counts as changed
    /// when two calls have found the same text, so that it is not read while it is written.
    bool hasFileChanged();

    const NodeSettings &inForce() const
    {
        return m_inForce;
    }

private:
    SettingsSchema::Outcome read(NodeSettings &settings, SettingsSchema::Values &values, LastReason &error);
    /// Start of the settings file, nothing if it cannot be read or there is none.
    std::optional<std::string> fileText() const;

    const std::vector<std::string> m_arguments;
    const std::string m_file; ///< path of the settings file, empty if there is none
    NodeSettings m_inForce;
    SettingsSchema::Values m_values; ///< texts in force
    std::optional<std::string> m_readText; ///< of the file, when it was last read
    std::optional<std::string> m_seenText; ///< of the file, at the last call of hasFileChanged()
};

} // namespace fulmarledge
