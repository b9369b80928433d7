#include <exception>
#include <iostream>

#include "ctl_commands.h"

int main(int argc, char **argv)
{
    using namespace fulmarledge;
    LastReason error;
    const auto options = readCtlOptions(argc, argv, error);
    if (!options) {
        std::cerr << "usage: " << error.text() << "; see fulmarledgectl --help\n";
        return static_cast<int>(ExitCode::Usage);
    }
    if (!options->infoText.empty()) {
        std::cout << options->infoText;
        return 0;
    }
    try {
        return static_cast<int>(CtlCommands(*options).run());
    } catch (const std::exception &exception) {
        std::cerr << "fulmarledgectl: " << exception.what() << '\n';
        // The exception may have been thrown after an update of `head` was sent, so its outcome is unknown.
        const bool writes = options->command == "submit" || options->command == "revert"
            || (options->command == "rollout" && options->words.front() == "start");
        return static_cast<int>(writes ? ExitCode::UnknownOutcome : ExitCode::Unavailable);
    }
}
