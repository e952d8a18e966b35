#include "state/key_hash.h"

#include <sodium/crypto_generichash.h>
#include <sodium/utils.h>

#include <array>

namespace briarhead {

std::string keyHash(std::string_view key)
{
    std::array<unsigned char, crypto_generichash_BYTES> digest{};
    static_assert(digest.size() == 32, "BLAKE2b-256");
    crypto_generichash(digest.data(), digest.size(), reinterpret_cast<const unsigned char *>(key.data()),
        key.size(), nullptr, 0);
    std::string hex(digest.size() * 2 + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
    hex.pop_back(); // the terminating zero
    return hex;
}

}
