#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace prometheus
{
class Counter;
class Registry;
}

namespace briarhinge::metrics
{

/** The metrics of one process. */
class Metrics
{
public:
    Metrics();
    ~Metrics();

    /**
     * Counts an answered request.
     *
     * @param status the HTTP status of the answer
     */
    void requestAnswered(std::uint16_t status);

    /** Counts an invariant violation. */
    void invariantViolated();

    /** @return the metrics in the Prometheus text format */
    std::string text() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
