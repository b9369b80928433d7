#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "httpserver.h"

namespace fulmarledge {

/// Parses the requests of one connection with Boost.Beast. The result does not depend on how the input is cut into
/// pieces, and the steps are bounded by the number of bytes.
class HttpParser
{
public:
    enum class Result : std::uint8_t { Incomplete, Done, Error };

    explicit HttpParser(std::size_t maxBodyBytes, std::size_t maxHeaderBytes = kDefaultMaxHeaderBytes);
    ~HttpParser();
    HttpParser(const HttpParser &) = delete;
    HttpParser &operator=(const HttpParser &) = delete;

    /// Sets the limits from the next request on.
    void setLimits(std::size_t maxBodyBytes, std::size_t maxHeaderBytes);
    /// Appends received bytes.
    void feed(std::string_view bytes)
    {
        m_buffer.append(bytes);
    }
    /// Parses up to the end of one request. After Done, `takeRequest` returns the request. After Error, no further
    /// request of the connection can be parsed.
    Result parse();
    /// The parsed request, after Done and before `takeRequest`.
    const HttpCall &request() const;
    /// Returns the parsed request, without its peer address and responder, and prepares for the next one.
    HttpCall takeRequest();

    /// Drops what was received. No further request of the connection can be parsed.
    void discard();

    /// Whether the client waits for "100 Continue" before it sends the body. Returns true at most once per request.
    bool takeExpectContinue();
    /// Whether the connection must be closed after the response.
    bool closesAfterResponse() const
    {
        return m_closeAfterResponse;
    }
    /// Received bytes that are held: those that are not parsed yet, and those of the request that is not taken yet.
    std::size_t heldBytes() const;
    /// Whether a part of a request has been received.
    bool isInsideRequest() const
    {
        return m_message != nullptr || !m_buffer.empty();
    }
    /// Whether the header of a request has been received, but not the whole body.
    bool isInsideBody() const
    {
        return m_message != nullptr && !m_requestComplete;
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
    class Message;

    static constexpr std::size_t kDefaultMaxHeaderBytes = 64 * 1024;

    /// Parses the header. Returns false while it is incomplete and after an error.
    bool beginMessage();
    /// Passes the next piece of the body to the message. Returns false when it needs more input, and after an error.
    bool continueBody();
    /// Records an error. Always returns false.
    bool fail(int status, std::string text);

    std::size_t m_maxBodyBytes;
    std::size_t m_maxHeaderBytes;
    std::string m_buffer;
    std::size_t m_parsedBytes = 0; ///< bytes at the start of the buffer that the message has taken
    std::size_t m_searchedBytes = 0; ///< bytes of the buffer in which the header does not end
    std::unique_ptr<Message> m_message; ///< request in progress, from the end of its header on
    bool m_requestComplete = false;
    bool m_failed = false;
    bool m_closeAfterResponse = false;
    bool m_expectContinue = false;
    int m_errorStatus = 0;
    std::string m_errorText;
};

} // namespace fulmarledge
