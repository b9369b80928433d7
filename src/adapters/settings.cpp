#include "settings.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <charconv>
#include <fstream>
#include <sstream>

#include "socket.h"

namespace fulmarledge {

namespace {

namespace po = boost::program_options;

std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (code != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

struct Unit {
    std::string_view name;
    std::int64_t factor;
};

/// Parses a whole number followed by one of `units`. `min` and `max` are in the first unit, which has the factor 1.
bool parseWithUnit(std::string_view text, std::span<const Unit> units, std::int64_t min, std::int64_t max,
                   std::int64_t &out, LastReason &error)
{
    const std::size_t digits = std::min(text.find_first_not_of("0123456789"), text.size());
    const auto number = parseInteger(text.substr(0, digits));
    std::string_view suffix = text.substr(digits);
    while (!suffix.empty() && suffix.front() == ' ') {
        suffix.remove_prefix(1);
    }
    std::string unitNames;
    for (const Unit &unit : units) {
        unitNames += (unitNames.empty() ? "" : ", ");
        unitNames += unit.name;
        if (!number || suffix != unit.name) {
            continue;
        }
        if (*number > max / unit.factor || *number * unit.factor < min) {
            error.set("\"" + std::string(text) + "\" is out of range: from " + std::to_string(min)
                      + std::string(units.front().name) + " to " + std::to_string(max)
                      + std::string(units.front().name));
            return false;
        }
        out = *number * unit.factor;
        return true;
    }
    error.set("\"" + std::string(text) + "\" is not a whole number with a unit of " + unitNames);
    return false;
}

constexpr Unit kDurationUnits[] = {{"ms", 1}, {"s", 1000}, {"min", 60000}};
constexpr Unit kByteUnits[] = {{"B", 1}, {"KiB", 1024}, {"MiB", 1024 * 1024}};

} // namespace

SettingsSchema::SettingsSchema(std::string program)
    : m_program(std::move(program))
{
}

void SettingsSchema::add(std::string key, std::string description, std::optional<std::string> defaultText,
                         Parser parser)
{
    m_settings.push_back({std::move(key), std::move(description), std::move(defaultText), std::move(parser)});
}

void SettingsSchema::addText(std::string key, std::string description, std::optional<std::string> defaultText,
                             std::string &out)
{
    add(std::move(key), std::move(description), std::move(defaultText), [&out](std::string_view text, LastReason &) {
        out = text;
        return true;
    });
}

void SettingsSchema::addName(std::string key, std::string description, std::optional<std::string> defaultText,
                             std::string &out)
{
    add(std::move(key), std::move(description), std::move(defaultText),
        [&out](std::string_view text, LastReason &error) {
            const auto isAllowed = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
            if (text.empty() || text.size() > 63 || !std::all_of(text.begin(), text.end(), isAllowed)) {
                error.set("\"" + std::string(text) + "\" is not a name of 1 to 63 characters of a-z, 0-9 and \"-\"");
                return false;
            }
            out = text;
            return true;
        });
}

void SettingsSchema::addIp(std::string key, std::string description, std::optional<std::string> defaultText,
                           std::string &out)
{
    add(std::move(key), std::move(description), std::move(defaultText),
        [&out](std::string_view text, LastReason &error) {
            if (!toSockaddr({std::string(text), 0})) {
                error.set("\"" + std::string(text) + "\" is not a dotted-decimal IPv4 address");
                return false;
            }
            out = text;
            return true;
        });
}

void SettingsSchema::addPort(std::string key, std::string description, std::optional<std::string> defaultText,
                             std::uint16_t &out)
{
    add(std::move(key), std::move(description), std::move(defaultText),
        [&out](std::string_view text, LastReason &error) {
            const auto number = parseInteger(text);
            if (!number || *number < 1 || *number > 65535) {
                error.set("\"" + std::string(text) + "\" is not a port from 1 to 65535");
                return false;
            }
            out = static_cast<std::uint16_t>(*number);
            return true;
        });
}

void SettingsSchema::addAddress(std::string key, std::string description, std::optional<std::string> defaultText,
                                SocketAddress &out)
{
    add(std::move(key), std::move(description), std::move(defaultText),
        [&out](std::string_view text, LastReason &error) {
            const auto address = parseSocketAddress(text, error);
            if (address) {
                out = *address;
            }
            return address.has_value();
        });
}

void SettingsSchema::addOptionalAddress(std::string key, std::string description, std::optional<SocketAddress> &out)
{
    add(std::move(key), std::move(description), "", [&out](std::string_view text, LastReason &error) {
        out.reset();
        if (text.empty()) {
            return true;
        }
        out = parseSocketAddress(text, error);
        return out.has_value();
    });
}

void SettingsSchema::addNumber(std::string key, std::string description, std::string defaultText, double min,
                               double max, double &out)
{
    add(std::move(key), std::move(description), std::move(defaultText),
        [min, max, &out](std::string_view text, LastReason &error) {
            double value = 0;
            const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
            if (code != std::errc{} || end != text.data() + text.size() || !(value >= min && value <= max)) {
                error.set("\"" + std::string(text) + "\" is not a number from " + std::to_string(min) + " to "
                          + std::to_string(max));
                return false;
            }
            out = value;
            return true;
        });
}

void SettingsSchema::addInteger(std::string key, std::string description, std::string defaultText, std::int64_t min,
                                std::int64_t max, int &out)
{
    add(std::move(key), std::move(description), std::move(defaultText),
        [min, max, &out](std::string_view text, LastReason &error) {
            const auto number = parseInteger(text);
            if (!number || *number < min || *number > max) {
                error.set("\"" + std::string(text) + "\" is not a whole number from " + std::to_string(min) + " to "
                          + std::to_string(max));
                return false;
            }
            out = static_cast<int>(*number);
            return true;
        });
}

void SettingsSchema::addDuration(std::string key, std::string description, std::string defaultText, TimeMs min,
                                 TimeMs max, TimeMs &out)
{
    add(std::move(key), std::move(description), std::move(defaultText),
        [min, max, &out](std::string_view text, LastReason &error) {
            return parseWithUnit(text, kDurationUnits, min, max, out, error);
        });
}

void SettingsSchema::addBytes(std::string key, std::string description, std::string defaultText, std::size_t min,
                              std::size_t max, std::size_t &out)
{
    add(std::move(key), std::move(description), std::move(defaultText),
        [min, max, &out](std::string_view text, LastReason &error) {
            std::int64_t value = 0;
            const bool parsed = parseWithUnit(text, kByteUnits, static_cast<std::int64_t>(min),
                                              static_cast<std::int64_t>(max), value, error);
            if (parsed) {
                out = static_cast<std::size_t>(value);
            }
            return parsed;
        });
}

void SettingsSchema::addChoice(std::string key, std::string description, std::string defaultText,
                               std::vector<std::string> choices, std::function<void(std::size_t)> choose)
{
    add(std::move(key), std::move(description), std::move(defaultText),
        [choices = std::move(choices), choose = std::move(choose)](std::string_view text, LastReason &error) {
            const auto found = std::find(choices.begin(), choices.end(), text);
            if (found != choices.end()) {
                choose(static_cast<std::size_t>(found - choices.begin()));
                return true;
            }
            std::string choiceList;
            for (const std::string &choice : choices) {
                choiceList += (choiceList.empty() ? "" : ", ") + choice;
            }
            error.set("\"" + std::string(text) + "\" is not one of " + choiceList);
            return false;
        });
}

SettingsSchema::Outcome SettingsSchema::read(std::span<const char *const> arguments, LastReason &error,
                                             Values *values) const
{
    po::options_description fileOptions;
    for (const Setting &setting : m_settings) {
        fileOptions.add_options()(setting.key.c_str(), po::value<std::string>(), setting.description.c_str());
    }
    po::options_description allOptions;
    allOptions.add(fileOptions);
    allOptions.add_options()("config", po::value<std::string>())("check-settings", "")("help", "")("version", "");
    po::variables_map commandLineValues;
    po::variables_map fileValues;
    std::string file;
    std::string source = "command line";
    try {
        po::store(po::command_line_parser(static_cast<int>(arguments.size()), arguments.data())
                      .options(allOptions)
                      .style(po::command_line_style::unix_style & ~po::command_line_style::allow_guessing)
                      .run(),
                  commandLineValues);
        if (commandLineValues.count("help") > 0) {
            return Outcome::Help;
        }
        if (commandLineValues.count("version") > 0) {
            return Outcome::ShowVersion;
        }
        if (commandLineValues.count("config") > 0) {
            file = commandLineValues["config"].as<std::string>();
            source = file;
            std::ifstream stream(file);
            if (!stream) {
                error.set(file + ": cannot be read");
                return Outcome::Invalid;
            }
            po::store(po::parse_config_file(stream, fileOptions), fileValues);
        }
    } catch (const po::unknown_option &exception) {
        error.set(source + ": " + exception.get_option_name() + ": unknown key");
        return Outcome::Invalid;
    } catch (const po::error &exception) {
        error.set(source + ": " + exception.what());
        return Outcome::Invalid;
    }
    for (const Setting &setting : m_settings) {
        std::string text;
        std::string valueSource = "default";
        if (commandLineValues.count(setting.key) > 0) {
            text = commandLineValues[setting.key].as<std::string>();
            valueSource = "command line";
        } else if (fileValues.count(setting.key) > 0) {
            text = fileValues[setting.key].as<std::string>();
            valueSource = file;
        } else if (setting.defaultText) {
            text = *setting.defaultText;
        } else {
            error.set((file.empty() ? "command line" : file) + ": " + setting.key + ": missing");
            return Outcome::Invalid;
        }
        LastReason reason;
        if (!setting.parser(text, reason)) {
            error.set(valueSource + ": " + setting.key + ": " + reason.text());
            return Outcome::Invalid;
        }
        if (values != nullptr) {
            (*values)[setting.key] = std::move(text);
        }
    }
    return commandLineValues.count("check-settings") > 0 ? Outcome::CheckOnly : Outcome::Run;
}

std::string SettingsSchema::help() const
{
    std::ostringstream text;
    text << "Usage: " << m_program << " [--config FILE] [--SECTION.NAME VALUE ...]\n\n"
         << "  --config FILE     INI file with the settings below\n"
         << "  --check-settings  check the settings and exit\n"
         << "  --help, --version\n\n";
    for (const Setting &setting : m_settings) {
        text << "  --" << setting.key << "\n      " << setting.description;
        if (setting.defaultText) {
            text << " (default " << (setting.defaultText->empty() ? "none" : *setting.defaultText) << ")";
        } else {
            text << " (required)";
        }
        text << "\n";
    }
    return text.str();
}

} // namespace fulmarledge
