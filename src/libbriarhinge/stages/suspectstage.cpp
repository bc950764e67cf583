#include "stages/suspectstage.h"

#include <utility>

namespace briarhinge::stages
{

namespace
{

constexpr base::Milliseconds trialPollInterval{5};
/** Requests that many callers send alike must not wait long for a trial that hangs. */
constexpr base::Milliseconds maxTrialWait{250};

}

SuspectStage::SuspectStage(RequestState &state, placement::SuspectTable &suspects, boost::asio::io_context &context)
    : m_state(state)
    , m_suspects(suspects)
    , m_timer(context)
{
}

void SuspectStage::enter(const StageHandler &onResult)
{
    if (m_isOnTrial || m_suspects.isEmpty()) {
        onResult(Proceed{});
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    switch (m_suspects.admit(m_state.content(), now)) {
    case placement::SuspectVerdict::Clear:
        break;
    case placement::SuspectVerdict::RunAlone:
        m_isOnTrial = true;
        m_state.placementRequest.isSuspect = true;
        break;
    case placement::SuspectVerdict::Wait:
        if (waitForTrial(onResult)) {
            return;
        }
        m_state.placementRequest.isSuspect = true;
        break;
    case placement::SuspectVerdict::Quarantined:
        m_state.record.digest = m_state.digest().value();
        onResult(Refusal{statusUnavailable, requests::Outcome::Quarantined,
                         "the request, or one that it begins with, has crashed too many runners",
                         m_suspects.remainingQuarantine(m_state.content(), now)});
        return;
    }
    onResult(Proceed{});
}

bool SuspectStage::waitForTrial(const StageHandler &onResult)
{
    const auto now = std::chrono::steady_clock::now();
    if (!m_waitEnd) {
        m_waitEnd = now + maxTrialWait;
    }
    if (now >= *m_waitEnd) {
        return false;
    }
    m_timer.expires_after(trialPollInterval);
    m_timer.async_wait([this, onResult](const boost::system::error_code &error) {
        if (!error && !m_isLeft) {
            enter(onResult);
        }
    });
    return true;
}

void SuspectStage::leave()
{
    m_isLeft = true;
    m_timer.cancel();
    if (std::exchange(m_isOnTrial, false)) {
        m_suspects.endTrial(m_state.digest(), false);
    }
}

void SuspectStage::recordSurvival()
{
    if (!m_isOnTrial && m_state.record.digest.empty()) {
        return;
    }
    m_isOnTrial = false;
    m_suspects.endTrial(m_state.digest(), true);
}

placement::CrashedRequest SuspectStage::recordLostConnection()
{
    m_isOnTrial = false;
    const auto request = placement::crashedRequest(m_state.content());
    m_state.record.digest = request.digest.value();
    return request;
}

}
