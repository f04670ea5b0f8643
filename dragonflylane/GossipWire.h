#pragma once

// Encoding of gossip messages: Thrift compact protocol, one message per datagram.
//
//     std::string bytes = encode(message);
//     GossipMessage decoded;
//     if (std::error_code error = decode(bytes, decoded))
//         ...

#include "dragonflylane/GossipMessages.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <system_error>

namespace dragonflylane {

/// Largest datagram, chosen to fit the usual MTU of 1,500 B without fragmentation.
inline constexpr size_t maxGossipDatagramSize = 1400;
/// Bytes that the transport adds to each encoded message (truncated HMAC and header).
inline constexpr size_t gossipTransportOverhead = 32;
/// Largest encoded message.
inline constexpr size_t maxGossipMessageSize = maxGossipDatagramSize - gossipTransportOverhead;
/// Longest host id, data centre, region, service or upstream id in a record, in bytes. Five of them and the fixed
/// fields fit into one message.
inline constexpr size_t maxGossipNameLength = 128;
/// Largest payload of a broadcast, in bytes.
inline constexpr size_t maxGossipPayloadSize = 900;

std::string encode(const GossipMessage&);

/// Decodes exactly one message. Fails with FrameTooLarge beyond maxGossipMessageSize, and with MalformedFrame on
/// invalid input. The message is unchanged on error.
std::error_code decode(std::string_view, GossipMessage&);

/// Upper bounds of the bytes that an item adds to an encoded message, to fill a datagram without encoding it twice.
size_t encodedSizeBound(const MemberRecord&);
size_t encodedSizeBound(const GossipBroadcast&);

/// True if every field of the record is within the limits of the encoding.
bool isEncodable(const MemberRecord&);

} // namespace dragonflylane
