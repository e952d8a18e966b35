#pragma once

#include "coordination/server_notices.h"
#include "scheduling/backend_server.h"
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

/// A caller's request with its headers parsed.
struct client_request
{
    std::string id; ///< identifies one attempt by the caller; a retry has another id
    std::string host;
    std::string model; ///< empty for plain services
    std::string adapter; ///< empty: the base model alone
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0; ///< maximum length of the response
    bool countsTokens = false; ///< whether the caller announced its token counts
    /// keyHash() of the caller's API key; empty if it sent none. The key itself is not kept.
    std::string keyHash;
    std::optional<millis> deadline; ///< how long the caller waits, counted from arrival
    std::string lastEventId; ///< last event the caller received of a stream that it resumes
    /// The id of the attempt that brought the resumed stream's first event; empty if not stated.
    std::string resumes;
    /// The parts of the prompt that other requests may share, in order, at most maxPromptParts.
    std::vector<std::string> promptParts;
    bool unreadableParts = false; ///< the list of parts is malformed, and counts as none
    http_head head;
    std::string body;
};

/// Fields that are added to a request when it is sent to a server.
struct send_options
{
    std::string server; ///< id of the intended server; any other server rejects the request
    std::optional<millis> timeLeft; ///< until the response is due
    std::int64_t adapterVersion = 0; ///< the server rejects the request if it has another one; 0: any
    std::string lastEventId; ///< resume the stream after this event; empty: as the caller requested
    std::string account; ///< the caller's account; empty if it has none
};

/// What a server's response headers convey besides the status.
struct response_meta
{
    std::string requestId;
    bool signedByServer = false; ///< only responses with the server's signature are forwarded to callers
    bool notExecuted = false; ///< the server did not and will not run the request
    std::optional<double>
        limit; ///< requests/s that the server accepts from all daemons; empty if not announced
    /// The server is brittle: it crashes if it has to reject more requests than this in a second for want of
    /// room; empty if not announced.
    std::optional<std::int64_t> maxRejections;
    bool leaving = false; ///< the server announces that it is leaving
    /// The server rejected the request and asks this daemon to send nothing for so long; 0 if not announced.
    millis pause;
    std::string unreadable; ///< name of a notice field whose value can't be parsed; empty if none
};

/// Converts between requests, orders and reports and the platform's wire format. The functions are supplied
/// by the platform adapter.
struct request_codec
{
    std::function<std::optional<client_request>(front_request, error &)> readRequest;
    std::function<std::string(const client_request &, const send_options &)> writeRequest;
    std::function<response_meta(const http_head &)> readResponse;
    /// For responses to orders and report requests, which servers don't sign.
    std::function<response_meta(const http_head &)> readUnsignedResponse;
    /// The header fields of a server's response that are forwarded to the caller.
    std::function<std::vector<http_field>(const http_head &)> responseFields;
    std::function<std::string(const server_order &, const backend_server &)> writeOrder;
    std::function<order_result(int status)> readOrderResult;
    std::function<std::string(const backend_server &)> writeReportRequest;
    std::function<std::optional<server_report>(const std::string &body, error &)> readReport;
};

}
