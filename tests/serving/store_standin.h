#pragma once

#include "serving/fake_store.h"
#include "serving/remapped_store.h"
#include "transport/front_server.h"

#include <memory>
#include <string>

namespace briarhead {

/// A fake_store behind the HTTP interface of the platform's store, for tests with real processes.
class store_standin
{
public:
    explicit store_standin(fake_store &shared);
    std::uint16_t port() const;
    /// Executes the calls that arrive over HTTP; its fault applies to all of them.
    fake_store_client client;
    /// What its readers see: addresses of servers may differ from the stored ones.
    remapped_store view{client};

private:
    void onRequest(const front_request &request, const std::shared_ptr<front_reply> &reply);
    void onChange(const front_request &request, const std::shared_ptr<front_reply> &reply);

    std::unique_ptr<front_server> m_server;
};

}
