#include "httpclient.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <curl/curl.h>
#include <functional>
#include <mutex>
#include <netinet/in.h>
#include <stdexcept>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace fulmarledge {

namespace {

constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
constexpr int kSwitchingProtocols = 101;

/// The open sockets of a client, by their local ports.
class SocketRegistry
{
public:
    void add(int fd)
    {
        m_unconnected.push_back(fd);
    }
    void remove(int fd)
    {
        std::erase(m_unconnected, fd);
        std::erase_if(m_byPort, [fd](const auto &entry) { return entry.second == fd; });
    }
    /// @return -1 without such a socket
    int find(int localPort)
    {
        for (const int fd : m_unconnected) {
            sockaddr_in local{};
            socklen_t size = sizeof(local);
            if (::getsockname(fd, reinterpret_cast<sockaddr *>(&local), &size) == 0 && local.sin_port != 0) {
                m_byPort[ntohs(local.sin_port)] = fd;
            }
        }
        std::erase_if(m_unconnected, [this](int fd) {
            return std::any_of(m_byPort.begin(), m_byPort.end(),
                               [fd](const auto &entry) { return entry.second == fd; });
        });
        const auto found = m_byPort.find(localPort);
        return found == m_byPort.end() ? -1 : found->second;
    }

private:
    std::vector<int> m_unconnected; ///< sockets whose local port is not known yet
    std::unordered_map<int, int> m_byPort;
};

class BodyMemory;

struct Transfer {
    std::uint64_t id = 0;
    BodyMemory *bodyMemory = nullptr;
    SocketRegistry *sockets = nullptr;
    CURL *easy = nullptr;
    curl_slist *headers = nullptr;
    HttpRequest request;
    HttpResult result;
    HttpClient::Callback callback;
    int sendCount = 0;
    std::size_t headerBytes = 0;
    bool bodyTooLarge = false;
    bool headerTooLarge = false;
    bool statusInvalid = false; ///< the response has no status that HTTP knows, or an interim one as its final one
    bool headerComplete = false; ///< the empty line after the header of the final response has arrived
    bool outOfMemory = false; ///< ended because the memory for bodies is full
    bool connectionUnusable = false; ///< the kept connection was closed, or had input that belongs to no request
};

/// Memory for the bodies of the responses that one client receives.
class BodyMemory
{
public:
    /// @param onEvict ends a transfer other than the one that needs the memory; must not do so at once
    BodyMemory(std::shared_ptr<MemoryBudget> budget, std::function<void(std::uint64_t transfer)> onEvict)
        : m_budget(std::move(budget))
        , m_onEvict(std::move(onEvict))
    {
    }

    /// Takes memory for `bytes` more of a body. When it is full, the transfer with the largest body has to end. A
    /// response that never ends outgrows the others, and so is the first to go.
    /// @return false if that is `transfer`
    bool take(Transfer &transfer, std::size_t bytes)
    {
        m_budget->add(bytes);
        m_bytes[transfer.id] += bytes;
        if (!m_budget->isFull()) {
            return true;
        }
        const auto largest = std::max_element(m_bytes.begin(), m_bytes.end(),
                                              [](const auto &a, const auto &b) { return a.second < b.second; });
        if (largest->second <= kSmallBodyBytes) {
            return true;
        }
        if (largest->first == transfer.id) {
            return false;
        }
        m_onEvict(largest->first);
        release(largest->first);
        return true;
    }
    void release(std::uint64_t transfer)
    {
        const auto found = m_bytes.find(transfer);
        if (found != m_bytes.end()) {
            m_budget->release(found->second);
            m_bytes.erase(found);
        }
    }

private:
    /// A body of this size never ends for lack of memory, so that small responses pass while large ones fill it.
    static constexpr std::size_t kSmallBodyBytes = std::size_t{64} * 1024;

    std::shared_ptr<MemoryBudget> m_budget;
    std::function<void(std::uint64_t)> m_onEvict;
    std::unordered_map<std::uint64_t, std::size_t> m_bytes; ///< by transfer
};

void initCurl()
{
    static std::once_flag started;
    std::call_once(started, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

std::size_t onBodyData(char *data, std::size_t size, std::size_t count, void *userData)
{
    auto *transfer = static_cast<Transfer *>(userData);
    const std::size_t bytes = size * count;
    if (transfer->result.body.size() + bytes > transfer->request.maxBodyBytes) {
        transfer->bodyTooLarge = true;
        return 0;
    }
    if (transfer->outOfMemory || !transfer->bodyMemory->take(*transfer, bytes)) {
        transfer->outOfMemory = true;
        return 0;
    }
    transfer->result.body.append(data, bytes);
    return bytes;
}

/// Status code of a status line such as "HTTP/1.1 200 OK", or 0.
int parseStatusLine(std::string_view line)
{
    const std::size_t space = std::min(line.find(' '), line.size());
    int status = 0;
    const std::string_view digits = line.substr(std::min(space + 1, line.size()));
    std::from_chars(digits.data(), digits.data() + digits.size(), status);
    return status;
}

/// Whether a response with an interim status has more than a header. Such a response is meant as the final one.
bool hasBody(const HttpFields &fields)
{
    const std::string_view length = fieldValue(fields, "Content-Length");
    return (!length.empty() && length != "0") || !fieldValue(fields, "Transfer-Encoding").empty();
}

std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *userData)
{
    auto *transfer = static_cast<Transfer *>(userData);
    const std::string_view line(data, size * count);
    transfer->headerBytes += line.size();
    if (transfer->headerBytes > transfer->request.maxHeaderBytes) {
        transfer->headerTooLarge = true;
        return 0;
    }
    if (line.starts_with("HTTP/")) {
        transfer->result.fields.clear();
        transfer->headerComplete = false;
        const int status = parseStatusLine(line);
        transfer->result.status = status;
        // No request asks for another protocol.
        transfer->statusInvalid = status < kFirstStatus || status > kLastStatus || status == kSwitchingProtocols;
        return transfer->statusInvalid ? 0 : line.size();
    }
    if (line == "\r\n" || line == "\n") {
        const bool isFinalResponse = transfer->result.status >= kFirstFinalStatus;
        transfer->headerComplete = isFinalResponse;
        if (!isFinalResponse && hasBody(transfer->result.fields)) {
            transfer->statusInvalid = true;
            return 0;
        }
        const auto &accept = transfer->request.acceptHeader;
        transfer->result.headerRejected
            = isFinalResponse && accept && !accept(transfer->result.status, transfer->result.fields);
        return transfer->result.headerRejected ? 0 : line.size();
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string_view::npos) {
        std::string_view value = line.substr(colon + 1);
        while (!value.empty() && std::isspace(static_cast<unsigned char>(value.front())) != 0) {
            value.remove_prefix(1);
        }
        while (!value.empty() && std::isspace(static_cast<unsigned char>(value.back())) != 0) {
            value.remove_suffix(1);
        }
        transfer->result.fields.emplace_back(line.substr(0, colon), value);
    }
    return line.size();
}

curl_socket_t onOpenSocket(void *userData, curlsocktype, curl_sockaddr *address)
{
    const int fd = ::socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    if (fd >= 0) {
        static_cast<SocketRegistry *>(userData)->add(fd);
    }
    return fd;
}

int onCloseSocket(void *userData, curl_socket_t fd)
{
    static_cast<SocketRegistry *>(userData)->remove(fd);
    return ::close(fd);
}

/// Whether a socket on which nothing is expected has been closed by the peer or has input.
bool hasUnexpectedInput(int fd)
{
    char byte = 0;
    return ::recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) >= 0;
}

/// libcurl calls this just before it writes the first byte of a request. When the server closes a reused connection
/// without a response, libcurl sends the request again, which could run it twice. Unless the request allows that, the
/// second send is aborted here.
int onBeforeSend(void *userData, char *, char *, int, int localPort)
{
    auto *transfer = static_cast<Transfer *>(userData);
    if (transfer->sendCount == 0 && !transfer->request.freshConnection) {
        const int fd = transfer->sockets->find(localPort);
        if (fd >= 0 && hasUnexpectedInput(fd)) {
            transfer->connectionUnusable = true;
            return CURL_PREREQFUNC_ABORT;
        }
    }
    ++transfer->sendCount;
    if (transfer->sendCount > 1 && !transfer->request.resendAllowed) {
        return CURL_PREREQFUNC_ABORT;
    }
    return CURL_PREREQFUNC_OK;
}

void setVerdict(Transfer &transfer, CURLcode code)
{
    HttpResult &result = transfer.result;
    // libcurl takes a header that the end of the connection cuts off for a whole one, with the fields before the cut.
    if (code == CURLE_OK && transfer.headerComplete) {
        long status = 0;
        curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &status);
        result.verdict = Verdict::Answered;
        result.status = static_cast<int>(status);
        return;
    }
    result.detail = curl_easy_strerror(code);
    // After the request was sent, this code means a status line that libcurl does not accept, such as a status below
    // 100.
    const bool isRefusedByLibcurl = code == CURLE_UNSUPPORTED_PROTOCOL && transfer.sendCount > 0;
    const bool endsInterim = transfer.result.status >= kFirstStatus && transfer.result.status < kFirstFinalStatus;
    result.verdict = transfer.sendCount == 0 ? Verdict::NotRun : Verdict::MayHaveRun;
    if (transfer.outOfMemory) {
        result.reason = Reason::AnswerMemoryFull;
    } else if (transfer.statusInvalid || isRefusedByLibcurl || (endsInterim && code != CURLE_OPERATION_TIMEDOUT)) {
        result.reason = Reason::InvalidStatus;
    } else if (transfer.bodyTooLarge) {
        result.reason = Reason::BodyTooLarge;
    } else if (transfer.headerTooLarge || result.headerRejected) {
        result.reason = Reason::ForeignAnswer;
    } else if (code == CURLE_OPERATION_TIMEDOUT) {
        result.reason = transfer.sendCount == 0 ? Reason::ConnectFailed : Reason::DeadlineExceeded;
    } else if (transfer.sendCount == 0) {
        result.reason = Reason::ConnectFailed;
    } else if (code == CURLE_PARTIAL_FILE || code == CURLE_OK) {
        result.reason = Reason::Truncated;
    } else {
        result.reason = Reason::ConnectionLost;
    }
}

} // namespace

std::string_view fieldValue(const HttpFields &fields, std::string_view name)
{
    for (const auto &[key, value] : fields) {
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0) {
            return value;
        }
    }
    return {};
}

struct HttpClient::Impl {
    Impl(IoLoop &eventLoop, std::shared_ptr<MemoryBudget> budget)
        : loop(eventLoop)
        , bodyMemory(std::move(budget), [this](std::uint64_t id) { evict(id); })
    {
    }

    static int onSocket(CURL *, curl_socket_t fd, int what, void *userData, void *socketData);
    static int onTimer(CURLM *, long timeoutMs, void *userData);

    void performSocketAction(curl_socket_t fd, int mask);
    void finishCompletedTransfers();
    void finishTransfer(CURL *easy, CURLcode code);
    /// Ends a transfer for lack of memory, after the libcurl function that is running has returned.
    void evict(std::uint64_t id);
    /// Ends a transfer and calls back.
    void conclude(std::unique_ptr<Transfer> transfer, CURLcode code);
    void recycleHandle(Transfer &transfer);
    /// Starts a transfer again on a new connection. Nothing of it has been written.
    void restart(std::unique_ptr<Transfer> transfer);
    void start(std::unique_ptr<Transfer> transfer);
    CURL *acquireHandle();
    static void configureHandle(Transfer &transfer);

    IoLoop &loop;
    SocketRegistry sockets;
    BodyMemory bodyMemory;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    CURLM *multi = nullptr;
    TimerId timer;
    std::uint64_t nextId = 1;
    std::unordered_map<std::uint64_t, std::unique_ptr<Transfer>> transfers;
    std::vector<CURL *> idleHandles;
};

int HttpClient::Impl::onSocket(CURL *, curl_socket_t fd, int what, void *userData, void *socketData)
{
    auto *self = static_cast<Impl *>(userData);
    if (what == CURL_POLL_REMOVE) {
        if (socketData != nullptr) {
            self->loop.removeFd(fd);
        }
        return 0;
    }
    std::uint32_t events = 0;
    if ((what & CURL_POLL_IN) != 0) {
        events |= EPOLLIN;
    }
    if ((what & CURL_POLL_OUT) != 0) {
        events |= EPOLLOUT;
    }
    if (socketData != nullptr) {
        self->loop.modifyFd(fd, events);
        return 0;
    }
    self->loop.addFd(fd, events, [self, fd](std::uint32_t ready) {
        int mask = 0;
        if ((ready & EPOLLIN) != 0U) {
            mask |= CURL_CSELECT_IN;
        }
        if ((ready & EPOLLOUT) != 0U) {
            mask |= CURL_CSELECT_OUT;
        }
        if ((ready & (EPOLLERR | EPOLLHUP)) != 0U) {
            mask |= CURL_CSELECT_ERR;
        }
        self->performSocketAction(fd, mask);
    });
    curl_multi_assign(self->multi, fd, self);
    return 0;
}

int HttpClient::Impl::onTimer(CURLM *, long timeoutMs, void *userData)
{
    auto *self = static_cast<Impl *>(userData);
    self->loop.cancel(self->timer);
    self->timer = {};
    if (timeoutMs >= 0) {
        self->timer = self->loop.runAfter(timeoutMs, [self] {
            self->timer = {};
            self->performSocketAction(CURL_SOCKET_TIMEOUT, 0);
        });
    }
    return 0;
}

void HttpClient::Impl::performSocketAction(curl_socket_t fd, int mask)
{
    int runningTransfers = 0;
    curl_multi_socket_action(multi, fd, mask, &runningTransfers);
    finishCompletedTransfers();
}

void HttpClient::Impl::finishCompletedTransfers()
{
    int messagesLeft = 0;
    while (const CURLMsg *message = curl_multi_info_read(multi, &messagesLeft)) {
        if (message->msg == CURLMSG_DONE) {
            finishTransfer(message->easy_handle, message->data.result);
        }
    }
}

void HttpClient::Impl::finishTransfer(CURL *easy, CURLcode code)
{
    char *userData = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &userData);
    const std::uint64_t id = reinterpret_cast<Transfer *>(userData)->id;
    const auto found = transfers.find(id);
    std::unique_ptr<Transfer> transfer = std::move(found->second);
    transfers.erase(found);
    if (transfer->connectionUnusable && !transfer->request.freshConnection) {
        restart(std::move(transfer));
        return;
    }
    conclude(std::move(transfer), code);
}

void HttpClient::Impl::conclude(std::unique_ptr<Transfer> transfer, CURLcode code)
{
    setVerdict(*transfer, code);
    recycleHandle(*transfer);
    transfer->callback(std::move(transfer->result));
}

void HttpClient::Impl::evict(std::uint64_t id)
{
    transfers[id]->outOfMemory = true;
    loop.runAfter(0, [this, id, isAlive = alive] {
        if (!*isAlive) {
            return;
        }
        const auto found = transfers.find(id);
        if (found != transfers.end()) {
            std::unique_ptr<Transfer> transfer = std::move(found->second);
            transfers.erase(found);
            conclude(std::move(transfer), CURLE_WRITE_ERROR);
        }
    });
}

void HttpClient::Impl::recycleHandle(Transfer &transfer)
{
    bodyMemory.release(transfer.id);
    curl_multi_remove_handle(multi, transfer.easy);
    curl_slist_free_all(transfer.headers);
    transfer.headers = nullptr;
    curl_easy_reset(transfer.easy);
    idleHandles.push_back(transfer.easy);
}

void HttpClient::Impl::restart(std::unique_ptr<Transfer> transfer)
{
    recycleHandle(*transfer);
    transfer->request.freshConnection = true;
    transfer->result = {};
    start(std::move(transfer));
}

void HttpClient::Impl::start(std::unique_ptr<Transfer> transfer)
{
    transfer->easy = acquireHandle();
    transfer->sockets = &sockets;
    transfer->bodyMemory = &bodyMemory;
    configureHandle(*transfer);
    CURL *easy = transfer->easy;
    transfers.emplace(transfer->id, std::move(transfer));
    curl_multi_add_handle(multi, easy);
}

CURL *HttpClient::Impl::acquireHandle()
{
    if (idleHandles.empty()) {
        return curl_easy_init();
    }
    CURL *easy = idleHandles.back();
    idleHandles.pop_back();
    return easy;
}

void HttpClient::Impl::configureHandle(Transfer &transfer)
{
    CURL *easy = transfer.easy;
    const HttpRequest &request = transfer.request;
    for (const auto &[name, value] : request.fields) {
        // libcurl sends a field without a value only if its name is followed by ";" instead of ":".
        const std::string line = value.empty() ? name + ";" : name + ": " + value;
        transfer.headers = curl_slist_append(transfer.headers, line.c_str());
    }
    // A name followed by ":" alone stops libcurl from adding this field by itself.
    for (const char *name : {"Expect", "Accept", "Content-Type"}) {
        if (fieldValue(request.fields, name).empty()) {
            transfer.headers = curl_slist_append(transfer.headers, (std::string(name) + ":").c_str());
        }
    }
    curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeoutMs));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(std::min(request.connectTimeoutMs, request.timeoutMs)));
    if (request.maxIdleSeconds > 0) {
        curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, request.maxIdleSeconds);
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBodyData);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, onBeforeSend);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, onOpenSocket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, transfer.sockets);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, onCloseSocket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, transfer.sockets);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, request.freshConnection ? 1L : 0L);
    const bool methodHasNoBody = request.method == "GET" || request.method == "HEAD";
    if (!methodHasNoBody || !request.body.empty()) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
    }
    if (request.method == "HEAD") {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    } else {
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    }
}

HttpClient::HttpClient(IoLoop &loop, long maxConnections, std::shared_ptr<MemoryBudget> bodyMemory)
    : m_impl(std::make_unique<Impl>(loop, std::move(bodyMemory)))
{
    initCurl();
    m_impl->multi = curl_multi_init();
    if (m_impl->multi == nullptr) {
        throw std::runtime_error("curl_multi_init failed");
    }
    curl_multi_setopt(m_impl->multi, CURLMOPT_SOCKETFUNCTION, Impl::onSocket);
    curl_multi_setopt(m_impl->multi, CURLMOPT_SOCKETDATA, m_impl.get());
    curl_multi_setopt(m_impl->multi, CURLMOPT_TIMERFUNCTION, Impl::onTimer);
    curl_multi_setopt(m_impl->multi, CURLMOPT_TIMERDATA, m_impl.get());
    curl_multi_setopt(m_impl->multi, CURLMOPT_MAXCONNECTS, maxConnections);
}

HttpClient::~HttpClient()
{
    *m_impl->alive = false;
    for (const auto &[id, transfer] : m_impl->transfers) {
        m_impl->recycleHandle(*transfer);
    }
    for (CURL *easy : m_impl->idleHandles) {
        curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(m_impl->multi);
    m_impl->loop.cancel(m_impl->timer);
}

TransferId HttpClient::send(HttpRequest request, Callback callback)
{
    auto transfer = std::make_unique<Transfer>();
    transfer->id = m_impl->nextId++;
    transfer->request = std::move(request);
    transfer->callback = std::move(callback);
    const std::uint64_t id = transfer->id;
    m_impl->start(std::move(transfer));
    return {id};
}

void HttpClient::cancel(TransferId transfer)
{
    const auto found = m_impl->transfers.find(transfer.id);
    if (found != m_impl->transfers.end()) {
        m_impl->recycleHandle(*found->second);
        m_impl->transfers.erase(found);
    }
}

} // namespace fulmarledge
