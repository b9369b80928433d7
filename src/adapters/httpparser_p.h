#pragma once

#include <cstddef>
#include <cstdint>
#include <pistache/http.h>
#include <string>
#include <string_view>

#include "httpserver.h"

namespace fulmarledge {

/// Requests of one connection, parsed by Pistache. The target and the fields are taken from the received text, because
/// Pistache's request keeps one field of each name and sorts the query's parameters, which a proxy must not do.
class HttpParser
{
public:
    enum class Result : std::uint8_t { Incomplete, Done, Error };

    explicit HttpParser(std::size_t maxBodyBytes);

    void feed(std::string_view bytes)
    {
        m_in.append(bytes);
    }
    /// Parses up to the end of one request. After Done, take it with `take`; after Error, the connection is unusable.
    Result parse();
    HttpCall take();

    /// The client waits for "100 Continue" before it sends the body. True once per request.
    bool takeExpectContinue();
    /// The connection ends after the response.
    bool wantsClose() const
    {
        return m_close;
    }
    /// Bytes received and not yet given to the parser.
    std::size_t bufferedBytes() const
    {
        return m_in.size();
    }
    int errorStatus() const
    {
        return m_errorStatus;
    }
    /// Field or part of the message, and the reason.
    const std::string &errorText() const
    {
        return m_errorText;
    }

private:
    bool readHead();
    bool readTarget(std::string_view line);
    bool readField(std::string_view line);
    bool readFraming();
    std::string_view field(std::string_view name) const;
    bool fail(int status, std::string text);

    std::size_t m_maxBodyBytes;
    Pistache::Http::RequestParser m_parser;
    std::string m_in;
    HttpCall m_call;
    bool m_headRead = false;
    bool m_done = false;
    bool m_failed = false;
    bool m_chunked = false;
    std::size_t m_bodyLeft = 0; ///< bytes of a body with a declared length that have not been given to the parser
    bool m_close = false;
    bool m_expectContinue = false;
    int m_errorStatus = 0;
    std::string m_errorText;
};

} // namespace fulmarledge
