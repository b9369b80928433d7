#include "spread_p.h"

namespace fulmarledge {

namespace {

/// Digests sent in each period by a node that does not know its version floor.
constexpr int kDigestsWithoutFloor = 3;

} // namespace

wire::Digest Spread::Private::ownDigest() const
{
    wire::Digest digest;
    digest.version = m_held.newestVersion();
    digest.tableHash = static_cast<std::int64_t>(m_members.tableHash());
    return digest;
}

void Spread::Private::sendDigest(const Member &to, std::optional<std::int64_t> nonce, bool reply)
{
    wire::Envelope message;
    wire::Digest digest = ownDigest();
    digest.reply = reply;
    if (nonce) {
        digest.__set_nonce(*nonce);
    }
    message.__set_digest(digest);
    m_metrics.count("spread_digests", "", 1);
    m_peers.send(to.control, message);
}

void Spread::Private::sendHeadRead(const Member &to)
{
    wire::Envelope message;
    wire::Digest digest = ownDigest();
    digest.__set_headRead(true);
    message.__set_digest(digest);
    m_metrics.count("spread_head_reads_told", "", 1);
    m_peers.send(to.control, message);
}

void Spread::Private::tickDigest()
{
    if (m_now < m_nextDigestAt) {
        return;
    }
    // Periods vary by up to 10%, so that nodes which started together do not stay synchronized.
    const TimeMs period = m_settings.digestIntervalMs;
    m_nextDigestAt = m_now + period - period / 10 + static_cast<TimeMs>(randomUpTo(period / 5));
    // The answers tell a node that has just started that the rest of the fleet is running. The first member that it
    // asks may have started recently too.
    for (int i = 0; i < (m_floor ? 1 : kDigestsWithoutFloor); ++i) {
        const bool toOtherZone = ++m_digestCount % m_settings.otherZoneEvery == 0;
        const Member *member = toOtherZone ? randomMember(false, true) : randomMember(true, false);
        if (member == nullptr) {
            member = randomMember(true, true);
        }
        if (member != nullptr) {
            sendDigest(*member, std::nullopt, false);
        }
    }
}

void Spread::Private::onDigest(const wire::Header &from, const wire::Digest &digest)
{
    if (digest.__isset.nonce && !digest.reply) {
        wire::Envelope message;
        wire::Digest own = ownDigest();
        own.version = m_floor ? m_held.newestVersion() : 0;
        own.reply = true;
        own.__set_nonce(digest.nonce);
        message.__set_digest(own);
        // The answer carries no manifest, because the asker has asked several members and pulls a version that it lacks
        // from one of them.
        m_peers.send(addressOf(from), message);
        return;
    }
    if (digest.__isset.nonce && digest.nonce == m_peerFloor.nonce()) {
        m_peerFloor.onAnswer(from.host, digest.version);
    } else if (digest.__isset.nonce && digest.nonce == m_probeNonce) {
        onProbeAnswer(digest.version);
    }
    notePeerVersion(from, digest.version);
    if (digest.__isset.headRead) {
        m_reader.noteReadByOther(m_now);
    }
    // The version of a reply does not show what the sender lacks, because it is 0 while the sender does not know its
    // floor.
    if (!digest.reply && digest.version < m_held.newestVersion() && m_now - m_heldSince >= m_settings.pushSettleMs) {
        sendContentOrRefusal(from, digest.version, false);
    }
}

void Spread::Private::onPull(const wire::Header &from, const wire::Pull &pull)
{
    if (pull.haveVersion >= m_held.newestVersion()) {
        m_metrics.count("spread_stale_messages", "pull", 1);
        return;
    }
    sendContentOrRefusal(from, pull.full ? 0 : pull.haveVersion, pull.reliable);
}

void Spread::Private::sendContentOrRefusal(const wire::Header &from, Version base, bool reliable)
{
    wire::Envelope message;
    const wire::Content content = m_held.contentFor(base);
    const auto retryAfter = content.__isset.full ? m_fullAnswerLimiter.reserve(m_now) : std::nullopt;
    if (retryAfter) {
        wire::PullRefusal refusal;
        refusal.retryAfterMs = static_cast<std::int32_t>(*retryAfter);
        message.__set_pullRefusal(refusal);
        m_metrics.count("spread_pulls_refused", "", 1);
    } else {
        message.__set_content(content);
        m_metrics.count("spread_answers", content.__isset.full ? "full" : "delta", 1);
    }
    sendTo(m_peers, addressOf(from), message, reliable);
}

void Spread::Private::onPeerContent(const wire::Header &from, const wire::Content &content)
{
    m_pullPlan.onAnswer();
    if (content.version <= m_held.newestVersion()) {
        m_metrics.count("spread_stale_messages", "content", 1);
        if (content.version == m_held.newestVersion()) {
            markReplicated();
        }
        return;
    }
    const AcceptResult result = acceptContent(content, sourceOf(from, ContentSource::ZonePeer));
    if (result == AcceptResult::Held) {
        return;
    }
    if (content.__isset.full) {
        m_pullPlan.dropAdvertiser(from.host);
        return;
    }
    // The delta had no base here or gave a wrong digest, so the full manifest is pulled.
    m_pullPlan.scheduleImmediatePull(m_now, advertiserOf(from, content.version), true);
}

void Spread::Private::tickPull()
{
    if (const auto unanswered = m_pullPlan.expirePull(m_now)) {
        m_metrics.count("spread_pulls_unanswered", "", 1);
        m_log.event("pull-unanswered",
                    "from=" + unanswered->host + " held=" + std::to_string(m_held.newestVersion())
                        + " known=" + std::to_string(unanswered->version));
    }
    const auto source = m_pullPlan.nextSource(m_now, m_held.newestVersion());
    if (!source) {
        return;
    }
    wire::Envelope message;
    wire::Pull pull;
    pull.haveVersion = m_held.newestVersion();
    pull.full = m_pullPlan.wantsFullManifest();
    if (m_pullPlan.needsReliableTransport(m_now)) {
        pull.__set_reliable(true);
    }
    message.__set_pull(pull);
    m_metrics.count("spread_pulls", pull.full ? "full" : "delta", 1);
    m_log.event("pull",
                "from=" + source->host + " held=" + std::to_string(pull.haveVersion)
                    + " known=" + std::to_string(source->version) + " full=" + (pull.full ? "yes" : "no")
                    + " reliable=" + (pull.reliable ? "yes" : "no"));
    sendTo(m_peers, source->address, message, pull.reliable);
}

} // namespace fulmarledge
