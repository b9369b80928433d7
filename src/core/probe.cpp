#include <algorithm>

#include "membership_p.h"

namespace fulmarledge {

namespace {

// How long after its timeout a late answer is still taken as a sign that this process or its network is slow.
constexpr TimeMs kLateAnswerMs = 2000;
constexpr TimeMs kRelayedPingTimeoutMs = 1000;
constexpr std::size_t kMaxRelayedPings = 64;
constexpr TimeMs kRefutationRequestIntervalMs = 1000;
constexpr int kMaxSuccessorSteps = 8;

} // namespace

void Membership::Private::probeTick()
{
    if (now >= nextProbeAt) {
        nextProbeAt = now + settings.probePeriodMs;
        startProbe(table.nextProbeTarget(random));
    }
    if (settings.probeSuccessor && now >= nextSuccessorProbeAt) {
        nextSuccessorProbeAt = now + settings.probePeriodMs;
        // Suspect members are skipped, so that the next member after them still gets its regular probe.
        std::uint32_t slot = table.successor(memberHash(self().host));
        for (int i = 0; i < kMaxSuccessorSteps && slot != kNoSlot && slot != 0
             && table.record(slot).liveness == wire::Liveness::Suspect;
             ++i) {
            slot = table.successor(table.entry(slot).hash);
        }
        startProbe(slot == 0 ? kNoSlot : slot);
    }
}

void Membership::Private::startProbe(std::uint32_t slot)
{
    if (slot == kNoSlot) {
        return;
    }
    const std::uint64_t target = table.entry(slot).hash;
    if (std::any_of(probes.begin(), probes.end(),
                    [&](const Probe &probe) { return probe.target == target && !probe.failed; })) {
        return;
    }
    probes.push_back({++sequence, target, now, now + settings.probeTimeoutMs, receivedMessages, false, false});
    sendPing(slot, sequence);
}

void Membership::Private::sendPing(std::uint32_t slot, std::int64_t pingSequence, bool reliable)
{
    const wire::HostRecord &record = table.record(slot);
    wire::Envelope ping;
    ping.__isset.ping = true;
    ping.ping.sequence = pingSequence;
    ping.ping.target = record.host;
    if (record.liveness != wire::Liveness::Alive) {
        // Tells a suspect or dead host of its record, so that it can refute.
        ping.updates.push_back(record);
        ping.updates.push_back(self());
    }
    if (reliable) {
        ping.ping.__set_reliable(true);
    }
    sendTo(transport, controlAddress(record), ping, reliable);
}

void Membership::Private::processProbeTimeouts()
{
    for (Probe &probe : probes) {
        if (now < probe.deadline || probe.failed) {
            continue;
        }
        const std::uint32_t slot = table.find(probe.target);
        if (slot == kNoSlot || !isLive(table.record(slot))) {
            probe.failed = true;
        } else if (!probe.indirect) {
            probe.indirect = true;
            probe.deadline = now + settings.indirectTimeoutMs;
            // The ping is repeated over a connection, because a full link of a live host loses datagrams but only slows
            // connections down.
            sendPing(slot, probe.sequence, true);
            wire::Envelope request;
            request.__isset.pingReq = true;
            request.pingReq.sequence = probe.sequence;
            request.pingReq.target = table.record(slot).host;
            const std::span<const std::uint32_t> live = table.live();
            const std::size_t first = random.below(live.size());
            int helpers = 0;
            for (std::size_t i = 0; i < live.size() && helpers < settings.indirectProbes; ++i) {
                const std::uint32_t helper = live[(first + i) % live.size()];
                if (helper != slot) {
                    transport.send(controlAddress(table.record(helper)), request);
                    ++helpers;
                }
            }
        } else {
            failProbe(probe);
        }
    }
    std::erase_if(probes, [&](const Probe &probe) { return probe.failed && now >= probe.deadline + kLateAnswerMs; });
    std::erase_if(relayedPings, [&](const RelayedPing &relay) { return now >= relay.expiresAt; });
}

void Membership::Private::failProbe(Probe &probe)
{
    probe.failed = true;
    metrics.count("membership_probe_failures", "", 1);
    log.event("probe-unanswered",
              table.record(table.find(probe.target)).host + " waited_ms=" + std::to_string(now - probe.sentAt)
                  + " heard=" + std::to_string(receivedMessages - probe.receivedBefore)
                  + " health=" + std::to_string(localHealth));
    // If no message arrived at all, this process or its link is probably at fault. With two members a fault of the
    // other one is as likely.
    if (receivedMessages == probe.receivedBefore && table.live().size() > 1) {
        adjustLocalHealth(1);
    }
    const std::uint32_t slot = table.find(probe.target);
    if (table.record(slot).liveness == wire::Liveness::Alive) {
        setLiveness(slot, wire::Liveness::Suspect);
        sendPing(slot, ++sequence, true);
    }
}

void Membership::Private::probeTombstones()
{
    if (table.tombstones().empty()) {
        pendingRevivalProbes = 0;
        return;
    }
    if (now < nextTombstoneProbeAt && pendingRevivalProbes == 0) {
        return;
    }
    if (pendingRevivalProbes > 0) {
        --pendingRevivalProbes;
    } else {
        nextTombstoneProbeAt = now + jitter(settings.tombstoneProbePeriodMs);
    }
    const std::uint32_t slot = table.tombstones()[random.below(table.tombstones().size())];
    const TimeMs goneSince = table.entry(slot).deadline - settings.tombstoneRetentionMs;
    if (table.record(slot).state != wire::HostState::Left || now - goneSince < settings.probeAfterLeaveMs) {
        sendPing(slot, ++sequence);
    }
}

void Membership::Private::requestRefutation(std::uint32_t slot, const SocketAddress &address)
{
    HostEntry &entry = table.entry(slot);
    if (now - entry.refutationRequestedAt < kRefutationRequestIntervalMs || !senderQueryLimiter.tryTake(now)) {
        return;
    }
    entry.refutationRequestedAt = now;
    wire::Envelope message;
    message.updates = {table.record(slot), self()};
    transport.send(address, message);
}

void Membership::Private::onPing(const wire::Envelope &message)
{
    // The address may have passed from the ping's target to this host.
    if (message.ping.target != self().host) {
        return;
    }
    wire::Envelope ack;
    ack.__isset.ack = true;
    ack.ack.sequence = message.ping.sequence;
    ack.ack.subject = self().host;
    const std::uint32_t sender = table.find(message.header.host);
    if (sender == kNoSlot || !isLive(table.record(sender))) {
        ack.updates.push_back(self());
    }
    const SocketAddress prober{message.header.address, static_cast<std::uint16_t>(message.header.controlPort)};
    sendTo(transport, prober, ack, message.ping.reliable);
}

void Membership::Private::onPingReq(const wire::Envelope &message)
{
    const std::uint32_t slot = table.find(message.pingReq.target);
    if (slot == kNoSlot || slot == 0 || relayedPings.size() >= kMaxRelayedPings) {
        return;
    }
    relayedPings.push_back({++sequence,
                            message.pingReq.sequence,
                            {message.header.address, static_cast<std::uint16_t>(message.header.controlPort)},
                            message.pingReq.target,
                            now + kRelayedPingTimeoutMs});
    sendPing(slot, sequence);
}

void Membership::Private::onAck(const wire::Envelope &message)
{
    const auto relay = std::find_if(relayedPings.begin(), relayedPings.end(), [&](const RelayedPing &entry) {
        return entry.sequence == message.ack.sequence && entry.target == message.ack.subject;
    });
    if (relay != relayedPings.end()) {
        wire::Envelope ack;
        ack.__isset.ack = true;
        ack.ack.sequence = relay->requesterSequence;
        ack.ack.subject = relay->target;
        transport.send(relay->requester, ack);
        relayedPings.erase(relay);
        return;
    }
    const auto probe = std::find_if(probes.begin(), probes.end(), [&](const Probe &entry) {
        return entry.sequence == message.ack.sequence && entry.target == memberHash(message.ack.subject);
    });
    if (probe != probes.end()) {
        metrics.observe("membership-probe-ms", static_cast<double>(now - probe->sentAt));
        if (probe->failed) {
            log.event("probe-late", message.ack.subject + " took_ms=" + std::to_string(now - probe->sentAt));
        }
        // An answer after the probe has failed shows that answers reach this node too late.
        adjustLocalHealth(probe->failed ? 1 : -1);
        probes.erase(probe);
    }
}

void Membership::Private::adjustLocalHealth(int amount)
{
    localHealth = std::clamp(localHealth + amount, 0, settings.maxLocalHealth);
    metrics.gauge("membership_local_health", "", localHealth);
}

} // namespace fulmarledge
