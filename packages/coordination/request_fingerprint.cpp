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

/// Hashes the length first, so that bytes that move from one field to the next change the hash.
void addField(XXH3_state_t *state, std::string_view field)
{
    const std::uint64_t length = field.size();
    XXH3_128bits_update(state, &length, sizeof(length));
    XXH3_128bits_update(state, field.data(), field.size());
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

std::string fingerprintOf(const request_content &content)
{
    const std::unique_ptr<XXH3_state_t, state_freer> state(XXH3_createState());
    XXH3_128bits_reset(state.get());
    for (const std::string_view field :
        {content.caller, content.method, content.host, content.target, content.body}) {
        addField(state.get(), field);
    }
    return hexOf(XXH3_128bits_digest(state.get()));
}

}
