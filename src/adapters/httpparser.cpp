#include "httpparser_p.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <strings.h>
#include <utility>

namespace fulmarledge {

namespace {

namespace Beast = boost::beast;
namespace Http = boost::beast::http;

constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kHeaderFieldsTooLarge = 431;
constexpr unsigned kHttp11 = 11;
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeaderEnd = "\r\n\r\n";
/// The shortest end of a chunked body, "0\r\n\r\n". Beast asserts that a search for it is continued with as many bytes.
constexpr std::size_t kMinChunkedBytes = 5;
/// Memory set aside for a body before any of it has arrived.
constexpr std::uint64_t kMaxReservedBytes = 256 * 1024;

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view toView(Beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

/// One request. Beast delimits it; the fields and the target are kept as received.
class HttpParser::Message : public Http::basic_parser<true>
{
public:
    HttpCall call;
    std::string error; ///< what is wrong, where Beast's own text does not tell
    std::size_t headerBytes = 0;
    bool isHttp11 = false;

    /// Whether two parsers could disagree on the length of the request. Sets `error`.
    bool isAmbiguous()
    {
        const auto isContentLength
            = [](const auto &entry) { return equalsIgnoringCase(entry.first, "Content-Length"); };
        const auto lengths = std::count_if(call.fields.begin(), call.fields.end(), isContentLength);
        const std::string_view transferCoding = fieldValue(call.fields, "Transfer-Encoding");
        if (lengths > 1 || (lengths == 1 && !transferCoding.empty())) {
            error = "Content-Length: given twice or beside Transfer-Encoding";
        } else if (!transferCoding.empty() && !equalsIgnoringCase(transferCoding, "chunked")) {
            error = "Transfer-Encoding: must be chunked";
        }
        return !error.empty();
    }
    bool closesConnection() const
    {
        return !isHttp11 || !keep_alive();
    }

private:
    using ErrorCode = Beast::error_code;

    void on_request_impl(Http::verb verb, Beast::string_view method, Beast::string_view target, int version,
                         ErrorCode &code) override
    {
        const std::string_view text = toView(target);
        if (verb == Http::verb::unknown || !(text.starts_with('/') || text == "*")) {
            error = verb == Http::verb::unknown ? "request line: unknown method" : "request line: bad target";
            code = Http::error::bad_target;
            return;
        }
        const std::size_t query = std::min(text.find('?'), text.size());
        call.method = toView(method);
        call.path = text.substr(0, query);
        call.query = text.substr(query);
        isHttp11 = version >= static_cast<int>(kHttp11);
    }
    void on_response_impl(int, Beast::string_view, int, ErrorCode &) override
    {
    }
    void on_field_impl(Http::field, Beast::string_view name, Beast::string_view value, ErrorCode &) override
    {
        // Fields after a chunked body are not forwarded, as a recipient may ignore them.
        if (!is_header_done()) {
            call.fields.emplace_back(toView(name), toView(value));
        }
    }
    void on_header_impl(ErrorCode &) override
    {
    }
    void on_body_init_impl(const boost::optional<std::uint64_t> &length, ErrorCode &) override
    {
        call.body.reserve(static_cast<std::size_t>(std::min(length.value_or(0), kMaxReservedBytes)));
    }
    std::size_t on_body_impl(Beast::string_view bytes, ErrorCode &) override
    {
        call.body.append(toView(bytes));
        return bytes.size();
    }
    void on_chunk_header_impl(std::uint64_t, Beast::string_view, ErrorCode &) override
    {
    }
    std::size_t on_chunk_body_impl(std::uint64_t, Beast::string_view bytes, ErrorCode &) override
    {
        call.body.append(toView(bytes));
        return bytes.size();
    }
    void on_finish_impl(ErrorCode &) override
    {
    }
};

HttpParser::HttpParser(std::size_t maxBodyBytes, std::size_t maxHeaderBytes)
    : m_maxBodyBytes(maxBodyBytes)
    , m_maxHeaderBytes(maxHeaderBytes)
{
}

HttpParser::~HttpParser() = default;

void HttpParser::setLimits(std::size_t maxBodyBytes, std::size_t maxHeaderBytes)
{
    m_maxBodyBytes = maxBodyBytes;
    m_maxHeaderBytes = maxHeaderBytes;
}

bool HttpParser::fail(int status, std::string text)
{
    m_closeAfterResponse = true;
    m_errorStatus = status;
    m_errorText = std::move(text);
    discard();
    return false;
}

void HttpParser::discard()
{
    m_failed = true;
    m_requestComplete = false;
    m_parsedBytes = 0;
    m_buffer.clear();
    m_message.reset();
}

HttpParser::Result HttpParser::parse()
{
    if (!m_failed && !m_requestComplete && (m_message || beginMessage())) {
        while (!m_message->is_done() && continueBody()) {
        }
    }
    if (m_failed) {
        return Result::Error;
    }
    m_buffer.erase(0, std::exchange(m_parsedBytes, 0));
    m_requestComplete = m_message && m_message->is_done();
    return m_requestComplete ? Result::Done : Result::Incomplete;
}

const HttpCall &HttpParser::request() const
{
    return m_message->call;
}

HttpCall HttpParser::takeRequest()
{
    HttpCall call = std::move(m_message->call);
    m_message.reset();
    m_requestComplete = false;
    m_expectContinue = false;
    return call;
}

bool HttpParser::takeExpectContinue()
{
    return std::exchange(m_expectContinue, false);
}

std::size_t HttpParser::heldBytes() const
{
    return m_buffer.size() + (m_message ? m_message->headerBytes + m_message->call.body.size() : 0);
}

bool HttpParser::beginMessage()
{
    while (m_buffer.starts_with(kLineEnd)) {
        // RFC 9112, section 2.2: empty lines before a request are ignored.
        m_buffer.erase(0, kLineEnd.size());
        m_searchedBytes = 0;
    }
    // The header is parsed as a whole. Beast would report another error, or none, for some headers that come in pieces.
    const std::size_t headerEnd = m_buffer.find(kHeaderEnd, m_searchedBytes);
    m_searchedBytes = m_buffer.size() - std::min(m_buffer.size(), kHeaderEnd.size() - 1);
    if (std::min(headerEnd, m_buffer.size()) > m_maxHeaderBytes) {
        return fail(kHeaderFieldsTooLarge, "header: larger than " + std::to_string(m_maxHeaderBytes) + " bytes");
    }
    if (headerEnd == std::string::npos) {
        return false;
    }
    m_searchedBytes = 0;
    const std::size_t headerBytes = headerEnd + kHeaderEnd.size();
    m_message = std::make_unique<Message>();
    m_message->headerBytes = headerBytes;
    m_message->header_limit(static_cast<std::uint32_t>(headerBytes + 1));
    m_message->body_limit(m_maxBodyBytes);
    Beast::error_code code;
    m_parsedBytes = m_message->put(boost::asio::const_buffer(m_buffer.data(), headerBytes), code);
    if (code == Http::error::body_limit) {
        return fail(kContentTooLarge, "body: larger than " + std::to_string(m_maxBodyBytes) + " bytes");
    }
    if (code || !m_message->is_header_done()) {
        return fail(kBadRequest, m_message->error.empty() ? "header: " + code.message() : m_message->error);
    }
    if (m_message->isAmbiguous()) {
        return fail(kBadRequest, m_message->error);
    }
    m_closeAfterResponse = m_message->closesConnection();
    m_expectContinue = equalsIgnoringCase(fieldValue(m_message->call.fields, "Expect"), "100-continue");
    return true;
}

bool HttpParser::continueBody()
{
    // A chunk's size line, and the fields after the last chunk, are bounded like a header.
    const std::size_t maxPieceBytes = std::max(m_maxHeaderBytes, kMinChunkedBytes);
    const std::size_t pieceBytes = std::min(m_buffer.size() - m_parsedBytes, maxPieceBytes);
    if (pieceBytes < (m_message->chunked() ? kMinChunkedBytes : 1)) {
        return false;
    }
    Beast::error_code code;
    const std::size_t taken
        = m_message->put(boost::asio::const_buffer(m_buffer.data() + m_parsedBytes, pieceBytes), code);
    m_parsedBytes += taken;
    if (code == Http::error::body_limit) {
        return fail(kContentTooLarge, "body: larger than " + std::to_string(m_maxBodyBytes) + " bytes");
    }
    if (code == Http::error::need_more || (!code && taken == 0 && !m_message->is_done())) {
        return pieceBytes < maxPieceBytes
            ? false
            : fail(kHeaderFieldsTooLarge, "chunk: more than " + std::to_string(maxPieceBytes) + " bytes without data");
    }
    return code ? fail(kBadRequest, "body: " + code.message()) : true;
}

} // namespace fulmarledge
