#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarhead {

/// One header field, with the name as it was sent.
struct http_field
{
    std::string name;
    std::string value;
};

/// The start line and header fields of a message.
struct http_head
{
    std::string method; ///< of a request
    std::string target; ///< of a request, as sent: neither decoded nor normalised
    int status = 0; ///< of a response
    std::string reason; ///< of a response
    std::vector<http_field> fields;
};

inline bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

/// The value of the first field with this name, ignoring case; null if there is none.
const std::string *findField(const http_head &head, std::string_view name);
/// Compares two texts, ignoring the case of ASCII letters.
bool equalsIgnoreCase(std::string_view a, std::string_view b);

/// The kind of message that an http_reader parses.
enum class http_side : std::uint8_t
{
    Request,
    Response,
};

enum class read_state : std::uint8_t
{
    Head, ///< the head is incomplete
    Body, ///< the head is complete, the body is not
    Done,
    Invalid, ///< malformed or over a limit; see http_reader::fault()
};

enum class read_fault : std::uint8_t
{
    None,
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
};

/// Parses one HTTP/1.1 message from a byte stream with Boost.Beast's parser. Unlike libraries that own the
/// socket, it keeps the target as sent, leaves all bytes after the message to its user, and never sends
/// anything (such as a retry) by itself, which requests that may run only once depend on.
class http_reader
{
public:
    struct limits
    {
        std::uint32_t maxHeadBytes = 64 * 1024;
        std::uint64_t maxBodyBytes = 64ULL * 1024 * 1024;
    };

    http_reader(http_side side, limits bounds);
    ~http_reader();
    http_reader(http_reader &&) noexcept;
    http_reader &operator=(http_reader &&) noexcept;

    /// The response has no body whatever its head says, because it responds to a HEAD request.
    void expectNoBody();
    /// Parses bytes from the front of `bytes` and sets `used` to their number. Pass the rest again, followed
    /// by further bytes.
    read_state feed(std::string_view bytes, std::size_t &used);

    read_state state() const;
    read_fault fault() const;
    const http_head &head() const;
    /// Returns and removes the body bytes parsed since the last call.
    std::string takeBody();
    /// Whether the connection may carry another message after this one.
    bool keepsConnection() const;
    /// Whether the sender uses HTTP/1.0, which has no chunked encoding.
    bool isHttp10() const;
    /// The Content-Length, if the head has one.
    std::optional<std::uint64_t> bodyLength() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

}
