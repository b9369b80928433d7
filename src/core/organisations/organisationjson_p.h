#pragma once

#include "fulmarledge/organisations.h"
#include "fulmarledge_types.h"
#include "manifestjson_p.h"

namespace fulmarledge {

/// Reads the list `organisations` of a manifest. Errors name the position of a key, never the key.
bool readOrganisations(const json &list, OrganisationMap &out, LastReason &error);

/// Adds to `delta` the changes that turn `from` into `to`. Sets no field if both are equal.
void addOrganisationChanges(const OrganisationMap &from, const OrganisationMap &to, wire::ManifestDelta &delta);

/// Applies the changes of `delta`. Fails if an organisation is invalid or unknown, or a key would be held twice.
bool applyOrganisationChanges(const wire::ManifestDelta &delta, OrganisationMap &organisations, LastReason &error);

/// JSON value without default values.
/// @param withKeys false to leave out the keys
json organisationToJson(const OrganisationSpec &organisation, bool withKeys);

} // namespace fulmarledge
