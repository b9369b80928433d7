#include <algorithm>
#include <charconv>
#include <strings.h>
#include <utility>

#include "httpparser_p.h"

namespace fulmarledge {

namespace {

constexpr std::size_t kMaxHeadBytes = 64 * 1024;
constexpr std::size_t kMaxLineBytes = 4096; ///< of a chunk size or a trailer field
constexpr int kBadRequest = 400;
constexpr int kTooLarge = 413;
constexpr int kFieldsTooLarge = 431;
constexpr int kNotImplemented = 501;
constexpr int kVersionNotSupported = 505;

bool isTokenChar(char c)
{
    const auto u = static_cast<unsigned char>(c);
    return std::isalnum(u) != 0 || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenChar);
}

bool isVisible(char c)
{
    return c > ' ' && c != '\x7f';
}

bool equalText(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

template <typename Number>
bool readNumber(std::string_view text, int base, Number &value)
{
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    return code == std::errc{} && end == text.data() + text.size() && !text.empty();
}

} // namespace

HttpParser::HttpParser(std::size_t maxBodyBytes)
    : m_maxBodyBytes(maxBodyBytes)
{
}

bool HttpParser::fail(int status, std::string text)
{
    m_state = State::Failed;
    m_errorStatus = status;
    m_errorText = std::move(text);
    m_close = true;
    m_in.clear();
    return false;
}

HttpParser::Result HttpParser::parse()
{
    while (m_state != State::Done && m_state != State::Failed && step()) {
    }
    if (m_state == State::Failed) {
        return Result::Error;
    }
    return m_state == State::Done ? Result::Done : Result::Incomplete;
}

HttpCall HttpParser::take()
{
    m_state = State::Head;
    m_searched = 0;
    m_trailerBytes = 0;
    m_expectContinue = false;
    return std::exchange(m_call, {});
}

bool HttpParser::takeExpectContinue()
{
    return std::exchange(m_expectContinue, false);
}

bool HttpParser::step()
{
    switch (m_state) {
    case State::Head:
        return parseHead();
    case State::Body:
        return parseBody();
    case State::ChunkSize:
        return parseChunkSize();
    case State::ChunkData:
        return parseChunkData();
    case State::ChunkEnd:
        return parseChunkEnd();
    case State::Trailer:
        return parseTrailer();
    case State::Done:
    case State::Failed:
        break;
    }
    return false;
}

bool HttpParser::parseHead()
{
    while (m_in.starts_with("\r\n")) {
        // RFC 9112, section 2.2: empty lines before a request are ignored.
        m_in.erase(0, 2);
    }
    const std::size_t end = m_in.find("\r\n\r\n", m_searched);
    if (end == std::string::npos ? m_in.size() > kMaxHeadBytes : end > kMaxHeadBytes) {
        return fail(kFieldsTooLarge, "header: larger than " + std::to_string(kMaxHeadBytes) + " bytes");
    }
    if (end == std::string::npos) {
        m_searched = m_in.size() < 3 ? 0 : m_in.size() - 3;
        return false;
    }
    std::string_view head = std::string_view(m_in).substr(0, end + 2);
    std::size_t lineEnd = head.find("\r\n");
    if (!parseRequestLine(head.substr(0, lineEnd))) {
        return false;
    }
    head.remove_prefix(lineEnd + 2);
    while (!head.empty()) {
        lineEnd = head.find("\r\n");
        if (!parseField(head.substr(0, lineEnd))) {
            return false;
        }
        head.remove_prefix(lineEnd + 2);
    }
    m_in.erase(0, end + 4);
    return readFraming();
}

bool HttpParser::parseRequestLine(std::string_view line)
{
    const std::size_t first = line.find(' ');
    const std::size_t second = line.rfind(' ');
    if (first == std::string_view::npos || second == first) {
        return fail(kBadRequest, "request line: must have a method, a target and a version");
    }
    const std::string_view version = line.substr(second + 1);
    if (version != "HTTP/1.1" && version != "HTTP/1.0") {
        return fail(kVersionNotSupported, "request line: the version must be HTTP/1.1 or HTTP/1.0");
    }
    const std::string_view method = line.substr(0, first);
    const std::string_view target = line.substr(first + 1, second - first - 1);
    const bool plain = std::all_of(target.begin(), target.end(), isVisible);
    if (!isToken(method) || !plain || !(target.starts_with('/') || target == "*")) {
        return fail(kBadRequest, "request line: bad method or target");
    }
    m_close = version == "HTTP/1.0";
    const std::size_t query = std::min(target.find('?'), target.size());
    m_call.method = method;
    m_call.path = target.substr(0, query);
    m_call.query = target.substr(query);
    return true;
}

bool HttpParser::parseField(std::string_view line)
{
    const std::size_t colon = std::min(line.find(':'), line.size());
    const std::string_view name = line.substr(0, colon);
    if (colon == line.size() || !isToken(name)) {
        return fail(kBadRequest, "header: a line is not a field name, a colon and a value");
    }
    const std::string_view value = trimmed(line.substr(colon + 1));
    const bool plain = std::all_of(value.begin(), value.end(), [](char c) {
        return c == '\t' || (static_cast<unsigned char>(c) >= ' ' && c != '\x7f');
    });
    if (!plain) {
        return fail(kBadRequest, std::string(name) + ": control character in the value");
    }
    m_call.fields.emplace_back(name, value);
    return true;
}

bool HttpParser::readFraming()
{
    bool chunked = false;
    std::string_view length;
    for (const auto &[name, value] : m_call.fields) {
        if (equalText(name, "Content-Length")) {
            // Two lengths that differ let a second request hide in the body of the first.
            if (!length.empty() && length != value) {
                return fail(kBadRequest, "Content-Length: two different values");
            }
            length = value;
            if (!readNumber(value, 10, m_left)) {
                return fail(kBadRequest, "Content-Length: must be a whole number");
            }
        } else if (equalText(name, "Transfer-Encoding")) {
            if (chunked || !equalText(value, "chunked")) {
                return fail(kNotImplemented, "Transfer-Encoding: only chunked is supported");
            }
            chunked = true;
        } else if (equalText(name, "Connection") && equalText(value, "close")) {
            m_close = true;
        } else if (equalText(name, "Expect") && equalText(value, "100-continue")) {
            m_expectContinue = true;
        }
    }
    if (chunked && !length.empty()) {
        return fail(kBadRequest, "Content-Length: not allowed together with Transfer-Encoding");
    }
    if (!chunked && length.empty()) {
        m_left = 0;
    }
    if (!chunked && m_left > m_maxBodyBytes) {
        return fail(kTooLarge, "the body is larger than " + std::to_string(m_maxBodyBytes) + " bytes");
    }
    m_state = chunked ? State::ChunkSize : State::Body;
    return true;
}

bool HttpParser::parseBody()
{
    if (m_call.body.empty() && m_in.size() == m_left) {
        m_call.body.swap(m_in);
        m_in.clear();
    } else {
        const std::size_t taken = static_cast<std::size_t>(std::min<std::uint64_t>(m_left, m_in.size()));
        m_call.body.append(m_in, 0, taken);
        m_in.erase(0, taken);
        m_left -= taken;
        if (m_left > 0) {
            return false;
        }
    }
    m_state = State::Done;
    return true;
}

bool HttpParser::takeLine(std::string &line)
{
    const std::size_t end = m_in.find("\r\n");
    if (end == std::string::npos ? m_in.size() > kMaxLineBytes : end > kMaxLineBytes) {
        return fail(kBadRequest, "body: a chunk line is too long");
    }
    if (end == std::string::npos) {
        return false;
    }
    line = m_in.substr(0, end);
    m_in.erase(0, end + 2);
    return true;
}

bool HttpParser::parseChunkSize()
{
    std::string line;
    if (!takeLine(line)) {
        return false;
    }
    const std::string_view size = trimmed(std::string_view(line).substr(0, line.find(';')));
    if (!readNumber(size, 16, m_left)) {
        return fail(kBadRequest, "body: bad chunk size");
    }
    if (m_left > m_maxBodyBytes || m_call.body.size() + m_left > m_maxBodyBytes) {
        return fail(kTooLarge, "the body is larger than " + std::to_string(m_maxBodyBytes) + " bytes");
    }
    m_state = m_left == 0 ? State::Trailer : State::ChunkData;
    return true;
}

bool HttpParser::parseChunkData()
{
    const std::size_t taken = static_cast<std::size_t>(std::min<std::uint64_t>(m_left, m_in.size()));
    m_call.body.append(m_in, 0, taken);
    m_in.erase(0, taken);
    m_left -= taken;
    if (m_left > 0) {
        return false;
    }
    m_state = State::ChunkEnd;
    return true;
}

bool HttpParser::parseChunkEnd()
{
    std::string line;
    if (!takeLine(line)) {
        return false;
    }
    if (!line.empty()) {
        return fail(kBadRequest, "body: a chunk is longer than its size");
    }
    m_state = State::ChunkSize;
    return true;
}

bool HttpParser::parseTrailer()
{
    std::string line;
    if (!takeLine(line)) {
        return false;
    }
    m_trailerBytes += line.size();
    if (m_trailerBytes > kMaxHeadBytes) {
        return fail(kFieldsTooLarge, "trailer: larger than " + std::to_string(kMaxHeadBytes) + " bytes");
    }
    if (line.empty()) {
        m_state = State::Done;
    }
    return true;
}

} // namespace fulmarledge
