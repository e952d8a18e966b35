#include "coordination/quota_client.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace briarhead {

namespace {

/// The home is notified early of demand that has grown or shrunk by this factor.
constexpr double demandChangeFactor = 2.5;
constexpr millis minEarlyRequestGap{200};
/// Fewer requests per second are not enough demand for a share.
constexpr double minRequestsPerSecond = 0.1;
/// After this many requests without a response, callers no longer wait for the home.
constexpr int maxMissedResponses = 2;
constexpr millis retryRequestAfter{400};
/// Interval of requests for which no caller waits: a home that serves a thousand daemons receives several
/// hundred requests per second.
constexpr millis requestInterval{1'000};
constexpr double requestIntervalPerDaemonMs = 2;
/// A daemon that holds nothing only has to stay in contact; a share lasts over four times as long. In a fleet
/// of hundreds, most daemons have no callers of most accounts.
constexpr millis idleRequestInterval{4'000};
/// If a share shrinks below this fraction of its former size, the difference is free for others only once the
/// home knows that this daemon has applied it, so the next request follows soon.
constexpr double confirmDropRatio = 0.7;
constexpr millis confirmDelay{100};
constexpr millis handshakeInterval{40};
constexpr int handshakeCount = 3;
/// How long a caller waits for the home to become known.
constexpr millis homeDiscoveryTimeout{300};
constexpr millis minRetryAfter{20};
constexpr millis maxRetryAfter{1'000};
/// Keeps a request and its response within one datagram.
constexpr std::size_t maxWantsPerRequest = 500;
constexpr double roundingUnits = 1e-6;
constexpr double msPerSecond = 1'000;
/// Mean requests that the minimum of the less urgent may save up at a daemon, whose requests differ in size.
constexpr double maxMinimumRequests = 2;
/// A daemon's bucket has room for this many requests of less urgent callers beside the reserve. With room for
/// just one, it would overflow while it waits for the next of them, and part of the limit would be lost.
constexpr double minRequestsBesideReserve = 1.5;

/// When a daemon without contact to its home begins to use its fallback share: all its shares have expired by
/// then.
std::optional<millis> fallbackFrom(const quota_client &client, const quota_client_shard &shard)
{
    return shard.lastContact ? std::optional(*shard.lastContact + client.plan.fallbackAfter) : std::nullopt;
}

bool isDisconnected(const quota_client &client, const quota_client_shard &shard, millis now)
{
    const auto from = fallbackFrom(client, shard);
    return from && now >= *from;
}

/// Fills the account's bucket up to `now`. If the share has expired meanwhile, it fills only up to that time,
/// because the home may have granted the share to others since. Otherwise a daemon that was paused, or that
/// lost its home, would exceed the account's limit. The clock that is used here also runs while the machine
/// is suspended.
void updateBucket(
    const quota_client &client, quota_client_account &account, const quota_client_shard &shard, millis now)
{
    const auto fillAt = [&account](double share, millis until) {
        fill(account.bucket, share * account.limit.rate, share * account.limit.burst, until);
    };
    if (account.share > 0 && account.shareUntil <= now) {
        fillAt(account.share, account.shareUntil);
        account.share = 0;
    }
    if (isDisconnected(client, shard, now)) {
        account.bucket.filledAt = std::max(account.bucket.filledAt, *fallbackFrom(client, shard));
        fillAt(shard.fallbackShare, now);
    } else {
        fillAt(account.share, now);
    }
    if (client.byRank) {
        const double share = isDisconnected(client, shard, now) ? shard.fallbackShare : account.share;
        fill(account.lessUrgentMinimum, minLessUrgentShare * share * account.limit.rate,
            maxMinimumRequests * account.demand.meanCost, now);
    }
}

/// Units in the bucket that a request may use. Less urgent ones leave the reserve, unless their minimum pays
/// for them, or the bucket is too small to hold both.
double usableUnits(const quota_client &client, const quota_client_account &account, std::uint64_t hash,
    bool urgent, double cost, millis now)
{
    const double level = account.bucket.level;
    if (urgent || level <= 0 || account.lessUrgentMinimum.level + roundingUnits >= cost) {
        return level;
    }
    const double share = localShare(client, hash, now);
    const double depth = share * account.limit.burst;
    const double reserve = urgentReserve(account.urgentDemand, share * account.limit.rate, depth, now);
    return std::max(0.0, level - std::min(reserve, std::max(0.0, depth - minRequestsBesideReserve * cost)));
}

/// Adds to what less urgent requests may use in any case.
void addToMinimum(quota_client_account &account, double units)
{
    account.lessUrgentMinimum.level =
        std::min(account.lessUrgentMinimum.level + units, maxMinimumRequests * account.demand.meanCost);
}

void useMinimum(quota_client_account &account, double units)
{
    account.lessUrgentMinimum.level = std::max(0.0, account.lessUrgentMinimum.level - units);
}

/// Until when the home announced that there are no units for a request.
millis exhaustedUntil(const quota_client_account &account, bool urgent)
{
    return urgent ? account.exhaustedUntil
                  : std::max(account.exhaustedUntil, account.lessUrgentExhaustedUntil);
}

/// Whether the demand differs much from what was last reported to the home.
bool demandChanged(const quota_client_account &account, millis now)
{
    const double demand = currentDemand(account.demand, now);
    return demand * demandChangeFactor < account.reportedDemand
        || demand > account.reportedDemand * demandChangeFactor;
}

/// Whether the local demand may justify a share, with a bucket that can hold a request. The home decides.
bool wantsShare(const quota_client &client, const quota_client_account &account, millis now)
{
    const bool fits = client.plan.maxDaemonShare * account.limit.burst >= account.demand.meanCost;
    return fits && currentDemand(account.demand, now) >= minRequestsPerSecond * account.demand.meanCost;
}

/// The time until a request of that cost may succeed, here or at the home.
millis retryDelay(const quota_client &client, const quota_client_account &account, std::uint64_t hash,
    double cost, bool urgent, millis now)
{
    const double fillRate = localShare(client, hash, now) * account.limit.rate;
    const double rate = urgent
        ? fillRate
        : std::max(fillRate - currentDemand(account.urgentDemand, now), minLessUrgentShare * fillRate);
    const double missing = std::max(cost - usableUnits(client, account, hash, urgent, cost, now), 0.0);
    millis localWait = maxRetryAfter;
    if (rate > 0) {
        const double waitMs =
            std::min(missing * msPerSecond / rate, static_cast<double>(maxRetryAfter.count));
        localWait = {static_cast<std::int64_t>(waitMs)};
    }
    const millis exhausted = exhaustedUntil(account, urgent);
    const millis homeWait = exhausted > now ? exhausted - now : localWait;
    return std::max(minRetryAfter, std::min(localWait, homeWait));
}

void recordGrant(quota_client_account &account, bool urgent, double units, millis now)
{
    recordDemand(urgent ? account.urgentGranted : account.lessUrgentGranted, units, now);
}

/// The waiting caller to serve next: in their order, except that the minimum of the less urgent goes first.
/// Otherwise a daemon whose urgent callers always wait would serve no others.
std::deque<quota_client_account::waiter>::iterator nextToServe(quota_client_account &account, double extra)
{
    const auto lessUrgent = std::find_if(
        account.waiting.begin(), account.waiting.end(), [](const quota_client_account::waiter &each) {
            return !each.urgent;
        });
    const bool minimumFirst = lessUrgent != account.waiting.end()
        && account.lessUrgentMinimum.level + roundingUnits >= lessUrgent->cost
        && account.bucket.level + extra + roundingUnits >= lessUrgent->cost;
    return minimumFirst ? lessUrgent : account.waiting.begin();
}

/// Grants units to waiting callers, as far as the bucket and `extra` suffice.
void serveWaiting(const quota_client &client, quota_client_account &account, std::uint64_t hash,
    double &extra, std::vector<resolved_waiter> &resolved, millis now)
{
    while (!account.waiting.empty()) {
        const auto next = nextToServe(account, extra);
        const double usable = usableUnits(client, account, hash, next->urgent, next->cost, now);
        if (usable + extra + roundingUnits < next->cost) {
            return;
        }
        const double fromExtra = std::min(extra, next->cost);
        extra -= fromExtra;
        account.bucket.level -= next->cost - fromExtra;
        if (!next->urgent) {
            useMinimum(account, next->cost);
        }
        if (client.byRank) {
            recordGrant(account, next->urgent, next->cost, now);
        }
        resolved.push_back({next->id, {quota_result::Granted, {}}});
        account.waiting.erase(next);
    }
}

/// Refuses the waiting callers; with `lessUrgentOnly`, not those of the most urgent rank.
void refuseWaiting(const quota_client &client, quota_client_account &account, std::uint64_t hash,
    quota_result result, bool lessUrgentOnly, millis now, std::vector<resolved_waiter> &resolved)
{
    for (const quota_client_account::waiter &each : account.waiting) {
        if (!each.urgent || !lessUrgentOnly) {
            resolved.push_back(
                {each.id, {result, retryDelay(client, account, hash, each.cost, each.urgent, now)}});
        }
    }
    std::erase_if(account.waiting, [lessUrgentOnly](const quota_client_account::waiter &each) {
        return !each.urgent || !lessUrgentOnly;
    });
}

/// The units that a daemon's waiting callers need beyond what it has.
struct waiting_need
{
    double urgent = 0;
    double lessUrgent = 0;
};

waiting_need needOf(
    const quota_client &client, const quota_client_account &account, std::uint64_t hash, millis now)
{
    waiting_need need{-account.bucket.level, 0};
    for (const quota_client_account::waiter &each : account.waiting) {
        (each.urgent ? need.urgent : need.lessUrgent) += each.cost;
    }
    if (need.lessUrgent > 0) {
        const double left = -std::exchange(need.urgent, std::max(0.0, need.urgent));
        const double lastCost = account.waiting.back().cost;
        const double reserved =
            account.bucket.level - usableUnits(client, account, hash, false, lastCost, now);
        need.lessUrgent -= left > 0 ? std::max(0.0, left - reserved) : 0;
    }
    return need;
}

quota_demand makeWant(
    const quota_client &client, quota_client_account &account, std::uint64_t hash, millis now)
{
    quota_demand want{hash, 0, 0, 0, 0, 0, 0};
    account.reportedDemand = currentDemand(account.demand, now);
    want.demandMilli = toMilli(account.reportedDemand);
    want.costMilli = toMilli(account.demand.meanCost);
    account.reportedShare = account.share;
    want.heldSharePpm = toPpm(account.share);
    want.unusedMilli = toMilli(std::exchange(account.unusedUnits, 0));
    account.needRequested = !account.waiting.empty();
    if (account.needRequested) {
        const quota_client_account::waiter &first = account.waiting.front();
        const waiting_need need = needOf(client, account, hash, now);
        want.needMilli = toMilli(need.urgent + need.lessUrgent) + 1; // rounded up
        want.firstNeedMilli =
            toMilli(first.cost - usableUnits(client, account, hash, first.urgent, first.cost, now)) + 1;
    }
    return want;
}

/// The fields of a want that only homes that know ranks are sent.
optional_fields rankFieldsOf(
    const quota_client &client, quota_client_account &account, std::uint64_t hash, millis now)
{
    const bool urgentWaits = !account.waiting.empty() && account.waiting.front().urgent;
    const double need = needOf(client, account, hash, now).urgent;
    account.urgentNeedRequested = urgentWaits;
    optional_fields fields;
    addField(fields, static_cast<std::uint32_t>(quota_field::UrgentDemandMilli),
        toMilli(currentDemand(account.urgentDemand, now)), 0);
    addField(fields, static_cast<std::uint32_t>(quota_field::UrgentNeedMilli),
        urgentWaits ? toMilli(need) + 1 : 0, 0);
    return fields;
}

/// Stops using the share before the home is notified.
void dropShare(quota_client_account &account)
{
    account.share = 0;
    account.bucket.level = std::min(account.bucket.level, 0.0);
}

/// Whether a caller waits for the home's response.
bool hasWaiters(const quota_client_account &account)
{
    return !account.waiting.empty();
}

/// Adds the wants of a shard to the request to its home: with `all`, those of all relevant accounts, else
/// only those of accounts with waiting callers.
void addWants(quota_client &client, addressed_request &request, bool all, millis now)
{
    std::vector<quota_demand> &wants = request.request.demands;
    const std::uint32_t index = request.request.shard;
    for (auto &[hash, account] : client.accounts) {
        if (shardOf(hash) != index) {
            continue;
        }
        updateBucket(client, account, client.shards[index], now);
        const bool answered = client.shards[index].missedResponses == 0; // else it can't be granted again
        if (answered && account.waiting.empty() && currentDemand(account.demand, now) == 0) {
            dropShare(account); // now rather than a round later
        }
        const bool shareDropped = account.reportedShare > 0 && account.share == 0;
        const bool reportable =
            account.share > 0 || shareDropped || account.unusedUnits >= 1 || wantsShare(client, account, now);
        if (!hasWaiters(account) && !(all && reportable)) {
            continue;
        }
        if (wants.size() >= maxWantsPerRequest) {
            dropShare(account); // the home would otherwise have to assume that it is still in use
            continue;
        }
        wants.push_back(makeWant(client, account, hash, now));
        if (request.ranked) {
            request.demandFields.push_back(rankFieldsOf(client, account, hash, now));
        }
    }
}

/// Removes accounts that have had no requests for a share's lifetime.
void removeIdleAccounts(quota_client &client, millis now)
{
    std::erase_if(client.accounts, [&client, now](const auto &each) {
        const quota_client_account &account = each.second;
        return account.waiting.empty() && account.share == 0 && account.unusedUnits < 1
            && now - account.demand.updatedAt > client.plan.shareLifetime;
    });
}

}

std::string_view nameOf(quota_result value)
{
    static constexpr std::string_view names[] = {"granted", "waits", "over", "too_large", "home_away"};
    return names[static_cast<std::size_t>(value)];
}

double localShare(const quota_client &client, std::uint64_t account, millis now)
{
    const quota_client_shard &shard = client.shards[shardOf(account)];
    if (isDisconnected(client, shard, now)) {
        return shard.fallbackShare;
    }
    const auto found = client.accounts.find(account);
    const bool holds = found != client.accounts.end() && found->second.shareUntil > now;
    return holds ? found->second.share : 0;
}

quota_decision acquireUnits(quota_client &client, std::uint64_t account, const quota_limit &limit,
    std::uint64_t id, double cost, millis now, quota_urgency urgency)
{
    if (cost > limit.burst + maxDebt(limit, client.rules)) {
        return {quota_result::TooLarge, {}};
    }
    quota_client_account &state = client.accounts[account];
    quota_client_shard &shard = client.shards[shardOf(account)];
    state.limit = limit;
    updateBucket(client, state, shard, now);
    const bool urgent = !client.byRank || urgency == quota_urgency::MostUrgent;
    recordDemand(state.demand, cost, now);
    if (client.byRank && urgent) {
        recordDemand(state.urgentDemand, cost, now);
    }
    const auto firstLessUrgent = std::find_if(
        state.waiting.begin(), state.waiting.end(), [](const quota_client_account::waiter &each) {
            return !each.urgent;
        });
    const bool othersFirst = urgent ? firstLessUrgent != state.waiting.begin() : !state.waiting.empty();
    if (!othersFirst && usableUnits(client, state, account, urgent, cost, now) + roundingUnits >= cost) {
        state.bucket.level -= cost;
        if (!urgent) {
            useMinimum(state, cost);
        }
        if (client.byRank) {
            recordGrant(state, urgent, cost, now);
        }
        return {quota_result::Granted, {}};
    }
    if (exhaustedUntil(state, urgent) > now) {
        return {quota_result::LimitReached, retryDelay(client, state, account, cost, urgent, now)};
    }
    if (shard.missedResponses >= maxMissedResponses) {
        return {quota_result::HomeUnavailable, retryDelay(client, state, account, cost, urgent, now)};
    }
    state.waiting.insert(urgent ? firstLessUrgent : state.waiting.end(), {id, cost, now, urgent});
    return {quota_result::Pending, {}};
}

void cancelWaiter(quota_client &client, std::uint64_t account, std::uint64_t id)
{
    const auto found = client.accounts.find(account);
    if (found != client.accounts.end()) {
        std::erase_if(found->second.waiting, [id](const quota_client_account::waiter &each) {
            return each.id == id;
        });
    }
}

void returnUnits(quota_client &client, std::uint64_t account, double cost, millis now)
{
    const auto found = client.accounts.find(account);
    if (found == client.accounts.end()) {
        return;
    }
    quota_client_account &state = found->second;
    updateBucket(client, state, client.shards[shardOf(account)], now);
    const double depth = localShare(client, account, now) * state.limit.burst;
    const double fits = std::clamp(depth - state.bucket.level, 0.0, cost);
    state.bucket.level += fits;
    state.unusedUnits += cost - fits;
}

void setHome(
    quota_client &client, std::uint32_t shard, const std::string &home, std::int64_t term, millis now)
{
    quota_client_shard &state = client.shards[shard];
    if (state.home == home && state.homeTerm == term) {
        return;
    }
    state.home = home;
    state.homeTerm = term;
    state.fullyReported = false;
    state.requestPending = false;
    state.missedResponses = 0;
    state.handshakesLeft = handshakeCount;
    state.nextRequestAt = now;
}

std::vector<addressed_request> dueRequests(quota_client &client, std::size_t daemons, millis now)
{
    removeIdleAccounts(client, now);
    std::vector<addressed_request> requests;
    const millis interval = std::max(requestInterval,
        millis{static_cast<std::int64_t>(requestIntervalPerDaemonMs * static_cast<double>(daemons))});
    std::array<bool, quotaShards> hasWaitersIn{};
    std::array<bool, quotaShards> demandChangedIn{};
    std::array<bool, quotaShards> hasShares{};
    for (const auto &[hash, account] : client.accounts) {
        const std::uint32_t shard = shardOf(hash);
        hasWaitersIn[shard] = hasWaitersIn[shard] || hasWaiters(account);
        const bool relevant = account.share > 0 || wantsShare(client, account, now);
        hasShares[shard] = hasShares[shard] || relevant;
        demandChangedIn[shard] = demandChangedIn[shard] || (relevant && demandChanged(account, now));
    }
    for (std::uint32_t i = 0; i < quotaShards; ++i) {
        quota_client_shard &shard = client.shards[i];
        if (shard.requestPending && now - shard.sentAt > quotaResponseTimeout) {
            shard.requestPending = false;
            ++shard.missedResponses;
            shard.nextRequestAt =
                now + (shard.missedResponses < maxMissedResponses ? millis{} : retryRequestAfter);
        }
        const bool early = demandChangedIn[i] && now - shard.sentAt >= minEarlyRequestGap;
        const bool due = now >= shard.nextRequestAt || early;
        const bool urgent = hasWaitersIn[i] && shard.missedResponses < maxMissedResponses;
        if (shard.home.empty() || shard.requestPending || !(due || urgent)) {
            continue;
        }
        addressed_request request;
        request.home = shard.home;
        request.request = {i, ++shard.round, shard.answeredRound, toPpm(shard.fallbackShare), {}};
        request.ranked = client.byRank && shard.homeKnowsRanks;
        addWants(client, request, due || !shard.fullyReported, now);
        shard.rankedRequest = request.ranked;
        shard.requestPending = true;
        shard.sentAt = now;
        if (due) {
            shard.handshakesLeft = std::max(shard.handshakesLeft - 1, 0);
            const millis usual = hasShares[i] ? interval : std::max(interval, idleRequestInterval);
            shard.nextRequestAt = now + (shard.handshakesLeft > 0 ? handshakeInterval : usual);
        }
        requests.push_back(std::move(request));
    }
    return requests;
}

std::vector<resolved_waiter> applyResponse(quota_client &client, const quota_response &response, millis now)
{
    std::vector<resolved_waiter> resolved;
    if (response.shard >= quotaShards) {
        return resolved;
    }
    quota_client_shard &shard = client.shards[response.shard];
    if (!shard.requestPending || response.round != shard.round || now - shard.sentAt > quotaResponseTimeout) {
        return resolved; // late or a duplicate: the home doesn't count on it
    }
    for (const quota_grant &grant : response.grants) {
        if (const auto found = client.accounts.find(grant.account); found != client.accounts.end()) {
            updateBucket(client, found->second, shard, now);
        }
    }
    shard.requestPending = false;
    shard.missedResponses = 0;
    shard.fullyReported = true;
    shard.answeredRound = response.round;
    shard.lastContact = shard.sentAt;
    shard.fallbackShare = fromPpm(response.fallbackSharePpm);
    for (const quota_grant &grant : response.grants) {
        const auto found = client.accounts.find(grant.account);
        if (found == client.accounts.end()) {
            continue;
        }
        quota_client_account &account = found->second;
        const double share = fromPpm(grant.grantedSharePpm);
        if (share < account.share * confirmDropRatio) {
            shard.nextRequestAt = std::min(shard.nextRequestAt, now + confirmDelay);
        }
        account.share = share;
        account.shareUntil = shard.sentAt + client.plan.shareLifetime;
        updateBucket(client, account, shard, now);
        double extra = fromMilli(grant.unitsMilli);
        if (client.byRank) {
            addToMinimum(account, minLessUrgentShare * extra);
        }
        serveWaiting(client, account, grant.account, extra, resolved, now);
        const double depth = account.share * account.limit.burst;
        const double fits = std::clamp(depth - account.bucket.level, 0.0, extra);
        account.bucket.level += fits;
        account.unusedUnits += extra - fits;
        if (grant.availableInMs > 0) {
            // The home grants units to the most urgent rank first. If it did, or was not asked for that rank,
            // it denied only the need of the others.
            const bool lessUrgentOnly =
                shard.rankedRequest && (grant.unitsMilli > 0 || !account.urgentNeedRequested);
            const millis until = now + std::clamp(millis{grant.availableInMs}, minRetryAfter, maxRetryAfter);
            (lessUrgentOnly ? account.lessUrgentExhaustedUntil : account.exhaustedUntil) = until;
            refuseWaiting(
                client, account, grant.account, quota_result::LimitReached, lessUrgentOnly, now, resolved);
        } else if (grant.unitsMilli <= 0 && account.needRequested) {
            refuseWaiting(
                client, account, grant.account, quota_result::HomeUnavailable, false, now, resolved);
        }
    }
    return resolved;
}

std::vector<resolved_waiter> expireWaiters(quota_client &client, millis now)
{
    std::vector<resolved_waiter> resolved;
    for (auto &[hash, account] : client.accounts) {
        const quota_client_shard &shard = client.shards[shardOf(hash)];
        const bool homeUnavailable = shard.missedResponses >= maxMissedResponses
            || (shard.home.empty()
                && std::any_of(account.waiting.begin(), account.waiting.end(),
                    [now](const quota_client_account::waiter &each) {
                        return now - each.arrivedAt >= homeDiscoveryTimeout;
                    }));
        if (homeUnavailable) {
            refuseWaiting(client, account, hash, quota_result::HomeUnavailable, false, now, resolved);
        }
    }
    return resolved;
}

std::vector<resolved_waiter> setLimit(
    quota_client &client, std::uint64_t account, const std::optional<quota_limit> &limit, millis now)
{
    std::vector<resolved_waiter> resolved;
    const auto found = client.accounts.find(account);
    if (found == client.accounts.end()) {
        return resolved;
    }
    if (limit && isLimited(*limit)) {
        updateBucket(client, found->second, client.shards[shardOf(account)], now);
        found->second.limit = *limit;
        updateBucket(client, found->second, client.shards[shardOf(account)], now);
        return resolved;
    }
    for (const quota_client_account::waiter &each : found->second.waiting) {
        resolved.push_back({each.id, {quota_result::Granted, {}}});
    }
    client.accounts.erase(found);
    return resolved;
}

}
