// Messages between fulmarledge processes, encoded in Thrift's compact protocol.
namespace cpp fulmarledge.wire

enum HostState { Starting = 1, Serving = 2, Draining = 3, Left = 4 }
enum Liveness { Alive = 1, Suspect = 2, Dead = 3 }

// One host of the fleet and the backend server on it. Only the host itself raises its incarnation.
struct HostRecord {
  1: string host
  2: string zone
  3: string serviceName
  4: string address
  5: i32 controlPort
  6: i32 hopPort
  7: i32 callerPort
  8: i32 adminPort
  9: i64 incarnation
  10: HostState state
  11: Liveness liveness
  12: i32 slots
  // Remaining time in which the backend server is still slow after its start, in ms from the last change of this
  // record. Not set if the backend server reports none.
  13: optional i32 warmupMs
  // Rate of the host's link in Mbit/s, rounded down. Not set if unknown.
  14: optional i32 linkMegabits
  // Id of the processes of the backend server that have announced that they are leaving, and their latest start in
  // milliseconds since 1970.
  // Not set while none is leaving.
  15: optional string leavingInstance
  16: optional i64 leavingBornMs
  // Version of the backend server. Set only on nodes with rollouts.
  17: optional string version
}

// Sender of a message. Each message also advertises the manifest version that the sender runs.
struct Header {
  1: string host
  2: string zone
  3: i64 incarnation
  4: i64 version
  5: string address
  6: i32 controlPort
}

// If `reliable` is set, the ping was sent over a connection because datagrams seem to be lost, and the answer is sent
// over a connection too.
struct Ping { 1: i64 sequence, 2: string target, 3: optional bool reliable }
struct PingReq { 1: i64 sequence, 2: string target }
struct Ack { 1: i64 sequence, 2: string subject }

// A digest with a nonce asks for the receiver's digest. The answer repeats the nonce and sets `reply`.
// `headRead` tells the other watchers that the sender has just read the platform's `head`.
struct Digest { 1: i64 version, 2: i64 tableHash, 3: bool reply, 4: optional i64 nonce, 5: optional bool headRead }

// Keys that an organisation gained and lost.
struct OrganisationKeys { 1: string organisation, 2: list<string> added, 3: list<string> removed }

// Difference between two manifest versions. Services, routes and organisations are canonical JSON texts.
struct ManifestDelta {
  1: i64 fromVersion
  2: list<string> services
  3: list<string> removedServices
  4: list<string> routes
  5: list<string> removedRoutes
  // Canonical JSON text, set if the limits changed.
  6: optional string limits
  // New organisations and those of which a field other than the keys changed, without their keys.
  7: optional list<string> organisations
  // Their keys are removed with them.
  8: optional list<string> removedOrganisations
  9: optional list<OrganisationKeys> keys
}

// A manifest version, sent as a delta, or in full if `delta` is not set.
struct Content {
  1: i64 version
  2: string digest
  3: optional ManifestDelta delta
  4: optional binary full
  // Time of the acceptance by the submitter's clock, in milliseconds since 1970, or 0 if unknown.
  5: i64 acceptedMs
}

// The receiver relays to the members whose hash is in [intervalBegin, intervalEnd], both unsigned, and to none when
// intervalBegin is above intervalEnd. It answers with a PushAck when `ackWanted` is set and it holds the version.
struct Push { 1: Content content, 2: i64 intervalBegin, 3: i64 intervalEnd, 4: bool ackWanted }
struct PushAck { 1: i64 version }
// If `reliable` is set, the pull was sent over a connection because datagrams seem to be lost, and the answer is sent
// over a connection too.
struct Pull { 1: i64 haveVersion, 2: bool full, 3: optional bool reliable }
// Refuses a Pull or a Digest whose answer would be a full manifest while the refusing host already sends too many.
struct PullRefusal { 1: i32 retryAfterMs }

struct Bucket { 1: i32 index, 2: i64 hash }
struct TableRequest { 1: list<Bucket> buckets }
struct TableReply {
  1: list<i32> buckets
  2: list<HostRecord> records
  // As in JoinReply, for the host that sent the request.
  3: optional string leavingInstance
  4: optional i64 leavingBornMs
}

struct Join { 1: i64 sequence }
struct JoinReply {
  1: i64 sequence
  2: i32 retryAfterMs
  3: list<HostRecord> records
  // Last process of the joining host's backend server that is known to have announced that it is leaving, and its start
  // in milliseconds since 1970.
  4: optional string leavingInstance
  5: optional i64 leavingBornMs
}

// Requests of one kind at one backend server since the order of a rollout. `times` holds pairs of the number of a bucket
// of response times and the count of answers in it.
struct RolloutKind { 1: i64 kind, 2: i64 answers, 3: i64 failures, 4: list<i32> times }

// What the backend server of the sending host has done since the order of a rollout of its service. `process` differs
// between two processes of the sender, because the counts of a new process start at 0. `closed` says that the sender's
// slot guard refuses requests because of the rollout.
struct RolloutReport {
  1: string serviceName
  2: i64 order
  3: i64 process
  4: string version
  5: i64 sent
  6: i32 outstanding
  7: bool closed
  8: list<RolloutKind> kinds
}

enum RolloutOrderState { None = 0, Running = 1, Done = 2, RolledBack = 3 }

// What a node knows of one service: its version in force and the last order. `inForceChanges` counts the changes of the
// version in force, and the record with more of them is the newer one. `revision` is that of the store's object.
struct RolloutRecord {
  1: string serviceName
  2: string inForce
  3: i64 inForceChanges
  4: i64 inForceAgeMs
  5: i64 revision
  6: i64 order
  7: string target
  8: i32 durationMs
  9: RolloutOrderState state
  // -1 if no node has seen the start of the order.
  10: i64 orderAgeMs
}

enum RolloutStep { Trial = 1, Moved = 2, Stopped = 3 }

// Share of the requests of a service that go to the target version, in millionths, valid for `validMs` after its
// receipt. A split of a higher term, and in a term one of a higher sequence, replaces an earlier one.
struct RolloutSplit {
  1: string serviceName
  2: i64 order
  3: i64 term
  4: i64 sequence
  5: RolloutStep step
  6: i32 shareMillionths
  7: i32 servers
  8: i32 pulse
  9: i32 validMs
  // Host that decides on the order.
  10: string coordinator
}

// The receiver relays to the members of its zone whose hash is in [intervalBegin, intervalEnd], both unsigned, and to
// none when the fields are not set. A receiver with another hash of its records answers with a pull, which asks for all
// records of the sender. `readAgeMs` tells how long ago the sender has read the platform's orders.
struct RolloutState {
  1: optional i64 recordsHash
  2: optional bool pull
  3: optional list<RolloutRecord> records
  4: optional list<RolloutSplit> splits
  5: optional i64 intervalBegin
  6: optional i64 intervalEnd
  7: optional i32 readAgeMs
}

// Asks the owner of a group of organisations for credit. The lists have one element per organisation. Identifiers are
// 41 bits of a hash of the name, which take 6 bytes. The header states only the sender's host.
struct QuotaRequest {
  1: i32 sequence
  2: list<i64> organisations
  // Credit that the sender holds, and credit that it has used since the last request.
  3: list<i32> held
  4: list<i32> used
  // Credit for requests that have come already, and credit that is asked for ahead of need.
  5: list<i32> needed
  6: list<i32> ahead
  // Groups that the sender grants credit of. A receiver that grants credit of them too halves its grants and answers
  // with a claim.
  7: optional list<i32> claimed
}

// Answers a QuotaRequest, in the order of its organisations. A pause above 0 tells for how long to ask for no more, in
// ms.
struct QuotaGrant {
  1: i32 sequence
  2: list<i32> granted
  3: list<i32> pauseMs
}

// At most one of the optional messages is set. None is set if the envelope carries only host records.
struct Envelope {
  1: Header header
  2: optional Ping ping
  3: optional PingReq pingReq
  4: optional Ack ack
  5: optional Digest digest
  6: optional Push push
  7: optional PushAck pushAck
  8: optional Pull pull
  9: optional Content content
  10: optional TableRequest tableRequest
  11: optional TableReply tableReply
  12: optional Join join
  13: optional JoinReply joinReply
  16: optional PullRefusal pullRefusal
  17: optional QuotaRequest quotaRequest
  18: optional QuotaGrant quotaGrant
  20: list<HostRecord> updates
  21: optional RolloutReport rolloutReport
  22: optional RolloutState rolloutState
}

enum Verdict { NotRun = 1, MayHaveRun = 2, Answered = 3 }

struct HttpField { 1: string name, 2: string value }

struct HopRequest {
  1: i64 id
  2: string serviceName
  3: string method
  4: string target
  5: list<HttpField> fields
  6: binary body
  7: i32 deadlineMs
  8: string requestId
  9: string idempotencyKey
  10: string caller
  11: bool bulk
  12: i64 version
  // Host name that the caller addressed, forwarded to the backend server if set.
  13: optional string hostName
  // Rank of the route, of which 0 comes first. If not set, the rank follows from `bulk`.
  14: optional i32 rank
  // Hash of the route. It groups requests that take similar time.
  15: optional i64 kind
  // Latency objective of the route and the time left of it, which may be negative, in ms.
  16: optional i32 objectiveMs
  17: optional i32 objectiveLeftMs
  // The request is refused as busy if it would have to wait and would not finish within this time, in ms, because other
  // hosts may have room.
  18: optional i32 spillLeftMs
  // The caller is in another data centre.
  19: optional bool fromOtherZone
  // Time of sending by the sender's monotonic clock, in ms.
  20: optional i64 sentMs
  // Name of the organisation whose key the caller sent. Not set for a request without an organisation.
  21: optional string organisation
}

struct HopResponse {
  1: i64 id
  2: Verdict verdict
  3: i32 reason
  4: i32 status
  5: list<HttpField> fields
  6: binary body
  7: i32 outstanding
  8: i32 retryAfterMs
}

struct HopCancel { 1: i64 id }
// `running` lists the requests of the connection that run at the backend server.
struct HopBeat { 1: i64 sequence, 2: i32 outstanding, 3: HostState state, 4: optional list<i64> running }

struct HopFrame {
  1: optional HopRequest request
  2: optional HopResponse response
  3: optional HopCancel cancel
  4: optional HopBeat beat
}
