#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarledge/types.h"

namespace fulmarledge {

constexpr std::string_view kHeadKind = "head";
constexpr std::string_view kHeadName = "head";
constexpr std::string_view kManifestKind = "manifest";

/// One accepted submission.
struct Acceptance {
    Version version = 0;
    std::string digest;
    std::string submission; ///< id chosen by the submitter
    std::int64_t acceptedMs = 0; ///< milliseconds since 1970, by the submitter's clock

    bool operator==(const Acceptance &) const = default;
};

/// Value of the platform's `head` object: the newest acceptance last in `recent`.
struct Head {
    std::vector<Acceptance> recent;

    /// Newest accepted version, or 0 when nothing has been accepted.
    Version version() const;
    const Acceptance *find(Version version) const;
    const Acceptance *findSubmission(std::string_view submission) const;

    /// Adds the next version and drops the oldest entries beyond the bound.
    Head accept(std::string_view digest, std::string_view submission, std::int64_t acceptedMs) const;

    std::string toText() const;
    static std::optional<Head> parse(std::string_view text, LastReason &error);
};

} // namespace fulmarledge
