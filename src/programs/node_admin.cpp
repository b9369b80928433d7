#include "node_admin.h"

#include <algorithm>
#include <vector>

#include <nlohmann/json.hpp>

namespace fulmarledge {

namespace {

using nlohmann::json;

constexpr int kInternalError = 500;

/// Why no requests are sent to a backend server. Empty when it is used.
std::string_view unusedReason(const SnapshotBackend &backend)
{
    if (!backend.record) {
        return "not announced for this service";
    }
    if (backend.record->liveness == wire::Liveness::Dead) {
        return "declared dead";
    }
    switch (backend.record->state) {
    case wire::HostState::Serving:
        return backend.role == VersionRole::Unused ? "its version is not in force" : "";
    case wire::HostState::Starting:
        return "starting, silent or refusing connections";
    case wire::HostState::Draining:
        return "draining";
    case wire::HostState::Left:
        return "left";
    }
    return "unknown state";
}

/// Keys of the routes among `keys` that need no key of an organisation.
json publicRoutes(const Snapshot &snapshot, const std::vector<std::string> &keys)
{
    json result = json::array();
    for (const TableRoute &route : snapshot.routes().routes()) {
        if (route.spec.isPublic && std::find(keys.begin(), keys.end(), route.spec.key()) != keys.end()) {
            result.push_back(route.spec.key());
        }
    }
    return result;
}

/// Other nodes and their backend servers name themselves in reports. A byte that is no UTF-8 must not hide the report.
std::string toReport(const json &document)
{
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

json rolloutJson(const RolloutView &view)
{
    json result{{"service", view.service}, {"in_force", view.inForce}, {"state", rolloutStateName(view.state)}};
    if (!view.target.empty()) {
        result["target_version"] = view.target;
        result["duration_ms"] = view.durationMs;
    }
    if (!view.step.empty()) {
        result["step"] = view.step;
        result["share"] = static_cast<double>(view.shareMillionths) / 1000000;
        result["age_ms"] = view.ageMs;
        result["coordinator"] = view.coordinator;
    }
    if (view.sent > 0) {
        result["sent"] = view.sent;
        result["sent_to_target"] = view.sentToTarget;
        result["target_failures"] = view.targetFailures;
    }
    if (!view.reason.empty()) {
        result["reason"] = view.reason;
    }
    return result;
}

} // namespace

json organisationsJson(const OrganisationTable &table)
{
    json rows = json::array();
    for (const OrganisationTable::Organisation &organisation : table.organisations()) {
        json row{{"name", organisation.name}, {"priority", organisation.priority}, {"keys", organisation.keyCount}};
        if (organisation.ratePerS > 0) {
            row["rate_per_s"] = organisation.ratePerS;
            row["burst"] = organisation.burst;
        }
        rows.push_back(std::move(row));
    }
    return {{"count", table.organisations().size()}, {"keys", table.keyCount()}, {"list", std::move(rows)}};
}

std::string statusJson(const NodeReport &report)
{
    const Spread &spread = report.control.spread();
    json document{
        {"host", report.host},
        {"zone", report.zone},
        {"started_ms", report.startedMs},
        {"version", spread.version()},
        {"digest", report.control.shownDigest()},
        {"held_version", spread.heldVersion()},
        {"ready", report.control.isReady()},
        {"stale", report.control.membership().isStale()},
        {"members", report.control.membership().liveCount()},
        {"platform", {{"reachable", spread.isPlatformReachable()}, {"age_ms", report.sincePlatformReachableMs}}}};
    document["version_floor"] = spread.isReady() ? "known" : "unknown";
    document["table_hash"] = std::to_string(report.control.membership().tableHash());
    if (const auto &rejected = spread.lastRejection()) {
        document["rejected"] = {{"version", rejected->version}, {"reason", rejected->reason}};
    }
    if (report.announcement) {
        document["backend"] = {{"service", report.announcement->service},
                               {"state", stateName(report.announcement->state)},
                               {"slots", report.announcement->slots},
                               {"load", report.announcement->load}};
    }
    if (report.snapshot != nullptr && !report.snapshot->organisations()->isEmpty()) {
        document["organisations"] = organisationsJson(*report.snapshot->organisations());
    }
    if (const RolloutControl *rollouts = report.control.rollouts()) {
        json views = json::array();
        for (const RolloutView &view : rollouts->views(report.now)) {
            views.push_back(rolloutJson(view));
        }
        document["rollouts"] = std::move(views);
    }
    json events = json::array();
    for (const ControlEvent &event : report.control.events()) {
        events.push_back({{"time_ms", event.wallClockMs}, {"text", event.text}});
    }
    document["events"] = std::move(events);
    json activations = json::array();
    for (const VersionActivation &activation : report.activations) {
        activations.push_back({{"version", activation.version}, {"time_ms", activation.wallClockMs}});
    }
    document["activations"] = std::move(activations);
    if (report.control.quotas() != nullptr) {
        json quotas = json::array();
        for (const QuotaState &state : report.control.quotas()->states()) {
            quotas.push_back({{"organisation", state.organisation},
                              {"admitted_per_s", state.admittedPerS},
                              {"rate_per_s", state.ratePerS},
                              {"burst", state.burst},
                              {"owner", state.owner},
                              {"admitted", state.admitted},
                              {"refused", state.refused},
                              {"returned", state.returned}});
        }
        document["quotas"] = std::move(quotas);
    }
    return toReport(document);
}

std::string membersJson(const NodeReport &report)
{
    const Membership &membership = report.control.membership();
    json rows = json::array();
    for (const wire::HostRecord &record : membership.records()) {
        const bool isSelf = record.host == report.host;
        const Member *member = membership.find(record.host);
        const Version version = isSelf ? report.control.spread().version() : member != nullptr ? member->version : 0;
        const std::int64_t versionAgeMs = isSelf || member == nullptr ? 0 : report.now - member->versionSeenMs;
        rows.push_back({{"host", record.host},
                        {"zone", record.zone},
                        {"service", record.serviceName},
                        {"address", record.address},
                        {"admin_port", record.adminPort},
                        {"state", stateName(record.state)},
                        {"liveness", livenessName(record.liveness)},
                        {"incarnation", record.incarnation},
                        {"version", version},
                        {"age_ms", versionAgeMs}});
    }
    return toReport(rows);
}

std::optional<std::string> explainJson(const NodeReport &report, std::string_view service)
{
    if (report.snapshot == nullptr) {
        return std::nullopt;
    }
    const ServiceHandle handle = report.snapshot->findService(service);
    if (!isValid(handle)) {
        return std::nullopt;
    }
    json backends = json::array();
    for (const SnapshotBackend &backend : report.snapshot->backends(handle)) {
        const std::string_view reason = unusedReason(backend);
        json row{{"host", backend.host}, {"used", reason.empty()}, {"reason", reason}};
        if (backend.record) {
            row["zone"] = backend.record->zone;
            row["state"] = stateName(backend.record->state);
            row["liveness"] = livenessName(backend.record->liveness);
            row["slots"] = backend.record->slots;
            if (backend.record->__isset.version) {
                row["version"] = backend.record->version;
                row["gets_trial_share"] = backend.role == VersionRole::Target;
            }
        }
        backends.push_back(std::move(row));
    }
    const std::vector<std::string> routes = report.snapshot->routeKeysOf(handle);
    json document{{"service", service},
                  {"version", report.snapshot->version()},
                  {"routes", routes},
                  {"backend_servers", std::move(backends)}};
    if (!report.snapshot->organisations()->isEmpty()) {
        document["public_routes"] = publicRoutes(*report.snapshot, routes);
        document["organisations"] = organisationsJson(*report.snapshot->organisations());
    }
    if (const RolloutControl *rollouts = report.control.rollouts()) {
        for (const RolloutView &view : rollouts->views(report.now)) {
            if (view.service == service) {
                document["rollout"] = rolloutJson(view);
            }
        }
    }
    return toReport(document);
}

void answerReport(const HttpCall &call, MetricsSink &metrics, EventLog &log, const std::function<void()> &answer)
{
    try {
        answer();
    } catch (const std::exception &exception) {
        metrics.count("reports-failed", "", 1);
        log.event("report-failed", "path=" + call.path + " reason=" + exception.what());
        call.responder->send(kInternalError, {{"Content-Type", "text/plain"}}, "the report could not be written\n");
    }
}

} // namespace fulmarledge
