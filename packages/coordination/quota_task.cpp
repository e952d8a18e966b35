#include "coordination/quota_task.h"

#include "coordination/rendezvous.h"

#include <algorithm>
#include <utility>

namespace briarhead {

namespace {

/// Maximum delay of requests and refusals that no event triggers.
constexpr millis tickInterval{50};
constexpr millis claimInterval{500};
/// More than one successor is notified, because some may be disconnected from the records too.
constexpr std::size_t maxSuccessorsNotified = 5;
constexpr std::size_t maxClaimants = 4;
constexpr millis claimDelayStep{1'000};
/// How often a home is asked whether it understands ranks. A home of an older build never replies, and a lost
/// reply should not matter for long.
constexpr millis featuresAskInterval{15'000};

}

std::string_view nameOf(quota_event value)
{
    static constexpr std::string_view names[] = {"home_taken", "home_lost", "home_found", "home_released"};
    return names[static_cast<std::size_t>(value)];
}

quota_task::quota_task(
    loop &eventLoop, quota_callbacks callbacks, const quota_plan &plan, const quota_tolerance &rules)
    : m_loop(eventLoop)
    , m_callbacks(std::move(callbacks))
{
    m_client.plan = plan;
    m_client.rules = rules;
    m_timer = m_loop.timer(tickInterval, tickInterval, [this] {
        tick();
    });
}

std::uint64_t quota_task::acquire(
    std::uint64_t account, const quota_limit &limit, double cost, quota_urgency urgency, on_decision done)
{
    const std::uint64_t id = ++m_lastWaiterId;
    const quota_decision decision = acquireUnits(m_client, account, limit, id, cost, bootNow(), urgency);
    if (decision.result != quota_result::Pending) {
        done(decision);
        return 0;
    }
    m_waiting.emplace(id, std::move(done));
    sendRequests();
    return m_waiting.count(id) != 0 ? id : 0;
}

void quota_task::cancelAcquire(std::uint64_t account, std::uint64_t waiter)
{
    if (m_waiting.erase(waiter) != 0) {
        cancelWaiter(m_client, account, waiter);
    }
}

void quota_task::releaseUnits(std::uint64_t account, double cost)
{
    returnUnits(m_client, account, cost, bootNow());
}

millis quota_task::unitsLifetime() const
{
    return briarhead::unitsLifetime(m_client.rules);
}

void quota_task::onRequest(const quota_requester &requester, const quota_request &request)
{
    respond(requester, request.shard, request);
}

void quota_task::onRequest(const quota_requester &requester, const extended_quota_request &request)
{
    respond(requester, request.request.shard, request);
}

template <class request_type>
void quota_task::respond(const quota_requester &requester, std::uint32_t shard, const request_type &request)
{
    const auto home = m_homes.find(shard);
    if (m_stopped || home == m_homes.end() || bootNow() >= m_callbacks.confirmedUntil()) {
        return;
    }
    const auto response = handleRequest(home->second.state, m_client.plan, m_client.rules,
        m_callbacks.limitOf, requester, request, bootNow());
    if (response) {
        ++m_counters.responses;
        m_callbacks.sendResponse(requester.node, *response);
    }
}

void quota_task::onMessage(const quota_response &response)
{
    notifyWaiters(applyResponse(m_client, response, bootNow()));
    sendRequests();
}

void quota_task::onMessage(const quota_release &release)
{
    const auto record = release.shard < quotaShards ? m_callbacks.homeOf(release.shard) : std::nullopt;
    const bool predecessorExpired = record && record->predecessorExpired && record->term == release.term;
    if (m_stopped || !predecessorExpired || record->node == m_callbacks.self) {
        return;
    }
    m_handedOver[release.shard] = true;
    m_callbacks.claim(release.shard, true);
}

/// Records that predecessors' grants have expired, once this home may grant. If a home restarts while it
/// waits for that, it must not take its own record as evidence that nobody else grants; that would exceed
/// accounts' limits. So only a record that explicitly says so counts.
void quota_task::recordPredecessorsExpired()
{
    for (const auto &[shard, home] : m_homes) {
        const auto record = m_callbacks.homeOf(shard);
        const bool grants = bootNow() >= grantsFrom(home.state, m_client.plan);
        if (grants && record && record->own && !record->predecessorExpired) {
            m_callbacks.recordPredecessorExpired(shard);
        }
    }
}

/// If this daemon is disconnected from its records but not from the other daemons, accounts would get no
/// units beyond their daemons' shares until its lease has ended and its successor has waited. So it releases
/// its shards: it grants nothing more in that term before it notifies the successors, and only one of these
/// can claim the existing record.
void quota_task::releaseHomes()
{
    if (!m_homes.empty() && m_callbacks.isDisconnectedFromRecords()) {
        for (const auto &[shard, home] : m_homes) {
            m_releasedTerms[shard] = home.term;
            m_callbacks.log({quota_event::HomeReleased, shard, m_callbacks.self, home.term, false});
        }
        m_homes.clear();
    }
    for (const auto &[shard, term] : m_releasedTerms) {
        std::vector<std::string> others = m_callbacks.fleet();
        std::erase(others, m_callbacks.self);
        const std::string key = "quota/" + std::to_string(shard);
        for (const std::string &node : rendezvousOrder(key, others, maxSuccessorsNotified)) {
            m_callbacks.sendRelease(node, {shard, term});
        }
    }
}

void quota_task::notifyWaiters(const std::vector<resolved_waiter> &resolved)
{
    for (const resolved_waiter &each : resolved) {
        if (auto waiting = m_waiting.extract(each.id); !waiting.empty()) {
            waiting.mapped()(each.decision);
        }
    }
}

/// Finds out which homes understand requests that tell ranks apart. A home that has not been heard is asked.
void quota_task::updateRankedHomes()
{
    if (!m_client.byRank || !m_callbacks.understandsRanks) {
        return;
    }
    const millis now = bootNow();
    std::erase_if(m_featuresAskedAt, [now](const auto &each) {
        return now - each.second >= featuresAskInterval;
    });
    for (quota_client_shard &shard : m_client.shards) {
        shard.homeKnowsRanks = !shard.home.empty() && m_callbacks.understandsRanks(shard.home);
        const bool ask = !shard.home.empty() && !shard.homeKnowsRanks && m_callbacks.askFeatures;
        if (ask && m_featuresAskedAt.try_emplace(shard.home, now).second) {
            m_callbacks.askFeatures(shard.home);
        }
    }
}

void quota_task::sendRequests()
{
    updateRankedHomes();
    for (const addressed_request &each : dueRequests(m_client, m_callbacks.daemons(), bootNow())) {
        ++m_counters.requests;
        if (each.ranked) {
            m_callbacks.sendExtendedRequest(each.home, {each.request, each.demandFields});
        } else {
            m_callbacks.sendRequest(each.home, each.request);
        }
    }
}

void quota_task::tick()
{
    if (!m_active) {
        return;
    }
    notifyWaiters(expireWaiters(m_client, bootNow()));
    sendRequests();
    claimVacant();
}

void quota_task::onLimitsChanged(bool any, bool byRank)
{
    m_active = any;
    m_client.byRank = byRank;
    const millis now = bootNow();
    std::vector<std::uint64_t> accounts;
    for (const auto &[hash, account] : m_client.accounts) {
        accounts.push_back(hash);
    }
    for (const std::uint64_t hash : accounts) {
        notifyWaiters(setLimit(m_client, hash, m_callbacks.limitOf(hash), now));
    }
    for (auto &[shard, home] : m_homes) {
        removeUnlimitedAccounts(home.state, m_callbacks.limitOf);
    }
}

void quota_task::onRecordsChanged()
{
    const millis now = bootNow();
    const std::vector<std::string> fleet = m_callbacks.fleet();
    for (std::uint32_t shard = 0; shard < quotaShards; ++shard) {
        const auto record = m_callbacks.homeOf(shard);
        const auto released = m_releasedTerms.find(shard);
        if (released != m_releasedTerms.end() && (!record || record->term != released->second)) {
            m_releasedTerms.erase(shard);
        }
        const bool isOwn = record && record->own && !m_stopped && m_releasedTerms.count(shard) == 0;
        const auto ownHome = m_homes.find(shard);
        if (ownHome != m_homes.end() && isOwn && record->predecessorExpired) {
            // The term changed by this home's own write; no other daemon can have been home meanwhile.
            ownHome->second.term = record->term;
        }
        if (ownHome != m_homes.end() && (!isOwn || ownHome->second.term != record->term)) {
            m_homes.erase(ownHome);
            m_callbacks.log({quota_event::HomeLost, shard, record ? record->node : "", 0, false});
        }
        if (isOwn && m_homes.count(shard) == 0) {
            const bool handedOver = std::exchange(m_handedOver[shard], false);
            m_homes.emplace(shard, own_home{record->term, startHome(now, handedOver)});
            m_callbacks.log({quota_event::HomeAcquired, shard, record->node, record->term, handedOver});
        }
        if (const auto home = m_homes.find(shard); home != m_homes.end()) {
            setFleet(home->second.state, fleet);
        }
        const std::string node = record ? record->node : "";
        if (!node.empty() && node != m_client.shards[shard].home) {
            m_callbacks.log({quota_event::HomeFound, shard, node, record->term, false});
        }
        setHome(m_client, shard, node, record ? record->term : 0, now);
    }
}

/// Whether this daemon may claim a vacant shard. The first daemon in rendezvous order may claim it at once;
/// each following one waits longer, in case the daemons before it can't.
bool quota_task::mayClaim(std::uint32_t shard, millis vacantFor) const
{
    const auto candidates =
        rendezvousOrder("quota/" + std::to_string(shard), m_callbacks.live(), maxClaimants);
    const auto position = std::find(candidates.begin(), candidates.end(), m_callbacks.self);
    return position != candidates.end()
        && vacantFor.count >= claimDelayStep.count * (position - candidates.begin());
}

/// Claims shards without a home as rendezvous hashing proposes, and shards that this daemon held before a
/// restart.
void quota_task::claimVacant()
{
    const millis now = bootNow();
    if (m_stopped || now - m_lastClaimAt < claimInterval) {
        return;
    }
    m_lastClaimAt = now;
    releaseHomes();
    recordPredecessorsExpired();
    for (std::uint32_t shard = 0; shard < quotaShards; ++shard) {
        const auto record = m_callbacks.homeOf(shard);
        const bool formerSelf = record && record->node == m_callbacks.self && !record->own;
        const bool vacant = !record || record->node.empty();
        if (!vacant) {
            m_vacantSince.erase(shard);
        }
        const millis since = vacant ? m_vacantSince.try_emplace(shard, now).first->second : now;
        if (formerSelf || (vacant && mayClaim(shard, now - since))) {
            m_handedOver[shard] = record && record->predecessorExpired;
            m_callbacks.claim(shard, false);
        }
    }
}

void quota_task::stop()
{
    m_stopped = true;
    onRecordsChanged();
}

quota_status quota_task::status(std::uint64_t account) const
{
    const millis now = bootNow();
    const quota_client_shard &shard = m_client.shards[shardOf(account)];
    const auto found = m_client.accounts.find(account);
    quota_status result;
    result.share = localShare(m_client, account, now);
    if (found != m_client.accounts.end()) {
        const quota_client_account &state = found->second;
        result.limit = state.limit;
        result.level = state.bucket.level;
        result.demand = currentDemand(state.demand, now);
        result.urgentDemand = currentDemand(state.urgentDemand, now);
        result.urgentUse = currentDemand(state.urgentGranted, now);
        result.lessUrgentUse = currentDemand(state.lessUrgentGranted, now);
    }
    result.home = shard.home;
    result.contactAge = shard.lastContact ? now - *shard.lastContact : millis{-1};
    return result;
}

const quota_counters &quota_task::counters() const
{
    return m_counters;
}

}
