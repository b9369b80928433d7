#pragma once

#include <memory>

#include "httpserver.h"
#include "ioloop.h"
#include "platformstandin_store.h"

namespace fulmarledge {

/// HTTP interface of the platform stand-in. The store is used on the loop's thread only.
class PlatformStandinServer
{
public:
    PlatformStandinServer(IoLoop &loop, const SocketAddress &address);
    ~PlatformStandinServer();
    PlatformStandinServer(const PlatformStandinServer &) = delete;
    PlatformStandinServer &operator=(const PlatformStandinServer &) = delete;

    PlatformStandinStore &store()
    {
        return *m_store;
    }

private:
    void tick();

    IoLoop &m_loop;
    std::shared_ptr<PlatformStandinStore> m_store;
    TimerId m_timer;
    HttpServer m_server;
};

} // namespace fulmarledge
