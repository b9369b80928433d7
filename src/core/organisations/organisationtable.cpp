#include "fulmarledge/organisations.h"

#include <bit>
#include <xxhash.h>

#include "fulmarledge/manifest.h"

namespace fulmarledge {

namespace {

/// Slots per key at least. A half-full table ends most searches for an unknown key at the first or second slot.
constexpr std::size_t kSlotsPerKey = 2;

} // namespace

std::shared_ptr<const OrganisationTable> OrganisationTable::build(const Manifest &manifest, std::uint64_t seed)
{
    auto table = std::make_shared<OrganisationTable>();
    table->m_seed = seed;
    table->m_organisations.reserve(manifest.organisations().size());
    std::size_t keyBytes = 0;
    for (const auto &[name, entry] : manifest.organisations()) {
        const OrganisationSpec &spec = entry->spec;
        table->m_organisations.push_back({name, spec.priority, spec.ratePerS, spec.burst, spec.keys.size()});
        table->m_keyCount += spec.keys.size();
        for (const std::string &key : spec.keys) {
            keyBytes += key.size();
        }
    }
    if (table->m_keyCount == 0) {
        return table;
    }
    table->m_slots.resize(std::bit_ceil(table->m_keyCount * kSlotsPerKey));
    table->m_keyBytes.reserve(keyBytes);
    OrganisationHandle handle{0};
    for (const auto &[name, entry] : manifest.organisations()) {
        for (const std::string &key : entry->spec.keys) {
            table->addKey(key, handle);
        }
        ++handle.idx;
    }
    return table;
}

void OrganisationTable::addKey(std::string_view key, OrganisationHandle organisation)
{
    const std::uint64_t hash = XXH3_64bits_withSeed(key.data(), key.size(), m_seed);
    const std::size_t mask = m_slots.size() - 1;
    std::size_t i = hash & mask;
    while (isValid(m_slots[i].organisation)) {
        i = (i + 1) & mask;
    }
    m_slots[i]
        = {hash, static_cast<std::uint32_t>(m_keyBytes.size()), static_cast<std::uint32_t>(key.size()), organisation};
    m_keyBytes += key;
}

OrganisationHandle OrganisationTable::find(std::string_view key) const
{
    if (m_slots.empty() || key.empty()) {
        return {};
    }
    const std::uint64_t hash = XXH3_64bits_withSeed(key.data(), key.size(), m_seed);
    const std::size_t mask = m_slots.size() - 1;
    for (std::size_t i = hash & mask; isValid(m_slots[i].organisation); i = (i + 1) & mask) {
        const Slot &slot = m_slots[i];
        if (slot.hash == hash && std::string_view(m_keyBytes).substr(slot.offset, slot.length) == key) {
            return slot.organisation;
        }
    }
    return {};
}

} // namespace fulmarledge
