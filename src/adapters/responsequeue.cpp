#include "responsequeue_p.h"

#include <algorithm>
#include <utility>

namespace fulmarledge {

namespace {

std::size_t sizeOf(const ResponseQueue::Response &response)
{
    return response.header.size() + response.body.size();
}

} // namespace

ResponseQueue::ResponseQueue(MemoryBudget &memory)
    : m_memory(memory)
{
}

ResponseQueue::~ResponseQueue()
{
    release(m_heldBytes);
}

void ResponseQueue::hold(std::size_t bytes)
{
    if (bytes > 0) {
        m_heldBytes += bytes;
        m_memory.add(bytes);
    }
}

void ResponseQueue::release(std::size_t bytes)
{
    if (bytes > 0) {
        m_heldBytes -= bytes;
        m_memory.release(bytes);
    }
}

ResponseQueue::Number ResponseQueue::add(const Request &request)
{
    const Number number = m_firstNumber + size();
    if (!m_first) {
        m_first.emplace();
        m_first->request = request;
    } else {
        m_behind.emplace_back().request = request;
    }
    return number;
}

bool ResponseQueue::areAllRepeatable() const
{
    return (!m_first || m_first->request.isRepeatable)
        && std::all_of(m_behind.begin(), m_behind.end(), [](const Entry &entry) { return entry.request.isRepeatable; });
}

std::size_t ResponseQueue::unsentResponses() const
{
    const auto isSet = [](const Entry &entry) { return entry.state != State::Running; };
    return (m_first && isSet(*m_first) ? 1 : 0)
        + static_cast<std::size_t>(std::count_if(m_behind.begin(), m_behind.end(), isSet));
}

const ResponseQueue::Entry *ResponseQueue::find(Number number) const
{
    if (number < m_firstNumber || number - m_firstNumber >= size()) {
        return nullptr;
    }
    return number == m_firstNumber ? &*m_first : &m_behind[number - m_firstNumber - 1];
}

ResponseQueue::Entry *ResponseQueue::find(Number number)
{
    return const_cast<Entry *>(std::as_const(*this).find(number));
}

const ResponseQueue::Request *ResponseQueue::findRunning(Number number) const
{
    const Entry *entry = find(number);
    return entry != nullptr && entry->state == State::Running ? &entry->request : nullptr;
}

void ResponseQueue::setCallback(Number number, Callback callback)
{
    Entry *entry = find(number);
    if (entry != nullptr && entry->state == State::Running) {
        entry->onCancelled = std::move(callback);
    }
}

bool ResponseQueue::setResponse(Number number, Response &&response)
{
    Entry *entry = find(number);
    if (entry == nullptr || entry->state != State::Running) {
        return false;
    }
    entry->state = State::Ready;
    entry->onCancelled = nullptr;
    entry->response = std::move(response);
    // The response to the first request is taken at once, and so is not counted as waiting.
    entry->heldBytes = number == m_firstNumber ? 0 : sizeOf(entry->response);
    hold(entry->heldBytes);
    return true;
}

std::optional<ResponseQueue::Response> ResponseQueue::takeNext()
{
    if (!m_first || m_first->state != State::Ready) {
        return std::nullopt;
    }
    m_first->state = State::Writing;
    release(m_first->heldBytes);
    return std::move(m_first->response);
}

void ResponseQueue::onWritten(Response &&response, std::size_t writtenBytes)
{
    if (writtenBytes >= sizeOf(response)) {
        finishFirst();
        return;
    }
    const std::size_t headerBytes = response.header.size();
    if (writtenBytes < headerBytes) {
        m_unsent = response.header.substr(writtenBytes) + response.body;
    } else {
        response.body.erase(0, writtenBytes - headerBytes);
        m_unsent = std::move(response.body);
    }
    hold(m_unsent.size());
}

void ResponseQueue::consumeUnsent(std::size_t bytes)
{
    m_unsent.erase(0, bytes);
    release(bytes);
    if (m_unsent.empty()) {
        // The memory of a large response is not kept for the next one.
        m_unsent.shrink_to_fit();
        finishFirst();
    }
}

void ResponseQueue::finishFirst()
{
    m_first.reset();
    ++m_firstNumber;
    if (!m_behind.empty()) {
        m_first = std::move(m_behind.front());
        m_behind.erase(m_behind.begin());
    }
}

std::vector<ResponseQueue::Callback> ResponseQueue::cancelBehind(std::size_t kept)
{
    m_closing = true;
    m_firstCancelled = std::min(m_firstCancelled, m_firstNumber + kept);
    std::vector<Callback> callbacks;
    while (size() > kept) {
        Entry &last = m_behind.empty() ? *m_first : m_behind.back();
        if (last.onCancelled) {
            callbacks.push_back(std::move(last.onCancelled));
        }
        release(last.state == State::Ready ? last.heldBytes : 0);
        if (m_behind.empty()) {
            release(m_unsent.size());
            m_unsent.clear();
            m_first.reset();
        } else {
            m_behind.pop_back();
        }
    }
    return callbacks;
}

std::vector<ResponseQueue::Callback> ResponseQueue::closeAfterReady()
{
    std::size_t kept = m_first && m_first->state != State::Running ? 1 : 0;
    if (kept > 0) {
        const auto running = std::find_if(m_behind.begin(), m_behind.end(),
                                          [](const Entry &entry) { return entry.state == State::Running; });
        kept += static_cast<std::size_t>(running - m_behind.begin());
    }
    return cancelBehind(kept);
}

std::vector<ResponseQueue::Callback> ResponseQueue::cancelAll()
{
    return cancelBehind(0);
}

} // namespace fulmarledge
