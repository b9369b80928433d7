#pragma once

#include "fulmarledge/ports.h"

namespace fulmarledge {

/// Object store of the platform at an address that can change.
class RemoteStore : public PlatformStore
{
public:
    /// Sends calls to `address` from now on. Calls in progress end at the former address.
    virtual void setAddress(const SocketAddress &address) = 0;
};

} // namespace fulmarledge
