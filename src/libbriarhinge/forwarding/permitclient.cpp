#include "forwarding/permitclient.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include <boost/asio/steady_timer.hpp>

namespace briarhinge::forwarding
{

namespace
{

using boost::system::error_code;

/** A turn store answers within a round trip of 1 to 6 ms; one that takes this long does not help the request any more. */
constexpr base::Milliseconds replyTimeout{100};

std::chrono::steady_clock::time_point steadyNow()
{
    return std::chrono::steady_clock::now();
}

}

struct PermitClient::PendingPermit
{
    PendingPermit(boost::asio::io_context &context, std::vector<dispatch::RunnerId> asked,
                  dispatch::KeeperId askedKeeper, PermitHandler handler)
        : runners(std::move(asked))
        , keeper(std::move(askedKeeper))
        , onResult(std::move(handler))
        , timer(context)
    {
    }

    void finish(std::optional<dispatch::RunnerId> granted)
    {
        timer.cancel();
        std::exchange(onResult, nullptr)(std::move(granted));
    }

    std::vector<dispatch::RunnerId> runners;
    dispatch::KeeperId keeper;
    PermitHandler onResult;
    boost::asio::steady_timer timer;
};

PermitClient::PermitClient(boost::asio::io_context &context, turns::TurnClient &stores,
                           dispatch::LoadBalancer &balancer, RateHandler onRate)
    : m_context(context)
    , m_stores(stores)
    , m_balancer(balancer)
    , m_onRate(std::move(onRate))
{
}

void PermitClient::acquire(const std::vector<dispatch::RunnerId> &runners, base::Milliseconds maxWait,
                           PermitHandler onResult)
{
    const auto now = steadyNow();
    wire::RequestPermitT request;
    for (const dispatch::RunnerId &runner : runners) {
        const dispatch::RateStatement *rate = m_balancer.rateStatement(runner);
        if (rate == nullptr || !rate->limit) {
            onResult(runner);
            return;
        }
        request.rates.push_back(std::make_unique<wire::RunnerRateT>(toMessage({runner, *rate}, now)));
    }
    const auto keeper = m_balancer.permitSchedule().chooseKeeper(runners, now, maxWait);
    const auto store = keeper ? m_stores.member(turns::DiskId(keeper->value())) : std::nullopt;
    if (!store) {
        onResult(std::nullopt);
        return;
    }
    request.max_wait_ms = static_cast<std::uint32_t>(maxWait.count());
    wire::MessageUnion message;
    message.Set(std::move(request));
    const auto pending = std::make_shared<PendingPermit>(m_context, runners, *keeper, std::move(onResult));
    pending->timer.expires_after(replyTimeout);
    pending->timer.async_wait([this, pending](const error_code &error) {
        if (!error && pending->onResult) {
            m_balancer.permitSchedule().recordSilence(pending->keeper, steadyNow());
            pending->finish(std::nullopt);
        }
    });
    m_stores.sendToStore(*store, std::move(message), [this, pending](const wire::ChannelReply &reply) {
        if (pending->onResult) {
            applyReply(pending, reply);
        }
    });
}

void PermitClient::applyReply(const std::shared_ptr<PendingPermit> &pending, const wire::ChannelReply &reply)
{
    const auto now = steadyNow();
    const auto *frame = std::get_if<wire::FrameT>(&reply);
    const auto *decision = frame == nullptr ? nullptr : frame->message.AsPermitDecision();
    if (decision == nullptr) {
        m_balancer.permitSchedule().recordSilence(pending->keeper, now);
        pending->finish(std::nullopt);
        return;
    }
    for (const auto &rate : decision->rates) {
        m_onRate(fromMessage(*rate, now));
    }
    if (decision->granted.empty()) {
        for (std::size_t i = 0; i < std::min(decision->next_ms.size(), pending->runners.size()); ++i) {
            m_balancer.permitSchedule().recordNext(pending->runners[i], pending->keeper,
                                                   now + base::Milliseconds(decision->next_ms[i]));
        }
        pending->finish(std::nullopt);
        return;
    }
    const dispatch::RunnerId granted(decision->granted);
    if (decision->delay_ms == 0) {
        pending->finish(granted);
        return;
    }
    pending->timer.expires_after(base::Milliseconds(decision->delay_ms));
    pending->timer.async_wait([pending, granted](const error_code &error) {
        if (!error && pending->onResult) {
            pending->finish(granted);
        }
    });
}

}
