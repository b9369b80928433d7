#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "httpclient.h"
#include "ioloop.h"
#include "localbackend_p.h"
#include "log.h"
#include "requestdialect.h"

namespace fulmarledge {

/// Sends requests to the backend server of this host as its slot guard admits them. One per data thread.
class BackendCalls
{
public:
    using Done = std::function<void(wire::HopResponse &&)>;

    BackendCalls(IoLoop &loop, LocalBackend &backend, const RequestDialect &dialect, DecisionLog &decisions,
                 std::size_t maxAnswerBytes, std::shared_ptr<MemoryBudget> answerMemory);
    ~BackendCalls();
    BackendCalls(const BackendCalls &) = delete;
    BackendCalls &operator=(const BackendCalls &) = delete;

    /// Runs a request, or refuses it. `done` runs once, after this call has returned, unless the request is cancelled.
    /// @param remote the request came from another node
    /// @return id for `cancel`
    std::uint64_t execute(wire::HopRequest request, bool remote, TimeMs deadline, Done done);
    void cancel(std::uint64_t id);
    /// Refuses a request that still waits for the slot guard. One that was sent to the backend server goes on.
    void refuseWaiting(std::uint64_t id, Reason reason);
    /// Whether a request still waits for the slot guard, so that it certainly has not run.
    bool isWaiting(std::uint64_t id) const
    {
        const auto found = m_jobs.find(id);
        return found != m_jobs.end() && !found->second.dispatched && isValid(found->second.entry);
    }
    /// Replaces the organisation of a request that still waits, by none if `name` is empty.
    void setOrganisation(std::uint64_t id, const std::string &name);
    /// Whether a request has been sent to the backend server and has not ended.
    bool isDispatched(std::uint64_t id) const
    {
        const auto found = m_jobs.find(id);
        return found != m_jobs.end() && found->second.dispatched;
    }

private:
    struct Job {
        wire::HopRequest request;
        TimeMs deadline = 0;
        Done done;
        GuardEntryId entry;
        KeyEntryId key;
        TransferId transfer;
        std::string instance; ///< id of the backend server's process that it was sent to
        TimeMs receivedAt = 0;
        bool dispatched = false; ///< it was sent to the backend server
        bool isHead = false; ///< the method is HEAD
    };

    AnswerClassification judge(const Job &job, int status, const HttpFields &fields) const;
    /// Continues a request that waited for the guard.
    void resume(std::uint64_t id, const GuardDecision &decision);
    void dispatch(std::uint64_t id);
    void onResult(std::uint64_t id, HttpResult result);
    void finish(std::uint64_t id, wire::HopResponse response);
    void logFailure(const Job &job, const wire::HopResponse &response);
    void armWakeup();

    IoLoop &m_loop;
    LocalBackend &m_backend;
    const RequestDialect &m_dialect;
    DecisionLog &m_decisions;
    std::size_t m_maxAnswerBytes;
    long m_keepAliveSeconds = 0; ///< idle time after which the backend server may close a connection; 0 when not stated
    HttpClient m_client;
    std::uint64_t m_nextId = 1;
    std::unordered_map<std::uint64_t, Job> m_jobs;
    TimerId m_wakeupTimer;
    TimeMs m_wakeupAt = 0; ///< 0 when no wake-up is set
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fulmarledge
