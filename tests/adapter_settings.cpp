#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>

#include "settings.h"

using namespace fulmarledge;

namespace {

constexpr const char *kSettingsFile = "settings-test.ini";

struct Values {
    std::string ip;
    std::uint16_t port = 0;
    TimeMs period = 0;
    std::size_t bytes = 0;
};

/// Reads `text` as a settings file and returns the error, or an empty string.
std::string readSettings(const std::string &text, Values &values, std::vector<const char *> extraArguments = {})
{
    std::ofstream(kSettingsFile) << text;
    SettingsSchema schema("test");
    schema.addIp("node.address", "address", std::nullopt, values.ip);
    schema.addPort("node.port", "port", "80", values.port);
    schema.addDuration("node.period", "period", "1s", 10, 60000, values.period);
    schema.addBytes("node.bytes", "size", "1MiB", 1, 1 << 30, values.bytes);
    std::vector<const char *> arguments{"test", "--config", kSettingsFile};
    arguments.insert(arguments.end(), extraArguments.begin(), extraArguments.end());
    LastReason error;
    const auto outcome = schema.read(arguments, error);
    std::remove(kSettingsFile);
    return outcome == SettingsSchema::Outcome::Invalid ? error.text() : "";
}

} // namespace

// Guards against an invalid setting that is ignored, replaced by its default or rejected without naming it.
TEST_CASE("an invalid setting is rejected with its file, key and reason")
{
    Values values;
    CHECK(readSettings("[node]\naddress = example.org\n", values)
          == "settings-test.ini: node.address: \"example.org\" is not a dotted-decimal IPv4 address");
    CHECK(readSettings("[node]\naddress = 127.0.0.1\nport = 70000\n", values)
          == "settings-test.ini: node.port: \"70000\" is not a port from 1 to 65535");
    CHECK(readSettings("[node]\naddress = 127.0.0.1\nperiod = 5\n", values)
          == "settings-test.ini: node.period: \"5\" is not a whole number with a unit of ms, s, min");
    CHECK(readSettings("[node]\naddress = 127.0.0.1\nperiod = 5h\n", values)
          == "settings-test.ini: node.period: \"5h\" is not a whole number with a unit of ms, s, min");
    CHECK(readSettings("[node]\naddress = 127.0.0.1\nperiod = 2min\n", values)
          == "settings-test.ini: node.period: \"2min\" is out of range: from 10ms to 60000ms");
    CHECK(readSettings("[node]\naddress = 127.0.0.1\ncolour = red\n", values)
          == "settings-test.ini: node.colour: unknown key");
    CHECK(readSettings("[node]\nport = 1\n", values) == "settings-test.ini: node.address: missing");
}

// Guards against a value in the file overriding the one on the command line.
TEST_CASE("the command line takes precedence over the file")
{
    Values values;
    CHECK(readSettings("[node]\naddress = 127.0.0.1\nport = 8080\nperiod = 250ms\nbytes = 2KiB\n", values,
                       {"--node.port", "9090"})
              .empty());
    CHECK(values.port == 9090);
    CHECK(values.period == 250);
    CHECK(values.bytes == 2048);
}
