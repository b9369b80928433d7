#include <iostream>
#include <string_view>

#include "bench_p.h"

int main(int argc, char **argv)
{
    const std::string_view command = argc > 1 ? argv[1] : "";
    if (command == "requests") {
        return fulmarledge::benchRequests(argc - 1, argv + 1);
    }
    if (command == "fleet") {
        return fulmarledge::benchFleet(argc - 1, argv + 1);
    }
    if (command == "--version") {
        std::cout << "fulmarledge-bench " FULMARLEDGE_VERSION "\n";
        return 0;
    }
    constexpr std::string_view kUsage = "usage: fulmarledge-bench requests|fleet [OPTIONS]; each takes --help\n";
    if (command == "--help") {
        std::cout << kUsage;
        return 0;
    }
    std::cerr << kUsage;
    return 2;
}
