#include <algorithm>
#include <chrono>
#include <memory>
#include <random>
#include <thread>

#include "answerbody_p.h"
#include "bench_client_p.h"
#include "bench_load_p.h"
#include "ioloop.h"

namespace fulmarledge {

namespace {

constexpr int kWarmUpCalls = 50;

std::vector<std::unique_ptr<BenchClient>> createClients(const std::vector<SocketAddress> &targets)
{
    std::vector<std::unique_ptr<BenchClient>> clients;
    clients.reserve(targets.size());
    for (const SocketAddress &target : targets) {
        clients.push_back(std::make_unique<BenchClient>(target));
    }
    return clients;
}

/// One caller with a connection to each target. Records the outcome of each of its requests.
class Caller
{
public:
    Caller(const BenchSettings &settings, int index)
        : m_settings(settings)
        , m_clients(createClients(settings.targets))
        , m_targetIndex(static_cast<std::size_t>(index))
        , m_idPrefix(std::to_string(wallClockMs()) + "-" + std::to_string(index) + "-")
        , m_random(static_cast<std::uint32_t>(index) + 1)
    {
    }

    void run(std::int64_t untilUs)
    {
        const double intervalUs
            = m_settings.requestsPerSecond > 0 ? 1e6 * m_settings.threads / m_settings.requestsPerSecond : 0;
        // The starts are spread over one interval. Callers that sent at the same times would cause bursts as large as
        // their number.
        const double phase = static_cast<double>(m_targetIndex) / m_settings.threads;
        auto dueUs = static_cast<double>(monotonicUs()) + intervalUs * phase;
        std::this_thread::sleep_for(std::chrono::microseconds(static_cast<std::int64_t>(intervalUs * phase)));
        while (monotonicUs() < untilUs) {
            sendNext();
            dueUs += intervalUs;
            const auto earlyUs = static_cast<std::int64_t>(dueUs) - monotonicUs();
            if (m_settings.requestsPerSecond > 0 && earlyUs > 0) {
                std::this_thread::sleep_for(std::chrono::microseconds(earlyUs));
            }
            if (m_settings.thinkMs > 0) {
                std::this_thread::sleep_for(std::chrono::milliseconds(m_settings.thinkMs));
            }
        }
    }
    BenchTotals totals;

private:
    void sendNext();
    bool send(const BenchRequest &request, BenchOutcome &outcome);
    void recordResponse(const BenchResponse &response, const BenchRequest &request, BenchOutcome &outcome, double ms);

    const BenchSettings &m_settings;
    std::vector<std::unique_ptr<BenchClient>> m_clients;
    std::size_t m_targetIndex; ///< starts with the index of the caller
    std::string m_idPrefix;
    std::minstd_rand m_random;
    std::uint64_t m_nextId = 0;
};

void Caller::sendNext()
{
    BenchRequest request;
    request.requestId = m_idPrefix + std::to_string(m_nextId++);
    request.target = m_settings.path + "?size=" + std::to_string(m_settings.payloadBytes);
    request.timeoutMs = m_settings.timeoutMs;
    const int draw = static_cast<int>(m_random() % 100);
    const bool keyed = draw < m_settings.keyedPercent;
    BenchOutcome outcome;
    outcome.requestId = request.requestId;
    outcome.atMostOnce = keyed || draw < m_settings.keyedPercent + m_settings.postPercent;
    request.method = outcome.atMostOnce ? "POST" : "GET";
    if (outcome.atMostOnce) {
        request.body.assign(m_settings.bodyBytes, 'b');
    }
    if (keyed) {
        request.idempotencyKey = request.requestId;
    }
    if (!send(request, outcome) && keyed) {
        // The repeat goes to the next target. The key must keep it from running a second time at any node.
        send(request, outcome);
    }
    totals.outcomes.push_back(std::move(outcome));
}

/// @return false if it is uncertain whether the request ran
bool Caller::send(const BenchRequest &request, BenchOutcome &outcome)
{
    BenchClient &client = *m_clients[m_targetIndex++ % m_clients.size()];
    ++totals.requests;
    const std::int64_t startUs = monotonicUs();
    const std::optional<BenchResponse> response = client.call(request);
    if (!response) {
        ++(client.mayHaveReachedServer() ? totals.lost : totals.notRun);
        outcome.reportedNotRun = outcome.reportedNotRun && !client.mayHaveReachedServer();
        return !client.mayHaveReachedServer();
    }
    const std::uint64_t mayHaveRunBefore = totals.mayHaveRun;
    recordResponse(*response, request, outcome, static_cast<double>(monotonicUs() - startUs) / 1000);
    return mayHaveRunBefore == totals.mayHaveRun;
}

void Caller::recordResponse(const BenchResponse &response, const BenchRequest &request, BenchOutcome &outcome,
                            double ms)
{
    ++totals.statuses[response.status];
    const std::string_view verdict = fieldValue(response.fields, "Fulmarledge-Verdict");
    if (!verdict.empty() && verdict != "answered") {
        const std::string reason(fieldValue(response.fields, "Fulmarledge-Reason"));
        ++totals.reasons[std::string(verdict) + ":" + (reason.empty() ? "shed-load" : reason)];
    }
    if (verdict == "not-run") {
        ++totals.notRun;
        // The refusal of a repeat does not tell whether the first attempt ran.
        outcome.reportedNotRun = !outcome.answered && request.idempotencyKey.empty();
    } else if (verdict == "may-have-run") {
        ++totals.mayHaveRun;
    } else {
        ++totals.answered;
        totals.answeredInTime += ms <= static_cast<double>(request.timeoutMs) ? 1 : 0;
        outcome.answered = true;
        totals.answeredMs.push_back(ms);
        totals.wrongAnswers
            += response.status == 200 && isExpectedAnswer(response.body, request.requestId, m_settings.payloadBytes)
            ? 0
            : 1;
    }
}

void addTotals(BenchTotals &sum, BenchTotals &&other)
{
    sum.requests += other.requests;
    sum.answered += other.answered;
    sum.answeredInTime += other.answeredInTime;
    sum.notRun += other.notRun;
    sum.mayHaveRun += other.mayHaveRun;
    sum.lost += other.lost;
    sum.wrongAnswers += other.wrongAnswers;
    for (const auto &[reason, number] : other.reasons) {
        sum.reasons[reason] += number;
    }
    for (const auto &[status, number] : other.statuses) {
        sum.statuses[status] += number;
    }
    sum.answeredMs.insert(sum.answeredMs.end(), other.answeredMs.begin(), other.answeredMs.end());
    std::move(other.outcomes.begin(), other.outcomes.end(), std::back_inserter(sum.outcomes));
}

std::vector<std::vector<double>> measureInTurn(const BenchSettings &settings, int thread)
{
    const std::vector<std::unique_ptr<BenchClient>> clients = createClients(settings.targets);
    std::vector<std::vector<double>> samples(clients.size());
    BenchRequest request;
    request.method = "GET";
    request.target = settings.path + "?size=" + std::to_string(settings.payloadBytes);
    request.timeoutMs = settings.timeoutMs;
    for (int i = -kWarmUpCalls; i < settings.callsPerTarget; ++i) {
        for (std::size_t offset = 0; offset < clients.size(); ++offset) {
            // The order rotates, so that no target is always called after the same other one.
            const std::size_t target = (offset + static_cast<std::size_t>(i + kWarmUpCalls)) % clients.size();
            request.requestId = "l" + std::to_string(thread) + "-" + std::to_string(i) + "-" + std::to_string(target);
            const std::int64_t startUs = monotonicUs();
            const std::optional<BenchResponse> response = clients[target]->call(request);
            const double ms = static_cast<double>(monotonicUs() - startUs) / 1000;
            if (i >= 0 && response && response->status == 200) {
                samples[target].push_back(ms);
            }
        }
    }
    return samples;
}

} // namespace

double quantile(const std::vector<double> &sorted, double q)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(q * static_cast<double>(sorted.size()));
    return sorted[std::min(rank, sorted.size() - 1)];
}

BenchTotals runLoad(const BenchSettings &settings)
{
    const std::int64_t untilUs = monotonicUs() + static_cast<std::int64_t>(settings.seconds * 1e6);
    std::vector<std::unique_ptr<Caller>> callers;
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(settings.threads));
    for (int i = 0; i < settings.threads; ++i) {
        callers.push_back(std::make_unique<Caller>(settings, i));
        threads.emplace_back([caller = callers.back().get(), untilUs] { caller->run(untilUs); });
    }
    BenchTotals sum;
    for (std::size_t i = 0; i < threads.size(); ++i) {
        threads[i].join();
        addTotals(sum, std::move(callers[i]->totals));
    }
    std::sort(sum.answeredMs.begin(), sum.answeredMs.end());
    return sum;
}

std::vector<std::vector<double>> runLatency(const BenchSettings &settings)
{
    std::vector<std::vector<std::vector<double>>> samplesByThread(static_cast<std::size_t>(settings.threads));
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(settings.threads));
    for (int i = 0; i < settings.threads; ++i) {
        threads.emplace_back([&, i] { samplesByThread[static_cast<std::size_t>(i)] = measureInTurn(settings, i); });
    }
    std::vector<std::vector<double>> samples(settings.targets.size());
    for (std::size_t i = 0; i < threads.size(); ++i) {
        threads[i].join();
        for (std::size_t target = 0; target < samples.size(); ++target) {
            samples[target].insert(samples[target].end(), samplesByThread[i][target].begin(),
                                   samplesByThread[i][target].end());
        }
    }
    for (std::vector<double> &sample : samples) {
        std::sort(sample.begin(), sample.end());
    }
    return samples;
}

} // namespace fulmarledge
