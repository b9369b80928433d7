#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarledge/types.h"
#include "fulmarledge/verdict.h"
#include "fulmarledge_types.h"
#include "httpserver.h"

namespace fulmarledge {

/// Facts about a request that its caller states in header fields.
struct CallerFields {
    std::int64_t deadlineMs = 0; ///< time left when the request arrives; 0 when not given
    std::string requestId; ///< empty when not given
    std::uint32_t depth = 1; ///< depth of this request in the call chain
    std::string caller; ///< name by which the slot guard shares slots fairly between callers
    std::string idempotencyKey; ///< idempotency key, or empty
    std::uint32_t attempt = 1; ///< 2 or more when the caller itself repeats the request
    /// Key of an organisation, or empty. Secret. Part of the fields of the parsed call, so valid as long as they are.
    std::string_view organisationKey;
    std::string forwardedHost; ///< `Host` field sent to the backend server; if empty, its own address is sent
};

/// How a request ended, as the header fields of its answer tell the caller.
struct AnswerSummary {
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::None;
    int status = 0;
    TimeMs retryAfterMs = 0; ///< sent with 429 and 503 only
    std::string_view requestId; ///< empty when not known
    Version version = 0; ///< 0 when not known
};

/// One send of a request to the backend server of this host.
struct BackendAttempt {
    std::string_view requestId;
    TimeMs remainingMs = 0; ///< until the deadline
    std::string_view instance; ///< id of the backend server's process, empty when it has none
    std::string_view organisation = {}; ///< name of the organisation whose key the caller sent, or empty
};

/// Whether a request ran, as far as the header of the backend server's answer tells.
struct AnswerClassification {
    Verdict verdict = Verdict::Answered;
    Reason reason = Reason::None;
};

/// Load that a backend server states with a response. Figures that it does not state are not set.
struct StatedLoad {
    std::optional<std::uint32_t> speedPercent; ///< time that work takes now, 100 for the usual time
};

/// Reads and writes the header fields that one environment defines for requests and answers. Thread-safe.
class RequestDialect
{
public:
    virtual ~RequestDialect() = default;

    /// @param error names the field and the reason when a value is invalid
    /// @return nothing when a value is invalid
    virtual std::optional<CallerFields> parseCallerFields(const HttpCall &call, LastReason &error) const = 0;
    /// Whether the field is not forwarded from callers or backend servers, because the system sets it itself.
    virtual bool isReservedField(std::string_view name) const = 0;
    /// Whether the field states a key or an organisation. Such a field is removed from each request to the backend
    /// server, because a node that does not know it forwards what a caller sent.
    virtual bool isOrganisationField(std::string_view name) const = 0;
    /// Adds the fields that the entry node sends to the backend server.
    virtual void addEntryFields(const CallerFields &caller, std::vector<wire::HttpField> &fields) const = 0;
    /// Adds the fields that the node on the backend server's host sends to it.
    virtual void addBackendFields(const BackendAttempt &send, HttpFields &fields) const = 0;
    /// Classifies an answer of the backend server by its header. With a verdict other than Answered, the answer is not
    /// passed on.
    virtual AnswerClassification classifyAnswer(int status, const HttpFields &fields,
                                                const BackendAttempt &send) const = 0;
    /// Adds the fields that the entry node sends to the caller with an answer.
    virtual void addAnswerFields(const AnswerSummary &notes, HttpFields &fields) const = 0;
    /// Reads the load that the backend server states in a response. Unreadable figures are left out.
    virtual StatedLoad readLoad(const HttpFields &fields) const = 0;
};

/// Header fields of the project's own interface, section 8 of the design page.
class NativeDialect : public RequestDialect
{
public:
    std::optional<CallerFields> parseCallerFields(const HttpCall &call, LastReason &error) const override;
    bool isReservedField(std::string_view name) const override;
    bool isOrganisationField(std::string_view name) const override;
    void addEntryFields(const CallerFields &caller, std::vector<wire::HttpField> &fields) const override;
    void addBackendFields(const BackendAttempt &send, HttpFields &fields) const override;
    AnswerClassification classifyAnswer(int status, const HttpFields &fields,
                                        const BackendAttempt &send) const override;
    void addAnswerFields(const AnswerSummary &notes, HttpFields &fields) const override;
    StatedLoad readLoad(const HttpFields &fields) const override;
};

/// Whether two names of header fields are the same.
bool equalIgnoringCase(std::string_view a, std::string_view b);
/// Parses "RUNNING,WAITING,SLOTS[,SPEED]", whole numbers separated by commas.
StatedLoad parseStatedLoad(std::string_view text);

/// Copies the fields that are forwarded from end to end. Leaves out the fields of a single connection and those that
/// the system sets itself.
std::vector<wire::HttpField> endToEndFields(const HttpFields &fields, const RequestDialect &dialect);

/// Appends a field to a hop message.
void addField(std::vector<wire::HttpField> &fields, std::string_view name, std::string value);

/// Whether a status ends a request. Interim ones (100 to 199) do not.
bool isFinalStatus(int status);

/// Whether an answer with this status never has a body.
bool isBodyless(int status);

/// Reads a whole number from `low` to `high`. An absent or empty field leaves `value` as it is.
/// @return false, with `error` set, when the field is invalid
bool readNumberField(const HttpFields &fields, std::string_view name, std::int64_t low, std::int64_t high,
                     std::optional<std::int64_t> &value, LastReason &error);

/// Reads printable ASCII text without spaces. An absent field leaves `value` empty.
/// @return false, with `error` set, when the field is invalid
bool readTokenField(const HttpFields &fields, std::string_view name, std::size_t maxBytes, std::string &value,
                    LastReason &error);

} // namespace fulmarledge
