#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "fakes.h"

namespace fulmarledge::spreadtest {

/// Checks the rules of the manifest distribution by the versions that each host activates, over all its processes.
class ActivationRules
{
public:
    /// Records an accepted version, which hosts may then run.
    void onAccepted(Version version, const std::string &text)
    {
        m_accepted[version] = text;
    }
    /// Checks that an activated version is not below an earlier one of the host, that it was accepted with this content
    /// and that it is replicated.
    /// @param replicated another host has held the version, or the host knows no other
    void onActivated(const std::string &host, Version version, const std::string &digest, const Manifest &manifest,
                     bool replicated)
    {
        Version &highest = m_highest[host];
        if (version < highest) {
            violations.push_back("decrease: " + host + " ran version " + std::to_string(highest) + ", now runs "
                                 + std::to_string(version));
        }
        highest = std::max(highest, version);
        const auto text = m_accepted.find(version);
        if (text == m_accepted.end() || manifest.canonicalText() != text->second || digest != sha256Hex(text->second)) {
            violations.push_back("content: " + host + " runs version " + std::to_string(version)
                                 + " with a content that was not accepted");
        }
        if (!replicated) {
            violations.push_back("replication: " + host + " is the only holder of version " + std::to_string(version));
        }
    }
    /// Whether a rule, given by the first word of its violations, has been violated.
    bool isViolated(const std::string &rule) const
    {
        return std::any_of(violations.begin(), violations.end(),
                           [&](const std::string &text) { return text.rfind(rule, 0) == 0; });
    }
    std::vector<std::string> violations;

private:
    std::map<Version, std::string> m_accepted; ///< contents by version
    std::map<std::string, Version> m_highest; ///< highest version run, by host
};

/// Probabilities of network faults.
struct NetworkFaults {
    int lossPerMille = 0;
    int duplicatePerMille = 0;
    int latePerMille = 0; ///< messages that arrive up to 3 s late
    int corruptPerMille = 0; ///< contents that arrive damaged
};

} // namespace fulmarledge::spreadtest
