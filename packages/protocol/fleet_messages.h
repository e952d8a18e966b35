#pragma once

#include "protocol/crash_messages.h"
#include "protocol/quota_messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Datagrams between the daemons that share backend servers by direct dispatch: the entry sends the request
// itself, and asks the daemon that gives the server's orders for a place first. Times are spans that remain.
namespace briarhead {

/// Entry -> orderer: may this request be sent to that server? Repeated until answered.
struct place_ask
{
    std::string id; ///< of the caller's attempt
    std::string server;
    std::string model;
    std::string adapter; ///< empty: the base model alone
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    std::int32_t rank = 0; ///< 0 is the most urgent
    std::int64_t waitMs = 0; ///< how long it may wait for its place
    std::int64_t deadlineMs = 0; ///< left until its caller gives up
    std::int64_t targetMs = 0; ///< left until its first event is late; negative: it is late already
    std::int64_t limitMilli =
        -1; ///< requests a second, in thousandths, that the server names; -1: none known
    std::int64_t limitAgeMs = 0; ///< since the entry heard of it

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, server, model, adapter, promptTokens, outputTokens, rank, waitMs, deadlineMs, targetMs,
            limitMilli, limitAgeMs);
    }
};

enum class place_verdict : std::uint8_t
{
    Queued, ///< heard; the grant or a refusal follows
    Granted,
    Refused,
};

/// The codec takes no value beyond.
constexpr place_verdict lastOf(place_verdict)
{
    return place_verdict::Refused;
}

enum class refusal : std::uint8_t
{
    None,
    TooBusy, ///< its wait would be over before its turn
    NoPlace, ///< every place for adapters is in use
    NotOrderer, ///< that daemon does not give this server's orders
    ServerLeaving,
    NotHeld, ///< the base model isn't there
    LoadTooSlow, ///< its adapter would be there too late: too many are on their way from the weight store
    Limited, ///< its turn within the limit that the server names would come too late
    Paused, ///< the server wants nothing from the entry for a while
};

constexpr refusal lastOf(refusal)
{
    return refusal::Paused;
}

std::string_view nameOf(refusal value);

/// Orderer -> entry.
struct place_answer
{
    std::string id;
    std::string server;
    place_verdict verdict = place_verdict::Queued;
    refusal why = refusal::None;
    std::int64_t adapterVersion = 0; ///< the version that is resident; 0: not known
    std::int64_t comeBackMs = 0; ///< of a refusal
    /// Of the server, as in place_ask. Says nothing where `why` is NotOrderer or ServerLeaving.
    std::int64_t limitMilli = -1;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, server, verdict, why, adapterVersion, comeBackMs, limitMilli);
    }
};

enum class place_event : std::uint8_t
{
    FirstToken, ///< the prompt has been read
    Ended, ///< the server no longer works on it
    NotHeld, ///< the server says that the adapter isn't there
    Failed, ///< ended without an answer that counts
    Unsent, ///< never reached the server
};

constexpr place_event lastOf(place_event)
{
    return place_event::Unsent;
}

/// Entry -> orderer: what became of a grant. May be lost; a grant also ends by its deadline.
struct place_note
{
    std::string id;
    std::string server;
    place_event event = place_event::Ended;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, server, event);
    }
};

/// Entry -> orderer: what the answer to a granted request says of its server's limit. Sent only where a limit
/// is named, or was.
struct limit_note
{
    std::string id;
    std::string server;
    std::int64_t limitMilli = -1; ///< as in place_ask; -1: named no more

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, server, limitMilli);
    }
};

/// What a server said of itself in an answer to the sender. To the daemon that holds the server's record, so
/// that it grants nothing that can't be used; and, that it leaves, to all.
struct word_news
{
    std::string server;
    std::string start; ///< of the server; it is another one after each restart
    bool leaving = false;
    std::int64_t pauseMs = 0; ///< for which it wants nothing from the sender; 0: not said
    bool relay = false; ///< to be passed on to all daemons

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(server, start, leaving, pauseMs, relay);
    }
};

/// Entry -> a server's new orderer: a request that the one before let in, and that still runs there.
struct place_running
{
    std::string id;
    std::string server;
    std::string model;
    std::string adapter;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    bool reading = false; ///< its first token has not come
    std::int64_t deadlineMs = 0; ///< left until its caller gives up

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(id, server, model, adapter, promptTokens, outputTokens, reading, deadlineMs);
    }
};

/// One adapter that a server holds or will soon. A hash stands for its name, a fifth of the bytes; two that
/// share one are told apart by the orderer.
struct beat_adapter
{
    std::uint32_t name = 0; ///< hash of MODEL/ADAPTER, see adapterHash
    bool loading = false;
    std::uint32_t uses = 0; ///< of late there, see useScoreHalfLife

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(name, loading, uses);
    }
};

/// A server as its orderer knows it.
struct server_beat
{
    std::string server;
    std::uint64_t fence = 0;
    bool held = false; ///< the base model is there
    std::vector<beat_adapter> adapters;
    std::uint32_t openPlaces = 0; ///< free, or held by an adapter that nothing uses
    std::int64_t backlogTokens = 0; ///< prompt tokens granted or queued and not yet read
    std::int64_t tokensPerSecond = 0; ///< of prompts, as measured
    std::uint32_t running = 0;
    std::uint32_t longAnswers = 0; ///< of those, answers that take seconds to write

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(
            server, fence, held, adapters, openPlaces, backlogTokens, tokensPerSecond, running, longAnswers);
    }
};

/// A server's limit, as its orderer keeps it.
struct limit_beat
{
    std::string server;
    std::int64_t limitMilli = -1; ///< -1: named no more, since a moment ago
    std::int64_t waitMs = 0; ///< until a further request has its turn

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(server, limitMilli, waitMs);
    }
};

/// A daemon -> the others that hear of its servers, a few times a second.
struct fleet_beat
{
    bool relay = false; ///< to be passed on to all daemons of the receiver's failure domain
    std::vector<server_beat> servers; ///< those it gives orders to
    std::int64_t orderingMs = 0; ///< it gives no order later than this from now unless its lease is renewed
    std::int64_t loadsAtOnce =
        0; ///< adapters the weight store delivers at full speed, as learned; 0: not lately
    std::vector<limit_beat> limits; ///< of those servers

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(relay, servers, orderingMs, loadsAtOnce, limits);
    }
};

/// One item of the platform's store, as a watch tells of it.
struct news_item
{
    std::string key;
    std::string value;
    std::int64_t revision = 0;
    bool removed = false;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(key, value, revision, removed);
    }
};

/// Reader -> the other daemons of its failure domain: what changed in the store between two revisions. Also
/// sent when nothing did, as a sign that the reader reaches the store.
struct store_news
{
    std::int64_t from = 0;
    std::int64_t to = 0;
    bool fetch = false; ///< too much for a datagram: to be fetched from the reader
    bool whole = false; ///< in an answer to a fetch: all items there are, not just changes
    std::vector<news_item> items;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(from, to, fetch, whole, items);
    }
};

/// store_news in packed form: an operator's configuration is some tens of kilobytes of text, and a reader
/// sends it to its whole failure domain over a link of 10 Mbit/s.
struct packed_news
{
    std::string bytes;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(bytes);
    }
};

struct fleet_datagram
{
    std::string from; ///< the sender's node name
    std::uint64_t incarnation = 0;
    std::variant<place_ask, place_answer, place_note, place_running, fleet_beat, store_news, packed_news,
        crash_news, quota_ask, quota_answer, quota_release, limit_note, word_news>
        body;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(from, incarnation, body);
    }
};

/// Kept in the platform's store: a daemon that lives, under its lease.
struct daemon_record
{
    std::string node;
    std::string ip;
    std::uint16_t port = 0; ///< for datagrams
    std::string failureDomain;
    std::uint64_t incarnation = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(node, ip, port, failureDomain, incarnation);
    }
};

using daemon_map = std::map<std::string, daemon_record>; ///< by node

/// Kept in the platform's store: who gives a server's orders. The fencing token is the record's revision.
struct orderer_record
{
    std::string node; ///< empty: given up, to be taken by whoever is proposed
    std::uint64_t incarnation = 0;
    std::int64_t lease = 0; ///< the record goes with it

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(node, incarnation, lease);
    }
};

/// Kept in the platform's store: the home of a shard of client accounts. Its term is the record's revision.
struct quota_home_record
{
    orderer_record right;
    bool settled = false; ///< whoever was the home before gives nothing any more

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(right, settled);
    }
};

}
