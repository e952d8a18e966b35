#include "serving/orderer_task.h"

#include "coordination/quota_plan.h"
#include "coordination/rendezvous.h"
#include "serving/beat_cells.h"
#include "serving/heard_server.h"
#include "transport/backend_call.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace briarhead {

namespace {

/// How often waiting prompts and loads on their way are looked at, besides after each event.
constexpr millis pumpEvery{20};
constexpr millis claimEvery{300};
/// When all daemons start at once the first to register would claim every server before it sees the others.
constexpr millis settleTime{400};
/// An order is answered in some ms; without an answer for so long it counts as unknown, and a report tells
/// what became of it. Nothing else is ordered there meanwhile: where a third of the orders goes unanswered,
/// 600 ms earn 0.3% less of a day's worth (less than its spread), 80 ms the same.
constexpr millis orderTimeout{150};
constexpr millis reportTimeout{700};
constexpr millis reportPause{250};
/// Loads of base models are paced so that all daemons together stay under the weight store's rate, also if
/// all begin at once.
constexpr double modelLoadMargin = 1.3;
constexpr double msPerSecond = 1'000;
/// A daemon that ends gives orders for 2.3 s more; those it gave before its end began are then this close to
/// the three seconds that two daemons' orders keep apart.
constexpr millis handOverWait{800};
/// Entries tell a new orderer at its first beat what still runs; until they have, adapters in use look idle.
constexpr millis announceWait{250};
/// Beats from another failure domain come every 450 ms: by then a former holder that renewed its lease right
/// before its records went has said so.
constexpr millis beatWait{500};
/// A holder that is cut off stops ordering after `aloneAfter`; with this its last order and the next holder's
/// first keep apart far enough that a third holder's can't come within the time of the two.
constexpr millis replacedWait{1'000};
/// Without a beat for so long the daemon stood still, or nearly; the news of the time reach it within the
/// pause after it.
constexpr millis stillMost{1'000};
constexpr millis stillPause{700};

}

std::string proposedHolder(const daemon_map &daemons, const backend_server &server)
{
    std::vector<std::string> all;
    std::vector<std::string> near;
    for (const auto &[node, record] : daemons) {
        all.push_back(node);
        if (record.failureDomain == server.failureDomain) {
            near.push_back(node);
        }
    }
    return rendezvousFirst(server.id, near.empty() ? all : near);
}

orderer_task::orderer_task(loop &eventLoop, bus &messages, store_task &store, backend_pool &pool,
    const request_codec &codec, const node_settings &settings, decision_log &log, answer_call onAnswer)
    : m_loop(eventLoop)
    , m_store(store)
    , m_pool(pool)
    , m_codec(codec)
    , m_settings(settings)
    , m_log(log)
    , m_answer(std::move(onAnswer))
{
    messages.on<view_changed>([this](const view_changed &change) {
        followView(change);
    });
    m_timer = m_loop.timer(pumpEvery, pumpEvery, [this] {
        pumpAll();
    });
    m_claimTimer = m_loop.timer(claimEvery, claimEvery, [this] {
        claimOrphans();
        replaceSilent();
    });
}

const backend_server *orderer_task::serverOf(const std::string &id) const
{
    const auto found = m_store.view().servers.find(id);
    return found == m_store.view().servers.end() ? nullptr : &found->second;
}

const engine_spec *orderer_task::engineOfServer(const backend_server &server) const
{
    const auto &config = m_store.view().config;
    return config ? engineOf(*config, server.service) : nullptr;
}

void orderer_task::followView(const view_changed &change)
{
    for (const std::string &id : change.goneServers) {
        if (const backend_server *server = serverOf(id); server != nullptr) {
            startAgain(id, server->born);
            continue;
        }
        drop(id, "the server is gone");
        m_lastOrders.erase(id);
        m_limits.erase(id);
    }
    noteHolders();
    const store_view &view = m_store.view();
    for (const auto &[id, entry] : view.orderers) {
        const bool mine = m_store.isOwn(entry.record);
        const auto held = m_servers.find(id);
        const auto fence = static_cast<std::uint64_t>(entry.revision);
        if (!mine) {
            if (entry.record.node.empty()) {
                m_released.try_emplace(id, bootNow());
            }
            if (held != m_servers.end()) {
                drop(id, "another daemon gives its orders");
            }
        } else if (held == m_servers.end() || held->second.fence < fence) {
            begin(id, entry);
        }
    }
    claimOrphans();
}

/// Who holds which record, and which records went without being given up.
void orderer_task::noteHolders()
{
    const store_view &view = m_store.view();
    std::erase_if(m_holders, [&](const auto &each) {
        if (view.orderers.count(each.first) != 0) {
            return false;
        }
        const auto heard = m_heardRights.find(each.second);
        const bool known = heard != m_heardRights.end();
        m_vacated[each.first] = {bootNow(), known ? std::optional(heard->second) : std::nullopt};
        return true;
    });
    for (const auto &[id, entry] : view.orderers) {
        if (entry.record.node.empty() || entry.record.node == m_settings.node) {
            m_holders.erase(id);
        } else {
            m_holders[id] = entry.record.node;
            m_vacated.erase(id);
        }
    }
}

void orderer_task::hear(const std::string &node, const fleet_beat &beat)
{
    const millis now = bootNow();
    const heard_right right{now, now + millis{beat.orderingMs}};
    m_heardRights[node] = right;
    if (node != m_settings.node) {
        noteHeard(m_pace, static_cast<double>(beat.loadsAtOnce));
    }
    for (const server_beat &each : beat.servers) {
        if (node != m_settings.node) {
            m_heardHolders[each.server] = {node, now};
        }
        const auto loading =
            std::count_if(each.adapters.begin(), each.adapters.end(), [](const beat_adapter &adapter) {
                return adapter.loading;
            });
        m_heardLoads[each.server] = {static_cast<int>(loading), now};
        const auto held = m_servers.find(each.server);
        if (held == m_servers.end() || node == m_settings.node) {
            continue;
        }
        if (each.fence > held->second.fence) {
            held->second.fenced = true; // the view tells soon
        } else {
            held->second.rivalUntil = std::max(held->second.rivalUntil, right.until);
        }
    }
    for (const limit_beat &each : beat.limits) {
        if (node != m_settings.node) {
            hearKept(m_limits, each.server, limitFrom(each.limitMilli), millis{each.waitMs}, now);
        }
    }
}

/// Whether somebody has to keep the server's record: of a plain one only while it names a limit.
bool orderer_task::isKept(const backend_server &server) const
{
    return engineOfServer(server) != nullptr || m_limits.count(server.id) != 0
        || m_servers.count(server.id) != 0;
}

/// A server without a daemon that gives its orders is claimed by the one that rendezvous hashing proposes,
/// out of those in its failure domain where there are any.
void orderer_task::claimOrphans()
{
    const store_view &view = m_store.view();
    if (m_stopped || !view.config || view.daemons.count(m_settings.node) == 0) {
        return;
    }
    // Once for all servers: after a start each of them is an orphan, and a fleet may have thousands.
    std::map<std::string, std::vector<std::string>> byDomain;
    std::vector<std::string> all;
    for (const auto &[node, record] : view.daemons) {
        all.push_back(node);
        byDomain[record.failureDomain].push_back(node);
    }
    const bool settled = bootNow() - view.registeredAt >= settleTime;
    for (const auto &[id, server] : view.servers) {
        const auto entry = view.orderers.find(id);
        // Its own record of before a restart, or under a lease that ran out; or one that went with the lease
        // while nobody else took the server.
        const bool formerSelf = entry == view.orderers.end() ? m_servers.count(id) != 0
                                                             : entry->second.record.node == m_settings.node
                && !(m_store.isOwn(entry->second.record) && m_store.isUnderLease(entry->second.record));
        const bool orphan = entry == view.orderers.end() || entry->second.record.node.empty() || formerSelf;
        if (!orphan || server.draining || !isKept(server)) {
            continue;
        }
        const auto near = byDomain.find(server.failureDomain);
        if (formerSelf && entry != view.orderers.end()) {
            m_ownBefore.insert(id);
        }
        if (formerSelf
            || (settled
                && rendezvousFirst(id, near == byDomain.end() ? all : near->second) == m_settings.node)) {
            m_store.claim(id);
        }
    }
}

bool orderer_task::expectsBeats() const
{
    const store_view &view = m_store.view();
    const std::size_t cells = cellsIn({&view.daemons, view.servers.size()}, m_settings.failureDomain);
    const std::size_t own = cellOf(m_settings.node, cells);
    return std::any_of(view.orderers.begin(), view.orderers.end(), [&](const auto &each) {
        const std::string &holder = each.second.record.node;
        return holder != m_settings.node && view.daemons.count(holder) != 0
            && view.servers.count(each.first) != 0 && cellOf(each.first, cells) == own;
    });
}

/// Guards against: a holder that can't be asked, since it is cut off from the other daemons or stands still,
/// while its lease in the store lives on. It shows as requests that wait for places nobody grants, and as
/// servers that nobody loads. Holds because another daemon takes the record with a higher fencing token,
/// which the server goes by: what the former holder still orders is refused. Servers that check no tokens are
/// left to their holder until its records are gone.
void orderer_task::replaceSilent()
{
    const store_view &view = m_store.view();
    const millis now = bootNow();
    std::erase_if(m_heardHolders, [&](const auto &each) {
        const auto entry = view.orderers.find(each.first);
        return entry == view.orderers.end() || entry->second.record.node != each.second.node;
    });
    if (m_stopped || !m_settings.serversCheckTokens || !hearsMost(m_heardHolders, now)) {
        return;
    }
    for (const auto &[id, holder] : m_heardHolders) {
        const backend_server *server = serverOf(id);
        if (now - holder.at < silentAfter || server == nullptr || server->draining) {
            continue;
        }
        const std::size_t cells = cellsIn({&view.daemons, view.servers.size()}, server->failureDomain);
        std::vector<std::string> all;
        std::vector<std::string> near;
        for (const auto &[node, record] : view.daemons) {
            all.push_back(node);
            if (record.failureDomain == server->failureDomain && cellOf(node, cells) == cellOf(id, cells)) {
                near.push_back(node);
            }
        }
        if (mayReplace(holder, replacersOf(id, holder.node, near, all), m_settings.node, now)) {
            m_log.important("orderer.replaced")
                .add("server", id)
                .add("holder", holder.node)
                .add("silent_ms", now - holder.at);
            m_replaced.insert(id);
            m_store.claim(id, true);
        }
    }
}

void orderer_task::begin(const std::string &id, const orderer_entry &entry)
{
    const backend_server *server = serverOf(id);
    if (server == nullptr || m_stopped || !isKept(*server)) {
        return;
    }
    const auto fence = static_cast<std::uint64_t>(entry.revision);
    if (const auto held = m_servers.find(id); held != m_servers.end()) {
        held->second.fence = fence;
        held->second.fenced = false;
        held->second.desk.ledger.proved = false;
        return;
    }
    server_state one;
    one.fence = fence;
    one.mayOrderFrom = firstOrder(id);
    one.born = server->born;
    openDesk(one.desk, *server);
    if (const auto known = m_limits.find(id); known != m_limits.end()) {
        nameLimit(one.desk.limit, known->second.perSecond, known->second.heard, bootNow());
    }
    m_servers.emplace(id, std::move(one));
    m_log.important("orderer.taken").add("server", id).add("fence", fence);
    pump(id);
}

void orderer_task::openDesk(place_desk &desk, const backend_server &server) const
{
    const engine_spec *engine = engineOfServer(server);
    desk.ledger.server = server.id;
    desk.plain = engine == nullptr;
    if (desk.plain) {
        desk.queue.slots = std::numeric_limits<int>::max();
        return;
    }
    desk.ledger.places = engine->adapterPlaces;
    desk.ledger.weightsMb = engine->weightsMb;
    desk.queue.slots = std::min(server.slots, engine->slots);
    desk.queue.memoryTokens = engine->memoryTokens;
}

/// Guards against: a server that starts again under its id is taken for what it was. It would show as
/// requests for adapters that are not there, and as orders that the server refuses for their number. Reports,
/// answers and entries name the start they are about; what is known ends with it, and what an earlier one
/// said is passed over.
void orderer_task::startAgain(const std::string &id, std::int64_t born)
{
    const auto found = m_servers.find(id);
    const backend_server *server = serverOf(id);
    if (found == m_servers.end() || server == nullptr || found->second.born >= born) {
        return;
    }
    m_log.important("orderer.server_started_again").add("server", id).add("fence", found->second.fence);
    server_state &one = found->second;
    answerAll(refuseWaiting(one.desk, refusal::ServerLeaving));
    server_ledger ledger = std::move(one.desk.ledger);
    briarhead::startAgain(ledger, bootNow());
    one.desk = {};
    one.desk.ledger = std::move(ledger);
    openDesk(one.desk, *server);
    one.born = born;
    one.reporting = false;
}

/// From when this daemon may order a server that it begins to hold.
millis orderer_task::firstOrder(const std::string &id)
{
    millis from = bootNow() + announceWait;
    if (const auto released = m_released.find(id); released != m_released.end()) {
        // The daemon before lives and may have ordered right before it gave the server up.
        from = std::max(from, released->second + handOverWait);
        m_released.erase(released);
        m_vacated.erase(id);
    }
    if (const auto before = m_lastOrders.find(id); before != m_lastOrders.end()) {
        // Another daemon held it in between: orders that change hands twice in this span break the rule that
        // one daemon at a time gives them.
        from = std::max(from, before->second + m_settings.orderLease);
    }
    if (m_settings.serversCheckTokens) {
        return from;
    }
    // Of a holder that is gone this is the time that it may have ordered for since it was last heard,
    // whatever its lease: that of servers that check tokens only ends later.
    const millis length = std::max(leaseTime, m_settings.leaseMin);
    const store_view &view = m_store.view();
    if (const auto left = m_vacated.find(id); left != m_vacated.end()) {
        from = std::max(from, firstOrderAt(left->second, length));
        m_vacated.erase(left);
    } else if (m_ownBefore.count(id) == 0) {
        // No holder was ever seen: one may have been there shortly before this daemon first read the store.
        from = std::max(from, view.firstRead + length);
    }
    return std::max(from, bootNow() + (m_replaced.erase(id) != 0 ? replacedWait : beatWait));
}

void orderer_task::drop(const std::string &id, const char *why)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end()) {
        return;
    }
    m_log.important("orderer.dropped").add("server", id).add("fence", found->second.fence).add("why", why);
    answerAll(refuseWaiting(found->second.desk, refusal::NotOrderer));
    if (found->second.lastOrder.count != 0) {
        m_lastOrders[id] = found->second.lastOrder;
    }
    m_servers.erase(found);
}

void orderer_task::answerAll(const std::vector<desk_answer> &answers)
{
    for (const desk_answer &each : answers) {
        answer(each.entry, each.answer);
    }
}

void orderer_task::answer(const std::string &entry, const place_answer &answer)
{
    m_counters.granted += answer.verdict == place_verdict::Granted ? 1 : 0;
    m_counters.refused += answer.verdict == place_verdict::Refused ? 1 : 0;
    m_answer(entry, answer);
}

void orderer_task::take(const std::string &entry, const place_ask &ask)
{
    const auto found = m_servers.find(ask.server);
    const backend_server *server = serverOf(ask.server);
    if (found == m_servers.end() || server == nullptr) {
        if (server != nullptr && ask.limitMilli >= 0) {
            m_limits[ask.server] = {fromMilli(ask.limitMilli), bootNow() - millis{ask.limitAgeMs}, bootNow()};
        }
        answer(entry, refuseAsk(ask.id, ask.server, refusal::NotOrderer, {}));
        return;
    }
    if (server->draining) {
        answer(entry, refuseAsk(ask.id, ask.server, refusal::ServerLeaving, {}));
        return;
    }
    followLimit(ask.server, found->second);
    const place_answer first = askDesk(found->second.desk, entry, ask, bootNow());
    if (first.verdict != place_verdict::Queued) {
        answer(entry, first);
        return;
    }
    pump(ask.server);
    const auto still = m_servers.find(ask.server);
    if (still != m_servers.end() && still->second.desk.queue.running.count(ask.id) == 0) {
        answer(entry, first);
    }
}

void orderer_task::take(const std::string &entry, const place_running &run)
{
    const auto found = m_servers.find(run.server);
    if (found != m_servers.end()) {
        takeRunning(found->second.desk, entry, run, bootNow());
    }
}

void orderer_task::take(const std::string &, const limit_note &note)
{
    const auto found = m_servers.find(note.server);
    if (found == m_servers.end()) {
        if (note.limitMilli >= 0 && serverOf(note.server) != nullptr) {
            m_limits[note.server] = {fromMilli(note.limitMilli), bootNow(), bootNow()};
        }
        return;
    }
    takeLimit(found->second.desk, note, bootNow());
    pump(note.server);
}

/// Guards against: two daemons grant the turns of one server, since one of them is cut off and doesn't know
/// that it was replaced. It shows as a server that gets nearly twice its limit. Holds because only whose
/// lease stands grants the whole limit, and who knows of a successor none of it.
void orderer_task::followLimit(const std::string &id, server_state &one)
{
    if (one.desk.limit.perSecond != one.limitTold) {
        one.limitTold = one.desk.limit.perSecond;
        m_log.important("limit.kept")
            .add("server", id)
            .add("per_second", one.limitTold.value_or(-1))
            .add("fence", one.fence)
            .add("share", one.desk.limit.share);
    }
    if (!one.desk.limit.perSecond) {
        return;
    }
    const bool stands = m_store.holdsRecord(id) && m_store.leaseStands();
    setShare(one.desk.limit, one.fenced ? 0 : stands ? 1 : unprovenShare, bootNow());
}

void orderer_task::setAlone(bool alone)
{
    m_alone = alone;
}

void orderer_task::stop()
{
    m_stopped = true;
    while (!m_servers.empty()) {
        drop(m_servers.begin()->first, "this instance is ending");
    }
}

void orderer_task::take(const std::string &, const place_note &note)
{
    const auto found = m_servers.find(note.server);
    if (found == m_servers.end()) {
        return;
    }
    takeNote(found->second.desk, note, bootNow());
    pump(note.server);
}

std::int64_t orderer_task::newestVersion(const std::string &model, const std::string &adapter) const
{
    const auto found = m_store.view().versions.find(adapterKey(model, adapter));
    return found == m_store.view().versions.end() ? 0 : found->second;
}

bool orderer_task::mayLoadModel(const engine_spec &engine) const
{
    const double daemons = static_cast<double>(std::max<std::size_t>(m_store.view().daemons.size(), 1));
    const double rate = std::max(engine.loadsPerSecond, 0.1);
    const millis pace{std::llround(modelLoadMargin * daemons / rate * msPerSecond)};
    return m_lastModelLoad.count == 0 || bootNow() - m_lastModelLoad >= pace;
}

order_limits orderer_task::limitsFor(const engine_spec &engine) const
{
    order_limits limits;
    limits.models = &engine.models;
    limits.mayLoadModel = mayLoadModel(engine);
    limits.newest = [this](const std::string &model, const std::string &adapter) {
        return newestVersion(model, adapter);
    };
    return limits;
}

/// How many adapters are on their way, to all servers: of those in other cells it hears nothing, and takes
/// them for like the others.
void orderer_task::countLoads()
{
    const millis now = bootNow();
    std::erase_if(m_heardLoads, [&](const auto &each) {
        return now - each.second.at > beatFresh || m_servers.count(each.first) != 0;
    });
    int loads = 0;
    for (const auto &[id, heard] : m_heardLoads) {
        loads += heard.count;
    }
    for (const auto &[id, one] : m_servers) {
        loads += loadsUnderWay(one.desk.ledger);
    }
    const std::size_t counted = m_heardLoads.size() + m_servers.size();
    const auto all = std::max(m_store.view().orderers.size(), counted);
    m_pace.crowd = counted == 0
        ? 0
        : static_cast<double>(loads) * static_cast<double>(all) / static_cast<double>(counted);
}

void orderer_task::pumpAll()
{
    countLoads();
    std::vector<std::string> ids;
    ids.reserve(m_servers.size());
    for (const auto &[id, one] : m_servers) {
        ids.push_back(id);
    }
    for (const std::string &id : ids) {
        pump(id);
    }
}

void orderer_task::pump(const std::string &id)
{
    const auto found = m_servers.find(id);
    const backend_server *server = serverOf(id);
    if (found == m_servers.end() || server == nullptr) {
        return;
    }
    server_state &one = found->second;
    const millis now = bootNow();
    followLimit(id, one);
    followPace(one.desk, m_pace, now);
    dropExpired(one.desk, now);
    if (server->draining) {
        answerAll(refuseWaiting(one.desk, refusal::ServerLeaving));
        return;
    }
    if (one.desk.plain) {
        answerAll(answersDue(one.desk, now));
        return;
    }
    const server_ledger &ledger = one.desk.ledger;
    // Whether a load is done is asked by the order again; who may not order now learns it from a report.
    const bool cantAsk = loadsUnderWay(ledger) > 0 && !mayOrder(id, one);
    const bool unsure = !ledger.proved || !ledger.modelComing.empty() || cantAsk;
    if (unsure && !one.reporting && !ledger.open && now >= ledger.notBefore) {
        askReport(id, one, *server);
    } else if (mayOrder(id, one)) {
        sendOrder(id, one, *server);
    }
    answerAll(answersDue(one.desk, now));
}

/// Guards against: a daemon that is cut off from the store orders on while its successor begins, on a server
/// that doesn't check tokens. It shows as two daemons' loads in one server's places, and as a crash of the
/// server for one too many. Holds because no order is sent, and none stays unanswered, past the time up to
/// which the store's lease is proved, and the successor begins after that (see order_right.h).
bool orderer_task::mayOrder(const std::string &id, const server_state &one) const
{
    const millis now = bootNow();
    if (one.fenced || now < one.mayOrderFrom || now < m_pausedUntil) {
        return false;
    }
    if (m_settings.serversCheckTokens) {
        return !m_alone;
    }
    return m_store.holdsRecord(id) && now >= one.rivalUntil && now + leastOrderTime <= m_store.provenUntil();
}

void orderer_task::askReport(const std::string &id, server_state &one, const backend_server &server)
{
    if (turnsLeft(one.desk.limit, bootNow()) == 0) {
        return;
    }
    takeTurn(one.desk.limit);
    one.reporting = true;
    ++m_counters.reports;
    const auto finish = [this, id, born = one.born](const call_result &result) {
        const auto found = m_servers.find(id);
        if (found == m_servers.end() || found->second.born != born) {
            return;
        }
        server_state &state = found->second;
        state.reporting = false;
        if (const auto limit = m_codec.readAnswer(result.head).limit) {
            nameLimit(state.desk.limit, *limit, bootNow(), bootNow());
        }
        error why;
        const auto report =
            result.how == send_end::Whole ? m_codec.readReport(result.body, why) : std::nullopt;
        const millis now = bootNow();
        if (!report) {
            state.desk.ledger.notBefore = now + reportPause;
            return;
        }
        if (report->born != 0 && report->born < born) {
            state.desk.ledger.notBefore = now + reportPause; // another server's, or late
            return;
        }
        if (report->born > born) {
            startAgain(id, report->born); // the store tells later
        }
        const std::int64_t before = state.desk.ledger.sequence;
        takeReport(state.desk, *report, now);
        // Guards against: a load of weights, seconds long, is asked after at the speed of the net. It showed
        // as a hundred reports a second of each server that loads. A report says all there is to know; the
        // next one is due when something can have changed.
        if (!mayOrder(id, state) || !state.desk.ledger.modelComing.empty()) {
            state.desk.ledger.notBefore = now + reportPause;
        }
        m_log.ordinary("server.report")
            .add("server", id)
            .add("sequence", report->sequence)
            .add("expected", before)
            .add("models", static_cast<std::int64_t>(report->models.size()))
            .add("adapters", static_cast<std::int64_t>(state.desk.ledger.adapters.size()));
        pump(id);
    };
    callServer(m_loop, m_pool, server.address, m_codec.writeReportCall(server), reportTimeout, finish);
}

void orderer_task::sendOrder(const std::string &id, server_state &one, const backend_server &server)
{
    const engine_spec *engine = engineOfServer(server);
    if (engine == nullptr) {
        return;
    }
    auto order = orderDue(one.desk, limitsFor(*engine), bootNow());
    if (!order) {
        return;
    }
    order->holder = m_settings.node;
    order->fence = one.fence;
    one.desk.ledger.open = order;
    one.lastOrder = bootNow();
    const millis atMost = m_settings.serversCheckTokens
        ? orderTimeout
        : std::min(orderTimeout, m_store.provenUntil() - one.lastOrder);
    ++m_counters.orders;
    if (order->adapter.empty() && order->kind == order_kind::Load) {
        m_lastModelLoad = bootNow();
    }
    const auto finish = [this, id, born = one.born, fence = one.fence, sent = *order](
                            const call_result &result) {
        switch (result.how) {
        case send_end::Whole:
            onOrderEnd(id, born, fence, sent, m_codec.readOrderAnswer(result.status));
            return;
        case send_end::Unsent:
            onOrderEnd(id, born, fence, sent, order_answer::Refused);
            return;
        case send_end::Broken:
            onOrderEnd(id, born, fence, sent, order_answer::Unknown);
            return;
        }
    };
    callServer(m_loop, m_pool, server.address, m_codec.writeOrder(*order, server), atMost, finish);
}

void orderer_task::onOrderEnd(const std::string &id, std::int64_t born, std::uint64_t fence,
    const server_order &order, order_answer answer)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end() || found->second.fence != fence || found->second.born != born) {
        return;
    }
    server_state &one = found->second;
    const bool fine = answer == order_answer::Holds || answer == order_answer::Accepted;
    (fine ? m_log.ordinary("order.answered") : m_log.important("order.answered"))
        .add("server", id)
        .add("order", order.kind == order_kind::Load ? "load" : "unload")
        .add("adapter", adapterKey(order.model, order.adapter))
        .add("version", order.version)
        .add("expected", order.expected)
        .add("fence", fence)
        .add("outcome", nameOf(answer));
    m_counters.ordersUnknown += answer == order_answer::Unknown ? 1 : 0;
    m_counters.loads += answer == order_answer::Accepted && order.kind == order_kind::Load ? 1 : 0;
    m_counters.unloads += fine && order.kind == order_kind::Unload ? 1 : 0;
    takeAnswer(one.desk.ledger, order, answer, bootNow());
    if (answer == order_answer::Fenced) {
        // Someone ordered under a higher token. If the record still names this daemon, a new claim raises
        // its token above; if not, the view drops the server.
        one.fenced = true;
        m_store.claim(id);
    }
    pump(id);
}

fleet_beat orderer_task::beat()
{
    const millis now = bootNow();
    if (m_lastBeat.count != 0 && now - m_lastBeat > stillMost) {
        // Others may have replaced it meanwhile. The store's news say so within this time; an order before
        // would be one more change of hands.
        m_pausedUntil = now + stillPause;
        m_log.important("orderer.stood_still").add("ms", now - m_lastBeat);
    }
    m_lastBeat = now;
    fleet_beat out;
    out.orderingMs = std::max<std::int64_t>((m_store.provenUntil() - bootNow()).count, 0);
    out.loadsAtOnce = std::llround(toPassOn(m_pace, bootNow()));
    for (const auto &[id, one] : m_servers) {
        server_beat server = beatOf(one.desk, mayOrder(id, one), now);
        server.fence = one.fence;
        out.servers.push_back(std::move(server));
        if (auto limit = limitBeatOf(one.desk, now)) {
            out.limits.push_back(std::move(*limit));
        }
    }
    return out;
}

const orderer_counters &orderer_task::counters() const
{
    return m_counters;
}

}
