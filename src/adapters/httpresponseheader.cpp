#include "httpresponseheader_p.h"

#include <boost/beast/http/status.hpp>
#include <strings.h>

namespace fulmarledge {

namespace {

namespace Http = boost::beast::http;

constexpr TimeMs kMsPerSecond = 1000;

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

/// Whether a field describes the connection or the framing, which the server writes itself.
bool isConnectionField(std::string_view name)
{
    for (const char *reserved : {"Connection", "Content-Length", "Transfer-Encoding", "Keep-Alive"}) {
        if (equalsIgnoringCase(name, reserved)) {
            return true;
        }
    }
    return false;
}

} // namespace

bool isBodylessStatus(int status)
{
    return status == 204 || status == 304;
}

std::string formatResponseHeader(int status, const HttpFields &fields, std::size_t bodyBytes, bool isHeadRequest)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    const auto reason = Http::obsolete_reason(static_cast<Http::status>(status));
    text.append(reason.data(), reason.size()).append("\r\n");
    for (const auto &[name, value] : fields) {
        if (!isConnectionField(name)) {
            text.append(name).append(": ").append(value).append("\r\n");
        }
    }
    const std::string_view contentLength = fieldValue(fields, "Content-Length");
    if (isHeadRequest && !contentLength.empty()) {
        text.append("Content-Length: ").append(contentLength).append("\r\n");
    } else if (!isBodylessStatus(status)) {
        text.append("Content-Length: ").append(std::to_string(bodyBytes)).append("\r\n");
    }
    return text;
}

void endResponseHeader(std::string &header, TimeMs keepAliveMs)
{
    if (keepAliveMs >= kMsPerSecond) {
        header.append("Keep-Alive: timeout=").append(std::to_string(keepAliveMs / kMsPerSecond)).append("\r\n");
    }
    header += keepAliveMs > 0 ? "Connection: Keep-Alive\r\n\r\n" : "Connection: close\r\n\r\n";
}

} // namespace fulmarledge
