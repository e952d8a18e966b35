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
constexpr std::size_t helloHeaderBytes = helloMagic.size() + 2 + sizeof(std::uint64_t) + nonceBytes;
constexpr unsigned bitsPerByte = 8;

std::string_view viewOf(const unsigned char *bytes, std::size_t size)
{
    return {reinterpret_cast<const char *>(bytes), size};
}

const unsigned char *bytesOf(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

// Integers are sent in little-endian byte order, independent of the machine.
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

// Compares in constant time, so that response times reveal nothing about the correct tag.
bool isTagEqual(const seal_tag &tag, std::string_view received)
{
    return received.size() == tag.size() && sodium_memcmp(tag.data(), received.data(), tag.size()) == 0;
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
    if (!isTagEqual(keyedHash<seal_tag>(keys.datagram, {bytes}), datagram.substr(0, sealTagBytes))) {
        return std::nullopt;
    }
    return bytes;
}

hello makeHello(const std::string &instance, std::uint64_t incarnation)
{
    hello message{instance, incarnation, {}};
    randombytes_buf(message.nonce.data(), message.nonce.size());
    return message;
}

std::string sealHello(const seal_keys &keys, const hello &message)
{
    std::string out(helloMagic);
    out.push_back(static_cast<char>(helloVersion));
    out.push_back(static_cast<char>(message.instance.size()));
    out += numberBytes(message.incarnation);
    out += viewOf(message.nonce.data(), message.nonce.size());
    out += message.instance;
    const auto tag = keyedHash<seal_tag>(keys.hello, {out});
    out += viewOf(tag.data(), tag.size());
    return out;
}

wire_state openHello(const seal_keys &keys, std::string_view buffer, hello &message, std::size_t &used)
{
    // Reject bytes that are no hello as soon as they differ from the magic, without waiting for a complete
    // hello.
    const std::size_t magicReceived = std::min(buffer.size(), helloMagic.size());
    if (buffer.substr(0, magicReceived) != helloMagic.substr(0, magicReceived)) {
        return wire_state::Bad;
    }
    if (buffer.size() < helloHeaderBytes) {
        return wire_state::Incomplete;
    }
    std::string_view rest = buffer.substr(helloMagic.size());
    const std::size_t nameSize = static_cast<unsigned char>(rest[1]);
    if (static_cast<unsigned char>(rest[0]) != helloVersion || nameSize == 0 || nameSize > maxNameBytes) {
        return wire_state::Bad;
    }
    const std::size_t taggedSize = helloHeaderBytes + nameSize;
    if (buffer.size() < taggedSize + sealTagBytes) {
        return wire_state::Incomplete;
    }
    const auto tag = keyedHash<seal_tag>(keys.hello, {buffer.substr(0, taggedSize)});
    if (!isTagEqual(tag, buffer.substr(taggedSize, sealTagBytes))) {
        return wire_state::Bad;
    }
    rest.remove_prefix(2);
    message.incarnation = numberOf<std::uint64_t>(rest);
    rest.remove_prefix(sizeof(std::uint64_t));
    std::copy_n(bytesOf(rest), nonceBytes, message.nonce.begin());
    message.instance = rest.substr(nonceBytes, nameSize);
    used = taggedSize + sealTagBytes;
    return wire_state::Ready;
}

seal_key directionKey(const seal_keys &keys, std::string_view senderHello, std::string_view receiverHello)
{
    // A hello contains its own length, so the concatenation of two is unambiguous.
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
    out.reserve(frameHeaderBytes + bytes.size());
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
    // The length is not authenticated before the whole frame has been received, so check its limit first.
    const std::size_t size = numberOf<std::uint32_t>(buffer);
    if (size > maxFrameBytes) {
        return wire_state::Bad;
    }
    if (buffer.size() < frameHeaderBytes + size) {
        return wire_state::Incomplete;
    }
    bytes = buffer.substr(frameHeaderBytes, size);
    if (!isTagEqual(frameTag(m_key, m_counter, bytes), buffer.substr(sizeof(std::uint32_t), sealTagBytes))) {
        return wire_state::Bad;
    }
    ++m_counter;
    used = frameHeaderBytes + size;
    return wire_state::Ready;
}

}
