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

// Messages between daemons. Each is a plain struct with a cereal function; frames and datagrams carry
// one `peer_message` or `peer_datagram`. Times are sent as spans that remain, never as points in time,
// since two instances' clocks don't agree.
namespace briarhead {

/// Entry -> owner: run this request on this server.
struct run_request
{
    request_id id;
    std::string server;
    adapter_ref adapter;
    std::uint64_t configVersion = 0;
    std::string caller;
    priority rank = priority::Normal;
    std::int64_t deadlineMs = 0; ///< left
    bool idempotent = true;
    bool mayLoad = true; ///< the owner may load the adapter for it
    std::uint64_t prefix = 0; ///< hash of the prompt's head, for prefix affinity
    std::string path;
    std::string body;
    std::string fingerprint; ///< of what its caller sent, see request_fingerprint.h
    bool isProbe = false; ///< runs though servers ended under it, to find out whether they still do

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, server, adapter, configVersion, caller, rank, deadlineMs, idempotent, mayLoad, prefix,
            path, body, fingerprint, isProbe);
    }
};

/// Owner -> entry: the engine began, on this adapter and version.
struct run_started
{
    request_id id;
    std::string adapter;
    std::int64_t stallMs = 0; ///< time the request waited for the adapter to be loaded
    std::int64_t queuedMs = 0; ///< time it waited otherwise, before the engine took it

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, adapter, stallMs, queuedMs);
    }
};

/// Owner -> entry: bytes of the engine's stream (server-sent events text).
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

/// What an owner says of one server; rides on answers so that entries learn without extra messages.
struct server_hint
{
    std::string server;
    std::uint32_t inFlight = 0;
    std::uint32_t waiting = 0;
    std::uint32_t batchLimit = 0;
    std::uint32_t freeSlots = 0;
    bool closed = false; ///< takes no new work now: leaving, drained, starting or changing hands

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(server, inFlight, waiting, batchLimit, freeSlots, closed);
    }
};

/// Owner -> entry: the request ended. `owner` names the owner to ask instead when why is NotOwner.
struct run_end
{
    request_id id;
    outcome result = outcome::NotRun;
    error_kind why = error_kind::None;
    std::string detail;
    std::int64_t retryAfterMs = 0;
    std::string owner;
    server_hint hint;
    std::vector<std::string> replicas; ///< servers entries should spread this adapter over

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, result, why, detail, retryAfterMs, owner, hint, replicas);
    }
};

/// Entry -> owner: the caller is gone or the deadline has passed.
struct run_cancel
{
    request_id id;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id);
    }
};

/// Entry -> home of an idempotency key: may this attempt run?
struct key_begin
{
    request_id id;
    std::string key; ///< caller and key
    std::uint32_t attempt = 0; ///< as the caller says; 0: not said
    std::int64_t retentionMs = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, key, attempt, retentionMs);
    }
};

/// What a home says of a key.
enum class key_state : std::uint8_t
{
    Fresh, ///< no attempt ran; this one is now recorded as started
    Started, ///< another attempt may be running or may have run: outcome unknown
    Finished, ///< done; the kept answer rides along
    Undetermined, ///< this home is too new to know: outcome unknown
    NotHome, ///< by this daemon's view another daemon is the home
};

std::string_view nameOf(key_state value);

/// Home -> entry.
struct key_response
{
    request_id id;
    key_state state = key_state::Undetermined;
    int status = 0;
    std::string contentType;
    std::string answer;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, state, status, contentType, answer);
    }
};

/// Entry -> home: how the attempt ended. NotRun frees the key again.
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

/// Asks a peer for the configuration after a version.
struct config_request
{
    std::uint64_t have = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(have);
    }
};

/// The answer: the patches after `have`, or the whole when the peer no longer holds those patches.
struct config_response
{
    std::uint64_t version = 0;
    std::vector<std::string> patches; ///< JSON, in order, first is have + 1
    std::vector<std::pair<std::string, std::string>> chunks; ///< name -> text of the whole at `version`

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(version, patches, chunks);
    }
};

/// Owner -> broker of the store's budget: may I load? Sent again every second while waiting.
struct load_request
{
    std::uint64_t ticket = 0;
    std::string server;
    adapter_ref adapter;
    double urgency = 0; ///< higher goes first, see coordination/load_order.h

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(ticket, server, adapter, urgency);
    }
};

/// Broker -> owner: go.
struct load_grant
{
    std::uint64_t ticket = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(ticket);
    }
};

/// Owner -> broker: the load ended, or is no longer wanted.
struct load_release
{
    std::uint64_t ticket = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(ticket);
    }
};

/// Any daemon -> any daemon, for the operator's command: a status page of one part, as JSON.
struct status_request
{
    std::uint64_t id = 0;
    std::string part;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, part);
    }
};

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

/// Any daemon -> the owner: an operator wants this server drained (or no longer).
struct drain_request
{
    std::string server;
    bool drain = true;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(server, drain);
    }
};

/// Old owner -> the daemon proposed for a server: the record was released, read it again.
struct owner_released
{
    std::string server;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(server);
    }
};

/// Everything that goes over a TCP link between two daemons.
using peer_message = std::variant<run_request, run_started, run_bytes, run_end, run_cancel, key_begin,
    key_response, key_finish, config_request, config_response, load_request, load_grant, load_release,
    status_request, status_response, drain_request, owner_released, crash_report>;

/// How a peer is seen. Order matters: with equal incarnations the higher state wins.
enum class peer_state : std::uint8_t
{
    Alive,
    Suspect,
    Leaving,
    Dead,
};

std::string_view nameOf(peer_state value);

/// One fact about a peer, spread on probes.
struct peer_fact
{
    std::string name;
    std::uint64_t incarnation = 0;
    peer_state state = peer_state::Alive;
    std::uint32_t refutation = 0; ///< how often the peer has refuted its suspicion; orders facts

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(name, incarnation, state, refutation);
    }
};

/// Where a new daemon is reached, told by the daemons themselves until the platform's list shows it.
struct peer_introduction
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::string failureDomain;
    std::string ip;
    std::uint16_t port = 0;
    std::uint16_t callerPort = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(name, incarnation, failureDomain, ip, port, callerPort);
    }
};

enum class probe_kind : std::uint8_t
{
    Ping,
    PingRequest, ///< please ping `target` for me
    Ack,
    Notice, ///< carries only facts and the configuration version
    Join, ///< a ping of a new process that also asks which peers are not alive
};

/// The one datagram between daemons (SWIM-like): bounded size whatever the fleet's size.
struct peer_datagram
{
    probe_kind kind = probe_kind::Ping;
    std::string from;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::string target; ///< PingRequest and its relayed Ack: whom it is about
    std::uint64_t configVersion = 0;
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
