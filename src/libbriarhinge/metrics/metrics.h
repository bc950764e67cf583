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

    /** Counts one callers' request. @param status its HTTP status */
    void requestAnswered(std::uint16_t status);

    /** Counts a broken invariant. */
    void invariantViolated();

    /** @return the metrics in the text format of Prometheus */
    std::string text() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
