#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

#include "backendstandin_p.h"

namespace options = boost::program_options;
using namespace fulmarledge;

namespace {

constexpr int kExitUsage = 2;

options::options_description describeOptions(BackendStandinSettings &settings)
{
    options::options_description all("Options of fulmarledge-backend-standin");
    auto add = all.add_options();
    add("help", "print this text");
    add("version", "print the version");
    add("address", options::value(&settings.address.ip)->default_value("127.0.0.1"), "IP address to listen on");
    add("port", options::value(&settings.address.port)->required(), "port to listen on");
    add("node-address", options::value(&settings.nodeAdminAddress.ip)->default_value("127.0.0.1"),
        "IP address of the node's admin port");
    add("node-port", options::value(&settings.nodeAdminAddress.port)->default_value(0),
        "the node's admin port, or 0 to send no announcements");
    add("service", options::value(&settings.service)->default_value("standin"), "name of the service");
    add("service-version", options::value(&settings.version)->default_value(""),
        "version of the service to announce, or empty for none");
    add("slots", options::value(&settings.slots)->default_value(settings.slots),
        "requests executed at once, also announced to the node");
    add("threads", options::value(&settings.threads)->default_value(settings.threads), "server threads");
    add("service-ms", options::value(&settings.serviceMs)->default_value(0),
        "execution time of each request, in milliseconds");
    add("cold-start-ms", options::value(&settings.coldStartMs)->default_value(0),
        "time after the start in which \"starting\" is announced, in milliseconds");
    add("linger-ms", options::value(&settings.lingerMs)->default_value(0),
        "minimum time from the start of a drain to the exit, in milliseconds");
    return all;
}

} // namespace

int main(int argc, char **argv)
{
    BackendStandinSettings settings;
    const options::options_description all = describeOptions(settings);
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, all), values);
        if (values.count("help") > 0) {
            std::cout << all;
            return 0;
        }
        if (values.count("version") > 0) {
            std::cout << "fulmarledge-backend-standin " FULMARLEDGE_VERSION "\n";
            return 0;
        }
        options::notify(values);
    } catch (const options::error &error) {
        std::cerr << error.what() << "\n" << all;
        return kExitUsage;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    try {
        BackendStandin standin(settings);
        int signal = 0;
        sigwait(&signals, &signal);
        standin.drain();
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
    return 0;
}
