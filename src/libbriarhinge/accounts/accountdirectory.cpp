#include "accounts/accountdirectory.h"

#include <algorithm>
#include <utility>

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace briarhinge::accounts
{

KeyDigest digestOf(std::string_view key)
{
    KeyDigest digest{};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    return digest;
}

AccountDirectory::AccountDirectory(std::vector<AccountDeclaration> declarations)
{
    m_accounts.reserve(declarations.size());
    for (AccountDeclaration &declaration : declarations) {
        const auto index = static_cast<std::uint32_t>(m_accounts.size());
        m_accounts.push_back(std::move(declaration.account));
        for (const KeyDigest &digest : declaration.keys) {
            m_keys.push_back({digest, index});
        }
    }
    std::sort(m_keys.begin(), m_keys.end(), [](const Key &left, const Key &right) {
        return std::tie(left.digest, left.account) < std::tie(right.digest, right.account);
    });
    // An account may list a key twice; that names it all the same.
    m_keys.erase(std::unique(m_keys.begin(), m_keys.end(),
                             [](const Key &left, const Key &right) {
                                 return left.digest == right.digest && left.account == right.account;
                             }),
                 m_keys.end());
    std::vector<Key> unambiguous;
    for (std::size_t i = 0; i < m_keys.size();) {
        std::size_t end = i + 1;
        while (end < m_keys.size() && m_keys[end].digest == m_keys[i].digest) {
            ++end;
        }
        if (end == i + 1) {
            unambiguous.push_back(m_keys[i]);
        } else {
            ++m_sharedKeyCount;
        }
        i = end;
    }
    m_keys = std::move(unambiguous);
}

const Account *AccountDirectory::find(std::string_view key) const
{
    const KeyDigest digest = digestOf(key);
    const auto found =
        std::lower_bound(m_keys.begin(), m_keys.end(), digest, [](const Key &known, const KeyDigest &asked) {
            return known.digest < asked;
        });
    // The search depends on the digest only; whether the whole digest is equal is compared in constant time.
    if (found == m_keys.end() || CRYPTO_memcmp(found->digest.data(), digest.data(), digest.size()) != 0) {
        return nullptr;
    }
    return &m_accounts[found->account];
}

const Account *AccountDirectory::account(const base::AccountId &id) const
{
    const auto found = std::find_if(m_accounts.begin(), m_accounts.end(), [&id](const Account &account) {
        return account.id == id;
    });
    return found == m_accounts.end() ? nullptr : &*found;
}

std::size_t AccountDirectory::size() const
{
    return m_accounts.size();
}

std::size_t AccountDirectory::sharedKeyCount() const
{
    return m_sharedKeyCount;
}

}
