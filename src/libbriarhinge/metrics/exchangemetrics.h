#pragma once

#include "base/units.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace briarhinge::metrics
{

/** Counters and latency histograms of callers' requests at one entry. */
class ExchangeMetrics
{
public:
    ExchangeMetrics();
    ~ExchangeMetrics();

    /**
     * Counts a finished request and records its latency.
     *
     * @param route the name of its route, a label
     * @param outcome how it ended, a label with few distinct values
     * @param latency time from the last byte of the request to the end of its answer
     */
    void requestFinished(std::string_view route, std::string_view outcome, base::Milliseconds latency);

    /**
     * Counts a failed attempt at a runner.
     *
     * @param route the name of the route, exported as the label "service"
     * @param reason why it failed, a label with few distinct values
     */
    void attemptFailed(std::string_view route, std::string_view reason);

    /**
     * Counts a check of a runner after a lost connection.
     *
     * @param result what was found, a label with few distinct values
     */
    void runnerChecked(std::string_view result);

    /** Counts a runner that said in an answer that it leaves. */
    void runnerLeft();

    /** Counts a change of the limit that a runner names in its answers. */
    void runnerLimitChanged();

    /**
     * Counts what became of second tries of requests that may be repeated.
     *
     * @param result what was decided, or which try was answered; a label with few distinct values
     */
    void secondTry(std::string_view result);

    /**
     * Counts a request that was refused since its client account is beyond its quota.
     *
     * @param account the account, a label; beyond some hundred of them one label stands for all others
     */
    void capExceeded(std::string_view account);

    /**
     * Counts callers for whom there was no room.
     *
     * @param reason what was lacking, a label with few distinct values
     * @param count number of callers
     */
    void callersTurnedAway(std::string_view reason, std::size_t count);

    /** @return the metrics in the Prometheus text format */
    std::string text() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
