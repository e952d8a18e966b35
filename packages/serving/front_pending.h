#pragma once

#include "coordination/request_progress.h"
#include "coordination/responding_time.h"
#include "serving/fleet_send.h"
#include "serving/front_task.h"

// Private to the sources of front_task: the state of a request, and the constants that several sources use.
namespace briarhead {

/// Retry-After where the cause is transient and its duration unknown.
constexpr millis retryAfterTransient{300};
/// Retry-After where another instance can serve the request at once.
constexpr millis retryAfterOtherInstance{50};
/// How long a request waits for the first configuration, or for the first heartbeats after a start or a
/// change of owner, and how often it checks for them.
constexpr millis startupMaxWait{600};
constexpr millis startupPollInterval{40};
/// Retry-After while all servers are leaving. Their replacements are listed within a few seconds.
constexpr millis retryAfterAllLeaving{1'000};
/// An owner that didn't respond to a permit request is not asked again for this long, unless its heartbeats
/// report the limit.
constexpr millis unresponsiveOwnerBackoff{2'000};
/// The status of a server that lacks the adapter, or has another address's request.
constexpr int misdirectedStatus = 421;
/// A server that has been silent for less than this is never considered unresponsive.
constexpr millis minServerSilence{1'000};

/// Lengthens a Retry-After time by a fraction that depends on the request id, so that callers refused at the
/// same time don't return at the same time.
millis withJitter(millis wait, const std::string &requestId);

/// One choice of a server for a request: the slot request, the send and its response. Made anew for each.
struct front_task::server_attempt
{
    std::uint64_t number = 0; ///< counts the attempts of this process; 0: none was made
    std::string server;
    std::string owner; ///< node that the slot was requested from; empty if none was
    int slotRequestsSent = 0;
    bool granted = false; ///< the slot or permit has been granted
    std::int64_t adapterVersion = 0; ///< resident version according to the grant; 0 if unknown
    millis slotRequestedAt;
    millis slotWait; ///< from the slot request to the grant
    std::shared_ptr<void> slotRequestTimer;

    // The send, from stage Sent on.
    server_path_task::send_id sendId = 0;
    crash_target target; ///< server and incarnation
    std::string softwareVersion; ///< of the server
    std::int64_t startedAtMs = 0; ///< of the server, as in backend_server
    double unitsSpent = 0;
    millis sentAt;
    bool isTimed = false; ///< it counts towards its plain server's response times
    std::shared_ptr<void> inactivityTimer;

    // The response.
    http_head head;
    response_meta meta;
    /// A resumed response, held back until its server has confirmed that it hasn't restarted.
    struct held_response
    {
        std::string body;
        std::optional<std::pair<response_end, error>> end; ///< once it has ended
    };
    std::optional<held_response> held;
    std::shared_ptr<void> confirmTimer;
    std::string body; ///< held back, so that another server's response can replace it
    std::size_t discardedBytes = 0; ///< of a response that no caller gets
    std::size_t heldBytes = 0; ///< as counted in m_heldBytes
    bool streaming = false; ///< events are forwarded to the caller as they arrive
    bool firstEventReceived = false;
    millis lastProgressAt; ///< when the server last sent an event, or any byte of a plain response
    millis promptReadTime{-1}; ///< from the send to its first event; negative before
    responding_time responding; ///< from its first event on
    std::size_t restBytes = 0; ///< of an incomplete event, when the response ended

    // The end of the response.
    response_end end; ///< as known so far, while its server's process is checked
    error endReason;
    std::shared_ptr<void> processTimer; ///< until the server's process is checked
    bool serverSurvived = false; ///< its process was there after the end of an unframed response
    send_result result = send_result::Broken; ///< once the attempt is judged
};

/// A response that was held back until its end was known.
struct front_task::server_response
{
    http_head head;
    std::string body;
    send_result result = send_result::Complete; ///< or Unknown
};

/// The state of a caller's request from its arrival to the end of its response.
struct front_task::pending_request
{
    std::string number; ///< unique within this process; request ids may not be
    client_request request;
    request_attributes attributes; ///< the content first
    std::shared_ptr<front_reply> reply;
    std::shared_ptr<const serving_config> config; ///< in force at arrival
    const route *matchedRoute = nullptr; ///< in `config`
    const client_account *account = nullptr; ///< in `config`; null if the caller has no account
    std::uint64_t accountId = 0; ///< accountHash() of the account's name
    double cost = 0; ///< units of the account's limit; 0 if the account has no limit
    double unitsHeld = 0; ///< units acquired but not yet spent on a send
    millis unitsAcquiredAt;
    std::uint64_t quotaWaitId = 0; ///< quota_task's id of the wait for units; 0 if not waiting
    std::string service;
    bool usesModelServer = false; ///< needs a slot on a model server
    millis arrived;
    millis deadlineAt;

    request_progress progress; ///< its stage is changed by front_task::setStage() alone
    server_attempt attempt; ///< the latest
    std::optional<server_response> fallback; ///< a server's failure, in case no other server can be found
    std::shared_ptr<void> retryTimer; ///< until the next look for a server
    std::set<std::string> excludedServers; ///< servers that must not be tried (again)
    int unsentCount = 0; ///< sends that failed before anything was sent
    int serversTried = 0; ///< servers that a slot or permit was requested for
    millis shortestRetryAfter{-1}; ///< shortest of all refusals so far; negative if there were none
    bool isProbe = false; ///< blocked, but sent to a server to find out whether it still crashes servers

    /// Where the stream began: set once its first event has gone to the caller, or if the caller takes it up.
    std::optional<stream_origin> origin;
    bool versionUncertain = false; ///< its server's version changed while the first event came
    event_stream eventStream; ///< of all servers' responses
    std::uint64_t headAttempt = 0; ///< number of the attempt whose head the caller has; 0: none
    body_framing callerFraming = body_framing::Chunked; ///< of the response to the caller
    millis firstEventDelay{-1}; ///< from arrival to the first event; negative before
    millis longestEventGap; ///< longest time between two chunks from a server
    std::shared_ptr<void> deadlineTimer;
};

/// Sends a message to a server's owner, which may be this daemon.
template <class message_type>
void front_task::sendToOwner(const std::string &owner, const message_type &message)
{
    deliverToNode(m_loop, *m_port, m_store, m_settings.node, owner, message, [this](const message_type &own) {
        m_serverOwner->handle(m_settings.node, own);
    });
}

}
