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

/** The configuration that a process acts on; never changes once made. */
struct Configuration
{
    /** 0 when no configuration was ever accepted. */
    base::Revision revision;
    /** JSON, as it was accepted; empty with revision 0. */
    std::string document;
    Declaration declaration;
};

/** The offered configuration is in force now. */
struct Taken
{
};

/** The offered configuration is not higher than one seen before; nothing changed. */
struct NotHigher
{
    base::Revision seen;
};

using OfferResult = std::variant<Taken, NotHigher, DeclarationFaults>;

/** Holds the configuration that is in force in this process, which only ever moves to a higher revision. */
class InForce
{
public:
    using Listener = std::function<void()>;

    /**
     * Puts a configuration in force when it is higher than any seen before and valid.
     *
     * @param revision its revision
     * @param document its JSON
     * @return what became of it
     */
    OfferResult offer(base::Revision revision, const std::string &document);

    /** Notes that no configuration was accepted yet; without effect when one is known. */
    void confirmEmpty();

    /** @return what is in force; null while this process does not know */
    std::shared_ptr<const Configuration> current() const;

    /** @return the revision in force, or 0 */
    base::Revision revision() const;

    /** @return the highest revision offered, in force or refused as invalid */
    base::Revision highestSeen() const;

    /** @param listener called after each change, to read what is in force then; add listeners before anything is offered */
    void listen(Listener listener);

private:
    void tellListeners();

    std::vector<Listener> m_listeners;
    mutable std::mutex m_mutex;
    std::shared_ptr<const Configuration> m_current;
    base::Revision m_highestSeen;
};

}
