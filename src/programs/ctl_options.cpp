#include "ctl_options.h"

#include <arpa/inet.h>
#include <boost/program_options.hpp>
#include <charconv>
#include <fstream>
#include <map>
#include <sstream>

namespace fulmarledge {

namespace {

namespace options = boost::program_options;

constexpr const char *kUsage = R"(Usage: fulmarledgectl [options] COMMAND [ARGUMENT]

Commands:
  check FILE            checks a manifest without contacting the platform
  submit FILE           submits a manifest as the next version
  revert VERSION        accepts the content of an earlier version as the next version
  history               lists the latest accepted versions
  status                shows every node, as the nodes report it
  explain NODE|SERVICE  shows one node, or why each backend server of a service is used or not
  rollout start SERVICE VERSION --duration TIME
                        orders the rollout of a service to a version, to be done within TIME, e.g. 12s
  rollout status [SERVICE]
                        shows the orders and their states

Exit codes: 0 accepted or done, 2 usage, 3 invalid, 4 conflict, 5 unavailable, 6 unknown outcome,
7 timed out in --wait, 8 not found.

)";

options::options_description settingsOptions()
{
    options::options_description settings("Options, also keys of the settings file");
    settings.add_options()("platform", options::value<std::string>(), "IP:PORT of the platform")(
        "node", options::value<std::vector<std::string>>(), "IP:PORT of a node's admin port; may be repeated")(
        "output", options::value<std::string>()->default_value("table"), "table or json")(
        "wait-ms", options::value<std::int64_t>()->default_value(10000), "limit of --wait, in milliseconds")(
        "timeout-ms", options::value<std::int64_t>()->default_value(5000),
        "limit of one call to the platform, in milliseconds")("retry-ms",
                                                              options::value<std::int64_t>()->default_value(30000),
                                                              "limit of the retries of a submission, in milliseconds");
    return settings;
}

options::options_description commandLineOptions()
{
    options::options_description commandLine("Options of the command line");
    commandLine.add_options()("help", "prints this text")("version", "prints the version")(
        "settings", options::value<std::string>(), "settings file in INI format")(
        "expect", options::value<Version>(), "refuses unless VERSION is the newest accepted version")(
        "wait", "waits until every live node runs the accepted version")("duration", options::value<std::string>(),
                                                                         "time of a rollout, in s or ms, e.g. 12s");
    return commandLine;
}

void readSettingsFile(const options::options_description &settings, options::variables_map &values)
{
    if (!values.contains("settings")) {
        return;
    }
    const auto name = values["settings"].as<std::string>();
    std::ifstream file(name);
    if (!file) {
        throw options::error("cannot read settings file " + name);
    }
    options::store(options::parse_config_file(file, settings), values);
}

SocketAddress parseAddressOption(const std::string &option, const std::string &text)
{
    const auto address = parseIpAndPort(text);
    if (!address) {
        throw options::error(option + ": \"" + text + "\" is not an IPv4 address and port");
    }
    return *address;
}

/// Milliseconds of a text such as "12s" or "12500ms".
TimeMs parseDuration(const std::string &text)
{
    TimeMs number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
    constexpr TimeMs kMaxDurationMs = 86400000;
    const TimeMs factor = unit == "s" ? 1000 : unit == "ms" ? 1 : 0;
    if (error != std::errc() || factor == 0 || number < 1 || number > kMaxDurationMs / factor) {
        throw options::error("duration: \"" + text + "\" is not a time from 1ms to 86400s, with the unit s or ms");
    }
    return number * factor;
}

/// Checks the words and options of `rollout`. Throws when they are invalid.
void checkRollout(const CtlOptions &result)
{
    const std::string action = result.words.empty() ? "" : result.words.front();
    if (action == "start" ? result.words.size() != 3 : action != "status" || result.words.size() > 2) {
        throw options::error("rollout: needs \"start SERVICE VERSION\" or \"status [SERVICE]\"");
    }
    if ((result.durationMs > 0) != (action == "start")) {
        throw options::error(action == "start" ? "rollout start: needs --duration"
                                               : "rollout status: takes no --duration");
    }
    if (!result.platform) {
        throw options::error("rollout: needs --platform");
    }
}

std::int64_t positiveOption(const options::variables_map &values, const std::string &name)
{
    const auto value = values[name].as<std::int64_t>();
    if (value < 1) {
        throw options::error(name + ": must be above 0");
    }
    return value;
}

CtlOptions toCtlOptions(const options::variables_map &values)
{
    CtlOptions result;
    if (values.contains("platform")) {
        result.platform = parseAddressOption("platform", values["platform"].as<std::string>());
    }
    if (values.contains("node")) {
        for (const std::string &node : values["node"].as<std::vector<std::string>>()) {
            result.nodes.push_back(parseAddressOption("node", node));
        }
    }
    const auto output = values["output"].as<std::string>();
    if (output != "table" && output != "json") {
        throw options::error("output: must be \"table\" or \"json\"");
    }
    result.json = output == "json";
    if (values.contains("expect")) {
        result.expect = values["expect"].as<Version>();
    }
    result.wait = values.contains("wait");
    if (values.contains("duration")) {
        result.durationMs = parseDuration(values["duration"].as<std::string>());
    }
    result.waitMs = positiveOption(values, "wait-ms");
    result.timeoutMs = positiveOption(values, "timeout-ms");
    result.retryMs = positiveOption(values, "retry-ms");
    return result;
}

/// Checks that the command is known and has the argument and options it requires. Throws when it has not.
/// @param wordCount words of the command line that are not options, the command included
void checkCommand(const CtlOptions &result, std::size_t wordCount)
{
    struct Requirements {
        std::size_t requiredWords;
        bool needsPlatform;
        bool needsNode;
    };
    static const std::map<std::string, Requirements> kRequirements{
        {"check", {2, false, false}},  {"submit", {2, true, false}}, {"revert", {2, true, false}},
        {"history", {1, true, false}}, {"status", {1, false, true}}, {"explain", {2, false, true}},
    };
    const auto requirements = kRequirements.find(result.command);
    if (requirements == kRequirements.end()) {
        throw options::error(result.command.empty() ? "no command given"
                                                    : "unknown command \"" + result.command + "\"");
    }
    if (wordCount != requirements->second.requiredWords) {
        throw options::error(
            result.command
            + (requirements->second.requiredWords == 2 ? ": needs one argument" : ": takes no argument"));
    }
    const bool writes = result.command == "submit" || result.command == "revert";
    if ((result.expect || result.wait) && !writes) {
        throw options::error(result.command + ": takes neither --expect nor --wait");
    }
    if (result.durationMs > 0) {
        throw options::error(result.command + ": takes no --duration");
    }
    if (requirements->second.needsPlatform && !result.platform) {
        throw options::error(result.command + ": needs --platform");
    }
    if ((requirements->second.needsNode || result.wait) && result.nodes.empty()) {
        throw options::error((result.wait ? "--wait" : result.command) + ": needs --node");
    }
}

std::string helpText()
{
    std::ostringstream text;
    text << kUsage << settingsOptions() << '\n' << commandLineOptions();
    return text.str();
}

CtlOptions parseCommandLine(int argc, const char *const *argv)
{
    const options::options_description settings = settingsOptions();
    options::options_description positionalOptions;
    positionalOptions.add_options()("word", options::value<std::vector<std::string>>());
    options::options_description all;
    all.add(settings).add(commandLineOptions()).add(positionalOptions);
    options::positional_options_description positions;
    positions.add("word", -1);
    options::variables_map values;
    options::store(options::command_line_parser(argc, argv).options(all).positional(positions).run(), values);
    if (values.contains("help") || values.contains("version")) {
        CtlOptions result;
        result.infoText = values.contains("help") ? helpText() : std::string(FULMARLEDGE_VERSION) + "\n";
        return result;
    }
    readSettingsFile(settings, values);
    options::notify(values);
    CtlOptions result = toCtlOptions(values);
    std::vector<std::string> givenWords;
    if (values.contains("word")) {
        givenWords = values["word"].as<std::vector<std::string>>();
    }
    result.command = givenWords.empty() ? "" : givenWords[0];
    result.argument = givenWords.size() < 2 ? "" : givenWords[1];
    if (result.command == "rollout") {
        result.words.assign(givenWords.begin() + 1, givenWords.end());
        checkRollout(result);
        return result;
    }
    checkCommand(result, givenWords.size());
    return result;
}

} // namespace

std::optional<SocketAddress> parseIpAndPort(const std::string &text)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    SocketAddress address{text.substr(0, colon), 0};
    in_addr parsed{};
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, address.port);
    if (inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1 || error != std::errc() || stop != end
        || address.port == 0) {
        return std::nullopt;
    }
    return address;
}

std::optional<CtlOptions> readCtlOptions(int argc, const char *const *argv, LastReason &error)
{
    try {
        return parseCommandLine(argc, argv);
    } catch (const options::error &exception) {
        error.set(exception.what());
        return std::nullopt;
    }
}

} // namespace fulmarledge
