#pragma once

#include "base/ids.h"

#include <string>

namespace briarhinge::accounts
{

/**
 * @param account a client account; empty for none
 * @param id an id that a caller of the account has chosen; empty for none
 * @return an id that callers of other accounts can't name, since header fields hold no line feed
 */
inline std::string scopedId(const base::AccountId &account, const std::string &id)
{
    return account.value().empty() || id.empty() ? id : account.value() + '\n' + id;
}

}
