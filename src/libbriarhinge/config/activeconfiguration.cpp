#include "config/activeconfiguration.h"

namespace briarhinge::config
{

ApplyResult ActiveConfiguration::apply(base::Revision revision, const std::string &document)
{
    if (revision <= highestSeen()) {
        return StaleRevision{highestSeen()};
    }
    auto parsed = readDeclaration(document);
    auto *declaration = std::get_if<Declaration>(&parsed);
    {
        const std::lock_guard lock(m_mutex);
        // Another thread may have applied a higher revision since the first check.
        if (revision <= m_highestSeen) {
            return StaleRevision{m_highestSeen};
        }
        m_highestSeen = revision;
        if (declaration == nullptr) {
            return std::get<DeclarationErrors>(parsed);
        }
        m_current = std::make_shared<const Configuration>(Configuration{revision, document, std::move(*declaration)});
    }
    notifyListeners();
    return Applied{};
}

void ActiveConfiguration::confirmEmpty()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_current) {
            return;
        }
        m_current = std::make_shared<const Configuration>();
    }
    notifyListeners();
}

std::shared_ptr<const Configuration> ActiveConfiguration::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

base::Revision ActiveConfiguration::revision() const
{
    const auto active = current();
    return active ? active->revision : base::Revision(0);
}

base::Revision ActiveConfiguration::highestSeen() const
{
    const std::lock_guard lock(m_mutex);
    return m_highestSeen;
}

void ActiveConfiguration::addListener(Listener listener)
{
    m_listeners.push_back(std::move(listener));
}

void ActiveConfiguration::notifyListeners()
{
    for (const Listener &listener : m_listeners) {
        listener();
    }
}

}
