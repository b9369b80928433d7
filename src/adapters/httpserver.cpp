#include "httpserver.h"

#include <algorithm>
#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <strings.h>
#include <vector>

namespace fulmarledge {

namespace {

namespace Http = Pistache::Http;

constexpr std::size_t kMaxHeaderBytes = 64 * 1024;
constexpr std::size_t kMaxResponseBytes = 64 * 1024 * 1024;
/// The default of 128 overflowed when 600 clients connected at once: their SYNs were dropped and sent again after 1 s.
constexpr int kBacklog = 1024;

bool equalNames(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

/// Fields that belong to one connection and are written by the server itself.
bool isConnectionField(std::string_view name)
{
    for (const char *own : {"Connection", "Content-Length", "Transfer-Encoding", "Keep-Alive"}) {
        if (equalNames(name, own)) {
            return true;
        }
    }
    return false;
}

/// Header field with a name known at run time. Pistache writes typed headers only, and one of each name, so repeated
/// fields are written by one object.
class NamedHeader : public Http::Header::Header
{
public:
    NamedHeader(std::string name, std::string value)
        : m_name(std::move(name))
        , m_values{std::move(value)}
    {
    }

    void add(std::string value)
    {
        m_values.push_back(std::move(value));
    }
    const char *name() const override
    {
        return m_name.c_str();
    }
    void write(std::ostream &stream) const override
    {
        stream << m_values.front();
        for (std::size_t i = 1; i < m_values.size(); ++i) {
            stream << "\r\n" << m_name << ": " << m_values[i];
        }
    }
#ifdef SAFE_HEADER_CAST
    std::uint64_t hash() const override
    {
        return std::hash<std::string>{}(m_name);
    }
#endif

private:
    std::string m_name;
    std::vector<std::string> m_values;
};

class PistacheResponder : public HttpResponder
{
public:
    explicit PistacheResponder(Http::ResponseWriter writer)
        : m_writer(std::move(writer))
    {
    }

    void send(int status, const HttpFields &fields, std::string body) override
    {
        std::vector<std::shared_ptr<NamedHeader>> headers;
        for (const auto &field : fields) {
            if (isConnectionField(field.first)) {
                continue;
            }
            const auto isSame = [&](const auto &header) { return equalNames(header->name(), field.first); };
            const auto known = std::find_if(headers.begin(), headers.end(), isSame);
            if (known != headers.end()) {
                (*known)->add(field.second);
            } else {
                headers.push_back(std::make_shared<NamedHeader>(field.first, field.second));
            }
        }
        for (const auto &header : headers) {
            m_writer.headers().add(header);
        }
        m_writer.send(static_cast<Http::Code>(status), body);
    }

private:
    Http::ResponseWriter m_writer;
};

class CallHandler : public Http::Handler
{
public:
    HTTP_PROTOTYPE(CallHandler)

    explicit CallHandler(HttpCallHandler handler)
        : m_handler(std::move(handler))
    {
    }

    void onRequest(const Http::Request &request, Http::ResponseWriter response) override
    {
        HttpCall call;
        call.method = Http::methodString(request.method());
        call.path = request.resource();
        call.query = request.query().as_str();
        for (const auto &[name, raw] : request.headers().rawList()) {
            call.fields.emplace_back(raw.name(), raw.value());
        }
        call.body = request.body();
        call.peerIp = request.address().host();
        call.responder = std::make_shared<PistacheResponder>(std::move(response));
        m_handler(std::move(call));
    }

private:
    HttpCallHandler m_handler;
};

} // namespace

struct HttpServer::Shared {
    explicit Shared(const Pistache::Address &address)
        : endpoint(address)
    {
    }

    Http::Endpoint endpoint;
};

HttpServer::HttpServer(const Settings &settings, HttpCallHandler handler)
    : m_shared(std::make_unique<Shared>(Pistache::Address(settings.address.ip, Pistache::Port(settings.address.port))))
{
    const Pistache::Flags<Pistache::Tcp::Options> flags(Pistache::Tcp::Options::ReuseAddr
                                                        | Pistache::Tcp::Options::NoDelay);
    auto options = Http::Endpoint::options()
                       .threads(settings.threads)
                       .flags(flags)
                       .maxRequestSize(settings.maxBodyBytes + kMaxHeaderBytes)
                       .maxResponseSize(kMaxResponseBytes);
    m_shared->endpoint.init(options);
    // Pistache 0.0.5 ignores `Options::backlog`, so the listener is initialised again with the backlog.
    m_shared->endpoint.initArgs(static_cast<std::size_t>(settings.threads), flags, std::string(), kBacklog);
    m_shared->endpoint.setHandler(std::make_shared<CallHandler>(std::move(handler)));
    m_shared->endpoint.serveThreaded();
}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::stop()
{
    if (m_shared) {
        m_shared->endpoint.shutdown();
        m_shared.reset();
    }
}

} // namespace fulmarledge
