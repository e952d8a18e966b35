#pragma once

#include "serving/repeat_budget.h"
#include "state/clock.h"
#include "state/quota_limit.h"
#include "transport/peer_link.h"

#include <string>

namespace briarhead {

/// What a daemon is told at its start.
struct node_settings
{
    std::string node; ///< its name, the same after a restart
    std::string failureDomain;
    peer_address front; ///< for callers
    peer_address ready; ///< for the question whether it takes callers
    peer_address peers; ///< for datagrams between daemons
    peer_address metrics;
    peer_address store;
    millis leaseMin{1'000}; ///< the shortest lease that the store grants
    millis orderLease{3'000}; ///< two daemons give a server orders no closer together than this
    bool serversCheckTokens = true; ///< model servers refuse an order whose fencing token is outdated
    bool bootstrap = false; ///< the whole system starts for the first time
    millis drain{2'000}; ///< from the store's word that a server leaves to the last request to it
    millis shutdown{8'000}; ///< from the signal to end until the process is killed
    repeat_limits repeats;
    quota_tolerance quota; ///< how exactly client accounts' limits are to be kept
    /// Whether callers with keys are refused once this daemon can't know whether keys were withdrawn longer
    /// ago than `withdrawnKnown`.
    bool strictWithdrawal = false;
    millis withdrawnKnown{5'000};
};

}
