#pragma once

#include "coordination/config_store.h"
#include "coordination/events.h"
#include "state/clock.h"
#include "state/config.h"
#include "transport/bus.h"
#include "transport/kv_client.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace briarhead {

/// What an operator is told of a submitted patch.
enum class submit_status : std::uint8_t
{
    Accepted, ///< in the configuration, at `version`
    Refused, ///< certain that it isn't and won't be; `why` says what to correct
    NotRun, ///< certain that it wasn't written; it may be submitted again as it is
    Unknown, ///< it may or may not be in; asking again with the same patch id tells
};

std::string_view nameOf(submit_status value);

struct submit_result
{
    submit_status status = submit_status::NotRun;
    std::uint64_t version = 0; ///< accepted at; otherwise the current version as far as known
    bool repeated = false; ///< it had been accepted before this submission
    error why;
};

/// Each failure domain has this many daemons that watch the head; the others learn from them.
constexpr std::size_t configWatchersPerDomain = 2;

/// Whether a daemon is one of its failure domain's watchers, by rendezvous hash over the live ones.
bool watchesConfig(std::string_view self, std::string_view failureDomain, const std::vector<member> &members);
/// The mean time between one daemon's polls of the head: `base`, longer once the whole fleet would else
/// make more than configPollsPerSecond.
constexpr std::int64_t configPollsPerSecond = 40;
millis configPollInterval(millis base, std::size_t members);

/// The task that owns this daemon's configuration: it follows the head in the key-value service and the
/// versions that peers hold, serves peers, and submits operators' patches. It posts config_changed,
/// announce_version and send_to. There is no configuration, and so no readiness, until one was learnt.
class config_task
{
public:
    struct options
    {
        std::string self;
        std::string failureDomain;
        millis pollInterval{10'000};
        millis retryInterval{200}; ///< first pause after a failed read; doubles up to the poll interval
        millis peerTimeout{1'000}; ///< for a peer's answer before another source is asked
        millis peerGrace{2'000}; ///< at start, time to hear from all peers which version they hold
        millis submitTimeout{10'000}; ///< for finding out whether a patch was accepted
    };

    config_task(bus &messages, loop &eventLoop, kv_client &kv, options given);

    /// The configuration in force here, or nullptr before the first one is known.
    const config_ptr &current() const;
    /// The highest version known of, here or at a peer.
    std::uint64_t headVersion() const;

    /// Submits a patch. Submitting the same id again is safe at any time and gives the same answer.
    void submitPatch(config_patch patch, std::function<void(const submit_result &)> done);
    /// The accepted patches from a version on, at most historyLimit. With a `why`, only those in memory.
    void history(std::uint64_t from,
        std::function<void(const std::vector<config_patch> &patches, const error &why)> done);
    /// The configuration at a version that the service still holds, or nullptr with `why`.
    void readVersion(
        std::uint64_t version, std::function<void(const config_ptr &found, const error &why)> done);

private:
    /// A patch on its way; see config_submit.cpp.
    struct submission
    {
        config_patch patch;
        std::function<void(const submit_result &)> done;
        millis deadline;
        millis pause;
        std::optional<std::int64_t> openRevision; ///< of the head at a swap whose answer was lost
    };
    /// A question to a peer that is open.
    struct peer_ask
    {
        std::string peer;
        millis until;
    };
    /// A whole configuration on its way from a peer in several frames.
    struct incoming_chunks
    {
        std::uint64_t version = 0;
        std::map<std::string, std::string> texts;
    };

    // Following the service.
    void onTick();
    void readHead();
    void onHead(const stored_head &found);
    void catchUp(const config_head &head, const std::function<void(const error &why)> &done);
    void readFailed(const error &why);
    void updateWatch(std::int64_t storeRevision);
    void restoreHead(const stored_head &found);
    bool divergesFrom(const config_head &head) const;
    void publish(const config_ptr &next, const std::vector<config_patch> &patches);
    millis jittered(millis mean);

    // Following peers.
    void onMembers(const members_changed &news);
    void onVersionHeard(const peer_version_seen &news);
    void onAsk(const received<config_request> &question);
    void onAnswer(const received<config_response> &answer);
    void takePatches(const config_response &answer);
    void takeChunks(const config_response &answer);
    void sendChunks(const std::string &to);
    void ask(const std::string &peer);
    void askNext();
    std::string peerForStart() const;

    // Submitting.
    void stepSubmission();
    void decideSubmission(const stored_head &found);
    void decideStale(const stored_head &found);
    void foldThenStep(const stored_head &found);
    void swapPatch(const stored_head &found);
    void onSwapped(const stored_head &found, const config_ptr &next, const kv_write &write);
    void stepAgain();
    void stepLater(const error &why, submit_status otherwise = submit_status::NotRun);
    void undecided(const error &why);
    void finishSubmission(const submit_result &answer);
    std::vector<config_patch> historyFor(const config_head &head) const;

    bus &m_bus;
    loop &m_loop;
    config_store m_store;
    options m_options;
    config_ptr m_current;
    std::deque<config_patch> m_recent; ///< the patches that led to m_current, newest last
    std::size_t m_recentBytes = 0;
    std::vector<member> m_members;
    std::mt19937_64 m_random;

    millis m_startedAt;
    millis m_readAt; ///< when the head is next read
    millis m_pause; ///< after the next failed read
    bool m_reading = false;
    bool m_restoring = false;
    bool m_serviceDown = false;
    std::shared_ptr<void> m_watch;

    std::map<std::string, std::uint64_t> m_heard; ///< versions above ours, by peer
    std::set<std::string> m_silentPeers; ///< asked without an answer; others are asked first
    std::optional<peer_ask> m_ask;
    incoming_chunks m_incoming;
    std::map<std::string, std::string> m_chunks; ///< of m_chunksVersion, kept while peers ask for them
    std::uint64_t m_chunksVersion = 0;
    millis m_chunksUntil;

    std::deque<submission> m_submissions; ///< the first one is under way
    std::shared_ptr<void> m_submitTimer;
    std::shared_ptr<void> m_tickTimer;
};

/// Patches in one answer of the history.
constexpr std::size_t historyLimit = 256;

}
