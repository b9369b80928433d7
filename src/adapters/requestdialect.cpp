#include "requestdialect.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <strings.h>
#include <utility>

namespace fulmarledge {

bool equalIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

namespace {

constexpr std::string_view kOrganisationKey = "Fulmarledge-Key";
constexpr std::string_view kOrganisation = "Fulmarledge-Organisation";

constexpr std::size_t kMaxIdBytes = 128;
constexpr std::size_t kMaxKeyBytes = 255;
constexpr std::int64_t kMaxDeadlineMs = 600000;
constexpr std::int64_t kMaxDepth = 1000;
constexpr std::int64_t kMaxAttempt = 1000000;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr TimeMs kMsPerSecond = 1000;

template <std::size_t size>
bool isOneOf(std::string_view name, const std::array<std::string_view, size> &names)
{
    return std::any_of(names.begin(), names.end(),
                       [name](std::string_view known) { return equalIgnoringCase(name, known); });
}

/// Hop-by-hop fields of RFC 9110, section 7.6.1, and fields that the sender on the next connection writes itself.
bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 12> kNames{
        "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
        "TE",         "Trailer",    "Upgrade",          "Transfer-Encoding",  "Content-Length",
        "Host",       "Expect"};
    return isOneOf(name, kNames);
}

/// Whether the comma-separated `list` contains `name`.
bool listContains(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        std::string_view item = list.substr(0, comma);
        list.remove_prefix(std::min(comma + 1, list.size()));
        while (!item.empty() && item.front() == ' ') {
            item.remove_prefix(1);
        }
        while (!item.empty() && item.back() == ' ') {
            item.remove_suffix(1);
        }
        if (equalIgnoringCase(item, name)) {
            return true;
        }
    }
    return false;
}

} // namespace

bool readNumberField(const HttpFields &fields, std::string_view name, std::int64_t low, std::int64_t high,
                     std::optional<std::int64_t> &value, LastReason &error)
{
    const std::string_view text = fieldValue(fields, name);
    if (text.empty()) {
        return true;
    }
    std::int64_t number = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (code != std::errc{} || end != text.data() + text.size() || number < low || number > high) {
        error.set(std::string(name) + ": must be a whole number from " + std::to_string(low) + " to "
                  + std::to_string(high));
        return false;
    }
    value = number;
    return true;
}

bool readTokenField(const HttpFields &fields, std::string_view name, std::size_t maxBytes, std::string &value,
                    LastReason &error)
{
    const std::string_view text = fieldValue(fields, name);
    const bool printable = std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
    if (text.size() > maxBytes || !printable) {
        error.set(std::string(name) + ": must be at most " + std::to_string(maxBytes)
                  + " printable ASCII characters without spaces");
        return false;
    }
    value = text;
    return true;
}

std::optional<CallerFields> NativeDialect::parseCallerFields(const HttpCall &call, LastReason &error) const
{
    CallerFields result;
    std::optional<std::int64_t> deadline;
    std::optional<std::int64_t> depth;
    std::optional<std::int64_t> attempt;
    const bool allValid = readNumberField(call.fields, "Fulmarledge-Deadline-Ms", 1, kMaxDeadlineMs, deadline, error)
        && readNumberField(call.fields, "Fulmarledge-Depth", 1, kMaxDepth, depth, error)
        && readNumberField(call.fields, "Fulmarledge-Attempt", 1, kMaxAttempt, attempt, error)
        && readTokenField(call.fields, "Fulmarledge-Request-Id", kMaxIdBytes, result.requestId, error)
        && readTokenField(call.fields, "Fulmarledge-Caller", kMaxIdBytes, result.caller, error)
        && readTokenField(call.fields, "Idempotency-Key", kMaxKeyBytes, result.idempotencyKey, error);
    if (!allValid) {
        return std::nullopt;
    }
    result.deadlineMs = deadline.value_or(0);
    // A backend server passes on the depth that it received, and each further call is one deeper.
    result.depth = static_cast<std::uint32_t>(depth.value_or(0) + 1);
    result.attempt = static_cast<std::uint32_t>(attempt.value_or(1));
    if (result.caller.empty()) {
        result.caller = call.peerIp;
    }
    result.organisationKey = fieldValue(call.fields, kOrganisationKey);
    return result;
}

bool NativeDialect::isReservedField(std::string_view name) const
{
    static constexpr std::array<std::string_view, 7> kNames{
        "Fulmarledge-Deadline-Ms", "Fulmarledge-Request-Id", "Fulmarledge-Depth",  "Fulmarledge-Attempt",
        "Fulmarledge-Verdict",     "Fulmarledge-Reason",     "Fulmarledge-Version"};
    return isOneOf(name, kNames) || isOrganisationField(name);
}

bool NativeDialect::isOrganisationField(std::string_view name) const
{
    return equalIgnoringCase(name, kOrganisationKey) || equalIgnoringCase(name, kOrganisation);
}

void NativeDialect::addEntryFields(const CallerFields &caller, std::vector<wire::HttpField> &fields) const
{
    addField(fields, "Fulmarledge-Depth", std::to_string(caller.depth));
    if (caller.attempt > 1) {
        addField(fields, "Fulmarledge-Attempt", std::to_string(caller.attempt));
    }
}

void NativeDialect::addBackendFields(const BackendAttempt &send, HttpFields &fields) const
{
    fields.emplace_back("Fulmarledge-Request-Id", send.requestId);
    fields.emplace_back("Fulmarledge-Deadline-Ms", std::to_string(send.remainingMs));
    if (!send.organisation.empty()) {
        fields.emplace_back(kOrganisation, send.organisation);
    }
}

AnswerClassification NativeDialect::classifyAnswer(int status, const HttpFields &fields,
                                                   const BackendAttempt &send) const
{
    // A backend server may return the id of the request. An answer with another id was written for another request.
    const std::string_view answeredId = fieldValue(fields, "Fulmarledge-Request-Id");
    if (!answeredId.empty() && answeredId != send.requestId) {
        return {Verdict::MayHaveRun, Reason::ForeignAnswer};
    }
    if (status == kServiceUnavailable && fieldValue(fields, "Fulmarledge-Verdict") == "not-run") {
        return {Verdict::NotRun, Reason::ShedLoad};
    }
    return {};
}

void NativeDialect::addAnswerFields(const AnswerSummary &notes, HttpFields &fields) const
{
    if (notes.verdict != Verdict::Answered) {
        fields.emplace_back("Fulmarledge-Reason", reasonName(notes.reason));
        if (notes.status == kTooManyRequests) {
            // Fractions of a second keep apart the times of callers that are refused together.
            std::array<char, 32> text{};
            std::snprintf(text.data(), text.size(), "%.3f",
                          static_cast<double>(notes.retryAfterMs) / static_cast<double>(kMsPerSecond));
            fields.emplace_back("Retry-After", text.data());
        } else if (notes.status == kServiceUnavailable) {
            const TimeMs seconds = std::max<TimeMs>((notes.retryAfterMs + kMsPerSecond - 1) / kMsPerSecond, 1);
            fields.emplace_back("Retry-After", std::to_string(seconds));
        }
    }
    fields.emplace_back("Fulmarledge-Verdict", verdictName(notes.verdict));
    if (!notes.requestId.empty()) {
        fields.emplace_back("Fulmarledge-Request-Id", notes.requestId);
    }
    if (notes.version > 0) {
        fields.emplace_back("Fulmarledge-Version", std::to_string(notes.version));
    }
}

void addField(std::vector<wire::HttpField> &fields, std::string_view name, std::string value)
{
    wire::HttpField &field = fields.emplace_back();
    field.name = name;
    field.value = std::move(value);
}

std::vector<wire::HttpField> endToEndFields(const HttpFields &fields, const RequestDialect &dialect)
{
    const std::string_view connection = fieldValue(fields, "Connection");
    std::vector<wire::HttpField> result;
    result.reserve(fields.size() + 4);
    for (const auto &[name, value] : fields) {
        if (!isHopByHop(name) && !dialect.isReservedField(name) && !listContains(connection, name)) {
            wire::HttpField &field = result.emplace_back();
            field.name = name;
            field.value = value;
        }
    }
    return result;
}

bool isFinalStatus(int status)
{
    return status >= 200 && status <= 599;
}

bool isBodyless(int status)
{
    return status == 204 || status == 304 || (status >= 100 && status < 200);
}

StatedLoad NativeDialect::readLoad(const HttpFields &fields) const
{
    return parseStatedLoad(fieldValue(fields, "Fulmarledge-Load"));
}

StatedLoad parseStatedLoad(std::string_view text)
{
    constexpr std::size_t kSpeedPosition = 3;
    StatedLoad load;
    for (std::size_t position = 0; !text.empty(); ++position) {
        const std::size_t length = std::min(text.find(','), text.size());
        std::uint32_t figure = 0;
        const char *const last = text.data() + length;
        const auto [end, code] = std::from_chars(text.data(), last, figure);
        if (code != std::errc() || end != last) {
            return load;
        }
        if (position == kSpeedPosition && figure > 0) {
            load.speedPercent = figure;
        }
        text.remove_prefix(std::min(length + 1, text.size()));
    }
    return load;
}

} // namespace fulmarledge
