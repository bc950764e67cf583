#include "stages/accountstage.h"

#include <string>
#include <variant>

namespace briarhinge::stages
{

AccountStage::AccountStage(RequestState &state, const accounts::AccountKnowledge &knowledge)
    : m_state(state)
    , m_knowledge(knowledge)
{
}

void AccountStage::enter(const StageHandler &onResult)
{
    const accounts::AccountDirectory *directory = m_state.routing->accounts();
    if (directory == nullptr) {
        m_state.request.forwardsCredentials = true;
        onResult(Proceed{});
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    const auto verdict = accounts::checkAccount(*directory, m_state.request.credentials,
                                                m_state.route->isAnonymousAllowed, m_knowledge.at(now));
    if (const auto *unauthorized = std::get_if<accounts::Unauthorized>(&verdict)) {
        onResult(Refusal{statusUnauthorized, requests::Outcome::Rejected, unauthorized->reason, std::nullopt});
        return;
    }
    if (const auto *uncertain = std::get_if<accounts::Uncertain>(&verdict)) {
        const auto age = m_knowledge.age(now);
        onResult(refusal(uncertain->reason + (age ? ": confirmed " + std::to_string(age->count()) + " ms ago" : "")));
        return;
    }
    m_state.account = std::get<accounts::Recognized>(verdict).account;
    if (m_state.account != nullptr) {
        m_state.request.account = m_state.account->id;
        m_state.record.account = m_state.account->id.value();
    }
    onResult(Proceed{});
}

}
