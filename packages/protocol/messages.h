#pragma once

#include "protocol/crash_messages.h"
#include "state/clock.h"
#include "state/config.h"
#include "state/error.h"
#include "state/outcome.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

// Messages between daemons. Each is a plain struct with a cereal function; a frame carries one
// `peer_message`, a datagram one `peer_datagram`. Times are sent as remaining durations, not as points in
// time, since the clocks of two instances differ.
namespace briarhead {

/// Entry -> owner: requests to run a caller's request on a server.
struct run_request
{
    request_id id;
    std::string server;
    adapter_ref adapter;
    std::uint64_t configVersion = 0;
    std::string caller;
    priority rank = priority::Normal;
    std::int64_t deadlineMs = 0; ///< until the caller's deadline
    bool idempotent = true;
    bool mayLoad = true; ///< whether the owner may load the adapter for it
    std::uint64_t prefix = 0; ///< hash of the start of the prompt, for prefix affinity
    std::string path;
    std::string body;
    request_attributes attributes; ///< of the caller's request
    bool isProbe = false; ///< a probe: servers crashed while they ran it, and it is run to find out whether
                          ///< they still do

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, server, adapter, configVersion, caller, rank, deadlineMs, idempotent, mayLoad, prefix,
            path, body, attributes, isProbe);
    }
};

/// Owner -> entry: the engine has started the request, with this adapter and version.
struct run_started
{
    request_id id;
    std::string adapter;
    std::int64_t stallMs = 0; ///< time that the request waited for the adapter to be loaded
    std::int64_t queuedMs = 0; ///< other time that it waited before the engine started it

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, adapter, stallMs, queuedMs);
    }
};

/// Owner -> entry: bytes of the engine's response stream (server-sent events).
struct run_bytes
{
    request_id id;
    std::string bytes;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, bytes);
    }
};

/// The load of a server as known to its owner. Sent along with responses, so that entries learn it without
/// extra messages.
struct server_hint
{
    std::string server;
    std::uint32_t inFlight = 0;
    std::uint32_t waiting = 0;
    std::uint32_t batchLimit = 0;
    std::uint32_t freeSlots = 0;
    bool closed = false; ///< accepts no requests now: leaving, drained, starting or changing owner

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(server, inFlight, waiting, batchLimit, freeSlots, closed);
    }
};

/// Owner -> entry: the request ended.
struct run_end
{
    request_id id;
    outcome result = outcome::NotRun;
    error_kind why = error_kind::None;
    std::string detail;
    std::int64_t retryAfterMs = 0; ///< when a retry may succeed; 0: unknown
    std::string owner; ///< if `why` is NotOwner, the owner to send the request to instead
    server_hint hint;
    std::vector<std::string>
        replicas; ///< the servers over which entries should spread requests for this adapter

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, result, why, detail, retryAfterMs, owner, hint, replicas);
    }
};

/// Entry -> owner: cancels a request because its caller disconnected or its deadline expired.
struct run_cancel
{
    request_id id;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id);
    }
};

/// Entry -> home of an idempotency key: asks whether an attempt may run.
struct key_begin
{
    request_id id;
    std::string key; ///< the caller's name and its idempotency key
    std::uint32_t attempt = 0; ///< number of the attempt as given by the caller; 0: not given
    std::int64_t retentionMs = 0; ///< how long to keep the key's record

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, key, attempt, retentionMs);
    }
};

/// The state of an idempotency key at its home.
enum class key_state : std::uint8_t
{
    Fresh, ///< no attempt has run; this one is now recorded as started
    Started, ///< an attempt may be running or may have run: its outcome is unknown
    Finished, ///< an attempt is done; its response is included
    Undetermined, ///< the home has no record from which to tell, or no room for one: the outcome is unknown
    NotHome, ///< from this daemon's view of the members another daemon is the home
};

/// The name used in logs.
std::string_view nameOf(key_state value);

/// Home -> entry: the response to key_begin.
struct key_response
{
    request_id id;
    key_state state = key_state::Undetermined;
    int status = 0; ///< HTTP status of the stored response, if Finished; so too the next two
    std::string contentType;
    std::string answer; ///< body

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, state, status, contentType, answer);
    }
};

/// Entry -> home: how an attempt ended. After NotRun the next attempt may run; after Done the response is
/// stored.
struct key_finish
{
    request_id id;
    std::string key;
    outcome result = outcome::Unknown;
    int status = 0;
    std::string contentType;
    std::string answer;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, key, result, status, contentType, answer);
    }
};

/// Requests the changes to the configuration since a version from a peer.
struct config_request
{
    std::uint64_t haveVersion = 0; ///< the sender's version

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(haveVersion);
    }
};

/// The response to config_request: the patches after `haveVersion`, or the complete configuration if the peer
/// no longer has those patches.
struct config_response
{
    std::uint64_t version = 0;
    std::vector<std::string> patches; ///< JSON, in order, the first one to version haveVersion + 1
    std::vector<std::pair<std::string, std::string>>
        chunks; ///< name -> text, of the complete configuration at `version`

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(version, patches, chunks);
    }
};

/// Owner -> broker of the weight store's load budget: requests permission to load an adapter. Repeated every
/// second while waiting.
struct load_request
{
    std::uint64_t ticket = 0;
    std::string server;
    adapter_ref adapter;
    double urgency = 0; ///< the highest is granted first, see coordination/load_order.h

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(ticket, server, adapter, urgency);
    }
};

/// Broker -> owner: permission to start the load.
struct load_grant
{
    std::uint64_t ticket = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(ticket);
    }
};

/// Owner -> broker: the load ended or is no longer needed.
struct load_release
{
    std::uint64_t ticket = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(ticket);
    }
};

/// Any daemon -> any daemon: requests a status report for an operator's command.
struct status_request
{
    std::uint64_t id = 0; ///< returned with the response
    std::string part; ///< which report

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, part);
    }
};

/// The response to status_request.
struct status_response
{
    std::uint64_t id = 0;
    std::string json;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, json);
    }
};

/// Any daemon -> owner: an operator's command to drain a server, or to stop draining it.
struct drain_request
{
    std::string server;
    bool drain = true; ///< false: stop draining

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(server, drain);
    }
};

/// Previous owner -> the daemon proposed as the next owner of a server: the ownership record was released and
/// should be read again.
struct owner_released
{
    std::string server;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(server);
    }
};

/// Any message that is sent over a TCP connection between two daemons.
using peer_message = std::variant<run_request, run_started, run_bytes, run_end, run_cancel, key_begin,
    key_response, key_finish, config_request, config_response, load_request, load_grant, load_release,
    status_request, status_response, drain_request, owner_released, ranked_crash_report>;

/// The membership state of a peer. The order matters: of two facts with the same incarnation and refutation
/// the higher state prevails.
enum class peer_state : std::uint8_t
{
    Alive,
    Suspect,
    Leaving,
    Dead,
};

/// The name used in status reports and logs.
std::string_view nameOf(peer_state value);

/// A fact about the membership of a peer, disseminated with probes.
struct peer_fact
{
    std::string name;
    std::uint64_t incarnation = 0; ///< of the peer's process
    peer_state state = peer_state::Alive;
    /// How often the peer has refuted that it is suspect; orders the facts about it.
    std::uint32_t refutation = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(name, incarnation, state, refutation);
    }
};

/// The addresses of a new daemon. Sent between the daemons until the platform's live list has them.
struct peer_introduction
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::string failureDomain;
    std::string ip;
    std::uint16_t port = 0; ///< for peers
    std::uint16_t callerPort = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(name, incarnation, failureDomain, ip, port, callerPort);
    }
};

/// The kind of a peer_datagram.
enum class probe_kind : std::uint8_t
{
    Ping,
    PingRequest, ///< asks the receiver to ping `target` on behalf of the sender
    Ack,
    Notice, ///< only carries facts and the configuration version
    Join, ///< a ping from a new process, which also asks which peers are not alive
};

/// A membership datagram between daemons, as in SWIM. Its size is bounded, independent of the size of the
/// fleet.
struct peer_datagram
{
    probe_kind kind = probe_kind::Ping;
    std::string from; ///< the sender's instance name
    std::uint64_t incarnation = 0; ///< of the sender
    std::uint64_t sequence = 0; ///< of the probe; an Ack repeats that of its Ping
    std::string target; ///< the peer that a PingRequest or its relayed Ack is about
    std::uint64_t configVersion = 0; ///< of the sender
    std::vector<peer_fact> facts; ///< at most maxFactsPerDatagram
    std::uint32_t refutation = 0; ///< of the sender
    std::vector<peer_introduction> introductions; ///< at most maxIntroductionsPerDatagram

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(kind, from, incarnation, sequence, target, configVersion, facts, refutation, introductions);
    }
};

constexpr std::size_t maxFactsPerDatagram = 6;
constexpr std::size_t maxIntroductionsPerDatagram = 1;

}
