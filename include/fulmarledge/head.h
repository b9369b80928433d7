#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarledge/types.h"

namespace fulmarledge {

// Kinds and names of the objects on the platform.
constexpr std::string_view kHeadKind = "head";
constexpr std::string_view kHeadName = "head";
constexpr std::string_view kManifestKind = "manifest";

/// Record of one accepted submission.
struct Acceptance {
    Version version = 0;
    std::string digest; ///< SHA-256 of the manifest's canonical text, in hexadecimal
    std::string submissionId; ///< id chosen by the submitter
    std::int64_t acceptedMs = 0; ///< milliseconds since 1970, by the submitter's clock; 0 if not known

    bool operator==(const Acceptance &) const = default;
};

/// Value of the platform's `head` object, which lists the last FULMARLEDGE_CONFIG_HEAD_RECENT acceptances.
struct Head {
    std::vector<Acceptance> recent; ///< by ascending version, the newest last

    /// Newest accepted version, or 0 when nothing has been accepted.
    Version version() const;
    /// Returns null if the version is not listed.
    const Acceptance *find(Version version) const;
    /// Returns null if no listed acceptance has this submission id.
    const Acceptance *findSubmission(std::string_view submission) const;

    /// Returns a copy with the next version appended, without the oldest entries beyond the bound.
    Head withAcceptance(std::string_view digest, std::string_view submission, std::int64_t acceptedMs) const;

    /// JSON text as stored on the platform.
    std::string toText() const;
    /// Parses the JSON text. On failure sets `error`.
    static std::optional<Head> parse(std::string_view text, LastReason &error);
};

} // namespace fulmarledge
