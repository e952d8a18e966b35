#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarhead {

/// One header line, the name as it was sent.
struct http_field
{
    std::string name;
    std::string value;
};

/// All of a message but its body.
struct http_head
{
    std::string method; ///< of a request
    std::string target; ///< of a request, as sent: neither decoded nor normalised
    int status = 0; ///< of an answer
    std::string reason; ///< of an answer
    std::vector<http_field> fields;
};

/// The value of the first field of that name in any case, or null.
const std::string *findField(const http_head &head, std::string_view name);
/// Whether `a` and `b` are the same but for the case of ASCII letters.
bool equalsIgnoreCase(std::string_view a, std::string_view b);

enum class http_side : std::uint8_t
{
    Request,
    Response,
};

enum class read_state : std::uint8_t
{
    Head, ///< the head is still coming in
    Body, ///< the head is there, the body is coming in
    Done,
    Invalid, ///< no HTTP message, or over a limit; `fault` says which
};

enum class read_fault : std::uint8_t
{
    None,
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
};

/// Reads one HTTP/1.1 message off a byte stream, by Boost.Beast's parser. Unlike the libraries that own the
/// socket, it leaves the target as sent, shows each byte after the message to the caller, and never sends
/// anything by itself, which what may run only once depends on.
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

    /// The answer that follows has no body whatever its head says (it answers a HEAD request).
    void expectNoBody();
    /// Takes bytes from the front of `bytes`; `used` gets how many. The rest is to be offered again, with
    /// more behind it.
    read_state feed(std::string_view bytes, std::size_t &used);
    /// The stream has ended in order. True if that completes the message (one without a length).
    bool finishAtEof();

    read_state state() const;
    read_fault fault() const;
    const http_head &head() const;
    /// The body bytes since the last call.
    std::string takeBody();
    /// Whether the connection may carry another message after this one.
    bool keepsConnection() const;
    /// Whether the sender speaks HTTP/1.0, which knows no chunks.
    bool isHttp10() const;
    /// The body's length where the head tells it.
    std::optional<std::uint64_t> bodyLength() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

}
