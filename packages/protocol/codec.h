#pragma once

#include "protocol/fleet_messages.h"
#include "protocol/messages.h"
#include "state/error.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace briarhead {

/// More elements than any message needs; a longer list is a corrupt one.
constexpr std::size_t maxListElements = 65'536;

/// The bytes of a message, by cereal over an archive of our own that writes integers with as few bytes
/// as they need, so that a datagram with its facts stays small.
std::string encode(const peer_message &message);
std::string encode(const peer_datagram &datagram);
std::string encode(const fleet_datagram &datagram);
/// Deflated, unlike the others.
std::string encode(const store_update &news);
std::string encode(const daemon_record &record);
std::string encode(const ownership_record &record);
std::string encode(const quota_home_record &record);
std::string encode(const crash_record &record);

/// The message, or nothing with `why` of kind BadFrame. Never throws, and never takes more memory than
/// a small multiple of the input, whatever lengths the input claims. Bytes left over are an error.
std::optional<peer_message> decodePeerMessage(std::string_view bytes, error &why);
std::optional<peer_datagram> decodePeerDatagram(std::string_view bytes, error &why);
std::optional<fleet_datagram> decodeFleetDatagram(std::string_view bytes, error &why);
std::optional<store_update> decodeStoreUpdate(std::string_view bytes, error &why);
std::optional<daemon_record> decodeDaemonRecord(std::string_view bytes, error &why);
std::optional<ownership_record> decodeOwnershipRecord(std::string_view bytes, error &why);
std::optional<quota_home_record> decodeQuotaHomeRecord(std::string_view bytes, error &why);
std::optional<crash_record> decodeCrashRecord(std::string_view bytes, error &why);

}
