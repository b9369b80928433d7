#pragma once

#include <cstdint>
#include <string_view>

namespace fulmarledge {

/// Whether a request may have run on a backend server.
enum class Verdict : std::uint8_t {
    NotRun = 1, ///< certainly not run: no byte reached a backend server, or it was refused before dispatch
    MayHaveRun = 2, ///< sent to a backend server, and the outcome is unknown
    Answered = 3, ///< a complete response from the backend server has been received
};

/// Why a request was refused, retried or failed. Each reason has a counter. Nodes send each other the numeric values,
/// so add new ones at the end.
enum class Reason : std::uint8_t {
    None = 0,
    NoRoute,
    NotReady,
    StaleNode,
    NoBackend,
    ConnectFailed,
    ConnectionLost,
    Truncated,
    DeadlineExceeded,
    QueueFull,
    DeadlineUnreachable,
    Draining,
    WrongHost,
    ShedLoad,
    BudgetExhausted,
    AttemptsExhausted,
    DuplicateInProgress,
    OutcomeUnknown,
    KeyTableFull,
    BodyTooLarge,
    BadHeader,
    CallerGone,
    DepthExceeded,
    KeyReused, ///< the idempotency key belongs to a different request
    AnswerNotKept, ///< the keyed request ran, and its answer was too large to keep
    ForeignAnswer, ///< the bytes received are not the backend server's answer to this request
    WrongInstance, ///< another backend server listens at the address
    ZoneBusy, ///< the request would have to wait at a host of the caller's data centre, and others may have capacity
    LinkBusy, ///< the host's link cannot send a large answer in time
    SlowCaller, ///< the caller did not send the whole request in time
    AnswerMemoryFull, ///< the answer outgrew the memory for answers
    UnknownKey, ///< the route needs the key of an organisation, and the request has none or an unknown one
    QuotaExceeded, ///< the organisation has used up its limit
    CallerMemoryFull, ///< the memory for callers is full, and this connection holds much of it
    InvalidStatus, ///< the backend server's answer has a status outside 100 to 599
    Count
};

/// Value of a verdict in a header field: "not-run", "may-have-run" or "answered".
std::string_view verdictName(Verdict verdict);

/// Stable name of a reason, in lower case with hyphens.
std::string_view reasonName(Reason reason);

} // namespace fulmarledge
