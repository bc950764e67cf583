#include "accounts/accountcheck.h"

namespace briarhinge::accounts
{

AccountVerdict checkAccount(const AccountDirectory &directory, const Credentials &credentials, bool isAnonymousAllowed,
                            Knowledge knowledge)
{
    const Account *account = credentials.key.empty() ? nullptr : directory.find(credentials.key);
    if (isAnonymousAllowed) {
        return Recognized{knowledge == Knowledge::Expired ? nullptr : account};
    }
    if (credentials.fields.empty()) {
        return Unauthorized{"no credentials"};
    }
    if (credentials.key.empty()) {
        return Unauthorized{"credentials that name no key, or several"};
    }
    if (knowledge == Knowledge::Expired) {
        return Uncertain{"the accounts in force are not known"};
    }
    if (account != nullptr) {
        return Recognized{account};
    }
    if (knowledge == Knowledge::Doubtful) {
        return Uncertain{"an unknown key, while the configuration can't be read"};
    }
    return Unauthorized{"an unknown key"};
}

}
