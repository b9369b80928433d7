#pragma once

#include <cstddef>
#include <cstdint>
#include <pistache/http.h>
#include <string>
#include <string_view>

#include "httpserver.h"

namespace fulmarledge {

/// Parses the requests of one connection with Pistache's parser. The request target and the header fields come from the
/// received bytes instead, because Pistache keeps only one field of each name and sorts the query parameters, which a
/// proxy must not do.
class HttpParser
{
public:
    enum class Result : std::uint8_t { Incomplete, Done, Error };

    explicit HttpParser(std::size_t maxBodyBytes);

    /// Appends received bytes.
    void feed(std::string_view bytes)
    {
        m_buffer.append(bytes);
    }
    /// Parses up to the end of one request. After Done, `takeRequest` returns the request. After Error, no further
    /// request of the connection can be parsed.
    Result parse();
    /// Returns the parsed request, without its peer address and responder, and prepares for the next one.
    HttpCall takeRequest();

    /// Whether the client waits for "100 Continue" before it sends the body. Returns true at most once per request.
    bool takeExpectContinue();
    /// Whether the connection must be closed after the response.
    bool closesAfterResponse() const
    {
        return m_closeAfterResponse;
    }
    /// Number of received bytes not yet passed to Pistache's parser.
    std::size_t bufferedBytes() const
    {
        return m_buffer.size();
    }
    /// HTTP status that describes the error.
    int errorStatus() const
    {
        return m_errorStatus;
    }
    /// Part of the message with the error, and the reason.
    const std::string &errorText() const
    {
        return m_errorText;
    }

private:
    /// These return false after an error, `parseHeader` also while the header is incomplete.
    bool parseHeader();
    bool parseRequestLine(std::string_view line);
    bool parseField(std::string_view line);
    bool parseFraming();
    std::string_view field(std::string_view name) const;
    /// Records an error. Always returns false.
    bool fail(int status, std::string text);

    std::size_t m_maxBodyBytes;
    Pistache::Http::RequestParser m_parser;
    std::string m_buffer;
    HttpCall m_call;
    bool m_headerParsed = false;
    bool m_requestComplete = false;
    bool m_failed = false;
    bool m_chunked = false;
    std::size_t m_bodyBytesLeft = 0; ///< bytes of the Content-Length not yet passed to Pistache's parser
    bool m_closeAfterResponse = false;
    bool m_expectContinue = false;
    int m_errorStatus = 0;
    std::string m_errorText;
};

} // namespace fulmarledge
