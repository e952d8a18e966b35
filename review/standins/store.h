#pragma once

// A stand-in of the platform's metadata store, by PROTOCOL.md, "The platform's metadata store".

#include "http.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace review {

using json = nlohmann::json;

inline std::string toBase64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const std::size_t left = std::min<std::size_t>(3, bytes.size() - i);
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8 | (k < left ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += k <= left ? digits[group >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return out;
}

class store
{
public:
    explicit store(const std::string &ip)
        : m_ip(ip)
        , m_listener(listenOn(ip, m_port))
    {
        std::thread([this] {
            accept();
        }).detach();
        std::thread([this] {
            expireLeases();
        }).detach();
    }
    std::string address() const
    {
        return m_ip + ':' + std::to_string(m_port);
    }
    /// A write of the operator or of a server. Its return is the acknowledgement.
    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        write(key, toBase64(value), 0);
        m_changed.notify_all();
    }
    void remove(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        erase(key);
        m_changed.notify_all();
    }

private:
    struct lease
    {
        std::int64_t ttlMs = 0;
        std::int64_t endsAt = 0;
    };

    void accept()
    {
        for (;;) {
            const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            std::thread([this, fd] {
                serve(fd);
            }).detach();
        }
    }
    void serve(int fd)
    {
        connection peer(fd);
        message request;
        while (peer.read(request, nowMs() + 600'000) == read_end::Whole) {
            std::this_thread::sleep_for(std::chrono::milliseconds(4)); // the pages' time of an answer
            int status = 200;
            const std::string body = answer(request, status).dump();
            if (!peer.send("HTTP/1.1 " + std::to_string(status)
                    + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
                    + "\r\n\r\n" + body)) {
                return;
            }
        }
    }
    json answer(const message &request, int &status)
    {
        const std::string target = request.target();
        const std::string path = target.substr(0, target.find('?'));
        std::unique_lock lock(m_mutex);
        if (path == "/v1/kv-key") {
            const auto found = m_items.find(query(target, "key"));
            status = found == m_items.end() ? 404 : 200;
            return found == m_items.end() ? json::object() : found->second;
        }
        if (path == "/v1/kv-range") {
            return range(query(target, "prefix"), query(target, "after"));
        }
        if (path == "/v1/kv-watch") {
            return watch(lock, target);
        }
        if (path == "/v1/kv-txn") {
            return change(json::parse(request.body), status);
        }
        if (path == "/v1/kv-lease") {
            const auto wanted = json::parse(request.body).at("ttlMs").get<std::int64_t>();
            const std::int64_t ttl = std::max<std::int64_t>(wanted, 1'000);
            const std::int64_t id = ++m_lastLease;
            m_leases[id] = {ttl, nowMs() + ttl};
            return {{"lease", id}, {"ttlMs", ttl}};
        }
        const std::int64_t id = std::atoll(path.substr(path.rfind('/') + 1).c_str());
        const auto found = m_leases.find(id);
        status = found == m_leases.end() ? 404 : 200;
        if (found == m_leases.end()) {
            return json::object();
        }
        if (path.rfind("/v1/kv-keep/", 0) == 0) {
            found->second.endsAt = nowMs() + found->second.ttlMs;
            return {{"ttlMs", found->second.ttlMs}};
        }
        endLease(id);
        return json::object();
    }
    json range(const std::string &prefix, const std::string &after)
    {
        json items = json::array();
        bool truncated = false;
        for (auto it = m_items.lower_bound(std::max(prefix, after)); it != m_items.end(); ++it) {
            if (it->first.rfind(prefix, 0) != 0) {
                break;
            }
            if (it->first == after) {
                continue;
            }
            truncated = items.size() == 500;
            if (truncated) {
                break;
            }
            items.push_back(it->second);
        }
        return {{"items", items}, {"truncated", truncated}, {"currentRev", m_revision}};
    }
    json watch(std::unique_lock<std::mutex> &lock, const std::string &target)
    {
        const std::string prefix = query(target, "prefix");
        const std::int64_t after = std::atoll(query(target, "after").c_str());
        const std::int64_t until = nowMs() + std::atoll(query(target, "waitMs").c_str());
        for (;;) {
            json events = json::array();
            for (const json &event : m_history) {
                if (event.at("revision") > after
                    && event.at("key").get_ref<const std::string &>().rfind(prefix, 0) == 0) {
                    events.push_back(event);
                }
            }
            if (!events.empty() || nowMs() >= until) {
                return {{"events", events}, {"currentRev", m_revision}};
            }
            m_changed.wait_for(lock, std::chrono::milliseconds(std::max<std::int64_t>(1, until - nowMs())));
        }
    }
    json change(const json &call, int &status)
    {
        json current = json::array();
        bool holds = true;
        for (const json &row : call.at("expectedRev")) {
            const auto found = m_items.find(row.at("key"));
            const std::int64_t revision =
                found == m_items.end() ? 0 : found->second.at("revision").get<std::int64_t>();
            holds = holds && revision == row.at("revision").get<std::int64_t>();
            if (found != m_items.end()) {
                current.push_back(found->second);
            }
        }
        for (const json &row : call.at("puts")) {
            const std::string key = row.at("key");
            const std::int64_t lease = row.value("lease", std::int64_t{0});
            if (key.rfind("op/", 0) == 0 || key.rfind("servers/", 0) == 0) {
                status = 403;
                return json::object();
            }
            if (lease != 0 && m_leases.count(lease) == 0) {
                status = 404;
                return json::object();
            }
        }
        if (!holds) {
            status = 412;
            return {{"items", current}};
        }
        for (const json &row : call.at("puts")) {
            write(row.at("key"), row.at("value"), row.value("lease", std::int64_t{0}));
        }
        for (const json &key : call.at("remove")) {
            erase(key);
        }
        m_changed.notify_all();
        return {{"revision", m_revision}};
    }
    void write(const std::string &key, const std::string &base64, std::int64_t lease)
    {
        ++m_revision;
        const auto found = m_items.find(key);
        const std::int64_t created =
            found == m_items.end() ? m_revision : found->second.at("createdRev").get<std::int64_t>();
        m_items[key] = {{"key", key}, {"value", base64}, {"revision", m_revision}, {"createdRev", created},
            {"lease", lease}};
        m_history.push_back(m_items[key]);
    }
    void erase(const std::string &key)
    {
        if (m_items.erase(key) != 0) {
            ++m_revision;
            m_history.push_back({{"key", key}, {"revision", m_revision}, {"removed", true}});
        }
    }
    void endLease(std::int64_t id)
    {
        std::vector<std::string> keys;
        for (const auto &[key, item] : m_items) {
            if (item.at("lease") == id) {
                keys.push_back(key);
            }
        }
        for (const std::string &key : keys) {
            erase(key);
        }
        m_leases.erase(id);
        m_changed.notify_all();
    }
    void expireLeases()
    {
        for (;;) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            const std::lock_guard lock(m_mutex);
            std::vector<std::int64_t> ended;
            for (const auto &[id, each] : m_leases) {
                if (each.endsAt < nowMs()) {
                    ended.push_back(id);
                }
            }
            for (const std::int64_t id : ended) {
                endLease(id);
            }
        }
    }
    static std::string query(const std::string &target, const std::string &name)
    {
        std::size_t at = target.find('?');
        while (at != std::string::npos) {
            const std::size_t next = target.find('&', at + 1);
            const std::string pair =
                target.substr(at + 1, next == std::string::npos ? std::string::npos : next - at - 1);
            if (pair.rfind(name + '=', 0) == 0) {
                std::string out;
                for (std::size_t i = name.size() + 1; i < pair.size(); ++i) {
                    if (pair[i] == '%' && i + 2 < pair.size()) {
                        out += static_cast<char>(std::strtol(pair.substr(i + 1, 2).c_str(), nullptr, 16));
                        i += 2;
                    } else {
                        out += pair[i];
                    }
                }
                return out;
            }
            at = next;
        }
        return "";
    }

    std::string m_ip;
    std::uint16_t m_port = 0;
    int m_listener;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, json> m_items;
    std::deque<json> m_history;
    std::int64_t m_revision = 100;
    std::map<std::int64_t, lease> m_leases;
    std::int64_t m_lastLease = 70'000;
};

}
