#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "fulmarledge/manifest.h"
#include "fulmarledge/types.h"

namespace fulmarledge {

struct HeldManifest {
    Version version = 0;
    std::string digest;
    std::shared_ptr<const Manifest> manifest;
    std::int64_t acceptedMs = 0; ///< milliseconds since 1970 by the submitter's clock, 0 when not known
};

enum class BuildFailure : std::uint8_t { None, NoBase, DigestMismatch, Invalid };

/// Label of a failure's counter.
std::string_view buildFailureName(BuildFailure failure);

struct BuildError {
    BuildFailure failure = BuildFailure::None;
    std::string detail;
};

/// The newest manifests that the node holds, as bases of deltas.
class HeldManifests
{
public:
    Version newestVersion() const
    {
        return m_held.empty() ? 0 : m_held.back().version;
    }
    const HeldManifest &newest() const
    {
        return m_held.back();
    }
    const HeldManifest *find(Version version) const;
    const HeldManifest *findDigest(std::string_view digest) const;

    /// Keeps `manifest`, whose version must be above the newest.
    void add(HeldManifest manifest);

    /// Builds and checks a received version beside the held ones.
    std::optional<HeldManifest> build(const wire::Content &content, BuildError &error) const;

    /// The newest version for a receiver that runs `base`: a delta when possible and smaller, else in full.
    wire::Content contentFor(Version base);
    /// The newest version as a delta from the one held before it.
    wire::Content contentForPush();

private:
    static std::optional<HeldManifest> checkDigest(const wire::Content &content, Manifest manifest, BuildError &error);

    std::deque<HeldManifest> m_held;
    std::string m_newestText; ///< canonical text of the newest, empty until needed
    std::optional<wire::Content> m_cached; ///< last answer of contentFor
    Version m_cachedBase = 0;
};

} // namespace fulmarledge
