#pragma once

#include "config/declaration.h"
#include "config/validator.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

namespace briarhinge::config
{

/** One accepted configuration; immutable and shared between threads. */
struct Configuration
{
    /** 0 when no configuration has ever been accepted. */
    base::Revision revision;
    /** JSON of the declaration as accepted; empty for revision 0. */
    std::string document;
    Declaration declaration;
};

/** The configuration is active now. */
struct Applied
{
};

/** The revision is not newer than one seen before; nothing changed. */
struct StaleRevision
{
    base::Revision seen;
};

using ApplyResult = std::variant<Applied, StaleRevision, DeclarationErrors>;

/**
 * Holds the active configuration of this process, whose revision only increases. Thread-safe once all listeners have
 * been added.
 */
class ActiveConfiguration
{
public:
    using Listener = std::function<void()>;

    /**
     * Activates a configuration if it is valid and its revision is higher than any seen before.
     *
     * @param revision revision of the configuration
     * @param document JSON of the declaration
     * @return whether it was activated; otherwise why not
     */
    ApplyResult apply(base::Revision revision, const std::string &document);

    /** Activates the empty configuration of revision 0; has no effect when a configuration is active. */
    void confirmEmpty();

    /** @return the active configuration; null until the process has learned one */
    std::shared_ptr<const Configuration> current() const;

    /** @return the active revision; 0 when there is none */
    base::Revision revision() const;

    /** @return the highest revision seen, whether it was activated or rejected as invalid */
    base::Revision highestSeen() const;

    /**
     * Adds a listener. Not thread-safe: add all listeners before the first configuration is applied.
     *
     * @param listener called after each change, on the thread that made it; reads the active configuration itself
     */
    void addListener(Listener listener);

private:
    void notifyListeners();

    std::vector<Listener> m_listeners;
    mutable std::mutex m_mutex;
    std::shared_ptr<const Configuration> m_current;
    base::Revision m_highestSeen;
};

}
