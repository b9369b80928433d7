#include "httpparser_p.h"

#include <algorithm>
#include <charconv>
#include <strings.h>
#include <utility>

namespace fulmarledge {

namespace {

namespace Http = Pistache::Http;

constexpr std::size_t kMaxHeaderBytes = 64 * 1024;
/// Pistache's size limit also counts chunk sizes and trailers.
constexpr std::size_t kChunkOverheadBytes = 64 * 1024;
constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kHeaderFieldsTooLarge = 431;
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeaderEnd = "\r\n\r\n";

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = std::min(text.find_first_not_of(" \t"), text.size());
    text.remove_prefix(first);
    return text.substr(0, text.find_last_not_of(" \t") + 1);
}

bool isControlFree(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return c == '\t' || (static_cast<unsigned char>(c) >= ' ' && c != '\x7f'); });
}

} // namespace

HttpParser::HttpParser(std::size_t maxBodyBytes)
    : m_maxBodyBytes(maxBodyBytes)
    , m_parser(maxBodyBytes + kMaxHeaderBytes + kChunkOverheadBytes)
{
}

bool HttpParser::fail(int status, std::string text)
{
    m_failed = true;
    m_closeAfterResponse = true;
    m_errorStatus = status;
    m_errorText = std::move(text);
    m_buffer.clear();
    return false;
}

HttpParser::Result HttpParser::parse()
{
    if (m_requestComplete) {
        return Result::Done;
    }
    if (m_failed || (!m_headerParsed && !parseHeader())) {
        return m_failed ? Result::Error : Result::Incomplete;
    }
    // Bytes after the end of the body, as given by Content-Length, belong to the next request and stay in the buffer.
    const std::size_t feedBytes = m_chunked ? m_buffer.size() : std::min(m_buffer.size(), m_bodyBytesLeft);
    bool isWithinLimit = m_parser.feed(m_buffer.data(), feedBytes);
    m_buffer.erase(0, feedBytes);
    m_bodyBytesLeft -= m_chunked ? 0 : feedBytes;
    try {
        m_requestComplete = isWithinLimit && m_parser.parse() == Http::Private::State::Done;
    } catch (const Http::HttpError &error) {
        fail(error.code(), std::string("request: ") + error.what());
    } catch (const std::exception &error) {
        fail(kBadRequest, std::string("request: ") + error.what());
    }
    isWithinLimit = isWithinLimit && m_parser.request.body().size() <= m_maxBodyBytes;
    if (!isWithinLimit && !m_failed) {
        fail(kContentTooLarge, "body: larger than " + std::to_string(m_maxBodyBytes) + " bytes");
    }
    if (m_failed) {
        return Result::Error;
    }
    return m_requestComplete ? Result::Done : Result::Incomplete;
}

HttpCall HttpParser::takeRequest()
{
    m_call.body = m_parser.request.body();
    m_parser.reset();
    m_headerParsed = false;
    m_requestComplete = false;
    m_expectContinue = false;
    return std::exchange(m_call, {});
}

bool HttpParser::takeExpectContinue()
{
    return std::exchange(m_expectContinue, false);
}

bool HttpParser::parseHeader()
{
    while (m_buffer.starts_with(kLineEnd)) {
        // RFC 9112, section 2.2: empty lines before a request are ignored.
        m_buffer.erase(0, kLineEnd.size());
    }
    const std::size_t headerEnd = m_buffer.find(kHeaderEnd);
    if (std::min(headerEnd, m_buffer.size()) > kMaxHeaderBytes) {
        return fail(kHeaderFieldsTooLarge, "header: larger than " + std::to_string(kMaxHeaderBytes) + " bytes");
    }
    if (headerEnd == std::string::npos) {
        return false;
    }
    std::string_view header = std::string_view(m_buffer).substr(0, headerEnd + kLineEnd.size());
    bool isFirst = true;
    while (!header.empty()) {
        const std::size_t lineEnd = header.find(kLineEnd);
        const std::string_view line = header.substr(0, lineEnd);
        if (isFirst ? !parseRequestLine(line) : !parseField(line)) {
            return false;
        }
        isFirst = false;
        header.remove_prefix(lineEnd + kLineEnd.size());
    }
    if (!parseFraming()) {
        return false;
    }
    m_parser.feed(m_buffer.data(), headerEnd + kHeaderEnd.size());
    m_buffer.erase(0, headerEnd + kHeaderEnd.size());
    m_headerParsed = true;
    return true;
}

bool HttpParser::parseRequestLine(std::string_view line)
{
    const std::size_t firstSpace = line.find(' ');
    const std::size_t lastSpace = line.rfind(' ');
    if (firstSpace == std::string_view::npos || lastSpace == firstSpace) {
        return fail(kBadRequest, "request line: must have a method, a target and a version");
    }
    const std::string_view target = line.substr(firstSpace + 1, lastSpace - firstSpace - 1);
    if (!isControlFree(target) || target.find(' ') != std::string_view::npos
        || !(target.starts_with('/') || target == "*")) {
        return fail(kBadRequest, "request line: bad target");
    }
    const std::size_t query = std::min(target.find('?'), target.size());
    m_call.method = line.substr(0, firstSpace);
    m_call.path = target.substr(0, query);
    m_call.query = target.substr(query);
    m_closeAfterResponse = line.substr(lastSpace + 1) == "HTTP/1.0";
    return true;
}

bool HttpParser::parseField(std::string_view line)
{
    const std::size_t colon = std::min(line.find(':'), line.size());
    const std::string_view name = line.substr(0, colon);
    if (colon == line.size() || name.empty() || name.find_first_of(" \t") != std::string_view::npos) {
        return fail(kBadRequest, "header: a line is not a field name, a colon and a value");
    }
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (!isControlFree(name) || !isControlFree(value)) {
        return fail(kBadRequest, std::string(name) + ": control character in the value");
    }
    m_call.fields.emplace_back(name, value);
    return true;
}

std::string_view HttpParser::field(std::string_view name) const
{
    return fieldValue(m_call.fields, name);
}

bool HttpParser::parseFraming()
{
    const auto isContentLength = [](const auto &entry) { return equalsIgnoringCase(entry.first, "Content-Length"); };
    const auto lengthCount = std::count_if(m_call.fields.begin(), m_call.fields.end(), isContentLength);
    const std::string_view transferCoding = field("Transfer-Encoding");
    m_chunked = !transferCoding.empty();
    // Two parsers may disagree on which of several length specifications applies, so such requests are rejected.
    if (lengthCount > 1 || (lengthCount == 1 && m_chunked)) {
        return fail(kBadRequest, "Content-Length: given twice or beside Transfer-Encoding");
    }
    if (m_chunked && !equalsIgnoringCase(transferCoding, "chunked")) {
        return fail(kBadRequest, "Transfer-Encoding: must be chunked");
    }
    m_bodyBytesLeft = 0;
    if (lengthCount == 1) {
        const std::string_view text = field("Content-Length");
        const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), m_bodyBytesLeft);
        if (code != std::errc{} || end != text.data() + text.size()) {
            return fail(kBadRequest, "Content-Length: must be a whole number");
        }
        if (m_bodyBytesLeft > m_maxBodyBytes) {
            return fail(kContentTooLarge, "body: larger than " + std::to_string(m_maxBodyBytes) + " bytes");
        }
    }
    // Only Pistache's parser finds the end of a chunked body, so bytes that follow it cannot be kept for the next
    // request.
    m_closeAfterResponse = m_closeAfterResponse || m_chunked || equalsIgnoringCase(field("Connection"), "close");
    m_expectContinue = equalsIgnoringCase(field("Expect"), "100-continue");
    return true;
}

} // namespace fulmarledge
