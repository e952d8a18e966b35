#pragma once

#include "serving/metadata_store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace briarhead {

/// The store as one daemon sees it: servers' addresses have other ports, so that the daemon reaches them by
/// links of its own.
class remapped_store final : public metadata_store
{
public:
    explicit remapped_store(metadata_store &store)
        : m_store(store)
    {
    }
    std::map<std::uint16_t, std::uint16_t> ports; ///< port seen by this daemon, by the server's own

    void list(const std::string &prefix, std::function<void(const store_read &)> done) override
    {
        m_store.list(prefix, remapped(std::move(done)));
    }
    void watch(const std::string &prefix, std::int64_t after, millis wait,
        std::function<void(const store_read &)> done) override
    {
        m_store.watch(prefix, after, wait, remapped(std::move(done)));
    }
    void change(const store_change &what, std::function<void(store_status, std::int64_t)> done) override
    {
        m_store.change(what, std::move(done));
    }
    void grantLease(millis ttl, std::function<void(store_status, std::int64_t)> done) override
    {
        m_store.grantLease(ttl, std::move(done));
    }
    void renewLease(std::int64_t lease, std::function<void(store_status)> done) override
    {
        m_store.renewLease(lease, std::move(done));
    }

private:
    std::function<void(const store_read &)> remapped(std::function<void(const store_read &)> done)
    {
        return [this, done = std::move(done)](store_read read) {
            for (stored_item &item : read.items) {
                for (const auto &[own, seen] : ports) {
                    const std::string from = "127.0.0.1:" + std::to_string(own) + '"';
                    const std::size_t at =
                        item.key.starts_with("servers/") ? item.value.find(from) : std::string::npos;
                    if (at != std::string::npos) {
                        item.value.replace(at, from.size(), "127.0.0.1:" + std::to_string(seen) + '"');
                        break;
                    }
                }
            }
            done(read);
        };
    }

    metadata_store &m_store;
};

}
