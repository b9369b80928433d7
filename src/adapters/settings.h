#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarledge/types.h"

namespace fulmarledge {

/// Settings of a program, read from its command line and an INI file. A key is given as `--section.name VALUE` on the
/// command line or as `name = VALUE` below `[section]` in the file. The command line takes precedence.
class SettingsSchema
{
public:
    /// Parses and stores a value. Returns false and sets `error` if it is invalid.
    using Parser = std::function<bool(std::string_view text, LastReason &error)>;

    /// @param program name of the executable, for the help text
    explicit SettingsSchema(std::string program);

    /// Adds a setting, which is required if it has no default. `read` stores the value in the output parameter of the
    /// functions below, so the referenced variable must outlive the schema.
    void add(std::string key, std::string description, std::optional<std::string> defaultText, Parser parser);

    void addText(std::string key, std::string description, std::optional<std::string> defaultText, std::string &out);
    /// A name of 1 to 63 characters of a-z, 0-9 and "-".
    void addName(std::string key, std::string description, std::optional<std::string> defaultText, std::string &out);
    /// An IPv4 address in dotted-decimal form.
    void addIp(std::string key, std::string description, std::optional<std::string> defaultText, std::string &out);
    void addPort(std::string key, std::string description, std::optional<std::string> defaultText, std::uint16_t &out);
    /// An address of the form IP:PORT.
    void addAddress(std::string key, std::string description, std::optional<std::string> defaultText,
                    SocketAddress &out);
    /// An address of the form IP:PORT. Empty text, the default, leaves `out` empty.
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
    /// One of `choices`. `choose` receives its index.
    void addChoice(std::string key, std::string description, std::string defaultText, std::vector<std::string> choices,
                   std::function<void(std::size_t)> choose);

    enum class Outcome : std::uint8_t {
        Run,
        CheckOnly, ///< the settings are valid and `--check-settings` was given
        Help,
        ShowVersion,
        Invalid
    };

    /// Texts of all settings by key, defaults included.
    using Values = std::map<std::string, std::string, std::less<>>;

    /// Reads the command line and the file named by `--config`. If it returns `Invalid`, `error` names the file or the
    /// command line, the key and the reason.
    /// @param values receives the texts that were read, if not null
    Outcome read(std::span<const char *const> arguments, LastReason &error, Values *values = nullptr) const;

    /// Text for `--help`.
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
