#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <xxhash.h>

namespace fulmarledge {

/// Body that the backend stand-in sends for a request. The first line has the request id, the size of the payload and a
/// checksum over the payload and the id; the payload follows. The payload depends on the request id too, so that the
/// answer to another request is detected.
inline std::string makeAnswerBody(const std::string &requestId, std::size_t payloadBytes)
{
    const std::uint64_t seed = XXH3_64bits(requestId.data(), requestId.size());
    std::string payload(payloadBytes, '\0');
    std::uint64_t state = seed | 1U;
    for (char &c : payload) {
        state ^= state << 13U;
        state ^= state >> 7U;
        state ^= state << 17U;
        c = static_cast<char>('a' + state % 26);
    }
    const std::uint64_t checksum = XXH3_64bits_withSeed(payload.data(), payload.size(), seed);
    return requestId + " " + std::to_string(payloadBytes) + " " + std::to_string(checksum) + "\n" + payload;
}

/// Whether `body` is the complete and unchanged answer to `requestId` with a payload of `payloadBytes`.
inline bool isExpectedAnswer(const std::string &body, const std::string &requestId, std::size_t payloadBytes)
{
    return body == makeAnswerBody(requestId, payloadBytes);
}

} // namespace fulmarledge
