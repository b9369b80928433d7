#pragma once

#include <memory>
#include <string_view>

#include "fulmarledge/organisations.h"
#include "fulmarledge/snapshot.h"

namespace fulmarledge {

/// Organisation of a request. Keeps the table that its handle belongs to.
class RequestOrganisation
{
public:
    /// Sets the organisation that holds `key` in the snapshot, or none.
    /// @param route route of the request in the same snapshot
    /// @return false if the route needs a key and no organisation holds `key`
    bool assign(const Snapshot &snapshot, RouteHandle route, std::string_view key);
    void clear()
    {
        m_table.reset();
        m_handle = {};
    }

    /// Null if the request has no organisation.
    const OrganisationTable::Organisation *get() const
    {
        return m_table ? &m_table->organisation(m_handle) : nullptr;
    }
    OrganisationHandle handle() const
    {
        return m_handle;
    }
    std::uint32_t priority() const
    {
        return m_table ? get()->priority : 0;
    }

private:
    std::shared_ptr<const OrganisationTable> m_table; ///< null if the request has no organisation
    OrganisationHandle m_handle; ///< in `m_table`
};

} // namespace fulmarledge
