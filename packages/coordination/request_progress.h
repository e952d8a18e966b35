#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

// Where a request stands, which servers may have run it, and what its caller has of the response. Decides
// whether the request may be sent to another server, and whether its caller may be told that it has not run.
namespace briarhead {

/// Where a request stands. While it is Sent or CheckingEnd, a server may be working on it.
enum class request_stage : std::uint8_t
{
    Choosing, ///< no server is chosen: it is being admitted, or waits for units, heartbeats or a probe
    AwaitingSlot, ///< a slot or permit was requested from the owner of the chosen server
    AwaitingUnits, ///< units of the account's limit are being acquired for the chosen server
    Sent,
    CheckingEnd, ///< its response has ended; whether a crash of the server cut it off is being checked
    Judged, ///< the result of its latest send is known, and it may be sent to another server
    Finished, ///< the caller has the final response, or has disconnected
};

constexpr request_stage lastOf(request_stage)
{
    return request_stage::Finished;
}

/// The name used in logs.
std::string_view nameOf(request_stage value);

/// How a request may be repeated although a server may have run it.
enum class repeatability : std::uint8_t
{
    Never,
    AfterLastEvent, ///< as a stream that continues after the last event its caller has received
    Always,
};

/// What the caller has of the response.
enum class caller_content : std::uint8_t
{
    Nothing,
    Events, ///< the head of an event stream, and whole events that another server can continue after
    OneServersBytes, ///< a head and bytes that only the same server can continue
};

/// Which servers a request has been sent to, where it stands, and what its caller has.
struct request_progress
{
    request_stage stage = request_stage::Choosing;
    caller_content callerHas = caller_content::Nothing; ///< only grows
    std::set<std::string> sentTo; ///< servers that any byte of it may have reached
    std::set<std::string> mayHaveRunOn; ///< of those, the ones that may have run it, at least partly
};

/// Why a request may not be sent to a server.
enum class send_objection : std::uint8_t
{
    None,
    InProgress, ///< a server may be working on it, or it has ended
    CallerHasBytes, ///< its caller has bytes that no other server can continue
    MayHaveRun, ///< it may have run, and may not be repeated
    ServersUsedUp, ///< it has been sent to as many servers as its route allows
    SameServer, ///< it has been sent to this server before
};

constexpr send_objection lastOf(send_objection)
{
    return send_objection::SameServer;
}

std::string_view nameOf(send_objection value);

/// Whether a request may go from one stage to the other.
bool mayChange(request_stage from, request_stage to);
/// Changes the stage. Returns false and leaves it as it is if the change is not allowed.
bool changeStage(request_progress &progress, request_stage next);
/// Whether a server may be working on the request.
bool isAtServer(const request_progress &progress);
/// Whether a server is yet to be found for the request: the latest one has no part in it any more.
bool isBeforeSend(const request_progress &progress);

/// Records that bytes of the request may leave for the server from now on. Until the contrary is proven, the
/// server may have run it.
void recordSend(request_progress &progress, const std::string &server);
/// Records the proof that no byte of the request has reached the server.
void recordNotSent(request_progress &progress, const std::string &server);
/// Records the server's own statement that it has not run the request and will not.
void recordNotRun(request_progress &progress, const std::string &server);

/// Records what the caller is about to receive. What it has can't be taken back.
void recordForwarded(request_progress &progress, caller_content content);
/// Whether another server could continue the response, or begin it, as far as the caller can tell.
bool canBeContinued(const request_progress &progress, repeatability repeats);
/// Whether the request may be repeated if the outcome of its latest send is unknown.
bool mayRepeat(const request_progress &progress, repeatability repeats);
/// Whether any server may have run the request. Its caller must not be told otherwise.
bool mayHaveRun(const request_progress &progress);
/// Whether the route's limit on servers per request allows another one.
bool mayTryAnotherServer(const request_progress &progress, int maxServers);
/// What speaks against looking for another server for the request.
send_objection objectionToSend(const request_progress &progress, repeatability repeats, int maxServers);
/// The same for a send to a certain server.
send_objection objectionToSend(
    const request_progress &progress, repeatability repeats, int maxServers, const std::string &server);

}
