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

struct BackendSettings {
    SocketAddress address;
    SocketAddress nodeAdmin; ///< port 0: announces to nobody
    std::string service;
    int slots = 12;
    int threads = 2;
    std::int64_t serviceMs = 0; ///< time that one request takes
    std::int64_t coldStartMs = 0; ///< time in which it announces "starting"
    std::int64_t lingerMs = 0; ///< shortest time from the announcement of a drain to its end
    std::size_t maxBodyBytes = 64 * 1024 * 1024;
};

/// Faults, switched by `PUT /standin/behaviour`. Absent keys of the JSON object return to their default.
struct Behaviour {
    std::int64_t delayMs = 0; ///< added to the service time
    std::int64_t lateMs = 0; ///< added between execution and answer, also after a cancellation
    int shedPercent = 0; ///< answers 503 with "not-run" without executing
    int closeBeforePercent = 0; ///< closes the connection without executing
    int closeAfterPercent = 0; ///< executes, then closes the connection without an answer
    int truncatePercent = 0; ///< executes, then sends half of the answer and closes
    int silentPercent = 0; ///< executes and never answers
    std::string announceState; ///< reported in place of the true state
    std::int64_t announceLoad = -1; ///< reported in place of the true load
};

/// Stand-in for a user's backend server. Runs `slots` requests at once; more wait in it without a limit.
class BackendStandin
{
public:
    explicit BackendStandin(const BackendSettings &settings);
    ~BackendStandin();
    BackendStandin(const BackendStandin &) = delete;
    BackendStandin &operator=(const BackendStandin &) = delete;

    /// Announces draining and waits until no work is left and none has come for a while.
    void drain();

private:
    struct Job;

    void onCall(HttpCall call);
    void onControl(HttpCall &call);
    void setBehaviour(HttpCall &call);
    void hold(HttpCall call);
    void record(const std::string &id);
    void startNext();
    void start(const std::shared_ptr<Job> &job);
    void stop(const std::shared_ptr<Job> &job);
    void finish(const std::shared_ptr<Job> &job);
    void freeSlot(const std::shared_ptr<Job> &job);
    void answer(const std::shared_ptr<Job> &job);
    std::string executions();
    std::string state() const;
    void announce();
    Behaviour behaviour();

    BackendSettings m_settings;
    TimeMs m_started;
    std::mutex m_mutex;
    Behaviour m_behaviour;
    std::unordered_map<std::string, std::uint32_t> m_executions;
    std::uint64_t m_executed = 0;
    std::uint64_t m_cancelled = 0;
    std::atomic<std::int64_t> m_held{0}; ///< running and waiting
    std::atomic<std::int64_t> m_peakHeld{0};
    std::atomic<TimeMs> m_lastWork{0};
    std::atomic<TimeMs> m_drainingSince{0};
    std::atomic<std::int64_t> m_lastNewWorkMs{-1}; ///< newest request after the drain began, counted from there
    std::atomic<bool> m_draining{false};
    std::atomic<bool> m_drainAnnounced{false};
    std::deque<std::shared_ptr<Job>> m_waiting; ///< for a slot; belongs to the loop's thread
    int m_running = 0; ///< belongs to the loop's thread
    IoLoop m_loop;
    std::unique_ptr<HttpClient> m_client;
    std::unique_ptr<HttpServer> m_server;
    std::thread m_thread;
};

} // namespace fulmarledge
