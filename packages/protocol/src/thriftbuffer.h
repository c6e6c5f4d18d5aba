#pragma once

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <string>
#include <string_view>

namespace sardinehinge::protocol::internal {

constexpr int datagramLimit = 65'507; ///< Bytes; the largest UDP payload over IPv4.
constexpr int nestingLimit = 8;

/// The bytes of a Thrift structure, in the compact protocol.
template<typename Structure>
std::string toBytes(const Structure &structure)
{
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    structure.write(&protocol);
    return buffer->getBufferAsString();
}

/// Reads a Thrift structure. Throws what Thrift throws when the bytes are none.
template<typename Structure>
Structure fromBytes(std::string_view bytes)
{
    using apache::thrift::transport::TMemoryBuffer;
    const auto configuration
        = std::make_shared<apache::thrift::TConfiguration>(datagramLimit, datagramLimit, nestingLimit);
    auto *start = reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data()));
    const auto buffer = std::make_shared<TMemoryBuffer>(start, static_cast<std::uint32_t>(bytes.size()),
                                                        TMemoryBuffer::OBSERVE, configuration);
    apache::thrift::protocol::TCompactProtocol protocol(buffer, datagramLimit, datagramLimit);
    Structure structure;
    structure.read(&protocol);
    return structure;
}

} // namespace sardinehinge::protocol::internal
