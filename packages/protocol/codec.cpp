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
constexpr unsigned varintMore = 0x80;
constexpr unsigned bitsPerByte = 8;
/// More than the store holds for a deployment of the largest size known.
constexpr std::uint32_t maxNewsBytes = 64 * 1024 * 1024;

[[noreturn]] void refuse(const char *what)
{
    throw cereal::Exception(what);
}

// Small negative numbers become small positive ones, so that they take few bytes as well.
std::uint64_t zigzag(std::int64_t value)
{
    return (static_cast<std::uint64_t>(value) << 1) ^ static_cast<std::uint64_t>(value >> 63);
}

std::int64_t unzigzag(std::uint64_t value)
{
    return static_cast<std::int64_t>(value >> 1) ^ -static_cast<std::int64_t>(value & 1);
}

/// Writes to a string; integers as base-128 varints.
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
        for (; value >= varintMore; value >>= bitsPerVarintByte) {
            m_out.push_back(static_cast<char>(value | varintMore));
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

/// Reads what compact_writer wrote; throws cereal::Exception at the first byte that can't be right.
class compact_reader : public cereal::InputArchive<compact_reader, cereal::AllowEmptyClassElision>
{
public:
    explicit compact_reader(std::string_view in)
        : InputArchive(this)
        , m_in(in)
    {
    }

    std::size_t left() const
    {
        return m_in.size();
    }

    std::string_view bytes(std::size_t size)
    {
        if (size > m_in.size()) {
            refuse("it ends too early");
        }
        const std::string_view taken = m_in.substr(0, size);
        m_in.remove_prefix(size);
        return taken;
    }

    std::uint64_t varint()
    {
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift < std::numeric_limits<std::uint64_t>::digits;
             shift += bitsPerVarintByte) {
            const auto byte = static_cast<unsigned char>(bytes(1).front());
            const std::uint64_t bits = byte & (varintMore - 1);
            if ((bits << shift) >> shift != bits) {
                break;
            }
            value |= bits << shift;
            if ((byte & varintMore) == 0) {
                return value;
            }
        }
        refuse("a number is too large");
    }

private:
    std::string_view m_in;
};

// The functions below are found by cereal through the archives' namespace.

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
            refuse("a number is out of range");
        }
        value = static_cast<number>(unzigzag(raw));
    } else {
        if (raw > std::numeric_limits<number>::max()) {
            refuse("a number is out of range");
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

// The last enumerator of each enumeration on the wire, those of fleet_messages.h there. A value past it comes
// from another release or from corruption; taken in, it would index tables of names past their end and match
// no case of a switch.
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
        refuse("a value is unknown");
    }
    value = static_cast<enumeration>(raw);
}

// A length that was corrupted, or made up, would have cereal's own loaders resize to gigabytes before
// they miss the bytes. A text therefore never gets longer than what is left, and a list, whose elements
// can be larger in memory than on the wire, is bounded as well and grows only as elements are read.
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
    for (const element &each : list) {
        archive(each);
    }
}

template <class element>
void load(compact_reader &archive, std::vector<element> &list)
{
    const std::uint64_t size = archive.varint();
    if (size > archive.left() || size > maxListElements) {
        refuse("a list is too long");
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

// cereal would write an enumerator as its number and take any number back; ours check it.
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
std::string encodeAny(const message_type &message)
{
    std::string out;
    compact_writer archive(out);
    archive(message);
    return out;
}

template <class message_type>
std::optional<message_type> decodeAny(std::string_view bytes, error &why)
{
    try {
        std::optional<message_type> message(std::in_place);
        compact_reader archive(bytes);
        archive(*message);
        if (archive.left() == 0) {
            return message;
        }
        why = {error_kind::BadFrame, "peer message", "bytes are left over at its end"};
    } catch (const std::exception &caught) {
        why = {error_kind::BadFrame, "peer message", caught.what()};
    }
    return std::nullopt;
}

bool longName(const std::string &name)
{
    return name.empty() || name.size() > maxNameBytes;
}

bool withinLimits(const peer_datagram &datagram)
{
    for (const peer_fact &fact : datagram.facts) {
        if (longName(fact.name)) {
            return false;
        }
    }
    for (const peer_introduction &introduction : datagram.introductions) {
        if (longName(introduction.name) || introduction.failureDomain.size() > maxNameBytes) {
            return false;
        }
    }
    return !longName(datagram.from) && datagram.facts.size() <= maxFactsPerDatagram
        && datagram.introductions.size() <= maxIntroductionsPerDatagram;
}

}

std::string encode(const peer_message &message)
{
    return encodeAny(message);
}

std::string encode(const peer_datagram &datagram)
{
    return encodeAny(datagram);
}

std::string encode(const fleet_datagram &datagram)
{
    return encodeAny(datagram);
}

std::string encode(const store_update &news)
{
    const std::string plain = encodeAny(news);
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
    return encodeAny(record);
}

std::string encode(const ownership_record &record)
{
    return encodeAny(record);
}

std::string encode(const quota_home_record &record)
{
    return encodeAny(record);
}

std::string encode(const crash_record &record)
{
    return encodeAny(record);
}

std::optional<fleet_datagram> decodeFleetDatagram(std::string_view bytes, error &why)
{
    return decodeAny<fleet_datagram>(bytes, why);
}

std::optional<store_update> decodeStoreUpdate(std::string_view bytes, error &why)
{
    std::uint32_t length = 0;
    if (bytes.size() < sizeof(length)) {
        why = {error_kind::BadFrame, "store news", "it ends too early"};
        return std::nullopt;
    }
    std::memcpy(&length, bytes.data(), sizeof(length));
    if (length > maxNewsBytes) {
        why = {error_kind::BadFrame, "store news", "it is too long"};
        return std::nullopt;
    }
    std::string plain(length, '\0');
    uLongf size = length;
    const int failed = uncompress(reinterpret_cast<Bytef *>(plain.data()), &size,
        reinterpret_cast<const Bytef *>(bytes.data() + sizeof(length)), bytes.size() - sizeof(length));
    if (failed != Z_OK || size != length) {
        why = {error_kind::BadFrame, "store news", "it does not unpack"};
        return std::nullopt;
    }
    return decodeAny<store_update>(plain, why);
}

std::optional<daemon_record> decodeDaemonRecord(std::string_view bytes, error &why)
{
    return decodeAny<daemon_record>(bytes, why);
}

std::optional<ownership_record> decodeOwnershipRecord(std::string_view bytes, error &why)
{
    return decodeAny<ownership_record>(bytes, why);
}

std::optional<quota_home_record> decodeQuotaHomeRecord(std::string_view bytes, error &why)
{
    return decodeAny<quota_home_record>(bytes, why);
}

std::optional<crash_record> decodeCrashRecord(std::string_view bytes, error &why)
{
    return decodeAny<crash_record>(bytes, why);
}

std::optional<peer_message> decodePeerMessage(std::string_view bytes, error &why)
{
    return decodeAny<peer_message>(bytes, why);
}

std::optional<peer_datagram> decodePeerDatagram(std::string_view bytes, error &why)
{
    auto datagram = decodeAny<peer_datagram>(bytes, why);
    if (datagram && !withinLimits(*datagram)) {
        why = {error_kind::BadFrame, "peer datagram", "a name is missing or too long, or it holds too much"};
        return std::nullopt;
    }
    return datagram;
}

}

CEREAL_SETUP_ARCHIVE_TRAITS(briarhead::compact_reader, briarhead::compact_writer)
