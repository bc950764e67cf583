#pragma once

#include "base/units.h"

#include <memory>
#include <string>
#include <string_view>

namespace briarhinge::metrics
{

/** Counters and latencies of callers' requests at one entry. */
class ExchangeMetrics
{
public:
    ExchangeMetrics();
    ~ExchangeMetrics();

    /**
     * Counts a request that has ended.
     *
     * @param route its route
     * @param outcome how it ended, one of a few words
     * @param took time from its last byte to the end of its answer
     */
    void ended(std::string_view route, std::string_view outcome, base::Milliseconds took);

    /** Counts an attempt at a runner that came to nothing. @param service the service @param reason one of a few words */
    void attemptFailed(std::string_view service, std::string_view reason);

    /** @return the metrics in the text format of Prometheus */
    std::string text() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
