#include "organisationjson_p.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <unordered_set>
#include <utility>
#include <vector>

namespace fulmarledge {

namespace {

constexpr std::size_t kMaxKeyBytes = 256;
/// Largest rate (requests per second) and burst (requests). Beyond a fleet's 1.7 million calls per second by far, and
/// small enough for sums in a double to stay exact.
constexpr double kMaxRate = 1e9;
/// Doubles up to this value represent whole numbers exactly.
constexpr double kMaxExactInteger = 9007199254740992.0;

bool isKey(std::string_view text)
{
    return !text.empty() && text.size() <= kMaxKeyBytes
        && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

/// Reads an optional number that is not negative. Leaves `out` alone if `value` has no such key.
bool readAmount(const json &value, const std::string &field, const char *key, double &out, LastReason &error)
{
    if (!value.contains(key)) {
        return true;
    }
    const json &amount = value[key];
    if (!amount.is_number() || amount.get<double>() < 0 || amount.get<double>() > kMaxRate) {
        return fail(error, field + "." + key, "must be a number from 0 to 1000000000");
    }
    out = amount.get<double>();
    return true;
}

bool readKeys(const json &value, const std::string &field, std::set<std::string, std::less<>> &out, LastReason &error)
{
    if (!value.is_array()) {
        return fail(error, field, "must be a list");
    }
    for (std::size_t i = 0; i < value.size(); ++i) {
        const std::string entry = field + "[" + std::to_string(i) + "]";
        if (!value[i].is_string() || !isKey(value[i].get_ref<const std::string &>())) {
            return fail(error, entry, "must be 1 to 256 visible ASCII characters");
        }
        if (!out.insert(value[i].get<std::string>()).second) {
            return fail(error, entry, "held twice by this organisation");
        }
    }
    return true;
}

bool readOrganisation(const json &value, const std::string &field, OrganisationSpec &out, LastReason &error)
{
    if (!value.is_object()) {
        return fail(error, field, "must be an object");
    }
    if (!hasOnlyKeys(value, field, {"name", "keys", "priority", "rate_per_s", "burst"}, error)) {
        return false;
    }
    if (!value.contains("name") || !value["name"].is_string()
        || !isAnnouncedServiceName(value["name"].get_ref<const std::string &>())) {
        return fail(error, field + ".name", "must be 1 to 63 characters of a-z, A-Z, 0-9, \"-\", \"_\" and \".\"");
    }
    out.name = value["name"].get<std::string>();
    std::int64_t priority = 0;
    const bool numbersValid = readNumber(value, field, "priority", 0, kMaxPriority, priority, error)
        && readAmount(value, field, "rate_per_s", out.ratePerS, error)
        && readAmount(value, field, "burst", out.burst, error);
    out.priority = static_cast<std::uint32_t>(priority);
    return numbersValid && (!value.contains("keys") || readKeys(value["keys"], field + ".keys", out.keys, error));
}

std::shared_ptr<const OrganisationEntry> makeEntry(OrganisationSpec spec)
{
    auto entry = std::make_shared<OrganisationEntry>();
    entry->text = organisationToJson(spec, true).dump();
    entry->spec = std::move(spec);
    return entry;
}

bool haveEqualFields(const OrganisationSpec &a, const OrganisationSpec &b)
{
    return a.priority == b.priority && a.ratePerS == b.ratePerS && a.burst == b.burst;
}

/// Whole numbers are written without a fraction, so that 5 and 5.0 have equal texts.
json amountToJson(double amount)
{
    const bool isWhole = amount == std::floor(amount) && amount <= kMaxExactInteger;
    return isWhole ? json(static_cast<std::int64_t>(amount)) : json(amount);
}

std::vector<std::string> keysOnlyIn(const std::set<std::string, std::less<>> &keys,
                                    const std::set<std::string, std::less<>> &others)
{
    std::vector<std::string> result;
    std::set_difference(keys.begin(), keys.end(), others.begin(), others.end(), std::back_inserter(result));
    return result;
}

} // namespace

json organisationToJson(const OrganisationSpec &organisation, bool withKeys)
{
    json value{{"name", organisation.name}};
    if (withKeys && !organisation.keys.empty()) {
        value["keys"] = organisation.keys;
    }
    if (organisation.priority != 0) {
        value["priority"] = organisation.priority;
    }
    if (organisation.ratePerS > 0) {
        value["rate_per_s"] = amountToJson(organisation.ratePerS);
    }
    if (organisation.burst > 0) {
        value["burst"] = amountToJson(organisation.burst);
    }
    return value;
}

bool readOrganisations(const json &list, OrganisationMap &out, LastReason &error)
{
    if (!list.is_array()) {
        return fail(error, "organisations", "must be a list");
    }
    std::unordered_set<std::string_view> heldKeys;
    for (std::size_t i = 0; i < list.size(); ++i) {
        const std::string field = "organisations[" + std::to_string(i) + "]";
        OrganisationSpec spec;
        if (!readOrganisation(list[i], field, spec, error)) {
            return false;
        }
        const std::string name = spec.name;
        if (out.contains(name)) {
            return fail(error, field + ".name", "duplicate organisation \"" + name + "\"");
        }
        if (list[i].contains("keys")) {
            const json &keys = list[i]["keys"];
            for (std::size_t j = 0; j < keys.size(); ++j) {
                if (!heldKeys.insert(keys[j].get_ref<const std::string &>()).second) {
                    return fail(error, field + ".keys[" + std::to_string(j) + "]", "held by another organisation too");
                }
            }
        }
        out.emplace(name, makeEntry(std::move(spec)));
    }
    return true;
}

void addOrganisationChanges(const OrganisationMap &from, const OrganisationMap &to, wire::ManifestDelta &delta)
{
    static const OrganisationSpec kNone;
    std::vector<std::string> changed;
    std::vector<std::string> removed;
    std::vector<wire::OrganisationKeys> keyChanges;
    for (const auto &[name, entry] : to) {
        const auto current = from.find(name);
        if (current != from.end() && current->second == entry) {
            continue;
        }
        const OrganisationSpec &before = current != from.end() ? current->second->spec : kNone;
        if (current == from.end() || !haveEqualFields(before, entry->spec)) {
            changed.push_back(organisationToJson(entry->spec, false).dump());
        }
        wire::OrganisationKeys keys;
        keys.__set_organisation(name);
        keys.__set_added(keysOnlyIn(entry->spec.keys, before.keys));
        keys.__set_removed(keysOnlyIn(before.keys, entry->spec.keys));
        if (!keys.added.empty() || !keys.removed.empty()) {
            keyChanges.push_back(std::move(keys));
        }
    }
    for (const auto &[name, entry] : from) {
        if (!to.contains(name)) {
            removed.push_back(name);
        }
    }
    if (!changed.empty()) {
        delta.__set_organisations(changed);
    }
    if (!removed.empty()) {
        delta.__set_removedOrganisations(removed);
    }
    if (!keyChanges.empty()) {
        delta.__set_keys(keyChanges);
    }
}

namespace {

/// Organisations that a delta changes, by name.
using ChangedSpecs = std::map<std::string, OrganisationSpec, std::less<>>;

/// Returns the specification of `name` that the delta changes, or null if there is no such organisation.
OrganisationSpec *findSpec(const OrganisationMap &organisations, ChangedSpecs &changed, const std::string &name)
{
    const auto found = changed.find(name);
    if (found != changed.end()) {
        return &found->second;
    }
    const auto current = organisations.find(name);
    return current != organisations.end() ? &changed.emplace(name, current->second->spec).first->second : nullptr;
}

bool applyFields(const wire::ManifestDelta &delta, const OrganisationMap &organisations, ChangedSpecs &changed,
                 LastReason &error)
{
    for (std::size_t i = 0; i < delta.organisations.size(); ++i) {
        const std::string field = "delta.organisations[" + std::to_string(i) + "]";
        const auto value = parseStrict(delta.organisations[i], error);
        OrganisationSpec spec;
        if (!value || !readOrganisation(*value, field, spec, error)) {
            return false;
        }
        if (!spec.keys.empty()) {
            return fail(error, field + ".keys", "not allowed here");
        }
        const auto current = organisations.find(spec.name);
        if (current != organisations.end()) {
            spec.keys = current->second->spec.keys;
        }
        const std::string name = spec.name;
        changed.insert_or_assign(name, std::move(spec));
    }
    return true;
}

bool applyKeys(const wire::ManifestDelta &delta, const OrganisationMap &organisations, ChangedSpecs &changed,
               LastReason &error)
{
    for (std::size_t i = 0; i < delta.keys.size(); ++i) {
        const std::string field = "delta.keys[" + std::to_string(i) + "]";
        OrganisationSpec *spec = findSpec(organisations, changed, delta.keys[i].organisation);
        if (spec == nullptr) {
            return fail(error, field + ".organisation", "no such organisation");
        }
        for (const std::string &key : delta.keys[i].removed) {
            spec->keys.erase(key);
        }
        for (std::size_t j = 0; j < delta.keys[i].added.size(); ++j) {
            const std::string &key = delta.keys[i].added[j];
            if (!isKey(key) || !spec->keys.insert(key).second) {
                return fail(error, field + ".added[" + std::to_string(j) + "]", "not a valid key, or held already");
            }
        }
    }
    return true;
}

bool hasKeyHeldTwice(const OrganisationMap &organisations)
{
    std::unordered_set<std::string_view> held;
    for (const auto &[name, entry] : organisations) {
        for (const std::string &key : entry->spec.keys) {
            if (!held.insert(key).second) {
                return true;
            }
        }
    }
    return false;
}

} // namespace

bool applyOrganisationChanges(const wire::ManifestDelta &delta, OrganisationMap &organisations, LastReason &error)
{
    for (const std::string &name : delta.removedOrganisations) {
        organisations.erase(name);
    }
    ChangedSpecs changed;
    if (!applyFields(delta, organisations, changed, error) || !applyKeys(delta, organisations, changed, error)) {
        return false;
    }
    for (auto &[name, spec] : changed) {
        organisations.insert_or_assign(name, makeEntry(std::move(spec)));
    }
    return delta.keys.empty() || !hasKeyHeldTwice(organisations)
        || fail(error, "delta.keys", "a key is held by two organisations");
}

} // namespace fulmarledge
