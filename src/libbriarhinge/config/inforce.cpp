#include "config/inforce.h"

namespace briarhinge::config
{

OfferResult InForce::offer(base::Revision revision, const std::string &document)
{
    if (revision <= highestSeen()) {
        return NotHigher{highestSeen()};
    }
    auto read = readDeclaration(document);
    auto *declaration = std::get_if<Declaration>(&read);
    {
        const std::lock_guard lock(m_mutex);
        // Another thread may have applied a higher revision since the first check.
        if (revision <= m_highestSeen) {
            return NotHigher{m_highestSeen};
        }
        m_highestSeen = revision;
        if (declaration == nullptr) {
            return std::get<DeclarationFaults>(read);
        }
        m_current = std::make_shared<const Configuration>(Configuration{revision, document, std::move(*declaration)});
    }
    tellListeners();
    return Taken{};
}

void InForce::confirmEmpty()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_current) {
            return;
        }
        m_current = std::make_shared<const Configuration>();
    }
    tellListeners();
}

std::shared_ptr<const Configuration> InForce::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

base::Revision InForce::revision() const
{
    const auto present = current();
    return present ? present->revision : base::Revision(0);
}

base::Revision InForce::highestSeen() const
{
    const std::lock_guard lock(m_mutex);
    return m_highestSeen;
}

void InForce::listen(Listener listener)
{
    m_listeners.push_back(std::move(listener));
}

void InForce::tellListeners()
{
    for (const Listener &listener : m_listeners) {
        listener();
    }
}

}
