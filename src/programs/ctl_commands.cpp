#include "ctl_commands.h"

#include <charconv>
#include <fstream>
#include <random>

#include "fulmarledge/manifest.h"
#include "fulmarledge/submission.h"

namespace fulmarledge {

namespace {

using nlohmann::json;

constexpr std::int64_t kTickMs = 10;
constexpr long kIdleConnections = 32;
constexpr std::int64_t kNodeTimeoutMs = 1000;
constexpr std::size_t kNodeConcurrency = 32;
constexpr std::size_t kMaxFileBytes = 16 * 1024 * 1024;

class SystemRandom : public RandomSource
{
public:
    std::uint64_t below(std::uint64_t bound) override
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_device);
    }

private:
    std::random_device m_device;
};

/// 128 random bits in hexadecimal.
std::string randomId(RandomSource &random)
{
    static constexpr std::string_view kHexDigits = "0123456789abcdef";
    std::string id;
    for (int i = 0; i < 32; ++i) {
        id += kHexDigits[random.below(16)];
    }
    return id;
}

/// Reads at most `kMaxFileBytes`. Longer files are cut, but a manifest of that size is refused anyway.
std::optional<std::string> readFile(const std::string &name)
{
    std::ifstream file(name, std::ios::binary);
    std::string text(kMaxFileBytes, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (file.bad() || (file.fail() && !file.eof())) {
        return std::nullopt;
    }
    text.resize(static_cast<std::size_t>(file.gcount()));
    return text;
}

std::optional<Version> parseVersion(const std::string &text)
{
    Version version = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (error != std::errc() || end != text.data() + text.size() || version < 1) {
        return std::nullopt;
    }
    return version;
}

json acceptanceJson(const Acceptance &entry)
{
    return {{"version", entry.version},
            {"digest", entry.digest},
            {"submission", entry.submissionId},
            {"accepted_ms", entry.acceptedMs}};
}

json resultJson(const SubmissionResult &result, const std::string &submissionId)
{
    json document{{"outcome", submissionOutcomeName(result.outcome)},
                  {"submission", submissionId},
                  {"digest", result.shownDigest},
                  {"retries", result.retries}};
    if (result.outcome == SubmissionOutcome::Accepted) {
        document["version"] = result.version;
    } else {
        document["reason"] = result.reason;
    }
    if (result.winner) {
        document["winner"] = acceptanceJson(*result.winner);
    }
    return document;
}

std::string resultText(const SubmissionResult &result, const std::string &submissionId)
{
    std::string text(submissionOutcomeName(result.outcome));
    if (result.outcome == SubmissionOutcome::Accepted) {
        return text + ": version " + std::to_string(result.version) + ", digest " + result.shownDigest + ", submission "
            + submissionId + "\n";
    }
    text += ": " + result.reason;
    if (result.outcome == SubmissionOutcome::UnknownOutcome) {
        text += "; look for submission " + submissionId + " in the history before submitting again";
    }
    return text + "\n";
}

std::string waitText(const SubmissionResult &result, const WaitResult &wait)
{
    std::string text = "version " + std::to_string(result.version);
    if (wait.converged) {
        return "in force: " + text + " on " + std::to_string(wait.nodes) + " nodes after "
            + std::to_string(wait.elapsedMs) + " ms\n";
    }
    text = "timed out: " + text + " is accepted, but ";
    if (!wait.failure.empty()) {
        return text + "the members could not be listed: " + wait.failure + "\n";
    }
    text += std::to_string(wait.lagging.size()) + " of " + std::to_string(wait.nodes) + " nodes do not run it after "
        + std::to_string(wait.elapsedMs) + " ms\n";
    for (const auto &[host, reason] : wait.lagging) {
        text += "  " + host + ": " + reason + "\n";
    }
    return text;
}

} // namespace

CtlCommands::CtlCommands(CtlOptions options)
    : m_options(std::move(options))
    , m_output(m_options.json)
    , m_client(m_loop, kIdleConnections)
    , m_metrics("ctl", "")
    , m_store(m_client, m_metrics, {m_options.platform.value_or(SocketAddress{}), m_options.timeoutMs})
    , m_query(m_client, kNodeTimeoutMs, kNodeConcurrency)
    , m_random(std::make_unique<SystemRandom>())
{
}

CtlCommands::~CtlCommands() = default;

ExitCode CtlCommands::run()
{
    if (m_options.command == "check") {
        return check();
    }
    if (m_options.command == "history") {
        history();
    } else if (m_options.command == "status") {
        status();
    } else if (m_options.command == "explain") {
        explain();
    } else if (m_options.command == "rollout") {
        rollout();
    } else {
        submitOrRevert();
    }
    if (!m_exitCode) {
        m_loop.run();
    }
    return *m_exitCode;
}

void CtlCommands::finish(ExitCode code)
{
    m_exitCode = code;
    m_loop.stop();
}

ExitCode CtlCommands::check()
{
    const auto text = readFile(m_options.argument);
    if (!text) {
        return m_output.printFailure(ExitCode::Usage, "usage", "cannot read " + m_options.argument);
    }
    LastReason error;
    const auto manifest = Manifest::parse(*text, error);
    if (!manifest) {
        return m_output.printFailure(ExitCode::Invalid, "invalid", error.text());
    }
    const std::string digest = manifest->shownDigest(sha256Hex(manifest->canonicalText()));
    const std::size_t services = manifest->services().size();
    const std::size_t routes = manifest->routes().size();
    json document{{"outcome", "valid"}, {"digest", digest}, {"services", services}, {"routes", routes}};
    std::string organisationsText;
    if (const std::size_t organisations = manifest->organisations().size(); organisations > 0) {
        std::size_t keys = 0;
        for (const auto &[name, entry] : manifest->organisations()) {
            keys += entry->spec.keys.size();
        }
        document["organisations"] = organisations;
        document["keys"] = keys;
        organisationsText = std::to_string(organisations) + " organisations, " + std::to_string(keys) + " keys, ";
    }
    return m_output.print(ExitCode::Done, document,
                          "valid: " + std::to_string(services) + " services, " + std::to_string(routes) + " routes, "
                              + organisationsText + "digest " + digest + "\n");
}

void CtlCommands::submitOrRevert()
{
    SubmissionRequest request;
    request.expect = m_options.expect;
    if (m_options.command == "submit") {
        auto text = readFile(m_options.argument);
        if (!text) {
            finish(m_output.printFailure(ExitCode::Usage, "usage", "cannot read " + m_options.argument));
            return;
        }
        request.text = std::move(*text);
    } else {
        request.revertTo = parseVersion(m_options.argument);
        if (!request.revertTo) {
            finish(m_output.printFailure(ExitCode::Usage, "usage", "\"" + m_options.argument + "\" is not a version"));
            return;
        }
    }
    startSubmission(std::move(request));
}

void CtlCommands::startSubmission(SubmissionRequest request)
{
    m_submissionId = randomId(*m_random);
    request.submissionId = m_submissionId;
    request.acceptedMs = wallClockMs();
    Submission::Settings settings;
    settings.deadlineMs = m_options.retryMs;
    m_submission = std::make_unique<Submission>(m_store, *m_random, settings, std::move(request),
                                                [this](const SubmissionResult &result) { onSubmitted(result); });
    m_submission->start(monotonicMs());
    tickSubmission();
}

void CtlCommands::tickSubmission()
{
    m_submission->tick(monotonicMs());
    m_loop.runAfter(kTickMs, [this] { tickSubmission(); });
}

void CtlCommands::onSubmitted(const SubmissionResult &result)
{
    if (result.outcome != SubmissionOutcome::Accepted || !m_options.wait) {
        finish(m_output.print(exitCodeOf(result.outcome), resultJson(result, m_submissionId),
                              resultText(result, m_submissionId)));
        return;
    }
    m_wait
        = std::make_unique<ConvergenceWait>(m_loop, m_query, m_options.nodes, result.version, m_options.waitMs,
                                            [this, result](const WaitResult &wait) { onWaitFinished(result, wait); });
    m_wait->start();
}

void CtlCommands::onWaitFinished(const SubmissionResult &result, const WaitResult &wait)
{
    json document = resultJson(result, m_submissionId);
    document["wait"] = {{"converged", wait.converged},
                        {"nodes", wait.nodes},
                        {"lagging", wait.lagging},
                        {"elapsed_ms", wait.elapsedMs}};
    if (!wait.failure.empty()) {
        document["wait"]["failure"] = wait.failure;
    }
    finish(m_output.print(wait.converged ? ExitCode::Done : ExitCode::WaitTimedOut, document,
                          resultText(result, m_submissionId) + waitText(result, wait)));
}

void CtlCommands::history()
{
    m_store.get(kHeadKind, kHeadName, [this](const StoreReply &reply) { printHistory(reply); });
}

void CtlCommands::printHistory(const StoreReply &reply)
{
    LastReason error;
    std::optional<Head> head;
    if (reply.status == StoreStatus::NotFound) {
        head = Head();
    } else if (reply.status != StoreStatus::Ok) {
        finish(m_output.printFailure(ExitCode::Unavailable, "unavailable",
                                     "the platform did not answer: " + std::string(storeStatusName(reply.status)) + ": "
                                         + reply.reason));
        return;
    } else {
        head = Head::parse(reply.objects.front().value, error);
    }
    if (!head) {
        finish(m_output.printFailure(ExitCode::Invalid, "invalid", error.text()));
        return;
    }
    json document = json::array();
    std::vector<std::vector<std::string>> rows{{"VERSION", "DIGEST", "SUBMISSION", "ACCEPTED"}};
    for (auto entry = head->recent.rbegin(); entry != head->recent.rend(); ++entry) {
        document.push_back(acceptanceJson(*entry));
        rows.push_back(
            {std::to_string(entry->version), entry->digest, entry->submissionId, utcText(entry->acceptedMs)});
    }
    finish(m_output.print(ExitCode::Done, document, tableText(rows)));
}

} // namespace fulmarledge
