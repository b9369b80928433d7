#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "httpserver.h"

namespace fulmarledge {

/// Incremental parser of HTTP/1.1 requests (RFC 9112). Keeps repeated fields and the target as they were received.
/// Pistache's own parser merges repeated fields and query parameters, which a proxy must not do.
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
    bool isBuffering() const
    {
        return !m_in.empty();
    }
    /// Bytes received and not yet parsed.
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
    enum class State : std::uint8_t { Head, Body, ChunkSize, ChunkData, ChunkEnd, Trailer, Done, Failed };

    bool step();
    bool parseHead();
    bool parseRequestLine(std::string_view line);
    bool parseField(std::string_view line);
    bool readFraming();
    bool parseBody();
    bool parseChunkSize();
    bool parseChunkData();
    bool parseChunkEnd();
    bool parseTrailer();
    bool takeLine(std::string &line);
    bool fail(int status, std::string text);

    std::size_t m_maxBodyBytes;
    State m_state = State::Head;
    std::string m_in;
    std::size_t m_searched = 0;
    std::uint64_t m_left = 0;
    std::size_t m_trailerBytes = 0;
    bool m_close = false;
    bool m_expectContinue = false;
    HttpCall m_call;
    int m_errorStatus = 0;
    std::string m_errorText;
};

} // namespace fulmarledge
