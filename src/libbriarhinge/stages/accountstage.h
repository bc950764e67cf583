#pragma once

#include "accounts/accountknowledge.h"
#include "stages/requeststate.h"
#include "stages/stage.h"

namespace briarhinge::stages
{

/** Finds the client account of a request, where the configuration declares accounts. */
class AccountStage
{
public:
    /**
     * @param state the request
     * @param knowledge how far the known accounts are the ones in force
     */
    AccountStage(RequestState &state, const accounts::AccountKnowledge &knowledge);

    /** @param onResult receives 401 for a caller that no account is known for, 503 when that can't be told */
    void enter(const StageHandler &onResult);

    void leave()
    {
    }

private:
    RequestState &m_state;
    const accounts::AccountKnowledge &m_knowledge;
};

}
