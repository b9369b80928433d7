#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "fulmarledge/types.h"
#include "fulmarledge/verdict.h"
#include "fulmarledge_types.h"

namespace fulmarledge {

struct IdempotencyConfig {
    std::size_t maxKeys = 10000; ///< keys held at once; further ones are refused
    TimeMs retentionMs = 600000; ///< how long a key is kept after its execution has ended
    std::size_t maxKeyBytes = 255;
    std::size_t maxAnswerBytes = 4096; ///< largest answer kept for a key; 10,000 of them are 41 MB
};

/// Identifies one execution of a keyed request.
struct KeyEntryId {
    std::uint64_t value = 0;

    bool operator==(const KeyEntryId &) const = default;
};

inline bool isValid(KeyEntryId id)
{
    return id.value != 0;
}

/// Answer of a keyed request, kept to answer repeats of it.
struct StoredAnswer {
    int status = 0;
    std::vector<wire::HttpField> fields;
    std::string body;
};

enum class KeyAction : std::uint8_t {
    Execute, ///< execute the request and call `finish` afterwards
    Replay, ///< do not execute; send the stored `answer`
    Refuse, ///< do not execute; refuse with `verdict`, `reason` and `status`
};

struct KeyDecision {
    KeyAction action = KeyAction::Refuse;
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::None;
    int status = 0; ///< HTTP status of a refusal
    TimeMs retryAfterMs = 0;
    KeyEntryId id; ///< for Execute
    const StoredAnswer *answer = nullptr; ///< for Replay, valid until the next call
};

struct KeyedRequest {
    std::string_view service;
    std::string_view key;
    std::uint64_t fingerprint = 0; ///< requestFingerprint()
    std::uint32_t attempt = 1; ///< value of the header `Fulmarledge-Attempt`; 2 or more marks a repeat
};

/// Hash of method, target and body. Requests that differ in one of them are different requests.
std::uint64_t requestFingerprint(std::string_view method, std::string_view target, std::string_view body);

/// Idempotency keys owned by this node, with the outcomes of their executions. Not thread-safe: protect it with the
/// lock of the slot guard.
class IdempotencyTable
{
public:
    /// @param now start of the process; keys executed before are missing from the table
    explicit IdempotencyTable(TimeMs now, const IdempotencyConfig &config = {});

    /// Call when the usable hosts of the service change, and when this host learns that another member suspects it or
    /// considers it dead. Another host may have executed keys that this one owns now, so for the retention time a key
    /// that is missing from the table may have been executed.
    void ownershipChanged(TimeMs now);

    /// Decides whether a request executes, and adds its key if it does.
    KeyDecision begin(const KeyedRequest &request, TimeMs now);

    /// Ends an execution. With "not run" the key is removed. With "answered" the answer is kept, unless it is larger
    /// than `maxAnswerBytes`. With "may have run" the key is kept with an unknown outcome.
    void finish(KeyEntryId id, Verdict verdict, StoredAnswer answer, TimeMs now);

    std::size_t size() const
    {
        return m_keys.size();
    }
    /// Whether a key that is missing from the table was certainly not executed within the retention time.
    bool coversRetentionTime(TimeMs now) const
    {
        return now - m_completeSince >= m_config.retentionMs;
    }

private:
    enum class State : std::uint8_t { Running, Answered, AnswerNotKept, Unknown };
    struct Entry {
        KeyEntryId id;
        std::uint64_t fingerprint = 0;
        State state = State::Running;
        StoredAnswer answer;
    };
    using Map = std::unordered_map<std::string, Entry>;
    /// A key that is removed at `expires`.
    struct EndedKey {
        TimeMs expires = 0;
        const std::string *key = nullptr; ///< points into `m_keys`, whose elements do not move when it grows
    };

    void removeExpired(TimeMs now);
    KeyDecision decideRepeat(const Entry &entry, const KeyedRequest &request) const;
    Map::value_type &addEntry(std::string tableKey, std::uint64_t fingerprint, State state);

    IdempotencyConfig m_config;
    TimeMs m_completeSince;
    std::uint64_t m_lastId = 0;
    Map m_keys; ///< by service and key, with a zero byte between them
    std::unordered_map<std::uint64_t, Map::value_type *> m_running; ///< by id
    std::deque<EndedKey> m_ended; ///< in order of expiry
};

} // namespace fulmarledge
