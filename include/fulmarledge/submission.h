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
    Invalid, ///< refused by a check, and `head` was not changed by this submission
    NotFound, ///< the version to revert to, or its content, is not on the platform
    Conflict, ///< another submission was accepted first, or `expect` is not the newest version
    Unavailable, ///< the platform did not answer, and `head` was certainly not changed by this submission
    UnknownOutcome, ///< the submission may or may not have been accepted
};

/// Name of an outcome, in lower case with hyphens.
std::string_view submissionOutcomeName(SubmissionOutcome outcome);

/// A new manifest or, if `revertTo` is set, a revert to an earlier version.
struct SubmissionRequest {
    std::string text; ///< text of the new manifest; not used by a revert
    std::optional<Version> revertTo; ///< version whose content is to become the newest version
    std::optional<Version> expect; ///< if set, the submission conflicts unless this is the newest version
    std::string submissionId; ///< unique id chosen by the submitter
    std::int64_t acceptedMs = 0; ///< time by the submitter's clock in milliseconds since 1970, written to `head`
};

struct SubmissionResult {
    SubmissionOutcome outcome = SubmissionOutcome::Unavailable;
    Version version = 0; ///< accepted version; 0 if not accepted
    std::string digest; ///< digest of the manifest; empty if none was computed or looked up
    /// The same for showing, see Manifest::shownDigest(). Equal to `digest` if the manifest was not read.
    std::string shownDigest;
    std::optional<Acceptance> winner; ///< for Conflict: the acceptance that came first, if `head` lists one
    std::string reason; ///< empty if accepted
    int retries = 0; ///< scheduled retries over all steps
};

/// Submits a manifest, or a revert, to the platform. It sends all updates of `head` conditional on the same version of
/// the `head` object, so that at most one of them takes effect, whichever replies are lost. Use it only on the thread
/// that runs the store's callbacks.
class Submission
{
public:
    struct Settings {
        int maxAttemptsPerStep = 8; ///< failed calls per step after which the submission gives up
        std::int64_t initialBackoffMs = 100; ///< before a step's first retry; doubles up to `maxBackoffMs`, with jitter
        std::int64_t maxBackoffMs = 2000;
        std::int64_t deadlineMs = 30000; ///< no retry is scheduled for later than this after `start`
    };
    using Callback = std::function<void(const SubmissionResult &)>;

    Submission(PlatformStore &store, RandomSource &random, Settings settings, SubmissionRequest request,
               Callback callback);
    ~Submission();
    Submission(const Submission &) = delete;
    Submission &operator=(const Submission &) = delete;

    /// Validates the manifest, unless the request is a revert, and sends the first call.
    void start(TimeMs now);
    /// Sends the retry that is due, if any. To be called every few milliseconds until the callback has run.
    void tick(TimeMs now);

private:
    enum class Step : std::uint8_t {
        CreateContent, ///< store the manifest under its digest
        ReadHead, ///< read the state of `head` on which the updates are conditional
        ReadContent, ///< for a revert: read the manifest of the earlier version
        UpdateHead, ///< append the new version to `head`
        ReadBack, ///< read `head` again to learn whether an update took effect
        Done
    };

    void startStep(Step step);
    void onReply(Step step, const StoreReply &reply);
    void onContentCreated(const StoreReply &reply);
    void onHeadRead(const StoreReply &reply);
    void onContentRead(const StoreReply &reply);
    void onHeadUpdated(const StoreReply &reply);
    void onReadBack(const StoreReply &reply);
    void updateHead(const std::function<void(const StoreReply &)> &callback);
    /// Parses the reply to a read of `head`. Leaves the outputs alone if there is no `head`. If the value is malformed,
    /// finishes the submission and returns false.
    bool parseHead(const StoreReply &reply, Head &head, std::int64_t &objectVersion);
    /// Finishes a submission that `current` does not list, after another writer has changed `head`.
    void onHeadChanged(const Head &current);
    /// Schedules `step` after a backoff, or gives up.
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
    std::array<int, 5> m_failures{}; ///< calls to `retry` by step
    std::string m_content;
    Head m_baseHead; ///< state of `head` on which every update is conditional
    std::int64_t m_baseObjectVersion = 0; ///< the platform's object version of `m_baseHead`; 0 if there was no `head`
    bool m_mayHaveUpdated = false; ///< an update of `head` was sent and its outcome was not known
    /// Callbacks hold a weak reference to it and ignore replies that arrive after this object is destroyed.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fulmarledge
