#include "metrics.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace fulmarledge {

namespace {

constexpr std::size_t kReasonCount = static_cast<std::size_t>(Reason::Count);
constexpr std::size_t kVerdictCount = 4;
constexpr auto kKindCount = static_cast<std::size_t>(RequestKind::Count);
constexpr std::array<const char *, 2> kLegNames{"attempt", "guard"};

/// Upper bounds of the histogram buckets, in milliseconds. They include 6 s, the limit for convergence.
const prometheus::Histogram::BucketBoundaries kBucketsMs{1,   2,    5,    10,   20,   50,    100,  200,
                                                         500, 1000, 2000, 4000, 6000, 10000, 60000};

/// Prometheus name of a metric, with the prefix "fulmarledge_" and underscores instead of hyphens.
std::string metricName(std::string_view name)
{
    std::string text = "fulmarledge_";
    text += name;
    std::replace(text.begin(), text.end(), '-', '_');
    return text;
}

} // namespace

struct Metrics::Impl {
    std::shared_ptr<prometheus::Registry> registry = std::make_shared<prometheus::Registry>();
    prometheus::Labels commonLabels; ///< labels of every metric
    std::mutex mutex;
    std::map<std::string, prometheus::Counter *, std::less<>> counters;
    std::map<std::string, prometheus::Gauge *, std::less<>> gauges;
    std::map<std::string, prometheus::Histogram *, std::less<>> histograms;
    std::array<prometheus::Counter *, kReasonCount> refusals{};
    std::array<prometheus::Counter *, kReasonCount> retries{};
    std::array<prometheus::Counter *, kVerdictCount> verdicts{};
    std::array<std::array<prometheus::Histogram *, kVerdictCount>, kKindCount> requestTimes{};
    std::array<prometheus::Histogram *, kLegNames.size()> legTimes{};

    static std::string seriesKey(std::string_view name, std::string_view label)
    {
        std::string text(name);
        text += '\n';
        text += label;
        return text;
    }
};

Metrics::Metrics(std::string host, std::string zone)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->commonLabels = {{"host", std::move(host)}, {"zone", std::move(zone)}};
    auto &refusals = prometheus::BuildCounter()
                         .Name("fulmarledge_refusals_total")
                         .Help("Requests refused or failed, by reason")
                         .Labels(m_impl->commonLabels)
                         .Register(*m_impl->registry);
    auto &retries = prometheus::BuildCounter()
                        .Name("fulmarledge_retries_total")
                        .Help("Further attempts, by reason")
                        .Labels(m_impl->commonLabels)
                        .Register(*m_impl->registry);
    for (std::size_t i = 0; i < kReasonCount; ++i) {
        const std::string reason(reasonName(static_cast<Reason>(i)));
        m_impl->refusals[i] = &refusals.Add({{"reason", reason}});
        m_impl->retries[i] = &retries.Add({{"reason", reason}});
    }
    auto &verdicts = prometheus::BuildCounter()
                         .Name("fulmarledge_requests_total")
                         .Help("Finished requests, by verdict")
                         .Labels(m_impl->commonLabels)
                         .Register(*m_impl->registry);
    for (const Verdict verdict : {Verdict::NotRun, Verdict::MayHaveRun, Verdict::Answered}) {
        m_impl->verdicts[static_cast<std::size_t>(verdict)]
            = &verdicts.Add({{"verdict", std::string(verdictName(verdict))}});
    }
    auto &requestTimes = prometheus::BuildHistogram()
                             .Name("fulmarledge_request_ms")
                             .Help("Time from a request's arrival to its answer, by kind and verdict")
                             .Labels(m_impl->commonLabels)
                             .Register(*m_impl->registry);
    for (std::size_t kind = 0; kind < kKindCount; ++kind) {
        for (std::size_t verdict = 0; verdict < kVerdictCount; ++verdict) {
            m_impl->requestTimes[kind][verdict]
                = &requestTimes.Add({{"kind", std::string(requestKindName(static_cast<RequestKind>(kind)))},
                                     {"verdict", std::string(verdictName(static_cast<Verdict>(verdict)))}},
                                    kBucketsMs);
        }
    }
    auto &legTimes = prometheus::BuildHistogram()
                         .Name("fulmarledge_leg_ms")
                         .Help("Time of one leg of a request")
                         .Labels(m_impl->commonLabels)
                         .Register(*m_impl->registry);
    for (std::size_t i = 0; i < kLegNames.size(); ++i) {
        m_impl->legTimes[i] = &legTimes.Add({{"leg", kLegNames[i]}}, kBucketsMs);
    }
}

Metrics::~Metrics() = default;

void Metrics::count(std::string_view name, std::string_view label, double amount)
{
    const std::lock_guard lock(m_impl->mutex);
    prometheus::Counter *&counter = m_impl->counters[Impl::seriesKey(name, label)];
    if (counter == nullptr) {
        auto &family = prometheus::BuildCounter()
                           .Name(metricName(name) + "_total")
                           .Labels(m_impl->commonLabels)
                           .Register(*m_impl->registry);
        counter = &family.Add(label.empty() ? prometheus::Labels{} : prometheus::Labels{{"kind", std::string(label)}});
    }
    counter->Increment(amount);
}

void Metrics::gauge(std::string_view name, std::string_view label, double value)
{
    const std::lock_guard lock(m_impl->mutex);
    prometheus::Gauge *&gauge = m_impl->gauges[Impl::seriesKey(name, label)];
    if (gauge == nullptr) {
        auto &family
            = prometheus::BuildGauge().Name(metricName(name)).Labels(m_impl->commonLabels).Register(*m_impl->registry);
        gauge = &family.Add(label.empty() ? prometheus::Labels{} : prometheus::Labels{{"kind", std::string(label)}});
    }
    gauge->Set(value);
}

void Metrics::observe(std::string_view name, double value)
{
    const std::lock_guard lock(m_impl->mutex);
    prometheus::Histogram *&histogram = m_impl->histograms[std::string(name)];
    if (histogram == nullptr) {
        auto &family = prometheus::BuildHistogram()
                           .Name(metricName(name))
                           .Labels(m_impl->commonLabels)
                           .Register(*m_impl->registry);
        histogram = &family.Add({}, kBucketsMs);
    }
    histogram->Observe(value);
}

void Metrics::observeRequest(RequestKind kind, Verdict verdict, TimeMs duration)
{
    m_impl->requestTimes[static_cast<std::size_t>(kind)][static_cast<std::size_t>(verdict)]->Observe(
        static_cast<double>(duration));
}

void Metrics::observeLeg(RequestLeg leg, TimeMs duration)
{
    m_impl->legTimes[static_cast<std::size_t>(leg)]->Observe(static_cast<double>(duration));
}

void Metrics::countRefusal(Reason reason)
{
    m_impl->refusals[static_cast<std::size_t>(reason)]->Increment();
}

void Metrics::countRetry(Reason reason)
{
    m_impl->retries[static_cast<std::size_t>(reason)]->Increment();
}

void Metrics::countVerdict(Verdict verdict)
{
    m_impl->verdicts[static_cast<std::size_t>(verdict)]->Increment();
}

std::string Metrics::toText() const
{
    return prometheus::TextSerializer().Serialize(m_impl->registry->Collect());
}

} // namespace fulmarledge
