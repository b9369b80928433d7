#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "fulmarledge/manifest.h"
#include "fulmarledge/types.h"

namespace fulmarledge {

/// A checked manifest and the version under which it was accepted.
struct HeldManifest {
    Version version = 0;
    std::string digest;
    std::shared_ptr<const Manifest> manifest;
    std::int64_t acceptedMs = 0; ///< milliseconds since 1970 by the submitter's clock, 0 when not known
    std::size_t memoryBytes = 0; ///< set by HeldManifests
};

/// Why a manifest could not be built from the content of a message.
enum class BuildFailure : std::uint8_t {
    None,
    NoBase, ///< the base of the delta is not held
    DigestMismatch, ///< damaged on the way, or a delta that does not fit its base
    Invalid ///< the content itself is not a valid manifest
};

/// Name of a failure in metrics and log lines.
std::string_view buildFailureName(BuildFailure failure);

struct BuildError {
    BuildFailure failure = BuildFailure::None;
    std::string detail;
};

/// The newest manifests that the node has received. They serve as bases of deltas.
class HeldManifests
{
public:
    /// @param maxBytes approximate memory of all that are held, as far as there are more than two; 0: no limit
    explicit HeldManifests(std::size_t maxBytes = 0);

    Version newestVersion() const
    {
        return m_held.empty() ? 0 : m_held.back().version;
    }
    /// At least one manifest must be held.
    const HeldManifest &newest() const
    {
        return m_held.back();
    }
    const HeldManifest *find(Version version) const;
    const HeldManifest *findByDigest(std::string_view digest) const;

    /// Adds `manifest`, whose version must be above the newest one. Drops the oldest beyond the bounds.
    void add(HeldManifest manifest);

    /// Builds and checks the manifest that a message carries in full or as a delta, without adding it.
    std::optional<HeldManifest> build(const wire::Content &content, BuildError &error) const;

    /// The newest version for a receiver that holds `base`, as a delta when that is possible and smaller, else in full.
    wire::Content contentFor(Version base);
    /// The newest version as a delta from the one held before it when possible and smaller, else in full.
    wire::Content contentForPush();

private:
    static std::optional<HeldManifest> checkDigest(const wire::Content &content, Manifest manifest, BuildError &error);

    const std::size_t m_maxBytes;
    std::deque<HeldManifest> m_held;
    std::size_t m_heldBytes = 0; ///< approximate memory of `m_held`
    std::string m_newestText; ///< canonical text of the newest, empty until needed
    std::optional<wire::Content> m_cachedContent; ///< last result of contentFor()
    Version m_cachedBase = 0;
};

} // namespace fulmarledge
