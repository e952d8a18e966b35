#include "protocol/codec.h"

#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <zlib.h>

#include <bit>
#include <concepts>
#include <cstring>
#include <limits>
#include <type_traits>
#include <utility>

namespace briarhead {

namespace {

constexpr unsigned bitsPerVarintByte = 7;
constexpr unsigned varintContinuation = 0x80; ///< set in all but the last byte of a varint
constexpr unsigned bitsPerByte = 8;
/// Limit on the decompressed size of a store_update, above the content of the store for the largest known
/// deployment.
constexpr std::uint32_t maxStoreUpdateBytes = 64 * 1024 * 1024;

[[noreturn]] void reject(const char *reason)
{
    throw cereal::Exception(reason);
}

// Maps small negative numbers to small positive ones, so that they take few bytes as well.
std::uint64_t zigzag(std::int64_t value)
{
    return (static_cast<std::uint64_t>(value) << 1) ^ static_cast<std::uint64_t>(value >> 63);
}

std::int64_t unzigzag(std::uint64_t value)
{
    return static_cast<std::int64_t>(value >> 1) ^ -static_cast<std::int64_t>(value & 1);
}

/// Writes to a string, with integers as base-128 varints.
class compact_writer : public cereal::OutputArchive<compact_writer, cereal::AllowEmptyClassElision>
{
public:
    explicit compact_writer(std::string &out)
        : OutputArchive(this)
        , m_out(out)
    {
    }

    void varint(std::uint64_t value)
    {
        for (; value >= varintContinuation; value >>= bitsPerVarintByte) {
            m_out.push_back(static_cast<char>(value | varintContinuation));
        }
        m_out.push_back(static_cast<char>(value));
    }

    void bytes(const void *data, std::size_t size)
    {
        m_out.append(static_cast<const char *>(data), size);
    }

private:
    std::string &m_out;
};

/// Reads what compact_writer wrote. Throws cereal::Exception at the first invalid byte.
class compact_reader : public cereal::InputArchive<compact_reader, cereal::AllowEmptyClassElision>
{
public:
    explicit compact_reader(std::string_view in)
        : InputArchive(this)
        , m_in(in)
    {
    }

    std::size_t remaining() const
    {
        return m_in.size();
    }

    std::string_view bytes(std::size_t size)
    {
        if (size > m_in.size()) {
            reject("it is truncated");
        }
        const std::string_view result = m_in.substr(0, size);
        m_in.remove_prefix(size);
        return result;
    }

    std::uint64_t varint()
    {
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift < std::numeric_limits<std::uint64_t>::digits;
             shift += bitsPerVarintByte) {
            const auto byte = static_cast<unsigned char>(bytes(1).front());
            const std::uint64_t bits = byte & (varintContinuation - 1);
            if ((bits << shift) >> shift != bits) {
                break;
            }
            value |= bits << shift;
            if ((byte & varintContinuation) == 0) {
                return value;
            }
        }
        reject("a varint is longer than 64 bits");
    }

private:
    std::string_view m_in;
};

// cereal finds the functions below by argument-dependent look-up through the archives' namespace.

template <std::integral number>
void save(compact_writer &archive, const number &value)
{
    if constexpr (std::is_signed_v<number>) {
        archive.varint(zigzag(value));
    } else {
        archive.varint(value);
    }
}

template <std::integral number>
void load(compact_reader &archive, number &value)
{
    const std::uint64_t raw = archive.varint();
    if constexpr (std::is_signed_v<number>) {
        if (!std::in_range<number>(unzigzag(raw))) {
            reject("a number is out of range for its field");
        }
        value = static_cast<number>(unzigzag(raw));
    } else {
        if (raw > std::numeric_limits<number>::max()) {
            reject("a number is out of range for its field");
        }
        value = static_cast<number>(raw);
    }
}

void save(compact_writer &archive, const double &value)
{
    auto bits = std::bit_cast<std::uint64_t>(value);
    for (std::size_t i = 0; i < sizeof(bits); ++i, bits >>= bitsPerByte) {
        const auto byte = static_cast<unsigned char>(bits);
        archive.bytes(&byte, 1);
    }
}

void load(compact_reader &archive, double &value)
{
    std::uint64_t bits = 0;
    unsigned shift = 0;
    for (const char byte : archive.bytes(sizeof(bits))) {
        bits |= static_cast<std::uint64_t>(static_cast<unsigned char>(byte)) << shift;
        shift += bitsPerByte;
    }
    value = std::bit_cast<double>(bits);
}

// The last enumerator of each enumeration that is sent; for those of fleet_messages.h see there. A larger
// value comes from another release or from corruption. If it were accepted, it would index tables of names
// past their end and match no case of a switch.
constexpr priority lastOf(priority)
{
    return priority::Low;
}
constexpr outcome lastOf(outcome)
{
    return outcome::Unknown;
}
constexpr error_kind lastOf(error_kind)
{
    return error_kind::Internal;
}
constexpr key_state lastOf(key_state)
{
    return key_state::NotHome;
}
constexpr peer_state lastOf(peer_state)
{
    return peer_state::Dead;
}
constexpr probe_kind lastOf(probe_kind)
{
    return probe_kind::Join;
}

template <class enumeration>
requires std::is_enum_v<enumeration>
void save(compact_writer &archive, const enumeration &value)
{
    archive.varint(static_cast<std::underlying_type_t<enumeration>>(value));
}

template <class enumeration>
requires std::is_enum_v<enumeration>
void load(compact_reader &archive, enumeration &value)
{
    const std::uint64_t raw = archive.varint();
    if (raw > static_cast<std::underlying_type_t<enumeration>>(lastOf(enumeration{}))) {
        reject("an enumerator is unknown");
    }
    value = static_cast<enumeration>(raw);
}

// With a corrupted or forged length, cereal's own loaders would allocate gigabytes before they find that the
// bytes are missing. Here a string cannot be longer than the remaining input. A list, whose elements can be
// larger in memory than in encoded form, is limited to maxListElements as well and grows only as its elements
// are read.
void save(compact_writer &archive, const std::string &text)
{
    archive.varint(text.size());
    archive.bytes(text.data(), text.size());
}

void load(compact_reader &archive, std::string &text)
{
    text = archive.bytes(archive.varint());
}

template <class element>
void save(compact_writer &archive, const std::vector<element> &list)
{
    archive.varint(list.size());
    for (const element &item : list) {
        archive(item);
    }
}

template <class element>
void load(compact_reader &archive, std::vector<element> &list)
{
    const std::uint64_t size = archive.varint();
    if (size > archive.remaining() || size > maxListElements) {
        reject("a list is longer than the input or than the limit");
    }
    list.clear();
    for (std::uint64_t i = 0; i < size; ++i) {
        archive(list.emplace_back());
    }
}

template <class archive_type, class value_type>
requires std::same_as<archive_type, compact_writer> || std::same_as<archive_type, compact_reader>
void serialize(archive_type &archive, cereal::NameValuePair<value_type> &pair)
{
    archive(pair.value);
}

}

}

// By default cereal writes an enumerator as its number and reads any number back. These specializations make
// it use the functions above, which check the number.
namespace cereal {

template <class enumeration>
requires std::is_enum_v<enumeration>
struct specialize<briarhead::compact_writer, enumeration, specialization::non_member_load_save>
    : std::true_type
{
};

template <class enumeration>
requires std::is_enum_v<enumeration>
struct specialize<briarhead::compact_reader, enumeration, specialization::non_member_load_save>
    : std::true_type
{
};

}

namespace briarhead {

namespace {

template <class message_type>
std::string encodeMessage(const message_type &message)
{
    std::string out;
    compact_writer archive(out);
    archive(message);
    return out;
}

/// `initial`: the message before it is read, for one whose layout depends on its own fields.
template <class message_type>
std::optional<message_type> decodeExactly(std::string_view bytes, error &why, message_type initial = {})
{
    try {
        std::optional<message_type> message(std::move(initial));
        compact_reader archive(bytes);
        archive(*message);
        if (archive.remaining() == 0) {
            return message;
        }
        why = {error_kind::BadFrame, "peer message", "there are extra bytes after its end"};
    } catch (const std::exception &failure) {
        why = {error_kind::BadFrame, "peer message", failure.what()};
    }
    return std::nullopt;
}

bool isInvalidName(const std::string &name)
{
    return name.empty() || name.size() > maxNameBytes;
}

/// Whether the names and the numbers of facts and introductions are within the limits.
bool withinLimits(const peer_datagram &datagram)
{
    for (const peer_fact &fact : datagram.facts) {
        if (isInvalidName(fact.name)) {
            return false;
        }
    }
    for (const peer_introduction &introduction : datagram.introductions) {
        if (isInvalidName(introduction.name) || introduction.failureDomain.size() > maxNameBytes) {
            return false;
        }
    }
    return !isInvalidName(datagram.from) && datagram.facts.size() <= maxFactsPerDatagram
        && datagram.introductions.size() <= maxIntroductionsPerDatagram;
}

}

std::string encode(const peer_message &message)
{
    return encodeMessage(message);
}

std::string encode(const peer_datagram &datagram)
{
    return encodeMessage(datagram);
}

std::string encode(const fleet_datagram &datagram)
{
    return encodeMessage(datagram);
}

std::string encode(const store_update &update)
{
    const std::string plain = encodeMessage(update);
    uLongf size = compressBound(plain.size());
    std::string packed(sizeof(std::uint32_t) + size, '\0');
    const auto length = static_cast<std::uint32_t>(plain.size());
    std::memcpy(packed.data(), &length, sizeof(length));
    compress2(reinterpret_cast<Bytef *>(packed.data() + sizeof(length)), &size,
        reinterpret_cast<const Bytef *>(plain.data()), plain.size(), Z_BEST_SPEED);
    packed.resize(sizeof(length) + size);
    return packed;
}

std::string encode(const daemon_record &record)
{
    return encodeMessage(record);
}

std::string encode(const ownership_record &record)
{
    return encodeMessage(record);
}

std::string encode(const quota_home_record &record)
{
    return encodeMessage(record);
}

std::string encode(const crash_record &record)
{
    return encodeMessage(record);
}

std::string encode(const service_versions_record &record)
{
    return encodeMessage(record);
}

std::string encode(const adapter_versions_record &record)
{
    return encodeMessage(record);
}

std::string encode(const stored_origins_record &record)
{
    return encodeMessage(record);
}

std::string encode(const relay_request &request)
{
    return encodeMessage(request);
}

std::string encode(const relay_part &part)
{
    return encodeMessage(part);
}

std::optional<relay_request> decodeRelayRequest(std::string_view bytes, error &why)
{
    return decodeExactly<relay_request>(bytes, why);
}

std::optional<relay_part> decodeRelayPart(std::string_view bytes, error &why)
{
    return decodeExactly<relay_part>(bytes, why);
}

std::optional<fleet_datagram> decodeFleetDatagram(std::string_view bytes, error &why)
{
    return decodeExactly<fleet_datagram>(bytes, why);
}

std::optional<store_update> decodeStoreUpdate(std::string_view bytes, error &why)
{
    std::uint32_t length = 0;
    if (bytes.size() < sizeof(length)) {
        why = {error_kind::BadFrame, "store update", "it is truncated"};
        return std::nullopt;
    }
    std::memcpy(&length, bytes.data(), sizeof(length));
    if (length > maxStoreUpdateBytes) {
        why = {error_kind::BadFrame, "store update", "its decompressed size exceeds the limit"};
        return std::nullopt;
    }
    std::string plain(length, '\0');
    uLongf size = length;
    const int status = uncompress(reinterpret_cast<Bytef *>(plain.data()), &size,
        reinterpret_cast<const Bytef *>(bytes.data() + sizeof(length)), bytes.size() - sizeof(length));
    if (status != Z_OK || size != length) {
        why = {error_kind::BadFrame, "store update", "it cannot be decompressed"};
        return std::nullopt;
    }
    return decodeExactly<store_update>(plain, why);
}

std::optional<daemon_record> decodeDaemonRecord(std::string_view bytes, error &why)
{
    return decodeExactly<daemon_record>(bytes, why);
}

std::optional<ownership_record> decodeOwnershipRecord(std::string_view bytes, error &why)
{
    return decodeExactly<ownership_record>(bytes, why);
}

std::optional<quota_home_record> decodeQuotaHomeRecord(std::string_view bytes, error &why)
{
    return decodeExactly<quota_home_record>(bytes, why);
}

std::optional<crash_record> decodeCrashRecord(std::string_view bytes, error &why)
{
    const auto withoutRank = decodeExactly<crash_record>(bytes, why);
    crash_record ranked;
    ranked.rank = 0; // any but contentRank, so that one is read
    return withoutRank ? withoutRank : decodeExactly(bytes, why, ranked);
}

std::optional<service_versions_record> decodeServiceVersions(std::string_view bytes, error &why)
{
    const auto withoutBase = decodeExactly<service_versions_record>(bytes, why);
    service_versions_record based;
    based.base = "?"; // any, so that one is read
    return withoutBase ? withoutBase : decodeExactly(bytes, why, based);
}

std::optional<adapter_versions_record> decodeAdapterVersions(std::string_view bytes, error &why)
{
    return decodeExactly<adapter_versions_record>(bytes, why);
}

std::optional<stored_origins_record> decodeStoredOrigins(std::string_view bytes, error &why)
{
    return decodeExactly<stored_origins_record>(bytes, why);
}

std::optional<peer_message> decodePeerMessage(std::string_view bytes, error &why)
{
    return decodeExactly<peer_message>(bytes, why);
}

std::optional<peer_datagram> decodePeerDatagram(std::string_view bytes, error &why)
{
    auto datagram = decodeExactly<peer_datagram>(bytes, why);
    if (datagram && !withinLimits(*datagram)) {
        why = {error_kind::BadFrame, "peer datagram",
            "a name is empty or too long, or there are too many facts or introductions"};
        return std::nullopt;
    }
    return datagram;
}

}

CEREAL_SETUP_ARCHIVE_TRAITS(briarhead::compact_reader, briarhead::compact_writer)
