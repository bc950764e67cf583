#include "forwarding/permitclient.h"

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
    PendingPermit(boost::asio::io_context &context, dispatch::RunnerId asked, dispatch::KeeperId askedKeeper,
                  PermitHandler handler)
        : runner(std::move(asked))
        , keeper(std::move(askedKeeper))
        , onResult(std::move(handler))
        , timer(context)
    {
    }

    void finish(bool isGranted)
    {
        timer.cancel();
        std::exchange(onResult, nullptr)(isGranted);
    }

    dispatch::RunnerId runner;
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

void PermitClient::acquire(const dispatch::RunnerId &runner, base::Milliseconds maxWait, PermitHandler onResult)
{
    const auto now = steadyNow();
    const dispatch::RateStatement *rate = m_balancer.rateStatement(runner);
    if (rate == nullptr || !rate->limit) {
        onResult(true);
        return;
    }
    const auto keeper = m_balancer.permitSchedule().chooseKeeper(runner, now, maxWait);
    const auto store = keeper ? m_stores.member(turns::DiskId(keeper->value())) : std::nullopt;
    if (!store) {
        onResult(false);
        return;
    }
    const auto pending = std::make_shared<PendingPermit>(m_context, runner, *keeper, std::move(onResult));
    wire::RequestPermitT request;
    request.rate = std::make_unique<wire::RunnerRateT>(toMessage({runner, *rate}, now));
    request.max_wait_ms = static_cast<std::uint32_t>(maxWait.count());
    wire::MessageUnion message;
    message.Set(std::move(request));
    pending->timer.expires_after(replyTimeout);
    pending->timer.async_wait([this, pending](const error_code &error) {
        if (!error && pending->onResult) {
            m_balancer.permitSchedule().recordSilence(pending->keeper, steadyNow());
            pending->finish(false);
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
        pending->finish(false);
        return;
    }
    if (decision->rate) {
        m_onRate(fromMessage(*decision->rate, now));
    }
    const base::Milliseconds delay(decision->delay_ms);
    if (!decision->is_granted) {
        m_balancer.permitSchedule().recordNext(pending->runner, pending->keeper, now + delay);
        pending->finish(false);
        return;
    }
    if (delay.count() == 0) {
        pending->finish(true);
        return;
    }
    pending->timer.expires_after(delay);
    pending->timer.async_wait([pending](const error_code &error) {
        if (!error && pending->onResult) {
            pending->finish(true);
        }
    });
}

}
