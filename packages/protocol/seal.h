#pragma once

#include "state/error.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// Authentication of all messages between daemons, by BLAKE2b tags under keys derived from the peer key of the
// settings. Messages are not encrypted: the network may read them, but no one without the key can have a
// request run or a peer declared dead. To seal a message is to add its tag, to open it is to verify and
// remove the tag.
namespace briarhead {

constexpr std::size_t sealKeyBytes = 32;
constexpr std::size_t sealTagBytes = 16;
constexpr std::size_t nonceBytes = 16;
constexpr std::size_t maxFrameBytes = 8 * 1024 * 1024; ///< of one message, without the frame's header
constexpr std::size_t frameHeaderBytes = sizeof(std::uint32_t) + sealTagBytes;

using seal_key = std::array<unsigned char, sealKeyBytes>;

/// The keys that are derived from the one in the settings, one for each use.
struct seal_keys
{
    seal_key datagram;
    seal_key hello;
    seal_key link; ///< from which the key of each connection is derived, see directionKey()
};

/// Derives the keys from the hex text in the settings.
std::optional<seal_keys> parseSealKeys(std::string_view hex, error &why);

/// Returns tag || bytes.
std::string sealDatagram(const seal_keys &keys, std::string_view bytes);
/// Returns the bytes, or nothing if the tag is wrong.
std::optional<std::string_view> openDatagram(const seal_keys &keys, std::string_view datagram);

/// The first message from each side of a connection.
struct hello
{
    std::string instance; ///< the sender's name
    std::uint64_t incarnation = 0; ///< of the sender
    std::array<unsigned char, nonceBytes> nonce{};
};

/// Returns a hello with a new random nonce.
hello makeHello(const std::string &instance, std::uint64_t incarnation);
/// Returns magic | version | length of name | incarnation | nonce | name | tag.
std::string sealHello(const seal_keys &keys, const hello &message);

/// The state of the data at the start of a receive buffer.
enum class wire_state : std::uint8_t
{
    Incomplete, ///< more bytes are needed
    Ready, ///< a complete, authentic message
    Bad, ///< not authentic or malformed
};

/// Reads the hello at the start of `buffer`. If Ready, `used` is set to its length.
wire_state openHello(const seal_keys &keys, std::string_view buffer, hello &message, std::size_t &used);

/// The key for one direction of a connection. It is derived from both sealed hellos, and thereby from both
/// names, incarnations and nonces, so that no frame is valid on another connection or in the other direction.
seal_key directionKey(const seal_keys &keys, std::string_view senderHello, std::string_view receiverHello);

/// Seals the frames of one direction as u32 length | tag over (counter, bytes) | bytes. The counter is not
/// sent, so the tag does not match if a frame is replayed, dropped or reordered.
class frame_sealer
{
public:
    explicit frame_sealer(const seal_key &key);
    /// `bytes` must not be longer than maxFrameBytes.
    std::string seal(std::string_view bytes);

private:
    seal_key m_key;
    std::uint64_t m_counter = 0;
};

/// Opens the frames that the frame_sealer of the other side sealed.
class frame_opener
{
public:
    explicit frame_opener(const seal_key &key);
    /// Opens the frame at the start of `buffer`. If Ready, `bytes` is set to its content, a view into
    /// `buffer`, and `used` to its length with the header. After Bad the connection must be closed.
    wire_state open(std::string_view buffer, std::string_view &bytes, std::size_t &used);

private:
    seal_key m_key;
    std::uint64_t m_counter = 0;
};

}
