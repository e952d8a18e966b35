#pragma once

#include "protocol/fleet_messages.h"
#include "protocol/messages.h"
#include "protocol/relay_messages.h"
#include "protocol/version_messages.h"
#include "state/error.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace briarhead {

/// Limit on the length of a list in a message, above what any valid message needs. A longer list is an error.
constexpr std::size_t maxListElements = 65'536;

// Each encode() serializes a message with cereal, using an archive that writes integers as varints to keep
// datagrams small.

std::string encode(const peer_message &message);
std::string encode(const peer_datagram &datagram);
std::string encode(const fleet_datagram &datagram);
/// Compressed with zlib, unlike the others.
std::string encode(const store_update &update);
std::string encode(const daemon_record &record);
std::string encode(const ownership_record &record);
std::string encode(const quota_home_record &record);
std::string encode(const crash_record &record);
std::string encode(const service_versions_record &record);
std::string encode(const adapter_versions_record &record);
std::string encode(const stored_origins_record &record);
std::string encode(const relay_request &request);
std::string encode(const relay_part &part);

// Each decode function returns the message, or nothing with `why` of kind BadFrame if the bytes are not
// exactly one valid message. They never throw. Except for decodeStoreUpdate(), which allocates the
// decompressed size that the input claims up to 64 MiB, they never allocate more than a small multiple of the
// input's size, whatever lengths the input claims.

std::optional<peer_message> decodePeerMessage(std::string_view bytes, error &why);
std::optional<peer_datagram> decodePeerDatagram(std::string_view bytes, error &why);
std::optional<fleet_datagram> decodeFleetDatagram(std::string_view bytes, error &why);
std::optional<store_update> decodeStoreUpdate(std::string_view bytes, error &why);
std::optional<daemon_record> decodeDaemonRecord(std::string_view bytes, error &why);
std::optional<ownership_record> decodeOwnershipRecord(std::string_view bytes, error &why);
std::optional<quota_home_record> decodeQuotaHomeRecord(std::string_view bytes, error &why);
std::optional<crash_record> decodeCrashRecord(std::string_view bytes, error &why);
std::optional<service_versions_record> decodeServiceVersions(std::string_view bytes, error &why);
std::optional<adapter_versions_record> decodeAdapterVersions(std::string_view bytes, error &why);
std::optional<stored_origins_record> decodeStoredOrigins(std::string_view bytes, error &why);
std::optional<relay_request> decodeRelayRequest(std::string_view bytes, error &why);
std::optional<relay_part> decodeRelayPart(std::string_view bytes, error &why);

}
