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
    std::cerr << "usage: fulmarledge-bench requests|fleet [OPTIONS]\n";
    return 2;
}
