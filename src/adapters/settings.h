#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarledge/types.h"

namespace fulmarledge {

/// One schema for the command line and the INI file of a program. Each key is given as `--section.name VALUE` or as
/// `name = VALUE` below `[section]`; the command line goes first.
class SettingsSchema
{
public:
    /// Stores a value. Returns false and sets the reason for a bad one.
    using Parser = std::function<bool(std::string_view text, LastReason &error)>;

    explicit SettingsSchema(std::string program);

    /// A setting without a default must be given.
    void add(std::string key, std::string description, std::optional<std::string> defaultText, Parser parser);

    void addText(std::string key, std::string description, std::optional<std::string> defaultText, std::string &out);
    void addName(std::string key, std::string description, std::optional<std::string> defaultText, std::string &out);
    void addIp(std::string key, std::string description, std::optional<std::string> defaultText, std::string &out);
    void addPort(std::string key, std::string description, std::optional<std::string> defaultText, std::uint16_t &out);
    void addAddress(std::string key, std::string description, std::optional<std::string> defaultText,
                    SocketAddress &out);
    /// An empty text leaves `out` empty.
    void addOptionalAddress(std::string key, std::string description, std::optional<SocketAddress> &out);
    void addNumber(std::string key, std::string description, std::string defaultText, double min, double max,
                   double &out);
    void addInteger(std::string key, std::string description, std::string defaultText, std::int64_t min,
                    std::int64_t max, int &out);
    /// A whole number with the unit ms, s or min.
    void addDuration(std::string key, std::string description, std::string defaultText, TimeMs min, TimeMs max,
                     TimeMs &out);
    /// A whole number with the unit B, KiB or MiB.
    void addBytes(std::string key, std::string description, std::string defaultText, std::size_t min, std::size_t max,
                  std::size_t &out);
    void addChoice(std::string key, std::string description, std::string defaultText, std::vector<std::string> choices,
                   std::function<void(std::size_t)> choose);

    enum class Outcome : std::uint8_t {
        Run,
        CheckOnly, ///< --check-settings: the settings are valid
        Help,
        ShowVersion,
        Bad
    };

    /// Reads the command line and the file named by `--config`. For `Bad`, `error` names the file or the command line,
    /// the key and the reason.
    Outcome read(std::span<const char *const> arguments, LastReason &error) const;

    std::string help() const;

private:
    struct Setting {
        std::string key;
        std::string description;
        std::optional<std::string> defaultText;
        Parser parser;
    };

    std::string m_program;
    std::vector<Setting> m_settings;
};

} // namespace fulmarledge
