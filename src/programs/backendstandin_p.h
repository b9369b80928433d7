#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>

#include "httpclient.h"
#include "httpserver.h"
#include "ioloop.h"

namespace fulmarledge {

/// Options of the backend stand-in.
struct BackendStandinSettings {
    SocketAddress address;
    SocketAddress nodeAdminAddress; ///< where to announce, unless the port is 0
    std::string service;
    std::string version; ///< announced, unless empty
    int slots = 12; ///< requests executed at once
    int threads = 2; ///< of the HTTP server
    std::int64_t serviceMs = 0; ///< execution time of each request
    std::int64_t coldStartMs = 0; ///< time after the start in which "starting" is announced
    std::int64_t lingerMs = 0; ///< minimum time from the start of a drain to its end
    std::size_t maxBodyBytes = 64 * 1024 * 1024;
};

/// Injected faults, set with `PUT /standin/behaviour`. Keys missing from the JSON object return to their defaults. Each
/// percentage is a share of the requests.
struct InjectedFaults {
    std::int64_t delayMs = 0; ///< added to the service time
    std::int64_t lateMs = 0; ///< added between execution and answer, with cancellation switched off
    int failPercent = 0; ///< answered with 500, not executed
    int shedPercent = 0; ///< answered with 503 and "not-run", not executed
    int closeBeforePercent = 0; ///< connection closed, not executed
    int closeAfterPercent = 0; ///< executed, then connection closed without an answer
    int truncatePercent = 0; ///< executed, then connection closed after half of the answer
    int silentPercent = 0; ///< executed, never answered
    std::string announceState; ///< reported in place of the true state, unless empty
    std::int64_t announceLoad = -1; ///< reported in place of the true load, unless negative
};

/// Stand-in for a user's backend server. Executes up to `slots` requests at once and queues further ones without a
/// limit. Requests that take no time need no slot.
class BackendStandin
{
public:
    explicit BackendStandin(const BackendStandinSettings &settings);
    ~BackendStandin();
    BackendStandin(const BackendStandin &) = delete;
    BackendStandin &operator=(const BackendStandin &) = delete;

    /// Announces the drain, then waits until all requests have ended and no new one has come for a while.
    void drain();

private:
    struct Job;

    void onCall(HttpCall call);
    void onControl(HttpCall &call);
    void setInjectedFaults(HttpCall &call);
    void acceptRequest(HttpCall call);
    void recordExecution(const std::string &id);
    void startWaitingJobs();
    void startJob(const std::shared_ptr<Job> &job);
    void cancelJob(const std::shared_ptr<Job> &job);
    void finishJob(const std::shared_ptr<Job> &job);
    void freeSlot(const std::shared_ptr<Job> &job);
    void sendAnswer(const std::shared_ptr<Job> &job);
    std::string executionsJson();
    std::string state() const;
    void announce();
    InjectedFaults currentFaults();

    BackendStandinSettings m_settings;
    TimeMs m_started;
    std::mutex m_mutex;
    InjectedFaults m_faults;
    std::unordered_map<std::string, std::uint32_t> m_executions;
    std::uint64_t m_executed = 0;
    std::uint64_t m_cancelled = 0;
    std::atomic<std::int64_t> m_held{0}; ///< requests that run or wait
    std::atomic<std::int64_t> m_peakHeld{0};
    std::atomic<TimeMs> m_lastActivity{0};
    std::atomic<TimeMs> m_drainingSince{0};
    std::atomic<std::int64_t> m_lastNewWorkMs{-1}; ///< from the start of the drain to the newest request, or -1
    std::atomic<bool> m_draining{false};
    std::atomic<bool> m_drainAnnounced{false};
    std::deque<std::shared_ptr<Job>> m_waiting; ///< jobs that wait for a slot, used on the loop's thread only
    int m_running = 0; ///< jobs that hold a slot, used on the loop's thread only
    IoLoop m_loop;
    std::unique_ptr<HttpClient> m_client;
    std::unique_ptr<HttpServer> m_server;
    std::thread m_thread;
};

} // namespace fulmarledge
