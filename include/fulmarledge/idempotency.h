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
    std::size_t maxKeys = 10000;
    TimeMs retentionMs = 600000; ///< counted from the end of the execution
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

/// Answer kept for repeats of a keyed request.
struct StoredAnswer {
    int status = 0;
    std::vector<wire::HttpField> fields;
    std::string body;
};

enum class KeyAction : std::uint8_t {
    Execute, ///< first execution: `finish` must follow
    Replay, ///< answer with `answer`
    Refuse, ///< do not execute; answer with verdict and reason
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
    std::uint32_t attempt = 1; ///< `Fulmarledge-Attempt`: 2 or more for a marked repeat
};

/// Hash of what makes two requests the same: method, target and body.
std::uint64_t requestFingerprint(std::string_view method, std::string_view target, std::string_view body);

/// Idempotency keys owned by this node. Not synchronised: use it under the lock of the slot guard.
class IdempotencyTable
{
public:
    /// @param now start of the process: keys used before are not known
    explicit IdempotencyTable(TimeMs now, const IdempotencyConfig &config = {});

    /// Call when the usable hosts of the service change, and when this host learns that another member suspects it or
    /// holds it for dead: another host may have owned some of its keys. Unknown keys are uncertain from now on, for
    /// the retention time.
    void ownershipChanged(TimeMs now);

    KeyDecision begin(const KeyedRequest &request, TimeMs now);

    /// Ends an execution. A "not run" forgets the key, an answer is kept, anything else stays unknown.
    void finish(KeyEntryId id, Verdict verdict, StoredAnswer answer, TimeMs now);

    std::size_t size() const
    {
        return m_keys.size();
    }
    /// An unknown key was certainly not executed within the retention time.
    bool isCertain(TimeMs now) const
    {
        return now - m_uncertainSince >= m_config.retentionMs;
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
    struct Ended {
        TimeMs expires = 0;
        const std::string *key = nullptr; ///< names stay in place when the map grows
    };

    void expire(TimeMs now);
    KeyDecision repeat(const Entry &entry, const KeyedRequest &request) const;
    Map::value_type &insert(std::string name, std::uint64_t fingerprint, State state);

    IdempotencyConfig m_config;
    TimeMs m_uncertainSince;
    std::uint64_t m_lastId = 0;
    Map m_keys;
    std::unordered_map<std::uint64_t, Map::value_type *> m_running;
    std::deque<Ended> m_ended; ///< in order of expiry
};

} // namespace fulmarledge
