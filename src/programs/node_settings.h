#pragma once

#include <string>

#include "fulmarledge/controlnode.h"
#include "requestpath.h"
#include "settings.h"

namespace fulmarledge {

struct NodeSettings {
    std::string host;
    std::string zone;
    std::string address;
    std::uint16_t callerPort = 0;
    std::uint16_t adminPort = 0;
    std::uint16_t controlPort = 0;
    std::uint16_t hopPort = 0;
    SocketAddress platform;
    std::string logLevel;
    int expectedHosts = 0;
    TimeMs announceTimeoutMs = 0;
    TimeMs leaveDelayMs = 0;
    ControlSettings control;
    RequestPathSettings requests;
};

/// Describes every setting of a node. The schema writes into `settings`, which must outlive it.
SettingsSchema nodeSchema(NodeSettings &settings);

/// Fills the parts of `settings` that follow from others, after they have been read.
void completeSettings(NodeSettings &settings);

} // namespace fulmarledge
