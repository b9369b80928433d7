#include "fulmarledge/submission.h"

#include <algorithm>

#include "fulmarledge/manifest.h"

namespace fulmarledge {

namespace {

std::string describe(const Acceptance &acceptance)
{
    return "version " + std::to_string(acceptance.version) + " (submission " + acceptance.submissionId + ", digest "
        + acceptance.digest.substr(0, 12) + ")";
}

} // namespace

std::string_view submissionOutcomeName(SubmissionOutcome outcome)
{
    switch (outcome) {
    case SubmissionOutcome::Accepted:
        return "accepted";
    case SubmissionOutcome::Invalid:
        return "invalid";
    case SubmissionOutcome::NotFound:
        return "not-found";
    case SubmissionOutcome::Conflict:
        return "conflict";
    case SubmissionOutcome::Unavailable:
        return "unavailable";
    case SubmissionOutcome::UnknownOutcome:
        return "unknown-outcome";
    }
    return "unknown";
}

Submission::Submission(PlatformStore &store, RandomSource &random, Settings settings, SubmissionRequest request,
                       Callback callback)
    : m_store(store)
    , m_random(random)
    , m_settings(settings)
    , m_request(std::move(request))
    , m_callback(std::move(callback))
{
}

Submission::~Submission() = default;

void Submission::start(TimeMs now)
{
    m_now = now;
    m_deadline = now + m_settings.deadlineMs;
    if (m_request.revertTo) {
        startStep(Step::ReadHead);
        return;
    }
    LastReason error;
    const auto manifest = Manifest::parse(m_request.text, error);
    if (!manifest) {
        finish(SubmissionOutcome::Invalid, error.text());
        return;
    }
    m_content = manifest->canonicalText();
    m_result.digest = sha256Hex(m_content);
    m_result.shownDigest = manifest->shownDigest(m_result.digest);
    startStep(Step::CreateContent);
}

void Submission::tick(TimeMs now)
{
    m_now = now;
    if (m_retryAt && *m_retryAt <= now) {
        m_retryAt.reset();
        startStep(m_step);
    }
}

void Submission::startStep(Step step)
{
    m_step = step;
    const auto callback = [this, alive = std::weak_ptr(m_alive), step](const StoreReply &reply) {
        if (!alive.expired()) {
            onReply(step, reply);
        }
    };
    switch (step) {
    case Step::CreateContent:
        m_store.create(kManifestKind, m_result.digest, m_content, callback);
        break;
    case Step::ReadHead:
    case Step::ReadBack:
        m_store.get(kHeadKind, kHeadName, callback);
        break;
    case Step::ReadContent:
        m_store.get(kManifestKind, m_result.digest, callback);
        break;
    case Step::UpdateHead:
        updateHead(callback);
        break;
    case Step::Done:
        break;
    }
}

void Submission::updateHead(const std::function<void(const StoreReply &)> &callback)
{
    const std::string text
        = m_baseHead.withAcceptance(m_result.digest, m_request.submissionId, m_request.acceptedMs).toText();
    if (m_baseObjectVersion == 0) {
        m_store.create(kHeadKind, kHeadName, text, callback);
    } else {
        m_store.update(kHeadKind, kHeadName, m_baseObjectVersion, text, callback);
    }
}

void Submission::onReply(Step step, const StoreReply &reply)
{
    switch (step) {
    case Step::CreateContent:
        onContentCreated(reply);
        break;
    case Step::ReadHead:
        onHeadRead(reply);
        break;
    case Step::ReadContent:
        onContentRead(reply);
        break;
    case Step::UpdateHead:
        onHeadUpdated(reply);
        break;
    case Step::ReadBack:
        onReadBack(reply);
        break;
    case Step::Done:
        break;
    }
}

void Submission::onContentCreated(const StoreReply &reply)
{
    switch (reply.status) {
    case StoreStatus::Ok:
    case StoreStatus::Conflict:
        // The object's name is the digest of its content, so an existing object has the same content.
        startStep(Step::ReadHead);
        break;
    case StoreStatus::Invalid:
        finish(SubmissionOutcome::Invalid, "the platform refused the manifest: " + reply.reason);
        break;
    default:
        retry(Step::CreateContent, reply);
        break;
    }
}

bool Submission::parseHead(const StoreReply &reply, Head &head, std::int64_t &objectVersion)
{
    if (reply.status == StoreStatus::NotFound) {
        return true;
    }
    LastReason error;
    const auto parsed
        = reply.objects.size() == 1 ? Head::parse(reply.objects.front().value, error) : std::optional<Head>();
    if (!parsed) {
        finish(m_mayHaveUpdated ? SubmissionOutcome::UnknownOutcome : SubmissionOutcome::Invalid,
               "head is not readable: " + error.text());
        return false;
    }
    head = *parsed;
    objectVersion = reply.objects.front().version;
    return true;
}

void Submission::onHeadRead(const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotFound) {
        retry(Step::ReadHead, reply);
        return;
    }
    if (!parseHead(reply, m_baseHead, m_baseObjectVersion)) {
        return;
    }
    if (m_request.expect && *m_request.expect != m_baseHead.version()) {
        if (!m_baseHead.recent.empty()) {
            m_result.winner = m_baseHead.recent.back();
        }
        finish(SubmissionOutcome::Conflict,
               "expected version " + std::to_string(*m_request.expect) + ", but the newest is "
                   + (m_result.winner ? describe(*m_result.winner) : std::string("none")));
        return;
    }
    if (!m_request.revertTo) {
        startStep(Step::UpdateHead);
        return;
    }
    const Acceptance *target = m_baseHead.find(*m_request.revertTo);
    if (target == nullptr) {
        finish(SubmissionOutcome::NotFound,
               "version " + std::to_string(*m_request.revertTo) + " is not among the last "
                   + std::to_string(m_baseHead.recent.size()) + " accepted versions");
        return;
    }
    m_result.digest = target->digest;
    m_result.shownDigest = target->digest;
    startStep(Step::ReadContent);
}

void Submission::onContentRead(const StoreReply &reply)
{
    if (reply.status == StoreStatus::NotFound) {
        finish(SubmissionOutcome::NotFound, "manifest " + m_result.digest + " is not on the platform");
        return;
    }
    if (reply.status != StoreStatus::Ok || reply.objects.size() != 1) {
        retry(Step::ReadContent, reply);
        return;
    }
    LastReason error;
    const std::string &content = reply.objects.front().value;
    if (sha256Hex(content) != m_result.digest) {
        finish(SubmissionOutcome::Invalid, "manifest " + m_result.digest + ": its content does not match the digest");
        return;
    }
    const auto manifest = Manifest::parse(content, error);
    if (!manifest) {
        finish(SubmissionOutcome::Invalid, error.text());
        return;
    }
    m_result.shownDigest = manifest->shownDigest(m_result.digest);
    startStep(Step::UpdateHead);
}

void Submission::onHeadUpdated(const StoreReply &reply)
{
    switch (reply.status) {
    case StoreStatus::Ok:
        m_result.version = m_baseHead.version() + 1;
        finish(SubmissionOutcome::Accepted, {});
        break;
    case StoreStatus::Conflict:
    case StoreStatus::NotFound:
        startStep(Step::ReadBack);
        break;
    case StoreStatus::UnknownOutcome:
        m_mayHaveUpdated = true;
        retry(Step::ReadBack, reply);
        break;
    case StoreStatus::Invalid:
        finish(m_mayHaveUpdated ? SubmissionOutcome::UnknownOutcome : SubmissionOutcome::Invalid,
               "the platform refused the update of head: " + reply.reason);
        break;
    default:
        retry(Step::UpdateHead, reply);
        break;
    }
}

void Submission::onReadBack(const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotFound) {
        retry(Step::ReadBack, reply);
        return;
    }
    Head current;
    std::int64_t objectVersion = 0;
    if (!parseHead(reply, current, objectVersion)) {
        return;
    }
    if (const Acceptance *own = current.findSubmission(m_request.submissionId)) {
        m_result.version = own->version;
        finish(SubmissionOutcome::Accepted, {});
    } else if (objectVersion == m_baseObjectVersion) {
        // `head` has not changed, but an update whose reply was lost may still take effect. Sending it again under the
        // same condition is safe, because at most one of the two succeeds.
        retry(Step::UpdateHead, reply);
    } else {
        onHeadChanged(current);
    }
}

void Submission::onHeadChanged(const Head &current)
{
    if (const Acceptance *winner = current.find(m_baseHead.version() + 1)) {
        m_result.winner = *winner;
        finish(SubmissionOutcome::Conflict, "another submission was accepted first: " + describe(*winner));
        return;
    }
    if (m_mayHaveUpdated) {
        // `head` no longer lists the version that this submission would have got, so nothing shows whether it was
        // accepted.
        finish(SubmissionOutcome::UnknownOutcome,
               "the answer was lost, and version " + std::to_string(m_baseHead.version() + 1)
                   + " is no longer listed in head");
        return;
    }
    if (!current.recent.empty()) {
        m_result.winner = current.recent.back();
    }
    finish(SubmissionOutcome::Conflict,
           "head has changed since it was read; the newest is "
               + (m_result.winner ? describe(*m_result.winner) : std::string("none")));
}

void Submission::retry(Step step, const StoreReply &reply)
{
    m_step = step;
    int &failures = m_failures[static_cast<std::size_t>(step)];
    ++failures;
    std::int64_t delayMs = m_settings.initialBackoffMs;
    for (int i = 1; i < failures && delayMs < m_settings.maxBackoffMs; ++i) {
        delayMs *= 2;
    }
    delayMs = std::clamp<std::int64_t>(delayMs, 1, std::max<std::int64_t>(m_settings.maxBackoffMs, 1));
    // Jitter keeps submitters whose calls failed at the same time from retrying at the same time.
    delayMs = delayMs / 2 + static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(delayMs) / 2 + 1));
    delayMs += std::max<std::int64_t>(reply.retryAfterMs, 0);
    if (failures >= m_settings.maxAttemptsPerStep || m_now + delayMs > m_deadline) {
        std::string reason(storeStatusName(reply.status));
        if (!reply.reason.empty()) {
            reason += ": " + reply.reason;
        }
        giveUp(reason);
        return;
    }
    ++m_result.retries;
    m_retryAt = m_now + delayMs;
}

void Submission::giveUp(const std::string &reason)
{
    if (m_mayHaveUpdated) {
        finish(SubmissionOutcome::UnknownOutcome, "the answer was lost and could not be resolved: " + reason);
    } else {
        finish(SubmissionOutcome::Unavailable, "the platform did not answer: " + reason);
    }
}

void Submission::finish(SubmissionOutcome outcome, std::string reason)
{
    m_step = Step::Done;
    m_retryAt.reset();
    m_result.outcome = outcome;
    m_result.reason = std::move(reason);
    // The result is copied and the callback moved out, because the callback may destroy this object.
    const SubmissionResult result = m_result;
    const Callback callback = std::move(m_callback);
    callback(result);
}

} // namespace fulmarledge
