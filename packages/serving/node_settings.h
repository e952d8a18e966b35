#pragma once

#include "scheduling/service_retry_budget.h"
#include "state/clock.h"
#include "state/quota_limit.h"
#include "transport/peer_link.h"

#include <string>

namespace briarhead {

/// The settings that a daemon is started with.
struct node_settings
{
    std::string node; ///< name of the daemon; stays the same across restarts
    std::string failureDomain;
    peer_address front; ///< listens here for callers
    peer_address ready; ///< listens here for the load balancer's readiness checks
    peer_address peers; ///< listens here for datagrams and HTTP requests of other daemons
    peer_address metrics; ///< listens here for scrapes
    peer_address store; ///< where the store is reached
    millis minLease{1'000}; ///< the shortest lease that the store grants
    millis orderLease{3'000}; ///< minimum time between the orders of two successive owners of a server
    bool serversCheckFencingTokens = true; ///< model servers reject orders with an outdated fencing token
    bool bootstrap = false; ///< the whole system is being started for the first time
    millis drain{2'000}; ///< after the store lists a server as leaving, requests may reach it for so long
    millis shutdown{8'000}; ///< from the termination signal until the platform kills the process
    std::size_t maxDescriptors = 0; ///< sockets and files that the process may open; 0: not stated
    retry_limits retries;
    quota_tolerance quota; ///< how exactly client accounts' limits are enforced
    /// Refuse requests that need a key while the configuration has not been confirmed to be the newest for
    /// longer than `maxRevocationDelay`, because a key may have been revoked since.
    bool strictRevocation = false;
    millis maxRevocationDelay{5'000};
};

}
