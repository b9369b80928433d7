#include "fulmarledge/memberview.h"

#include <xxhash.h>

namespace fulmarledge {

std::uint64_t memberHash(std::string_view host)
{
    return XXH3_64bits(host.data(), host.size());
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view host)
{
    return XXH3_64bits_withSeed(host.data(), host.size(), XXH3_64bits(key.data(), key.size()));
}

} // namespace fulmarledge
