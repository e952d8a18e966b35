#pragma once

#include "coordination/quota_task.h"
#include "serving/account_check.h"
#include "serving/beat_cells.h"
#include "serving/client_request.h"
#include "serving/crash_store.h"
#include "serving/decision_log.h"
#include "serving/event_stream.h"
#include "serving/fleet_port.h"
#include "serving/heard_server.h"
#include "serving/node_settings.h"
#include "serving/repeat_budget.h"
#include "serving/server_limit.h"
#include "serving/server_owner_task.h"
#include "serving/store_task.h"
#include "serving/word_task.h"
#include "state/latency.h"
#include "transport/backend_pool.h"
#include "transport/front_server.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace briarhead {

/// Of an account's requests, for metrics.
struct account_counters
{
    std::uint64_t accepted = 0; ///< within its limit
    std::uint64_t overLimit = 0;
    double units = 0; ///< sent to servers
};

/// Accounts with counters of their own; the others share one set.
constexpr std::size_t accountsCounted = 64;

struct front_counters
{
    std::map<std::string, account_counters> accounts; ///< by name; empty: all beyond accountsCounted

    std::map<std::pair<std::string, std::string>, std::uint64_t> ended; ///< requests by kind and outcome
    std::map<std::string, std::uint64_t> refused; ///< by reason
    std::uint64_t sends = 0;
    std::uint64_t repeats = 0;
    std::uint64_t repeatsDenied = 0; ///< the budget was used up
    std::uint64_t asks = 0;
    latency_histogram first; ///< to the answer's head
    latency_histogram gap; ///< between two parts of a stream
    latency_histogram whole;
    latency_histogram placeWait;
};

/// Takes callers' requests, chooses a backend server for each, and passes the answer on.
class front_task
{
public:
    front_task(loop &eventLoop, bus &messages, store_task &store, crash_task &crashes, quota_task &quota,
        word_task &words, backend_pool &pool, const request_codec &codec, const node_settings &settings,
        decision_log &log);

    void setOrderer(server_owner_task &orderer);
    void setPort(fleet_port &port);
    void setRepeatLimits(const repeat_limits &limits);

    /// From now on new requests are refused, since the process ends before they could be answered.
    void stopTaking();
    /// Other daemons can't be asked for places: only servers that this one gives orders to are used.
    void setIsolated(bool alone);
    void onRequest(front_request raw, std::shared_ptr<front_reply> reply);
    void onAnswer(const place_answer &answer);
    void onBeat(const std::string &node, const fleet_beat &beat);
    /// Whether any server's orderer has been heard of.
    bool hearsOrderers() const;
    const front_counters &counters() const;
    std::size_t active() const;

private:
    struct work;
    using work_ptr = std::shared_ptr<work>;

    void followView(const view_changed &change);
    void onBlocked(const request_blocked &news);
    bool isBlocked(const work &one) const;
    void refuseBlocked(const work_ptr &one);
    void tryBlocked(const work_ptr &one);
    void findWay(const work_ptr &one);
    bool admitCaller(const work_ptr &one);
    void takeQuota(const work_ptr &one, std::function<void()> go);
    void onQuota(const work_ptr &one, const quota_decision &decision, const std::function<void()> &go);
    bool holdsUnits(const work &one) const;
    void giveUnitsBack(work &one);
    void sendOnceCounted(const work_ptr &one);
    account_counters &countersOf(const client_account &account);
    void waitAndRetry(const work_ptr &one, void (front_task::*step)(const work_ptr &));
    void start(const work_ptr &one);
    void startPlain(const work_ptr &one);
    void startModel(const work_ptr &one);
    std::vector<model_candidate> candidatesFor(
        const work &one, std::vector<const backend_server *> &servers) const;
    millis patienceLeft(const work &one) const;
    std::string unheardOrderer(const std::string &server) const;
    std::string limitHolder(const backend_server &server) const;
    std::optional<millis> turnWait(const std::string &server) const;
    bool comesTooLate(const work &one, millis turnWait) const;
    bool lacksTurn(const work &one) const;
    bool allClosed(const work &one) const;
    millis firstBack(const work &one, millis otherwise) const;
    const char *whyNoServer(const work &one) const;
    void onClosed(const std::string &server);
    void leaveClosed(const work_ptr &one, place_event event);
    void askTurn(const work_ptr &one, const backend_server &server);
    void noteLimit(const work &one);
    void ask(const work_ptr &one);
    void askAgain(const work_ptr &one);
    void onNoAnswer(const work_ptr &one);
    void send(const work_ptr &one, const backend_server &server);
    bool onHead(const work_ptr &one, const http_head &head);
    void hearLimit(const work &one);
    void onBody(const work_ptr &one, const std::string &bytes);
    void onEnd(const work_ptr &one, send_end how, const error &why);
    void onWhole(const work_ptr &one);
    void onQuiet(const work_ptr &one);
    void onDeadline(const work_ptr &one);
    bool tryElsewhere(const work_ptr &one, bool ran, const char *why);
    void passAnswer(const work_ptr &one);
    void refuse(const work_ptr &one, const char *why, millis comeBack, int status = 503);
    void fail(const work_ptr &one, int status, const char *why);
    void finish(const work_ptr &one, const std::string &outcome);
    void leaveServer(const work_ptr &one, place_event event);
    void announce(const std::string &server, const std::string &orderer);
    void note(const work &one, place_event event);
    template <class message_type>
    void tell(const std::string &orderer, const message_type &message);
    millis left(const work &one) const;
    bool serversLeft(const work &one) const;
    bool mayRepeat(const work &one) const;

    loop &m_loop;
    store_task &m_store;
    crash_task &m_crashes;
    quota_task &m_quota;
    word_task &m_words;
    backend_pool &m_pool;
    const request_codec &m_codec;
    node_settings m_settings;
    decision_log &m_log;
    server_owner_task *m_orderer = nullptr;
    fleet_port *m_port = nullptr;
    front_counters m_counters;
    repeat_budget m_budget;
    std::map<std::string, answer_mix> m_answers; ///< by service
    std::map<std::string, work_ptr> m_work; ///< by a number of this process, as text
    std::map<std::string, std::string> m_workOfAsk; ///< request id to that number
    std::map<std::string, heard_server> m_heard; ///< by server
    std::map<std::string, int> m_inFlight; ///< this entry's, by server
    std::map<std::string, server_record> m_records; ///< by server
    named_limits &m_limits; ///< of m_words
    std::uint64_t m_lastWork = 0;
    std::size_t m_cells = 1; ///< of this daemon's failure domain
    bool m_taking = true;
    bool m_alone = false;
};

}
