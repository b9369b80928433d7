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

/// What a caller's header fields say about its request.
struct CallerFields {
    std::int64_t deadlineMs = 0; ///< time left, or 0 when not given
    std::string requestId; ///< empty when not given
    std::uint32_t depth = 1; ///< depth of this request in the call chain
    std::string caller; ///< for fairness
    std::string key; ///< idempotency key, or empty
    std::uint32_t attempt = 1;
    std::string hostName; ///< to be forwarded to the backend server when not empty
};

/// How a request ended for which the system itself writes the answer's fields.
struct AnswerNotes {
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::None;
    int status = 0;
    TimeMs retryAfterMs = 0; ///< sent with a 503 only
    std::string_view requestId; ///< empty when not known
    Version version = 0; ///< 0 when not known
};

/// One send of a request to the backend server of this host.
struct BackendSend {
    std::string_view requestId;
    TimeMs remainingMs = 0; ///< until the deadline
    std::string_view instance; ///< id of the backend server's process, empty when it has none
};

/// What the header of a backend server's answer says about the request.
struct AnswerJudgement {
    Verdict verdict = Verdict::Answered;
    Reason reason = Reason::None;
};

/// Header fields of requests and answers as one environment spells them. Thread-safe.
class RequestDialect
{
public:
    virtual ~RequestDialect() = default;

    /// @param error names the field and the reason when a value is bad
    virtual std::optional<CallerFields> parseCaller(const HttpCall &call, LastReason &error) const = 0;
    /// Fields of a caller that are not passed on, because the system sets them itself.
    virtual bool isOwnField(std::string_view name) const = 0;
    /// Fields that the entry node adds for the backend server.
    virtual void addEntryFields(const CallerFields &caller, std::vector<wire::HttpField> &fields) const = 0;
    /// Fields that the node beside the backend server adds.
    virtual void addBackendFields(const BackendSend &send, HttpFields &fields) const = 0;
    /// Called when the header of an answer is complete. A verdict other than Answered stands for the whole answer.
    virtual AnswerJudgement judge(int status, const HttpFields &fields, const BackendSend &send) const = 0;
    /// Fields that the entry node adds to an answer.
    virtual void addAnswerFields(const AnswerNotes &notes, HttpFields &fields) const = 0;
};

/// The project's own interface, section 8 of the design page.
class NativeDialect : public RequestDialect
{
public:
    std::optional<CallerFields> parseCaller(const HttpCall &call, LastReason &error) const override;
    bool isOwnField(std::string_view name) const override;
    void addEntryFields(const CallerFields &caller, std::vector<wire::HttpField> &fields) const override;
    void addBackendFields(const BackendSend &send, HttpFields &fields) const override;
    AnswerJudgement judge(int status, const HttpFields &fields, const BackendSend &send) const override;
    void addAnswerFields(const AnswerNotes &notes, HttpFields &fields) const override;
};

/// Fields that travel with the message from end to end: none that belongs to one connection, and none that the system
/// sets itself.
std::vector<wire::HttpField> endToEndFields(const HttpFields &fields, const RequestDialect &dialect);

/// Appends a field to a hop message.
void addField(std::vector<wire::HttpField> &fields, std::string_view name, std::string value);

/// Whether a status never has a body.
bool isBodyless(int status);

/// Reads a whole number within bounds. An absent or empty field leaves `value` as it is.
bool readNumberField(const HttpFields &fields, std::string_view name, std::int64_t low, std::int64_t high,
                     std::optional<std::int64_t> &value, LastReason &error);

/// Reads printable ASCII text without spaces. An absent field leaves `value` empty.
bool readTokenField(const HttpFields &fields, std::string_view name, std::size_t maxBytes, std::string &value,
                    LastReason &error);

} // namespace fulmarledge
