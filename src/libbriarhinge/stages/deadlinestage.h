#pragma once

#include "stages/requeststate.h"
#include "stages/stage.h"

#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace briarhinge::stages
{

/** Watches the deadline of a request, from the time at which its route is known. */
class DeadlineStage
{
public:
    /**
     * @param state the request
     * @param context runs the timer
     * @param onExpired called once when the deadline has passed, unless the stage was left before
     */
    DeadlineStage(const RequestState &state, boost::asio::io_context &context, std::function<void()> onExpired)
        : m_state(state)
        , m_timer(context)
        , m_onExpired(std::move(onExpired))
    {
    }

    /** @param onResult receives that the request proceeds */
    void enter(const StageHandler &onResult)
    {
        m_timer.expires_at(m_state.deadline);
        // The handler keeps the owner of the stage alive.
        m_timer.async_wait([this, onResult](const boost::system::error_code &error) {
            if (!error) {
                m_onExpired();
            }
        });
        onResult(Proceed{});
    }

    /** Stops watching the deadline. */
    void leave()
    {
        m_timer.cancel();
    }

private:
    const RequestState &m_state;
    boost::asio::steady_timer m_timer;
    const std::function<void()> m_onExpired;
};

}
