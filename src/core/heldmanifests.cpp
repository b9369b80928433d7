#include "heldmanifests_p.h"

#include <algorithm>

#include "fulmarledge/config.h"

namespace fulmarledge {

namespace {

/// Only guards against damaged messages. A manifest from the platform or a peer passed the size check when it was
/// accepted.
constexpr std::size_t kMaxTextBytes = FULMARLEDGE_CONFIG_MAX_FRAME_BYTES;
/// The newest one is in use, and the one before it is the base of what is pushed.
constexpr std::size_t kMinHeld = 2;

std::size_t deltaSize(const wire::ManifestDelta &delta)
{
    std::size_t size = 0;
    for (const auto *list : {&delta.services, &delta.removedServices, &delta.routes, &delta.removedRoutes}) {
        for (const std::string &entry : *list) {
            size += entry.size();
        }
    }
    return size;
}

} // namespace

std::string_view buildFailureName(BuildFailure failure)
{
    switch (failure) {
    case BuildFailure::None:
        return "none";
    case BuildFailure::NoBase:
        return "no-base";
    case BuildFailure::DigestMismatch:
        return "digest-mismatch";
    case BuildFailure::Invalid:
        return "invalid";
    }
    return "unknown";
}

HeldManifests::HeldManifests(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

const HeldManifest *HeldManifests::find(Version version) const
{
    const auto found
        = std::find_if(m_held.begin(), m_held.end(), [&](const HeldManifest &held) { return held.version == version; });
    return found == m_held.end() ? nullptr : &*found;
}

const HeldManifest *HeldManifests::findByDigest(std::string_view digest) const
{
    const auto found
        = std::find_if(m_held.begin(), m_held.end(), [&](const HeldManifest &held) { return held.digest == digest; });
    return found == m_held.end() ? nullptr : &*found;
}

void HeldManifests::add(HeldManifest manifest)
{
    manifest.memoryBytes = manifest.manifest->memoryBytes();
    m_heldBytes += manifest.memoryBytes;
    m_held.push_back(std::move(manifest));
    while (m_held.size() > FULMARLEDGE_CONFIG_KEPT_MANIFESTS
           || (m_maxBytes > 0 && m_heldBytes > m_maxBytes && m_held.size() > kMinHeld)) {
        m_heldBytes -= m_held.front().memoryBytes;
        m_held.pop_front();
    }
    m_newestText.clear();
    m_cachedContent.reset();
}

std::optional<HeldManifest> HeldManifests::build(const wire::Content &content, BuildError &error) const
{
    // A version that returns to the content of a held one needs neither the delta nor the text.
    if (const HeldManifest *sameContent = findByDigest(content.digest)) {
        return HeldManifest{content.version, content.digest, sameContent->manifest, content.acceptedMs};
    }
    LastReason reason;
    std::optional<Manifest> manifest;
    if (content.__isset.full) {
        manifest = Manifest::parse(content.full, reason, kMaxTextBytes);
        // A corrupted text is told apart from an invalid manifest, which is never fetched again.
        if (!manifest && sha256Hex(content.full) != content.digest) {
            error = {BuildFailure::DigestMismatch, "manifest text does not match digest " + content.digest};
            return std::nullopt;
        }
    } else if (content.__isset.delta) {
        const HeldManifest *base = find(content.delta.fromVersion);
        if (base == nullptr) {
            error = {BuildFailure::NoBase, "delta from version " + std::to_string(content.delta.fromVersion)};
            return std::nullopt;
        }
        manifest = base->manifest->apply(content.delta, reason);
        // The digest covers only the result, so a delta that cannot be applied does not make the manifest invalid.
        if (!manifest) {
            error = {BuildFailure::DigestMismatch, reason.text()};
            return std::nullopt;
        }
    } else {
        reason.set("message carries neither a delta nor a manifest");
    }
    if (!manifest) {
        error = {BuildFailure::Invalid, reason.text()};
        return std::nullopt;
    }
    return checkDigest(content, std::move(*manifest), error);
}

std::optional<HeldManifest> HeldManifests::checkDigest(const wire::Content &content, Manifest manifest,
                                                       BuildError &error)
{
    const std::string digest = sha256Hex(manifest.canonicalText());
    if (digest != content.digest) {
        if (content.__isset.full && sha256Hex(content.full) == content.digest) {
            error = {BuildFailure::Invalid, "manifest: text is not canonical"};
            return std::nullopt;
        }
        error = {BuildFailure::DigestMismatch, "manifest has digest " + digest + ", expected " + content.digest};
        return std::nullopt;
    }
    return HeldManifest{content.version, digest, std::make_shared<const Manifest>(std::move(manifest)),
                        content.acceptedMs};
}

wire::Content HeldManifests::contentFor(Version base)
{
    if (m_cachedContent && m_cachedBase == base) {
        return *m_cachedContent;
    }
    const HeldManifest &target = newest();
    if (m_newestText.empty()) {
        m_newestText = target.manifest->canonicalText();
    }
    wire::Content content;
    content.version = target.version;
    content.digest = target.digest;
    content.acceptedMs = target.acceptedMs;
    if (const HeldManifest *from = find(base)) {
        wire::ManifestDelta delta = from->manifest->deltaTo(*target.manifest);
        delta.fromVersion = base;
        if (deltaSize(delta) < m_newestText.size()) {
            content.__set_delta(delta);
        }
    }
    if (!content.__isset.delta) {
        content.__set_full(m_newestText);
    }
    m_cachedContent = content;
    m_cachedBase = base;
    return content;
}

wire::Content HeldManifests::contentForPush()
{
    return contentFor(m_held.size() > 1 ? m_held[m_held.size() - 2].version : 0);
}

} // namespace fulmarledge
