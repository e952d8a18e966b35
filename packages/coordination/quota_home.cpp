#include "coordination/quota_home.h"

#include <algorithm>
#include <utility>

namespace briarhead {

millis grantsFrom(const quota_home &home, const quota_plan &plan)
{
    return home.handedOver ? home.startedAt : home.startedAt + plan.takeoverWait;
}

namespace {

/// How often the disconnected daemons are counted. The margin counts daemons ahead of time that may become
/// disconnected before the next count.
constexpr millis surveyInterval{100};
constexpr millis surveyMargin{250};
/// A response may be acknowledged by any of the next requests, so the latest rounds are kept.
constexpr std::size_t maxRecentRounds = 4;
/// The home keeps at least this fraction of a limit to grant units from, however large the demand for shares
/// is.
constexpr double minHomeShare = 0.1;
/// By this time after the home may grant, it has heard from each live daemon.
constexpr millis learningPeriod{1'500};
constexpr double msPerSecond = 1'000;

/// The fallback share: the fraction of each limit that a daemon may use after a long time without contact.
double equalShare(const quota_home &home)
{
    return 1.0 / static_cast<double>(std::max<std::size_t>(home.fleet.size(), 1));
}

bool isUnresponsiveFor(const quota_member &member, millis span, millis now)
{
    return !member.lastContact || now + surveyMargin >= *member.lastContact + span;
}

/// Recomputes which daemons are disconnected and which have not been heard from yet; the latter may still
/// hold shares that a former home granted. Returns whether either changed.
bool survey(quota_home &home, const quota_plan &plan, millis now)
{
    if (home.surveyedAt.count != 0 && now - home.surveyedAt < surveyInterval) {
        return false;
    }
    home.surveyedAt = now;
    home.fallbackReserved = 0;
    const double fallbackBefore = std::exchange(home.fallbackInUse, 0);
    const std::size_t unknownBefore = std::exchange(home.unknownDaemons, 0);
    const double equal = equalShare(home);
    for (const std::string &node : home.fleet) {
        const auto found = home.members.find(node);
        if (found == home.members.end()) {
            ++home.unknownDaemons;
            home.fallbackInUse += equal;
            home.fallbackReserved += equal;
            continue;
        }
        const quota_member &member = found->second;
        home.fallbackInUse += isUnresponsiveFor(member, plan.fallbackAfter, now) ? member.fallbackShare : 0;
        home.fallbackReserved +=
            isUnresponsiveFor(member, plan.fallbackReservedAfter, now) ? member.fallbackShare : 0;
    }
    if (home.fallbackInUse < fallbackBefore || home.unknownDaemons < unknownBefore) {
        home.usageDecreasedAt = now;
    }
    return home.fallbackInUse != fallbackBefore || home.unknownDaemons != unknownBefore;
}

/// The shares that daemons not heard from yet may hold from a former home. They expire one share lifetime
/// after the last one that the former home can have granted.
double unknownShares(
    const quota_home &home, const quota_plan &plan, const quota_home_account &account, millis now)
{
    if (now >= grantsFrom(home, plan) + plan.shareLifetime) {
        return 0;
    }
    const double maxUnknown = static_cast<double>(home.unknownDaemons) * plan.maxDaemonShare;
    return std::max(0.0, std::min(plan.maxTotalShares - account.learnedShares, maxUnknown));
}

double heldShares(const quota_home_account &account, millis now)
{
    double held = 0;
    for (const auto &[node, holding] : account.holdings) {
        held += holding.until > now ? holding.share : 0;
    }
    return held;
}

double availableShare(
    const quota_home &home, const quota_plan &plan, const quota_home_account &account, millis now)
{
    const double inUse =
        home.fallbackInUse + unknownShares(home, plan, account, now) + heldShares(account, now);
    return std::max(0.0, 1 - inUse);
}

bool mayGrant(const quota_home &home, const quota_plan &plan, millis now)
{
    return now >= grantsFrom(home, plan);
}

/// Sets the fraction of the limit that flows into an account's bucket from now on.
void setFillShare(const quota_home &home, const quota_plan &plan, quota_home_account &account,
    const quota_limit &limit, millis now)
{
    account.fillShare = mayGrant(home, plan, now) ? availableShare(home, plan, account, now) : 0;
    fill(account.bucket, 0, account.fillShare * limit.burst, now);
}

void fillAccount(quota_home_account &account, const quota_limit &limit, millis now)
{
    fill(account.bucket, account.fillShare * limit.rate, account.fillShare * limit.burst, now);
}

/// Whether the request is a new one, from a live process. Also updates the time of the daemon's last contact:
/// its request was sent after the response that it acknowledges, and that response was sent at a known time.
bool acceptRound(
    quota_home &home, const quota_requester &requester, const quota_request &request, bool &first, millis now)
{
    const auto [entry, isNew] = home.members.try_emplace(requester.node);
    quota_member &member = entry->second;
    first = isNew;
    if (member.incarnation != requester.incarnation) {
        // A late message of a process that has ended. Incarnations are start times, so a lower one is older,
        // unless the clock was set back meanwhile; then the daemon's record decides.
        if (!isNew && requester.incarnation < member.incarnation && !requester.recorded) {
            return false;
        }
        if (!isNew) {
            // Only one daemon at a time runs under a name, so the shares of the previous process are free.
            for (auto &[hash, account] : home.accounts) {
                account.holdings.erase(requester.node);
            }
        }
        member.incarnation = requester.incarnation;
        member.recentRounds.clear();
        member.lastContact.reset();
    }
    if (!member.recentRounds.empty() && request.round <= member.recentRounds.back().round) {
        return false;
    }
    for (const auto &before : member.recentRounds) {
        if (before.round == request.lastAnsweredRound) {
            member.lastContact =
                std::max(member.lastContact, std::optional(before.receivedAt - quotaResponseTimeout));
        }
    }
    member.recentRounds.push_back({request.round, now});
    while (member.recentRounds.size() > maxRecentRounds) {
        member.recentRounds.pop_front();
    }
    member.fallbackShare = std::max(fromPpm(request.fallbackSharePpm), equalShare(home));
    return true;
}

/// The share that a daemon gets in place of what it holds: proportional to its demand, but no more than is
/// free. As much as possible is granted as shares, so that daemons have a reserve when the home fails.
double shareFor(const quota_home &home, const quota_plan &plan, const quota_home_account &account,
    const quota_limit &limit, const std::string &node, const quota_demand &want, millis now)
{
    const double held = fromPpm(want.heldSharePpm);
    if (!mayGrant(home, plan, now)) {
        return held; // a share given back now could not be granted again
    }
    const double available =
        std::max(0.0, std::min(plan.maxTotalShares, 1 - home.fallbackReserved - minHomeShare));
    double totalDemand = 0;
    double otherShares = 0;
    for (const auto &[holder, holding] : account.holdings) {
        if (holding.until > now) {
            totalDemand += holding.demand;
            otherShares += holder == node ? 0 : holding.share;
        }
    }
    const double ownDemand = fromMilli(want.demandMilli);
    const double proportionalShare = totalDemand > 0 ? available * ownDemand / totalDemand : 0;
    const double target =
        std::min({proportionalShare, plan.headroom * ownDemand / limit.rate, plan.maxDaemonShare});
    const double free = available - unknownShares(home, plan, account, now) - otherShares - held;
    if (now < grantsFrom(home, plan) + learningPeriod) {
        // The other daemons with demand are not all known yet.
        return std::max(held, std::min(target, held + std::max(0.0, free)));
    }
    const double share = std::max(0.0, std::min(target, held + free));
    const bool holdsRequest = share * limit.burst >= fromMilli(want.costMilli);
    return holdsRequest ? share : 0; // a bucket that can never hold a request is useless
}

/// Grants units from the home's bucket for waiting callers, or reports when there may be some.
void grantUnits(const quota_plan &plan, const quota_tolerance &rules, const quota_limit &limit,
    quota_home_account &account, const quota_demand &want, quota_grant &grant)
{
    const double moved = fromMilli(grant.unitsMilli);
    const double need = std::max(0.0, fromMilli(want.needMilli) - moved);
    if (need <= 0) {
        return;
    }
    const double first = std::min(std::max(0.0, fromMilli(want.firstNeedMilli) - moved), need);
    const double debt = maxDebt(limit, rules);
    const double room = account.bucket.level >= 0 ? account.bucket.level + debt : 0;
    if (account.fillShare > 0 && room >= first) {
        const std::int64_t granted = toMilli(std::min(need, room));
        grant.unitsMilli += granted;
        account.bucket.level -= fromMilli(granted);
        return;
    }
    if (account.fillShare <= 0) {
        return; // nothing may be granted yet, which does not mean that the limit is used up
    }
    const double missing = std::max(-account.bucket.level, first - debt - account.bucket.level);
    const double waitMs = missing * msPerSecond / (account.fillShare * limit.rate);
    grant.availableInMs =
        static_cast<std::int64_t>(std::clamp(waitMs, 1.0, static_cast<double>(plan.shareLifetime.count)));
}

/// Returns the account's state, adding it at the first request. A new account has had no grants from this
/// home, so its bucket is filled for the time since then, except for times at which daemons may have used
/// more of the limit than now.
quota_home_account &findOrAddAccount(
    quota_home &home, const quota_plan &plan, const quota_limit &limit, std::uint64_t hash, millis now)
{
    const auto [entry, isNew] = home.accounts.try_emplace(hash);
    quota_home_account &account = entry->second;
    if (isNew) {
        const millis learned =
            grantsFrom(home, plan) + (home.unknownDaemons > 0 ? plan.shareLifetime : millis{});
        account.bucket.filledAt =
            std::min(now, std::max({home.usageDecreasedAt, grantsFrom(home, plan), learned}));
        setFillShare(home, plan, account, limit, now);
    }
    return account;
}

/// When a share grows, moves the units that no longer fit into the smaller bucket here to the daemon, so that
/// granting a share loses nothing of the burst.
void moveUnits(quota_home_account &account, const quota_limit &limit, double growth, quota_grant &grant)
{
    const double excess = account.bucket.level - account.fillShare * limit.burst;
    const double moved = std::min(excess, growth * limit.burst);
    if (moved > 0) {
        grant.unitsMilli += toMilli(moved);
        account.bucket.level -= moved;
    }
}

quota_grant handleWant(quota_home &home, const quota_plan &plan, const quota_tolerance &rules,
    const quota_limit &limit, const std::string &node, const quota_demand &want, bool first, millis now)
{
    quota_home_account &account = findOrAddAccount(home, plan, limit, want.account, now);
    fillAccount(account, limit, now);
    const double held = fromPpm(want.heldSharePpm);
    account.learnedShares += first ? held : 0;
    quota_holding &holding = account.holdings[node];
    holding.demand = fromMilli(want.demandMilli);
    holding.share = held;
    holding.until = now + plan.shareLifetime;
    quota_grant grant{want.account, 0, 0, 0};
    grant.grantedSharePpm = toPpm(shareFor(home, plan, account, limit, node, want, now));
    holding.share = std::max(held, fromPpm(grant.grantedSharePpm));
    account.bucket.level += fromMilli(want.unusedMilli);
    const double growth = holding.share - held;
    account.fillShare = mayGrant(home, plan, now) ? availableShare(home, plan, account, now) : 0;
    moveUnits(account, limit, growth, grant);
    fill(account.bucket, 0, account.fillShare * limit.burst, now);
    grantUnits(plan, rules, limit, account, want, grant);
    return grant;
}

/// Adapts the rate of all buckets after a survey, so that what disconnected daemons use does not also flow in
/// here.
void updateAllAccounts(quota_home &home, const quota_plan &plan, const limit_lookup &limitOf, millis now)
{
    for (auto &[hash, account] : home.accounts) {
        const auto limit = limitOf(hash);
        if (!limit || !isLimited(*limit)) {
            continue;
        }
        // Daemons may have become disconnected at any time since the last survey, which is long ago if this
        // process was paused, but none can have reconnected unnoticed. So the smaller share applies to that
        // time.
        const double before = account.fillShare;
        account.fillShare =
            std::min(before, mayGrant(home, plan, now) ? availableShare(home, plan, account, now) : 0);
        fillAccount(account, *limit, now);
        setFillShare(home, plan, account, *limit, now);
    }
}

void removeExpiredHoldings(quota_home_account &account, millis now)
{
    std::erase_if(account.holdings, [now](const auto &each) {
        return each.second.until <= now;
    });
}

}

quota_home startHome(millis now, bool handedOver)
{
    quota_home home;
    home.startedAt = now;
    home.handedOver = handedOver;
    return home;
}

void setFleet(quota_home &home, std::vector<std::string> fleet)
{
    home.fleet = std::move(fleet);
}

std::optional<quota_response> handleRequest(quota_home &home, const quota_plan &plan,
    const quota_tolerance &rules, const limit_lookup &limitOf, const quota_requester &requester,
    const quota_request &request, millis now)
{
    bool first = false;
    if (!acceptRound(home, requester, request, first, now)) {
        return std::nullopt;
    }
    if (first) {
        home.surveyedAt = {}; // one unknown daemon less, so survey again
    }
    if (survey(home, plan, now)) {
        updateAllAccounts(home, plan, limitOf, now);
    }
    quota_response response{request.shard, request.round, toPpm(equalShare(home)), {}};
    for (const quota_demand &want : request.demands) {
        const auto limit = limitOf(want.account);
        if (!limit || !isLimited(*limit)) {
            response.grants.push_back({want.account, 0, 0, 0});
            continue;
        }
        response.grants.push_back(handleWant(home, plan, rules, *limit, requester.node, want, first, now));
        removeExpiredHoldings(home.accounts[want.account], now);
    }
    return response;
}

double homeFillShare(
    quota_home &home, const quota_plan &plan, const limit_lookup &limitOf, std::uint64_t account, millis now)
{
    if (survey(home, plan, now)) {
        updateAllAccounts(home, plan, limitOf, now);
    }
    const auto found = home.accounts.find(account);
    return found == home.accounts.end() ? 0 : found->second.fillShare;
}

void removeUnlimitedAccounts(quota_home &home, const limit_lookup &limitOf)
{
    std::erase_if(home.accounts, [&limitOf](const auto &each) {
        const auto limit = limitOf(each.first);
        return !limit || !isLimited(*limit);
    });
}

}
