#include "coordination/owner_task.h"

#include "coordination/rendezvous.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace briarhead {

namespace {

constexpr std::int64_t tickMs = 50;
/// The time to come back after, where no load or request has been seen to its end yet to tell a better one.
constexpr std::int64_t shortestRetryMs = 500;
/// An engine's whole state is a kilobyte or more with full slots, so it is asked for seldom while all is
/// well, and at once after a run or order that failed.
constexpr std::int64_t pollMs = 3'000;

}

owner_task::owner_task(bus &messages, loop &eventLoop, http_client &runs, http_client &guarded,
    crash_task &crashes, options given)
    : m_bus(messages)
    , m_loop(eventLoop)
    , m_runs(runs)
    , m_guarded(guarded)
    , m_crashes(crashes)
    , m_options(std::move(given))
    , m_random(std::random_device{}())
{
    m_bus.on<received<run_request>>([this](const received<run_request> &news) {
        onRun(news.from, news.body);
    });
    m_bus.on<received<run_cancel>>([this](const received<run_cancel> &news) {
        onCancel(news.body);
    });
    m_bus.on<received<load_grant>>([this](const received<load_grant> &news) {
        onGrant(news.body.ticket);
    });
    m_bus.on<received<status_request>>([this](const received<status_request> &news) {
        onStatus(news.from, news.body);
    });
    m_bus.on<received<drain_request>>([this](const received<drain_request> &news) {
        // Every daemon remembers it, so that the server stays drained when it changes hands.
        if (news.body.drain) {
            m_drained.insert(news.body.server);
        } else {
            m_drained.erase(news.body.server);
        }
        if (owned *server = find(news.body.server); server != nullptr) {
            server->draining = news.body.drain;
            spdlog::info("owner: {} {} by an operator.", news.body.server,
                news.body.drain ? "is drained" : "takes work again");
        }
    });
    m_bus.on<server_gained>([this](const server_gained &news) {
        onGained(news);
    });
    m_bus.on<server_lost>([this](const server_lost &news) {
        onLost(news.server);
    });
    m_bus.on<release_server>([this](const release_server &news) {
        onRelease(news.server);
    });
    m_bus.on<tenure_ended>([this](const tenure_ended &news) {
        if (owned *server = find(news.server); server != nullptr) {
            server->mayEvictAt = news.mayEvictAt;
        }
    });
    m_bus.on<lease_confirmed>([this](const lease_confirmed &news) {
        m_leaseUntil = news.until;
    });
    m_bus.on<owner_known>([this](const owner_known &news) {
        m_holders[news.server] = news.owner;
    });
    m_bus.on<live_list_changed>([this](const live_list_changed &news) {
        onLiveList(news.view);
    });
    m_bus.on<config_changed>([this](const config_changed &news) {
        m_config = news.current;
    });
    m_bus.on<members_changed>([this](const members_changed &news) {
        m_brokers.clear();
        for (const member &one : news.members) {
            if (one.state == peer_state::Alive) {
                m_brokers.push_back(one.name);
            }
        }
        m_members = static_cast<std::uint32_t>(std::max<std::size_t>(1, m_brokers.size()));
    });
    m_bus.on<link_broken>([this](const link_broken &news) {
        // A broker that can't be reached is passed over at once, not when membership has seen its death.
        m_brokers.erase(std::remove(m_brokers.begin(), m_brokers.end(), news.peer), m_brokers.end());
        for (auto &entry : m_servers) {
            entry.second.ticketAt = {};
        }
        // The entry is gone, and with it the callers of its requests: their places serve others.
        std::vector<request_id> orphans;
        for (const auto &[id, one] : m_jobs) {
            if (one.from == news.peer) {
                orphans.push_back(id);
            }
        }
        for (const request_id &id : orphans) {
            onCancel({id});
        }
    });
    m_bus.on<request_blocked>([this](const request_blocked &news) {
        refuseWaitingLike(news.fingerprint);
    });
    m_bus.on<drain_began>([this](const drain_began &) {
        m_leavingSoon = true;
    });
    m_timer = m_loop.timer({tickMs}, {tickMs}, [this] {
        tick();
    });
}

owner_task::owned *owner_task::find(const std::string &name)
{
    const auto found = m_servers.find(name);
    return found == m_servers.end() ? nullptr : &found->second;
}

bool owner_task::takesWork(const owned &server) const
{
    return server.held && !server.releasing && !server.draining && !leaves(server);
}

/// Names the start of the engine that was seen last.
std::string owner_task::startOf(const owned &server)
{
    return server.where.name + '@' + server.incarnation;
}

/// When callers that are refused together are to come back: apart from each other.
millis owner_task::comeBackAfter(millis wait)
{
    const double share = std::uniform_real_distribution<double>(1, 1 + comeBackSpread)(m_random);
    return {static_cast<std::int64_t>(static_cast<double>(wait.count) * share)};
}

bool owner_task::leaves(const owned &server) const
{
    return server.where.leaving || isLeaving(m_words, startOf(server));
}

/// What is left of the time for which the engine wants nothing from this daemon; 0: it takes calls.
millis owner_task::pauseOf(const owned &server) const
{
    return pauseLeft(m_words, startOf(server), m_options.self, bootNow());
}

// ---- servers gained and lost

void owner_task::onGained(const server_gained &news)
{
    owned &server = m_servers[news.server.name];
    server.where = news.server;
    server.releasing = false;
    server.releaseAsked = false;
    server.fencing = news.fencing;
    server.unclaimed = false;
    server.checksFencing = news.checksFencing;
    server.mayRunAt = news.mayRunAt;
    server.mayEvictAt = news.mayEvictAt;
    if (server.held) {
        return; // the same tenure under a higher number
    }
    server.held = true;
    server.known = false;
    server.draining = m_drained.count(news.server.name) != 0;
    server.pinsKnown = news.pinned.empty();
    const std::string url = "http://" + news.server.address + ":" + std::to_string(news.server.port);
    server.runs = std::make_unique<engine_client>(m_runs, url);
    server.guarded = std::make_unique<engine_client>(news.checksFencing ? m_runs : m_guarded, url);
    for (engine_client *client : {server.runs.get(), server.guarded.get()}) {
        client->onWords([this, name = news.server.name](const answer_words &said) {
            hearWords(name, said);
        });
    }
    for (const adapter_ref &ref : news.pinned) {
        server.adapters[ref].pinned = true;
    }
    poll(server);
}

void owner_task::onLost(const std::string &name)
{
    owned *server = find(name);
    if (server == nullptr) {
        return;
    }
    server->held = false;
    server->releaseAsked = false;
    dropTicket(*server);
    refuseWaiting(*server, nullptr, error_kind::NotOwner, "the server changed hands", {});
    if (server->inFlight == 0) {
        m_servers.erase(name);
    }
}

void owner_task::onRelease(const std::string &name)
{
    owned *server = find(name);
    if (server == nullptr) {
        m_bus.post(server_released{name, {}, {}});
        return;
    }
    server->releasing = true;
    server->releaseAsked = true;
    dropTicket(*server);
    refuseWaiting(*server, nullptr, error_kind::NotOwner, "the server changes hands", {});
    answerRelease(*server);
}

void owner_task::answerRelease(owned &server)
{
    const bool unloadOut = std::any_of(server.adapters.begin(), server.adapters.end(), [](const auto &entry) {
        return entry.second.unloading;
    });
    // Guards against: an unload of ours reaches the engine after the next owner, told that the release is in
    // order, has begun to run requests. It shows as a stream that breaks off. Where the engine checks fencing
    // numbers it refuses the order by then, and the release need not wait for its answer.
    if (!server.releaseAsked || (unloadOut && !server.checksFencing)) {
        return;
    }
    server.releaseAsked = false;
    server_released answer{server.where.name, {}, {}};
    const millis now = bootNow();
    millis streamsEnd = now;
    for (const auto *jobs : {&m_jobs, &m_lingering}) {
        for (const auto &[id, one] : *jobs) {
            if (one.request.server == server.where.name) {
                streamsEnd = std::max(streamsEnd, one.deadline);
            }
        }
    }
    // An adapter that an older owner's streams may still run on stays pinned for the next owner too.
    for (const auto &[ref, where] : server.adapters) {
        if (where.inFlight > 0 || where.pinned || where.loading) {
            answer.running.push_back(ref);
        }
    }
    answer.drain = releaseDrain(now, streamsEnd, server.mayEvictAt);
    m_bus.post(answer);
}

void owner_task::onLiveList(const live_view &view)
{
    m_sites.clear();
    ++m_sitesRevision;
    for (const auto &[name, instance] : view.instances) {
        if (instance.kind != instance_kind::Engine) {
            continue;
        }
        if (!instance.leaving) {
            m_sites[instance.service].push_back({name, instance.failureDomain, false});
        }
        owned *server = find(name);
        if (server == nullptr) {
            continue;
        }
        const bool news = instance.leaving && !server->where.leaving;
        server->where.leaving = instance.leaving;
        if (news) {
            spdlog::info("owner: {} is leaving. No new work goes there.", name);
            refuseWaiting(*server, nullptr, error_kind::NoServer, "the server is leaving", {});
        }
    }
}

// ---- time

void owner_task::tick()
{
    const millis now = bootNow();
    checkDeadlines(now);
    for (auto &entry : m_servers) {
        owned &server = entry.second;
        if (!server.held) {
            continue;
        }
        answerRelease(server);
        const bool settled =
            server.known && server.role == "serving" && !server.unclaimed && server.pinsKnown;
        const millis pause{settled ? pollMs : startingPollMs};
        if (!server.polling && pauseOf(server) <= millis{} && now - server.polledAt >= pause) {
            poll(server);
        }
        wantLoads(server);
    }
    drained();
}

void owner_task::checkDeadlines(millis now)
{
    std::vector<request_id> over;
    for (const auto &[id, one] : m_jobs) {
        // A waiting request that can't be answered in time any more gets its final answer now and not at its
        // deadline; a running one is broken off at the deadline.
        const auto server = m_servers.find(one.request.server);
        const double service = server == m_servers.end() ? 0 : server->second.serviceMs;
        const millis need = one.startedAt == millis{} ? millis{static_cast<std::int64_t>(service)} : millis{};
        millis start = now;
        if (one.startedAt == millis{} && server != m_servers.end()) {
            const auto wanted = server->second.adapters.find(one.request.adapter);
            start = std::max(now,
                roomFrom(server->second, wanted == server->second.adapters.end() ? nullptr : &wanted->second,
                    now));
        }
        if (start + need >= one.deadline) {
            over.push_back(id);
        }
    }
    std::vector<request_id> surelyEnded;
    for (const auto &[id, one] : m_lingering) {
        if (now >= one.deadline) {
            surelyEnded.push_back(id);
        }
    }
    for (const request_id &id : surelyEnded) {
        lingered(id);
    }
    for (const request_id &id : over) {
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end()) {
            continue;
        }
        job &one = found->second;
        if (one.startedAt != millis{}) {
            cancelJob(one);
            continue;
        }
        owned &server = m_servers.at(one.request.server);
        const job late = one;
        dequeue(server, late);
        m_jobs.erase(id);
        const bool forLoad = !server.adapters[late.request.adapter].resident;
        run_end answer{id, outcome::NotRun, error_kind::DeadlineTooShort,
            forLoad ? "still waiting for the adapter's load" : "still waiting for a place in the batch"};
        const double queueMs = std::max(server.loadMs, server.serviceMs);
        answer.retryAfterMs = std::max(shortestRetryMs, static_cast<std::int64_t>(queueMs));
        answer.hint = hintOf(server);
        answerEnd(late, answer);
    }
}

void owner_task::drained()
{
    const bool quiet = m_leavingSoon && m_jobs.empty() && m_lingering.empty()
        && std::none_of(m_servers.begin(), m_servers.end(), [](const auto &entry) {
               return entry.second.held;
           });
    if (quiet && !m_drainedSaid) {
        m_drainedSaid = true;
        m_bus.post(owner_drained{});
    }
}

}
