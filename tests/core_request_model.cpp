#include "request_model.h"

namespace fulmarledge::requesttest {

namespace {

std::uint64_t waitingKey(std::size_t host, GuardEntryId id)
{
    return (static_cast<std::uint64_t>(host) << 48) | id.value;
}

} // namespace

RequestModel::RequestModel(const ModelConfig &config)
    : records(hostRecords(config.hosts, config.zones, static_cast<std::int32_t>(config.slots)))
    , random(config.seed)
    , m_config(config)
{
    if (config.broken == BrokenRule::UnlimitedRetries) {
        m_sessionConfig.retry.retryPercent = 1000;
        m_sessionConfig.retry.extraRetriesPerSecond = 1000;
    }
    for (const wire::HostRecord &record : records) {
        auto host = std::make_unique<Host>();
        host->name = record.host;
        host->guard.serve("bookings", config.slots, now);
        host->table = std::make_unique<IdempotencyTable>(0);
        host->balancer = std::make_unique<Balancer>(record.host, record.zone, host->guard.gauge());
        host->view = host->balancer->buildView(bookingsSnapshot(records), now);
        hosts.push_back(std::move(host));
    }
    for (int i = 0; i < config.entryNodes; ++i) {
        auto entry = std::make_unique<EntryNode>(m_sessionConfig.retry);
        entry->balancer = std::make_unique<Balancer>("entry-" + std::to_string(i), "z-0");
        entry->view = entry->balancer->buildView(bookingsSnapshot(records), now);
        entryNodes.push_back(std::move(entry));
    }
}

void RequestModel::schedule(TimeMs time, std::function<void()> action)
{
    m_events.push({time, ++m_lastSequence, std::move(action)});
}

void RequestModel::run(TimeMs until)
{
    while (!m_events.empty() && m_events.top().time <= until) {
        const Event event = m_events.top();
        m_events.pop();
        now = event.time;
        event.action();
    }
    now = until;
}

void RequestModel::offer(double perSecond, TimeMs end, const CallSpec &spec)
{
    const TimeMs start = now;
    const auto count = static_cast<std::int64_t>(static_cast<double>(end - start) * perSecond / 1000);
    for (std::int64_t i = 0; i < count; ++i) {
        const TimeMs time = start + static_cast<TimeMs>(static_cast<double>(i) * 1000 / perSecond);
        schedule(time, [this, spec] { call(spec); });
    }
}

void RequestModel::call(const CallSpec &spec)
{
    const std::uint64_t id = ++m_lastCall;
    Call &call = m_calls[id];
    call.spec = spec;
    call.entryNode = random.below(entryNodes.size());
    call.deadline = now + spec.timeoutMs;
    EntryNode &entry = *entryNodes[call.entryNode];
    SessionRequest request;
    request.id = id;
    request.service = entry.view->snapshot().findService("bookings");
    request.method = call.spec.method;
    request.key = call.spec.key;
    request.deadline = call.deadline;
    call.session
        = std::make_unique<RequestSession>(request, entry.view, m_sessionConfig, entry.budget, random, entry.counters);
    ++offered;
    ++entry.requests[now / 1000];
    schedule(call.deadline, [this, id] { perform(id, m_calls[id].session->deadlineReached(now)); });
    perform(id, call.session->start(now));
}

void RequestModel::perform(std::uint64_t id, const SessionActions &actions)
{
    for (const SessionAction &action : actions) {
        if (action.kind == ActionKind::Dispatch) {
            send(id, action);
        } else if (action.kind == ActionKind::Wait) {
            EntryNode &entry = *entryNodes[m_calls[id].entryNode];
            ++entry.retries[now / 1000];
            schedule(action.until,
                     [this, id, &entry] { perform(id, m_calls[id].session->backoffOver(entry.view, now)); });
        } else if (action.kind == ActionKind::Cancel) {
            schedule(now + 1, [this, id, attempt = action.attempt] { cancel(id, attempt); });
        } else if (action.kind == ActionKind::Answer) {
            finishCall(id, action);
        }
    }
}

void RequestModel::send(std::uint64_t id, const SessionAction &action)
{
    Call &call = m_calls[id];
    const std::string &name = call.session->view()->backend(action.backend).host;
    Hop hop{id, action.attempt, 0, Fault::None, {}};
    while (hosts[hop.host]->name != name) {
        ++hop.host;
    }
    call.attempt = action.attempt;
    call.host = hop.host;
    call.guardId = {};
    if (random.chance(m_config.faultPercent)) {
        hop.fault = static_cast<Fault>(random.between(1, 7));
    }
    AttemptResult lost{Verdict::MayHaveRun, Reason::ConnectionLost};
    const auto fail = [&](const AttemptResult &result) {
        schedule(now + random.between(1, 60), [this, hop, result] { deliver(hop.call, hop.attempt, result, ""); });
    };
    if (hop.fault == Fault::ConnectFailed) {
        fail({Verdict::NotRun, Reason::ConnectFailed});
    } else if (hop.fault == Fault::RequestLost) {
        fail(lost);
    } else if (hop.fault != Fault::RequestDropped) {
        const bool late = hop.fault == Fault::RequestLate;
        if (late) {
            fail(lost);
        }
        schedule(now + (late ? random.between(1, 400) : 1), [this, hop] { arrive(hop); });
    }
}

void RequestModel::arrive(Hop hop)
{
    Host &host = *hosts[hop.host];
    const CallSpec &spec = m_calls[hop.call].spec;
    if (host.silent) {
        return;
    }
    if (spec.key.empty()) {
        submit(hop);
        return;
    }
    if (!host.view->ownsKey(host.view->snapshot().findService("bookings"), spec.key)) {
        refuse(hop, Reason::WrongHost, 0);
        return;
    }
    if (m_config.broken == BrokenRule::KeysForgotten) {
        host.table = std::make_unique<IdempotencyTable>(0);
    }
    const std::uint64_t fingerprint = requestFingerprint(spec.method, "/bookings", spec.operation);
    const KeyDecision decision = host.table->begin({"bookings", spec.key, fingerprint, spec.attempt}, now);
    if (decision.action == KeyAction::Execute) {
        hop.key = decision.id;
        submit(hop);
    } else if (decision.action == KeyAction::Replay) {
        respond(hop, {Verdict::Answered, Reason::None, decision.answer->status}, decision.answer->body);
    } else {
        respond(hop, {decision.verdict, decision.reason, decision.status, decision.retryAfterMs}, "");
    }
}

void RequestModel::submit(const Hop &hop)
{
    Host &host = *hosts[hop.host];
    Call &call = m_calls[hop.call];
    if (!m_config.guarded) {
        host.unguardedQueue.emplace_back([this, hop] { execute(hop, {}); });
        processQueue(hop.host);
        return;
    }
    const GuardDecision decision
        = host.guard.submit({"bookings", call.spec.caller, call.spec.serviceClass, call.deadline}, now);
    if (decision.state == GuardState::Refuse) {
        refuse(hop, decision.reason, decision.retryAfterMs);
        return;
    }
    if (call.attempt == hop.attempt) {
        call.guardId = decision.id;
    }
    if (decision.state == GuardState::Run) {
        execute(hop, decision.id);
    } else {
        m_waiting[waitingKey(hop.host, decision.id)] = hop;
        processQueue(hop.host);
        schedule(call.deadline, [this, host = hop.host] { processQueue(host); });
    }
}

void RequestModel::refuse(const Hop &hop, Reason reason, TimeMs retryAfterMs)
{
    if (m_config.broken == BrokenRule::RunsWhileDraining && reason == Reason::Draining) {
        execute(hop, {});
        return;
    }
    hosts[hop.host]->table->finish(hop.key, Verdict::NotRun, {}, now);
    respond(hop, {Verdict::NotRun, reason, 0, retryAfterMs}, "");
}

void RequestModel::execute(const Hop &hop, GuardEntryId guardId)
{
    Host &host = *hosts[hop.host];
    Call &call = m_calls[hop.call];
    if (m_config.guarded && host.guard.isDraining()) {
        m_violations.push_back(host.name + " got new work while draining");
    }
    ++host.executions;
    ++call.executions;
    if (call.spec.method == "POST" && ++m_executionsOf[call.spec.operation] > 1) {
        m_violations.push_back(call.spec.operation + " ran more than once");
    }
    TimeMs serviceMs = random.between(m_config.minServiceMs, m_config.maxServiceMs);
    if (call.spec.serviceClass == ServiceClass::Bulk) {
        serviceMs *= 10;
    }
    if (host.adjustServiceMs) {
        serviceMs = host.adjustServiceMs(serviceMs);
    }
    schedule(now + serviceMs, [this, hop, guardId] { complete(hop, guardId); });
}

void RequestModel::complete(const Hop &hop, GuardEntryId guardId)
{
    Host &host = *hosts[hop.host];
    const std::string payload = m_calls[hop.call].spec.operation;
    host.unguardedRunning -= m_config.guarded ? 0 : 1;
    host.guard.finish(guardId, true, now);
    host.table->finish(hop.key, Verdict::Answered, {200, {}, payload}, now);
    respond(hop, {Verdict::Answered, Reason::None, 200}, payload);
    processQueue(hop.host);
}

void RequestModel::processQueue(std::size_t index)
{
    Host &host = *hosts[index];
    while (!host.unguardedQueue.empty() && host.unguardedRunning < m_config.slots) {
        ++host.unguardedRunning;
        const auto start = std::move(host.unguardedQueue.front());
        host.unguardedQueue.pop_front();
        start();
    }
    while (const auto decision = host.guard.nextDecision(now)) {
        const auto waiting = m_waiting.extract(waitingKey(index, decision->id));
        if (decision->state == GuardState::Run) {
            execute(waiting.mapped(), decision->id);
        } else {
            refuse(waiting.mapped(), decision->reason, decision->retryAfterMs);
        }
    }
}

void RequestModel::respond(const Hop &hop, AttemptResult result, const std::string &payload)
{
    Host &host = *hosts[hop.host];
    if (host.silent) {
        return;
    }
    result.load = static_cast<std::int32_t>(host.guard.running() + host.guard.waiting());
    if (host.alterLoad) {
        result.load = host.alterLoad(result.load);
    }
    std::string body = payload;
    if (hop.fault == Fault::AnswerLost) {
        const bool falseNotRun = m_config.broken == BrokenRule::FalseNotRun;
        result = {falseNotRun ? Verdict::NotRun : Verdict::MayHaveRun, Reason::ConnectionLost};
        body.clear();
    }
    const TimeMs delay = hop.fault == Fault::AnswerLate ? random.between(1, 400) : 1;
    for (int copies = hop.fault == Fault::AnswerDuplicated ? 2 : 1; copies > 0; --copies) {
        schedule(now + delay * copies, [this, hop, result, body] { deliver(hop.call, hop.attempt, result, body); });
    }
}

void RequestModel::deliver(std::uint64_t id, AttemptId attempt, const AttemptResult &result, const std::string &payload)
{
    if (m_config.broken == BrokenRule::NoPairing && random.chance(5)) {
        // Gives the answer to a random request.
        id = 1 + random.below(m_lastCall);
        attempt = m_calls[id].attempt;
    }
    m_lastPayload = payload;
    perform(id, m_calls[id].session->attemptFinished(attempt, result, now));
}

void RequestModel::cancel(std::uint64_t id, AttemptId attempt)
{
    const Call &call = m_calls[id];
    Host &host = *hosts[call.host];
    if (call.attempt != attempt || !isValid(call.guardId)) {
        return;
    }
    if (host.guard.cancel(call.guardId) == GuardCancelResult::Removed) {
        const auto waiting = m_waiting.extract(waitingKey(call.host, call.guardId));
        host.table->finish(waiting.mapped().key, Verdict::NotRun, {}, now);
    }
    processQueue(call.host);
}

void RequestModel::finishCall(std::uint64_t id, const SessionAction &answer)
{
    Call &call = m_calls[id];
    call.verdict = answer.verdict;
    ++verdicts[answer.verdict];
    if (answer.verdict == Verdict::Answered) {
        answeredInTime[call.spec.serviceClass] += now <= call.deadline ? 1 : 0;
        if (m_lastPayload != call.spec.operation) {
            m_violations.push_back(call.spec.operation + " got the answer of " + m_lastPayload);
        }
    }
    if (answer.verdict == Verdict::MayHaveRun && !call.spec.key.empty() && call.spec.attempt < 4) {
        CallSpec repeat = call.spec;
        ++repeat.attempt;
        schedule(now + random.between(0, 300), [this, repeat] { this->call(repeat); });
    }
}

void RequestModel::publish(TimeMs maxLagMs)
{
    const auto snapshot = bookingsSnapshot(records);
    const std::uint64_t version = ++m_lastVersion;
    const auto applyLater = [&](std::uint64_t &seen, const std::function<void()> &apply) {
        schedule(now + random.between(0, maxLagMs), [&seen, version, apply] {
            if (version > seen) {
                seen = version;
                apply();
            }
        });
    };
    for (const auto &entry : entryNodes) {
        applyLater(entry->appliedVersion,
                   [this, snapshot, e = entry.get()] { e->view = e->balancer->buildView(snapshot, now); });
    }
    for (const auto &host : hosts) {
        applyLater(host->appliedVersion, [this, snapshot, h = host.get()] {
            h->view = h->balancer->buildView(snapshot, now);
            h->table->ownershipChanged(now);
        });
    }
}

void RequestModel::drain(std::size_t host)
{
    records[host].state = wire::HostState::Draining;
    hosts[host]->guard.drain();
    processQueue(host);
}

void RequestModel::restart(std::size_t host)
{
    records[host].state = wire::HostState::Serving;
    hosts[host]->table = std::make_unique<IdempotencyTable>(now);
    hosts[host]->guard.serve("bookings", m_config.slots, now);
}

std::vector<std::string> RequestModel::violations() const
{
    std::vector<std::string> found = m_violations;
    for (const auto &[id, call] : m_calls) {
        if (call.verdict == Verdict::NotRun && call.executions > 0) {
            found.push_back(call.spec.operation + " was refused with \"not run\" and ran");
        }
        if (!call.session->isDone()) {
            found.push_back(call.spec.operation + " got no answer");
        }
    }
    checkRetryBudget(found);
    return found;
}

void RequestModel::checkRetryBudget(std::vector<std::string> &found) const
{
    const auto sumOfWindow = [](const std::map<TimeMs, std::int64_t> &counts, TimeMs second) {
        std::int64_t total = 0;
        for (auto it = counts.upper_bound(second - 10); it != counts.end() && it->first <= second; ++it) {
            total += it->second;
        }
        return total;
    };
    for (const auto &entry : entryNodes) {
        for (const auto &[second, count] : entry->retries) {
            const std::int64_t retries = sumOfWindow(entry->retries, second);
            // 10% of the requests and 3 retries per second, over 10 s.
            if (retries * 10 > sumOfWindow(entry->requests, second) + 300) {
                found.push_back(std::to_string(retries) + " retries in 10 s");
            }
        }
    }
}

} // namespace fulmarledge::requesttest
