#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

// A request that one daemon sends to a backend server through another, by HTTP on the port for peers. The
// daemon that accepted the request keeps all decisions about it; the other one is only its way to the server.
namespace briarhead {

/// The body of the HTTP request to the relaying daemon.
struct relay_request
{
    std::string id; ///< of the caller's request
    std::string server;
    std::string incarnation; ///< of the server, as known to the sender
    bool granted = false; ///< the sender has a slot or permit for the server
    bool noBody = false; ///< the response has no body (HEAD)
    std::int64_t timeLeftMs = 0; ///< the relaying daemon gives the request up after this time
    std::string bytes; ///< the complete request to the server

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, server, incarnation, granted, noBody, timeLeftMs, bytes);
    }
};

/// The head of the server's response.
struct relay_head
{
    std::int32_t status = 0;
    std::string reason;
    std::vector<std::pair<std::string, std::string>> fields;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(status, reason, fields);
    }
};

struct relay_body
{
    std::string bytes;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(bytes);
    }
};

/// The last part, for peers that don't know relay_response_end. Without a last part the outcome is unknown.
struct relay_end
{
    /// The server's response is complete. Builds without relay_response_end set it too if the response ended
    /// with its connection, in order.
    bool complete = false;
    std::string detail; ///< if it is not

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(complete, detail);
    }
};

/// The last part, for peers that announce relayEndsField: what is known about the end of the response.
struct relay_response_end
{
    std::uint8_t framing = 0; ///< a body_framing
    bool framingComplete = false;
    std::uint8_t connection = 0; ///< a connection_end
    std::string detail; ///< if the response is not known to be complete

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(framing, framingComplete, connection, detail);
    }
};

/// Header field of a relay_request whose sender understands relay_response_end.
inline const std::string relayEndsField = "Relay-Ends";

/// The response to a relay_request has status 200 and consists of these parts if the request may have reached
/// the server. Any other status means that the relaying daemon sent nothing.
using relay_part = std::variant<relay_head, relay_body, relay_end, relay_response_end>;

/// The status of a relay's response that has parts.
constexpr int relayedStatus = 200;
/// The status where the relaying daemon could not connect to the server.
constexpr int relayUnreachedStatus = 504;

/// A part with its length in front.
std::string frame(const relay_part &part);
/// Removes the first complete part from the front of `bytes`. Nothing if there is none yet, or if the bytes
/// are malformed; `valid` tells which.
std::optional<relay_part> takePart(std::string &bytes, bool &valid);

}
