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

/// A transparent hash, so that a table with std::string keys can be searched by a string view.
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

/// The rules for one selector of callers, by the adapters or service that they allow.
struct selector_rules
{
    text_table<const rule_config *> exact; ///< by adapter name
    text_table<const rule_config *> prefixes; ///< by prefix without the '*'; the empty prefix stands for "*"
    std::vector<std::size_t> prefixBytes; ///< distinct lengths of the keys of `prefixes`, descending
    text_table<const rule_config *> services; ///< by service name
};

/// Finds the caller, rule and service of a request in a few hash look-ups, independent of the number of
/// rules. Points into the entries of the sections that it was built from, and keeps copies of those sections
/// so that the entries stay alive.
struct access_index
{
    config_section<caller_config> callers;
    config_section<rule_config> rules;
    config_section<service_config> services;
    text_table<const std::string *> callerByKey; ///< the caller's name, by hash of its key
    text_table<selector_rules> bySelector; ///< a caller's name, "group:NAME" or "*"
    std::vector<const std::pair<const std::string, service_config> *> longestPrefixFirst; ///< services
    std::set<std::string, std::less<>> groups; ///< that any caller belongs to
};

/// Builds the index over a configuration's callers, rules and services.
std::shared_ptr<const access_index> buildIndex(const config &configuration);

}
