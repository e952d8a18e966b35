#include "coordination/crash_history.h"

#include <algorithm>

namespace briarhead {

namespace {

/// Makes room for one more by what was seen longest ago among those that are not blocked, or among all.
void makeRoom(crash_book &book)
{
    const auto goesFirst = [](const auto &a, const auto &b) {
        const bool blockedA = a.second.servers.size() >= endsToBlock;
        const bool blockedB = b.second.servers.size() >= endsToBlock;
        return blockedA != blockedB ? blockedB : a.second.seen < b.second.seen;
    };
    if (book.requests.size() >= crashesRemembered) {
        book.requests.erase(std::min_element(book.requests.begin(), book.requests.end(), goesFirst));
    }
}

}

bool addEnds(
    crash_book &book, const std::string &fingerprint, const std::vector<std::string> &servers, millis now)
{
    if (servers.empty()) {
        return false;
    }
    if (book.requests.count(fingerprint) == 0) {
        makeRoom(book);
    }
    crash_entry &entry = book.requests[fingerprint];
    entry.seen = now;
    const std::size_t before = entry.servers.size();
    for (const std::string &server : servers) {
        if (entry.servers.size() < endsToBlock) {
            entry.servers.insert(server);
        }
    }
    const bool isNew = entry.servers.size() > before;
    if (isNew && entry.servers.size() >= endsToBlock) {
        entry.waitsFrom = now;
    }
    return isNew;
}

std::vector<std::string> endsOf(const crash_book &book, const std::string &fingerprint)
{
    const auto found = book.requests.find(fingerprint);
    if (found == book.requests.end()) {
        return {};
    }
    return {found->second.servers.begin(), found->second.servers.end()};
}

bool isBlocked(const crash_book &book, const std::string &fingerprint)
{
    const auto found = book.requests.find(fingerprint);
    return found != book.requests.end() && found->second.servers.size() >= endsToBlock;
}

void noteTrials(crash_book &book, const std::string &fingerprint, std::uint32_t trials, millis now)
{
    const auto found = book.requests.find(fingerprint);
    if (found != book.requests.end() && trials > found->second.trials) {
        found->second.trials = trials;
        found->second.waitsFrom = now;
    }
}

std::uint32_t trialsOf(const crash_book &book, const std::string &fingerprint)
{
    const auto found = book.requests.find(fingerprint);
    return found == book.requests.end() ? 0 : found->second.trials;
}

millis untilTrial(const crash_book &book, const std::string &fingerprint, millis now)
{
    const auto found = book.requests.find(fingerprint);
    if (found == book.requests.end() || found->second.trials >= book.waits.size()) {
        return crashMemory;
    }
    return found->second.waitsFrom + book.waits[found->second.trials] - now;
}

void seeAgain(crash_book &book, const std::string &fingerprint, millis now)
{
    const auto found = book.requests.find(fingerprint);
    if (found != book.requests.end()) {
        found->second.seen = now;
    }
}

void forget(crash_book &book, const std::string &fingerprint)
{
    book.requests.erase(fingerprint);
}

std::vector<std::string> outdated(const crash_book &book, millis now)
{
    std::vector<std::string> old;
    for (const auto &[fingerprint, entry] : book.requests) {
        if (now - entry.seen >= crashMemory) {
            old.push_back(fingerprint);
        }
    }
    return old;
}

}
