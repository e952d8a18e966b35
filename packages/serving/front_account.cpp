#include "serving/front_pending.h"

#include "coordination/rendezvous.h"

#include <algorithm>
#include <limits>

// Authentication of callers, and the units of their account's limit.
namespace briarhead {

namespace {

constexpr int unauthorizedStatus = 401;
constexpr int tooManyRequestsStatus = 429;
/// Retry-After for a request that exceeds what its account may ever use at once. Only a higher limit helps.
constexpr millis retryAfterTooLarge{5'000};
/// Callers return only if at least this many times the stated wait is left to them.
constexpr std::int64_t minWaitsLeft = 3;
/// Retry-After while almost no time is left, so that nobody returns in a loop.
constexpr millis minLimitRetryAfter{20};

}

millis withJitter(millis wait, const std::string &requestId)
{
    const double unit = static_cast<double>(rendezvousScore("return", requestId))
        / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return {static_cast<std::int64_t>(static_cast<double>(wait.count) * (1 + retryAfterSpread * unit))};
}

/// Finds the caller's account. Returns false if the request has been refused.
bool front_task::authenticateCaller(const request_ptr &pending)
{
    const auth_result caller =
        authenticate(*pending->config, *pending->matchedRoute, pending->request.keyHash);
    if (caller.status != auth_status::Accepted) {
        ++m_counters.refused[std::string(nameOf(caller.status))];
        fail(pending, unauthorizedStatus,
            caller.status == auth_status::Missing ? "no key; send one of your account's keys"
                                                  : "no account holds this key");
        return false;
    }
    // A daemon that receives no configuration updates would keep accepting a revoked key. It knows the age of
    // its configuration, so it refuses once that exceeds the limit. Only if the operator has enabled this,
    // since callers are then refused whenever the store is unreachable.
    const auto confirmedAt = m_store.configConfirmedAt();
    const bool stale = !confirmedAt || bootNow() - *confirmedAt > m_settings.maxRevocationDelay;
    if (m_settings.strictRevocation && stale && requiresKeys(*pending->config)
        && !pending->matchedRoute->anonymousAllowed) {
        refuse(pending, "it is not known here whether the key has been withdrawn", retryAfterOtherInstance);
        return false;
    }
    pending->account = caller.account;
    if (pending->account != nullptr && isLimited(pending->account->limit)) {
        pending->accountId = accountHash(pending->account->name);
        pending->cost = unitsOf(*pending->account, pending->request);
    }
    return true;
}

/// Whether the request holds the units for a send. Units expire some time after they were acquired, even
/// while this process is suspended.
bool front_task::holdsUnits(const pending_request &pending) const
{
    return pending.cost <= 0
        || (pending.unitsHeld >= pending.cost
            && bootNow() - pending.unitsAcquiredAt <= m_quota.unitsLifetime());
}

void front_task::returnUnits(pending_request &pending)
{
    if (pending.quotaWaitId != 0) {
        m_quota.cancelAcquire(pending.accountId, std::exchange(pending.quotaWaitId, 0));
    }
    if (pending.unitsHeld > 0) {
        m_quota.releaseUnits(pending.accountId, std::exchange(pending.unitsHeld, 0));
    }
}

/// How urgent the request is among those of its account. The account's own rank is the same for all of them,
/// so the route's counts. Plain requests are as urgent as any: they cost an account little, and their callers
/// expect a response within tens of milliseconds.
quota_urgency front_task::urgencyOf(const pending_request &pending)
{
    const bool plain = engineOf(*pending.config, pending.service) == nullptr;
    return plain || pending.matchedRoute->rank <= mostUrgentRank(*pending.config, pending.service)
        ? quota_urgency::MostUrgent
        : quota_urgency::LessUrgent;
}

/// Calls `proceed` once the request holds its units of the account's limit, or refuses the request.
void front_task::acquireUnits(const request_ptr &pending, std::function<void()> proceed)
{
    if (holdsUnits(*pending)) {
        proceed();
        return;
    }
    returnUnits(*pending);
    const auto done = [this, weak = std::weak_ptr<pending_request>(pending), proceed = std::move(proceed)](
                          const quota_decision &decision) {
        if (const auto locked = weak.lock()) {
            onQuotaDecision(locked, decision, proceed);
        }
    };
    // The limit that is in force now, which may differ from the one when the request arrived.
    const auto limit = limitOf(*m_store.view().config, pending->accountId);
    if (!limit || !isLimited(*limit)) {
        done({quota_result::Granted, {}});
        return;
    }
    pending->quotaWaitId =
        m_quota.acquire(pending->accountId, *limit, pending->cost, urgencyOf(*pending), done);
}

void front_task::onQuotaDecision(
    const request_ptr &pending, const quota_decision &decision, const std::function<void()> &proceed)
{
    pending->quotaWaitId = 0;
    account_counters &counters = countersOf(*pending->account);
    const bool urgent = urgencyOf(*pending) == quota_urgency::MostUrgent;
    const quota_status standing = m_quota.status(pending->accountId);
    counters.limit = standing.limit.rate;
    counters.share = standing.share;
    if (decision.result == quota_result::Granted) {
        ++counters.accepted;
        counters.urgentAccepted += urgent ? 1 : 0;
        pending->unitsHeld = pending->cost;
        pending->unitsAcquiredAt = bootNow();
        proceed();
        return;
    }
    ++counters.overLimit;
    counters.urgentOverLimit += urgent ? 1 : 0;
    m_log.important("quota.refused")
        .add("id", pending->request.id)
        .add("account", pending->account->name)
        .add("verdict", nameOf(decision.result))
        .add("units", pending->cost)
        .add("share", standing.share)
        .add("level", standing.level)
        .add("rank", rankOf(*pending->matchedRoute, pending->account))
        .add("limit", standing.limit.rate)
        .add("demand", standing.demand)
        .add("urgent_demand", standing.urgentDemand)
        .add("urgent_use", standing.urgentUse)
        .add("less_urgent_use", standing.lessUrgentUse)
        .add("retry_after_ms", decision.retryAfter)
        .add("home", standing.home)
        .add("contact_age_ms", standing.contactAge)
        .add("config", pending->config->version);
    notifyOwner(*pending, slot_event::Ended);
    switch (decision.result) {
    case quota_result::TooLarge:
        refuse(pending, "larger than the account's limit", retryAfterTooLarge, tooManyRequestsStatus);
        return;
    case quota_result::HomeUnavailable:
        refuse(pending, "the account's limit can't be asked for",
            withJitter(decision.retryAfter, pending->request.id));
        return;
    default: {
        millis wait = withJitter(decision.retryAfter, pending->request.id);
        if (m_limitsByRank) {
            const millis honoured{timeLeft(*pending).count / minWaitsLeft};
            wait = std::min(wait, std::max(honoured, minLimitRetryAfter));
        }
        refuse(pending, "the account's limit is used up", wait, tooManyRequestsStatus);
        return;
    }
    }
}

/// Acquires units for a request whose server has already been chosen, and sends it there. Needed if its units
/// have expired or were spent on an earlier send.
void front_task::acquireUnitsAndSend(const request_ptr &pending)
{
    setStage(*pending, request_stage::AwaitingUnits);
    acquireUnits(
        pending, [this, weak = std::weak_ptr<pending_request>(pending), number = pending->attempt.number] {
            const auto locked = lockAt(weak, number, request_stage::AwaitingUnits);
            if (!locked) {
                return;
            }
            const auto server = m_store.view().servers.find(locked->attempt.server);
            if (server == m_store.view().servers.end()) {
                dispatchElsewhere(locked, slot_event::NotSent);
                return;
            }
            send(locked, server->second);
        });
}

account_counters &front_task::countersOf(const client_account &account)
{
    const bool fits =
        m_counters.accounts.size() < maxAccountsCounted || m_counters.accounts.count(account.name) != 0;
    return m_counters.accounts[fits ? account.name : std::string()];
}

}
