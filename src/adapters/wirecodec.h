#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "fulmarledge/types.h"

namespace fulmarledge {

/// Encodes one message in Thrift's compact protocol.
template <typename Message>
std::string encodeMessage(const Message &message)
{
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(buffer);
    message.write(&protocol);
    return buffer->getBufferAsString();
}

/// Decodes one message. Strings and containers that claim to be larger than `data` are refused.
/// @return nothing, with `error` set, when `data` is not a valid message
template <typename Message>
std::optional<Message> decodeMessage(std::span<const std::uint8_t> data, LastReason &error)
{
    using apache::thrift::transport::TMemoryBuffer;
    const auto size = static_cast<std::uint32_t>(data.size());
    // TMemoryBuffer takes a mutable pointer, but does not write to it in OBSERVE mode.
    auto *bytes = const_cast<std::uint8_t *>(data.data()); // NOLINT(cppcoreguidelines-pro-type-const-cast)
    auto buffer = std::make_shared<TMemoryBuffer>(bytes, size, TMemoryBuffer::OBSERVE);
    apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer, static_cast<std::int32_t>(size),
                                                                        static_cast<std::int32_t>(size));
    try {
        Message message;
        message.read(&protocol);
        return message;
    } catch (const std::exception &exception) {
        error.set(exception.what());
        return std::nullopt;
    }
}

} // namespace fulmarledge
