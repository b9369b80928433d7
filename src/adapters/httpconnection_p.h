#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unistd.h>

#include "httpparser_p.h"
#include "httpserver.h"
#include "ioloop.h"

namespace fulmarledge {

/// One connection of a caller. Writes go to a duplicate of the socket: the number of Pistache's own descriptor may
/// belong to another caller by the time that an answer is ready.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(int fd, std::string peerIp, std::size_t maxBodyBytes, std::shared_ptr<const HttpCallHandler> handler,
               IoLoop &writeLoop)
        : m_fd(::dup(fd))
        , m_peerIp(std::move(peerIp))
        , m_maxBodyBytes(maxBodyBytes)
        , m_parser(maxBodyBytes)
        , m_handler(std::move(handler))
        , m_writeLoop(writeLoop)
    {
    }
    ~Connection()
    {
        ::close(m_fd);
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void onInput(std::string_view bytes);
    void onDisconnected();
    void onClosed(std::function<void()> callback);
    void respond(int status, const HttpFields &fields, std::string body);
    void sendRawAndClose(const std::string &bytes);

private:
    using Lock = std::unique_lock<std::mutex>;

    void advance(Lock &lock);
    bool handleNext(Lock &lock);
    void write(std::string head, std::string body);
    void writeLater(std::string rest);
    bool writeSome(std::string &rest) const;
    void afterWrite();

    const int m_fd;
    const std::string m_peerIp;
    const std::size_t m_maxBodyBytes;
    std::mutex m_mutex;
    HttpParser m_parser;
    const std::shared_ptr<const HttpCallHandler> m_handler;
    IoLoop &m_writeLoop;
    bool m_busy = false; ///< a call is with the handler, or its response is being written
    bool m_advancing = false;
    bool m_closed = false;
    bool m_closeAfter = false;
    bool m_head = false;
    std::function<void()> m_onClosed;
};

} // namespace fulmarledge
