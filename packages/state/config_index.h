#pragma once

#include "state/config.h"

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace briarhead::detail {

/// Lets a hash table of texts be searched by a text view.
struct text_hash
{
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const
    {
        return std::hash<std::string_view>{}(text);
    }
};

template <class value>
using text_table = std::unordered_map<std::string, value, text_hash, std::equal_to<>>;

/// The rules of one selector of callers, by what they reach.
struct selector_rules
{
    text_table<const rule_config *> exact;
    text_table<const rule_config *> prefixes; ///< without the '*'; the empty prefix is "*"
    std::vector<std::size_t> prefixBytes; ///< lengths that occur in `prefixes`, falling
    text_table<const rule_config *> services;
};

/// What a request needs to find its caller, rule and service in a few hash look-ups, whatever the number of
/// rules. Points into the sections it was built from, and holds on to them for that.
struct access_index
{
    config_section<caller_config> callers;
    config_section<rule_config> rules;
    config_section<service_config> services;
    text_table<const std::string *> callerByKey;
    text_table<selector_rules> bySelector; ///< a caller's name, "group:NAME" or "*"
    std::vector<const std::pair<const std::string, service_config> *> longestPrefixFirst;
    std::set<std::string, std::less<>> groups;
};

/// Builds the index over a configuration's callers, rules and services.
std::shared_ptr<const access_index> buildIndex(const config &at);

}
