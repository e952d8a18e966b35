#include "serving/orderer_task.h"

#include "coordination/rendezvous.h"
#include "transport/backend_call.h"

#include <algorithm>
#include <cmath>

namespace briarhead {

namespace {

/// How often waiting prompts and loads on their way are looked at, besides after each event.
constexpr millis pumpEvery{20};
constexpr millis claimEvery{300};
/// When all daemons start at once the first to register would claim every server before it sees the others.
constexpr millis settleTime{400};
/// An order is answered at once; without an answer for so long it counts as unknown.
constexpr millis orderTimeout{600};
constexpr millis reportTimeout{700};
constexpr millis reportPause{250};
/// Loads of base models are paced so that all daemons together stay under the weight store's rate, also if
/// all begin at once.
constexpr double modelLoadMargin = 1.3;
constexpr std::int64_t msPerSecond = 1'000;
/// A daemon that ends gives orders for 2.3 s more; those it gave before its end began are then this close to
/// the three seconds that two daemons' orders keep apart.
constexpr millis handOverWait{800};
/// Entries tell a new orderer at its first beat what still runs; until they have, adapters in use look idle.
constexpr millis announceWait{250};
/// The least that a refused caller is asked to wait.
constexpr millis shortestComeBack{150};
/// While every place is used, one is free again after about this long: the rest of a short answer.
constexpr millis placeComeBack{400};

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
        drop(id, "the server is gone");
    }
    const store_view &view = m_store.view();
    for (const auto &[id, entry] : view.orderers) {
        const bool mine =
            entry.record.node == m_settings.node && entry.record.incarnation == m_store.incarnation();
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

/// A server without a daemon that gives its orders is claimed by the one that rendezvous hashing proposes,
/// out of those in its failure domain where there are any.
void orderer_task::claimOrphans()
{
    const store_view &view = m_store.view();
    if (m_stopped || !view.config || view.daemons.count(m_settings.node) == 0) {
        return;
    }
    for (const auto &[id, server] : view.servers) {
        const auto entry = view.orderers.find(id);
        const bool formerSelf = entry != view.orderers.end() && entry->second.record.node == m_settings.node
            && entry->second.record.incarnation != m_store.incarnation();
        const bool orphan = entry == view.orderers.end() || entry->second.record.node.empty() || formerSelf;
        if (!orphan || server.draining || engineOfServer(server) == nullptr) {
            continue;
        }
        std::vector<std::string> near;
        std::vector<std::string> all;
        for (const auto &[node, record] : view.daemons) {
            all.push_back(node);
            if (record.failureDomain == server.failureDomain) {
                near.push_back(node);
            }
        }
        const bool settled = bootNow() - view.registeredAt >= settleTime;
        if (formerSelf || (settled && rendezvousFirst(id, near.empty() ? all : near) == m_settings.node)) {
            m_store.claim(id);
        }
    }
}

void orderer_task::begin(const std::string &id, const orderer_entry &entry)
{
    const backend_server *server = serverOf(id);
    const engine_spec *engine = server == nullptr ? nullptr : engineOfServer(*server);
    if (engine == nullptr || m_stopped) {
        return;
    }
    const auto fence = static_cast<std::uint64_t>(entry.revision);
    if (const auto held = m_servers.find(id); held != m_servers.end()) {
        held->second.fence = fence;
        held->second.fenced = false;
        held->second.ledger.proved = false;
        return;
    }
    server_state one;
    one.fence = fence;
    if (const auto released = m_released.find(id); released != m_released.end()) {
        // The daemon before lives and may have ordered right before it gave the server up.
        one.mayOrderFrom = released->second + handOverWait;
        m_released.erase(released);
    } else {
        one.mayOrderFrom = bootNow() + announceWait;
    }
    one.ledger.server = id;
    one.ledger.places = engine->adapterPlaces;
    one.ledger.weightsMb = engine->weightsMb;
    one.queue.slots = std::min(server->slots, engine->slots);
    one.queue.memoryTokens = engine->memoryTokens;
    m_servers.emplace(id, std::move(one));
    m_log.important("orderer.taken").add("server", id).add("fence", fence);
    pump(id);
}

void orderer_task::drop(const std::string &id, const char *why)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end()) {
        return;
    }
    m_log.important("orderer.dropped").add("server", id).add("fence", found->second.fence).add("why", why);
    dropQueue(id, found->second, refusal::NotOrderer);
    m_servers.erase(found);
}

void orderer_task::dropQueue(const std::string &id, server_state &one, refusal why)
{
    for (const waiting_prompt &prompt : one.queue.waiting) {
        refuse(prompt.entry, prompt.id, id, why, shortestComeBack);
    }
    one.queue.waiting.clear();
}

void orderer_task::refuse(
    const std::string &entry, const std::string &id, const std::string &server, refusal why, millis comeBack)
{
    ++m_counters.refused;
    m_answer(entry, {id, server, place_verdict::Refused, why, 0, std::max(comeBack, shortestComeBack).count});
}

void orderer_task::take(const std::string &entry, const place_ask &ask)
{
    const auto found = m_servers.find(ask.server);
    const backend_server *server = serverOf(ask.server);
    if (found == m_servers.end() || server == nullptr) {
        refuse(entry, ask.id, ask.server, refusal::NotOrderer, {});
        return;
    }
    server_state &one = found->second;
    if (server->draining) {
        refuse(entry, ask.id, ask.server, refusal::ServerLeaving, {});
        return;
    }
    if (one.ledger.proved && one.ledger.models.empty() && one.ledger.modelComing.empty()) {
        refuse(entry, ask.id, ask.server, refusal::NotHeld, {});
        return;
    }
    const millis now = bootNow();
    if (const auto running = one.queue.running.find(ask.id); running != one.queue.running.end()) {
        const adapter_place *place = findPlace(one.ledger, ask.model, ask.adapter);
        m_answer(entry,
            {ask.id, ask.server, place_verdict::Granted, refusal::None, place == nullptr ? 0 : place->version,
                0});
        return;
    }
    const bool needsPlace = !ask.adapter.empty() && findPlace(one.ledger, ask.model, ask.adapter) == nullptr;
    if (needsPlace && openPlaces(one.ledger) <= adaptersWaited(one, ask.model, ask.adapter)) {
        refuse(entry, ask.id, ask.server, refusal::NoPlace, placeComeBack);
        return;
    }
    const waiting_prompt prompt{ask.id, entry, ask.model, ask.adapter, ask.promptTokens, ask.outputTokens,
        ask.rank, now - millis{ask.ageMs}, now + millis{ask.waitMs}, now + millis{ask.deadlineMs}};
    const admission admitted = admit(one.queue, prompt, now);
    if (!admitted.taken) {
        refuse(entry, ask.id, ask.server, refusal::TooBusy, admitted.wait - millis{ask.waitMs});
        return;
    }
    pump(ask.server);
    const auto still = m_servers.find(ask.server);
    if (still != m_servers.end() && still->second.queue.running.count(ask.id) == 0) {
        m_answer(entry, {ask.id, ask.server, place_verdict::Queued, refusal::None, 0, 0});
    }
}

/// Other adapters that prompts wait for and that have no place yet.
int orderer_task::adaptersWaited(
    const server_state &one, const std::string &model, const std::string &adapter) const
{
    std::set<std::string> names;
    for (const waiting_prompt &prompt : one.queue.waiting) {
        const bool other = prompt.model != model || prompt.adapter != adapter;
        if (other && !prompt.adapter.empty()
            && findPlace(one.ledger, prompt.model, prompt.adapter) == nullptr) {
            names.insert(adapterKey(prompt.model, prompt.adapter));
        }
    }
    return static_cast<int>(names.size());
}

void orderer_task::take(const std::string &entry, const place_running &run)
{
    const auto found = m_servers.find(run.server);
    if (found == m_servers.end() || found->second.queue.running.count(run.id) != 0) {
        return;
    }
    const millis now = bootNow();
    const waiting_prompt prompt{run.id, entry, run.model, run.adapter, run.promptTokens, run.outputTokens, 0,
        now, now, now + millis{run.deadlineMs}};
    found->second.queue.running.emplace(run.id, running_prompt{prompt, now, run.reading});
    beginUse(found->second.ledger, run.model, run.adapter, now);
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
    server_state &one = found->second;
    const millis now = bootNow();
    switch (note.event) {
    case place_event::FirstToken:
        firstToken(one.queue, note.id, now);
        break;
    case place_event::NotHeld:
    case place_event::Ended:
    case place_event::Failed:
        if (const auto run = ended(one.queue, note.id, now)) {
            endUse(one.ledger, run->what.model, run->what.adapter);
            if (note.event == place_event::NotHeld) {
                notHeld(one.ledger, run->what.model, run->what.adapter, now);
            }
        }
        break;
    }
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

order_limits orderer_task::limitsFor(const server_state &one, const engine_spec &engine) const
{
    order_limits limits;
    limits.models = &engine.models;
    limits.mayLoadModel = mayLoadModel(engine);
    limits.newest = [this](const std::string &model, const std::string &adapter) {
        return newestVersion(model, adapter);
    };
    limits.waitedFor = [&one](const std::string &model, const std::string &adapter) {
        return std::any_of(
            one.queue.waiting.begin(), one.queue.waiting.end(), [&](const waiting_prompt &prompt) {
                return prompt.model == model && prompt.adapter == adapter;
            });
    };
    return limits;
}

void orderer_task::pumpAll()
{
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
    for (const running_prompt &run : expired(one.queue, now)) {
        endUse(one.ledger, run.what.model, run.what.adapter);
    }
    if (server->draining) {
        dropQueue(id, one, refusal::ServerLeaving);
        return;
    }
    const bool mayOrder = !one.fenced && now >= one.mayOrderFrom;
    const bool unsure = !one.ledger.proved || !one.ledger.modelComing.empty();
    if (unsure && !one.reporting && !one.ledger.open && now >= one.ledger.notBefore) {
        askReport(id, one, *server);
    } else if (mayOrder) {
        sendOrder(id, one, *server);
    }
    grantAll(id, one);
}

void orderer_task::askReport(const std::string &id, server_state &one, const backend_server &server)
{
    one.reporting = true;
    ++m_counters.reports;
    const auto finish = [this, id](const call_result &result) {
        const auto found = m_servers.find(id);
        if (found == m_servers.end()) {
            return;
        }
        server_state &state = found->second;
        state.reporting = false;
        error why;
        const auto report =
            result.how == send_end::Whole ? m_codec.readReport(result.body, why) : std::nullopt;
        const millis now = bootNow();
        if (!report) {
            state.ledger.notBefore = now + reportPause;
            return;
        }
        const std::int64_t before = state.ledger.sequence;
        takeReport(state.ledger, *report, now);
        m_log.ordinary("server.report")
            .add("server", id)
            .add("sequence", report->sequence)
            .add("expected", before)
            .add("models", static_cast<std::int64_t>(report->models.size()))
            .add("adapters", static_cast<std::int64_t>(state.ledger.adapters.size()));
        // Uses of adapters survive a report only by their grants.
        for (adapter_place &place : state.ledger.adapters) {
            place.users = 0;
            for (const auto &[runId, run] : state.queue.running) {
                place.users += run.what.model == place.model && run.what.adapter == place.adapter ? 1 : 0;
            }
        }
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
    std::vector<adapter_want> wants;
    for (const waiting_prompt &prompt : one.queue.waiting) {
        if (!prompt.adapter.empty()) {
            wants.push_back({prompt.model, prompt.adapter});
        }
    }
    auto order = nextOrder(one.ledger, wants, limitsFor(one, *engine), bootNow());
    if (!order) {
        return;
    }
    order->holder = m_settings.node;
    order->fence = one.fence;
    one.ledger.open = order;
    ++m_counters.orders;
    if (order->adapter.empty() && order->kind == order_kind::Load) {
        m_lastModelLoad = bootNow();
    }
    const auto finish = [this, id, fence = one.fence, sent = *order](const call_result &result) {
        switch (result.how) {
        case send_end::Whole:
            onOrderEnd(id, fence, sent, m_codec.readOrderAnswer(result.status));
            return;
        case send_end::Unsent:
            onOrderEnd(id, fence, sent, order_answer::Refused);
            return;
        case send_end::Broken:
            onOrderEnd(id, fence, sent, order_answer::Unknown);
            return;
        }
    };
    callServer(m_loop, m_pool, server.address, m_codec.writeOrder(*order, server), orderTimeout, finish);
}

void orderer_task::onOrderEnd(
    const std::string &id, std::uint64_t fence, const server_order &order, order_answer answer)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end() || found->second.fence != fence) {
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
    takeAnswer(one.ledger, order, answer, bootNow());
    if (answer == order_answer::Fenced) {
        // Someone ordered under a higher token. If the record still names this daemon, a new claim raises
        // its token above; if not, the view drops the server.
        one.fenced = true;
        m_store.claim(id);
    }
    pump(id);
}

void orderer_task::grantAll(const std::string &id, server_state &one)
{
    const auto ready = [&one](const waiting_prompt &prompt) {
        if (!holdsModel(one.ledger, prompt.model)) {
            return false;
        }
        if (prompt.adapter.empty()) {
            return true;
        }
        const adapter_place *place = findPlace(one.ledger, prompt.model, prompt.adapter);
        return place != nullptr && place->state == place_state::Resident;
    };
    std::vector<waiting_prompt> late;
    const millis now = bootNow();
    for (const waiting_prompt &prompt : letIn(one.queue, ready, late, now)) {
        beginUse(one.ledger, prompt.model, prompt.adapter, now);
        const adapter_place *place = findPlace(one.ledger, prompt.model, prompt.adapter);
        ++m_counters.granted;
        m_answer(prompt.entry,
            {prompt.id, id, place_verdict::Granted, refusal::None, place == nullptr ? 0 : place->version, 0});
    }
    for (const waiting_prompt &prompt : late) {
        refuse(prompt.entry, prompt.id, id, refusal::TooBusy, shortestComeBack);
    }
}

fleet_beat orderer_task::beat() const
{
    fleet_beat out;
    for (const auto &[id, one] : m_servers) {
        server_beat server;
        server.server = id;
        server.fence = one.fence;
        server.held = !one.ledger.models.empty();
        for (const adapter_place &place : one.ledger.adapters) {
            if (place.state != place_state::Unloading) {
                server.adapters.push_back(
                    {adapterKey(place.model, place.adapter), place.state == place_state::Loading});
            }
        }
        const bool mayOrder = !one.fenced && bootNow() >= one.mayOrderFrom && one.ledger.proved;
        // Less those that are spoken for; entries would else go on sending there what is refused.
        const int open = openPlaces(one.ledger) - adaptersWaited(one, "", "");
        server.openPlaces = mayOrder ? static_cast<std::uint32_t>(std::max(open, 0)) : 0;
        server.backlogTokens = backlogTokens(one.queue);
        server.tokensPerSecond = std::llround(one.queue.speed * msPerSecond);
        server.running = static_cast<std::uint32_t>(one.queue.running.size());
        out.servers.push_back(std::move(server));
    }
    return out;
}

const orderer_counters &orderer_task::counters() const
{
    return m_counters;
}

}
