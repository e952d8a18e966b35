#pragma once

#include "serving/client_request.h"
#include "serving/decision_log.h"
#include "serving/fleet_port.h"
#include "serving/lease_validity.h"
#include "serving/node_settings.h"
#include "serving/peer_hearing.h"
#include "serving/slot_scheduler.h"
#include "serving/store_task.h"
#include "serving/word_task.h"
#include "transport/backend_call.h"
#include "transport/backend_pool.h"
#include "transport/loop.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace briarhead {

struct server_owner_counters
{
    std::uint64_t orders = 0;
    std::uint64_t ordersUnknown = 0;
    std::uint64_t reports = 0;
    std::uint64_t loads = 0;
    std::uint64_t unloads = 0;
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
};

/// Daemons by name, and those of each failure domain.
struct owner_candidates
{
    std::vector<std::string> all;
    std::map<std::string, std::vector<std::string>> byDomain;
};

owner_candidates ownerCandidates(const daemon_map &daemons);
/// The daemon that takes a server's record while nobody has it: the first by rendezvous hash, of those in its
/// failure domain where there are any. Empty: there is no daemon.
std::string preferredOwner(const owner_candidates &choice, const backend_server &server);

/// Gives the orders of the model servers that this daemon holds the record of, and says which prompts go to
/// them when. Only one daemon does so for a server; the others ask it. It
/// also grants the turns within a limit that a server names, of plain servers too.
class server_owner_task
{
public:
    /// How answers reach an entry: by datagram, or directly where it is in this process.
    using answer_call = std::function<void(const std::string &entry, const place_answer &answer)>;

    server_owner_task(loop &eventLoop, bus &messages, store_task &store, word_task &words, backend_pool &pool,
        const request_codec &codec, const node_settings &settings, decision_log &log, answer_call onAnswer);

    /// What an entry says, by datagram or from this process.
    void handle(const std::string &entry, const place_ask &ask);
    void handle(const std::string &entry, const place_note &note);
    void handle(const std::string &entry, const place_running &run);
    void handle(const std::string &entry, const limit_note &note);
    /// What another daemon says of the servers that it gives orders to.
    void onHeartbeat(const std::string &node, const fleet_beat &beat);
    /// This daemon is cut off from the others, which replace it at servers that check tokens: it orders
    /// nothing there, so that orders don't change hands back and forth.
    void setIsolated(bool alone);
    /// Gives no orders any more: the records are about to be given up.
    void stop();
    fleet_beat heartbeat();
    /// Whether other daemons' beats are due here: they give orders to servers of this daemon's cell.
    bool expectsHeartbeats() const;
    const server_owner_counters &counters() const;

private:
    struct server_state
    {
        std::uint64_t fence = 0;
        std::int64_t born = 0; ///< the start of the server that all here is about
        millis mayOrderFrom; ///< after a handover: the one before may have ordered until then less the lease
        bool fenced = false; ///< a higher token is in use: nothing is ordered under this one
        millis rivalUntil; ///< another daemon that holds a lower token may give orders until then
        millis lastOrder; ///< when one was sent
        bool reporting = false;
        slot_scheduler desk;
        std::optional<double> limitTold; ///< to the log
    };

    /// Adapters on their way to a server that another daemon gives orders to.
    struct heard_loads
    {
        int count = 0;
        millis at;
    };

    void followView(const view_changed &change);
    void noteHolders();
    std::optional<millis> vacatedUntil(const std::string &id) const;
    millis firstOrder(const std::string &id);
    void claimOrphans();
    void replaceSilent();
    void begin(const std::string &id, const ownership_entry &entry);
    void drop(const std::string &id, const char *why);
    void startAgain(const std::string &id, std::int64_t born);
    void openDesk(slot_scheduler &desk, const backend_server &server) const;
    bool isKept(const backend_server &server) const;
    void followLimit(const std::string &id, server_state &one);
    void answer(const std::string &entry, const place_answer &answer);
    void answerAll(const std::vector<addressed_response> &answers);
    void pump(const std::string &id);
    void pumpAll();
    void countLoads();
    void askReport(const std::string &id, server_state &one, const backend_server &server);
    void sendOrder(const std::string &id, server_state &one, const backend_server &server);
    void onOrderEnd(const std::string &id, std::int64_t born, std::uint64_t fence, const server_order &order,
        order_answer answer);
    bool mayOrder(const std::string &id, const server_state &one) const;
    void hearWords(const backend_server &server, const call_result &result);
    order_constraints limitsFor(const engine_spec &engine) const;
    std::int64_t newestVersion(const std::string &model, const std::string &adapter) const;
    bool mayLoadModel(const engine_spec &engine) const;
    const backend_server *serverOf(const std::string &id) const;
    const engine_spec *engineOfServer(const backend_server &server) const;

    loop &m_loop;
    store_task &m_store;
    word_task &m_words;
    backend_pool &m_pool;
    const request_codec &m_codec;
    node_settings m_settings;
    decision_log &m_log;
    answer_call m_answer;
    server_owner_counters m_counters;
    bool m_stopped = false;
    bool m_alone = false;
    millis m_lastModelLoad;
    load_pace m_pace;
    std::map<std::string, heard_loads> m_heardLoads; ///< by server
    std::map<std::string, server_state> m_servers;
    named_limits &m_limits; ///< of m_words
    std::map<std::string, millis> m_released; ///< servers given up by another daemon, and when that was seen
    std::map<std::string, std::string> m_holders; ///< other daemons that hold a server's record
    std::map<std::string, removed_ownership> m_vacated; ///< servers whose record went under another daemon
    std::set<std::string> m_replaced; ///< servers taken from a silent holder
    std::set<std::string> m_ownBefore; ///< servers whose record this instance's earlier process left
    std::map<std::string, reported_ownership> m_heardRights; ///< by daemon
    std::map<std::string, millis> m_lastOrders; ///< to servers that others hold the record of since
    heard_holders m_heardHolders;
    millis m_lastBeat;
    millis m_pausedUntil; ///< after it stood still nothing is ordered until then
    std::shared_ptr<void> m_timer;
    std::shared_ptr<void> m_claimTimer;
};

}
