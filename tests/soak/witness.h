#pragma once

#include "serving/backend_standin.h"
#include "soak/soak.h"
#include "state/clock.h"
#include "state/quota_limit.h"
#include "transport/backend_pool.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace briarhead::soak {

const std::string freeAccount = "ana";
/// First parts of prompts; the requests that crash servers by another part have the first of these.
constexpr const char *firstParts[] = {"a0", "a1"};
const std::string limitedAccount = "eva";
constexpr quota_limit limitedTo{6, 6}; ///< requests
constexpr quota_tolerance limitRules{millis{8'000}, 0.1, 6};

/// What a caller got.
struct caller_answer
{
    std::string id;
    bool stream = false;
    send_result how = send_result::Broken;
    http_head head;
    std::string body;
};

/// A stream that a caller takes up again; for one that begins, all members are empty.
struct resumed_stream
{
    std::string root; ///< id of the attempt that brought its first event
    int lastEvent = 0;
    int takenUp = 0; ///< times
};

/// Why a daemon may not know what servers told it.
enum class excuse_kind : std::uint8_t
{
    Stopped, ///< killed, ended or frozen
    Cut, ///< from the store
};

/// Holds what callers were told against what servers did.
class witness
{
public:
    void sent(
        const std::string &id, bool repeatable, const std::string &daemon, millis at, millis terminated);
    /// The latest request sent is a first attempt that counts for the comparison of cut off daemons with
    /// others.
    void countsForCuts(const std::string &id);
    /// Daemons are cut off from all servers, and their callers, the store and the other daemons reach them.
    void cutOff(const std::set<std::string> &daemons, millis from, millis until);
    /// The latest request sent goes on with a stream, or begins one. `counts`: for the comparison of the two.
    void isStream(const std::string &id, const resumed_stream &resumed, bool counts);
    void serverStarted(const std::string &server, const std::string &softwareVersion);
    /// The software versions that brought events of a stream.
    const std::set<std::string> &versionsOf(const std::string &root) const;
    /// `calm`: the daemon was undisturbed since before the request.
    void answered(const caller_answer &answer, millis at, bool calm);
    /// A request's time is over; it must have been answered unless its daemon was disturbed since it was
    /// sent.
    void due(const std::string &id, millis disturbedUntil);
    /// The request crashes servers because of its content, which is always the same, or of a part.
    void isFatal(const std::string &id, const std::string &cause);
    /// The latest request sent is a sound first attempt at a calm daemon, with this first part.
    void hasFirstPart(const std::string &id, const std::string &part);
    /// The request was sent while most new connections went to one daemon. `crowded`: to that one.
    void isBesideCrowd(const std::string &id, bool crowded);
    /// A server crashed because it ran a fatal request. `calm`: sent by a daemon that was undisturbed for
    /// long enough to have been told of the cause.
    void crashedUnder(const std::string &requestId, const std::string &server, millis at, bool calm);
    const std::string &daemonOf(const std::string &id) const;
    /// Sends of a daemon that was killed, stood still or was cut off don't count against servers' limits
    /// until it has passed on an answer that names one again.
    void excuse(
        const std::string &daemon, millis from, millis until, excuse_kind kind = excuse_kind::Stopped);
    /// A server's link holds back what is sent to it.
    void heldUp(const std::string &server, millis from, millis until);
    /// A version of an adapter was declared and acknowledged.
    void versionNamed(const std::string &adapter, std::int64_t version, millis at);
    /// Requests that run from then on must not run on an older version of their adapter: all is calm.
    void checkAdapterVersionsFrom(millis at);
    /// Something goes wrong somewhere until then.
    void disturbed(millis until);
    /// What a server ran and was ordered, up to now.
    void saw(const backend_standin &server, std::size_t places);

    std::size_t served() const;
    void fill(soak_report &report) const;

private:
    struct sent_request
    {
        bool repeatable = false;
        std::string daemon;
        millis at;
        bool ending = false; ///< its daemon had been told to end
        bool answered = false;
        bool countsForCuts = false;
        bool served = false;
        bool promised = false; ///< its answer says that it has not run
        std::size_t runs = 0;
        resumed_stream resumed;
        bool countsForVersions = false;
        std::string fatalCause; ///< empty: sound
        std::string firstPart; ///< empty: not compared
        bool begun = false; ///< the caller got the head of a success
        bool besideCrowd = false;
        bool crowded = false;
        bool read = false; ///< the caller got some answer
    };
    void checkVersions(const caller_answer &answer, const sent_request &request);
    void checkTakenUp(soak_report &report) const;
    void checkAccount(const backend_standin &server, const front_request &run, millis at);
    void checkLimit(soak_report &report) const;
    void checkCuts(soak_report &report) const;
    void checkFirstParts(soak_report &report) const;
    void checkCrowds(soak_report &report) const;
    void checkAdapterVersion(const front_request &run, millis at);
    void checkServerLimit(const backend_standin &server);
    void checkWords(const backend_standin &server);
    std::string senderAt(const std::string &server, const std::string &id, millis at, bool cutsExcuse) const;
    bool countsAt(const std::string &server, const std::string &daemon, millis at) const;
    void checkStream(const caller_answer &answer, bool whole);
    void checkOrigin(const caller_answer &answer);
    void onUnframedAnswer(const caller_answer &answer, sent_request &request);
    void wrong(const std::string &what);

    std::map<std::string, sent_request> m_requests;
    std::map<std::string, std::string> m_serverVersions; ///< by server
    std::map<std::string, std::vector<std::pair<millis, std::int64_t>>> m_adapterVersions; ///< as declared
    std::optional<millis> m_adapterVersionsFrom;
    std::map<std::string, std::set<std::string>> m_streamVersions; ///< by the root attempt
    struct stream_counts
    {
        std::size_t sent = 0;
        std::size_t wentOn = 0; ///< brought an event, began, or was served
    };
    static bool isFewer(
        const stream_counts &side, const stream_counts &other, std::size_t parts, std::size_t of);
    stream_counts m_newStreams;
    stream_counts m_takenUp;
    std::vector<millis> m_limitedRuns; ///< of the account that has a limit
    /// What is known of one cause of crashes.
    struct crash_cause
    {
        std::vector<millis> crashes;
        std::size_t sentOn = 0; ///< by calm daemons, long after the cause was to be known
    };
    std::map<std::string, crash_cause> m_causes;
    std::vector<std::string> m_violations;
    struct span
    {
        millis from;
        millis until;
        excuse_kind kind = excuse_kind::Stopped;
    };
    std::map<std::string, std::vector<span>> m_excused; ///< by daemon
    std::map<std::string, std::vector<span>> m_heldUp; ///< by server
    /// When a daemon passed on answers that name a server's limit; by server, then daemon.
    std::map<std::string, std::map<std::string, std::vector<millis>>> m_told;
    millis m_disturbedUntil;
    std::size_t m_served = 0;
    std::size_t m_refused = 0;
    std::size_t m_failed = 0;
    std::size_t m_cut = 0;
    struct cut_daemons
    {
        std::set<std::string> daemons;
        millis from;
        millis until;
    };
    std::vector<cut_daemons> m_cuts;
    std::size_t m_servers = 0; ///< seen
    int m_brittleCrashes = 0;
};

}
