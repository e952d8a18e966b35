#include "coordination/request_fingerprint.h"

#include <xxhash.h>

#include <array>
#include <cstdint>
#include <memory>

namespace briarhead {

namespace {

struct state_freer
{
    void operator()(XXH3_state_t *state) const
    {
        XXH3_freeState(state);
    }
};

/// Its length goes first, so that bytes that move from one part to the next change the hash.
void addPart(XXH3_state_t *state, std::string_view part)
{
    const std::uint64_t length = part.size();
    XXH3_128bits_update(state, &length, sizeof(length));
    XXH3_128bits_update(state, part.data(), part.size());
}

std::string hexOf(const XXH128_hash_t &hash)
{
    constexpr std::string_view digits = "0123456789abcdef";
    XXH128_canonical_t bytes;
    XXH128_canonicalFromHash(&bytes, hash);
    std::string text;
    text.reserve(2 * sizeof(bytes.digest));
    for (const unsigned char byte : bytes.digest) {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

}

std::string fingerprintOf(const repeated_content &content)
{
    const std::unique_ptr<XXH3_state_t, state_freer> state(XXH3_createState());
    XXH3_128bits_reset(state.get());
    for (const std::string_view part :
        {content.caller, content.method, content.host, content.target, content.body}) {
        addPart(state.get(), part);
    }
    return hexOf(XXH3_128bits_digest(state.get()));
}

}
