#pragma once

#include "serving/fleet_send.h"
#include "serving/front_task.h"

// Shared by the sources of front_task alone: a request's state, and what more than one of them waits for.
namespace briarhead {

/// Of a refusal whose cause passes in an unknown, short time.
constexpr millis comeBackSoon{300};
/// Another instance takes it right away.
constexpr millis comeBackElsewhere{50};
/// How long a request waits for what a start or a takeover brings, and how often it looks.
constexpr millis startPatience{600};
constexpr millis retryStep{40};
/// Of a refusal while all servers leave: others are listed within some seconds.
constexpr millis comeBackAllLeave{1'000};
/// A daemon that keeps a server's limit and doesn't answer is not asked again for so long, unless its beats
/// come.
constexpr millis silentHolder{2'000};
/// A server that is silent for less is never given up.
constexpr millis quietLeast{1'000};

/// The time after which a caller is to come back, apart from that of others.
millis spread(millis wait, const std::string &requestId);

inline bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

/// One request, from its arrival to the end of its answer.
struct front_task::work
{
    std::string number;
    client_request request;
    std::string fingerprint; ///< of what its caller sends again with each attempt
    std::shared_ptr<front_reply> reply;
    std::shared_ptr<const serving_config> config; ///< in force at arrival
    const route *way = nullptr;
    const client_account *account = nullptr; ///< of the configuration above; null: none
    std::uint64_t accountId = 0; ///< accountHash() of its name
    double cost = 0; ///< units of the account's limit; 0: it has none
    double unitsHeld = 0; ///< taken, and not yet spent by a send
    double unitsSpent = 0; ///< by the latest send
    millis unitsTakenAt;
    std::uint64_t unitsWaiting = 0; ///< while the account's home is asked; 0: it isn't
    std::string service;
    bool model = false; ///< goes to a model server, by a place
    millis arrived;
    millis endBy;

    std::set<std::string> excluded; ///< servers not to be tried (again)
    std::set<std::string> sentTo;
    int unsent = 0;
    int placesTried = 0;
    std::string server; ///< asked, or sent to
    crash_target target; ///< sent to last
    std::string orderer; ///< node that was asked; empty: none
    int asks = 0;
    bool granted = false;
    std::int64_t adapterVersion = 0;
    millis askedAt;
    millis shortestWait{-1}; ///< of the refusals so far

    std::optional<backend_pool::send_id> sending;
    bool mayHaveRun = false;
    bool trial = false; ///< goes to a server though it is blocked, to find out whether it still ends them
    http_head head; ///< of the answer in progress
    answer_meta meta;
    std::string body;
    bool streaming = false; ///< events go to the caller as they come
    bool begun = false; ///< the caller has the head
    bool firstEvent = false; ///< has come from the server it was sent to last
    event_stream events;
    millis lastEvent;
    millis sentAt;
    millis placeWait; ///< from the question to the grant, of the last server
    millis firstWait{-1}; ///< from arrival to the first event
    millis readTime{-1}; ///< from the last send to the first event
    millis longestPause; ///< between two events
    std::shared_ptr<void> deadlineTimer;
    std::shared_ptr<void> askTimer;
    std::shared_ptr<void> quietTimer;
};

/// To a server's orderer, which may be this daemon.
template <class message_type>
void front_task::tell(const std::string &orderer, const message_type &message)
{
    deliverToNode(
        m_loop, *m_port, m_store, m_settings.node, orderer, message, [this](const message_type &own) {
            m_orderer->handle(m_settings.node, own);
        });
}

}
