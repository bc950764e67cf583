#pragma once

#include "accounts/account.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace briarhinge::accounts
{

/** SHA-256 digest of a key. */
using KeyDigest = std::array<std::uint8_t, 32>;

/**
 * @param key a key
 * @return its digest
 */
KeyDigest digestOf(std::string_view key);

/** A client account with the digests of its keys. */
struct AccountDeclaration
{
    Account account;
    std::vector<KeyDigest> keys;
};

/** The client accounts of one configuration. Holds digests of keys only. */
class AccountDirectory
{
public:
    /** @param declarations the accounts; a key that several of them have recognizes none */
    explicit AccountDirectory(std::vector<AccountDeclaration> declarations);

    /**
     * @param key the key that a caller has presented
     * @return the account that has it, or nullptr; valid as long as the directory
     */
    const Account *find(std::string_view key) const;

    /** @param id an account @return the account, or nullptr */
    const Account *account(const base::AccountId &id) const;

    /** @return number of accounts */
    std::size_t size() const;

    /** @return number of keys that more than one account has */
    std::size_t sharedKeyCount() const;

private:
    struct Key
    {
        KeyDigest digest;
        std::uint32_t account = 0;
    };

    std::vector<Account> m_accounts;
    /** In the order of the digests. */
    std::vector<Key> m_keys;
    std::size_t m_sharedKeyCount = 0;
};

}
