#include "coordination/quota_task.h"

#include "coordination/rendezvous.h"

#include <algorithm>
#include <utility>

namespace briarhead {

namespace {

/// How late an ask or a refusal may come that no arrival triggers.
constexpr millis tickEvery{50};
constexpr millis claimEvery{500};
/// Some of them may be cut off from the records too.
constexpr std::size_t successorsTold = 5;
constexpr std::size_t claimants = 4;
constexpr millis claimStep{1'000};

}

std::string_view nameOf(quota_event value)
{
    static constexpr std::string_view names[] = {"home_taken", "home_lost", "home_found", "home_released"};
    return names[static_cast<std::size_t>(value)];
}

quota_task::quota_task(
    loop &eventLoop, quota_links links, const quota_plan &plan, const quota_tolerance &rules)
    : m_loop(eventLoop)
    , m_links(std::move(links))
{
    m_desk.plan = plan;
    m_desk.rules = rules;
    m_timer = m_loop.timer(tickEvery, tickEvery, [this] {
        tick();
    });
}

std::uint64_t quota_task::take(std::uint64_t account, const quota_limit &limit, double cost, on_decision done)
{
    const std::uint64_t id = ++m_lastWaiting;
    const quota_decision decision = takeUnits(m_desk, account, limit, id, cost, bootNow());
    if (decision.verdict != quota_verdict::Waits) {
        done(decision);
        return 0;
    }
    m_waiting.emplace(id, std::move(done));
    sendAsks();
    return m_waiting.count(id) != 0 ? id : 0;
}

void quota_task::dropTake(std::uint64_t account, std::uint64_t waiting)
{
    if (m_waiting.erase(waiting) != 0) {
        dropWaiter(m_desk, account, waiting);
    }
}

void quota_task::giveBack(std::uint64_t account, double cost)
{
    returnUnits(m_desk, account, cost, bootNow());
}

millis quota_task::unitsLife() const
{
    return briarhead::unitsLife(m_desk.rules);
}

void quota_task::hear(const quota_asker &asker, const quota_request &ask)
{
    const auto home = m_homes.find(ask.shard);
    if (m_stopped || home == m_homes.end() || bootNow() >= m_links.provenUntil()) {
        return;
    }
    const auto answer =
        answerAsk(home->second.book, m_desk.plan, m_desk.rules, m_links.limitOf, asker, ask, bootNow());
    if (answer) {
        ++m_counters.answers;
        m_links.answer(asker.node, *answer);
    }
}

void quota_task::hear(const quota_response &answer)
{
    settleAll(takeAnswer(m_desk, answer, bootNow()));
    sendAsks();
}

void quota_task::hear(const quota_release &release)
{
    const auto record = release.shard < quotaShards ? m_links.homeOf(release.shard) : std::nullopt;
    const bool settled = record && record->settled && record->term == release.term;
    if (m_stopped || !settled || record->node == m_links.self) {
        return;
    }
    m_handedOver[release.shard] = true;
    m_links.claim(release.shard, true);
}

/// Guards against: a home that starts again while it waits for its predecessor's end, and takes its own
/// record for a proof that nobody else gives. It would show as an account over its limit. Holds because only
/// a record that says so is one.
void quota_task::settleHomes()
{
    for (const auto &[shard, home] : m_homes) {
        const auto record = m_links.homeOf(shard);
        const bool gives = bootNow() >= givesFrom(home.book, m_desk.plan);
        if (gives && record && record->own && !record->settled) {
            m_links.settle(shard);
        }
    }
}

/// Guards against: a home that is cut off from its records, and not from the other daemons. It shows as
/// accounts that get nothing but their daemons' parts until its lease has ended and its successor's wait is
/// over. Holds because it stops for good in this term before it says so, whoever hears it, and only one
/// successor can take the record that it still has.
void quota_task::releaseHomes()
{
    if (!m_homes.empty() && m_links.cutFromRecords()) {
        for (const auto &[shard, home] : m_homes) {
            m_released[shard] = home.term;
            m_links.log({quota_event::HomeReleased, shard, m_links.self, home.term, false});
        }
        m_homes.clear();
    }
    for (const auto &[shard, term] : m_released) {
        std::vector<std::string> others = m_links.fleet();
        std::erase(others, m_links.self);
        const std::string key = "quota/" + std::to_string(shard);
        for (const std::string &node : rendezvousOrder(key, others, successorsTold)) {
            m_links.release(node, {shard, term});
        }
    }
}

void quota_task::settleAll(const std::vector<quota_settled> &settled)
{
    for (const quota_settled &each : settled) {
        if (auto waiting = m_waiting.extract(each.id); !waiting.empty()) {
            waiting.mapped()(each.decision);
        }
    }
}

void quota_task::sendAsks()
{
    for (const addressed_ask &each : asksDue(m_desk, m_links.daemons(), bootNow())) {
        ++m_counters.asks;
        m_links.ask(each.home, each.ask);
    }
}

void quota_task::tick()
{
    if (!m_active) {
        return;
    }
    settleAll(overdue(m_desk, bootNow()));
    sendAsks();
    claimVacant();
}

void quota_task::onLimits(bool any)
{
    m_active = any;
    const millis now = bootNow();
    std::vector<std::uint64_t> accounts;
    for (const auto &[hash, account] : m_desk.accounts) {
        accounts.push_back(hash);
    }
    for (const std::uint64_t hash : accounts) {
        settleAll(setLimit(m_desk, hash, m_links.limitOf(hash), now));
    }
    for (auto &[shard, home] : m_homes) {
        forgetAccounts(home.book, m_links.limitOf);
    }
}

void quota_task::onRecords()
{
    const millis now = bootNow();
    const std::vector<std::string> fleet = m_links.fleet();
    for (std::uint32_t shard = 0; shard < quotaShards; ++shard) {
        const auto record = m_links.homeOf(shard);
        const auto released = m_released.find(shard);
        if (released != m_released.end() && (!record || record->term != released->second)) {
            m_released.erase(shard);
        }
        const bool mine = record && record->own && !m_stopped && m_released.count(shard) == 0;
        const auto held = m_homes.find(shard);
        if (held != m_homes.end() && mine && record->settled) {
            held->second.term =
                record->term; // this home's own note; nobody else can have been home meanwhile
        }
        if (held != m_homes.end() && (!mine || held->second.term != record->term)) {
            m_homes.erase(held);
            m_links.log({quota_event::HomeLost, shard, record ? record->node : "", 0, false});
        }
        if (mine && m_homes.count(shard) == 0) {
            const bool handedOver = std::exchange(m_handedOver[shard], false);
            m_homes.emplace(shard, own_home{record->term, beginHome(now, handedOver)});
            m_links.log({quota_event::HomeTaken, shard, record->node, record->term, handedOver});
        }
        if (const auto home = m_homes.find(shard); home != m_homes.end()) {
            setFleet(home->second.book, fleet);
        }
        const std::string node = record ? record->node : "";
        if (!node.empty() && node != m_desk.shards[shard].home) {
            m_links.log({quota_event::HomeFound, shard, node, record->term, false});
        }
        setHome(m_desk, shard, node, record ? record->term : 0, now);
    }
}

/// The first in rendezvous order takes a vacant shard at once; each one behind waits longer, for those before
/// it may be unable to.
bool quota_task::isProposed(std::uint32_t shard, millis vacantFor) const
{
    const auto order = rendezvousOrder("quota/" + std::to_string(shard), m_links.live(), claimants);
    const auto own = std::find(order.begin(), order.end(), m_links.self);
    return own != order.end() && vacantFor.count >= claimStep.count * (own - order.begin());
}

/// A shard without a home is claimed by the daemon that rendezvous hashing proposes; one that this daemon
/// held before a restart, by this daemon.
void quota_task::claimVacant()
{
    const millis now = bootNow();
    if (m_stopped || now - m_claimedAt < claimEvery) {
        return;
    }
    m_claimedAt = now;
    releaseHomes();
    settleHomes();
    for (std::uint32_t shard = 0; shard < quotaShards; ++shard) {
        const auto record = m_links.homeOf(shard);
        const bool formerSelf = record && record->node == m_links.self && !record->own;
        const bool vacant = !record || record->node.empty();
        if (!vacant) {
            m_vacantSince.erase(shard);
        }
        const millis since = vacant ? m_vacantSince.try_emplace(shard, now).first->second : now;
        if (formerSelf || (vacant && isProposed(shard, now - since))) {
            m_handedOver[shard] = record && record->settled;
            m_links.claim(shard, false);
        }
    }
}

void quota_task::stop()
{
    m_stopped = true;
    onRecords();
}

quota_standing quota_task::standing(std::uint64_t account) const
{
    const millis now = bootNow();
    const desk_shard &shard = m_desk.shards[shardOf(account)];
    const auto found = m_desk.accounts.find(account);
    quota_standing out;
    out.share = shareHere(m_desk, account, now);
    out.level = found == m_desk.accounts.end() ? 0 : found->second.bucket.level;
    out.home = shard.home;
    out.contactAge = shard.contact ? now - *shard.contact : millis{-1};
    return out;
}

const quota_counters &quota_task::counters() const
{
    return m_counters;
}

}
