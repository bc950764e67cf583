#include "forwarding/ratesharing.h"

#include <chrono>
#include <memory>
#include <utility>

namespace briarhinge::forwarding
{

namespace
{

/** Gathers what several runners say at one moment into one message. */
constexpr base::Milliseconds sendDelay{20};
constexpr base::Milliseconds sendTimeout{500};

}

RateSharing::RateSharing(boost::asio::io_context &context, turns::StorePeers &peers, RateHandler onRate)
    : m_peers(peers)
    , m_onRate(std::move(onRate))
    , m_timer(context)
{
}

void RateSharing::setEntries(std::vector<wire::Address> entries)
{
    m_entries = std::move(entries);
}

std::size_t RateSharing::entryCount() const
{
    return m_entries.size();
}

void RateSharing::publish(const dispatch::KnownRate &known)
{
    const bool isScheduled = !m_unsent.empty();
    m_unsent.insert_or_assign(known.runner, known.statement);
    if (isScheduled) {
        return;
    }
    m_timer.expires_after(sendDelay);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            send();
        }
    });
}

void RateSharing::send()
{
    const auto now = std::chrono::steady_clock::now();
    wire::RunnerRatesT rates;
    for (const auto &[runner, statement] : std::exchange(m_unsent, {})) {
        rates.rates.push_back(std::make_unique<wire::RunnerRateT>(toMessage({runner, statement}, now)));
    }
    wire::MessageUnion message;
    message.Set(std::move(rates));
    for (const wire::Address &entry : m_entries) {
        m_peers.sendRequest(entry, message, sendTimeout, [](const wire::ChannelReply &) {});
    }
}

std::optional<wire::MessageUnion> RateSharing::handleMessage(const wire::MessageUnion &message)
{
    const auto *rates = message.AsRunnerRates();
    if (rates == nullptr) {
        return std::nullopt;
    }
    const auto now = std::chrono::steady_clock::now();
    for (const auto &rate : rates->rates) {
        m_onRate(fromMessage(*rate, now));
    }
    wire::MessageUnion answer;
    answer.Set(wire::DoneT{});
    return answer;
}

void RateSharing::stop()
{
    m_timer.cancel();
}

}
