#pragma once

#include "scheduling/serving_config.h"

#include <map>
#include <string>

// Which decisions for high load apply to a service. Derived from the configuration alone, so that all daemons
// that have the same version agree.
namespace briarhead {

struct service_features
{
    /// Slot requests carry the rank of their route: the service's routes have several.
    bool routeRanks = false;
    /// Model servers are chosen by predicted gaps: a route states the longest gap that is on time.
    bool gapPrediction = false;
    millis shortestGap; ///< the shortest such limit; 0: none
    /// Plain servers are chosen by the load of all daemons, from a subset that keeps connections in use.
    bool plainLoad = false;

    bool operator==(const service_features &other) const = default;
};

/// Whether any feature applies.
bool anyFeature(const service_features &features);
/// The names of those that apply, for logs and the status page, separated by spaces.
std::string namesOf(const service_features &features);

/// The features of each service, by name.
std::map<std::string, service_features> featuresOf(const serving_config &config);

/// Whether an account's limit goes to its urgent requests first: accounts have limits, and the routes of one
/// service have several ranks.
bool limitsByRank(const serving_config &config);

}
