#pragma once

#include "accounts/accountdirectory.h"

#include <string>
#include <variant>

namespace briarhinge::accounts
{

/** How far the accounts that an entry knows are the ones in force. */
enum class Knowledge {
    /** A change would be known by now. */
    Current,
    /** The configuration can't be read at the moment: keys may have been added, but none has been gone for too long. */
    Doubtful,
    /** Keys may have been taken away so long ago that no request with them may run any more. */
    Expired,
};

/** The request may go on. */
struct Recognized
{
    /** The caller's account; null for a caller without one. Valid as long as the directory. */
    const Account *account = nullptr;
};

/** No configuration that may be in force allows the request. */
struct Unauthorized
{
    std::string reason;
};

/** It can't be told now whether the configuration in force allows the request. */
struct Uncertain
{
    std::string reason;
};

using AccountVerdict = std::variant<Recognized, Unauthorized, Uncertain>;

/**
 * Decides for which account a request is handled. Uses no clock and no state.
 *
 * @param directory the accounts of the configuration that is known
 * @param credentials what the caller has presented
 * @param isAnonymousAllowed whether the route takes callers without an account
 * @param knowledge how far the directory is the one in force
 * @return the account, or why there is none
 */
AccountVerdict checkAccount(const AccountDirectory &directory, const Credentials &credentials, bool isAnonymousAllowed,
                            Knowledge knowledge);

}
