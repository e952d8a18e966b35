#pragma once

#include "coordination/server_words.h"
#include "serving/backend_server.h"
#include "state/clock.h"
#include "state/error.h"
#include "transport/front_server.h"
#include "transport/http_wire.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace briarhead {

/// A caller's request, its headers read once.
struct client_request
{
    std::string id; ///< of this attempt of the caller
    std::string host;
    std::string model; ///< empty for plain services
    std::string adapter; ///< empty: the base model alone
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0; ///< at most
    bool countsTokens = false; ///< it says how many tokens it has
    std::string
        keyHash; ///< keyHash() of the caller's key; empty: it sent none. The key itself is in no field
    std::optional<millis> deadline; ///< how long the caller waits, from arrival
    std::string lastEventId; ///< the caller resumes a stream after this event
    http_head head;
    std::string body;
};

/// What is added when a request is sent to a server.
struct send_options
{
    std::string server; ///< any other refuses it
    std::optional<millis> timeLeft; ///< time that is left for the answer
    std::int64_t adapterVersion = 0; ///< another version is refused; 0: any
    std::string lastEventId; ///< go on after this event; empty: as the caller said
    std::string account; ///< that the caller's key belongs to; empty: none
};

/// What a server's answer says besides its status.
struct response_meta
{
    std::string requestId;
    bool signedByServer = false; ///< carries the server's signature; only such an answer is passed on
    bool notExecuted = false; ///< the server did not and will not run the request
    std::optional<double>
        limit; ///< requests a second that the server takes from all daemons; none: not named
    bool leaving = false; ///< the server says that it leaves
    millis pause; ///< for which the server, which took nothing, wants nothing from this daemon; 0: not said
    std::string unreadable; ///< a field in which it says something of itself that can't be read; empty: none
};

/// Translates between requests and what the platform's callers and servers write. Filled by its adapter.
struct request_codec
{
    std::function<std::optional<client_request>(front_request, error &)> readRequest;
    std::function<std::string(const client_request &, const send_options &)> writeRequest;
    std::function<response_meta(const http_head &)> readResponse;
    /// Of the answer to an order or a question for a report, which servers don't sign.
    std::function<response_meta(const http_head &)> readUnsignedResponse;
    /// The fields of a server's answer that go to the caller.
    std::function<std::vector<http_field>(const http_head &)> responseFields;
    std::function<std::string(const server_order &, const backend_server &)> writeOrder;
    std::function<order_result(int status)> readOrderResult;
    std::function<std::string(const backend_server &)> writeReportRequest;
    std::function<std::optional<server_report>(const std::string &body, error &)> readReport;
};

}
