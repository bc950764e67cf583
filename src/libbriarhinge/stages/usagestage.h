#pragma once

#include "accounts/usageresult.h"
#include "stages/requeststate.h"
#include "stages/stage.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace briarhinge::stages
{

/** Gets permits for the requests of client accounts, like forwarding::UsageClient. */
template <class T>
concept UsageSource = requires(T usage, const accounts::UsageNeed &need, const base::AccountId &account,
                               const accounts::UsageAllowed &allowed)
{
    usage.acquire(need, std::function<void(const accounts::UsageResult &)>());
    usage.giveBack(account, allowed);
};

/** Keeps client accounts within their quotas. Holds a permit, which is given back if no runner got the request. */
template <UsageSource Usage>
class UsageStage
{
public:
    /**
     * @param state the request
     * @param usage gets permits
     */
    UsageStage(RequestState &state, Usage &usage)
        : m_state(state)
        , m_usage(usage)
    {
    }

    /** @param onResult receives 429 with a time to come back beyond the cap, 503 when nobody can tell */
    void enter(const StageHandler &onResult)
    {
        if (m_state.account == nullptr || !m_state.account->cap) {
            onResult(Proceed{});
            return;
        }
        const accounts::UsageNeed need{*m_state.account, m_state.routing->version().value(), m_state.request.program,
                                       m_state.mayBeginProgram()};
        m_usage.acquire(need, [this, onResult](const accounts::UsageResult &result) {
            handleResult(result, onResult);
        });
    }

    /** Gives the permit back if it was not used. */
    void leave()
    {
        m_isLeft = true;
        const auto permit = std::exchange(m_permit, std::nullopt);
        if (permit && m_state.record.attempts == 0) {
            m_usage.giveBack(m_state.account->id, *permit);
        }
    }

private:
    void handleResult(const accounts::UsageResult &result, const StageHandler &onResult)
    {
        if (const auto *allowed = std::get_if<accounts::UsageAllowed>(&result)) {
            m_permit = *allowed;
            if (m_isLeft) {
                leave();
                return;
            }
            if (m_state.mayBeginProgram()) {
                m_state.beginsProgram = allowed->beginsProgram;
                m_state.relativeUse = allowed->relativeUse;
            }
            onResult(Proceed{});
            return;
        }
        if (m_isLeft) {
            return;
        }
        if (const auto *exceeded = std::get_if<accounts::UsageExceeded>(&result)) {
            const std::string what = exceeded->isStart ? "the account's cap leaves no room for another program"
                                                       : "the account is beyond its cap";
            onResult(Refusal{statusTooManyRequests, requests::Outcome::CapExceeded, what, exceeded->delay});
        } else {
            onResult(refusal(std::get<accounts::UsageUnknown>(result).reason));
        }
    }

    RequestState &m_state;
    Usage &m_usage;
    std::optional<accounts::UsageAllowed> m_permit;
    bool m_isLeft = false;
};

}
