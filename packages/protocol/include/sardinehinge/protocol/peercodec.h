#pragma once

#include <sardinehinge/core/hybridclock.h>
#include <sardinehinge/core/messages.h>
#include <sardinehinge/core/result.h>

#include <string>
#include <string_view>

namespace sardinehinge::protocol {

/// One datagram between daemons.
struct Envelope
{
    core::DaemonIdentity sender;
    std::string recipient; ///< Id of the daemon it is meant for: addresses are reused, ids are not.
    core::HybridTime stamp;
    core::PeerMessage message;

    bool operator==(const Envelope &) const = default;
};

/// The envelope in Thrift's compact encoding.
std::string encode(const Envelope &envelope);

/// Reads a datagram; an error of step `decode` when it isn't a whole envelope. Never throws. Strings and lists are
/// limited to the size of a datagram, so a hostile length allocates nothing.
core::Result<Envelope> decode(std::string_view datagram);

} // namespace sardinehinge::protocol
