#include "httpparser_p.h"

#include <algorithm>
#include <charconv>
#include <strings.h>
#include <utility>

namespace fulmarledge {

namespace {

namespace Http = Pistache::Http;

constexpr std::size_t kMaxHeadBytes = 64 * 1024;
/// Pistache's size limit also counts chunk sizes and trailers.
constexpr std::size_t kChunkOverheadBytes = 64 * 1024;
constexpr int kBadRequest = 400;
constexpr int kTooLarge = 413;
constexpr int kFieldsTooLarge = 431;
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";

bool equalText(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = std::min(text.find_first_not_of(" \t"), text.size());
    text.remove_prefix(first);
    return text.substr(0, text.find_last_not_of(" \t") + 1);
}

bool isPlain(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return c == '\t' || (static_cast<unsigned char>(c) >= ' ' && c != '\x7f'); });
}

} // namespace

HttpParser::HttpParser(std::size_t maxBodyBytes)
    : m_maxBodyBytes(maxBodyBytes)
    , m_parser(maxBodyBytes + kMaxHeadBytes + kChunkOverheadBytes)
{
}

bool HttpParser::fail(int status, std::string text)
{
    m_failed = true;
    m_close = true;
    m_errorStatus = status;
    m_errorText = std::move(text);
    m_in.clear();
    return false;
}

HttpParser::Result HttpParser::parse()
{
    if (m_done) {
        return Result::Done;
    }
    if (m_failed || (!m_headRead && !readHead())) {
        return m_failed ? Result::Error : Result::Incomplete;
    }
    // Bytes after the end of the body, as given by Content-Length, belong to the next request and stay in the buffer.
    const std::size_t part = m_chunked ? m_in.size() : std::min(m_in.size(), m_bodyLeft);
    bool fits = m_parser.feed(m_in.data(), part);
    m_in.erase(0, part);
    m_bodyLeft -= m_chunked ? 0 : part;
    try {
        m_done = fits && m_parser.parse() == Http::Private::State::Done;
    } catch (const Http::HttpError &error) {
        fail(error.code(), std::string("request: ") + error.what());
    } catch (const std::exception &error) {
        fail(kBadRequest, std::string("request: ") + error.what());
    }
    fits = fits && m_parser.request.body().size() <= m_maxBodyBytes;
    if (!fits && !m_failed) {
        fail(kTooLarge, "body: larger than " + std::to_string(m_maxBodyBytes) + " bytes");
    }
    if (m_failed) {
        return Result::Error;
    }
    return m_done ? Result::Done : Result::Incomplete;
}

HttpCall HttpParser::take()
{
    m_call.body = m_parser.request.body();
    m_parser.reset();
    m_headRead = false;
    m_done = false;
    m_expectContinue = false;
    return std::exchange(m_call, {});
}

bool HttpParser::takeExpectContinue()
{
    return std::exchange(m_expectContinue, false);
}

bool HttpParser::readHead()
{
    while (m_in.starts_with(kLineEnd)) {
        // RFC 9112, section 2.2: empty lines before a request are ignored.
        m_in.erase(0, kLineEnd.size());
    }
    const std::size_t end = m_in.find(kHeadEnd);
    if (std::min(end, m_in.size()) > kMaxHeadBytes) {
        return fail(kFieldsTooLarge, "header: larger than " + std::to_string(kMaxHeadBytes) + " bytes");
    }
    if (end == std::string::npos) {
        return false;
    }
    std::string_view head = std::string_view(m_in).substr(0, end + kLineEnd.size());
    bool isFirst = true;
    while (!head.empty()) {
        const std::size_t lineEnd = head.find(kLineEnd);
        const std::string_view line = head.substr(0, lineEnd);
        if (isFirst ? !readTarget(line) : !readField(line)) {
            return false;
        }
        isFirst = false;
        head.remove_prefix(lineEnd + kLineEnd.size());
    }
    if (!readFraming()) {
        return false;
    }
    m_parser.feed(m_in.data(), end + kHeadEnd.size());
    m_in.erase(0, end + kHeadEnd.size());
    m_headRead = true;
    return true;
}

bool HttpParser::readTarget(std::string_view line)
{
    const std::size_t first = line.find(' ');
    const std::size_t second = line.rfind(' ');
    if (first == std::string_view::npos || second == first) {
        return fail(kBadRequest, "request line: must have a method, a target and a version");
    }
    const std::string_view target = line.substr(first + 1, second - first - 1);
    if (!isPlain(target) || target.find(' ') != std::string_view::npos || !(target.starts_with('/') || target == "*")) {
        return fail(kBadRequest, "request line: bad target");
    }
    const std::size_t query = std::min(target.find('?'), target.size());
    m_call.method = line.substr(0, first);
    m_call.path = target.substr(0, query);
    m_call.query = target.substr(query);
    m_close = line.substr(second + 1) == "HTTP/1.0";
    return true;
}

bool HttpParser::readField(std::string_view line)
{
    const std::size_t colon = std::min(line.find(':'), line.size());
    const std::string_view name = line.substr(0, colon);
    if (colon == line.size() || name.empty() || name.find_first_of(" \t") != std::string_view::npos) {
        return fail(kBadRequest, "header: a line is not a field name, a colon and a value");
    }
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (!isPlain(name) || !isPlain(value)) {
        return fail(kBadRequest, std::string(name) + ": control character in the value");
    }
    m_call.fields.emplace_back(name, value);
    return true;
}

std::string_view HttpParser::field(std::string_view name) const
{
    return fieldValue(m_call.fields, name);
}

bool HttpParser::readFraming()
{
    const auto isLength = [](const auto &entry) { return equalText(entry.first, "Content-Length"); };
    const auto lengths = std::count_if(m_call.fields.begin(), m_call.fields.end(), isLength);
    const std::string_view coding = field("Transfer-Encoding");
    m_chunked = !coding.empty();
    // Two parsers may disagree on which of several length specifications applies, so such requests are rejected.
    if (lengths > 1 || (lengths == 1 && m_chunked)) {
        return fail(kBadRequest, "Content-Length: given twice or beside Transfer-Encoding");
    }
    if (m_chunked && !equalText(coding, "chunked")) {
        return fail(kBadRequest, "Transfer-Encoding: must be chunked");
    }
    m_bodyLeft = 0;
    if (lengths == 1) {
        const std::string_view text = field("Content-Length");
        const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), m_bodyLeft);
        if (code != std::errc{} || end != text.data() + text.size()) {
            return fail(kBadRequest, "Content-Length: must be a whole number");
        }
        if (m_bodyLeft > m_maxBodyBytes) {
            return fail(kTooLarge, "body: larger than " + std::to_string(m_maxBodyBytes) + " bytes");
        }
    }
    // Only Pistache's parser finds the end of a chunked body, so bytes that follow it cannot be kept for the next
    // request.
    m_close = m_close || m_chunked || equalText(field("Connection"), "close");
    m_expectContinue = equalText(field("Expect"), "100-continue");
    return true;
}

} // namespace fulmarledge
