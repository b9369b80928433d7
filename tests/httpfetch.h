#pragma once

#include "httpclient.h"
#include "ioloop.h"

namespace fulmarledge {

/// Sends one request on an event loop of its own and waits for the result.
inline HttpResult fetch(const HttpRequest &request)
{
    IoLoop loop;
    HttpClient client(loop, 1);
    HttpResult result;
    client.send(request, [&](HttpResult received) {
        result = std::move(received);
        loop.stop();
    });
    loop.run();
    return result;
}

} // namespace fulmarledge
