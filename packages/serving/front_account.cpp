#include "serving/front_work.h"

#include "coordination/rendezvous.h"

#include <limits>

// Whether a caller's key lets it in, and whether its account's limit has room for the request.
namespace briarhead {

namespace {

constexpr int noValidKey = 401;
constexpr int overLimit = 429;
/// Of a request that its account may never use at once; only another limit helps.
constexpr millis comeBackTooLarge{5'000};

}

millis spread(millis wait, const std::string &requestId)
{
    const double unit = static_cast<double>(rendezvousScore("return", requestId))
        / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return {static_cast<std::int64_t>(static_cast<double>(wait.count) * (1 + comeBackSpread * unit))};
}

/// Finds the caller's account. False: it has been refused.
bool front_task::admitCaller(const work_ptr &one)
{
    const caller_standing standing = standingOf(*one->config, *one->way, one->request.keyHash);
    if (standing.verdict != caller_verdict::Accepted) {
        ++m_counters.refused[std::string(nameOf(standing.verdict))];
        fail(one, noValidKey,
            standing.verdict == caller_verdict::Missing ? "no key; send one of your account's keys"
                                                        : "no account holds this key");
        return false;
    }
    // Guards against: a key that was withdrawn goes on being served by a daemon that hears of no changes.
    // Holds because such a daemon knows how old its knowledge is. Only where the operator asks for it: else
    // callers would be refused whenever the store is out.
    const auto known = m_store.configConfirmedAt();
    const bool stale = !known || bootNow() - *known > m_settings.withdrawnKnown;
    if (m_settings.strictWithdrawal && stale && wantsKeys(*one->config) && !one->way->open) {
        refuse(one, "it is not known here whether the key has been withdrawn", comeBackElsewhere);
        return false;
    }
    one->account = standing.account;
    if (one->account != nullptr && isLimited(one->account->limit)) {
        one->accountId = accountHash(one->account->name);
        one->cost = costOf(*one->account, one->request);
    }
    return true;
}

/// Whether a send may follow. What was taken too long ago has run out, also while this process stood still.
bool front_task::holdsUnits(const work &one) const
{
    return one.cost <= 0
        || (one.unitsHeld >= one.cost && bootNow() - one.unitsTakenAt <= m_quota.unitsLife());
}

void front_task::giveUnitsBack(work &one)
{
    if (one.unitsWaiting != 0) {
        m_quota.dropTake(one.accountId, std::exchange(one.unitsWaiting, 0));
    }
    if (one.unitsHeld > 0) {
        m_quota.giveBack(one.accountId, std::exchange(one.unitsHeld, 0));
    }
}

/// Goes on once the request has its units of its account's limit; else it is refused.
void front_task::takeQuota(const work_ptr &one, std::function<void()> go)
{
    if (holdsUnits(*one)) {
        go();
        return;
    }
    giveUnitsBack(*one);
    const auto done = [this, weak = std::weak_ptr<work>(one), go = std::move(go)](
                          const quota_decision &decision) {
        if (const auto same = weak.lock()) {
            onQuota(same, decision, go);
        }
    };
    // The limit now in force, not the one at the request's arrival.
    const auto limit = limitOf(*m_store.view().config, one->accountId);
    if (!limit || !isLimited(*limit)) {
        done({quota_verdict::Granted, {}});
        return;
    }
    one->unitsWaiting = m_quota.take(one->accountId, *limit, one->cost, done);
}

void front_task::onQuota(const work_ptr &one, const quota_decision &decision, const std::function<void()> &go)
{
    one->unitsWaiting = 0;
    account_counters &counters = countersOf(*one->account);
    if (decision.verdict == quota_verdict::Granted) {
        ++counters.accepted;
        one->unitsHeld = one->cost;
        one->unitsTakenAt = bootNow();
        go();
        return;
    }
    ++counters.overLimit;
    const quota_standing standing = m_quota.standing(one->accountId);
    m_log.important("quota.refused")
        .add("id", one->request.id)
        .add("account", one->account->name)
        .add("verdict", nameOf(decision.verdict))
        .add("units", one->cost)
        .add("share", standing.share)
        .add("level", standing.level)
        .add("home", standing.home)
        .add("contact_age_ms", standing.contactAge)
        .add("config", one->config->version);
    note(*one, place_event::Ended);
    switch (decision.verdict) {
    case quota_verdict::TooLarge:
        refuse(one, "larger than the account's limit", comeBackTooLarge, overLimit);
        return;
    case quota_verdict::HomeAway:
        refuse(one, "the account's limit can't be asked for", spread(decision.comeBack, one->request.id));
        return;
    default:
        refuse(one, "the account's limit is used up", spread(decision.comeBack, one->request.id), overLimit);
        return;
    }
}

/// A server has been found, and units have to be taken anew: what was held has run out, or an earlier send of
/// the request has spent it.
void front_task::sendOnceCounted(const work_ptr &one)
{
    takeQuota(one, [this, weak = std::weak_ptr<work>(one)] {
        const auto same = weak.lock();
        if (!same) {
            return;
        }
        const auto server = m_store.view().servers.find(same->server);
        if (server == m_store.view().servers.end()) {
            leaveClosed(same, place_event::Unsent);
            return;
        }
        send(same, server->second);
    });
}

account_counters &front_task::countersOf(const client_account &account)
{
    const bool fits =
        m_counters.accounts.size() < accountsCounted || m_counters.accounts.count(account.name) != 0;
    return m_counters.accounts[fits ? account.name : std::string()];
}

}
