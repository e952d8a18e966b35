#include "load_model/load_model.h"

#include "scheduling/choose_server.h"
#include "scheduling/observed_server.h"
#include "scheduling/slot_scheduler.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <list>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>

namespace briarhead::load_model {

namespace {

/// The clock of the model begins here, since 0 stands for "never" in some structs.
constexpr std::int64_t startMs = 100'000;
constexpr std::int64_t pumpEveryMs = 20;
constexpr std::int64_t beatEveryMs = 150;
constexpr std::int64_t farBeatEveryMs = 450;
constexpr std::int64_t comeBackSoonMs = 300;
/// Callers heed a time to come back up to this share of the time that they have left.
constexpr double heededShare = 1.0 / 3;
constexpr double mostSize = 4;
constexpr double knownShare = 0.1;
const std::string baseModel = "base";

struct arrival
{
    std::int64_t atMs = 0;
    std::size_t kind = 0;
    std::string adapter; ///< empty: the base model alone
    std::size_t entry = 0;
    int topic = 0; ///< which of the shared first parts its prompt begins with
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    double size = 0; ///< against the mean of its kind, see worthOf
};

struct request
{
    arrival what;
    std::string id;
    std::int64_t arrivedMs = 0; ///< of this attempt
    bool returned = false;
    std::set<std::size_t> excluded;
    int tried = 0;
    std::int64_t shortestWaitMs = -1;
    std::optional<std::size_t> server; ///< asked, or sent to
    bool running = false;
    double firstMs = 0;
    double lastMs = 0;
    double worstGapMs = 0;
};

struct coming_adapter
{
    double leftMs = 0; ///< at full speed
    bool fromStore = true;
};

struct model_server
{
    std::string id;
    std::size_t domain = 0;
    slot_scheduler desk;
    load_estimate pace; ///< of its orderer
    engine_model engine;
    std::set<std::string> resident;
    std::map<std::string, coming_adapter> coming;
    std::list<std::string> remembered;
    std::set<std::string> keptParts; ///< adapter and topic of prompts read here
    std::int64_t sequence = 0;
    bool lost = false;
};

double logNormal(std::mt19937_64 &random, double mean, double spread, double most)
{
    // `spread` is the deviation relative to the mean.
    const double variance = std::log1p(spread * spread);
    std::lognormal_distribution<double> draw(std::log(mean) - variance / 2, std::sqrt(variance));
    return std::min(draw(random), most);
}

class day
{
public:
    day(const load_plan &plan, route_policy policy, std::uint64_t seed);
    load_result play();

private:
    void makeArrivals(std::uint64_t seed);
    arrival drawArrival(std::mt19937_64 &random, const std::vector<double> &popularity, std::int64_t atMs);
    void loseAndRestore();
    void slowAndRestore();
    void take(const arrival &what, bool returned);
    void startModel(request &one);
    std::optional<std::size_t> choose(const std::vector<model_candidate> &candidates,
        const std::vector<std::size_t> &loads, const prompt_shape &prompt);
    void onAnswer(const slot_response &answer);
    void send(request &one, std::size_t server);
    void refuse(request &one);
    void onEvents(std::size_t server);
    void pump(std::size_t server);
    order_result carryOut(model_server &server, const server_order &order);
    void goOnLoading();
    void tellLoads();
    void beats();
    void finish(const std::string &id, bool complete);
    void dropDead();
    double worthOf(const arrival &what) const;
    /// Callers announce the most that their kind can have.
    std::int64_t announcedTokens(const request_kind &kind) const;
    millis now() const
    {
        return millis{m_nowMs};
    }

    load_plan m_plan;
    route_policy m_policy;
    std::mt19937_64 m_random;
    std::vector<model_spec> m_models;
    std::int64_t m_nowMs = startMs;
    std::vector<model_server> m_servers;
    std::vector<std::vector<observed_server>> m_heard; ///< by entry, then server
    std::vector<response_mix> m_answers; ///< by entry
    std::vector<arrival> m_arrivals;
    std::multimap<std::int64_t, arrival> m_returns;
    std::map<std::string, request> m_requests;
    std::multimap<std::int64_t, std::string> m_deadlines;
    int m_lastId = 0;
    load_result m_result;
};

day::day(const load_plan &plan, route_policy policy, std::uint64_t seed)
    : m_plan(plan)
    , m_policy(policy)
    , m_random(seed + 1)
{
    model_spec base;
    base.name = baseModel;
    m_models = {base};
    for (std::size_t i = 0; i < plan.servers; ++i) {
        model_server server;
        server.id = "server-" + std::to_string(i);
        server.domain = i % plan.domains;
        server.engine.figures = plan.engine;
        server.engine.slowness = plan.slowness[i % plan.slowness.size()];
        server.desk.ledger.server = server.id;
        server.desk.ledger.slots = plan.places;
        server.desk.ledger.weightsMb = 1;
        server.desk.ledger.confirmed = true;
        server.desk.ledger.models = {baseModel};
        server.desk.queue.maxRunning = plan.engine.slots;
        server.desk.queue.memoryTokens = plan.engine.memoryTokens;
        server.desk.features.gapPrediction = plan.gapPrediction;
        m_servers.push_back(std::move(server));
    }
    m_heard.resize(plan.entries, std::vector<observed_server>(plan.servers));
    m_answers.resize(plan.entries);
    makeArrivals(seed);
}

void day::makeArrivals(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<double> popularity;
    double sum = 0;
    for (std::size_t i = 0; i < m_plan.adapters; ++i) {
        sum += std::pow(static_cast<double>(i + 1), -m_plan.zipf);
        popularity.push_back(sum);
    }
    std::vector<double> sizes(m_plan.kinds.size());
    std::vector<int> counts(m_plan.kinds.size());
    double at = 0;
    while (true) {
        const auto atMs = static_cast<std::int64_t>(at);
        const bool bursting = atMs >= m_plan.burstFromMs && atMs < m_plan.burstToMs;
        const double groups = m_plan.perSecond * (bursting ? m_plan.burst : 1) / m_plan.clump / 1e3;
        at += std::exponential_distribution<double>(groups)(random);
        if (at >= static_cast<double>(m_plan.lengthMs)) {
            break;
        }
        const int members = 1 + std::geometric_distribution<int>(1 / m_plan.clump)(random);
        for (int i = 0; i < members; ++i) {
            arrival one = drawArrival(random, popularity, static_cast<std::int64_t>(at));
            one.size = static_cast<double>(one.promptTokens + 10 * one.outputTokens);
            sizes[one.kind] += one.size;
            ++counts[one.kind];
            m_arrivals.push_back(std::move(one));
        }
    }
    for (arrival &one : m_arrivals) {
        one.size /= sizes[one.kind] / counts[one.kind];
    }
}

arrival day::drawArrival(std::mt19937_64 &random, const std::vector<double> &popularity, std::int64_t atMs)
{
    const auto unit = [&random] {
        return std::uniform_real_distribution<double>(0, 1)(random);
    };
    arrival one;
    one.atMs = startMs + atMs;
    double pick = unit();
    while (one.kind + 1 < m_plan.kinds.size() && pick >= m_plan.kinds[one.kind].share) {
        pick -= m_plan.kinds[one.kind].share;
        ++one.kind;
    }
    const request_kind &kind = m_plan.kinds[one.kind];
    const auto rank = std::upper_bound(popularity.begin(), popularity.end(), unit() * popularity.back());
    const auto shifts = atMs / m_plan.shiftEveryMs;
    const auto index = (rank - popularity.begin()) + shifts;
    one.adapter = unit() < m_plan.withAdapter ? "a" + std::to_string(index) : "";
    one.entry = std::uniform_int_distribution<std::size_t>(0, m_plan.entries - 1)(random);
    one.topic = std::uniform_int_distribution<int>(0, 2)(random);
    one.promptTokens = kind.sharedTokens
        + std::llround(logNormal(random, kind.promptMean, kind.promptSpread, kind.promptMost));
    const double events = logNormal(random, kind.eventsMean, kind.eventsSpread, kind.eventsMost);
    one.outputTokens = std::max<std::int64_t>(1, std::llround(events)) * m_plan.engine.tokensPerEvent;
    return one;
}

load_result day::play()
{
    std::size_t next = 0;
    const std::int64_t endMs = startMs + m_plan.lengthMs + 16'000;
    for (; m_nowMs < endMs; ++m_nowMs) {
        loseAndRestore();
        slowAndRestore();
        goOnLoading();
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            onEvents(i);
        }
        dropDead();
        if (m_nowMs % beatEveryMs == 0) {
            beats();
        }
        while (next < m_arrivals.size() && m_arrivals[next].atMs <= m_nowMs) {
            take(m_arrivals[next++], false);
        }
        while (!m_returns.empty() && m_returns.begin()->first <= m_nowMs) {
            const arrival back = m_returns.begin()->second;
            m_returns.erase(m_returns.begin());
            take(back, true);
        }
        if (m_nowMs % pumpEveryMs == 0) {
            for (std::size_t i = 0; i < m_servers.size(); ++i) {
                pump(i);
            }
        }
    }
    return m_result;
}

void day::loseAndRestore()
{
    const auto count =
        static_cast<std::size_t>(std::llround(m_plan.lost * static_cast<double>(m_servers.size())));
    for (std::size_t i = 0; i < count; ++i) {
        model_server &server = m_servers[i];
        if (m_nowMs == startMs + m_plan.lostFromMs) {
            server.lost = true;
            std::vector<std::string> cut;
            for (const auto &[id, one] : m_requests) {
                if (one.server == i) {
                    cut.push_back(id);
                }
            }
            for (const std::string &id : cut) {
                finish(id, false);
            }
            server.engine.runs.clear();
            server.engine.stepEndsMs = 0;
            server.desk.queue.running.clear();
            server.desk.queue.waiting.clear();
            server.desk.ledger.adapters.clear();
            server.resident.clear();
            server.coming.clear();
            server.remembered.clear();
            server.keptParts.clear();
        } else if (m_nowMs == startMs + m_plan.lostToMs) {
            server.lost = false;
        }
    }
}

void day::slowAndRestore()
{
    const auto count =
        static_cast<std::size_t>(std::llround(m_plan.slowed * static_cast<double>(m_servers.size())));
    for (std::size_t i = 0; i < count; ++i) {
        double &slowness = m_servers[i].engine.slowness;
        if (m_nowMs == startMs + m_plan.slowedFromMs) {
            slowness *= m_plan.slowedBy;
        } else if (m_nowMs == startMs + m_plan.slowedToMs) {
            slowness = m_plan.slowness[i % m_plan.slowness.size()];
        }
    }
}

void day::take(const arrival &what, bool returned)
{
    request one;
    one.what = what;
    one.id = "r" + std::to_string(++m_lastId);
    one.arrivedMs = m_nowMs;
    one.returned = returned;
    kind_result &kind = m_result.kinds[m_plan.kinds[what.kind].name];
    if (!returned) {
        ++kind.requests;
        kind.owed += worthOf(what);
    }
    const std::string id = one.id;
    m_deadlines.emplace(what.atMs + m_plan.kinds[what.kind].deadlineMs, id);
    startModel(m_requests.emplace(id, std::move(one)).first->second);
}

void day::startModel(request &one)
{
    const arrival &what = one.what;
    const std::string key = adapterKey(baseModel, what.adapter);
    std::vector<model_candidate> candidates;
    std::vector<std::string_view> names;
    std::vector<std::size_t> loads;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        const observed_server &heard = m_heard[what.entry][i];
        model_candidate candidate = candidateOf(heard, key, !what.adapter.empty(), now());
        candidate.excluded = candidate.excluded || m_servers[i].lost || one.excluded.count(i) != 0;
        candidate.sameDomain = m_servers[i].domain == what.entry % m_plan.domains;
        candidates.push_back(candidate);
        names.push_back(m_servers[i].id);
        loads.push_back(heard.heartbeat.running);
    }
    rankByHash(candidates, names, key);
    response_mix &answers = m_answers[what.entry];
    const std::int64_t announced = announcedTokens(m_plan.kinds[what.kind]);
    if (one.tried == 0) {
        recordOutputLength(answers, announced);
        recordPromptLength(answers.prompts, what.promptTokens);
    }
    prompt_shape prompt = shapeOf(answers, what.promptTokens, announced);
    if (m_plan.gapPrediction) {
        const auto limitMs = static_cast<double>(m_plan.gapMs);
        prompt.gaps = {limitMs, limitMs, announced, answers.prompts};
    }
    prompt.copyCostShare = copyCostShareOf(candidates);
    const auto chosen = choose(candidates, loads, prompt);
    if (!chosen || one.tried >= maxServersTried) {
        refuse(one);
        return;
    }
    ++one.tried;
    one.server = chosen;
    model_server &server = m_servers[*chosen];
    countSlotRequest(m_heard[what.entry][*chosen], what.promptTokens, candidates[*chosen].adapter);
    const request_kind &kind = m_plan.kinds[what.kind];
    const millis waited{m_nowMs - one.arrivedMs};
    const millis wait = maxSlotWait(millis{m_plan.targetMs}) - waited;
    const slot_request ask{one.id, server.id, baseModel, what.adapter, what.promptTokens, announced,
        kind.rank, std::max<std::int64_t>(wait.count, 0), what.atMs + kind.deadlineMs - m_nowMs,
        m_plan.targetMs - waited.count};
    slot_terms terms;
    terms.maxGap = millis{m_plan.gapPrediction ? m_plan.gapMs : 0};
    const slot_response answer =
        handleSlotRequest(server.desk, std::to_string(what.entry), ask, now(), terms);
    if (answer.decision == slot_decision::Queued) {
        pump(*chosen);
    } else {
        onAnswer(answer);
    }
}

std::optional<std::size_t> day::choose(const std::vector<model_candidate> &candidates,
    const std::vector<std::size_t> &loads, const prompt_shape &prompt)
{
    std::vector<std::size_t> open;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!candidates[i].excluded) {
            open.push_back(i);
        }
    }
    if (open.empty()) {
        return std::nullopt;
    }
    switch (m_policy) {
    case route_policy::Random:
        return open[std::uniform_int_distribution<std::size_t>(0, open.size() - 1)(m_random)];
    case route_policy::LeastInFlight:
        return *std::min_element(open.begin(), open.end(), [&](std::size_t a, std::size_t b) {
            return loads[a] < loads[b];
        });
    case route_policy::Rendezvous:
        return *std::min_element(open.begin(), open.end(), [&](std::size_t a, std::size_t b) {
            return candidates[a].hashRank < candidates[b].hashRank;
        });
    case route_policy::Briarhead:
        return chooseModelServer(candidates, prompt);
    }
    return std::nullopt;
}

void day::onAnswer(const slot_response &answer)
{
    const auto found = m_requests.find(answer.id);
    if (found == m_requests.end() || found->second.running) {
        return;
    }
    request &one = found->second;
    if (answer.decision == slot_decision::Granted) {
        send(one, *one.server);
    } else if (answer.decision == slot_decision::Refused) {
        ++m_result.refusals[static_cast<int>(answer.why)];
        one.shortestWaitMs =
            one.shortestWaitMs < 0 ? answer.retryAfterMs : std::min(one.shortestWaitMs, answer.retryAfterMs);
        one.excluded.insert(*one.server);
        startModel(one);
    }
}

void day::send(request &one, std::size_t index)
{
    model_server &server = m_servers[index];
    const arrival &what = one.what;
    one.running = true;
    one.lastMs = static_cast<double>(m_nowMs);
    m_result.crossDomain += server.domain == what.entry % m_plan.domains ? 0 : 1;
    const std::string part = what.adapter + '#' + std::to_string(what.topic);
    const bool kept = !server.keptParts.insert(part).second;
    const std::int64_t shared = kept ? m_plan.kinds[what.kind].sharedTokens / 2 : 0;
    addRun(server.engine,
        {one.id, what.promptTokens, what.promptTokens - shared, what.outputTokens, 0,
            m_plan.kinds[what.kind].rank});
}

void day::refuse(request &one)
{
    const request_kind &kind = m_plan.kinds[one.what.kind];
    const std::int64_t left = one.what.atMs + kind.deadlineMs - m_nowMs;
    const std::int64_t told = one.shortestWaitMs >= 0 ? one.shortestWaitMs : comeBackSoonMs;
    const bool comesBack = !one.returned && left > 0
        && std::uniform_real_distribution<double>(0, 1)(m_random) < m_plan.retryShare;
    if (comesBack) {
        const auto heeded = static_cast<std::int64_t>(static_cast<double>(left) * heededShare);
        m_returns.emplace(m_nowMs + std::min(told, heeded), one.what);
    } else {
        ++m_result.kinds[kind.name].refused;
    }
    const std::string id = one.id;
    m_requests.erase(id);
}

void day::onEvents(std::size_t index)
{
    model_server &server = m_servers[index];
    const auto events = advance(server.engine, static_cast<double>(m_nowMs));
    for (const engine_event &event : events) {
        const auto found = m_requests.find(event.id);
        if (found == m_requests.end()) {
            continue;
        }
        request &one = found->second;
        if (event.first) {
            one.firstMs = event.atMs;
            onRequestEvent(server.desk, {event.id, server.id, slot_event::FirstToken}, now());
        } else {
            one.worstGapMs = std::max(one.worstGapMs, event.atMs - one.lastMs);
        }
        one.lastMs = event.atMs;
        if (event.last) {
            onRequestEvent(server.desk, {event.id, server.id, slot_event::Ended}, now());
            finish(event.id, true);
        }
    }
    if (!events.empty()) {
        pump(index);
    }
}

/// The weight store's rate is shared by all loads once there are more than it serves at full speed.
void day::goOnLoading()
{
    std::size_t fromStore = 0;
    for (const model_server &server : m_servers) {
        for (const auto &[key, load] : server.coming) {
            fromStore += load.fromStore ? 1 : 0;
        }
    }
    const double share = fromStore == 0
        ? 1
        : std::min(1.0, static_cast<double>(m_plan.loadsAtFullSpeed) / static_cast<double>(fromStore));
    for (model_server &server : m_servers) {
        for (auto it = server.coming.begin(); it != server.coming.end();) {
            it->second.leftMs -= it->second.fromStore ? share : 1;
            if (it->second.leftMs > 0) {
                ++it;
                continue;
            }
            server.resident.insert(it->first);
            server.remembered.remove(it->first);
            it = server.coming.erase(it);
        }
    }
}

order_result day::carryOut(model_server &server, const server_order &order)
{
    const std::string key = adapterKey(order.model, order.adapter);
    if (order.kind == order_kind::Unload) {
        server.resident.erase(key);
        server.remembered.push_front(key);
        if (server.remembered.size() > m_plan.remembered) {
            server.remembered.pop_back();
        }
        ++server.sequence;
        return order_result::AlreadyDone;
    }
    if (server.resident.count(key) != 0) {
        return order_result::AlreadyDone;
    }
    if (server.coming.count(key) != 0) {
        return order_result::Accepted;
    }
    const bool known =
        std::find(server.remembered.begin(), server.remembered.end(), key) != server.remembered.end();
    ++(known ? m_result.loadsRemembered : m_result.loadsFromStore);
    server.coming[key] = {m_plan.loadMs * (known ? knownShare : 1), !known};
    ++server.sequence;
    const auto used = static_cast<int>(server.resident.size() + server.coming.size());
    m_result.places = std::max(m_result.places, used);
    return order_result::Accepted;
}

void day::pump(std::size_t index)
{
    model_server &server = m_servers[index];
    if (server.lost) {
        return;
    }
    updateLoadTimes(server.desk, server.pace, now());
    releaseExpired(server.desk, now());
    order_constraints limits;
    limits.models = &m_models;
    for (int i = 0; i < 4; ++i) {
        const auto order = orderDue(server.desk, limits, now());
        if (!order) {
            break;
        }
        onOrderResponse(server.desk.ledger, *order, carryOut(server, *order), now());
    }
    for (const addressed_response &each : dueResponses(server.desk, now())) {
        onAnswer(each.response);
    }
}

/// What the orderers hear of each other's loads.
void day::tellLoads()
{
    int underWay = 0;
    for (const model_server &server : m_servers) {
        underWay += loadsInProgress(server.desk.ledger);
    }
    for (model_server &server : m_servers) {
        server.pace.concurrentLoads = underWay;
        for (const model_server &other : m_servers) {
            applyPeerEstimate(server.pace, &other == &server ? 0 : estimateToShare(other.pace, now()));
        }
    }
}

void day::beats()
{
    tellLoads();
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        const server_heartbeat beat = serverHeartbeat(m_servers[i].desk, true, now());
        const server_load load = serverLoad(m_servers[i].desk, now());
        for (std::size_t entry = 0; entry < m_heard.size(); ++entry) {
            const bool near = m_servers[i].domain == entry % m_plan.domains;
            if (near || m_nowMs % farBeatEveryMs == 0 || m_heard[entry][i].receivedAt.count == 0) {
                applyHeartbeat(m_heard[entry][i], beat, "", now());
                applyServerLoad(m_heard[entry][i], load, now());
            }
        }
    }
}

double day::worthOf(const arrival &what) const
{
    return m_plan.kinds[what.kind].worth * std::min(mostSize, 0.3 + 0.7 * what.size);
}

std::int64_t day::announcedTokens(const request_kind &kind) const
{
    return std::llround(kind.eventsMost) * m_plan.engine.tokensPerEvent;
}

void day::finish(const std::string &id, bool complete)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    const request &one = found->second;
    const request_kind &kind = m_plan.kinds[one.what.kind];
    kind_result &result = m_result.kinds[kind.name];
    const bool lateFirst =
        one.firstMs - static_cast<double>(one.what.atMs) > static_cast<double>(m_plan.targetMs);
    const bool lateGap = one.worstGapMs > static_cast<double>(m_plan.gapMs);
    if (complete) {
        speed_result &speed = m_result.speeds[m_servers[*one.server].engine.slowness];
        ++speed.streams;
        speed.gapOver += lateGap ? 1 : 0;
    }
    if (!complete) {
        ++result.cut;
    } else if (lateFirst || lateGap) {
        result.lateFirst += lateFirst ? 1 : 0;
        result.lateGap += lateFirst ? 0 : 1;
        result.earned += worthOf(one.what) * kind.lateWorth / kind.worth;
    } else {
        ++result.onTime;
        result.earned += worthOf(one.what);
    }
    m_requests.erase(found);
}

void day::dropDead()
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= m_nowMs) {
        const std::string id = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        const auto found = m_requests.find(id);
        if (found == m_requests.end()) {
            continue;
        }
        if (found->second.server) {
            model_server &server = m_servers[*found->second.server];
            dropRun(server.engine, id);
            onRequestEvent(server.desk, {id, server.id, slot_event::Ended}, now());
        }
        finish(id, false);
    }
}

}

std::string_view nameOf(route_policy value)
{
    static constexpr std::array<std::string_view, 4> names{
        "random", "least in flight", "rendezvous", "briarhead"};
    return names[static_cast<std::size_t>(value)];
}

double load_result::worth() const
{
    double owed = 0;
    double earned = 0;
    for (const auto &[name, kind] : kinds) {
        owed += kind.owed;
        earned += kind.earned;
    }
    return owed == 0 ? 0 : earned / owed;
}

double load_result::worthLessLoads() const
{
    double owed = 0;
    for (const auto &[name, kind] : kinds) {
        owed += kind.owed;
    }
    return owed == 0 ? 0 : worth() - loadWorth * loadsFromStore / owed;
}

load_result play(const load_plan &plan, route_policy policy, std::uint64_t seed)
{
    return day(plan, policy, seed).play();
}

namespace {

request_kind matching(const std::string &name, double share, std::int64_t deadlineMs)
{
    request_kind kind;
    kind.name = name;
    kind.share = share;
    kind.deadlineMs = deadlineMs;
    return kind;
}

request_kind drafting(double share, double events, double most)
{
    request_kind kind;
    kind.name = "draft";
    kind.share = share;
    kind.promptMean = 1'110;
    kind.promptSpread = 1.0;
    kind.promptMost = 3'790;
    kind.sharedTokens = 350;
    kind.eventsMean = events;
    kind.eventsSpread = 0.89;
    kind.eventsMost = most;
    kind.worth = 2.3;
    kind.lateWorth = 0.7;
    kind.rank = 0;
    kind.deadlineMs = 15'000;
    return kind;
}

request_kind essays(const std::string &name, double share, std::int64_t deadlineMs)
{
    request_kind kind = matching(name, share, deadlineMs);
    kind.promptMean = 2'890;
    kind.promptSpread = 1.0;
    kind.promptMost = 18'300;
    kind.sharedTokens = 6'300;
    kind.eventsMean = 10.4;
    kind.eventsMost = 42;
    kind.worth = 2.5;
    kind.lateWorth = 0.75;
    return kind;
}

request_kind notes(double share)
{
    request_kind kind = drafting(share, 58, 191);
    kind.name = "note";
    kind.promptMean = 628;
    kind.promptMost = 3'310;
    kind.sharedTokens = 198;
    kind.worth = 0.74;
    kind.lateWorth = 0.22;
    return kind;
}

}

load_plan smallPlan(bool high)
{
    load_plan plan;
    plan.name = high ? "12 servers, high load" : "12 servers, quiet";
    plan.engine.tokensPerEvent = 2;
    plan.kinds = {matching("match", 0.7, 5'000), matching("rare match", 0.1, 8'000), drafting(0.2, 86, 260)};
    plan.perSecond = high ? 75 : 42;
    return plan;
}

load_plan grownPlan(bool high)
{
    load_plan plan;
    plan.name = high ? "60 servers, high load" : "60 servers, quiet";
    plan.servers = 60;
    plan.entries = 24;
    plan.places = 4;
    plan.adapters = 10'000;
    plan.loadMs = 288;
    plan.loadsAtFullSpeed = 32;
    plan.kinds = {matching("match", 0.7, 5'000), matching("rare match", 0.1, 8'000), drafting(0.2, 57, 174)};
    plan.perSecond = high ? 330 : 185;
    return plan;
}

load_plan longPromptPlan(bool high)
{
    load_plan plan;
    plan.name = high ? "9 servers, long prompts, high load" : "9 servers, long prompts, quiet";
    plan.engine = {4.73, 0.0138, 0.013, 38.4, 1.18, 4'096, 5, 96, 183'000};
    plan.servers = 9;
    plan.domains = 3;
    plan.entries = 7;
    plan.places = 8;
    plan.remembered = 48;
    plan.gapMs = 500;
    plan.kinds = {essays("essay", 0.35, 5'000), essays("rare essay", 0.05, 8'000), notes(0.6)};
    plan.perSecond = high ? 62 : 36;
    return plan;
}

load_plan unevenPlan(bool gapPrediction)
{
    load_plan plan;
    plan.name = gapPrediction ? "60 uneven servers, gap prediction" : "60 uneven servers";
    plan.engine.stepMs = 10.5;
    plan.engine.readTokensPerMs = 21;
    plan.engine.memoryTokens = 126'904;
    plan.slowness = {1, 2, 1};
    plan.servers = 60;
    plan.entries = 81;
    plan.adapters = 10'000;
    plan.loadMs = 288;
    plan.loadsAtFullSpeed = 64;
    request_kind draft = matching("draft", 0.7, 5'000);
    draft.worth = 1.3;
    draft.lateWorth = 0.52;
    draft.rank = 2;
    request_kind featured = matching("featured draft", 0.093, 15'000);
    featured.worth = 2.7;
    featured.lateWorth = 2.16;
    request_kind digest = drafting(0.207, 57, 174);
    digest.name = "digest";
    digest.worth = 3.4;
    digest.lateWorth = 3.4;
    plan.kinds = {draft, featured, digest};
    plan.perSecond = 263;
    plan.gapPrediction = gapPrediction;
    return plan;
}

load_plan scarcePlan()
{
    load_plan plan;
    plan.name = "12 servers, flat demand";
    plan.engine.tokensPerEvent = 7;
    plan.adapters = 3'000;
    plan.zipf = 0.8;
    plan.loadMs = 380;
    plan.kinds = {matching("match", 0.7, 5'000), matching("rare match", 0.1, 8'000), drafting(0.2, 40, 120)};
    plan.perSecond = 45;
    return plan;
}

}
