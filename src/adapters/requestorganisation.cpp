#include "requestorganisation.h"

namespace fulmarledge {

bool RequestOrganisation::assign(const Snapshot &snapshot, RouteHandle route, std::string_view key)
{
    const OrganisationHandle handle = snapshot.organisations()->find(key);
    if (isValid(handle)) {
        m_table = snapshot.organisations();
        m_handle = handle;
        return true;
    }
    clear();
    // A route that is gone from the manifest needs a key like any route that is not public.
    return isValid(route) ? !snapshot.needsKey(route) : snapshot.organisations()->isEmpty();
}

} // namespace fulmarledge
