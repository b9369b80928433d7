#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "fulmarledge/head.h"
#include "fulmarledge/ports.h"

namespace fulmarledge {

enum class SubmissionOutcome : std::uint8_t {
    Accepted,
    Invalid, ///< refused by a check; `head` is unchanged by this submission
    NotFound, ///< the version to return to, or its content, is not on the platform
    Conflict, ///< another submission was accepted first, or `expect` is stale
    Unavailable, ///< certain: `head` is unchanged by this submission
    UnknownOutcome, ///< the submission may have been accepted
};

/// Name of an outcome in lower case with hyphens.
std::string_view submissionOutcomeName(SubmissionOutcome outcome);

struct SubmissionRequest {
    std::string text; ///< manifest text, for a submission
    std::optional<Version> revertTo; ///< version whose content is accepted again, for a reversal
    std::optional<Version> expect; ///< refuses unless this is the newest version
    std::string submission; ///< unique id chosen by the submitter
    std::int64_t acceptedMs = 0; ///< milliseconds since 1970, written to `head`
};

struct SubmissionResult {
    SubmissionOutcome outcome = SubmissionOutcome::Unavailable;
    Version version = 0; ///< accepted version
    std::string digest;
    std::optional<Acceptance> winner; ///< for Conflict: the acceptance that came first
    std::string reason;
    int retries = 0;
};

/// One submission or reversal against the platform. Sends `head` updates that are conditional on one state of `head`,
/// so at most one of them can take effect, whatever answers are lost. Belongs to the thread of the store's callbacks.
class Submission
{
public:
    struct Settings {
        int attempts = 8; ///< calls per step before giving up
        std::int64_t backoffMs = 100; ///< before the first retry; doubles up to `maxBackoffMs`, with jitter
        std::int64_t maxBackoffMs = 2000;
        std::int64_t deadlineMs = 30000; ///< no retry starts later than this after `start`
    };
    using Callback = std::function<void(const SubmissionResult &)>;

    Submission(PlatformStore &store, RandomSource &random, Settings settings, SubmissionRequest request,
               Callback callback);
    ~Submission();
    Submission(const Submission &) = delete;
    Submission &operator=(const Submission &) = delete;

    /// Checks the request and sends the first call.
    void start(TimeMs now);
    /// Sends the retry that is due, if any. Call it every few milliseconds until the callback has run.
    void tick(TimeMs now);

private:
    enum class Step : std::uint8_t { CreateContent, ReadHead, ReadContent, UpdateHead, ReadBack, Done };

    void run(Step step);
    void onReply(Step step, const StoreReply &reply);
    void onContentCreated(const StoreReply &reply);
    void onHeadRead(const StoreReply &reply);
    void onContentRead(const StoreReply &reply);
    void onHeadUpdated(const StoreReply &reply);
    void onReadBack(const StoreReply &reply);
    void updateHead(const std::function<void(const StoreReply &)> &callback);
    bool readHead(const StoreReply &reply, Head &head, std::int64_t &objectVersion);
    void lost(const Head &current);
    void retry(Step step, const StoreReply &reply);
    void giveUp(const std::string &reason);
    void finish(SubmissionOutcome outcome, std::string reason);

    PlatformStore &m_store;
    RandomSource &m_random;
    Settings m_settings;
    SubmissionRequest m_request;
    Callback m_callback;
    SubmissionResult m_result;
    Step m_step = Step::CreateContent;
    TimeMs m_now = 0;
    TimeMs m_deadline = 0;
    std::optional<TimeMs> m_retryAt;
    std::array<int, 5> m_failures{}; ///< by step
    std::string m_content;
    Head m_base; ///< state of `head` on which every update is conditional
    std::int64_t m_baseObject = 0; ///< platform's version of that state; 0 when there was no `head`
    bool m_mayHaveUpdated = false; ///< an update was sent whose outcome is unknown
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fulmarledge
