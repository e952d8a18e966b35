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

/// The result of a submitted patch, as reported to the operator.
enum class submit_status : std::uint8_t
{
    Accepted, ///< in the configuration, at `version`
    Refused, ///< certainly not in the configuration, now or later; `why` says what to correct
    NotRun, ///< certainly not written; may be submitted again unchanged
    Unknown, ///< may or may not be in the configuration; submitting the same patch id again tells
};

std::string_view nameOf(submit_status value);

struct submit_result
{
    submit_status status = submit_status::NotRun;
    std::uint64_t version = 0; ///< at which the patch was accepted; otherwise the highest known version
    bool repeated = false; ///< the patch had been accepted before this submission
    error why;
};

/// Daemons per failure domain that watch the head; the others learn of changes from them.
constexpr std::size_t configWatchersPerDomain = 2;

/// Whether a daemon is one of its failure domain's watchers, by rendezvous hash over the live ones.
bool watchesConfig(std::string_view self, std::string_view failureDomain, const std::vector<member> &members);
/// Limit of the whole fleet's polls of the head.
constexpr std::int64_t maxFleetPollsPerSecond = 40;
/// The mean interval between one daemon's polls of the head: `base`, or longer where the fleet would
/// otherwise exceed maxFleetPollsPerSecond.
millis configPollInterval(millis base, std::size_t members);

/// The task that owns this daemon's configuration: it follows the head in the key-value service and the
/// versions that peers hold, serves configurations to peers, and submits operators' patches. Posts
/// config_changed, announce_version and send_to. Until a first configuration is known there is none, and the
/// daemon isn't ready.
class config_task
{
public:
    struct options
    {
        std::string self;
        std::string failureDomain;
        millis pollInterval{10'000};
        millis retryInterval{200}; ///< first delay after a failed read; doubles up to the poll interval
        millis peerTimeout{1'000}; ///< for a peer's response, before another source is used
        millis peerGrace{2'000}; ///< at start: time to learn from all peers which version they hold
        millis submitTimeout{10'000}; ///< for finding out whether a patch was accepted
    };

    config_task(bus &messages, loop &eventLoop, kv_client &kv, options taskOptions);

    /// The configuration in force here, or nullptr before the first one is known.
    const config_ptr &current() const;
    /// The highest version known, in force here or held by a peer.
    std::uint64_t headVersion() const;

    /// Submits a patch. Idempotent: submitting the same id again gives the same result.
    void submitPatch(config_patch patch, std::function<void(const submit_result &)> done);
    /// The accepted patches from a version on, at most historyLimit. With a `why`, only those in memory.
    void history(std::uint64_t from,
        std::function<void(const std::vector<config_patch> &patches, const error &why)> done);
    /// The configuration at a version that the service still holds, or nullptr with `why`.
    void readVersion(
        std::uint64_t version, std::function<void(const config_ptr &found, const error &why)> done);

private:
    /// A patch that is being submitted; see config_submit.cpp.
    struct submission
    {
        config_patch patch;
        std::function<void(const submit_result &)> done;
        millis deadline;
        millis retryDelay; ///< before the next attempt
        std::optional<std::int64_t> openRevision; ///< of the head at a swap whose response was lost
    };
    /// An open request to a peer.
    struct peer_request
    {
        std::string peer;
        millis until; ///< the peer counts as unresponsive from then on
    };
    /// A complete configuration that a peer sends in several frames.
    struct incoming_chunks
    {
        std::uint64_t version = 0;
        std::map<std::string, std::string> texts; ///< by chunk name
    };

    // Following the key-value service.
    void onTick();
    void readHead();
    void onHead(const head_at_revision &found);
    void catchUp(const config_head &head, const std::function<void(const error &why)> &done);
    void onReadFailed(const error &why);
    void updateHeadWatch(std::int64_t storeRevision);
    void restoreHead(const head_at_revision &found);
    bool divergesFrom(const config_head &head) const;
    void publish(const config_ptr &next, const std::vector<config_patch> &patches);
    millis jittered(millis mean);

    // Following peers.
    void onMembers(const members_changed &change);
    void onPeerVersionSeen(const peer_version_seen &update);
    void onConfigRequest(const received<config_request> &request);
    void onConfigResponse(const received<config_response> &response);
    void applyPeerPatches(const config_response &response);
    void collectPeerChunks(const config_response &response);
    void sendChunks(const std::string &to);
    void sendRequest(const std::string &peer);
    void requestFromBestPeer();
    std::string peerForStart() const;

    // Submitting patches.
    void advanceSubmission();
    void evaluateSubmission(const head_at_revision &found);
    void resolveStale(const head_at_revision &found);
    void compactThenAdvance(const head_at_revision &found);
    void swapPatch(const head_at_revision &found);
    void onSwapped(const head_at_revision &found, const config_ptr &next, const kv_write &write);
    void restartSubmission();
    void retryLater(const error &why, submit_status statusAtDeadline = submit_status::NotRun);
    void onStepFailed(const error &why);
    void finishSubmission(const submit_result &result);
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
    millis m_readAt; ///< when the head is read next
    millis m_retryDelay; ///< after the next failed read
    bool m_reading = false;
    bool m_restoring = false;
    bool m_serviceDown = false;
    std::shared_ptr<void> m_watch;

    std::map<std::string, std::uint64_t> m_newerVersions; ///< versions above m_current's, by peer
    std::set<std::string> m_unresponsivePeers; ///< left a request unanswered; requested only after all others
    std::optional<peer_request> m_openRequest;
    incoming_chunks m_incoming;
    std::map<std::string, std::string> m_chunks; ///< of m_chunksVersion, cached for requests from peers
    std::uint64_t m_chunksVersion = 0;
    millis m_chunksUntil; ///< end of the cache's lifetime

    std::deque<submission> m_submissions; ///< the first one is in progress
    std::shared_ptr<void> m_submitTimer;
    std::shared_ptr<void> m_tickTimer;
};

/// Maximum number of patches in one response of the history.
constexpr std::size_t historyLimit = 256;

}
