#include "protocol/codec.h"
#include "protocol/relay_messages.h"

namespace briarhead {

namespace {

constexpr std::size_t lengthBytes = 4;
constexpr unsigned bitsPerByte = 8;
/// Above the largest part: a block read from a server's connection, or a response head.
constexpr std::size_t maxPartBytes = 1024 * 1024;

}

std::string frame(const relay_part &part)
{
    const std::string body = encode(part);
    std::string bytes;
    bytes.reserve(lengthBytes + body.size());
    for (std::size_t i = lengthBytes; i-- > 0;) {
        bytes.push_back(static_cast<char>(body.size() >> (i * bitsPerByte)));
    }
    return bytes + body;
}

std::optional<relay_part> takePart(std::string &bytes, bool &valid)
{
    valid = true;
    if (bytes.size() < lengthBytes) {
        return std::nullopt;
    }
    std::size_t length = 0;
    for (std::size_t i = 0; i < lengthBytes; ++i) {
        length = (length << bitsPerByte) | static_cast<unsigned char>(bytes[i]);
    }
    if (length > maxPartBytes) {
        valid = false;
        return std::nullopt;
    }
    if (bytes.size() < lengthBytes + length) {
        return std::nullopt;
    }
    error why;
    auto part = decodeRelayPart(std::string_view(bytes).substr(lengthBytes, length), why);
    valid = part.has_value();
    bytes.erase(0, lengthBytes + length);
    return part;
}

}
