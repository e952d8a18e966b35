#include "serving/faulty_response_fixture.h"

#include <gtest/gtest.h>

namespace briarhead {

namespace {

constexpr std::size_t uploadBytes = 4 * 1024 * 1024; ///< more than the socket buffers hold
constexpr std::size_t longBodyBytes = 90'000; ///< takes several reads

/// A response that a server sends before it has read the whole upload.
struct early_response
{
    const char *name;
    std::string bytes;
    bool isWhole;
    bool resets;
};

std::vector<early_response> earlyResponses()
{
    const std::string part(3'000, 'p');
    const std::string rest(longBodyBytes, 'r');
    return {
        {"UnframedPartReset", "HTTP/1.1 200 OK\r\n\r\n" + part, false, true},
        {"UnframedLongPartReset", "HTTP/1.1 200 OK\r\n\r\n" + rest, false, true},
        {"ChunkedPartReset", chunked("bb8\r\n" + part + "\r\n"), false, true},
        {"LengthPartReset", "HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n" + part, false, true},
        {"LengthWholeReset",
            "HTTP/1.1 413 X\r\nContent-Length: " + std::to_string(rest.size()) + "\r\n\r\n" + rest, true,
            true},
        {"ChunkedWholeReset",
            "HTTP/1.1 413 X\r\nTransfer-Encoding: chunked\r\n\r\nbb8\r\n" + part + "\r\n0\r\n\r\n", true,
            true},
        {"LengthWholeClosed", "HTTP/1.1 413 X\r\nContent-Length: 3000\r\n\r\n" + part, true, false},
    };
}

class early_response_test : public faulty_response_fixture,
                            public testing::WithParamInterface<std::tuple<client_kind, early_response, bool>>
{
};

}

// Guards against a part of a response that passes for the whole, or a whole one that is lost, where a server
// responds and resets the connection while its request is still being sent.
TEST_P(early_response_test, IsCompleteOnlyIfItsFramingSaysSo)
{
    const auto &[kind, response, atOnce] = GetParam();
    send(kind, std::string(uploadBytes, 'u'));
    acceptRequest();
    runRounds(30); // the upload fills the buffers
    m_server->send(response.bytes);
    if (!atOnce) {
        runRounds(30); // the response arrives before the reset
    }
    if (response.resets) {
        m_server->reset();
    } else {
        m_server->hangUp(); // unread bytes make the system reset the connection as well
    }
    awaitEnd();
    if (response.isWhole && !atOnce) {
        EXPECT_EQ(m_seen->how, send_result::Complete);
    } else if (!response.isWhole) {
        EXPECT_EQ(m_seen->how, send_result::Broken) << m_seen->body.size() << " bytes";
    }
}

INSTANTIATE_TEST_SUITE_P(Uploads, early_response_test,
    testing::Combine(testing::Values(client_kind::Pool, client_kind::Library),
        testing::ValuesIn(earlyResponses()), testing::Bool()),
    [](const auto &each) {
        return std::string(nameOf(std::get<0>(each.param))) + std::get<1>(each.param).name
            + (std::get<2>(each.param) ? "AtOnce" : "Later");
    });

}
