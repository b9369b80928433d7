#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarledge/types.h"

namespace fulmarledge {

class Manifest;

/// Customer of the operator, identified by its keys.
struct OrganisationSpec {
    std::string name;
    std::set<std::string, std::less<>> keys; ///< secret; never logged or shown
    std::uint32_t priority = 0; ///< requests of an organisation with a lower number go first
    double ratePerS = 0; ///< limit in requests per second over all nodes; 0 for none
    double burst = 0; ///< requests above the rate that may come at once

    bool operator==(const OrganisationSpec &) const = default;
};

/// Organisation of a manifest with its canonical JSON text.
struct OrganisationEntry {
    OrganisationSpec spec;
    std::string text;
};

/// Organisations by name. Successive manifests share the entries that did not change.
using OrganisationMap = std::map<std::string, std::shared_ptr<const OrganisationEntry>, std::less<>>;

/// Organisations of one manifest and an index of their keys. Immutable.
class OrganisationTable
{
public:
    /// Organisation without its keys.
    struct Organisation {
        std::string name;
        std::uint32_t priority = 0;
        double ratePerS = 0; ///< 0 for no limit
        double burst = 0; ///< requests
        std::size_t keyCount = 0;
    };

    /// @param seed of the hash of keys, so that callers cannot choose keys that collide
    static std::shared_ptr<const OrganisationTable> build(const Manifest &manifest, std::uint64_t seed);

    /// Returns the organisation that holds `key`, or an invalid handle. Computes one hash, and neither locks nor
    /// allocates.
    OrganisationHandle find(std::string_view key) const;
    const Organisation &organisation(OrganisationHandle handle) const
    {
        return m_organisations[handle.idx];
    }
    /// In ascending order of names.
    std::span<const Organisation> organisations() const
    {
        return m_organisations;
    }
    bool isEmpty() const
    {
        return m_organisations.empty();
    }
    std::size_t keyCount() const
    {
        return m_keyCount;
    }

private:
    /// Place of a key in the hash table, which uses linear probing. Free if the organisation is invalid.
    struct Slot {
        std::uint64_t hash = 0;
        std::uint32_t offset = 0; ///< in `m_keyBytes`
        std::uint32_t length = 0;
        OrganisationHandle organisation;
    };

    void addKey(std::string_view key, OrganisationHandle organisation);

    std::uint64_t m_seed = 0;
    std::size_t m_keyCount = 0;
    std::vector<Organisation> m_organisations;
    std::vector<Slot> m_slots; ///< a power of two in number, or empty without keys
    std::string m_keyBytes; ///< all keys, one after the other
};

} // namespace fulmarledge
