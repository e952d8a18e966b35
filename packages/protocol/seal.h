#pragma once

#include "state/error.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// Authentication of everything between daemons: BLAKE2b tags under the key of the settings. Contents
// are not secret to the network; what matters is that no one else can have a request run or a peer
// declared dead.
namespace briarhead {

constexpr std::size_t sealKeyBytes = 32;
constexpr std::size_t sealTagBytes = 16;
constexpr std::size_t nonceBytes = 16;
constexpr std::size_t maxFrameBytes = 8 * 1024 * 1024; ///< of one message, without the frame's head
constexpr std::size_t frameHeadBytes = sizeof(std::uint32_t) + sealTagBytes;

using seal_key = std::array<unsigned char, sealKeyBytes>;

/// The keys derived from the one in the settings, one for each use.
struct seal_keys
{
    seal_key datagram;
    seal_key hello;
    seal_key link;
};

/// From the hex text in the settings.
std::optional<seal_keys> parseSealKeys(std::string_view hex, error &why);

/// tag || bytes.
std::string sealDatagram(const seal_keys &keys, std::string_view bytes);
/// The bytes, or nothing where the tag isn't right.
std::optional<std::string_view> openDatagram(const seal_keys &keys, std::string_view datagram);

/// What each side of a connection says first.
struct hello
{
    std::string instance;
    std::uint64_t incarnation = 0;
    std::array<unsigned char, nonceBytes> nonce{};
};

/// A hello with a fresh nonce.
hello makeHello(const std::string &instance, std::uint64_t incarnation);
/// magic | version | length of name | incarnation | nonce | name | tag.
std::string sealHello(const seal_keys &keys, const hello &said);

/// What stands at the head of a receive buffer.
enum class wire_state : std::uint8_t
{
    Incomplete,
    Ready,
    Bad,
};

/// Reads the hello at the head of `buffer`; `used` gets its length.
wire_state openHello(const seal_keys &keys, std::string_view buffer, hello &said, std::size_t &used);

/// The key of one direction of a connection: bound to both sealed hellos, thereby to both names,
/// incarnations and nonces, so that no frame is good on another connection or in the other direction.
seal_key directionKey(const seal_keys &keys, std::string_view senderHello, std::string_view receiverHello);

/// Seals the frames of one direction: u32 length | tag over (counter, bytes) | bytes. The counter is
/// not sent; a frame that is repeated, left out or moved has the wrong one.
class frame_sealer
{
public:
    explicit frame_sealer(const seal_key &key);
    /// `bytes` is at most maxFrameBytes long.
    std::string seal(std::string_view bytes);

private:
    seal_key m_key;
    std::uint64_t m_counter = 0;
};

/// Opens what the other side's frame_sealer made.
class frame_opener
{
public:
    explicit frame_opener(const seal_key &key);
    /// Reads the frame at the head of `buffer`; `bytes` is its content, within `buffer`, and `used` its
    /// length with its head. Bad is final: the connection must be closed.
    wire_state open(std::string_view buffer, std::string_view &bytes, std::size_t &used);

private:
    seal_key m_key;
    std::uint64_t m_counter = 0;
};

}
