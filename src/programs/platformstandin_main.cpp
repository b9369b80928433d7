#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "platformstandin_http.h"

namespace {

namespace options = boost::program_options;
using namespace fulmarledge;

int serve(const SocketAddress &address)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    IoLoop loop;
    const int signalFd = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    loop.addFd(signalFd, EPOLLIN, [&](std::uint32_t) { loop.stop(); });
    PlatformStandinServer server(loop, address);
    loop.run();
    close(signalFd);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    std::string address;
    std::uint16_t port = 0;
    options::options_description description("fulmarledge-platform-standin");
    description.add_options()("help", "prints this text")("version", "prints the version")(
        "address", options::value(&address)->default_value("127.0.0.1"),
        "address to listen on")("port", options::value(&port)->default_value(18080), "port to listen on");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
        if (values.contains("help")) {
            std::cout << description;
            return 0;
        }
        if (values.contains("version")) {
            std::cout << FULMARLEDGE_VERSION << '\n';
            return 0;
        }
    } catch (const options::error &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    try {
        return serve({address, port});
    } catch (const std::exception &error) {
        std::cerr << "cannot serve on " << address << ":" << port << ": " << error.what() << '\n';
        return 1;
    }
}
