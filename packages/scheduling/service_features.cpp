#include "scheduling/service_features.h"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>
#include <utility>

namespace briarhead {

namespace {

struct feature_name
{
    std::string_view name;
    bool service_features::*value;
};

constexpr std::array<feature_name, 3> featureNames{{
    {"route_ranks", &service_features::routeRanks},
    {"gap_prediction", &service_features::gapPrediction},
    {"plain_load", &service_features::plainLoad},
}};

bool hasLimitedAccounts(const serving_config &config)
{
    return config.accounts.size() > 1
        && std::any_of(config.accounts.begin(), config.accounts.end(), [](const client_account &account) {
               return isLimited(account.limit);
           });
}

}

bool anyFeature(const service_features &features)
{
    return !(features == service_features{});
}

std::string namesOf(const service_features &features)
{
    std::string names;
    for (const feature_name &each : featureNames) {
        if (features.*each.value) {
            names += (names.empty() ? "" : " ") + std::string(each.name);
        }
    }
    return names;
}

std::map<std::string, service_features> featuresOf(const serving_config &config)
{
    std::map<std::string, std::set<int>> ranks;
    std::map<std::string, service_features> features;
    for (const route &each : config.routes) {
        for (const service_share &share : each.services) {
            service_features &service = features[share.service];
            if (engineOf(config, share.service) == nullptr) {
                service.plainLoad = true;
                continue;
            }
            ranks[share.service].insert(each.rank);
            service.routeRanks = ranks[share.service].size() > 1;
            service.gapPrediction = service.gapPrediction || each.maxGap.count > 0;
            const bool shorter = service.shortestGap.count == 0 || each.maxGap < service.shortestGap;
            service.shortestGap = each.maxGap.count > 0 && shorter ? each.maxGap : service.shortestGap;
        }
    }
    return features;
}

bool limitsByRank(const serving_config &config)
{
    std::map<std::string, std::set<int>> ranks;
    for (const route &each : config.routes) {
        for (const service_share &share : each.services) {
            ranks[share.service].insert(each.rank);
        }
    }
    return hasLimitedAccounts(config) && std::any_of(ranks.begin(), ranks.end(), [](const auto &each) {
        return each.second.size() > 1;
    });
}

}
