#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "httpconnection_p.h"

namespace fulmarledge {

/// Responder of one request of a connection.
class ConnectionResponder : public HttpResponder
{
public:
    ConnectionResponder(std::shared_ptr<HttpConnection> connection, ResponseQueue::Number request)
        : m_connection(std::move(connection))
        , m_request(request)
    {
    }
    void onClosed(std::function<void()> callback) override
    {
        m_connection->onClosed(m_request, std::move(callback));
    }
    void send(int status, const HttpFields &fields, std::string body) override
    {
        m_connection->respond(m_request, status, fields, std::move(body));
    }
    void sendRawAndClose(const std::string &bytes) override
    {
        m_connection->sendRawAndClose(m_request, bytes);
    }

private:
    std::shared_ptr<HttpConnection> m_connection;
    ResponseQueue::Number m_request;
};

} // namespace fulmarledge
