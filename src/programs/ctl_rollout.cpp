#include <algorithm>

#include "ctl_commands.h"
#include "fulmarledge/head.h"
#include "fulmarledge/manifest.h"

namespace fulmarledge {

namespace {

using nlohmann::json;

json orderJson(const RolloutOrder &order)
{
    return {{"service", order.service}, {"target_version", order.target}, {"duration_ms", order.durationMs}};
}

} // namespace

void CtlCommands::finishUnavailable(const StoreReply &reply)
{
    finish(m_output.printFailure(ExitCode::Unavailable, "unavailable",
                                 "the platform did not answer: " + std::string(storeStatusName(reply.status)) + ": "
                                     + reply.reason));
}

void CtlCommands::rollout()
{
    if (m_options.words.front() == "status") {
        m_store.list(kRolloutKind, [this](const StoreReply &reply) { printRollouts(reply); });
        return;
    }
    // Parsed from its text, so that the order is checked as the nodes will check it.
    LastReason error;
    const auto order = RolloutOrder::parse(
        RolloutOrder{m_options.words[1], m_options.words[2], m_options.durationMs}.toText(), error);
    if (!order) {
        finish(m_output.printFailure(ExitCode::Invalid, "invalid", error.text()));
        return;
    }
    m_store.get(kHeadKind, kHeadName, [this, order = *order](const StoreReply &reply) {
        LastReason headError;
        const auto head = reply.status == StoreStatus::Ok ? Head::parse(reply.objects.front().value, headError)
                                                          : std::optional<Head>();
        if (head && !head->recent.empty()) {
            startRollout(order, head->recent.back().digest);
        } else if (reply.status == StoreStatus::Ok || reply.status == StoreStatus::NotFound) {
            finish(m_output.printFailure(ExitCode::Invalid, "invalid", "service: no manifest has been accepted"));
        } else {
            finishUnavailable(reply);
        }
    });
}

void CtlCommands::startRollout(const RolloutOrder &order, const std::string &digest)
{
    m_store.get(kManifestKind, digest, [this, order](const StoreReply &reply) {
        if (reply.status == StoreStatus::Ok) {
            checkService(order, reply);
        } else {
            finishUnavailable(reply);
        }
    });
}

void CtlCommands::checkService(const RolloutOrder &order, const StoreReply &manifest)
{
    LastReason error;
    const auto parsed = Manifest::parse(manifest.objects.front().value, error);
    if (!parsed || !parsed->services().contains(order.service)) {
        finish(m_output.printFailure(ExitCode::Invalid, "invalid",
                                     parsed ? "service: no service \"" + order.service + "\" in the accepted manifest"
                                            : error.text()));
        return;
    }
    m_store.list(kRolloutKind, [this, order](const StoreReply &reply) {
        if (reply.status == StoreStatus::Ok) {
            writeOrder(order, reply);
        } else {
            finishUnavailable(reply);
        }
    });
}

void CtlCommands::writeOrder(const RolloutOrder &order, const StoreReply &orders)
{
    const auto found = std::find_if(orders.objects.begin(), orders.objects.end(),
                                    [&](const StoreObject &object) { return object.name == order.service; });
    const auto onWritten = [this, order](const StoreReply &reply) { onOrderWritten(order, reply); };
    if (found == orders.objects.end()) {
        m_store.create(kRolloutKind, order.service, order.toText(), onWritten);
    } else {
        m_store.update(kRolloutKind, order.service, found->version, order.toText(), onWritten);
    }
}

void CtlCommands::onOrderWritten(const RolloutOrder &order, const StoreReply &reply)
{
    const std::string name = "rollout of " + order.service + " to " + order.target;
    if (reply.status == StoreStatus::Ok) {
        json document = orderJson(order);
        document["outcome"] = "ordered";
        finish(m_output.print(ExitCode::Done, document,
                              "ordered: " + name + " within " + std::to_string(order.durationMs) + " ms\n"));
    } else if (reply.status == StoreStatus::Conflict) {
        finish(m_output.printFailure(ExitCode::Conflict, "conflict",
                                     name + ": another order or a result was written meanwhile"));
    } else if (reply.status == StoreStatus::UnknownOutcome) {
        finish(m_output.printFailure(ExitCode::UnknownOutcome, "unknown-outcome",
                                     name + ": look at \"rollout status\" before ordering again"));
    } else {
        finishUnavailable(reply);
    }
}

void CtlCommands::printRollouts(const StoreReply &reply)
{
    if (reply.status != StoreStatus::Ok) {
        finishUnavailable(reply);
        return;
    }
    const std::string only = m_options.words.size() > 1 ? m_options.words[1] : "";
    json document = json::array();
    std::vector<std::vector<std::string>> rows{{"SERVICE", "TARGET", "DURATION", "STATE", "STATE OF"}};
    for (const StoreObject &object : reply.objects) {
        LastReason error;
        const auto order = RolloutOrder::parse(object.value, error);
        if (!only.empty() && object.name != only) {
            continue;
        }
        const RolloutStatus status = RolloutStatus::parse(object.status);
        json entry = order ? orderJson(*order) : json{{"service", object.name}, {"error", error.text()}};
        entry["state"] = rolloutStateName(status.state);
        entry["state_of"] = status.target;
        document.push_back(std::move(entry));
        rows.push_back({object.name, order ? order->target : "invalid: " + error.text(),
                        order ? std::to_string(order->durationMs) + " ms" : "-",
                        std::string(rolloutStateName(status.state)), status.target.empty() ? "-" : status.target});
    }
    if (!only.empty() && document.empty()) {
        finish(m_output.printFailure(ExitCode::NotFound, "not-found", "no rollout of \"" + only + "\""));
        return;
    }
    finish(m_output.print(ExitCode::Done, document, tableText(rows)));
}

} // namespace fulmarledge
