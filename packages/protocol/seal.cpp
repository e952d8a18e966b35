#include "protocol/seal.h"

#include "state/config.h"

#include <sodium.h>

#include <algorithm>
#include <initializer_list>

namespace briarhead {

namespace {

using seal_tag = std::array<unsigned char, sealTagBytes>;

constexpr std::string_view helloMagic = "BRHD";
constexpr unsigned char helloVersion = 1;
constexpr std::size_t helloHeadBytes = helloMagic.size() + 2 + sizeof(std::uint64_t) + nonceBytes;
constexpr unsigned bitsPerByte = 8;

std::string_view viewOf(const unsigned char *bytes, std::size_t size)
{
    return {reinterpret_cast<const char *>(bytes), size};
}

const unsigned char *bytesOf(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

// Little-endian on the wire, whatever the machine.
template <class number>
std::string numberBytes(number value)
{
    std::string out;
    for (std::size_t i = 0; i < sizeof(number); ++i) {
        out.push_back(static_cast<char>(value >> (bitsPerByte * i)));
    }
    return out;
}

template <class number>
number numberOf(std::string_view bytes)
{
    number value = 0;
    for (std::size_t i = 0; i < sizeof(number); ++i) {
        value |= static_cast<number>(static_cast<unsigned char>(bytes[i])) << (bitsPerByte * i);
    }
    return value;
}

template <class digest>
digest keyedHash(const seal_key &key, std::initializer_list<std::string_view> parts)
{
    digest out;
    crypto_generichash_state state;
    crypto_generichash_init(&state, key.data(), key.size(), out.size());
    for (const std::string_view part : parts) {
        crypto_generichash_update(&state, bytesOf(part), part.size());
    }
    crypto_generichash_final(&state, out.data(), out.size());
    return out;
}

// In constant time, so that an answer's delay tells nothing of the right tag.
bool sameTag(const seal_tag &tag, std::string_view sent)
{
    return sent.size() == tag.size() && sodium_memcmp(tag.data(), sent.data(), tag.size()) == 0;
}

seal_tag frameTag(const seal_key &key, std::uint64_t counter, std::string_view bytes)
{
    return keyedHash<seal_tag>(key, {numberBytes(counter), bytes});
}

}

std::optional<seal_keys> parseSealKeys(std::string_view hex, error &why)
{
    seal_key master;
    std::size_t size = 0;
    const bool isHex = sodium_init() >= 0
        && sodium_hex2bin(master.data(), master.size(), hex.data(), hex.size(), nullptr, &size, nullptr) == 0;
    if (!isHex || size != master.size() || hex.size() != 2 * master.size()) {
        why = {error_kind::BadSettings, "peer key", "it is not 64 hexadecimal digits"};
        return std::nullopt;
    }
    return seal_keys{keyedHash<seal_key>(master, {"briarhead datagram 1"}),
        keyedHash<seal_key>(master, {"briarhead hello 1"}),
        keyedHash<seal_key>(master, {"briarhead link 1"})};
}

std::string sealDatagram(const seal_keys &keys, std::string_view bytes)
{
    const auto tag = keyedHash<seal_tag>(keys.datagram, {bytes});
    std::string out(viewOf(tag.data(), tag.size()));
    out += bytes;
    return out;
}

std::optional<std::string_view> openDatagram(const seal_keys &keys, std::string_view datagram)
{
    if (datagram.size() < sealTagBytes) {
        return std::nullopt;
    }
    const std::string_view bytes = datagram.substr(sealTagBytes);
    if (!sameTag(keyedHash<seal_tag>(keys.datagram, {bytes}), datagram.substr(0, sealTagBytes))) {
        return std::nullopt;
    }
    return bytes;
}

hello makeHello(const std::string &instance, std::uint64_t incarnation)
{
    hello said{instance, incarnation, {}};
    randombytes_buf(said.nonce.data(), said.nonce.size());
    return said;
}

std::string sealHello(const seal_keys &keys, const hello &said)
{
    std::string out(helloMagic);
    out.push_back(static_cast<char>(helloVersion));
    out.push_back(static_cast<char>(said.instance.size()));
    out += numberBytes(said.incarnation);
    out += viewOf(said.nonce.data(), said.nonce.size());
    out += said.instance;
    const auto tag = keyedHash<seal_tag>(keys.hello, {out});
    out += viewOf(tag.data(), tag.size());
    return out;
}

wire_state openHello(const seal_keys &keys, std::string_view buffer, hello &said, std::size_t &used)
{
    // A stranger's first bytes are refused as soon as they differ, not when a whole hello is there.
    const std::size_t magicSeen = std::min(buffer.size(), helloMagic.size());
    if (buffer.substr(0, magicSeen) != helloMagic.substr(0, magicSeen)) {
        return wire_state::Bad;
    }
    if (buffer.size() < helloHeadBytes) {
        return wire_state::Incomplete;
    }
    std::string_view rest = buffer.substr(helloMagic.size());
    const std::size_t nameSize = static_cast<unsigned char>(rest[1]);
    if (static_cast<unsigned char>(rest[0]) != helloVersion || nameSize == 0 || nameSize > maxNameBytes) {
        return wire_state::Bad;
    }
    const std::size_t taggedSize = helloHeadBytes + nameSize;
    if (buffer.size() < taggedSize + sealTagBytes) {
        return wire_state::Incomplete;
    }
    const auto tag = keyedHash<seal_tag>(keys.hello, {buffer.substr(0, taggedSize)});
    if (!sameTag(tag, buffer.substr(taggedSize, sealTagBytes))) {
        return wire_state::Bad;
    }
    rest.remove_prefix(2);
    said.incarnation = numberOf<std::uint64_t>(rest);
    rest.remove_prefix(sizeof(std::uint64_t));
    std::copy_n(bytesOf(rest), nonceBytes, said.nonce.begin());
    said.instance = rest.substr(nonceBytes, nameSize);
    used = taggedSize + sealTagBytes;
    return wire_state::Ready;
}

seal_key directionKey(const seal_keys &keys, std::string_view senderHello, std::string_view receiverHello)
{
    // A hello says its own length, so that two of them joined can be split in one way only.
    return keyedHash<seal_key>(keys.link, {senderHello, receiverHello});
}

frame_sealer::frame_sealer(const seal_key &key)
    : m_key(key)
{
}

std::string frame_sealer::seal(std::string_view bytes)
{
    const seal_tag tag = frameTag(m_key, m_counter++, bytes);
    std::string out;
    out.reserve(frameHeadBytes + bytes.size());
    out += numberBytes(static_cast<std::uint32_t>(bytes.size()));
    out += viewOf(tag.data(), tag.size());
    out += bytes;
    return out;
}

frame_opener::frame_opener(const seal_key &key)
    : m_key(key)
{
}

wire_state frame_opener::open(std::string_view buffer, std::string_view &bytes, std::size_t &used)
{
    if (buffer.size() < sizeof(std::uint32_t)) {
        return wire_state::Incomplete;
    }
    // The length comes before the tag that covers the frame, so it is bounded before it is believed.
    const std::size_t size = numberOf<std::uint32_t>(buffer);
    if (size > maxFrameBytes) {
        return wire_state::Bad;
    }
    if (buffer.size() < frameHeadBytes + size) {
        return wire_state::Incomplete;
    }
    bytes = buffer.substr(frameHeadBytes, size);
    if (!sameTag(frameTag(m_key, m_counter, bytes), buffer.substr(sizeof(std::uint32_t), sealTagBytes))) {
        return wire_state::Bad;
    }
    ++m_counter;
    used = frameHeadBytes + size;
    return wire_state::Ready;
}

}
